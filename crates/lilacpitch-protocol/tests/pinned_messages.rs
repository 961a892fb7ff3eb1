//! Pins the text of each call-control and signalling message, with and without its optional fields.
//!
//! Callers and signalling servers run builds of other versions: the names of message types, fields and values
//! must stay as they are, whatever the Rust types are called. Each line of a data file is one message, in the
//! order of the list beside it.

use lilacpitch_protocol::handshake::{CALL_PROTOCOL, SIGNAL_PROTOCOL};
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, Load, ReleaseCause, ToServer};
use lilacpitch_protocol::message::MessageError;
use std::fmt::Debug;

/// Asserts that each message encodes to its pinned line and decodes from it.
fn assert_pinned<M: Debug + PartialEq>(
    messages: &[M],
    pinned: &str,
    encode: fn(&M) -> String,
    decode: fn(&str) -> Result<M, MessageError>,
) {
    let lines: Vec<&str> = pinned.lines().collect();
    let encoded: Vec<String> = messages.iter().map(encode).collect();
    assert_eq!(encoded, lines);
    for (message, line) in messages.iter().zip(lines) {
        assert_eq!(decode(line).as_ref(), Ok(message), "{line}");
    }
}

fn from_caller_messages() -> Vec<FromCaller> {
    vec![
        FromCaller::Setup {
            call: "c-1".into(),
            class: "urgent".into(),
            pool: Some("north".into()),
            number: Some("+14045550100".into()),
            budget_ms: 3000,
        },
        FromCaller::Setup {
            call: "c-2".into(),
            class: "plain".into(),
            pool: None,
            number: None,
            budget_ms: 1,
        },
        FromCaller::Release { call: "c-1".into() },
    ]
}

fn to_caller_messages() -> Vec<ToCaller> {
    let final_answer = |answer, come_back_ms, cause: Option<&str>| ToCaller::Final {
        call: "c-1".into(),
        answer,
        come_back_ms,
        cause: cause.map(str::to_string),
    };
    vec![
        final_answer(Answer::Stands, None, None),
        final_answer(Answer::Refused, None, None),
        final_answer(Answer::Refused, Some(250), None),
        final_answer(Answer::Failed, None, Some("lines busy")),
        ToCaller::Released { call: "c-1".into(), cause: "cut".into() },
        ToCaller::Error { reason: "not a JSON object".into(), call: None },
        ToCaller::Error { reason: "field budget_ms".into(), call: Some("c-3".into()) },
    ]
}

fn to_server_messages() -> Vec<ToServer> {
    let setup = |number: Option<&str>, repeat| ToServer::Setup {
        attempt: 17,
        call: "front-0/5/c-1".into(),
        class: "urgent".into(),
        number: number.map(str::to_string),
        repeat,
    };
    vec![
        setup(None, 0),
        setup(Some("+14045550100"), 0),
        setup(Some("*21#"), 2),
        ToServer::Release { attempt: 17 },
        ToServer::Cancel { attempt: 18 },
    ]
}

fn from_server_messages() -> Vec<FromServer> {
    let attempt = 17;
    let load = Some(Load { free: Some(3), latency_ms: Some(2.5), can_take_per_s: Some(40.0) });
    vec![
        FromServer::Answer { attempt, load: None },
        FromServer::Answer { attempt, load },
        FromServer::Answer { attempt, load: Some(Load::default()) },
        FromServer::Answer { attempt, load: Some(Load { free: Some(0), ..Load::default() }) },
        FromServer::Answer { attempt, load: Some(Load { latency_ms: Some(0.25), ..Load::default() }) },
        FromServer::Answer { attempt, load: Some(Load { can_take_per_s: Some(9.5), ..Load::default() }) },
        FromServer::Full { attempt, wait_ms: None, load: None },
        FromServer::Full { attempt, wait_ms: Some(700), load },
        FromServer::NoCircuit { attempt, load: None },
        FromServer::NoCircuit { attempt, load },
        FromServer::LinesBusy { attempt, load: None },
        FromServer::LinesBusy { attempt, load },
        FromServer::Fault { attempt, cause: "protocol error".into(), load: None },
        FromServer::Fault { attempt, cause: String::new(), load },
        FromServer::Released { attempt, cause: ReleaseCause::Ended },
        FromServer::Released { attempt, cause: ReleaseCause::Cut },
    ]
}

#[test]
fn encodes_and_decodes_every_message_of_a_caller_as_pinned() {
    let pinned = include_str!("data/from_caller.jsonl");
    assert_pinned(&from_caller_messages(), pinned, FromCaller::encode, FromCaller::decode);
}

#[test]
fn encodes_and_decodes_every_message_to_a_caller_as_pinned() {
    let pinned = include_str!("data/to_caller.jsonl");
    assert_pinned(&to_caller_messages(), pinned, ToCaller::encode, ToCaller::decode);
}

#[test]
fn encodes_and_decodes_every_message_to_a_server_as_pinned() {
    let pinned = include_str!("data/to_server.jsonl");
    assert_pinned(&to_server_messages(), pinned, ToServer::encode, ToServer::decode);
}

#[test]
fn encodes_and_decodes_every_message_of_a_server_as_pinned() {
    let pinned = include_str!("data/from_server.jsonl");
    assert_pinned(&from_server_messages(), pinned, FromServer::encode, FromServer::decode);
}

#[test]
fn offers_the_subprotocols_as_pinned() {
    let pinned: Vec<&str> = include_str!("data/subprotocols.txt").lines().collect();
    assert_eq!([CALL_PROTOCOL, SIGNAL_PROTOCOL].as_slice(), pinned);
}
