//! Two hundred fronts, each with few calls: the rate that they send to each server together, and how evenly
//! it is spread.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of fronts.
const FRONTS: usize = 200;
/// Interval between the calls of one front: 300 calls a second in all.
const CALL_INTERVAL_NS: Nanos = 670 * MS;

/// How a server responds to set-ups.
#[derive(Clone, Copy, PartialEq)]
enum ServerBehaviour {
    /// Establishes this number of calls a second, in the order of arrival; rejects set-ups that would wait
    /// for more than three seconds.
    Serving(f64),
    /// Answers 'processor full' to every set-up.
    Full,
    /// Never answers.
    Silent,
}

/// One of the fronts.
struct FrontState {
    controller: Controller,
    /// Timers that are set.
    timers: BTreeSet<Nanos>,
    /// For each call the number of its last attempt and the server of it.
    last_attempts: BTreeMap<CallId, (u32, ServerId)>,
}

/// An answer to a set-up.
struct Answer {
    front: usize,
    call: CallId,
    attempt: u32,
    server: ServerId,
    /// `None` if the call was established.
    outcome: Option<Outcome>,
}

/// The fronts, the servers and the network between them.
struct Fleet {
    fronts: Vec<FrontState>,
    now: Nanos,
    /// The id of the next call.
    next_call: CallId,
    /// The behaviour of each server and the time until which it is busy.
    servers: BTreeMap<ServerId, (ServerBehaviour, Nanos)>,
    /// Answers in transit, by the time of their arrival and a serial number.
    answers: BTreeMap<(Nanos, u64), Answer>,
    /// Set-ups sent: time, front and server.
    sends: VecDeque<(Nanos, usize, ServerId)>,
    /// Calls established: time and server.
    succeeded: Vec<(Nanos, ServerId)>,
    /// The retry-after of each rejection.
    retry_waits_ns: Vec<Nanos>,
    /// Serial number of the next answer.
    serial: u64,
}

impl Fleet {
    fn new(servers: &[(ServerId, ServerBehaviour)]) -> Self {
        let mut fleet = Fleet {
            fronts: (0..FRONTS)
                .map(|index| FrontState {
                    controller: Controller::new(settings(), index as u64),
                    timers: BTreeSet::new(),
                    last_attempts: BTreeMap::new(),
                })
                .collect(),
            now: 100 * S,
            next_call: 1,
            servers: servers.iter().map(|(id, behaviour)| (*id, (*behaviour, 0))).collect(),
            answers: BTreeMap::new(),
            sends: VecDeque::new(),
            succeeded: Vec::new(),
            retry_waits_ns: Vec::new(),
            serial: 0,
        };
        let list: Vec<Endpoint> = servers.iter().map(|(id, _)| endpoint(*id, *id as u32)).collect();
        fleet.handle_at_all_fronts(|| Event::EndpointsUpdated(EndpointUpdate::Full(list.clone())));
        fleet
    }

    /// Passes an event to every front.
    fn handle_at_all_fronts(&mut self, event: impl Fn() -> Event) {
        for front in 0..FRONTS {
            self.handle(front, event());
        }
    }

