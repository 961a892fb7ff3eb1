//! Exponentially weighted mean and mean deviation of delays (Jacobson, SIGCOMM 1988; RFC 6298 section 2).

use crate::interface::Nanos;

/// Exponentially weighted mean and mean deviation of durations.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LatencyDeviation {
    mean_ns: f64,
    deviation_ns: f64,
}

impl LatencyDeviation {
    /// Creates an estimate without recorded values, with a mean of 0 and the given deviation.
    pub fn with_initial_deviation(deviation_ns: Nanos) -> Self {
        LatencyDeviation { mean_ns: 0.0, deviation_ns: deviation_ns as f64 }
    }

    /// Records a value with a `weight` of 0 to 1; earlier values share the remaining weight.
    pub fn record(&mut self, value_ns: Nanos, weight: f64) {
        let difference_ns = value_ns as f64 - self.mean_ns;
        self.mean_ns += difference_ns * weight;
        self.deviation_ns += (difference_ns.abs() - self.deviation_ns) * weight;
    }

    /// The mean plus a number of mean deviations.
    pub fn upper_bound_ns(&self, deviations: f64) -> Nanos {
        (self.mean_ns + deviations * self.deviation_ns) as Nanos
    }
}
