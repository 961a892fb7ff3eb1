//! The report of a day: service by class, the worst ten seconds, latency.

use crate::day::Day;
use crate::record::{Record, Seen};
use hdrhistogram::Histogram;
use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use std::collections::BTreeMap;
use std::fmt;

/// Length of the window of which the worst is reported.
const WINDOW_NS: Nanos = 10_000_000_000;

/// The calls of one class. Each caller counts as one call, whatever the number of its tries.
#[derive(Debug, Clone)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Calls offered.
    pub offered: u64,
    /// Calls established within the target time and not cut.
    pub in_time: u64,
    /// Calls established after the target time and not cut.
    pub late: u64,
    /// Calls cut after they were established.
    pub cut: u64,
    /// Calls never established.
    pub never: u64,
    /// Worth earned as a share of the worth offered.
    pub service: f64,
    /// Set-up times of established calls, from the first try, in microseconds.
    pub setup_us: Histogram<u64>,
}

/// The report of a day.
#[derive(Debug, Clone)]
pub struct Report {
    /// The calls by class.
    pub classes: Vec<ClassReport>,
    /// Worth earned as a share of the worth offered, over all classes.
    pub service: f64,
    /// The same for the worst ten seconds, by the time of the first try; and the start of these seconds.
    pub worst: (f64, Nanos),
    /// Worth earned and offered, by the second of the first try.
    pub seconds: BTreeMap<Nanos, (f64, f64)>,
    /// Tries answered 'refused'.
    pub refused: u64,
    /// Tries answered 'failed'.
    pub failed: u64,
    /// Set-ups at servers, without repeats.
    pub setups: u64,
}

/// All tries of one caller.
#[derive(Default)]
struct CallerTries {
    class: usize,
    first_ns: Nanos,
    established_ns: Option<Nanos>,
    cut: bool,
}

/// Summarizes the records of a day. `start_ns` is the start of the day in the time of the records.
#[allow(
    clippy::too_many_lines,
    reason = "one pass over the records and one over the calls; to be split, see docs/ROADMAP.md"
)]
pub fn report(day: &Day, records: &[Record], start_ns: Nanos) -> Report {
    let mut sorted: Vec<&Record> = records.iter().collect();
    sorted.sort_by_key(|r| r.at_ns);
    let mut origin_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut callers: BTreeMap<&str, CallerTries> = BTreeMap::new();
    let (mut refused, mut failed, mut setups) = (0, 0, 0);
    for record in sorted {
        match &record.seen {
            Seen::Offered { call, origin, class, .. } => {
                origin_of.insert(call, origin);
                callers.entry(origin).or_insert_with(|| CallerTries {
                    class: *class,
                    first_ns: record.at_ns,
                    ..CallerTries::default()
                });
            }
            Seen::Final { call, answer } => match answer {
                Answer::Stands => {
                    if let Some(caller) = origin_of.get(call.as_str()).and_then(|o| callers.get_mut(o)) {
                        caller.established_ns.get_or_insert(record.at_ns);
                    }
                }
                Answer::Refused => refused += 1,
                Answer::Failed => failed += 1,
            },
            Seen::Released { call, cut: true } => {
                if let Some(caller) = origin_of.get(call.as_str()).and_then(|o| callers.get_mut(o)) {
                    caller.cut = true;
                }
            }
            Seen::Setup { repeat: false, .. } => setups += 1,
            _ => {}
        }
    }
    let empty_report = |name: &str| ClassReport {
        name: name.into(),
        offered: 0,
        in_time: 0,
        late: 0,
        cut: 0,
        never: 0,
        service: 0.0,
        setup_us: histogram(),
    };
    let mut classes: Vec<ClassReport> = day.classes.iter().map(|c| empty_report(&c.name)).collect();
    let mut seconds: BTreeMap<Nanos, (f64, f64)> = BTreeMap::new();
    for caller in callers.values() {
        let (class, report) = (&day.classes[caller.class], &mut classes[caller.class]);
        let share = match caller.established_ns {
            None => {
                report.never += 1;
                0.0
            }
            Some(established_ns) => {
                let setup_ns = established_ns.saturating_sub(caller.first_ns);
                // Saturating: a longer time is counted at the end of the histogram's range.
                report.setup_us.saturating_record(setup_ns / 1000);
                if caller.cut {
                    report.cut += 1;
                    0.0
                } else if setup_ns <= class.aim_ns {
                    report.in_time += 1;
                    1.0
                } else {
                    report.late += 1;
                    class.late_worth
                }
            }
        };
        report.offered += 1;
        report.service += share;
        let second = caller.first_ns.saturating_sub(start_ns) / 1_000_000_000;
        let (earned, offered) = seconds.entry(second).or_default();
        *earned += share * class.worth;
        *offered += class.worth;
    }
    for class in &mut classes {
        class.service /= class.offered.max(1) as f64;
    }
    let service_between = |start: Nanos, end: Nanos| {
        let sum = seconds.range(start..end).fold((0.0, 0.0), |a, (_, b)| (a.0 + b.0, a.1 + b.1));
        if sum.1 > 0.0 {
            sum.0 / sum.1
        } else {
            1.0
        }
    };
    let window_s = WINDOW_NS / 1_000_000_000;
    let last_start = (day.length_ns / 1_000_000_000).saturating_sub(window_s);
    let windows =
        (0..=last_start).map(|start| (service_between(start, start + window_s), start * 1_000_000_000));
    let worst = windows.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, 0));
    let service = service_between(0, Nanos::MAX);
    Report { classes, service, worst, seconds, refused, failed, setups }
}

/// An empty histogram of microseconds up to ten minutes, with a precision of three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>8} {:>8} {:>7} {:>6} {:>7} {:>8} {:>9} {:>9} {:>9}",
            "class", "offered", "in time", "late", "cut", "never", "service", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for class in &self.classes {
            let ms = |quantile: f64| class.setup_us.value_at_quantile(quantile) as f64 / 1000.0;
            writeln!(
                f,
                "{:<14} {:>8} {:>8} {:>7} {:>6} {:>7} {:>8.3} {:>9.1} {:>9.1} {:>9.1}",
                class.name,
                class.offered,
                class.in_time,
                class.late,
                class.cut,
                class.never,
                class.service,
                ms(0.5),
                ms(0.99),
                ms(0.999)
            )?;
        }
        let (worst, start) = self.worst;
        writeln!(f, "service {:.3}, worst 10 s {worst:.3} (from {} s)", self.service, start / 1_000_000_000)?;
        write!(
            f,
            "tries refused {}, failed {}; set-ups at servers {}",
            self.refused, self.failed, self.setups
        )
    }
}
