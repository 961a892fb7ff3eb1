//! SIP over a stream (RFC 3261 section 18.3), as far as a front node speaks it, without any I/O: bytes in,
//! messages out, and messages to bytes.
//!
//! Each size has a limit, named as a constant; what exceeds it is rejected from the head, before a body is kept.
//! Heads are parsed by the project's parser of HTTP heads, which have the same form (RFC 3261 section 7); folded
//! lines (section 7.3.1) are rejected.
#![forbid(unsafe_code)]

mod decoder;
mod message;

pub use decoder::{Decoder, SipError, MAX_MESSAGE_BYTES};
pub use message::{Message, Request, Response};
