//! Requests and responses between the processes of a fleet, over TCP. The frames are those of
//! [`lilacpitch_fleet::frame`]; this crate adds the I/O with tokio.
//!
//! - `handshake`: opens or accepts a connection and exchanges Hello messages.
//! - `connection`: carries requests and responses in both directions.
//! - `dialer`: a connection that is opened on demand and reopened after it was lost.
//! - `steady_clock`: the clock by which leases are measured.
//!
//! A frame that can't be opened ends its own connection and no other. Requests above the concurrency limit
//! are rejected as overload.
#![forbid(unsafe_code)]

mod connection;
mod dialer;
mod error;
mod handshake;
mod steady_clock;

pub use connection::{LocalIdentity, RequestHandler, ResponseFuture, RpcConnection};
pub use dialer::Dialer;
pub use error::RpcError;
pub use handshake::{accept, connect};
pub use steady_clock::steady_ns;
