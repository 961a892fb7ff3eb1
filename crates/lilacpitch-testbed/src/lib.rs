//! The testbed of lilacpitch: it runs edges, nodes and sites against simulated servers and callers, and checks what
//! crossed the sockets.
//!
//! - [`simulation`]: simulated servers and callers, without I/O; time is an argument.
//! - [`record`] and [`call_rules_checker`]: what the stand-ins saw at their sockets, and which of the five rules it violates.
//! - [`day`]: a scenario as a typed record; [`runner`] runs it with real edge processes on loopback, [`simulated_run`]
//!   with the same core and the same models in simulated time.
//! - [`report`]: service by class, the worst ten seconds, latency.
//! - [`newcomers`]: fronts that restart, compared with fronts that have run for a while.
//! - [`datagram_relay`]: the network between real fronts, which loses, damages and cuts off.
//! - [`simulated_network`]: gossip among fronts on a network that loses, delays and cuts off, and [`membership`]: how
//!   soon they notice joins and failures there.
//! - [`baseline`]: well-known policies in the module's place, [`bound`]: what no front could exceed, and
//!   [`compare`]: all of them on the same scenarios.
//! - [`fleet`]: sites and fronts as processes, faults between them, the checker of the eight guarantees.
//! - [`load`]: how fast an edge is, and what it costs.
//!
//! All figures are figures of simulated servers.
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
