//! The queue of calls that wait for a server or for their release. Calls that server selection treats alike
//! form a group, of which only the oldest needs to be tried.

use crate::interface::{CallId, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// The entry of a pending call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingEntry<K> {
    /// When its wait ends.
    pub deadline_ns: Nanos,
    /// The group that it is in, if any.
    pub group: Option<Membership<K>>,
}

/// The membership of a call in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Membership<K> {
    /// The key of the group.
    pub key: K,
    /// The time by which the calls of the group are ordered.
    pub since_ns: Nanos,
}

/// Pending calls, ordered by deadline and, within each group, by age. `K` is the key of a group.
#[derive(Debug, Clone)]
pub struct PendingQueue<K> {
    entries: BTreeMap<CallId, PendingEntry<K>>,
    deadlines: BTreeSet<(Nanos, CallId)>,
    groups: BTreeMap<K, BTreeSet<(Nanos, CallId)>>,
}

impl<K: Ord + Copy> Default for PendingQueue<K> {
    fn default() -> Self {
        PendingQueue { entries: BTreeMap::new(), deadlines: BTreeSet::new(), groups: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> PendingQueue<K> {
    /// Adds or replaces the entry of a call; `None` removes it.
    pub fn set(&mut self, id: CallId, entry: Option<PendingEntry<K>>) {
        let previous = self.entry(id);
        if entry == previous {
            return;
        }
        if let Some(previous) = previous {
            self.remove(id, previous);
        }
        if let Some(entry) = entry {
            self.insert(id, entry);
        }
    }

    fn insert(&mut self, id: CallId, entry: PendingEntry<K>) {
        self.entries.insert(id, entry);
        self.deadlines.insert((entry.deadline_ns, id));
        if let Some(membership) = entry.group {
            self.groups.entry(membership.key).or_default().insert((membership.since_ns, id));
        }
    }

    fn remove(&mut self, id: CallId, entry: PendingEntry<K>) {
        self.entries.remove(&id);
        self.deadlines.remove(&(entry.deadline_ns, id));
        let Some(membership) = entry.group else { return };
        let Some(members) = self.groups.get_mut(&membership.key) else { return };
        members.remove(&(membership.since_ns, id));
        if members.is_empty() {
            self.groups.remove(&membership.key);
        }
    }

    /// The entry of a call; `None` if it is not pending.
    pub fn entry(&self, id: CallId) -> Option<PendingEntry<K>> {
        self.entries.get(&id).copied()
    }

    /// The calls whose deadline has passed at `now`, earliest first.
    pub fn due(&self, now: Nanos) -> impl Iterator<Item = CallId> + '_ {
        self.deadlines.range(..=(now, CallId::MAX)).map(|(_, id)| *id)
    }

    /// The earliest deadline.
    pub fn next_deadline_ns(&self) -> Option<Nanos> {
        self.deadlines.first().map(|(deadline_ns, _)| *deadline_ns)
    }

    /// The keys of all groups, in ascending order.
    pub fn groups(&self) -> Vec<K> {
        self.groups.keys().copied().collect()
    }

    /// The oldest call of a group; `None` if there is no such group.
    pub fn oldest(&self, key: K) -> Option<CallId> {
        self.groups.get(&key).and_then(|members| members.first()).map(|(_, id)| *id)
    }
}
