//! The cost of one call to the decision module, with 40 to 100,000 established calls, and with many calls in
//! the queue.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event, Settings};
use std::collections::VecDeque;

/// One second.
const S: Nanos = 1_000_000_000;
/// Number of servers.
const SERVERS: u64 = 10;
/// Time from a set-up to its answer.
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

/// The endpoint list.
fn endpoints() -> Vec<Endpoint> {
    let endpoint = |server: u64| Endpoint {
        server,
        number: server as u32,
        zone: 0,
        availability: Availability::Ready,
        up_since_ns: 0,
    };
    (0..SERVERS).map(endpoint).collect()
}

/// A call that a client places, with its first choice by the id.
fn call(id: CallId, budget_ns: Nanos) -> Call {
    Call {
        id,
        class: 0,
        first_choice: (id % SERVERS) as u32,
        budget_ns,
        dialled: None,
        circuits: 1.0,
        retry_after_cut: false,
        in_transit: false,
    }
}

/// A front in a steady state: calls arrive at a fixed interval, each is established [`ANSWER_NS`] after its
/// set-up, and the oldest ends as soon as more than `target` calls are established.
struct SteadyFront {
    controller: Controller,
    now: Nanos,
    /// Interval between calls.
    interval_ns: Nanos,
    /// The id of the next call.
    next_call: CallId,
    /// When the next timer fires.
    timer_ns: Nanos,
    /// Set-ups without an answer, with the time of their answer.
    in_flight: VecDeque<(Nanos, CallId, ServerId)>,
    established: VecDeque<(CallId, ServerId)>,
    /// Number of calls to keep established.
    target: usize,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
}

impl SteadyFront {
    /// Creates a front and runs it until `target` calls are established.
    fn new(calls_per_s: u64, target: usize) -> Self {
        let mut steady = SteadyFront {
            controller: Controller::new(settings(), 5),
            now: 100 * S,
            interval_ns: S / calls_per_s,
            next_call: 1,
            timer_ns: Nanos::MAX,
            in_flight: VecDeque::new(),
            established: VecDeque::new(),
            target,
            actions: Vec::new(),
        };
        steady.handle(Event::EndpointsUpdated(EndpointUpdate::Full(endpoints())));
        while steady.established.len() < target {
            steady.place_call();
        }
        steady
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::ForwardSetup { call, server, .. } => {
                    self.in_flight.push_back((self.now + ANSWER_NS, call, server))
                }
                Action::SetTimer(at) => self.timer_ns = at,
                other => panic!("unexpected action in a steady state: {other:?}"),
            }
        }
        self.actions = actions;
    }

    /// Places one call, after the timer, answers and ends of calls that are due by then.
    fn place_call(&mut self) {
        self.now += self.interval_ns;
        if self.timer_ns <= self.now {
            self.timer_ns = Nanos::MAX;
            self.handle(Event::TimerFired);
        }
        while let Some((answer_ns, call, server)) =
            self.in_flight.front().copied().filter(|(answer_ns, ..)| *answer_ns <= self.now)
        {
            debug_assert!(answer_ns <= self.now);
            self.in_flight.pop_front();
            self.handle(Event::CallEstablished { call, attempt: 0 });
            self.established.push_back((call, server));
        }
        while self.established.len() > self.target {
            let Some((call, server)) = self.established.pop_front() else { break };
            let (outcome, report) = (Outcome::Completed, LoadReport::default());
            self.handle(Event::AttemptCompleted {
                call,
                attempt: 0,
                server,
                outcome,
                is_final: true,
                report,
            });
        }
        let id = self.next_call;
        self.next_call += 1;
        self.handle(Event::CallArrived(call(id, 3 * S)));
    }
}

/// The cost of one call by the number of established calls.
fn cost_by_established_calls(c: &mut Criterion) {
    let mut group = c.benchmark_group("one_call_at_10000_per_s");
    group.sample_size(20);
    for established in [40, 400, 4_000, 40_000, 100_000] {
        let mut steady = SteadyFront::new(10_000, established);
        group.throughput(Throughput::Elements(1));
        group.bench_function(BenchmarkId::from_parameter(established), |b| {
            b.iter(|| steady.place_call());
        });
    }
    group.finish();
}

/// The cost of one call by the number of queued calls. All servers are unresponsive, so that further calls
/// are queued as well.
fn cost_by_queued_calls(c: &mut Criterion) {
    let mut group = c.benchmark_group("one_call_while_so_many_are_held");
    group.sample_size(20);
    for queued in [10u64, 100, 1_000, 10_000] {
        let mut settings = settings();
        // Calls are queued for 0.4 of this, which is longer than the measurement.
        settings.classes[0].latency_objective_ns = 1_000_000 * S;
        settings.classes[0].deadline_ns = 1_000_000 * S;
        let mut controller = Controller::new(settings, 5);
        let mut actions = Vec::new();
        let update = EndpointUpdate::Full(endpoints());
        controller.handle(100 * S, Event::EndpointsUpdated(update), &mut actions);
        let arrival = |id: CallId| Event::CallArrived(call(id, 900_000 * S));
        // No set-up is answered, so that the servers become unresponsive and further calls are queued.
        let mut id = 0;
        let mut now = 100 * S;
        while id < queued {
            id += 1;
            now += 1_000;
            controller.handle(now, arrival(id), &mut actions);
        }
        group.bench_function(BenchmarkId::from_parameter(queued), |b| {
            b.iter(|| {
                // The client disconnects at once, so that the number of queued calls stays the same.
                id += 1;
                now += 10;
                controller.handle(now, arrival(id), &mut actions);
                controller.handle(now, Event::ClientDisconnected(id), &mut actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

criterion_group!(benches, cost_by_established_calls, cost_by_queued_calls);
criterion_main!(benches);
