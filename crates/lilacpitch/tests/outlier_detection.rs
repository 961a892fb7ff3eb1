//! Outlier detection through the public interface: lost set-ups and unresponsive servers.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

#[test]
fn cancels_overtaken_attempt_and_retries_after_release() {
    // Incident ifcc5a6: a server loses some set-ups and answers the rest at once.
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(100 * MS, 6 * S);
    let (lost, actions) = front.call(1);
    assert_eq!(sent_to(&actions, lost), Some(11));
    front.advance(20 * MS);
    let (quick, actions) = front.call(1);
    assert_eq!(sent_to(&actions, quick), Some(11));
    front.advance(30 * MS);
    front.establish(quick, 0);
    let done = front.advance(600 * MS);
    assert!(done.contains(&Action::CancelAttempt { call: lost, attempt: 0 }));
    front.end_attempt(lost, 0, 11, Outcome::Cancelled);
    let done = front.advance(249 * MS);
    assert_eq!(sent_to(&done, lost), None);
    let done = front.advance(10 * MS);
    assert!(sent_to(&done, lost).is_some());
    // One loss is not silence: others still go there.
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn probes_unresponsive_server_with_single_calls() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 6 * S);
    let (first, _) = front.call(1);
    let done = front.advance(1_100 * MS);
    assert!(done.contains(&Action::CancelAttempt { call: first, attempt: 0 }), "silent: called off");
    front.end_attempt(first, 0, 11, Outcome::Cancelled);
    let mut probes = 0;
    for _ in 0..60 {
        let (id, actions) = front.call(1);
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
    assert!((1..=4).contains(&probes), "{probes} trials in 3 s");
}

#[test]
fn probes_quick_server_after_one_lost_setup_and_restores_its_ceiling() {
    // Incident ifd31ec: servers that lose a third of their set-ups were left almost unused.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    for _ in 0..12 {
        let (id, _) = front.call(0);
        front.advance(40 * MS);
        front.establish(id, 0);
        front.advance(460 * MS);
    }
    let (lost, _) = front.call(0);
    front.advance(300 * MS);
    let (held, actions) = front.call(0);
    assert_eq!(sent_to(&actions, held), None, "one out already, of two a second that stand");
    let done = front.advance(350 * MS);
    assert_eq!(sent_to(&done, held), Some(11), "a gap on, and as far apart as usual, one goes to find out");
    let done = front.establish(held, 0);
    assert!(done.contains(&Action::CancelAttempt { call: lost, attempt: 0 }));
    front.event(Event::ClientDisconnected(lost));
    // Two a second would be past any ceiling set to what stood of late; several a second pass.
    for _ in 0..8 {
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), Some(11));
        front.advance(30 * MS);
        front.establish(id, 0);
        front.advance(100 * MS);
    }
}

/// Whether a lone set-up at server 11 is called off within 1.2 s, three gaps, while these fronts tell that more
/// and more stood there.
fn is_cancelled_despite(peers: u64) -> bool {
    let mut front = Front::new(settings(), &two_servers());
    let (id, actions) = front.call(0);
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
            front.event(Event::PeerReported { peer, server_reports: vec![report] });
        }
        front.advance(100 * MS);
    }
    front.log.iter().any(|(_, action)| matches!(action, Action::CancelAttempt { call, .. } if *call == id))
}

#[test]
fn does_not_cancel_when_two_peers_report_successes() {
    // Many fronts above load 1: one set-up in four was called off while it had its turn coming, for others stood.
    assert!(is_cancelled_despite(0), "nobody tells: silent for two gaps");
    assert!(is_cancelled_despite(1), "one alone keeps nothing out");
    assert!(!is_cancelled_despite(2));
}
