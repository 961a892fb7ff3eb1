//! Who acted on which version, and when: recorded by each front for itself, kept at the site, bounded.

use crate::error::AuditError;
use crate::message::LogPosition;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Changes that a front keeps until they are taken above; then the oldest are joined.
const KEPT_HERE: usize = 1_024;
/// Changes taken in one record.
pub const MAX_CHANGES: usize = 256;
/// Changes kept of one life at a site, and lives kept in all.
const KEPT_A_LIFE: usize = 4_096;
const KEPT_LIVES: usize = 2_048;
/// Versions from which on those are dropped that no span names.
const KEPT_VERSIONS: usize = 8_192;
/// Moves of the position alone, closer than this, are one change that names both ends.
const JOINED_MS: u64 = 100;

/// What a process acts on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Digest of its settings.
    pub settings: u64,
    /// Digest of the pool list that it follows.
    pub endpoint_list: u64,
    /// Its build.
    pub build: String,
    /// Cached answers are used.
    pub uses_cache: bool,
    /// New calls are taken.
    pub accepts_calls: bool,
}

/// From a moment on a process acted on this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number in the life, from 1, without gaps but where changes were joined.
    pub serial: u64,
    /// From when on, by the front's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// The version.
    pub version: Version,
    /// The purge position at that moment,
    pub position: LogPosition,
    /// and the one it had moved on to before the next change.
    pub moved_to: u64,
}

/// What a front says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The front.
    pub front: String,
    /// Its life, in nanoseconds since 1970.
    pub incarnation: u64,
    /// Until when it lived at least, in milliseconds since 1970.
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

/// A front's own record.
#[derive(Debug)]
pub struct AuditRecorder {
    front: String,
    incarnation: u64,
    serial: u64,
    waiting: VecDeque<Change>,
    /// What is in force, also after it was taken above.
    last: Option<Change>,
    /// Joined for want of room.
    joined: u64,
}

impl AuditRecorder {
    /// Of a front's life.
    pub fn new(front: &str, life: u64) -> Self {
        AuditRecorder {
            front: front.into(),
            incarnation: life,
            serial: 0,
            waiting: VecDeque::new(),
            last: None,
            joined: 0,
        }
    }

    /// What it acts on now; nothing is noted where nothing has changed.
    pub fn record_version(&mut self, at_ms: u64, version: Version, position: LogPosition) {
        if let Some(last) = &mut self.last {
            if last.version == version && last.position.log == position.log {
                if last.moved_to == position.index {
                    return;
                }
                let close = at_ms.saturating_sub(last.at_ms) < JOINED_MS;
                if let Some(open) = self.waiting.back_mut().filter(|open| close && open.serial == last.serial)
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
        self.waiting.push_back(change);
        if self.waiting.len() > KEPT_HERE {
            self.join_oldest();
        }
    }

    /// Makes room: two neighbours of one version become one, else the oldest goes.
    fn join_oldest(&mut self) {
        self.joined += 1;
        let alike = |at: usize| {
            let (a, b) = (&self.waiting[at], &self.waiting[at + 1]);
            a.version == b.version && a.position.log == b.position.log
        };
        if let Some(at) = (0..self.waiting.len() - 2).find(|at| alike(*at)) {
            if let Some(later) = self.waiting.remove(at + 1) {
                self.waiting[at].moved_to = later.moved_to;
            }
        } else {
            self.waiting.pop_front();
        }
    }

    /// What is to be sent above. The last change stays open while its position may still move within it.
    pub fn pending_record(&self, now_ms: u64) -> AuditRecord {
        let changes = self.waiting.iter().take(MAX_CHANGES).cloned().collect();
        AuditRecord { front: self.front.clone(), incarnation: self.incarnation, seen_ms: now_ms, changes }
    }

    /// It was taken above, up to there.
    pub fn acknowledge(&mut self, record: &AuditRecord) {
        for sent in &record.changes {
            // One that moved on since it was sent is sent again.
            if self.waiting.front().is_some_and(|first| first == sent) {
                self.waiting.pop_front();
            }
        }
    }

    /// The changes that wait to be acknowledged.
    pub fn backlog(&self) -> AuditBacklog {
        AuditBacklog { pending: self.waiting.len(), merged: self.joined }
    }

    /// What is in force.
    pub fn latest(&self) -> Option<&Change> {
        self.last.as_ref()
    }
}

/// A span in which a front acted on one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInterval {
    /// The change that began it.
    serial: u64,
    /// From when on, in milliseconds since 1970, by the front's clock.
    pub from_ms: u64,
    /// The version, by its place in the ledger.
    version: u32,
    /// The purge position at its begin,
    pub position: LogPosition,
    /// and at its end.
    pub moved_to: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Life {
    spans: VecDeque<VersionInterval>,
    seen_ms: u64,
}

/// What a front acted on at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveVersion<'a> {
    /// The front.
    pub front: &'a str,
    /// Its life.
    pub incarnation: u64,
    /// On this,
    pub version: &'a Version,
    /// in this span.
    pub interval: &'a VersionInterval,
    /// Until when the front lived for certain, in milliseconds since 1970.
    pub seen_ms: u64,
}

/// The audit of a site: spans by front and life.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditLog {
    lives: BTreeMap<(String, u64), Life>,
    /// Each once, in the order they were met.
    versions: Vec<Version>,
}

