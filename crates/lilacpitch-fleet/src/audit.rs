//! The audit: which front acted on which version of settings and build, and when. Each front records its own
//! changes and reports them to the root, whose replicated log retains them. Both are bounded in size.

use crate::error::AuditError;
use crate::message::LogPosition;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most changes that may await acknowledgement; beyond that the oldest ones are merged.
const MAX_PENDING_CHANGES: usize = 1_024;
/// Most changes in one record.
pub const MAX_CHANGES: usize = 256;
/// Most intervals that are retained for one incarnation of a front.
const MAX_INTERVALS: usize = 4_096;
/// Most incarnations that are retained, counted over all fronts.
const MAX_INCARNATIONS: usize = 2_048;
/// With more versions than this, those are dropped to which no interval refers.
const MAX_VERSIONS: usize = 8_192;
/// Changes of the purge position alone are merged if they are less than this apart, in milliseconds.
const MERGE_WITHIN_MS: u64 = 100;

/// The version of settings and build that a front acts on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The digest of the settings.
    pub settings: u64,
    /// The digest of the endpoint list.
    pub endpoint_list: u64,
    /// The name of the build.
    pub build: String,
    /// Whether the front uses cached answers.
    pub uses_cache: bool,
    /// Whether the front accepts new calls.
    pub accepts_calls: bool,
}

/// A change of the version or the purge position that a front acts on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The number of the change in its incarnation, from 1. There are gaps only where changes were merged or
    /// dropped.
    pub serial: u64,
    /// When the change took effect, by the front's wall clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// The version from then on.
    pub version: Version,
    /// The purge position at that time.
    pub position: LogPosition,
    /// The index of the purge position at the next change or, while there is none, at present.
    pub moved_to: u64,
}

/// A front's report of its own changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The name of the front.
    pub front: String,
    /// The incarnation of the front: when it started, in nanoseconds since 1970.
    pub incarnation: u64,
    /// When the front made this record, in milliseconds since 1970: it was running until then at least.
    pub seen_ms: u64,
    /// The changes, in the order in which they took effect.
    pub changes: Vec<Change>,
}

/// The size of a front's backlog of changes that are not acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuditBacklog {
    /// The number of pending changes.
    pub pending: usize,
    /// The number of changes that were merged or dropped so far because too many were pending.
    pub merged: u64,
}

/// Records the changes of one front.
#[derive(Debug)]
pub struct AuditRecorder {
    front: String,
    incarnation: u64,
    serial: u64,
    pending: VecDeque<Change>,
    /// The last change, which is kept after its acknowledgement.
    last: Option<Change>,
    /// The number of changes that were merged or dropped because too many were pending.
    merged: u64,
}

impl AuditRecorder {
    /// Creates a recorder for one incarnation of a front.
    pub fn new(front: &str, incarnation: u64) -> Self {
        AuditRecorder {
            front: front.into(),
            incarnation,
            serial: 0,
            pending: VecDeque::new(),
            last: None,
            merged: 0,
        }
    }

    /// Records the version and purge position that the front acts on now, if either has changed.
    pub fn record_version(&mut self, at_ms: u64, version: Version, position: LogPosition) {
        if let Some(last) = &mut self.last {
            if last.version == version && last.position.log == position.log {
                if last.moved_to == position.index {
                    return;
                }
                let is_close = at_ms.saturating_sub(last.at_ms) < MERGE_WITHIN_MS;
                if let Some(pending) =
                    self.pending.back_mut().filter(|pending| is_close && pending.serial == last.serial)
                {
                    pending.moved_to = position.index;
                    last.moved_to = position.index;
                    return;
                }
            }
        }
        self.serial += 1;
        let change = Change { serial: self.serial, at_ms, version, position, moved_to: position.index };
        self.last = Some(change.clone());
        self.pending.push_back(change);
        if self.pending.len() > MAX_PENDING_CHANGES {
            self.merge_oldest();
        }
    }

    /// Merges the oldest two consecutive changes that have the same version and log. If there are none, drops
    /// the oldest change.
    fn merge_oldest(&mut self) {
        self.merged += 1;
        let is_mergeable = |index: usize| {
            let (earlier, later) = (&self.pending[index], &self.pending[index + 1]);
            earlier.version == later.version && earlier.position.log == later.position.log
        };
        if let Some(index) = (0..self.pending.len() - 2).find(|index| is_mergeable(*index)) {
            if let Some(later) = self.pending.remove(index + 1) {
                self.pending[index].moved_to = later.moved_to;
            }
        } else {
            self.pending.pop_front();
        }
    }

    /// The record to be reported next. The position of the last change may still advance; the change is then
    /// reported again.
    pub fn pending_record(&self, now_ms: u64) -> AuditRecord {
        let changes = self.pending.iter().take(MAX_CHANGES).cloned().collect();
        AuditRecord { front: self.front.clone(), incarnation: self.incarnation, seen_ms: now_ms, changes }
    }

    /// Handles the acknowledgement of a record: its changes are no longer pending.
    pub fn acknowledge(&mut self, record: &AuditRecord) {
        for reported in &record.changes {
            // A change whose position has advanced since it was reported stays pending.
            if self.pending.front().is_some_and(|first| first == reported) {
                self.pending.pop_front();
            }
        }
    }

    /// The size of the backlog.
    pub fn backlog(&self) -> AuditBacklog {
        AuditBacklog { pending: self.pending.len(), merged: self.merged }
    }

