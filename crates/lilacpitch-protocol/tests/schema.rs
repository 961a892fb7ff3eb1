//! The codec is held to `docs/call-control.schema.json`: what one takes the other takes, on messages whose
//! fields are drawn, left out, added and spoiled; and the examples of the page are taken by both.

use lilacpitch_protocol::message::call::{FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{json, Map, Value};

fn schema(part: &str) -> jsonschema::Validator {
    let text = include_str!("../../../docs/call-control.schema.json");
    let mut root: Value = serde_json::from_str(text).unwrap();
    root["$ref"] = json!(format!("#/$defs/{part}"));
    jsonschema::validator_for(&root).unwrap()
}

/// Values for each field, sound ones and spoiled ones.
fn value(field: &'static str) -> BoxedStrategy<Value> {
    let one_of = |values: Vec<Value>| proptest::sample::select(values).boxed();
    let long = |n: usize| Value::String("x".repeat(n));
    match field {
        "type" => one_of(
            ["setup", "release", "cancel", "final", "released", "error", "answer", "full", "no_circuit"]
                .into_iter()
                .chain(["lines_busy", "fault", "Setup"])
                .map(Value::from)
                .collect(),
        ),
        "call" | "class" | "pool" => one_of(vec![
            json!("c-17"),
            json!(""),
            long(64),
            long(65),
            long(257),
            json!("a b"),
            json!("é"),
            json!(7),
        ]),
        "number" => one_of(vec![
            json!("14045550100"),
            json!("+49*#"),
            json!("+"),
            json!(""),
            json!("1+"),
            json!("1a"),
            json!("9".repeat(32)),
            json!("9".repeat(33)),
            json!(140),
        ]),
        "budget_ms" | "wait_ms" => one_of(vec![
            json!(1),
            json!(3000),
            json!(0),
            json!(600_000),
            json!(600_001),
            json!(-1),
            json!("3000"),
        ]),
        "come_back_ms" | "attempt" => {
            one_of(vec![json!(0), json!(5), json!(u64::MAX), json!(-5), json!(1.5)])
        }
        "repeat" => one_of(vec![json!(0), json!(3), json!(u64::MAX), json!("1")]),
        "answer" => one_of(vec![json!("stands"), json!("refused"), json!("failed"), json!("held")]),
        "cause" | "reason" => {
            one_of(vec![json!("ended"), json!("cut"), json!(""), long(256), long(257), json!(true)])
        }
        "load" => one_of(vec![
            json!({}),
            json!({"free": 3, "latency_ms": 2.5, "can_take_per_s": 40}),
            json!({"free": -3}),
            json!({"latency_ms": -0.5}),
            json!({"other": 1}),
            json!(4),
        ]),
        _ => one_of(vec![json!(1)]),
    }
}

fn agree(
    part: &'static str,
    takes: fn(&str) -> bool,
    types: &'static [(&'static str, &'static [&'static str])],
) {
    let schema = schema(part);
    let message = proptest::sample::select(types).prop_flat_map(
        |(kind, fields): (&'static str, &'static [&'static str])| {
            let drawn: Vec<_> = fields.iter().map(|f| (Just(*f), value(f), 0..12u8)).collect();
            (Just(kind), drawn, value("type"), 0..12u8)
        },
    );
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let taken = std::cell::Cell::new(0u32);
    runner
        .run(&message, |(kind, fields, other, spoil)| {
            let mut object = Map::new();
            object.insert("type".into(), if spoil == 0 { other } else { json!(kind) });
            for (field, value, drop) in fields {
                if drop != 0 {
                    object.insert(field.into(), value);
                }
            }
            if spoil == 1 {
                object.insert("surplus".into(), json!(1));
            }
            let value = Value::Object(object);
            let codec = takes(&value.to_string());
            prop_assert_eq!(codec, schema.is_valid(&value), "codec {} on {}", codec, value);
            taken.set(taken.get() + u32::from(codec));
            Ok(())
        })
        .unwrap();
    assert!(taken.get() > 20, "sound messages must be among those drawn: {}", taken.get());
}

#[test]
fn codec_and_schema_take_the_same_messages() {
    agree(
        "from_caller",
        |t| FromCaller::decode(t).is_ok(),
        &[("setup", &["call", "class", "pool", "number", "budget_ms"]), ("release", &["call"])],
    );
    agree(
        "to_caller",
        |t| ToCaller::decode(t).is_ok(),
        &[
            ("final", &["call", "answer", "come_back_ms", "cause"]),
            ("final", &["call", "answer"]),
            ("released", &["call", "cause"]),
            ("error", &["call", "reason"]),
        ],
    );
    agree(
        "to_server",
        |t| ToServer::decode(t).is_ok(),
        &[
            ("setup", &["attempt", "call", "class", "number", "repeat"]),
            ("release", &["attempt"]),
            ("cancel", &["attempt"]),
        ],
    );
    agree(
        "from_server",
        |t| FromServer::decode(t).is_ok(),
        &[
            ("answer", &["attempt", "load"]),
            ("no_circuit", &["attempt", "load"]),
            ("lines_busy", &["attempt", "load"]),
            ("full", &["attempt", "wait_ms", "load"]),
            ("fault", &["attempt", "cause", "load"]),
            ("released", &["attempt", "cause"]),
        ],
    );
}

#[test]
fn the_examples_of_the_page_are_what_the_codec_takes() {
    let page = include_str!("../../../docs/call-control.md");
    let mut seen = 0;
    for line in page.lines().filter(|l| l.starts_with("{\"type\"")) {
        let codecs = [
            FromCaller::decode(line).map(|m| m.encode()),
            ToCaller::decode(line).map(|m| m.encode()),
            ToServer::decode(line).map(|m| m.encode()),
            FromServer::decode(line).map(|m| m.encode()),
        ];
        let back = codecs.into_iter().find_map(Result::ok).unwrap_or_else(|| panic!("no codec takes {line}"));
        let same: Value = serde_json::from_str(&back).unwrap();
        assert_eq!(same, serde_json::from_str::<Value>(line).unwrap(), "as it was");
        seen += 1;
    }
    assert!(seen >= 14, "every message has an example: {seen}");
}

#[test]
fn what_cannot_be_taken_says_which_field_and_why() {
    let cases = [
        (r#"{"type":"setup","call":"a","class":"b"}"#, "missing field `budget_ms`"),
        (r#"{"type":"setup","call":"a","class":"b","budget_ms":0}"#, "field budget_ms: not 1 to 600000"),
        (r#"{"type":"setup","call":"a","class":"b","budget_ms":9,"pol":"x"}"#, "unknown field `pol`"),
        (r#"{"type":"setup","call":"a","call":"b","class":"b","budget_ms":9}"#, "duplicate field `call`"),
        (r#"{"type":"hold","call":"a"}"#, "unknown variant `hold`"),
        (r#"["setup","a","b",null,null,9]"#, "not a JSON object"),
        (r#"{"type":"release","call":"a"} {}"#, "trailing characters"),
    ];
    for (text, what) in cases {
        let error = FromCaller::decode(text).unwrap_err().to_string();
        assert!(error.contains(what), "{text}: {error}");
    }
    assert_eq!(FromCaller::call_named(r#"{"type":"hold","call":"c-1"}"#).as_deref(), Some("c-1"));
    assert_eq!(FromCaller::call_named(r#"{"type":"hold","call":"a b"}"#), None);
}
