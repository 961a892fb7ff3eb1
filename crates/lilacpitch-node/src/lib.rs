//! The front node of lilacpitch: callers speak SIP over TCP, signalling servers JSON lines, a coordinator HTTP.
//!
//! - [`config`]: the configuration file, and how descriptors are shared out.
//! - [`signalling`]: the line protocol of signalling servers.
//! - [`coordinator`]: the coordinator's numbered events, and which of them are new.
//! - [`core`]: calls, attempts and upstream connections around the decision module, as a value with time as an
//!   argument. It decides nothing about routes, admission, retries or waits.
//! - [`net`]: the shell on tokio: sockets, queues, signals and the clock.
#![forbid(unsafe_code)]

pub mod config;
pub mod coordinator;
pub mod core;
pub mod net;
pub mod signalling;
