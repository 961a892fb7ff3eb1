//! Calls that servers answer by a fault: whether the call is at fault, or the server.

mod common;

use common::*;
use lilacpitch::interface::*;

/// Two servers, and calls of which so many of ten stand at the first try; the others meet a fault there.
fn front(succeed_of_ten: usize) -> Front {
    let mut front = Front::new(settings(), &[endpoint(11, 1), endpoint(12, 2)]);
    for call in 0..200 {
        let (id, actions) = front.call_with(|c| c.first_choice = 1 + call % 2);
        let server = sent_to(&actions, id).expect("sent at once");
        front.advance(40 * MS);
        if call as usize % 20 / 2 < succeed_of_ten {
            front.establish(id, 0);
        } else {
            front.end_attempt(id, 0, server, Outcome::Fault);
            front.event(lilacpitch::Event::ClientDisconnected(id));
        }
        front.advance(60 * MS);
    }
    front
}

/// A call that meets a fault wherever it is sent: how often it is sent, and whether it has its answer at the end.
fn attempts_when_always_faulted(front: &mut Front) -> (u32, bool) {
    let (id, mut actions) = front.call(1);
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
    // A day with bad callers: each such call was sent six times, and the work of that jammed a server.
    assert_eq!(
        attempts_when_always_faulted(&mut front(10)),
        (2, true),
        "two servers at which all else stands"
    );
    let (sent, answered) = attempts_when_always_faulted(&mut front(9));
    assert!(sent <= 3 && answered, "{sent} of 5 where one call in ten is such a call");
}

#[test]
fn call_has_all_its_attempts_when_servers_fault_often() {
    assert_eq!(attempts_when_always_faulted(&mut front(2)), (settings().max_attempts, true));
    let mut new = Front::new(settings(), &[endpoint(11, 1), endpoint(12, 2)]);
    assert_eq!(
        attempts_when_always_faulted(&mut new),
        (settings().max_attempts, true),
        "nothing is known of them yet"
    );
}
