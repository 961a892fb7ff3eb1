//! Tests of the checker of the rules for calls: correct records pass, and each kind of violation is reported
//! under the rule that it violates.

use lilacpitch_protocol::message::call::Answer;
use lilacpitch_testbed::call_rules_checker::{check, Rule, RuleLimits};
use lilacpitch_testbed::record::{Record, Seen};

const MS: u64 = 1_000_000;

fn at(ms: u64, seen: Seen) -> Record {
    Record { at_ns: ms * MS, seen }
}

fn offered(ms: u64, call: &str) -> Record {
    let (call, origin) = (call.to_string(), call.to_string());
    at(ms, Seen::Offered { call, origin, edge: 0, class: 0, budget_ns: 3_000 * MS })
}

fn answer(ms: u64, call: &str, answer: Answer) -> Record {
    at(ms, Seen::Final { call: call.into(), answer })
}

fn setup(ms: u64, server: &str, attempt: u64, call: &str) -> Record {
    at(ms, Seen::Setup { server: server.into(), edge: 0, attempt, call: call.into(), repeat: false })
}

fn answered(ms: u64, server: &str, attempt: u64, stands: bool) -> Record {
    at(ms, Seen::Answered { server: server.into(), edge: 0, attempt, stands })
}

fn ended(ms: u64, server: &str, attempt: u64, cancel: bool) -> Record {
    at(ms, Seen::Ended { server: server.into(), edge: 0, attempt, cancel })
}

fn announced(ms: u64, server: &str, running: bool) -> Record {
    at(ms, Seen::Told { server: server.into(), running })
}

/// Records without a violation. Call `a` is refused by a full server, cancelled at a server that does not
/// answer and established at a third. Call `b` is sent to a draining server within the grace period and is
/// refused after its connection ended.
fn correct_records() -> Vec<Record> {
    vec![
        offered(0, "a"),
        setup(2, "r1", 1, "a"),
        answered(4, "r1", 1, false),
        setup(6, "r2", 2, "a"),
        ended(900, "r2", 2, true),
        setup(1_205, "r3", 3, "a"),
        answered(1_250, "r3", 3, true),
        answer(1_252, "a", Answer::Stands),
        ended(5_000, "r3", 3, false),
        announced(2_000, "r2", false),
        offered(2_100, "b"),
        setup(2_499, "r2", 4, "b"),
        at(2_700, Seen::LinkEnded { server: "r2".into(), edge: 0 }),
        answer(5_110, "b", Answer::Refused),
    ]
}

fn violated_rules(records: &[Record]) -> Vec<Rule> {
    check(records, RuleLimits::default()).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn correct_records_pass_in_any_order() {
    let mut records = correct_records();
    assert_eq!(check(&records, RuleLimits::default()), vec![]);
    records.reverse();
    assert_eq!(check(&records, RuleLimits::default()), vec![]);
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "the testbed is split by concern after the packages in service; see docs/ROADMAP.md"
)]
fn reports_each_violation_under_its_rule() {
    let with_added = |more: Vec<Record>| [correct_records(), more].concat();
    let without = |index: usize| {
        let mut records = correct_records();
        records.remove(index);
        records
    };
    let cases: Vec<(&str, Vec<Record>, Rule, &str)> = vec![
        ("no final answer", without(13), Rule::OneAnswer, "call b, offered at 2.100 s, was never answered"),
        (
            "two final answers",
            with_added(vec![answer(1_300, "a", Answer::Refused)]),
            Rule::OneAnswer,
            "answer 2 for call a",
        ),
        (
            "answer after the deadline",
            with_added(vec![offered(0, "c"), answer(3_021, "c", Answer::Refused)]),
            Rule::OneAnswer,
            "call c answered 21 ms late",
        ),
        (
            "answer for an unknown call",
            with_added(vec![answer(9, "z", Answer::Failed)]),
            Rule::OneAnswer,
            "z, which nobody offered",
        ),
        (
            "set-up for an unknown call",
            with_added(vec![setup(9, "r1", 9, "z")]),
            Rule::OneAnswer,
            "z, which nobody offered",
        ),
        (
            "set-up after the final answer",
            with_added(vec![setup(5_140, "r1", 9, "b")]),
            Rule::OneAnswer,
            "attempt 9 of b reached r1 30 ms after the call was over",
        ),
        (
            "set-up resent after the final answer",
            with_added(vec![at(
                5_140,
                Seen::Setup { server: "r2".into(), edge: 0, attempt: 4, call: "b".into(), repeat: true },
            )]),
            Rule::OneAnswer,
            "attempt 4 of b reached r2 30 ms after the call was over",
        ),
        (
            "set-up after the caller disconnected",
            with_added(vec![
                offered(6_000, "c"),
                at(6_100, Seen::CallerGone { calls: vec!["c".into()] }),
                setup(6_130, "r1", 9, "c"),
            ]),
            Rule::OneAnswer,
            "30 ms after the call was over",
        ),
        (
            "release of a call that was not established",
            with_added(vec![at(5_200, Seen::Released { call: "b".into(), cut: true })]),
            Rule::OneAnswer,
            "call b released without having stood",
        ),
        (
            "two unanswered attempts",
            with_added(vec![
                offered(6_000, "c"),
                setup(6_001, "r1", 8, "c"),
                setup(6_900, "r3", 9, "c"),
                answer(7_000, "c", Answer::Refused),
            ]),
            Rule::OneAttempt,
            "attempt 9 of c reached r3 with attempt 8 out at r1",
        ),
        (
            "second attempt while the first is established",
            with_added(vec![
                offered(6_000, "c"),
                setup(6_001, "r1", 8, "c"),
                answered(6_002, "r1", 8, true),
                setup(6_005, "r3", 9, "c"),
                answer(6_006, "c", Answer::Stands),
            ]),
            Rule::OneAttempt,
            "attempt 9 of c reached r3 with attempt 8 out at r1",
        ),
        (
            "set-up to a draining server after the grace period",
            with_added(vec![
                offered(2_300, "c"),
                setup(2_501, "r2", 9, "c"),
                answer(2_600, "c", Answer::Stands),
            ]),
            Rule::Drains,
            "attempt 9 of c reached r2 501 ms after its drain was told",
        ),
        (
            "repeated drain announcement does not extend the grace period",
            with_added(vec![
                announced(2_400, "r2", false),
                offered(2_300, "c"),
                setup(2_501, "r2", 9, "c"),
                answer(2_600, "c", Answer::Stands),
            ]),
            Rule::Drains,
            "501 ms after",
        ),
        (
            "server overloaded until it failed",
            with_added(vec![at(1, Seen::Fell { server: "r1".into(), multiple: 3.2 })]),
            Rule::ColdServers,
            "r1 fell over, sent 3.20 times",
        ),
        (
            "next attempt too soon after a cancel",
            with_added(vec![
                offered(6_000, "c"),
                setup(6_001, "r1", 8, "c"),
                ended(6_500, "r1", 8, true),
                setup(6_779, "r3", 9, "c"),
                answer(6_800, "c", Answer::Stands),
            ]),
            Rule::Release,
            "attempt 9 of c reached r3 279 ms after the one before",
        ),
        (
            "next attempt too soon after a reset",
            with_added(vec![
                offered(6_000, "c"),
                setup(6_001, "r1", 8, "c"),
                at(6_100, Seen::LinkEnded { server: "r1".into(), edge: 0 }),
                setup(6_250, "r3", 9, "c"),
                answer(6_800, "c", Answer::Stands),
            ]),
            Rule::Release,
            "150 ms after the one before",
        ),
    ];
    for (name, records, rule, text) in cases {
        let violations = check(&records, RuleLimits::default());
        assert_eq!(violations.len(), 1, "{name}: {violations:?}");
        assert_eq!(violations[0].rule, rule, "{name}");
        assert!(violations[0].to_string().contains(text), "{name}: {}", violations[0]);
    }
}

