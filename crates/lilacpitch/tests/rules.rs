//! The five rules, checked from outside on random legal event sequences over varied settings.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

/// What the checker knows of one call.
struct Known {
    call: Call,
    deadline: Nanos,
    in_flight: Option<(u32, ServerId, Nanos)>,
    attempts: u32,
    not_before: Nanos,
    may_have_run: Option<(Endpoint, Nanos)>,
    is_closed: bool,
    is_established: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Call {
        class: usize,
        number: u32,
        budget_ms: u64,
        retry_after_cut: bool,
        in_transit: bool,
    },
    /// Time passes, in milliseconds.
    Advance(u64),
    Establish(usize),
    Complete(usize, Outcome),
    Disconnect(usize),
    /// A server changes its availability, and starts anew if so said.
    Change(ServerId, u8, bool),
    /// The complete list, by a bit for each server.
    Replace(u8),
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
        5 => (any::<usize>(), outcome).prop_map(|(i, o)| Step::Complete(i, o)),
        1 => any::<usize>().prop_map(Step::Disconnect),
        2 => (0..4u64, 0..3u8, any::<bool>()).prop_map(|(s, a, is_restarted)| Step::Change(s, a, is_restarted)),
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
            let mut s = settings();
            s.classes[1].idempotency = idempotency;
            s.classes[1].key_retention_ns = 2 * S;
            s.may_cancel = may_cancel;
            s.must_subscribe = must_subscribe;
            s.home = home.then_some(2);
            s.resend_interval_ns = resend * 300 * MS;
            s.max_attempts = attempts;
            s.max_retry_after_ns = if retry_after { S } else { 0 };
            if pools {
                s.classes[0].pools = vec![0, 1];
            }
            s
        },
    )
}

/// The world outside the controller: feeds events, and checks every action against the rules.
struct World {
    settings: Settings,
    controller: Controller,
    now: Nanos,
    timers: BTreeSet<Nanos>,
    calls: BTreeMap<CallId, Known>,
    list: BTreeMap<ServerId, Endpoint>,
    sends: Vec<(Nanos, ServerId)>,
}

