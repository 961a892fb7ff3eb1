//! Pins the bytes of requests and responses as a front node writes them, and what is read from pinned bytes.
//!
//! Callers are programs of others: field names, their order and the fixed parts of a message must stay as they
//! are. Each data file is a stream of whole messages, with CRLF line ends.

use lilacpitch_sip::{Decoder, Message, Request, Response};

const CALLER_STREAM: &[u8] = include_bytes!("data/caller_stream.sip");
const RESPONSE_STREAM: &[u8] = include_bytes!("data/response_stream.sip");
const FRONT_STREAM: &[u8] = include_bytes!("data/front_stream.sip");

/// The messages of a stream that must be read whole.
fn read_all(bytes: &[u8]) -> Vec<Message> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    let messages = std::iter::from_fn(|| decoder.next_message().unwrap()).collect();
    assert!(!decoder.has_partial_message(), "nothing is left over");
    messages
}

fn caller_requests() -> Vec<Request> {
    let request = |message| match message {
        Message::Request(request) => request,
        Message::Response(response) => panic!("not a request: {response:?}"),
    };
    read_all(CALLER_STREAM).into_iter().map(request).collect()
}

/// Each kind of message that a front node sends, in the order of the pinned stream.
fn written_messages() -> Vec<Vec<u8>> {
    let requests = caller_requests();
    let echo = requests[0].echo();
    let retry_after = ("Retry-After", "2".to_string());
    vec![
        Response::bytes(200, "OK", &echo, &[], b"c=IN IP4 10.0.0.9\r\n"),
        Response::bytes(503, "Service Unavailable", &echo, &[retry_after], &[]),
        requests[0].response(400, "Bad Call-ID"),
        requests[1].response(200, "OK"),
        requests[2].response(405, "Method Not Allowed"),
        Request::bye("00000000000000a1", 16),
        Request::bye("00000000000000a2", 41),
    ]
}

#[test]
fn writes_every_kind_of_message_as_pinned() {
    let written = written_messages().concat();
    assert_eq!(String::from_utf8_lossy(&written), String::from_utf8_lossy(FRONT_STREAM));
    assert_eq!(written, FRONT_STREAM);
}

#[test]
fn reads_requests_as_pinned() {
    let read: Vec<_> = caller_requests()
        .into_iter()
        .map(|request| {
            let field = |name: &str| request.fields.get(name).unwrap_or("").to_string();
            let fields = ["P-Kind", "P-Time-Left", "P-Path"].map(field);
            let body = String::from_utf8(request.body.clone()).unwrap();
            let user = request.user().unwrap_or("").to_string();
            (request.method, request.uri, user, request.call_id, request.cseq, fields, body)
        })
        .collect();
    let text = str::to_string;
    let none = ["", "", ""].map(text);
    let expected = [
        (
            text("INVITE"),
            text("sip:15550001@net"),
            text("15550001"),
            Some(text("00000000000000a1")),
            text("1 INVITE"),
            ["plain", "3000", "dest:2"].map(text),
            text("c=IN IP4 10.0.0.1\r\n"),
        ),
        (
            text("BYE"),
            text("sip:call@net"),
            text("call"),
            Some(text("00000000000000a2")),
            text("2 BYE"),
            none.clone(),
            text(""),
        ),
        (text("INFO"), text("tel:15550001"), text(""), None, text(""), none, text("")),
    ];
    assert_eq!(read, expected);
}

#[test]
fn reads_responses_as_pinned() {
    let expected = [
        Message::Response(Response {
            status: 200,
            call_id: Some("00000000000000a1".into()),
            cseq: "2 BYE".into(),
        }),
        Message::Response(Response { status: 481, call_id: None, cseq: String::new() }),
    ];
    assert_eq!(read_all(RESPONSE_STREAM), expected);
}

#[test]
fn reads_back_what_it_writes_as_pinned() {
    let read = read_all(FRONT_STREAM);
    let statuses: Vec<Option<u16>> = read
        .iter()
        .map(|message| match message {
            Message::Response(response) => Some(response.status),
            Message::Request(_) => None,
        })
        .collect();
    assert_eq!(statuses, [Some(200), Some(503), Some(400), Some(200), Some(405), None, None]);
}
