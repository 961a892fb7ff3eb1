//! What the core's timers are for.

use super::AttemptId;
use lilacpitch::interface::ServerId;

/// A timer of the core. The order of variants breaks ties between timers due at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The controller asked to be called.
    Controller,
    /// An attempt's time is up.
    AttemptTimeout(AttemptId),
    /// An unanswered set-up is to be sent again.
    Resend(AttemptId),
    /// A connection to a server is to be tried again.
    Reconnect(ServerId),
    /// A call has waited for the fleet long enough.
    Locate(u64),
    /// The time granted for an orderly stop is up.
    Stop,
}
