//! Compares the codec with `docs/call-control.schema.json`: both accept the same messages out of random ones,
//! whose fields are valid, invalid, missing or unknown. The codec also accepts every example in
//! `docs/call-control.md`.

use lilacpitch_protocol::message::call::{FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{json, Map, Value};

/// A validator for one definition of the schema.
fn schema(definition: &str) -> jsonschema::Validator {
    let text = include_str!("../../../docs/call-control.schema.json");
    let mut root: Value = serde_json::from_str(text).unwrap();
    root["$ref"] = json!(format!("#/$defs/{definition}"));
    jsonschema::validator_for(&root).unwrap()
}

/// A strategy for the values of a field, valid and invalid ones.
fn field_value(field: &'static str) -> BoxedStrategy<Value> {
    let one_of = |values: Vec<Value>| proptest::sample::select(values).boxed();
    let text_of = |length: usize| Value::String("x".repeat(length));
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
            text_of(64),
            text_of(65),
            text_of(257),
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
            one_of(vec![json!("ended"), json!("cut"), json!(""), text_of(256), text_of(257), json!(true)])
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

/// Asserts that codec and schema accept the same messages. `types`: names of message types, with their
/// fields.
fn assert_codec_matches_schema(
    definition: &'static str,
    accepts: fn(&str) -> bool,
    types: &'static [(&'static str, &'static [&'static str])],
) {
    let schema = schema(definition);
    let message = proptest::sample::select(types).prop_flat_map(
        |(type_name, fields): (&'static str, &'static [&'static str])| {
            let fields: Vec<_> =
                fields.iter().map(|field| (Just(*field), field_value(field), 0..12u8)).collect();
            (Just(type_name), fields, field_value("type"), 0..12u8)
        },
    );
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let accepted = std::cell::Cell::new(0u32);
    runner
        .run(&message, |(type_name, fields, other_type, mutation)| {
            let mut object = Map::new();
            object.insert("type".into(), if mutation == 0 { other_type } else { json!(type_name) });
            for (field, value, omission) in fields {
                if omission != 0 {
                    object.insert(field.into(), value);
                }
            }
            if mutation == 1 {
                object.insert("surplus".into(), json!(1));
            }
            let value = Value::Object(object);
            let is_accepted = accepts(&value.to_string());
            prop_assert_eq!(
                is_accepted,
                schema.is_valid(&value),
                "codec: {}, message: {}",
                is_accepted,
                value
            );
            accepted.set(accepted.get() + u32::from(is_accepted));
            Ok(())
        })
        .unwrap();
    assert!(accepted.get() > 20, "only {} random messages were valid", accepted.get());
}

#[test]
fn codec_and_schema_accept_the_same_messages() {
    assert_codec_matches_schema(
        "from_caller",
        |text| FromCaller::decode(text).is_ok(),
        &[("setup", &["call", "class", "pool", "number", "budget_ms"]), ("release", &["call"])],
    );
    assert_codec_matches_schema(
        "to_caller",
        |text| ToCaller::decode(text).is_ok(),
        &[
            ("final", &["call", "answer", "come_back_ms", "cause"]),
            ("final", &["call", "answer"]),
            ("released", &["call", "cause"]),
            ("error", &["call", "reason"]),
        ],
    );
    assert_codec_matches_schema(
        "to_server",
        |text| ToServer::decode(text).is_ok(),
        &[
            ("setup", &["attempt", "call", "class", "number", "repeat"]),
            ("release", &["attempt"]),
            ("cancel", &["attempt"]),
        ],
    );
    assert_codec_matches_schema(
        "from_server",
        |text| FromServer::decode(text).is_ok(),
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
fn codec_accepts_the_examples_of_the_documentation() {
    let page = include_str!("../../../docs/call-control.md");
    let mut examples = 0;
    for line in page.lines().filter(|line| line.starts_with("{\"type\"")) {
        let reencoded = [
            FromCaller::decode(line).map(|message| message.encode()),
            ToCaller::decode(line).map(|message| message.encode()),
            ToServer::decode(line).map(|message| message.encode()),
            FromServer::decode(line).map(|message| message.encode()),
        ];
        let reencoded = reencoded.into_iter().find_map(Result::ok);
        let reencoded = reencoded.unwrap_or_else(|| panic!("no codec accepts {line}"));
        let value: Value = serde_json::from_str(&reencoded).unwrap();
        assert_eq!(value, serde_json::from_str::<Value>(line).unwrap(), "{line}");
        examples += 1;
    }
    assert!(examples >= 14, "every message must have an example: {examples} found");
}

#[test]
fn errors_name_the_rejected_field_and_the_reason() {
    let cases = [
        (r#"{"type":"setup","call":"a","class":"b"}"#, "missing field `budget_ms`"),
        (r#"{"type":"setup","call":"a","class":"b","budget_ms":0}"#, "field budget_ms: not 1 to 600000"),
        (r#"{"type":"setup","call":"a","class":"b","budget_ms":9,"pol":"x"}"#, "unknown field `pol`"),
        (r#"{"type":"setup","call":"a","call":"b","class":"b","budget_ms":9}"#, "duplicate field `call`"),
        (r#"{"type":"hold","call":"a"}"#, "unknown variant `hold`"),
        (r#"["setup","a","b",null,null,9]"#, "not a JSON object"),
        (r#"{"type":"release","call":"a"} {}"#, "trailing characters"),
    ];
    for (text, expected) in cases {
        let error = FromCaller::decode(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
    assert_eq!(FromCaller::read_call_id(r#"{"type":"hold","call":"c-1"}"#).as_deref(), Some("c-1"));
    assert_eq!(FromCaller::read_call_id(r#"{"type":"hold","call":"a b"}"#), None);
}
