//! The mechanism through the public interface: window, ceiling, tiers, pick, and the guards beside them.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

fn two() -> Vec<Endpoint> {
    vec![entry(11, 1), entry(22, 2)]
}

#[test]
fn first_choice_is_taken_when_nothing_holds_the_call_back() {
    let mut front = Front::new(settings(), &two());
    for number in [1, 2, 1, 2] {
        let (id, actions) = front.call_with(|c| c.first_choice = number);
        assert_eq!(sent_to(&actions, id), Some(u64::from(number) * 11));
        front.pass(40 * MS);
        front.stands(id, 0);
        front.pass(S);
    }
}

#[test]
fn a_first_choice_that_is_not_listed_leaves_the_draw_by_fewer_unanswered() {
    let mut front = Front::new(settings(), &two());
    front.steady(200 * MS, 6 * S);
    let (busy, actions) = front.call(0);
    assert_eq!(sent_to(&actions, busy), Some(11));
    // Whichever of the two is drawn first, the one without unanswered set-ups wins.
    for _ in 0..8 {
        let (id, actions) = front.call_with(|c| c.first_choice = 9);
        assert_eq!(sent_to(&actions, id), Some(22));
        front.stands(id, 0);
    }
}

/// Five set-ups in a row are turned away: a share that is no chance. Returns the last call, and what became of it.
fn turned_away(front: &mut Front, outcome: Outcome) -> (CallId, Vec<Action>) {
    let mut left = 5;
    loop {
        let (id, sent) = front.call(0);
        let there = sent_to(&sent, id) == Some(11);
        let actions = if there { front.settled(id, 0, 11, outcome) } else { Vec::new() };
        left -= u32::from(there);
        if left == 0 {
            return (id, actions);
        }
        front.event(Event::ClientDisconnected(id));
        front.pass(20 * MS);
    }
}

#[test]
fn one_refusal_among_many_that_stood_cuts_nothing_and_a_run_of_them_does() {
    for outcome in [Outcome::Overloaded(Some(S)), Outcome::NoCircuit] {
        let mut front = Front::new(settings(), &[entry(11, 1)]);
        front.steady(50 * MS, 6 * S);
        let (id, _) = front.call(0);
        front.settled(id, 0, 11, outcome);
        front.event(Event::ClientDisconnected(id));
        front.pass(300 * MS);
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), Some(11), "{outcome:?}: one of a hundred holds nothing back");
        front.stands(id, 0);
        turned_away(&mut front, outcome);
        front.pass(50 * MS);
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), None, "{outcome:?}: five in a row do");
    }
}

#[test]
fn a_first_refusal_at_a_new_front_is_over_in_seconds() {
    // Found in the laboratory: the first answer ever was 'full', and for 25 s nothing was sent.
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    let (id, _) = front.call(0);
    front.settled(id, 0, 11, Outcome::Overloaded(Some(50 * MS)));
    front.event(Event::ClientDisconnected(id));
    let from = front.now;
    front.steady(50 * MS, 12 * S);
    let sends =
        front.log.iter().filter(|(at, a)| *at > from && matches!(a, Action::ForwardSetup { .. })).count();
    assert!(sends > 150, "{sends} of 240 in 12 s");
}

#[test]
fn a_lone_symptom_counts_where_the_server_itself_bears_it_out() {
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    front.steady(50 * MS, 6 * S);
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
    front.pass(50 * MS);
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), None, "no line is free, it says");
}