    /// The last change, whether acknowledged or not.
    pub fn latest(&self) -> Option<&Change> {
        self.last.as_ref()
    }
}

/// An interval in which a front acted on one version. The order of fields is that of the encoding on disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInterval {
    /// The number of the change that began the interval.
    serial: u64,
    /// When the interval began, by the front's wall clock, in milliseconds since 1970.
    pub from_ms: u64,
    /// The index of the version in [`AuditLog::versions`].
    version: u32,
    /// The purge position at the beginning of the interval.
    pub position: LogPosition,
    /// The index of the purge position at the end of the interval.
    pub moved_to: u64,
}

/// The intervals of one incarnation of a front. The order of fields is that of the encoding on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct IncarnationHistory {
    intervals: VecDeque<VersionInterval>,
    /// Until when the front was certainly running, in milliseconds since 1970.
    seen_ms: u64,
}

/// The version that a front acted on at some time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveVersion<'a> {
    /// The name of the front.
    pub front: &'a str,
    /// The incarnation of the front: when it started, in nanoseconds since 1970.
    pub incarnation: u64,
    /// The version.
    pub version: &'a Version,
    /// The interval in which the front acted on the version.
    pub interval: &'a VersionInterval,
    /// Until when the front was certainly running, in milliseconds since 1970.
    pub seen_ms: u64,
}

/// The audit log: the intervals of all incarnations of all fronts. The order of fields is that of the
/// encoding on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    /// By the name and incarnation of the front.
    histories: BTreeMap<(String, u64), IncarnationHistory>,
    /// Each version once, in the order of first use.
    versions: Vec<Version>,
}

impl AuditLog {
    /// Appends the changes in a front's record, except those that are known already.
    ///
    /// # Errors
    /// [`AuditError`] if there are too many changes, or if they are out of order; nothing is appended then.
    pub fn append(&mut self, record: AuditRecord) -> Result<(), AuditError> {
        if record.changes.len() > MAX_CHANGES {
            return Err(AuditError::TooManyChanges(record.changes.len()));
        }
        if let Some(pair) = record.changes.windows(2).find(|pair| pair[0].serial >= pair[1].serial) {
            return Err(AuditError::OutOfOrder { found: pair[1].serial, known: pair[0].serial });
        }
        let key = (record.front, record.incarnation);
        if !self.histories.contains_key(&key) && self.histories.len() >= MAX_INCARNATIONS {
            let oldest =
                self.histories.iter().min_by_key(|(_, history)| history.seen_ms).map(|(key, _)| key.clone());
            oldest.and_then(|oldest| self.histories.remove(&oldest));
        }
        let history = self.histories.entry(key).or_default();
        history.seen_ms = history.seen_ms.max(record.seen_ms);
        for change in record.changes {
            let known_index = self.versions.iter().rposition(|version| *version == change.version);
            let version = known_index.unwrap_or(self.versions.len()) as u32;
            if known_index.is_none() {
                self.versions.push(change.version);
            }
            let Change { serial, at_ms: from_ms, position, moved_to, .. } = change;
            let interval = VersionInterval { serial, from_ms, version, position, moved_to };
            match history.intervals.back_mut() {
                Some(last) if last.serial == serial => *last = interval,
                Some(last) if last.serial > serial => {}
                _ => history.intervals.push_back(interval),
            }
            if history.intervals.len() > MAX_INTERVALS {
                history.intervals.pop_front();
            }
        }
        if self.versions.len() > MAX_VERSIONS {
            self.forget_versions();
        }
        Ok(())
    }

    /// Drops the versions to which no interval refers any more.
    fn forget_versions(&mut self) {
        let intervals = self.histories.values().flat_map(|history| &history.intervals);
        let mut new_indexes: BTreeMap<u32, u32> = intervals.map(|interval| (interval.version, 0)).collect();
        let mut retained = Vec::with_capacity(new_indexes.len());
        for (old_index, new_index) in &mut new_indexes {
            *new_index = retained.len() as u32;
            retained.push(self.versions[*old_index as usize].clone());
        }
        for interval in self.histories.values_mut().flat_map(|history| &mut history.intervals) {
            interval.version = new_indexes[&interval.version];
        }
        self.versions = retained;
    }

    fn active_version<'a>(
        &'a self,
        (front, incarnation): &'a (String, u64),
        interval: &'a VersionInterval,
        seen_ms: u64,
    ) -> ActiveVersion<'a> {
        ActiveVersion {
            front,
            incarnation: *incarnation,
            version: &self.versions[interval.version as usize],
            interval,
            seen_ms,
        }
    }

    /// The version that each incarnation acted on at a time, in milliseconds since 1970. An incarnation that
    /// is not known to have been running at that time is left out.
    pub fn active_at(&self, time_ms: u64) -> impl Iterator<Item = ActiveVersion<'_>> {
        self.histories.iter().filter_map(move |(key, history)| {
            let next_index = history.intervals.partition_point(|interval| interval.from_ms <= time_ms);
            let interval = next_index.checked_sub(1).and_then(|index| history.intervals.get(index))?;
            let was_running = next_index < history.intervals.len() || history.seen_ms >= time_ms;
            was_running.then(|| self.active_version(key, interval, history.seen_ms))
        })
    }

    /// The last known version of each incarnation.
    pub fn latest(&self) -> impl Iterator<Item = ActiveVersion<'_>> {
        self.histories.iter().filter_map(|(key, history)| {
            Some(self.active_version(key, history.intervals.back()?, history.seen_ms))
        })
    }
}
