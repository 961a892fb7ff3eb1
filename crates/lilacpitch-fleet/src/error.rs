//! What can go wrong in the fleet: a type for each concern, each variant with what an operator can do.

use crate::message::RejectReason;
use miette::Diagnostic;
use thiserror::Error;

/// Why a frame was rejected; its connection ends, and nothing else.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FrameError {
    /// Sealed with no key in force, or changed on its way.
    #[error("not sealed with a key in force")]
    #[diagnostic(
        code(frame::forged),
        help("give both processes the same `key_file`; during a change, both keys to both")
    )]
    Forged,
    /// Longer or shorter than a frame may be.
    #[error("{0} bytes: not a frame")]
    #[diagnostic(code(frame::length), help("see what else speaks to this address; frames are up to 8 MiB"))]
    Length(usize),
    /// Opened, but not of the form.
    #[error("malformed: {0}")]
    #[diagnostic(code(frame::malformed), help("compare the builds at both ends: their forms differ"))]
    Malformed(String),
    /// Doubled, out of order, or of another connection.
    #[error("frame {found} of this connection in place of {wanted}")]
    #[diagnostic(
        code(frame::order),
        help("none needed: the connection is made again; if it goes on, something between replays")
    )]
    Order {
        /// What it said.
        found: u64,
        /// What was next.
        wanted: u64,
    },
    /// The other end speaks another version.
    #[error("version {0} of the links between processes in place of {ours}", ours = crate::message::VERSION)]
    #[diagnostic(
        code(frame::version),
        help("bring the older build up; until then both go on without each other")
    )]
    Version(u16),
}

/// Why a command could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum PurgeError {
    /// Commands are missing before this one.
    #[error("order {found} after {applied}: those between are missing")]
    #[diagnostic(
        code(purge::gap),
        help("none needed: they are asked for; if it goes on, look at the link to the process above")
    )]
    Gap {
        /// The number of the first command received.
        found: u64,
        /// The number of the last command applied.
        applied: u64,
    },
    /// The command is of another log.
    #[error("orders of log {found:x}, log {ours:x} is followed")]
    #[diagnostic(
        code(purge::log),
        help("none needed: a fresh start follows; a new log means that the root site lost orders")
    )]
    Log {
        /// The log of the command.
        found: u64,
        /// The log of this holder.
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
        help("look at the home site and the link to it; calls go on without the cache")
    )]
    Out,
    /// The lease requires a command that is not applied yet.
    #[error("orders up to {needed} are to be applied first, {applied} are")]
    #[diagnostic(
        code(lease::behind),
        help("none needed: the missing orders come; if it goes on, the front has no processor time")
    )]
    Behind {
        /// The command that the lease requires.
        needed: u64,
        /// The last command applied.
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

/// Why a site could not be queried, or a query not be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LocateError {
    /// The process, or the dispatcher, has rejected the query.
    #[error("refused: {0}")]
    #[diagnostic(
        code(locate::refused),
        help("the site is loaded or behind: see its metrics; give it processes or shards")
    )]
    Refused(RejectReason),
    /// No process of the site has responded in time.
    #[error("no answer in time")]
    #[diagnostic(code(locate::late), help("look at the site's processes and at the links to them"))]
    Late,
    /// There is no connection.
    #[error("no connection")]
    #[diagnostic(
        code(locate::unreached),
        help("start the site's processes, or correct their addresses in the settings")
    )]
    Unreached,
    /// Too many queries wait.
    #[error("too many questions wait")]
    #[diagnostic(
        code(locate::full),
        help("fewer searches at once, or a higher `questions` in the front's settings")
    )]
    TooMany,
}

/// What is wrong with an audit record.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum AuditError {
    /// It has too many changes.
    #[error("{0} changes at once")]
    #[diagnostic(
        code(audit::long),
        help("compare the builds: an older one may send more than a newer one takes")
    )]
    Long(usize),
    /// A change is out of order.
    #[error("change {found} after {known} of one life")]
    #[diagnostic(code(audit::order), help("two fronts run under one name: give each its own"))]
    Order {
        /// What came.
        found: u64,
        /// What was known.
        known: u64,
    },
    /// The moment of a query is none.
    #[error("moment {0:?}: not milliseconds since 1970")]
    #[diagnostic(code(audit::moment), help("ask as /audit?at=1796083200000"))]
    Moment(String),
}

/// Why a site's log has failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LogError {
    /// The disk refused a write or a read.
    #[error("disk: {0}")]
    #[diagnostic(
        code(log::disk),
        help("free space on the data folder's disk or mend it, then start the process again")
    )]
    Disk(String),
    /// What is on disk can't be read.
    #[error("{path}: {what}")]
    #[diagnostic(
        code(log::damaged),
        help("move the data folder away: the process fetches all from the others, or starts empty if alone")
    )]
    Damaged {
        /// The file or folder.
        path: String,
        /// The reason.
        what: String,
    },
    /// The folder is of another site or process.
    #[error("{path}: of {found}, this is {ours}")]
    #[diagnostic(code(log::foreign), help("give this process its own `data` folder"))]
    Foreign {
        /// The folder.
        path: String,
        /// Its owner.
        found: String,
        /// The process that opened it.
        ours: String,
    },
}
