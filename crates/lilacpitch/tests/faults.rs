//! Calls that servers answer with a signalling fault: whether the call itself is faulty, or the server.

mod common;

use common::*;
use lilacpitch::interface::*;

/// A front with two servers after 200 calls. Of ten first attempts at each server, `successes_of_ten`
/// succeeded; the others met a fault.
fn front_after_calls(successes_of_ten: usize) -> Front {
    let mut front = Front::new(settings(), &[endpoint(11, 1), endpoint(12, 2)]);
    for index in 0..200 {
        let (id, actions) = front.place_call_with(|call| call.first_choice = 1 + index % 2);
        let server = sent_to(&actions, id).expect("sent at once");
        front.advance(40 * MS);
        if index as usize % 20 / 2 < successes_of_ten {
            front.establish(id, 0);
        } else {
            front.end_attempt(id, 0, server, Outcome::Fault);
            front.handle(lilacpitch::Event::ClientDisconnected(id));
        }
        front.advance(60 * MS);
    }
    front
}

/// Places a call whose every attempt meets a fault; returns its number of attempts and whether it was
/// answered.
fn attempts_when_always_faulted(front: &mut Front) -> (u32, bool) {
    let (id, mut actions) = front.place_call(1);
    for attempt in 0..settings().max_attempts {
        let Some(server) = sent_to(&actions, id) else { break };
        front.advance(40 * MS);
        actions = front.end_attempt(id, attempt, server, Outcome::Fault);
        actions.extend(front.advance(MS));
    }
    (front.attempts(id), is_answered(&actions, id))
}

#[test]
fn call_faulted_by_reliable_servers_is_answered_early() {
    // Each invalid call was sent six times, and the work for these attempts overloaded a server.
    assert_eq!(
        attempts_when_always_faulted(&mut front_after_calls(10)),
        (2, true),
        "at two servers where every other call succeeds"
    );
    let (attempts, answered) = attempts_when_always_faulted(&mut front_after_calls(9));
    assert!(attempts <= 3 && answered, "{attempts} of 5 attempts where one call in ten is faulty");
}

#[test]
fn call_gets_all_attempts_when_servers_fault_often() {
    assert_eq!(attempts_when_always_faulted(&mut front_after_calls(2)), (settings().max_attempts, true));
    let mut new = Front::new(settings(), &[endpoint(11, 1), endpoint(12, 2)]);
    assert_eq!(
        attempts_when_always_faulted(&mut new),
        (settings().max_attempts, true),
        "at servers without any completed call"
    );
}
