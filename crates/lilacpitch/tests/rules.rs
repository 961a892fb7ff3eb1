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
    out: Option<(u32, ServerId, Nanos)>,
    attempts: u32,
    not_before: Nanos,
    may_have_run: Option<(Endpoint, Nanos)>,
    closed: bool,
    standing: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Call { class: usize, number: u32, budget_ms: u64, again: bool, in_transit: bool },
    Pass(u64),
    Stand(usize),
    End(usize, Outcome),
    Gone(usize),
    List(ServerId, u8, bool),
    Full(u8),
    Failed,
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
            .prop_map(|(class, number, budget_ms, again, transit)| Step::Call {
                class, number, budget_ms, again, in_transit: transit && again
            }),
        6 => (1..600u64).prop_map(Step::Pass),
        5 => any::<usize>().prop_map(Step::Stand),
        5 => (any::<usize>(), outcome).prop_map(|(i, o)| Step::End(i, o)),
        1 => any::<usize>().prop_map(Step::Gone),
        2 => (0..4u64, 0..3u8, any::<bool>()).prop_map(|(s, a, fresh)| Step::List(s, a, fresh)),
        1 => (0..16u8).prop_map(Step::Full),
        1 => Just(Step::Failed),
    ]
}

fn varied() -> impl Strategy<Value = Settings> {
    let repeat = prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NonIdempotent),
        Just(Idempotency::IdempotencyKey(Scope::All)),
        Just(Idempotency::IdempotencyKey(Scope::Zone)),
        Just(Idempotency::IdempotencyKey(Scope::Number)),
    ];
    (repeat, any::<[bool; 5]>(), 0..3u64, 1..4u32).prop_map(
        |(repeat, [cancel, ask, home, pools, wait], resend, attempts)| {
            let mut s = settings();
            s.classes[1].idempotency = repeat;
            s.classes[1].key_retention_ns = 2 * S;
            s.may_cancel = cancel;
            s.must_subscribe = ask;
            s.home = home.then_some(2);
            s.resend_interval_ns = resend * 300 * MS;
            s.max_attempts = attempts;
            s.max_retry_after_ns = if wait { S } else { 0 };
            if pools {
                s.classes[0].pools = vec![0, 1];
            }
            s
        },
    )
}

