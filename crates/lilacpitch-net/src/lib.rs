//! What the shells around lilacpitch's cores share: the clock, the timer queue, the sight of stalls,
//! and connections with what waits to be written on them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod addresses;
mod clock;
mod connection;
mod outbox;
mod stall;
mod timers;

pub use addresses::free_addresses;
pub use clock::Clock;
pub use connection::{Codec, Connection, Draining, Ended, Heard, Rest};
pub use outbox::{End, Outbox, Outgoing, TakenBack, Wrote};
pub use stall::StallDetector;
pub use timers::Timers;
