//! Overload control through the public interface: symptoms, ceilings, overload states and expected waits.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

/// Rejects five set-ups in a row at server 11, too many to be regarded as chance. Returns the last call and
/// the actions that followed its rejection.
fn reject_five_in_a_row(front: &mut Front, outcome: Outcome) -> (CallId, Vec<Action>) {
    let mut remaining = 5;
    loop {
        let (id, actions) = front.place_call(0);
        let is_sent_to_11 = sent_to(&actions, id) == Some(11);
        let actions = if is_sent_to_11 { front.end_attempt(id, 0, 11, outcome) } else { Vec::new() };
        remaining -= u32::from(is_sent_to_11);
        if remaining == 0 {
            return (id, actions);
        }
        front.handle(Event::ClientDisconnected(id));
        front.advance(20 * MS);
    }
}

/// The number of set-ups sent after a time.
fn setups_since(front: &Front, start: Nanos) -> usize {
    let is_setup = |action: &Action| matches!(action, Action::ForwardSetup { .. });
    front.log.iter().filter(|(at, action)| *at > start && is_setup(action)).count()
}

#[test]
fn five_rejections_in_a_row_lower_ceiling_but_a_single_one_does_not() {
    for outcome in [Outcome::Overloaded(Some(S)), Outcome::NoCircuit] {
        let mut front = Front::new(settings(), &[endpoint(11, 1)]);
        front.run_steady(50 * MS, 6 * S);
        let (id, _) = front.place_call(0);
        front.end_attempt(id, 0, 11, outcome);
        front.handle(Event::ClientDisconnected(id));
        front.advance(300 * MS);
        let (id, actions) = front.place_call(0);
        assert_eq!(sent_to(&actions, id), Some(11), "{outcome:?}: one in a hundred has no effect");
        front.establish(id, 0);
        reject_five_in_a_row(&mut front, outcome);
        front.advance(50 * MS);
        let (id, actions) = front.place_call(0);
        assert_eq!(sent_to(&actions, id), None, "{outcome:?}: five in a row hold calls back");
    }
}

#[test]
fn recovers_within_seconds_when_first_response_is_a_rejection() {
    // After a first response of 'processor full' nothing was sent for 25 s.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    let (id, _) = front.place_call(0);
    front.end_attempt(id, 0, 11, Outcome::Overloaded(Some(50 * MS)));
    front.handle(Event::ClientDisconnected(id));
    let start = front.now;
    front.run_steady(50 * MS, 12 * S);
    let sent = setups_since(&front, start);
    assert!(sent > 150, "{sent} of 240 in 12 s");
}

#[test]
fn single_symptom_counts_when_server_reports_no_free_line() {
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(50 * MS, 6 * S);
    let (id, _) = front.place_call(0);
    let report = LoadReport { free_capacity: Some(0.0) };
    front.handle(Event::AttemptCompleted {
        call: id,
        attempt: 0,
        server: 11,
        outcome: Outcome::NoCircuit,
        is_final: false,
        report,
    });
    front.advance(50 * MS);
    let (id, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, id), None, "the server reports that no line is free");
}

#[test]
fn backs_off_for_retry_after_of_full_processor() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    let (id, actions) = reject_five_in_a_row(&mut front, Outcome::Overloaded(Some(S)));
    assert_eq!(sent_to(&actions, id), Some(22), "had no effect, so it is sent elsewhere at once");
    front.establish(id, 1);
    front.advance(900 * MS);
    let (id, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.establish(id, 0);
    // Earlier set-ups fill the window for a while; then the server is used again.
    front.advance(2_500 * MS);
    let (id, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn ceiling_rejects_lowest_priority_first_and_relaxes_after_clean_time() {
    // With one server no call can be sent elsewhere. Five calls a second succeed before its processor is
    // full.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(200 * MS, 6 * S);
    let (last, _) = reject_five_in_a_row(&mut front, Outcome::Overloaded(Some(10 * MS)));
    front.handle(Event::ClientDisconnected(last));
    // The ceiling is the success rate of five a second, and the load estimate is above both thresholds.
    front.advance(20 * MS);
    let (high_priority, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, high_priority), None, "state 2 holds back all calls but urgent ones");
    let (urgent, actions) = front.place_call_with(|call| call.retry_after_cut = true);
    assert_eq!(sent_to(&actions, urgent), Some(11), "urgent calls are sent");
    front.establish(urgent, 0);
    front.handle(Event::ClientDisconnected(high_priority));
    // As the window slides, the load estimate falls between S1 and S2.
    front.advance(1_300 * MS);
    let (low_priority, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, low_priority), None, "state 1 holds back calls of low priority");
    let (high_priority, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, high_priority), Some(11), "state 1 holds back no calls of high priority");
    front.establish(high_priority, 0);
    front.handle(Event::ClientDisconnected(low_priority));
    // After a time without symptoms the ceiling has no effect any more.
    front.advance(20 * S);
    for _ in 0..5 {
        let (id, actions) = front.place_call(0);
        assert_eq!(sent_to(&actions, id), Some(11));
        front.advance(40 * MS);
        front.establish(id, 0);
    }
}

