//! The five rules of call handling, checked on the controller's actions for random legal sequences of events
//! and varied settings. The list says what is checked of each rule; failed assertions name these numbers.
//!
//! 1. A call gets at most one final answer, and none after its client has disconnected. A call that is not
//!    established has its answer within [`ANSWER_TOLERANCE_NS`] of its deadline, unless its client has
//!    disconnected. No set-up is sent for a call that is established or over, or past its deadline, and no
//!    attempt may run past the deadline.
//! 2. A call never has two attempts in flight. After an attempt that may have taken effect, it is sent again
//!    or rejected only as the idempotency of its class allows.
//! 3. No set-up is sent to a server that the endpoint list shows as draining or removed. The controller uses
//!    no grace period.
//! 4. A server that started less than a second ago is sent at most 12 set-ups within a second.
//! 5. A call is sent again only after the release time if its last attempt timed out or was cut. The test
//!    never ends an attempt as cancelled.
//!
//! Further assertions cover the maximum number of attempts, the permissions to cancel and to subscribe, that
//! timers are set for the future, and that a call is sent only to a server that may take it.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlight {
    attempt: u32,
    server: ServerId,
    sent_ns: Nanos,
}

/// The checker's record of one call.
struct CallRecord {
    call: Call,
    /// When the client stops waiting.
    deadline: Nanos,
    in_flight: Option<InFlight>,
    /// Number of attempts.
    attempts: u32,
    /// When the last attempt is released.
    not_before: Nanos,
    /// The first attempt that may have taken effect: its server, and when it was sent.
    may_have_run: Option<(Endpoint, Nanos)>,
    /// Whether the call has its final answer or needs none.
    is_closed: bool,
    is_established: bool,
}

/// A step of a random sequence. Indices are taken modulo the number of calls that the step applies to.
#[derive(Debug, Clone)]
enum Step {
    /// A call arrives.
    Call { class: usize, number: u32, budget_ms: u64, retry_after_cut: bool, in_transit: bool },
    /// A number of milliseconds passes.
    Advance(u64),
    /// The server establishes a call.
    Establish(usize),
    /// An attempt ends.
    Complete(usize, Outcome),
    /// The client of a call disconnects.
    Disconnect(usize),
    /// A server changes its availability; it is restarted if the flag is set.
    Change(ServerId, u8, bool),
    /// A complete endpoint list arrives, which contains the servers whose bits are set.
    Replace(u8),
    /// The subscription of the endpoint list fails.
    Fail,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(Outcome::TimedOut),
        Just(Outcome::Cut),
        Just(Outcome::Unreachable),
        Just(Outcome::NoCircuit),
        Just(Outcome::Overloaded(Some(300 * MS))),
        Just(Outcome::Overloaded(None)),
        Just(Outcome::NotSent),
        Just(Outcome::Fault),
        Just(Outcome::LinesBusy),
    ];
    prop_oneof![
        6 => (0..2usize, 0..5u32, prop_oneof![Just(0u64), 1..50u64, 200..4000u64], any::<bool>(), any::<bool>())
            .prop_map(|(class, number, budget_ms, retry_after_cut, transit)| Step::Call {
                class, number, budget_ms, retry_after_cut, in_transit: transit && retry_after_cut
            }),
        6 => (1..600u64).prop_map(Step::Advance),
        5 => any::<usize>().prop_map(Step::Establish),
        5 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::Complete(index, outcome)),
        1 => any::<usize>().prop_map(Step::Disconnect),
        2 => (0..4u64, 0..3u8, any::<bool>()).prop_map(|(server, availability, is_restarted)| {
                Step::Change(server, availability, is_restarted)
            }),
        1 => (0..16u8).prop_map(Step::Replace),
        1 => Just(Step::Fail),
    ]
}

