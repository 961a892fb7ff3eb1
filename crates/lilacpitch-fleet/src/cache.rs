//! The cache of a front: answers by number, in shards under locks of their own. A purge removes what it withdraws, and
//! what was read before a purge never comes in after it.
//!
//! **Order of locks.** A shard, then the list of recent purges. Never two shards.

use crate::locate::LocateAnswer;
use crate::message::{CommandAction, FleetCommand, PurgeScope};
use crate::sync::Mutex;
use crate::{Nanos, Safeguards};
use lilacpitch_location::summary::shard_of;
use lilacpitch_location::Number;
use std::collections::{HashMap, VecDeque};

const SHARDS: usize = 16;
/// Most scopes of purges that are retained for fills under way; what was read before the oldest fills nothing.
const MAX_RECENT_SCOPES: usize = 65_536;

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<Number, LocateAnswer>,
    /// Numbers in the order of their insertion: the oldest are evicted first.
    insertion_order: VecDeque<Number>,
}

#[derive(Debug, Default)]
struct RecentPurges {
    scopes: VecDeque<(Nanos, PurgeScope)>,
    /// What was read before this may have been withdrawn by something that is no longer listed.
    known_from_ns: Nanos,
}

impl RecentPurges {
    fn withdrawn_since(&self, read_from_ns: Nanos, number: &Number, answer: &LocateAnswer) -> bool {
        // A purge of the very moment of reading counts as after it.
        let since = |(at, _): &&(Nanos, PurgeScope)| *at >= read_from_ns;
        read_from_ns < self.known_from_ns
            || self.scopes.iter().rev().take_while(since).any(|(_, scope)| withdraws(scope, number, answer))
    }
}

/// Whether a purge withdraws an answer.
fn withdraws(scope: &PurgeScope, number: &Number, answer: &LocateAnswer) -> bool {
    match scope {
        PurgeScope::Number(one) => one == number,
        PurgeScope::Prefix(prefix) => number.as_str().starts_with(prefix.as_str()),
        PurgeScope::Owner(name) => {
            answer.records.iter().any(|r| r.key.owner.name == *name || r.key.owner.front == *name)
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
    /// A cache for up to about so many numbers.
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

    /// The cached answer about a number. The caller checks the lease after this, and before it uses the answer.
    pub fn get(&self, number: &Number) -> Option<LocateAnswer> {
        self.shard(number).lock().entries.get(number).cloned()
    }

    /// Caches an answer that was read from `read_from_ns` on, unless a purge has withdrawn it since; whether it did.
    pub fn fill(&self, read_from_ns: Nanos, number: &Number, answer: &LocateAnswer) -> bool {
        let mut shard = self.shard(number).lock();
        // Under the shard's lock: a purge that is listed after this check finds the entry in the shard.
        let withdrawn = self.recent_purges.lock().withdrawn_since(read_from_ns, number, answer);
        if withdrawn && self.safeguards.stale_fills {
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

    /// Applies a command: when this returns, nothing that it purges is served or filled.
    pub fn apply(&self, now: Nanos, command: &FleetCommand) {
        let CommandAction::Purge(scopes) = &command.action else { return };
        {
            let mut recent_purges = self.recent_purges.lock();
            recent_purges.scopes.extend(scopes.iter().map(|scope| (now, scope.clone())));
            while recent_purges.scopes.len() > MAX_RECENT_SCOPES {
                recent_purges.known_from_ns = recent_purges.scopes.pop_front().map_or(0, |(at, _)| at + 1);
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
            let is_withdrawn = |n: &Number, answer: &LocateAnswer| {
                wide_scopes.iter().any(|scope| withdraws(scope, n, answer))
            };
            shard.lock().entries.retain(|number, answer| !is_withdrawn(number, answer));
        }
    }

    /// Drops everything, after a reset. What was read before now fills nothing.
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

    /// How many numbers are cached.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().entries.len()).sum()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
