//! `LatencyDeviation`: mean and mean deviation follow what was recorded.

use lilacpitch::latency_deviation::LatencyDeviation;

#[test]
fn bound_narrows_with_similar_delays_and_widens_with_an_outlier() {
    let mut seen = LatencyDeviation::unknown(25_000_000);
    assert_eq!(seen.beyond_ns(4.0), 100_000_000, "nothing was seen");
    (0..100).for_each(|_| seen.record(2_000_000, 1.0 / 16.0));
    let alike = seen.beyond_ns(4.0);
    assert!((2_000_000..4_000_000).contains(&alike), "{alike}");
    seen.record(50_000_000, 1.0 / 16.0);
    assert!(seen.beyond_ns(4.0) > alike + 12_000_000, "{seen:?}");
}
