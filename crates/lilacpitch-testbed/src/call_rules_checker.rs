//! Checks a run against the five rules for calls. It uses only what the simulated callers and servers
//! recorded at their sockets, and no internal state of the fronts.
//!
//! A message is recorded some milliseconds after it was sent. Where this delay could turn correct behaviour
//! into a violation, [`RECORDING_TOLERANCE_NS`] is allowed. Where it could only hide a violation, nothing is.

use crate::record::{Record, Seen};
use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use std::collections::BTreeMap;
use std::fmt;

/// Tolerance for the delay between sending and recording a message, including scheduling on a busy machine,
/// in nanoseconds.
pub const RECORDING_TOLERANCE_NS: Nanos = 20_000_000;

/// Interval at which fronts of the testbed poll their endpoint list, with some margin, in nanoseconds.
const LIST_POLL_NS: Nanos = 100_000_000;

/// Time limits that the rules depend on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleLimits {
    /// How long a server may still receive new attempts after its drain was announced, in nanoseconds.
    pub drain_grace_ns: Nanos,
    /// Minimum gap between an attempt that ended by a timeout, reset or cancel and the call's next attempt,
    /// in nanoseconds.
    pub release_ns: Nanos,
}

/// One of the five rules for calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A call gets exactly one final answer before its deadline, and no set-up is sent for it afterwards.
    OneAnswer,
    /// A call never has two attempts in progress.
    OneAttempt,
    /// A draining server gets no new attempt after the grace period.
    Drains,
    /// No server that is still warming up is overloaded until it fails.
    ColdServers,
    /// After a timeout, reset or cancel, the next attempt waits until the server has released the call.
    Release,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 5] =
        [Rule::OneAnswer, Rule::OneAttempt, Rule::Drains, Rule::ColdServers, Rule::Release];

    /// Returns a short description of the rule for reports.
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

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// When the violation was recorded, in nanoseconds of the run's clock.
    pub at_ns: Nanos,
    /// Description of the records that show the violation.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.at_ns as f64 / 1e9, self.rule.text(), self.description)
    }
}

#[derive(Debug, Default)]
struct Call {
    due_ns: Nanos,
    edge: usize,
    offered_ns: Nanos,
    answers: Vec<(Nanos, Answer)>,
    /// When the call stopped needing an answer: it was not taken, the caller ended it, or the caller
    /// disconnected.
    answer_waived_ns: Option<Nanos>,
    attempts: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    server: String,
    number: u64,
    end: Option<AttemptEnd>,
    established: bool,
}

/// The end of an attempt at its server.
#[derive(Debug, Clone, Copy)]
struct AttemptEnd {
    at_ns: Nanos,
    /// Whether the call's next attempt must wait until the server has released the call.
    requires_release: bool,
}

/// Checks a run's records, in any order, and returns the violations by time.
pub fn check(records: &[Record], limits: RuleLimits) -> Vec<Violation> {
    let mut ordered: Vec<&Record> = records.iter().collect();
    ordered.sort_by_key(|record| record.at_ns);
    let mut checker = Checker { limits, ..Checker::default() };
    for record in ordered {
        checker.observe(record);
    }
    checker.finish()
}

impl Default for RuleLimits {
    fn default() -> Self {
        RuleLimits { drain_grace_ns: 500_000_000, release_ns: 300_000_000 }
    }
}

#[derive(Default)]
struct Checker {
    limits: RuleLimits,
    calls: BTreeMap<String, Call>,
    /// The call of each attempt, by the front's number and the attempt's number.
    call_by_attempt: BTreeMap<(usize, u64), String>,
    /// Draining servers, and when the drain was announced.
    draining: BTreeMap<String, Nanos>,
    /// For each front, the spans in which it was frozen; `None` as the end: still frozen.
    frozen: BTreeMap<usize, Vec<(Nanos, Option<Nanos>)>>,
    violations: Vec<Violation>,
}

impl Checker {
    fn add_violation(&mut self, rule: Rule, at_ns: Nanos, description: String) {
        self.violations.push(Violation { rule, at_ns, description });
    }

