//! Drains and replacements, told by a coordinator that may break off or fall silent.

use crate::process::Node;
use crate::standin::*;
use std::time::{Duration, Instant};

/// Calls at server 0 until none arrives there any more; when the last did, from the given moment.
fn last_set_up(node: &Node, server: &Server, from: Instant, span: Duration) -> Option<Duration> {
    let mut caller = node.caller();
    let mut last = None;
    let mut call = 100;
    while from.elapsed() < span {
        caller.invite(&id(call), 0, 1_000);
        call += 1;
        if let Some(launch) = server.within("launch", ms(20)) {
            server.answer(&launch, "there");
            last = Some(launch.at.saturating_duration_since(from));
        }
    }
    last
}

pub fn drains(mood: Mood, at_most: Duration) {
    let (first, second) = (Server::start(), Server::start());
    let node = Node::start(&[&first, &second]);
    node.coordinator.mood(mood);
    if mood != Mood::Well {
        // The ask that is out ends, and the next meets the mood.
        std::thread::sleep(ms(2_000));
    }
    let told = Instant::now();
    node.coordinator.tell(vec![target("s0", first.address, 0, "terminating", 0)]);
    if mood == Mood::BreaksOff {
        std::thread::sleep(ms(500));
        assert!(node.coordinator.asks() > 3, "it asks again at once");
    }
    node.coordinator.mood(Mood::Well);
    let last = last_set_up(&node, &first, told, ms(4_000)).unwrap_or_default();
    assert!(last < at_most, "{mood:?}: a set-up {last:?} after it was told");
    assert!(second.within("launch", ms(50)).is_some(), "the other takes them");
}

#[test]
fn a_drain_is_kept_within_the_grace() {
    drains(Mood::Well, ms(500));
}

#[test]
fn a_drain_is_kept_though_the_coordinator_breaks_off_in_the_middle_of_events() {
    drains(Mood::BreaksOff, ms(1_500));
}

#[test]
fn a_drain_is_kept_though_the_coordinator_fell_silent() {
    // Counts as told 2 s after the end of the wait that was asked for; then the grace.
    drains(Mood::Silent, ms(4_000));
}

#[test]
fn what_waits_for_a_connection_is_not_sent_to_a_server_that_now_drains() {
    let (slow, other) = (silent_server(), Server::start());
    let targets =
        vec![target("s0", slow.0, 0, "in_service", 0), target("s1", other.address, 1, "in_service", 0)];
    let node = Node::spawn(Coordinator::start(vec![event(1, true, targets)]), 256);
    node.wait_ready();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    std::thread::sleep(ms(100));
    let told = Instant::now();
    node.coordinator.tell(vec![target("s0", slow.0, 0, "terminating", 0)]);
    // Withdrawn by the list, not by the connection's time-out of 500 ms.
    let launch = other.next("launch");
    assert!(launch.at - told < ms(300), "{:?}", launch.at - told);
    other.answer(&launch, "elsewhere");
    assert_eq!(caller.next().unwrap().body, "elsewhere");
}

#[test]
fn a_node_without_a_list_passes_no_test_and_takes_no_call() {
    let node = Node::spawn(Coordinator::start(vec![]), 256);
    let until = Instant::now() + SOON;
    while node.test().is_none() {
        assert!(Instant::now() < until, "the node does not start");
    }
    assert_eq!(node.test(), Some(503));
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    assert_eq!(caller.next().unwrap().status(), Some(503));
}
