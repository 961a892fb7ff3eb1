//! Polls of the coordinator that fail in each of their phases: events still arrive in time, and the
//! coordinator is not polled in a busy loop.

use crate::coordinator::check_drain;
use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;

/// Longest time from an event to its effect, in milliseconds: a poll is held back for 1.5 s and abandoned 0.4
/// s later; then comes the grace period of a drain, and some margin.
const MAX_DRAIN_DELAY_MS: u64 = 4_000;

#[test]
fn abandons_poll_that_stalls_in_head_or_body() {
    check_drain(Behaviour::StallsAfter(10), ms(MAX_DRAIN_DELAY_MS));
    check_drain(Behaviour::StallsAfter(60), ms(MAX_DRAIN_DELAY_MS));
}

#[test]
fn abandons_poll_that_stalls_in_a_chunk() {
    check_drain(Behaviour::StallsInChunk, ms(MAX_DRAIN_DELAY_MS));
}

#[test]
fn abandons_poll_that_trickles() {
    check_drain(Behaviour::Trickles, ms(MAX_DRAIN_DELAY_MS));
}

#[test]
fn polls_for_the_full_list_after_a_gap_or_a_lower_index() {
    check_drain(Behaviour::SkipsEvent, ms(MAX_DRAIN_DELAY_MS));
    check_drain(Behaviour::LowersIndex, ms(MAX_DRAIN_DELAY_MS));
}

#[test]
fn backs_off_when_polls_fail_or_return_no_events_at_once() {
    for behaviour in
        [Behaviour::Empty, Behaviour::LowersIndex, Behaviour::StallsAfter(0), Behaviour::ClosesEarly]
    {
        let server = Server::start();
        let node = Node::start(&[&server]);
        node.coordinator.set_behaviour(behaviour);
        node.coordinator.publish(vec![target("s9", server.address, 9, "terminated", 0)]);
        std::thread::sleep(ms(500));
        let before = node.coordinator.poll_count();
        std::thread::sleep(ms(2_000));
        let polled = node.coordinator.poll_count() - before;
        assert!(polled <= 80, "{behaviour:?}: polled {polled} times in 2 s");
        // Calls work when the coordinator has recovered.
        node.coordinator.set_behaviour(Behaviour::Normal);
        let mut caller = node.caller();
        server.establish(&mut caller, 1);
    }
}

#[test]
fn sighup_during_a_partial_response_changes_the_coordinator() {
    let (first, second) = (Server::start(), Server::start());
    let node = Node::start(&[&first, &second]);
    let events = node.coordinator.known()["updates"].as_array().unwrap().clone();
    node.coordinator.set_behaviour(Behaviour::StallsAfter(60));
    node.coordinator.publish(vec![target("s1", second.address, 1, "terminating", 0)]);
    std::thread::sleep(ms(100));
    let moved = Coordinator::start(events);
    node.move_coordinator(&moved);
    node.signal(Signal::SIGHUP);
    moved.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    std::thread::sleep(ms(1_000));
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    second.answer(&second.next("launch"), "drained by the new coordinator");
    assert_eq!(caller.next().unwrap().body, "drained by the new coordinator");
}