#[test]
fn a_full_processor_is_left_alone_for_the_wait_that_it_told() {
    let mut front = Front::new(settings(), &two());
    front.steady(200 * MS, 4 * S);
    let (id, again) = turned_away(&mut front, Outcome::Overloaded(Some(S)));
    assert_eq!(sent_to(&again, id), Some(22), "never ran: tried elsewhere at once");
    front.stands(id, 1);
    front.pass(900 * MS);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.stands(id, 0);
    // What was sent before goes on filling the window for a while; then it is asked again.
    front.pass(2_500 * MS);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn a_ceiling_refuses_the_cheapest_tier_first_and_lapses_after_clean_time() {
    // One server, so that nothing can go elsewhere. 5 calls a second stand; then one processor full.
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    front.steady(200 * MS, 6 * S);
    let (last, _) = turned_away(&mut front, Outcome::Overloaded(Some(10 * MS)));
    front.event(Event::ClientDisconnected(last));
    // 5 a second stood, so that is the ceiling, and the window is past both thresholds of it.
    front.pass(20 * MS);
    let (dear, actions) = front.call(1);
    assert_eq!(sent_to(&actions, dear), None, "state 2 holds all non-urgent calls");
    let (urgent, actions) = front.call_with(|c| c.retry_after_cut = true);
    assert_eq!(sent_to(&actions, urgent), Some(11), "urgent calls pass");
    front.stands(urgent, 0);
    front.event(Event::ClientDisconnected(dear));
    // As the window slides, it comes down between S2 and S1: dear calls pass again, cheap ones not yet.
    front.pass(1_300 * MS);
    let (cheap, actions) = front.call(0);
    assert_eq!(sent_to(&actions, cheap), None, "state 1 holds the cheapest tier");
    let (dear, actions) = front.call(1);
    assert_eq!(sent_to(&actions, dear), Some(11), "and no other");
    front.stands(dear, 0);
    front.event(Event::ClientDisconnected(cheap));
    // Clean time later the ceiling no longer decides anything.
    front.pass(20 * S);
    for _ in 0..5 {
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), Some(11));
        front.pass(40 * MS);
        front.stands(id, 0);
    }
}

#[test]
fn with_one_class_sends_are_held_at_the_ceiling() {
    let mut one = settings();
    one.classes.truncate(1);
    let mut front = Front::new(one, &[entry(11, 1)]);
    front.steady(200 * MS, 6 * S);
    let (last, _) = turned_away(&mut front, Outcome::Overloaded(Some(10 * MS)));
    front.event(Event::ClientDisconnected(last));
    let from = front.now;
    front.steady(100 * MS, S);
    let sends = |front: &Front, from| {
        front.log.iter().filter(|(at, a)| *at > from && matches!(a, Action::ForwardSetup { .. })).count()
    };
    // 5 a second stood; 10 are offered in 1 s, and S2 of the ceiling leaves room for a few.
    let held = sends(&front, from);
    assert!(held <= 5, "{held}");
    // What stands at once then shows that there is room for all.
    front.steady(100 * MS, 5 * S);
    let from = front.now;
    front.steady(100 * MS, 2 * S);
    assert!(sends(&front, from) >= 18, "{}", sends(&front, from));
}

