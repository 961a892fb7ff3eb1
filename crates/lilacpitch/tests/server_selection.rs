//! Server selection through the public interface: first choice, random draw, retries at other servers.

mod common;
use common::*;
use lilacpitch::interface::*;
use lilacpitch::Event;

#[test]
fn selects_first_choice_when_it_is_open() {
    let mut front = Front::new(settings(), &two_servers());
    for number in [1, 2, 1, 2] {
        let (id, actions) = front.place_call_with(|call| call.first_choice = number);
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
    let (busy, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, busy), Some(11));
    // Both servers are drawn in either order; the one without set-ups in flight is selected.
    for _ in 0..8 {
        let (id, actions) = front.place_call_with(|call| call.first_choice = 9);
        assert_eq!(sent_to(&actions, id), Some(22));
        front.establish(id, 0);
    }
}

#[test]
fn retries_at_once_after_fault() {
    let mut front = Front::new(settings(), &two_servers());
    let (id, _) = front.place_call(0);
    let actions = front.end_attempt(id, 0, 11, Outcome::Fault);
    assert!(sent_to(&actions, id).is_some());
}

#[test]
fn retries_elsewhere_after_fault_when_another_server_is_open() {
    // One of two servers answered most set-ups with a fault, at once. Calls with that first choice were sent
    // there again until their last attempt, and were rejected although the other server was healthy.
    let mut front = Front::new(settings(), &two_servers());
    front.run_steady(200 * MS, 4 * S);
    for _ in 0..10 {
        let (id, actions) = front.place_call(0);
        let first = sent_to(&actions, id).unwrap();
        let actions = front.end_attempt(id, 0, first, Outcome::Fault);
        let second = sent_to(&actions, id).unwrap();
        assert_ne!(second, first);
        // After a fault there as well, the only other server is used again.
        let actions = front.end_attempt(id, 1, second, Outcome::Fault);
        assert_eq!(sent_to(&actions, id), Some(first));
        front.establish(id, 2);
        front.advance(100 * MS);
    }
    let mut single_server = Front::new(settings(), &[endpoint(11, 1)]);
    let (id, _) = single_server.place_call(0);
    assert_eq!(
        sent_to(&single_server.end_attempt(id, 0, 11, Outcome::Fault), id),
        Some(11),
        "the same server, if there is no other"
    );
}

#[test]
fn skips_exchange_without_circuits_until_it_reports_some() {
    let mut mesh = settings();
    mesh.home = Some(9);
    let mut front = Front::new(mesh, &two_servers());
    let none = LoadReport { free_capacity: Some(0.0) };
    front.handle(Event::ServerLoadReported { server: 11, report: none });
    front.advance(30 * S);
    let (id, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, id), Some(22));
    front.establish(id, 0);
    front.handle(Event::ServerLoadReported { server: 11, report: LoadReport { free_capacity: Some(2.0) } });
    let (id, actions) = front.place_call(0);
    assert_eq!(sent_to(&actions, id), Some(11));
}
