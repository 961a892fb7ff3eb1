//! Attempts and answers belong together by server, connection and id.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;

#[test]
fn a_set_up_passes_unchanged_and_so_does_the_description_of_its_answer() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    let value = launch.value.clone().unwrap();
    assert_eq!((launch.uid(), &value["body"]), (id(1), &json!(BODY)));
    assert_eq!(
        (&value["meta"]["class"], &value["meta"]["key"]),
        (&json!("plain"), &json!("7f3a9c21e0b4d655"))
    );
    let left: u64 = value["meta"]["left"].as_str().unwrap().parse().unwrap();
    assert!((1_000..=3_000).contains(&left), "{left}");
    server.answer(&launch, "v=0\r\n\u{e4} \"\\ end");
    let said = caller.next().unwrap();
    assert_eq!((said.status(), said.call(), &said.fields["cseq"][..]), (Some(200), &id(1)[..], "1 INVITE"));
    assert_eq!((&said.body[..], &said.fields["via"][..]), ("v=0\r\n\u{e4} \"\\ end", "SIP/2.0/TCP peer"));
    server.stop(launch.conn, &id(1), 16, json!({}));
    let bye = caller.next().unwrap();
    assert!(bye.is_bye() && bye.call() == id(1), "{bye:?}");
    assert_eq!(bye.fields["reason"], "Q.850;cause=16");
}

#[test]
fn what_cannot_be_set_up_is_refused_at_once_with_a_time_to_come_back() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    // Full for longer than the call may be held here.
    server.stop(launch.conn, &id(1), 34, json!({"note": "ovl", "waited": 5000}));
    let said = caller.next().unwrap();
    assert_eq!(said.status(), Some(503));
    let gap: u64 = said.fields["p-gap-ms"].parse().unwrap();
    assert!((1..=2_000).contains(&gap), "{gap}");
    assert!(launch.at.elapsed() < ms(2_500), "not sat on: {:?}", launch.at.elapsed());
    assert_eq!(caller.all_within(ms(300)), vec![], "one final answer");
}

#[test]
fn a_late_answer_to_an_attempt_that_was_given_up_is_released_and_not_shown() {
    let (server, _node, mut caller) = Node::with_one_server();
    // A server that answers at once is not silent for one set-up that it loses: that one is tried there again.
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
    // Given up, and tried again after the release time on another connection.
    let given_up = server.next("stop");
    assert_eq!((given_up.uid(), given_up.conn), (id(1), first.conn));
    let second = server.next("launch");
    assert!(second.at - given_up.at >= ms(290), "the release is awaited: {:?}", second.at - given_up.at);
    assert_ne!(second.conn, first.conn, "or its answer could not be told from the first one's");
    server.answer(&first, "late");
    assert_eq!(caller.within(ms(300)), None, "the late answer is not this attempt's");
    server.answer(&second, "right");
    assert_eq!(caller.next().unwrap().body, "right");
    assert!(!server.all_within(ms(300)).iter().any(|l| l.kind() == "stop"), "what stands is not released");
}

#[test]
fn an_answer_after_the_caller_gave_up_is_released_at_its_server() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    caller.request("CANCEL", &id(1));
    assert_eq!(server.next("stop").uid(), id(1));
    server.answer(&launch, "late");
    let released = server.next("stop");
    assert_eq!((released.uid(), released.value.unwrap()["reason"].clone()), (id(1), json!(16)));
    assert!(caller.all_within(ms(300)).iter().all(|said| said.status() != Some(200)));
}

#[test]
fn second_copies_and_answers_ahead_change_nothing() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    server.say(launch.conn, json!({"kind": "running", "uid": id(77), "meta": {}, "body": "ahead"}));
    server.answer(&launch, "one");
    server.answer(&launch, "two");
    let answers = caller.all_within(ms(400));
    assert_eq!(answers.iter().map(|said| &said.body[..]).collect::<Vec<_>>(), ["one"]);
    assert_eq!(server.all_within(ms(200)).len(), 0, "neither is released");
    server.stop(launch.conn, &id(1), 16, json!({}));
    server.stop(launch.conn, &id(1), 16, json!({}));
    assert_eq!(caller.all_within(ms(400)).iter().filter(|said| said.is_bye()).count(), 1);
}

#[test]
fn a_second_invite_under_an_open_id_does_not_touch_the_first() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (mut caller, mut other) = (node.caller(), node.caller());
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    other.send(&invite(&id(1), "dest:0", 3_000, "another description"));
    assert_eq!(other.next().unwrap().status(), Some(482));
    other.request("CANCEL", &id(1));
    assert_eq!(other.next().unwrap().status(), Some(481), "nor may it be given up from there");
    assert_eq!(server.all_within(ms(200)).len(), 0);
    server.answer(&launch, "first");
    assert_eq!(caller.next().unwrap().body, "first");
    assert_eq!(other.within(ms(200)), None);
}
