//! The summary of a shard: a set that contains every number with records there, and possibly others. The site
//! that stores the records counts changes in versions ([`ShardChanges`]); other processes follow it by
//! applying updates ([`ShardSummary`]).

use crate::error::LocationError;
use crate::golomb_coded_set;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Index of the shard that a number's hash falls into.
pub fn shard_of(hash: u64, shards: usize) -> usize {
    (((hash >> 32) * shards as u64) >> 32) as usize
}

/// The fingerprint of a number in a summary: the half of its hash that doesn't determine its shard.
pub fn fingerprint(hash: u64) -> u32 {
    hash as u32
}

/// The summary of a shard where its records are stored: a base, and the fingerprints added since, one per
/// version.
#[derive(Debug, Clone, Default)]
pub struct ShardChanges {
    /// The newest version: it grows by one with each number added.
    pub version: u64,
    base_version: u64,
    base: Vec<u8>,
    base_count: usize,
    added: Vec<u32>,
}

/// A new base is due once the fingerprints added exceed the base's count divided by this: beyond that, a new
/// base is smaller to send.
const ADDED_PER_BASE: usize = 16;
/// Fingerprints that are added before a new base is due, however small the base is.
const MIN_ADDED_FOR_BASE: usize = 32;

impl ShardChanges {
    /// Adds a number that now has a record. Numbers whose records are removed stay in the summary until the
    /// next base.
    pub fn add(&mut self, fingerprint: u32) {
        self.version += 1;
        self.added.push(fingerprint);
    }

    /// Whether a new base is due.
    pub fn base_is_due(&self) -> bool {
        self.added.len() > MIN_ADDED_FOR_BASE.max(self.base_count / ADDED_PER_BASE)
    }

    /// Replaces the base by the fingerprints of all numbers that have records, each once.
    pub fn rebase(&mut self, fingerprints: &[u32]) {
        // A shard never has more numbers than one set can hold (`golomb_coded_set::MAX_VALUES`).
        self.version += 1;
        self.base_version = self.version;
        self.base = golomb_coded_set::encode(fingerprints);
        self.base_count = fingerprints.len();
        self.added.clear();
    }

    /// The update for a process that has the version `known`, or none of this incarnation. `None` if it needs
    /// none.
    pub fn since(&self, shard: u32, known: Option<u64>) -> Option<ShardUpdate> {
        let version = self.version;
        match known {
            // A process with this version, or a newer one from another source, needs no update: versions
            // never decrease.
            Some(known) if known >= version => None,
            Some(known) if known >= self.base_version => {
                let missing = (version - known) as usize;
                let added = self.added[self.added.len() - missing..].to_vec();
                Some(ShardUpdate { shard, version, base: None, added })
            }
            _ => {
                let base = Some((self.base_count as u32, self.base.clone()));
                Some(ShardUpdate { shard, version, base, added: self.added.clone() })
            }
        }
    }
}

/// An update of a shard's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUpdate {
    /// Index of the shard.
    pub shard: u32,
    /// The version of the summary once this is applied.
    pub version: u64,
    /// A new base: the number of its values and the encoded set.
    pub base: Option<(u32, Vec<u8>)>,
    /// Fingerprints added since that base, or since the version given in the request.
    pub added: Vec<u32>,
}

/// The summary of a shard built from updates, to be queried and to be passed on to other processes.
#[derive(Debug, Clone, Default)]
pub struct ShardSummary {
    changes: ShardChanges,
    /// The base, decoded.
    base: Vec<u32>,
    added: BTreeSet<u32>,
}

impl ShardSummary {
    /// The version of the summary.
    pub fn version(&self) -> u64 {
        self.changes.version
    }

    /// The update for another process; see [`ShardChanges::since`].
    pub fn since(&self, shard: u32, known: Option<u64>) -> Option<ShardUpdate> {
        self.changes.since(shard, known)
    }

    /// Applies an update that was requested with a version of this summary.
    ///
    /// Changes that have arrived from another source meanwhile are skipped, so that the version never
    /// decreases. So are changes with a gap before them, which arise when an update of another incarnation
    /// was applied between request and response; the version then stays behind, and the missing changes are
    /// requested again.
    ///
    /// # Errors
    /// [`LocationError::Summary`] if the update contradicts itself.
    pub fn apply_update(&mut self, update: &ShardUpdate) -> Result<(), LocationError> {
        let error = |what| LocationError::Summary { shard: update.shard, what };
        let first = update.version.checked_sub(update.added.len() as u64);
        let first = first.ok_or(error("more changes than versions"))?;
        if update.version <= self.version() {
            return Ok(());
        }
        let mut added = &update.added[..];
        if let Some((count, bytes)) = &update.base {
            let base = golomb_coded_set::decode(bytes, *count as usize);
            self.base = base.ok_or(error("its bits do not encode the stated number of values"))?;
            self.changes.base_version = first;
            self.changes.base = bytes.clone();
            self.changes.base_count = *count as usize;
            self.changes.added.clear();
            self.added.clear();
        } else if first > self.version() {
            return Ok(());
        } else {
            added = &added[(self.version() - first) as usize..];
        }
        self.changes.added.extend(added);
        self.changes.version = update.version;
        self.added.extend(added);
        Ok(())
    }

    /// Whether a number with this fingerprint may have a record. True for every number that has one as of
    /// this version.
    pub fn may_contain(&self, fingerprint: u32) -> bool {
        let value = golomb_coded_set::scale(fingerprint, self.base.len());
        self.added.contains(&fingerprint) || self.base.binary_search(&value).is_ok()
    }

    /// Approximate encoded size in bytes: the base and the fingerprints added.
    pub fn bytes(&self) -> usize {
        self.changes.base.len() + 4 * self.changes.added.len()
    }
}
