//! Invalid input of callers: it is rejected with a status if the request is known, else the connection is
//! closed. It never results in a call.

use crate::process::Node;
use crate::standin::*;
use std::time::Instant;

/// Encodes an INVITE in which one line is replaced, given by its first characters.
fn invite_with(line: &str, replacement: &str) -> Vec<u8> {
    let text = String::from_utf8(invite(&id(5), "dest:0;width:1;via:-1", 3_000, BODY)).unwrap();
    let start = text.find(line).unwrap();
    let end = start + text[start..].find("\r\n").unwrap() + 2;
    format!("{}{replacement}{}", &text[..start], &text[end..]).into_bytes()
}

#[test]
fn rejects_invalid_fields_and_keeps_the_connection() {
    let (server, _node, mut caller) = Node::with_one_server();
    let invalid = [
        (invite_with("Call-ID", "Call-ID: xyz\r\n"), 400),
        (invite_with("Call-ID", "Call-ID: 00000000000000FF\r\n"), 400),
        (invite_with("Call-ID", ""), 400),
        (invite_with("P-Kind", "P-Kind: no-such-class\r\n"), 400),
        (invite_with("P-Kind", ""), 400),
        (invite_with("P-Time-Left", "P-Time-Left: -5\r\n"), 400),
        (invite_with("P-Time-Left", "P-Time-Left: 1e99\r\n"), 400),
        (invite_with("P-Time-Left", ""), 400),
        (invite_with("P-Path", "P-Path: dest:soon\r\n"), 400),
        (invite_with("P-Path", "P-Path: dest:99999999999999\r\n"), 400),
        (invite_with("P-Path", "P-Path: dest:0;width:NaN\r\n"), 400),
        (invite_with("P-Path", "P-Path: dest:0;width:1;via:nan\r\n"), 400),
        (invite_with("P-Path", "P-Path: dest:0;width:1;via:-inf\r\n"), 400),
        (invite_with("P-Path", "P-Path: dest:0;width:1;via:1e999\r\n"), 400),
        (invite_with("P-Path", "P-Path: ;;;no figure\r\n"), 400),
        (invite_with("INVITE", "INVITE sip:@net SIP/2.0\r\n"), 404),
        (invite_with("INVITE", "SUBSCRIBE sip:x@net SIP/2.0\r\n"), 405),
    ];
    for (bytes, status) in invalid {
        caller.send(&bytes);
        let message = caller.next();
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(message.and_then(|message| message.status()), Some(status), "{text}");
    }
    caller.request("BYE", &id(99));
    assert_eq!(caller.next().unwrap().status(), Some(481));
    assert_eq!(server.all_within(ms(100)).len(), 0, "an invalid request reached the server");
    caller.invite(&id(6), 0, 3_000);
    server.answer(&server.next("launch"), "there");
    assert_eq!(caller.next().unwrap().body, "there");
}

#[test]
fn answers_an_invalid_length_and_closes() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let cases = [
        ("Content-Length: -1\r\n", Some(400)),
        ("Content-Length: twelve\r\n", Some(400)),
        ("Content-Length: 7\r\nContent-Length: 8\r\n", Some(400)),
        ("Content-Length: 99999999999999999999\r\n", Some(413)),
        ("Content-Length: 60000000\r\n", Some(413)),
        ("", Some(400)),
        ("No colon here\r\n", None),
        (" folded: 1\r\n", None),
    ];
    for (line, status) in cases {
        let mut caller = node.caller();
        let start = Instant::now();
        caller.send(&invite_with("Content-Length", line));
        if status.is_some() {
            assert_eq!(caller.next().and_then(|message| message.status()), status, "{line:?}");
        }
        caller.wait_for_end();
        assert!(start.elapsed() < ms(3_000), "{line:?}: {:?}", start.elapsed());
    }
    assert_eq!(server.all_within(ms(100)).len(), 0, "an invalid request reached the server");
}

#[test]
fn closes_connections_with_noise_partial_messages_or_no_input_within_3_s() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let noise: Vec<u8> = (0..4000u32).map(|n| ((n * 7919) >> 3) as u8).collect();
    let endless_head = [b"INVITE sip:x@net SIP/2.0\r\n".to_vec(), vec![b'a'; 30_000]].concat();
    let partial_head = invite(&id(3), "dest:0", 3_000, BODY)[..120].to_vec();
    let partial_body = {
        let complete = invite(&id(4), "dest:0", 3_000, BODY);
        complete[..complete.len() - 5].to_vec()
    };
    let start = Instant::now();
    let callers: Vec<_> = [noise, endless_head, partial_head, partial_body, Vec::new()]
        .into_iter()
        .map(|bytes| {
            let mut caller = node.caller();
            caller.send(&bytes);
            caller
        })
        .collect();
    callers.iter().for_each(|caller| _ = caller.wait_for_end());
    assert!(start.elapsed() < ms(3_000), "{:?}", start.elapsed());
    assert_eq!(server.all_within(ms(100)).len(), 0, "an invalid request reached the server");
}

