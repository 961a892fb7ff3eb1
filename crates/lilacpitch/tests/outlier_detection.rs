//! Outlier detection through the public interface: lost set-ups and unresponsive servers.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

#[test]
fn cancels_overtaken_attempt_and_retries_after_release() {
    // A server lost some set-ups and answered the others at once (incident ifcc5a6).
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(100 * MS, 6 * S);
    let (lost, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, lost), Some(11));
    front.advance(20 * MS);
    let (quick, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, quick), Some(11));
    front.advance(30 * MS);
    front.establish(quick, 0);
    let actions = front.advance(600 * MS);
    assert!(actions.contains(&Action::CancelAttempt { call: lost, attempt: 0 }));
    front.end_attempt(lost, 0, 11, Outcome::Cancelled);
    let actions = front.advance(249 * MS);
    assert_eq!(sent_to(&actions, lost), None);
    let actions = front.advance(10 * MS);
    assert!(sent_to(&actions, lost).is_some());
    // A server is not unresponsive because of one lost set-up: it is sent further calls.
    let (id, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn probes_unresponsive_server_with_single_calls() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 6 * S);
    let (first, _) = front.place_call(1);
    let actions = front.advance(1_100 * MS);
    assert!(
        actions.contains(&Action::CancelAttempt { call: first, attempt: 0 }),
        "cancelled, since the server is unresponsive"
    );
    front.end_attempt(first, 0, 11, Outcome::Cancelled);
    let mut probes = 0;
    for _ in 0..60 {
        let (id, actions) = front.place_call(1);
        match sent_to(&actions, id) {
            Some(11) => probes += 1,
            Some(_) => {
                front.establish(id, 0);
            }
            None => {}
        }
        for action in front.advance(50 * MS) {
            if let Action::CancelAttempt { call, attempt } = action {
                front.end_attempt(call, attempt, 11, Outcome::Cancelled);
            }
        }
    }
    assert!((1..=4).contains(&probes), "{probes} probes in 3 s");
}

#[test]
fn probes_quick_server_after_one_lost_setup_and_restores_its_ceiling() {
    // Servers that lost a third of their set-ups were left almost unused (incident ifd31ec).
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    for _ in 0..12 {
        let (id, _) = front.place_call(0);
        front.advance(40 * MS);
        front.establish(id, 0);
        front.advance(460 * MS);
    }
    let (lost, _) = front.place_call(0);
    front.advance(300 * MS);
    let (held, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, held), None, "one is in flight where two a second succeed");
    let actions = front.advance(350 * MS);
    assert_eq!(
        sent_to(&actions, held),
        Some(11),
        "sent as a probe after a resend interval and the normal interval between set-ups"
    );
    let actions = front.establish(held, 0);
    assert!(actions.contains(&Action::CancelAttempt { call: lost, attempt: 0 }));
    front.handle(Event::ClientDisconnected(lost));
    // A ceiling at the recent success rate would allow less than two calls a second; several a second are
    // sent.
    for _ in 0..8 {
        let (id, actions) = front.place_call(0);
        assert_eq!(sent_to(&actions, id), Some(11));
        front.advance(30 * MS);
        front.establish(id, 0);
        front.advance(100 * MS);
    }
}

/// Whether the only set-up at server 11 is cancelled within 1.2 s (three resend intervals) while a number of
/// peers report more and more successes there.
fn is_cancelled_with_reports_of(peers: u64) -> bool {
    let mut front = Front::new(settings(), &two_servers());
    let (id, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, id), Some(11));
    for succeeded in 1..=12 {
        for peer in 0..peers {
            let report = ServerReport {
                age_ns: 10 * MS,
                succeeded,
                in_flight: 1,
                wait_ns: 300 * MS,
                ..healthy_report(11)
            };
            front.handle(Event::PeerReported { peer, server_reports: vec![report] });
        }
        front.advance(100 * MS);
    }
    front.log.iter().any(|(_, action)| matches!(action, Action::CancelAttempt { call, .. } if *call == id))
}

#[test]
fn does_not_cancel_when_two_peers_report_successes() {
    // With many fronts in overload, one set-up in four was cancelled while it was still queued at a server
    // that established calls of other fronts.
    assert!(is_cancelled_with_reports_of(0), "without reports, after two resend intervals");
    assert!(is_cancelled_with_reports_of(1), "a single peer has no effect");
    assert!(!is_cancelled_with_reports_of(2));
}