impl World {
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
                let known = &self.calls[&call];
                assert!(attempt < known.attempts);
            }
            Action::Reject { call, .. } => {
                let known = &self.calls[&call];
                let idempotency = self.settings.classes[known.call.class].idempotency;
                let may_reject =
                    matches!(idempotency, Idempotency::Idempotent | Idempotency::IdempotencyKey(Scope::All));
                let never_ran = known.may_have_run.is_none() && known.in_flight.is_none();
                assert!(may_reject || never_ran, "rule 2: refused");
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

    fn close(&mut self, call: CallId) {
        let known = self.calls.get_mut(&call).expect("a call that was given");
        assert!(!known.is_closed && known.in_flight.is_none(), "rule 1: two answers");
        known.is_closed = true;
    }

    fn check_setup(&mut self, call: CallId, server: ServerId, timeout_ns: Nanos) {
        let now = self.now;
        let endpoint = self.list[&server];
        let known = self.calls.get_mut(&call).expect("a call that was given");
        let class = &self.settings.classes[known.call.class];
        assert!(!known.is_closed && !known.is_established, "rule 1: sent after its end");
        assert!(now < known.deadline && now + timeout_ns <= known.deadline, "rule 1: past the deadline");
        assert!(known.in_flight.is_none(), "rule 2: two attempts out");
        assert!(known.attempts < self.settings.max_attempts);
        if let Some((first, at)) = known.may_have_run {
            check_repetition(class, &first, at, &endpoint, now);
        }
        assert_eq!(endpoint.availability, Availability::Ready, "rule 3");
        assert!(now >= known.not_before, "rule 5: before its release");
        assert!(self.settings.home != Some(endpoint.number), "sent to the own exchange");
        assert!(class.pools.is_empty() || class.pools.contains(&endpoint.number), "without its skill");
        assert!(!known.call.in_transit || endpoint.number == known.call.first_choice);
        known.in_flight = Some((known.attempts, server, now));
        known.attempts += 1;
        self.sends.push((now, server));
        if now.saturating_sub(endpoint.up_since_ns) < S {
            // Rule 4: a quiet front's share of a server that has just started is a few set-ups.
            let since = now - S;
            let recent = self.sends.iter().filter(|(at, s)| *at > since && *s == server).count();
            assert!(recent <= 12, "rule 4: {recent} set-ups within a second of its start");
        }
    }

    /// Lets time pass in ticks; time-outs at the deadline come as the wire sends them.
    fn advance(&mut self, span_ms: u64) {
        let end = self.now + span_ms * MS;
        while self.now < end {
            self.now += self.settings.tick_ns;
            let due: Vec<CallId> = self
                .calls
                .iter()
                .filter(|(_, k)| k.in_flight.is_some() && !k.is_established && self.now >= k.deadline)
                .map(|(id, _)| *id)
                .collect();
            for id in due {
                self.end(id, Outcome::TimedOut);
            }
            if let Some(at) = self.timers.first().copied().filter(|at| *at <= self.now) {
                self.timers.remove(&at);
                self.feed(Event::TimerFired);
            }
            let slack = 20 * MS;
            for (id, known) in &self.calls {
                let fine = known.is_closed || known.is_established || self.now <= known.deadline + slack;
                assert!(fine, "rule 1: call {id} has no answer in time");
            }
        }
    }

    fn end(&mut self, id: CallId, outcome: Outcome) {
        let Some(known) = self.calls.get_mut(&id) else { return };
        let Some((attempt, server, at)) = known.in_flight.take() else { return };
        if outcome.needs_release() {
            known.not_before = self.now + self.settings.release_ns;
        }
        if !outcome.never_ran() && known.may_have_run.is_none() {
            known.may_have_run = Some((self.list[&server], at));
        }
        let is_final = known.is_established;
        known.is_closed |= is_final;
        self.feed(Event::AttemptCompleted {
            call: id,
            attempt,
            server,
            outcome,
            is_final,
            report: LoadReport::default(),
        });
    }

    fn pick(&self, index: usize, standing: bool) -> Option<CallId> {
        let fit = |k: &Known| k.in_flight.is_some() && (standing || !k.is_established);
        let ids: Vec<CallId> = self.calls.iter().filter(|(_, k)| fit(k)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    fn run(&mut self, step: Step, next: &mut CallId) {
        match step {
            Step::Call { class, number, budget_ms, retry_after_cut, in_transit } => {
                *next += 1;
                self.place_call(Call {
                    id: *next,
                    class,
                    first_choice: number,
                    budget_ns: budget_ms * MS,
                    dialled: Some(u64::from(number)),
                    circuits: 1.0,
                    retry_after_cut,
                    in_transit,
                });
            }
            Step::Advance(ms) => self.advance(ms),
            Step::Establish(i) => self.establish(i),
            Step::Complete(i, outcome) => {
                if let Some(id) = self.pick(i, true) {
                    let is_established = self.calls[&id].is_established;
                    let outcome =
                        if is_established && outcome != Outcome::Cut { Outcome::Completed } else { outcome };
                    self.end(id, outcome);
                }
            }
            Step::Disconnect(i) => self.disconnect(i),
            Step::Change(server, state, is_restarted) => self.change_endpoint(server, state, is_restarted),
            Step::Replace(mask) => self.replace_list(mask),
            Step::Fail => self.feed(Event::EndpointsUpdated(EndpointUpdate::Failed)),
        }
    }

    fn place_call(&mut self, call: Call) {
        let known = Known {
            call,
            deadline: self.now + call.budget_ns,
            in_flight: None,
            attempts: 0,
            not_before: 0,
            may_have_run: None,
            is_closed: false,
            is_established: false,
        };
        self.calls.insert(call.id, known);
        self.feed(Event::CallArrived(call));
    }

    fn establish(&mut self, index: usize) {
        let Some(id) = self.pick(index, false) else { return };
        let attempt = self.calls[&id].in_flight.map_or(0, |attempt| attempt.0);
        if let Some(known) = self.calls.get_mut(&id) {
            known.is_established = true;
        }
        self.feed(Event::CallEstablished { call: id, attempt });
    }

    fn disconnect(&mut self, index: usize) {
        let is_open = |known: &Known| !known.is_closed && !known.is_established;
        let open: Vec<CallId> = self.calls.iter().filter(|(_, k)| is_open(k)).map(|(id, _)| *id).collect();
        if open.is_empty() {
            return;
        }
        let id = open[index % open.len()];
        if let Some(known) = self.calls.get_mut(&id) {
            known.is_closed = true;
            known.in_flight = None;
        }
        self.feed(Event::ClientDisconnected(id));
    }

    fn change_endpoint(&mut self, server: ServerId, state: u8, is_restarted: bool) {
        let mut endpoint = self.list[&server];
        endpoint.availability =
            [Availability::Removed, Availability::Ready, Availability::Draining][state as usize];
        if is_restarted {
            endpoint.up_since_ns = self.now;
        }
        self.list.insert(server, endpoint);
        self.feed(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![endpoint])));
    }

    fn replace_list(&mut self, mask: u8) {
        let mut listed = Vec::new();
        for (server, endpoint) in &mut self.list {
            let is_listed = mask & (1 << server) != 0;
            endpoint.availability = if is_listed { Availability::Ready } else { Availability::Removed };
            if is_listed {
                listed.push(*endpoint);
            }
        }
        self.feed(Event::EndpointsUpdated(EndpointUpdate::Full(listed)));
    }
}

/// Rule 2: a call may be sent again only as its class allows, within the scope and time of its key.
fn check_repetition(class: &Class, first: &Endpoint, first_ns: Nanos, endpoint: &Endpoint, now: Nanos) {
    match class.idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => panic!("rule 2: unsafe call sent again"),
        Idempotency::IdempotencyKey(scope) => {
            assert!(now < first_ns + class.key_retention_ns, "rule 2: past its memory");
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
                let list: BTreeMap<ServerId, Endpoint> = (0..4u64)
                    .map(|s| (s, Endpoint { zone: s as u32 % 2, ..endpoint(s, s as u32) }))
                    .collect();
                let mut world = World {
                    controller: Controller::new(settings.clone(), seed),
                    settings,
                    now: 50 * S,
                    timers: BTreeSet::new(),
                    calls: BTreeMap::new(),
                    list,
                    sends: Vec::new(),
                };
                let all = world.list.values().copied().collect();
                world.feed(Event::EndpointsUpdated(EndpointUpdate::Full(all)));
                let mut next = 0;
                for step in steps {
                    world.run(step, &mut next);
                }
                world.advance(10_000);
                sends.set(sends.get() + world.sends.len());
                Ok(())
            },
        )
        .unwrap();
    assert!(sends.get() > 1_000, "the sequences must send: {}", sends.get());
}
