//! Pool lists, in the settings' form: `#Pools` of `edge.cue`.

use crate::edge::schema;
use crate::{load, load_text, ConfigError, Loaded};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// A pool list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Pools {
    /// Its servers.
    pub servers: Vec<Server>,
}

/// A signalling server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Server {
    /// Its name, never given to another machine.
    pub name: String,
    /// The pool it is in.
    pub pool: String,
    /// The zone it is in; may be empty.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it may be used.
    pub state: ServerState,
    /// When it last started, in milliseconds since 1970; 0: long ago.
    pub started_ms: u64,
}

/// Whether a server may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Takes set-ups.
    Running,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

impl Pools {
    /// Reads and checks a pool list.
    ///
    /// # Errors
    /// A file that is unreadable, or a field that is wrong, by place and cause.
    pub fn load(path: &Path) -> Result<Loaded<Pools>, ConfigError> {
        checked(load(&schema()?, "#Pools", path)?)
    }

    /// Reads and checks a pool list from a text that errors call `name`.
    ///
    /// # Errors
    /// A field that is missing or wrong, by place and cause.
    pub fn from_text(name: &str, text: &str) -> Result<Loaded<Pools>, ConfigError> {
        checked(load_text(&schema()?, "#Pools", name, text)?)
    }
}

fn checked(loaded: Loaded<Pools>) -> Result<Loaded<Pools>, ConfigError> {
    let servers = &loaded.value.servers;
    let mut names = std::collections::BTreeSet::new();
    for (index, server) in servers.iter().enumerate() {
        if !names.insert(&server.name) {
            let what = format!("server {:?} is listed twice", server.name);
            return Err(loaded.error_at(&format!("servers[{index}].name"), what));
        }
    }
    Ok(loaded)
}
