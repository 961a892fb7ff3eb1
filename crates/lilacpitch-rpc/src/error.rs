//! Why connections and requests fail.

use lilacpitch_fleet::error::FrameError;
use miette::Diagnostic;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a connection, or a request over it, failed.
#[derive(Debug, Error, Diagnostic)]
pub enum RpcError {
    /// No connection could be made.
    #[error("connecting to {0}: {1}")]
    #[diagnostic(code(link::unreached), help("start that process, or correct its address in the settings"))]
    Unreachable(SocketAddr, std::io::Error),
    /// The other end has sent no Hello, or not in time.
    #[error("no greeting: {0}")]
    #[diagnostic(
        code(link::greeting),
        help("see what listens at that address, and whether both hold one key")
    )]
    Handshake(String),
    /// A frame was rejected.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Frame(#[from] FrameError),
    /// The connection has ended.
    #[error("the connection is gone")]
    #[diagnostic(code(link::closed), help("none needed: it is made again"))]
    Closed,
    /// No response has come in time.
    #[error("no answer in time")]
    #[diagnostic(
        code(link::late),
        help("look at the other process: it stands still, or the way to it is cut")
    )]
    TimedOut,
    /// Too many messages wait to be written.
    #[error("the other end does not read")]
    #[diagnostic(code(link::backlog), help("look at the other process: it has no processor time"))]
    Backlog,
}
