//! A report about one server, as one front sends it to another: from data that may be wrong, and so is checked.

use crate::sealed_datagram::DatagramError;
use serde::{Deserialize, Serialize};

/// Most reports in one response: the servers that matter to a front that starts.
pub const MAX_REPORTS: usize = 64;
/// Most reports in one datagram, so that it stays below what every path carries.
pub const REPORTS_PER_DATAGRAM: usize = 8;
/// Longest server name in bytes, as in the endpoint list.
const MAX_NAME_BYTES: usize = 64;
/// Longer ages and waits are rejected: an hour, in milliseconds.
const MAX_MS: u32 = 3_600_000;
/// More set-ups in flight or succeeded at one server are rejected.
pub const MAX_SETUPS: u32 = 1_000_000;

/// What a front knows of a server. Servers are named, since ids are each front's own. The order of fields is that on the
/// wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name in the endpoint list.
    pub server: String,
    /// How old the newest evidence for this is, in milliseconds.
    pub age_ms: u32,
    /// The wait expected there, in milliseconds.
    pub wait_ms: u32,
    /// Set-ups of this front in flight there.
    pub in_flight: u32,
    /// Set-ups of this front that succeeded there within the window.
    pub succeeded: u32,
    /// The server is taken to be unresponsive.
    pub is_unresponsive: bool,
    /// For how long it has been warming up, in milliseconds.
    pub warming_up_for_ms: Option<u32>,
    /// The server is draining or removed.
    pub is_draining: bool,
}

impl ServerReport {
    /// Checks whether the report is possible.
    ///
    /// # Errors
    /// [`DatagramError::Malformed`], where it is not.
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
