//! Bursts of messages for one caller: a caller that reads is never disconnected because much is sent to it at
//! once.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;
use std::collections::BTreeSet;

/// Establishes calls of one caller. Returns the connection of the last set-up.
fn establish_calls(server: &Server, caller: &mut Caller, calls: std::ops::Range<u64>) -> usize {
    calls.fold(0, |_, call| server.establish(caller, call).connection)
}

/// Receives messages until this number of calls is released. Panics if a release doesn't come within 1 s.
fn released_calls(caller: &Caller, count: usize) -> BTreeSet<String> {
    let mut released = BTreeSet::new();
    while released.len() < count {
        let message = caller.next_within(ms(1_000));
        let message = message.unwrap_or_else(|| panic!("{} of {count} calls are released", released.len()));
        assert!(message.is_bye(), "{message:?}");
        assert!(released.insert(message.call().to_string()), "released twice: {message:?}");
    }
    released
}

/// Guards against the loss of all callers when a server ends: the releases of its calls exceeded the limit of
/// one caller's queue before any of them could be written, and the caller was taken for one that doesn't read.
#[test]
fn releases_all_calls_of_a_lost_server_and_keeps_their_caller() {
    const CALLS: u64 = 600;
    let (lost, other) = (Server::start(), Server::start());
    let node = Node::start(&[&lost]);
    let mut caller = node.caller();
    establish_calls(&lost, &mut caller, 1..CALLS + 1);
    node.coordinator.publish(vec![target("s1", other.address, 1, "in_service", 0)]);
    lost.kill();
    assert_eq!(released_calls(&caller, CALLS as usize).len(), CALLS as usize);
    // Until the server is removed from the list, some set-ups may still be sent to it first.
    caller.invite(&id(CALLS + 1), 1, 3_000);
    other.answer(&other.next("launch"), "there");
    assert_eq!(caller.next().map(|message| message.body), Some("there".into()), "disconnected");
}

/// Guards against the same loss on the way of releases that wait for a caller: they exceeded the limit on the
/// connection of each caller that came, so that no later caller could be served.
#[test]
fn delivers_hundreds_of_waiting_releases_to_the_next_caller() {
    const CALLS: u64 = 600;
    let server = Server::start();
    let node = Node::start(&[&server]);
    let mut caller = node.caller();
    let connection = establish_calls(&server, &mut caller, 1..CALLS + 1);
    caller.close();
    std::thread::sleep(ms(200));
    (1..=CALLS).for_each(|call| server.stop(connection, &id(call), 16, json!({})));
    std::thread::sleep(ms(300));
    let mut next = node.caller();
    next.invite(&id(CALLS + 1), 0, 3_000);
    let launch = server.next("launch");
    assert_eq!(released_calls(&next, CALLS as usize).len(), CALLS as usize);
    server.answer(&launch, "there");
    assert_eq!(next.next().map(|message| message.body), Some("there".into()), "disconnected");
}

/// Guards against the same loss by answers: a server that answers many set-ups at once filled the queue of
/// their caller.
#[test]
fn passes_on_a_burst_of_answers_with_long_descriptions() {
    const CALLS: u64 = 40;
    let server = Server::start();
    let node = Node::start(&[&server]);
    let mut caller = node.caller();
    // The module sends a server that it doesn't know few set-ups at a time.
    let description = "a=candidate:1 1 UDP 2122252543 127.0.0.1 31000 typ host\r\n".repeat(200);
    establish_calls(&server, &mut caller, 1000..1200);
    let mut answered = 0;
    for round in 0..10 {
        let mut burst: std::collections::BTreeMap<usize, String> = Default::default();
        (0..CALLS).for_each(|call| caller.invite(&id(1 + round * CALLS + call), 0, 3_000));
        while let Some(launch) = server.next_within("launch", ms(50)) {
            let answer =
                json!({"kind": "running", "uid": launch.uid(), "meta": {}, "body": description.clone()});
            burst.entry(launch.connection).or_default().push_str(&format!("{answer}\n"));
            answered += 1;
        }
        burst.iter().for_each(|(connection, lines)| server.write(*connection, lines.as_bytes()));
        for _ in 0..CALLS {
            let message = caller.next().expect("disconnected");
            assert!(message.status() != Some(200) || message.body == description, "{message:?}");
        }
    }
    assert!(answered > 5 * CALLS, "{answered} set-ups sent");
}
