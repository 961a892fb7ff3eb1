//! The configuration file of a node, and how file descriptors and memory are divided among their uses.
//!
//! The file is one JSON object with keys defined by the platform. Errors name the file, the field and the
//! problem, so that an operator can correct the file.

use crate::coordinator::{self, PollResponse, PollResponseError};
use lilacpitch::settings::Site;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// Why a configuration can't be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read: check its path and permissions.
    #[error("{file}: {error}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The error of the read.
        #[source]
        error: std::io::Error,
    },
    /// A field is missing or invalid.
    #[error("{file}: {field}: {problem}")]
    Field {
        /// Path of the file.
        file: String,
        /// Path of the field within the file.
        field: String,
        /// What is wrong with the field.
        #[source]
        problem: FieldProblem,
    },
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum FieldProblem {
    /// The file is not JSON, lacks a key, or has a value of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A setting is missing or out of range.
    #[error("{0}")]
    Setting(String),
    /// The coordinator's events that are known from the start are malformed.
    #[error(transparent)]
    KnownEvents(#[from] PollResponseError),
    /// The seed is not a hexadecimal number.
    #[error(transparent)]
    Seed(#[from] ParseIntError),
    /// A limit is lower than a node needs.
    #[error("must be at least {minimum}")]
    LimitTooLow {
        /// Lowest valid value.
        minimum: u64,
    },
}

/// Resource limits of the process.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    /// Number of file descriptors that the process may hold open.
    pub sockets: usize,
    /// Memory that the process may use, in MiB; `None` for no limit.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// How many connections of each kind a node may hold, so that no kind starves another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Callers' connections.
    pub callers: usize,
    /// Closed connections that wait for their peer to read the last bytes.
    pub draining: usize,
    /// Connections to servers, beyond the first one to each.
    pub upstreams: usize,
    /// Bytes that may wait to be written to all callers together.
    pub caller_output_bytes: usize,
    /// Bytes of messages other than set-ups that may wait to be written to all servers together. The memory
    /// of set-ups counts as that of their calls.
    pub server_output_bytes: usize,
    /// Bytes that all calls may take up.
    pub call_bytes: usize,
    /// Events that may wait for the driver.
    pub queued_events: usize,
}

/// Descriptors reserved for the runtime, the listener, the connections to the coordinator, of which late polls keep
/// some open, and spare ones.
const RESERVED_SOCKETS: usize = 32;
/// One in this many descriptors is for connections to servers.
const UPSTREAM_FRACTION: usize = 8;
/// One in this many of the remaining descriptors is for closed connections that are still draining.
const DRAINING_FRACTION: usize = 8;
/// Lowest descriptor limit: with fewer, the reserved ones would leave too few for callers.
const MIN_SOCKETS: usize = 2 * RESERVED_SOCKETS;
/// Lowest memory limit in MiB: more than an idle node uses.
const MIN_MEMORY_MB: u64 = 8;
/// Memory of one connection in KiB: the longest incomplete message, and the state of its task.
const KIB_PER_CONNECTION: usize = 24;
/// Memory of one closed connection that is draining, in KiB: the state of its task, and a last response.
const KIB_PER_DRAINING_CONNECTION: usize = 8;
/// Memory of one event that waits for the driver in KiB: the longest message, decoded.
const KIB_PER_EVENT: usize = 20;
/// Most events that wait for the driver. While the queue is full, connections are not read. A small queue
/// bounds the time that an event waits.
const MAX_QUEUED_EVENTS: usize = 64;
/// The memory limit is divided into this many shares. What is not assigned is for the program itself and for
/// the overhead of the allocator.
const MEMORY_SHARES: usize = 32;
/// Shares of the memory limit for callers' connections.
const CALLER_SHARES: usize = 10;
/// Shares for what waits to be written to callers.
const CALLER_OUTPUT_SHARES: usize = 4;
/// Shares for calls.
const CALL_SHARES: usize = 8;
/// Shares for connections to servers.
const UPSTREAM_SHARES: usize = 3;
/// Shares for closed connections that are draining.
const DRAINING_SHARES: usize = 1;
/// Shares for what waits to be written to servers.
const SERVER_OUTPUT_SHARES: usize = 1;
/// Shares for events that wait for the driver.
const EVENT_SHARES: usize = 1;

impl Limits {
    /// Returns a number of shares of the memory limit in bytes; the largest number if there is no limit.
    fn memory_bytes(&self, shares: usize) -> usize {
        let Some(memory_mb) = self.memory_mb else { return usize::MAX };
        let bytes = memory_mb.saturating_mul(1024 * 1024) / MEMORY_SHARES as u64 * shares as u64;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Divides the descriptors and the memory among their uses.
    pub fn budget(&self) -> Budget {
        // How many objects of this size the memory shares have room for.
        let fitting = |shares: usize, kib: usize| self.memory_bytes(shares) / (kib * 1024);
        let upstreams = (self.sockets / UPSTREAM_FRACTION).min(fitting(UPSTREAM_SHARES, KIB_PER_CONNECTION));
        let remaining = self.sockets.saturating_sub(upstreams).saturating_sub(RESERVED_SOCKETS);
        let draining =
            (remaining / DRAINING_FRACTION).min(fitting(DRAINING_SHARES, KIB_PER_DRAINING_CONNECTION));
        Budget {
            callers: (remaining - draining).min(fitting(CALLER_SHARES, KIB_PER_CONNECTION)),
            draining,
            upstreams,
            caller_output_bytes: self.memory_bytes(CALLER_OUTPUT_SHARES),
            server_output_bytes: self.memory_bytes(SERVER_OUTPUT_SHARES),
            call_bytes: self.memory_bytes(CALL_SHARES),
            queued_events: fitting(EVENT_SHARES, KIB_PER_EVENT).clamp(1, MAX_QUEUED_EVENTS),
        }
    }

    /// Checks the lower bounds. An error consists of the field's path and the problem.
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

/// The keys of the file.
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

/// A validated configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Address on which callers are accepted.
    pub listen: SocketAddr,
    /// Seed of the controller's random numbers.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Address of the coordinator.
    pub coordinator: SocketAddr,
    /// The coordinator's events that were known when the file was written.
    pub known: PollResponse,
    /// Settings of the controller and of the platform.
    pub site: Site,
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or a field is missing or invalid.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::Unreadable { file: path.into(), error })?;
        Config::parse(path, &text)
    }

    /// Parses and validates the text of a configuration file. Errors name `path` as its origin.
    ///
    /// # Errors
    /// Returns an error if a field is missing or invalid.
    pub fn parse(path: &str, text: &str) -> Result<Config, ConfigError> {
        let field_error = |field: &str, problem: FieldProblem| ConfigError::Field {
            file: path.into(),
            field: field.into(),
            problem,
        };
        let file: ConfigFile =
            serde_json::from_str(text).map_err(|e| field_error("configuration", e.into()))?;
        let site = Site::from_value(&file.settings)
            .map_err(|e| field_error(&format!("settings.{}", e.field), FieldProblem::Setting(e.what)))?;
        let known = coordinator::parse_response(&file.known.to_string())
            .map_err(|e| field_error("known", e.into()))?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| field_error("seed", e.into()))?;
        file.limits.validate().map_err(|(field, problem)| field_error(field, problem))?;
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
