//! The shell around [`Node`](crate::core::Node): sockets, queues, signals and the clock, on tokio. It decides
//! nothing.
//!
//! Everything runs on one thread as tasks of a `LocalSet`; the driver owns the node, a task each owns a
//! connection, and bounded queues join them. A connection that can't keep up is ended, and never waited for.

mod coordinator_client;
mod driver;

pub use driver::{run, RunError};
