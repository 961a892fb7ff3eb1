//! A watch of the coordinator that dies, in each of its parts: what it would have told is heard in time, and it is
//! never asked in a spin.

use crate::coordinator::drains;
use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;

/// Asked with a wait of 1.5 s and given up 0.4 s after it; then the grace, and room.
const HEARD: u64 = 4_000;

#[test]
fn a_watch_that_is_silent_in_its_head_or_body_is_given_up() {
    drains(Mood::StopsAt(10), ms(HEARD));
    drains(Mood::StopsAt(60), ms(HEARD));
}

#[test]
fn a_watch_that_is_silent_in_a_chunk_is_given_up() {
    drains(Mood::StopsInChunk, ms(HEARD));
}

#[test]
fn a_watch_that_trickles_is_given_up() {
    drains(Mood::Trickles, ms(HEARD));
}

#[test]
fn numbers_that_jump_or_go_back_are_asked_for_anew() {
    drains(Mood::Jumps, ms(HEARD));
    drains(Mood::GoesBack, ms(HEARD));
}

#[test]
fn a_coordinator_that_answers_at_once_without_events_is_not_asked_in_a_spin() {
    for mood in [Mood::Empty, Mood::GoesBack, Mood::StopsAt(0), Mood::BreaksOff] {
        let server = Server::start();
        let node = Node::start(&[&server]);
        node.coordinator.mood(mood);
        node.coordinator.tell(vec![target("s9", server.address, 9, "terminated", 0)]);
        std::thread::sleep(ms(500));
        let before = node.coordinator.asks();
        std::thread::sleep(ms(2_000));
        let asked = node.coordinator.asks() - before;
        assert!(asked <= 80, "{mood:?}: asked {asked} times in 2 s");
        // And it is heard at once when it is well again.
        node.coordinator.mood(Mood::Well);
        let mut caller = node.caller();
        server.stands(&mut caller, 1);
    }
}

#[test]
fn hup_while_an_answer_is_half_read_moves_at_once() {
    let (first, second) = (Server::start(), Server::start());
    let node = Node::start(&[&first, &second]);
    let events = node.coordinator.known()["updates"].as_array().unwrap().clone();
    node.coordinator.mood(Mood::StopsAt(60));
    node.coordinator.tell(vec![target("s1", second.address, 1, "terminating", 0)]);
    std::thread::sleep(ms(100));
    let moved = Coordinator::start(events);
    node.move_to(&moved);
    node.signal(Signal::SIGHUP);
    moved.tell(vec![target("s0", first.address, 0, "terminating", 0)]);
    std::thread::sleep(ms(1_000));
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    second.answer(&second.next("launch"), "by the new one's word");
    assert_eq!(caller.next().unwrap().body, "by the new one's word");
}
