//! Models of servers and callers, without I/O: the time is an argument.

pub mod caller;
pub mod server;
