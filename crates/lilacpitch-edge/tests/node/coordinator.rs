//! Drains of servers, reported by a coordinator that works or fails, and readiness without an endpoint list.

use crate::process::Node;
use crate::standin::*;
use std::time::{Duration, Instant};

/// Makes calls with the first choice `server`, which has the number 0, until `duration` after `start`.
/// Returns how long after `start` the last set-up arrived there.
fn last_setup_at(node: &Node, server: &Server, start: Instant, duration: Duration) -> Option<Duration> {
    let mut caller = node.caller();
    let mut last = None;
    let mut call = 100;
    while start.elapsed() < duration {
        caller.invite(&id(call), 0, 1_000);
        call += 1;
        if let Some(launch) = server.next_within("launch", ms(20)) {
            server.answer(&launch, "there");
            last = Some(launch.at.saturating_duration_since(start));
        }
        // So few calls that the memory for calls lasts.
        std::thread::sleep(ms(3));
    }
    last
}

/// Checks that a server gets no set-up from `max_delay` after a drain is published by a coordinator with this
/// behaviour.
pub(crate) fn check_drain(behaviour: Behaviour, max_delay: Duration) {
    let (first, second) = (Server::start(), Server::start());
    let node = Node::start(&[&first, &second]);
    node.coordinator.set_behaviour(behaviour);
    if behaviour != Behaviour::Normal {
        // The current poll ends, and the next one meets this behaviour.
        std::thread::sleep(ms(2_000));
    }
    let published_at = Instant::now();
    node.coordinator.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    if behaviour == Behaviour::ClosesEarly {
        std::thread::sleep(ms(500));
        assert!(node.coordinator.poll_count() > 3, "not polled again at once");
    }
    node.coordinator.set_behaviour(Behaviour::Normal);
    let last = last_setup_at(&node, &first, published_at, ms(4_000)).unwrap_or_default();
    assert!(last < max_delay, "{behaviour:?}: a set-up {last:?} after the drain was published");
    assert!(second.next_within("launch", ms(50)).is_some(), "no set-up at the other server");
}

/// Guards against a coordinator that is never heard because all its responses take longer than the node awaits
/// one. The page on bad peers allows 7 s for what a slow coordinator has to tell; the grace period of a drain and
/// 0.1 s for the sockets follow.
#[test]
fn hears_a_drain_from_a_coordinator_that_is_always_slow() {
    std::thread::scope(|scope| {
        for delay_ms in [500, 1_000, 2_000, 2_500, 4_000] {
            scope.spawn(move || check_slow_coordinator(delay_ms, ms(7_600)));
        }
    });
}

/// Checks that a server gets no set-up from `max_delay` after a drain is published by a coordinator that sends
/// each response this much late, and that calls are set up elsewhere then.
fn check_slow_coordinator(delay_ms: u64, max_delay: Duration) {
    let (first, second) = (Server::start(), Server::start());
    let node = Node::start(&[&first, &second]);
    node.coordinator.set_behaviour(Behaviour::Delays(delay_ms));
    // The current poll ends, and the next one meets this behaviour.
    std::thread::sleep(ms(2_000));
    let published_at = Instant::now();
    node.coordinator.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    let last = last_setup_at(&node, &first, published_at, max_delay + ms(2_000)).unwrap_or_default();
    println!("responses {delay_ms} ms late: last set-up {last:?} after the drain was published");
    assert!(
        last < max_delay,
        "responses {delay_ms} ms late: a set-up {last:?} after the drain was published"
    );
    assert!(second.next_within("launch", ms(50)).is_some(), "no set-up at the other server");
}

#[test]
fn drains_a_server_within_the_grace_period() {
    check_drain(Behaviour::Normal, ms(500));
}

#[test]
fn drains_a_server_when_the_coordinator_closes_early() {
    check_drain(Behaviour::ClosesEarly, ms(1_500));
}

#[test]
fn drains_a_server_when_the_coordinator_does_not_respond() {
    // The event counts as delivered 2 s after the time for which the response may be held back; then the
    // grace period begins.
    check_drain(Behaviour::Silent, ms(4_000));
}

#[test]
fn does_not_send_queued_setup_to_a_draining_server() {
    let (unreachable, other) = (unreachable_server(), Server::start());
    let targets = vec![
        target("s0", unreachable.0, 0, "in_service", 0),
        target("s1", other.address, 1, "in_service", 0),
    ];
    let node = Node::spawn(Coordinator::start(vec![event(1, true, targets)]), 256);
    node.wait_ready();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    std::thread::sleep(ms(100));
    let published_at = Instant::now();
    node.coordinator.publish(vec![target("s0", unreachable.0, 0, "terminating", 0)]);
    // The set-up is dropped because of the list, before the connection times out after 500 ms.
    let launch = other.next("launch");
    assert!(launch.at - published_at < ms(300), "{:?}", launch.at - published_at);
    other.answer(&launch, "elsewhere");
    assert_eq!(caller.next().unwrap().body, "elsewhere");
}

#[test]
fn is_not_ready_without_an_endpoint_list() {
    let node = Node::spawn(Coordinator::start(vec![]), 256);
    let until = Instant::now() + TIMEOUT;
    while node.check_readiness().is_none() {
        assert!(Instant::now() < until, "the node does not start");
    }
    assert_eq!(node.check_readiness(), Some(503));
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    assert_eq!(caller.next().unwrap().status(), Some(503));
}
