//! The settings of `lilacpitch-edge`, as `edge.cue` beside this file states them.

use crate::fleet::FleetOf;
use crate::{de_duration, load, load_text, ConfigError, Loaded, Schema};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The text of the schema of settings and pool lists.
pub const EDGE_SCHEMA: &str = concat!(include_str!("schema/edge.cue"), include_str!("schema/fleet.cue"));

pub(crate) fn schema() -> Result<Schema, ConfigError> {
    Schema::new("edge.cue", EDGE_SCHEMA)
}

/// A front's settings. Spans are nanoseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Edge {
    /// The front's name.
    pub name: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where its metrics are read.
    pub metrics: Option<SocketAddr>,
    /// The file of the pool list.
    pub pool_list: String,
    /// How often it is looked at.
    #[serde(deserialize_with = "de_duration", rename = "look_at_pool_list_every")]
    pub look_ns: u64,
    /// Pools that callers may name though no server of theirs is listed.
    pub pools: Vec<String>,
    /// Other fronts.
    pub peers: Option<PeersOf>,
    /// The fleet's register.
    #[serde(default)]
    pub fleet: Option<FleetOf>,
    /// Classes of calls, in the order that gives them their numbers.
    pub classes: Vec<Class>,
    /// Figures of the rules.
    pub rules: Rules,
    /// Spans.
    pub timing: Timing,
    /// Bounds.
    pub limits: Limits,
    /// Logging.
    pub log: Log,
}

/// Other fronts of the installation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PeersOf {
    /// Where their datagrams come in.
    pub listen: SocketAddr,
    /// Where some may be found.
    pub seeds: Vec<SocketAddr>,
    /// Where the others reach it, if not where it listens.
    #[serde(default)]
    pub reached_at: Option<SocketAddr>,
    /// The file of keys.
    pub key_file: String,
    /// About how many there are.
    pub fronts: u32,
}

/// A class of calls.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Wanted set-up time, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "aim")]
    pub aim_ns: u64,
    /// How long a caller goes on trying, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "give_up")]
    pub give_up_ns: u64,
    /// What a call that stands in time is worth.
    pub worth: f64,
    /// The share of it that is left when it stands later.
    pub late_worth: f64,
    /// The pools that can take it; empty: any.
    pub pools: Vec<String>,
}

/// Figures of the five rules.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Rules {
    /// Rest of a call after a time-out, reset or cancel, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "release")]
    pub release_ns: u64,
    /// Grace after a drain was told, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "drain_grace")]
    pub drain_grace_ns: u64,
    /// Share of its capacity that a server starts with at least.
    pub cold_from: f64,
    /// Warm after this, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "cold_span")]
    pub cold_span_ns: u64,
    /// Sent so many times what it can do, a cold server falls over.
    pub tip_multiple: f64,
    /// Attempts for one call.
    pub max_attempts: u32,
}

/// Spans, in nanoseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Timing {
    /// Until an unanswered set-up is sent again.
    #[serde(deserialize_with = "de_duration", rename = "resend")]
    pub resend_ns: u64,
    /// For making a connection.
    #[serde(deserialize_with = "de_duration", rename = "connect")]
    pub connect_ns: u64,
    /// First gap between tries to reach a server.
    #[serde(deserialize_with = "de_duration", rename = "reconnect_first")]
    pub reconnect_first_ns: u64,
    /// Longest gap.
    #[serde(deserialize_with = "de_duration", rename = "reconnect_longest")]
    pub reconnect_longest_ns: u64,
    /// Longest wait that a refused caller is told; 0: none.
    #[serde(deserialize_with = "de_duration", rename = "come_back_longest")]
    pub come_back_longest_ns: u64,
    /// Until a caller not heard is asked for a sign.
    #[serde(deserialize_with = "de_duration", rename = "quiet")]
    pub quiet_ns: u64,
    /// What standing calls get when the front stops.
    #[serde(deserialize_with = "de_duration", rename = "stop")]
    pub stop_ns: u64,
    /// The clock's grain.
    #[serde(deserialize_with = "de_duration", rename = "tick")]
    pub tick_ns: u64,
}

