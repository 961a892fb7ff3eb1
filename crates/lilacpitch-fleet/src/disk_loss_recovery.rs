//! A process of a site whose disk is new: what it has to hear before it takes part in the site's log.
//!
//! On a former disk it may have promised things: votes, and entries that were acknowledged with its help. Whoever
//! else stood for such a promise is one of any `N - q + 1` of the other processes, `q` of `N` being most. Until so
//! many have said what they know it says nothing; then it acts on no older vote than theirs, and votes for nobody
//! before it has all that a leader has acknowledged. Where all of them are new as well the log has not begun.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A vote in a site's log: later ones are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogVote {
    /// Its term,
    pub term: u64,
    /// for whom,
    pub node: u64,
    /// and whether most gave it.
    pub committed: bool,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Ask on.
    Wait,
    /// The log has not begun: begin it with the others.
    Bootstrap,
    /// Take this vote for one's own and follow; vote for nobody before all is there.
    Follow(LogVote),
}

/// What a process with a new disk has heard.
#[derive(Debug, Clone)]
pub struct DiskLossRecovery {
    processes: usize,
    /// By place; `None`: its disk was new as well when it was first heard. That stays: whoever takes part since then
    /// began while this process was there.
    heard: BTreeMap<usize, Option<LogVote>>,
}

impl DiskLossRecovery {
    /// Of a site of so many processes.
    pub fn new(processes: usize) -> Self {
        DiskLossRecovery { processes, heard: BTreeMap::new() }
    }

    /// How many others have to be heard.
    pub fn required_responses(&self) -> usize {
        let most = self.processes / 2 + 1;
        (self.processes - most + 1).min(self.processes.saturating_sub(1))
    }

    /// Another process has said which vote it holds; `None`: its disk is new. Whoever asks is new.
    pub fn record_vote(&mut self, place: usize, vote: Option<LogVote>) {
        let known = self.heard.entry(place).or_insert(vote);
        if known.is_some() {
            *known = (*known).max(vote);
        }
    }

    /// What is to be done by now.
    pub fn verdict(&self) -> Verdict {
        if self.heard.len() < self.required_responses() {
            return Verdict::Wait;
        }
        self.heard.values().flatten().max().map_or(Verdict::Bootstrap, |vote| Verdict::Follow(*vote))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn vote(term: u64) -> Option<LogVote> {
        Some(LogVote { term, node: 0, committed: true })
    }

    #[test]
    fn one_alone_begins_and_three_begin_once_all_were_heard() {
        assert_eq!(DiskLossRecovery::new(1).verdict(), Verdict::Bootstrap);
        let mut of_three = DiskLossRecovery::new(3);
        of_three.record_vote(1, None);
        assert_eq!(of_three.verdict(), Verdict::Wait);
        of_three.record_vote(2, None);
        assert_eq!(of_three.verdict(), Verdict::Bootstrap);
    }

    #[test]
    fn a_lost_disk_is_followed_by_the_latest_vote_of_all_who_may_know() {
        let mut rejoin = DiskLossRecovery::new(3);
        rejoin.record_vote(0, vote(4));
        assert_eq!(rejoin.verdict(), Verdict::Wait, "the other may know of a later one");
        rejoin.record_vote(2, vote(5));
        assert_eq!(rejoin.verdict(), Verdict::Follow(vote(5).unwrap()));
        // Of five three: any two of the four may have made up most with this one.
        assert_eq!([2, 3, 4, 5].map(|n| DiskLossRecovery::new(n).required_responses()), [1, 2, 2, 3]);
    }

    #[test]
    fn who_was_new_and_takes_part_since_began_meanwhile() {
        let mut rejoin = DiskLossRecovery::new(3);
        rejoin.record_vote(1, None);
        rejoin.record_vote(1, vote(1));
        rejoin.record_vote(2, None);
        assert_eq!(rejoin.verdict(), Verdict::Bootstrap);
    }
}
