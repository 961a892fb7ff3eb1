//! The edge of lilacpitch: carries calls between callers and signalling servers over WebSocket.
//!
//! [`core`] owns calls, attempts, upstream connections, timers and the decision module; it does no I/O, and time and
//! randomness are arguments. [`net`] is the shell around it on tokio: sockets, queues and the clock; it decides
//! nothing. `fleet` is the edge's agent in the fleet. [`cli`] is the program.
#![forbid(unsafe_code)]

pub mod cli;
pub mod core;
mod fleet;
pub mod net;

pub use fleet::{list_digest, settings_digest};
