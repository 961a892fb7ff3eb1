//! When a front's record changes are written.

use lilacpitch_fleet::write_batcher::{WriteBatcher, MAX_BATCH, MAX_DELAY_NS};

#[test]
fn change_waits_for_others_unless_one_is_urgent_or_the_batch_is_full() {
    let mut batcher = WriteBatcher::default();
    assert_eq!(batcher.push(10, 'a', false), None);
    assert_eq!((batcher.take_due(10), batcher.due_ns()), (None, Some(10 + MAX_DELAY_NS)));
    assert_eq!(batcher.push(11, 'b', true), None);
    assert_eq!(batcher.take_due(11), Some(vec!['a', 'b']));
    assert_eq!((batcher.take_due(u64::MAX), batcher.due_ns()), (None, None));
    let full = (0..MAX_BATCH).filter_map(|_| batcher.push(20, 'c', false)).next();
    assert_eq!(full.map(|batch| batch.len()), Some(MAX_BATCH));
}
