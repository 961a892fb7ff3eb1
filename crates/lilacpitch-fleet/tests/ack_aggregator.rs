//! Leases and acknowledgements. The tests set the time.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PurgeScope, RejectReason, Response};
use lilacpitch_fleet::upstream_selection::{renewal_interval_ns, UpstreamSelection};
use lilacpitch_fleet::Safeguards;

/// One second, in nanoseconds.
const SECOND: u64 = 1_000_000_000;
const TERMS: LeaseTerms =
    LeaseTerms { lease_ns: 3 * SECOND, clock_allowance: 0.01, lagging_after_ns: 2 * SECOND };

fn position(index: u64) -> LogPosition {
    LogPosition { log: 7, index }
}

fn child(name: &str, incarnation: u64) -> ChildId {
    ChildId { name: name.into(), incarnation }
}

fn purge() -> CommandAction {
    CommandAction::Purge(vec![PurgeScope::All])
}

/// An aggregator at index 0 of log 7, which may grant leases for 1,000 seconds.
fn aggregator() -> AckAggregator {
    let mut aggregator = AckAggregator::new(TERMS, Safeguards::default());
    aggregator.reset(LogTail::starting_at(position(0), Default::default()));
    aggregator.allow_grants_until(1_000 * SECOND, position(0));
    aggregator
}

/// The length of a granted lease, in nanoseconds; 0: the response grants none.
fn granted_ns(response: Response) -> u64 {
    match response {
        Response::LeaseGranted { for_ns, .. } => for_ns,
        response => panic!("unexpected response: {response:?}"),
    }
}

/// A former leader may have reported commands as complete that this process has not taken from its log yet.
#[test]
fn grants_no_lease_before_the_commands_that_its_own_lease_requires() {
    let mut aggregator = aggregator();
    aggregator.allow_grants_until(1_000 * SECOND, position(1));
    let front = child("edge-1", 1);
    assert_eq!(
        aggregator.renew_lease(SECOND, &front, true, Some(position(0)), 0),
        Response::Rejected(RejectReason::NoLease)
    );
    aggregator.append_command(SECOND, purge());
    assert!(granted_ns(aggregator.renew_lease(SECOND, &front, true, Some(position(0)), 0)) > 0);
}

#[test]
fn grants_no_lease_that_outlasts_its_own() {
    let mut aggregator = aggregator();
    aggregator.allow_grants_until(2 * SECOND, position(0));
    let front = child("edge-1", 1);
    assert_eq!(granted_ns(aggregator.renew_lease(SECOND, &front, true, Some(position(0)), 0)), SECOND);
    assert_eq!(
        aggregator.renew_lease(2 * SECOND, &front, true, Some(position(0)), 0),
        Response::Rejected(RejectReason::NoLease)
    );
}

#[test]
fn aggregate_waits_for_every_child_until_its_lease_expires() {
    let mut aggregator = aggregator();
    let (front, process) = (child("edge-1", 1), child("leaf-0", 1));
    granted_ns(aggregator.renew_lease(SECOND, &front, true, Some(position(0)), 0));
    granted_ns(aggregator.renew_lease(SECOND, &process, false, Some(position(0)), 0));
    aggregator.append_command(SECOND, purge());
    let ack = aggregator.aggregate(SECOND);
    assert_eq!((ack.acknowledged, ack.missing_count), (position(0), 2));
    aggregator.record_applied(&front, position(1));
    // A process acknowledges for all holders below it: it is not enough that it has applied the command
    // itself.
    aggregator.record_applied(&process, position(1));
    assert_eq!(aggregator.aggregate(SECOND).missing, vec!["leaf-0"]);
    aggregator.record_aggregated_ack(
        &process,
        AggregatedAck { acknowledged: position(0), missing: vec!["edge-9".into()], missing_count: 1 },
    );
    assert_eq!(aggregator.aggregate(SECOND).missing, vec!["edge-9"]);
    // Not before the lease has expired by every clock of the fleet.
    let expiry_ns = SECOND + TERMS.worst_case_ns(3 * SECOND);
    assert_eq!(aggregator.aggregate(expiry_ns - 1).acknowledged, position(0));
    assert_eq!(aggregator.aggregate(expiry_ns).acknowledged, position(1));
}