#[test]
fn a_refused_call_gets_its_answer_with_a_drawn_wait() {
    let mut front = Front::new(settings(), &[]);
    let mut waits = Vec::new();
    for _ in 0..4 {
        let (id, mut actions) = front.call(0);
        actions.extend(front.pass(2 * S));
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
fn a_jam_is_seen_by_its_backlog_before_any_time_out() {
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    front.steady(500 * MS, 6 * S);
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
fn an_overtaken_set_up_is_called_off_and_sent_again_after_its_release() {
    // Incident ifcc5a6: a server loses some set-ups and answers the rest at once.
    let mut front = Front::new(settings(), &two());
    front.steady(100 * MS, 6 * S);
    let (lost, actions) = front.call(1);
    assert_eq!(sent_to(&actions, lost), Some(11));
    front.pass(20 * MS);
    let (quick, actions) = front.call(1);
    assert_eq!(sent_to(&actions, quick), Some(11));
    front.pass(30 * MS);
    front.stands(quick, 0);
    let done = front.pass(600 * MS);
    assert!(done.contains(&Action::CancelAttempt { call: lost, attempt: 0 }));
    front.settled(lost, 0, 11, Outcome::Cancelled);
    let done = front.pass(249 * MS);
    assert_eq!(sent_to(&done, lost), None);
    let done = front.pass(10 * MS);
    assert!(sent_to(&done, lost).is_some());
    // One loss is not silence: others still go there.
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn a_silent_server_gets_single_live_calls_until_one_stands() {
    let mut front = Front::new(settings(), &two());
    front.steady(200 * MS, 6 * S);
    let (first, _) = front.call(1);
    let done = front.pass(1_100 * MS);
    assert!(done.contains(&Action::CancelAttempt { call: first, attempt: 0 }), "silent: called off");
    front.settled(first, 0, 11, Outcome::Cancelled);
    let mut trials = 0;
    for _ in 0..60 {
        let (id, actions) = front.call(1);
        match sent_to(&actions, id) {
            Some(11) => trials += 1,
            Some(_) => {
                front.stands(id, 0);
            }
            None => {}
        }
        for action in front.pass(50 * MS) {
            if let Action::CancelAttempt { call, attempt } = action {
                front.settled(call, attempt, 11, Outcome::Cancelled);
            }
        }
    }
    assert!((1..=4).contains(&trials), "{trials} trials in 3 s");
}

#[test]
fn cut_calls_that_come_again_together_do_not_flood_a_pressed_server() {
    // Incident i36bc4a: hundreds of cut calls came again at once and passed every state.
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    front.steady(250 * MS, 6 * S);
    let mut sent = 0;
    for _ in 0..40 {
        let (id, actions) = front.call_with(|c| c.retry_after_cut = true);
        sent += usize::from(sent_to(&actions, id).is_some());
    }
    assert!((2..=10).contains(&sent), "{sent} of 40 sent at once");
}

#[test]
fn a_front_that_stands_still_answers_earlier_from_then_on() {
    // Incident i9e28fc: batches came late, and the time of held calls ran out meanwhile.
    let mut front = Front::new(settings(), &[entry(11, 1)]);
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
fn a_server_just_started_gets_its_share_only_and_no_burst() {
    let mut front = Front::new(settings(), &two());
    for number in [1, 2] {
        for _ in 0..30 {
            let (id, _) = front.call_with(|c| c.first_choice = number);
            front.pass(40 * MS);
            front.stands(id, 0);
        }
    }
    let fresh = Endpoint { up_since_ns: front.now, ..entry(33, 3) };
    front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![fresh])));
    let mut sent = 0;
    for _ in 0..100 {
        let (id, actions) = front.call_with(|c| c.first_choice = 3);
        sent += usize::from(sent_to(&actions, id) == Some(33));
        front.stands(id, 0);
        front.pass(10 * MS);
    }
    // 12 a second stood at the warm ones at most; 0.3 of that, and growth from what stands.
    assert!((1..=6).contains(&sent), "{sent} in the first second");
}

#[test]
fn a_server_back_under_its_id_climbs_from_its_own_earlier_rate() {
    // granja-peru big-2: a large server came back beside small ones and got a share of what those take.
    let mut front = Front::new(settings(), &two());
    front.steady(60 * MS, 6 * S);
    front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
        availability: Availability::Removed,
        ..entry(11, 1)
    }])));
    front.pass(3 * S);
    front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
        up_since_ns: front.now,
        ..entry(11, 1)
    }])));
    let from = front.now;
    front.steady(60 * MS, 3 * S);
    let back = |a: &Action| matches!(a, Action::ForwardSetup { server: 11, .. });
    let sent = front.log.iter().filter(|(at, a)| *at > from && back(a)).count();
    // 16 a second before: about a third of that at first, not the trickle of 2 in a window.
    assert!((8..=30).contains(&sent), "{sent} in 3 s");
}

#[test]
fn free_lines_that_ran_out_set_a_ceiling_and_a_short_rest() {
    let mut front = Front::new(settings(), &two());
    front.steady(200 * MS, 4 * S);
    let (id, _) = front.call(1);
    let again = front.settled(id, 0, 11, Outcome::NoCircuit);
    assert_eq!(sent_to(&again, id), Some(22));
    front.stands(id, 1);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(22), "not asked again at once");
    front.stands(id, 0);
    front.pass(1_300 * MS);
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut front = Front::new(settings(), &two());
        front.steady(30 * MS, 3 * S);
        for i in 0..50 {
            front.call_with(|c| c.first_choice = 1 + i % 3);
            front.pass(20 * MS);
        }
        front.pass(5 * S);
        front.log
    };
    let (one, other) = (run(), run());
    assert!(one.len() > 100);
    assert_eq!(one, other);
}

#[test]
fn odd_events_are_taken_without_a_panic_or_an_answer() {
    let mut front = Front::new(settings(), &two());
    let (id, _) = front.call(0);
    let quiet = |actions: Vec<Action>| actions.iter().all(|a| matches!(a, Action::SetTimer(_)));
    assert!(quiet(front.stands(999, 0)), "unknown call");
    assert!(quiet(front.stands(id, 5)), "attempt never made");
    assert!(quiet(front.settled(999, 0, 11, Outcome::TimedOut)));
    assert!(quiet(front.settled(id, 7, 11, Outcome::TimedOut)), "attempt never made");
    assert!(quiet(front.settled(id, 7, 777, Outcome::Unreachable)), "server never listed");
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
    assert!(quiet(front.stands(id, 0)), "the call itself was kept");
}

