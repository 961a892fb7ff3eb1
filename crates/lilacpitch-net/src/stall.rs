//! Detects stalls of the process. A timer that fires late shows that the process was not running, so input
//! that is read soon afterwards may have waited for that long.

use lilacpitch::interface::Nanos;

/// For this long after a stall, input may be read that arrived during it.
const CATCH_UP_NS: Nanos = 100_000_000;

/// Remembers the last stall of this process.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    /// How long the stall lasted.
    duration_ns: Nanos,
    /// Until when input may be read that arrived during the stall.
    caught_up_ns: Nanos,
}

impl StallDetector {
    /// Records a stall if the next timer, due at `first_due`, is late by more than `tolerance_ns`.
    pub fn note(&mut self, now: Nanos, first_due: Option<Nanos>, tolerance_ns: Nanos) {
        let late_ns = first_due.map_or(0, |due| now.saturating_sub(due));
        if late_ns > tolerance_ns {
            let duration_ns = late_ns.max(self.span_ns(now));
            *self = StallDetector { duration_ns, caught_up_ns: now + CATCH_UP_NS };
        }
    }

    /// Returns how long input that is read now may have waited, in nanoseconds; 0 if there was no recent
    /// stall.
    pub fn span_ns(&self, now: Nanos) -> Nanos {
        if now < self.caught_up_ns {
            self.duration_ns
        } else {
            0
        }
    }
}
