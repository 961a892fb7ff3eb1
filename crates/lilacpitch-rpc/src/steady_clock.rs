//! The steady clock by which all processes of a fleet measure leases.

use nix::time::{clock_gettime, ClockId};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Returns the nanoseconds since the machine started, by `CLOCK_BOOTTIME` (see clock_gettime(2)). This clock
/// is never set, and it advances while the machine is suspended, so that a lease expires during a suspension.
/// Returns 0 if the machine has no steady clock.
pub fn steady_ns() -> u64 {
    // CLOCK_MONOTONIC stops during a suspension, but exists on every Linux.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    now.map_or(0, |time| time.tv_sec() as u64 * NANOS_PER_SECOND + time.tv_nsec() as u64)
}
