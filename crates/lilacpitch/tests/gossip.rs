//! Peer reports through the public interface: the effect of several peers' reports, and that the reports of a
//! single peer have none.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

/// A new front receives one report from each of several peers, then ten calls with server 11 as first choice,
/// about 350 ms apart. Returns how many it sends to server 11.
fn forwarded_after_reports(reports: &[ServerReport]) -> usize {
    let mut front = Front::new(settings(), &two_servers());
    for (peer, report) in reports.iter().enumerate() {
        front.handle(Event::PeerReported { peer: peer as u64, server_reports: vec![*report] });
    }
    let mut sent = 0;
    for _ in 0..10 {
        let (id, actions) = front.place_call(0);
        let server = sent_to(&actions, id).expect("sent to one of the servers");
        // Server 11 never answers, so that the front has no observations of its own.
        if server == 22 {
            front.advance(20 * MS);
            front.establish(id, 0);
        } else {
            sent += 1;
            front.handle(Event::ClientDisconnected(id));
        }
        front.advance(330 * MS);
    }
    sent
}

#[test]
fn new_front_follows_majority_of_reports_but_no_single_one() {
    let healthy = healthy_report(11);
    let unresponsive = ServerReport { is_unresponsive: true, ..healthy };
    let slow = ServerReport { age_ns: 0, wait_ns: 900 * MS, ..healthy };
    let without_reports = forwarded_after_reports(&[]);
    assert_eq!(without_reports, 10, "without reports every call is sent to its first choice");
    assert_eq!(forwarded_after_reports(&[healthy, healthy, healthy]), 10);
    assert!(
        forwarded_after_reports(&[unresponsive, unresponsive, unresponsive]) <= 2,
        "three peers report it as unresponsive"
    );
    assert_eq!(forwarded_after_reports(&[unresponsive]), 10, "a single report has no effect");
    assert_eq!(
        forwarded_after_reports(&[unresponsive, unresponsive, healthy]),
        10,
        "two against one do not outweigh the neutral reports"
    );
    assert_eq!(forwarded_after_reports(&[unresponsive, healthy, healthy]), 10, "one against two");
    let sent = forwarded_after_reports(&[slow; 4]);
    assert!(
        (5..=8).contains(&sent),
        "calls avoid it for about a second, while the reports are fresh: {sent}"
    );
    assert!(forwarded_after_reports(&[slow, healthy, healthy, healthy]) > sent);
    let draining = ServerReport { is_draining: true, ..healthy };
    assert!(forwarded_after_reports(&[draining, draining, draining]) <= 2);
}

/// A front receives one report from each of several peers before each of 40 calls with server 11 as first
/// choice, a second apart. Returns how many it sends to server 11.
fn forwarded_with_reports(reports: &[ServerReport]) -> usize {
    forwarded_during(&mut Front::new(settings(), &two_servers()), 40, S, reports)
}

#[test]
fn front_with_few_calls_avoids_server_with_peers_setups_in_flight() {
    let waiting = ServerReport { age_ns: 10 * MS, wait_ns: 150 * MS, in_flight: 2, ..healthy_report(11) };
    assert_eq!(forwarded_with_reports(&[]), 40);
    assert_eq!(forwarded_with_reports(&[waiting; 6]), 0, "many set-ups wait there, and none elsewhere");
    assert_eq!(
        forwarded_with_reports(&[ServerReport { in_flight: 0, ..waiting }; 6]),
        40,
        "no set-up is in flight there at present"
    );
    let quick = ServerReport { wait_ns: 20 * MS, ..waiting };
    assert_eq!(forwarded_with_reports(&[quick; 6]), 40, "many set-ups are in flight, but answered quickly");
    // Twelve set-ups are in flight where six succeeded within three seconds: the queue takes seconds,
    // although earlier set-ups waited briefly.
    assert_eq!(forwarded_with_reports(&[ServerReport { succeeded: 1, ..quick }; 6]), 0);
    assert_eq!(
        forwarded_with_reports(&[ServerReport { succeeded: 1, in_flight: 0, ..quick }; 6]),
        40,
        "no set-up is queued"
    );
    // Set-ups in flight of peers that ejected the server are lost, not queued.
    let (ejecting, succeeding) = (
        ServerReport { is_unresponsive: true, ..quick },
        ServerReport { succeeded: 2, in_flight: 0, ..quick },
    );
    assert_eq!(
        forwarded_with_reports(&[succeeding, succeeding, succeeding, ejecting, ejecting, ejecting]),
        40
    );
    assert_eq!(forwarded_with_reports(&[succeeding, succeeding, succeeding, quick, quick, quick]), 0);
    // The set-ups of two peers hold no call back, and a third peer with a wrong count of successes changes
    // nothing.
    let (queueing, wrong) = (
        ServerReport { succeeded: 1, in_flight: 4, ..quick },
        ServerReport { succeeded: u32::MAX, in_flight: 0, ..quick },
    );
    assert_eq!(forwarded_with_reports(&[queueing, queueing]), 40);
    assert_eq!(forwarded_with_reports(&[queueing, queueing, wrong]), 40, "one wrong report has no effect");
    // One wrong report has no effect, and neither have many old ones.
    let wrong = ServerReport { in_flight: 1_000_000, ..waiting };
    let idle = ServerReport { in_flight: 0, ..waiting };
    assert_eq!(forwarded_with_reports(&[wrong, idle, idle, idle, idle, idle]), 40);
    assert_eq!(forwarded_with_reports(&[ServerReport { age_ns: 2 * S, ..waiting }; 6]), 40);
}

