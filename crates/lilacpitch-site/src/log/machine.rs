//! The state machine: applies entries to the [`State`], and makes and takes snapshots as files.
// The log library's own error is large, and rare.
#![allow(clippy::result_large_err)]

use super::state::{Beside, State};
use super::store::{io, Store};
use super::{Applied, Types};
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

/// The machine of one process.
pub struct Machine {
    state: Arc<State>,
    store: Store,
    last: Option<LogId<u64>>,
    membership: StoredMembership<u64, openraft::BasicNode>,
    /// The index of the last entry applied, for who waits for one.
    applied: watch::Sender<u64>,
}

/// A moment of a machine, to be written out.
pub struct Builder {
    rows: Vec<Records>,
    beside: Beside,
    meta: Meta,
    store: Store,
}

/// A snapshot as it is written. Rows are counted out one by one: no second copy of them is made.
#[derive(Serialize)]
struct Out<'a> {
    meta: &'a Meta,
    beside: &'a Beside,
    #[serde(serialize_with = "each")]
    rows: &'a [Records],
}

fn each<S: Serializer>(all: &&[Records], serializer: S) -> Result<S::Ok, S::Error> {
    let mut out = serializer.serialize_seq(Some(all.iter().map(|rows| rows.len()).sum()))?;
    for row in all.iter().flat_map(|rows| rows.values()) {
        out.serialize_element(row)?;
    }
    out.end()
}

#[derive(Deserialize)]
struct In {
    meta: Meta,
    beside: Beside,
    rows: Vec<LocationRecord>,
}

impl Machine {
    /// Starts from the snapshot on disk, if there is one; what came after it the log applies again.
    pub fn open(state: Arc<State>, store: Store) -> Result<(Self, watch::Receiver<u64>), String> {
        let (applied, told) = watch::channel(0);
        let mut machine =
            Machine { state, store, last: None, membership: StoredMembership::default(), applied };
        if let Some(bytes) = machine.store.snapshot()? {
            machine.take(&bytes)?;
        }
        Ok((machine, told))
    }

    fn take(&mut self, bytes: &[u8]) -> Result<Meta, String> {
        let read: In = postcard::from_bytes(bytes).map_err(|e| format!("snapshot: {e}"))?;
        self.state.restore(read.rows, read.beside).map_err(|e| e.to_string())?;
        self.last = read.meta.last_log_id;
        self.membership = read.meta.last_membership.clone();
        self.applied.send_replace(self.last.map_or(0, |last| last.index));
        Ok(read.meta)
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, openraft::BasicNode>), StorageError<u64>> {
        Ok((self.last, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Applied>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut done = Vec::new();
        for entry in entries {
            self.last = Some(entry.log_id);
            done.push(match entry.payload {
                EntryPayload::Blank => Applied::Done,
                EntryPayload::Normal(command) => self.state.apply(command),
                EntryPayload::Membership(membership) => {
                    self.membership = StoredMembership::new(self.last, membership);
                    Applied::Done
                }
            });
        }
        self.applied.send_replace(self.last.map_or(0, |last| last.index));
        Ok(done)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        // No entry is applied while this is taken: all shards are of one moment. Writing it out comes later.
        let id = self.last.map_or(String::new(), |last| format!("{}-{}", last.leader_id, last.index));
        let meta = Meta { last_log_id: self.last, last_membership: self.membership.clone(), snapshot_id: id };
        let beside = self.state.beside(Beside::clone);
        Builder { rows: self.state.register.snapshot(), beside, meta, store: self.store.clone() }
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
            self.take(&bytes).map_err(io)?;
            self.store.keep_snapshot(&bytes).map_err(io)
        })
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<u64>> {
        let Some(bytes) = self.store.snapshot().map_err(io)? else { return Ok(None) };
        // Its head alone; the rows stay as they are.
        let (meta, _) = postcard::take_from_bytes::<Meta>(&bytes).map_err(io)?;
        Ok(Some(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<u64>> {
        let bytes = tokio::task::block_in_place(|| {
            let out = Out { meta: &self.meta, beside: &self.beside, rows: &self.rows };
            let bytes = postcard::to_allocvec(&out).map_err(io)?;
            self.store.keep_snapshot(&bytes).map_err(io)?;
            Ok::<_, StorageError<u64>>(bytes)
        })?;
        tracing::info!(bytes = bytes.len(), id = self.meta.snapshot_id, "snapshot taken");
        Ok(Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(bytes)) })
    }
}
