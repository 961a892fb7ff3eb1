//! Leases, which limit how long cached answers may be used without another message (Gray and Cheriton,
//! "Leases", SOSP 1989).
//!
//! The holder measures a lease of length `L` from the moment it sent its *request*, by its own steady clock.
//! The grantor measures `L` from the moment of the grant, plus an allowance for clocks that run at different
//! speeds. A process grants no lease that outlasts its own: once its own lease has expired, so have all
//! leases below it.

use crate::message::LogPosition;
use crate::Nanos;

/// The terms of leases, which are the same in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTerms {
    /// The length of a lease, in nanoseconds.
    pub lease_ns: Nanos,
    /// By how much the speed of a clock may differ from true time, as a fraction: 0.01 is 1 %.
    pub clock_allowance: f64,
    /// A holder that has not applied a command for longer than this, in nanoseconds, gets no further lease.
    pub lagging_after_ns: Nanos,
}

impl LeaseTerms {
    /// Returns the time by one clock of the fleet after which `duration_ns` has certainly passed by every
    /// other clock, in nanoseconds.
    pub fn worst_case_ns(&self, duration_ns: Nanos) -> Nanos {
        let allowance = self.clock_allowance;
        (duration_ns as f64 * (1.0 + allowance) / (1.0 - allowance)).ceil() as Nanos
    }
}

/// A lease, as recorded by its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// When the lease expires, by the holder's steady clock.
    pub until_ns: Nanos,
    /// The lease is valid once all commands up to this position are applied.
    pub position: LogPosition,
}
