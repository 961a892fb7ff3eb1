//! Which process of the parent site is used, and when the lease is renewed next.

use crate::lease::LeaseTerms;
use crate::Nanos;

/// How often a lease is renewed within its length.
const RENEWALS_PER_LEASE: u64 = 5;
/// After so many failures in a row the next process is used.
const MAX_FAILURES: u32 = 2;
/// The longest delay after a failure.
const MAX_RETRY_DELAY_NS: Nanos = 200_000_000;

/// The interval between two renewals of a lease, in nanoseconds.
pub fn renewal_interval_ns(terms: &LeaseTerms) -> Nanos {
    terms.lease_ns / RENEWALS_PER_LEASE
}

/// The process of the parent site that is used, until it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSelection {
    index: usize,
    failures: u32,
}

impl UpstreamSelection {
    /// Begins with the process of this index, modulo the number of processes.
    pub fn new(index: usize) -> Self {
        UpstreamSelection { index, failures: 0 }
    }

    /// The index of the process that is used, of so many.
    pub fn selected_index(&self, count: usize) -> usize {
        self.index % count.max(1)
    }

    /// The process has responded, and not rejected the request.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The process has rejected the request, or not responded.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            *self = UpstreamSelection::new(self.index.wrapping_add(1));
        }
    }

    /// When to renew next, in nanoseconds from now.
    pub fn next_renewal_delay_ns(&self, terms: &LeaseTerms) -> Nanos {
        let delay_ns = renewal_interval_ns(terms);
        if self.failures > 0 {
            delay_ns.min(MAX_RETRY_DELAY_NS)
        } else {
            delay_ns
        }
    }
}
