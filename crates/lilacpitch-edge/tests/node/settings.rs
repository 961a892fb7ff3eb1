//! Two nodes with different settings each follow their own.

use crate::process::Node;
use crate::standin::*;
use serde_json::{json, Value};
use std::time::Instant;

/// The settings of a customer.
struct Customer {
    classes: &'static [&'static str],
    release_ms: u64,
    attempts: u32,
    connect_ms: u64,
    max_open: u64,
    max_retry_after_ms: u64,
    objective_ms: u64,
    resend_ms: u64,
}

/// Settings with several classes and short times.
const SHORT_TIMES: Customer = Customer {
    classes: &["voice", "fax", "data"],
    release_ms: 100,
    attempts: 2,
    connect_ms: 200,
    max_open: 3,
    max_retry_after_ms: 150,
    objective_ms: 1_500,
    resend_ms: 400,
};
/// Settings with one class and long times.
const LONG_TIMES: Customer = Customer {
    classes: &["modem"],
    release_ms: 700,
    attempts: 4,
    connect_ms: 900,
    max_open: 5,
    max_retry_after_ms: 3_000,
    objective_ms: 4_000,
    resend_ms: 1_000,
};

impl Customer {
    /// Starts a node with these settings, and waits until it is ready.
    fn start_node(&self, coordinator: Coordinator) -> Node {
        let apply_settings = |text: String| {
            let mut config: Value = serde_json::from_str(&text).unwrap();
            let settings = &mut config["settings"];
            let class = |name: &&str| {
                json!({"name": name, "aim_ns": self.objective_ms * 1_000_000,
                    "deadline_ns": 8_000_000_000u64, "worth": 1, "late_worth": 0.2, "repeat": "read_like"})
            };
            settings["classes"] = self.classes.iter().map(class).collect();
            settings["family_info"]["release_ns"] = json!(self.release_ms * 1_000_000);
            settings["family_info"]["retransmit_ns"] = json!(self.resend_ms * 1_000_000);
            settings["permissions"]["max_attempts"] = json!(self.attempts);
            settings["permissions"]["max_open"] = json!(self.max_open);
            settings["permissions"]["connect_timeout_ns"] = json!(self.connect_ms * 1_000_000);
            settings["permissions"]["max_retry_after_ns"] = json!(self.max_retry_after_ms * 1_000_000);
            config.to_string()
        };
        let node = Node::spawn_with_config(coordinator, 256, apply_settings);
        node.wait_ready();
        node
    }

    /// Encodes a set-up of this class.
    fn invite(&self, call: u64, class: &str) -> Vec<u8> {
        let plain = String::from_utf8(invite(&id(call), "dest:0;width:1;via:-1", 7_000, BODY)).unwrap();
        plain.replace("P-Kind: plain", &format!("P-Kind: {class}")).into_bytes()
    }

    /// Checks that a node of this customer follows its settings, and not those of another customer.
    fn check_own_settings(&self, other: &Customer) {
        let server = Server::start();
        let node = self.start_node(Coordinator::listing(&[&server]));
        let mut caller = node.caller();
        // Classes.
        let unknown = other.classes.iter().chain(&["plain"]);
        for (class, call) in unknown.zip(1..) {
            caller.send(&self.invite(call, class));
            assert_eq!(caller.next().unwrap().status(), Some(400), "class {class} was accepted");
        }
        for (class, call) in self.classes.iter().zip(10..) {
            caller.send(&self.invite(call, class));
            let launch = server.next("launch");
            assert_eq!(launch.value.as_ref().unwrap()["meta"]["class"], json!(class));
            server.answer(&launch, "there");
            assert_eq!(caller.next().unwrap().status(), Some(200));
        }
        // The release time after a cut, and the number of attempts.
        caller.send(&self.invite(20, self.classes[0]));
        let mut previous_end: Option<Instant> = None;
        for attempt in 0..self.attempts {
            let launch = server.next("launch");
            if let Some(previous_end) = previous_end {
                let pause = launch.at.saturating_duration_since(previous_end);
                assert!(pause >= ms(self.release_ms - 5), "attempt {attempt} after {pause:?}");
                assert!(pause < ms(self.release_ms + 400), "attempt {attempt} after {pause:?}");
            }
            previous_end = Some(Instant::now());
            server.stop(launch.connection, &id(20), 41, json!({}));
        }
        let rejected = caller.next().unwrap();
        assert!(rejected.status() >= Some(480), "{rejected:?}");
        if let Some(gap) = rejected.fields.get("p-gap-ms") {
            assert!(gap.parse::<u64>().unwrap() <= self.max_retry_after_ms, "{gap}");
        }
        assert!(server.next_within("launch", ms(self.release_ms + 200)).is_none(), "too many attempts");
        // The number of open calls.
        let mut caller = node.caller();
        (0..self.max_open + 2).for_each(|n| caller.send(&self.invite(30 + n, self.classes[0])));
        let received = caller.all_within(ms(150));
        let is_over_limit = |message: &&SipMessage| message.start.contains("Too Many Calls");
        assert_eq!(received.iter().filter(is_over_limit).count(), 2, "{received:?}");
    }
}

#[test]
fn each_node_follows_its_own_settings() {
    SHORT_TIMES.check_own_settings(&LONG_TIMES);
    LONG_TIMES.check_own_settings(&SHORT_TIMES);
}

#[test]
fn abandons_a_connection_after_the_configured_timeout() {
    let mut delays = Vec::new();
    for customer in [SHORT_TIMES, LONG_TIMES] {
        let (unreachable, other) = (unreachable_server(), Server::start());
        let targets = vec![
            target("s0", unreachable.0, 0, "in_service", 0),
            target("s1", other.address, 1, "in_service", 0),
        ];
        let node = customer.start_node(Coordinator::start(vec![event(1, true, targets)]));
        let mut caller = node.caller();
        let start = Instant::now();
        caller.send(&customer.invite(1, customer.classes[0]));
        let launch = other.next("launch");
        delays.push(launch.at - start);
        other.answer(&launch, "elsewhere");
        assert_eq!(caller.next().unwrap().body, "elsewhere");
        assert!(delays.last() >= Some(&ms(customer.connect_ms - 20)), "{delays:?}");
    }
    assert!(delays[0] < ms(SHORT_TIMES.connect_ms + 500), "{delays:?}");
}
