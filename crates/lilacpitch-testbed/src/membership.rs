//! How fronts keep view of each other as they grow in number and the network loses datagrams: how soon all see all,
//! what that costs, how soon a dead one is noticed, who is taken to be dead and is not, and how a split heals.

use crate::simulated_network::{Network, Noticed, Sent};
use lilacpitch::interface::Nanos;
use rayon::prelude::*;
use std::fmt;

const S: Nanos = 1_000_000_000;
/// Fronts start within this span, as when an installation is brought up.
const START_WITHIN_NS: Nanos = S;
/// What is waited for at most.
const PATIENCE_NS: Nanos = 120 * S;
/// How often the views are looked at.
const LOOK_NS: Nanos = S / 20;
/// How long the steady state is watched.
const STEADY_NS: Nanos = 60 * S;
/// How long the two halves don't reach each other: long enough that each takes the other for dead.
const SPLIT_NS: Nanos = 60 * S;
/// What comes right after a split has healed.
const HEALED_NS: Nanos = 5 * S;
/// Fronts killed, one after another.
const VICTIMS: usize = 3;

/// The size and the weather of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// How many fronts.
    pub fronts: usize,
    /// Of 100 datagrams, so many are lost.
    pub lost: u32,
}

/// What was seen in one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// From the last start until all saw all, in seconds; `None`: not within two minutes.
    pub joined_s: Option<f64>,
    /// Sent a front and second in the steady state: datagrams and bytes.
    pub steady: (f64, f64),
    /// The most that one front sent, in bytes a second.
    pub most_bytes_per_s: f64,
    /// Fronts that run and were taken to be gone: noticings a front and hour of the steady state.
    pub false_per_front_hour: f64,
    /// From each death until the first of the others had noticed, and until all had, in seconds.
    pub deaths: Vec<(Option<f64>, Option<f64>)>,
    /// From each start anew under the same name until all saw it, in seconds.
    pub returns: Vec<Option<f64>>,
    /// From a split's end until all saw all, in seconds.
    pub healed_s: Option<f64>,
    /// Bytes a front and second in the five seconds after a split, as a multiple of the steady state's.
    pub heal_storm: f64,
}

/// Plays one run.
pub fn watch(case: Case, seed: u64) -> Seen {
    let mut net = Network::new(case.fronts, seed);
    net.weather.lost = case.lost;
    for front in 0..case.fronts {
        net.start(front);
        net.run(START_WITHIN_NS / case.fronts as Nanos);
    }
    let joined_s = until(&mut net, Network::all_see_all);
    let (steady, most_bytes_per_s, noticed) = sent_over(&mut net, STEADY_NS);
    let wrong = noticed.iter().filter(|n| !n.there && n.of_this_life && n.runs).count();
    let (mut deaths, mut returns) = (Vec::new(), Vec::new());
    // Not the seeds: these are where a front that starts anew asks.
    for victim in (0..case.fronts).rev().take(VICTIMS.min(case.fronts.saturating_sub(1))) {
        deaths.push(death(&mut net, victim));
        net.start(victim);
        returns.push(until(&mut net, Network::all_see_all));
    }
    net.weather.split = case.fronts / 2;
    net.run(SPLIT_NS);
    net.weather.split = 0;
    let (after, ..) = sent_over(&mut net, HEALED_NS);
    let healed_s = until(&mut net, Network::all_see_all).map(|s| s + HEALED_NS as f64 / 1e9);
    Seen {
        joined_s,
        steady,
        most_bytes_per_s,
        false_per_front_hour: wrong as f64 / case.fronts as f64 * 3_600e9 / STEADY_NS as f64,
        deaths,
        returns,
        healed_s,
        heal_storm: after.1 / steady.1.max(f64::MIN_POSITIVE),
    }
}

/// Seconds until it holds; `None`: it did not within patience.
fn until(net: &mut Network, holds: fn(&Network) -> bool) -> Option<f64> {
    let begun = net.now;
    while !holds(net) {
        if net.now >= begun + PATIENCE_NS {
            return None;
        }
        net.run(LOOK_NS);
    }
    Some((net.now - begun) as f64 / 1e9)
}

