//! Answers about numbers, in shards under their own locks. A purge takes out what it withdraws, and what was read
//! before it never comes in after it.

use crate::locate::LocateAnswer;
use crate::message::{CommandAction, FleetCommand, PurgeScope};
use crate::sync::Mutex;
use crate::{Nanos, Safeguards};
use lilacpitch_location::summary::shard_of;
use lilacpitch_location::Number;
use std::collections::{HashMap, VecDeque};

const SHARDS: usize = 16;
/// Scopes of purges that are remembered for fills under way; what was read before the oldest fills nothing.
const RECENT: usize = 65_536;

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<Number, LocateAnswer>,
    /// Numbers in the order they came in: the oldest make room.
    order: VecDeque<Number>,
}

#[derive(Debug, Default)]
struct Recent {
    scopes: VecDeque<(Nanos, PurgeScope)>,
    /// What was read before this may have been withdrawn by something that is no longer listed.
    known_from_ns: Nanos,
}

impl Recent {
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
    recent: Mutex<Recent>,
    most_a_shard: usize,
    guards: Safeguards,
}

impl Cache {
    /// For up to about so many numbers.
    pub fn new(most: usize, guards: Safeguards) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Cache { shards, recent: Mutex::default(), most_a_shard: most.div_ceil(SHARDS).max(1), guards }
    }

    fn shard(&self, number: &Number) -> &Mutex<Shard> {
        &self.shards[shard_of(number.hash64(), SHARDS)]
    }

    /// What is cached of a number. Whoever uses it judges the lease after this and before it answers.
    pub fn get(&self, number: &Number) -> Option<LocateAnswer> {
        self.shard(number).lock().entries.get(number).cloned()
    }

    /// Enters an answer that was read from `read_from_ns` on, unless something withdrew it since. Whether it did.
    pub fn fill(&self, read_from_ns: Nanos, number: &Number, answer: &LocateAnswer) -> bool {
        let mut shard = self.shard(number).lock();
        // Under the shard's lock: an order that is listed after this look finds the entry in the shard.
        let withdrawn = self.recent.lock().withdrawn_since(read_from_ns, number, answer);
        if withdrawn && self.guards.stale_fills {
            return false;
        }
        let kept = LocateAnswer { is_cached: true, ..answer.clone() };
        if shard.entries.insert(number.clone(), kept).is_none() {
            shard.order.push_back(number.clone());
        }
        while shard.entries.len() > self.most_a_shard {
            let Some(oldest) = shard.order.pop_front() else { break };
            shard.entries.remove(&oldest);
        }
        true
    }

    /// Applies an order: when this returns, nothing that it withdraws is served or filled.
    pub fn apply(&self, now: Nanos, order: &FleetCommand) {
        let CommandAction::Purge(scopes) = &order.action else { return };
        {
            let mut recent = self.recent.lock();
            recent.scopes.extend(scopes.iter().map(|scope| (now, scope.clone())));
            while recent.scopes.len() > RECENT {
                recent.known_from_ns = recent.scopes.pop_front().map_or(0, |(at, _)| at + 1);
            }
        }
        let numbers = scopes.iter().filter_map(|scope| match scope {
            PurgeScope::Number(number) => Some(number),
            _ => None,
        });
        numbers.for_each(|number| drop(self.shard(number).lock().entries.remove(number)));
        let wide: Vec<&PurgeScope> =
            scopes.iter().filter(|scope| !matches!(scope, PurgeScope::Number(_))).collect();
        if wide.is_empty() {
            return;
        }
        for shard in &self.shards {
            let out =
                |n: &Number, answer: &LocateAnswer| wide.iter().any(|scope| withdraws(scope, n, answer));
            shard.lock().entries.retain(|number, answer| !out(number, answer));
        }
    }

    /// Drops everything: a fresh start. What was read before now fills nothing.
    pub fn clear(&self, now: Nanos) {
        {
            let mut recent = self.recent.lock();
            recent.scopes.clear();
            recent.known_from_ns = now + 1;
        }
        for shard in &self.shards {
            *shard.lock() = Shard::default();
        }
    }

    /// How many numbers are held.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().entries.len()).sum()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
