//! The audit: which front acted on which version of settings and build, and when. Each front records its own changes; the
//! root's log retains them. Both are bounded.

use crate::error::AuditError;
use crate::message::LogPosition;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most changes that wait to be acknowledged; beyond that the oldest are merged.
const MAX_PENDING_CHANGES: usize = 1_024;
/// Most changes in one record.
pub const MAX_CHANGES: usize = 256;
/// Most intervals that are retained of one incarnation of a front.
const MAX_INTERVALS: usize = 4_096;
/// Most incarnations of all fronts that are retained.
const MAX_INCARNATIONS: usize = 2_048;
/// With more versions than this, those are dropped that no interval refers to.
const MAX_VERSIONS: usize = 8_192;
/// Changes of the purge position alone, closer than this, are one change that names both ends.
const MERGE_WITHIN_MS: u64 = 100;

/// The version that a front acts on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The digest of its settings.
    pub settings: u64,
    /// The digest of its endpoint list.
    pub endpoint_list: u64,
    /// Its build.
    pub build: String,
    /// It uses cached answers.
    pub uses_cache: bool,
    /// It accepts new calls.
    pub accepts_calls: bool,
}

/// A change of the version or the purge position that a front acts on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number in the incarnation, from 1, with gaps only where changes were merged.
    pub serial: u64,
    /// When it took effect, by the front's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// The version.
    pub version: Version,
    /// The purge position at that moment.
    pub position: LogPosition,
    /// The index that the position had moved on to before the next change.
    pub moved_to: u64,
}

/// Changes that a front reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The front.
    pub front: String,
    /// Its incarnation, in nanoseconds since 1970.
    pub incarnation: u64,
    /// Until when it was running at least, in milliseconds since 1970.
    pub seen_ms: u64,
    /// Changes, in their order.
    pub changes: Vec<Change>,
}

/// Changes that a front has recorded and its site has not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuditBacklog {
    /// How many wait.
    pub pending: usize,
    /// How many were merged or dropped so far because too many waited.
    pub merged: u64,
}

/// Records the changes of one front.
#[derive(Debug)]
pub struct AuditRecorder {
    front: String,
    incarnation: u64,
    serial: u64,
    pending: VecDeque<Change>,
    /// The last change, also after it was acknowledged.
    last: Option<Change>,
    /// How many changes were merged or dropped because too many were pending.
    merged: u64,
}

impl AuditRecorder {
    /// A recorder for one incarnation of a front.
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

    /// Records the version and position that the front acts on now, where one has changed.
    pub fn record_version(&mut self, at_ms: u64, version: Version, position: LogPosition) {
        if let Some(last) = &mut self.last {
            if last.version == version && last.position.log == position.log {
                if last.moved_to == position.index {
                    return;
                }
                let is_close = at_ms.saturating_sub(last.at_ms) < MERGE_WITHIN_MS;
                if let Some(open) =
                    self.pending.back_mut().filter(|open| is_close && open.serial == last.serial)
                {
                    open.moved_to = position.index;
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

    /// Merges the two oldest neighbours of one version, or else drops the oldest change.
    fn merge_oldest(&mut self) {
        self.merged += 1;
        let is_mergeable = |at: usize| {
            let (a, b) = (&self.pending[at], &self.pending[at + 1]);
            a.version == b.version && a.position.log == b.position.log
        };
        if let Some(at) = (0..self.pending.len() - 2).find(|at| is_mergeable(*at)) {
            if let Some(later) = self.pending.remove(at + 1) {
                self.pending[at].moved_to = later.moved_to;
            }
        } else {
            self.pending.pop_front();
        }
    }

    /// The record to be reported. The last change may still move its position, and is reported again then.
    pub fn pending_record(&self, now_ms: u64) -> AuditRecord {
        let changes = self.pending.iter().take(MAX_CHANGES).cloned().collect();
        AuditRecord { front: self.front.clone(), incarnation: self.incarnation, seen_ms: now_ms, changes }
    }

    /// The record was acknowledged: its changes are no longer pending.
    pub fn acknowledge(&mut self, record: &AuditRecord) {
        for sent in &record.changes {
            // One that moved on since it was sent is sent again.
            if self.pending.front().is_some_and(|first| first == sent) {
                self.pending.pop_front();
            }
        }
    }

    /// The changes that wait to be acknowledged.
    pub fn backlog(&self) -> AuditBacklog {
        AuditBacklog { pending: self.pending.len(), merged: self.merged }
    }

    /// The last change.
    pub fn latest(&self) -> Option<&Change> {
        self.last.as_ref()
    }
}

/// An interval in which a front acted on one version. The order of fields is that on disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInterval {
    /// The change that began it.
    serial: u64,
    /// From when on, in milliseconds since 1970, by the front's clock.
    pub from_ms: u64,
    /// The index of the version.
    version: u32,
    /// The purge position at its begin.
    pub position: LogPosition,
    /// The index of the purge position at its end.
    pub moved_to: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct IncarnationHistory {
    intervals: VecDeque<VersionInterval>,
    seen_ms: u64,
}

/// The version that a front acted on at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveVersion<'a> {
    /// The front.
    pub front: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
    /// The version.
    pub version: &'a Version,
    /// The interval.
    pub interval: &'a VersionInterval,
    /// Until when the front was running for certain, in milliseconds since 1970.
    pub seen_ms: u64,
}

/// The audit log: intervals by front and incarnation. The order of fields is that on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    histories: BTreeMap<(String, u64), IncarnationHistory>,
    /// Each version once, in the order of its first use.
    versions: Vec<Version>,
}

impl AuditLog {
    /// Appends what a front reports; what is known already is passed over.
    ///
    /// # Errors
    /// [`AuditError`], where there are too many changes or they are out of order; nothing is appended then.
    pub fn append(&mut self, record: AuditRecord) -> Result<(), AuditError> {
        if record.changes.len() > MAX_CHANGES {
            return Err(AuditError::Long(record.changes.len()));
        }
        if let Some(pair) = record.changes.windows(2).find(|pair| pair[0].serial >= pair[1].serial) {
            return Err(AuditError::Order { found: pair[1].serial, known: pair[0].serial });
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
            let known = self.versions.iter().rposition(|version| *version == change.version);
            let version = known.unwrap_or(self.versions.len()) as u32;
            if known.is_none() {
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

    /// Drops versions that no interval refers to any more.
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

    /// The version of each front at a moment, in milliseconds since 1970. An incarnation that is not known to have run
    /// until then is left out.
    pub fn active_at(&self, moment_ms: u64) -> impl Iterator<Item = ActiveVersion<'_>> {
        self.histories.iter().filter_map(move |(key, history)| {
            let after = history.intervals.partition_point(|interval| interval.from_ms <= moment_ms);
            let interval = after.checked_sub(1).and_then(|at| history.intervals.get(at))?;
            let is_known_alive = after < history.intervals.len() || history.seen_ms >= moment_ms;
            is_known_alive.then(|| self.active_version(key, interval, history.seen_ms))
        })
    }

    /// The last version of each incarnation.
    pub fn latest(&self) -> impl Iterator<Item = ActiveVersion<'_>> {
        self.histories.iter().filter_map(|(key, history)| {
            Some(self.active_version(key, history.intervals.back()?, history.seen_ms))
        })
    }
}
