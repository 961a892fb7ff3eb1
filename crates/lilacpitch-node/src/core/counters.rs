//! What a node counts.

use lilacpitch::interface::Outcome;
use std::collections::BTreeMap;

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups accepted.
    pub accepted: u64,
    /// Set-ups that succeeded.
    pub succeeded: u64,
    /// Calls rejected by the controller.
    pub rejected: u64,
    /// Calls failed by the controller.
    pub failed: u64,
    /// Set-ups that their callers cancelled, or left by disconnecting.
    pub cancelled: u64,
    /// Calls adopted that were established by another front.
    pub adopted: u64,
    /// Callers' messages rejected, by status.
    pub rejected_messages: BTreeMap<u16, u64>,
    /// Attempts that the controller asked for; each completes once, with one of the outcomes.
    pub attempts: u64,
    /// Attempts and adopted calls by their outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Servers' messages that match no call here.
    pub unmatched: u64,
    /// Connections to servers that ended.
    pub upstreams_lost: u64,
    /// Connections to servers found unresponsive.
    pub upstreams_unresponsive: u64,
    /// Calls released because their server was gone.
    pub orphaned: u64,
}

/// Calls at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCounts {
    /// Without a final response.
    pub open: usize,
    /// Established.
    pub established: usize,
}

/// Connections at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Of callers.
    pub callers: usize,
    /// To servers.
    pub upstreams: usize,
}

/// The name under which an outcome is counted; operators' tools read it.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "passed",
        Outcome::Fault => "fault",
        Outcome::LinesBusy => "busy",
        Outcome::NoCircuit => "no_circuit",
        Outcome::Overloaded(_) => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "no_route",
        Outcome::Cut => "cut",
        Outcome::Cancelled => "called_off",
        Outcome::NotSent => "not_sent",
    }
}
