//! Feeds arbitrary and damaged bytes: nothing panics, and no more is buffered than the limits allow.

use lilacpitch_protocol::frame::*;
use lilacpitch_protocol::message::call::{FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use lilacpitch_protocol::{handshake, http};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

/// Feeds bytes in chunks, as sockets deliver them; returns the messages and the error that ended decoding, if
/// any.
fn decode_in_chunks(
    decoder: &mut Decoder,
    bytes: &[u8],
    chunk_bytes: usize,
) -> (Vec<Message>, Option<FrameError>) {
    let mut messages = Vec::new();
    for chunk in bytes.chunks(chunk_bytes.max(1)) {
        decoder.feed(chunk);
        loop {
            match decoder.next() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
        // A partial message, a frame that is not complete, and its header of at most 14 bytes.
        let buffered = decoder.buffered_bytes();
        assert!(buffered <= 2 * MAX_MESSAGE_BYTES + 14 + chunk_bytes, "{buffered} bytes buffered");
    }
    (messages, None)
}

#[test]
fn arbitrary_bytes_never_panic_nor_exceed_the_buffer_limit() {
    let bytes = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..600),
        // Plausible frame headers, so that deeper states of the decoder are reached.
        proptest::collection::vec(
            prop_oneof![Just(0x81u8), Just(0x01), Just(0x00), Just(0x80), Just(0xfe), 0..9u8],
            0..600
        ),
    ];
    runner(1_500)
        .run(&(bytes, 1..50usize, any::<bool>()), |(bytes, chunk_bytes, is_server)| {
            let role = if is_server { Role::Server } else { Role::Client };
            let (_, chunked) = decode_in_chunks(&mut Decoder::new(role), &bytes, chunk_bytes);
            let (_, whole) = decode_in_chunks(&mut Decoder::new(role), &bytes, 600);
            prop_assert_eq!(chunked.is_some(), whole.is_some(), "the chunk size must not change the result");
            let _ = http::request(&bytes);
            let _ = http::response(&bytes);
            if let Ok(text) = std::str::from_utf8(&bytes) {
                let _ = (FromCaller::decode(text), ToCaller::decode(text));
                let _ = (FromServer::decode(text), ToServer::decode(text));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn decodes_encoded_frames_with_any_chunk_size() {
    let text = proptest::collection::vec(any::<char>(), 0..5_000).prop_map(String::from_iter);
    runner(200)
        .run(
            &(text, any::<[u8; 4]>(), 1..3_000usize, any::<bool>()),
            |(text, key, chunk_bytes, is_server)| {
                let (role, mask) = if is_server { (Role::Server, Some(key)) } else { (Role::Client, None) };
                let mut bytes = Vec::new();
                Encoder::text(&mut bytes, &text, mask);
                Encoder::ping(&mut bytes, b"ping", mask);
                Encoder::close(&mut bytes, CloseCode::NORMAL, &text, mask);
                let (messages, error) = decode_in_chunks(&mut Decoder::new(role), &bytes, chunk_bytes);
                if text.len() > MAX_MESSAGE_BYTES {
                    prop_assert_eq!(error, Some(FrameError::TooBig));
                    return Ok(());
                }
                prop_assert_eq!(error, None);
                prop_assert_eq!(&messages[0], &Message::Text(text.clone()));
                prop_assert_eq!(&messages[1], &Message::Ping(b"ping".to_vec()));
                let Message::Close(Some((CloseCode::NORMAL, reason))) = &messages[2] else {
                    return Err(TestCaseError::fail("no close frame"));
                };
                prop_assert!(text.starts_with(reason.as_str()));
                Ok(())
            },
        )
        .unwrap();
}

/// Builds a frame byte by byte, so that frames which the encoder never writes can be fed as well.
fn raw_frame(first_byte: u8, payload: &[u8], mask: Option<[u8; 4]>) -> Vec<u8> {
    assert!(payload.len() < 126);
    let mut bytes = vec![first_byte, payload.len() as u8 | if mask.is_some() { 0x80 } else { 0 }];
    bytes.extend(mask.into_iter().flatten());
    bytes.extend(payload.iter().enumerate().map(|(index, byte)| byte ^ mask.map_or(0, |key| key[index % 4])));
    bytes
}

#[test]
fn reports_each_framing_violation_with_its_close_code() {
    let mask = Some([1, 2, 3, 4]);
    let mut oversized_control = vec![0x89, 0xfe];
    oversized_control.extend(126u16.to_be_bytes());
    let mut overlong_length = vec![0x81, 0xfe];
    overlong_length.extend(5u16.to_be_bytes());
    let mut length_over_63_bits = vec![0x82, 0xff];
    length_over_63_bits.extend(u64::MAX.to_be_bytes());
    let mut oversized_message = vec![0x82, 0xff];
    oversized_message.extend((1u64 << 40).to_be_bytes());
    let interrupted_message = [raw_frame(0x01, b"a", mask), raw_frame(0x81, b"b", mask)].concat();
    let too_many_fragments =
        [vec![raw_frame(0x01, b"", mask)], vec![raw_frame(0x00, b"", mask); 300]].concat().concat();
    let cases = [
        (raw_frame(0xc1, b"", mask), FrameError::Reserved, 1002),
        (raw_frame(0x83, b"", mask), FrameError::Opcode(3), 1002),
        (raw_frame(0x81, b"x", None), FrameError::Mask, 1002),
        (overlong_length, FrameError::Length, 1002),
        (length_over_63_bits, FrameError::Length, 1002),
        (oversized_message, FrameError::TooBig, 1009),
        (raw_frame(0x09, b"", mask), FrameError::Control, 1002),
        (oversized_control, FrameError::Control, 1002),
        (raw_frame(0x80, b"", mask), FrameError::Fragments, 1002),
        (interrupted_message, FrameError::Fragments, 1002),
        (too_many_fragments, FrameError::TooManyFragments, 1008),
        (raw_frame(0x81, &[0xff], mask), FrameError::Utf8, 1007),
        (raw_frame(0x88, &[3], mask), FrameError::Close, 1002),
        (raw_frame(0x88, &1005u16.to_be_bytes(), mask), FrameError::Close, 1002),
        (raw_frame(0x88, &[3, 0xe8, 0xff], mask), FrameError::Close, 1002),
    ];
    for (bytes, error, code) in cases {
        let mut decoder = Decoder::new(Role::Server);
        let (_, found) = decode_in_chunks(&mut decoder, &bytes, 7);
        assert_eq!(found.as_ref(), Some(&error), "{bytes:02x?}");
        assert_eq!(error.close_code(), CloseCode(code));
        decoder.feed(&raw_frame(0x81, b"more", mask));
        assert_eq!(decoder.next(), Err(error), "no message after an error");
    }
    let (messages, error) =
        decode_in_chunks(&mut Decoder::new(Role::Client), &raw_frame(0x81, b"x", mask), 9);
    assert_eq!((messages, error), (vec![], Some(FrameError::Mask)), "a server's frames must have no mask");
}

#[test]
fn accepts_control_frames_between_fragments() {
    let mask = Some([9, 8, 7, 6]);
    let whole = "grün über".as_bytes();
    // Fragments end within a character: only the whole message must be UTF-8.
    let bytes = [
        raw_frame(0x01, &whole[..3], mask),
        raw_frame(0x89, b"?", mask),
        raw_frame(0x00, &whole[3..7], mask),
        raw_frame(0x80, &whole[7..], mask),
        raw_frame(0x88, b"", mask),
        raw_frame(0x81, b"after the close", mask),
    ];
    let (messages, error) = decode_in_chunks(&mut Decoder::new(Role::Server), &bytes.concat(), 4);
    assert_eq!(error, None);
    let text = Message::Text("grün über".into());
    assert_eq!(messages, vec![Message::Ping(b"?".to_vec()), text, Message::Close(None)]);
}

#[test]
fn parses_only_complete_and_valid_heads() {
    let good = b"GET /call HTTP/1.1\r\nHost: a\r\nUpgrade: h2c, WebSocket\r\n\r\nrest";
    for length in 0..good.len() - 4 {
        assert_eq!(http::request(&good[..length]), Ok(None));
    }
    let (head, length) = http::request(good).unwrap().unwrap();
    assert_eq!((head.target.as_str(), length), ("/call", good.len() - 4));
    assert!(head.fields.lists("UPGRADE", "websocket"));
    let bad: [(&[u8], &str); 10] = [
        (b"GET /a HTTP/1.0\r\n\r\n", "start line: version is not HTTP/1.1"),
        (b"GET  /a HTTP/1.1\r\n\r\n", "start line: not 'method target version'"),
        (b"G\x01T /a HTTP/1.1\r\n\r\n", "start line: control character"),
        (b"GET /\xc3\xa9 HTTP/1.1\r\n\r\n", "start line: target is empty or not visible ASCII"),
        (b"GET /\xff HTTP/1.1\r\n\r\n", "start line: head is not UTF-8"),
        (b"GET /a HTTP/1.1\r\nHost a\r\n\r\n", "field line 1: no colon"),
        (b"GET /a HTTP/1.1\r\nHost : a\r\n\r\n", "field line 1: name is no token"),
        (b"GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "field line 2: folded line"),
        (b"GET /a HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "field line 1: control character in the value"),
        (b"HTTP/1.1 101 x\r\n\r\n", "start line: method is no token"),
    ];
    for (bytes, error) in bad {
        assert_eq!(http::request(bytes).unwrap_err().to_string(), error);
    }
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(http::MAX_FIELDS + 1));
    assert_eq!(http::request(many.as_bytes()), Err(http::HeadError::TooManyFields));
    assert_eq!(http::request(&[b'a'; http::MAX_HEAD_BYTES]), Err(http::HeadError::TooLong));
    assert!(http::response(b"HTTP/1.1 1O1 x\r\n\r\n").is_err());
}

#[test]
fn handshake_follows_the_rfc_in_both_roles() {
    // The example of RFC 6455 section 1.3.
    let key = "dGhlIHNhbXBsZSBub25jZQ==";
    assert_eq!(handshake::accept_key(key), "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=");
    let client_request = handshake::client_request("h:1", "/call", key, handshake::CALL_PROTOCOL);
    let (request, _) = http::request(&client_request).unwrap().unwrap();
    let answer = handshake::server_answer(&request, handshake::CALL_PROTOCOL).unwrap();
    let (answer, _) = http::response(&answer).unwrap().unwrap();
    assert_eq!(handshake::check_answer(&answer, key, handshake::CALL_PROTOCOL), Ok(()));
    let other_key = handshake::key([7; 16]);
    assert!(handshake::check_answer(&answer, &other_key, handshake::CALL_PROTOCOL).is_err());
    assert!(handshake::check_answer(&answer, key, handshake::SIGNAL_PROTOCOL).is_err());
    let error_with = |from: &str, to: &str| {
        let text = String::from_utf8(client_request.clone()).unwrap().replace(from, to);
        let (request, _) = http::request(text.as_bytes()).unwrap().unwrap();
        handshake::server_answer(&request, handshake::CALL_PROTOCOL).unwrap_err().to_string()
    };
    assert!(error_with("GET", "POST").contains("method"));
    assert!(error_with("Version: 13", "Version: 8").contains("13"));
    assert!(error_with("Host", "Most").contains("Host"));
    assert!(error_with("Upgrade: websocket", "Upgrade: h2c").contains("Upgrade"));
    assert!(error_with(key, "c2hvcnQ=").contains("16 bytes"));
    assert!(error_with("call.1", "call.2").contains("was not offered"));
}
