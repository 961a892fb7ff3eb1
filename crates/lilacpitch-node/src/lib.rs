//! The front node of lilacpitch. It carries calls between callers (SIP over TCP) and signalling servers (JSON
//! lines over TCP), and polls a coordinator (HTTP) for the endpoint list.
//!
//! - [`config`]: the configuration file, and how file descriptors are divided among the kinds of connections.
//! - [`signalling`]: the line protocol of signalling servers.
//! - [`coordinator`]: the coordinator's protocol, and which of its numbered events are new.
//! - [`core`]: callers, calls, attempts and upstream connections, without I/O or a clock. Routing, admission,
//!   retries and waits are decided by the controller of the `lilacpitch` package.
//! - [`net`]: the I/O layer on tokio: sockets, queues, signals and the clock.
#![forbid(unsafe_code)]

pub mod config;
pub mod coordinator;
pub mod core;
mod figures;
pub mod net;
pub mod signalling;
