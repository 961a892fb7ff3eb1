//! Compatibility of the SIP wire format: the bytes that a front node writes, and what it decodes from
//! recorded bytes.
//!
//! Callers are third-party programs, so the names and order of fields and the fixed parts of each message
//! must not change. Each data file is a stream of complete messages with CRLF line ends.

use lilacpitch_sip::{Decoder, Message, Request, Response};

const CALLER_STREAM: &[u8] = include_bytes!("data/caller_stream.sip");
const RESPONSE_STREAM: &[u8] = include_bytes!("data/response_stream.sip");
const FRONT_STREAM: &[u8] = include_bytes!("data/front_stream.sip");

/// Decodes a stream of complete messages.
fn decode_all(bytes: &[u8]) -> Vec<Message> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    let messages = std::iter::from_fn(|| decoder.next_message().unwrap()).collect();
    assert!(!decoder.has_partial_message(), "bytes remain after the last message");
    messages
}

fn caller_requests() -> Vec<Request> {
    let into_request = |message| match message {
        Message::Request(request) => request,
        Message::Response(response) => panic!("not a request: {response:?}"),
    };
    decode_all(CALLER_STREAM).into_iter().map(into_request).collect()
}

/// One message of each kind that the encoders write, in the order of the pinned stream. The additional field
/// of the rejection is an example: a front node sends `P-Gap-Ms` there.
fn encoded_messages() -> Vec<Vec<u8>> {
    let requests = caller_requests();
    let copied_fields = requests[0].copied_fields();
    let retry_after = ("Retry-After", "2".to_string());
    vec![
        Response::encode(200, "OK", &copied_fields, &[], b"c=IN IP4 10.0.0.9\r\n"),
        Response::encode(503, "Service Unavailable", &copied_fields, &[retry_after], &[]),
        requests[0].encode_response(400, "Bad Call-ID"),
        requests[1].encode_response(200, "OK"),
        requests[2].encode_response(405, "Method Not Allowed"),
        Request::encode_bye("00000000000000a1", 16),
        Request::encode_bye("00000000000000a2", 41),
    ]
}

#[test]
fn encodes_every_kind_of_message_as_pinned() {
    let encoded = encoded_messages().concat();
    assert_eq!(String::from_utf8_lossy(&encoded), String::from_utf8_lossy(FRONT_STREAM));
    assert_eq!(encoded, FRONT_STREAM);
}

#[test]
fn decodes_requests_as_pinned() {
    let decoded: Vec<_> = caller_requests()
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
    assert_eq!(decoded, expected);
}

#[test]
fn decodes_responses_as_pinned() {
    let expected = [
        Message::Response(Response {
            status: 200,
            call_id: Some("00000000000000a1".into()),
            cseq: "2 BYE".into(),
        }),
        Message::Response(Response { status: 481, call_id: None, cseq: String::new() }),
    ];
    assert_eq!(decode_all(RESPONSE_STREAM), expected);
}

#[test]
fn decodes_what_a_front_node_sends_as_pinned() {
    let decoded = decode_all(FRONT_STREAM);
    let statuses: Vec<Option<u16>> = decoded
        .iter()
        .map(|message| match message {
            Message::Response(response) => Some(response.status),
            Message::Request(_) => None,
        })
        .collect();
    assert_eq!(statuses, [Some(200), Some(503), Some(400), Some(200), Some(405), None, None]);
}
