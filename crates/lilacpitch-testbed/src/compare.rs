//! Policies side by side: the same days and seeds, several at once, beside the bound.

use crate::baseline::Baseline;
use crate::bound::bound;
use crate::call_rules_checker::Rule;
use crate::day::Day;
use crate::report::Report;
use crate::simulated_run::play_with;
use indicatif::{ProgressBar, ProgressStyle};
use lilacpitch::interface::Nanos;
use lilacpitch_config::ConfigError;
use lilacpitch_edge::core::Safeguards;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::fmt;

/// Seconds over which service is taken to have come back.
const BACK_S: Nanos = 3;
/// Back at this share of what it was before.
const BACK_AT: f64 = 0.95;

/// One policy on one day, over all seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// The day's name.
    pub day: String,
    /// The policy.
    pub policy: Baseline,
    /// Means over the seeds: service, and the worst ten seconds.
    pub service: f64,
    /// The worst ten seconds.
    pub worst: f64,
    /// Seconds until service was back, mean over the seeds on which it came back; and on how many it did not.
    pub recovery: (f64, usize),
    /// Days on which a rule was broken, by rule.
    pub broken: BTreeMap<Rule, usize>,
    /// The bound.
    pub bound: f64,
}

struct Run {
    service: f64,
    worst: f64,
    recovery_s: Option<f64>,
    broken: Vec<Rule>,
}

/// Plays each day with each policy and seed. Same result for any number of threads.
pub fn compare(
    days: &[(String, Day)],
    policies: &[Baseline],
    seeds: u64,
    progress: bool,
) -> Result<Vec<Row>, ConfigError> {
    let mut jobs = Vec::new();
    for index in 0..days.len() {
        for policy in policies {
            jobs.extend((0..seeds).map(|seed| (index, *policy, seed)));
        }
    }
    let bar = if progress { ProgressBar::new(jobs.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    let runs: Result<Vec<Run>, ConfigError> = jobs
        .par_iter()
        .map(|(index, policy, seed)| {
            let mut day = days[*index].1.clone();
            day.seed += seed;
            let played = play_with(&day, Safeguards::default(), *policy)?;
            bar.inc(1);
            let mut broken: Vec<Rule> = played.breaches.iter().map(|b| b.rule).collect();
            broken.sort();
            broken.dedup();
            let recovery_s = recovery(&day, &played.report);
            let (service, worst) = (played.report.service, played.report.worst.0);
            Ok(Run { service, worst, recovery_s, broken })
        })
        .collect();
    bar.finish_and_clear();
    let runs = runs?;
    let each = runs.chunks(seeds.max(1) as usize).zip(jobs.chunks(seeds.max(1) as usize));
    Ok(each.map(|(runs, jobs)| row(&days[jobs[0].0], jobs[0].1, runs)).collect())
}

fn row((name, day): &(String, Day), policy: Baseline, runs: &[Run]) -> Row {
    let mean = |of: &dyn Fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let back: Vec<f64> = runs.iter().filter_map(|run| run.recovery_s).collect();
    let mut broken = BTreeMap::new();
    for rule in runs.iter().flat_map(|run| &run.broken) {
        *broken.entry(*rule).or_default() += 1;
    }
    Row {
        day: name.clone(),
        policy,
        service: mean(&|run| run.service),
        worst: mean(&|run| run.worst),
        recovery: (back.iter().sum::<f64>() / back.len().max(1) as f64, runs.len() - back.len()),
        broken,
        bound: bound(day),
    }
}

/// Seconds from the last trouble's end until service over three seconds is at 95 per cent of what it was before the
/// first, or of all where no time was before. `None`: not on this day.
pub fn recovery(day: &Day, report: &Report) -> Option<f64> {
    let from = day.troubles.iter().map(|t| t.at_ns).min()? / 1_000_000_000;
    let over = day.troubles.iter().map(|t| t.at_ns + t.for_ns).max()? / 1_000_000_000;
    let of = |from: Nanos, to: Nanos| {
        let sum = report.seconds.range(from.min(to)..to).fold((0.0, 0.0), |a, (_, b)| (a.0 + b.0, a.1 + b.1));
        (sum.1 > 0.0).then(|| sum.0 / sum.1)
    };
    let before = of(1, from).filter(|_| from > BACK_S).unwrap_or(1.0);
    let last = (day.length_ns / 1_000_000_000).saturating_sub(BACK_S);
    let mut each = over..=last;
    let back = each.find(|at| of(*at, at + BACK_S).is_none_or(|now| now >= BACK_AT * before))?;
    Some((back - over) as f64)
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (back_s, never) = self.recovery;
        let back = if never == 0 { format!("{back_s:.1}") } else { format!("{back_s:.1}, {never} not") };
        let broken: Vec<String> =
            self.broken.iter().map(|(rule, days)| format!("{}: {days} days", rule.text())).collect();
        let policy = format!("{:?}", self.policy).to_lowercase();
        write!(
            f,
            "{:<26} {policy:<9} {:>7.3} {:>7.3} {:>7.3} {back:>12}  {}",
            self.day,
            self.service,
            self.bound,
            self.worst,
            if broken.is_empty() { "kept".into() } else { broken.join(", ") }
        )
    }
}

/// The heading of rows.
pub const HEADING: &str =
    "day                        policy    service   bound worst10 recovery, s  rules (figures of simulated servers)";
