//! The location service of a site (RFC 3261, section 10): records of where numbers are reached and which calls to them
//! are active, without I/O.
//!
//! - [`record`]: a number, where it is reached or which call to it is active, and since when.
//! - [`query`]: a query for records, with a cursor where there are more than fit.
//! - [`store`]: records in shards by hash of the number, each shard under its own lock.
//! - [`summary`]: which numbers may have records in a shard: a number outside it has none. [`golomb_coded_set`] is its
//!   compact form.
//!
//! **Order of locks.** No function here holds two shards' locks at once, so there is no order to keep; whoever
//! holds a lock of its own may call in here, and nothing here calls out while a shard is locked.
#![forbid(unsafe_code)]

pub mod error;
pub mod golomb_coded_set;
pub mod query;
pub mod record;
pub mod store;
pub mod summary;

/// The locks of [`store`]; a test replaces them by locks that try all orders.
mod sync {
    pub(crate) use parking_lot::RwLock;
}

pub use error::LocationError;
pub use query::{Page, Query, QueryTarget};
pub use record::{Key, Kind, LocationRecord, Number, Owner};
pub use store::LocationStore;
pub use summary::{ShardSummary, ShardUpdate};
