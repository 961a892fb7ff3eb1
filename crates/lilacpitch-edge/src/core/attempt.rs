//! Attempts: what a front keeps of each.

use super::UpstreamId;
use lilacpitch::interface::{Nanos, ServerId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Waits for a connection.
    Queued,
    /// Given to a connection as its message of this number, and no answer yet.
    Out { link: UpstreamId, message: u64 },
    /// The call stands.
    Standing,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct Attempt {
    pub call: u64,
    pub server: ServerId,
    /// Its number among the call's attempts, from 0.
    pub hop: u32,
    pub state: AttemptState,
    pub resend_gap_ns: Nanos,
    pub repeats: u32,
}
