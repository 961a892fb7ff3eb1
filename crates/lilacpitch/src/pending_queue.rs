//! Calls that wait for a server or for their release: a container, which decides nothing. Calls that server
//! selection cannot tell apart form one group, of which only the oldest needs to be tried.

use crate::interface::{CallId, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// A pending call: when its waiting ends, and the group it is in since when, if in any.
pub type PendingEntry<K> = (Nanos, Option<(K, Nanos)>);

/// Pending calls by when their waiting ends, and by group, the oldest of a group first.
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
    /// Adds a call, changes its entry, or removes it.
    pub fn set(&mut self, id: CallId, entry: Option<PendingEntry<K>>) {
        let before = self.entry(id);
        if entry == before {
            return;
        }
        if let Some(before) = before {
            self.remove(id, before);
        }
        if let Some((deadline_ns, group)) = entry {
            self.entries.insert(id, (deadline_ns, group));
            self.deadlines.insert((deadline_ns, id));
            if let Some((key, since_ns)) = group {
                self.groups.entry(key).or_default().insert((since_ns, id));
            }
        }
    }

    fn remove(&mut self, id: CallId, (deadline_ns, group): PendingEntry<K>) {
        self.entries.remove(&id);
        self.deadlines.remove(&(deadline_ns, id));
        let Some((key, since_ns)) = group else { return };
        let Some(members) = self.groups.get_mut(&key) else { return };
        members.remove(&(since_ns, id));
        if members.is_empty() {
            self.groups.remove(&key);
        }
    }

    /// The entry of a call.
    pub fn entry(&self, id: CallId) -> Option<PendingEntry<K>> {
        self.entries.get(&id).copied()
    }

    /// The calls whose waiting has ended by `now`.
    pub fn due(&self, now: Nanos) -> impl Iterator<Item = CallId> + '_ {
        self.deadlines.range(..=(now, CallId::MAX)).map(|(_, id)| *id)
    }

    /// When the waiting of the next call ends.
    pub fn next_deadline_ns(&self) -> Option<Nanos> {
        self.deadlines.first().map(|(deadline_ns, _)| *deadline_ns)
    }

    /// The keys of all groups, in their order.
    pub fn groups(&self) -> Vec<K> {
        self.groups.keys().copied().collect()
    }

    /// The oldest call of a group.
    pub fn oldest(&self, key: K) -> Option<CallId> {
        self.groups.get(&key).and_then(|members| members.first()).map(|(_, id)| *id)
    }
}
