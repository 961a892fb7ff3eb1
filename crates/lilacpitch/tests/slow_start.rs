//! Slow start through the public interface: started, restarted, flapping and replaced servers.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::{Action, Event};

#[test]
fn started_server_gets_its_share_without_burst() {
    let mut front = Front::new(settings(), &two_servers());
    for number in [1, 2] {
        for _ in 0..30 {
            let (id, _) = front.call_with(|c| c.first_choice = number);
            front.advance(40 * MS);
            front.establish(id, 0);
        }
    }
    let fresh = Endpoint { up_since_ns: front.now, ..endpoint(33, 3) };
    front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![fresh])));
    let mut sent = 0;
    for _ in 0..100 {
        let (id, actions) = front.call_with(|c| c.first_choice = 3);
        sent += usize::from(sent_to(&actions, id) == Some(33));
        front.establish(id, 0);
        front.advance(10 * MS);
    }
    // 12 a second stood at the warm ones at most; 0.3 of that, and growth from what stands.
    assert!((1..=6).contains(&sent), "{sent} in the first second");
}

#[test]
fn restarted_server_climbs_from_its_own_earlier_rate() {
    // granja-peru big-2: a large server came back beside small ones and got a share of what those take.
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(60 * MS, 6 * S);
    front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
        availability: Availability::Removed,
        ..endpoint(11, 1)
    }])));
    front.advance(3 * S);
    front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
        up_since_ns: front.now,
        ..endpoint(11, 1)
    }])));
    let from = front.now;
    front.run_steady(60 * MS, 3 * S);
    let restarted = |a: &Action| matches!(a, Action::ForwardSetup { server: 11, .. });
    let sent = front.log.iter().filter(|(at, a)| *at > from && restarted(a)).count();
    // 16 a second before: about a third of that at first, not the trickle of 2 in a window.
    assert!((8..=30).contains(&sent), "{sent} in 3 s");
}

#[test]
fn flapping_server_is_used_only_while_listed_and_always_in_slow_start() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(100 * MS, 4 * S);
    for _ in 0..5 {
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
            availability: Availability::Removed,
            ..endpoint(11, 1)
        }])));
        let from = front.now;
        front.run_steady(100 * MS, S);
        let there = |a: &Action| matches!(a, Action::ForwardSetup { server: 11, .. });
        assert!(!front.log.iter().any(|(at, a)| *at > from && there(a)), "nothing new while gone");
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![Endpoint {
            up_since_ns: front.now,
            ..endpoint(11, 1)
        }])));
        let from = front.now;
        front.run_steady(100 * MS, S);
        let sent = front.log.iter().filter(|(at, a)| *at > from && there(a)).count();
        assert!((1..=6).contains(&sent), "ten a second before; {sent} in its first second");
    }
}

#[test]
fn replacement_inherits_number_and_normal_rate() {
    // south-routing: after a replacement under a new id nothing was sent until the new server was warm.
    for (old, new) in [(11, 44), (44, 11)] {
        let mut front = Front::new(settings(), &[endpoint(old, 1), endpoint(22, 2)]);
        front.run_steady(60 * MS, 6 * S);
        front.event(Event::EndpointsUpdated(EndpointUpdate::Changes(vec![
            Endpoint { availability: Availability::Draining, ..endpoint(old, 1) },
            Endpoint { up_since_ns: front.now, ..endpoint(new, 1) },
        ])));
        let from = front.now;
        front.run_steady(60 * MS, 3 * S);
        let there = |a: &Action| matches!(a, Action::ForwardSetup { server, .. } if *server == new);
        let sent = front.log.iter().filter(|(at, a)| *at > from && there(a)).count();
        // 16 a second before: a third of that and more, but not all of it.
        assert!((8..=30).contains(&sent), "{sent} in 3 s");
    }
}