#[test]
fn a_caller_who_dials_again_past_the_wanted_time_leaves_room_for_fresh_calls() {
    // Busy days: half of the calls in a jam were callers dialling again, served late in place of fresh ones.
    let mut front = Front::new(settings(), &[]);
    let (first, _) = front.call_with(|c| c.dialled = Some(77));
    let done = front.pass(S);
    assert!(answered(&done, first), "no server: refused");
    front.event(Event::EndpointsUpdated(EndpointUpdate::Full(vec![entry(11, 1)])));
    front.steady(100 * MS, 4 * S);
    // Four set-ups out: a wait between half and all of what holds the cheapest tier back.
    let out: Vec<_> = (0..4).map(|_| front.call(0).0).collect();
    let (late, actions) = front.call_with(|c| {
        c.class = 1;
        c.dialled = Some(77);
    });
    assert_eq!(sent_to(&actions, late), None, "even of the dear class");
    let (fresh, actions) = front.call_with(|c| c.dialled = Some(78));
    assert_eq!(sent_to(&actions, fresh), Some(11));
    out.into_iter().for_each(|id| _ = front.stands(id, 0));
    front.stands(fresh, 0);
    front.pass(300 * MS);
    assert_eq!(front.attempts(late), 1, "sent once there is room");
}

#[test]
fn a_busy_number_rests_but_for_single_live_calls() {
    // Incident i7cd8b0: one number drew a sixth of all calls, and its lines were busy.
    let mut front = Front::new(settings(), &two());
    front.steady(200 * MS, 4 * S);
    let (id, _) = front.call_with(|c| c.dialled = Some(5));
    let done = front.settled(id, 0, 11, Outcome::LinesBusy);
    assert!(answered(&done, id) && sent_to(&done, id).is_none());
    let mut sent = 0;
    for _ in 0..60 {
        let (id, actions) = front.call_with(|c| c.dialled = Some(5));
        if let Some(server) = sent_to(&actions, id) {
            sent += 1;
            front.settled(id, 0, server, Outcome::LinesBusy);
        } else {
            assert!(answered(&actions, id), "refused at once");
        }
        front.pass(50 * MS);
    }
    assert!((1..=4).contains(&sent), "{sent} of 60");
    let (id, actions) = front.call_with(|c| c.dialled = Some(6));
    assert!(sent_to(&actions, id).is_some(), "other numbers pass");
}

#[test]
fn a_fault_of_signalling_is_tried_again_at_once() {
    let mut front = Front::new(settings(), &two());
    let (id, _) = front.call(0);
    let done = front.settled(id, 0, 11, Outcome::Fault);
    assert!(sent_to(&done, id).is_some());
}

