//! Load measurement of one front: the latency it adds to the set-up of a call, its use of processor and
//! memory, and the rate that one core sustains.
//!
//! The latency added is the time from the caller's send to the server's read plus the time from the server's
//! answer to the caller's read, all by the testbed's clock. It includes the testbed's own latency, which is
//! measured with the same load on a program that only answers at once.

use crate::call_rules_checker::Violation;
use crate::day::Day;
use crate::edges::{resource_usage, Program, ResourceUsage};
use crate::record::{Record, Seen};
use crate::report::histogram;
use crate::runner::{run_day, RunError, RunResult};
use hdrhistogram::Histogram;
use lilacpitch::interface::Nanos;
use std::collections::BTreeMap;
use std::fmt;

/// The result of one load.
#[derive(Debug)]
pub struct Load {
    /// Calls offered per second.
    pub per_s: f64,
    /// Duration of the load.
    pub seconds: u64,
    /// Number of calls offered, and of those established.
    pub calls: (u64, u64),
    /// Violations of the call rules.
    pub violations: Vec<Violation>,
    /// Latency that the front added to each call established at its first attempt, in microseconds.
    pub added_us: Histogram<u64>,
    /// The testbed's own round trip under the same load, in microseconds.
    pub testbed_us: Histogram<u64>,
    /// Resources used by the front's process.
    pub front: ResourceUsage,
    /// Processor time of the testbed while the front ran, in seconds.
    pub testbed_cpu_s: f64,
}

/// Number of callers' sockets.
const CALLERS: usize = 8;
/// Number of servers, whose capacity is never exceeded.
const SERVERS: usize = 4;

/// A day of steady load on one front.
fn steady_load(per_s: f64, seconds: u64) -> Result<Day, String> {
    let server = |i: usize| format!("\t{{name: \"r{i}\", pool: \"p{i}\", per_s: 1000000}},\n");
    let text = format!(
        "length: \"{seconds}s\"\nedges: 1\ncallers_per_edge: {CALLERS}\nper_s: {per_s:?}\n\
         classes: [\n\t{{name: \"day-plan\", aim: \"2s\", give_up: \"9s\", worth: 1, share: 0.78, hold: \"8s\"}},\n\
         \t{{name: \"reroute\", aim: \"1.2s\", give_up: \"9s\", worth: 3, share: 0.22, hold: \"12s\"}},\n]\n\
         servers: [\n{}]\n",
        (0..SERVERS).map(server).collect::<String>()
    );
    Day::from_text("load", &text).map_err(|e| e.to_string())
}

/// Measures a front under a steady load, and the testbed alone under the same load.
pub fn load(program: &Program, per_s: f64, seconds: u64) -> Result<Load, String> {
    let day = steady_load(per_s, seconds)?;
    let text = |e: RunError| e.to_string();
    let before = resource_usage(std::process::id()).unwrap_or_default();
    let RunResult { records, violations, resource_usage: fronts, report, .. } =
        run_day(&day, program).map_err(text)?;
    let after = resource_usage(std::process::id()).unwrap_or_default();
    let added_us = added_latency(&records);
    let calls = (
        report.classes.iter().map(|c| c.offered).sum(),
        report.classes.iter().map(|c| c.in_time + c.late).sum(),
    );
    drop(records);
    // A tenth of the time is enough for the testbed's own latency.
    let alone = run_day(&steady_load(per_s, (seconds / 10).max(5))?, &Program::Null).map_err(text)?;
    let mut testbed_us = histogram();
    alone.report.classes.iter().for_each(|c| testbed_us.add(&c.setup_us).unwrap_or(()));
    Ok(Load {
        per_s,
        seconds,
        calls,
        violations,
        added_us,
        testbed_us,
        front: fronts.first().copied().unwrap_or_default(),
        testbed_cpu_s: after.cpu_s - before.cpu_s,
    })
}

/// The latency that the front added to calls established at their first attempt, in microseconds.
fn added_latency(records: &[Record]) -> Histogram<u64> {
    let mut offered: BTreeMap<&str, Nanos> = BTreeMap::new();
    // By call: the time at which its server read the set-up and the time at which it answered.
    let mut at_server: BTreeMap<&str, (Nanos, Option<Nanos>)> = BTreeMap::new();
    let mut call_of: BTreeMap<(usize, u64), &str> = BTreeMap::new();
    let mut added_us = histogram();
    for Record { at_ns, seen } in records {
        match seen {
            Seen::Offered { call, .. } => drop(offered.insert(call, *at_ns)),
            Seen::Setup { edge, attempt, call, repeat: false, .. } => {
                call_of.insert((*edge, *attempt), call);
                at_server.entry(call).or_insert((*at_ns, None));
            }
            Seen::Answered { edge, attempt, stands: true, .. } => {
                if let Some(times) = call_of.remove(&(*edge, *attempt)).and_then(|c| at_server.get_mut(c)) {
                    times.1.get_or_insert(*at_ns);
                }
            }
            Seen::Final { call, .. } => {
                let (Some(sent), Some((read, Some(answered)))) =
                    (offered.remove(call.as_str()), at_server.remove(call.as_str()))
                else {
                    continue;
                };
                let added_ns = read.saturating_sub(sent) + at_ns.saturating_sub(answered);
                added_us.saturating_record(added_ns / 1000);
            }
            _ => {}
        }
    }
    added_us
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms =
            |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let (added, testbed) = (&self.added_us, &self.testbed_us);
        let percent_of_core = |cpu_s: f64| 100.0 * cpu_s / self.seconds as f64;
        write!(
            f,
            "{:>7.0}/s {:>5} s {:>9} calls {:>9} stood  added ms p50 {:.2} p99 {:.2} p99.9 {:.2}  own {:.2} {:.2} {:.2}  \
             front {:.0} % of a core, {:.0} MiB  laboratory {:.0} %  breaches {}",
            self.per_s,
            self.seconds,
            self.calls.0,
            self.calls.1,
            ms(added, 0.5),
            ms(added, 0.99),
            ms(added, 0.999),
            ms(testbed, 0.5),
            ms(testbed, 0.99),
            ms(testbed, 0.999),
            percent_of_core(self.front.cpu_s),
            self.front.peak_mib,
            percent_of_core(self.testbed_cpu_s),
            self.violations.len()
        )
    }
}
