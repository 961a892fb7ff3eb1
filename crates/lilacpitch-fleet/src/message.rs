//! The messages between the processes of a fleet, encoded by `postcard`. The encoding depends on the order of
//! variants and fields, not on their names. Both ends must use the same [`VERSION`].

use crate::audit::AuditRecord;
use crate::disk_loss_recovery::LogVote;
use lilacpitch_location::{Key, LocationRecord, Number, Page, Query, ShardUpdate};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of the message format.
pub const VERSION: u16 = 1;
/// Most commands in one message.
pub const MAX_COMMANDS: usize = 512;
/// Most scopes of one purge.
pub const MAX_SCOPES: usize = 1_024;
/// Most records or record changes in one message.
pub const MAX_RECORDS: usize = 1_024;
/// Most names in a list of processes that have not acknowledged; their count is a separate field.
pub const MAX_NAMES: usize = 32;

/// The role of a process in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A front, which caches answers.
    Front,
    /// A process of a site: the name of the site and the index of the process in it.
    Process(String, u32),
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Role::Front => f.write_str("a front"),
            Role::Process(site, index) => write!(f, "process {index} of site {site}"),
        }
    }
}

/// The first message that each end of a connection sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`VERSION`].
    pub version: u16,
    /// The name of the process, unique in the fleet.
    pub name: String,
    /// The incarnation: when the process started, in nanoseconds since 1970.
    pub incarnation: u64,
    /// The role of the process.
    pub role: Role,
    /// A random number for this connection; later frames to this end contain it.
    pub nonce: u64,
}

/// A position in the command log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The id of the log. The root begins another log when it has lost commands.
    pub log: u64,
    /// The number of the last command in the log, from 1; 0: no command yet.
    pub index: u64,
}

impl LogPosition {
    /// Whether `other` is in the same log and at or before this position.
    pub fn includes(self, other: LogPosition) -> bool {
        self.log == other.log && self.index >= other.index
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{}", self.log, self.index)
    }
}

/// Which cached answers a purge removes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PurgeScope {
    /// Answers about one number.
    Number(Number),
    /// Answers about all numbers with this prefix.
    Prefix(String),
    /// Answers that contain a record of this front or server.
    Owner(String),
    /// All answers.
    All,
}

/// The effect of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// Purges cached answers.
    Purge(Vec<PurgeScope>),
    /// Withdraws a settings version, by its digest: fronts no longer act on it.
    Withdraw(u64),
    /// Reinstates a withdrawn settings version, by its digest.
    Reinstate(u64),
}

/// A command of the command log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCommand {
    /// The number of the command in the log, from 1, without gaps.
    pub number: u64,
    /// The effect of the command.
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

/// The versions of a site's summary that a process has, sent to request updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownSummary {
    /// The name of the site.
    pub site: String,
    /// The incarnation of the process that numbered the versions.
    pub incarnation: u64,
    /// The version of each shard. If empty, the request only asks whether anything is newer than `total`.
    pub shards: Vec<u64>,
    /// The sum of the versions of all shards.
    pub total: u64,
}

/// The numbers that changed at a site and whose purge is not in the command log yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PendingPurges {
    /// The hashes of all of them.
    Some(Vec<u64>),
    /// Too many to be listed.
    Many,
}

/// An update of a site's summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteSummaryUpdate {
    /// The name of the site.
    pub site: String,
    /// The incarnation of the process that numbered the versions.
    pub incarnation: u64,
    /// The number of shards.
    pub shards: u32,
    /// The sum of the versions of all shards once this update is applied.
    pub total: u64,
    /// The age of the summary when the update is sent, in nanoseconds.
    pub age_ns: u64,
    /// Changes whose purge is not in the command log yet.
    pub pending: PendingPurges,
    /// The position of the last purge of the site's changes.
    pub purge_position: LogPosition,
    /// Updates of the shards that are newer than the versions in the request.
    pub shard_updates: Vec<ShardUpdate>,
    /// Whether there are more updates, to be requested next.
    pub has_more: bool,
}