    /// Passes an event to one front and carries out its actions.
    fn handle(&mut self, front: usize, event: Event) {
        let mut actions = Vec::new();
        self.fronts[front].controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.serial += 1;
            match action {
                Action::SetTimer(at) => {
                    self.fronts[front].timers.insert(at);
                }
                Action::ForwardSetup { call, server, .. } => self.send_setup(front, call, server),
                Action::CancelAttempt { call, attempt } => self.cancel_attempt(front, call, attempt),
                Action::Reject { retry_after_ns, .. } => self.retry_waits_ns.extend(retry_after_ns),
                _ => {}
            }
        }
    }

    /// Sends a set-up to a server and schedules the answer, if there will be one.
    fn send_setup(&mut self, front: usize, call: CallId, server: ServerId) {
        self.sends.push_back((self.now, front, server));
        let last_attempts = &mut self.fronts[front].last_attempts;
        let attempt = last_attempts.get(&call).map_or(0, |(attempt, _)| attempt + 1);
        last_attempts.insert(call, (attempt, server));
        let (behaviour, busy_until_ns) = self.servers.get_mut(&server).unwrap();
        let (at, outcome) = match behaviour {
            ServerBehaviour::Silent => return,
            ServerBehaviour::Full => (self.now, Some(Outcome::Overloaded(Some(2 * S)))),
            ServerBehaviour::Serving(_) if *busy_until_ns > self.now + 3 * S => {
                (self.now, Some(Outcome::Overloaded(Some(*busy_until_ns - self.now))))
            }
            ServerBehaviour::Serving(per_s) => {
                *busy_until_ns = (*busy_until_ns).max(self.now) + (1e9 / *per_s) as Nanos;
                (*busy_until_ns, None)
            }
        };
        let answer = Answer { front, call, attempt, server, outcome };
        self.answers.insert((at + 30 * MS, self.serial), answer);
    }

    /// Cancels an attempt. The server processes the set-up all the same, but its answer is dropped.
    fn cancel_attempt(&mut self, front: usize, call: CallId, attempt: u32) {
        self.answers.retain(|_, answer| (answer.front, answer.call) != (front, call));
        let server = self.fronts[front].last_attempts[&call].1;
        let answer = Answer { front, call, attempt, server, outcome: Some(Outcome::Cancelled) };
        self.answers.insert((self.now + 20 * MS, self.serial), answer);
    }

    /// Runs for a while with a call at each front every [`CALL_INTERVAL_NS`].
    fn run(&mut self, duration: Nanos) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 5 * MS;
            for front in 0..FRONTS {
                // The fronts' calls are spread over the interval.
                if (self.now / (5 * MS) + front as u64 * 7).is_multiple_of(CALL_INTERVAL_NS / (5 * MS)) {
                    let call = Call {
                        id: self.next_call,
                        class: usize::from(self.next_call.is_multiple_of(5)),
                        first_choice: any_of_four(self.next_call),
                        budget_ns: 3 * S,
                        dialled: None,
                        circuits: 1.0,
                        retry_after_cut: false,
                        in_transit: false,
                    };
                    self.next_call += 1;
                    self.handle(front, Event::CallArrived(call));
                }
                while self.fronts[front].timers.first().is_some_and(|at| *at <= self.now) {
                    self.fronts[front].timers.pop_first();
                    self.handle(front, Event::TimerFired);
                }
            }
            while self.answers.first_key_value().is_some_and(|((at, _), _)| *at <= self.now) {
                let (_, answer) = self.answers.pop_first().unwrap();
                let Answer { front, call, attempt, server, outcome } = answer;
                match outcome {
                    None => {
                        self.succeeded.push((self.now, server));
                        self.handle(front, Event::CallEstablished { call, attempt });
                    }
                    Some(outcome) => {
                        let (is_final, report) = (false, LoadReport::default());
                        self.handle(
                            front,
                            Event::AttemptCompleted { call, attempt, server, outcome, is_final, report },
                        );
                    }
                }
            }
        }
    }

    /// Set-ups a second that all fronts together sent to a server over the last `duration`.
    fn sent_per_s(&self, server: ServerId, duration: Nanos) -> f64 {
        let start = self.now - duration;
        let sent = self.sends.iter().filter(|(at, _, sent_to)| *at > start && *sent_to == server);
        sent.count() as f64 * 1e9 / duration as f64
    }

    /// Calls a second that a server established over the last `duration`.
    fn succeeded_per_s(&self, server: ServerId, duration: Nanos) -> f64 {
        let start = self.now - duration;
        let succeeded = self.succeeded.iter().filter(|(at, served_by)| *at > start && *served_by == server);
        succeeded.count() as f64 * 1e9 / duration as f64
    }
}

/// The first choice of a call, 1 to 4, by a hash of its id, so that no two fronts follow the same pattern.
fn any_of_four(id: u64) -> u32 {
    1 + ((id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) % 4) as u32
}

