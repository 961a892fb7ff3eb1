//! Compatibility of a front node with third-party programs: the JSON lines to and from signalling servers,
//! the coordinator's responses and the keys of the configuration.
//!
//! None of these programs is built from this workspace, so keys and values must not change when Rust fields
//! are renamed.

use lilacpitch::interface::Outcome;
use lilacpitch_node::config::Config;
use lilacpitch_node::coordinator::{parse_response, State, Target};
use lilacpitch_node::signalling::{
    encode_setup, encode_stop, outcome_of_stop, LineDecoder, ServerMessage, CAUSE_CUT, CAUSE_NORMAL,
};

const MS: u64 = 1_000_000;

fn messages_from_server() -> Vec<ServerMessage> {
    let mut lines = LineDecoder::default();
    lines.feed(include_bytes!("data/from_server.jsonl"));
    std::iter::from_fn(|| lines.next_line().unwrap())
        .map(|line| ServerMessage::decode(&line).unwrap())
        .collect()
}

#[test]
fn encodes_every_line_to_a_server_as_pinned() {
    let encoded = [
        encode_setup(0xa1, "plain", "15550001", 2_990, "c=IN IP4 10.0.0.1\r\n"),
        encode_setup(u64::MAX, "urgent", "", 1, "b"),
        encode_stop(0xa1, CAUSE_NORMAL),
        encode_stop(0xa2, CAUSE_CUT),
    ];
    let encoded = String::from_utf8(encoded.concat()).unwrap();
    assert_eq!(encoded, include_str!("data/to_server.jsonl"));
}

#[test]
fn decodes_every_line_of_a_server_as_pinned() {
    let messages = messages_from_server();
    assert_eq!(messages.len(), 7);
    assert_eq!(messages[0], ServerMessage::Running { uid: 0xa1, body: "c=IN IP4 10.0.0.9\r\n".into() });
    assert_stop(&messages[1], 0xa2, 16, "", None, [None, None]);
    assert_stop(&messages[2], 0xa3, 34, "ovl", Some(2_500_000), [Some("12"), Some("40")]);
    assert_stop(&messages[3], 0xa4, 17, "busy", Some(7 * MS), [None, None]);
    assert_usage(&messages[4], Some("3"));
    assert_usage(&messages[5], None);
    assert_eq!(messages[6], ServerMessage::Other);
}

fn assert_stop(
    message: &ServerMessage,
    expected_uid: u64,
    expected_cause: u16,
    expected_note: &str,
    expected_wait_ns: Option<u64>,
    expected_load: [Option<&str>; 2],
) {
    let ServerMessage::Stop { uid, cause, note, estimated_wait_ns, load } = message else {
        panic!("not a stop: {message:?}");
    };
    assert_eq!((*uid, *cause, note.as_str()), (expected_uid, expected_cause, expected_note));
    assert_eq!(*estimated_wait_ns, expected_wait_ns);
    assert_eq!(["x0", "x1"].map(|name| load.get(name)), expected_load);
}

fn assert_usage(message: &ServerMessage, expected: Option<&str>) {
    let ServerMessage::Usage(load) = message else { panic!("not a usage: {message:?}") };
    assert_eq!(load.get("x0"), expected);
}

#[test]
fn maps_the_cause_of_a_stop_to_an_outcome_as_pinned() {
    let pinned = [
        (34, "ovl", Outcome::Overloaded(Some(MS))),
        (34, "", Outcome::NoCircuit),
        (17, "busy", Outcome::LinesBusy),
        (47, "busy", Outcome::LinesBusy),
        (17, "", Outcome::Fault),
        (47, "other", Outcome::Fault),
        (102, "", Outcome::NotSent),
        (41, "", Outcome::Cut),
    ];
    for (cause, note, outcome) in pinned {
        assert_eq!(outcome_of_stop(cause, note, Some(MS)), outcome, "{cause} {note}");
    }
}

#[test]
fn parses_a_coordinator_response_as_pinned() {
    let response = parse_response(include_str!("data/coordinator_answer.json")).unwrap();
    assert_eq!(response.index, 8);
    let events: Vec<_> = response.updates.iter().map(|update| (update.index, update.endpoints.all)).collect();
    assert_eq!(events, [(7, true), (8, false)]);
    let targets: Vec<Target> =
        response.updates.into_iter().flat_map(|update| update.endpoints.targets).collect();
    let target = |uid: &str, endpoint: &str, az: &str, pod_group, state, boot_ms| Target {
        uid: uid.into(),
        endpoint: endpoint.parse().unwrap(),
        az: az.into(),
        pod_group,
        state,
        boot_ms,
    };
    let expected = [
        target("s-a", "10.0.0.1:5060", "east", 3, State::InService, 1_700_000_000_000),
        target("s-b", "[::1]:5061", "", 4, State::Terminating, 0),
        target("s-c", "10.0.0.3:5060", "", 0, State::Terminated, 0),
    ];
    assert_eq!(targets, expected);
    let empty = parse_response(include_str!("data/coordinator_answer_empty.json")).unwrap();
    assert_eq!((empty.index, empty.updates.len()), (8, 0));
}

#[test]
fn parses_every_key_of_the_configuration_as_pinned() {
    let config = Config::parse("pinned", include_str!("data/config.json")).unwrap();
    assert_eq!(config.name, "n0");
    assert_eq!(config.listen.to_string(), "127.0.0.1:4060");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.limits.sockets, config.limits.memory_mb), (256, Some(48)));
    assert_eq!(config.coordinator.to_string(), "127.0.0.1:4070");
    assert_eq!((config.known.index, config.known.updates.len()), (1, 1));
    let site = config.site;
    assert_eq!(site.class_names, ["plain", "urgent"]);
    assert_eq!(site.zone_names, ["east", "west"]);
    assert_eq!(site.report_fields, ["x0", "x1"]);
    assert_eq!(site.max_open, 90);
    assert_eq!(site.connect_timeout_ns, 700 * MS);
    assert_eq!(site.drain_grace_ns, 500 * MS);
    let settings = site.settings;
    assert_eq!(settings.classes.len(), 2);
    assert_eq!(settings.home, Some(2));
    assert_eq!((settings.resend_interval_ns, settings.release_ns), (400 * MS, 300 * MS));
    assert_eq!((settings.max_attempts, settings.may_cancel), (6, true));
    assert_eq!(settings.max_retry_after_ns, 2_000 * MS);
    assert!(settings.must_subscribe);
    assert_eq!((settings.slow_start_floor, settings.slow_start_ns), (0.3, 2_100 * MS));
    assert_eq!(settings.overload_multiple, 3.5);
    assert_eq!(settings.tick_ns, 5 * MS);
}

/// A configuration without one of its keys is rejected, and the error names the key.
#[test]
fn error_names_the_missing_key_of_a_configuration_as_pinned() {
    let complete: serde_json::Value = serde_json::from_str(include_str!("data/config.json")).unwrap();
    for key in ["name", "listen", "seed", "limits", "coordinator", "known", "settings"] {
        let mut incomplete = complete.clone();
        incomplete.as_object_mut().unwrap().remove(key);
        let error = Config::parse("pinned", &incomplete.to_string()).unwrap_err().to_string();
        assert!(error.contains(&format!("missing field `{key}`")), "{key}: {error}");
    }
}
