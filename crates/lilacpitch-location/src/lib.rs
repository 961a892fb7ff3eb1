//! The location service of a site (RFC 3261, section 10): records of where numbers are reached and which
//! calls to them are active, without I/O.
//!
//! - [`record`]: a number, where it is reached or which call to it is active, and since when.
//! - [`query`]: a query for records, and pages of results with a cursor.
//! - [`store`]: records in shards by hash of the number, each shard under its own lock.
//! - [`summary`]: a set that contains every number with records in a shard, and some without;
//!   [`golomb_coded_set`] is its compact form.
//!
//! **Order of locks.** No function of this crate holds the locks of two shards at once, so they need no
//! order. None calls foreign code while a shard is locked, so callers may hold locks of their own.
#![forbid(unsafe_code)]

pub mod error;
pub mod golomb_coded_set;
pub mod query;
pub mod record;
pub mod store;
pub mod summary;

/// The locks of [`store`]. `tests/orders.rs` replaces them by locks whose interleavings are explored.
mod sync {
    pub(crate) use parking_lot::RwLock;
}

pub use error::LocationError;
pub use query::{Page, Query, QueryTarget};
pub use record::{Key, Kind, LocationRecord, Number, Owner};
pub use store::LocationStore;
pub use summary::{ShardSummary, ShardUpdate};
