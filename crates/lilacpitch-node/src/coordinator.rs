//! The coordinator's protocol: numbered events about the endpoint list, as JSON.
//!
//! A poll names the last event received, and its response carries the events after that one.
//! [`EventFollower`] keeps this number, drops events that it has already returned, and requests the complete
//! list after a gap. No I/O; polls are made in [`crate::net`].

use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// A response of the coordinator is not JSON, or lacks a field.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct PollResponseError(#[from] serde_json::Error);

/// The response to a poll: the events after the one that the poll named.
#[derive(Debug, Clone, Deserialize)]
pub struct PollResponse {
    /// Number of the coordinator's latest event.
    pub index: u64,
    /// The events, in ascending order of their numbers.
    #[serde(default)]
    pub updates: Vec<Update>,
}

/// An event of the coordinator.
#[derive(Debug, Clone, Deserialize)]
pub struct Update {
    /// Number of the event, from 1.
    pub index: u64,
    /// The servers that it lists.
    pub endpoints: Endpoints,
}

/// The servers that an event lists.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Whether the list is complete; else it holds only servers that have changed.
    pub all: bool,
    /// The servers.
    pub targets: Vec<Target>,
}

/// Whether a server accepts set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts set-ups.
    InService,
    /// Draining: completes its calls and accepts no set-ups.
    Terminating,
    /// Removed from service.
    Terminated,
}

/// A server of the endpoint list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Target {
    /// Its id, never reused for another server.
    pub uid: String,
    /// Its address, which may later be another server's.
    pub endpoint: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub az: String,
    /// Its number, by which calls name their first choice of server.
    pub pod_group: u32,
    /// Whether it accepts set-ups.
    pub state: State,
    /// When it started, in Unix milliseconds; 0 if unknown, which counts as long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// Parses a response.
///
/// # Errors
/// Returns an error if the text is not JSON, or lacks a field.
pub fn parse_response(text: &str) -> Result<PollResponse, PollResponseError> {
    Ok(serde_json::from_str(text)?)
}

/// Selects the new events of each response, by the number of the last event received.
#[derive(Debug, Default)]
pub struct EventFollower {
    index: u64,
}

impl EventFollower {
    /// Returns the number of the last event received, for the next poll; 0 requests the complete list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the new events of a response to a poll for the events after `after_index` that arrived after a
    /// later poll was sent. Unless nothing has been received since, it counts only if it is newer.
    pub fn accept_late(&mut self, after_index: u64, response: PollResponse) -> Vec<Endpoints> {
        if after_index != self.index && response.index <= self.index {
            return Vec::new();
        }
        self.accept(response)
    }

    /// Returns the new events of a response, in order.
    ///
    /// After a gap in the numbers, unless the next event is a complete list, the rest of the response is
    /// dropped and the next poll requests the complete list. It does so too if the coordinator's latest
    /// number is lower than before, since the coordinator was restarted.
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
