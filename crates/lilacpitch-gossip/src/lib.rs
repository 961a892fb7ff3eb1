//! Gossip between the fronts of one installation, without I/O: bytes, time and randomness in, effects out.
//!
//! - [`member_id`]: who a front is. Membership is SWIM (Das, Gupta and Motivala, DSN 2002) with suspicion and
//!   incarnations, by the `foca` library, which does no I/O itself.
//! - [`server_report`]: what a front knows of a server, for a front that has just started; [`rumors`]: the same, spread
//!   to all.
//! - [`sealed_datagram`]: datagrams sealed with a shared key, so that one that is foreign, changed or old is rejected.
//! - [`peers`]: the state machine of all of this.
//!
//! Everything that comes in may be late, wrong or missing: it is bounded, checked, and counted where it is rejected.
#![forbid(unsafe_code)]

pub mod member_id;
pub mod peers;
pub mod rumors;
pub mod sealed_datagram;
pub mod server_report;

pub use member_id::MemberId;
pub use peers::{Counters, Effect, Peers, Requester, Settings};
pub use sealed_datagram::{DatagramError, KeyError, Keys};
pub use server_report::ServerReport;
