//! A fact about one server, as one front tells it to another.

use crate::sealed_datagram::DatagramError;
use serde::{Deserialize, Serialize};

/// Most facts in one answer: the servers that matter to a front that starts.
pub const MAX_REPORTS: usize = 64;
/// Facts in one datagram, so that it stays below what every path carries.
pub const REPORTS_PER_DATAGRAM: usize = 8;
/// Longest server name, as in the pool list.
const MAX_NAME_BYTES: usize = 64;
/// Ages and waits past this are refused: an hour.
const MAX_MS: u32 = 3_600_000;
/// More set-ups unanswered or standing at one server are refused.
pub const MAX_SETUPS: u32 = 1_000_000;

/// What a front knows of a server. Names, since ids are each front's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name in the pool list.
    pub server: String,
    /// How old the newest evidence for this is, in milliseconds.
    pub age_ms: u32,
    /// The wait expected there, in milliseconds.
    pub wait_ms: u32,
    /// Set-ups of this front that are unanswered there.
    pub in_flight: u32,
    /// Set-ups of this front that stood there within the window.
    pub succeeded: u32,
    /// Taken to be silent.
    pub is_unresponsive: bool,
    /// Since when it is cold, in milliseconds ago.
    pub warming_up_for_ms: Option<u32>,
    /// Heard to be draining or gone.
    pub is_draining: bool,
}

impl ServerReport {
    /// Whether a fact can be one.
    pub fn check(&self) -> Result<(), DatagramError> {
        let name = &self.server;
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(DatagramError::Malformed("a server's name"));
        }
        if [Some(self.age_ms), Some(self.wait_ms), self.warming_up_for_ms]
            .into_iter()
            .flatten()
            .any(|ms| ms > MAX_MS)
        {
            return Err(DatagramError::Malformed("an age or a wait of over an hour"));
        }
        if self.in_flight.max(self.succeeded) > MAX_SETUPS {
            return Err(DatagramError::Malformed("more set-ups than a front has"));
        }
        Ok(())
    }
}
