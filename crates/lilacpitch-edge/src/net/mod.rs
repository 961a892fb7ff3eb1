//! The shell around [`Front`]: sockets, queues and the clock, on tokio. It decides nothing.
//!
//! Everything runs on one thread as tasks of a `LocalSet`; the driver owns the front, a task each owns a
//! connection, and bounded queues join them. A connection that can't keep up is ended, and never waited for.

mod driver;
mod fetch;
mod file;
mod metrics;
mod news;
mod pump;
mod talk;

pub use driver::{run, run_with, Ready};
pub use fetch::fetch;
pub use lilacpitch_net::Clock;
pub use news::RunError;
pub use pump::{open, serve_handshake, Ended, Heard, Outgoing, Pump};
