//! Building blocks for the I/O layers of lilacpitch's programs: a clock, a timer queue, stall detection, and
//! TCP connections with their queues of outgoing messages.
//!
//! Nothing here depends on a protocol or makes decisions: a [`Codec`] supplies the protocol, and the owner of
//! a [`Connection`] decides what is sent, cancelled and closed.
#![forbid(unsafe_code)]

mod addresses;
mod clock;
mod closing;
mod connection;
mod listener;
mod outbox;
mod queued_bytes;
mod stall;
mod timers;
mod write_stall;

pub use addresses::free_addresses;
pub use clock::{sleep_until, Clock};
pub use closing::{ClosingConnection, DrainQuota};
pub use connection::{
    is_read_closed, Codec, Connection, ConnectionEnd, ConnectionEvent, EndReason, WriteLimits,
};
pub use listener::listen;
pub use outbox::{CancelOutcome, CloseMode, Outbox, OutgoingMessage, QueueSize, WriteProgress};
pub use queued_bytes::QueuedBytes;
pub use stall::StallDetector;
pub use timers::Timers;
pub use write_stall::WriteStall;
