//! Two hundred fronts that each see little: what they send together, and how evenly.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const FRONTS: usize = 200;

/// How a server responds to set-ups.
#[derive(Clone, Copy, PartialEq)]
enum ServerBehaviour {
    /// Works so many a second, in turn; past three seconds of wait it turns them away.
    Serving(f64),
    /// Answers 'processor full' to each.
    Full,
    /// Answers nothing.
    Silent,
}

/// One front: its controller, the wakes it asked for, and each call's last attempt and server.
type Hosted = (Controller, BTreeSet<Nanos>, BTreeMap<CallId, (u32, ServerId)>);
/// An answer: its front, call, attempt, server and outcome (`None`: the call stands).
type Answer = (usize, CallId, u32, ServerId, Option<Outcome>);

struct Fleet {
    fronts: Vec<Hosted>,
    now: Nanos,
    next: CallId,
    servers: BTreeMap<ServerId, (ServerBehaviour, Nanos)>,
    /// Answers on their way, by when they arrive.
    due: BTreeMap<(Nanos, u64), Answer>,
    sends: VecDeque<(Nanos, usize, ServerId)>,
    succeeded: Vec<(Nanos, ServerId)>,
    retry_waits_ns: Vec<Nanos>,
    serial: u64,
}

impl Fleet {
    fn new(servers: &[(ServerId, ServerBehaviour)]) -> Self {
        let mut fleet = Fleet {
            fronts: (0..FRONTS)
                .map(|i| (Controller::new(settings(), i as u64), BTreeSet::new(), BTreeMap::new()))
                .collect(),
            now: 100 * S,
            next: 1,
            servers: servers.iter().map(|(id, behaviour)| (*id, (*behaviour, 0))).collect(),
            due: BTreeMap::new(),
            sends: VecDeque::new(),
            succeeded: Vec::new(),
            retry_waits_ns: Vec::new(),
            serial: 0,
        };
        let list: Vec<Endpoint> = servers.iter().map(|(id, _)| endpoint(*id, *id as u32)).collect();
        fleet.all(|| Event::EndpointsUpdated(EndpointUpdate::Full(list.clone())));
        fleet
    }

    fn all(&mut self, event: impl Fn() -> Event) {
        for front in 0..FRONTS {
            self.event(front, event());
        }
    }

    fn event(&mut self, front: usize, event: Event) {
        let mut actions = Vec::new();
        self.fronts[front].0.handle(self.now, event, &mut actions);
        for action in actions {
            self.serial += 1;
            match action {
                Action::SetTimer(at) => {
                    self.fronts[front].1.insert(at);
                }
                Action::ForwardSetup { call, server, .. } => {
                    self.sends.push_back((self.now, front, server));
                    let calls = &mut self.fronts[front].2;
                    let attempt = calls.get(&call).map_or(0, |(attempt, _)| attempt + 1);
                    calls.insert(call, (attempt, server));
                    let (behaviour, free_ns) = self.servers.get_mut(&server).unwrap();
                    let (at, outcome) = match behaviour {
                        ServerBehaviour::Silent => continue,
                        ServerBehaviour::Full => (self.now, Some(Outcome::Overloaded(Some(2 * S)))),
                        ServerBehaviour::Serving(_) if *free_ns > self.now + 3 * S => {
                            (self.now, Some(Outcome::Overloaded(Some(*free_ns - self.now))))
                        }
                        ServerBehaviour::Serving(per_s) => {
                            *free_ns = (*free_ns).max(self.now) + (1e9 / *per_s) as Nanos;
                            (*free_ns, None)
                        }
                    };
                    self.due.insert((at + 30 * MS, self.serial), (front, call, attempt, server, outcome));
                }
                // A set-up called off is worked on all the same, but nobody hears of it.
                Action::CancelAttempt { call, attempt } => {
                    self.due.retain(|_, d| (d.0, d.1) != (front, call));
                    let server = self.fronts[front].2[&call].1;
                    let end = (front, call, attempt, server, Some(Outcome::Cancelled));
                    self.due.insert((self.now + 20 * MS, self.serial), end);
                }
                Action::Reject { retry_after_ns, .. } => self.retry_waits_ns.extend(retry_after_ns),
                _ => {}
            }
        }
    }

