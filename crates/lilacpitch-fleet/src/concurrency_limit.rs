//! How many queries a process of a site works on at once. A query that a call waits for goes before searches, which get
//! a share of the slots only.

/// Searches may take one of so many slots, and one at least.
const SLOTS_PER_SEARCH: usize = 4;

/// Slots for queries. Whoever has acquired one releases it.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    capacity: usize,
    urgent: usize,
    searches: usize,
}

impl ConcurrencyLimit {
    /// A limit of so many queries at once, and of one at least.
    pub fn new(capacity: usize) -> Self {
        ConcurrencyLimit { capacity: capacity.max(1), urgent: 0, searches: 0 }
    }

    /// Acquires a slot; `false`: there is none, and the query is rejected as overload.
    pub fn try_acquire(&mut self, is_urgent: bool) -> bool {
        let is_full_for_searches = self.searches >= (self.capacity / SLOTS_PER_SEARCH).max(1);
        if self.urgent + self.searches >= self.capacity || (!is_urgent && is_full_for_searches) {
            return false;
        }
        *self.in_use(is_urgent) += 1;
        true
    }

    /// Releases a slot that was acquired for a query of this urgency.
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
