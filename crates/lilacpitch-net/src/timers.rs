//! A timer queue with at most one timer for each key, ordered by due time.

use lilacpitch::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// A queue of timers. The key of a timer identifies its purpose; timers due at the same time fire in key
/// order.
#[derive(Debug)]
pub struct Timers<K> {
    by_due_time: BTreeSet<(Nanos, K)>,
    due_by_key: BTreeMap<K, Nanos>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { by_due_time: BTreeSet::new(), due_by_key: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Timers<K> {
    /// Sets a timer to fire at `due`, replacing its earlier due time.
    pub fn set(&mut self, timer: K, due: Nanos) {
        self.clear(timer);
        self.due_by_key.insert(timer, due);
        self.by_due_time.insert((due, timer));
    }

    /// Sets a timer to fire at `due`, unless it is already due sooner.
    pub fn set_no_later(&mut self, timer: K, due: Nanos) {
        self.set(timer, self.at(timer).map_or(due, |current| current.min(due)));
    }

    /// Cancels a timer.
    pub fn clear(&mut self, timer: K) {
        if let Some(due) = self.due_by_key.remove(&timer) {
            self.by_due_time.remove(&(due, timer));
        }
    }

    /// Returns when a timer is due, if it is set.
    pub fn at(&self, timer: K) -> Option<Nanos> {
        self.due_by_key.get(&timer).copied()
    }

    /// Returns when the next timer is due, if any is set.
    pub fn first(&self) -> Option<Nanos> {
        self.by_due_time.first().map(|(due, _)| *due)
    }

    /// Removes and returns the next timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Nanos) -> Option<K> {
        let (due, timer) = self.by_due_time.first().copied().filter(|(due, _)| *due <= now)?;
        self.by_due_time.remove(&(due, timer));
        self.due_by_key.remove(&timer);
        Some(timer)
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.due_by_key.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.due_by_key.is_empty()
    }
}