/// A fleet after 15 s with four servers that serve 100 calls a second each. Each front sends 0.375 calls a
/// second to each server.
fn four_servers() -> Fleet {
    let mut fleet = Fleet::new(&[1, 2, 3, 4].map(|id| (id, ServerBehaviour::Serving(100.0))));
    fleet.run(15 * S);
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
    fleet.handle_at_all_fronts(|| Event::EndpointsUpdated(EndpointUpdate::Changes(vec![removed])));
    fleet.run(3 * S);
    fleet.servers.insert(1, (ServerBehaviour::Serving(30.0), 0));
    let restarted = Endpoint { up_since_ns: fleet.now, ..endpoint(1, 1) };
    fleet.handle_at_all_fronts(|| Event::EndpointsUpdated(EndpointUpdate::Changes(vec![restarted])));
    // The server can serve 30 calls a second at first and fails at 90; its normal rate is 75.
    let mut highest_per_s: f64 = 0.0;
    for _ in 0..12 {
        fleet.run(250 * MS);
        highest_per_s = highest_per_s.max(fleet.sent_per_s(1, S));
    }
    assert!(highest_per_s <= 60.0, "{highest_per_s} a second at most");
    assert!(fleet.sent_per_s(1, S) >= 8.0, "the server must be used: {} a second", fleet.sent_per_s(1, S));
    fleet.servers.insert(1, (ServerBehaviour::Serving(100.0), 0));
    fleet.run(25 * S);
    assert!(
        fleet.succeeded_per_s(1, 3 * S) > 55.0,
        "{} a second after slow start",
        fleet.succeeded_per_s(1, 3 * S)
    );
}

#[test]
fn slowed_server_is_sent_what_it_can_serve_and_recovers() {
    let mut fleet = four_servers();
    fleet.servers.insert(1, (ServerBehaviour::Serving(30.0), fleet.now));
    fleet.run(20 * S);
    let (sent, succeeded) = (fleet.sent_per_s(1, 5 * S), fleet.succeeded_per_s(1, 5 * S));
    assert!(sent < 40.0, "{sent} a second sent to a server that can serve 30");
    assert!(
        succeeded > 5.0 && succeeded > 0.8 * sent,
        "{succeeded} of {sent} a second succeeded: the queue must have drained"
    );
    fleet.servers.insert(1, (ServerBehaviour::Serving(100.0), 0));
    fleet.run(30 * S);
    assert!(
        fleet.succeeded_per_s(1, 5 * S) > 55.0,
        "the ceiling must be removed: {} a second",
        fleet.succeeded_per_s(1, 5 * S)
    );
}

#[test]
fn full_or_silent_servers_are_probed_rarely_and_recover() {
    for behaviour in [ServerBehaviour::Full, ServerBehaviour::Silent] {
        let mut fleet = four_servers();
        fleet.servers.insert(1, (behaviour, 0));
        fleet.run(20 * S);
        let sent = fleet.sent_per_s(1, 5 * S);
        assert!(sent < 20.0, "{sent} a second; 75 is normal");
        // The fronts' probes must be spread: no interval of 100 ms may hold many of them.
        let mut bins = BTreeMap::new();
        for (at, _, server) in &fleet.sends {
            if *server == 1 && fleet.now - at < 5 * S {
                *bins.entry(at / (100 * MS)).or_insert(0) += 1;
            }
        }
        assert!(bins.values().all(|probes| *probes <= 12), "{bins:?}");
        fleet.servers.insert(1, (ServerBehaviour::Serving(100.0), 0));
        fleet.run(40 * S);
        let succeeded = fleet.succeeded_per_s(1, 5 * S);
        assert!(succeeded > 50.0, "{succeeded} a second succeed after the recovery");
    }
}

#[test]
fn rejections_spread_retries_over_time_when_all_servers_are_full() {
    let mut fleet = four_servers();
    for server in 1..=4 {
        fleet.servers.insert(server, (ServerBehaviour::Full, 0));
    }
    fleet.run(10 * S);
    let waits: BTreeSet<Nanos> = fleet.retry_waits_ns.iter().map(|wait| wait / (20 * MS)).collect();
    assert!(fleet.retry_waits_ns.len() > 1000 && waits.len() >= 15, "{} different waits", waits.len());
    for server in 1..=4 {
        fleet.servers.insert(server, (ServerBehaviour::Serving(100.0), 0));
    }
    fleet.run(40 * S);
    let succeeded: f64 = (1..=4).map(|server| fleet.succeeded_per_s(server, 5 * S)).sum();
    assert!(succeeded > 250.0, "{succeeded} of 300 a second succeed after the recovery");
}
