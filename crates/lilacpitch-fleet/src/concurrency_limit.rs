//! Limits the number of queries that a process of a site handles concurrently. Queries that a call waits for
//! take precedence: searches may use only a share of the slots.

/// Searches may use one in this many slots, and at least one slot.
const SLOTS_PER_SEARCH: usize = 4;

/// Slots for queries. The caller must release each slot that it has acquired.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    capacity: usize,
    /// Slots in use by urgent queries.
    urgent: usize,
    /// Slots in use by searches.
    searches: usize,
}

impl ConcurrencyLimit {
    /// Creates a limit of `capacity` concurrent queries; the minimum is one.
    pub fn new(capacity: usize) -> Self {
        ConcurrencyLimit { capacity: capacity.max(1), urgent: 0, searches: 0 }
    }

    /// Acquires a slot. Returns `false` if none is free; the query is then rejected as overload.
    pub fn try_acquire(&mut self, is_urgent: bool) -> bool {
        let is_full_for_searches = self.searches >= (self.capacity / SLOTS_PER_SEARCH).max(1);
        if self.urgent + self.searches >= self.capacity || (!is_urgent && is_full_for_searches) {
            return false;
        }
        *self.in_use(is_urgent) += 1;
        true
    }

    /// Releases a slot that was acquired with the same `is_urgent`.
    pub fn release(&mut self, is_urgent: bool) {
        let in_use = self.in_use(is_urgent);
        *in_use = in_use.saturating_sub(1);
    }

    fn in_use(&mut self, is_urgent: bool) -> &mut usize {
        if is_urgent {
            &mut self.urgent
        } else {
            &mut self.searches
        }
    }
}
