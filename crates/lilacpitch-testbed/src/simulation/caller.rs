//! Simulated callers: when calls come, how long they last, and who dials again.

use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A class of calls, as its callers behave.
#[derive(Debug, Clone, PartialEq)]
pub struct Habit {
    /// Its share of the calls.
    pub share: f64,
    /// How long a call lasts on average.
    pub hold_ns: Nanos,
    /// How long a caller goes on, from the first try.
    pub give_up_ns: Nanos,
    /// A try is given up after this share of it.
    pub try_share: f64,
    /// Further tries.
    pub retries: u32,
    /// The wait before a further try, where the front tells none.
    pub backoff_ns: Nanos,
}

/// A try of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Try {
    /// Its id, unique in a day.
    pub call: String,
    /// That of the first try.
    pub origin: String,
    /// The class.
    pub class: usize,
    /// The pool of first choice, as a number.
    pub pool: usize,
    /// The number dialled.
    pub number: u64,
    /// When the first try was made.
    pub first_ns: Nanos,
    /// How many tries came before.
    pub before: u32,
    /// How long the caller waits.
    pub budget_ns: Nanos,
    /// How long the call lasts if it stands.
    pub hold_ns: Nanos,
}

/// A rate of calls over time: the usual one, and jumps from, to, times.
#[derive(Debug, Clone, PartialEq)]
pub struct Rate {
    /// Calls a second usually.
    pub per_s: f64,
    /// Spans in which it is multiplied.
    pub jumps: Vec<(Nanos, Nanos, f64)>,
}

impl Rate {
    /// Calls a second at a moment.
    pub fn at(&self, now: Nanos) -> f64 {
        let jump = self.jumps.iter().filter(|(from, to, _)| (*from..*to).contains(&now)).map(|j| j.2);
        self.per_s * jump.fold(1.0, f64::max)
    }
}

/// Makes the calls that reach one front.
#[derive(Debug)]
pub struct Callers {
    prefix: String,
    habits: Vec<Habit>,
    pools: usize,
    rng: Pcg64Mcg,
    made: u64,
    next_ns: Nanos,
}

impl Callers {
    /// Callers whose calls have ids that begin with `prefix`.
    pub fn new(prefix: String, habits: Vec<Habit>, pools: usize, seed: u64) -> Self {
        Callers { prefix, habits, pools, rng: Pcg64Mcg::seed_from_u64(seed), made: 0, next_ns: 0 }
    }

    fn drawn(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.drawn()).ln() * mean
    }

    /// When the next call comes.
    pub fn next_ns(&self) -> Nanos {
        self.next_ns
    }

    /// The call that comes now; draws when the next will.
    pub fn next(&mut self, rate: &Rate) -> Try {
        let now = self.next_ns;
        let gap_s = self.exponential(1.0 / rate.at(now).max(1e-9));
        self.next_ns = now + (gap_s * 1e9) as Nanos;
        let total: f64 = self.habits.iter().map(|h| h.share).sum();
        let mut point = self.drawn() * total;
        let class = self.habits.iter().position(|h| {
            point -= h.share;
            point < 0.0
        });
        let class = class.unwrap_or(self.habits.len() - 1);
        let pool = (self.drawn() * self.pools.max(1) as f64) as usize;
        let hold_ns = self.exponential(self.habits[class].hold_ns as f64) as Nanos;
        self.made += 1;
        let call = format!("{}{}", self.prefix, self.made);
        let habit = &self.habits[class];
        let budget_ns = ms((habit.give_up_ns as f64 * habit.try_share) as Nanos);
        let number = 14_000_000_000 + self.rng.next_u64() % 1_000_000_000;
        Try { origin: call.clone(), call, class, pool, number, first_ns: now, before: 0, budget_ns, hold_ns }
    }

    /// The further try after an answer that was not 'stands', and when it is made; `None`: given up.
    pub fn again(
        &mut self,
        now: Nanos,
        last: &Try,
        answer: Answer,
        come_back_ms: Option<u64>,
    ) -> Option<(Nanos, Try)> {
        let drawn = self.drawn();
        let habit = &self.habits[last.class];
        let wait_ns =
            come_back_ms.map_or((habit.backoff_ns as f64 * (0.5 + drawn)) as Nanos, |w| w * 1_000_000);
        let (at, end) = (now + wait_ns, last.first_ns + habit.give_up_ns);
        if answer == Answer::Stands || last.before >= habit.retries || at >= end {
            return None;
        }
        let budget_ns = ms(last.budget_ns.min(end - at));
        let call = format!("{}r{}", last.origin, last.before + 1);
        (budget_ns > 0).then(|| (at, Try { call, before: last.before + 1, budget_ns, ..last.clone() }))
    }
}

/// Whole milliseconds: what the API can say.
fn ms(span: Nanos) -> Nanos {
    span / 1_000_000 * 1_000_000
}
