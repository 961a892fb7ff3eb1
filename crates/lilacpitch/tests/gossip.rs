//! Peer reports through the public interface: what they change, and what no single one can.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

/// First choices of server 11 that a new front sends there of ten, a third of a second apart, after these words.
fn forwarded_after_reports(reports: &[ServerReport]) -> usize {
    let mut front = Front::new(settings(), &two_servers());
    for (peer, report) in reports.iter().enumerate() {
        front.event(Event::PeerReported { peer: peer as u64, server_reports: vec![*report] });
    }
    let mut there = 0;
    for _ in 0..10 {
        let (id, actions) = front.call(0);
        let to = sent_to(&actions, id).expect("somewhere");
        // Server 11 stays silent for as long, so that nothing of its own is known.
        if to == 22 {
            front.advance(20 * MS);
            front.establish(id, 0);
        } else {
            there += 1;
            front.event(Event::ClientDisconnected(id));
        }
        front.advance(330 * MS);
    }
    there
}

#[test]
fn new_front_follows_majority_of_reports_but_no_single_one() {
    let silent = ServerReport { is_unresponsive: true, ..healthy_report(11) };
    let slow = ServerReport { age_ns: 0, wait_ns: 900 * MS, ..healthy_report(11) };
    let all = forwarded_after_reports(&[]);
    assert_eq!(all, 10, "nobody tells anything: as ever");
    assert_eq!(forwarded_after_reports(&[healthy_report(11), healthy_report(11), healthy_report(11)]), 10);
    assert!(forwarded_after_reports(&[silent, silent, silent]) <= 2, "three call it silent");
    assert_eq!(forwarded_after_reports(&[silent]), 10, "one alone can't make it so");
    assert_eq!(forwarded_after_reports(&[silent, silent, healthy_report(11)]), 10, "nor two against one");
    assert_eq!(
        forwarded_after_reports(&[silent, healthy_report(11), healthy_report(11)]),
        10,
        "nor one against two"
    );
    let held = forwarded_after_reports(&[slow; 4]);
    assert!((5..=8).contains(&held), "held back while the words are fresh, a second or so: {held}");
    assert!(
        forwarded_after_reports(&[slow, healthy_report(11), healthy_report(11), healthy_report(11)]) > held
    );
    let drained = ServerReport { is_draining: true, ..healthy_report(11) };
    assert!(forwarded_after_reports(&[drained, drained, drained]) <= 2);
}

fn forwarded_beside_reports(reports: &[ServerReport]) -> usize {
    forwarded_during(&mut Front::new(settings(), &two_servers()), 40, S, reports)
}

#[test]
fn front_with_few_calls_avoids_server_with_peers_setups_in_flight() {
    let busy = ServerReport { age_ns: 10 * MS, wait_ns: 150 * MS, in_flight: 2, ..healthy_report(11) };
    assert_eq!(forwarded_beside_reports(&[]), 40);
    assert_eq!(forwarded_beside_reports(&[busy; 6]), 0, "ten are out there, and none elsewhere");
    assert_eq!(
        forwarded_beside_reports(&[ServerReport { in_flight: 0, ..busy }; 6]),
        40,
        "nobody waits there now"
    );
    let quick = ServerReport { wait_ns: 20 * MS, ..busy };
    assert_eq!(forwarded_beside_reports(&[quick; 6]), 40, "many are out there, and answered at once");
    // Ten out where six stood in three seconds: the line there is seconds long, whatever those before it waited.
    assert_eq!(forwarded_beside_reports(&[ServerReport { succeeded: 1, ..quick }; 6]), 0);
    assert_eq!(
        forwarded_beside_reports(&[ServerReport { succeeded: 1, in_flight: 0, ..quick }; 6]),
        40,
        "none is in line"
    );
    // Whoever takes it to be silent has its own lost there, not in line.
    let (lost, well) = (
        ServerReport { is_unresponsive: true, ..quick },
        ServerReport { succeeded: 2, in_flight: 0, ..quick },
    );
    assert_eq!(forwarded_beside_reports(&[well, well, well, lost, lost, lost]), 40);
    assert_eq!(forwarded_beside_reports(&[well, well, well, quick, quick, quick]), 0);
    // Two who have some out hold nobody back, and one that is wrong about what stood does not lend them weight.
    let (two, wrong) = (
        ServerReport { succeeded: 1, in_flight: 4, ..quick },
        ServerReport { succeeded: u32::MAX, in_flight: 0, ..quick },
    );
    assert_eq!(forwarded_beside_reports(&[two, two]), 40);
    assert_eq!(forwarded_beside_reports(&[two, two, wrong]), 40, "one alone moves nothing");
    // One that is wrong, whatever it tells, moves nothing; nor do many that told it long ago.
    let wrong = ServerReport { in_flight: 1_000_000, ..busy };
    let still = ServerReport { in_flight: 0, ..busy };
    assert_eq!(forwarded_beside_reports(&[wrong, still, still, still, still, still]), 40);
    assert_eq!(forwarded_beside_reports(&[ServerReport { age_ns: 2 * S, ..busy }; 6]), 40);
}

