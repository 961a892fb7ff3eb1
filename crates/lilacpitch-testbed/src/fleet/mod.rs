//! The fleet in the laboratory: real processes by the dozen, faults between them, and the judge of the promises.
//!
//! - [`wire`]: the network between processes: every connection goes through a relay that holds, delays, doubles,
//!   swaps, slows and resets, each direction by itself, and reads what crosses.
//! - [`town`]: sites and fronts as processes, their settings, signals and pages.
//! - [`caller`]: a handset on a socket.
//! - [`scene`]: one thing after the other in a town.
//! - [`day`]: handsets that move, people who look, faults drawn over both.
//! - [`virtual_town`]: the same cores in virtual time, sites in tiers and fronts by the hundred.
//! - [`judge`]: the eight promises, judged by what was seen at sockets alone.

pub mod caller;
pub mod cluster;
pub mod day;
pub mod fault_proxy;
pub mod promises_checker;
pub mod scenario;
pub mod simulated_cluster;
