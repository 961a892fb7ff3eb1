//! What other fronts told of servers: a container, which decides nothing.

use crate::interface::{Nanos, ServerId, ServerReport};
use std::collections::BTreeMap;

/// Facts by server and teller, each with the moment that its evidence is of; of each server the newest `MOST`.
#[derive(Debug, Default)]
pub struct Voices<const MOST: usize> {
    facts: BTreeMap<(ServerId, u64), (Nanos, ServerReport)>,
    /// By server the last two fronts at which something more stood, the latest first, and when.
    stood: BTreeMap<ServerId, [(u64, Nanos); 2]>,
}

impl<const MOST: usize> Voices<MOST> {
    /// Takes what a front tells in place of what it told of that server before.
    pub fn add(&mut self, peer: u64, as_of: Nanos, fact: ServerReport) {
        let id = fact.server;
        let count = fact.succeeded;
        let before = self.facts.insert((id, peer), (as_of, fact));
        if before.is_some_and(|(_, before)| before.succeeded < count) {
            self.note_stood(id, peer, as_of);
        }
        let known = self.facts.range((id, 0)..=(id, u64::MAX));
        if known.clone().count() > MOST {
            let oldest = known.min_by_key(|(_, (as_of, _))| *as_of).map(|(key, _)| *key);
            oldest.map(|key| self.facts.remove(&key));
        }
    }

    fn note_stood(&mut self, id: ServerId, peer: u64, at: Nanos) {
        let last = self.stood.entry(id).or_default();
        match last.iter().position(|(teller, _)| *teller == peer) {
            Some(known) => last[known].1 = last[known].1.max(at),
            None if at > last[1].1 => last[1] = (peer, at),
            None => {}
        }
        last.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
    }

    /// When something last stood at a server by the word of two fronts: the earlier of their moments.
    pub fn stood_ns(&self, id: ServerId) -> Nanos {
        self.stood.get(&id).map_or(0, |last| last[1].1)
    }

    /// Forgets what is not newer than this.
    pub fn forget_until(&mut self, end: Nanos) {
        self.facts.retain(|_, (as_of, _)| *as_of > end);
        self.stood.retain(|_, last| last[0].1 > end);
    }

    /// What is known of a server.
    pub fn of(&self, id: ServerId) -> impl Iterator<Item = &(Nanos, ServerReport)> {
        self.facts.range((id, 0)..=(id, u64::MAX)).map(|(_, told)| told)
    }

    /// The sum of a count over what is newer than a moment, each by `each` at most, and the largest by no more than
    /// the next: one front alone adds nothing, and takes nothing from what the others tell.
    pub fn sum_bounded(
        &self,
        id: ServerId,
        since: Nanos,
        each: usize,
        count: fn(&ServerReport) -> u32,
    ) -> usize {
        let lately = self.of(id).filter(|(as_of, _)| *as_of > since);
        let counts = lately.map(|(_, fact)| (count(fact) as usize).min(each));
        let (sum, most, next) = counts.fold((0, 0, 0), |(sum, most, next), count| {
            (sum + count, most.max(count), next.max(most.min(count)))
        });
        sum - most + next
    }

    /// Since when the voices of a server are kept whole: the oldest, where there are as many as are kept.
    pub fn whole_since(&self, id: ServerId) -> Option<Nanos> {
        let as_of = self.of(id).map(|(as_of, _)| *as_of);
        let (count, oldest) = as_of.fold((0, Nanos::MAX), |(count, oldest), at| (count + 1, oldest.min(at)));
        (count >= MOST).then_some(oldest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fact(server: ServerId, out: u32) -> ServerReport {
        ServerReport {
            server,
            in_flight: out,
            age_ns: 0,
            wait_ns: 0,
            succeeded: 0,
            is_unresponsive: false,
            warming_up_for_ns: None,
            is_draining: false,
        }
    }

    #[test]
    fn the_newest_are_kept_each_once_and_summed_within_bounds() {
        let mut voices = Voices::<3>::default();
        for (peer, as_of, out) in [(1, 10, 9), (2, 20, 2), (1, 30, 7), (3, 40, 1)] {
            voices.add(peer, as_of, fact(5, out));
        }
        assert_eq!((voices.of(5).count(), voices.whole_since(5)), (3, Some(20)), "1 told twice");
        assert_eq!(
            voices.sum_bounded(5, 0, 4, |f| f.in_flight),
            2 + 2 + 1,
            "7 counts for 4, and 4 for the next"
        );
        assert_eq!(voices.sum_bounded(5, 30, 4, |f| f.in_flight), 0, "newer than 30 is one alone");
        voices.add(4, 50, fact(5, 0));
        assert_eq!((voices.of(5).count(), voices.whole_since(5)), (3, Some(30)), "the oldest is gone");
        voices.add(5, 60, fact(5, 3));
        assert_eq!(voices.sum_bounded(5, 40, 4, |f| f.in_flight), 0, "newer than 40 only");
        voices.forget_until(50);
        assert_eq!((voices.of(5).count(), voices.whole_since(5)), (1, None));
        assert_eq!(voices.of(6).count(), 0);
    }

    #[test]
    fn something_stood_by_the_word_of_two_fronts() {
        let mut voices = Voices::<3>::default();
        let mut tell = |peer, as_of, stood| {
            voices.add(peer, as_of, ServerReport { succeeded: stood, ..fact(5, 0) });
            voices.stood_ns(5)
        };
        assert_eq!([tell(1, 10, 3), tell(2, 20, 1)], [0, 0], "what stood before is not known");
        assert_eq!([tell(1, 30, 4), tell(1, 40, 9)], [0, 0], "one alone, as often as it likes");
        assert_eq!([tell(2, 50, 2), tell(3, 60, 0)], [40, 40], "the earlier of the two");
        assert_eq!([tell(3, 70, 1), tell(2, 80, 1)], [50, 50], "less stood lately: nothing new");
        assert_eq!(tell(0, 90, 1), 50);
        voices.forget_until(70);
        assert_eq!(voices.stood_ns(5), 0, "forgotten");
    }
}
