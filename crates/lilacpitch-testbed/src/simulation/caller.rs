//! Simulated callers: arrival and duration of calls, and further tries of those that were not established.

use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The behavior of the callers of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerBehavior {
    /// Weight of the class among all calls.
    pub share: f64,
    /// Mean duration of a call.
    pub hold_ns: Nanos,
    /// How long a caller keeps trying, from its first try.
    pub give_up_ns: Nanos,
    /// How long a caller waits for one try, as a share of `give_up_ns`.
    pub try_share: f64,
    /// Most further tries after the first.
    pub retries: u32,
    /// Mean wait before a further try if the front gives none.
    pub backoff_ns: Nanos,
}

/// One try of a caller to establish a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAttempt {
    /// Id of the try, unique in a day.
    pub call: String,
    /// Id of the caller's first try.
    pub origin: String,
    /// Index of the class.
    pub class: usize,
    /// Index of the preferred pool.
    pub pool: usize,
    /// The number dialled.
    pub number: u64,
    /// Time of the first try.
    pub first_ns: Nanos,
    /// Number of earlier tries.
    pub before: u32,
    /// How long the caller waits for an answer.
    pub budget_ns: Nanos,
    /// Duration of the call if it is established.
    pub hold_ns: Nanos,
}

/// A rate of calls over time.
#[derive(Debug, Clone, PartialEq)]
pub struct Rate {
    /// Calls per second outside of `jumps`.
    pub per_s: f64,
    /// Periods in which the rate is multiplied: start, end, factor.
    pub jumps: Vec<(Nanos, Nanos, f64)>,
}

impl Rate {
    /// Calls per second at a time.
    pub fn at(&self, now: Nanos) -> f64 {
        let factors = self.jumps.iter().filter(|(start, end, _)| (*start..*end).contains(&now)).map(|j| j.2);
        self.per_s * factors.fold(1.0, f64::max)
    }
}

/// Generates the calls that reach one front.
#[derive(Debug)]
pub struct Callers {
    prefix: String,
    behaviors: Vec<CallerBehavior>,
    pools: usize,
    rng: Pcg64Mcg,
    /// Number of calls generated so far.
    generated: u64,
    next_ns: Nanos,
}

impl Callers {
    /// Callers whose calls have ids that begin with `prefix`.
    pub fn new(prefix: String, behaviors: Vec<CallerBehavior>, pools: usize, seed: u64) -> Self {
        Callers { prefix, behaviors, pools, rng: Pcg64Mcg::seed_from_u64(seed), generated: 0, next_ns: 0 }
    }

    /// A random number from 0 to 1, uniformly distributed.
    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.uniform()).ln() * mean
    }

    /// Time of the next call.
    pub fn next_ns(&self) -> Nanos {
        self.next_ns
    }

    /// The next call. Also determines the time of the one after it.
    pub fn next(&mut self, rate: &Rate) -> CallAttempt {
        let now = self.next_ns;
        let gap_s = self.exponential(1.0 / rate.at(now).max(1e-9));
        self.next_ns = now + (gap_s * 1e9) as Nanos;
        let total: f64 = self.behaviors.iter().map(|h| h.share).sum();
        let mut point = self.uniform() * total;
        let class = self.behaviors.iter().position(|behavior| {
            point -= behavior.share;
            point < 0.0
        });
        let class = class.unwrap_or(self.behaviors.len() - 1);
        let pool = (self.uniform() * self.pools.max(1) as f64) as usize;
        let hold_ns = self.exponential(self.behaviors[class].hold_ns as f64) as Nanos;
        self.generated += 1;
        let call = format!("{}{}", self.prefix, self.generated);
        let behavior = &self.behaviors[class];
        let budget_ns = whole_milliseconds((behavior.give_up_ns as f64 * behavior.try_share) as Nanos);
        let number = 14_000_000_000 + self.rng.next_u64() % 1_000_000_000;
        CallAttempt {
            origin: call.clone(),
            call,
            class,
            pool,
            number,
            first_ns: now,
            before: 0,
            budget_ns,
            hold_ns,
        }
    }

    /// The further try after an answer other than [`Answer::Stands`], and its time; `None` if the caller
    /// gives up.
    pub fn next_attempt(
        &mut self,
        now: Nanos,
        last: &CallAttempt,
        answer: Answer,
        come_back_ms: Option<u64>,
    ) -> Option<(Nanos, CallAttempt)> {
        let jitter = 0.5 + self.uniform();
        let behavior = &self.behaviors[last.class];
        let wait_ns =
            come_back_ms.map_or((behavior.backoff_ns as f64 * jitter) as Nanos, |ms| ms * 1_000_000);
        let (at, end) = (now + wait_ns, last.first_ns + behavior.give_up_ns);
        if answer == Answer::Stands || last.before >= behavior.retries || at >= end {
            return None;
        }
        let budget_ns = whole_milliseconds(last.budget_ns.min(end - at));
        let call = format!("{}r{}", last.origin, last.before + 1);
        (budget_ns > 0)
            .then(|| (at, CallAttempt { call, before: last.before + 1, budget_ns, ..last.clone() }))
    }
}

/// Rounds down to milliseconds, the unit of budgets in the call protocol.
fn whole_milliseconds(duration: Nanos) -> Nanos {
    duration / 1_000_000 * 1_000_000
}
