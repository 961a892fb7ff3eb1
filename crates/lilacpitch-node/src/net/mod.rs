//! The I/O layer around [`NodeCore`](crate::core::NodeCore), on tokio: sockets, queues, signals and the
//! clock.
//!
//! Everything runs on one thread as tasks of a `LocalSet`. The [`driver`] owns the core, each connection has
//! a task that owns its socket, and bounded queues connect them; only the notices of callers that have closed
//! their connection are not bounded. The driver never waits for a connection that can't keep up: it closes a
//! caller's connection, and drops a message for a server.

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
