//! What a site says of a shard, and how a router keeps it.

use crate::error::LocationError;
use crate::golomb_coded_set;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Which shard a number's hash falls into.
pub fn shard_of(hash: u64, shards: usize) -> usize {
    (((hash >> 32) * shards as u64) >> 32) as usize
}

/// What summaries know of a number, beside its shard: the half of the hash that the shard does not rest on.
pub fn fingerprint(hash: u64) -> u32 {
    hash as u32
}

/// A shard's summary as it crosses links: a base, and what was added since, numbered.
#[derive(Debug, Clone, Default)]
pub struct ShardChanges {
    /// The newest version: it grows by one with each number added.
    pub version: u64,
    base_version: u64,
    base: Vec<u8>,
    base_count: usize,
    added: Vec<u32>,
}

/// More than this beside the base, as a share of it and at least, and a new base is smaller to send.
const ADDED_SHARE: usize = 16;
const ADDED_LEAST: usize = 32;

impl ShardChanges {
    /// A number has a row now. What is withdrawn stays in until the next base: it errs towards asking.
    pub fn add(&mut self, fingerprint: u32) {
        self.version += 1;
        self.added.push(fingerprint);
    }

    /// Whether a new base is due.
    pub fn base_is_due(&self) -> bool {
        self.added.len() > ADDED_LEAST.max(self.base_count / ADDED_SHARE)
    }

    /// Takes a new base: the fingerprints of all numbers that have rows, each once.
    pub fn rebase(&mut self, fingerprints: &[u32]) {
        // More than a set can hold: an empty base with everything added would do, but a shard is never so large.
        self.version += 1;
        self.base_version = self.version;
        self.base = golomb_coded_set::encode(fingerprints);
        self.base_count = fingerprints.len();
        self.added.clear();
    }

    /// What a router lacks that has this version; `None` is a router that has nothing of this life.
    pub fn since(&self, shard: u32, known: Option<u64>) -> Option<ShardUpdate> {
        let version = self.version;
        match known {
            // Who knows as much, or more from elsewhere, has nothing to hear: never back to what was before.
            Some(known) if known >= version => None,
            Some(known) if known >= self.base_version => {
                let lacks = (version - known) as usize;
                let added = self.added[self.added.len() - lacks..].to_vec();
                Some(ShardUpdate { shard, version, base: None, added })
            }
            _ => {
                let base = Some((self.base_count as u32, self.base.clone()));
                Some(ShardUpdate { shard, version, base, added: self.added.clone() })
            }
        }
    }
}

/// News of a shard's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUpdate {
    /// The shard.
    pub shard: u32,
    /// The version that a router has once it has taken this.
    pub version: u64,
    /// A new base: how many values, and they.
    pub base: Option<(u32, Vec<u8>)>,
    /// Fingerprints added since that base, or since the version that the router named.
    pub added: Vec<u32>,
}

/// The router's side: a shard's summary as last heard, to be judged by and to be passed on.
#[derive(Debug, Clone, Default)]
pub struct ShardSummary {
    heard: ShardChanges,
    /// The base, decoded.
    base: Vec<u32>,
    late: BTreeSet<u32>,
}

impl ShardSummary {
    /// The version it is of.
    pub fn version(&self) -> u64 {
        self.heard.version
    }

    /// What another router lacks, as [`Changes::since`].
    pub fn since(&self, shard: u32, known: Option<u64>) -> Option<ShardUpdate> {
        self.heard.since(shard, known)
    }

    /// Takes news that was asked for with a version that this one had. What is known by now from elsewhere is passed
    /// over, so that a summary never goes back; and so are changes that do not follow on what is known, where another
    /// life was heard between question and answer: the versions then tell that something is missing.
    pub fn apply_update(&mut self, news: &ShardUpdate) -> Result<(), LocationError> {
        let wrong = |what| LocationError::Summary { shard: news.shard, what };
        let first = news.version.checked_sub(news.added.len() as u64);
        let first = first.ok_or(wrong("more changes than versions"))?;
        if news.version <= self.version() {
            return Ok(());
        }
        let mut added = &news.added[..];
        if let Some((count, bytes)) = &news.base {
            let base = golomb_coded_set::decode(bytes, *count as usize);
            self.base = base.ok_or(wrong("its bits are not the values it names"))?;
            self.heard.base_version = first;
            self.heard.base = bytes.clone();
            self.heard.base_count = *count as usize;
            self.heard.added.clear();
            self.late.clear();
        } else if first > self.version() {
            return Ok(());
        } else {
            added = &added[(self.version() - first) as usize..];
        }
        self.heard.added.extend(added);
        self.heard.version = news.version;
        self.late.extend(added);
        Ok(())
    }

    /// Whether a number of this fingerprint could have a row. Never false for one that had one at its moment.
    pub fn may_contain(&self, fingerprint: u32) -> bool {
        let value = golomb_coded_set::scale(fingerprint, self.base.len());
        self.late.contains(&fingerprint) || self.base.binary_search(&value).is_ok()
    }

    /// What it takes on a link, in bytes: the base and each change.
    pub fn bytes(&self) -> usize {
        self.heard.base.len() + 4 * self.heard.added.len()
    }
}
