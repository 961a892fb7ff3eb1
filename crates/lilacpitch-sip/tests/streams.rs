//! Decoding does not depend on how a stream is split into reads, never panics, and enforces the size limits.

use lilacpitch_sip::{Decoder, Message, SipError, MAX_MESSAGE_BYTES};
use proptest::prelude::*;

/// Decodes a stream that arrives in reads of `read_size` bytes: its messages, and the error that ended it.
fn decode(bytes: &[u8], read_size: usize) -> (Vec<Message>, Option<SipError>) {
    let (mut decoder, mut messages) = (Decoder::default(), Vec::new());
    for chunk in bytes.chunks(read_size) {
        decoder.feed(chunk);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
    }
    (messages, None)
}

fn invite(length_field: &str, body: &str) -> String {
    format!("INVITE sip:17@net SIP/2.0\r\nCall-ID: a1\r\nCSeq: 1 INVITE\r\n{length_field}\r\n{body}")
}

#[test]
fn splits_messages_by_their_length() {
    let stream = invite("Content-Length: 5\r\n", "hello") + "\r\n\r\n" + &invite("l: 0\r\n", "");
    let (messages, error) = decode(stream.as_bytes(), 1);
    assert_eq!(error, None);
    let bodies: Vec<_> = messages
        .iter()
        .map(|message| match message {
            Message::Request(request) => (request.user(), &request.body[..]),
            Message::Response(_) => panic!("expected requests only"),
        })
        .collect();
    assert_eq!(bodies, [(Some("17"), &b"hello"[..]), (Some("17"), &b""[..])]);
}

#[test]
fn rejects_an_invalid_length_when_the_head_is_parsed() {
    for (length_field, expected_status) in [
        ("Content-Length: -1\r\n", Some(400)),
        ("Content-Length: +1\r\n", Some(400)),
        ("Content-Length: \r\n", Some(400)),
        ("Content-Length: 1\r\nl: 1\r\n", Some(400)),
        ("", Some(400)),
        ("Content-Length: 3000000000\r\n", Some(413)),
        ("Content-Length: 18446744073709551616\r\n", Some(413)),
        ("no colon\r\n", None),
    ] {
        let (messages, error) = decode(invite(length_field, "").as_bytes(), 4096);
        let error = error.unwrap_or_else(|| panic!("{length_field:?} was accepted"));
        assert_eq!(
            (messages.len(), error.final_response().map(|(status, ..)| status)),
            (0, expected_status),
            "{length_field:?}"
        );
    }
}

#[test]
fn response_copies_the_required_fields_but_not_an_invalid_call_id() {
    let text = "OPTIONS sip:ping@net SIP/2.0\r\nVia: one\r\nVia: two\r\nCall-ID: a b\r\nCSeq: 9 OPTIONS\r\n\
                Content-Length: 0\r\n\r\n";
    let (messages, _) = decode(text.as_bytes(), 7);
    let Some(Message::Request(request)) = messages.first() else { panic!("no request") };
    assert_eq!(
        String::from_utf8(request.encode_response(200, "OK")).unwrap(),
        "SIP/2.0 200 OK\r\nVia: one\r\nVia: two\r\nCSeq: 9 OPTIONS\r\nContent-Length: 0\r\n\r\n"
    );
}

proptest! {
    #[test]
    fn decodes_the_same_messages_for_any_read_size(
        noise in proptest::collection::vec(any::<u8>(), 0..300),
        body in "[a-z\r\n]{0,40}",
        noise_position in 0usize..200,
        read_size in 1usize..50,
    ) {
        let length_field = format!("Content-Length: {}\r\n", body.len());
        let mut bytes = [invite(&length_field, &body), invite(&length_field, &body)].concat().into_bytes();
        let position = noise_position.min(bytes.len());
        bytes.splice(position..position, noise);
        prop_assert_eq!(decode(&bytes, read_size), decode(&bytes, bytes.len().max(1)));
    }

    #[test]
    fn rejects_a_head_without_end_at_the_limit(byte in any::<u8>()) {
        let (_, error) = decode(&vec![byte; 3 * MAX_MESSAGE_BYTES], 1024);
        // Line ends before a start line are discarded, so a stream of them never exceeds the limit.
        prop_assert_eq!(error.is_none(), matches!(byte, b'\r' | b'\n'));
    }
}
