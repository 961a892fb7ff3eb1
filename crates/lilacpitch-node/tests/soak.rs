//! Thousands of replaced servers and ever new ids: each map returns to its size, the module's too.

use lilacpitch_node::coordinator::parse_response;
use lilacpitch_node::core::{Effect, Input, NodeCore, UpstreamId};
use lilacpitch_node::signalling::ServerMessage;
use serde_json::json;

mod common;
use common::{config, request, MS};

/// A node in virtual time, and servers that answer as they are told.
struct Soak {
    node: NodeCore,
    now: u64,
    links: Vec<UpstreamId>,
    /// Set-ups that are out: connection and id.
    out: Vec<(UpstreamId, String)>,
    answered: usize,
    stood: usize,
    released: usize,
}

impl Soak {
    fn new() -> Self {
        let node = NodeCore::new(config().site, 32, 1_000_000 * MS, 7);
        let now = 1_000_000 * MS;
        Soak { node, now, links: Vec::new(), out: Vec::new(), answered: 0, stood: 0, released: 0 }
    }

    fn feed(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.node.handle(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Connect(link, _) => {
                    self.links.push(link);
                    self.feed(Input::UpstreamConnected(link));
                }
                Effect::Disconnect(link) => self.links.retain(|l| *l != link),
                // What is taken back had left: its server is told.
                Effect::ToServer { upstream: link, bytes, .. }
                | Effect::CancelSetup { upstream: link, bytes, .. } => {
                    let line: serde_json::Value = serde_json::from_slice(&bytes).unwrap();
                    let uid = line["uid"].as_str().unwrap().to_string();
                    match line["kind"].as_str() {
                        Some("launch") => self.out.push((link, uid)),
                        _ => self.out.retain(|(_, out)| *out != uid),
                    }
                }
                Effect::ToCaller(_, bytes) => {
                    self.answered += usize::from(bytes.starts_with(b"SIP/2.0 "));
                    self.stood += usize::from(bytes.starts_with(b"SIP/2.0 200 "));
                    self.released += usize::from(bytes.starts_with(b"BYE "));
                }
                _ => {}
            }
        }
    }

    fn pass(&mut self, span_ms: u64) {
        let until = self.now + span_ms * MS;
        while let Some(due) = self.node.next_timeout().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.feed(Input::Timeout);
        }
        self.now = until;
    }

    fn say(&mut self, link: UpstreamId, line: serde_json::Value) {
        self.feed(Input::UpstreamMessage(link, ServerMessage::decode(line.to_string().as_bytes()).unwrap()));
    }

    fn list(&mut self, index: u64, all: bool, servers: &[(u64, &str)]) {
        let targets = servers.iter().map(|(n, state)| {
            json!({"uid": format!("s-{n}"), "endpoint": format!("127.0.0.1:{}", 1000 + n % 7), "az": "a",
                "pod_group": n % 3, "state": state, "boot_ms": if *n < 3 { 0 } else { self.now / MS }})
        });
        let targets: Vec<_> = targets.collect();
        let event = json!({"index": index, "endpoints": {"rev": index, "all": all, "targets": targets}});
        let told = parse_response(&json!({"index": index, "updates": [event]}).to_string()).unwrap();
        told.updates.into_iter().for_each(|update| self.feed(Input::EndpointsUpdated(update.endpoints)));
    }
}

#[test]
fn replaced_servers_and_new_ids_leave_nothing_behind() {
    let mut soak = Soak::new();
    soak.list(1, true, &[(0, "in_service"), (1, "in_service"), (2, "in_service")]);
    let (mut call, mut sizes) = (0, Vec::new());
    for round in 0..2_000u64 {
        // One server of three is replaced by another with its number, some at an address that has been used.
        let (old, new) = (round, round + 3);
        soak.list(2 + 2 * round, false, &[(old, "terminating"), (new, "in_service")]);
        let caller = round + 1;
        soak.feed(Input::CallerOpened(caller));
        for _ in 0..6 {
            call += 1;
            soak.feed(Input::CallerMessage(caller, request("INVITE", call)));
            soak.pass(40);
        }
        // Of what is out, some stand, some are refused, some are lost with their connection, some never answer.
        for (n, (link, uid)) in std::mem::take(&mut soak.out).into_iter().enumerate() {
            match (n as u64 + round) % 5 {
                0 | 1 => {
                    soak.say(link, json!({"kind": "running", "uid": uid, "meta": {}, "body": "x"}));
                    soak.pass(5);
                    soak.say(link, json!({"kind": "stop", "uid": uid, "meta": {}, "reason": 16}));
                }
                2 => {
                    soak.say(link, json!({"kind": "stop", "uid": uid, "meta": {"note": "ovl"}, "reason": 34}))
                }
                3 => {
                    soak.links.retain(|l| *l != link);
                    soak.feed(Input::UpstreamClosed { upstream: link, written: u64::MAX, is_refused: false });
                }
                _ => {}
            }
        }
        soak.feed(Input::CallerMessage(caller, request("CANCEL", call)));
        soak.list(3 + 2 * round, false, &[(old, "terminated")]);
        soak.pass(200);
        soak.feed(Input::CallerClosed(caller));
        if round % 500 == 499 {
            // Long enough for all that is remembered for a while.
            soak.pass(40_000);
            sizes.push(soak.node.sizes());
        }
    }
    assert!(soak.answered > 2_000 && soak.released > 100, "{} {}", soak.answered, soak.released);
    let (first, last) = (&sizes[0], &sizes[3]);
    for ((name, first), (_, last)) in first.iter().zip(last) {
        assert!(*last <= first + 3, "{name} grew from {first} to {last}: {sizes:?}");
        assert!(*last <= 64, "{name} holds {last}");
    }
}

#[test]
fn an_answer_read_after_a_stall_does_not_undo_what_was_due_before() {
    let mut soak = Soak::new();
    soak.list(1, true, &[(0, "in_service"), (1, "in_service"), (2, "in_service")]);
    soak.feed(Input::CallerOpened(1));
    soak.feed(Input::CallerMessage(1, request("INVITE", 3)));
    let (link, uid) = soak.out.pop().expect("sent at once");
    // Nothing is read and no timer fires for longer than the caller waits; then the answer is read first.
    soak.now += 5_000 * MS;
    soak.say(link, json!({"kind": "running", "uid": uid, "meta": {}, "body": "late"}));
    soak.pass(1_000);
    assert_eq!((soak.answered, soak.stood), (1, 0), "one final answer, and not that it stands");
}
