//! The end of connections: releases are sent on another connection, and only idle callers are evicted.

mod common;

use common::{answer_line, config, endpoints, request, stop_line, target, wire_id, MS, START_NS};
use lilacpitch_node::core::{Effect, Input, NodeCore, Release, UpstreamId};
use lilacpitch_node::signalling::ServerMessage;
use lilacpitch_sip::Decoder;
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

    /// Establishes a call, and returns the connection of its set-up.
    fn establish(&mut self, caller: u64, call: u64) -> UpstreamId {
        let mut setup_upstream = None;
        for effect in self.request(caller, "INVITE", call) {
            if let Effect::Connect(upstream, _) = effect {
                let effects = self.feed(Input::UpstreamConnected(upstream));
                setup_upstream = setup_upstream.or(effects.iter().find_map(upstream_of_setup));
            }
            setup_upstream = setup_upstream.or(upstream_of_setup(&effect));
        }
        let upstream = setup_upstream.expect("no set-up sent");
        self.feed_line(upstream, &answer_line(&wire_id(call), "x"));
        assert_eq!(self.core.call_counts().open, 0, "not established");
        upstream
    }

    /// Names a call as established at the server.
    fn name_call(&mut self, caller: u64, call: u64) -> Vec<Effect> {
        let text = format!(
            "INVITE sip:1@net SIP/2.0\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\nP-Kind: plain\r\n\
             P-Path: at:s-0\r\nContent-Length: 0\r\n\r\n"
        );
        let mut decoder = Decoder::default();
        decoder.feed(text.as_bytes());
        let message = decoder.next_message().unwrap().unwrap();
        self.feed(Input::CallerMessage(caller, message))
    }

    /// Ends a call by its server.
    fn end_call(&mut self, upstream: UpstreamId, call: u64) -> Vec<Effect> {
        self.feed_line(upstream, &stop_line(&wire_id(call), 16, json!({})))
    }
}

/// Returns the connection of a set-up.
fn upstream_of_setup(effect: &Effect) -> Option<UpstreamId> {
    match effect {
        Effect::ToServer { upstream, bytes, .. } if bytes.starts_with(b"{\"body\"") => Some(*upstream),
        _ => None,
    }
}

/// Returns the connections that the node opens.
fn opened_upstreams(effects: &[Effect]) -> Vec<UpstreamId> {
    let upstream = |effect: &Effect| if let Effect::Connect(id, _) = effect { Some(*id) } else { None };
    effects.iter().filter_map(upstream).collect()
}

/// Returns the releases to callers, each with its caller.
fn releases(effects: &[Effect]) -> Vec<(u64, Release)> {
    let release = |effect: &Effect| match effect {
        Effect::Release(caller, release) => Some((*caller, *release)),
        _ => None,
    };
    effects.iter().filter_map(release).collect()
}

