//! Leases and sums, in a clock of the test's own.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PurgeScope, RejectReason, Response};
use lilacpitch_fleet::upstream_selection::{renewal_interval_ns, UpstreamSelection};
use lilacpitch_fleet::Safeguards;

const S: u64 = 1_000_000_000;
const TERMS: LeaseTerms = LeaseTerms { lease_ns: 3 * S, clock_allowance: 0.01, lagging_after_ns: 2 * S };

fn at(order: u64) -> LogPosition {
    LogPosition { log: 7, index: order }
}

fn child(name: &str, life: u64) -> ChildId {
    ChildId { name: name.into(), incarnation: life }
}

fn purge() -> CommandAction {
    CommandAction::Purge(vec![PurgeScope::All])
}

/// A relay that may grant for long, at order 0 of log 7.
fn relay() -> AckAggregator {
    let mut relay = AckAggregator::new(TERMS, Safeguards::default());
    relay.reset(LogTail::starting_at(at(0), Default::default()));
    relay.allow_grants_until(1_000 * S, at(0));
    relay
}

fn granted(said: Response) -> u64 {
    match said {
        Response::LeaseGranted { for_ns, .. } => for_ns,
        other => panic!("{other:?}"),
    }
}

/// A former leader may have reported orders complete that this relay has not taken from its log yet.
#[test]
fn nothing_is_granted_before_the_orders_that_the_own_lease_needs_are_there() {
    let mut relay = relay();
    relay.allow_grants_until(1_000 * S, at(1));
    let front = child("edge-1", 1);
    assert_eq!(relay.renew_lease(S, &front, true, Some(at(0)), 0), Response::Rejected(RejectReason::NoLease));
    relay.append_command(S, purge());
    assert!(granted(relay.renew_lease(S, &front, true, Some(at(0)), 0)) > 0);
}

#[test]
fn no_lease_outlasts_the_own_one_and_none_comes_after_it() {
    let mut relay = relay();
    relay.allow_grants_until(2 * S, at(0));
    let front = child("edge-1", 1);
    assert_eq!(granted(relay.renew_lease(S, &front, true, Some(at(0)), 0)), S);
    assert_eq!(
        relay.renew_lease(2 * S, &front, true, Some(at(0)), 0),
        Response::Rejected(RejectReason::NoLease)
    );
}

#[test]
fn a_sum_waits_for_all_with_leases_and_names_them_and_goes_on_when_they_run_out() {
    let mut relay = relay();
    let (front, below) = (child("edge-1", 1), child("leaf-0", 1));
    granted(relay.renew_lease(S, &front, true, Some(at(0)), 0));
    granted(relay.renew_lease(S, &below, false, Some(at(0)), 0));
    relay.append_command(S, purge());
    let sum = relay.aggregate(S);
    assert_eq!((sum.acknowledged, sum.missing_count), (at(0), 2));
    relay.record_applied(&front, at(1));
    // A process answers for all below it: that it has the order itself is not enough.
    relay.record_applied(&below, at(1));
    assert_eq!(relay.aggregate(S).missing, vec!["leaf-0"]);
    relay.record_aggregated_ack(
        &below,
        AggregatedAck { acknowledged: at(0), missing: vec!["edge-9".into()], missing_count: 1 },
    );
    assert_eq!(relay.aggregate(S).missing, vec!["edge-9"]);
    // The lease, and the clocks' allowance on both sides: not a moment sooner.
    let out = S + TERMS.worst_case_ns(3 * S);
    assert_eq!(relay.aggregate(out - 1).acknowledged, at(0));
    assert_eq!(relay.aggregate(out).acknowledged, at(1));
}

