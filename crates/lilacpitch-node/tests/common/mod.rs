//! Helpers shared by the tests of the core: settings, requests, lines of servers, and a core in virtual time.
// Each test file uses some of them.
#![allow(dead_code)]

use lilacpitch_node::config::Config;
use lilacpitch_node::coordinator::{parse_response, Endpoints};
use lilacpitch_node::core::{Effect, Input, NodeCore, UpstreamId};
use lilacpitch_node::signalling::ServerMessage;
use lilacpitch_sip::{Decoder, Message};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use serde_json::{json, Value};

/// One millisecond in nanoseconds.
pub(crate) const MS: u64 = 1_000_000;
/// Start of virtual time, in nanoseconds.
pub(crate) const START_NS: u64 = 1_000_000 * MS;

/// A configuration with one class and without servers.
pub(crate) fn config() -> Config {
    let text = json!({
        "name": "n0", "listen": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256},
        "coordinator": "127.0.0.1:2", "known": {"index": 0, "updates": []},
        "settings": {
            "classes": [{"name": "plain", "aim_ns": 1_000 * MS, "deadline_ns": 4_000 * MS, "worth": 1}],
            "permissions": {"cancel": true, "max_attempts": 6, "max_retry_after_ns": 2_000 * MS,
                "retry_after": true},
            "family_info": {"release_ns": 300 * MS, "retransmit_ns": 400 * MS},
            "rules": {"stop_sending_within_ns": 500 * MS, "cold_from": 0.3, "cold_ns": 2_000 * MS,
                "tip_multiple": 3.0},
            "tick_ns": 5 * MS
        }
    });
    Config::parse("test", &text.to_string()).unwrap()
}

/// A caller's request, decoded. Each call dials another number, and its first choice is one of three servers.
pub(crate) fn request(method: &str, call: u64) -> Message {
    let body = "c=IN IP4 10.0.0.1\r\n";
    let text = format!(
        "{method} sip:{call:016x}@net SIP/2.0\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
         P-Kind: plain\r\nP-Time-Left: 3000\r\nP-Path: dest:{}\r\nContent-Length: {}\r\n\r\n{body}",
        call % 3,
        body.len()
    );
    let mut decoder = Decoder::default();
    decoder.feed(text.as_bytes());
    decoder.next_message().unwrap().unwrap()
}

/// A call id as it is written on the wire.
pub(crate) fn wire_id(call: u64) -> String {
    format!("{call:016x}")
}

/// A server as the coordinator lists it, with one of three server numbers.
pub(crate) fn target(number: u64, port: u64, state: &str, boot_ms: u64) -> Value {
    json!({"uid": format!("s-{number}"), "endpoint": format!("127.0.0.1:{port}"), "az": "a",
        "pod_group": number % 3, "state": state, "boot_ms": boot_ms})
}

/// The coordinator's event with this number, parsed.
pub(crate) fn endpoints(index: u64, all: bool, targets: Vec<Value>) -> Vec<Endpoints> {
    let event = json!({"index": index, "endpoints": {"rev": index, "all": all, "targets": targets}});
    let response = parse_response(&json!({"index": index, "updates": [event]}).to_string()).unwrap();
    response.updates.into_iter().map(|update| update.endpoints).collect()
}

/// A server's answer to a set-up.
pub(crate) fn answer_line(call: &str, body: &str) -> Value {
    json!({"kind": "running", "uid": call, "meta": {}, "body": body})
}

/// A server's rejection of a set-up, or the end of a call.
pub(crate) fn stop_line(call: &str, cause: u16, meta: Value) -> Value {
    json!({"kind": "stop", "uid": call, "meta": meta, "reason": cause})
}

/// A core in virtual time, whose effects are handled at once.
pub(crate) trait Simulation {
    /// Returns the core and the current time.
    fn core(&mut self) -> (&mut NodeCore, &mut u64);

    /// Handles one effect.
    fn handle_effect(&mut self, effect: Effect);

    /// Feeds an input and handles its effects.
    fn feed(&mut self, input: Input) {
        let mut effects = Vec::new();
        let (core, now) = self.core();
        core.handle(*now, input, &mut effects);
        effects.into_iter().for_each(|effect| self.handle_effect(effect));
    }

    /// Advances the time, and fires each timer when it is due.
    fn advance(&mut self, duration_ns: u64) {
        let end = *self.core().1 + duration_ns;
        while let Some(due) = self.core().0.next_timeout().filter(|due| *due <= end) {
            let now = self.core().1;
            *now = due.max(*now);
            self.feed(Input::Timeout);
        }
        *self.core().1 = end;
    }

    /// Feeds a line that a server has sent.
    fn feed_line(&mut self, upstream: UpstreamId, line: &Value) {
        let message = ServerMessage::decode(line.to_string().as_bytes()).unwrap();
        self.feed(Input::UpstreamMessage(upstream, message));
    }

    /// Feeds an event of the coordinator.
    fn feed_endpoints(&mut self, index: u64, all: bool, targets: Vec<Value>) {
        for endpoints in endpoints(index, all, targets) {
            self.feed(Input::EndpointsUpdated(endpoints));
        }
    }
}

/// The settings of a property test: the same cases in each run, unless `PROPTEST_RNG_SEED` or `PROPTEST_CASES`
/// selects others.
pub(crate) fn proptest_config(default_cases: u32) -> ProptestConfig {
    let variable = |name| std::env::var(name).ok();
    let cases = variable("PROPTEST_CASES").and_then(|cases| cases.parse().ok()).unwrap_or(default_cases);
    let seed = variable("PROPTEST_RNG_SEED").and_then(|seed| seed.parse().ok()).unwrap_or(7);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}
