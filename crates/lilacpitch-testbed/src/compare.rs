//! Comparison of policies on the same days and seeds, and with the upper bound.

use crate::baseline::Baseline;
use crate::bound::bound;
use crate::call_rules_checker::Rule;
use crate::day::Day;
use crate::report::Report;
use crate::simulated_run::simulate_day_with;
use indicatif::{ProgressBar, ProgressStyle};
use lilacpitch::interface::Nanos;
use lilacpitch_config::ConfigError;
use lilacpitch_edge::core::Safeguards;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::fmt;

/// Seconds over which service is averaged to decide whether it has recovered.
const RECOVERY_WINDOW_S: Nanos = 3;
/// Share of the service before the first fault at which it counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// The results of one policy on one day, over all seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// Name of the day.
    pub day: String,
    /// The policy.
    pub policy: Baseline,
    /// Service, the mean over the seeds.
    pub service: f64,
    /// Service in the worst ten seconds, the mean over the seeds.
    pub worst: f64,
    /// Seconds until service recovered, the mean over the seeds where it did; and the number of seeds where
    /// it did not.
    pub recovery: (f64, usize),
    /// Number of runs in which each rule was violated.
    pub broken: BTreeMap<Rule, usize>,
    /// The upper bound on service.
    pub bound: f64,
}

/// The result of one seed.
struct Run {
    service: f64,
    worst: f64,
    recovery_s: Option<f64>,
    broken: Vec<Rule>,
}

/// Runs each day with each policy and seed, several at once. The result does not depend on the number of
/// threads.
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
            let result = simulate_day_with(&day, Safeguards::default(), *policy)?;
            bar.inc(1);
            let mut broken: Vec<Rule> = result.violations.iter().map(|b| b.rule).collect();
            broken.sort();
            broken.dedup();
            let recovery_s = recovery(&day, &result.report);
            let (service, worst) = (result.report.service, result.report.worst.0);
            Ok(Run { service, worst, recovery_s, broken })
        })
        .collect();
    bar.finish_and_clear();
    let runs = runs?;
    let seeds = seeds.max(1) as usize;
    let groups = runs.chunks(seeds).zip(jobs.chunks(seeds));
    Ok(groups.map(|(runs, jobs)| summarize(&days[jobs[0].0], jobs[0].1, runs)).collect())
}

fn summarize((name, day): &(String, Day), policy: Baseline, runs: &[Run]) -> Row {
    let mean = |value: &dyn Fn(&Run) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let recoveries: Vec<f64> = runs.iter().filter_map(|run| run.recovery_s).collect();
    let mut broken = BTreeMap::new();
    for rule in runs.iter().flat_map(|run| &run.broken) {
        *broken.entry(*rule).or_default() += 1;
    }
    Row {
        day: name.clone(),
        policy,
        service: mean(&|run| run.service),
        worst: mean(&|run| run.worst),
        recovery: (
            recoveries.iter().sum::<f64>() / recoveries.len().max(1) as f64,
            runs.len() - recoveries.len(),
        ),
        broken,
        bound: bound(day),
    }
}

/// Seconds from the end of the last fault until service over three seconds is at 95 percent of the service
/// before the first fault, or of full service if the first fault comes too early. `None` if service does not
/// recover, or if there are no faults.
pub fn recovery(day: &Day, report: &Report) -> Option<f64> {
    let first_fault_s = day.troubles.iter().map(|t| t.at_ns).min()? / 1_000_000_000;
    let faults_end_s = day.troubles.iter().map(|t| t.at_ns + t.for_ns).max()? / 1_000_000_000;
    let service = |start: Nanos, end: Nanos| {
        let seconds = report.seconds.range(start.min(end)..end);
        let (earned, offered) =
            seconds.fold((0.0, 0.0), |sum, (_, second)| (sum.0 + second.0, sum.1 + second.1));
        (offered > 0.0).then(|| earned / offered)
    };
    let before = service(1, first_fault_s).filter(|_| first_fault_s > RECOVERY_WINDOW_S).unwrap_or(1.0);
    let last_start_s = (day.length_ns / 1_000_000_000).saturating_sub(RECOVERY_WINDOW_S);
    let has_recovered = |start: &Nanos| {
        service(*start, start + RECOVERY_WINDOW_S).is_none_or(|now| now >= RECOVERED_SHARE * before)
    };
    let recovered_s = (faults_end_s..=last_start_s).find(has_recovered)?;
    Some((recovered_s - faults_end_s) as f64)
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (mean_s, not_recovered) = self.recovery;
        let recovery = if not_recovered == 0 {
            format!("{mean_s:.1}")
        } else {
            format!("{mean_s:.1}, {not_recovered} not")
        };
        let broken: Vec<String> =
            self.broken.iter().map(|(rule, days)| format!("{}: {days} days", rule.text())).collect();
        // The variant's name in lower case, as in earlier reports.
        let policy = format!("{:?}", self.policy).to_lowercase();
        write!(
            f,
            "{:<26} {policy:<9} {:>7.3} {:>7.3} {:>7.3} {recovery:>12}  {}",
            self.day,
            self.service,
            self.bound,
            self.worst,
            if broken.is_empty() { "kept".into() } else { broken.join(", ") }
        )
    }
}

/// The heading of the table of [`Row`]s.
pub const HEADING: &str =
    "day                        policy    service   bound worst10 recovery, s  rules (figures of simulated servers)";
