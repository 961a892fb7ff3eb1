//! The configuration file of a node, and how its descriptors are shared out.
//!
//! The file is one JSON object; its keys are the platform's. Errors name file, field and problem, so that an operator
//! can mend the file.

use crate::coordinator::{self, PollResponse, PollResponseError};
use lilacpitch::settings::Site;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read: mend its path or its permissions.
    #[error("{file}: {error}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Why not.
        #[source]
        error: std::io::Error,
    },
    /// A field is missing or can't be used: mend it in the file.
    #[error("{file}: {field}: {problem}")]
    Field {
        /// Path of the file.
        file: String,
        /// Path of the field within the file.
        field: String,
        /// What is wrong with it.
        #[source]
        problem: FieldProblem,
    },
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum FieldProblem {
    /// The file is not JSON, or lacks a key.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A setting is missing or out of its range.
    #[error("{0}")]
    Setting(String),
    /// The coordinator's events so far can't be read.
    #[error(transparent)]
    KnownEvents(#[from] PollResponseError),
    /// Not a number in hexadecimal.
    #[error(transparent)]
    Seed(#[from] ParseIntError),
    /// A limit under what a node needs.
    #[error("a node needs {minimum} at least")]
    LimitTooLow {
        /// The least that works.
        minimum: u64,
    },
}

/// Limits on the process.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// Descriptors that the process may hold open.
    pub sockets: usize,
    /// Memory that the process may use, in MiB; `None` for no limit.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// How many connections of each kind a node may hold, so that none starves another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Connections of callers.
    pub callers: usize,
    /// Closed connections that wait for the other end to read the last bytes.
    pub draining: usize,
    /// Connections to servers, beyond one to each.
    pub upstreams: usize,
}

/// Descriptors that are neither callers' nor servers': the runtime's own, the listener, the coordinator, spare.
const OTHER_SOCKETS: usize = 32;
/// One descriptor in so many is for connections to servers.
const UPSTREAM_FRACTION: usize = 8;
/// One in so many of the others is for closed connections whose last bytes are unread.
const DRAINING_FRACTION: usize = 8;
/// With fewer descriptors, those kept back would leave too few to serve callers.
const MIN_SOCKETS: usize = 2 * OTHER_SOCKETS;
/// More than an idle node uses, in MiB.
const MIN_MEMORY_MB: u64 = 8;
/// Memory of one caller's connection, in KiB: a partial message and unread responses. Callers get half of the limit.
const KIB_PER_CALLER: u64 = 32;

impl Limits {
    /// Shares the descriptors out.
    pub fn budget(&self) -> Budget {
        let upstreams = self.sockets / UPSTREAM_FRACTION;
        let rest = self.sockets.saturating_sub(upstreams).saturating_sub(OTHER_SOCKETS);
        let draining = rest / DRAINING_FRACTION;
        let by_memory = self.memory_mb.map_or(u64::MAX, |mb| mb.saturating_mul(1024) / 2 / KIB_PER_CALLER);
        let callers = (rest - draining).min(usize::try_from(by_memory).unwrap_or(usize::MAX));
        Budget { callers, draining, upstreams }
    }

    /// Checks the lower bounds; an error names the field.
    fn validate(&self) -> Result<(), (&'static str, FieldProblem)> {
        if self.sockets < MIN_SOCKETS {
            return Err(("limits.sockets", FieldProblem::LimitTooLow { minimum: MIN_SOCKETS as u64 }));
        }
        match self.memory_mb {
            Some(mb) if mb < MIN_MEMORY_MB => {
                Err(("limits.memory_mb", FieldProblem::LimitTooLow { minimum: MIN_MEMORY_MB }))
            }
            _ => Ok(()),
        }
    }
}

/// The file as written.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    coordinator: SocketAddr,
    known: Value,
    settings: Value,
}

/// A valid configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Limits on the process.
    pub limits: Limits,
    /// Address of the coordinator.
    pub coordinator: SocketAddr,
    /// The coordinator's events at the time the file was written.
    pub known: PollResponse,
    /// Settings of the decision module and of the platform.
    pub site: Site,
}

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Where the file can't be read, or a field can't be used.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::Unreadable { file: path.into(), error })?;
        Config::read(path, &text)
    }

    /// Parses and checks the text of a file; `path` is named in errors.
    ///
    /// # Errors
    /// Where a field is missing or can't be used.
    pub fn read(path: &str, text: &str) -> Result<Config, ConfigError> {
        let wrong = |field: &str, problem: FieldProblem| ConfigError::Field {
            file: path.into(),
            field: field.into(),
            problem,
        };
        let file: ConfigFile = serde_json::from_str(text).map_err(|e| wrong("configuration", e.into()))?;
        let site = Site::from_value(&file.settings)
            .map_err(|e| wrong(&format!("settings.{}", e.field), FieldProblem::Setting(e.what)))?;
        let known =
            coordinator::parse_response(&file.known.to_string()).map_err(|e| wrong("known", e.into()))?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| wrong("seed", e.into()))?;
        file.limits.validate().map_err(|(field, problem)| wrong(field, problem))?;
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
