//! Lost set-ups at a server that answers others: the time after which they are cancelled.

mod common;

use common::*;
use lilacpitch::interface::*;
use lilacpitch::Action;

/// The age at which an overtaken set-up is cancelled, at a server whose delays alternate between two values.
fn age_at_cancellation(delays: [Nanos; 2]) -> Nanos {
    let mut front = Front::new(settings(), &[endpoint(11, 1), endpoint(12, 2)]);
    let mut succeeded = 0;
    while succeeded < 200 {
        let (call, actions) = front.place_call(1);
        front.advance(delays[succeeded % 2]);
        if sent_to(&actions, call) == Some(11) {
            front.establish(call, 0);
        }
        front.advance(200 * MS);
        succeeded += 1;
    }
    let (lost, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, lost), Some(11));
    let sent_ns = front.now;
    front.advance(MS);
    let (next, actions) = front.place_call(1);
    assert_eq!(sent_to(&actions, next), Some(11));
    front.advance(delays[0]);
    front.establish(next, 0);
    while front.now < sent_ns + S {
        // Other traffic causes an event every few milliseconds.
        let mut actions = front.advance(5 * MS);
        actions.extend(front.handle(lilacpitch::Event::TimerFired));
        if actions.contains(&Action::CancelAttempt { call: lost, attempt: 0 }) {
            return front.now - sent_ns;
        }
    }
    panic!("the lost set-up was never cancelled");
}

#[test]
fn lost_setup_is_cancelled_early_when_delays_are_similar() {
    // Of 339 set-ups that were cancelled one resend interval after their network delay, 334 were lost; the
    // release that followed made their calls late (incident r72caf7, scenario rate+silent+leave).
    let age_ns = age_at_cancellation([40 * MS, 42 * MS]);
    assert!((50 * MS..140 * MS).contains(&age_ns), "after {} ms of a resend interval of 400 ms", age_ns / MS);
}

#[test]
fn overtaken_setup_is_kept_for_its_resend_interval_when_delays_vary() {
    // One in six successful set-ups had been overtaken, by up to a resend interval (scenario reload).
    let age_ns = age_at_cancellation([40 * MS, 240 * MS]);
    assert!(
        (400 * MS..500 * MS).contains(&age_ns),
        "after {} ms of a resend interval of 400 ms",
        age_ns / MS
    );
}
