//! Tests of the rules checker on real sockets: it must report a violation if a safeguard of the front is
//! disabled, and none if all are enabled.

use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::call_rules_checker::Rule;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::edges::Program;
use lilacpitch_testbed::runner::{run_day, RunResult};

/// A day of six seconds in which one server drains, one loses answers, and one resets its connections.
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

fn run_with_safeguards(safeguards: Safeguards) -> RunResult {
    run_day(&day(), &Program::Thread(safeguards)).unwrap()
}

#[test]
fn all_safeguards_enabled_keep_all_rules() {
    let result = run_with_safeguards(Safeguards::default());
    assert_eq!(result.violations, vec![]);
    assert!(result.report.setups > 200, "too few set-ups to check: {}", result.report);
    assert!(result.report.service > 0.5, "{}", result.report);
}

#[test]
fn detects_two_concurrent_attempts() {
    let result = run_with_safeguards(Safeguards { one_attempt: false, ..Safeguards::default() });
    assert!(
        result.violations.iter().any(|violation| violation.rule == Rule::OneAttempt),
        "{:?}",
        result.violations.first()
    );
}

#[test]
fn detects_an_attempt_after_the_drain_grace() {
    let result = run_with_safeguards(Safeguards { drain_deadline: false, ..Safeguards::default() });
    assert!(
        result.violations.iter().any(|violation| violation.rule == Rule::Drains),
        "{:?}",
        result.violations.first()
    );
}

#[test]
fn detects_a_second_final_answer() {
    let result = run_with_safeguards(Safeguards { one_answer: false, ..Safeguards::default() });
    assert!(
        result.violations.iter().any(|violation| violation.rule == Rule::OneAnswer),
        "{:?}",
        result.violations.first()
    );
}

#[test]
fn detects_an_attempt_that_does_not_wait_for_the_release() {
    let result = run_with_safeguards(Safeguards { release: false, ..Safeguards::default() });
    assert!(
        result.violations.iter().any(|violation| violation.rule == Rule::Release),
        "{:?}",
        result.violations.first()
    );
}