fn varied_settings() -> impl Strategy<Value = Settings> {
    let idempotency = prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NonIdempotent),
        Just(Idempotency::IdempotencyKey(Scope::All)),
        Just(Idempotency::IdempotencyKey(Scope::Zone)),
        Just(Idempotency::IdempotencyKey(Scope::Number)),
    ];
    (idempotency, any::<[bool; 5]>(), 0..3u64, 1..4u32).prop_map(
        |(idempotency, [may_cancel, must_subscribe, home, pools, retry_after], resend, attempts)| {
            let mut settings = settings();
            settings.classes[1].idempotency = idempotency;
            settings.classes[1].key_retention_ns = 2 * S;
            settings.may_cancel = may_cancel;
            settings.must_subscribe = must_subscribe;
            settings.home = home.then_some(2);
            settings.resend_interval_ns = resend * 300 * MS;
            settings.max_attempts = attempts;
            settings.max_retry_after_ns = if retry_after { S } else { 0 };
            if pools {
                settings.classes[0].pools = vec![0, 1];
            }
            settings
        },
    )
}

/// Time after its deadline within which a call must have its final answer.
const ANSWER_TOLERANCE_NS: Nanos = 20 * MS;

/// Simulates the front and its servers: passes events to the controller and checks every action against the
/// rules.
struct RuleChecker {
    settings: Settings,
    controller: Controller,
    now: Nanos,
    /// Timers that are set.
    timers: BTreeSet<Nanos>,
    calls: BTreeMap<CallId, CallRecord>,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// Set-ups sent: time and server.
    sends: Vec<(Nanos, ServerId)>,
}

