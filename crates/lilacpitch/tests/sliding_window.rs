//! `SlidingWindowCount`: counts, rates and the minimum number of samples.

use lilacpitch::sliding_window::SlidingWindowCount;

/// A window of ten periods that keeps two samples at least.
type TenPeriods = SlidingWindowCount<10, 2, 100_000_000>;

#[test]
fn window_slides_but_keeps_minimum_number_of_samples() {
    let mut count = TenPeriods::default();
    [1, 2, 3, 12].into_iter().for_each(|period| count.add(period));
    count.slide(12);
    assert_eq!((count.len(), count.last()), (2, Some(12)), "period 3 is within the window, period 2 is not");
    count.slide(40);
    assert_eq!(count.len(), 2);
    assert!(count.is_sparse(40) && !count.is_sparse(12));
    // Two events, the older 3.7 s ago: one interval between events in 3.7 s.
    assert!((count.per_s(40, 1.0, 0.0) - 1.0 / 3.7).abs() < 1e-9);
    assert!((count.per_s(12, 1.0, 1.0) - 3.0).abs() < 1e-9);
    assert_eq!(TenPeriods::default().per_s(5, 1.0, 1.0), 0.0);
}
