//! The errors of connections and requests.

use lilacpitch_fleet::error::FrameError;
use lilacpitch_fleet::message::Role;
use miette::Diagnostic;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a connection, or a request on it, failed.
#[derive(Debug, Error, Diagnostic)]
pub enum RpcError {
    /// No connection to this address could be opened.
    #[error("connecting to {0}: {1}")]
    #[diagnostic(code(link::unreached), help("start that process, or correct its address in the settings"))]
    Unreachable(SocketAddr, std::io::Error),
    /// The other end sent no valid Hello in time.
    #[error("handshake failed: {0}")]
    #[diagnostic(
        code(link::greeting),
        help("check which program listens at that address, and that both processes have the same key")
    )]
    Handshake(String),
    /// Another process than the one in the settings listens at the address.
    #[error("{address} is {found}, not {expected}")]
    #[diagnostic(
        code(link::other),
        help("a process has taken the address of another one: correct the addresses in the settings")
    )]
    WrongPeer {
        /// The address.
        address: SocketAddr,
        /// The role of the process that listens there by the settings.
        expected: Role,
        /// The role of the one that does.
        found: Role,
    },
    /// A frame was rejected.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Frame(#[from] FrameError),
    /// The connection was closed.
    #[error("connection closed")]
    #[diagnostic(code(link::closed), help("no action needed: the connection is reopened"))]
    Closed,
    /// No response arrived in time.
    #[error("no response in time")]
    #[diagnostic(
        code(link::late),
        help("check that the other process is running and that the network to it is up")
    )]
    TimedOut,
    /// The queue of messages to be written is full.
    #[error("too many messages queued: the other end reads too slowly")]
    #[diagnostic(code(link::backlog), help("check whether the other process lacks processor time"))]
    Backlog,
}
