//! The shell around [`NodeCore`](crate::core::NodeCore): sockets, queues, signals and the clock, on tokio. It decides
//! nothing.
//!
//! Everything runs on one thread as tasks of a `LocalSet`: the [`driver`] owns the core, one task owns each
//! connection, and bounded queues join them. A connection that can't keep up is closed, and never waited for.

mod codecs;
mod connections;
mod coordinator_client;
mod coordinator_poll;
mod counters;
mod driver;
mod driver_event;
mod shutdown;
mod signals;
mod startup;

pub use startup::{run, RunError};
