//! The shell around [`Front`]: sockets, queues and the clock, on tokio. It decides nothing.
//!
//! Everything runs on one thread as tasks of a `LocalSet`; the driver owns the front, a task each owns a
//! connection, and bounded queues join them. A connection that can't keep up is ended, and never waited for.

mod connection;
mod driver;
mod driver_event;
mod fetch;
mod gossip_socket;
mod metrics;
mod watched_file;

pub use connection::{open, serve_handshake, Ended, Heard, Outgoing, Pump};
pub use driver::{run, run_with, Ready};
pub use driver_event::RunError;
pub use fetch::fetch;
pub use lilacpitch_net::Clock;
