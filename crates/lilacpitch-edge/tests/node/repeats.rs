//! The same id, and the same caller, again.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;
use std::time::Instant;

/// Asks under this id until it is taken; how long it was refused for being in use.
fn taken_again(server: &Server, caller: &mut Caller, call: u64) -> std::time::Duration {
    let from = Instant::now();
    loop {
        caller.invite(&id(call), 0, 3_000);
        if let Some(launch) = server.within("launch", ms(20)) {
            server.answer(&launch, "again");
            assert_eq!(caller.next().unwrap().body, "again");
            return from.elapsed();
        }
        assert_eq!(caller.next().unwrap().status(), Some(482), "in use");
        assert!(from.elapsed() < SOON, "in use for ever");
    }
}

#[test]
fn an_id_is_in_use_until_the_ends_of_its_last_call_have_come() {
    let (server, _node, mut caller) = Node::with_one_server();
    let stands = server.stands(&mut caller, 1);
    server.stop(stands.conn, &id(1), 16, json!({}));
    assert!(caller.next().unwrap().is_bye());
    // An end of the former call, told twice, must not end the next one under its id.
    let rested = taken_again(&server, &mut caller, 1);
    assert!(rested >= ms(250), "the release time: {rested:?}");
    assert_eq!(caller.within(ms(200)), None, "it stands");
    // And after its caller released it.
    caller.request("BYE", &id(1));
    assert_eq!(caller.next().unwrap().status(), Some(200));
    server.next("stop");
    assert!(taken_again(&server, &mut caller, 1) >= ms(250));
}

#[test]
fn a_caller_that_was_refused_and_comes_again_is_a_call_of_its_own() {
    let (server, _node, mut caller) = Node::with_one_server();
    for call in 1..=6 {
        caller.invite(&id(call), 0, 3_000);
        let launch = server.next("launch");
        if call % 2 == 1 {
            server.stop(launch.conn, &id(call), 17, json!({"note": "busy"}));
            let refused = caller.next().unwrap();
            assert!(refused.status() >= Some(480) && refused.call() == id(call), "{refused:?}");
            // The number rests for 1.5 s; one that comes in between is refused at once, and alone.
            caller.invite(&id(100 + call), 0, 3_000);
            let again = caller.next().unwrap();
            assert!(again.status() >= Some(480) && again.call() == id(100 + call), "{again:?}");
            std::thread::sleep(ms(1_600));
        } else {
            server.answer(&launch, "there");
            assert_eq!(caller.next().unwrap().call(), id(call));
        }
    }
}

#[test]
fn a_second_answer_some_milliseconds_late_touches_no_later_attempt() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    // Answer and release in one read, and both again.
    let twice = format!(
        "{}\n{}\n",
        json!({"kind": "running", "uid": id(1), "meta": {}, "body": "there"}),
        json!({"kind": "stop", "uid": id(1), "meta": {}, "reason": 16})
    );
    server.write(launch.conn, twice.as_bytes());
    server.write(launch.conn, twice.as_bytes());
    let heard = caller.all_within(ms(300));
    assert_eq!(heard.len(), 2, "{heard:?}");
    assert!(heard[0].body == "there" && heard[1].is_bye());
    assert!(server.all_within(ms(100)).is_empty(), "nothing is owed there");
    server.stands(&mut caller, 2);
}
