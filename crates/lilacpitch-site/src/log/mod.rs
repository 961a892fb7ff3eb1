//! The replicated log of a site: Raft by `openraft`, entries and votes on disk in `redb`, and the state that the entries
//! build up.
//!
//! **What is durable when.** A write is acknowledged once its entry is committed: synced on the disks of most of the
//! site's processes. Votes are synced before they are given. Entries that were applied and are not in a snapshot yet are
//! applied again after a start. A snapshot is a file, checked by a hash, that takes its place by renaming. With a new
//! disk a process votes for nobody, and leads nobody, before it has everything that was acknowledged:
//! `log_membership`.

pub mod machine;
pub mod network;
pub mod state;
pub mod store;

use lilacpitch_fleet::audit::AuditRecord;
use lilacpitch_fleet::message::{CommandAction, LogPosition, RecordChange};
use openraft::{BasicNode, Config, SnapshotPolicy};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// The types of a site's log.
    pub Types:
        D = Command,
        R = ApplyResult,
        NodeId = u64,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// A handle of the site's log.
pub type Raft = openraft::Raft<Types>;

/// The command of a log entry. The order of variants and fields is that on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Location records are upserted and withdrawn, by front.
    WriteRecords(Vec<RecordWrite>),
    /// All records are removed that a front wrote in incarnations before this one.
    RemoveOlderIncarnations(String, u64),
    /// Changes up to this number are purged, the last by the command at this position.
    MarkPurged(u64, LogPosition),
    /// The record store is created, empty, at this moment in milliseconds since 1970: what a former one held is lost.
    CreateStore(u64),
    /// All fronts with records here have had the time to write them again: a record that is not found does not exist.
    MarkReady,
    /// At the root: appends commands to the command log, in this order.
    AppendCommands(Vec<CommandAction>),
    /// At the root: a new command log begins, with this number.
    BeginLog(u64),
    /// At the root: audit records of fronts.
    AppendAudit(Vec<AuditRecord>),
}

/// Changes of one front's records, as it numbered them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordWrite {
    /// The front.
    pub front: String,
    /// Its incarnation, in nanoseconds since 1970.
    pub incarnation: u64,
    /// The number of the first change, from 1.
    pub first_change: u64,
    /// The changes.
    pub changes: Vec<RecordChange>,
}

/// The result of applying an entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub enum ApplyResult {
    /// Applied.
    #[default]
    Done,
    /// Applied: the position of the last command appended.
    Position(LogPosition),
    /// Nothing was changed: the reason.
    Rejected(String),
}

/// The settings of the log: heartbeats and elections in milliseconds, snapshots by entries.
pub fn config() -> Config {
    Config {
        cluster_name: "site".into(),
        heartbeat_interval: 100,
        election_timeout_min: 400,
        election_timeout_max: 800,
        install_snapshot_timeout: 5_000,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(10_000),
        max_in_snapshot_log_to_keep: 2_000,
        // So that a message of them stays below the longest frame.
        max_payload_entries: 32,
        snapshot_max_chunk_size: 1 << 20,
        ..Config::default()
    }
}
