//! Leases: until when cached answers may be used without another message (Gray and Cheriton, "Leases", SOSP 1989).
//!
//! A holder counts a lease of length `L` from the moment of its *request*, on its own steady clock. Who granted it waits
//! for `L` from the moment of the grant, longer by the allowance for clocks that run at different speeds. A process
//! grants no lease that outlasts its own: once that has expired, so have all below it.

use crate::message::LogPosition;
use crate::Nanos;

/// The terms of leases, the same in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTerms {
    /// The length of a lease, in nanoseconds.
    pub lease_ns: Nanos,
    /// How much faster or slower than true time a clock may run, as a fraction: 0.01 is 1 %.
    pub clock_allowance: f64,
    /// A holder that has not applied a command for so long, in nanoseconds, gets no further lease.
    pub lagging_after_ns: Nanos,
}

impl LeaseTerms {
    /// After how long by one clock of the fleet a duration has surely passed by any other, in nanoseconds.
    pub fn worst_case_ns(&self, duration_ns: Nanos) -> Nanos {
        let allowance = self.clock_allowance;
        (duration_ns as f64 * (1.0 + allowance) / (1.0 - allowance)).ceil() as Nanos
    }
}

/// A lease as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Until when, by the holder's steady clock.
    pub until_ns: Nanos,
    /// Valid only once all commands up to here are applied.
    pub position: LogPosition,
}