#[test]
fn a_former_life_counts_until_its_lease_is_out_and_gets_none_any_more() {
    let mut relay = relay();
    granted(relay.renew_lease(S, &child("edge-1", 1), true, Some(at(0)), 0));
    granted(relay.renew_lease(S, &child("edge-1", 2), true, Some(at(0)), 0));
    assert_eq!(
        relay.renew_lease(S, &child("edge-1", 1), true, Some(at(0)), 0),
        Response::Rejected(RejectReason::Superseded)
    );
    assert!(
        !relay.accepts_writes_from(S, &child("edge-1", 1))
            && relay.accepts_writes_from(S, &child("edge-1", 2))
    );
    relay.append_command(S, purge());
    relay.record_applied(&child("edge-1", 2), at(1));
    assert_eq!(relay.aggregate(S).acknowledged, at(0), "what the former life holds is still there");
    assert_eq!(relay.aggregate(S + TERMS.worst_case_ns(3 * S)).acknowledged, at(1));
}

#[test]
fn a_new_origin_counts_nothing_before_the_leases_of_a_former_one_are_out() {
    let mut relay = relay();
    relay.append_command(S, purge());
    relay.become_origin(S);
    let sum = relay.aggregate(S + 1);
    assert_eq!((sum.acknowledged, sum.missing_count), (at(0), 1));
    assert_eq!(relay.aggregate(S + TERMS.worst_case_ns(3 * S)).acknowledged, at(1));
}

#[test]
fn a_straggler_gets_what_it_lacks_and_no_lease_and_writes_nothing() {
    let mut relay = relay();
    let front = child("edge-1", 1);
    granted(relay.renew_lease(S, &front, true, Some(at(0)), 0));
    relay.append_command(S, purge());
    assert!(granted(relay.renew_lease(2 * S, &front, true, Some(at(0)), 0)) > 0, "not yet");
    match relay.renew_lease(4 * S, &front, true, Some(at(0)), 0) {
        Response::LeaseGranted { for_ns: 0, commands, .. } => assert_eq!(commands.len(), 1),
        other => panic!("{other:?}"),
    }
    assert!(!relay.accepts_writes_from(4 * S, &front));
    assert!(granted(relay.renew_lease(4 * S, &front, true, Some(at(1)), 0)) > 0);
    assert!(relay.accepts_writes_from(4 * S, &front));
}

#[test]
fn what_is_unknown_of_another_log_or_ahead_is_told_so() {
    let mut relay = relay();
    let front = child("edge-1", 1);
    for unknown in [None, Some(LogPosition { log: 8, index: 0 })] {
        assert!(
            matches!(relay.renew_lease(S, &front, true, unknown, 0), Response::ResetRequired { position, .. } if position == at(0))
        );
    }
    assert_eq!(relay.renew_lease(S, &front, true, Some(at(5)), 0), Response::Rejected(RejectReason::Ahead));
    // A fresh start that is not confirmed counts for nothing.
    assert!(!relay.accepts_writes_from(S, &front));
}

/// A straggler that is new here has no lease, and its orders go to it all the same.
#[test]
fn what_a_child_lacks_is_known_without_a_lease() {
    let mut relay = relay();
    relay.append_command(S, purge());
    let front = child("edge-1", 1);
    assert_eq!(granted(relay.renew_lease(10 * S, &front, true, Some(at(0)), 0)), 0);
    assert_eq!(
        relay.missing_commands(&front).map(|missing| (missing.applied, missing.commands.len())),
        Some((at(0), 1))
    );
    assert_eq!(relay.missing_commands(&child("edge-2", 1)), None);
}

#[test]
fn the_next_process_above_is_followed_after_two_failures_in_a_row() {
    let mut above = UpstreamSelection::new(2);
    above.record_failure();
    assert!(above.next_renewal_delay_ns(&TERMS) < renewal_interval_ns(&TERMS), "it is asked again soon");
    above.record_success();
    above.record_failure();
    assert_eq!((above.selected_index(3), above.selected_index(1)), (2, 0));
    above.record_failure();
    assert_eq!(
        (above.selected_index(3), above.next_renewal_delay_ns(&TERMS)),
        (0, renewal_interval_ns(&TERMS))
    );
}
