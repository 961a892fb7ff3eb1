//! Gossip between the fronts of one installation, without I/O: bytes, time and randomness in, effects out.
//!
//! - [`member_id`]: the identity of a front. Membership is SWIM (Das, Gupta and Motivala, DSN 2002) with
//!   suspicion and incarnations, implemented by the `foca` library, which does no I/O itself.
//! - [`server_report`]: what a front knows of a server, sent on request to a front that has just started;
//!   [`rumors`]: the same, spread to all fronts.
//! - [`sealed_datagram`]: encryption and authentication of datagrams with a shared key, and protection
//!   against replays.
//! - [`peers`]: the state machine that combines these.
//!
//! Incoming data may be late, wrong or missing. It is checked and limited in size and rate, and what is
//! rejected is counted by reason.
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
