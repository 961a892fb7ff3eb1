//! When a process with a new disk takes part in its site's log.

use lilacpitch_fleet::disk_loss_recovery::{DiskLossRecovery, LogVote, Verdict};

fn vote(term: u64) -> Option<LogVote> {
    Some(LogVote { term, node: 0, committed: true })
}

#[test]
fn single_process_bootstraps_at_once_and_three_when_all_have_responded() {
    assert_eq!(DiskLossRecovery::new(1).verdict(), Verdict::Bootstrap);
    let mut of_three = DiskLossRecovery::new(3);
    of_three.record_vote(1, None);
    assert_eq!(of_three.verdict(), Verdict::Wait);
    of_three.record_vote(2, None);
    assert_eq!(of_three.verdict(), Verdict::Bootstrap);
}

#[test]
fn follows_the_latest_vote_when_all_that_may_know_of_one_have_responded() {
    let mut recovery = DiskLossRecovery::new(3);
    recovery.record_vote(0, vote(4));
    assert_eq!(recovery.verdict(), Verdict::Wait, "the other may know of a later one");
    recovery.record_vote(2, vote(5));
    assert_eq!(recovery.verdict(), Verdict::Follow(vote(5).unwrap()));
    // Of five three: any two of the four may have made up a quorum with this one.
    assert_eq!([2, 3, 4, 5].map(|n| DiskLossRecovery::new(n).required_responses()), [1, 2, 2, 3]);
}

#[test]
fn bootstraps_when_a_process_with_a_new_disk_has_voted_meanwhile() {
    let mut recovery = DiskLossRecovery::new(3);
    recovery.record_vote(1, None);
    recovery.record_vote(1, vote(1));
    recovery.record_vote(2, None);
    assert_eq!(recovery.verdict(), Verdict::Bootstrap);
}
