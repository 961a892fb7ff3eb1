//! Measurement of membership by number of fronts and loss of datagrams: the time until all fronts know each
//! other, the traffic, the time until a failure is detected, false detections, and the recovery from a
//! partition.

use crate::simulated_network::{GossipTraffic, MembershipChange, Network};
use lilacpitch::interface::Nanos;
use rayon::prelude::*;
use std::fmt;

const S: Nanos = 1_000_000_000;
/// Period within which all fronts start, as when an installation is brought up.
const START_WITHIN_NS: Nanos = S;
/// Longest time that a state of the network is waited for.
const MAX_WAIT_NS: Nanos = 120 * S;
/// Interval of the checks for such a state.
const CHECK_INTERVAL_NS: Nanos = S / 20;
/// Time over which the steady state is measured.
const STEADY_NS: Nanos = 60 * S;
/// Duration of the partition: long enough that each half declares the other dead.
const SPLIT_NS: Nanos = 60 * S;
/// Time after the end of the partition over which traffic is measured.
const HEALED_NS: Nanos = 5 * S;
/// Number of fronts that are killed, one after another.
const KILLED_FRONTS: usize = 3;

/// The parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// Number of fronts.
    pub fronts: usize,
    /// Percentage of datagrams lost.
    pub lost: u32,
}

/// The measurements of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Measurement {
    /// Seconds from the last start until all fronts knew each other; `None`: more than two minutes.
    pub joined_s: Option<f64>,
    /// Datagrams and bytes sent per front and second in the steady state.
    pub steady: (f64, f64),
    /// Bytes per second sent in the steady state by the front that sent most.
    pub max_bytes_per_s: f64,
    /// False detections of failures in the steady state, per front and hour.
    pub false_per_front_hour: f64,
    /// For each front killed, seconds until the first other front detected it, and until all had.
    pub detections_s: Vec<(Option<f64>, Option<f64>)>,
    /// For each of these fronts, seconds from its restart with the same name until all fronts knew each
    /// other.
    pub rejoined_s: Vec<Option<f64>>,
    /// Seconds from the end of the partition until all fronts knew each other.
    pub healed_s: Option<f64>,
    /// Bytes per front and second in the five seconds after the partition, as a multiple of the steady state.
    pub heal_storm: f64,
}

/// Runs one case with one seed.
pub fn measure(case: Case, seed: u64) -> Measurement {
    let mut network = Network::new(case.fronts, seed);
    network.conditions.lost = case.lost;
    for front in 0..case.fronts {
        network.start(front);
        network.run(START_WITHIN_NS / case.fronts as Nanos);
    }
    let joined_s = seconds_until(&mut network, Network::all_know_all);
    let steady = measure_traffic(&mut network, STEADY_NS);
    let is_false_detection =
        |change: &&MembershipChange| !change.joined && change.is_current_incarnation && change.is_running;
    let false_detections = steady.changes.iter().filter(is_false_detection).count();
    let (mut detections_s, mut rejoined_s) = (Vec::new(), Vec::new());
    // The last fronts and not the first, which are the seeds: a front that restarts announces itself to
    // these.
    for front in (0..case.fronts).rev().take(KILLED_FRONTS.min(case.fronts.saturating_sub(1))) {
        detections_s.push(detection_times(&mut network, front));
        network.start(front);
        rejoined_s.push(seconds_until(&mut network, Network::all_know_all));
    }
    network.conditions.split = case.fronts / 2;
    network.run(SPLIT_NS);
    network.conditions.split = 0;
    let healing = measure_traffic(&mut network, HEALED_NS);
    let healed_s = seconds_until(&mut network, Network::all_know_all).map(|s| s + HEALED_NS as f64 / 1e9);
    Measurement {
        joined_s,
        steady: (steady.datagrams_per_s, steady.bytes_per_s),
        max_bytes_per_s: steady.max_bytes_per_s,
        false_per_front_hour: false_detections as f64 / case.fronts as f64 * 3_600e9 / STEADY_NS as f64,
        detections_s,
        rejoined_s,
        healed_s,
        heal_storm: healing.bytes_per_s / steady.bytes_per_s.max(f64::MIN_POSITIVE),
    }
}

/// Runs the network until a condition holds. Returns the seconds that took; `None`: more than
/// [`MAX_WAIT_NS`].
fn seconds_until(network: &mut Network, condition: fn(&Network) -> bool) -> Option<f64> {
    let start = network.now;
    while !condition(network) {
        if network.now >= start + MAX_WAIT_NS {
            return None;
        }
        network.run(CHECK_INTERVAL_NS);
    }
    Some((network.now - start) as f64 / 1e9)
}

/// Traffic and changes of membership over a period.
struct Traffic {
    /// Datagrams sent per front and second.
    datagrams_per_s: f64,
    /// Bytes sent per front and second.
    bytes_per_s: f64,
    /// Bytes per second of the front that sent most.
    max_bytes_per_s: f64,
    changes: Vec<MembershipChange>,
}

