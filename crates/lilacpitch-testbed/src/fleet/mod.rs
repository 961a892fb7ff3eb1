//! The fleet in the testbed: clusters of real processes, faults between them, and the checker of the guarantees.
//!
//! - [`fault_proxy`]: the network between processes: every connection goes through a proxy that holds, delays,
//!   duplicates, reorders, slows and resets, each direction by itself, and records what crosses.
//! - [`cluster`]: sites and fronts as processes, their settings, signals and pages.
//! - [`caller`]: a handset on a socket.
//! - [`scenario`]: steps in a cluster, one after the other.
//! - [`day`]: handsets that move, operators' queries, faults drawn over both.
//! - [`simulated_cluster`]: the same cores in simulated time, sites in tiers and fronts by the hundred.
//! - [`promises_checker`]: the eight guarantees, checked by what was seen at sockets alone.

pub mod caller;
pub mod cluster;
pub mod day;
pub mod fault_proxy;
pub mod promises_checker;
pub mod scenario;
pub mod simulated_cluster;
