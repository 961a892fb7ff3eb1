//! The errors of the fleet, with one type for each concern. Each variant has a help text for operators.

use crate::message::RejectReason;
use miette::Diagnostic;
use thiserror::Error;

/// Why a frame was rejected. The error ends the frame's own connection and no other.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FrameError {
    /// The frame was not sealed with a key in force, or was changed on the way.
    #[error("not sealed with a key in force")]
    #[diagnostic(
        code(frame::forged),
        help(
            "give both processes the same `key_file`; while a key is replaced, give both of them both keys"
        )
    )]
    Forged,
    /// The frame is longer than allowed; its length in bytes.
    #[error("frame of {0} bytes is too long")]
    #[diagnostic(
        code(frame::length),
        help("check what else connects to this address; frames have 8 MiB at most")
    )]
    Length(usize),
    /// The frame was opened, but its content can't be decoded or is not allowed at this point.
    #[error("malformed frame: {0}")]
    #[diagnostic(
        code(frame::malformed),
        help("compare the builds at both ends: their message formats differ")
    )]
    Malformed(String),
    /// The frame is a duplicate, out of order, or of another connection.
    #[error("frame {found} received, frame {expected} of this connection expected")]
    #[diagnostic(
        code(frame::order),
        help("no action needed: the connection is reopened; if this persists, something replays frames")
    )]
    OutOfOrder {
        /// The number in the frame.
        found: u64,
        /// The number of the next frame.
        expected: u64,
    },
    /// The other end uses this other version of the message format.
    #[error("message format version {0}, {ours} expected", ours = crate::message::VERSION)]
    #[diagnostic(
        code(frame::version),
        help("upgrade the older build; until then the two processes run without a connection to each other")
    )]
    Version(u16),
}

/// Why a command could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum PurgeError {
    /// Commands between the last one applied and this one are missing.
    #[error("command {found} received after command {applied}: commands between them are missing")]
    #[diagnostic(
        code(purge::gap),
        help("no action needed: they are requested; if this persists, check the connection to the parent")
    )]
    Gap {
        /// The number of the first command received.
        found: u64,
        /// The number of the last command applied.
        applied: u64,
    },
    /// The command is of another log.
    #[error("commands of log {found:x} received, commands of log {ours:x} expected")]
    #[diagnostic(
        code(purge::log),
        help("no action needed: a reset follows; a new log means that the root site has lost commands")
    )]
    OtherLog {
        /// The id of the command's log.
        found: u64,
        /// The id of this holder's log.
        ours: u64,
    },
}

/// Why cached answers may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub enum LeaseError {
    /// The lease was never granted, or has expired.
    #[error("no lease")]
    #[diagnostic(
        code(lease::out),
        help("check the home site and the connection to it; calls continue without the cache")
    )]
    Expired,
    /// The lease requires a command that is not applied yet.
    #[error("the lease requires the commands up to {required}, those up to {applied} are applied")]
    #[diagnostic(
        code(lease::behind),
        help("no action needed: missing commands follow; if this persists, the front lacks processor time")
    )]
    Behind {
        /// The number of the last command that the lease requires.
        required: u64,
        /// The number of the last command applied.
        applied: u64,
    },
    /// The settings version is withdrawn.
    #[error("the settings version of this front is withdrawn")]
    #[diagnostic(
        code(lease::withdrawn),
        help("start the front with settings that are in force, or reinstate the version")
    )]
    Withdrawn,
}

/// Why a query to a site failed, or was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LocateError {
    /// The process or the dispatcher rejected the query.
    #[error("refused: {0}")]
    #[diagnostic(
        code(locate::refused),
        help("the site is overloaded or lags behind: check its metrics; give it more processes or shards")
    )]
    Refused(RejectReason),
    /// No process of the site responded in time.
    #[error("no answer in time")]
    #[diagnostic(code(locate::late), help("check the site's processes and the connections to them"))]
    Late,
    /// There is no connection to any process of the site.
    #[error("no connection")]
    #[diagnostic(
        code(locate::unreached),
        help("start the site's processes, or correct their addresses in the settings")
    )]
    Unreached,
    /// Too many queries are waiting.
    #[error("too many queries are waiting")]
    #[diagnostic(
        code(locate::full),
        help("run fewer searches at once, or set a higher `questions` in the front's settings")
    )]
    TooMany,
}

/// Why an audit record, or a request for the audit page, is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum AuditError {
    /// The record contains too many changes; their number.
    #[error("{0} changes in one record")]
    #[diagnostic(
        code(audit::long),
        help("compare the builds: an older one may send more changes than a newer one accepts")
    )]
    TooManyChanges(usize),
    /// The changes are not in ascending order.
    #[error("change {found} after change {known} of the same incarnation")]
    #[diagnostic(code(audit::order), help("two fronts run under one name: give each its own name"))]
    OutOfOrder {
        /// The number of the change.
        found: u64,
        /// The number of the change before it.
        known: u64,
    },
    /// The time in a request for the audit page is invalid.
    #[error("moment {0:?}: not milliseconds since 1970")]
    #[diagnostic(code(audit::moment), help("request a page such as /audit?at=1796083200000"))]
    InvalidTime(String),
}

/// Why a site's replicated log failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LogError {
    /// The disk failed on a read or a write, or the log stopped for another reason.
    #[error("disk: {0}")]
    #[diagnostic(
        code(log::disk),
        help("free space on the data folder's disk or repair it, then start the process again")
    )]
    Disk(String),
    /// A file or folder on disk can't be read.
    #[error("{path}: {reason}")]
    #[diagnostic(
        code(log::damaged),
        help(
            "move the data folder away: the process gets all data from the others, or starts empty if alone"
        )
    )]
    Damaged {
        /// The path of the file or folder.
        path: String,
        /// Why it can't be read.
        reason: String,
    },
    /// The data folder belongs to another site or process.
    #[error("{path}: of {found}, this is {ours}")]
    #[diagnostic(code(log::foreign), help("give this process its own `data` folder"))]
    Foreign {
        /// The path of the folder.
        path: String,
        /// The owner of the folder, as site, index and name.
        found: String,
        /// The process that opened the folder, in the same form.
        ours: String,
    },
}
