//! The front's clock: time since 1970 at the start, and what has passed since, which no clock step changes.

use lilacpitch::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reads nanoseconds since 1970; only ever advances.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix_ns: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock set by the machine's.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ns: nanos(since), start: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Nanos {
        self.unix_ns + nanos(self.start.elapsed())
    }

    /// The moment as the runtime's timers know it.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at.saturating_sub(self.unix_ns))).into()
    }
}

fn nanos(span: Duration) -> Nanos {
    span.as_nanos().try_into().unwrap_or(Nanos::MAX)
}
