//! The replicated log of a site: `openraft`, its entries and votes on disk in `redb`, its state in the register.
//!
//! **What is durable when.** An entry is answered once it is committed: on the disks of most of the site's processes,
//! synced, before the one that wrote it hears of it. So are votes. What was applied and not yet put into a snapshot is
//! applied again after a start. A snapshot is a file, checked by a hash, that takes its place by renaming. With a new
//! disk a process votes for nobody, and leads nobody, before it has all that was acknowledged: `join`.

pub(crate) mod join;
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
        R = Applied,
        NodeId = u64,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The log.
pub type Raft = openraft::Raft<Types>;

/// What an entry does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Rows entered and withdrawn, by front.
    Rows(Vec<Written>),
    /// All rows go that a front wrote in lives before this one.
    WithdrawFront(String, u64),
    /// Changes up to this number are ordered, the last at this position.
    Ordered(u64, LogPosition),
    /// The register begins, empty, at this moment in milliseconds since 1970: what it may have held before is lost.
    Begin(u64),
    /// Whoever has rows here has had the time to write them again: what is not found is not there.
    Ready,
    /// At the root: orders, in turn.
    Order(Vec<CommandAction>),
    /// At the root: a new log of orders begins.
    NewLog(u64),
    /// At the root: what fronts say of themselves.
    Audit(Vec<AuditRecord>),
}

/// Changes of one front's rows, as it numbered them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Written {
    /// The front.
    pub front: String,
    /// Its life.
    pub life: u64,
    /// The number of the first change.
    pub first: u64,
    /// The changes.
    pub changes: Vec<RecordChange>,
}

/// What an entry has done.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// That.
    #[default]
    Done,
    /// The last order's position.
    At(LogPosition),
    /// Nothing: why.
    Refused(String),
}

/// How the log goes on: heartbeats and elections in milliseconds, snapshots by entries.
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
