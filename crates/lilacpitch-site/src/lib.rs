//! A process of a site, which stores location records. Its processes replicate the records in a Raft log on
//! disk. Each process grants leases to the fronts and the sites below, forwards commands (purges, withdrawals
//! of settings) to them, and holds a lease from the site above.
//!
//! - [`cli`]: the command line.
//! - [`startup`]: starts a process and its tasks.
//! - [`process`]: the state that the tasks share.
//! - [`log`]: the replicated log and the state that it builds.
//! - [`log_membership`]: joins the replicated log, also after the loss of the disk.
//! - [`request_handler`]: handles the requests of other processes.
//! - [`admin_pages`]: the HTTP pages for operators.
//! - [`lease_client`]: renews this process's own lease.
//! - [`command_log`]: forwards commands to the processes below.
//! - [`ack_reporter`]: reports acknowledgements of commands to the process above.
//! - [`record_store`]: tasks that write, read, purge, create and remove location records.
//! - [`write_queue`], [`read_barrier`]: the queues of these tasks.
//! - [`summaries`]: exchanges summaries of location records with other sites.
//!
//! Dependencies point in one direction: `startup`, then the tasks, then `process`, then `log` and the queues.
//!
//! **Locks.** The locks are those of [`process::Process`] and [`log::state::SiteState`]. None is held across
//! an await. One rule of [`process`] says which two may be held together.
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
mod task_limit;
mod write_queue;
