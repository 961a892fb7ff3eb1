//! Counts over a sliding window: a container, which decides nothing.

use crate::interface::Nanos;
use std::collections::VecDeque;

/// Events by period: those of the last `PERIODS` periods of `PERIOD_NS`, or the last `MIN_SAMPLES` if that is more.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindowCount<const PERIODS: u64, const MIN_SAMPLES: usize, const PERIOD_NS: Nanos>(
    VecDeque<u64>,
);

impl<const PERIODS: u64, const MIN_SAMPLES: usize, const PERIOD_NS: Nanos>
    SlidingWindowCount<PERIODS, MIN_SAMPLES, PERIOD_NS>
{
    /// Counts one more event, in this period.
    pub fn add(&mut self, period: u64) {
        self.0.push_back(period);
    }

    /// Slides the window to this period.
    pub fn slide(&mut self, period: u64) {
        while let Some(age) = self.0.front().map(|oldest| period - oldest) {
            if age < PERIODS || self.0.len() <= MIN_SAMPLES {
                break;
            }
            self.0.pop_front();
        }
    }

    /// Events a second over the window, or, where that holds few, over the time since the oldest sample;
    /// `more` are counted as if they came now. `window_s`: the time that the window covers by now, in seconds.
    pub fn per_s(&self, period: u64, window_s: f64, more: f64) -> f64 {
        let counted = self.0.len() as f64 + more;
        match self.0.front().map(|oldest| period - oldest) {
            Some(age) if age >= PERIODS => (counted - 1.0) * 1e9 / (age * PERIOD_NS) as f64,
            Some(_) => counted / window_s,
            None => 0.0,
        }
    }

    /// Whether the window itself holds less than `MIN_SAMPLES` events.
    pub fn is_sparse(&self, period: u64) -> bool {
        self.0.len().checked_sub(MIN_SAMPLES).is_none_or(|at| period - self.0[at] >= PERIODS)
    }

    /// Number of events in the window itself.
    pub fn recent(&self, period: u64) -> usize {
        self.0.iter().rev().take_while(|at| period - **at < PERIODS).count()
    }

    /// Number of events counted, with those older than the window.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no event is counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The period of the latest event.
    pub fn last(&self) -> Option<u64> {
        self.0.back().copied()
    }
}