#[test]
fn a_server_that_is_far_away_is_not_taken_to_be_busy() {
    // A front node's day: with a resend gap of 100 ms, set-ups were on their way for 40 to 56 ms of it. A wait of
    // half a gap more counted as late, and a quarter of the calls was refused beside servers with room.
    let mut told = settings();
    told.resend_interval_ns = 100 * MS;
    let mut front = Front::new(told, &[entry(11, 1)]);
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
            front.pass(20 * MS);
            while out.len() >= steps.max(1) {
                let done = front.stands(out.pop_front().unwrap(), 0);
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
fn a_call_that_met_a_fault_goes_elsewhere_where_another_is_open() {
    // A front node's day: one server of two answered most set-ups by a fault, at once. Calls whose first choice it
    // was went there again, up to the last attempt, and were refused beside a server that was well.
    let mut front = Front::new(settings(), &two());
    front.steady(200 * MS, 4 * S);
    for _ in 0..10 {
        let (id, first) = front.call(0);
        let first = sent_to(&first, id).unwrap();
        let done = front.settled(id, 0, first, Outcome::Fault);
        let second = sent_to(&done, id).unwrap();
        assert_ne!(second, first);
        // Faults there too: what is left is tried again.
        let done = front.settled(id, 1, second, Outcome::Fault);
        assert_eq!(sent_to(&done, id), Some(first));
        front.stands(id, 2);
        front.pass(100 * MS);
    }
    let mut alone = Front::new(settings(), &[entry(11, 1)]);
    let (id, _) = alone.call(0);
    assert_eq!(
        sent_to(&alone.settled(id, 0, 11, Outcome::Fault), id),
        Some(11),
        "with none other, there again"
    );
}

#[test]
fn a_quick_server_that_loses_one_set_up_gets_a_scout_and_keeps_no_ceiling() {
    // Incident ifd31ec: servers that lose a third of their set-ups were left almost unused.
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    for _ in 0..12 {
        let (id, _) = front.call(0);
        front.pass(40 * MS);
        front.stands(id, 0);
        front.pass(460 * MS);
    }
    let (lost, _) = front.call(0);
    front.pass(300 * MS);
    let (held, actions) = front.call(0);
    assert_eq!(sent_to(&actions, held), None, "one out already, of two a second that stand");
    let done = front.pass(350 * MS);
    assert_eq!(sent_to(&done, held), Some(11), "a gap on, and as far apart as usual, one goes to find out");
    let done = front.stands(held, 0);
    assert!(done.contains(&Action::CancelAttempt { call: lost, attempt: 0 }));
    front.event(Event::ClientDisconnected(lost));
    // Two a second would be past any ceiling set to what stood of late; several a second pass.
    for _ in 0..8 {
        let (id, actions) = front.call(0);
        assert_eq!(sent_to(&actions, id), Some(11));
        front.pass(30 * MS);
        front.stands(id, 0);
        front.pass(100 * MS);
    }
}

#[test]
fn an_exchange_without_circuits_is_not_tried_until_it_tells_of_some() {
    let mut mesh = settings();
    mesh.home = Some(9);
    let mut front = Front::new(mesh, &two());
    let none = LoadReport { free_capacity: Some(0.0) };
    front.event(Event::ServerLoadReported { server: 11, report: none });
    front.pass(30 * S);
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.stands(id, 0);
    front.event(Event::ServerLoadReported { server: 11, report: LoadReport { free_capacity: Some(2.0) } });
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), Some(11));
}

#[test]
fn a_flapping_server_is_used_only_while_listed_and_each_time_as_cold() {
    let mut front = Front::new(settings(), &two());
    front.steady(100 * MS, 4 * S);
    for _ in 0..5 {
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
            availability: Availability::Removed,
            ..entry(11, 1)
        }])));
        let from = front.now;
        front.steady(100 * MS, S);
        let there = |a: &Action| matches!(a, Action::ForwardSetup { server: 11, .. });
        assert!(!front.log.iter().any(|(at, a)| *at > from && there(a)), "nothing new while gone");
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
            up_since_ns: front.now,
            ..entry(11, 1)
        }])));
        let from = front.now;
        front.steady(100 * MS, S);
        let sent = front.log.iter().filter(|(at, a)| *at > from && there(a)).count();
        assert!((1..=6).contains(&sent), "ten a second before; {sent} in its first second");
    }
}

#[test]
fn a_machine_that_replaces_another_takes_its_number_and_its_share() {
    // south-routing: after a replacement under a new id nothing was sent until the new server was warm.
    for (old, new) in [(11, 44), (44, 11)] {
        let mut front = Front::new(settings(), &[entry(old, 1), entry(22, 2)]);
        front.steady(60 * MS, 6 * S);
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![
            Endpoint { availability: Availability::Draining, ..entry(old, 1) },
            Endpoint { up_since_ns: front.now, ..entry(new, 1) },
        ])));
        let from = front.now;
        front.steady(60 * MS, 3 * S);
        let there = |a: &Action| matches!(a, Action::ForwardSetup { server, .. } if *server == new);
        let sent = front.log.iter().filter(|(at, a)| *at > from && there(a)).count();
        // 16 a second before: a third of that and more, but not all of it.
        assert!((8..=30).contains(&sent), "{sent} in 3 s");
    }
}

#[test]
fn what_a_front_missed_while_it_stood_still_is_held_against_no_server() {
    // ar-licencias-later: fronts stand still for up to 2 s and then find all answers at once.
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    front.steady(200 * MS, 4 * S);
    for _ in 0..4 {
        let (id, _) = front.call(0);
        front.now += 2 * S;
        front.stands(id, 0);
        let (cheap, actions) = front.call(0);
        assert_eq!(sent_to(&actions, cheap), Some(11), "no jam was seen");
        front.pass(40 * MS);
        front.stands(cheap, 0);
        front.pass(2 * S);
    }
}

