//! Decoder and encoder for the part of SIP over a stream transport (RFC 3261 section 18.3) that a front node
//! uses. No I/O: the [`Decoder`] is fed bytes and returns messages, and the `encode` functions return bytes.
//!
//! Every size is bounded by a named constant. A message over its limit is rejected when its head is parsed,
//! before any of its body is buffered. SIP heads have the form of HTTP heads (RFC 3261 section 7) and are
//! parsed by [`lilacpitch_protocol::http`]; folded header lines (section 7.3.1) are rejected.
#![forbid(unsafe_code)]

mod decoder;
mod message;

pub use decoder::{Decoder, SipError, MAX_MESSAGE_BYTES};
pub use message::{Message, Request, Response};
