//! The laboratory of lilacpitch.
//!
//! - [`model`]: simulated servers and callers, without I/O, in whatever time they are handed.
//! - [`record`] and [`judge`]: what stand-ins saw at their sockets, and the verdict on the five rules from it.
//! - [`day`]: a day as a typed record; [`play`] plays it with real edge processes on loopback,
//!   [`virtual_day`] with the same front and the same models in virtual time.
//! - [`report`]: service by class, the worst ten seconds, latency.
//! - [`newcomers`]: how a front that starts anew does beside warm ones.
//! - [`relay`]: the network between real fronts, which loses, damages and cuts off.
//! - [`network`]: fronts that know each other on a network that loses, delays and cuts off, and [`membership`]: how
//!   they keep view of each other there, as they grow in number.
//! - [`baseline`]: well-known policies in the module's place, [`bound`] what no front could do better, and
//!   [`compare`] all of them on the same days.
//! - [`fleet`]: sites and fronts as processes, faults between them, the judge of the eight promises.
//! - [`load`]: how fast a front is, and what it costs.
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
