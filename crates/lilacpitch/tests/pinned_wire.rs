//! Pins the adapter's wire: the replies to a recorded session, byte by byte. The session touches every event, outcome
//! and action, with two fronts of unlike settings. What the program's own types are called must not show in it.

use lilacpitch::wire::Host;

const SESSION: &str = include_str!("data/session-input.txt");
const REPLIES: &str = include_str!("data/session-replies.txt");

/// What one process answers to the whole session.
fn replies(session: &str) -> String {
    let mut host = Host::new();
    let mut replies = String::new();
    for line in session.lines() {
        host.line(line, &mut replies).unwrap();
    }
    host.end_of_input().unwrap();
    replies
}

#[test]
fn recorded_session_gets_the_pinned_replies() {
    assert_eq!(replies(SESSION), REPLIES);
}

#[test]
fn recorded_session_touches_every_event_outcome_and_action() {
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
