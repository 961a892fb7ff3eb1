//! Server selection through the public interface: first choice, draw, retries elsewhere.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::Event;

#[test]
fn selects_first_choice_when_it_is_open() {
    let mut front = Front::new(settings(), &two_servers());
    for number in [1, 2, 1, 2] {
        let (id, actions) = front.call_with(|c| c.first_choice = number);
        assert_eq!(sent_to(&actions, id), Some(u64::from(number) * 11));
        front.advance(40 * MS);
        front.establish(id, 0);
        front.advance(S);
    }
}

#[test]
fn selects_server_with_fewer_in_flight_when_first_choice_is_unlisted() {
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 6 * S);
    let (busy, actions) = front.call(0);
    assert_eq!(sent_to(&actions, busy), Some(11));
    // Whichever of the two is drawn first, the one without unanswered set-ups wins.
    for _ in 0..8 {
        let (id, actions) = front.call_with(|c| c.first_choice = 9);
        assert_eq!(sent_to(&actions, id), Some(22));
        front.establish(id, 0);
    }
}

#[test]
fn retries_at_once_after_fault() {
    let mut front = Front::new(settings(), &two_servers());
    let (id, _) = front.call(0);
    let done = front.end_attempt(id, 0, 11, Outcome::Fault);
    assert!(sent_to(&done, id).is_some());
}

#[test]
fn retries_elsewhere_after_fault_when_another_server_is_open() {
    // A front node's day: one server of two answered most set-ups by a fault, at once. Calls whose first choice it
    // was went there again, up to the last attempt, and were refused beside a server that was well.
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    for _ in 0..10 {
        let (id, first) = front.call(0);
        let first = sent_to(&first, id).unwrap();
        let done = front.end_attempt(id, 0, first, Outcome::Fault);
        let second = sent_to(&done, id).unwrap();
        assert_ne!(second, first);
        // Faults there too: what is left is tried again.
        let done = front.end_attempt(id, 1, second, Outcome::Fault);
        assert_eq!(sent_to(&done, id), Some(first));
        front.establish(id, 2);
        front.advance(100 * MS);
    }
    let mut alone = Front::new(settings(), &[endpoint(11, 1)]);
    let (id, _) = alone.call(0);
    assert_eq!(
        sent_to(&alone.end_attempt(id, 0, 11, Outcome::Fault), id),
        Some(11),
        "with none other, there again"
    );
}

#[test]
fn skips_exchange_without_circuits_until_it_reports_some() {
    let mut mesh = settings();
    mesh.home = Some(9);
    let mut front = Front::new(mesh, &two_servers());
    let none = LoadReport { free_capacity: Some(0.0) };
    front.event(Event::ServerLoadReported { server: 11, report: none });
    front.advance(30 * S);
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.establish(id, 0);
    front.event(Event::ServerLoadReported { server: 11, report: LoadReport { free_capacity: Some(2.0) } });
    let (id, actions) = front.call(0);
    assert_eq!(sent_to(&actions, id), Some(11));
}
