//! The edge of lilacpitch: routes calls between callers and signalling servers over WebSocket. Settings,
//! messages and the other crates call a running edge a front.
//!
//! - [`core`] owns calls, attempts, upstream connections, timers and the controller of the `lilacpitch`
//!   crate, which decides about routing. It does no I/O; the time and a random seed are passed to it.
//! - [`net`] is the shell around the core, on tokio: sockets, queues and the clock. It makes no routing
//!   decisions.
//! - `fleet` is the edge's agent in the fleet: it looks up numbers, caches location records and publishes the
//!   edge's own ones.
//! - [`cli`] is the command line of the program.
#![forbid(unsafe_code)]

pub mod cli;
pub mod core;
mod fleet;
pub mod net;

pub use fleet::{list_digest, settings_digest};
