//! The ends of attempts that are given up, in virtual time: an attempt is out until the message that ends it is written
//! or its connection is lost.

mod common;

use lilacpitch_config::{Edge, Pools, Server, ServerState};
use lilacpitch_edge::core::{EdgeCore, Effect, Input, UpstreamId};
use lilacpitch_protocol::message::call::FromCaller;
use lilacpitch_protocol::message::signal::ToServer;
use std::net::{Ipv4Addr, SocketAddr};

const MS: u64 = 1_000_000;
const START_NS: u64 = 1_000_000 * MS;
const BUDGET_MS: u64 = 3_000;
/// The release time of the settings.
const RELEASE_NS: u64 = 300 * MS;

/// An edge with two servers, whose only call was given up at one of them.
struct GivenUpAttempt {
    core: EdgeCore,
    now: u64,
    upstream: UpstreamId,
    message: u64,
    given_up_ns: u64,
}

impl GivenUpAttempt {
    fn new() -> GivenUpAttempt {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("edge.cue");
        // An objective that leaves time for another attempt.
        std::fs::write(&path, common::settings("").replace("aim: \"1s\"", "aim: \"3s\"")).unwrap();
        let core = EdgeCore::new(Edge::load(&path).unwrap().value, START_NS, 3);
        let mut call = GivenUpAttempt { core, now: START_NS, upstream: 0, message: 0, given_up_ns: 0 };
        let server = |number: u16| Server {
            name: format!("s{number}"),
            pool: "p0".into(),
            zone: String::new(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, number + 1)),
            state: ServerState::Running,
            started_ms: 0,
        };
        call.feed(Input::PoolList(Pools { servers: (0..2).map(server).collect() }));
        call.feed(Input::CallerOpened(1));
        let (name, class) = ("c".to_string(), "one".to_string());
        let setup = FromCaller::Setup { call: name, class, pool: None, number: None, budget_ms: BUDGET_MS };
        let mut effects = call.feed(Input::CallerText(1, setup.encode()));
        loop {
            for effect in effects {
                if let Effect::ToServer { upstream, message, reports_written: true, .. } = effect {
                    (call.upstream, call.message, call.given_up_ns) = (upstream, message, call.now);
                    return call;
                }
            }
            assert!(call.now < START_NS + 2_000 * MS, "not given up");
            effects = call.advance_to_next_timer();
        }
    }

    /// Feeds an input; connections are established at once.
    fn feed(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.handle(self.now, input, &mut effects);
        let mut index = 0;
        while index < effects.len() {
            if let Effect::Connect(upstream, _) = effects[index] {
                let mut more = Vec::new();
                self.core.handle(self.now, Input::UpstreamConnected(upstream), &mut more);
                effects.extend(more);
            }
            index += 1;
        }
        effects
    }

    fn advance_to_next_timer(&mut self) -> Vec<Effect> {
        self.now = self.core.next_timeout().expect("no timer").max(self.now);
        self.feed(Input::Timeout)
    }

    /// Advances the time until another attempt or the answer to the caller.
    fn wait_for_attempt_or_answer(&mut self) -> Option<Effect> {
        while self.now < START_NS + 5_000 * MS {
            let is_next = |effect: &Effect| match effect {
                Effect::ToServer { text, .. } => {
                    matches!(ToServer::decode(text), Ok(ToServer::Setup { repeat: 0, .. }))
                }
                Effect::ToCaller(..) => true,
                _ => false,
            };
            if let Some(effect) = self.advance_to_next_timer().into_iter().find(is_next) {
                return Some(effect);
            }
        }
        None
    }
}

/// Guards against two attempts of one call that are out at once: the release time was counted from the decision to
/// give one up, before the message that ends it was written.
#[test]
fn release_time_begins_when_the_end_of_an_attempt_is_written_or_its_connection_is_lost() {
    const UNWRITTEN_NS: u64 = 120 * MS;
    for is_lost in [false, true] {
        let mut call = GivenUpAttempt::new();
        call.now += UNWRITTEN_NS;
        let (upstream, message) = (call.upstream, call.message);
        call.feed(match is_lost {
            false => Input::Written { upstream, message },
            true => Input::UpstreamClosed { upstream, written: 1 },
        });
        let next = call.wait_for_attempt_or_answer();
        assert!(matches!(next, Some(Effect::ToServer { .. })), "{next:?}");
        let waited_ns = call.now - call.given_up_ns;
        assert!(waited_ns >= UNWRITTEN_NS + RELEASE_NS, "sent {waited_ns} ns after it was given up");
    }
}

/// Guards against a caller that gets no answer in time, because the end of its attempt is not written.
#[test]
fn call_is_answered_in_time_without_another_attempt_while_an_end_is_unwritten() {
    let mut call = GivenUpAttempt::new();
    let answer = call.wait_for_attempt_or_answer();
    assert!(matches!(answer, Some(Effect::ToCaller(1, _))), "{answer:?}");
    let waited_ns = call.now - START_NS;
    assert!(waited_ns < BUDGET_MS * MS, "answered after {waited_ns} ns");
}
