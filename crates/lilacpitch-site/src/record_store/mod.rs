//! The tasks that maintain a site's location records, which are the state of its replicated log.
//!
//! - [`writes`]: writes batches of changes to the log.
//! - [`reads`]: linearizable reads.
//! - [`purges`]: submits purges of the numbers that have changed to the root.
//! - [`creation`]: creates an empty store and marks it as ready.
//! - [`removal`]: removes the records of fronts that no longer run.

pub(crate) mod creation;
pub(crate) mod purges;
pub(crate) mod reads;
pub(crate) mod removal;
pub(crate) mod writes;

use std::time::Duration;

/// The delay after which a task of this module retries.
const RETRY_DELAY: Duration = Duration::from_millis(50);
