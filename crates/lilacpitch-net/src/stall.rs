//! Detects stalls of the process: a late timer shows that it did not run, so what is read next may have waited.

use lilacpitch::interface::Nanos;

/// For so long after a stall, what is read may have waited through it.
const CATCH_UP_NS: Nanos = 100_000_000;

/// The last stall of this process, and until when it may have kept messages waiting.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    span_ns: Nanos,
    until_ns: Nanos,
}

impl StallDetector {
    /// Notes by how much the first timer is late; a delay of up to `usual_ns` is no stall.
    pub fn note(&mut self, now: Nanos, first_due: Option<Nanos>, usual_ns: Nanos) {
        let late_ns = first_due.map_or(0, |due| now.saturating_sub(due));
        if late_ns > usual_ns {
            *self = StallDetector { span_ns: late_ns.max(self.span_ns(now)), until_ns: now + CATCH_UP_NS };
        }
    }

    /// How long what is read now may have waited, in nanoseconds.
    pub fn span_ns(&self, now: Nanos) -> Nanos {
        if now < self.until_ns {
            self.span_ns
        } else {
            0
        }
    }
}
