//! What the core still owes when a connection ends.

mod common;

use common::{config, request, MS};
use lilacpitch_node::coordinator::parse_response;
use lilacpitch_node::core::{Effect, Input, NodeCore, UpstreamId};
use lilacpitch_node::signalling::ServerMessage;
use serde_json::{json, Value};

struct Scene {
    node: NodeCore,
    now: u64,
}

impl Scene {
    /// A node with one server.
    fn new() -> Scene {
        let now = 1_000_000 * MS;
        let mut scene = Scene { node: NodeCore::new(config().site, 4, now, 3), now };
        let target = json!({"uid": "s-0", "endpoint": "127.0.0.1:1000", "az": "a", "pod_group": 0,
            "state": "in_service", "boot_ms": 0});
        let event = json!({"index": 1, "endpoints": {"rev": 1, "all": true, "targets": [target]}});
        let told = parse_response(&json!({"index": 1, "updates": [event]}).to_string()).unwrap();
        told.updates.into_iter().for_each(|update| _ = scene.feed(Input::EndpointsUpdated(update.endpoints)));
        scene
    }

    fn feed(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.node.handle(self.now, input, &mut effects);
        effects
    }

    fn caller(&mut self, caller: u64) {
        self.feed(Input::CallerOpened(caller));
    }

    fn say(&mut self, link: UpstreamId, line: Value) -> Vec<Effect> {
        let line = ServerMessage::decode(line.to_string().as_bytes()).unwrap();
        self.feed(Input::UpstreamMessage(link, line))
    }

    /// A call that stands; its connection.
    fn stands(&mut self, caller: u64, call: u64) -> UpstreamId {
        let mut link = None;
        for effect in self.feed(Input::CallerMessage(caller, request("INVITE", call))) {
            if let Effect::Connect(id, _) = effect {
                self.feed(Input::UpstreamConnected(id))
                    .iter()
                    .for_each(|effect| link = link.or(launched(effect)));
            }
            link = link.or(launched(&effect));
        }
        let link = link.expect("sent at once");
        self.say(link, json!({"kind": "running", "uid": format!("{call:016x}"), "meta": {}, "body": "x"}));
        assert_eq!(self.node.call_counts().open, 0, "it stands");
        link
    }

    fn end_of(&mut self, link: UpstreamId, call: u64) -> Vec<Effect> {
        self.say(link, json!({"kind": "stop", "uid": format!("{call:016x}"), "meta": {}, "reason": 16}))
    }
}

fn launched(effect: &Effect) -> Option<UpstreamId> {
    match effect {
        Effect::ToServer { upstream: link, bytes, .. } if bytes.starts_with(b"{\"body\"") => Some(*link),
        _ => None,
    }
}

fn byes(effects: &[Effect]) -> Vec<(u64, Vec<u8>)> {
    let bye = |effect: &Effect| match effect {
        Effect::ToCaller(caller, bytes) if bytes.starts_with(b"BYE ") => Some((*caller, bytes.clone())),
        _ => None,
    };
    effects.iter().filter_map(bye).collect()
}

