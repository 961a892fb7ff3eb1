//! The messages between processes of the fleet, as `postcard` writes them: it writes the order of variants and fields,
//! not their names. Both ends need the same [`VERSION`].

use crate::audit::AuditRecord;
use crate::disk_loss_recovery::LogVote;
use lilacpitch_location::{Key, LocationRecord, Number, Page, Query, ShardUpdate};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of these messages.
pub const VERSION: u16 = 1;
/// Most commands in one message.
pub const MAX_COMMANDS: usize = 512;
/// Most scopes of one purge.
pub const MAX_SCOPES: usize = 1_024;
/// Most records or record changes in one message.
pub const MAX_RECORDS: usize = 1_024;
/// Most names in a list of who is missing; how many are missing is a field beside it.
pub const MAX_NAMES: usize = 32;

/// What a process is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A front: it holds cached answers.
    Front,
    /// A process of a site, by the site's name and its index there.
    Process(String, u32),
}

/// The first message of each end of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u16,
    /// The process's name, unique in the fleet.
    pub name: String,
    /// When this incarnation of it started, in nanoseconds since 1970.
    pub incarnation: u64,
    /// What the process is.
    pub role: Role,
    /// Drawn at random for this connection: frames to this end name it.
    pub nonce: u64,
}

/// A position in the command log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The log's number: another log begins when the root has lost commands.
    pub log: u64,
    /// The number of the last command, from 1; 0: none yet.
    pub index: u64,
}

impl LogPosition {
    /// Whether all commands up to `other` are at or before this position. Positions of different logs include nothing.
    pub fn includes(self, other: LogPosition) -> bool {
        self.log == other.log && self.index >= other.index
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{}", self.log, self.index)
    }
}

/// Which cached answers a purge withdraws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PurgeScope {
    /// Those about one number.
    Number(Number),
    /// Those about all numbers with this prefix.
    Prefix(String),
    /// Those with a record of this front or server.
    Owner(String),
    /// All.
    All,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// Purges cached answers.
    Purge(Vec<PurgeScope>),
    /// Withdraws a settings version: fronts no longer act on it.
    Withdraw(u64),
    /// Reinstates a settings version.
    Reinstate(u64),
}

/// A command of the command log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCommand {
    /// Its number in the log, from 1, without gaps.
    pub number: u64,
    /// What it does.
    pub action: CommandAction,
}

/// A change of a location record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordChange {
    /// Inserts a record, or replaces the one with its key.
    Upsert(LocationRecord),
    /// Removes the record with this key.
    Withdraw(Key),
}

/// What a process knows of a site's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownSummary {
    /// The site.
    pub site: String,
    /// The incarnation of the process whose versions these are.
    pub incarnation: u64,
    /// The version of each shard; empty: only whether anything is newer than `total` is requested.
    pub shards: Vec<u64>,
    /// The sum of the versions of all shards.
    pub total: u64,
}

/// Numbers that changed at a site and whose purge is not in the command log yet, by hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PendingPurges {
    /// These.
    Some(Vec<u64>),
    /// More than are listed.
    Many,
}

/// An update of a site's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteSummaryUpdate {
    /// The site.
    pub site: String,
    /// The incarnation of the process whose versions these are.
    pub incarnation: u64,
    /// How many shards it has.
    pub shards: u32,
    /// The sum of their versions once this is applied.
    pub total: u64,
    /// How old it is when it is sent, in nanoseconds.
    pub age_ns: u64,
    /// Changes that are not purged yet.
    pub pending: PendingPurges,
    /// The position of the last purge of the site's changes.
    pub purge_position: LogPosition,
    /// The updates of the shards whose versions were named.
    pub shard_updates: Vec<ShardUpdate>,
    /// There is more: request again.
    pub has_more: bool,
}

