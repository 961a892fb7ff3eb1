//! The reports that other fronts sent about servers, and statistics over them.

use crate::interface::{Nanos, ServerId, ServerReport};
use std::collections::BTreeMap;

/// Reports by server and peer, each with the time of its observations. Only the newest `MAX` reports of each
/// server are kept.
#[derive(Debug, Default)]
pub struct PeerReports<const MAX: usize> {
    reports: BTreeMap<(ServerId, u64), (Nanos, ServerReport)>,
    /// For each server the last two peers that reported further successes, with the time, the latest first.
    successes: BTreeMap<ServerId, [(u64, Nanos); 2]>,
}

impl<const MAX: usize> PeerReports<MAX> {
    /// Records a report about a server, in place of the same peer's earlier one.
    pub fn add(&mut self, peer: u64, as_of_ns: Nanos, report: ServerReport) {
        let id = report.server;
        let succeeded = report.succeeded;
        let previous = self.reports.insert((id, peer), (as_of_ns, report));
        if previous.is_some_and(|(_, previous)| previous.succeeded < succeeded) {
            self.record_success(id, peer, as_of_ns);
        }
        let reports_of_server = self.reports.range((id, 0)..=(id, u64::MAX));
        if reports_of_server.clone().count() > MAX {
            let oldest = reports_of_server.min_by_key(|(_, (as_of_ns, _))| *as_of_ns).map(|(key, _)| *key);
            oldest.map(|key| self.reports.remove(&key));
        }
    }

    fn record_success(&mut self, id: ServerId, peer: u64, as_of_ns: Nanos) {
        let latest = self.successes.entry(id).or_default();
        match latest.iter().position(|(reporter, _)| *reporter == peer) {
            Some(index) => latest[index].1 = latest[index].1.max(as_of_ns),
            None if as_of_ns > latest[1].1 => latest[1] = (peer, as_of_ns),
            None => {}
        }
        latest.sort_by_key(|(_, as_of_ns)| std::cmp::Reverse(*as_of_ns));
    }

    /// The latest time by which two peers have reported further successes at a server: the earlier of their
    /// last two times, so that no single peer determines it. 0 if unknown.
    pub fn last_success_ns(&self, id: ServerId) -> Nanos {
        self.successes.get(&id).map_or(0, |latest| latest[1].1)
    }

    /// Removes the reports whose observations were made at `end_ns` or before.
    pub fn remove_up_to(&mut self, end_ns: Nanos) {
        self.reports.retain(|_, (as_of_ns, _)| *as_of_ns > end_ns);
        self.successes.retain(|_, latest| latest[0].1 > end_ns);
    }

    /// The reports about a server, with the times of their observations.
    pub fn for_server(&self, id: ServerId) -> impl Iterator<Item = &(Nanos, ServerReport)> {
        self.reports.range((id, 0)..=(id, u64::MAX)).map(|(_, entry)| entry)
    }

    /// The sum of `count_of` over the reports about a server that are newer than `since_ns`. Each report
    /// counts for `max_each` at most, and the largest count for no more than the second largest: a single
    /// peer adds nothing by itself, and takes nothing from what others report.
    pub fn bounded_sum(
        &self,
        id: ServerId,
        since_ns: Nanos,
        max_each: usize,
        count_of: fn(&ServerReport) -> u32,
    ) -> usize {
        let recent = self.for_server(id).filter(|(as_of_ns, _)| *as_of_ns > since_ns);
        let counts = recent.map(|(_, report)| (count_of(report) as usize).min(max_each));
        let (sum, largest, second) = counts.fold((0, 0, 0), |(sum, largest, second), count| {
            (sum + count, largest.max(count), second.max(largest.min(count)))
        });
        sum - largest + second
    }

    /// The weighted median of `value` over the reports about a server and one neutral report of 0. The weight
    /// of a report starts at 1 and halves every `half_life_ns`; the neutral one has `neutral_weight`. `None`
    /// unless the peers' reports outweigh the neutral one.
    pub fn weighted_median(
        &self,
        id: ServerId,
        now: Nanos,
        half_life_ns: Nanos,
        neutral_weight: f64,
        value: &dyn Fn(&ServerReport) -> f64,
    ) -> Option<f64> {
        let weight = |as_of_ns: &Nanos| {
            let age_ns = now.saturating_sub(*as_of_ns);
            0.5f64.powf(age_ns as f64 / half_life_ns as f64)
        };
        let reported = self.for_server(id).map(|(as_of_ns, report)| (value(report), weight(as_of_ns)));
        let mut weighted: Vec<(f64, f64)> = reported.chain([(0.0, neutral_weight)]).collect();
        weighted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total_weight = weighted.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut remaining = total_weight / 2.0;
        let median = weighted.into_iter().find(|(_, weight)| {
            remaining -= weight;
            remaining <= 0.0
        });
        median.map(|(value, _)| value).filter(|_| total_weight > 2.0 * neutral_weight)
    }

    /// The time since which the reports about a server are complete: that of the oldest, if as many reports
    /// are kept as are allowed; `None` if all reports are kept.
    pub fn complete_since(&self, id: ServerId) -> Option<Nanos> {
        let times = self.for_server(id).map(|(as_of_ns, _)| *as_of_ns);
        let (count, oldest_ns) =
            times.fold((0, Nanos::MAX), |(count, oldest_ns), at_ns| (count + 1, oldest_ns.min(at_ns)));
        (count >= MAX).then_some(oldest_ns)
    }
}
