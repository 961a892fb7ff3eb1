//! The judge of the five rules. It knows what stand-in callers and servers recorded at their sockets, and
//! nothing of the front's own doings.
//!
//! What crosses a socket takes a moment, so a record is some milliseconds later than the deed. Where that could
//! accuse a front wrongly, [`CROSSING_NS`] is allowed; where it could only excuse, nothing is.

use crate::record::{Record, Seen};
use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use std::collections::BTreeMap;
use std::fmt;

/// Allowed for a message's way, and for the scheduling of a busy machine.
pub const CROSSING_NS: Nanos = 20_000_000;

/// How often fronts of the laboratory look at their list, and a little more.
const LOOK_NS: Nanos = 100_000_000;

/// The figures of the rules.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Grace after a drain was told.
    pub drain_grace_ns: Nanos,
    /// Rest of a call after a time-out, reset or cancel.
    pub release_ns: Nanos,
}

/// The five rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer in time, nothing sent after.
    OneAnswer,
    /// Never two attempts out.
    OneAttempt,
    /// Nothing new past the grace after a drain.
    Drains,
    /// No cold server pushed over.
    ColdServers,
    /// The release is awaited.
    Release,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 5] =
        [Rule::OneAnswer, Rule::OneAttempt, Rule::Drains, Rule::ColdServers, Rule::Release];

    /// What it asks.
    pub fn text(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer in time, nothing after",
            Rule::OneAttempt => "never two attempts out",
            Rule::Drains => "drains kept",
            Rule::ColdServers => "no cold server pushed over",
            Rule::Release => "the release awaited",
        }
    }
}

/// A rule broken, and the record that shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When.
    pub at_ns: Nanos,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.at_ns as f64 / 1e9, self.rule.text(), self.what)
    }
}

#[derive(Debug, Default)]
struct Call {
    due_ns: Nanos,
    edge: usize,
    offered_ns: Nanos,
    answers: Vec<(Nanos, Answer)>,
    /// Not taken, given up, or its caller gone: no answer is owed.
    excused_ns: Option<Nanos>,
    out: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    server: String,
    number: u64,
    /// When it was over at its server, and whether the release must be awaited then.
    ended: Option<(Nanos, bool)>,
    stands: bool,
}

/// Judges a day's records, whatever their order. No breach: all rules were kept.
pub fn judge(records: &[Record], figures: Figures) -> Vec<Breach> {
    let mut order: Vec<&Record> = records.iter().collect();
    order.sort_by_key(|r| r.at_ns);
    let mut bench = Bench { figures, ..Bench::default() };
    for record in order {
        bench.hear(record);
    }
    bench.close()
}

impl Default for Figures {
    fn default() -> Self {
        Figures { drain_grace_ns: 500_000_000, release_ns: 300_000_000 }
    }
}

#[derive(Default)]
struct Bench {
    figures: Figures,
    calls: BTreeMap<String, Call>,
    /// Which call an attempt is of.
    attempts: BTreeMap<(usize, u64), String>,
    /// Servers that may not be sent to, and since when.
    drained: BTreeMap<String, Nanos>,
    /// When each front was frozen, and for how long.
    frozen: BTreeMap<usize, Vec<(Nanos, Option<Nanos>)>>,
    breaches: Vec<Breach>,
}

impl Bench {
    fn breach(&mut self, rule: Rule, at_ns: Nanos, what: String) {
        self.breaches.push(Breach { rule, at_ns, what });
    }

    fn hear(&mut self, record: &Record) {
        let at = record.at_ns;
        match &record.seen {
            Seen::Offered { call, edge, budget_ns, .. } => {
                let entry = Call { due_ns: at + budget_ns, edge: *edge, offered_ns: at, ..Call::default() };
                self.calls.insert(call.clone(), entry);
            }
            Seen::Final { call, answer } => self.answer(at, call, *answer),
            Seen::Released { call, .. } => {
                let stood =
                    self.calls.get(call).is_some_and(|c| c.answers.iter().any(|a| a.1 == Answer::Stands));
                if !stood {
                    self.breach(Rule::OneAnswer, at, format!("call {call} released without having stood"));
                }
            }
            Seen::NotTaken { call } | Seen::CallerEnded { call } => self.excuse(at, call),
            Seen::CallerGone { calls } => calls.iter().for_each(|call| self.excuse(at, call)),
            Seen::Setup { server, edge, attempt, call, repeat } => {
                self.setup(at, server, (*edge, *attempt), call, *repeat);
            }
            Seen::Answered { edge, attempt, stands, .. } => {
                if let Some(attempt) = self.attempt(*edge, *attempt).filter(|a| a.ended.is_none()) {
                    attempt.stands = *stands;
                    if !stands {
                        attempt.ended = Some((at, false));
                    }
                }
            }
            Seen::Ended { edge, attempt, cancel, .. } => {
                if let Some(attempt) = self.attempt(*edge, *attempt).filter(|a| a.ended.is_none()) {
                    attempt.ended = Some((at, *cancel));
                }
            }
            Seen::LinkEnded { server, edge } => {
                let calls = self.calls.values_mut().filter(|c| c.edge == *edge);
                let open =
                    calls.flat_map(|c| &mut c.out).filter(|a| a.ended.is_none() && a.server == *server);
                // A set-up that was out was reset.
                open.for_each(|attempt| attempt.ended = Some((at, !attempt.stands)));
            }
            Seen::Told { server, running: true } => drop(self.drained.remove(server)),
            Seen::Told { server, running: false } => drop(self.drained.entry(server.clone()).or_insert(at)),
            Seen::Fell { server, multiple } => {
                let what = format!("{server} fell over, sent {multiple:.2} times what it could do");
                self.breach(Rule::ColdServers, at, what);
            }
            Seen::Frozen { edge } => {
                let spans = self.frozen.entry(*edge).or_default();
                match spans.last_mut() {
                    // Frozen already, or it hardly ran meanwhile.
                    Some((_, until)) if until.is_none_or(|until| at < until + LOOK_NS) => *until = None,
                    _ => spans.push((at, None)),
                }
            }
            Seen::Thawed { edge } => {
                if let Some((_, until)) = self.frozen.get_mut(edge).and_then(|spans| spans.last_mut()) {
                    until.get_or_insert(at);
                }
            }
        }
    }

