//! Reuse of call ids, retries of rejected callers, and repeated messages of servers.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;
use std::time::Instant;

/// Sends set-ups with this id until one is accepted. Returns for how long the id was in use.
fn retry_until_accepted(server: &Server, caller: &mut Caller, call: u64) -> std::time::Duration {
    let start = Instant::now();
    loop {
        caller.invite(&id(call), 0, 3_000);
        // Each set-up is either sent to the server or rejected; how soon depends on the machine.
        let rejection = loop {
            if let Some(launch) = server.next_within("launch", ms(5)) {
                server.answer(&launch, "again");
                assert_eq!(caller.next().unwrap().body, "again");
                return start.elapsed();
            }
            if let Some(rejection) = caller.next_within(ms(5)) {
                break rejection;
            }
            assert!(start.elapsed() < TIMEOUT, "neither sent nor rejected");
        };
        assert_eq!(rejection.status(), Some(482));
        assert!(start.elapsed() < TIMEOUT, "the id stays in use");
    }
}

#[test]
fn keeps_id_in_use_for_the_release_time() {
    let (server, _node, mut caller) = Node::with_one_server();
    let established = server.establish(&mut caller, 1);
    server.stop(established.connection, &id(1), 16, json!({}));
    assert!(caller.next().unwrap().is_bye());
    // A repeated end of the former call must not end the next call with the same id.
    let in_use_for = retry_until_accepted(&server, &mut caller, 1);
    assert!(in_use_for >= ms(250), "shorter than the release time: {in_use_for:?}");
    assert_eq!(caller.next_within(ms(200)), None, "the call was ended");
    // The same holds after a release by the caller.
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
            // The dialled number counts as busy for 1.5 s, so another call to it is rejected at once.
            caller.invite(&id(100 + call), 0, 3_000);
            let second = caller.next().unwrap();
            assert!(second.status() >= Some(480) && second.call() == id(100 + call), "{second:?}");
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
    // The answer and the end arrive in one read, and then both again.
    let answer_and_end = format!(
        "{}\n{}\n",
        json!({"kind": "running", "uid": id(1), "meta": {}, "body": "there"}),
        json!({"kind": "stop", "uid": id(1), "meta": {}, "reason": 16})
    );
    server.write(launch.connection, answer_and_end.as_bytes());
    server.write(launch.connection, answer_and_end.as_bytes());
    let received = caller.all_within(ms(300));
    assert_eq!(received.len(), 2, "{received:?}");
    assert!(received[0].body == "there" && received[1].is_bye());
    assert!(server.all_within(ms(100)).is_empty(), "a message was sent to the server");
    server.establish(&mut caller, 2);
}
