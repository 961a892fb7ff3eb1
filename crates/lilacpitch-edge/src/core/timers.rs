//! What the front's timers are for.

use super::AttemptId;
use lilacpitch::interface::ServerId;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The module asked to be woken.
    Module,
    /// An attempt's time is up.
    TimeOut(AttemptId),
    /// An unanswered set-up is to be sent again.
    Resend(AttemptId),
    /// A server is to be tried again.
    Reconnect(ServerId),
    /// A call has waited for the fleet long enough.
    Locate(u64),
    /// The time that a stop grants is up.
    Stop,
}