#[test]
fn fronts_join_short_queue_at_spread_times() {
    // Forty fronts, one server in eleven silent: seventeen held set-ups fell on one empty server in a tenth of a second.
    let joins_after = |calls: usize| {
        let mut front = Front::new(settings(), &[endpoint(11, 1)]);
        assert_eq!(forwarded_during(&mut front, calls, 4 * S, &[]), calls);
        let tell = |front: &mut Front, out: u32| -> Vec<Action> {
            let report = ServerReport { age_ns: 0, succeeded: 2, in_flight: out, ..healthy_report(11) };
            (0..6)
                .flat_map(|peer| front.event(Event::PeerReported { peer, server_reports: vec![report] }))
                .collect()
        };
        tell(&mut front, 4);
        let (id, held) = front.call(0);
        assert_eq!(sent_to(&held, id), None, "24 are in line");
        let from = front.now;
        let mut actions = tell(&mut front, 0);
        while sent_to(&actions, id).is_none() && front.now < from + 600 * MS {
            actions = front.advance(10 * MS);
        }
        assert_eq!(sent_to(&actions, id), Some(11), "a tenth of four seconds at most, and the period's end");
        front.now - from
    };
    let after: Vec<Nanos> = (10..40).map(joins_after).collect();
    let within = |duration_ns| after.iter().filter(|after| **after <= duration_ns).count();
    assert!(within(60 * MS) < 15 && within(200 * MS) > 5 && within(510 * MS) == 30, "{after:?}");
}

#[test]
fn reports_fade_with_age() {
    let old = ServerReport { age_ns: 31 * S, is_unresponsive: true, ..healthy_report(11) };
    assert_eq!(forwarded_after_reports(&[old, old, old]), 10);
    let older = ServerReport { age_ns: 5 * S, wait_ns: 900 * MS, ..healthy_report(11) };
    let fresh = ServerReport { age_ns: 0, ..older };
    assert_eq!(forwarded_after_reports(&[older; 5]), 10, "a wait of five seconds ago is over");
    assert!(forwarded_after_reports(&[fresh; 5]) < 10);
}

#[test]
fn reports_make_no_unusable_server_usable() {
    let mut list = two_servers();
    list[0].availability = Availability::Draining;
    let mut front = Front::new(settings(), &list);
    let fine = ServerReport { in_flight: u32::MAX, wait_ns: 0, ..healthy_report(11) };
    (0..9).for_each(|peer| drop(front.event(Event::PeerReported { peer, server_reports: vec![fine] })));
    let (id, actions) = front.call(1);
    assert_eq!(sent_to(&actions, id), Some(22), "draining stays draining");
    // A cold server gets no more than without.
    let sends = |reported: bool| {
        let mut front = Front::new(settings(), &two_servers());
        front.run_steady(100 * MS, 6 * S);
        let restarted = Endpoint { up_since_ns: front.now, ..endpoint(11, 1) };
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![restarted])));
        if reported {
            (0..9)
                .for_each(|peer| drop(front.event(Event::PeerReported { peer, server_reports: vec![fine] })));
        }
        let from = front.now;
        front.run_steady(100 * MS, 3 * S);
        let to_11 = |a: &Action| matches!(a, Action::ForwardSetup { server: 11, .. });
        front.log.iter().filter(|(at, a)| *at > from && to_11(a)).count()
    };
    assert!(sends(true) <= sends(false), "{} {}", sends(true), sends(false));
    assert!(sends(false) < 30);
}

#[test]
fn server_reported_warming_up_by_most_gets_slow_start_share() {
    let cold = ServerReport { warming_up_for_ns: Some(S), ..healthy_report(11) };
    let mut front = Front::new(settings(), &two_servers());
    (0..3).for_each(|peer| drop(front.event(Event::PeerReported { peer, server_reports: vec![cold] })));
    let reports = |front: &mut Front| {
        let (id, actions) = front.call_with(|c| c.first_choice = 2);
        assert_eq!(sent_to(&actions, id), Some(22));
        front.advance(20 * MS);
        front.establish(id, 0);
        front.controller.server_reports()
    };
    // Own facts speak of what this front itself has seen, and of nothing it was told.
    let own = reports(&mut front);
    assert_eq!(own.len(), 1);
    assert_eq!((own[0].server, own[0].is_unresponsive, own[0].warming_up_for_ns), (22, false, None));
    // It answers at once; all the same it is used like a cold one, far below what is meant for it.
    let reported = forwarded_during(&mut front, 12, 200 * MS, &[]);
    let unreported = forwarded_during(&mut Front::new(settings(), &two_servers()), 12, 200 * MS, &[]);
    assert!((1..=6).contains(&reported) && unreported == 12, "{reported} told, {unreported} untold");
}
