//! What one event costs the decision module as calls stand: the curve from 40 to 100,000 standing calls.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event, Settings};
use std::collections::VecDeque;

const S: Nanos = 1_000_000_000;
const SERVERS: u64 = 10;
const ANSWER_NS: Nanos = 20_000_000;

fn settings() -> Settings {
    let class = Class {
        latency_objective_ns: 2 * S,
        deadline_ns: 9 * S,
        priority_weight: 1.0,
        late_weight: 0.25,
        idempotency: Idempotency::Idempotent,
        key_retention_ns: 0,
        pools: vec![],
    };
    Settings {
        classes: vec![class],
        home: None,
        resend_interval_ns: S / 2,
        release_ns: 3 * S / 10,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after_ns: 2 * S,
        must_subscribe: false,
        slow_start_floor: 0.3,
        slow_start_ns: 10 * S,
        overload_multiple: 3.0,
        tick_ns: 5_000_000,
    }
}

/// A front in a steady state: each call is answered 20 ms after its set-up and ends when as many stand as wanted.
struct Steady {
    controller: Controller,
    now: Nanos,
    interval_ns: Nanos,
    next: CallId,
    timer_ns: Nanos,
    in_flight: VecDeque<(Nanos, CallId, ServerId)>,
    established: VecDeque<(CallId, ServerId)>,
    target: usize,
    actions: Vec<Action>,
}

impl Steady {
    fn new(per_s: u64, target: usize) -> Self {
        let mut steady = Steady {
            controller: Controller::new(settings(), 5),
            now: 100 * S,
            interval_ns: S / per_s,
            next: 1,
            timer_ns: Nanos::MAX,
            in_flight: VecDeque::new(),
            established: VecDeque::new(),
            target,
            actions: Vec::new(),
        };
        let endpoint = |server: u64| Endpoint {
            server,
            number: server as u32,
            zone: 0,
            availability: Availability::Ready,
            up_since_ns: 0,
        };
        steady.event(Event::EndpointsUpdated(EndpointUpdate::Full((0..SERVERS).map(endpoint).collect())));
        while steady.established.len() < target {
            steady.call();
        }
        steady
    }

    fn event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::ForwardSetup { call, server, .. } => {
                    self.in_flight.push_back((self.now + ANSWER_NS, call, server))
                }
                Action::SetTimer(at) => self.timer_ns = at,
                other => panic!("a steady front has no cause for {other:?}"),
            }
        }
        self.actions = actions;
    }

    /// One call in, and what falls due until the next one: an answer, an end, a wake now and then.
    fn call(&mut self) {
        self.now += self.interval_ns;
        if self.timer_ns <= self.now {
            self.timer_ns = Nanos::MAX;
            self.event(Event::TimerFired);
        }
        while let Some((at, call, server)) = self.in_flight.front().copied().filter(|o| o.0 <= self.now) {
            debug_assert!(at <= self.now);
            self.in_flight.pop_front();
            self.event(Event::CallEstablished { call, attempt: 0 });
            self.established.push_back((call, server));
        }
        while self.established.len() > self.target {
            let Some((call, server)) = self.established.pop_front() else { break };
            let (outcome, report) = (Outcome::Completed, LoadReport::default());
            self.event(Event::AttemptCompleted { call, attempt: 0, server, outcome, is_final: true, report });
        }
        let id = self.next;
        self.next += 1;
        self.event(Event::CallArrived(Call {
            id,
            class: 0,
            first_choice: (id % SERVERS) as u32,
            budget_ns: 3 * S,
            dialled: None,
            circuits: 1.0,
            retry_after_cut: false,
            in_transit: false,
        }));
    }
}

fn curve(c: &mut Criterion) {
    let mut group = c.benchmark_group("one_call_at_10000_per_s");
    group.sample_size(20);
    for established in [40, 400, 4_000, 40_000, 100_000] {
        let mut steady = Steady::new(10_000, established);
        group.throughput(Throughput::Elements(1));
        group.bench_function(BenchmarkId::from_parameter(established), |b| b.iter(|| steady.call()));
    }
    group.finish();
}

/// So many calls are held back by a silent server while further ones come, and are held as well.
fn held(c: &mut Criterion) {
    let mut group = c.benchmark_group("one_call_while_so_many_are_held");
    group.sample_size(20);
    for waiting in [10u64, 100, 1_000, 10_000] {
        let mut settings = settings();
        // Held for 0.4 of this: for the whole of the measurement.
        settings.classes[0].latency_objective_ns = 1_000_000 * S;
        settings.classes[0].deadline_ns = 1_000_000 * S;
        let mut controller = Controller::new(settings, 5);
        let mut actions = Vec::new();
        let endpoint = |server: u64| Endpoint {
            server,
            number: server as u32,
            availability: Availability::Ready,
            ..Endpoint::default()
        };
        controller.handle(
            100 * S,
            Event::EndpointsUpdated(EndpointUpdate::Full((0..SERVERS).map(endpoint).collect())),
            &mut actions,
        );
        let call = |id: u64| {
            let (first_choice, budget_ns) = ((id % SERVERS) as u32, 900_000 * S);
            let (dialled, circuits, retry_after_cut, in_transit) = (None, 1.0, false, false);
            Event::CallArrived(Call {
                id,
                class: 0,
                first_choice,
                budget_ns,
                dialled,
                circuits,
                retry_after_cut,
                in_transit,
            })
        };
        // Set-ups that nobody answers: all servers are suspected, and all further calls held.
        let mut next = 0;
        let mut now = 100 * S;
        while next < waiting {
            next += 1;
            now += 1_000;
            controller.handle(now, call(next), &mut actions);
        }
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                // One comes and its caller leaves, so that as many stay held.
                next += 1;
                now += 10;
                controller.handle(now, call(next), &mut actions);
                controller.handle(now, Event::ClientDisconnected(next), &mut actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

criterion_group!(benches, curve, held);
criterion_main!(benches);
