//! The state machine of the log library: applies entries to the [`SiteState`], writes snapshots of it to the disk, and
//! installs those of the leader.
// The log library's own error is large, and rare.
#![allow(clippy::result_large_err)]

use super::state::{SiteMetadata, SiteState};
use super::store::{storage_error, LogStore, StoreError};
use super::{ApplyResult, Types};
use lilacpitch_location::store::Records;
use lilacpitch_location::LocationRecord;
use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{
    Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, SnapshotMeta, StorageError,
    StoredMembership,
};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Serialize, Serializer};
use std::io::Cursor;
use std::sync::Arc;
use tokio::sync::watch;

type Meta = SnapshotMeta<u64, openraft::BasicNode>;

/// The state machine of one process.
pub struct StateMachine {
    state: Arc<SiteState>,
    store: LogStore,
    last_applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, openraft::BasicNode>,
    /// The index of the last entry applied: reads wait for it.
    applied: watch::Sender<u64>,
}

/// The state at one moment, to be written as a snapshot.
pub struct SnapshotBuilder {
    records: Vec<Records>,
    metadata: SiteMetadata,
    meta: Meta,
    store: LogStore,
}

/// A snapshot as it is written. Records are serialized one by one: no second copy of them is made.
#[derive(Serialize)]
struct SnapshotRef<'a> {
    meta: &'a Meta,
    metadata: &'a SiteMetadata,
    #[serde(serialize_with = "serialize_records")]
    records: &'a [Records],
}

fn serialize_records<S: Serializer>(shards: &&[Records], serializer: S) -> Result<S::Ok, S::Error> {
    let mut sequence = serializer.serialize_seq(Some(shards.iter().map(|shard| shard.len()).sum()))?;
    for record in shards.iter().flat_map(|shard| shard.values()) {
        sequence.serialize_element(record)?;
    }
    sequence.end()
}

/// A snapshot as it is read.
#[derive(Deserialize)]
struct SnapshotData {
    meta: Meta,
    metadata: SiteMetadata,
    records: Vec<LocationRecord>,
}

impl StateMachine {
    /// Starts from the snapshot on disk, if there is one; the log applies again what came after it. The second value
    /// is the index of the last entry applied.
    ///
    /// # Errors
    /// [`StoreError`], where the snapshot can't be read.
    pub fn open(state: Arc<SiteState>, store: LogStore) -> Result<(Self, watch::Receiver<u64>), StoreError> {
        let (applied, applied_index) = watch::channel(0);
        let mut machine = StateMachine {
            state,
            store,
            last_applied: None,
            membership: StoredMembership::default(),
            applied,
        };
        if let Some(bytes) = machine.store.snapshot()? {
            machine.restore(&bytes)?;
        }
        Ok((machine, applied_index))
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let snapshot: SnapshotData = postcard::from_bytes(bytes).map_err(StoreError::Snapshot)?;
        self.state.restore(snapshot.records, snapshot.metadata)?;
        self.last_applied = snapshot.meta.last_log_id;
        self.membership = snapshot.meta.last_membership;
        self.applied.send_replace(self.last_applied.map_or(0, |last| last.index));
        Ok(())
    }
}

impl RaftStateMachine<Types> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, openraft::BasicNode>), StorageError<u64>> {
        Ok((self.last_applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<ApplyResult>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut results = Vec::new();
        for entry in entries {
            self.last_applied = Some(entry.log_id);
            results.push(match entry.payload {
                EntryPayload::Blank => ApplyResult::Done,
                EntryPayload::Normal(command) => self.state.apply(command),
                EntryPayload::Membership(membership) => {
                    self.membership = StoredMembership::new(self.last_applied, membership);
                    ApplyResult::Done
                }
            });
        }
        self.applied.send_replace(self.last_applied.map_or(0, |last| last.index));
        Ok(results)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        // No entry is applied while this is taken: all shards are of one moment. Writing it out comes later.
        let id = self.last_applied.map_or(String::new(), |last| format!("{}-{}", last.leader_id, last.index));
        let meta = Meta {
            last_log_id: self.last_applied,
            last_membership: self.membership.clone(),
            snapshot_id: id,
        };
        let metadata = self.state.with_metadata(SiteMetadata::clone);
        SnapshotBuilder { records: self.state.records.snapshot(), metadata, meta, store: self.store.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        _meta: &Meta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let bytes = snapshot.into_inner();
        tokio::task::block_in_place(|| {
            self.restore(&bytes).map_err(storage_error)?;
            self.store.save_snapshot(&bytes).map_err(storage_error)
        })
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<u64>> {
        let Some(bytes) = self.store.snapshot().map_err(storage_error)? else { return Ok(None) };
        // Its head alone; the records stay encoded.
        let (meta, _) = postcard::take_from_bytes::<Meta>(&bytes).map_err(storage_error)?;
        Ok(Some(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}

impl RaftSnapshotBuilder<Types> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<u64>> {
        let bytes = tokio::task::block_in_place(|| {
            let snapshot = SnapshotRef { meta: &self.meta, metadata: &self.metadata, records: &self.records };
            let bytes = postcard::to_allocvec(&snapshot).map_err(storage_error)?;
            self.store.save_snapshot(&bytes).map_err(storage_error)?;
            Ok::<_, StorageError<u64>>(bytes)
        })?;
        tracing::info!(bytes = bytes.len(), id = self.meta.snapshot_id, "snapshot written");
        Ok(Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(bytes)) })
    }
}
