//! The counters of a node.

use lilacpitch::interface::Outcome;
use std::collections::BTreeMap;

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups admitted.
    pub accepted: u64,
    /// Set-ups that succeeded.
    pub succeeded: u64,
    /// Calls rejected by the controller.
    pub rejected: u64,
    /// Calls failed by the controller.
    pub failed: u64,
    /// Set-ups that their callers cancelled or abandoned by disconnecting.
    pub cancelled: u64,
    /// Adopted calls, which another front has established.
    pub adopted: u64,
    /// Calls that were reported as established and not adopted, because the memory for them was used up.
    pub not_adopted: u64,
    /// Rejected messages of callers, by status.
    pub rejected_messages: BTreeMap<u16, u64>,
    /// Callers that were disconnected because they sent only invalid requests.
    pub disconnected_callers: u64,
    /// Attempts that the controller requested. Each is completed once, with one of the outcomes.
    pub attempts: u64,
    /// Completed attempts and adopted calls, by the name of their outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Messages of servers that match no call.
    pub unmatched: u64,
    /// Connections to servers that ended or could not be established.
    pub upstreams_lost: u64,
    /// Connections to servers that became unresponsive.
    pub upstreams_unresponsive: u64,
    /// Calls that were released because their server was lost.
    pub orphaned: u64,
}

/// Current numbers of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls without a final response.
    pub open: usize,
    /// Established calls.
    pub established: usize,
}

/// Current numbers of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Callers' connections.
    pub callers: usize,
    /// Connections to servers.
    pub upstreams: usize,
}

/// Returns the name under which an outcome is counted. Operators' tools depend on these names.
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
