//! Answers are matched to attempts by server, connection and call id.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;

#[test]
fn forwards_setup_and_answer_unchanged() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    let value = launch.value.clone().unwrap();
    assert_eq!((launch.uid(), &value["body"]), (id(1), &json!(BODY)));
    assert_eq!(
        (&value["meta"]["class"], &value["meta"]["key"]),
        (&json!("plain"), &json!("7f3a9c21e0b4d655"))
    );
    let left_ms: u64 = value["meta"]["left"].as_str().unwrap().parse().unwrap();
    assert!((1_000..=3_000).contains(&left_ms), "{left_ms}");
    server.answer(&launch, "v=0\r\n\u{e4} \"\\ end");
    let message = caller.next().unwrap();
    assert_eq!(
        (message.status(), message.call(), &message.fields["cseq"][..]),
        (Some(200), &id(1)[..], "1 INVITE")
    );
    assert_eq!(
        (&message.body[..], &message.fields["via"][..]),
        ("v=0\r\n\u{e4} \"\\ end", "SIP/2.0/TCP peer")
    );
    server.stop(launch.connection, &id(1), 16, json!({}));
    let bye = caller.next().unwrap();
    assert!(bye.is_bye() && bye.call() == id(1), "{bye:?}");
    assert_eq!(bye.fields["reason"], "Q.850;cause=16");
}

#[test]
fn rejects_with_retry_after_when_the_server_is_full() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    // The server is full for longer than the call may wait at the node.
    server.stop(launch.connection, &id(1), 34, json!({"note": "ovl", "waited": 5000}));
    let message = caller.next().unwrap();
    assert_eq!(message.status(), Some(503));
    let gap_ms: u64 = message.fields["p-gap-ms"].parse().unwrap();
    assert!((1..=2_000).contains(&gap_ms), "{gap_ms}");
    assert!(launch.at.elapsed() < ms(2_500), "rejected late: {:?}", launch.at.elapsed());
    assert_eq!(caller.all_within(ms(300)), vec![], "second message");
}

#[test]
fn releases_late_answer_to_a_cancelled_attempt() {
    let (server, _node, mut caller) = Node::with_one_server();
    // A server that answers other set-ups is not considered unresponsive when one times out, so that one is
    // retried there.
    for call in 10..20 {
        caller.invite(&id(call), 0, 3_000);
        server.answer(&server.next("launch"), "there");
        assert_eq!(caller.next().unwrap().body, "there");
    }
    caller.invite(&id(1), 0, 3_000);
    let first = server.next("launch");
    caller.invite(&id(2), 0, 3_000);
    server.answer(&server.next("launch"), "overtakes");
    assert_eq!(caller.next().unwrap().body, "overtakes");
    // The first set-up times out, and is retried on another connection after the release time.
    let cancelled = server.next("stop");
    assert_eq!((cancelled.uid(), cancelled.connection), (id(1), first.connection));
    let second = server.next("launch");
    assert!(
        second.at - cancelled.at >= ms(290),
        "retried before the release time: {:?}",
        second.at - cancelled.at
    );
    // Otherwise a late answer to the first attempt could not be distinguished from the answer to the second.
    assert_ne!(second.connection, first.connection);
    server.answer(&first, "late");
    assert_eq!(caller.next_within(ms(300)), None, "the late answer was taken for the second attempt's");
    server.answer(&second, "right");
    assert_eq!(caller.next().unwrap().body, "right");
    assert!(
        !server.all_within(ms(300)).iter().any(|line| line.kind() == "stop"),
        "the established call was released"
    );
}

#[test]
fn releases_answer_that_follows_the_callers_cancel() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    caller.request("CANCEL", &id(1));
    assert_eq!(server.next("stop").uid(), id(1));
    server.answer(&launch, "late");
    let released = server.next("stop");
    assert_eq!((released.uid(), released.value.unwrap()["reason"].clone()), (id(1), json!(16)));
    assert!(caller.all_within(ms(300)).iter().all(|message| message.status() != Some(200)));
}

#[test]
fn ignores_duplicate_and_early_answers() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    server
        .send_line(launch.connection, json!({"kind": "running", "uid": id(77), "meta": {}, "body": "early"}));
    server.answer(&launch, "one");
    server.answer(&launch, "two");
    let answers = caller.all_within(ms(400));
    assert_eq!(answers.iter().map(|message| &message.body[..]).collect::<Vec<_>>(), ["one"]);
    assert_eq!(server.all_within(ms(200)).len(), 0, "an ignored answer was released");
    server.stop(launch.connection, &id(1), 16, json!({}));
    server.stop(launch.connection, &id(1), 16, json!({}));
    assert_eq!(caller.all_within(ms(400)).iter().filter(|message| message.is_bye()).count(), 1);
}

#[test]
fn rejects_second_invite_under_an_open_id() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (mut caller, mut other) = (node.caller(), node.caller());
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    other.send(&invite(&id(1), "dest:0", 3_000, "another description"));
    assert_eq!(other.next().unwrap().status(), Some(482));
    other.request("CANCEL", &id(1));
    assert_eq!(other.next().unwrap().status(), Some(481), "cancelled by another caller");
    assert_eq!(server.all_within(ms(200)).len(), 0);
    server.answer(&launch, "first");
    assert_eq!(caller.next().unwrap().body, "first");
    assert_eq!(other.next_within(ms(200)), None);
}
