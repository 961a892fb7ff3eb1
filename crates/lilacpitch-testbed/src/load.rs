//! How fast a front is: what it adds to a call's set-up, what it costs, and the rate that one core holds.
//!
//! What a front adds is the time from the caller's send to the server's read, and from the server's answer to
//! the caller's read: both ends are clocked by the laboratory. The laboratory's own part is told apart by the
//! same load on a front that answers at once and does nothing else.

use crate::call_rules_checker::Breach;
use crate::day::Day;
use crate::edges::{used, Program, Used};
use crate::record::{Record, Seen};
use crate::report::histogram;
use crate::runner::{play, PlayError, Played};
use hdrhistogram::Histogram;
use lilacpitch::interface::Nanos;
use std::collections::BTreeMap;
use std::fmt;

/// One load, and what it came to.
#[derive(Debug)]
pub struct Load {
    /// Calls a second that were asked for.
    pub per_s: f64,
    /// For so long.
    pub seconds: u64,
    /// Calls offered, and how many of them were answered 'stands'.
    pub calls: (u64, u64),
    /// Rules broken.
    pub breaches: Vec<Breach>,
    /// What the front added to each call that stood at its first attempt, in microseconds.
    pub added_us: Histogram<u64>,
    /// The laboratory's own round trip under the same load, in microseconds.
    pub own_us: Histogram<u64>,
    /// What the front's process used.
    pub front: Used,
    /// Processor time of the laboratory while the front ran.
    pub lab_cpu_s: f64,
}

/// Sockets of callers, and servers that are never short.
const CALLERS: usize = 8;
const SERVERS: usize = 4;

/// A day of steady load on one front.
fn steady(per_s: f64, seconds: u64) -> Result<Day, String> {
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

/// Puts a steady load on a front, and the same on one that does nothing.
pub fn load(program: &Program, per_s: f64, seconds: u64) -> Result<Load, String> {
    let day = steady(per_s, seconds)?;
    let told = |e: PlayError| e.to_string();
    let before = used(std::process::id()).unwrap_or_default();
    let Played { records, breaches, used: fronts, report, .. } = play(&day, program).map_err(told)?;
    let after = used(std::process::id()).unwrap_or_default();
    let added_us = added(&records);
    let calls = (
        report.classes.iter().map(|c| c.offered).sum(),
        report.classes.iter().map(|c| c.in_time + c.late).sum(),
    );
    drop(records);
    // A tenth of the time is enough for the laboratory's own part.
    let idle = play(&steady(per_s, (seconds / 10).max(5))?, &Program::Null).map_err(told)?;
    let mut own_us = histogram();
    idle.report.classes.iter().for_each(|c| own_us.add(&c.setup_us).unwrap_or(()));
    Ok(Load {
        per_s,
        seconds,
        calls,
        breaches,
        added_us,
        own_us,
        front: fronts.first().copied().unwrap_or_default(),
        lab_cpu_s: after.cpu_s - before.cpu_s,
    })
}

/// What the front added to calls that stood at their first attempt.
fn added(records: &[Record]) -> Histogram<u64> {
    let mut offered: BTreeMap<&str, Nanos> = BTreeMap::new();
    // By call: the set-up's read, and the answer's send.
    let mut at_server: BTreeMap<&str, (Nanos, Option<Nanos>)> = BTreeMap::new();
    let mut call_of: BTreeMap<(usize, u64), &str> = BTreeMap::new();
    let mut out = histogram();
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
                out.saturating_record(added_ns / 1000);
            }
            _ => {}
        }
    }
    out
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let (added, own) = (&self.added_us, &self.own_us);
        let core = |cpu_s: f64| 100.0 * cpu_s / self.seconds as f64;
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
            ms(own, 0.5),
            ms(own, 0.99),
            ms(own, 0.999),
            core(self.front.cpu_s),
            self.front.peak_mib,
            core(self.lab_cpu_s),
            self.breaches.len()
        )
    }
}