impl AuditLog {
    /// Takes what a front says. What is known already is passed over; an error takes nothing.
    pub fn append(&mut self, record: AuditRecord) -> Result<(), AuditError> {
        if record.changes.len() > MAX_CHANGES {
            return Err(AuditError::Long(record.changes.len()));
        }
        if let Some(pair) = record.changes.windows(2).find(|pair| pair[0].serial >= pair[1].serial) {
            return Err(AuditError::Order { found: pair[1].serial, known: pair[0].serial });
        }
        let key = (record.front, record.incarnation);
        if !self.lives.contains_key(&key) && self.lives.len() >= KEPT_LIVES {
            let oldest = self.lives.iter().min_by_key(|(_, life)| life.seen_ms).map(|(key, _)| key.clone());
            oldest.and_then(|oldest| self.lives.remove(&oldest));
        }
        let life = self.lives.entry(key).or_default();
        life.seen_ms = life.seen_ms.max(record.seen_ms);
        for change in record.changes {
            let known = self.versions.iter().rposition(|version| *version == change.version);
            let version = known.unwrap_or(self.versions.len()) as u32;
            if known.is_none() {
                self.versions.push(change.version);
            }
            let Change { serial, at_ms: from_ms, position, moved_to, .. } = change;
            let span = VersionInterval { serial, from_ms, version, position, moved_to };
            match life.spans.back_mut() {
                Some(last) if last.serial == serial => *last = span,
                Some(last) if last.serial > serial => {}
                _ => life.spans.push_back(span),
            }
            if life.spans.len() > KEPT_A_LIFE {
                life.spans.pop_front();
            }
        }
        if self.versions.len() > KEPT_VERSIONS {
            self.forget_versions();
        }
        Ok(())
    }

    /// Drops versions that no span names any more.
    fn forget_versions(&mut self) {
        let spans = self.lives.values().flat_map(|life| &life.spans);
        let mut places: BTreeMap<u32, u32> = spans.map(|span| (span.version, 0)).collect();
        let mut kept = Vec::with_capacity(places.len());
        for (was, is) in &mut places {
            *is = kept.len() as u32;
            kept.push(self.versions[*was as usize].clone());
        }
        for span in self.lives.values_mut().flat_map(|life| &mut life.spans) {
            span.version = places[&span.version];
        }
        self.versions = kept;
    }

    fn acted<'a>(
        &'a self,
        (front, life): &'a (String, u64),
        interval: &'a VersionInterval,
        seen_ms: u64,
    ) -> ActiveVersion<'a> {
        ActiveVersion {
            front,
            incarnation: *life,
            version: &self.versions[interval.version as usize],
            interval,
            seen_ms,
        }
    }

    /// What each front acted on at a moment, as far as it has said; a life that is not known to have lasted until
    /// then is left out.
    pub fn active_at(&self, moment_ms: u64) -> impl Iterator<Item = ActiveVersion<'_>> {
        self.lives.iter().filter_map(move |(key, of)| {
            let after = of.spans.partition_point(|span| span.from_ms <= moment_ms);
            let span = after.checked_sub(1).and_then(|at| of.spans.get(at))?;
            let lived = after < of.spans.len() || of.seen_ms >= moment_ms;
            lived.then(|| self.acted(key, span, of.seen_ms))
        })
    }

    /// What each life acted on last.
    pub fn latest(&self) -> impl Iterator<Item = ActiveVersion<'_>> {
        self.lives.iter().filter_map(|(key, of)| Some(self.acted(key, of.spans.back()?, of.seen_ms)))
    }
}
