//! What the core still owes when a connection ends: releases reach another connection, and only idle callers are
//! evicted.

mod common;

use common::{answer_line, config, endpoints, request, stop_line, target, wire_id, MS, START_NS};
use lilacpitch_node::core::{Effect, Input, NodeCore, UpstreamId};
use lilacpitch_node::signalling::ServerMessage;
use serde_json::{json, Value};

/// A node with one server, in virtual time.
struct OneServerNode {
    core: NodeCore,
    now: u64,
}

impl OneServerNode {
    fn new() -> OneServerNode {
        let mut node = OneServerNode { core: NodeCore::new(config().site, 4, START_NS, 3), now: START_NS };
        for endpoints in endpoints(1, true, vec![target(0, 1000, "in_service", 0)]) {
            node.feed(Input::EndpointsUpdated(endpoints));
        }
        node
    }

    fn feed(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.handle(self.now, input, &mut effects);
        effects
    }

    fn connect_caller(&mut self, caller: u64) {
        self.feed(Input::CallerOpened(caller));
    }

    fn request(&mut self, caller: u64, method: &str, call: u64) -> Vec<Effect> {
        self.feed(Input::CallerMessage(caller, request(method, call)))
    }

    fn close_upstream(&mut self, upstream: UpstreamId, written: u64) -> Vec<Effect> {
        self.feed(Input::UpstreamClosed { upstream, written, is_refused: false })
    }

    fn feed_line(&mut self, upstream: UpstreamId, line: &Value) -> Vec<Effect> {
        let message = ServerMessage::decode(line.to_string().as_bytes()).unwrap();
        self.feed(Input::UpstreamMessage(upstream, message))
    }

    /// Establishes a call; its connection to the server.
    fn establish(&mut self, caller: u64, call: u64) -> UpstreamId {
        let mut used = None;
        for effect in self.request(caller, "INVITE", call) {
            if let Effect::Connect(upstream, _) = effect {
                let effects = self.feed(Input::UpstreamConnected(upstream));
                used = used.or(effects.iter().find_map(launch_upstream));
            }
            used = used.or(launch_upstream(&effect));
        }
        let upstream = used.expect("sent at once");
        self.feed_line(upstream, &answer_line(&wire_id(call), "x"));
        assert_eq!(self.core.call_counts().open, 0, "it is established");
        upstream
    }

    /// The server ends a call.
    fn end_call(&mut self, upstream: UpstreamId, call: u64) -> Vec<Effect> {
        self.feed_line(upstream, &stop_line(&wire_id(call), 16, json!({})))
    }
}

/// The connection that a set-up is sent on.
fn launch_upstream(effect: &Effect) -> Option<UpstreamId> {
    match effect {
        Effect::ToServer { upstream, bytes, .. } if bytes.starts_with(b"{\"body\"") => Some(*upstream),
        _ => None,
    }
}

/// Connections that the node opens.
fn opened(effects: &[Effect]) -> Vec<UpstreamId> {
    let upstream = |effect: &Effect| if let Effect::Connect(id, _) = effect { Some(*id) } else { None };
    effects.iter().filter_map(upstream).collect()
}

/// Releases to callers, with the caller.
fn releases(effects: &[Effect]) -> Vec<(u64, Vec<u8>)> {
    let release = |effect: &Effect| match effect {
        Effect::ToCaller(caller, bytes) if bytes.starts_with(b"BYE ") => Some((*caller, bytes.clone())),
        _ => None,
    };
    effects.iter().filter_map(release).collect()
}

/// Kinds of the lines that go to a server.
fn line_kinds(effects: &[Effect]) -> Vec<String> {
    let line = |effect: &Effect| match effect {
        Effect::ToServer { bytes, .. } => {
            let line: Value = serde_json::from_slice(bytes).unwrap();
            Some(line["kind"].as_str().unwrap().to_string())
        }
        _ => None,
    };
    effects.iter().filter_map(line).collect()
}

#[test]
fn sends_undelivered_release_on_another_connection_or_the_next() {
    let mut node = OneServerNode::new();
    (1..=2).for_each(|caller| node.connect_caller(caller));
    let upstream = node.establish(1, 1);
    node.establish(2, 2);
    let (caller, release) = releases(&node.end_call(upstream, 1)).remove(0);
    assert_eq!(caller, 1, "by the connection of its set-up");
    // That connection closes with the release unwritten.
    node.feed(Input::CallerClosed(1));
    assert_eq!(
        releases(&node.feed(Input::CallerMessageUndelivered(release.clone()))),
        [(2, release.clone())]
    );
    node.feed(Input::CallerClosed(2));
    assert_eq!(releases(&node.feed(Input::CallerMessageUndelivered(release.clone()))), [], "nobody is there");
    node.connect_caller(3);
    let effects = node.request(3, "INVITE", 3);
    assert_eq!(releases(&effects), [(3, release)]);
    // Other messages are not sent again.
    assert_eq!(node.feed(Input::CallerMessageUndelivered(b"SIP/2.0 200 OK\r\n\r\n".to_vec())), []);
}

