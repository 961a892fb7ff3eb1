//! Pool lists: `#Pools` of the schema in `edge.cue`.

use crate::edge::schema;
use crate::{load, load_text, ConfigError, Loaded};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// A pool list: the signalling servers a front may use. The edge's code calls it the endpoint list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Pools {
    /// The servers listed.
    pub servers: Vec<Server>,
}

/// A signalling server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Server {
    /// Its name, never reused for another machine.
    pub name: String,
    /// The pool it is in.
    pub pool: String,
    /// The availability zone it is in; may be empty.
    pub zone: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Whether it may be used.
    pub state: ServerState,
    /// When it last started, in milliseconds of Unix time; 0: long ago.
    pub started_ms: u64,
}

/// Whether a server may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Accepts set-ups.
    Running,
    /// Finishes its calls and accepts no new ones.
    Draining,
    /// Taken out of service.
    Gone,
}

impl Pools {
    /// Reads and checks a pool list.
    ///
    /// # Errors
    /// The cause if the file cannot be read; the place and cause of each field that is missing or wrong.
    pub fn load(path: &Path) -> Result<Loaded<Pools>, ConfigError> {
        checked(load(&schema()?, "#Pools", path)?)
    }

    /// Reads and checks a pool list from a text. Errors refer to the text as `name`.
    ///
    /// # Errors
    /// The place and cause of each field that is missing or wrong.
    pub fn from_text(name: &str, text: &str) -> Result<Loaded<Pools>, ConfigError> {
        checked(load_text(&schema()?, "#Pools", name, text)?)
    }
}

/// Checks the rules that concern more than one field.
fn checked(loaded: Loaded<Pools>) -> Result<Loaded<Pools>, ConfigError> {
    let servers = &loaded.value.servers;
    let mut names = std::collections::BTreeSet::new();
    for (index, server) in servers.iter().enumerate() {
        if !names.insert(&server.name) {
            let message = format!("server {:?} is listed twice", server.name);
            return Err(loaded.error_at(&format!("servers[{index}].name"), message));
        }
    }
    Ok(loaded)
}