/// A request of one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A holder requests its lease from its parent; with its position, if it has one.
    RenewLease(Option<LogPosition>),
    /// A process reports what everybody below it has acknowledged.
    ReportAcknowledged {
        /// Everybody below has acknowledged up to here, or has no lease any more.
        acknowledged: LogPosition,
        /// The names of some who are missing.
        missing: Vec<String>,
        /// How many are missing.
        missing_count: u32,
    },
    /// A holder has dropped everything it cached, and releases its lease.
    ReleaseLease,
    /// Commands, from the parent.
    Commands {
        /// The number of their log.
        log: u64,
        /// The commands in their order, without gaps.
        commands: Vec<FleetCommand>,
    },
    /// To the root: append a command.
    Submit(CommandAction),
    /// To the root: up to which command are purges complete?
    Progress,
    /// To the root: audit records of fronts.
    Audit(Vec<AuditRecord>),
    /// To the home site: changes of this front's records, numbered by it without gaps. A change that comes twice, or
    /// after a later one, changes nothing.
    Write {
        /// The first change's number, from 1.
        first: u64,
        /// The changes.
        changes: Vec<RecordChange>,
    },
    /// Find matching records.
    FindRecords {
        /// The query.
        query: Query,
        /// Only records behind this key.
        after: Option<Key>,
        /// Most records wanted.
        limit: u32,
        /// A call waits for the response.
        urgent: bool,
    },
    /// Updates of the summaries that the requester knows.
    Summaries(Vec<KnownSummary>),
    /// Within a site: the log index that must be applied before a read.
    ReadIndex,
    /// Within a site, from a process whose disk is new: the vote that the other one holds.
    HeldVote,
    /// Within a site: remove all records that a front wrote in incarnations before this one.
    RemoveOlderIncarnations(String, u64),
    /// Within a site: for its leader, on behalf of a front or process, by name and incarnation.
    Forwarded(String, u64, Box<Request>),
    /// Within a site: a message of its replicated log.
    Log(LogMessage),
}

/// A message of a site's replicated log, in the encoding of the log library.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogMessage {
    /// Entries.
    Append(Vec<u8>),
    /// A vote.
    Vote(Vec<u8>),
    /// A part of a snapshot.
    Snapshot(Vec<u8>),
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// A lease, from the moment of the request on.
    LeaseGranted {
        /// Its length by the holder's steady clock, in nanoseconds; 0: none.
        for_ns: u64,
        /// It is valid once all commands up to here are applied.
        position: LogPosition,
        /// Some of the commands that the holder lacks.
        commands: Vec<FleetCommand>,
        /// The id of the site's record store: another one has none of the records written before.
        store_id: u64,
    },
    /// The commands that the holder lacks are no longer retained: it drops everything it has cached, takes this position
    /// and renews at once.
    ResetRequired {
        /// The position to take.
        position: LogPosition,
        /// Settings versions that are withdrawn there.
        withdrawn: Vec<u64>,
    },
    /// The holder has applied all commands up to here.
    Applied(LogPosition),
    /// The command is committed, at this position.
    Committed(LogPosition),
    /// Up to which command purges are complete.
    Progress {
        /// The last command.
        ordered: LogPosition,
        /// The index up to which they are complete: no process serves what these withdrew.
        complete: u64,
        /// The names of some who are missing.
        missing: Vec<String>,
        /// How many are missing.
        missing_count: u32,
    },
    /// Written, and synced to the disks of a quorum.
    Written,
    /// Records that were found.
    Found {
        /// The records.
        page: Page,
        /// The process that found them.
        process: String,
    },
    /// Updates of summaries.
    Summaries(Vec<SiteSummaryUpdate>),
    /// The log index to wait for.
    ReadIndex(u64),
    /// The vote that the process holds; `None`: its disk is new.
    HeldVote(Option<LogVote>),
    /// A response of the log library, or its error, in its encoding.
    Log(Result<Vec<u8>, Vec<u8>>),
    /// Done.
    Done,
    /// The request was rejected.
    Rejected(RejectReason),
}

/// Why a process has rejected a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Too many requests at once: retry after a delay.
    Overloaded {
        /// The delay, in milliseconds.
        wait_ms: u32,
    },
    /// The process lags behind its site, or can't tell.
    Behind,
    /// The process has no lease of its own, and so grants none.
    NoLease,
    /// A later incarnation of the requester is known.
    Superseded,
    /// The requester has no lease of this site: its writes are rejected.
    Fenced,
    /// The requester lags too far behind for a lease; the commands that it lacks are sent to it.
    Lagging,
    /// The requester has applied commands that this log does not have.
    Ahead,
    /// No process of the site leads.
    NoLeader,
    /// This process does not handle such requests, or not of this requester.
    Unsupported,
    /// The request is malformed: how.
    Malformed(String),
    /// The log, its disk or a connection failed.
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

/// The body of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The first frame of each end.
    Hello(Hello),
    /// A request, with an id that the requester chose.
    Request(u64, Request),
    /// The response to the request of this id.
    Answer(u64, Response),
}