#[test]
fn former_incarnation_counts_until_its_lease_expires_and_gets_no_other_lease() {
    let mut aggregator = aggregator();
    granted_ns(aggregator.renew_lease(SECOND, &child("edge-1", 1), true, Some(position(0)), 0));
    granted_ns(aggregator.renew_lease(SECOND, &child("edge-1", 2), true, Some(position(0)), 0));
    assert_eq!(
        aggregator.renew_lease(SECOND, &child("edge-1", 1), true, Some(position(0)), 0),
        Response::Rejected(RejectReason::Superseded)
    );
    assert!(
        !aggregator.accepts_writes_from(SECOND, &child("edge-1", 1))
            && aggregator.accepts_writes_from(SECOND, &child("edge-1", 2))
    );
    aggregator.append_command(SECOND, purge());
    aggregator.record_applied(&child("edge-1", 2), position(1));
    assert_eq!(
        aggregator.aggregate(SECOND).acknowledged,
        position(0),
        "the former incarnation may still use its cache"
    );
    assert_eq!(aggregator.aggregate(SECOND + TERMS.worst_case_ns(3 * SECOND)).acknowledged, position(1));
}

#[test]
fn new_origin_completes_no_command_before_the_leases_of_the_former_origin_expire() {
    let mut aggregator = aggregator();
    aggregator.append_command(SECOND, purge());
    aggregator.become_origin(SECOND);
    let ack = aggregator.aggregate(SECOND + 1);
    assert_eq!((ack.acknowledged, ack.missing_count), (position(0), 1));
    assert_eq!(aggregator.aggregate(SECOND + TERMS.worst_case_ns(3 * SECOND)).acknowledged, position(1));
}

#[test]
fn lagging_child_gets_commands_but_no_lease_and_is_fenced() {
    let mut aggregator = aggregator();
    let front = child("edge-1", 1);
    granted_ns(aggregator.renew_lease(SECOND, &front, true, Some(position(0)), 0));
    aggregator.append_command(SECOND, purge());
    assert!(
        granted_ns(aggregator.renew_lease(2 * SECOND, &front, true, Some(position(0)), 0)) > 0,
        "not lagging yet"
    );
    match aggregator.renew_lease(4 * SECOND, &front, true, Some(position(0)), 0) {
        Response::LeaseGranted { for_ns: 0, commands, .. } => assert_eq!(commands.len(), 1),
        response => panic!("unexpected response: {response:?}"),
    }
    assert!(!aggregator.accepts_writes_from(4 * SECOND, &front));
    assert!(granted_ns(aggregator.renew_lease(4 * SECOND, &front, true, Some(position(1)), 0)) > 0);
    assert!(aggregator.accepts_writes_from(4 * SECOND, &front));
}

#[test]
fn resets_an_unknown_position_and_rejects_one_that_is_ahead() {
    let mut aggregator = aggregator();
    let front = child("edge-1", 1);
    for unknown in [None, Some(LogPosition { log: 8, index: 0 })] {
        let response = aggregator.renew_lease(SECOND, &front, true, unknown, 0);
        let reset_position = match response {
            Response::ResetRequired { position, .. } => position,
            response => panic!("unexpected response: {response:?}"),
        };
        assert_eq!(reset_position, position(0));
    }
    assert_eq!(
        aggregator.renew_lease(SECOND, &front, true, Some(position(5)), 0),
        Response::Rejected(RejectReason::Ahead)
    );
    // A front that has not confirmed the reset may not write.
    assert!(!aggregator.accepts_writes_from(SECOND, &front));
}

/// A lagging child that is new to this process gets no lease, but still gets the commands that it lacks.
#[test]
fn missing_commands_are_known_for_a_child_without_a_lease() {
    let mut aggregator = aggregator();
    aggregator.append_command(SECOND, purge());
    let front = child("edge-1", 1);
    assert_eq!(granted_ns(aggregator.renew_lease(10 * SECOND, &front, true, Some(position(0)), 0)), 0);
    assert_eq!(
        aggregator.missing_commands(&front).map(|missing| (missing.applied, missing.commands.len())),
        Some((position(0), 1))
    );
    assert_eq!(aggregator.missing_commands(&child("edge-2", 1)), None);
}

#[test]
fn selects_the_next_parent_after_two_failures_in_a_row() {
    let mut upstream = UpstreamSelection::new(2);
    upstream.record_failure();
    assert!(
        upstream.next_renewal_delay_ns(&TERMS) < renewal_interval_ns(&TERMS),
        "the retry is earlier than a renewal"
    );
    upstream.record_success();
    upstream.record_failure();
    assert_eq!((upstream.selected_index(3), upstream.selected_index(1)), (2, 0));
    upstream.record_failure();
    assert_eq!(
        (upstream.selected_index(3), upstream.next_renewal_delay_ns(&TERMS)),
        (0, renewal_interval_ns(&TERMS))
    );
}
