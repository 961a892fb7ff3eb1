//! The protocol by which the processes of a fleet locate numbers and keep cached answers consistent: leases,
//! purge commands, queries and the audit. The crate does no I/O; the current time is an argument.
//!
//! - [`message`]: the messages between processes.
//! - [`frame`]: seals messages and keeps them in order.
//! - [`lease`], [`lease_holder`]: how long cached answers may be used, and which commands must be applied
//!   first.
//! - [`ack_aggregator`]: the parent's side of a lease; grants leases and aggregates acknowledgements of
//!   commands.
//! - [`upstream_selection`]: which process of the parent site is used.
//! - [`log_tail`]: the last commands of the command log.
//! - [`catalogue`]: summaries of the records of each site.
//! - [`locate`]: one query to all sites that may have a matching record.
//! - [`query_dispatcher`]: which process of a site gets a query.
//! - [`concurrency_limit`]: how many queries a process handles concurrently.
//! - [`cache`]: cached answers, which purge commands remove.
//! - [`write_batcher`]: batches of record changes.
//! - [`audit`]: which front acted on which version, and when.
//! - [`disk_loss_recovery`]: when a process with a new disk may take part in its site's log.
//!
//! All decisions use steady clocks, in nanoseconds from an arbitrary origin. Wall-clock times, in
//! milliseconds since 1970, are only for people to read.
//!
//! **Lock order**, which matters in [`cache`] alone: a shard, then the list of recent purges. Never two
//! shards.
#![forbid(unsafe_code)]

pub mod ack_aggregator;
pub mod audit;
pub mod cache;
pub mod catalogue;
pub mod concurrency_limit;
pub mod disk_loss_recovery;
pub mod error;
pub mod frame;
pub mod lease;
pub mod lease_holder;
pub mod locate;
pub mod log_tail;
pub mod message;
pub mod query_dispatcher;
pub mod upstream_selection;
pub mod write_batcher;

/// The lock type of [`cache`]. A test compiles the module with another one, which explores lock orders.
mod sync {
    pub(crate) use parking_lot::Mutex;
}

/// A time on a steady clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// The safeguards behind the fleet's guarantees. Tests switch one off to verify that the testbed's checker
/// detects the violation; they are always on in production. The numbers below are those of the guarantees in
/// the checker's reports.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Guarantee 1: a summary that is too old rules no site out, and a process that lags behind its site
    /// rejects queries.
    pub summary_age: bool,
    /// Guarantee 1: a process with a new disk does not take part in the log before it knows the votes of the
    /// others.
    pub disk_loss: bool,
    /// Guarantee 2: an answer names the sites that could not be reached.
    pub unreached_sites: bool,
    /// Guarantee 3: cached answers are not used after the lease has expired.
    pub cache_leases: bool,
    /// Guarantee 4: an answer that was read before a purge is not cached after it.
    pub stale_fills: bool,
    /// Guarantee 5: a purge is complete only when every lease holder has acknowledged it.
    pub acknowledgements: bool,
    /// Guarantee 6: a holder that lags behind the command log gets no lease.
    pub lagging_holders: bool,
    /// Guarantee 6: writes of a front without a lease are rejected.
    pub write_fencing: bool,
    /// Guarantee 7: a change of version is recorded when it takes effect.
    pub audit_records: bool,
    /// Guarantee 8: queries for calls take precedence over searches.
    pub calls_first: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        let on = true;
        Safeguards {
            summary_age: on,
            disk_loss: on,
            unreached_sites: on,
            cache_leases: on,
            stale_fills: on,
            acknowledgements: on,
            lagging_holders: on,
            write_fencing: on,
            audit_records: on,
            calls_first: on,
        }
    }
}
