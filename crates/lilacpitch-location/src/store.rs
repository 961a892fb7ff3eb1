//! Rows in shards, each shard under its own lock.

use crate::error::LocationError;
use crate::query::{Page, Query, QueryTarget};
use crate::record::{Key, LocationRecord, Number};
use crate::summary::{fingerprint, shard_of, ShardChanges, ShardUpdate};
use crate::sync::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Rows of one shard, in the order of their keys. Shared with a snapshot until the next write.
pub type Records = Arc<BTreeMap<Key, LocationRecord>>;

/// Most shards of a register.
pub const MAX_SHARDS: usize = 1 << 16;

#[derive(Debug, Default)]
struct Shard {
    rows: Records,
    changes: ShardChanges,
}

impl Shard {
    fn has(&self, number: &Number) -> bool {
        self.from(number.as_str()).next().is_some_and(|(key, _)| key.number == *number)
    }

    /// Rows from the first on whose number begins so.
    fn from(&self, digits: &str) -> impl Iterator<Item = (&Key, &LocationRecord)> {
        self.rows.range(Key::lowest_with_prefix(digits)..)
    }

    fn rebase(&mut self) {
        let mut numbers: Vec<&Number> = self.rows.keys().map(|key| &key.number).collect();
        numbers.dedup();
        let fingerprints: Vec<u32> = numbers.into_iter().map(|n| fingerprint(n.hash64())).collect();
        self.changes.rebase(&fingerprints);
    }
}

/// The register of a site. All methods take `&self`: threads share it.
#[derive(Debug)]
pub struct LocationStore {
    shards: Box<[RwLock<Shard>]>,
}

impl LocationStore {
    /// An empty register of so many shards.
    pub fn new(shards: usize) -> Result<Self, LocationError> {
        if !(1..=MAX_SHARDS).contains(&shards) {
            return Err(LocationError::Shards(shards));
        }
        Ok(LocationStore { shards: (0..shards).map(|_| RwLock::default()).collect() })
    }

    /// How many shards there are.
    pub fn shards(&self) -> usize {
        self.shards.len()
    }

    fn shard(&self, number: &Number) -> &RwLock<Shard> {
        &self.shards[shard_of(number.hash64(), self.shards.len())]
    }

    /// Enters a row, in place of one with its key; what stood there.
    pub fn upsert(&self, row: LocationRecord) -> Option<LocationRecord> {
        let mut shard = self.shard(&row.key.number).write();
        // Known already: whoever could not rule it out before can't now, and the version needs no step.
        if !shard.has(&row.key.number) {
            shard.changes.add(fingerprint(row.key.number.hash64()));
        }
        Arc::make_mut(&mut shard.rows).insert(row.key.clone(), row)
    }

    /// The row of a key.
    pub fn get(&self, key: &Key) -> Option<LocationRecord> {
        self.shard(&key.number).read().rows.get(key).cloned()
    }

    /// Takes a row out; the row.
    pub fn withdraw(&self, key: &Key) -> Option<LocationRecord> {
        Arc::make_mut(&mut self.shard(&key.number).write().rows).remove(key)
    }

    /// Takes out all rows that a front wrote in lives before this one; their keys. A shard at a time.
    pub fn remove_older_incarnations(&self, front: &str, before_life: u64) -> Vec<Key> {
        let mut gone = Vec::new();
        for shard in &self.shards {
            let old = |key: &Key| key.owner.front == front && key.owner.incarnation < before_life;
            let keys: Vec<Key> = shard.read().rows.keys().filter(|key| old(key)).cloned().collect();
            if !keys.is_empty() {
                let mut shard = shard.write();
                let rows = Arc::make_mut(&mut shard.rows);
                gone.extend(keys.into_iter().filter(|key| rows.remove(key).is_some()));
            }
        }
        gone
    }

    /// Up to `limit` rows that a question asks for, in the order of keys, from behind a cursor on.
    pub fn find(&self, query: &Query, after: Option<&Key>, limit: usize) -> Page {
        match &query.target {
            QueryTarget::Number(number) => {
                let shard = self.shard(number).read();
                let of_it = shard.from(number.as_str()).take_while(|(key, _)| key.number == *number);
                page(of_it, query, after, limit)
            }
            QueryTarget::Prefix(prefix) => self.find_prefix(prefix, query, after, limit),
        }
    }

    /// One shard's lock at a time: each gives its first, and the first of all are kept.
    fn find_prefix(&self, prefix: &str, query: &Query, after: Option<&Key>, limit: usize) -> Page {
        let mut all = Page::default();
        for shard in &self.shards {
            let shard = shard.read();
            // From the cursor on, where that is further: a long walk costs each row once.
            let from = after.map_or(prefix, |key| prefix.max(key.number.as_str()));
            let of_it = shard.from(from).take_while(|(key, _)| key.number.as_str().starts_with(prefix));
            let part = page(of_it, query, after, limit);
            drop(shard);
            all.cursor = all.cursor.or(part.cursor);
            all.records.extend(part.records);
        }
        all.records.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let cut = all.records.len() > limit;
        all.records.truncate(limit);
        all.cursor = all.records.last().map(|row| row.key.clone()).filter(|_| cut || all.cursor.is_some());
        all
    }

    /// How many rows there are.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.read().rows.len()).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The rows of all shards, taken one after the other without waiting for writers: a write that comes after a
    /// shard was taken copies that shard and goes on. Whoever needs one moment for all holds its writers back.
    pub fn snapshot(&self) -> Vec<Records> {
        self.shards.iter().map(|shard| shard.read().rows.clone()).collect()
    }

    /// Puts a snapshot's rows in place of all there are.
    pub fn restore(&self, rows: impl IntoIterator<Item = LocationRecord>) -> Result<(), LocationError> {
        let mut parts: Vec<BTreeMap<Key, LocationRecord>> = vec![BTreeMap::new(); self.shards.len()];
        for row in rows {
            row.check()?;
            let at = shard_of(row.key.number.hash64(), self.shards.len());
            parts[at].insert(row.key.clone(), row);
        }
        for (shard, rows) in self.shards.iter().zip(parts) {
            let mut shard = shard.write();
            shard.rows = Arc::new(rows);
            shard.rebase();
        }
        Ok(())
    }

    /// The versions of the summaries of all shards.
    pub fn versions(&self) -> Vec<u64> {
        self.shards.iter().map(|shard| shard.read().changes.version).collect()
    }

    /// What a router lacks of a shard's summary that has the version `known` of it.
    pub fn summary(&self, shard: usize, known: Option<u64>) -> Option<ShardUpdate> {
        let at = self.shards.get(shard)?;
        {
            let held = at.read();
            if !held.changes.base_is_due() {
                return held.changes.since(shard as u32, known);
            }
        }
        let mut held = at.write();
        if held.changes.base_is_due() {
            held.rebase();
        }
        held.changes.since(shard as u32, known)
    }
}

fn page<'a>(
    rows: impl Iterator<Item = (&'a Key, &'a LocationRecord)>,
    query: &Query,
    after: Option<&Key>,
    limit: usize,
) -> Page {
    let past = |key: &&Key| after.is_none_or(|after| *key > after);
    let mut found = rows.filter(|(key, row)| past(key) && query.matches(row)).map(|(_, row)| row);
    let rows: Vec<LocationRecord> = found.by_ref().take(limit).cloned().collect();
    let more = found.next().is_some();
    let cursor = rows.last().map(|row| row.key.clone()).filter(|_| more);
    Page { records: rows, cursor }
}
