//! A fact about one server, as one front tells it to another.

use crate::sealed_datagram::Refused;
use serde::{Deserialize, Serialize};

/// Most facts in one answer: the servers that matter to a front that starts.
pub const MAX_FACTS: usize = 64;
/// Facts in one datagram, so that it stays below what every path carries.
pub const FACTS_A_DATAGRAM: usize = 8;
/// Longest server name, as in the pool list.
const MAX_NAME_BYTES: usize = 64;
/// Ages and waits past this are refused: an hour.
const MAX_MS: u32 = 3_600_000;
/// More set-ups unanswered or standing at one server are refused.
pub const MAX_SETUPS: u32 = 1_000_000;

/// What a front knows of a server. Names, since ids are each front's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// The server's name in the pool list.
    pub server: String,
    /// How old the newest evidence for this is, in milliseconds.
    pub age_ms: u32,
    /// The wait expected there, in milliseconds.
    pub wait_ms: u32,
    /// Set-ups of this front that are unanswered there.
    pub out: u32,
    /// Set-ups of this front that stood there within the window.
    pub stood: u32,
    /// Taken to be silent.
    pub suspect: bool,
    /// Since when it is cold, in milliseconds ago.
    pub cold_ms: Option<u32>,
    /// Heard to be draining or gone.
    pub drained: bool,
}

impl Fact {
    /// Whether a fact can be one.
    pub fn check(&self) -> Result<(), Refused> {
        let name = &self.server;
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Refused::Malformed("a server's name"));
        }
        if [Some(self.age_ms), Some(self.wait_ms), self.cold_ms].into_iter().flatten().any(|ms| ms > MAX_MS) {
            return Err(Refused::Malformed("an age or a wait of over an hour"));
        }
        if self.out.max(self.stood) > MAX_SETUPS {
            return Err(Refused::Malformed("more set-ups than a front has"));
        }
        Ok(())
    }
}
