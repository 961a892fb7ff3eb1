//! The life of a call through the public interface: answers, redialling, busy numbers, stalls of the front.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

#[test]
fn rejected_calls_get_random_retry_after() {
    let mut front = Front::new(settings(), &[]);
    let mut waits = Vec::new();
    for _ in 0..4 {
        let (id, mut actions) = front.call(0);
        actions.extend(front.advance(2 * S));
        let wait = actions.iter().find_map(|a| match a {
            Action::Reject { call, retry_after_ns } if *call == id => *retry_after_ns,
            _ => None,
        });
        waits.push(wait.expect("refused, with a wait"));
    }
    waits.dedup();
    assert!(waits.len() > 1, "no shared rhythm: {waits:?}");
    assert!(waits.iter().all(|w| *w <= 2 * S));
}

#[test]
fn shortens_timeouts_after_own_stall() {
    // Incident i9e28fc: batches came late, and the time of held calls ran out meanwhile.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.now += 2 * S;
    front.event(Event::TimerFired);
    let (_, actions) = front.call(1);
    let timeout = actions.iter().find_map(|a| match a {
        Action::ForwardSetup { timeout_ns, .. } => Some(*timeout_ns),
        _ => None,
    });
    assert!(timeout.is_some_and(|t| t <= 1_500 * MS), "{timeout:?}");
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut front = Front::new(settings(), &two_servers());
        front.run_steady(30 * MS, 3 * S);
        for i in 0..50 {
            front.call_with(|c| c.first_choice = 1 + i % 3);
            front.advance(20 * MS);
        }
        front.advance(5 * S);
        front.log
    };
    let (one, other) = (run(), run());
    assert!(one.len() > 100);
    assert_eq!(one, other);
}

#[test]
fn ignores_unknown_calls_attempts_and_classes() {
    let mut front = Front::new(settings(), &two_servers());
    let (id, _) = front.call(0);
    let quiet = |actions: Vec<Action>| actions.iter().all(|a| matches!(a, Action::SetTimer(_)));
    assert!(quiet(front.establish(999, 0)), "unknown call");
    assert!(quiet(front.establish(id, 5)), "attempt never made");
    assert!(quiet(front.end_attempt(999, 0, 11, Outcome::TimedOut)));
    assert!(quiet(front.end_attempt(id, 7, 11, Outcome::TimedOut)), "attempt never made");
    assert!(quiet(front.end_attempt(id, 7, 777, Outcome::Unreachable)), "server never listed");
    assert!(quiet(front.event(Event::ClientDisconnected(999))));
    assert!(quiet(front.event(Event::TimerFired)));
    // The same id again is ignored, and a class that is not in the settings too.
    front.next = id;
    assert!(quiet(front.call(0).1));
    assert!(quiet(front.call_with(|c| c.class = 40).1));
    // A clock that runs back stands still.
    front.now -= 50 * S;
    assert!(quiet(front.event(Event::TimerFired)));
    assert!(quiet(front.event(Event::EndpointsUpdated(EndpointUpdate::Failed))));
    front.now += 51 * S;
    assert!(quiet(front.establish(id, 0)), "the call itself was kept");
}

#[test]
fn redialled_call_past_its_objective_yields_to_fresh_calls() {
    // Busy days: half of the calls in a jam were callers dialling again, served late in place of fresh ones.
    let mut front = Front::new(settings(), &[]);
    let (first, _) = front.call_with(|c| c.dialled = Some(77));
    let done = front.advance(S);
    assert!(is_answered(&done, first), "no server: refused");
    front.event(Event::EndpointsUpdated(EndpointUpdate::Full(vec![endpoint(11, 1)])));
    front.run_steady(100 * MS, 4 * S);
    // Four set-ups out: a wait between half and all of what holds the cheapest tier back.
    let out: Vec<_> = (0..4).map(|_| front.call(0).0).collect();
    let (late, actions) = front.call_with(|c| {
        c.class = 1;
        c.dialled = Some(77);
    });
    assert_eq!(sent_to(&actions, late), None, "even of the dear class");
    let (fresh, actions) = front.call_with(|c| c.dialled = Some(78));
    assert_eq!(sent_to(&actions, fresh), Some(11));
    out.into_iter().for_each(|id| _ = front.establish(id, 0));
    front.establish(fresh, 0);
    front.advance(300 * MS);
    assert_eq!(front.attempts(late), 1, "sent once there is room");
}

#[test]
fn busy_number_pauses_except_for_probes() {
    // Incident i7cd8b0: one number drew a sixth of all calls, and its lines were busy.
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    let (id, _) = front.call_with(|c| c.dialled = Some(5));
    let done = front.end_attempt(id, 0, 11, Outcome::LinesBusy);
    assert!(is_answered(&done, id) && sent_to(&done, id).is_none());
    let mut sent = 0;
    for _ in 0..60 {
        let (id, actions) = front.call_with(|c| c.dialled = Some(5));
        if let Some(server) = sent_to(&actions, id) {
            sent += 1;
            front.end_attempt(id, 0, server, Outcome::LinesBusy);
        } else {
            assert!(is_answered(&actions, id), "refused at once");
        }
        front.advance(50 * MS);
    }
    assert!((1..=4).contains(&sent), "{sent} of 60");
    let (id, actions) = front.call_with(|c| c.dialled = Some(6));
    assert!(sent_to(&actions, id).is_some(), "other numbers pass");
}

#[test]
fn own_stall_is_no_evidence_against_a_server() {
    // ar-licencias-later: fronts stand still for up to 2 s and then find all answers at once.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(200 * MS, 4 * S);
    for _ in 0..4 {
        let (id, _) = front.call(0);
        front.now += 2 * S;
        front.establish(id, 0);
        let (cheap, actions) = front.call(0);
        assert_eq!(sent_to(&actions, cheap), Some(11), "no jam was seen");
        front.advance(40 * MS);
        front.establish(cheap, 0);
        front.advance(2 * S);
    }
}

#[test]
fn effect_of_own_stall_decays_within_minutes() {
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::ForwardSetup { timeout_ns, .. } => Some(*timeout_ns),
            _ => None,
        })
    };
    front.now += 2 * S;
    front.event(Event::TimerFired);
    front.advance(4 * S);
    let (id, actions) = front.call(1);
    assert!(timeout(&actions).is_some_and(|t| t <= 1_500 * MS), "still expected 4 s later");
    front.establish(id, 0);
    front.advance(180 * S);
    let (_, actions) = front.call(1);
    assert!(timeout(&actions).is_some_and(|t| t > 2_800 * MS), "forgotten minutes later");
}
