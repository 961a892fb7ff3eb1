//! Call handling through the public interface: answers, redialled calls, busy numbers, stalls of the front.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

#[test]
fn rejected_calls_get_random_retry_after() {
    let mut front = Front::new(settings(), &[]);
    let mut waits = Vec::new();
    for _ in 0..4 {
        let (id, mut actions) = front.place_call(0);
        actions.extend(front.advance(2 * S));
        let retry_after_ns = actions.iter().find_map(|action| match action {
            Action::Reject { call, retry_after_ns } if *call == id => *retry_after_ns,
            _ => None,
        });
        waits.push(retry_after_ns.expect("rejected with a retry-after"));
    }
    waits.dedup();
    assert!(waits.len() > 1, "the waits must differ: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= 2 * S));
}

#[test]
fn shortens_timeouts_after_own_stall() {
    // Events were delivered late, and the budgets of queued calls ran out meanwhile (incident i9e28fc).
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.now += 2 * S;
    front.handle(Event::TimerFired);
    let (_, actions) = front.place_call(1);
    let timeout = actions.iter().find_map(|action| match action {
        Action::ForwardSetup { timeout_ns, .. } => Some(*timeout_ns),
        _ => None,
    });
    assert!(timeout.is_some_and(|timeout_ns| timeout_ns <= 1_500 * MS), "{timeout:?}");
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut front = Front::new(settings(), &two_servers());
        front.run_steady(30 * MS, 3 * S);
        for i in 0..50 {
            front.place_call_with(|call| call.first_choice = 1 + i % 3);
            front.advance(20 * MS);
        }
        front.advance(5 * S);
        front.log
    };
    let (first, second) = (run(), run());
    assert!(first.len() > 100);
    assert_eq!(first, second);
}

#[test]
fn ignores_unknown_calls_attempts_and_classes() {
    let mut front = Front::new(settings(), &two_servers());
    let (id, _) = front.place_call(0);
    let sets_timer_only =
        |actions: Vec<Action>| actions.iter().all(|action| matches!(action, Action::SetTimer(_)));
    assert!(sets_timer_only(front.establish(999, 0)), "unknown call");
    assert!(sets_timer_only(front.establish(id, 5)), "attempt that was never made");
    assert!(sets_timer_only(front.end_attempt(999, 0, 11, Outcome::TimedOut)));
    assert!(sets_timer_only(front.end_attempt(id, 7, 11, Outcome::TimedOut)), "attempt that was never made");
    assert!(
        sets_timer_only(front.end_attempt(id, 7, 777, Outcome::Unreachable)),
        "server that was never listed"
    );
    assert!(sets_timer_only(front.handle(Event::ClientDisconnected(999))));
    assert!(sets_timer_only(front.handle(Event::TimerFired)));
    // A call with a known id and a call with an unknown class are ignored.
    front.next_call = id;
    assert!(sets_timer_only(front.place_call(0).1));
    assert!(sets_timer_only(front.place_call_with(|call| call.class = 40).1));
    // If the clock runs backwards, the latest earlier time is used.
    front.now -= 50 * S;
    assert!(sets_timer_only(front.handle(Event::TimerFired)));
    assert!(sets_timer_only(front.handle(Event::EndpointsUpdated(EndpointUpdate::Failed))));
    front.now += 51 * S;
    assert!(sets_timer_only(front.establish(id, 0)), "the call is still known");
}

#[test]
fn redialled_call_past_its_objective_yields_to_fresh_calls() {
    // In an overload half of the calls came from clients that redialled; they were served late, in place of
    // fresh calls.
    let mut front = Front::new(settings(), &[]);
    let (first, _) = front.place_call_with(|call| call.dialled = Some(77));
    let actions = front.advance(S);
    assert!(is_answered(&actions, first), "rejected, since there is no server");
    front.handle(Event::EndpointsUpdated(EndpointUpdate::Full(vec![endpoint(11, 1)])));
    front.run_steady(100 * MS, 4 * S);
    // With four set-ups in flight the expected wait is long enough to hold back late calls, but no others.
    let in_flight: Vec<_> = (0..4).map(|_| front.place_call(0).0).collect();
    let (late, actions) = front.place_call_with(|call| {
        call.class = 1;
        call.dialled = Some(77);
    });
    assert_eq!(sent_to(&actions, late), None, "held back in spite of its higher priority class");
    let (fresh, actions) = front.place_call_with(|call| call.dialled = Some(78));
    assert_eq!(sent_to(&actions, fresh), Some(11));
    in_flight.into_iter().for_each(|id| _ = front.establish(id, 0));
    front.establish(fresh, 0);
    front.advance(300 * MS);
    assert_eq!(front.attempts(late), 1, "sent once the server has capacity");
}

#[test]
fn busy_number_pauses_except_for_probes() {
    // A sixth of all calls dialled one number whose lines were busy (incident i7cd8b0).
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    let (id, _) = front.place_call_with(|call| call.dialled = Some(5));
    let actions = front.end_attempt(id, 0, 11, Outcome::LinesBusy);
    assert!(is_answered(&actions, id) && sent_to(&actions, id).is_none());
    let mut sent = 0;
    for _ in 0..60 {
        let (id, actions) = front.place_call_with(|call| call.dialled = Some(5));
        if let Some(server) = sent_to(&actions, id) {
            sent += 1;
            front.end_attempt(id, 0, server, Outcome::LinesBusy);
        } else {
            assert!(is_answered(&actions, id), "rejected at once");
        }
        front.advance(50 * MS);
    }
    assert!((1..=4).contains(&sent), "{sent} of 60 were sent");
    let (id, actions) = front.place_call_with(|call| call.dialled = Some(6));
    assert!(sent_to(&actions, id).is_some(), "calls to other numbers are sent");
}

#[test]
fn own_stall_does_not_count_against_server() {
    // Fronts stall for up to 2 s and then receive all answers at once (scenario ar-licencias-later).
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(200 * MS, 4 * S);
    for _ in 0..4 {
        let (id, _) = front.place_call(0);
        front.now += 2 * S;
        front.establish(id, 0);
        let (next, actions) = front.place_call(0);
        assert_eq!(sent_to(&actions, next), Some(11), "the stall must not count as a wait at the server");
        front.advance(40 * MS);
        front.establish(next, 0);
        front.advance(2 * S);
    }
}

#[test]
fn effect_of_own_stall_decays_within_minutes() {
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::ForwardSetup { timeout_ns, .. } => Some(*timeout_ns),
            _ => None,
        })
    };
    front.now += 2 * S;
    front.handle(Event::TimerFired);
    front.advance(4 * S);
    let (id, actions) = front.place_call(1);
    assert!(
        timeout(&actions).is_some_and(|timeout_ns| timeout_ns <= 1_500 * MS),
        "the margin for the stall is kept 4 s later"
    );
    front.establish(id, 0);
    front.advance(180 * S);
    let (_, actions) = front.place_call(1);
    assert!(
        timeout(&actions).is_some_and(|timeout_ns| timeout_ns > 2_800 * MS),
        "the margin is gone after three minutes"
    );
}
