//! The fleet's cores in virtual time: drawn days, three tiers, hundreds of fronts, promises broken on purpose.

use lilacpitch_fleet::Safeguards;
use lilacpitch_testbed::fleet::simulated_cluster::{Played, Shape, VirtualTown};
use rayon::prelude::*;

fn play(shape: &Shape, seeds: std::ops::Range<u64>) -> Vec<(u64, Played)> {
    seeds.into_par_iter().map(|seed| (seed, VirtualTown::new(shape.clone(), seed).play())).collect()
}

fn first_breach(days: &[(u64, Played)]) -> Option<String> {
    days.iter().find_map(|(seed, day)| day.breaches.first().map(|breach| format!("seed {seed}: {breach:?}")))
}

#[test]
fn drawn_days_of_three_tiers_keep_all_promises() {
    let days = play(&Shape::tiers(2, 2, 3), 0..60);
    assert_eq!(first_breach(&days), None);
    let judged: (usize, usize) = days.iter().fold((0, 0), |a, (_, d)| (a.0 + d.judged.0, a.1 + d.judged.1));
    assert!(judged.0 > 1_000 && judged.1 > 1_000, "{judged:?}");
    // The same seed is the same day.
    let again = VirtualTown::new(Shape::tiers(2, 2, 3), 7).play();
    assert_eq!((again.looks, again.messages), (days[7].1.looks, days[7].1.messages));
}

#[test]
fn three_hundred_fronts_at_twenty_four_sites_keep_all_promises() {
    let shape = Shape { length_ns: 6_000_000_000, ..Shape::tiers(5, 3, 20) };
    assert_eq!((shape.above.len(), shape.homes.len()), (21, 300));
    let days = play(&shape, 0..1);
    assert_eq!(first_breach(&days), None);
    assert!(days[0].1.looks.1 > 300, "{:?}", days[0].1.looks);
}

#[test]
fn each_switch_breaks_its_promise_in_some_days() {
    let on = Safeguards::default();
    let cases = [
        (1, Safeguards { summary_age: false, ..on }),
        (2, Safeguards { unreached_sites: false, ..on }),
        (3, Safeguards { stale_fills: false, ..on }),
        (5, Safeguards { acknowledgements: false, ..on }),
    ];
    for (promise, guards) in cases {
        let days = play(&Shape { guards, ..Shape::tiers(2, 2, 3) }, 0..30);
        let seen = days.iter().flat_map(|(_, day)| &day.breaches).filter(|(of, _)| *of == promise).count();
        assert!(seen > 0, "promise {promise} with {guards:?}");
    }
}

/// `cargo test --release -p lilacpitch-testbed --test virtual_fleet -- --ignored --nocapture`
#[test]
#[ignore = "a minute: docs/operate/laboratory.md says how to run it"]
fn five_hundred_drawn_days() {
    let days = play(&Shape { faults: 16, ..Shape::tiers(2, 3, 3) }, 1_000..1_500);
    let broken = days.iter().filter(|(_, day)| !day.breaches.is_empty()).count();
    let looks = days.iter().fold((0, 0, 0), |a, (_, d)| (a.0 + d.looks.0, a.1 + d.looks.1, a.2 + d.looks.2));
    let judged = days.iter().fold((0, 0), |a, (_, d)| (a.0 + d.judged.0, a.1 + d.judged.1));
    println!("{} days, broken {broken}, looks {looks:?}, judged {judged:?}", days.len());
    assert_eq!(first_breach(&days), None);
}
