//! The simulated fleet: random days with three tiers of sites and hundreds of fronts, and detection of
//! disabled safeguards.

use lilacpitch_fleet::Safeguards;
use lilacpitch_testbed::fleet::simulated_cluster::{RunResult, Shape, SimulatedCluster};
use rayon::prelude::*;

fn run(shape: &Shape, seeds: std::ops::Range<u64>) -> Vec<(u64, RunResult)> {
    seeds.into_par_iter().map(|seed| (seed, SimulatedCluster::new(shape.clone(), seed).run())).collect()
}

fn first_breach(days: &[(u64, RunResult)]) -> Option<String> {
    days.iter().find_map(|(seed, day)| day.breaches.first().map(|breach| format!("seed {seed}: {breach:?}")))
}

#[test]
fn random_days_of_three_tiers_keep_all_guarantees() {
    let days = run(&Shape::tiers(2, 2, 3), 0..60);
    assert_eq!(first_breach(&days), None);
    let judged: (usize, usize) =
        days.iter().fold((0, 0), |sum, (_, day)| (sum.0 + day.checked.0, sum.1 + day.checked.1));
    assert!(judged.0 > 1_000 && judged.1 > 1_000, "{judged:?}");
    // The same seed gives the same result.
    let again = SimulatedCluster::new(Shape::tiers(2, 2, 3), 7).run();
    assert_eq!((again.locates, again.messages), (days[7].1.locates, days[7].1.messages));
}

#[test]
fn three_hundred_fronts_keep_all_guarantees() {
    let shape = Shape { length_ns: 6_000_000_000, ..Shape::tiers(5, 3, 20) };
    assert_eq!((shape.parents.len(), shape.homes.len()), (21, 300));
    let days = run(&shape, 0..1);
    assert_eq!(first_breach(&days), None);
    assert!(days[0].1.locates.1 > 300, "{:?}", days[0].1.locates);
}

#[test]
fn detects_each_disabled_safeguard() {
    let enabled = Safeguards::default();
    let cases = [
        (1, Safeguards { summary_age: false, ..enabled }),
        (2, Safeguards { unreached_sites: false, ..enabled }),
        (3, Safeguards { stale_fills: false, ..enabled }),
        (5, Safeguards { acknowledgements: false, ..enabled }),
    ];
    for (guarantee, safeguards) in cases {
        let days = run(&Shape { safeguards, ..Shape::tiers(2, 2, 3) }, 0..30);
        let breaches = days.iter().flat_map(|(_, day)| &day.breaches);
        let detected = breaches.filter(|(violated, _)| *violated == guarantee).count();
        assert!(detected > 0, "no violation of guarantee {guarantee} with {safeguards:?}");
    }
}

/// `cargo test --release -p lilacpitch-testbed --test virtual_fleet -- --ignored --nocapture`
#[test]
#[ignore = "a minute: docs/operate/laboratory.md says how to run it"]
fn five_hundred_drawn_days() {
    let days = run(&Shape { faults: 16, ..Shape::tiers(2, 3, 3) }, 1_000..1_500);
    let broken = days.iter().filter(|(_, day)| !day.breaches.is_empty()).count();
    let looks = days.iter().fold((0, 0, 0), |sum, (_, day)| {
        (sum.0 + day.locates.0, sum.1 + day.locates.1, sum.2 + day.locates.2)
    });
    let judged = days.iter().fold((0, 0), |sum, (_, day)| (sum.0 + day.checked.0, sum.1 + day.checked.1));
    println!("{} days, broken {broken}, looks {looks:?}, judged {judged:?}", days.len());
    assert_eq!(first_breach(&days), None);
}
