//! The fleet: how many processes keep one another right, without I/O; time is an argument.
//!
//! - [`message`]: what crosses the links between processes; [`frame`]: how it is sealed and kept in order.
//! - [`lease`] and [`holder`]: until when what is cached may be used, and up to which purge it is true.
//! - [`upward`]: which process above is followed.
//! - [`relay`]: a process with others below it: grants leases, passes orders on, counts acknowledgements.
//! - [`gather`]: which row changes of a front go at once and which together.
//! - [`rejoin`]: when a process with a new disk takes part in its site's log.
//! - [`room`]: how many questions a process works on at once, calls before searches.
//! - [`window`]: the orders kept for who missed some.
//! - [`catalogue`]: summaries of sites, and which of them could hold a number; [`locate`]: one question to those.
//! - [`asker`]: which process of a site gets a question and whether again: the module decides, as for calls.
//! - [`cache`]: answers in shards, purged by order, never filled with what was read before a purge.
//! - [`audit`]: who acted on which version, and when.
//!
//! Steady clocks only, in nanoseconds from anywhere, but for moments that people read: those are milliseconds
//! since 1970 and decide nothing.
//!
//! **Order of locks**, in [`cache`] alone: a shard, then the list of recent purges. Never two shards.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
    pub use parking_lot::Mutex;
}

/// A moment on a steady clock, or a span, in nanoseconds.
pub type Nanos = u64;

/// Guards that a test may switch off to see that the judge of the promises notices. Never off in a program.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Promise 1: a summary that is too old rules nothing out, and a process behind its site says so.
    pub summary_age: bool,
    /// Promise 1: a process with a new disk takes no part before it has heard what its former one may have promised.
    pub disk_loss: bool,
    /// Promise 2: who was not reached is named.
    pub unreached_sites: bool,
    /// Promise 3: cached answers end with the lease.
    pub cache_leases: bool,
    /// Promise 4: what was read before a purge fills nothing after it.
    pub stale_fills: bool,
    /// Promise 5: acknowledgements are counted.
    pub acknowledgements: bool,
    /// Promise 6: stragglers get no lease.
    pub lagging_holders: bool,
    /// Promise 6: writes without a lease are refused.
    pub write_fencing: bool,
    /// Promise 7: changes of version are recorded when they happen.
    pub audit_records: bool,
    /// Promise 8: calls wait no longer than their share.
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
