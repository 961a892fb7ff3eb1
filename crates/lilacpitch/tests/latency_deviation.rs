//! `LatencyDeviation`: the upper bound follows the recorded delays.

use lilacpitch::latency_deviation::LatencyDeviation;

#[test]
fn bound_narrows_with_similar_delays_and_widens_with_an_outlier() {
    let mut delays = LatencyDeviation::with_initial_deviation(25_000_000);
    assert_eq!(delays.upper_bound_ns(4.0), 100_000_000, "before any delay is recorded");
    (0..100).for_each(|_| delays.record(2_000_000, 1.0 / 16.0));
    let similar_ns = delays.upper_bound_ns(4.0);
    assert!((2_000_000..4_000_000).contains(&similar_ns), "{similar_ns}");
    delays.record(50_000_000, 1.0 / 16.0);
    assert!(delays.upper_bound_ns(4.0) > similar_ns + 12_000_000, "{delays:?}");
}
