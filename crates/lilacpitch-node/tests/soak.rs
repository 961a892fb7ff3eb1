//! No container of the core or the controller grows while thousands of servers are replaced and calls use new
//! ids.

mod common;

use common::{answer_line, config, request, stop_line, target, Simulation, MS, START_NS};
use lilacpitch_node::core::{Effect, Input, NodeCore, UpstreamId};
use serde_json::{json, Value};

/// A node in virtual time whose connections are established at once. Counts the messages to callers.
struct Soak {
    core: NodeCore,
    now: u64,
    upstreams: Vec<UpstreamId>,
    /// Set-ups in flight, as connection and call id.
    in_flight: Vec<(UpstreamId, String)>,
    responses: usize,
    established: usize,
    releases: usize,
}

impl Simulation for Soak {
    fn core(&mut self) -> (&mut NodeCore, &mut u64) {
        (&mut self.core, &mut self.now)
    }

    fn handle_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(upstream, _) => {
                self.upstreams.push(upstream);
                self.feed(Input::UpstreamConnected(upstream));
            }
            Effect::Disconnect(upstream) => self.upstreams.retain(|other| *other != upstream),
            // A cancelled set-up counts as written, so its server gets the stop, which is written at once.
            Effect::CancelSetup { upstream, stop_message, bytes, .. } => {
                let line: Value = serde_json::from_slice(&bytes).unwrap();
                self.in_flight.retain(|(_, call)| line["uid"] != call.as_str());
                self.feed(Input::EndWritten { upstream, message: stop_message });
            }
            Effect::ToServer { upstream, bytes, .. } => {
                let line: Value = serde_json::from_slice(&bytes).unwrap();
                let call = line["uid"].as_str().unwrap().to_string();
                match line["kind"].as_str() {
                    Some("launch") => self.in_flight.push((upstream, call)),
                    _ => self.in_flight.retain(|(_, other)| *other != call),
                }
            }
            Effect::ToCaller(_, bytes) => {
                self.responses += usize::from(bytes.starts_with(b"SIP/2.0 "));
                self.established += usize::from(bytes.starts_with(b"SIP/2.0 200 "));
            }
            Effect::Release(..) => self.releases += 1,
            _ => {}
        }
    }
}

impl Soak {
    fn new() -> Self {
        Soak {
            core: NodeCore::new(config().site, 32, START_NS, 7),
            now: START_NS,
            upstreams: Vec::new(),
            in_flight: Vec::new(),
            responses: 0,
            established: 0,
            releases: 0,
        }
    }

    fn list_servers(&mut self, index: u64, all: bool, servers: &[(u64, &str)]) {
        let now_ms = self.now / MS;
        let targets = servers.iter().map(|(number, state)| {
            target(*number, 1000 + number % 7, state, if *number < 3 { 0 } else { now_ms })
        });
        self.feed_endpoints(index, all, targets.collect());
    }

    /// Ends the set-ups in flight: some are answered and then ended by the server, some are rejected, some
    /// are lost with their connection, and some get no answer.
    fn complete_in_flight(&mut self, round: u64) {
        for (index, (upstream, call)) in std::mem::take(&mut self.in_flight).into_iter().enumerate() {
            match (index as u64 + round) % 5 {
                0 | 1 => {
                    self.feed_line(upstream, &answer_line(&call, "x"));
                    self.advance(5 * MS);
                    self.feed_line(upstream, &stop_line(&call, 16, json!({})));
                }
                2 => self.feed_line(upstream, &stop_line(&call, 34, json!({"note": "ovl"}))),
                3 => {
                    self.upstreams.retain(|other| *other != upstream);
                    self.feed(Input::UpstreamClosed { upstream, written: u64::MAX, is_refused: false });
                }
                _ => {}
            }
        }
    }

    /// Replaces one of three servers by another with the same number, while six calls are set up. Some new
    /// servers have the address of a former one.
    fn replace_server(&mut self, round: u64, next_call: &mut u64) {
        let (old, new) = (round, round + 3);
        self.list_servers(2 + 2 * round, false, &[(old, "terminating"), (new, "in_service")]);
        let caller = round + 1;
        self.feed(Input::CallerOpened(caller));
        for _ in 0..6 {
            *next_call += 1;
            self.feed(Input::CallerMessage(caller, request("INVITE", *next_call)));
            self.advance(40 * MS);
        }
        self.complete_in_flight(round);
        self.feed(Input::CallerMessage(caller, request("CANCEL", *next_call)));
        self.list_servers(3 + 2 * round, false, &[(old, "terminated")]);
        self.advance(200 * MS);
        self.feed(Input::CallerClosed(caller));
    }
}

#[test]
fn replaced_servers_and_new_call_ids_do_not_grow_containers() {
    let mut soak = Soak::new();
    soak.list_servers(1, true, &[(0, "in_service"), (1, "in_service"), (2, "in_service")]);
    let (mut next_call, mut sizes) = (0, Vec::new());
    for round in 0..2_000u64 {
        soak.replace_server(round, &mut next_call);
        if round % 500 == 499 {
            // Long enough for all temporary entries to expire.
            soak.advance(40_000 * MS);
            sizes.push(soak.core.sizes());
        }
    }
    assert!(soak.responses > 2_000 && soak.releases > 100, "{} {}", soak.responses, soak.releases);
    let (first, last) = (&sizes[0], &sizes[3]);
    for ((name, first), (_, last)) in first.iter().zip(last) {
        assert!(*last <= first + 3, "{name} grew from {first} to {last}: {sizes:?}");
        assert!(*last <= 64, "{name} holds {last}");
    }
}

#[test]
fn answer_read_after_a_stall_does_not_establish_a_timed_out_call() {
    let mut soak = Soak::new();
    soak.list_servers(1, true, &[(0, "in_service"), (1, "in_service"), (2, "in_service")]);
    soak.feed(Input::CallerOpened(1));
    soak.feed(Input::CallerMessage(1, request("INVITE", 3)));
    let (upstream, call) = soak.in_flight.pop().expect("no set-up sent");
    // The process stalls for longer than the caller waits, and then reads the answer before any timer fires.
    soak.now += 5_000 * MS;
    soak.feed_line(upstream, &answer_line(&call, "late"));
    soak.advance(1_000 * MS);
    assert_eq!((soak.responses, soak.established), (1, 0), "expected one final response, other than 200");
}
