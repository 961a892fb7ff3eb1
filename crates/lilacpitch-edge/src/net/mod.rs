//! The shell around [`EdgeCore`](crate::core::EdgeCore): sockets, queues and the clock, on tokio. It makes no
//! routing decisions.
//!
//! Everything runs on one thread as tasks of a `LocalSet`. The driver owns the core, each connection has a
//! task, and bounded queues connect them. A connection that cannot keep up is closed; the driver never waits
//! for it.

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
