//! A process of a site: its part of the register and, at the root, of the log of orders; the way between the sites
//! above and the sites and fronts below.
//!
//! - [`log`]: the replicated log of a site, on disk.
//! - [`process`]: what one process is made of; [`serve`]: what it answers.
//! - [`follow`]: leases from above, orders downwards, sums upwards. [`rows`]: writes, reads and what is to be purged for
//!   them. [`summaries`]: summaries from above and below. [`pages`]: what an operator reads.
//!
//! **Locks.** The relay, the holder, the catalogue, the children and what is beside the rows each have one, held
//! neither across an await nor together with another of them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin_pages;
pub mod cli;
pub mod lease_client;
pub mod log;
pub mod process;
pub mod record_store;
pub mod request_handler;
pub mod summaries;
