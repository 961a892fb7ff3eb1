//! Mean and mean deviation of delays, both exponentially weighted (Jacobson, SIGCOMM 1988; RFC 6298
//! section 2): a container, which decides nothing.

use crate::interface::Nanos;

/// Exponentially weighted mean and mean deviation of durations.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LatencyDeviation {
    mean_ns: f64,
    deviation_ns: f64,
}

impl LatencyDeviation {
    /// No value was recorded yet: the deviation to start from.
    pub fn unknown(deviation_ns: Nanos) -> Self {
        LatencyDeviation { mean_ns: 0.0, deviation_ns: deviation_ns as f64 }
    }

    /// Records a value with `weight`, from 0 to 1, against all earlier ones.
    pub fn record(&mut self, value_ns: Nanos, weight: f64) {
        let difference_ns = value_ns as f64 - self.mean_ns;
        self.mean_ns += difference_ns * weight;
        self.deviation_ns += (difference_ns.abs() - self.deviation_ns) * weight;
    }

    /// The mean plus so many mean deviations, in nanoseconds.
    pub fn beyond_ns(&self, deviations: f64) -> Nanos {
        (self.mean_ns + deviations * self.deviation_ns) as Nanos
    }
}
