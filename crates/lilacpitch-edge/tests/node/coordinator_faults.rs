//! A watch of the coordinator that dies, in each of its parts: what it would have told is heard in time, and it is
//! never asked in a spin.

use crate::coordinator::check_drain;
use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;

/// Asked with a wait of 1.5 s and given up 0.4 s after it; then the grace, and room.
const HEARD: u64 = 4_000;

#[test]
fn abandons_poll_silent_in_head_or_body() {
    check_drain(Behaviour::StopsAt(10), ms(HEARD));
    check_drain(Behaviour::StopsAt(60), ms(HEARD));
}

#[test]
fn abandons_poll_silent_in_a_chunk() {
    check_drain(Behaviour::StopsInChunk, ms(HEARD));
}

#[test]
fn abandons_poll_that_trickles() {
    check_drain(Behaviour::Trickles, ms(HEARD));
}

#[test]
fn polls_for_the_full_list_after_a_gap_or_a_lower_index() {
    check_drain(Behaviour::SkipsEvent, ms(HEARD));
    check_drain(Behaviour::LowersIndex, ms(HEARD));
}

#[test]
fn backs_off_when_the_coordinator_answers_at_once_without_events() {
    for behaviour in [Behaviour::Empty, Behaviour::LowersIndex, Behaviour::StopsAt(0), Behaviour::BreaksOff] {
        let server = Server::start();
        let node = Node::start(&[&server]);
        node.coordinator.set_behaviour(behaviour);
        node.coordinator.publish(vec![target("s9", server.address, 9, "terminated", 0)]);
        std::thread::sleep(ms(500));
        let before = node.coordinator.poll_count();
        std::thread::sleep(ms(2_000));
        let polled = node.coordinator.poll_count() - before;
        assert!(polled <= 80, "{behaviour:?}: asked {polled} times in 2 s");
        // And it is heard at once when it is well again.
        node.coordinator.set_behaviour(Behaviour::Normal);
        let mut caller = node.caller();
        server.establish(&mut caller, 1);
    }
}

#[test]
fn hup_within_a_partial_response_changes_the_coordinator() {
    let (first, second) = (Server::start(), Server::start());
    let node = Node::start(&[&first, &second]);
    let events = node.coordinator.known()["updates"].as_array().unwrap().clone();
    node.coordinator.set_behaviour(Behaviour::StopsAt(60));
    node.coordinator.publish(vec![target("s1", second.address, 1, "terminating", 0)]);
    std::thread::sleep(ms(100));
    let moved = Coordinator::start(events);
    node.move_coordinator(&moved);
    node.signal(Signal::SIGHUP);
    moved.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    std::thread::sleep(ms(1_000));
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    second.answer(&second.next("launch"), "by the new one's word");
    assert_eq!(caller.next().unwrap().body, "by the new one's word");
}
