//! Leases and acknowledgements, with a clock of the test's own.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PurgeScope, RejectReason, Response};
use lilacpitch_fleet::upstream_selection::{renewal_interval_ns, UpstreamSelection};
use lilacpitch_fleet::Safeguards;

const S: u64 = 1_000_000_000;
const TERMS: LeaseTerms = LeaseTerms { lease_ns: 3 * S, clock_allowance: 0.01, lagging_after_ns: 2 * S };

fn at(index: u64) -> LogPosition {
    LogPosition { log: 7, index }
}

fn child(name: &str, incarnation: u64) -> ChildId {
    ChildId { name: name.into(), incarnation }
}

fn purge() -> CommandAction {
    CommandAction::Purge(vec![PurgeScope::All])
}

/// An aggregator that may grant leases for long, at index 0 of log 7.
fn aggregator() -> AckAggregator {
    let mut aggregator = AckAggregator::new(TERMS, Safeguards::default());
    aggregator.reset(LogTail::starting_at(at(0), Default::default()));
    aggregator.allow_grants_until(1_000 * S, at(0));
    aggregator
}

fn granted(response: Response) -> u64 {
    match response {
        Response::LeaseGranted { for_ns, .. } => for_ns,
        other => panic!("{other:?}"),
    }
}

/// A former leader may have reported commands complete that this process has not taken from its log yet.
#[test]
fn grants_no_lease_before_the_commands_that_its_own_lease_requires() {
    let mut aggregator = aggregator();
    aggregator.allow_grants_until(1_000 * S, at(1));
    let front = child("edge-1", 1);
    assert_eq!(
        aggregator.renew_lease(S, &front, true, Some(at(0)), 0),
        Response::Rejected(RejectReason::NoLease)
    );
    aggregator.append_command(S, purge());
    assert!(granted(aggregator.renew_lease(S, &front, true, Some(at(0)), 0)) > 0);
}

#[test]
fn grants_no_lease_that_outlasts_its_own() {
    let mut aggregator = aggregator();
    aggregator.allow_grants_until(2 * S, at(0));
    let front = child("edge-1", 1);
    assert_eq!(granted(aggregator.renew_lease(S, &front, true, Some(at(0)), 0)), S);
    assert_eq!(
        aggregator.renew_lease(2 * S, &front, true, Some(at(0)), 0),
        Response::Rejected(RejectReason::NoLease)
    );
}

#[test]
fn aggregate_waits_for_every_child_until_its_lease_expires() {
    let mut aggregator = aggregator();
    let (front, process) = (child("edge-1", 1), child("leaf-0", 1));
    granted(aggregator.renew_lease(S, &front, true, Some(at(0)), 0));
    granted(aggregator.renew_lease(S, &process, false, Some(at(0)), 0));
    aggregator.append_command(S, purge());
    let ack = aggregator.aggregate(S);
    assert_eq!((ack.acknowledged, ack.missing_count), (at(0), 2));
    aggregator.record_applied(&front, at(1));
    // A process answers for all below it: that it has the order itself is not enough.
    aggregator.record_applied(&process, at(1));
    assert_eq!(aggregator.aggregate(S).missing, vec!["leaf-0"]);
    aggregator.record_aggregated_ack(
        &process,
        AggregatedAck { acknowledged: at(0), missing: vec!["edge-9".into()], missing_count: 1 },
    );
    assert_eq!(aggregator.aggregate(S).missing, vec!["edge-9"]);
    // The lease, and the clocks' allowance on both sides: not a moment sooner.
    let out = S + TERMS.worst_case_ns(3 * S);
    assert_eq!(aggregator.aggregate(out - 1).acknowledged, at(0));
    assert_eq!(aggregator.aggregate(out).acknowledged, at(1));
}

