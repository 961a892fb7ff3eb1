//! The same id, and the same caller, again.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;
use std::time::Instant;

/// Asks under this id until it is taken; how long it was refused for being in use.
fn retry_until_accepted(server: &Server, caller: &mut Caller, call: u64) -> std::time::Duration {
    let from = Instant::now();
    loop {
        caller.invite(&id(call), 0, 3_000);
        if let Some(launch) = server.next_within("launch", ms(20)) {
            server.answer(&launch, "again");
            assert_eq!(caller.next().unwrap().body, "again");
            return from.elapsed();
        }
        assert_eq!(caller.next().unwrap().status(), Some(482), "in use");
        assert!(from.elapsed() < TIMEOUT, "in use for ever");
    }
}

#[test]
fn keeps_id_in_use_for_the_release_time() {
    let (server, _node, mut caller) = Node::with_one_server();
    let establish = server.establish(&mut caller, 1);
    server.stop(establish.connection, &id(1), 16, json!({}));
    assert!(caller.next().unwrap().is_bye());
    // An end of the former call, told twice, must not end the next one under its id.
    let in_use_for = retry_until_accepted(&server, &mut caller, 1);
    assert!(in_use_for >= ms(250), "the release time: {in_use_for:?}");
    assert_eq!(caller.next_within(ms(200)), None, "it stands");
    // And after its caller released it.
    caller.request("BYE", &id(1));
    assert_eq!(caller.next().unwrap().status(), Some(200));
    server.next("stop");
    assert!(retry_until_accepted(&server, &mut caller, 1) >= ms(250));
}

#[test]
fn treats_retry_of_a_rejected_caller_as_a_new_call() {
    let (server, _node, mut caller) = Node::with_one_server();
    for call in 1..=6 {
        caller.invite(&id(call), 0, 3_000);
        let launch = server.next("launch");
        if call % 2 == 1 {
            server.stop(launch.connection, &id(call), 17, json!({"note": "busy"}));
            let rejected = caller.next().unwrap();
            assert!(rejected.status() >= Some(480) && rejected.call() == id(call), "{rejected:?}");
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
fn ignores_repeated_answer_and_release() {
    let (server, _node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 3_000);
    let launch = server.next("launch");
    // Answer and release in one read, and both again.
    let twice = format!(
        "{}\n{}\n",
        json!({"kind": "running", "uid": id(1), "meta": {}, "body": "there"}),
        json!({"kind": "stop", "uid": id(1), "meta": {}, "reason": 16})
    );
    server.write(launch.connection, twice.as_bytes());
    server.write(launch.connection, twice.as_bytes());
    let received = caller.all_within(ms(300));
    assert_eq!(received.len(), 2, "{received:?}");
    assert!(received[0].body == "there" && received[1].is_bye());
    assert!(server.all_within(ms(100)).is_empty(), "nothing is owed there");
    server.establish(&mut caller, 2);
}