impl RuleChecker {
    /// Passes an event to the controller and checks its actions.
    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::ForwardSetup { call, server, timeout_ns } => self.check_setup(call, server, timeout_ns),
            Action::CancelAttempt { call, attempt } => {
                assert!(self.settings.may_cancel);
                assert!(attempt < self.calls[&call].attempts);
            }
            Action::Reject { call, .. } => {
                let record = &self.calls[&call];
                let idempotency = self.settings.classes[record.call.class].idempotency;
                let may_reject =
                    matches!(idempotency, Idempotency::Idempotent | Idempotency::IdempotencyKey(Scope::All));
                let never_ran = record.may_have_run.is_none() && record.in_flight.is_none();
                assert!(
                    may_reject || never_ran,
                    "rule 2: rejected after an attempt that may have taken effect"
                );
                self.close(call);
            }
            Action::Fail { call } => self.close(call),
            Action::SetTimer(at) => {
                assert!(at > self.now);
                self.timers.insert(at);
            }
            Action::Subscribe => assert!(self.settings.must_subscribe),
        }
    }

    /// Records the final answer to a call.
    fn close(&mut self, call: CallId) {
        let record = self.calls.get_mut(&call).expect("a call that was placed");
        assert!(!record.is_closed && record.in_flight.is_none(), "rule 1: a second answer");
        record.is_closed = true;
    }

    fn check_setup(&mut self, call: CallId, server: ServerId, timeout_ns: Nanos) {
        let now = self.now;
        let endpoint = self.endpoints[&server];
        let record = self.calls.get_mut(&call).expect("a call that was placed");
        let class = &self.settings.classes[record.call.class];
        assert!(!record.is_closed && !record.is_established, "rule 1: sent after its end");
        assert!(now < record.deadline && now + timeout_ns <= record.deadline, "rule 1: past the deadline");
        assert!(record.in_flight.is_none(), "rule 2: two attempts in flight");
        assert!(record.attempts < self.settings.max_attempts);
        if let Some((first, first_ns)) = record.may_have_run {
            check_repetition(class, &first, first_ns, &endpoint, now);
        }
        assert_eq!(endpoint.availability, Availability::Ready, "rule 3");
        assert!(now >= record.not_before, "rule 5: before its release");
        assert!(self.settings.home != Some(endpoint.number), "sent to the front's own exchange");
        assert!(
            class.pools.is_empty() || class.pools.contains(&endpoint.number),
            "sent to a pool that cannot take its class"
        );
        assert!(!record.call.in_transit || endpoint.number == record.call.first_choice);
        record.in_flight = Some(InFlight { attempt: record.attempts, server, sent_ns: now });
        record.attempts += 1;
        self.sends.push((now, server));
        if now.saturating_sub(endpoint.up_since_ns) < S {
            // Rule 4: even a front with few calls may send some set-ups to a server that has just started.
            let start = now - S;
            let recent = self.sends.iter().filter(|(at, sent_to)| *at > start && *sent_to == server).count();
            assert!(recent <= 12, "rule 4: {recent} set-ups within a second of its start");
        }
    }

    /// Advances the clock in ticks: attempts time out at the deadline of their call, timers fire, and it is
    /// checked that no call is open past its deadline (rule 1).
    fn advance(&mut self, span_ms: u64) {
        let end = self.now + span_ms * MS;
        while self.now < end {
            self.now += self.settings.tick_ns;
            let has_timed_out = |record: &CallRecord| {
                record.in_flight.is_some() && !record.is_established && self.now >= record.deadline
            };
            let timed_out: Vec<CallId> =
                self.calls.iter().filter(|(_, record)| has_timed_out(record)).map(|(id, _)| *id).collect();
            for id in timed_out {
                self.end_attempt(id, Outcome::TimedOut);
            }
            if let Some(at) = self.timers.first().copied().filter(|at| *at <= self.now) {
                self.timers.remove(&at);
                self.feed(Event::TimerFired);
            }
            for (id, record) in &self.calls {
                let is_in_time = self.now <= record.deadline + ANSWER_TOLERANCE_NS;
                assert!(
                    record.is_closed || record.is_established || is_in_time,
                    "rule 1: call {id} has no answer in time"
                );
            }
        }
    }

    /// Ends the attempt in flight of a call.
    fn end_attempt(&mut self, id: CallId, outcome: Outcome) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        let Some(InFlight { attempt, server, sent_ns }) = record.in_flight.take() else { return };
        if outcome.needs_release() {
            record.not_before = self.now + self.settings.release_ns;
        }
        if !outcome.never_ran() && record.may_have_run.is_none() {
            record.may_have_run = Some((self.endpoints[&server], sent_ns));
        }
        let is_final = record.is_established;
        record.is_closed |= is_final;
        self.feed(Event::AttemptCompleted {
            call: id,
            attempt,
            server,
            outcome,
            is_final,
            report: LoadReport::default(),
        });
    }

    /// Selects a call with an attempt in flight; established calls only if `include_established` is set.
    fn select_in_flight(&self, index: usize, include_established: bool) -> Option<CallId> {
        let is_candidate = |record: &CallRecord| {
            record.in_flight.is_some() && (include_established || !record.is_established)
        };
        let candidates = self.calls.iter().filter(|(_, record)| is_candidate(record));
        let ids: Vec<CallId> = candidates.map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    fn run(&mut self, step: Step, last_call: &mut CallId) {
        match step {
            Step::Call { class, number, budget_ms, retry_after_cut, in_transit } => {
                *last_call += 1;
                self.place_call(Call {
                    id: *last_call,
                    class,
                    first_choice: number,
                    budget_ns: budget_ms * MS,
                    dialled: Some(u64::from(number)),
                    circuits: 1.0,
                    retry_after_cut,
                    in_transit,
                });
            }
            Step::Advance(span_ms) => self.advance(span_ms),
            Step::Establish(index) => self.establish(index),
            Step::Complete(index, outcome) => {
                if let Some(id) = self.select_in_flight(index, true) {
                    let is_established = self.calls[&id].is_established;
                    let outcome =
                        if is_established && outcome != Outcome::Cut { Outcome::Completed } else { outcome };
                    self.end_attempt(id, outcome);
                }
            }
            Step::Disconnect(index) => self.disconnect(index),
            Step::Change(server, availability, is_restarted) => {
                self.change_endpoint(server, availability, is_restarted);
            }
            Step::Replace(mask) => self.replace_list(mask),
            Step::Fail => self.feed(Event::EndpointsUpdated(EndpointUpdate::Failed)),
        }
    }

    fn place_call(&mut self, call: Call) {
        let record = CallRecord {
            call,
            deadline: self.now + call.budget_ns,
            in_flight: None,
            attempts: 0,
            not_before: 0,
            may_have_run: None,
            is_closed: false,
            is_established: false,
        };
        self.calls.insert(call.id, record);
        self.feed(Event::CallArrived(call));
    }

    fn establish(&mut self, index: usize) {
        let Some(id) = self.select_in_flight(index, false) else { return };
        let attempt = self.calls[&id].in_flight.map_or(0, |in_flight| in_flight.attempt);
        if let Some(record) = self.calls.get_mut(&id) {
            record.is_established = true;
        }
        self.feed(Event::CallEstablished { call: id, attempt });
    }

    fn disconnect(&mut self, index: usize) {
        let is_open = |record: &CallRecord| !record.is_closed && !record.is_established;
        let open: Vec<CallId> =
            self.calls.iter().filter(|(_, record)| is_open(record)).map(|(id, _)| *id).collect();
        if open.is_empty() {
            return;
        }
        let id = open[index % open.len()];
        if let Some(record) = self.calls.get_mut(&id) {
            record.is_closed = true;
            record.in_flight = None;
        }
        self.feed(Event::ClientDisconnected(id));
    }

    fn change_endpoint(&mut self, server: ServerId, availability: u8, is_restarted: bool) {
        let mut endpoint = self.endpoints[&server];
        endpoint.availability =
            [Availability::Removed, Availability::Ready, Availability::Draining][availability as usize];
        if is_restarted {
            endpoint.up_since_ns = self.now;
        }
        self.endpoints.insert(server, endpoint);
        self.feed(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![endpoint])));
    }

    fn replace_list(&mut self, mask: u8) {
        let mut listed = Vec::new();
        for (server, endpoint) in &mut self.endpoints {
            let is_listed = mask & (1 << server) != 0;
            endpoint.availability = if is_listed { Availability::Ready } else { Availability::Removed };
            if is_listed {
                listed.push(*endpoint);
            }
        }
        self.feed(Event::EndpointsUpdated(EndpointUpdate::Full(listed)));
    }
}