    /// Runs for a while: each front gets a call every `apart`, its first choice by `choice` of the call's id.
    fn run(&mut self, duration: Nanos, interval: Nanos, choice: impl Fn(u64) -> u32) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 5 * MS;
            for front in 0..FRONTS {
                // Spread over the span by the front's number.
                if (self.now / (5 * MS) + front as u64 * 7).is_multiple_of(interval / (5 * MS)) {
                    let call = Call {
                        id: self.next,
                        class: usize::from(self.next.is_multiple_of(5)),
                        first_choice: choice(self.next),
                        budget_ns: 3 * S,
                        dialled: None,
                        circuits: 1.0,
                        retry_after_cut: false,
                        in_transit: false,
                    };
                    self.next += 1;
                    self.event(front, Event::CallArrived(call));
                }
                while self.fronts[front].1.first().is_some_and(|at| *at <= self.now) {
                    self.fronts[front].1.pop_first();
                    self.event(front, Event::TimerFired);
                }
            }
            while self.due.first_key_value().is_some_and(|((at, _), _)| *at <= self.now) {
                let (_, (front, call, attempt, server, outcome)) = self.due.pop_first().unwrap();
                match outcome {
                    None => {
                        self.succeeded.push((self.now, server));
                        self.event(front, Event::CallEstablished { call, attempt });
                    }
                    Some(outcome) => {
                        let report = LoadReport::default();
                        let closed = false;
                        self.event(
                            front,
                            Event::AttemptCompleted {
                                call,
                                attempt,
                                server,
                                outcome,
                                is_final: closed,
                                report,
                            },
                        );
                    }
                }
            }
        }
    }

    /// Set-ups a second that all fronts together sent to a server over the last `span`.
    fn sent_per_s(&self, server: ServerId, duration: Nanos) -> f64 {
        let from = self.now - duration;
        self.sends.iter().filter(|(at, _, s)| *at > from && *s == server).count() as f64 * 1e9
            / duration as f64
    }

    fn succeeded_per_s(&self, server: ServerId, duration: Nanos) -> f64 {
        let from = self.now - duration;
        self.succeeded.iter().filter(|(at, s)| *at > from && *s == server).count() as f64 * 1e9
            / duration as f64
    }
}

/// First choices without a rhythm that a front could share with another.
fn any_of_four(id: u64) -> u32 {
    1 + ((id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) % 4) as u32
}

/// Four servers of 100 a second, 300 calls a second in all: 0.375 a second from each front to each.
fn four_servers() -> Fleet {
    let mut fleet = Fleet::new(&[1, 2, 3, 4].map(|id| (id, ServerBehaviour::Serving(100.0))));
    fleet.run(15 * S, 670 * MS, any_of_four);
    fleet
}

#[test]
fn fronts_together_use_four_servers_evenly() {
    let fleet = four_servers();
    for server in 1..=4 {
        let sent = fleet.sent_per_s(server, 5 * S);
        assert!((60.0..=90.0).contains(&sent), "{sent} a second to {server}");
        assert!(fleet.succeeded_per_s(server, 5 * S) > 60.0);
    }
}

