//! Days in virtual time: the rules on drawn days, the same day twice, guards switched off.

use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::call_rules_checker::Rule;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::report::Report;
use lilacpitch_testbed::simulated_run::play;
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

/// A day of 20 s as text: so many fronts and servers, and troubles of any kind, at any time, of any size.
fn drawn_day() -> impl Strategy<Value = String> {
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
fn the_rules_are_kept_on_drawn_days() {
    kept_on(drawn_day(), cases(60), 200);
}

/// Days of few calls for each of many fronts: 1 to 250 fronts, 2 to 11 servers, loads of 0.2 to 1.4, troubles by share
/// among the others, with and without peers.
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

/// Plays so many drawn days; a broken rule is cut down to a short day.
fn kept_on(days: impl Strategy<Value = String>, cases: u32, least_setups: u64) {
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 60, ..Config::default() };
    let setups = std::cell::Cell::new(0);
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
        .run(&days, |text| {
            let day = Day::from_text("drawn", &text).unwrap();
            let played = play(&day, Safeguards::default()).unwrap();
            prop_assert!(played.breaches.is_empty(), "{:#?}\n{}", played.breaches, text);
            setups.set(setups.get() + played.report.setups);
            Ok(())
        })
        .unwrap();
    assert!(
        setups.get() > u64::from(cases) * least_setups,
        "the days must be days: {} set-ups",
        setups.get()
    );
}

fn cases(usual: u32) -> u32 {
    std::env::var("LILACPITCH_DAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

#[test]
fn the_rules_are_kept_on_drawn_days_of_up_to_250_fronts() {
    kept_on(wide_day(), cases(12), 100);
}

/// Found in the laboratory: a cold server's rate of now, read over all the time since the last send, let a hundred
/// fronts that were nearly due come in its first second.
#[test]
fn a_hundred_and_twenty_fronts_push_no_cold_server_over() {
    for text in [
        include_str!("../../../days/evidence/many-fronts-silent-tight.cue"),
        include_str!("../../../days/evidence/many-fronts-replaced.cue"),
    ] {
        for seed in 1..=3 {
            let day = Day { seed, ..Day::from_text("evidence", text).unwrap() };
            let breaches = play(&day, Safeguards::default()).unwrap().breaches;
            assert!(breaches.is_empty(), "{breaches:?}");
        }
    }
}

/// Found in drawn days above a load of 1: a server that starts anew ends all its connections, and a hundred fronts were
/// back on new ones 60 ms later, before the list told of its start.
#[test]
fn a_server_back_before_the_list_tells_of_it_is_not_pushed_over() {
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
    let breaches = play(&day, Safeguards::default()).unwrap().breaches;
    assert!(breaches.is_empty(), "{breaches:?}");
}

#[test]
fn few_symptoms_starve_no_server_that_is_well() {
    // By what they had before: 0.73, 0.59, 0.91, 0.27, 0.04.
    let cases = [
        (include_str!("../../../days/evidence/full-1-in-50.cue"), 0.98),
        (include_str!("../../../days/evidence/no-circuit-1-in-10.cue"), 0.93),
        (include_str!("../../../days/evidence/full-2s.cue"), 0.93),
        (include_str!("../../../days/evidence/first-full.cue"), 0.6),
        (include_str!("../../../days/evidence/first-unanswered.cue"), 0.6),
    ];
    for (text, least) in cases {
        let report = play(&Day::from_text("evidence", text).unwrap(), Safeguards::default()).unwrap().report;
        assert!(report.service > least, "{least}: {report}\n{text}");
    }
}

/// A front that is killed twice is down until the later start; a standstill ends with the life that it began in.
#[test]
fn troubles_of_one_front_that_overlap_have_one_meaning() {
    let trouble = |kind: &str, at: u64, lasts: u64| {
        format!("{{kind: {kind:?}, at: \"{at}s\", for: \"{lasts}s\", edges: [0]}}, ")
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
    assert_eq!(script.restart, vec![(s(2), s(8), 0)]);
    // The one from 1 s on ended with its life; the one from 6 s on met nobody, and took the one from 9 s on with it.
    assert_eq!(script.freeze, vec![(s(1), s(2), 0)]);
    assert_eq!(play(&day, Safeguards::default()).unwrap().breaches, vec![]);
}

fn bad_day() -> Day {
    Day::from_text("bad.cue", include_str!("../../../days/bad.cue")).unwrap()
}

#[test]
fn the_same_day_gives_the_same_records_and_another_seed_others() {
    let (one, two) =
        (play(&bad_day(), Safeguards::default()).unwrap(), play(&bad_day(), Safeguards::default()).unwrap());
    assert!(one.records == two.records, "{} and {} records", one.records.len(), two.records.len());
    assert_eq!(one.breaches, vec![]);
    let other = play(&Day { seed: 99, ..bad_day() }, Safeguards::default()).unwrap();
    assert!(one.records != other.records);
}

#[test]
fn each_guard_switched_off_is_noticed() {
    let cases = [
        (Safeguards { one_attempt: false, ..Safeguards::default() }, Rule::OneAttempt),
        (Safeguards { drain_deadline: false, ..Safeguards::default() }, Rule::Drains),
        (Safeguards { one_answer: false, ..Safeguards::default() }, Rule::OneAnswer),
        (Safeguards { release: false, ..Safeguards::default() }, Rule::Release),
    ];
    for (guards, rule) in cases {
        let played = play(&bad_day(), guards).unwrap();
        assert!(played.breaches.iter().any(|b| b.rule == rule), "{rule:?}: {:?}", played.breaches.first());
    }
}

#[test]
fn troubles_do_what_their_names_say() {
    let quiet = Day { troubles: vec![], ..bad_day() };
    let calm = play(&quiet, Safeguards::default()).unwrap().report;
    assert!(calm.service > 0.97, "{calm}");
    let p99 = |report: &Report| report.classes.iter().map(|c| c.setup_us.value_at_quantile(0.99)).max();
    for trouble in bad_day().troubles {
        let one = Day { troubles: vec![trouble.clone()], ..bad_day() };
        let report = play(&one, Safeguards::default()).unwrap().report;
        let worse = report.worst.0 < calm.worst.0 || p99(&report) > p99(&calm);
        assert!(worse, "{:?} does nothing: {report}", trouble.kind);
    }
}
