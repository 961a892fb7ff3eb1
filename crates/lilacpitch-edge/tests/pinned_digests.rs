//! Pins the digests by which the audit and withdrawals name a version of settings or of a pool list.
//!
//! Both hash the debug text of the typed records, so the names of their types, fields and variants are part of a
//! version: a renamed one gives every front another version, and a withdrawn version would be accepted again.

use lilacpitch_config::{Edge, Pools};
use lilacpitch_edge::{list_digest, settings_digest};

const SETTINGS: &str = r#"name: "edge-0"
listen: "127.0.0.1:0"
pool_list: "pools.cue"
look_at_pool_list_every: "20ms"
pools: ["north", "south"]
classes: [
	{name: "urgent", aim: "1s", give_up: "6s", worth: 3, late_worth: 0.5, pools: ["north"]},
	{name: "plain", aim: "2s", give_up: "9s", worth: 1, late_worth: 0.25},
]
rules: {release: "310ms", drain_grace: "510ms", cold_from: 0.2, cold_span: "21s", tip_multiple: 2.5, max_attempts: 4}
timing: {
	resend: "200ms", connect: "210ms", reconnect_first: "50ms", reconnect_longest: "220ms"
	come_back_longest: "7s", quiet: "8s", stop: "500ms", tick: "3ms"
}
limits: {callers: 101, calls: 102, calls_per_caller: 103, queue: 104}
"#;

const POOL_LIST: &str = r#"servers: [
	{name: "r0", pool: "north", zone: "z1", address: "127.0.0.1:4000", state: "running", started_ms: 17},
	{name: "r1", pool: "south", address: "127.0.0.1:4001", state: "draining"},
	{name: "r2", pool: "south", address: "[::1]:4002", state: "gone"},
]
"#;

#[test]
fn names_a_settings_version_by_its_pinned_digest() {
    let settings = Edge::from_text("edge.cue", SETTINGS).unwrap().value;
    assert_eq!(format!("{:016x}", settings_digest(&settings)), "be8cd4a91557286b");
}

#[test]
fn names_a_version_of_the_pool_list_by_its_pinned_digest() {
    let pool_list = Pools::from_text("pools.cue", POOL_LIST).unwrap().value;
    assert_eq!(format!("{:016x}", list_digest(&pool_list)), "ab9a3c44d110c3f7");
}
