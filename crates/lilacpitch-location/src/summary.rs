//! The summary of a shard: which numbers may have records there. The site's side counts changes in versions, the other
//! side applies updates. A summary may contain a number without records, and never lacks one with records.

use crate::error::LocationError;
use crate::golomb_coded_set;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Which shard a number's hash falls into.
pub fn shard_of(hash: u64, shards: usize) -> usize {
    (((hash >> 32) * shards as u64) >> 32) as usize
}

/// The fingerprint of a number in a summary: the half of the hash that its shard does not depend on.
pub fn fingerprint(hash: u64) -> u32 {
    hash as u32
}

/// A shard's summary on the site's side: a base, and the fingerprints added since, by version.
#[derive(Debug, Clone, Default)]
pub struct ShardChanges {
    /// The newest version: it grows by one with each number added.
    pub version: u64,
    base_version: u64,
    base: Vec<u8>,
    base_count: usize,
    added: Vec<u32>,
}

/// With more fingerprints beside the base than one in so many of it, a new base is smaller to send.
const ADDED_PER_BASE: usize = 16;
/// So many fingerprints are added before a new base at least.
const MIN_ADDED_FOR_BASE: usize = 32;

impl ShardChanges {
    /// Adds a number that has a record now. A number that is withdrawn stays in until the next base.
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
        // More than a set can hold: an empty base with everything added would do, but a shard is never so large.
        self.version += 1;
        self.base_version = self.version;
        self.base = golomb_coded_set::encode(fingerprints);
        self.base_count = fingerprints.len();
        self.added.clear();
    }

    /// The update for a process that knows a version; `known: None`: it knows none of this incarnation.
    pub fn since(&self, shard: u32, known: Option<u64>) -> Option<ShardUpdate> {
        let version = self.version;
        match known {
            // Who knows as much, or more from elsewhere, needs no update: a summary never goes back.
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
    /// The shard.
    pub shard: u32,
    /// The version of the summary once this is applied.
    pub version: u64,
    /// A new base: how many values, and they.
    pub base: Option<(u32, Vec<u8>)>,
    /// Fingerprints added since that base, or since the version that was named in the request.
    pub added: Vec<u32>,
}

/// The receiving side: a shard's summary by the updates received, to be queried and to be passed on.
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

    /// The update for another process, as [`ShardChanges::since`].
    pub fn since(&self, shard: u32, known: Option<u64>) -> Option<ShardUpdate> {
        self.changes.since(shard, known)
    }

    /// Applies an update that was requested with a version of this summary. What is known by now from elsewhere is passed
    /// over, so that a summary never goes back; and so are changes that do not follow on what is known, where an update
    /// of another incarnation came between request and response: the versions then tell that something is missing.
    ///
    /// # Errors
    /// [`LocationError::Summary`], where the update contradicts itself.
    pub fn apply_update(&mut self, update: &ShardUpdate) -> Result<(), LocationError> {
        let wrong = |what| LocationError::Summary { shard: update.shard, what };
        let first = update.version.checked_sub(update.added.len() as u64);
        let first = first.ok_or(wrong("more changes than versions"))?;
        if update.version <= self.version() {
            return Ok(());
        }
        let mut added = &update.added[..];
        if let Some((count, bytes)) = &update.base {
            let base = golomb_coded_set::decode(bytes, *count as usize);
            self.base = base.ok_or(wrong("its bits are not the values it names"))?;
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

    /// Whether a number with this fingerprint may have a record. Never false for one that has one, by this version.
    pub fn may_contain(&self, fingerprint: u32) -> bool {
        let value = golomb_coded_set::scale(fingerprint, self.base.len());
        self.added.contains(&fingerprint) || self.base.binary_search(&value).is_ok()
    }

    /// About its size in messages, in bytes: the base and the fingerprints added.
    pub fn bytes(&self) -> usize {
        self.changes.base.len() + 4 * self.changes.added.len()
    }
}
