//! Selects the process of the parent site that is used, and the delay before the next renewal of the lease.

use crate::lease::LeaseTerms;
use crate::Nanos;

/// The number of renewals during the length of a lease.
const RENEWALS_PER_LEASE: u64 = 5;
/// After this many consecutive failures, the next process is used.
const MAX_FAILURES: u32 = 2;
/// The maximum delay before the next renewal after a failure.
const MAX_RETRY_DELAY_NS: Nanos = 200_000_000;

/// Returns the interval between two renewals of a lease, in nanoseconds.
pub fn renewal_interval_ns(terms: &LeaseTerms) -> Nanos {
    terms.lease_ns / RENEWALS_PER_LEASE
}

/// The process of the parent site that is used until it fails repeatedly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSelection {
    index: usize,
    /// The number of consecutive failures.
    failures: u32,
}

impl UpstreamSelection {
    /// Begins with the process at this index, modulo the number of processes.
    pub fn new(index: usize) -> Self {
        UpstreamSelection { index, failures: 0 }
    }

    /// The index of the selected process, out of `count` processes.
    pub fn selected_index(&self, count: usize) -> usize {
        self.index % count.max(1)
    }

    /// Records that the selected process has accepted a request.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the selected process has rejected a request, or not responded.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            *self = UpstreamSelection::new(self.index.wrapping_add(1));
        }
    }

    /// The delay before the next renewal, in nanoseconds.
    pub fn next_renewal_delay_ns(&self, terms: &LeaseTerms) -> Nanos {
        let delay_ns = renewal_interval_ns(terms);
        if self.failures > 0 {
            delay_ns.min(MAX_RETRY_DELAY_NS)
        } else {
            delay_ns
        }
    }
}