#[test]
fn one_long_standstill_is_forgotten_in_time() {
    let mut front = Front::new(settings(), &[entry(11, 1)]);
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::ForwardSetup { timeout_ns, .. } => Some(*timeout_ns),
            _ => None,
        })
    };
    front.now += 2 * S;
    front.event(Event::TimerFired);
    front.pass(4 * S);
    let (id, actions) = front.call(1);
    assert!(timeout(&actions).is_some_and(|t| t <= 1_500 * MS), "still expected 4 s later");
    front.stands(id, 0);
    front.pass(180 * S);
    let (_, actions) = front.call(1);
    assert!(timeout(&actions).is_some_and(|t| t > 2_800 * MS), "forgotten minutes later");
}

// ---- What other fronts tell ----

fn calm(server: ServerId) -> ServerReport {
    ServerReport {
        server,
        age_ns: 100 * MS,
        wait_ns: 20 * MS,
        in_flight: 0,
        succeeded: 0,
        is_unresponsive: false,
        warming_up_for_ns: None,
        is_draining: false,
    }
}

/// First choices of server 11 that a new front sends there of ten, a third of a second apart, after these words.
fn sent_there(words: &[ServerReport]) -> usize {
    let mut front = Front::new(settings(), &two());
    for (peer, fact) in words.iter().enumerate() {
        front.event(Event::PeerReported { peer: peer as u64, server_reports: vec![*fact] });
    }
    let mut there = 0;
    for _ in 0..10 {
        let (id, actions) = front.call(0);
        let to = sent_to(&actions, id).expect("somewhere");
        // Server 11 stays silent for as long, so that nothing of its own is known.
        if to == 22 {
            front.pass(20 * MS);
            front.stands(id, 0);
        } else {
            there += 1;
            front.event(Event::ClientDisconnected(id));
        }
        front.pass(330 * MS);
    }
    there
}

#[test]
fn what_most_tell_of_a_server_holds_a_new_front_back_and_no_one_alone_does() {
    let silent = ServerReport { is_unresponsive: true, ..calm(11) };
    let slow = ServerReport { age_ns: 0, wait_ns: 900 * MS, ..calm(11) };
    let all = sent_there(&[]);
    assert_eq!(all, 10, "nobody tells anything: as ever");
    assert_eq!(sent_there(&[calm(11), calm(11), calm(11)]), 10);
    assert!(sent_there(&[silent, silent, silent]) <= 2, "three call it silent");
    assert_eq!(sent_there(&[silent]), 10, "one alone can't make it so");
    assert_eq!(sent_there(&[silent, silent, calm(11)]), 10, "nor two against one");
    assert_eq!(sent_there(&[silent, calm(11), calm(11)]), 10, "nor one against two");
    let held = sent_there(&[slow; 4]);
    assert!((5..=8).contains(&held), "held back while the words are fresh, a second or so: {held}");
    assert!(sent_there(&[slow, calm(11), calm(11), calm(11)]) > held);
    let drained = ServerReport { is_draining: true, ..calm(11) };
    assert!(sent_there(&[drained, drained, drained]) <= 2);
}

/// Of so many first choices of server 11, so far apart, those sent there; these words are told before each.
fn answered_there(front: &mut Front, calls: usize, apart_ns: Nanos, words: &[ServerReport]) -> usize {
    let mut there = 0;
    for _ in 0..calls {
        for (peer, fact) in words.iter().enumerate() {
            front.event(Event::PeerReported { peer: peer as u64, server_reports: vec![*fact] });
        }
        let (id, actions) = front.call(0);
        there += usize::from(sent_to(&actions, id) == Some(11));
        front.pass(20 * MS);
        front.stands(id, 0);
        front.pass(apart_ns - 20 * MS);
    }
    there
}

fn sent_there_beside(words: &[ServerReport]) -> usize {
    answered_there(&mut Front::new(settings(), &two()), 40, S, words)
}

