//! What the shells around lilacpitch's cores share: the clock, the timer queue, and the sight of standstills.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod addresses;
mod clock;
mod standstill;
mod timers;

pub use addresses::free_addresses;
pub use clock::Clock;
pub use standstill::Standstill;
pub use timers::Timers;
