//! The coordinator's numbered events: from its answers to news of the list.

use serde::Deserialize;
use std::net::SocketAddr;

/// An answer: the events after the one that was asked for.
#[derive(Debug, Clone, Deserialize)]
pub struct Told {
    /// The number of the last event there is.
    pub index: u64,
    /// The events, in their order.
    #[serde(default)]
    pub updates: Vec<Update>,
}

/// One event.
#[derive(Debug, Clone, Deserialize)]
pub struct Update {
    /// Its number, from 1.
    pub index: u64,
    /// The servers it tells of.
    pub endpoints: Endpoints,
}

/// Servers of an event.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Whether this is the whole list, else what has changed.
    pub all: bool,
    /// The servers.
    pub targets: Vec<Target>,
}

/// Whether a server may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes set-ups.
    InService,
    /// Finishes what it has.
    Terminating,
    /// Gone.
    Terminated,
}

/// A server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Target {
    /// Its id: never another server's.
    pub uid: String,
    /// Its address, which may be another server's later.
    pub endpoint: SocketAddr,
    /// The name of its zone.
    #[serde(default)]
    pub az: String,
    /// Its number, which calls name as first choice.
    pub pod_group: u32,
    /// Whether it may be used.
    pub state: State,
    /// When it started, in Unix milliseconds; 0: long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// Reads an answer.
pub fn told(text: &str) -> Result<Told, String> {
    serde_json::from_str(text).map_err(|e| e.to_string())
}

/// What is known of the coordinator's events.
#[derive(Debug, Default)]
pub struct Follower {
    index: u64,
}

impl Follower {
    /// The number of the last event in hand: what to ask after.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Takes an answer and returns its new events, in order. After a gap the answer's rest is left, and the whole
    /// list is asked for; an index that goes back means that the numbers began anew, and so does this.
    pub fn take(&mut self, told: Told) -> Vec<Endpoints> {
        let mut news = Vec::new();
        for update in told.updates {
            if update.index <= self.index {
                continue;
            }
            if update.index > self.index + 1 && !update.endpoints.all {
                self.index = 0;
                return news;
            }
            self.index = update.index;
            news.push(update.endpoints);
        }
        if told.index < self.index {
            self.index = 0;
        }
        news
    }
}
