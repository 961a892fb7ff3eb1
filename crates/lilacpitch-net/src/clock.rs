//! The front's clock: Unix time at the start plus the monotonic time since, which no step of the machine's clock
//! changes.

use lilacpitch::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reads nanoseconds since 1970; never goes back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix_ns: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the machine's time.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ns: nanos(since), start: Instant::now() }
    }

    /// Nanoseconds since 1970.
    pub fn now(&self) -> Nanos {
        self.unix_ns + nanos(self.start.elapsed())
    }

    /// Converts a moment for the runtime's timers.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at.saturating_sub(self.unix_ns))).into()
    }
}

/// Saturates after some 584 years.
fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos().try_into().unwrap_or(Nanos::MAX)
}
