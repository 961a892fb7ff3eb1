//! What other fronts told of servers: a container, which decides nothing.

use crate::interface::{Nanos, ServerId, ServerReport};
use std::collections::BTreeMap;

/// Facts by server and teller, each with the moment that its evidence is of; of each server the newest `MOST`.
#[derive(Debug, Default)]
pub struct PeerReports<const MOST: usize> {
    facts: BTreeMap<(ServerId, u64), (Nanos, ServerReport)>,
    /// By server the last two fronts at which something more stood, the latest first, and when.
    stood: BTreeMap<ServerId, [(u64, Nanos); 2]>,
}

impl<const MOST: usize> PeerReports<MOST> {
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
    pub fn last_success_ns(&self, id: ServerId) -> Nanos {
        self.stood.get(&id).map_or(0, |last| last[1].1)
    }

    /// Forgets what is not newer than this.
    pub fn remove_until(&mut self, end: Nanos) {
        self.facts.retain(|_, (as_of, _)| *as_of > end);
        self.stood.retain(|_, last| last[0].1 > end);
    }

    /// What is known of a server.
    pub fn about(&self, id: ServerId) -> impl Iterator<Item = &(Nanos, ServerReport)> {
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
        let lately = self.about(id).filter(|(as_of, _)| *as_of > since);
        let counts = lately.map(|(_, fact)| (count(fact) as usize).min(each));
        let (sum, most, next) = counts.fold((0, 0, 0), |(sum, most, next), count| {
            (sum + count, most.max(count), next.max(most.min(count)))
        });
        sum - most + next
    }

    /// The median of `value` over the reports of a server, each weighed by its age (halved every `half_life_ns`),
    /// beside a neutral 0 of weight `neutral`; `None` unless the reports outweigh that.
    pub fn weighted_median(
        &self,
        id: ServerId,
        now: Nanos,
        half_life_ns: Nanos,
        neutral: f64,
        value: &dyn Fn(&ServerReport) -> f64,
    ) -> Option<f64> {
        let weight = |as_of: &Nanos| 0.5f64.powf(now.saturating_sub(*as_of) as f64 / half_life_ns as f64);
        let reported = self.about(id).map(|(as_of, report)| (value(report), weight(as_of)));
        let mut all: Vec<(f64, f64)> = reported.chain([(0.0, neutral)]).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total = all.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut remaining = total / 2.0;
        let median = all.into_iter().find(|(_, weight)| {
            remaining -= weight;
            remaining <= 0.0
        });
        median.map(|(value, _)| value).filter(|_| total > 2.0 * neutral)
    }

    /// Since when the voices of a server are kept whole: the oldest, where there are as many as are kept.
    pub fn complete_since(&self, id: ServerId) -> Option<Nanos> {
        let as_of = self.about(id).map(|(as_of, _)| *as_of);
        let (count, oldest) = as_of.fold((0, Nanos::MAX), |(count, oldest), at| (count + 1, oldest.min(at)));
        (count >= MOST).then_some(oldest)
    }
}