/// The world outside the controller: plays events, and checks every action against the rules.
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
        let now = self.now;
        match action {
            Action::ForwardSetup { call, server, timeout_ns } => {
                let entry = self.list[&server];
                let known = self.calls.get_mut(&call).expect("a call that was given");
                let class = &self.settings.classes[known.call.class];
                assert!(!known.closed && !known.standing, "rule 1: sent after its end");
                assert!(
                    now < known.deadline && now + timeout_ns <= known.deadline,
                    "rule 1: past the deadline"
                );
                assert!(known.out.is_none(), "rule 2: two attempts out");
                assert!(known.attempts < self.settings.max_attempts);
                if let Some((first, at)) = known.may_have_run {
                    match class.idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => panic!("rule 2: unsafe call sent again"),
                        Idempotency::IdempotencyKey(scope) => {
                            assert!(now < at + class.key_retention_ns, "rule 2: past its memory");
                            assert!(match scope {
                                Scope::All => true,
                                Scope::Zone => first.zone == entry.zone,
                                Scope::Number => first.number == entry.number,
                            });
                        }
                    }
                }
                assert_eq!(entry.availability, Availability::Ready, "rule 3");
                assert!(now >= known.not_before, "rule 5: before its release");
                assert!(self.settings.home != Some(entry.number), "sent to the own exchange");
                assert!(class.pools.is_empty() || class.pools.contains(&entry.number), "without its skill");
                assert!(!known.call.in_transit || entry.number == known.call.first_choice);
                known.out = Some((known.attempts, server, now));
                known.attempts += 1;
                self.sends.push((now, server));
                if now.saturating_sub(entry.up_since_ns) < S {
                    // Rule 4: a quiet front's share of a server that has just started is a few set-ups.
                    let since = now - S;
                    let recent = self.sends.iter().filter(|(at, s)| *at > since && *s == server).count();
                    assert!(recent <= 12, "rule 4: {recent} set-ups within a second of its start");
                }
            }
            Action::CancelAttempt { call, attempt } => {
                assert!(self.settings.may_cancel);
                let known = &self.calls[&call];
                assert!(attempt < known.attempts);
            }
            Action::Reject { call, .. } => {
                let known = self.calls.get_mut(&call).expect("a call that was given");
                let repeat = self.settings.classes[known.call.class].idempotency;
                let free =
                    matches!(repeat, Idempotency::Idempotent | Idempotency::IdempotencyKey(Scope::All));
                assert!(free || (known.may_have_run.is_none() && known.out.is_none()), "rule 2: refused");
                assert!(!known.closed && known.out.is_none(), "rule 1: two answers");
                known.closed = true;
            }
            Action::Fail { call } => {
                let known = self.calls.get_mut(&call).expect("a call that was given");
                assert!(!known.closed && known.out.is_none(), "rule 1: two answers");
                known.closed = true;
            }
            Action::SetTimer(at) => {
                assert!(at > now);
                self.timers.insert(at);
            }
            Action::Subscribe => assert!(self.settings.must_subscribe),
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
                .filter(|(_, k)| k.out.is_some() && !k.standing && self.now >= k.deadline)
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
                let fine = known.closed || known.standing || self.now <= known.deadline + slack;
                assert!(fine, "rule 1: call {id} has no answer in time");
            }
        }
    }

    fn end(&mut self, id: CallId, outcome: Outcome) {
        let Some(known) = self.calls.get_mut(&id) else { return };
        let Some((attempt, server, at)) = known.out.take() else { return };
        if outcome.needs_release() {
            known.not_before = self.now + self.settings.release_ns;
        }
        if !outcome.never_ran() && known.may_have_run.is_none() {
            known.may_have_run = Some((self.list[&server], at));
        }
        let closed = known.standing;
        known.closed |= closed;
        self.feed(Event::AttemptCompleted {
            call: id,
            attempt,
            server,
            outcome,
            is_final: closed,
            report: LoadReport::default(),
        });
    }

    fn pick(&self, index: usize, standing: bool) -> Option<CallId> {
        let fit = |k: &Known| k.out.is_some() && (standing || !k.standing);
        let ids: Vec<CallId> = self.calls.iter().filter(|(_, k)| fit(k)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[index % ids.len()])
    }

    fn play(&mut self, step: Step, next: &mut CallId) {
        match step {
            Step::Call { class, number, budget_ms, again, in_transit } => {
                *next += 1;
                let call = Call {
                    id: *next,
                    class,
                    first_choice: number,
                    budget_ns: budget_ms * MS,
                    dialled: Some(u64::from(number)),
                    circuits: 1.0,
                    retry_after_cut: again,
                    in_transit,
                };
                let known = Known {
                    call,
                    deadline: self.now + call.budget_ns,
                    out: None,
                    attempts: 0,
                    not_before: 0,
                    may_have_run: None,
                    closed: false,
                    standing: false,
                };
                self.calls.insert(*next, known);
                self.feed(Event::CallArrived(call));
            }
            Step::Pass(ms) => self.advance(ms),
            Step::Stand(i) => {
                if let Some(id) = self.pick(i, false) {
                    let attempt = self.calls[&id].out.map_or(0, |o| o.0);
                    if let Some(known) = self.calls.get_mut(&id) {
                        known.standing = true;
                    }
                    self.feed(Event::CallEstablished { call: id, attempt });
                }
            }
            Step::End(i, outcome) => {
                if let Some(id) = self.pick(i, true) {
                    let standing = self.calls[&id].standing;
                    let outcome =
                        if standing && outcome != Outcome::Cut { Outcome::Completed } else { outcome };
                    self.end(id, outcome);
                }
            }
            Step::Gone(i) => {
                let open: Vec<CallId> =
                    self.calls.iter().filter(|(_, k)| !k.closed && !k.standing).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[i % open.len()];
                    if let Some(known) = self.calls.get_mut(&id) {
                        known.closed = true;
                        known.out = None;
                    }
                    self.feed(Event::ClientDisconnected(id));
                }
            }
            Step::List(server, state, fresh) => {
                let mut entry = self.list[&server];
                entry.availability =
                    [Availability::Removed, Availability::Ready, Availability::Draining][state as usize];
                if fresh {
                    entry.up_since_ns = self.now;
                }
                self.list.insert(server, entry);
                self.feed(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![entry])));
            }
            Step::Full(mask) => {
                let mut kept = Vec::new();
                for (server, entry) in &mut self.list {
                    let there = mask & (1 << server) != 0;
                    entry.availability = if there { Availability::Ready } else { Availability::Removed };
                    if there {
                        kept.push(*entry);
                    }
                }
                self.feed(Event::EndpointsUpdated(EndpointUpdate::Full(kept)));
            }
            Step::Failed => self.feed(Event::EndpointsUpdated(EndpointUpdate::Failed)),
        }
    }
}

#[test]
fn all_five_rules_hold_on_random_events_and_settings() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let sends = std::cell::Cell::new(0);
    runner
        .run(
            &(varied(), proptest::collection::vec(step(), 1..120), any::<u64>()),
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
                    world.play(step, &mut next);
                }
                world.advance(10_000);
                sends.set(sends.get() + world.sends.len());
                Ok(())
            },
        )
        .unwrap();
    assert!(sends.get() > 1_000, "the sequences must send: {}", sends.get());
}
