//! What a day came to: service by class, the worst ten seconds, latency.

use crate::day::Day;
use crate::record::{Record, Seen};
use hdrhistogram::Histogram;
use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use std::collections::BTreeMap;
use std::fmt;

/// The span whose worst is told.
const WINDOW_NS: Nanos = 10_000_000_000;

/// One class's day.
#[derive(Debug, Clone)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Calls offered, further tries not counted.
    pub offered: u64,
    /// Stood in time to their end, stood late, cut after they stood, and never stood.
    pub in_time: u64,
    /// Stood after the wanted time.
    pub late: u64,
    /// Cut.
    pub cut: u64,
    /// Never stood.
    pub never: u64,
    /// Worth earned over worth offered.
    pub service: f64,
    /// Set-up times of what stood, from the first try, in microseconds.
    pub setup_us: Histogram<u64>,
}

/// A day's report.
#[derive(Debug, Clone)]
pub struct Report {
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Worth earned over worth offered, over all.
    pub service: f64,
    /// The same in the worst ten seconds, by when calls were first offered, and when those began.
    pub worst: (f64, Nanos),
    /// Worth earned and offered by the second of the first try.
    pub seconds: BTreeMap<Nanos, (f64, f64)>,
    /// Tries answered: refused, failed.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Set-ups at servers, repeats apart.
    pub setups: u64,
}

#[derive(Default)]
struct Origin {
    class: usize,
    first_ns: Nanos,
    stood_ns: Option<Nanos>,
    cut: bool,
}

/// Sums up a day's records.
#[allow(
    clippy::too_many_lines,
    reason = "the testbed is split by concern after the packages in service; see docs/ROADMAP.md"
)]
pub fn report(day: &Day, records: &[Record], start_ns: Nanos) -> Report {
    let mut order: Vec<&Record> = records.iter().collect();
    order.sort_by_key(|r| r.at_ns);
    let mut origin_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut origins: BTreeMap<&str, Origin> = BTreeMap::new();
    let (mut refused, mut failed, mut setups) = (0, 0, 0);
    for record in order {
        match &record.seen {
            Seen::Offered { call, origin, class, .. } => {
                origin_of.insert(call, origin);
                origins.entry(origin).or_insert_with(|| Origin {
                    class: *class,
                    first_ns: record.at_ns,
                    ..Origin::default()
                });
            }
            Seen::Final { call, answer } => match answer {
                Answer::Stands => {
                    if let Some(origin) = origin_of.get(call.as_str()).and_then(|o| origins.get_mut(o)) {
                        origin.stood_ns.get_or_insert(record.at_ns);
                    }
                }
                Answer::Refused => refused += 1,
                Answer::Failed => failed += 1,
            },
            Seen::Released { call, cut: true } => {
                if let Some(origin) = origin_of.get(call.as_str()).and_then(|o| origins.get_mut(o)) {
                    origin.cut = true;
                }
            }
            Seen::Setup { repeat: false, .. } => setups += 1,
            _ => {}
        }
    }
    let new = |name: &str| ClassReport {
        name: name.into(),
        offered: 0,
        in_time: 0,
        late: 0,
        cut: 0,
        never: 0,
        service: 0.0,
        setup_us: histogram(),
    };
    let mut classes: Vec<ClassReport> = day.classes.iter().map(|c| new(&c.name)).collect();
    let mut earned: BTreeMap<Nanos, (f64, f64)> = BTreeMap::new();
    for origin in origins.values() {
        let (class, report) = (&day.classes[origin.class], &mut classes[origin.class]);
        let share = match origin.stood_ns {
            None => {
                report.never += 1;
                0.0
            }
            Some(stood) => {
                let took_ns = stood.saturating_sub(origin.first_ns);
                // Saturating: a time past the histogram's range counts as its end.
                report.setup_us.saturating_record(took_ns / 1000);
                if origin.cut {
                    report.cut += 1;
                    0.0
                } else if took_ns <= class.aim_ns {
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
        let second = origin.first_ns.saturating_sub(start_ns) / 1_000_000_000;
        let sum = earned.entry(second).or_default();
        *sum = (sum.0 + share * class.worth, sum.1 + class.worth);
    }
    for class in &mut classes {
        class.service /= class.offered.max(1) as f64;
    }
    let of = |from: Nanos, to: Nanos| {
        let sum = earned.range(from..to).fold((0.0, 0.0), |a, (_, b)| (a.0 + b.0, a.1 + b.1));
        if sum.1 > 0.0 {
            sum.0 / sum.1
        } else {
            1.0
        }
    };
    let windows = (day.length_ns / 1_000_000_000).saturating_sub(WINDOW_NS / 1_000_000_000);
    let each = (0..=windows).map(|from| (of(from, from + WINDOW_NS / 1_000_000_000), from * 1_000_000_000));
    let worst = each.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, 0));
    let service = of(0, Nanos::MAX);
    Report { classes, service, worst, seconds: earned, refused, failed, setups }
}

/// For microseconds up to ten minutes, to three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("bounds that the library takes"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>8} {:>8} {:>7} {:>6} {:>7} {:>8} {:>9} {:>9} {:>9}",
            "class", "offered", "in time", "late", "cut", "never", "service", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for class in &self.classes {
            let ms = |q: f64| class.setup_us.value_at_quantile(q) as f64 / 1000.0;
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
        let (worst, at) = self.worst;
        writeln!(f, "service {:.3}, worst 10 s {worst:.3} (from {} s)", self.service, at / 1_000_000_000)?;
        write!(
            f,
            "tries refused {}, failed {}; set-ups at servers {}",
            self.refused, self.failed, self.setups
        )
    }
}
