//! The register of numbers that a site holds, without I/O.
//!
//! - [`row`]: a number, where it is reached or which call stands there, and since when.
//! - [`query`]: a question over rows, with a cursor where there are more than fit.
//! - [`register`]: rows in shards by hash of the number, each shard under its own lock.
//! - [`summary`]: what a site says of a shard: no number outside it has a row there. It may only err towards
//!   asking. [`gcs`] is its compact form.
//!
//! **Order of locks.** No function here holds two shards' locks at once, so there is no order to keep; whoever
//! holds a lock of its own may call in here, and nothing here calls out while a shard is locked.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod error;
pub mod golomb_coded_set;
pub mod query;
pub mod record;
pub mod store;
pub mod summary;

/// The locks of [`register`]; a test puts others in their place that try all orders.
mod sync {
    pub use parking_lot::RwLock;
}

pub use error::LocationError;
pub use query::{Page, Query, QueryTarget};
pub use record::{Key, Kind, LocationRecord, Number, Owner};
pub use store::LocationStore;
pub use summary::{ShardSummary, ShardUpdate};