    fn observe(&mut self, record: &Record) {
        let at = record.at_ns;
        match &record.seen {
            Seen::Offered { call, edge, budget_ns, .. } => {
                let offered = Call { due_ns: at + budget_ns, edge: *edge, offered_ns: at, ..Call::default() };
                self.calls.insert(call.clone(), offered);
            }
            Seen::Final { call, answer } => self.observe_answer(at, call, *answer),
            Seen::Released { call, .. } => {
                let was_established = self
                    .calls
                    .get(call)
                    .is_some_and(|call| call.answers.iter().any(|(_, answer)| *answer == Answer::Stands));
                if !was_established {
                    self.add_violation(
                        Rule::OneAnswer,
                        at,
                        format!("call {call} released without having stood"),
                    );
                }
            }
            Seen::NotTaken { call } | Seen::CallerEnded { call } => self.waive_answer(at, call),
            Seen::CallerGone { calls } => calls.iter().for_each(|call| self.waive_answer(at, call)),
            Seen::Setup { server, edge, attempt, call, repeat } => {
                self.observe_setup(at, server, (*edge, *attempt), call, *repeat);
            }
            Seen::Answered { edge, attempt, stands, .. } => {
                if let Some(attempt) = self.ongoing_attempt(*edge, *attempt) {
                    attempt.established = *stands;
                    if !stands {
                        attempt.end = Some(AttemptEnd { at_ns: at, requires_release: false });
                    }
                }
            }
            Seen::Ended { edge, attempt, cancel, .. } => {
                if let Some(attempt) = self.ongoing_attempt(*edge, *attempt) {
                    attempt.end = Some(AttemptEnd { at_ns: at, requires_release: *cancel });
                }
            }
            Seen::LinkEnded { server, edge } => {
                let calls = self.calls.values_mut().filter(|call| call.edge == *edge);
                let ongoing = calls
                    .flat_map(|call| &mut call.attempts)
                    .filter(|attempt| attempt.end.is_none() && attempt.server == *server);
                for attempt in ongoing {
                    // The end of the connection resets an unanswered set-up.
                    let requires_release = !attempt.established;
                    attempt.end = Some(AttemptEnd { at_ns: at, requires_release });
                }
            }
            Seen::Told { server, running: true } => drop(self.draining.remove(server)),
            Seen::Told { server, running: false } => drop(self.draining.entry(server.clone()).or_insert(at)),
            Seen::Fell { server, multiple } => {
                let description = format!("{server} fell over, sent {multiple:.2} times what it could do");
                self.add_violation(Rule::ColdServers, at, description);
            }
            Seen::Frozen { edge } => {
                let spans = self.frozen.entry(*edge).or_default();
                match spans.last_mut() {
                    // Still frozen, or thawed too shortly to poll its list: both count as one span.
                    Some((_, until)) if until.is_none_or(|until| at < until + LIST_POLL_NS) => *until = None,
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

    fn ongoing_attempt(&mut self, edge: usize, number: u64) -> Option<&mut Attempt> {
        let call = self.call_by_attempt.get(&(edge, number))?;
        let attempts = &mut self.calls.get_mut(call)?.attempts;
        attempts.iter_mut().find(|attempt| attempt.number == number).filter(|attempt| attempt.end.is_none())
    }

    fn waive_answer(&mut self, at: Nanos, call: &str) {
        if let Some(call) = self.calls.get_mut(call) {
            call.answer_waived_ns.get_or_insert(at);
        }
    }

    /// Returns the latest time at which an answer is still in time. If the deadline passes while the front is
    /// frozen, the answer is due when the front thaws.
    fn answer_deadline_ns(&self, call: &Call) -> Nanos {
        let spans = self.frozen.get(&call.edge).into_iter().flatten();
        let around_due = spans
            .filter(|(from, until)| *from <= call.due_ns && until.is_none_or(|until| call.due_ns <= until));
        let thawed = around_due.filter_map(|(_, until)| *until).max();
        thawed.unwrap_or(call.due_ns).max(call.due_ns) + RECORDING_TOLERANCE_NS
    }

    /// Returns when a front could read what the endpoint list or a caller wrote at `written_ns`. A frozen
    /// front reads nothing until it thaws, and one that froze shortly afterwards may not have read it before.
    fn readable_since_ns(&self, edge: usize, written_ns: Nanos) -> Nanos {
        let spans = self.frozen.get(&edge).into_iter().flatten();
        let thawed =
            spans.filter(|(from, _)| *from <= written_ns + LIST_POLL_NS).filter_map(|(_, until)| *until);
        thawed.filter(|until| *until >= written_ns).max().unwrap_or(written_ns)
    }

    fn observe_answer(&mut self, at: Nanos, name: &str, answer: Answer) {
        let Some(call) = self.calls.get_mut(name) else {
            return self.add_violation(
                Rule::OneAnswer,
                at,
                format!("answer for {name}, which nobody offered"),
            );
        };
        call.answers.push((at, answer));
        let count = call.answers.len();
        let call = &self.calls[name];
        let is_late = at > self.answer_deadline_ns(call);
        let late_by_ms = at.saturating_sub(call.due_ns) / 1_000_000;
        if count > 1 {
            self.add_violation(Rule::OneAnswer, at, format!("answer {count} for call {name}: {answer:?}"));
        } else if is_late {
            self.add_violation(Rule::OneAnswer, at, format!("call {name} answered {late_by_ms} ms late"));
        }
    }

    fn observe_setup(
        &mut self,
        at: Nanos,
        server: &str,
        (edge, number): (usize, u64),
        name: &str,
        repeat: bool,
    ) {
        let drain_ns =
            self.draining.get(server).map(|announced_ns| self.readable_since_ns(edge, *announced_ns));
        let past_grace = drain_ns.filter(|drain_ns| !repeat && at > drain_ns + self.limits.drain_grace_ns);
        if let Some(drain_ns) = past_grace {
            let after_ms = (at - drain_ns) / 1_000_000;
            let description =
                format!("attempt {number} of {name} reached {server} {after_ms} ms after its drain was told");
            self.add_violation(Rule::Drains, at, description);
        }
        let Some(call) = self.calls.get(name) else {
            return self.add_violation(
                Rule::OneAnswer,
                at,
                format!("set-up at {server} for {name}, which nobody offered"),
            );
        };
        let waived_ns = call.answer_waived_ns.map(|at| self.readable_since_ns(edge, at));
        let answered_ns = call.answers.first().map(|(at_ns, _)| *at_ns);
        let over_ns = answered_ns.into_iter().chain(waived_ns).min();
        if let Some(over_ns) = over_ns.filter(|over_ns| at > over_ns + RECORDING_TOLERANCE_NS) {
            let after_ms = (at - over_ns) / 1_000_000;
            let description =
                format!("attempt {number} of {name} reached {server} {after_ms} ms after the call was over");
            self.add_violation(Rule::OneAnswer, at, description);
        }
        if repeat || self.call_by_attempt.contains_key(&(edge, number)) {
            return;
        }
        let call = &self.calls[name];
        let ongoing = call
            .attempts
            .iter()
            .find(|attempt| attempt.end.is_none())
            .map(|attempt| (attempt.number, attempt.server.clone()));
        let last_release_needed_ns = call
            .attempts
            .iter()
            .filter_map(|attempt| attempt.end.filter(|end| end.requires_release))
            .map(|end| end.at_ns)
            .max();
        if let Some((ongoing_number, ongoing_server)) = ongoing {
            let description = format!(
                "attempt {number} of {name} reached {server} with attempt {ongoing_number} out at \
                 {ongoing_server}"
            );
            self.add_violation(Rule::OneAttempt, at, description);
        }
        let release_ns = self.limits.release_ns.saturating_sub(RECORDING_TOLERANCE_NS);
        if let Some(end_ns) = last_release_needed_ns.filter(|end_ns| at < end_ns + release_ns) {
            let after_ms = at.saturating_sub(end_ns) / 1_000_000;
            let description =
                format!("attempt {number} of {name} reached {server} {after_ms} ms after the one before");
            self.add_violation(Rule::Release, at, description);
        }
        self.call_by_attempt.insert((edge, number), name.to_string());
        if let Some(call) = self.calls.get_mut(name) {
            call.attempts.push(Attempt { server: server.into(), number, end: None, established: false });
        }
    }

    /// Reports the calls that were never answered, and returns all violations by time.
    fn finish(mut self) -> Vec<Violation> {
        let unanswered =
            self.calls.iter().filter(|(_, call)| call.answers.is_empty() && call.answer_waived_ns.is_none());
        let unanswered: Vec<_> =
            unanswered.map(|(name, call)| (call.due_ns, name.clone(), call.offered_ns)).collect();
        for (due_ns, name, offered_ns) in unanswered {
            let offered_s = offered_ns as f64 / 1e9;
            self.add_violation(
                Rule::OneAnswer,
                due_ns,
                format!("call {name}, offered at {offered_s:.3} s, was never answered"),
            );
        }
        self.violations.sort_by_key(|violation| (violation.at_ns, violation.rule));
        self.violations
    }
}
