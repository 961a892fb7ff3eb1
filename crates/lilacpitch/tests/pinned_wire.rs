//! Pins the adapter's line protocol: the replies to a recorded session must not change by a byte. The session
//! covers every event, outcome and action, with two fronts of different settings. Renaming types must not
//! change the protocol.

use lilacpitch::wire::Host;

const SESSION: &str = include_str!("data/session-input.txt");
const REPLIES: &str = include_str!("data/session-replies.txt");

/// The replies of a new host to a whole session.
fn replies(session: &str) -> String {
    let mut host = Host::new();
    let mut replies = String::new();
    for line in session.lines() {
        host.handle_line(line, &mut replies).unwrap();
    }
    host.end_of_input().unwrap();
    replies
}

#[test]
fn recorded_session_gets_the_pinned_replies() {
    assert_eq!(replies(SESSION), REPLIES);
}

#[test]
fn recorded_session_covers_every_event_outcome_and_action() {
    let events = [
        "LAUNCH",
        "INVENTORY",
        "ROW",
        "ROSTER_CHANGE",
        "ASK",
        "CLIENT_GONE",
        "FIRED",
        "ECHO",
        "SETTLED",
        "NEIGHBOUR_SAYS",
        "DETACH",
        "UNDER_WAY",
    ];
    for event in events {
        assert!(SESSION.contains(&format!("\n{event}\t")), "no {event}");
    }
    let outcomes = ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"];
    for outcome in outcomes {
        let settled =
            |line: &str| line.starts_with("SETTLED") && line.contains(&format!("\tresult={outcome}\t"));
        assert!(SESSION.lines().any(settled), "no {outcome}");
    }
    for action in ["SEND", "ABANDON", "DECLINE", "FAIL", "DEFER", "OBSERVE"] {
        assert!(REPLIES.contains(&format!("\n{action}\t")), "no {action}");
    }
}
