//! What the tests of the core share: a configuration, and callers' requests.

use lilacpitch_node::config::Config;
use lilacpitch_sip::{Decoder, Message};
use serde_json::json;

pub const MS: u64 = 1_000_000;

/// A configuration of one class, without servers.
pub fn config() -> Config {
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
    Config::read("soak", &text.to_string()).unwrap()
}

/// A caller's request, decoded; the number it dials is its own, its first choice one of three.
pub fn request(method: &str, call: u64) -> Message {
    let body = "c=IN IP4 10.0.0.1\r\n";
    let text = format!(
        "{method} sip:{call:016x}@net SIP/2.0\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\nP-Kind: plain\r\n\
         P-Time-Left: 3000\r\nP-Path: dest:{}\r\nContent-Length: {}\r\n\r\n{body}",
        call % 3,
        body.len()
    );
    let mut decoder = Decoder::default();
    decoder.feed(text.as_bytes());
    decoder.next_message().unwrap().unwrap()
}
