//! The replicated log of a site: Raft by `openraft`, with entries and votes on disk in `redb`, and the state
//! that the entries build.
//!
//! **Durability.** A write is acknowledged once its entry is committed, that is, synced to the disks of a
//! quorum of the site's processes. Votes are synced before they are granted. Entries that were applied but
//! are not in a snapshot yet are applied again after a restart. A snapshot is a file with a hash, which
//! replaces the previous one by renaming. A process with a new disk neither votes nor leads before it has
//! everything that was acknowledged; see `log_membership`.

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
    /// The type parameters of the Raft library.
    pub Types:
        D = Command,
        R = ApplyResult,
        NodeId = u64,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// A handle to the site's log.
pub type Raft = openraft::Raft<Types>;

/// The command in a log entry. The order of variants and fields is that of the encoding on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Upserts and withdraws location records of some fronts.
    WriteRecords(Vec<RecordWrite>),
    /// Removes all records that a front wrote in incarnations before this one.
    RemoveOlderIncarnations(String, u64),
    /// Marks the changes up to this number as purged; the last purge is the command at this position.
    MarkPurged(u64, LogPosition),
    /// Creates an empty record store at this time, in milliseconds since 1970. Records of a former store are
    /// lost.
    CreateStore(u64),
    /// Marks the store as complete: all fronts with records here have had the time to write them again.
    MarkReady,
    /// At the root: appends commands to the command log, in this order.
    AppendCommands(Vec<CommandAction>),
    /// At the root: begins a new command log with this id.
    BeginLog(u64),
    /// At the root: appends audit records of fronts to the audit log.
    AppendAudit(Vec<AuditRecord>),
}

/// Changes of one front's records, which the front has numbered. The order of fields is that of the encoding
/// on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordWrite {
    /// The name of the front.
    pub front: String,
    /// The incarnation of the front: when it started, in nanoseconds since 1970.
    pub incarnation: u64,
    /// The number of the first change, from 1.
    pub first_change: u64,
    /// The changes.
    pub changes: Vec<RecordChange>,
}

/// The result of applying a log entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub enum ApplyResult {
    /// The entry was applied.
    #[default]
    Done,
    /// Commands were appended; the position of the last one.
    Position(LogPosition),
    /// The entry, or part of it, was rejected for this reason.
    Rejected(String),
}

/// The settings of the Raft library: intervals and timeouts in milliseconds, snapshot thresholds in entries.
pub fn config() -> Config {
    Config {
        cluster_name: "site".into(),
        heartbeat_interval: 100,
        election_timeout_min: 400,
        election_timeout_max: 800,
        install_snapshot_timeout: 5_000,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(10_000),
        max_in_snapshot_log_to_keep: 2_000,
        // Keeps a message with entries below the maximum frame length.
        max_payload_entries: 32,
        snapshot_max_chunk_size: 1 << 20,
        ..Config::default()
    }
}
