//! Simulated servers and callers, without I/O.

pub mod caller;
pub mod server;
