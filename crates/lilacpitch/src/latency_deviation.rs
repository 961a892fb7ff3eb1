//! How far values lie apart: their mean and mean deviation, both fading (Jacobson, SIGCOMM 1988; RFC 6298
//! section 2). It decides nothing.

use crate::interface::Nanos;

/// Fading mean and mean deviation of spans of time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Spread {
    mean_ns: f64,
    deviation_ns: f64,
}

impl Spread {
    /// Nothing was seen yet: values may lie so far from 0.
    pub fn unknown(deviation_ns: Nanos) -> Self {
        Spread { mean_ns: 0.0, deviation_ns: deviation_ns as f64 }
    }

    /// Takes one more value, which weighs as the share `of` of all that was seen.
    pub fn note(&mut self, value_ns: Nanos, of: f64) {
        let off = value_ns as f64 - self.mean_ns;
        self.mean_ns += off * of;
        self.deviation_ns += (off.abs() - self.deviation_ns) * of;
    }

    /// So many deviations beyond the mean.
    pub fn beyond_ns(&self, deviations: f64) -> Nanos {
        (self.mean_ns + deviations * self.deviation_ns) as Nanos
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn alike_values_draw_the_bound_near_and_one_far_off_widens_it() {
        let mut seen = Spread::unknown(25_000_000);
        assert_eq!(seen.beyond_ns(4.0), 100_000_000, "nothing was seen");
        (0..100).for_each(|_| seen.note(2_000_000, 1.0 / 16.0));
        let alike = seen.beyond_ns(4.0);
        assert!((2_000_000..4_000_000).contains(&alike), "{alike}");
        seen.note(50_000_000, 1.0 / 16.0);
        assert!(seen.beyond_ns(4.0) > alike + 12_000_000, "{seen:?}");
    }
}
