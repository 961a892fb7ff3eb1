//! Runs in virtual time: the rules on random days, reproducibility, and detection of disabled safeguards.

use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::call_rules_checker::Rule;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::report::Report;
use lilacpitch_testbed::simulated_run::simulate_day;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const KINDS: [&str; 11] = [
    "slow",
    "silent",
    "still",
    "drain",
    "replace",
    "jump",
    "answers_lost",
    "reset",
    "freeze",
    "callers_leave",
    "restart",
];

/// Generates days of 20 s as text, with random numbers of fronts and servers and random faults.
fn random_day() -> impl Strategy<Value = String> {
    let trouble =
        (proptest::sample::select(KINDS.to_vec()), 0..15_000u64, 200..9_000u64, 0.0..1.0f64, 0..5usize);
    let troubles = proptest::collection::vec(trouble, 0..7);
    (1..6usize, 2..5usize, 5.0..90.0f64, 0.4..1.3f64, troubles, any::<u32>()).prop_map(
        |(edges, servers, per_s, load, troubles, seed)| {
            let each = per_s / load / servers as f64;
            let server = |i: usize| format!("{{name: \"r{i}\", pool: \"p{}\", per_s: {each:?}}}, ", i / 2);
            let trouble = |(kind, at, span, size, server): &(&str, u64, u64, f64, usize)| {
                let size = match *kind {
                    "slow" => 1.5 + 8.0 * size,
                    "still" => 50.0 + 600.0 * size,
                    "jump" => 1.0 + 1.5 * size,
                    _ => *size,
                };
                let server = server % servers;
                format!(
                    "\t{{kind: {kind:?}, at: \"{at}ms\", for: \"{span}ms\", size: {size:?}, \
                     servers: [\"r{server}\"], edges: [{}]}},\n",
                    server % edges
                )
            };
            format!(
                "seed: {seed}\nlength: \"20s\"\nedges: {edges}\nper_s: {per_s:?}\n\
                 classes: [{{name: \"a\", aim: \"2s\", give_up: \"9s\", worth: 1, share: 0.8, hold: \"4s\"}}, \
                 {{name: \"b\", aim: \"1.2s\", give_up: \"5s\", worth: 3, share: 0.2, hold: \"6s\"}}]\n\
                 servers: [{}]\ntroubles: [\n{}]\n",
                (0..servers).map(server).collect::<String>(),
                troubles.iter().map(trouble).collect::<String>()
            )
        },
    )
}

#[test]
fn random_days_keep_the_rules() {
    assert_rules_kept(random_day(), cases(60), 200);
}

/// Generates days with few calls per front: 1 to 250 fronts, 2 to 11 servers, loads of 0.2 to 1.4, faults
/// that also affect only a share of the calls, with and without gossip among the fronts.
fn wide_day() -> impl Strategy<Value = String> {
    let kinds =
        ["silent", "replace", "slow", "jump", "reset", "full_share", "no_circuit_share", "unanswered_share"];
    let trouble =
        (proptest::sample::select(kinds.to_vec()), 0..15_000u64, 200..9_000u64, 0.0..1.0f64, 0..11usize);
    let troubles = proptest::collection::vec(trouble, 1..8);
    let edges = prop_oneof![1..20usize, 20..120usize, 120..=250usize];
    (edges, 2..12usize, 4.0..12.0f64, 0.2..1.4f64, troubles, any::<u32>(), any::<bool>()).prop_map(
        |(edges, servers, each, load, troubles, seed, peers)| {
            let per_s = each * load * servers as f64;
            let server = |i: usize| format!("{{name: \"r{i}\", pool: \"p{}\", per_s: {each:?}}}, ", i / 2);
            let trouble = |(kind, at, span, size, server): &(&str, u64, u64, f64, usize)| {
                let size = match *kind {
                    "slow" => 1.5 + 8.0 * size,
                    "jump" => 1.0 + size,
                    _ => size * size,
                };
                let server = server % servers;
                format!("\t{{kind: {kind:?}, at: \"{at}ms\", for: \"{span}ms\", size: {size:?}, servers: [\"r{server}\"]}},\n")
            };
            format!(
                "seed: {seed}\nlength: \"20s\"\nedges: {edges}\nper_s: {per_s:?}\npeers: {peers}\n\
                 classes: [{{name: \"a\", aim: \"2s\", give_up: \"9s\", worth: 1, share: 0.8, hold: \"4s\"}}, \
                 {{name: \"b\", aim: \"1.2s\", give_up: \"5s\", worth: 3, share: 0.2, hold: \"6s\"}}]\n\
                 servers: [{}]\ntroubles: [\n{}]\n",
                (0..servers).map(server).collect::<String>(),
                troubles.iter().map(trouble).collect::<String>()
            )
        },
    )
}

