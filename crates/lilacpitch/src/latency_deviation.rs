//! How far values lie apart: their mean and mean deviation, both fading (Jacobson, SIGCOMM 1988; RFC 6298
//! section 2). It decides nothing.

use crate::interface::Nanos;

/// Fading mean and mean deviation of spans of time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LatencyDeviation {
    mean_ns: f64,
    deviation_ns: f64,
}

impl LatencyDeviation {
    /// Nothing was seen yet: values may lie so far from 0.
    pub fn unknown(deviation_ns: Nanos) -> Self {
        LatencyDeviation { mean_ns: 0.0, deviation_ns: deviation_ns as f64 }
    }

    /// Takes one more value, which weighs as the share `of` of all that was seen.
    pub fn record(&mut self, value_ns: Nanos, of: f64) {
        let off = value_ns as f64 - self.mean_ns;
        self.mean_ns += off * of;
        self.deviation_ns += (off.abs() - self.deviation_ns) * of;
    }

    /// So many deviations beyond the mean.
    pub fn beyond_ns(&self, deviations: f64) -> Nanos {
        (self.mean_ns + deviations * self.deviation_ns) as Nanos
    }
}
