//! A report about one server, as one front sends it to another. Received reports are checked.

use crate::sealed_datagram::DatagramError;
use serde::{Deserialize, Serialize};

/// Most reports in one response.
pub const MAX_REPORTS: usize = 64;
/// Most reports in one datagram, so that it stays below the MTU of every path.
pub const REPORTS_PER_DATAGRAM: usize = 8;
/// Longest server name in bytes, the same as in the endpoint list.
const MAX_NAME_BYTES: usize = 64;
/// Longest age or wait that is valid, in milliseconds: an hour.
const MAX_MS: u32 = 3_600_000;
/// Most set-ups in flight or succeeded at one server that are valid.
pub const MAX_SETUPS: u32 = 1_000_000;

/// What a front knows of a server. The server is identified by name, since its id differs from front to
/// front. The order of the fields determines the encoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name in the endpoint list.
    pub server: String,
    /// Age of the newest observation, in milliseconds.
    pub age_ms: u32,
    /// Wait expected at the server, in milliseconds.
    pub wait_ms: u32,
    /// Set-ups of the reporting front in flight at the server.
    pub in_flight: u32,
    /// Set-ups of the reporting front that succeeded at the server within the window.
    pub succeeded: u32,
    /// Whether the front considers the server unresponsive.
    pub is_unresponsive: bool,
    /// How long the server has been warming up, in milliseconds, if it is.
    pub warming_up_for_ms: Option<u32>,
    /// Whether the server is draining or removed.
    pub is_draining: bool,
}

impl ServerReport {
    /// Checks that the name is well-formed and that the numbers are plausible.
    ///
    /// # Errors
    /// [`DatagramError::Malformed`] if not.
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