#[test]
fn set_ups_that_others_have_out_move_a_front_with_few_calls_elsewhere() {
    let busy = ServerReport { age_ns: 10 * MS, wait_ns: 150 * MS, in_flight: 2, ..calm(11) };
    assert_eq!(sent_there_beside(&[]), 40);
    assert_eq!(sent_there_beside(&[busy; 6]), 0, "ten are out there, and none elsewhere");
    assert_eq!(sent_there_beside(&[ServerReport { in_flight: 0, ..busy }; 6]), 40, "nobody waits there now");
    let quick = ServerReport { wait_ns: 20 * MS, ..busy };
    assert_eq!(sent_there_beside(&[quick; 6]), 40, "many are out there, and answered at once");
    // Ten out where six stood in three seconds: the line there is seconds long, whatever those before it waited.
    assert_eq!(sent_there_beside(&[ServerReport { succeeded: 1, ..quick }; 6]), 0);
    assert_eq!(
        sent_there_beside(&[ServerReport { succeeded: 1, in_flight: 0, ..quick }; 6]),
        40,
        "none is in line"
    );
    // Whoever takes it to be silent has its own lost there, not in line.
    let (lost, well) = (
        ServerReport { is_unresponsive: true, ..quick },
        ServerReport { succeeded: 2, in_flight: 0, ..quick },
    );
    assert_eq!(sent_there_beside(&[well, well, well, lost, lost, lost]), 40);
    assert_eq!(sent_there_beside(&[well, well, well, quick, quick, quick]), 0);
    // Two who have some out hold nobody back, and one that is wrong about what stood does not lend them weight.
    let (two, wrong) = (
        ServerReport { succeeded: 1, in_flight: 4, ..quick },
        ServerReport { succeeded: u32::MAX, in_flight: 0, ..quick },
    );
    assert_eq!(sent_there_beside(&[two, two]), 40);
    assert_eq!(sent_there_beside(&[two, two, wrong]), 40, "one alone moves nothing");
    // One that is wrong, whatever it tells, moves nothing; nor do many that told it long ago.
    let wrong = ServerReport { in_flight: 1_000_000, ..busy };
    let still = ServerReport { in_flight: 0, ..busy };
    assert_eq!(sent_there_beside(&[wrong, still, still, still, still, still]), 40);
    assert_eq!(sent_there_beside(&[ServerReport { age_ns: 2 * S, ..busy }; 6]), 40);
}

/// Whether a lone set-up at server 11 is called off within 1.2 s, three gaps, while these fronts tell that more
/// and more stood there.
fn called_off_beside(peers: u64) -> bool {
    let mut front = Front::new(settings(), &two());
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), Some(11));
    for stood in 1..=12 {
        for peer in 0..peers {
            let fact = ServerReport {
                age_ns: 10 * MS,
                succeeded: stood,
                in_flight: 1,
                wait_ns: 300 * MS,
                ..calm(11)
            };
            front.event(Event::PeerReported { peer, server_reports: vec![fact] });
        }
        front.pass(100 * MS);
    }
    front.log.iter().any(|(_, action)| matches!(action, Action::CancelAttempt { call, .. } if *call == id))
}

#[test]
fn a_server_that_answers_others_is_busy_not_silent() {
    // Many fronts above load 1: one set-up in four was called off while it had its turn coming, for others stood.
    assert!(called_off_beside(0), "nobody tells: silent for two gaps");
    assert!(called_off_beside(1), "one alone keeps nothing out");
    assert!(!called_off_beside(2));
}

#[test]
fn fronts_that_hear_at_once_of_a_short_line_join_it_one_by_one() {
    // Forty fronts, one server in eleven silent: seventeen held set-ups fell on one empty server in a tenth of a second.
    let joins_after = |calls: usize| {
        let mut front = Front::new(settings(), &[entry(11, 1)]);
        assert_eq!(answered_there(&mut front, calls, 4 * S, &[]), calls);
        let tell = |front: &mut Front, out: u32| -> Vec<Action> {
            let fact = ServerReport { age_ns: 0, succeeded: 2, in_flight: out, ..calm(11) };
            (0..6)
                .flat_map(|peer| front.event(Event::PeerReported { peer, server_reports: vec![fact] }))
                .collect()
        };
        tell(&mut front, 4);
        let (id, held) = front.call(0);
        assert_eq!(sent_to(&held, id), None, "24 are in line");
        let from = front.now;
        let mut actions = tell(&mut front, 0);
        while sent_to(&actions, id).is_none() && front.now < from + 600 * MS {
            actions = front.pass(10 * MS);
        }
        assert_eq!(sent_to(&actions, id), Some(11), "a tenth of four seconds at most, and the period's end");
        front.now - from
    };
    let after: Vec<Nanos> = (10..40).map(joins_after).collect();
    let within = |span_ns| after.iter().filter(|after| **after <= span_ns).count();
    assert!(within(60 * MS) < 15 && within(200 * MS) > 5 && within(510 * MS) == 30, "{after:?}");
}