/// What was sent over a span: datagrams and bytes a front and second, the most of one front; and what was noticed.
fn sent_over(net: &mut Network, span_ns: Nanos) -> ((f64, f64), f64, Vec<Noticed>) {
    let before = net.sent();
    let noticed = net.run(span_ns);
    let seconds = span_ns as f64 / 1e9;
    let since = |(after, before): (&Sent, &Sent)| {
        let datagrams = (after.datagrams - before.datagrams) as f64 / seconds;
        (datagrams, (after.bytes - before.bytes) as f64 / seconds)
    };
    let each: Vec<(f64, f64)> = net.sent().iter().zip(&before).map(since).collect();
    let sum = each.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let most = each.iter().map(|(_, bytes)| *bytes).fold(0.0, f64::max);
    let fronts = each.len().max(1) as f64;
    ((sum.0 / fronts, sum.1 / fronts), most, noticed)
}

/// Kills a front: until the first of the others notices, and until all have.
fn death(net: &mut Network, victim: usize) -> (Option<f64>, Option<f64>) {
    let (died, others) = (net.now, net.sent().len() - 1);
    net.kill(victim);
    let (mut first, mut by) = (None, std::collections::BTreeSet::new());
    while net.now < died + PATIENCE_NS {
        for noticed in net.run(LOOK_NS).iter().filter(|n| n.of == victim && !n.there && n.of_this_life) {
            first = first.or(Some((noticed.at_ns - died) as f64 / 1e9));
            by.insert(noticed.by);
            if by.len() == others {
                return (first, Some((noticed.at_ns - died) as f64 / 1e9));
            }
        }
    }
    (first, None)
}

/// One row of the table: the runs of a case.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What was run.
    pub case: Case,
    /// A run a seed.
    pub runs: Vec<Seen>,
}

/// Plays all cases with so many seeds each, several at a time.
pub fn membership(cases: &[Case], seeds: u64) -> Vec<Row> {
    let of = |case: &Case| Row {
        case: *case,
        runs: (1..=seeds).into_par_iter().map(|seed| watch(*case, seed)).collect(),
    };
    cases.par_iter().map(of).collect()
}

/// What stands above the rows.
pub const HEADING: &str = "fronts  lost  joined s  datagrams/s  bytes/s  most bytes/s  false/front-hour  \
                           dead: first s  all s (most)  back s  healed s  storm";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean =
            |of: &dyn Fn(&Seen) -> f64| self.runs.iter().map(of).sum::<f64>() / self.runs.len().max(1) as f64;
        let all = |of: &dyn Fn(&Seen) -> Vec<Option<f64>>| self.runs.iter().flat_map(of).collect::<Vec<_>>();
        let all_noticed = all(&|r| r.deaths.iter().map(|d| d.1).collect());
        write!(
            f,
            "{:>6} {:>4}% {:>9} {:>12.1} {:>8.0} {:>13.0} {:>17.2} {:>14} {:>13} {:>7} {:>9} {:>6.2}",
            self.case.fronts,
            self.case.lost,
            mean_of(&all(&|r| vec![r.joined_s])),
            mean(&|r| r.steady.0),
            mean(&|r| r.steady.1),
            self.runs.iter().map(|r| r.most_bytes_per_s).fold(0.0, f64::max),
            mean(&|r| r.false_per_front_hour),
            mean_of(&all(&|r| r.deaths.iter().map(|d| d.0).collect())),
            format!("{} ({})", mean_of(&all_noticed), most_of(&all_noticed)),
            mean_of(&all(&|r| r.returns.clone())),
            mean_of(&all(&|r| vec![r.healed_s])),
            mean(&|r| r.heal_storm),
        )
    }
}

/// The mean of what was reached, and how many were not.
fn mean_of(values: &[Option<f64>]) -> String {
    let reached: Vec<f64> = values.iter().flatten().copied().collect();
    let mean = reached.iter().sum::<f64>() / reached.len().max(1) as f64;
    match values.len() - reached.len() {
        0 => format!("{mean:.1}"),
        never if reached.is_empty() => format!("never {never}"),
        never => format!("{mean:.1}, never {never}"),
    }
}

fn most_of(values: &[Option<f64>]) -> String {
    format!("{:.1}", values.iter().flatten().copied().fold(0.0, f64::max))
}
