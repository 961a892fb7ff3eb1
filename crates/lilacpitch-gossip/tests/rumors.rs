//! Which rumors a front accepts, retains and passes on.

use lilacpitch::interface::Nanos;
use lilacpitch_gossip::rumors::{Rumor, RumorBoard, MAX_ROUNDS, MAX_RUMORS_PER_SERVER};
use lilacpitch_gossip::{DatagramError, ServerReport};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const NOW: Nanos = 1_700_000_000_000_000_000;

fn report(server: &str, age_ms: u32, wait_ms: u32) -> ServerReport {
    ServerReport {
        server: server.into(),
        age_ms,
        wait_ms,
        in_flight: 0,
        succeeded: 0,
        is_unresponsive: false,
        warming_up_for_ms: None,
        is_draining: false,
    }
}

#[test]
fn rumor_is_new_only_the_first_time_it_is_received() {
    let (mut one, mut two) = (RumorBoard::default(), RumorBoard::default());
    assert!(one.record_report(NOW, 1, &report("r1", 10, 700)));
    let received = two.receive(NOW + 5 * MS, 2, one.next_batch(NOW + 3 * MS, 1_000)).unwrap();
    assert_eq!(received.len(), 1);
    assert_eq!((received[0].0, received[0].1.wait_ms), (1, 700));
    // Sent back to its origin and to the other front again, it is new to neither, and its age only grows.
    assert_eq!(one.receive(NOW + 9 * MS, 1, two.next_batch(NOW + 7 * MS, 1_000)).unwrap(), vec![]);
    assert_eq!(two.receive(NOW + 900 * MS, 2, one.next_batch(NOW + 890 * MS, 1_000)).unwrap(), vec![]);
    assert!(two.next_batch(NOW + 900 * MS, 1_000)[0].1[0].age_ms >= 905);
    assert!(two.next_batch(NOW + 901 * MS, 1_000).is_empty(), "passed on in more than two rounds");
    assert!(one.record_report(NOW + 3_000 * MS, 1, &report("r1", 0, 700)));
    assert!(one.next_batch(NOW + 6_001 * MS, 1_000).is_empty(), "a rumor past its lifetime was passed on");
}

#[test]
fn rumor_carries_set_ups_in_flight() {
    let (mut one, mut two) = (RumorBoard::default(), RumorBoard::default());
    assert!(one.record_report(NOW, 1, &ServerReport { in_flight: 3, ..report("r1", 0, 20) }));
    let received = two.receive(NOW + 5 * MS, 2, one.next_batch(NOW + 3 * MS, 1_000)).unwrap();
    assert_eq!(received[0].1.in_flight, 3);
    // The set-ups are answered 40 ms later: a rumor this much newer is new again.
    assert!(one.record_report(NOW + 40 * MS, 1, &report("r1", 0, 20)));
    let received = two.receive(NOW + 45 * MS, 2, one.next_batch(NOW + 43 * MS, 1_000)).unwrap();
    assert_eq!(received.iter().map(|(_, report)| report.in_flight).collect::<Vec<_>>(), [0]);
    let many = Rumor {
        origin: 9,
        age_ms: 0,
        wait_ms: 0,
        in_flight: u32::MAX,
        succeeded: 0,
        is_unresponsive: false,
        warming_up_for_ms: None,
    };
    assert!(
        two.receive(NOW, 2, vec![("r1".to_string(), vec![many])]).is_err(),
        "accepted an impossible number"
    );
}

#[test]
fn retains_the_newest_rumors_and_fills_batches_up_to_their_capacity() {
    let mut board = RumorBoard::default();
    for origin in 0..50 {
        for server in 0..40 {
            board.record_report(NOW, origin, &report(&format!("server-{server}"), 50 - origin as u32, 1));
        }
    }
    let mut sent_rounds = BTreeMap::new();
    for _ in 0..200 {
        let batch = board.next_batch(NOW, 1_000);
        if batch.is_empty() {
            break;
        }
        let bytes = postcard::to_allocvec(&batch).unwrap().len();
        assert!((100..=1_000).contains(&bytes), "{bytes}");
        for (server, rumors) in batch {
            assert_eq!(
                rumors.iter().map(|rumor| rumor.origin).collect::<Vec<_>>(),
                (26..50).collect::<Vec<_>>()
            );
            *sent_rounds.entry(server).or_insert(0) += 1;
        }
    }
    assert!(sent_rounds.values().all(|rounds| *rounds == MAX_ROUNDS), "{sent_rounds:?}");
    assert_eq!(sent_rounds.len(), 40, "some servers were never sent");
}

#[test]
fn rejects_a_whole_batch_that_is_too_large_or_has_an_invalid_report() {
    let rumor = Rumor {
        origin: 9,
        age_ms: 0,
        wait_ms: 0,
        in_flight: 0,
        succeeded: 0,
        is_unresponsive: false,
        warming_up_for_ms: None,
    };
    let mut board = RumorBoard::default();
    let many = vec![("r1".to_string(), vec![rumor; MAX_RUMORS_PER_SERVER + 1])];
    assert_eq!(board.receive(NOW, 1, many), Err(DatagramError::Malformed("too many rumors")));
    let bad = vec![("r1".to_string(), vec![rumor]), ("a b".to_string(), vec![rumor])];
    assert_eq!(board.receive(NOW, 1, bad), Err(DatagramError::Malformed("a server's name")));
    let long = Rumor { wait_ms: u32::MAX, ..rumor };
    assert!(board.receive(NOW, 1, vec![("r1".to_string(), vec![long])]).is_err());
    assert!(board.next_batch(NOW, 1_000).is_empty(), "part of a rejected batch was recorded");
}
