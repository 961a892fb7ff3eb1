//! The state that a site's log builds: location records, the numbers whose purge is not committed yet, and at
//! the root the command log and the audit log. Applying the entries is deterministic, so all processes of a
//! site have the same state.

use super::{ApplyResult, Command, RecordWrite};
use lilacpitch_fleet::audit::{AuditLog, AuditRecord};
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PendingPurges, RecordChange, MAX_SCOPES};
use lilacpitch_location::{Key, Kind, LocationError, LocationRecord, LocationStore, Number};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Most numbers with a pending purge that a summary lists.
const MAX_LISTED_PENDING: usize = 256;

/// The position of the last applied change of a front's records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WritePosition {
    /// The front's incarnation.
    pub incarnation: u64,
    /// The number of the change within the incarnation.
    pub change: u64,
}

/// The state without the location records. The order of fields is that of the encoding in snapshots.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteMetadata {
    /// The numbers that changed and whose purge is not committed yet, by the index of the change.
    pub pending_purges: BTreeMap<u64, Number>,
    /// The index of the last change that needs a purge.
    pub last_change: u64,
    /// The position of the last purge command for this site's changes.
    pub purge_position: LogPosition,
    /// At the root: the tail of the command log.
    pub command_log: LogTail,
    /// At the root: which front acted on which version.
    pub audit_log: AuditLog,
    /// The position of the last applied change of each front's records, by the name of the front.
    pub applied_writes: BTreeMap<String, WritePosition>,
    /// How often records of a front were removed, by the name of the front. A front that is still running
    /// writes its records again when this has changed.
    pub removal_counts: BTreeMap<String, u64>,
    /// When this record store was created, in milliseconds since 1970; 0: not created yet.
    pub created_ms: u64,
    /// Whether all fronts with records here have had the time to write them again.
    pub is_ready: bool,
}

/// Changes whose purge is not committed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnpurgedChanges {
    /// The index of the last of these changes.
    pub last_change: u64,
    /// The numbers that changed, without duplicates.
    pub numbers: BTreeSet<Number>,
}

/// The state of a site.
///
/// **Locks.** Each shard of the records has a lock of its own, and the metadata have one. None is held while
/// another is taken.
#[derive(Debug)]
pub struct SiteState {
    /// The location records.
    pub records: LocationStore,
    metadata: Mutex<SiteMetadata>,
}

impl SiteState {
    /// An empty state.
    ///
    /// # Errors
    /// [`LocationError::Shards`] if the number of shards is invalid.
    pub fn new(shards: usize) -> Result<Self, LocationError> {
        Ok(SiteState { records: LocationStore::new(shards)?, metadata: Mutex::default() })
    }

    /// Reads the metadata while holding their lock.
    pub fn with_metadata<T>(&self, read: impl FnOnce(&SiteMetadata) -> T) -> T {
        read(&self.metadata.lock())
    }

    /// Applies the command of a log entry.
    pub fn apply(&self, command: Command) -> ApplyResult {
        match command {
            Command::WriteRecords(writes) => {
                writes.into_iter().for_each(|write| self.write_records(write));
                ApplyResult::Done
            }
            Command::RemoveOlderIncarnations(front, before) => {
                self.remove_older_incarnations(front, before);
                ApplyResult::Done
            }
            Command::MarkPurged(last_change, position) => {
                let mut metadata = self.metadata.lock();
                metadata.pending_purges = metadata.pending_purges.split_off(&(last_change + 1));
                metadata.purge_position = position;
                ApplyResult::Done
            }
            Command::AppendCommands(actions) => self.metadata.lock().append_commands(actions),
            Command::BeginLog(log) => {
                let mut metadata = self.metadata.lock();
                let withdrawn = metadata.command_log.withdrawn().clone();
                metadata.command_log = LogTail::starting_at(LogPosition { log, index: 0 }, withdrawn);
                ApplyResult::Done
            }
            Command::CreateStore(at_ms) => {
                let mut metadata = self.metadata.lock();
                if metadata.created_ms == 0 {
                    metadata.created_ms = at_ms;
                }
                ApplyResult::Done
            }
            Command::MarkReady => {
                self.metadata.lock().is_ready = true;
                ApplyResult::Done
            }
            Command::AppendAudit(records) => self.metadata.lock().append_audit(records),
        }
    }

