//! The two clocks of a process. All decisions use the steady clock. The wall clock is used for times that
//! people read, and for ids that must differ between starts.

use lilacpitch_rpc::steady_ns;
use std::time::{SystemTime, UNIX_EPOCH};

/// The time by the steady clock, in nanoseconds since the machine started.
pub(crate) fn now() -> u64 {
    steady_ns()
}

/// The time by the wall clock, in milliseconds since 1970; 0 if it is set to an earlier time.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The time by the wall clock, in nanoseconds since 1970; 1 if it is set to an earlier time.
pub(crate) fn wall_clock_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
}
