//! Random bytes in pieces of any size: the same messages, no panic, and never more retained than the limits allow.

use lilacpitch_sip::{Decoder, Message, SipError, MAX_MESSAGE_BYTES};
use proptest::prelude::*;

/// The messages of a stream that arrives in pieces of this size, and the error that ended it.
fn read(bytes: &[u8], piece: usize) -> (Vec<Message>, Option<SipError>) {
    let (mut decoder, mut messages) = (Decoder::default(), Vec::new());
    for part in bytes.chunks(piece) {
        decoder.feed(part);
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

fn invite(length: &str, body: &str) -> String {
    format!("INVITE sip:17@net SIP/2.0\r\nCall-ID: a1\r\nCSeq: 1 INVITE\r\n{length}\r\n{body}")
}

#[test]
fn splits_messages_by_their_length() {
    let two = invite("Content-Length: 5\r\n", "hello") + "\r\n\r\n" + &invite("l: 0\r\n", "");
    let (messages, error) = read(two.as_bytes(), 1);
    assert_eq!(error, None);
    let bodies: Vec<_> = messages
        .iter()
        .map(|message| match message {
            Message::Request(request) => (request.user(), &request.body[..]),
            Message::Response(_) => panic!("no response was sent"),
        })
        .collect();
    assert_eq!(bodies, [(Some("17"), &b"hello"[..]), (Some("17"), &b""[..])]);
}

#[test]
fn rejects_an_invalid_length_from_the_head() {
    for (length, answer) in [
        ("Content-Length: -1\r\n", Some(400)),
        ("Content-Length: +1\r\n", Some(400)),
        ("Content-Length: \r\n", Some(400)),
        ("Content-Length: 1\r\nl: 1\r\n", Some(400)),
        ("", Some(400)),
        ("Content-Length: 3000000000\r\n", Some(413)),
        ("Content-Length: 18446744073709551616\r\n", Some(413)),
        ("no colon\r\n", None),
    ] {
        let (messages, error) = read(invite(length, "").as_bytes(), 4096);
        let error = error.unwrap_or_else(|| panic!("{length:?} was accepted"));
        assert_eq!(
            (messages.len(), error.final_response().map(|(status, ..)| status)),
            (0, answer),
            "{length:?}"
        );
    }
}

#[test]
fn response_copies_the_required_fields_but_no_invalid_id() {
    let text = "OPTIONS sip:ping@net SIP/2.0\r\nVia: one\r\nVia: two\r\nCall-ID: a b\r\nCSeq: 9 OPTIONS\r\n\
                Content-Length: 0\r\n\r\n";
    let (messages, _) = read(text.as_bytes(), 7);
    let Some(Message::Request(request)) = messages.first() else { panic!("no request") };
    assert_eq!(
        String::from_utf8(request.response(200, "OK")).unwrap(),
        "SIP/2.0 200 OK\r\nVia: one\r\nVia: two\r\nCSeq: 9 OPTIONS\r\nContent-Length: 0\r\n\r\n"
    );
}

proptest! {
    #[test]
    fn pieces_of_any_size_give_the_same_messages(
        noise in proptest::collection::vec(any::<u8>(), 0..300),
        body in "[a-z\r\n]{0,40}",
        at in 0usize..200,
        piece in 1usize..50,
    ) {
        let head = format!("Content-Length: {}\r\n", body.len());
        let mut bytes = [invite(&head, &body), invite(&head, &body)].concat().into_bytes();
        let at = at.min(bytes.len());
        bytes.splice(at..at, noise);
        prop_assert_eq!(read(&bytes, piece), read(&bytes, bytes.len().max(1)));
    }

    #[test]
    fn endless_head_is_rejected_within_the_limit(byte in any::<u8>()) {
        let (_, error) = read(&vec![byte; 3 * MAX_MESSAGE_BYTES], 1024);
        // Line ends alone are no head, and are discarded.
        prop_assert_eq!(error.is_none(), matches!(byte, b'\r' | b'\n'));
    }
}
