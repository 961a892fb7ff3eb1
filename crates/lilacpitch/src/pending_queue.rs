//! The queue of calls that wait for a server or for their release. Calls that server selection treats alike
//! form a group, of which only the oldest needs to be tried.

use crate::interface::{CallId, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// A pending call: the deadline of its wait, and, if it is in a group, the key of the group and the time by
/// which the group is ordered.
pub type PendingEntry<K> = (Nanos, Option<(K, Nanos)>);

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
