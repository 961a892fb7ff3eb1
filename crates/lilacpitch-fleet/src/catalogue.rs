//! The summaries of the location records of all sites, as one process holds them. They tell which sites may
//! have a matching record and which can be ruled out without a request. False positives are allowed, false
//! negatives are not. A process obtains summaries by polling its parent and its children; each shard of a
//! summary has its own version.

use crate::lease::LeaseTerms;
use crate::message::{KnownSummary, LogPosition, PendingPurges, SiteSummaryUpdate};
use crate::{Nanos, Safeguards};
use lilacpitch_location::summary::{fingerprint, shard_of};
use lilacpitch_location::{LocationError, Query, QueryTarget, ShardSummary, ShardUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// Once a response holds this many bytes of shard updates, the others are left to the next request.
pub const MAX_UPDATE_BYTES: usize = 1 << 20;
/// Most shards that a summary may have.
const MAX_SHARDS: u32 = 1 << 16;
/// Most bytes of one fingerprint in a message: `postcard` encodes a `u32` as a varint.
const MAX_FINGERPRINT_BYTES: usize = 5;
/// The bytes of a shard update without its base and fingerprints, rounded up.
const UPDATE_HEADER_BYTES: usize = 16;

/// Whether a site may have records that match a query, according to its summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteVerdict {
    /// The site has no matching record, by this version of its summary.
    RuledOut {
        /// The incarnation of the process that numbered the versions.
        incarnation: u64,
        /// The sum of the versions of all shards.
        total: u64,
        /// The time as of which the summary is valid, by this process's steady clock.
        as_of_ns: Nanos,
    },
    /// The site may have a matching record and must be queried.
    MayContain,
    /// The summary is missing, too old, or does not cover the query: the site must be queried.
    Unknown,
}

/// The summary of one site.
#[derive(Debug, Default)]
struct Summary {
    /// The incarnation of the process that numbered the versions.
    incarnation: u64,
    shards: Vec<ShardSummary>,
    /// The sum of the versions of all shards.
    total: u64,
    /// The time as of which the summary is valid, by this process's steady clock. A summary may be passed on
    /// by several processes; this is no later than the request of the one that polled the site itself.
    /// `None`: the summary is not complete yet.
    as_of_ns: Option<Nanos>,
    /// Hashes of the numbers whose purge is not in the command log yet.
    pending: BTreeSet<u64>,
    /// Whether there are more pending numbers than could be listed; `pending` is empty then.
    many_pending: bool,
    /// The position of the last purge command for this site's changes.
    purge_position: LogPosition,
    /// Whether the site's total is greater than the total of the versions held here.
    is_incomplete: bool,
}

/// The summaries of all sites.
#[derive(Debug)]
pub struct Catalogue {
    /// The maximum age of a summary that may rule a site out, in nanoseconds.
    settle_ns: Nanos,
    terms: LeaseTerms,
    safeguards: Safeguards,
    sites: BTreeMap<String, Summary>,
}

