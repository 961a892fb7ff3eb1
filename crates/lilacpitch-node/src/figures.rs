//! Figures that come from outside, which are finite and within bounds once they are parsed.

use std::ops::{Bound, RangeBounds};

/// A finite number within the bounds that its parser was given.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct FiniteNumber(f64);

impl FiniteNumber {
    /// Any finite number.
    pub(crate) const ANY: (Bound<f64>, Bound<f64>) = (Bound::Unbounded, Bound::Unbounded);

    /// Parses a decimal number; `None` if the text is no number, or one that is not finite or out of bounds.
    pub(crate) fn parse(text: &str, bounds: impl RangeBounds<f64>) -> Option<FiniteNumber> {
        let number: f64 = text.parse().ok()?;
        (number.is_finite() && bounds.contains(&number)).then_some(FiniteNumber(number))
    }

    /// The number.
    pub(crate) fn get(self) -> f64 {
        self.0
    }
}
