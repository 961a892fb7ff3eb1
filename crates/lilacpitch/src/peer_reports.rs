//! What peers reported of servers: a container, which decides nothing.

use crate::interface::{Nanos, ServerId, ServerReport};
use std::collections::BTreeMap;

/// Reports by server and peer, each with the time of its evidence; of each server the newest `MAX`.
#[derive(Debug, Default)]
pub struct PeerReports<const MAX: usize> {
    reports: BTreeMap<(ServerId, u64), (Nanos, ServerReport)>,
    /// By server the last two peers that reported further successes, the latest first, and when.
    successes: BTreeMap<ServerId, [(u64, Nanos); 2]>,
}

impl<const MAX: usize> PeerReports<MAX> {
    /// Records a report in place of the peer's earlier one of that server.
    pub fn add(&mut self, peer: u64, as_of: Nanos, report: ServerReport) {
        let id = report.server;
        let count = report.succeeded;
        let before = self.reports.insert((id, peer), (as_of, report));
        if before.is_some_and(|(_, before)| before.succeeded < count) {
            self.record_success(id, peer, as_of);
        }
        let known = self.reports.range((id, 0)..=(id, u64::MAX));
        if known.clone().count() > MAX {
            let oldest = known.min_by_key(|(_, (as_of, _))| *as_of).map(|(key, _)| *key);
            oldest.map(|key| self.reports.remove(&key));
        }
    }

    fn record_success(&mut self, id: ServerId, peer: u64, at: Nanos) {
        let last = self.successes.entry(id).or_default();
        match last.iter().position(|(reporter, _)| *reporter == peer) {
            Some(known) => last[known].1 = last[known].1.max(at),
            None if at > last[1].1 => last[1] = (peer, at),
            None => {}
        }
        last.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
    }

    /// When a set-up last succeeded at a server by the reports of two peers: the earlier of their times; 0 if unknown.
    pub fn last_success_ns(&self, id: ServerId) -> Nanos {
        self.successes.get(&id).map_or(0, |last| last[1].1)
    }

    /// Removes what is not newer than `end`.
    pub fn remove_until(&mut self, end: Nanos) {
        self.reports.retain(|_, (as_of, _)| *as_of > end);
        self.successes.retain(|_, last| last[0].1 > end);
    }

    /// The reports of a server, with the times of their evidence.
    pub fn about(&self, id: ServerId) -> impl Iterator<Item = &(Nanos, ServerReport)> {
        self.reports.range((id, 0)..=(id, u64::MAX)).map(|(_, entry)| entry)
    }

    /// The sum of a count over what is newer than a moment, each by `each` at most, and the largest by no more than
    /// the next: one peer alone adds nothing, and takes nothing from what others report.
    pub fn sum_bounded(
        &self,
        id: ServerId,
        since: Nanos,
        each: usize,
        count_of: fn(&ServerReport) -> u32,
    ) -> usize {
        let recent = self.about(id).filter(|(as_of, _)| *as_of > since);
        let counts = recent.map(|(_, report)| (count_of(report) as usize).min(each));
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

    /// Since when the reports of a server are complete: the time of the oldest, if there are as many as are kept.
    pub fn complete_since(&self, id: ServerId) -> Option<Nanos> {
        let as_of = self.about(id).map(|(as_of, _)| *as_of);
        let (count, oldest) = as_of.fold((0, Nanos::MAX), |(count, oldest), at| (count + 1, oldest.min(at)));
        (count >= MAX).then_some(oldest)
    }
}
