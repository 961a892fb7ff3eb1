//! The I/O layer around [`NodeCore`](crate::core::NodeCore), on tokio: sockets, queues, signals and the
//! clock.
//!
//! Everything runs on one thread as tasks of a `LocalSet`. The [`driver`] owns the core, each connection has
//! a task that owns its socket, and bounded queues connect them. A connection that can't keep up is closed
//! rather than waited for.

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
