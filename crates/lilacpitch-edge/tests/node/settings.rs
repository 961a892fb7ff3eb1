//! Two customers' settings: nothing of one shows at the other.

use crate::process::Node;
use crate::standin::*;
use serde_json::{json, Value};
use std::time::Instant;

/// A customer: classes, and figures for release, attempts, grace and connecting.
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

const HARBOUR: Customer = Customer {
    classes: &["alongside", "tug", "tide"],
    release_ms: 100,
    attempts: 2,
    connect_ms: 200,
    max_open: 3,
    max_retry_after_ms: 150,
    objective_ms: 1_500,
    resend_ms: 400,
};
const DESK: Customer = Customer {
    classes: &["desk"],
    release_ms: 700,
    attempts: 4,
    connect_ms: 900,
    max_open: 5,
    max_retry_after_ms: 3_000,
    objective_ms: 4_000,
    resend_ms: 1_000,
};

impl Customer {
    fn node(&self, coordinator: Coordinator) -> Node {
        let change = |text: String| {
            let mut config: Value = serde_json::from_str(&text).unwrap();
            let settings = &mut config["settings"];
            let class = |name: &&str| {
                json!({"name": name, "aim_ns": self.objective_ms * 1_000_000, "deadline_ns": 8_000_000_000u64, "worth": 1,
                    "late_worth": 0.2, "repeat": "read_like"})
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
        let node = Node::configured(coordinator, 256, change);
        node.wait_ready();
        node
    }

    fn invite(&self, call: u64, class: &str) -> Vec<u8> {
        let regular = String::from_utf8(invite(&id(call), "dest:0;width:1;via:-1", 7_000, BODY)).unwrap();
        regular.replace("P-Kind: plain", &format!("P-Kind: {class}")).into_bytes()
    }

    /// Plays the same moments at this customer's node, and finds its own figures in each.
    fn check_own_settings(&self, others: &Customer) {
        let server = Server::start();
        let node = self.node(Coordinator::listing(&[&server]));
        let mut caller = node.caller();
        // Classes.
        let unknown = others.classes.iter().chain(&["plain"]);
        for (class, call) in unknown.zip(1..) {
            caller.send(&self.invite(call, class));
            assert_eq!(caller.next().unwrap().status(), Some(400), "{class} is not this customer's");
        }
        for (class, call) in self.classes.iter().zip(10..) {
            caller.send(&self.invite(call, class));
            let launch = server.next("launch");
            assert_eq!(launch.value.as_ref().unwrap()["meta"]["class"], json!(class));
            server.answer(&launch, "there");
            assert_eq!(caller.next().unwrap().status(), Some(200));
        }
        // The release time after a cut, and the attempts.
        caller.send(&self.invite(20, self.classes[0]));
        let mut last: Option<Instant> = None;
        for attempt in 0..self.attempts {
            let launch = server.next("launch");
            if let Some(last) = last {
                let rest = launch.at.saturating_duration_since(last);
                assert!(rest >= ms(self.release_ms - 5), "attempt {attempt} after {rest:?}");
                assert!(rest < ms(self.release_ms + 400), "attempt {attempt} after {rest:?}");
            }
            last = Some(Instant::now());
            server.stop(launch.connection, &id(20), 41, json!({}));
        }
        let rejected = caller.next().unwrap();
        assert!(rejected.status() >= Some(480), "{rejected:?}");
        if let Some(gap) = rejected.fields.get("p-gap-ms") {
            assert!(gap.parse::<u64>().unwrap() <= self.max_retry_after_ms, "{gap}");
        }
        assert!(server.next_within("launch", ms(self.release_ms + 200)).is_none(), "no further attempt");
        // Calls that may be open at once.
        let mut many = node.caller();
        (0..self.max_open + 2).for_each(|n| many.send(&self.invite(30 + n, self.classes[0])));
        let received = many.all_within(ms(150));
        let beyond = |message: &&SipMessage| message.start.contains("Too Many Calls");
        assert_eq!(received.iter().filter(beyond).count(), 2, "{received:?}");
    }
}

#[test]
fn each_node_follows_its_own_settings() {
    HARBOUR.check_own_settings(&DESK);
    DESK.check_own_settings(&HARBOUR);
}

#[test]
fn abandons_a_connection_after_the_configured_timeout() {
    let mut took = Vec::new();
    for customer in [HARBOUR, DESK] {
        let (silent, other) = (silent_server(), Server::start());
        let targets =
            vec![target("s0", silent.0, 0, "in_service", 0), target("s1", other.address, 1, "in_service", 0)];
        let node = customer.node(Coordinator::start(vec![event(1, true, targets)]));
        let mut caller = node.caller();
        let from = Instant::now();
        caller.send(&customer.invite(1, customer.classes[0]));
        let launch = other.next("launch");
        took.push(launch.at - from);
        other.answer(&launch, "elsewhere");
        assert_eq!(caller.next().unwrap().body, "elsewhere");
        assert!(took.last() >= Some(&ms(customer.connect_ms - 20)), "{took:?}");
    }
    assert!(took[0] < ms(HARBOUR.connect_ms + 500), "{took:?}");
}