#[test]
fn limits_forwarded_setups_to_ceiling_with_one_class() {
    let mut one_class = settings();
    one_class.classes.truncate(1);
    let mut front = Front::new(one_class, &[endpoint(11, 1)]);
    front.run_steady(200 * MS, 6 * S);
    let (last, _) = reject_five_in_a_row(&mut front, Outcome::Overloaded(Some(10 * MS)));
    front.handle(Event::ClientDisconnected(last));
    let start = front.now;
    front.run_steady(100 * MS, S);
    // Five calls a second succeeded; of ten that are offered in 1 s the ceiling allows a few.
    let sent = setups_since(&front, start);
    assert!(sent <= 5, "{sent} of 10");
    // Their quick successes then raise the ceiling until all calls are sent.
    front.run_steady(100 * MS, 5 * S);
    let start = front.now;
    front.run_steady(100 * MS, 2 * S);
    let sent = setups_since(&front, start);
    assert!(sent >= 18, "{sent} of 20");
}

#[test]
fn detects_overload_by_backlog_before_any_timeout() {
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(500 * MS, 6 * S);
    // Two calls a second succeed. Of ten calls that arrive together, few are sent.
    let sent = (0..10)
        .filter(|_| {
            let (id, actions) = front.place_call(0);
            sent_to(&actions, id).is_some()
        })
        .count();
    assert!(sent <= 2, "{sent} sent at once");
}

#[test]
fn retries_after_cut_do_not_flood_loaded_server() {
    // Hundreds of calls that were cut were retried at once and sent in every overload state (incident
    // i36bc4a).
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(250 * MS, 6 * S);
    let mut sent = 0;
    for _ in 0..40 {
        let (id, actions) = front.place_call_with(|call| call.retry_after_cut = true);
        sent += usize::from(sent_to(&actions, id).is_some());
    }
    assert!((2..=10).contains(&sent), "{sent} of 40 sent at once");
}

#[test]
fn backs_off_briefly_when_lines_run_out() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    let (id, _) = front.place_call(1);
    let actions = front.end_attempt(id, 0, 11, Outcome::NoCircuit);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.establish(id, 1);
    let (id, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, id), Some(22), "server 11 is not used at once again");
    front.establish(id, 0);
    front.advance(1_300 * MS);
    let (id, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn network_delay_is_not_counted_as_wait() {
    // With a resend interval of 100 ms and a network delay of 40 to 56 ms, a further wait of half an interval
    // counted as late, and a quarter of the calls was rejected although the servers had capacity.
    let mut settings = settings();
    settings.resend_interval_ns = 100 * MS;
    let mut front = Front::new(settings, &[endpoint(11, 1)]);
    let mut in_flight = std::collections::VecDeque::new();
    // Places 100 calls, one every 20 ms, and establishes the oldest once `steps` are in flight. Returns
    // whether at most `steps` were in flight at the start, and the number of calls that were held back.
    let mut held_back = |steps: usize| {
        let in_flight_before = in_flight.len();
        let mut held_back = 0;
        for _ in 0..100 {
            let (id, actions) = front.place_call(0);
            match sent_to(&actions, id) {
                Some(_) => in_flight.push_back(id),
                None => held_back += 1,
            }
            front.advance(20 * MS);
            while in_flight.len() >= steps.max(1) {
                let actions = front.establish(in_flight.pop_front().unwrap(), 0);
                in_flight.extend(actions.iter().filter_map(|action| match action {
                    Action::ForwardSetup { call, .. } => Some(*call),
                    _ => None,
                }));
            }
        }
        (in_flight_before <= steps, held_back)
    };
    held_back(1);
    assert_eq!(held_back(3), (true, 0), "a delay of 60 ms");
    assert_eq!(held_back(6), (true, 0), "a delay of 120 ms, of which 60 ms are waiting time");
    let (_, held_back_when_late) = held_back(12);
    assert!(held_back_when_late > 10, "a wait above a resend interval counts as late: {held_back_when_late}");
}

#[test]
fn shortest_delay_is_no_network_delay_when_few_succeeded() {
    // With many fronts in overload every delay that a front observed included waiting, and the shortest of
    // them was taken as the network delay, so that waiting set-ups seemed to be in transit.
    let reported_wait = |interval_ns: Nanos, duration_ns: Nanos| {
        let mut front = Front::new(settings(), &[endpoint(11, 1)]);
        let end = front.now + duration_ns;
        while front.now < end {
            let (id, _) = front.place_call(0);
            front.advance(200 * MS);
            front.establish(id, 0);
            front.advance(interval_ns);
        }
        front.place_call(0);
        front.advance(190 * MS);
        front.handle(Event::TimerFired);
        front.controller.server_reports()[0].wait_ns
    };
    assert!(
        reported_wait(3 * S, 12 * S) >= 190 * MS,
        "four successes: all of the delay counts as waiting time"
    );
    assert!(reported_wait(100 * MS, 12 * S) < 20 * MS, "forty successes: the delay counts as network delay");
}