#[test]
fn former_incarnation_counts_until_its_lease_expires_and_gets_no_other() {
    let mut aggregator = aggregator();
    granted(aggregator.renew_lease(S, &child("edge-1", 1), true, Some(at(0)), 0));
    granted(aggregator.renew_lease(S, &child("edge-1", 2), true, Some(at(0)), 0));
    assert_eq!(
        aggregator.renew_lease(S, &child("edge-1", 1), true, Some(at(0)), 0),
        Response::Rejected(RejectReason::Superseded)
    );
    assert!(
        !aggregator.accepts_writes_from(S, &child("edge-1", 1))
            && aggregator.accepts_writes_from(S, &child("edge-1", 2))
    );
    aggregator.append_command(S, purge());
    aggregator.record_applied(&child("edge-1", 2), at(1));
    assert_eq!(aggregator.aggregate(S).acknowledged, at(0), "what the former life holds is still there");
    assert_eq!(aggregator.aggregate(S + TERMS.worst_case_ns(3 * S)).acknowledged, at(1));
}

#[test]
fn new_origin_completes_nothing_before_the_leases_of_a_former_one_expire() {
    let mut aggregator = aggregator();
    aggregator.append_command(S, purge());
    aggregator.become_origin(S);
    let ack = aggregator.aggregate(S + 1);
    assert_eq!((ack.acknowledged, ack.missing_count), (at(0), 1));
    assert_eq!(aggregator.aggregate(S + TERMS.worst_case_ns(3 * S)).acknowledged, at(1));
}

#[test]
fn lagging_child_gets_commands_but_no_lease_and_is_fenced() {
    let mut aggregator = aggregator();
    let front = child("edge-1", 1);
    granted(aggregator.renew_lease(S, &front, true, Some(at(0)), 0));
    aggregator.append_command(S, purge());
    assert!(granted(aggregator.renew_lease(2 * S, &front, true, Some(at(0)), 0)) > 0, "not yet");
    match aggregator.renew_lease(4 * S, &front, true, Some(at(0)), 0) {
        Response::LeaseGranted { for_ns: 0, commands, .. } => assert_eq!(commands.len(), 1),
        other => panic!("{other:?}"),
    }
    assert!(!aggregator.accepts_writes_from(4 * S, &front));
    assert!(granted(aggregator.renew_lease(4 * S, &front, true, Some(at(1)), 0)) > 0);
    assert!(aggregator.accepts_writes_from(4 * S, &front));
}

#[test]
fn resets_an_unknown_position_and_rejects_one_that_is_ahead() {
    let mut aggregator = aggregator();
    let front = child("edge-1", 1);
    for unknown in [None, Some(LogPosition { log: 8, index: 0 })] {
        assert!(
            matches!(aggregator.renew_lease(S, &front, true, unknown, 0), Response::ResetRequired { position, .. } if position == at(0))
        );
    }
    assert_eq!(
        aggregator.renew_lease(S, &front, true, Some(at(5)), 0),
        Response::Rejected(RejectReason::Ahead)
    );
    // A fresh start that is not confirmed counts for nothing.
    assert!(!aggregator.accepts_writes_from(S, &front));
}

/// A straggler that is new here has no lease, and its orders go to it all the same.
#[test]
fn missing_commands_are_known_for_a_child_without_a_lease() {
    let mut aggregator = aggregator();
    aggregator.append_command(S, purge());
    let front = child("edge-1", 1);
    assert_eq!(granted(aggregator.renew_lease(10 * S, &front, true, Some(at(0)), 0)), 0);
    assert_eq!(
        aggregator.missing_commands(&front).map(|missing| (missing.applied, missing.commands.len())),
        Some((at(0), 1))
    );
    assert_eq!(aggregator.missing_commands(&child("edge-2", 1)), None);
}

#[test]
fn selects_the_next_parent_after_two_failures_in_a_row() {
    let mut upstream = UpstreamSelection::new(2);
    upstream.record_failure();
    assert!(upstream.next_renewal_delay_ns(&TERMS) < renewal_interval_ns(&TERMS), "it is asked again soon");
    upstream.record_success();
    upstream.record_failure();
    assert_eq!((upstream.selected_index(3), upstream.selected_index(1)), (2, 0));
    upstream.record_failure();
    assert_eq!(
        (upstream.selected_index(3), upstream.next_renewal_delay_ns(&TERMS)),
        (0, renewal_interval_ns(&TERMS))
    );
}
