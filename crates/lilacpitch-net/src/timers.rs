//! A timer queue: one entry for each key, in the order in which they are due.

use lilacpitch::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Timers by key, which says what each is for. Ties are ordered by key.
#[derive(Debug)]
pub struct Timers<K> {
    due: BTreeSet<(Nanos, K)>,
    set: BTreeMap<K, Nanos>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { due: BTreeSet::new(), set: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Timers<K> {
    /// Sets a timer, in place of an earlier setting.
    pub fn set(&mut self, timer: K, at: Nanos) {
        self.clear(timer);
        self.set.insert(timer, at);
        self.due.insert((at, timer));
    }

    /// Sets a timer, unless it is due sooner already.
    pub fn set_no_later(&mut self, timer: K, at: Nanos) {
        self.set(timer, self.at(timer).map_or(at, |before| before.min(at)));
    }

    /// Cancels a timer.
    pub fn clear(&mut self, timer: K) {
        if let Some(at) = self.set.remove(&timer) {
            self.due.remove(&(at, timer));
        }
    }

    /// When a timer is due, if it is set.
    pub fn at(&self, timer: K) -> Option<Nanos> {
        self.set.get(&timer).copied()
    }

    /// When the first timer is due.
    pub fn first(&self) -> Option<Nanos> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that is due by now.
    pub fn pop_due(&mut self, now: Nanos) -> Option<K> {
        let (at, timer) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.due.remove(&(at, timer));
        self.set.remove(&timer);
        Some(timer)
    }

    /// Number of timers that are set.
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }
}