    /// Applies a front's changes, each once and in order. A change that arrives after a later one is outdated
    /// and skipped.
    fn write_records(&self, write: RecordWrite) {
        let known = self.metadata.lock().applied_writes.get(&write.front).copied().unwrap_or_default();
        if known.incarnation > write.incarnation {
            return;
        }
        let is_new_incarnation = known.incarnation != write.incarnation;
        let last_applied = if is_new_incarnation { 0 } else { known.change };
        let last_written = (write.first_change + write.changes.len() as u64).saturating_sub(1);
        let applied_count = (last_applied + 1).saturating_sub(write.first_change) as usize;
        for change in write.changes.into_iter().skip(applied_count) {
            let Some(key) = self.apply_change(change) else { continue };
            if let Some(number) = purged_number(key) {
                self.metadata.lock().add_pending_purge(number);
            }
        }
        if last_written > last_applied || is_new_incarnation {
            let position =
                WritePosition { incarnation: write.incarnation, change: last_written.max(last_applied) };
            self.metadata.lock().applied_writes.insert(write.front, position);
        }
    }

    /// Applies one change. Returns the key of the record if that has changed.
    fn apply_change(&self, change: RecordChange) -> Option<Key> {
        match change {
            RecordChange::Upsert(record) if self.contains(&record) => None,
            RecordChange::Upsert(record) => {
                let key = record.key.clone();
                self.records.upsert(record);
                Some(key)
            }
            RecordChange::Withdraw(key) => self.records.withdraw(&key).map(|_| key),
        }
    }

    fn contains(&self, record: &LocationRecord) -> bool {
        self.records.get(&record.key).is_some_and(|known| known == *record)
    }

    fn remove_older_incarnations(&self, front: String, before: u64) {
        let removed = self.records.remove_older_incarnations(&front, before);
        let mut metadata = self.metadata.lock();
        if !removed.is_empty() {
            *metadata.removal_counts.entry(front).or_default() += 1;
        }
        let numbers: BTreeSet<Number> = removed.into_iter().filter_map(purged_number).collect();
        numbers.into_iter().for_each(|number| metadata.add_pending_purge(number));
    }

    /// The pending purges and the position of the last committed purge, for the site's summary.
    pub fn summary_purges(&self) -> (PendingPurges, LogPosition) {
        let metadata = self.metadata.lock();
        let pending = match metadata.pending_purges.len() {
            0..=MAX_LISTED_PENDING => {
                PendingPurges::Some(metadata.pending_purges.values().map(Number::hash64).collect())
            }
            _ => PendingPurges::Many,
        };
        (pending, metadata.purge_position)
    }

    /// Up to `limit` changes whose purge is not committed yet; `None` if there are none.
    pub fn unpurged_changes(&self, limit: usize) -> Option<UnpurgedChanges> {
        let metadata = self.metadata.lock();
        let last_change = *metadata.pending_purges.keys().take(limit).next_back()?;
        let changes = metadata.pending_purges.range(..=last_change);
        Some(UnpurgedChanges { last_change, numbers: changes.map(|(_, number)| number.clone()).collect() })
    }

    /// The id of the record store that is sent to a front. When it changes, the front writes its records
    /// again.
    pub fn store_id_for(&self, front: &str) -> u64 {
        let metadata = self.metadata.lock();
        metadata.created_ms.wrapping_add(metadata.removal_counts.get(front).copied().unwrap_or(0))
    }

    /// Replaces the state by the content of a snapshot.
    ///
    /// # Errors
    /// [`LocationError`] if the records can't be restored; the metadata are not replaced then.
    pub fn restore(&self, records: Vec<LocationRecord>, metadata: SiteMetadata) -> Result<(), LocationError> {
        self.records.restore(records)?;
        *self.metadata.lock() = metadata;
        Ok(())
    }
}

/// The number whose cached answers a change of a record makes outdated; `None` if there are none. Cached
/// answers only contain where numbers can be reached, so the start or end of a call does not affect them.
fn purged_number(key: Key) -> Option<Number> {
    (key.kind == Kind::Binding).then_some(key.number)
}

impl SiteMetadata {
    fn add_pending_purge(&mut self, number: Number) {
        self.last_change += 1;
        self.pending_purges.insert(self.last_change, number);
    }

    fn append_commands(&mut self, actions: Vec<CommandAction>) -> ApplyResult {
        let is_too_long = |action: &CommandAction| match action {
            CommandAction::Purge(scopes) => scopes.len() > MAX_SCOPES,
            CommandAction::Withdraw(_) | CommandAction::Reinstate(_) => false,
        };
        if actions.iter().any(is_too_long) || self.command_log.position().log == 0 {
            return ApplyResult::Rejected("an order with too many scopes, or no log to order in".into());
        }
        for action in actions {
            self.command_log.append(action);
        }
        ApplyResult::Position(self.command_log.position())
    }

    /// Appends all records that are valid. Returns the last error if some are not.
    fn append_audit(&mut self, records: Vec<AuditRecord>) -> ApplyResult {
        let last_error = records.into_iter().filter_map(|record| self.audit_log.append(record).err()).last();
        last_error.map_or(ApplyResult::Done, |error| ApplyResult::Rejected(error.to_string()))
    }
}
