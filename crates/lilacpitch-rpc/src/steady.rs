//! The steady clock of the fleet.

use nix::time::{clock_gettime, ClockId};

/// Nanoseconds since the machine started: never set, and going on while the machine sleeps, so that a lease runs out
/// on one that was suspended (CLOCK_BOOTTIME, clock_gettime(2)).
pub fn steady_ns() -> u64 {
    // Without it, the clock that stands still in sleep: every Linux has that one.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    now.map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}