impl Catalogue {
    /// Creates a catalogue of these sites, without summaries. A summary that is older than `settle_ns` rules
    /// no site out.
    pub fn new<'a>(
        sites: impl IntoIterator<Item = &'a str>,
        settle_ns: Nanos,
        terms: LeaseTerms,
        safeguards: Safeguards,
    ) -> Self {
        let sites = sites.into_iter().map(|name| (name.to_string(), Summary::default())).collect();
        Catalogue { settle_ns, terms, safeguards, sites }
    }

    /// The time as of which a summary is valid; `None` if the summary is incomplete or too old.
    fn fresh_as_of(&self, summary: &Summary, now: Nanos) -> Option<Nanos> {
        let is_fresh = |as_of_ns: &Nanos| {
            now.saturating_sub(*as_of_ns) <= self.settle_ns || !self.safeguards.summary_age
        };
        summary.as_of_ns.filter(is_fresh)
    }

    /// Whether each site may have matching records, according to its summary.
    pub fn candidates<'a>(
        &'a self,
        now: Nanos,
        query: &'a Query,
    ) -> impl Iterator<Item = (&'a str, SiteVerdict)> {
        let hash = match &query.target {
            QueryTarget::Number(number) => Some(number.hash64()),
            // A summary covers whole numbers only.
            QueryTarget::Prefix(_) => None,
        };
        self.sites.iter().map(move |(site, summary)| {
            let verdict = match (self.fresh_as_of(summary, now), hash) {
                (Some(as_of_ns), Some(hash)) => {
                    let shard = &summary.shards[shard_of(hash, summary.shards.len())];
                    let ruled_out = SiteVerdict::RuledOut {
                        incarnation: summary.incarnation,
                        total: summary.total,
                        as_of_ns,
                    };
                    if shard.may_contain(fingerprint(hash)) {
                        SiteVerdict::MayContain
                    } else {
                        ruled_out
                    }
                }
                _ => SiteVerdict::Unknown,
            };
            (site.as_str(), verdict)
        })
    }

    /// Whether the cached answer of a lease holder about a number is still the one that the sites would give.
    /// This is so if all summaries are fresh and all changes of the number are purged by commands up to
    /// `applied`.
    pub fn confirms_cached(&self, now: Nanos, hash: u64, applied: LogPosition) -> bool {
        self.sites.values().all(|summary| {
            let is_purged = summary.purge_position.index == 0 || applied.includes(summary.purge_position);
            let is_pending = summary.many_pending || summary.pending.contains(&hash);
            self.fresh_as_of(summary, now).is_some() && is_purged && !is_pending
        })
    }

    /// Sites whose summaries are missing or too old.
    pub fn stale_sites(&self, now: Nanos) -> Vec<String> {
        let stale = self.sites.iter().filter(|(_, summary)| self.fresh_as_of(summary, now).is_none());
        stale.map(|(site, _)| site.clone()).collect()
    }

    /// The versions held here, to be sent with a request for updates.
    pub fn known_summaries(&self) -> Vec<KnownSummary> {
        let known_summary = |(site, summary): (&String, &Summary)| KnownSummary {
            site: site.clone(),
            incarnation: summary.incarnation,
            shards: match summary.is_incomplete {
                true => summary.shards.iter().map(ShardSummary::version).collect(),
                false => Vec::new(),
            },
            total: summary.total,
        };
        self.sites.iter().map(known_summary).collect()
    }

    /// Applies the response to a request for updates that was sent at `requested_ns` by this process's steady
    /// clock. An update that can't be decoded discards the summary of its site until the next update, and
    /// nothing else.
    pub fn apply_updates(&mut self, requested_ns: Nanos, updates: Vec<SiteSummaryUpdate>) -> AppliedUpdates {
        let mut applied = AppliedUpdates::default();
        for update in updates {
            let Some(summary) = self.sites.get_mut(&update.site) else { continue };
            // Each process of a site numbers versions on its own: keep to the same process while it responds.
            let is_recent = |as_of_ns: Nanos| requested_ns.saturating_sub(as_of_ns) <= self.settle_ns / 2;
            if summary.incarnation != update.incarnation && summary.as_of_ns.is_some_and(is_recent) {
                continue;
            }
            // The age was measured by a clock that may be slower than this one.
            let as_of_ns = requested_ns.saturating_sub(self.terms.worst_case_ns(update.age_ns));
            match summary.apply_update(as_of_ns, update) {
                Ok(has_more) => applied.has_more |= has_more,
                Err(error) => {
                    *summary = Summary::default();
                    applied.errors.push(error);
                }
            }
        }
        applied
    }

    /// The updates that a process with these versions lacks, except those of sites for which `skip` is true.
    pub fn updates_since(
        &self,
        now: Nanos,
        known: &[KnownSummary],
        skip: impl Fn(&str) -> bool,
    ) -> Vec<SiteSummaryUpdate> {
        let mut capacity_bytes = MAX_UPDATE_BYTES;
        let mut updates = Vec::new();
        for known in known.iter().filter(|known| !skip(&known.site)) {
            let Some(summary) = self.sites.get(&known.site) else { continue };
            let Some(as_of_ns) = summary.as_of_ns else { continue };
            let shard_since =
                |index: usize, version| summary.shards[index].since(index as u32, Some(version));
            let shards = shard_updates_since(
                known,
                summary.incarnation,
                summary.total,
                summary.shards.len(),
                &mut capacity_bytes,
                shard_since,
            );
            updates.push(SiteSummaryUpdate {
                site: known.site.clone(),
                incarnation: summary.incarnation,
                shards: summary.shards.len() as u32,
                total: shards.total,
                age_ns: now.saturating_sub(as_of_ns),
                pending: summary.pending_purges(),
                purge_position: summary.purge_position,
                shard_updates: shards.updates,
                has_more: shards.has_more,
            });
        }
        updates
    }
}

