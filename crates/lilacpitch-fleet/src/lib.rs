//! How the processes of a fleet keep their caches true: leases, purges, locates and the audit, without I/O. Time is an
//! argument.
//!
//! - [`message`]: the messages between processes; [`frame`]: how they are sealed and kept in order.
//! - [`lease`], [`lease_holder`]: until when cached answers may be used, and which commands that requires.
//! - [`ack_aggregator`]: the parent's side: grants leases, passes commands on, aggregates acknowledgements.
//! - [`upstream_selection`]: which process of the parent site is used. [`log_tail`]: the last commands.
//! - [`catalogue`]: summaries of sites; [`locate`]: one query to those that may have a match; [`query_dispatcher`]: which
//!   process of a site gets it; [`concurrency_limit`]: how many a process works on at once.
//! - [`cache`]: cached answers, never filled with what was read before a purge.
//! - [`write_batcher`]: batches of record changes. [`audit`]: who acted on which version, and when.
//! - [`disk_loss_recovery`]: when a process with a new disk takes part in its site's log.
//!
//! Decisions use steady clocks only, in nanoseconds from an arbitrary origin. Moments that people read are milliseconds
//! since 1970, and decide nothing.
//!
//! **Order of locks**, in [`cache`] alone: a shard, then the list of recent purges. Never two shards.
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

/// The locks of [`cache`]; a test puts others in their place that try all orders.
mod sync {
    pub(crate) use parking_lot::Mutex;
}

/// A moment on a steady clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// Safeguards of the guarantees, which a test switches off to see that the checker notices. Never off in a program.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Guarantee 1: a summary that is too old rules nothing out, and a process that lags behind its site rejects queries.
    pub summary_age: bool,
    /// Guarantee 1: a process with a new disk takes no part in the log before it knows the votes of the others.
    pub disk_loss: bool,
    /// Guarantee 2: sites that were not reached are named.
    pub unreached_sites: bool,
    /// Guarantee 3: cached answers end with the lease.
    pub cache_leases: bool,
    /// Guarantee 4: what was read before a purge fills nothing after it.
    pub stale_fills: bool,
    /// Guarantee 5: acknowledgements are counted.
    pub acknowledgements: bool,
    /// Guarantee 6: lagging holders get no lease.
    pub lagging_holders: bool,
    /// Guarantee 6: writes without a lease are refused.
    pub write_fencing: bool,
    /// Guarantee 7: changes of version are recorded when they happen.
    pub audit_records: bool,
    /// Guarantee 8: calls take precedence over searches.
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
