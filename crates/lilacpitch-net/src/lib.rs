//! What the shells around lilacpitch's cores share: the clock, the timer queue, stall detection, and connections
//! with their outboxes.
//!
//! Nothing here knows a protocol or decides anything: a [`Codec`] brings the protocol, and the owner of a
//! [`Connection`] decides what is sent, cancelled and closed.
#![forbid(unsafe_code)]

mod addresses;
mod clock;
mod closing;
mod connection;
mod outbox;
mod stall;
mod timers;

pub use addresses::free_addresses;
pub use clock::Clock;
pub use closing::{ClosingConnection, DrainQuota};
pub use connection::{Codec, Connection, ConnectionEnd, ConnectionEvent, EndReason};
pub use outbox::{CancelOutcome, CloseMode, Outbox, OutgoingMessage, QueueSize, WriteProgress};
pub use stall::StallDetector;
pub use timers::Timers;
