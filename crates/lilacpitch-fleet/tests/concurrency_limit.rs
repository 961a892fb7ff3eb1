//! Which queries are worked on at once.

use lilacpitch_fleet::concurrency_limit::ConcurrencyLimit;

#[test]
fn searches_leave_slots_for_urgent_queries() {
    let mut limit = ConcurrencyLimit::new(8);
    assert_eq!((0..8).filter(|_| limit.try_acquire(false)).count(), 2);
    assert_eq!((0..8).filter(|_| limit.try_acquire(true)).count(), 6);
    limit.release(false);
    assert!(limit.try_acquire(true) && !limit.try_acquire(false));
    limit.release(true);
    assert!(limit.try_acquire(false));
}
