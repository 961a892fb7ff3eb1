//! How many questions a process of a site works on at once: calls that wait come before searches.

/// Searches take this share of the room at most: one of so many places, and one at least.
const SEARCH_SHARE: usize = 4;

/// Places for questions. Whoever enters leaves again.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    most: usize,
    calls: usize,
    searches: usize,
}

impl ConcurrencyLimit {
    /// For so many questions at once.
    pub fn new(most: usize) -> Self {
        ConcurrencyLimit { most: most.max(1), calls: 0, searches: 0 }
    }

    /// A question wants in; `false`: there is no room, and its asker is told 'full'.
    pub fn try_acquire(&mut self, urgent: bool) -> bool {
        let searches_full = self.searches >= (self.most / SEARCH_SHARE).max(1);
        if self.calls + self.searches >= self.most || (!urgent && searches_full) {
            return false;
        }
        *self.places(urgent) += 1;
        true
    }

    /// A question that was let in is done with.
    pub fn release(&mut self, urgent: bool) {
        let places = self.places(urgent);
        *places = places.saturating_sub(1);
    }

    fn places(&mut self, urgent: bool) -> &mut usize {
        if urgent {
            &mut self.calls
        } else {
            &mut self.searches
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn searches_leave_room_for_calls() {
        let mut room = ConcurrencyLimit::new(8);
        assert_eq!((0..8).filter(|_| room.try_acquire(false)).count(), 2);
        assert_eq!((0..8).filter(|_| room.try_acquire(true)).count(), 6);
        room.release(false);
        assert!(room.try_acquire(true) && !room.try_acquire(false));
        room.release(true);
        assert!(room.try_acquire(false));
    }
}
