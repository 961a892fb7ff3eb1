//! Each promise broken on purpose, by its switch: the judge sees it. With the switch on, the same troubles pass.

use crate::days::played;
use lilacpitch_lab::fleet::day::{Day, Drawn, Trouble, TERMS};
use lilacpitch_lab::fleet::town::{Plan, Town};
use lilacpitch_lab::fleet::wire::Fault;
use std::time::Duration;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Plays the same troubles with a promise's switch off and on.
fn broken(guard: &str, promise: u32, plan: Plan, troubles: impl Fn(&Town) -> Vec<Drawn>) {
    let day = Day { length: s(7.0), after: s(1.0), numbers: 12, move_gap: s(0.03), seed: 5 };
    let off = played(Plan { breaks: guard.into(), ..plan.clone() }, &day, &troubles);
    assert!(off.breaches.iter().any(|b| b.promise == promise), "{guard} off and not seen: {:?}", off.judged);
    let on = played(plan, &day, &troubles);
    assert_eq!(on.breaches, vec![], "{guard} on");
}

fn plan(fronts_each: usize) -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(1, 2, fronts_each) }
}

/// A site that is cut off from the others by the site above: what is known of it grows old.
#[test]
fn old_summaries_that_rule_out_are_seen() {
    broken("ages", 1, plan(1), |town| {
        vec![(s(1.0), s(5.5), Trouble::Cut(town.index("leaf0-0"), town.index("root-0")))]
    });
}

#[test]
fn a_site_that_is_not_reached_and_not_named_is_seen() {
    broken("says", 2, plan(1), |town| vec![(s(1.0), s(4.0), Trouble::Kill(town.index("leaf0-0")))]);
}

/// A front that is cut off from all serves what it has cached, and people still reach it.
#[test]
fn cached_answers_past_their_lease_are_seen() {
    broken("leases", 3, plan(1), |town| vec![(s(1.5), s(5.0), Trouble::Split(vec![town.index("edge-1")]))]);
}

/// Answers of one site come late, purges do not: what was read before a purge arrives after it.
#[test]
fn refills_with_what_was_read_before_a_purge_are_seen() {
    let terms = TERMS.replace("ask: \"200ms\"", "ask: \"2s\"");
    let fleet = "locate_longest: \"1500ms\"".into();
    broken("refills", 4, Plan { terms, fleet, ..plan(1) }, |town| {
        let late = Fault { delay: s(0.25), ..Fault::default() };
        vec![(s(0.2), s(6.5), Trouble::Bad(town.index("leaf0-0"), town.index("edge-1"), late))]
    });
}

/// Orders reach one front late.
#[test]
fn acknowledgements_that_are_assumed_are_seen() {
    broken("acknowledgements", 5, plan(1), |town| {
        let late = Fault { delay: s(0.2), ..Fault::default() };
        vec![(s(0.5), s(6.0), Trouble::Bad(town.index("leaf0-0"), town.index("edge-0"), late))]
    });
}

/// One of two fronts of a site is cut off from it for long, and asks for a lease with what it had.
#[test]
fn a_lease_for_a_straggler_is_seen() {
    broken("stragglers", 6, plan(2), |town| {
        vec![(s(0.5), s(5.0), Trouble::Cut(town.index("edge-0"), town.index("leaf0-0")))]
    });
}

/// A process that starts anew has granted nothing yet, and is written to at once.
#[test]
fn writes_without_a_lease_are_seen() {
    broken("fences", 6, plan(1), |town| vec![(s(0.5), s(5.0), Trouble::Kill(town.index("leaf0-0")))]);
}
