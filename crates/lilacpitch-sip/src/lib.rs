//! SIP over a stream (RFC 3261 section 18.3), as far as a front node speaks it, without any I/O: bytes in,
//! messages out, and messages to bytes.
//!
//! Each size has a limit, named as a constant; what exceeds it is known from the head, before a body is kept.
//! Heads are read by the project's reader of HTTP heads, which have the same form (RFC 3261 section 7): folded
//! lines (section 7.3.1) are refused.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decoder;
mod message;

pub use decoder::{Decoder, SipError, MAX_MESSAGE_BYTES};
pub use message::{Message, Request, Response};