    fn attempt(&mut self, edge: usize, attempt: u64) -> Option<&mut Attempt> {
        let call = self.attempts.get(&(edge, attempt))?;
        self.calls.get_mut(call)?.out.iter_mut().find(|a| a.number == attempt)
    }

    fn excuse(&mut self, at: Nanos, call: &str) {
        if let Some(call) = self.calls.get_mut(call) {
            call.excused_ns.get_or_insert(at);
        }
    }

    /// When an answer is due at the latest. A front that is frozen is not running: what falls due meanwhile is
    /// due once it runs again.
    fn latest(&self, call: &Call) -> Nanos {
        let spans = self.frozen.get(&call.edge).into_iter().flatten();
        let within =
            spans.filter(|(from, until)| *from <= call.due_ns && until.is_none_or(|u| call.due_ns <= u));
        let thawed = within.filter_map(|(_, until)| *until).max();
        thawed.unwrap_or(call.due_ns).max(call.due_ns) + CROSSING_NS
    }

    /// When a front could read what was written at a moment, by the list or a caller: one that is frozen reads nothing until it runs
    /// again, and one that froze just after may not have come to it.
    fn told_ns(&self, edge: usize, written_ns: Nanos) -> Nanos {
        let spans = self.frozen.get(&edge).into_iter().flatten();
        let over = spans.filter(|(from, _)| *from <= written_ns + LOOK_NS).filter_map(|(_, until)| *until);
        over.filter(|until| *until >= written_ns).max().unwrap_or(written_ns)
    }

    fn answer(&mut self, at: Nanos, name: &str, answer: Answer) {
        let Some(call) = self.calls.get_mut(name) else {
            return self.breach(Rule::OneAnswer, at, format!("answer for {name}, which nobody offered"));
        };
        call.answers.push((at, answer));
        let count = call.answers.len();
        let (call, late) = (&self.calls[name], at > self.latest(&self.calls[name]));
        let over_ms = at.saturating_sub(call.due_ns) / 1_000_000;
        if count > 1 {
            self.breach(Rule::OneAnswer, at, format!("answer {count} for call {name}: {answer:?}"));
        } else if late {
            self.breach(Rule::OneAnswer, at, format!("call {name} answered {over_ms} ms late"));
        }
    }

    fn setup(&mut self, at: Nanos, server: &str, (edge, number): (usize, u64), name: &str, repeat: bool) {
        let seen = self.drained.get(server).map(|told| self.told_ns(edge, *told));
        if let Some(told) = seen.filter(|told| !repeat && at > told + self.figures.drain_grace_ns) {
            let after_ms = (at - told) / 1_000_000;
            let what =
                format!("attempt {number} of {name} reached {server} {after_ms} ms after its drain was told");
            self.breach(Rule::Drains, at, what);
        }
        let Some(call) = self.calls.get(name) else {
            return self.breach(
                Rule::OneAnswer,
                at,
                format!("set-up at {server} for {name}, which nobody offered"),
            );
        };
        let left_ns = call.excused_ns.map(|at| self.told_ns(edge, at));
        let over = call.answers.first().map(|a| a.0).into_iter().chain(left_ns).min();
        if let Some(over) = over.filter(|over| at > over + CROSSING_NS) {
            let after_ms = (at - over) / 1_000_000;
            let what =
                format!("attempt {number} of {name} reached {server} {after_ms} ms after the call was over");
            self.breach(Rule::OneAnswer, at, what);
        }
        if repeat || self.attempts.contains_key(&(edge, number)) {
            return;
        }
        let call = &self.calls[name];
        let other = call.out.iter().find(|a| a.ended.is_none()).map(|a| (a.number, a.server.clone()));
        let rested =
            call.out.iter().filter_map(|a| a.ended.filter(|(_, rest)| *rest)).map(|(end, _)| end).max();
        if let Some((first, where_)) = other {
            let what =
                format!("attempt {number} of {name} reached {server} with attempt {first} out at {where_}");
            self.breach(Rule::OneAttempt, at, what);
        }
        let rest_ns = self.figures.release_ns.saturating_sub(CROSSING_NS);
        if let Some(end) = rested.filter(|end| at < end + rest_ns) {
            let after_ms = at.saturating_sub(end) / 1_000_000;
            let what =
                format!("attempt {number} of {name} reached {server} {after_ms} ms after the one before");
            self.breach(Rule::Release, at, what);
        }
        self.attempts.insert((edge, number), name.to_string());
        if let Some(call) = self.calls.get_mut(name) {
            call.out.push(Attempt { server: server.into(), number, ended: None, stands: false });
        }
    }

    fn close(mut self) -> Vec<Breach> {
        let silent = self.calls.iter().filter(|(_, c)| c.answers.is_empty() && c.excused_ns.is_none());
        let silent: Vec<_> = silent.map(|(name, c)| (c.due_ns, name.clone(), c.offered_ns)).collect();
        for (due, name, offered) in silent {
            let at = offered as f64 / 1e9;
            self.breach(
                Rule::OneAnswer,
                due,
                format!("call {name}, offered at {at:.3} s, was never answered"),
            );
        }
        self.breaches.sort_by_key(|b| (b.at_ns, b.rule));
        self.breaches
    }
}