#[test]
fn keeps_the_connection_of_an_idle_verified_caller() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    server.answer(&server.next("launch"), "there");
    assert_eq!(caller.next().unwrap().body, "there");
    assert_eq!(caller.next_within(ms(3_500)), None);
    caller.invite(&id(2), 0, 3_000);
    server.answer(&server.next("launch"), "again");
    assert_eq!(caller.next().unwrap().body, "again");
}

#[test]
fn accepts_setup_that_arrived_during_a_stall() {
    let (server, node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    // These callers have 2 s to send their first request.
    let mut new_callers: Vec<_> = (0..8).map(|_| node.caller()).collect();
    std::thread::sleep(ms(50));
    node.while_suspended(|| {
        new_callers.iter_mut().zip(10..).for_each(|(caller, call)| caller.invite(&id(call), 0, 8_000));
        std::thread::sleep(ms(2_200));
    });
    for caller in &new_callers {
        // Some may be rejected, since little of their waiting time is left.
        if let Some(launch) = server.next_within("launch", ms(200)) {
            server.answer(&launch, "there");
        }
        assert!(caller.next().is_some_and(|message| message.status().is_some()), "closed without a response");
    }
}

#[test]
fn rejects_an_oversized_body_from_its_head() {
    let (_server, node, mut caller) = Node::with_one_server();
    caller.send(&invite_with("Content-Length", "Content-Length: 60000000\r\n"));
    assert_eq!(caller.next().and_then(|message| message.status()), Some(413), "not rejected before its body");
    let chunk = vec![b'x'; 1 << 20];
    let mut writer = caller.stream.try_clone().unwrap();
    std::thread::spawn(move || (0..60).all(|_| std::io::Write::write_all(&mut writer, &chunk).is_ok()));
    caller.wait_for_end();
    assert!(node.memory_mb() < 32, "{} MB", node.memory_mb());
}

/// Guards against lines of over 16 KiB: a set-up within that limit may be longer as a line of JSON.
#[test]
fn rejects_a_setup_that_is_too_long_as_a_line_of_json() {
    let (server, _node, mut caller) = Node::with_one_server();
    // Each of these characters is escaped by six.
    caller.send(&invite(&id(5), "dest:0;width:1;via:-1", 3_000, &"\u{1}".repeat(3_000)));
    assert_eq!(caller.next().and_then(|message| message.status()), Some(413));
    assert_eq!(server.all_within(ms(100)).len(), 0, "the set-up reached the server");
    caller.send(&invite(&id(6), "dest:0;width:1;via:-1", 3_000, &"\u{1}".repeat(2_000)));
    let launch = server.next("launch");
    assert!(launch.value.as_ref().unwrap().to_string().len() <= 16 * 1024);
    server.answer(&launch, "there");
    assert_eq!(caller.next().unwrap().body, "there");
}

#[test]
fn serves_others_during_a_flood_of_cancelled_setups() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (mut flooding, mut regular) = (node.caller(), node.caller());
    let mut flood = Vec::new();
    for call in 1000..1400 {
        flood.extend(invite(&id(call), "dest:0", 3_000, BODY));
        let cancel = format!(
            "CANCEL sip:x@net SIP/2.0\r\nCall-ID: {}\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n",
            id(call)
        );
        flood.extend(cancel.as_bytes());
    }
    flooding.send(&flood);
    regular.invite(&id(1), 0, 3_000);
    let launch = loop {
        let line = server.next("launch");
        if line.uid() == id(1) {
            break line;
        }
    };
    server.answer(&launch, "there");
    assert_eq!(regular.next().unwrap().body, "there");
    // A cancelled set-up gets no final response; its CANCEL may be answered with 481.
    let responses = flooding.all_within(ms(300));
    assert!(responses.iter().all(|message| message.status() != Some(200)), "{responses:?}");
}

#[test]
fn disconnects_a_caller_that_does_not_read() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    // A plain stream without a reader thread, so that responses are never read.
    let mut unread = std::net::TcpStream::connect(node.address).unwrap();
    unread.set_write_timeout(Some(TIMEOUT)).unwrap();
    // Valid requests, since a caller that sends only invalid ones is disconnected for these.
    let request = "OPTIONS sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\n\
                   Content-Length: 0\r\n\r\n";
    let flood = request.repeat(1_000);
    let until = Instant::now() + TIMEOUT;
    let mut is_disconnected = false;
    while !is_disconnected && Instant::now() < until {
        is_disconnected = std::io::Write::write_all(&mut unread, flood.as_bytes()).is_err();
    }
    assert!(is_disconnected, "not disconnected");
    let mut regular = node.caller();
    regular.invite(&id(1), 0, 3_000);
    server.answer(&server.next("launch"), "there");
    assert_eq!(regular.next().unwrap().body, "there");
    assert!(node.memory_mb() < 32, "{} MB", node.memory_mb());
}
