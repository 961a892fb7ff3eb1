//! The reports that other fronts sent about servers, and statistics over them.

use crate::interface::{Nanos, ServerId, ServerReport};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A report with the time of its observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DatedReport {
    /// When the peer made its observations, by this front's clock.
    pub as_of_ns: Nanos,
    /// The report.
    pub report: ServerReport,
}

/// A peer's latest report of further successes at a server.
#[derive(Debug, Clone, Copy, Default)]
struct PeerSuccess {
    peer: u64,
    as_of_ns: Nanos,
}

/// Reports by server and peer. Only the newest `MAX` reports of each server are kept.
#[derive(Debug, Default)]
pub struct PeerReports<const MAX: usize> {
    reports: BTreeMap<(ServerId, u64), DatedReport>,
    /// For each server the last two peers that reported further successes, the latest first.
    successes: BTreeMap<ServerId, [PeerSuccess; 2]>,
}

impl<const MAX: usize> PeerReports<MAX> {
    /// Records a report about a server, in place of the same peer's earlier one.
    pub fn add(&mut self, peer: u64, as_of_ns: Nanos, report: ServerReport) {
        let id = report.server;
        let succeeded = report.succeeded;
        let previous = self.reports.insert((id, peer), DatedReport { as_of_ns, report });
        if previous.is_some_and(|previous| previous.report.succeeded < succeeded) {
            self.record_success(id, peer, as_of_ns);
        }
        let reports_of_server = self.reports.range((id, 0)..=(id, u64::MAX));
        if reports_of_server.clone().count() > MAX {
            let oldest = reports_of_server.min_by_key(|(_, dated)| dated.as_of_ns).map(|(key, _)| *key);
            oldest.map(|key| self.reports.remove(&key));
        }
    }

    fn record_success(&mut self, id: ServerId, peer: u64, as_of_ns: Nanos) {
        let latest = self.successes.entry(id).or_default();
        match latest.iter().position(|success| success.peer == peer) {
            Some(index) => latest[index].as_of_ns = latest[index].as_of_ns.max(as_of_ns),
            None if as_of_ns > latest[1].as_of_ns => latest[1] = PeerSuccess { peer, as_of_ns },
            None => {}
        }
        latest.sort_by_key(|success| Reverse(success.as_of_ns));
    }

    /// The latest time by which two peers have reported further successes at a server: the earlier of their
    /// last two times, so that no single peer determines it. 0 if unknown.
    pub fn last_success_ns(&self, id: ServerId) -> Nanos {
        self.successes.get(&id).map_or(0, |latest| latest[1].as_of_ns)
    }

    /// Removes the reports whose observations were made at `end_ns` or before.
    pub fn remove_up_to(&mut self, end_ns: Nanos) {
        self.reports.retain(|_, dated| dated.as_of_ns > end_ns);
        self.successes.retain(|_, latest| latest[0].as_of_ns > end_ns);
    }

    /// The reports about a server.
    pub fn for_server(&self, id: ServerId) -> impl Iterator<Item = &DatedReport> {
        self.reports.range((id, 0)..=(id, u64::MAX)).map(|(_, dated)| dated)
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
        let (mut sum, mut largest, mut second) = (0, 0, 0);
        for dated in self.for_server(id).filter(|dated| dated.as_of_ns > since_ns) {
            let count = (count_of(&dated.report) as usize).min(max_each);
            sum += count;
            second = second.max(largest.min(count));
            largest = largest.max(count);
        }
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
        let weight = |dated: &DatedReport| {
            let age_ns = now.saturating_sub(dated.as_of_ns);
            0.5f64.powf(age_ns as f64 / half_life_ns as f64)
        };
        let reported = self.for_server(id).map(|dated| (value(&dated.report), weight(dated)));
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
        let oldest_ns = self.for_server(id).map(|dated| dated.as_of_ns).min().unwrap_or(Nanos::MAX);
        (self.for_server(id).count() >= MAX).then_some(oldest_ns)
    }
}
