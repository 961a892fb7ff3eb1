//! The cache of a front: answers by number, in shards with a lock each. A purge removes the cached answers in
//! its scope, and an answer that was read before a purge is never cached after it.
//!
//! **Lock order.** A shard, then the list of recent purges. Never two shards.

use crate::locate::LocateAnswer;
use crate::message::{CommandAction, FleetCommand, PurgeScope};
use crate::sync::Mutex;
use crate::{Nanos, Safeguards};
use lilacpitch_location::summary::shard_of;
use lilacpitch_location::{Number, Owner};
use std::collections::{HashMap, VecDeque};

const SHARDS: usize = 16;
/// Most purge scopes that are retained to check fills against. An answer that was read before the oldest of
/// them is not cached.
const MAX_RECENT_SCOPES: usize = 65_536;

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<Number, LocateAnswer>,
    /// Numbers in insertion order; the oldest entries are evicted first.
    insertion_order: VecDeque<Number>,
}

/// The scopes of recent purges, against which answers are checked before they are cached.
#[derive(Debug, Default)]
struct RecentPurges {
    /// When each purge was applied, and its scope, oldest first.
    scopes: VecDeque<(Nanos, PurgeScope)>,
    /// An answer that was read before this time may be in the scope of a purge that is no longer retained.
    known_from_ns: Nanos,
}

impl RecentPurges {
    /// Whether a purge has, or may have, withdrawn an answer since it was read.
    fn withdrawn_since(&self, read_from_ns: Nanos, number: &Number, answer: &LocateAnswer) -> bool {
        // A purge at the time of reading counts as later.
        let is_later = |(purged_ns, _): &&(Nanos, PurgeScope)| *purged_ns >= read_from_ns;
        read_from_ns < self.known_from_ns
            || self
                .scopes
                .iter()
                .rev()
                .take_while(is_later)
                .any(|(_, scope)| withdraws(scope, number, answer))
    }
}

/// Whether an answer is in the scope of a purge.
fn withdraws(scope: &PurgeScope, number: &Number, answer: &LocateAnswer) -> bool {
    match scope {
        PurgeScope::Number(purged) => purged == number,
        PurgeScope::Prefix(prefix) => number.as_str().starts_with(prefix.as_str()),
        PurgeScope::Owner(name) => {
            let is_owned = |owner: &Owner| owner.name == *name || owner.front == *name;
            answer.records.iter().any(|record| is_owned(&record.key.owner))
        }
        PurgeScope::All => true,
    }
}

/// The cache of a front.
#[derive(Debug)]
pub struct Cache {
    shards: Box<[Mutex<Shard>]>,
    recent_purges: Mutex<RecentPurges>,
    shard_capacity: usize,
    safeguards: Safeguards,
}

impl Cache {
    /// Creates a cache for about `capacity` numbers. The capacity is divided evenly among the shards.
    pub fn new(capacity: usize, safeguards: Safeguards) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Cache {
            shards,
            recent_purges: Mutex::default(),
            shard_capacity: capacity.div_ceil(SHARDS).max(1),
            safeguards,
        }
    }

    fn shard(&self, number: &Number) -> &Mutex<Shard> {
        &self.shards[shard_of(number.hash64(), SHARDS)]
    }

    /// Returns the cached answer about a number. The caller must check the lease after this call and before
    /// it uses the answer.
    pub fn get(&self, number: &Number) -> Option<LocateAnswer> {
        self.shard(number).lock().entries.get(number).cloned()
    }

    /// Caches an answer that was read at or after `read_from_ns`, unless a purge has withdrawn it since.
    /// Returns whether the answer was cached.
    pub fn fill(&self, read_from_ns: Nanos, number: &Number, answer: &LocateAnswer) -> bool {
        let mut shard = self.shard(number).lock();
        // Checked under the shard's lock: a purge that is added after this check will find the entry in the
        // shard.
        let is_withdrawn = self.recent_purges.lock().withdrawn_since(read_from_ns, number, answer);
        if is_withdrawn && self.safeguards.stale_fills {
            return false;
        }
        let cached = LocateAnswer { is_cached: true, ..answer.clone() };
        if shard.entries.insert(number.clone(), cached).is_none() {
            shard.insertion_order.push_back(number.clone());
        }
        while shard.entries.len() > self.shard_capacity {
            let Some(oldest) = shard.insertion_order.pop_front() else { break };
            shard.entries.remove(&oldest);
        }
        true
    }

    /// Applies a command. After this returns, no answer in the scope of the purge is cached or can be filled
    /// by an earlier read.
    pub fn apply(&self, now: Nanos, command: &FleetCommand) {
        let CommandAction::Purge(scopes) = &command.action else { return };
        {
            let mut recent_purges = self.recent_purges.lock();
            recent_purges.scopes.extend(scopes.iter().map(|scope| (now, scope.clone())));
            while recent_purges.scopes.len() > MAX_RECENT_SCOPES {
                recent_purges.known_from_ns =
                    recent_purges.scopes.pop_front().map_or(0, |(purged_ns, _)| purged_ns + 1);
            }
        }
        let numbers = scopes.iter().filter_map(|scope| match scope {
            PurgeScope::Number(number) => Some(number),
            _ => None,
        });
        numbers.for_each(|number| drop(self.shard(number).lock().entries.remove(number)));
        let wide_scopes: Vec<&PurgeScope> =
            scopes.iter().filter(|scope| !matches!(scope, PurgeScope::Number(_))).collect();
        if wide_scopes.is_empty() {
            return;
        }
        for shard in &self.shards {
            let is_withdrawn = |number: &Number, answer: &LocateAnswer| {
                wide_scopes.iter().any(|scope| withdraws(scope, number, answer))
            };
            shard.lock().entries.retain(|number, answer| !is_withdrawn(number, answer));
        }
    }

    /// Removes all answers after a reset. Answers that were read up to now can't be cached any more.
    pub fn clear(&self, now: Nanos) {
        {
            let mut recent_purges = self.recent_purges.lock();
            recent_purges.scopes.clear();
            recent_purges.known_from_ns = now + 1;
        }
        for shard in &self.shards {
            *shard.lock() = Shard::default();
        }
    }

    /// The number of cached answers.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().entries.len()).sum()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