/// Set-ups and releases that go to a server, by kind.
fn lines(effects: &[Effect]) -> Vec<String> {
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
fn a_release_that_its_callers_connection_did_not_take_goes_by_another_or_by_the_next() {
    let mut scene = Scene::new();
    (1..=2).for_each(|caller| scene.caller(caller));
    let link = scene.stands(1, 1);
    scene.stands(2, 2);
    let (caller, bye) = byes(&scene.end_of(link, 1)).remove(0);
    assert_eq!(caller, 1, "by the connection of its set-up");
    // That one ends with it unwritten.
    scene.feed(Input::CallerClosed(1));
    assert_eq!(byes(&scene.feed(Input::CallerMessageUndelivered(bye.clone()))), [(2, bye.clone())]);
    scene.feed(Input::CallerClosed(2));
    assert_eq!(byes(&scene.feed(Input::CallerMessageUndelivered(bye.clone()))), [], "nobody is there");
    scene.caller(3);
    let effects = scene.feed(Input::CallerMessage(3, request("INVITE", 3)));
    assert_eq!(byes(&effects), [(3, bye)]);
    // What else was not taken is owed to nobody.
    assert_eq!(scene.feed(Input::CallerMessageUndelivered(b"SIP/2.0 200 OK\r\n\r\n".to_vec())), []);
}

#[test]
fn no_release_goes_to_a_caller_that_has_closed() {
    let mut scene = Scene::new();
    (1..=2).for_each(|caller| scene.caller(caller));
    scene.stands(2, 2);
    let link = scene.stands(1, 1);
    scene.feed(Input::CallerDisconnected(1));
    let told = byes(&scene.end_of(link, 1));
    assert_eq!(told.iter().map(|(caller, _)| *caller).collect::<Vec<_>>(), [2]);
}

#[test]
fn a_release_whose_connection_never_came_up_goes_by_the_next_and_its_id_is_in_use_until_then() {
    let mut scene = Scene::new();
    scene.caller(1);
    let link = scene.stands(1, 1);
    // The only connections are lost; what is made anew does not come up for a while.
    let made = |effects: &[Effect]| -> Vec<UpstreamId> {
        let made = |effect: &Effect| if let Effect::Connect(id, _) = effect { Some(*id) } else { None };
        effects.iter().filter_map(made).collect()
    };
    let mut connecting = Vec::new();
    for lost in 1..=link.max(2) {
        connecting.extend(made(&scene.feed(Input::UpstreamClosed {
            upstream: lost,
            written: 9,
            is_refused: false,
        })));
    }
    let effects = scene.feed(Input::CallerMessage(1, request("BYE", 1)));
    connecting.extend(made(&effects));
    assert_eq!(lines(&effects), [] as [String; 0], "no connection is up");
    scene.now += 500 * MS;
    // In use, though longer than the release time has passed: the server has not heard of its end.
    let effects = scene.feed(Input::CallerMessage(1, request("INVITE", 1)));
    assert!(matches!(&effects[..], [Effect::ToCaller(1, bytes)] if bytes.starts_with(b"SIP/2.0 482 ")));
    for _ in 0..2 {
        let first = connecting.remove(0);
        connecting.extend(made(&scene.feed(Input::UpstreamClosed {
            upstream: first,
            written: 0,
            is_refused: false,
        })));
        assert!(!connecting.is_empty(), "tried again");
    }
    let effects: Vec<_> =
        connecting.into_iter().flat_map(|link| scene.feed(Input::UpstreamConnected(link))).collect();
    assert_eq!(lines(&effects), ["stop"]);
}

#[test]
fn a_late_answer_is_no_sign_of_life_and_what_stands_there_is_released_in_time() {
    let mut scene = Scene::new();
    scene.caller(1);
    let link = scene.stands(1, 1);
    // One more is given up there; then the server is gone without a sign, and no connection comes up.
    scene.feed(Input::CallerMessage(1, request("INVITE", 2)));
    scene.feed(Input::CallerMessage(1, request("CANCEL", 2)));
    let (from, mut released) = (scene.now, None);
    let mut connecting = Vec::new();
    while released.is_none() && scene.now < from + 20_000 * MS {
        scene.now += 50 * MS;
        let mut effects = scene.feed(Input::Timeout);
        let due = |(at, _): &(u64, UpstreamId)| *at <= scene.now;
        let (gone, waiting): (Vec<_>, Vec<_>) = connecting.into_iter().partition(due);
        connecting = waiting;
        for (_, link) in gone {
            effects.extend(scene.feed(Input::UpstreamClosed {
                upstream: link,
                written: 0,
                is_refused: false,
            }));
        }
        if scene.now == from + 4_000 * MS {
            // The answer to it was on its way for that long, on whatever connections there were.
            for link in 1..=link + 4 {
                let uid = format!("{:016x}", 2);
                let line = json!({"kind": "running", "uid": uid, "meta": {}, "body": "late"});
                effects.extend(scene.say(link, line));
            }
        }
        for effect in &effects {
            if let Effect::Connect(link, _) = effect {
                connecting.push((scene.now + 500 * MS, *link));
            }
        }
        released = released.or((!byes(&effects).is_empty()).then_some(scene.now - from));
    }
    let released_ms = released.expect("never released") / MS;
    assert!(released_ms < 7_500, "owed within 8 s of its end: {released_ms} ms");
}

#[test]
fn only_one_that_is_idle_is_evicted_and_nobody_twice() {
    let mut scene = Scene::new();
    (1..=4).for_each(|caller| scene.caller(caller));
    scene.feed(Input::CallerMessage(1, request("INVITE", 1)));
    scene.now += 200 * MS;
    let evicted = |scene: &mut Scene| match &scene.feed(Input::EvictIdleCaller)[..] {
        [Effect::EvictCaller(caller)] => Some(*caller),
        _ => None,
    };
    assert_eq!((evicted(&mut scene), evicted(&mut scene), evicted(&mut scene)), (Some(2), Some(3), None));
    // Something came from one of them: it stays, and is asked again only when it is idle.
    scene.feed(Input::CallerMessage(2, request("INVITE", 2)));
    scene.feed(Input::EvictionDeclined(3));
    assert_eq!((evicted(&mut scene), evicted(&mut scene)), (Some(3), None));
}
