//! When a process with a new disk may take part in its site's log.

use lilacpitch_fleet::disk_loss_recovery::{DiskLossRecovery, LogVote, RecoveryDecision};

fn vote(term: u64) -> Option<LogVote> {
    Some(LogVote { term, node: 0, committed: true })
}

#[test]
fn single_process_bootstraps_at_once_and_one_of_three_when_all_disks_are_new() {
    assert_eq!(DiskLossRecovery::new(1).decision(), RecoveryDecision::Bootstrap);
    let mut recovery = DiskLossRecovery::new(3);
    recovery.record_vote(1, None);
    assert_eq!(recovery.decision(), RecoveryDecision::Wait);
    recovery.record_vote(2, None);
    assert_eq!(recovery.decision(), RecoveryDecision::Bootstrap);
}

#[test]
fn follows_the_latest_vote_once_enough_processes_have_reported() {
    let mut recovery = DiskLossRecovery::new(3);
    recovery.record_vote(0, vote(4));
    assert_eq!(recovery.decision(), RecoveryDecision::Wait, "the other process may hold a later vote");
    recovery.record_vote(2, vote(5));
    assert_eq!(recovery.decision(), RecoveryDecision::Follow(vote(5).unwrap()));
    // Of five processes, any two of the other four may have formed a quorum with this one, so that three of
    // them must report.
    let required_responses =
        [2, 3, 4, 5].map(|processes| DiskLossRecovery::new(processes).required_responses());
    assert_eq!(required_responses, [1, 2, 2, 3]);
}

#[test]
fn bootstraps_even_if_a_process_with_a_new_disk_has_voted_meanwhile() {
    let mut recovery = DiskLossRecovery::new(3);
    recovery.record_vote(1, None);
    recovery.record_vote(1, vote(1));
    recovery.record_vote(2, None);
    assert_eq!(recovery.decision(), RecoveryDecision::Bootstrap);
}
