//! What a node is told at its start: a name, a place to listen, a file.

use crate::coordinator::{self, Told};
use lilacpitch::settings::Site;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable of the environment is missing or wrong.
    #[error("{0}: {1}")]
    Variable(&'static str, String),
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// Something in the file: file, field, cause.
    #[error("{0}: {1}: {2}")]
    Field(String, String, String),
}

/// Limits on the whole node.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold, in MB.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// How many connections of each kind a node may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Of callers.
    pub callers: usize,
    /// Of callers and servers, that are over and wait for the other end to read what was said last.
    pub draining: usize,
    /// To servers, beyond one each.
    pub links: usize,
}

/// Descriptors that are neither callers' nor servers': the runtime's own, the listener, the coordinator, spare.
const OTHER_SOCKETS: usize = 32;
/// One in so many descriptors is for servers.
const SERVERS_PART: usize = 8;
/// One in so many of the others is for connections that are over.
const DRAINING_PART: usize = 8;
/// A node of fewer descriptors could not serve beside what it keeps back.
const LEAST_SOCKETS: usize = 2 * OTHER_SOCKETS;
/// What a node holds with nobody there, and more.
const LEAST_MEMORY_MB: u64 = 8;
/// What callers' connections may hold, by halves of the memory: a message that is not whole, and answers unread.
const CALLER_KB: u64 = 32;

impl Limits {
    /// The descriptors by who is to have them: what one takes must not starve another.
    pub fn budget(&self) -> Budget {
        let links = self.sockets / SERVERS_PART;
        let rest = self.sockets.saturating_sub(links).saturating_sub(OTHER_SOCKETS);
        let draining = rest / DRAINING_PART;
        let by_memory = self.memory_mb.map_or(u64::MAX, |mb| mb.saturating_mul(1024) / 2 / CALLER_KB);
        let callers = (rest - draining).min(usize::try_from(by_memory).unwrap_or(usize::MAX));
        Budget { callers, draining, links }
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        if self.sockets < LEAST_SOCKETS {
            return Err(("limits.sockets", format!("a node needs {LEAST_SOCKETS} at least")));
        }
        match self.memory_mb {
            Some(mb) if mb < LEAST_MEMORY_MB => {
                Err(("limits.memory_mb", format!("a node needs {LEAST_MEMORY_MB} at least")))
            }
            _ => Ok(()),
        }
    }
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    coordinator: SocketAddr,
    known: Value,
    settings: Value,
}

/// A configuration that can be used.
#[derive(Debug, Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Limits on the whole node.
    pub limits: Limits,
    /// Where the coordinator is.
    pub coordinator: SocketAddr,
    /// The coordinator's events so far.
    pub known: Told,
    /// The settings.
    pub site: Site,
}

impl Config {
    /// Reads the file, which says all that the variables of the environment say.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::File(path.into(), e))?;
        Config::read(path, &text)
    }

    /// Reads the text of a file.
    pub fn read(path: &str, text: &str) -> Result<Config, ConfigError> {
        let wrong = |field: &str, what: String| ConfigError::Field(path.into(), field.into(), what);
        let file: File = serde_json::from_str(text).map_err(|e| wrong("configuration", e.to_string()))?;
        let site =
            Site::from_value(&file.settings).map_err(|e| wrong(&format!("settings.{}", e.field), e.what))?;
        let known = coordinator::told(&file.known.to_string()).map_err(|e| wrong("known", e))?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| wrong("seed", e.to_string()))?;
        file.limits.check().map_err(|(field, what)| wrong(field, what))?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            seed,
            limits: file.limits,
            coordinator: file.coordinator,
            known,
            site,
        })
    }
}
