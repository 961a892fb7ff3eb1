//! The steady clock of the fleet: leases are counted by it.

use nix::time::{clock_gettime, ClockId};

/// Nanoseconds since the machine started: never set, and counting on while the machine is suspended, so that a lease
/// expires meanwhile (CLOCK_BOOTTIME, clock_gettime(2)); 0 where the machine has no such clock.
pub fn steady_ns() -> u64 {
    // Without it, the clock that stops while suspended: every Linux has that one.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    now.map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}