/// Bounds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Limits {
    /// Callers at once.
    pub callers: usize,
    /// Calls at once, standing ones too.
    pub calls: usize,
    /// Calls at once on one caller's connection.
    pub calls_per_caller: usize,
    /// Messages that may wait for one reader.
    pub queue: usize,
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Log {
    /// The least level that is written.
    pub level: String,
    /// How.
    pub format: LogFormat,
}

/// How a log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Edge {
    /// Reads and checks a settings file. `pool_list` is taken from the file's own folder.
    ///
    /// # Errors
    /// A file that is unreadable, or a field that is wrong, by place and cause.
    pub fn load(path: &Path) -> Result<Loaded<Edge>, ConfigError> {
        let mut loaded = checked(load(&schema()?, "#Edge", path)?)?;
        if let Some(folder) = path.parent() {
            let list = folder.join(&loaded.value.pool_list);
            loaded.value.pool_list = list.display().to_string();
            if let Some(peers) = &mut loaded.value.peers {
                peers.key_file = folder.join(&peers.key_file).display().to_string();
            }
            if let Some(fleet) = &mut loaded.value.fleet {
                fleet.key_file = folder.join(&fleet.key_file).display().to_string();
            }
        }
        Ok(loaded)
    }

    /// Reads and checks settings from a text that errors call `name`.
    ///
    /// # Errors
    /// A field that is missing or wrong, by place and cause.
    pub fn from_text(name: &str, text: &str) -> Result<Loaded<Edge>, ConfigError> {
        checked(load_text(&schema()?, "#Edge", name, text)?)
    }
}

/// What no field can be checked for by itself.
fn checked(loaded: Loaded<Edge>) -> Result<Loaded<Edge>, ConfigError> {
    let edge = &loaded.value;
    for (index, class) in edge.classes.iter().enumerate() {
        let at = |field: &str| format!("classes[{index}].{field}");
        if class.aim_ns == 0 {
            return Err(loaded.error_at(&at("aim"), "must be above 0"));
        }
        if class.give_up_ns < class.aim_ns {
            return Err(loaded.error_at(&at("give_up"), "is shorter than aim"));
        }
        if edge.classes[..index].iter().any(|c| c.name == class.name) {
            return Err(loaded.error_at(&at("name"), format!("class {:?} is given twice", class.name)));
        }
    }
    if let Some(peers) = &edge.peers {
        if peers.listen.ip().is_unspecified() && peers.reached_at.is_none() {
            let why = "is any address of this machine: say in peers.reached_at where the others reach it";
            return Err(loaded.error_at("peers.listen", why));
        }
    }
    if let Some(fleet) = &edge.fleet {
        fleet.check("fleet.").map_err(|(path, what)| loaded.error_at(&path, what))?;
    }
    let spans = [
        ("look_at_pool_list_every", edge.look_ns),
        ("rules.cold_span", edge.rules.cold_span_ns),
        ("timing.resend", edge.timing.resend_ns),
        ("timing.connect", edge.timing.connect_ns),
        ("timing.reconnect_first", edge.timing.reconnect_first_ns),
        ("timing.quiet", edge.timing.quiet_ns),
        ("timing.tick", edge.timing.tick_ns),
    ];
    if let Some((path, _)) = spans.iter().find(|(_, ns)| *ns == 0) {
        return Err(loaded.error_at(path, "must be above 0"));
    }
    if edge.timing.reconnect_longest_ns < edge.timing.reconnect_first_ns {
        return Err(loaded.error_at("timing.reconnect_longest", "is shorter than reconnect_first"));
    }
    if edge.look_ns > edge.rules.drain_grace_ns {
        let what = "is longer than rules.drain_grace: a drain would be told too late to be kept";
        return Err(loaded.error_at("look_at_pool_list_every", what));
    }
    Ok(loaded)
}
