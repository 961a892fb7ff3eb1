//! The front node of lilacpitch: callers speak SIP over TCP, signalling servers JSON lines, a coordinator HTTP.
//!
//! - [`config`]: what a node is told at its start.
//! - [`signal`]: JSON lines of signalling servers, to typed messages and back.
//! - [`coordinator`]: numbered events to news of the list.
//! - [`core`]: calls, attempts, links, adoption and stopping around the decision module, as a value with time as an
//!   argument. It decides nothing about routes, admission, further attempts or waits.
//! - [`net`]: the shell around it on tokio: sockets, queues, signals and the clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod coordinator;
pub mod core;
pub mod net;
pub mod signal;
