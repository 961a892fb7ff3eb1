//! The two clocks of a process: the steady one for every decision, the wall clock for what people read and for names
//! that must differ between starts.

use lilacpitch_rpc::steady_ns;
use std::time::{SystemTime, UNIX_EPOCH};

/// The steady clock, in nanoseconds since the machine started.
pub(crate) fn now() -> u64 {
    steady_ns()
}

/// The wall clock, in milliseconds since 1970; 0 where it is set before that.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The wall clock, in nanoseconds since 1970; 1 where it is set before that.
pub(crate) fn wall_clock_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
}
