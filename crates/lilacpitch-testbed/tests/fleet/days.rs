//! Runs of a cluster with random faults, checked against the guarantees.

use lilacpitch_testbed::fleet::cluster::{Cluster, Plan};
use lilacpitch_testbed::fleet::day::{draw_faults, run, Day, Played, ScheduledFault, TERMS};
use std::path::Path;
use std::time::Duration;

fn plan() -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(3, 2, 1) }
}

/// Runs a day and returns its result.
pub(crate) fn run_day(
    plan: Plan,
    day: &Day,
    choose_faults: impl FnOnce(&Cluster) -> Vec<ScheduledFault>,
) -> Played {
    run(plan, day, Path::new(env!("CARGO_BIN_EXE_lilacpitch-testbed")), choose_faults).unwrap()
}

/// Asserts that no guarantee was violated, no process exited, and there was something to check.
fn assert_guarantees_kept(played: &Played) {
    assert_eq!(played.breaches, vec![], "{played:?}");
    assert_eq!(played.fallen, Vec::<String>::new());
    assert!(played.judged.found > 0 && played.judged.answers > 0, "{played:?}");
}

#[test]
fn run_without_faults_keeps_all_guarantees() {
    let day = Day { length: Duration::from_secs(4), after: Duration::from_secs(2), ..Day::default() };
    let played = run_day(plan(), &day, |_| Vec::new());
    assert_guarantees_kept(&played);
    let judged = played.judged;
    assert!(
        judged.gone > 0 && judged.not_refilled > 0 && judged.acknowledged > 0 && judged.leases > 0,
        "{judged:?}"
    );
    assert!(played.looks.0 * 2 >= played.looks.1, "{:?}", played.looks);
}

#[test]
fn run_with_random_faults_keeps_all_guarantees_and_recovers() {
    let day = Day::default();
    let played = run_day(plan(), &day, |cluster| draw_faults(cluster, day.length, 12, day.seed));
    assert_guarantees_kept(&played);
    assert!(played.after.0 * 2 >= played.after.1, "{:?}", played.after);
}

/// `LILACPITCH_DAYS=20 cargo test -p lilacpitch-testbed --release --test fleet -- --ignored drawn_days --nocapture`
#[test]
#[ignore = "minutes: docs/operate/laboratory.md says how to run it"]
fn drawn_days() {
    let days = std::env::var("LILACPITCH_DAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(20u64);
    let first = std::env::var("LILACPITCH_FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(1u64);
    let mut broken = 0;
    for seed in first..first + days {
        let day = Day { seed, ..Day::default() };
        let played =
            run_day(Plan { seed, ..plan() }, &day, |cluster| draw_faults(cluster, day.length, 12, seed));
        println!("seed {seed}: {played:?}");
        broken += usize::from(!played.breaches.is_empty() || !played.fallen.is_empty());
    }
    assert_eq!(broken, 0, "days with a violated guarantee");
}
