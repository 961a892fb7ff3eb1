//! What crosses the links between processes of the fleet, as `postcard` writes it.

use crate::audit::AuditRecord;
use crate::disk_loss_recovery::LogVote;
use lilacpitch_location::{Key, LocationRecord, Number, Page, Query, ShardUpdate};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of everything here.
pub const VERSION: u16 = 1;
/// Most orders in one message.
pub const MAX_COMMANDS: usize = 512;
/// Most scopes of one order.
pub const MAX_SCOPES: usize = 1_024;
/// Most rows in one message.
pub const MAX_RECORDS: usize = 1_024;
/// Most names in a list of who is missing; the number of all stands beside.
pub const MAX_NAMES: usize = 32;

/// Who speaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A front: holds cached answers.
    Front,
    /// A process of a site, by the site's name and its place there.
    Process(String, u32),
}

/// The first message of both ends of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u16,
    /// The process's name: one of a kind.
    pub name: String,
    /// When this life of it began, in nanoseconds since 1970.
    pub incarnation: u64,
    /// What it is.
    pub role: Role,
    /// Drawn for this connection: what it is sent names it.
    pub nonce: u64,
}

/// A place in the log of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The log: another one begins when a root site has lost orders.
    pub log: u64,
    /// The number of the last order, from 1; 0: none yet.
    pub index: u64,
}

impl LogPosition {
    /// Whether everything up to `other` is known here. Never across logs.
    pub fn includes(self, other: LogPosition) -> bool {
        self.log == other.log && self.index >= other.index
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{}", self.log, self.index)
    }
}

/// What a purge withdraws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PurgeScope {
    /// All answers about one number.
    Number(Number),
    /// About all that begin so.
    Prefix(String),
    /// That name this front or server.
    Owner(String),
    /// All.
    All,
}

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// Forget cached answers.
    Purge(Vec<PurgeScope>),
    /// No longer act on this settings version.
    Withdraw(u64),
    /// It is in force again.
    Reinstate(u64),
}

/// An order, by its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCommand {
    /// Its number, without gaps.
    pub number: u64,
    /// What is ordered.
    pub action: CommandAction,
}

/// A row entered or withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordChange {
    /// Entered, or in place of one with its key.
    Upsert(LocationRecord),
    /// Withdrawn.
    Withdraw(Key),
}

/// What a router has of a site's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownSummary {
    /// The site.
    pub site: String,
    /// The life of the process whose versions these are.
    pub incarnation: u64,
    /// The version of each shard; empty: only whether anything is newer than `total` is asked.
    pub shards: Vec<u64>,
    /// The sum of the versions of all shards.
    pub total: u64,
}

/// Numbers that changed at a site and whose purge is not ordered yet, by hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PendingPurges {
    /// These.
    Some(Vec<u64>),
    /// More than are named.
    Many,
}

/// News of a site's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteSummaryUpdate {
    /// The site.
    pub site: String,
    /// Whose versions these are.
    pub incarnation: u64,
    /// How many shards it has.
    pub shards: u32,
    /// The sum of their versions once this is taken.
    pub total: u64,
    /// How old all of this is, at the moment it is said.
    pub age_ns: u64,
    /// Changes without an order.
    pub pending: PendingPurges,
    /// The last order that came of its changes.
    pub purge_position: LogPosition,
    /// What is new, of the shards whose versions were named.
    pub shard_updates: Vec<ShardUpdate>,
    /// There is more: ask again.
    pub has_more: bool,
}

/// What one process asks of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A holder asks the process above for its lease, and says how far it has applied orders.
    RenewLease(Option<LogPosition>),
    /// A relay says up to which order all below it have acknowledged or are out, and who is not.
    ReportAcknowledged {
        /// Up to here.
        acknowledged: LogPosition,
        /// Some of those that are missing.
        missing: Vec<String>,
        /// How many are.
        missing_count: u32,
    },
    /// A holder has dropped what it cached, and leaves.
    ReleaseLease,
    /// Orders, from above.
    Commands {
        /// Their log.
        log: u64,
        /// In their order, without gaps.
        commands: Vec<FleetCommand>,
    },
    /// To the root: order this.
    Submit(CommandAction),
    /// To the root: how far are the purges?
    Progress,
    /// To the root: what fronts say of themselves.
    Audit(Vec<AuditRecord>),
    /// To the home site: changes of this front's rows, numbered by it without gaps from the first on. What comes twice
    /// or late, behind a later one, changes nothing.
    Write {
        /// The first change's number, from 1.
        first: u64,
        /// The changes.
        changes: Vec<RecordChange>,
    },
    /// Rows that match.
    FindRecords {
        /// The question.
        query: Query,
        /// From behind this key on.
        after: Option<Key>,
        /// At most so many rows.
        limit: u32,
        /// A call waits for it.
        urgent: bool,
    },
    /// What is newer than this of the summaries of all sites that are not below the one who asks.
    Summaries(Vec<KnownSummary>),
    /// Within a site: up to which entry of its log must be applied before a read.
    ReadIndex,
    /// Within a site, from a process whose disk is new: which vote does this one hold?
    HeldVote,
    /// Within a site: all rows go that a front wrote in lives before this one.
    RemoveOlderIncarnations(String, u64),
    /// Within a site: for its leader, on behalf of the front or process named, by name and life.
    Forwarded(String, u64, Box<Request>),
    /// Within a site: a message of its replicated log.
    Log(LogMessage),
}

