//! When a batch of record changes is due.

use lilacpitch_fleet::write_batcher::{WriteBatcher, MAX_BATCH, MAX_DELAY_NS};

#[test]
fn batch_is_due_after_the_delay_or_with_an_urgent_change_or_when_full() {
    let mut batcher = WriteBatcher::default();
    assert_eq!(batcher.push(10, 'a', false), None);
    assert_eq!((batcher.take_due(10), batcher.due_ns()), (None, Some(10 + MAX_DELAY_NS)));
    assert_eq!(batcher.push(11, 'b', true), None);
    assert_eq!(batcher.take_due(11), Some(vec!['a', 'b']));
    assert_eq!((batcher.take_due(u64::MAX), batcher.due_ns()), (None, None));
    let full_batch = (0..MAX_BATCH).filter_map(|_| batcher.push(20, 'c', false)).next();
    assert_eq!(full_batch.map(|batch| batch.len()), Some(MAX_BATCH));
}