#[test]
fn fronts_together_do_not_exceed_server_in_slow_start() {
    let mut fleet = four_servers();
    let removed = Endpoint { availability: Availability::Removed, ..endpoint(1, 1) };
    fleet.all(|| Event::EndpointsUpdated(EndpointUpdate::Changes(vec![removed])));
    fleet.run(3 * S, 670 * MS, any_of_four);
    fleet.servers.insert(1, (ServerBehaviour::Serving(30.0), 0));
    let restarted = Endpoint { up_since_ns: fleet.now, ..endpoint(1, 1) };
    fleet.all(|| Event::EndpointsUpdated(EndpointUpdate::Changes(vec![restarted])));
    // It can do 30 a second at first and falls over at 90, each a second; 75 were normal.
    let mut most: f64 = 0.0;
    for _ in 0..12 {
        fleet.run(250 * MS, 670 * MS, any_of_four);
        most = most.max(fleet.sent_per_s(1, S));
    }
    assert!(most <= 60.0, "{most} a second at most");
    assert!(fleet.sent_per_s(1, S) >= 8.0, "but it is used: {} a second", fleet.sent_per_s(1, S));
    fleet.servers.insert(1, (ServerBehaviour::Serving(100.0), 0));
    fleet.run(25 * S, 670 * MS, any_of_four);
    assert!(fleet.succeeded_per_s(1, 3 * S) > 55.0, "{} warm", fleet.succeeded_per_s(1, 3 * S));
}

#[test]
fn a_slowed_server_drains_and_is_used_for_what_it_can_do() {
    let mut fleet = four_servers();
    fleet.servers.insert(1, (ServerBehaviour::Serving(30.0), fleet.now));
    fleet.run(20 * S, 670 * MS, any_of_four);
    let (sent, succeeded) = (fleet.sent_per_s(1, 5 * S), fleet.succeeded_per_s(1, 5 * S));
    assert!(sent < 40.0, "{sent} a second sent where 30 can be done");
    assert!(
        succeeded > 5.0 && succeeded > 0.8 * sent,
        "{succeeded} a second stand of {sent}: the jam was let go"
    );
    fleet.servers.insert(1, (ServerBehaviour::Serving(100.0), 0));
    fleet.run(30 * S, 670 * MS, any_of_four);
    assert!(
        fleet.succeeded_per_s(1, 5 * S) > 55.0,
        "no lasting ceiling: {}",
        fleet.succeeded_per_s(1, 5 * S)
    );
}

#[test]
fn full_or_silent_servers_are_probed_rarely_and_recover() {
    for behaviour in [ServerBehaviour::Full, ServerBehaviour::Silent] {
        let mut fleet = four_servers();
        fleet.servers.insert(1, (behaviour, 0));
        fleet.run(20 * S, 670 * MS, any_of_four);
        let sent = fleet.sent_per_s(1, 5 * S);
        assert!(sent < 20.0, "{sent} a second of 75 normally");
        // Nobody's rhythm is shared: no 100 ms holds much more than the rest.
        let mut bins = BTreeMap::new();
        for (at, _, server) in &fleet.sends {
            if *server == 1 && fleet.now - at < 5 * S {
                *bins.entry(at / (100 * MS)).or_insert(0) += 1;
            }
        }
        assert!(bins.values().all(|n| *n <= 12), "{bins:?}");
        fleet.servers.insert(1, (ServerBehaviour::Serving(100.0), 0));
        fleet.run(40 * S, 670 * MS, any_of_four);
        let succeeded = fleet.succeeded_per_s(1, 5 * S);
        assert!(succeeded > 50.0, "{succeeded} a second stand again");
    }
}

#[test]
fn rejections_spread_retries_over_time_when_all_servers_are_full() {
    let mut fleet = four_servers();
    for server in 1..=4 {
        fleet.servers.insert(server, (ServerBehaviour::Full, 0));
    }
    fleet.run(10 * S, 670 * MS, any_of_four);
    let waits: BTreeSet<Nanos> = fleet.retry_waits_ns.iter().map(|wait| wait / (20 * MS)).collect();
    assert!(fleet.retry_waits_ns.len() > 1000 && waits.len() >= 15, "{} waits", waits.len());
    for server in 1..=4 {
        fleet.servers.insert(server, (ServerBehaviour::Serving(100.0), 0));
    }
    fleet.run(40 * S, 670 * MS, any_of_four);
    let succeeded: f64 = (1..=4).map(|server| fleet.succeeded_per_s(server, 5 * S)).sum();
    assert!(succeeded > 250.0, "{succeeded} of 300 a second stand again");
}
