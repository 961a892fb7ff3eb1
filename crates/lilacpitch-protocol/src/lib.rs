//! What crosses lilacpitch's sockets, without any I/O: bytes in, values out, and back.
//!
//! - [`http`]: heads of HTTP/1.1 requests and responses (RFC 9112), as far as an upgrade needs them.
//! - [`handshake`]: the opening handshake of WebSocket, both roles (RFC 6455 section 4).
//! - [`frame`]: WebSocket frames and messages, both roles (RFC 6455 section 5 to 8).
//! - [`message`]: the call-control messages, `lilacpitch.call.1`, and the ones towards signalling servers.
//!
//! Every size has a limit, named as a constant; what exceeds it is an error that says so. Nothing here panics
//! on any input.
#![forbid(unsafe_code)]

pub mod frame;
pub mod handshake;
pub mod http;
pub mod message;
