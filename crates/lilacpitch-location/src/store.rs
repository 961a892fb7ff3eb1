//! The location store: records in shards by hash of the number, each shard under its own lock and with a
//! summary of the numbers that have records in it.

use crate::error::LocationError;
use crate::query::{Page, Query, QueryTarget};
use crate::record::{Key, LocationRecord, Number};
use crate::summary::{fingerprint, shard_of, ShardChanges, ShardUpdate};
use crate::sync::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The records of one shard, in the order of their keys. Shared with snapshots; a write copies it while it is
/// shared.
pub type Records = Arc<BTreeMap<Key, LocationRecord>>;

/// Most shards of a store.
pub const MAX_SHARDS: usize = 1 << 16;

#[derive(Debug, Default)]
struct Shard {
    records: Records,
    changes: ShardChanges,
}

impl Shard {
    fn has_records(&self, number: &Number) -> bool {
        self.records_from(number.as_str()).next().is_some_and(|(key, _)| key.number == *number)
    }

    /// The records in key order, from the first number that has this prefix or sorts after it.
    fn records_from(&self, digits: &str) -> impl Iterator<Item = (&Key, &LocationRecord)> {
        self.records.range(Key::lowest_with_prefix(digits)..)
    }

    /// Builds a new base of the summary from the numbers that have records.
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
    /// An empty store with the given number of shards.
    ///
    /// # Errors
    /// [`LocationError::Shards`] if the number is 0 or above [`MAX_SHARDS`].
    pub fn new(shards: usize) -> Result<Self, LocationError> {
        if !(1..=MAX_SHARDS).contains(&shards) {
            return Err(LocationError::Shards(shards));
        }
        Ok(LocationStore { shards: (0..shards).map(|_| RwLock::default()).collect() })
    }

    /// The number of shards.
    pub fn shards(&self) -> usize {
        self.shards.len()
    }

    fn shard(&self, number: &Number) -> &RwLock<Shard> {
        &self.shards[shard_of(number.hash64(), self.shards.len())]
    }

    /// Inserts a record. Returns the record with the same key that it replaced.
    pub fn upsert(&self, record: LocationRecord) -> Option<LocationRecord> {
        let mut shard = self.shard(&record.key.number).write();
        // A number that has records is in the summary already, whose version then stays the same.
        if !shard.has_records(&record.key.number) {
            shard.changes.add(fingerprint(record.key.number.hash64()));
        }
        Arc::make_mut(&mut shard.records).insert(record.key.clone(), record)
    }

    /// The record with a key.
    pub fn get(&self, key: &Key) -> Option<LocationRecord> {
        self.shard(&key.number).read().records.get(key).cloned()
    }

    /// Removes and returns the record with a key.
    pub fn withdraw(&self, key: &Key) -> Option<LocationRecord> {
        Arc::make_mut(&mut self.shard(&key.number).write().records).remove(key)
    }

    /// Removes all records that a front wrote in incarnations before this one, one shard at a time. Returns
    /// their keys.
    pub fn remove_older_incarnations(&self, front: &str, before: u64) -> Vec<Key> {
        let mut removed = Vec::new();
        for shard in &self.shards {
            let is_older = |key: &Key| key.owner.front == front && key.owner.incarnation < before;
            let keys: Vec<Key> = shard.read().records.keys().filter(|key| is_older(key)).cloned().collect();
            if !keys.is_empty() {
                let mut shard = shard.write();
                let records = Arc::make_mut(&mut shard.records);
                removed.extend(keys.into_iter().filter(|key| records.remove(key).is_some()));
            }
        }
        removed
    }

    /// Up to `limit` records that match a query, in the order of keys, after the cursor `after`.
    pub fn find(&self, query: &Query, after: Option<&Key>, limit: usize) -> Page {
        match &query.target {
            QueryTarget::Number(number) => {
                let shard = self.shard(number).read();
                let matching =
                    shard.records_from(number.as_str()).take_while(|(key, _)| key.number == *number);
                page(matching, query, after, limit)
            }
            QueryTarget::Prefix(prefix) => self.find_prefix(prefix, query, after, limit),
        }
    }

    /// Merges the first matching records of each shard into one page, locking one shard at a time.
    fn find_prefix(&self, prefix: &str, query: &Query, after: Option<&Key>, limit: usize) -> Page {
        let mut merged = Page::default();
        for shard in &self.shards {
            let shard = shard.read();
            // Starting at the cursor, a search over many pages visits each record once.
            let start = after.map_or(prefix, |key| prefix.max(key.number.as_str()));
            let matching =
                shard.records_from(start).take_while(|(key, _)| key.number.as_str().starts_with(prefix));
            let shard_page = page(matching, query, after, limit);
            drop(shard);
            merged.cursor = merged.cursor.or(shard_page.cursor);
            merged.records.extend(shard_page.records);
        }
        merged.records.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let truncated = merged.records.len() > limit;
        merged.records.truncate(limit);
        let has_more = truncated || merged.cursor.is_some();
        merged.cursor = merged.records.last().map(|record| record.key.clone()).filter(|_| has_more);
        merged
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.read().records.len()).sum()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The records of all shards, taken one after the other without blocking writers: a write to a shard that
    /// is in a snapshot copies the shard first. For a snapshot that is consistent across shards the caller
    /// must prevent writes meanwhile.
    pub fn snapshot(&self) -> Vec<Records> {
        self.shards.iter().map(|shard| shard.read().records.clone()).collect()
    }

    /// Replaces all records by those of a snapshot.
    ///
    /// # Errors
    /// [`LocationError`] if a record is malformed; nothing is replaced then.
    pub fn restore(&self, records: impl IntoIterator<Item = LocationRecord>) -> Result<(), LocationError> {
        let mut records_of_shards: Vec<BTreeMap<Key, LocationRecord>> =
            vec![BTreeMap::new(); self.shards.len()];
        for record in records {
            record.check()?;
            let index = shard_of(record.key.number.hash64(), self.shards.len());
            records_of_shards[index].insert(record.key.clone(), record);
        }
        for (shard, records) in self.shards.iter().zip(records_of_shards) {
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

    /// The update of a shard's summary since a version; `None` if nothing has changed or there is no such
    /// shard.
    pub fn summary(&self, shard: usize, known: Option<u64>) -> Option<ShardUpdate> {
        let lock = self.shards.get(shard)?;
        {
            let state = lock.read();
            if !state.changes.base_is_due() {
                return state.changes.since(shard as u32, known);
            }
        }
        let mut state = lock.write();
        if state.changes.base_is_due() {
            state.rebase();
        }
        state.changes.since(shard as u32, known)
    }
}

/// The first `limit` of the records that match a query and come after a cursor.
fn page<'a>(
    records: impl Iterator<Item = (&'a Key, &'a LocationRecord)>,
    query: &Query,
    after: Option<&Key>,
    limit: usize,
) -> Page {
    let is_after_cursor = |key: &&Key| after.is_none_or(|after| *key > after);
    let mut matching = records
        .filter(|(key, record)| is_after_cursor(key) && query.matches(record))
        .map(|(_, record)| record);
    let records: Vec<LocationRecord> = matching.by_ref().take(limit).cloned().collect();
    let has_more = matching.next().is_some();
    let cursor = records.last().map(|record| record.key.clone()).filter(|_| has_more);
    Page { records, cursor }
}