#[test]
fn where_few_stood_the_shortest_of_them_is_not_the_way() {
    // Many fronts above load 1: all that a front saw there had waited, and what waited as long was taken to be on its way.
    let waits = |apart_ns: Nanos, span_ns: Nanos| {
        let mut front = Front::new(settings(), &[entry(11, 1)]);
        let end = front.now + span_ns;
        while front.now < end {
            let (id, _) = front.call(0);
            front.pass(200 * MS);
            front.stands(id, 0);
            front.pass(apart_ns);
        }
        front.call(0);
        front.pass(190 * MS);
        front.event(Event::TimerFired);
        front.brain.server_reports()[0].wait_ns
    };
    assert!(waits(3 * S, 12 * S) >= 190 * MS, "four in twelve seconds");
    assert!(waits(100 * MS, 12 * S) < 20 * MS, "forty: what is on its way waits nowhere");
}

#[test]
fn facts_fade_with_their_age() {
    let old = ServerReport { age_ns: 31 * S, is_unresponsive: true, ..calm(11) };
    assert_eq!(sent_there(&[old, old, old]), 10);
    let older = ServerReport { age_ns: 5 * S, wait_ns: 900 * MS, ..calm(11) };
    let fresh = ServerReport { age_ns: 0, ..older };
    assert_eq!(sent_there(&[older; 5]), 10, "a wait of five seconds ago is over");
    assert!(sent_there(&[fresh; 5]) < 10);
}

#[test]
fn a_fact_makes_nothing_usable_that_is_not() {
    let mut list = two();
    list[0].availability = Availability::Draining;
    let mut front = Front::new(settings(), &list);
    let fine = ServerReport { in_flight: u32::MAX, wait_ns: 0, ..calm(11) };
    (0..9).for_each(|peer| drop(front.event(Event::PeerReported { peer, server_reports: vec![fine] })));
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(22), "draining stays draining");
    // A cold server gets no more than without.
    let sends = |told: bool| {
        let mut front = Front::new(settings(), &two());
        front.steady(100 * MS, 6 * S);
        let back = Endpoint { up_since_ns: front.now, ..entry(11, 1) };
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![back])));
        if told {
            (0..9)
                .for_each(|peer| drop(front.event(Event::PeerReported { peer, server_reports: vec![fine] })));
        }
        let from = front.now;
        front.steady(100 * MS, 3 * S);
        let to_11 = |a: &Action| matches!(a, Action::ForwardSetup { server: 11, .. });
        front.log.iter().filter(|(at, a)| *at > from && to_11(a)).count()
    };
    assert!(sends(true) <= sends(false), "{} {}", sends(true), sends(false));
    assert!(sends(false) < 30);
}

#[test]
fn a_server_that_most_call_cold_gets_its_cold_share() {
    let cold = ServerReport { warming_up_for_ns: Some(S), ..calm(11) };
    let mut front = Front::new(settings(), &two());
    (0..3).for_each(|peer| drop(front.event(Event::PeerReported { peer, server_reports: vec![cold] })));
    let facts = |front: &mut Front| {
        let (id, actions) = front.call_with(|c| c.first_choice = 2);
        assert_eq!(sent_to(&actions, id), Some(22));
        front.pass(20 * MS);
        front.stands(id, 0);
        front.brain.server_reports()
    };
    // Own facts speak of what this front itself has seen, and of nothing it was told.
    let own = facts(&mut front);
    assert_eq!(own.len(), 1);
    assert_eq!((own[0].server, own[0].is_unresponsive, own[0].warming_up_for_ns), (22, false, None));
    // It answers at once; all the same it is used like a cold one, far below what is meant for it.
    let told = answered_there(&mut front, 12, 200 * MS, &[]);
    let untold = answered_there(&mut Front::new(settings(), &two()), 12, 200 * MS, &[]);
    assert!((1..=6).contains(&told) && untold == 12, "{told} told, {untold} untold");
}
