//! A process of a site: it keeps the site's location records in a replicated log, grants leases to the fronts and the
//! sites below, passes commands (purges, withdrawals of settings) on to them, and gets its own lease from above.
//!
//! - [`startup`]: starts a process and its tasks; [`process`]: its state; [`cli`]: the command line.
//! - [`log`]: the replicated log, on disk; [`log_membership`]: how a process takes part in it, with a new disk too.
//! - [`request_handler`]: the requests of other processes; [`admin_pages`]: the operator's pages.
//! - [`lease_client`]: its own lease; [`command_log`]: commands downstream; [`ack_reporter`]: acknowledgements upstream.
//! - [`record_store`]: writes, reads, purges, creation and removal of records, behind [`write_queue`] and
//!   [`read_barrier`]; [`summaries`]: which numbers a site has records of.
//!
//! Arrows go one way: `startup` -> tasks -> `process` -> `log` and the queues.
//!
//! **Locks.** [`process::Process`] and [`log::state::SiteState`] name theirs. None is held across an await, nor while
//! another one is taken.
#![forbid(unsafe_code)]

mod ack_reporter;
mod admin_pages;
pub mod cli;
mod clock;
mod command_log;
mod lease_client;
pub mod log;
mod log_membership;
pub mod process;
mod read_barrier;
mod record_store;
mod request_handler;
pub mod startup;
mod summaries;
mod write_queue;
