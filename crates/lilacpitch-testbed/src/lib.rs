//! The testbed of lilacpitch: it runs edges, nodes and sites against simulated servers and callers, and
//! checks the messages that crossed the sockets.
//!
//! - [`simulation`]: models of servers and callers, without I/O; time is an argument.
//! - [`record`] and [`call_rules_checker`]: the events observed at the sockets of simulated servers and
//!   callers, and the violations of the five call rules among them.
//! - [`day`]: a scenario as a typed record. [`runner`] runs it with real edge processes on loopback, where
//!   [`edges`] are the fronts and [`standin`] the simulated servers; [`simulated_run`] runs it with the same
//!   core and the same models in virtual time.
//! - [`report`]: service by class, the worst ten seconds, latency.
//! - [`newcomers`]: service of fronts that have restarted, compared with fronts that have run for a while.
//! - [`datagram_relay`]: the network between real fronts, with loss, damage and partitions.
//! - [`simulated_network`]: gossip among fronts in virtual time on a network with loss, damage and
//!   partitions. [`membership`] measures there how soon joins and failures are detected.
//! - [`baseline`]: well-known policies in place of the module; [`bound`]: an upper bound on the service of
//!   any policy; [`compare`]: all of them on the same scenarios.
//! - [`fleet`]: sites and fronts as processes, faults between them, and the checker of the eight guarantees.
//! - [`load`]: the latency that an edge adds to calls, and its use of processor and memory.
//!
//! All figures are those of simulated servers.
#![forbid(unsafe_code)]
#![allow(
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    reason = "tools for tests; see docs/ROADMAP.md"
)]

pub mod baseline;
pub mod bound;
pub mod call_rules_checker;
pub mod compare;
pub mod datagram_relay;
pub mod day;
pub mod edges;
pub mod fleet;
pub mod load;
pub mod membership;
pub mod newcomers;
pub mod record;
pub mod report;
pub mod runner;
pub mod simulated_network;
pub mod simulated_run;
pub mod simulation;
pub mod standin;

mod callers;