/// Runs the network for a period and measures its traffic.
fn measure_traffic(network: &mut Network, duration_ns: Nanos) -> Traffic {
    let before = network.sent();
    let changes = network.run(duration_ns);
    let seconds = duration_ns as f64 / 1e9;
    let rates = |(after, before): (&GossipTraffic, &GossipTraffic)| {
        let datagrams = (after.datagrams - before.datagrams) as f64 / seconds;
        (datagrams, (after.bytes - before.bytes) as f64 / seconds)
    };
    let each: Vec<(f64, f64)> = network.sent().iter().zip(&before).map(rates).collect();
    let sum = each.iter().fold((0.0, 0.0), |sum, front| (sum.0 + front.0, sum.1 + front.1));
    let fronts = each.len().max(1) as f64;
    Traffic {
        datagrams_per_s: sum.0 / fronts,
        bytes_per_s: sum.1 / fronts,
        max_bytes_per_s: each.iter().map(|(_, bytes)| *bytes).fold(0.0, f64::max),
        changes,
    }
}

/// Kills a front. Returns the seconds until the first other front detects it, and until all have.
fn detection_times(network: &mut Network, front: usize) -> (Option<f64>, Option<f64>) {
    let (killed, others) = (network.now, network.sent().len() - 1);
    network.kill(front);
    let (mut first, mut detected_by) = (None, std::collections::BTreeSet::new());
    while network.now < killed + MAX_WAIT_NS {
        let changes = network.run(CHECK_INTERVAL_NS);
        let is_detection = |change: &&MembershipChange| {
            change.member == front && !change.joined && change.is_current_incarnation
        };
        for detection in changes.iter().filter(is_detection) {
            let seconds = (detection.at_ns - killed) as f64 / 1e9;
            first = first.or(Some(seconds));
            detected_by.insert(detection.observer);
            if detected_by.len() == others {
                return (first, Some(seconds));
            }
        }
    }
    (first, None)
}

/// One row of the table: the runs of a case.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The parameters.
    pub case: Case,
    /// One run for each seed.
    pub runs: Vec<Measurement>,
}

/// Runs all cases with this many seeds each, several at a time.
pub fn membership(cases: &[Case], seeds: u64) -> Vec<Row> {
    let run_case = |case: &Case| Row {
        case: *case,
        runs: (1..=seeds).into_par_iter().map(|seed| measure(*case, seed)).collect(),
    };
    cases.par_iter().map(run_case).collect()
}

/// The heading of the table of [`Row`]s.
pub const HEADING: &str = "fronts  lost  joined s  datagrams/s  bytes/s  most bytes/s  false/front-hour  \
                           dead: first s  all s (most)  back s  healed s  storm";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = |value: &dyn Fn(&Measurement) -> f64| {
            self.runs.iter().map(value).sum::<f64>() / self.runs.len().max(1) as f64
        };
        let all = |values: &dyn Fn(&Measurement) -> Vec<Option<f64>>| {
            self.runs.iter().flat_map(values).collect::<Vec<_>>()
        };
        let detected_by_all = all(&|r| r.detections_s.iter().map(|d| d.1).collect());
        write!(
            f,
            "{:>6} {:>4}% {:>9} {:>12.1} {:>8.0} {:>13.0} {:>17.2} {:>14} {:>13} {:>7} {:>9} {:>6.2}",
            self.case.fronts,
            self.case.lost,
            mean_of(&all(&|r| vec![r.joined_s])),
            mean(&|r| r.steady.0),
            mean(&|r| r.steady.1),
            self.runs.iter().map(|r| r.max_bytes_per_s).fold(0.0, f64::max),
            mean(&|r| r.false_per_front_hour),
            mean_of(&all(&|r| r.detections_s.iter().map(|d| d.0).collect())),
            format!("{} ({})", mean_of(&detected_by_all), max_of(&detected_by_all)),
            mean_of(&all(&|r| r.rejoined_s.clone())),
            mean_of(&all(&|r| vec![r.healed_s])),
            mean(&|r| r.heal_storm),
        )
    }
}

/// The mean of the values that are present, and the number of those that are not.
fn mean_of(values: &[Option<f64>]) -> String {
    let present: Vec<f64> = values.iter().flatten().copied().collect();
    let mean = present.iter().sum::<f64>() / present.len().max(1) as f64;
    match values.len() - present.len() {
        0 => format!("{mean:.1}"),
        never if present.is_empty() => format!("never {never}"),
        never => format!("{mean:.1}, never {never}"),
    }
}

fn max_of(values: &[Option<f64>]) -> String {
    format!("{:.1}", values.iter().flatten().copied().fold(0.0, f64::max))
}
