//! The front of lilacpitch: carries calls between callers and signalling servers.
//!
//! [`front`] is its core. It owns calls, attempts, links, timers and the decision module, does no I/O, and is
//! handed time and randomness. [`net`] is the shell around it on tokio: sockets, queues and the clock; it decides
//! nothing. [`cli`] is the program.
#![forbid(unsafe_code)]

pub mod cli;
pub mod core;
mod fleet;
pub mod net;
