//! The events that the tasks of connections and of the coordinator's client send to the driver.

use super::coordinator_poll::PollError;
use crate::core::Input;
use crate::signalling::LineError;
use lilacpitch_sip::SipError;
use std::net::SocketAddr;
use thiserror::Error;

/// An event for the driver.
#[derive(Debug)]
pub(super) enum DriverEvent {
    /// An input for the core.
    Input(Input),
    /// A peer has sent something malformed, and its connection is closed.
    Malformed(MalformedMessage),
}

/// A malformed message, by the kind of its sender.
#[derive(Debug, Error)]
pub(super) enum MalformedMessage {
    /// A message of a caller.
    #[error("{0}")]
    Caller(#[source] SipError),
    /// A line of a server.
    #[error("{address}: {error}")]
    Server {
        /// The server's address.
        address: SocketAddr,
        /// What is wrong with the line.
        #[source]
        error: LineError,
    },
    /// A response of the coordinator.
    #[error("{0}")]
    Coordinator(#[source] PollError),
}

impl MalformedMessage {
    /// Returns the kind under which the message is counted and, the first time, logged.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            MalformedMessage::Caller(SipError::Head(_)) => "caller's head",
            MalformedMessage::Caller(SipError::StartLine(_)) => "caller's start line",
            MalformedMessage::Caller(SipError::Length { .. }) => "caller's length",
            MalformedMessage::Caller(SipError::TooLong { .. }) => "caller's message too long",
            MalformedMessage::Server { error: LineError::TooLong, .. } => "server's line too long",
            MalformedMessage::Server { error: LineError::Json(_) | LineError::Field(_), .. } => {
                "server's line"
            }
            MalformedMessage::Coordinator(_) => "coordinator's answer",
        }
    }
}
