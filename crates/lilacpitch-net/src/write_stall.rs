//! Detects peers that read nothing.

use std::time::Duration;
use tokio::time::Instant;

/// Since when a peer has accepted nothing, although too much waits for it.
#[derive(Debug, Default)]
pub struct WriteStall {
    since: Option<Instant>,
}

impl WriteStall {
    /// Returns by when the peer must accept something. `timeout` is how long it may accept nothing; `None` while
    /// not too much waits for it.
    pub fn deadline(&mut self, timeout: Option<Duration>) -> Option<Instant> {
        match timeout {
            Some(timeout) => Some(*self.since.get_or_insert_with(Instant::now) + timeout),
            None => {
                self.reset();
                None
            }
        }
    }

    /// Records that the peer has accepted something, or that nothing was offered to it meanwhile.
    pub fn reset(&mut self) {
        self.since = None;
    }
}