#[test]
fn sends_no_release_to_a_disconnected_caller() {
    let mut node = OneServerNode::new();
    (1..=2).for_each(|caller| node.connect_caller(caller));
    node.establish(2, 2);
    let upstream = node.establish(1, 1);
    node.feed(Input::CallerDisconnected(1));
    let released = releases(&node.end_call(upstream, 1));
    assert_eq!(released.iter().map(|(caller, _)| *caller).collect::<Vec<_>>(), [2]);
}

#[test]
fn requeues_release_whose_connection_never_came_up_and_keeps_its_id_in_use() {
    let mut node = OneServerNode::new();
    node.connect_caller(1);
    let upstream = node.establish(1, 1);
    // All connections are lost; new ones do not come up for a while.
    let mut connecting = Vec::new();
    for lost in 1..=upstream.max(2) {
        connecting.extend(opened(&node.close_upstream(lost, 9)));
    }
    let effects = node.request(1, "BYE", 1);
    connecting.extend(opened(&effects));
    assert_eq!(line_kinds(&effects), [] as [String; 0], "no connection is up");
    node.now += 500 * MS;
    // In use, though longer than the release time has passed: the server has not heard of its end.
    let effects = node.request(1, "INVITE", 1);
    assert!(matches!(&effects[..], [Effect::ToCaller(1, bytes)] if bytes.starts_with(b"SIP/2.0 482 ")));
    for _ in 0..2 {
        let first = connecting.remove(0);
        connecting.extend(opened(&node.close_upstream(first, 0)));
        assert!(!connecting.is_empty(), "tried again");
    }
    let effects: Vec<_> =
        connecting.into_iter().flat_map(|upstream| node.feed(Input::UpstreamConnected(upstream))).collect();
    assert_eq!(line_kinds(&effects), ["stop"]);
}

#[test]
fn late_answer_does_not_delay_the_release_of_calls_at_a_lost_server() {
    let mut node = OneServerNode::new();
    node.connect_caller(1);
    let upstream = node.establish(1, 1);
    // One more is cancelled there; then the server vanishes without a sign, and no connection comes up.
    node.request(1, "INVITE", 2);
    node.request(1, "CANCEL", 2);
    let (start, mut released_after) = (node.now, None);
    let mut connecting = Vec::new();
    while released_after.is_none() && node.now < start + 20_000 * MS {
        node.now += 50 * MS;
        let mut effects = node.feed(Input::Timeout);
        let is_due = |(at, _): &(u64, UpstreamId)| *at <= node.now;
        let (failed, waiting): (Vec<_>, Vec<_>) = connecting.into_iter().partition(is_due);
        connecting = waiting;
        for (_, upstream) in failed {
            effects.extend(node.close_upstream(upstream, 0));
        }
        if node.now == start + 4_000 * MS {
            // The answer to it was on its way for that long, on any of the connections there were.
            for id in 1..=upstream + 4 {
                effects.extend(node.feed_line(id, &answer_line(&wire_id(2), "late")));
            }
        }
        connecting.extend(opened(&effects).into_iter().map(|id| (node.now + 500 * MS, id)));
        let has_release = !releases(&effects).is_empty();
        released_after = released_after.or(has_release.then_some(node.now - start));
    }
    let released_ms = released_after.expect("never released") / MS;
    assert!(released_ms < 7_500, "owed within 8 s of its end: {released_ms} ms");
}

#[test]
fn evicts_only_idle_callers_and_none_twice() {
    let mut node = OneServerNode::new();
    (1..=4).for_each(|caller| node.connect_caller(caller));
    node.request(1, "INVITE", 1);
    node.now += 200 * MS;
    let evict = |node: &mut OneServerNode| match &node.feed(Input::EvictIdleCaller)[..] {
        [Effect::EvictCaller(caller)] => Some(*caller),
        _ => None,
    };
    assert_eq!((evict(&mut node), evict(&mut node), evict(&mut node)), (Some(2), Some(3), None));
    // Something arrived from one of them: it stays, and can be evicted again only when it is idle.
    node.request(2, "INVITE", 2);
    node.feed(Input::EvictionDeclined(3));
    assert_eq!((evict(&mut node), evict(&mut node)), (Some(3), None));
}