#[test]
fn fronts_join_short_queue_at_spread_times() {
    // With forty fronts and one of eleven servers unresponsive, seventeen queued set-ups reached one idle
    // server within 100 ms, because all fronts learned at the same time that its queue was short.
    let join_delay = |calls: usize| {
        let mut front = Front::new(settings(), &[endpoint(11, 1)]);
        assert_eq!(forwarded_during(&mut front, calls, 4 * S, &[]), calls);
        let report_in_flight = |front: &mut Front, in_flight: u32| -> Vec<Action> {
            let report = ServerReport { age_ns: 0, succeeded: 2, in_flight, ..healthy_report(11) };
            (0..6)
                .flat_map(|peer| front.handle(Event::PeerReported { peer, server_reports: vec![report] }))
                .collect()
        };
        report_in_flight(&mut front, 4);
        let (id, actions) = front.place_call(0);
        assert_eq!(sent_to(&actions, id), None, "24 set-ups are queued");
        let start = front.now;
        let mut actions = report_in_flight(&mut front, 0);
        while sent_to(&actions, id).is_none() && front.now < start + 600 * MS {
            actions = front.advance(10 * MS);
        }
        assert_eq!(sent_to(&actions, id), Some(11), "within a tenth of 4 s and the rest of the period");
        front.now - start
    };
    let delays: Vec<Nanos> = (10..40).map(join_delay).collect();
    let within = |duration_ns| delays.iter().filter(|delay| **delay <= duration_ns).count();
    assert!(within(60 * MS) < 15 && within(200 * MS) > 5 && within(510 * MS) == 30, "{delays:?}");
}

#[test]
fn old_reports_have_no_effect() {
    let old = ServerReport { age_ns: 31 * S, is_unresponsive: true, ..healthy_report(11) };
    assert_eq!(forwarded_after_reports(&[old, old, old]), 10);
    let outdated = ServerReport { age_ns: 5 * S, wait_ns: 900 * MS, ..healthy_report(11) };
    let fresh = ServerReport { age_ns: 0, ..outdated };
    assert_eq!(forwarded_after_reports(&[outdated; 5]), 10, "a wait that was observed 5 s ago");
    assert!(forwarded_after_reports(&[fresh; 5]) < 10);
}

#[test]
fn reports_do_not_make_unusable_server_usable() {
    let mut list = two_servers();
    list[0].availability = Availability::Draining;
    let mut front = Front::new(settings(), &list);
    let healthy = ServerReport { in_flight: u32::MAX, wait_ns: 0, ..healthy_report(11) };
    let send_reports = |front: &mut Front| {
        for peer in 0..9 {
            front.handle(Event::PeerReported { peer, server_reports: vec![healthy] });
        }
    };
    send_reports(&mut front);
    let (id, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, id), Some(22), "a draining server is sent nothing");
    // A server in slow start is sent no more set-ups than without reports.
    let setups = |with_reports: bool| {
        let mut front = Front::new(settings(), &two_servers());
        front.run_steady(100 * MS, 6 * S);
        let restarted = Endpoint { up_since_ns: front.now, ..endpoint(11, 1) };
        front.handle(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![restarted])));
        if with_reports {
            send_reports(&mut front);
        }
        let start = front.now;
        front.run_steady(100 * MS, 3 * S);
        let is_to_11 = |action: &Action| matches!(action, Action::ForwardSetup { server: 11, .. });
        front.log.iter().filter(|(at, action)| *at > start && is_to_11(action)).count()
    };
    assert!(setups(true) <= setups(false), "{} with reports, {} without", setups(true), setups(false));
    assert!(setups(false) < 30);
}

#[test]
fn server_reported_warming_up_by_most_gets_slow_start_share() {
    let warming_up = ServerReport { warming_up_for_ns: Some(S), ..healthy_report(11) };
    let mut front = Front::new(settings(), &two_servers());
    for peer in 0..3 {
        front.handle(Event::PeerReported { peer, server_reports: vec![warming_up] });
    }
    let reports_after_call_to_22 = |front: &mut Front| {
        let (id, actions) = front.place_call_with(|call| call.first_choice = 2);
        assert_eq!(sent_to(&actions, id), Some(22));
        front.advance(20 * MS);
        front.establish(id, 0);
        front.controller.server_reports()
    };
    // The front reports its own observations only, and passes no peer reports on.
    let own = reports_after_call_to_22(&mut front);
    assert_eq!(own.len(), 1);
    assert_eq!((own[0].server, own[0].is_unresponsive, own[0].warming_up_for_ns), (22, false, None));
    // Server 11 is limited to its share in slow start although it answers at once.
    let with_reports = forwarded_during(&mut front, 12, 200 * MS, &[]);
    let without = forwarded_during(&mut Front::new(settings(), &two_servers()), 12, 200 * MS, &[]);
    assert!(
        (1..=6).contains(&with_reports) && without == 12,
        "{with_reports} with reports, {without} without"
    );
}
