//! The timers of the core.

use super::AttemptId;
use lilacpitch::interface::ServerId;

/// A timer of the core. Timers that are due at the same time fire in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the controller set.
    Controller,
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// An unanswered set-up is sent again.
    Resend(AttemptId),
    /// A connection to a server is attempted again.
    Reconnect(ServerId),
    /// The locate of a call times out.
    Locate(u64),
    /// The time limit of an orderly stop is reached.
    Stop,
}
