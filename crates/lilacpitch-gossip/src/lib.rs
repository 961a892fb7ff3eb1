//! What fronts of one installation tell each other, without I/O: bytes, time and randomness in, effects out.
//!
//! - [`member`]: who is there, by SWIM (Das, Gupta and Motivala, DSN 2002) with suspicion and incarnations; the
//!   protocol is that of the `foca` library, which does no I/O itself.
//! - [`fact`]: what a front knows of servers, as it is told to one that has just started, with its age.
//! - [`seal`]: datagrams sealed with a shared key, so that a stranger's, a changed one or an old one is dropped.
//! - [`peers`]: the three together, and when to ask and to answer.
//!
//! Everything that comes in is data that may be late, wrong or missing: bounded, checked, counted when refused.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod member_id;
pub mod peers;
pub mod rumors;
pub mod sealed_datagram;
pub mod server_report;

pub use member_id::MemberId;
pub use peers::{Counters, Effect, Peers, Requester, Settings};
pub use sealed_datagram::{DatagramError, KeyError, Keys};
pub use server_report::ServerReport;
