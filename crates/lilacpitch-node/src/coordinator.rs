//! The coordinator's protocol: numbered events about the list of servers, as JSON.
//!
//! A poll names the last event in hand, and the response carries those after it. [`EventFollower`] keeps that
//! number, drops events it has had and starts over after a gap. No I/O; requests are made in [`crate::net`].

use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a response of the coordinator can't be read: not JSON of the agreed form. Look at what the coordinator sends.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct PollResponseError(#[from] serde_json::Error);

/// A response to a poll: the events after the one that the poll named.
#[derive(Debug, Clone, Deserialize)]
pub struct PollResponse {
    /// Number of the coordinator's last event.
    pub index: u64,
    /// The events, in ascending order of their numbers.
    #[serde(default)]
    pub updates: Vec<Update>,
}

/// One event.
#[derive(Debug, Clone, Deserialize)]
pub struct Update {
    /// Its number, from 1.
    pub index: u64,
    /// The servers it is about.
    pub endpoints: Endpoints,
}

/// The servers of an event.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Whether this is the complete list; else only what has changed.
    pub all: bool,
    /// The servers.
    pub targets: Vec<Target>,
}

/// Whether a server may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts set-ups.
    InService,
    /// Draining: finishes its calls and accepts no more.
    Terminating,
    /// Removed.
    Terminated,
}

/// A server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Target {
    /// Its id, never reused for another server.
    pub uid: String,
    /// Its address, which another server may have later.
    pub endpoint: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub az: String,
    /// Its number, which calls name as first choice.
    pub pod_group: u32,
    /// Whether it may be used.
    pub state: State,
    /// When it started, in Unix milliseconds; 0 where unknown, which counts as long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// Parses a response.
///
/// # Errors
/// Where the text is not JSON of the agreed form.
pub fn parse_response(text: &str) -> Result<PollResponse, PollResponseError> {
    Ok(serde_json::from_str(text)?)
}

/// Keeps the number of the last event in hand.
#[derive(Debug, Default)]
pub struct EventFollower {
    index: u64,
}

impl EventFollower {
    /// Number of the last event in hand, for the next poll; 0 asks for the complete list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the new events of a response, in order. After a gap the rest of the response is dropped and the next
    /// poll asks for the complete list, as it does where the coordinator's own number went back (it was restarted).
    pub fn accept(&mut self, response: PollResponse) -> Vec<Endpoints> {
        let mut events = Vec::new();
        for update in response.updates {
            if update.index <= self.index {
                continue;
            }
            if update.index > self.index + 1 && !update.endpoints.all {
                self.index = 0;
                return events;
            }
            self.index = update.index;
            events.push(update.endpoints);
        }
        if response.index < self.index {
            self.index = 0;
        }
        events
    }
}
