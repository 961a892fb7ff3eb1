//! The tasks around a site's location records, which are kept by its replicated log.
//!
//! - [`writes`]: batches of changes into the log; [`reads`]: reads that see everything acknowledged before them.
//! - [`purges`]: has the root purge the numbers whose records have changed.
//! - [`creation`]: creates an empty store and tells when it can be relied on; [`removal`]: removes the records of
//!   fronts that are gone.

pub(crate) mod creation;
pub(crate) mod purges;
pub(crate) mod reads;
pub(crate) mod removal;
pub(crate) mod writes;

use std::time::Duration;

/// The delay before a task of this module retries.
const RETRY_DELAY: Duration = Duration::from_millis(50);