/// Runs random days and asserts that no rule is violated. A failing day is shrunk to a shorter one.
fn assert_rules_kept(days: impl Strategy<Value = String>, cases: u32, min_setups_per_day: u64) {
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 60, ..Config::default() };
    let setups = std::cell::Cell::new(0);
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
        .run(&days, |text| {
            let day = Day::from_text("drawn", &text).unwrap();
            let result = simulate_day(&day, Safeguards::default()).unwrap();
            prop_assert!(result.violations.is_empty(), "{:#?}\n{}", result.violations, text);
            setups.set(setups.get() + result.report.setups);
            Ok(())
        })
        .unwrap();
    assert!(
        setups.get() > u64::from(cases) * min_setups_per_day,
        "too few set-ups to check: {}",
        setups.get()
    );
}

/// Returns the number of random days: `LILACPITCH_DAYS`, or the default.
fn cases(default: u32) -> u32 {
    std::env::var("LILACPITCH_DAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn random_days_of_up_to_250_fronts_keep_the_rules() {
    assert_rules_kept(wide_day(), cases(12), 100);
}

/// Guards against a former fault: the current rate of a cold server was multiplied by the whole time since
/// the last send, so that a hundred fronts that were nearly due all sent to it in its first second.
#[test]
fn many_fronts_do_not_overload_a_cold_server() {
    for text in [
        include_str!("../../../days/evidence/many-fronts-silent-tight.cue"),
        include_str!("../../../days/evidence/many-fronts-replaced.cue"),
    ] {
        for seed in 1..=3 {
            let day = Day { seed, ..Day::from_text("evidence", text).unwrap() };
            let violations = simulate_day(&day, Safeguards::default()).unwrap().violations;
            assert!(violations.is_empty(), "{violations:?}");
        }
    }
}

/// Guards against a former fault, found at loads above 1: a restarting server closes all its connections, and
/// a hundred fronts reconnected 60 ms later, before the endpoint list announced its start.
#[test]
fn server_that_restarts_before_the_list_announces_it_is_not_overloaded() {
    let servers: String =
        (0..11).map(|i| format!("{{name: \"r{i}\", pool: \"p{}\", per_s: 7.148}}, ", i / 2)).collect();
    let text = format!(
        "seed: 2461206106\nlength: \"6s\"\nedges: 99\nper_s: 95.52\npeers: true\n\
         classes: [{{name: \"a\", aim: \"2s\", give_up: \"9s\", worth: 1, share: 0.8, hold: \"4s\"}}, \
         {{name: \"b\", aim: \"1.2s\", give_up: \"5s\", worth: 3, share: 0.2, hold: \"6s\"}}]\n\
         servers: [{servers}]\n\
         troubles: [{{kind: \"silent\", at: \"1844ms\", for: \"1582ms\", servers: [\"r3\"]}}]\n"
    );
    let day = Day::from_text("back before the list", &text).unwrap();
    let violations = simulate_day(&day, Safeguards::default()).unwrap().violations;
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn rare_failures_do_not_starve_a_healthy_server() {
    // Before the fix, the service values were 0.73, 0.59, 0.91, 0.27 and 0.04.
    let cases = [
        (include_str!("../../../days/evidence/full-1-in-50.cue"), 0.98),
        (include_str!("../../../days/evidence/no-circuit-1-in-10.cue"), 0.93),
        (include_str!("../../../days/evidence/full-2s.cue"), 0.93),
        (include_str!("../../../days/evidence/first-full.cue"), 0.6),
        (include_str!("../../../days/evidence/first-unanswered.cue"), 0.6),
    ];
    for (text, min_service) in cases {
        let report =
            simulate_day(&Day::from_text("evidence", text).unwrap(), Safeguards::default()).unwrap().report;
        assert!(report.service > min_service, "{min_service}: {report}\n{text}");
    }
}

/// A front with overlapping restarts is down until the last start, and a freeze ends when its process is
/// killed.
#[test]
fn overlapping_faults_of_one_front_are_merged() {
    let trouble = |kind: &str, at: u64, duration: u64| {
        format!("{{kind: {kind:?}, at: \"{at}s\", for: \"{duration}s\", edges: [0]}}, ")
    };
    let troubles = [
        trouble("restart", 2, 3),
        trouble("restart", 4, 4),
        trouble("freeze", 1, 5),
        trouble("freeze", 6, 6),
        trouble("freeze", 9, 1),
    ];
    let text = format!(
        "length: \"20s\"\nedges: 2\nper_s: 20\nclasses: [{{name: \"a\", aim: \"1s\", give_up: \"5s\", worth: 1}}]\n\
         servers: [{{name: \"r\", pool: \"p\", per_s: 60}}]\ntroubles: [{}]\n",
        troubles.concat()
    );
    let day = Day::from_text("overlaps", &text).unwrap();
    let s = |s: u64| s * 1_000_000_000;
    let script = day.script();
    assert_eq!(script.restarts, vec![(s(2), s(8), 0)]);
    // The freeze at 1 s ends when the process is killed at 2 s. The freeze at 6 s hits a front that is down
    // and has no effect, and the one at 9 s is merged with it.
    assert_eq!(script.suspensions, vec![(s(1), s(2), 0)]);
    assert_eq!(simulate_day(&day, Safeguards::default()).unwrap().violations, vec![]);
}

fn bad_day() -> Day {
    Day::from_text("bad.cue", include_str!("../../../days/bad.cue")).unwrap()
}

#[test]
fn records_are_determined_by_day_and_seed() {
    let first = simulate_day(&bad_day(), Safeguards::default()).unwrap();
    let second = simulate_day(&bad_day(), Safeguards::default()).unwrap();
    assert!(first.records == second.records, "{} and {} records", first.records.len(), second.records.len());
    assert_eq!(first.violations, vec![]);
    let with_other_seed = simulate_day(&Day { seed: 99, ..bad_day() }, Safeguards::default()).unwrap();
    assert!(first.records != with_other_seed.records);
}

#[test]
fn detects_each_disabled_safeguard() {
    let cases = [
        (Safeguards { one_attempt: false, ..Safeguards::default() }, Rule::OneAttempt),
        (Safeguards { drain_deadline: false, ..Safeguards::default() }, Rule::Drains),
        (Safeguards { one_answer: false, ..Safeguards::default() }, Rule::OneAnswer),
        (Safeguards { release: false, ..Safeguards::default() }, Rule::Release),
    ];
    for (safeguards, rule) in cases {
        let result = simulate_day(&bad_day(), safeguards).unwrap();
        assert!(
            result.violations.iter().any(|violation| violation.rule == rule),
            "{rule:?}: {:?}",
            result.violations.first()
        );
    }
}

#[test]
fn each_fault_worsens_the_service() {
    let day_without_faults = Day { troubles: vec![], ..bad_day() };
    let undisturbed = simulate_day(&day_without_faults, Safeguards::default()).unwrap().report;
    assert!(undisturbed.service > 0.97, "{undisturbed}");
    let p99 =
        |report: &Report| report.classes.iter().map(|class| class.setup_us.value_at_quantile(0.99)).max();
    for trouble in bad_day().troubles {
        let day_with_fault = Day { troubles: vec![trouble.clone()], ..bad_day() };
        let report = simulate_day(&day_with_fault, Safeguards::default()).unwrap().report;
        let is_worse = report.worst.0 < undisturbed.worst.0 || p99(&report) > p99(&undisturbed);
        assert!(is_worse, "{:?} has no effect: {report}", trouble.kind);
    }
}