#[test]
fn accepts_permitted_behaviour() {
    let frozen = vec![
        offered(0, "a"),
        at(500, Seen::Frozen { edge: 0 }),
        at(3_500, Seen::Thawed { edge: 0 }),
        answer(3_515, "a", Answer::Refused),
    ];
    assert_eq!(
        violated_rules(&frozen),
        vec![],
        "a deadline that passes while the front is frozen moves to its thaw"
    );
    let not_taken = vec![offered(0, "a"), at(3, Seen::NotTaken { call: "a".into() })];
    assert_eq!(violated_rules(&not_taken), vec![]);
    let drain_ended = [
        correct_records(),
        vec![
            announced(6_000, "r2", true),
            offered(6_001, "c"),
            setup(6_002, "r2", 9, "c"),
            answer(6_003, "c", Answer::Stands),
        ],
    ];
    assert_eq!(violated_rules(&drain_ended.concat()), vec![], "a server whose drain ended may be used");
    let refused_by_full_server = vec![
        offered(0, "a"),
        setup(1, "r1", 1, "a"),
        answered(2, "r1", 1, false),
        setup(3, "r2", 2, "a"),
        answered(4, "r2", 2, true),
        answer(5, "a", Answer::Stands),
    ];
    assert_eq!(
        violated_rules(&refused_by_full_server),
        vec![],
        "an attempt that was refused needs no wait for its release"
    );
    let drained_while_frozen = vec![
        at(400, Seen::Frozen { edge: 0 }),
        announced(500, "r1", false),
        at(1_500, Seen::Thawed { edge: 0 }),
        offered(1_800, "a"),
        setup(1_990, "r1", 1, "a"),
        answered(1_995, "r1", 1, true),
        answer(1_996, "a", Answer::Stands),
    ];
    assert_eq!(
        violated_rules(&drained_while_frozen),
        vec![],
        "the grace period starts when a frozen front can read the list again"
    );
    let frozen_long_after_drain =
        [vec![at(1_000, Seen::Frozen { edge: 0 })], drained_while_frozen[1..].to_vec()].concat();
    assert_eq!(violated_rules(&frozen_long_after_drain), vec![Rule::Drains]);
    let late_long_after_thaw = vec![
        offered(0, "a"),
        at(500, Seen::Frozen { edge: 0 }),
        at(700, Seen::Thawed { edge: 0 }),
        answer(3_515, "a", Answer::Refused),
    ];
    assert_eq!(violated_rules(&late_long_after_thaw), vec![Rule::OneAnswer]);
}
