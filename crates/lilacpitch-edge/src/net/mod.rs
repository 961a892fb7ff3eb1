//! The shell around [`EdgeCore`](crate::core::EdgeCore): sockets, queues and the clock, on tokio. It decides nothing.
//!
//! Everything runs on one thread as tasks of a `LocalSet`; the driver owns the core, each connection has a task,
//! and bounded queues are between them. A connection that can't keep up is ended, and never waited for.

mod connection;
mod connections;
mod driver;
mod driver_event;
mod fetch;
mod gossip_socket;
mod metrics;
mod startup;
mod watched_file;

pub use crate::fleet::StartError as FleetStartError;
pub use connection::{
    open, serve_handshake, ConnectionEnd, ConnectionEvent, EndCause, OpenError, Outgoing, WebSocketConnection,
};
pub use fetch::fetch;
pub use lilacpitch_net::Clock;
pub use startup::{run, run_with, Ready, RunError};
pub use watched_file::ReadError;
