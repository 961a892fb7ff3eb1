//! When a process of a site whose disk is new may take part in the site's log.
//!
//! Its former disk may have held votes, and entries that were acknowledged with its help. Whoever else took part in such
//! a decision is one of any `N - q + 1` of the other processes, `q` of `N` being a quorum. Until so many have told which
//! vote they hold the process waits; then it acts on no vote older than theirs, and votes for nobody before it has
//! everything that a leader has acknowledged. Where all their disks are new as well, the log has not begun.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A vote in a site's log: later ones are greater. The order of the fields is that of the comparison and of the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogVote {
    /// Its term.
    pub term: u64,
    /// The node that it is for.
    pub node: u64,
    /// Whether a quorum gave it.
    pub committed: bool,
}

/// What a process with a new disk is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Request the votes of the others again.
    Wait,
    /// The log has not begun: begin it with the others.
    Bootstrap,
    /// Take this vote for its own and follow; vote for nobody before it has caught up.
    Follow(LogVote),
}

/// The votes that the other processes hold, as far as they have responded.
#[derive(Debug, Clone)]
pub struct DiskLossRecovery {
    processes: usize,
    /// By index; `None`: its disk was new as well when it first responded. A vote that it holds later does not replace
    /// that: whoever takes part since then began while this process was there.
    votes: BTreeMap<usize, Option<LogVote>>,
}

impl DiskLossRecovery {
    /// For a site of so many processes, this one among them.
    pub fn new(processes: usize) -> Self {
        DiskLossRecovery { processes, votes: BTreeMap::new() }
    }

    /// How many others have to respond.
    pub fn required_responses(&self) -> usize {
        let quorum = self.processes / 2 + 1;
        (self.processes - quorum + 1).min(self.processes.saturating_sub(1))
    }

    /// Records the vote that the process of this index holds; `None`: its disk is new, as is that of one that requests
    /// this process's vote.
    pub fn record_vote(&mut self, index: usize, vote: Option<LogVote>) {
        let known = self.votes.entry(index).or_insert(vote);
        if known.is_some() {
            *known = (*known).max(vote);
        }
    }

    /// What is to be done by now.
    pub fn verdict(&self) -> Verdict {
        if self.votes.len() < self.required_responses() {
            return Verdict::Wait;
        }
        self.votes.values().flatten().max().map_or(Verdict::Bootstrap, |vote| Verdict::Follow(*vote))
    }
}
