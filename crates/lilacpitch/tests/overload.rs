//! Overload control through the public interface: symptoms, ceilings, overload states, expected wait.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

/// Five set-ups in a row are turned away: a share that is no chance. Returns the last call, and what became of it.
fn reject_five_in_a_row(front: &mut Front, outcome: Outcome) -> (CallId, Vec<Action>) {
    let mut left = 5;
    loop {
        let (id, sent) = front.call(0);
        let there = sent_to(&sent, id) == Some(11);
        let actions = if there { front.end_attempt(id, 0, 11, outcome) } else { Vec::new() };
        left -= u32::from(there);
        if left == 0 {
            return (id, actions);
        }
        front.event(Event::ClientDisconnected(id));
        front.advance(20 * MS);
    }
}

#[test]
fn one_rejection_among_successes_lowers_no_ceiling_but_five_in_a_row_do() {
    for outcome in [Outcome::Overloaded(Some(S)), Outcome::NoCircuit] {
        let mut front = Front::new(settings(), &[endpoint(11, 1)]);
        front.run_steady(50 * MS, 6 * S);
        let (id, _) = front.call(0);
        front.end_attempt(id, 0, 11, outcome);
        front.event(Event::ClientDisconnected(id));
        front.advance(300 * MS);
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), Some(11), "{outcome:?}: one of a hundred holds nothing back");
        front.establish(id, 0);
        reject_five_in_a_row(&mut front, outcome);
        front.advance(50 * MS);
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), None, "{outcome:?}: five in a row do");
    }
}

#[test]
fn recovers_within_seconds_when_first_response_is_a_rejection() {
    // Found in the laboratory: the first answer ever was 'full', and for 25 s nothing was sent.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    let (id, _) = front.call(0);
    front.end_attempt(id, 0, 11, Outcome::Overloaded(Some(50 * MS)));
    front.event(Event::ClientDisconnected(id));
    let from = front.now;
    front.run_steady(50 * MS, 12 * S);
    let sends =
        front.log.iter().filter(|(at, a)| *at > from && matches!(a, Action::ForwardSetup { .. })).count();
    assert!(sends > 150, "{sends} of 240 in 12 s");
}

#[test]
fn single_symptom_counts_when_server_reports_no_free_line() {
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(50 * MS, 6 * S);
    let (id, _) = front.call(0);
    let report = LoadReport { free_capacity: Some(0.0) };
    front.event(Event::AttemptCompleted {
        call: id,
        attempt: 0,
        server: 11,
        outcome: Outcome::NoCircuit,
        is_final: false,
        report,
    });
    front.advance(50 * MS);
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), None, "no line is free, it says");
}

#[test]
fn backs_off_for_retry_after_of_full_processor() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    let (id, again) = reject_five_in_a_row(&mut front, Outcome::Overloaded(Some(S)));
    assert_eq!(sent_to(&again, id), Some(22), "never ran: tried elsewhere at once");
    front.establish(id, 1);
    front.advance(900 * MS);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.establish(id, 0);
    // What was sent before goes on filling the window for a while; then it is asked again.
    front.advance(2_500 * MS);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn ceiling_rejects_lowest_priority_first_and_relaxes_after_clean_time() {
    // One server, so that nothing can go elsewhere. 5 calls a second stand; then one processor full.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(200 * MS, 6 * S);
    let (last, _) = reject_five_in_a_row(&mut front, Outcome::Overloaded(Some(10 * MS)));
    front.event(Event::ClientDisconnected(last));
    // 5 a second stood, so that is the ceiling, and the window is past both thresholds of it.
    front.advance(20 * MS);
    let (dear, actions) = front.call(1);
    assert_eq!(sent_to(&actions, dear), None, "state 2 holds all non-urgent calls");
    let (urgent, actions) = front.call_with(|c| c.retry_after_cut = true);
    assert_eq!(sent_to(&actions, urgent), Some(11), "urgent calls pass");
    front.establish(urgent, 0);
    front.event(Event::ClientDisconnected(dear));
    // As the window slides, it comes down between S2 and S1: dear calls pass again, cheap ones not yet.
    front.advance(1_300 * MS);
    let (cheap, actions) = front.call(0);
    assert_eq!(sent_to(&actions, cheap), None, "state 1 holds the cheapest tier");
    let (dear, actions) = front.call(1);
    assert_eq!(sent_to(&actions, dear), Some(11), "and no other");
    front.establish(dear, 0);
    front.event(Event::ClientDisconnected(cheap));
    // Clean time later the ceiling no longer decides anything.
    front.advance(20 * S);
    for _ in 0..5 {
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), Some(11));
        front.advance(40 * MS);
        front.establish(id, 0);
    }
}

