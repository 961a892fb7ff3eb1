//! Tests of the fronts' gossip membership on a simulated network, and of its report.

use lilacpitch_testbed::membership::{measure, membership, Case};
use lilacpitch_testbed::simulated_network::Network;

const S: u64 = 1_000_000_000;

#[test]
fn without_loss_changes_are_detected_soon_and_without_false_positives() {
    let seen = measure(Case { fronts: 12, lost: 0 }, 1);
    assert!(seen.joined_s.is_some_and(|s| s < 5.0), "{seen:?}");
    assert_eq!(seen.false_per_front_hour, 0.0);
    assert!(seen.steady.0 > 0.5 && seen.steady.1 > 50.0, "too little gossip: {seen:?}");
    assert_eq!(seen.detections_s.len(), 3);
    for (first, all) in &seen.detections_s {
        // Detection takes some time, because a suspicion phase distinguishes a failed front from lost
        // datagrams.
        assert!(first.is_some_and(|s| s > 0.2) && all.is_some_and(|s| s < 30.0), "{seen:?}");
    }
    assert!(seen.rejoined_s.iter().all(|back| back.is_some_and(|s| s < 10.0)), "{seen:?}");
    assert!(seen.healed_s.is_some_and(|s| s < 60.0), "{seen:?}");
    assert!(seen.heal_storm < 10.0, "{seen:?}");
}

#[test]
fn with_total_loss_no_front_joins_and_the_report_shows_it() {
    let rows = membership(&[Case { fronts: 3, lost: 100 }], 1);
    let seen = &rows[0].runs[0];
    assert_eq!((seen.joined_s, seen.healed_s), (None, None));
    assert!(rows[0].to_string().contains("never"), "{}", rows[0]);
}

#[test]
fn runs_are_determined_by_their_seed() {
    let case = Case { fronts: 6, lost: 20 };
    assert_eq!(measure(case, 5), measure(case, 5));
    assert_ne!(measure(case, 5), measure(case, 6));
}

#[test]
fn detects_partition_and_distinguishes_new_incarnation() {
    let mut net = Network::new(6, 3);
    (0..6).for_each(|front| net.start(front));
    net.run(10 * S);
    assert!(net.all_know_all());
    net.conditions.split = 3;
    net.run(60 * S);
    assert!((0..6).all(|front| net.known_members(front) == 2), "each half must see only itself");
    net.conditions.split = 0;
    net.run(60 * S);
    assert!(net.all_know_all());
    net.kill(5);
    net.start(5);
    assert_eq!(net.known_members(0), 4, "the old incarnation must not count as the new one");
    net.run(10 * S);
    assert!(net.all_know_all());
}

/// Guards against two former faults: the first messages to the seeds were not resent after a loss, and each
/// suspicion was sent only twice, so that it might never reach the suspected front.
#[test]
fn few_fronts_join_without_false_positives_at_30_percent_loss() {
    for seed in 1..=4 {
        let seen = measure(Case { fronts: 3, lost: 30 }, seed);
        assert!(seen.joined_s.is_some_and(|s| s < 10.0), "{seed}: {seen:?}");
        assert!(seen.healed_s.is_some(), "{seed}: {seen:?}");
        assert!(seen.rejoined_s.iter().all(|back| back.is_some_and(|s| s < 30.0)), "{seed}: {seen:?}");
        assert_eq!(seen.false_per_front_hour, 0.0, "{seed}");
    }
}

/// Guards against a former fault: one response lists some forty members, and a front that rejoined 250 others
/// was probed by one of them per second. After two minutes it didn't know all of them yet.
#[test]
fn front_that_rejoins_a_large_fleet_learns_all_members_soon() {
    let mut net = Network::new(120, 9);
    (0..120).for_each(|front| net.start(front));
    net.run(20 * S);
    assert!(net.all_know_all());
    net.kill(119);
    net.run(30 * S);
    net.start(119);
    net.run(10 * S);
    assert_eq!(net.known_members(119), 119);
    assert!(net.all_know_all());
}
