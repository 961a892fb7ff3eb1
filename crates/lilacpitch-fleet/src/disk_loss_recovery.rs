//! Decides when a process of a site that has lost its disk may take part in the site's replicated log.
//!
//! The lost disk may have held votes, and entries that were committed with its help. With a quorum of `q` out
//! of `N` processes, any `N - q + 1` of the other processes include at least one that took part in each such
//! decision. The process therefore waits until that many others have reported the votes that they hold. It
//! then accepts no vote older than theirs, and does not vote until it has all entries that a leader has
//! acknowledged. If the disks of all of them are new as well, the log has not begun.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A vote in a site's log. Later votes compare as greater. The order of fields is that of the comparison and
/// of the encoding on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogVote {
    /// The term of the vote.
    pub term: u64,
    /// The node that the vote is for.
    pub node: u64,
    /// Whether a quorum granted the vote.
    pub committed: bool,
}

/// What a process with a new disk must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryDecision {
    /// Request the votes of the other processes again.
    Wait,
    /// Begin the log together with the other processes: it has not begun yet.
    Bootstrap,
    /// Adopt this vote and follow the leader. Do not vote before having caught up.
    Follow(LogVote),
}

/// The votes that the other processes hold, as far as they have reported them.
#[derive(Debug, Clone)]
pub struct DiskLossRecovery {
    processes: usize,
    /// The vote of each process by its index; `None` if its disk was new as well when it first reported. A
    /// vote that such a process reports later does not replace `None`: it was cast after this process had
    /// started.
    votes: BTreeMap<usize, Option<LogVote>>,
}

impl DiskLossRecovery {
    /// Creates the recovery of a process in a site with `processes` processes, including itself.
    pub fn new(processes: usize) -> Self {
        DiskLossRecovery { processes, votes: BTreeMap::new() }
    }

    /// The number of other processes that must report their votes.
    pub fn required_responses(&self) -> usize {
        let quorum = self.processes / 2 + 1;
        (self.processes - quorum + 1).min(self.processes.saturating_sub(1))
    }

    /// Records the vote that the process at this index holds; `None` if its disk is new. A process that
    /// requests the vote of this one has a new disk, too.
    pub fn record_vote(&mut self, index: usize, vote: Option<LogVote>) {
        let recorded = self.votes.entry(index).or_insert(vote);
        if recorded.is_some() {
            *recorded = (*recorded).max(vote);
        }
    }

    /// What the process must do, given the votes recorded so far.
    pub fn decision(&self) -> RecoveryDecision {
        if self.votes.len() < self.required_responses() {
            return RecoveryDecision::Wait;
        }
        let latest_vote = self.votes.values().flatten().max();
        latest_vote.map_or(RecoveryDecision::Bootstrap, |vote| RecoveryDecision::Follow(*vote))
    }
}
