//! Which process above is followed, and how soon it is asked for a lease again.

use crate::lease::LeaseTerms;
use crate::Nanos;

/// A lease is asked for again after this share of it.
const RENEW_SHARE: u64 = 5;
/// After so many failures in a row the next process is followed.
const FAILURES: u32 = 2;
/// The longest gap after a failure.
const AGAIN_NS: Nanos = 200_000_000;

/// The gap between two questions for a lease.
pub fn renewal_interval_ns(terms: &LeaseTerms) -> Nanos {
    terms.lease_ns / RENEW_SHARE
}

/// The way upwards: one process of the site above, until it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSelection {
    at: usize,
    failures: u32,
}

impl UpstreamSelection {
    /// Begins with the process at this place, counted round.
    pub fn new(at: usize) -> Self {
        UpstreamSelection { at, failures: 0 }
    }

    /// The place of the one that is followed, of so many.
    pub fn selected_index(&self, of: usize) -> usize {
        self.at % of.max(1)
    }

    /// It has answered with more than a refusal.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// It has refused, or not answered.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= FAILURES {
            *self = UpstreamSelection::new(self.at.wrapping_add(1));
        }
    }

    /// When to ask next.
    pub fn next_renewal_delay_ns(&self, terms: &LeaseTerms) -> Nanos {
        let gap_ns = renewal_interval_ns(terms);
        if self.failures > 0 {
            gap_ns.min(AGAIN_NS)
        } else {
            gap_ns
        }
    }
}
