//! A front with a guard switched off, on real sockets: the judge must notice. With all guards on, it must not.

use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::call_rules_checker::Rule;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::edges::Program;
use lilacpitch_testbed::runner::{play, Played};

/// Six seconds in which a server drains while others are slow, lose answers, and lose their connections.
fn day() -> Day {
    Day::from_text(
        "day.cue",
        r#"
length: "6s"
edges: 1
per_s: 60
classes: [{name: "one", aim: "1.5s", give_up: "6s", worth: 1, hold: "1s"}]
servers: [
	{name: "r1", pool: "a", per_s: 60},
	{name: "r2", pool: "a", per_s: 60},
	{name: "r3", pool: "b", per_s: 60},
]
troubles: [
	{kind: "drain", at: "1s", for: "4s", servers: ["r3"]},
	{kind: "answers_lost", at: "1s", for: "3s", size: 0.5, servers: ["r2"]},
	{kind: "reset", at: "3s", servers: ["r1"]},
]
"#,
    )
    .unwrap()
}

fn with(guards: Safeguards) -> Played {
    play(&day(), &Program::Thread(guards)).unwrap()
}

#[test]
fn all_guards_on_keep_all_rules() {
    let played = with(Safeguards::default());
    assert_eq!(played.breaches, vec![]);
    assert!(played.report.setups > 200, "the day must be a day: {}", played.report);
    assert!(played.report.service > 0.5, "{}", played.report);
}

#[test]
fn a_second_attempt_out_is_noticed() {
    let broken = with(Safeguards { one_attempt: false, ..Safeguards::default() });
    assert!(broken.breaches.iter().any(|b| b.rule == Rule::OneAttempt), "{:?}", broken.breaches.first());
}

#[test]
fn a_send_after_a_drain_is_noticed() {
    let broken = with(Safeguards { drain_deadline: false, ..Safeguards::default() });
    assert!(broken.breaches.iter().any(|b| b.rule == Rule::Drains), "{:?}", broken.breaches.first());
}

#[test]
fn a_second_answer_is_noticed() {
    let broken = with(Safeguards { one_answer: false, ..Safeguards::default() });
    assert!(broken.breaches.iter().any(|b| b.rule == Rule::OneAnswer), "{:?}", broken.breaches.first());
}

#[test]
fn a_release_not_awaited_is_noticed() {
    let broken = with(Safeguards { release: false, ..Safeguards::default() });
    assert!(broken.breaches.iter().any(|b| b.rule == Rule::Release), "{:?}", broken.breaches.first());
}
