//! Leases: until when what is cached may be used without hearing more.
//!
//! A holder counts a lease of `L` from the moment it *asked*, on its own steady clock. Who granted it waits for `L`
//! from the moment of granting, longer by the allowance for clocks that run at different speeds. A relay grants no
//! longer than its own lease still runs, so that who granted the relay's may count all below it out with it.

use crate::message::LogPosition;
use crate::Nanos;

/// What is agreed on leases in a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTerms {
    /// A lease's length.
    pub lease_ns: Nanos,
    /// How much faster or slower than true time a clock may run, as a share.
    pub clock_allowance: f64,
    /// A holder that has not applied an order for this long gets no further lease.
    pub lagging_after_ns: Nanos,
}

impl LeaseTerms {
    /// After how long, by any clock of the fleet, a span that was granted has surely run out by any other.
    pub fn worst_case_ns(&self, span_ns: Nanos) -> Nanos {
        let a = self.clock_allowance;
        (span_ns as f64 * (1.0 + a) / (1.0 - a)).ceil() as Nanos
    }
}

/// A lease as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Until when, by the holder's clock.
    pub until_ns: Nanos,
    /// Only with everything up to here applied.
    pub position: LogPosition,
}
