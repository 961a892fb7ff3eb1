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
        if file.limits.sockets < 64 {
            return Err(wrong("limits.sockets", "a node needs 64 at least".into()));
        }
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