#[test]
fn limits_forwarded_setups_to_ceiling_with_one_class() {
    let mut one = settings();
    one.classes.truncate(1);
    let mut front = Front::new(one, &[endpoint(11, 1)]);
    front.run_steady(200 * MS, 6 * S);
    let (last, _) = reject_five_in_a_row(&mut front, Outcome::Overloaded(Some(10 * MS)));
    front.event(Event::ClientDisconnected(last));
    let from = front.now;
    front.run_steady(100 * MS, S);
    let sends = |front: &Front, from| {
        front.log.iter().filter(|(at, a)| *at > from && matches!(a, Action::ForwardSetup { .. })).count()
    };
    // 5 a second stood; 10 are offered in 1 s, and S2 of the ceiling leaves room for a few.
    let held = sends(&front, from);
    assert!(held <= 5, "{held}");
    // What stands at once then shows that there is room for all.
    front.run_steady(100 * MS, 5 * S);
    let from = front.now;
    front.run_steady(100 * MS, 2 * S);
    assert!(sends(&front, from) >= 18, "{}", sends(&front, from));
}

#[test]
fn detects_overload_by_backlog_before_any_timeout() {
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(500 * MS, 6 * S);
    // Two a second stand here. Calls that come at once are not all put in line.
    let sent = (0..10)
        .filter(|_| {
            let (id, a) = front.call(0);
            sent_to(&a, id).is_some()
        })
        .count();
    assert!(sent <= 2, "{sent} sent at once");
}

#[test]
fn retries_after_cut_do_not_flood_loaded_server() {
    // Incident i36bc4a: hundreds of cut calls came again at once and passed every state.
    let mut front = Front::new(settings(), &[endpoint(11, 1)]);
    front.run_steady(250 * MS, 6 * S);
    let mut sent = 0;
    for _ in 0..40 {
        let (id, actions) = front.call_with(|c| c.retry_after_cut = true);
        sent += usize::from(sent_to(&actions, id).is_some());
    }
    assert!((2..=10).contains(&sent), "{sent} of 40 sent at once");
}

#[test]
fn backs_off_briefly_when_lines_run_out() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    let (id, _) = front.call(1);
    let again = front.end_attempt(id, 0, 11, Outcome::NoCircuit);
    assert_eq!(sent_to(&again, id), Some(22));
    front.establish(id, 1);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(22), "not asked again at once");
    front.establish(id, 0);
    front.advance(1_300 * MS);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn network_delay_is_not_counted_as_wait() {
    // A front node's day: with a resend gap of 100 ms, set-ups were on their way for 40 to 56 ms of it. A wait of
    // half a gap more counted as late, and a quarter of the calls was refused beside servers with room.
    let mut reported = settings();
    reported.resend_interval_ns = 100 * MS;
    let mut front = Front::new(reported, &[endpoint(11, 1)]);
    let mut out = std::collections::VecDeque::new();
    // 50 calls a second, of which each stands after so many steps of 20 ms: how many of 100 were not sent.
    let mut held = |steps: usize| {
        let before = out.len();
        let mut held = 0;
        for _ in 0..100 {
            let (id, actions) = front.call(0);
            match sent_to(&actions, id) {
                Some(_) => out.push_back(id),
                None => held += 1,
            }
            front.advance(20 * MS);
            while out.len() >= steps.max(1) {
                let done = front.establish(out.pop_front().unwrap(), 0);
                out.extend(done.iter().filter_map(|action| match action {
                    Action::ForwardSetup { call, .. } => Some(*call),
                    _ => None,
                }));
            }
        }
        (before <= steps, held)
    };
    held(1);
    assert_eq!(held(3), (true, 0), "60 ms on the way");
    assert_eq!(held(6), (true, 0), "of 120 ms 60 are waited: calls of the cheapest tier pass");
    let (_, late) = held(12);
    assert!(late > 10, "what waits for more than a gap beyond the way is late all the same: {late}");
}

#[test]
fn shortest_delay_is_not_network_delay_when_few_succeeded() {
    // Many fronts above load 1: all that a front saw there had waited, and what waited as long was taken to be on its way.
    let waits = |interval_ns: Nanos, duration_ns: Nanos| {
        let mut front = Front::new(settings(), &[endpoint(11, 1)]);
        let end = front.now + duration_ns;
        while front.now < end {
            let (id, _) = front.call(0);
            front.advance(200 * MS);
            front.establish(id, 0);
            front.advance(interval_ns);
        }
        front.call(0);
        front.advance(190 * MS);
        front.event(Event::TimerFired);
        front.controller.server_reports()[0].wait_ns
    };
    assert!(waits(3 * S, 12 * S) >= 190 * MS, "four in twelve seconds");
    assert!(waits(100 * MS, 12 * S) < 20 * MS, "forty: what is on its way waits nowhere");
}
