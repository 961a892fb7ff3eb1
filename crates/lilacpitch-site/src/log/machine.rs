//! The state machine of the Raft library: applies log entries to the [`SiteState`], writes snapshots of the
//! state to the disk, and installs snapshots of the leader.
// The error type of the Raft library is large, but errors are rare.
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
    /// The index of the last entry applied, for which reads wait.
    applied: watch::Sender<u64>,
}

/// A copy of the state at one time, to be written as a snapshot.
pub struct SnapshotBuilder {
    records: Vec<Records>,
    metadata: SiteMetadata,
    meta: Meta,
    store: LogStore,
}

/// A snapshot to be written. The records are serialized one by one, without another copy of them. The order
/// of fields is that of the encoding on disk.
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

/// A snapshot that was read. The order of fields is that of the encoding on disk.
#[derive(Deserialize)]
struct SnapshotData {
    meta: Meta,
    metadata: SiteMetadata,
    records: Vec<LocationRecord>,
}

impl StateMachine {
    /// Restores the state from the snapshot on disk, if there is one. The Raft library then applies the later
    /// entries of the log again. The second value is the index of the last entry applied.
    ///
    /// # Errors
    /// [`StoreError`] if the snapshot can't be read.
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
        // No entry is applied during this copy, so all shards are consistent. The snapshot is written later.
        let snapshot_id =
            self.last_applied.map_or(String::new(), |last| format!("{}-{}", last.leader_id, last.index));
        let meta =
            Meta { last_log_id: self.last_applied, last_membership: self.membership.clone(), snapshot_id };
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
        // Decodes only the metadata of the snapshot, not its records.
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
