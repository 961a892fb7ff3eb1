//! A monotonic clock of Unix time: the system time at its start plus the monotonic time elapsed since, so
//! that adjustments of the system clock don't affect it.

use lilacpitch::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reads the time in nanoseconds since the Unix epoch. Never goes backwards.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Unix time at `start`.
    start_unix_ns: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the system time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix_ns: nanos(since_epoch), start: Instant::now() }
    }

    /// Returns the current time in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.start_unix_ns + nanos(self.start.elapsed())
    }

    /// Converts a time of this clock to an instant for the timers of the tokio runtime.
    pub fn instant(&self, time: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(time.saturating_sub(self.start_unix_ns))).into()
    }
}

/// Converts a duration to nanoseconds; saturates after about 584 years.
fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos().try_into().unwrap_or(Nanos::MAX)
}

/// Sleeps until a deadline, if there is one; else returns at once, so the caller has to check for one before.
pub async fn sleep_until(deadline: Option<tokio::time::Instant>) {
    tokio::time::sleep_until(deadline.unwrap_or_else(tokio::time::Instant::now)).await;
}
