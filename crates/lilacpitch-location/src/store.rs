//! The location store: records in shards by hash of the number, each shard under its own lock, with a summary that
//! tells which numbers have records.

use crate::error::LocationError;
use crate::query::{Page, Query, QueryTarget};
use crate::record::{Key, LocationRecord, Number};
use crate::summary::{fingerprint, shard_of, ShardChanges, ShardUpdate};
use crate::sync::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The records of one shard, in the order of their keys. Shared with a snapshot until the next write.
pub type Records = Arc<BTreeMap<Key, LocationRecord>>;

/// Most shards of a store.
pub const MAX_SHARDS: usize = 1 << 16;

#[derive(Debug, Default)]
struct Shard {
    records: Records,
    changes: ShardChanges,
}

impl Shard {
    fn has(&self, number: &Number) -> bool {
        self.from(number.as_str()).next().is_some_and(|(key, _)| key.number == *number)
    }

    /// The records from the first one on whose number begins with these digits.
    fn from(&self, digits: &str) -> impl Iterator<Item = (&Key, &LocationRecord)> {
        self.records.range(Key::lowest_with_prefix(digits)..)
    }

    fn rebase(&mut self) {
        let mut numbers: Vec<&Number> = self.records.keys().map(|key| &key.number).collect();
        numbers.dedup();
        let fingerprints: Vec<u32> = numbers.into_iter().map(|n| fingerprint(n.hash64())).collect();
        self.changes.rebase(&fingerprints);
    }
}

/// The location store of a site. All methods take `&self`: threads share it.
#[derive(Debug)]
pub struct LocationStore {
    shards: Box<[RwLock<Shard>]>,
}

impl LocationStore {
    /// An empty store of so many shards.
    ///
    /// # Errors
    /// [`LocationError::Shards`], where the number is 0 or over [`MAX_SHARDS`].
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

    /// Inserts a record, or replaces the one with its key; the one that it replaced.
    pub fn upsert(&self, record: LocationRecord) -> Option<LocationRecord> {
        let mut shard = self.shard(&record.key.number).write();
        // Where the number has records already, the summary contains it, and its version stays.
        if !shard.has(&record.key.number) {
            shard.changes.add(fingerprint(record.key.number.hash64()));
        }
        Arc::make_mut(&mut shard.records).insert(record.key.clone(), record)
    }

    /// The record with a key.
    pub fn get(&self, key: &Key) -> Option<LocationRecord> {
        self.shard(&key.number).read().records.get(key).cloned()
    }

    /// Removes the record with a key; the record.
    pub fn withdraw(&self, key: &Key) -> Option<LocationRecord> {
        Arc::make_mut(&mut self.shard(&key.number).write().records).remove(key)
    }

    /// Removes all records that a front wrote in incarnations before this one, a shard at a time; their keys.
    pub fn remove_older_incarnations(&self, front: &str, before: u64) -> Vec<Key> {
        let mut removed = Vec::new();
        for shard in &self.shards {
            let old = |key: &Key| key.owner.front == front && key.owner.incarnation < before;
            let keys: Vec<Key> = shard.read().records.keys().filter(|key| old(key)).cloned().collect();
            if !keys.is_empty() {
                let mut shard = shard.write();
                let records = Arc::make_mut(&mut shard.records);
                removed.extend(keys.into_iter().filter(|key| records.remove(key).is_some()));
            }
        }
        removed
    }

    /// Up to `limit` records that match a query, in the order of keys, behind the cursor `after`.
    pub fn find(&self, query: &Query, after: Option<&Key>, limit: usize) -> Page {
        match &query.target {
            QueryTarget::Number(number) => {
                let shard = self.shard(number).read();
                let matching = shard.from(number.as_str()).take_while(|(key, _)| key.number == *number);
                page(matching, query, after, limit)
            }
            QueryTarget::Prefix(prefix) => self.find_prefix(prefix, query, after, limit),
        }
    }

    /// One shard's lock at a time: each gives its first records, and the first of all are retained.
    fn find_prefix(&self, prefix: &str, query: &Query, after: Option<&Key>, limit: usize) -> Page {
        let mut all = Page::default();
        for shard in &self.shards {
            let shard = shard.read();
            // From the cursor on, where that is further: a long search costs each record once.
            let from = after.map_or(prefix, |key| prefix.max(key.number.as_str()));
            let matching = shard.from(from).take_while(|(key, _)| key.number.as_str().starts_with(prefix));
            let part = page(matching, query, after, limit);
            drop(shard);
            all.cursor = all.cursor.or(part.cursor);
            all.records.extend(part.records);
        }
        all.records.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let cut = all.records.len() > limit;
        all.records.truncate(limit);
        all.cursor =
            all.records.last().map(|record| record.key.clone()).filter(|_| cut || all.cursor.is_some());
        all
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.read().records.len()).sum()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The records of all shards, taken one after the other without blocking writers: a write to a shard that was taken
    /// copies it. A caller that needs one moment for all shards keeps its writers from writing meanwhile.
    pub fn snapshot(&self) -> Vec<Records> {
        self.shards.iter().map(|shard| shard.read().records.clone()).collect()
    }

    /// Replaces all records by those of a snapshot.
    ///
    /// # Errors
    /// [`LocationError`], where a record is malformed; nothing is replaced then.
    pub fn restore(&self, records: impl IntoIterator<Item = LocationRecord>) -> Result<(), LocationError> {
        let mut parts: Vec<BTreeMap<Key, LocationRecord>> = vec![BTreeMap::new(); self.shards.len()];
        for record in records {
            record.check()?;
            let at = shard_of(record.key.number.hash64(), self.shards.len());
            parts[at].insert(record.key.clone(), record);
        }
        for (shard, records) in self.shards.iter().zip(parts) {
            let mut shard = shard.write();
            shard.records = Arc::new(records);
            shard.rebase();
        }
        Ok(())
    }

    /// The version of each shard's summary.
    pub fn versions(&self) -> Vec<u64> {
        self.shards.iter().map(|shard| shard.read().changes.version).collect()
    }

    /// The update of a shard's summary since a version; `None`: there is none, or no such shard.
    pub fn summary(&self, shard: usize, known: Option<u64>) -> Option<ShardUpdate> {
        let at = self.shards.get(shard)?;
        {
            let state = at.read();
            if !state.changes.base_is_due() {
                return state.changes.since(shard as u32, known);
            }
        }
        let mut state = at.write();
        if state.changes.base_is_due() {
            state.rebase();
        }
        state.changes.since(shard as u32, known)
    }
}

fn page<'a>(
    records: impl Iterator<Item = (&'a Key, &'a LocationRecord)>,
    query: &Query,
    after: Option<&Key>,
    limit: usize,
) -> Page {
    let past = |key: &&Key| after.is_none_or(|after| *key > after);
    let mut found =
        records.filter(|(key, record)| past(key) && query.matches(record)).map(|(_, record)| record);
    let records: Vec<LocationRecord> = found.by_ref().take(limit).cloned().collect();
    let more = found.next().is_some();
    let cursor = records.last().map(|record| record.key.clone()).filter(|_| more);
    Page { records, cursor }
}
