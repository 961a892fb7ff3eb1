//! Links between processes of the fleet: the shell around [`lilacpitch_fleet::frame`], on tokio.
//!
//! A [`Link`] is one TCP connection over which both ends ask and answer. Its state is in two places: the frames'
//! counters in its two tasks, and the questions that wait for an answer under one lock, which is never held across an
//! await. What can't be taken is refused, what floods is told 'full', and what breaks the frames ends that connection
//! alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod dial;
mod link;
mod steady;

pub use dial::Dialer;
pub use link::{accept, connect, LocalIdentity, RequestHandler, ResponseFuture, RpcConnection, RpcError};
pub use steady::steady_ns;