/// Checks the part of rule 2 about repetition: a call is sent again only as its class allows, within the
/// scope and retention time of its key.
fn check_repetition(class: &Class, first: &Endpoint, first_ns: Nanos, endpoint: &Endpoint, now: Nanos) {
    match class.idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => panic!("rule 2: non-idempotent call sent again"),
        Idempotency::IdempotencyKey(scope) => {
            assert!(now < first_ns + class.key_retention_ns, "rule 2: past the retention time of its key");
            assert!(match scope {
                Scope::All => true,
                Scope::Zone => first.zone == endpoint.zone,
                Scope::Number => first.number == endpoint.number,
            });
        }
    }
}

#[test]
fn five_rules_hold_on_random_events_and_settings() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let sends = std::cell::Cell::new(0);
    runner
        .run(
            &(varied_settings(), proptest::collection::vec(step(), 1..120), any::<u64>()),
            |(settings, steps, seed)| {
                let endpoints: BTreeMap<ServerId, Endpoint> = (0..4u64)
                    .map(|id| (id, Endpoint { zone: id as u32 % 2, ..endpoint(id, id as u32) }))
                    .collect();
                let mut checker = RuleChecker {
                    controller: Controller::new(settings.clone(), seed),
                    settings,
                    now: 50 * S,
                    timers: BTreeSet::new(),
                    calls: BTreeMap::new(),
                    endpoints,
                    sends: Vec::new(),
                };
                let listed = checker.endpoints.values().copied().collect();
                checker.feed(Event::EndpointsUpdated(EndpointUpdate::Full(listed)));
                let mut last_call = 0;
                for step in steps {
                    checker.run(step, &mut last_call);
                }
                checker.advance(10_000);
                sends.set(sends.get() + checker.sends.len());
                Ok(())
            },
        )
        .unwrap();
    assert!(sends.get() > 1_000, "too few set-ups for a meaningful check: {}", sends.get());
}
