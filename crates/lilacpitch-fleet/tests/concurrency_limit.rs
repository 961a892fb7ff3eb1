//! The shares of urgent queries and searches in the concurrent queries of a process.

use lilacpitch_fleet::concurrency_limit::ConcurrencyLimit;

#[test]
fn searches_leave_most_slots_to_urgent_queries() {
    let mut limit = ConcurrencyLimit::new(8);
    assert_eq!((0..8).filter(|_| limit.try_acquire(false)).count(), 2);
    assert_eq!((0..8).filter(|_| limit.try_acquire(true)).count(), 6);
    limit.release(false);
    assert!(limit.try_acquire(true) && !limit.try_acquire(false));
    limit.release(true);
    assert!(limit.try_acquire(false));
}
