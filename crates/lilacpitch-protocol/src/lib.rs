//! The wire formats of lilacpitch's sockets, without I/O: bytes are decoded to typed values and encoded back.
//!
//! - [`http`]: heads of HTTP/1.1 requests and responses (RFC 9112), as far as a WebSocket upgrade needs them.
//! - [`handshake`]: the WebSocket opening handshake for both roles (RFC 6455 section 4).
//! - [`frame`]: WebSocket frames and messages for both roles (RFC 6455 sections 5 to 8).
//! - [`message`]: the messages between callers and a front, and between a front and signalling servers.
//!
//! Every size has a limit with a named constant; input that exceeds it is rejected with an error that names
//! the limit. No input causes a panic.
#![forbid(unsafe_code)]

pub mod frame;
pub mod handshake;
pub mod http;
pub mod message;
