//! A count of events over a sliding window of periods.

use crate::interface::Nanos;
use std::collections::VecDeque;

/// Counts the events of the last `PERIODS` periods, each of `PERIOD_NS`, or the last `MIN_SAMPLES` events if
/// those are more. The field holds the period of each event, oldest first.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindowCount<const PERIODS: u64, const MIN_SAMPLES: usize, const PERIOD_NS: Nanos>(
    VecDeque<u64>,
);

impl<const PERIODS: u64, const MIN_SAMPLES: usize, const PERIOD_NS: Nanos>
    SlidingWindowCount<PERIODS, MIN_SAMPLES, PERIOD_NS>
{
    /// Counts one event in `period`, the present one.
    pub fn add(&mut self, period: u64) {
        self.0.push_back(period);
    }

    /// Slides the window so that it ends with `period`.
    pub fn slide(&mut self, period: u64) {
        while let Some(age) = self.0.front().map(|oldest| period - oldest) {
            if age < PERIODS || self.0.len() <= MIN_SAMPLES {
                break;
            }
            self.0.pop_front();
        }
    }

    /// Events a second over the window or, if the oldest event is older than the window, since that event.
    /// `additional` events are counted as if they came now; `window_s` is the time that the window covers at
    /// present.
    pub fn per_s(&self, period: u64, window_s: f64, additional: f64) -> f64 {
        let counted = self.0.len() as f64 + additional;
        match self.0.front().map(|oldest| period - oldest) {
            Some(age) if age >= PERIODS => (counted - 1.0) * 1e9 / (age * PERIOD_NS) as f64,
            Some(_) => counted / window_s,
            None => 0.0,
        }
    }

    /// Whether fewer than `MIN_SAMPLES` events are within the window.
    pub fn is_sparse(&self, period: u64) -> bool {
        self.0.len().checked_sub(MIN_SAMPLES).is_none_or(|index| period - self.0[index] >= PERIODS)
    }

    /// The number of events within the window.
    pub fn len_in_window(&self, period: u64) -> usize {
        self.0.iter().rev().take_while(|event_period| period - **event_period < PERIODS).count()
    }

    /// The number of events counted, including those older than the window.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no event is counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The period of the latest event; `None` if there is none.
    pub fn last(&self) -> Option<u64> {
        self.0.back().copied()
    }
}