/// A request from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// To the parent: grants or renews the sender's lease. Contains the sender's position in the command log,
    /// if it has one.
    RenewLease(Option<LogPosition>),
    /// To the parent: what all lease holders below the sender have acknowledged.
    ReportAcknowledged {
        /// Every process below that may still hold a lease has acknowledged the commands up to this position.
        acknowledged: LogPosition,
        /// The names of some holders that have not acknowledged all commands, [`MAX_NAMES`] at most.
        missing: Vec<String>,
        /// The number of holders that have not acknowledged all commands.
        missing_count: u32,
    },
    /// To the parent: the sender has dropped all cached answers and releases its lease.
    ReleaseLease,
    /// From the parent: commands to be applied.
    Commands {
        /// The id of their log.
        log: u64,
        /// The commands in log order, without gaps.
        commands: Vec<FleetCommand>,
    },
    /// To the root: appends a command to the command log.
    Submit(CommandAction),
    /// To the root: returns the last command and the index up to which purges are complete.
    Progress,
    /// To the root: appends audit records of fronts.
    Audit(Vec<AuditRecord>),
    /// To the home site: changes of the sending front's records, which the front numbers without gaps. A
    /// change that arrives twice, or after a later one, has no effect.
    Write {
        /// The number of the first change, from 1.
        first: u64,
        /// The changes.
        changes: Vec<RecordChange>,
    },
    /// Finds matching records.
    FindRecords {
        /// The query.
        query: Query,
        /// Returns only records after this key.
        after: Option<Key>,
        /// Most records to be returned.
        limit: u32,
        /// Whether a call waits for the response.
        urgent: bool,
    },
    /// Requests updates of these summaries.
    Summaries(Vec<KnownSummary>),
    /// Within a site: returns the log index that must be applied before a read.
    ReadIndex,
    /// Within a site, from a process with a new disk: returns the vote that the receiver holds.
    HeldVote,
    /// Within a site: removes all records that a front wrote in incarnations before this one.
    RemoveOlderIncarnations(String, u64),
    /// Within a site: a request to the leader on behalf of a front or process, given by its name and
    /// incarnation.
    Forwarded(String, u64, Box<Request>),
    /// Within a site: a message of the replicated log.
    Log(LogMessage),
}

/// A message of a site's replicated log, in the encoding of the Raft library.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogMessage {
    /// An AppendEntries request.
    Append(Vec<u8>),
    /// A RequestVote request.
    Vote(Vec<u8>),
    /// An InstallSnapshot request, with a part of a snapshot.
    Snapshot(Vec<u8>),
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// A lease, which begins when the holder sent the request.
    LeaseGranted {
        /// The length of the lease by the holder's steady clock, in nanoseconds; 0: no lease.
        for_ns: u64,
        /// The lease is valid once all commands up to this position are applied.
        position: LogPosition,
        /// The next commands that the holder lacks.
        commands: Vec<FleetCommand>,
        /// The id of the site's record store. When it changes, a front must write its records again.
        store_id: u64,
    },
    /// The commands that the holder lacks are no longer retained: the holder must drop all cached answers,
    /// continue from this position and renew its lease at once.
    ResetRequired {
        /// The position to continue from.
        position: LogPosition,
        /// The settings versions that are withdrawn at this position.
        withdrawn: Vec<u64>,
    },
    /// The holder has applied all commands up to this position.
    Applied(LogPosition),
    /// The command is committed at this position.
    Committed(LogPosition),
    /// The progress of purges.
    Progress {
        /// The position of the last command.
        ordered: LogPosition,
        /// The index up to which purges are complete: no process serves an answer that they removed.
        complete: u64,
        /// The names of some holders that have not acknowledged all commands, [`MAX_NAMES`] at most.
        missing: Vec<String>,
        /// The number of holders that have not acknowledged all commands.
        missing_count: u32,
    },
    /// The changes are written and synced to the disks of a quorum.
    Written,
    /// The records that match a query.
    Found {
        /// The records.
        page: Page,
        /// The name of the process that found them.
        process: String,
    },
    /// Updates of summaries.
    Summaries(Vec<SiteSummaryUpdate>),
    /// The log index that must be applied before the read.
    ReadIndex(u64),
    /// The vote that the process holds; `None`: its disk is new.
    HeldVote(Option<LogVote>),
    /// The response of the Raft library, or its error, in the library's encoding.
    Log(Result<Vec<u8>, Vec<u8>>),
    /// The request was carried out.
    Done,
    /// The request was rejected.
    Rejected(RejectReason),
}

/// Why a process has rejected a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Too many concurrent requests: retry after a delay.
    Overloaded {
        /// The retry delay, in milliseconds.
        wait_ms: u32,
    },
    /// The process lags behind its site, or can't determine whether it does.
    Behind,
    /// The process has no lease of its own and therefore grants none.
    NoLease,
    /// A later incarnation of the requester is known.
    Superseded,
    /// The requester has no lease from this site, so its writes are rejected.
    Fenced,
    /// The requester lags too far behind for a lease; the commands that it lacks are sent to it.
    Lagging,
    /// The requester has applied commands that this log does not have.
    Ahead,
    /// The site has no leader.
    NoLeader,
    /// This process does not handle such requests, or not from this requester.
    Unsupported,
    /// The request is malformed, for this reason.
    Malformed(String),
    /// The log, its disk or a connection failed, for this reason.
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
            RejectReason::Malformed(reason) => write!(f, "malformed: {reason}"),
            RejectReason::Failed(reason) => write!(f, "failed: {reason}"),
        }
    }
}

/// The body of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The first message of each end.
    Hello(Hello),
    /// A request, with an id chosen by the requester.
    Request(u64, Request),
    /// The response to the request with this id.
    Answer(u64, Response),
}
