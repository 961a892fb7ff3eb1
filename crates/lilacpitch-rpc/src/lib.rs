//! Requests and responses between processes of the fleet, over TCP: the tokio shell around [`lilacpitch_fleet::frame`].
//!
//! - `handshake`: connects, or accepts, and exchanges Hellos. `connection`: requests and responses, both ways.
//! - `dialer`: a connection that is made again when it was lost. `steady_clock`: the clock of leases.
//!
//! Frames that can't be opened end their connection alone; requests beyond a limit are rejected as overload.
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