/// Returns the kinds of the lines that are sent to servers.
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
    assert_eq!(caller, 1, "not sent on the connection of the set-up");
    // The connection ends before the release is written.
    node.feed(Input::CallerClosed(1));
    assert_eq!(releases(&node.feed(Input::ReleaseUndelivered(release))), [(2, release)]);
    node.feed(Input::CallerClosed(2));
    assert_eq!(releases(&node.feed(Input::ReleaseUndelivered(release))), [], "no caller is connected");
    node.connect_caller(3);
    let effects = node.request(3, "INVITE", 3);
    assert_eq!(releases(&effects), [(3, release)]);
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
fn requeues_release_of_a_failed_connection_and_keeps_its_id_in_use() {
    let mut node = OneServerNode::new();
    node.connect_caller(1);
    let upstream = node.establish(1, 1);
    // All connections are lost, and new ones are not established for a while.
    let mut connecting = Vec::new();
    for lost in 1..=upstream.max(2) {
        connecting.extend(opened_upstreams(&node.close_upstream(lost, 9)));
    }
    let effects = node.request(1, "BYE", 1);
    connecting.extend(opened_upstreams(&effects));
    assert_eq!(line_kinds(&effects), [] as [String; 0], "no connection is up");
    node.now += 500 * MS;
    // The id is still in use after the release time, since the server has not received the release.
    let effects = node.request(1, "INVITE", 1);
    assert!(matches!(&effects[..], [Effect::ToCaller(1, bytes)] if bytes.starts_with(b"SIP/2.0 482 ")));
    for _ in 0..2 {
        let failed = connecting.remove(0);
        connecting.extend(opened_upstreams(&node.close_upstream(failed, 0)));
        assert!(!connecting.is_empty(), "no new connection is opened");
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
    // Another call is cancelled there. Then the server is lost without a reset, and no new connection is
    // established.
    node.request(1, "INVITE", 2);
    node.request(1, "CANCEL", 2);
    let (start, mut released_after) = (node.now, None);
    let mut connecting = Vec::new();
    while released_after.is_none() && node.now < start + 20_000 * MS {
        node.now += 50 * MS;
        let mut effects = node.feed(Input::Timeout);
        let has_failed = |(failure_ns, _): &(u64, UpstreamId)| *failure_ns <= node.now;
        let (failed, waiting): (Vec<_>, Vec<_>) = connecting.into_iter().partition(has_failed);
        connecting = waiting;
        for (_, upstream) in failed {
            effects.extend(node.close_upstream(upstream, 0));
        }
        if node.now == start + 4_000 * MS {
            // The late answer to the cancelled call may arrive on any connection.
            for id in 1..=upstream + 4 {
                effects.extend(node.feed_line(id, &answer_line(&wire_id(2), "late")));
            }
        }
        connecting.extend(opened_upstreams(&effects).into_iter().map(|id| (node.now + 500 * MS, id)));
        let has_release = !releases(&effects).is_empty();
        released_after = released_after.or(has_release.then_some(node.now - start));
    }
    let released_ms = released_after.expect("never released") / MS;
    // The protocol page requires a release within 8 s.
    assert!(released_ms < 7_500, "released after {released_ms} ms");
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
    // A caller with an open call is not evicted; one whose eviction was declined can be evicted again.
    node.request(2, "INVITE", 2);
    node.feed(Input::EvictionDeclined(3));
    assert_eq!((evict(&mut node), evict(&mut node)), (Some(3), None));
}

/// Guards against callers that are evicted in the milliseconds between their connecting and their first set-up,
/// beside hundreds that connect and send nothing.
#[test]
fn evicts_no_new_caller_before_it_could_send_its_first_setup() {
    const CALLERS: u64 = 200;
    let mut node = OneServerNode::new();
    node.connect_caller(1);
    node.establish(1, 1);
    node.now += 2_000 * MS;
    (2..=CALLERS).for_each(|caller| node.connect_caller(caller));
    let evict = |node: &mut OneServerNode| match &node.feed(Input::EvictIdleCaller)[..] {
        [Effect::EvictCaller(caller)] => Some(*caller),
        _ => None,
    };
    // The one that has set up a call is idle by now. The others may yet set up theirs.
    assert_eq!((evict(&mut node), evict(&mut node)), (Some(1), None));
    let connected = node.now;
    node.now += 50 * MS;
    assert_eq!(evict(&mut node), None);
    // The node wakes up once one of them can be evicted, soon after the time that they were given.
    while evict(&mut node).is_none() {
        node.now = node.core.next_timeout().expect("no timer for the next eviction").max(node.now + 1);
    }
    assert!(node.now - connected <= 110 * MS, "no caller is evicted for {} ns", node.now - connected);
}

/// Guards against callers that keep their connections, and everyone else from connecting, by sending more invalid
/// requests than the node can answer.
#[test]
fn disconnects_callers_that_send_only_invalid_requests() {
    let mut node = OneServerNode::new();
    (1..=3).for_each(|caller| node.connect_caller(caller));
    let is_closed = |effects: &[Effect], caller| {
        effects.iter().any(|effect| matches!(effect, Effect::CloseCaller(closed) if *closed == caller))
    };
    let send_invalid = |node: &mut OneServerNode, caller| {
        let effects = node.feed(Input::CallerMessage(caller, request("INFO", 7)));
        assert!(matches!(effects[0], Effect::ToCaller(..)), "not answered: {effects:?}");
        is_closed(&effects, caller)
    };
    // If slots are short, after the first one; else after some.
    assert!(!send_invalid(&mut node, 1));
    assert!(is_closed(&node.feed(Input::EvictIdleCaller), 1));
    assert!((0..100).any(|_| send_invalid(&mut node, 2)), "not disconnected");
    // A set-up of a caller that was disconnected is not sent, but the end of its call still counts.
    assert!(node.request(1, "INVITE", 8).is_empty());
    // A caller with an open call is not disconnected.
    node.request(3, "INVITE", 9);
    assert!(!(0..100).any(|_| send_invalid(&mut node, 3)), "disconnected with an open call");
}

#[test]
fn gives_a_connection_the_next_releases_once_the_previous_ones_are_written() {
    const CALLS: u64 = 1_000;
    let mut node = OneServerNode::new();
    node.connect_caller(1);
    let mut upstream = 0;
    for call in 1..=CALLS {
        upstream = node.establish(1, call);
    }
    let mut given = Vec::new();
    for call in 1..=CALLS {
        given.extend(releases(&node.end_call(upstream, call)));
    }
    assert!(given.len() < 100, "{} releases are given to a connection that writes none", given.len());
    // Once what was given is written, the next ones follow, until all are given, each once.
    loop {
        let next = releases(&node.feed(Input::CallerDrained(1)));
        if next.is_empty() {
            break;
        }
        assert!(next.len() < 100, "{} releases at once", next.len());
        given.extend(next);
    }
    let calls: Vec<_> = given.iter().map(|(_, release)| release.wire_id).collect();
    assert_eq!(calls, (1..=CALLS).collect::<Vec<_>>());
}

#[test]
fn hands_over_waiting_releases_when_their_caller_disconnects() {
    const CALLS: u64 = 200;
    let mut node = OneServerNode::new();
    (1..=2).for_each(|caller| node.connect_caller(caller));
    node.establish(2, CALLS + 1);
    let mut upstream = 0;
    for call in 1..=CALLS {
        upstream = node.establish(1, call);
    }
    let mut first = Vec::new();
    for call in 1..=CALLS {
        first.extend(releases(&node.end_call(upstream, call)));
    }
    let mut handed_over = releases(&node.feed(Input::CallerClosed(1)));
    for (_, release) in first {
        handed_over.extend(releases(&node.feed(Input::ReleaseUndelivered(release))));
    }
    loop {
        let next = releases(&node.feed(Input::CallerDrained(2)));
        if next.is_empty() {
            break;
        }
        handed_over.extend(next);
    }
    assert!(handed_over.iter().all(|(caller, _)| *caller == 2));
    let mut calls: Vec<_> = handed_over.iter().map(|(_, release)| release.wire_id).collect();
    calls.sort_unstable();
    assert_eq!(calls, (1..=CALLS).collect::<Vec<_>>());
}

#[test]
fn keeps_a_limited_number_of_ends_of_unknown_calls_for_a_limited_time() {
    const ENDS: u64 = 20_000;
    const CALL_MEMORY: usize = 1024 * 1024;
    let mut node = OneServerNode::new();
    node.core = NodeCore::new(config().site, 4, START_NS, 3).with_call_memory(CALL_MEMORY);
    for endpoints in endpoints(1, true, vec![target(0, 1000, "in_service", 0)]) {
        node.feed(Input::EndpointsUpdated(endpoints));
    }
    node.connect_caller(1);
    let upstream = node.establish(1, ENDS + 1);
    (1..=ENDS).for_each(|call| assert_eq!(releases(&node.end_call(upstream, call)), []));
    let kept = |node: &OneServerNode| {
        let sizes = node.core.sizes();
        sizes.iter().find(|(name, _)| *name == "ended calls").map(|(_, size)| *size).unwrap()
    };
    assert!(kept(&node) * 64 < CALL_MEMORY / 4, "{} ends are kept", kept(&node));
    // The newest are kept, the oldest forgotten: such a call is adopted.
    let released = Release { wire_id: ENDS, cause: 16 };
    assert_eq!(releases(&node.name_call(1, ENDS)), [(1, released)]);
    assert_eq!(releases(&node.name_call(1, 1)), []);
    assert_eq!(node.core.counters().adopted, 1);
    node.now += 31_000 * MS;
    node.feed(Input::Timeout);
    assert_eq!(kept(&node), 0);
}

/// A node with two servers, whose only call was given up by the controller at the first one.
struct GivenUpAttempt {
    node: OneServerNode,
    upstream: UpstreamId,
    stop_message: u64,
    given_up_ns: u64,
}

impl GivenUpAttempt {
    fn new() -> GivenUpAttempt {
        let mut site = config().site;
        // Long enough for another attempt.
        site.settings.classes[0].latency_objective_ns = 3_000 * MS;
        let mut node = OneServerNode { core: NodeCore::new(site, 4, START_NS, 3), now: START_NS };
        let targets = (0..2).map(|number| target(number, 1000 + number, "in_service", 0));
        for endpoints in endpoints(1, true, targets.collect()) {
            node.feed(Input::EndpointsUpdated(endpoints));
        }
        node.connect_caller(1);
        for effect in node.request(1, "INVITE", 3) {
            if let Effect::Connect(upstream, _) = effect {
                node.feed(Input::UpstreamConnected(upstream));
            }
        }
        let sent_ns = node.now;
        loop {
            for effect in node.advance_to_next_timer() {
                if let Effect::CancelSetup { upstream, stop_message, write_by_ns, .. } = effect {
                    assert_eq!(write_by_ns, node.now + 300 * MS);
                    let given_up_ns = node.now;
                    return GivenUpAttempt { node, upstream, stop_message, given_up_ns };
                }
            }
            assert!(node.now < sent_ns + 2_000 * MS, "not given up");
        }
    }

    /// Advances the time, with all connections established at once, until a set-up or an answer to the caller.
    fn wait_for_attempt_or_answer(&mut self) -> Option<Effect> {
        while self.node.now < self.given_up_ns + 4_000 * MS {
            let mut effects = self.node.advance_to_next_timer();
            while let Some(effect) = effects.pop() {
                match effect {
                    Effect::Connect(upstream, _) => {
                        effects.extend(self.node.feed(Input::UpstreamConnected(upstream)));
                    }
                    Effect::ToServer { .. } | Effect::ToCaller(..) => return Some(effect),
                    _ => {}
                }
            }
        }
        None
    }
}

impl OneServerNode {
    /// Advances the time to the next timer.
    fn advance_to_next_timer(&mut self) -> Vec<Effect> {
        self.now = self.core.next_timeout().expect("no timer").max(self.now);
        self.feed(Input::Timeout)
    }
}

/// Guards against two attempts of one call that are out at once: the release time was counted from the decision to
/// give one up, before the message that ends it was written.
#[test]
fn release_time_begins_when_the_end_of_an_attempt_is_written_or_its_connection_has_ended() {
    const UNWRITTEN_NS: u64 = 120 * MS;
    for has_connection_ended in [false, true] {
        let mut call = GivenUpAttempt::new();
        call.node.now += UNWRITTEN_NS;
        let (upstream, message) = (call.upstream, call.stop_message);
        call.node.feed(if has_connection_ended {
            Input::UpstreamClosed { upstream, written: 1, is_refused: false }
        } else {
            Input::EndWritten { upstream, message }
        });
        let next = call.wait_for_attempt_or_answer();
        assert!(next.as_ref().is_some_and(|effect| upstream_of_setup(effect).is_some()), "{next:?}");
        let waited_ns = call.node.now - call.given_up_ns;
        assert!(waited_ns >= UNWRITTEN_NS + 300 * MS, "sent {waited_ns} ns after it was given up");
    }
}

/// Guards against a caller that gets no answer in time, because the end of its attempt is not written.
#[test]
fn call_is_answered_in_time_without_another_attempt_while_an_end_is_unwritten() {
    let mut call = GivenUpAttempt::new();
    let answer = call.wait_for_attempt_or_answer();
    assert!(matches!(answer, Some(Effect::ToCaller(1, _))), "{answer:?}");
    let waited_ns = call.node.now - START_NS;
    // The caller waits for 3 s.
    assert!(waited_ns < 3_000 * MS, "answered after {waited_ns} ns");
}

/// Guards against two set-ups with one id that are out at once, where the caller of the first one has cancelled it or
/// left.
#[test]
fn id_is_in_use_until_the_end_of_a_setup_that_its_caller_gave_up_is_written() {
    for leaves in [false, true] {
        let mut node = OneServerNode::new();
        (1..=2).for_each(|caller| node.connect_caller(caller));
        node.establish(1, 9);
        node.request(1, "INVITE", 3);
        let effects = match leaves {
            false => node.request(1, "CANCEL", 3),
            true => node.feed(Input::CallerDisconnected(1)),
        };
        let end = effects.iter().find_map(|effect| match effect {
            Effect::CancelSetup { upstream, stop_message, .. } => Some((*upstream, *stop_message)),
            _ => None,
        });
        let (upstream, message) = end.expect("not cancelled");
        let is_in_use = |node: &mut OneServerNode| {
            let effects = node.request(2, "INVITE", 3);
            let is_rejection = |effect: &Effect| matches!(effect, Effect::ToCaller(2, bytes) if bytes.starts_with(b"SIP/2.0 482 "));
            effects.iter().any(is_rejection)
        };
        node.now += 5_000 * MS;
        assert!(is_in_use(&mut node), "in use no longer, though its end is not written");
        node.feed(Input::EndWritten { upstream, message });
        node.now += 290 * MS;
        assert!(is_in_use(&mut node), "in use no longer before the release time");
        node.now += 20 * MS;
        assert!(!is_in_use(&mut node), "still in use");
    }
}

/// Guards against calls that are never released, because nothing showed that their connection is of no use but set-ups
/// that their callers gave up.
#[test]
fn connection_is_unresponsive_once_abandoned_setups_have_waited_for_half_a_resend_interval() {
    let is_found_after = |wait_ns: u64, setups: u64| {
        let mut node = OneServerNode::new();
        node.connect_caller(1);
        node.establish(1, 9);
        for call in 10..10 + setups {
            node.now += 1;
            let effects = node.request(1, "INVITE", call);
            for effect in &effects {
                if let Effect::Connect(upstream, _) = effect {
                    node.feed(Input::UpstreamConnected(*upstream));
                }
            }
            node.now += wait_ns;
            node.request(1, "CANCEL", call);
        }
        node.core.counters().upstreams_unresponsive > 0
    };
    assert!(is_found_after(250 * MS, 1));
    assert!(is_found_after(60 * MS, 20), "short waits don't count together");
    // A caller that soon gives up shows nothing of the connection, however often it does.
    assert!(!is_found_after(150 * MS, 1));
    assert!(!is_found_after(1_000, 500));
}
