//! `PendingQueue`: deadlines and groups stay consistent.

use lilacpitch::pending_queue::{Membership, PendingEntry, PendingQueue};

/// An entry with the key and the time of its group, if it is in one.
fn entry(deadline_ns: u64, group: Option<(char, u64)>) -> Option<PendingEntry<char>> {
    let group = group.map(|(key, since_ns)| Membership { key, since_ns });
    Some(PendingEntry { deadline_ns, group })
}

#[test]
fn deadlines_and_groups_stay_consistent_when_calls_change_group() {
    let mut queue = PendingQueue::default();
    queue.set(1, entry(50, Some(('a', 10))));
    queue.set(2, entry(40, Some(('a', 5))));
    queue.set(3, entry(30, None));
    assert_eq!((queue.oldest('a'), queue.next_deadline_ns(), queue.groups()), (Some(2), Some(30), vec!['a']));
    queue.set(2, entry(60, Some(('b', 5))));
    assert_eq!((queue.oldest('a'), queue.oldest('b')), (Some(1), Some(2)));
    assert_eq!(queue.due(50).collect::<Vec<_>>(), vec![3, 1]);
    (1..=3).for_each(|id| queue.set(id, None));
    assert_eq!((queue.next_deadline_ns(), queue.groups(), queue.entry(1)), (None, vec![], None));
}