/// The result of [`Catalogue::apply_updates`].
#[derive(Debug, Default)]
pub struct AppliedUpdates {
    /// Whether a summary is not up to date yet, so that updates must be requested again at once.
    pub has_more: bool,
    /// The error of each rejected update.
    pub errors: Vec<LocationError>,
}

/// The updates of one site's shards that a process lacks.
#[derive(Debug, Default)]
pub struct ShardUpdates {
    /// The updates, in the order of shards.
    pub updates: Vec<ShardUpdate>,
    /// The sum of the versions of all shards once these updates are applied.
    pub total: u64,
    /// Whether there are more updates, to be requested next.
    pub has_more: bool,
}

/// Returns the updates of a site's shards since the versions in `known`. The size of the updates is
/// subtracted from `capacity_bytes`; once it is 0, further updates are left to the next request.
/// `shard_since` returns the update of the shard at an index since a version.
pub fn shard_updates_since(
    known: &KnownSummary,
    incarnation: u64,
    total: u64,
    shards: usize,
    capacity_bytes: &mut usize,
    mut shard_since: impl FnMut(usize, u64) -> Option<ShardUpdate>,
) -> ShardUpdates {
    if known.incarnation == incarnation && known.total == total {
        return ShardUpdates { total, ..ShardUpdates::default() };
    }
    if known.incarnation != incarnation || known.shards.len() != shards {
        return ShardUpdates { total, has_more: true, ..ShardUpdates::default() };
    }
    let (mut updates, mut new_total) = (Vec::new(), 0);
    for (index, version) in known.shards.iter().enumerate() {
        if *capacity_bytes == 0 {
            return ShardUpdates { updates, total, has_more: true };
        }
        let update = shard_since(index, *version);
        new_total += update.as_ref().map_or(*version, |update| update.version);
        if let Some(update) = update {
            *capacity_bytes = capacity_bytes.saturating_sub(size_on_wire(&update));
            updates.push(update);
        }
    }
    ShardUpdates { updates, total: new_total, has_more: false }
}

/// The approximate size of an update in a message, in bytes.
fn size_on_wire(update: &ShardUpdate) -> usize {
    let base_bytes = update.base.as_ref().map_or(0, |(_, bytes)| bytes.len());
    base_bytes + MAX_FINGERPRINT_BYTES * update.added.len() + UPDATE_HEADER_BYTES
}

impl Summary {
    fn pending_purges(&self) -> PendingPurges {
        match self.many_pending {
            true => PendingPurges::Many,
            false => PendingPurges::Some(self.pending.iter().copied().collect()),
        }
    }

    /// Applies an update. Returns whether the summary is still incomplete.
    fn apply_update(&mut self, as_of_ns: Nanos, update: SiteSummaryUpdate) -> Result<bool, LocationError> {
        if update.shards == 0 || update.shards > MAX_SHARDS {
            return Err(LocationError::Shards(update.shards as usize));
        }
        if self.incarnation != update.incarnation || self.shards.len() != update.shards as usize {
            let shards = vec![ShardSummary::default(); update.shards as usize];
            *self = Summary { incarnation: update.incarnation, shards, ..Summary::default() };
        }
        for shard_update in &update.shard_updates {
            let what = "a shard that the site does not have";
            let shard = self.shards.get_mut(shard_update.shard as usize);
            shard
                .ok_or(LocationError::Summary { shard: shard_update.shard, what })?
                .apply_update(shard_update)?;
        }
        self.total = self.shards.iter().map(ShardSummary::version).sum();
        // A sender with a lower total lags behind this process and has no further updates for it.
        self.is_incomplete = self.total < update.total;
        // Responses may arrive out of order: an older one does not replace newer values.
        let is_newer = self.as_of_ns.is_none_or(|known_ns| known_ns <= as_of_ns);
        if self.total == update.total && is_newer {
            self.as_of_ns = Some(as_of_ns);
            self.purge_position = update.purge_position;
            (self.pending, self.many_pending) = match update.pending {
                PendingPurges::Some(hashes) => (hashes.into_iter().collect(), false),
                PendingPurges::Many => (BTreeSet::new(), true),
            };
        }
        Ok(self.is_incomplete)
    }
}
