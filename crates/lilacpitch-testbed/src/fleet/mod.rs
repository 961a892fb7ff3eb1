//! The fleet in the testbed: clusters of real processes, faults between them, and the checker of the
//! guarantees.
//!
//! - [`fault_proxy`]: a proxy for all connections between processes that holds, delays, duplicates, reorders,
//!   slows and resets each direction separately, and records the frames that pass.
//! - [`cluster`]: sites and fronts as processes, their settings, signals and pages.
//! - [`caller`]: a blocking client connection of a handset.
//! - [`scenario`]: scripted steps in a cluster, with the recording that the checker needs.
//! - [`day`]: a run with moving handsets, operators' queries and randomly drawn faults.
//! - [`simulated_cluster`]: the same cores in simulated time, sites in tiers and fronts by the hundred.
//! - [`promises_checker`]: checks the fleet's guarantees using only recorded frames and admin pages.

pub mod caller;
pub mod cluster;
pub mod day;
pub mod fault_proxy;
pub mod promises_checker;
pub mod scenario;
pub mod simulated_cluster;