/// A message of a site's replicated log, in the log library's own form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogMessage {
    /// Entries.
    Append(Vec<u8>),
    /// A vote.
    Vote(Vec<u8>),
    /// A part of a snapshot.
    Snapshot(Vec<u8>),
}

/// What a process answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// A lease from the moment of asking on.
    LeaseGranted {
        /// For so long, by the holder's steady clock.
        for_ns: u64,
        /// Once everything up to here is applied.
        position: LogPosition,
        /// Some of what is missing until then.
        commands: Vec<FleetCommand>,
        /// The register of this site: another one has none of the rows written before.
        store_id: u64,
    },
    /// What is missing is no longer kept: drop all that is cached, take this position, ask again.
    ResetRequired {
        /// The position to take.
        position: LogPosition,
        /// Settings versions that are withdrawn there.
        withdrawn: Vec<u64>,
    },
    /// The holder of orders has applied them up to here.
    Applied(LogPosition),
    /// Ordered.
    Committed(LogPosition),
    /// How far purges are.
    Progress {
        /// The last order.
        ordered: LogPosition,
        /// Complete up to here: no process serves what these withdrew.
        complete: u64,
        /// Some who are missing.
        missing: Vec<String>,
        /// How many are.
        missing_count: u32,
    },
    /// Written, and durable.
    Written,
    /// What was found, and by which process.
    Found {
        /// The rows.
        page: Page,
        /// The process.
        process: String,
    },
    /// News of summaries.
    Summaries(Vec<SiteSummaryUpdate>),
    /// Up to this entry.
    ReadIndex(u64),
    /// The vote in the site's log that this process holds; `None`: its disk is new.
    HeldVote(Option<LogVote>),
    /// An answer of the log library, or its error, in its own form.
    Log(Result<Vec<u8>, Vec<u8>>),
    /// Done.
    Done,
    /// Not done.
    Rejected(RejectReason),
}

/// Why a process did not do what it was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Too much at once: stay away for so long.
    Overloaded {
        /// In milliseconds.
        wait_ms: u32,
    },
    /// It lags behind what its site has acknowledged, or can't tell.
    Behind,
    /// It has no lease of its own to grant from.
    NoLease,
    /// A later life of this name is known.
    Superseded,
    /// No lease of this site's: what is written is not taken.
    Fenced,
    /// Too far behind for a lease: the missing orders come by themselves.
    Lagging,
    /// The holder knows later orders of this log than are here.
    Ahead,
    /// No process of the site leads.
    NoLeader,
    /// Not a thing to ask this process.
    Unsupported,
    /// Malformed: what of it.
    Malformed(String),
    /// The log or its disk failed.
    Failed(String),
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::Overloaded { wait_ms } => write!(f, "full, for {wait_ms} ms"),
            RejectReason::Behind => f.write_str("behind its site"),
            RejectReason::NoLease => f.write_str("no lease of its own"),
            RejectReason::Superseded => f.write_str("a later life is known"),
            RejectReason::Fenced => f.write_str("fenced: no lease here"),
            RejectReason::Lagging => f.write_str("too far behind"),
            RejectReason::Ahead => f.write_str("ahead of the log"),
            RejectReason::NoLeader => f.write_str("no process leads"),
            RejectReason::Unsupported => f.write_str("not to be asked here"),
            RejectReason::Malformed(what) => write!(f, "malformed: {what}"),
            RejectReason::Failed(what) => write!(f, "failed: {what}"),
        }
    }
}

/// What a frame holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The first of each end.
    Hello(Hello),
    /// A question, by a number of the asker's.
    Request(u64, Request),
    /// The answer to the question of that number.
    Answer(u64, Response),
}
