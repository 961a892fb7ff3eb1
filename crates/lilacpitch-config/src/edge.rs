//! Settings of `lilacpitch-edge`: the record for `#Edge` of `schema/edge.cue`.

use crate::fleet::FleetOf;
use crate::{de_duration, load, load_text, ConfigError, Loaded, Schema};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Source text of the schema of settings and pool lists.
pub const EDGE_SCHEMA: &str = concat!(include_str!("schema/edge.cue"), include_str!("schema/fleet.cue"));

pub(crate) fn schema() -> Result<Schema, ConfigError> {
    Schema::new("edge.cue", EDGE_SCHEMA)
}

/// A front's settings. Durations are in nanoseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Edge {
    /// The front's name, by which servers and logs identify it.
    pub name: String,
    /// The address it accepts callers on.
    pub listen: SocketAddr,
    /// The address its metrics are served on; `None`: they are not served.
    pub metrics: Option<SocketAddr>,
    /// Path of the pool list, which the edge's code calls the endpoint list.
    pub pool_list: String,
    /// Interval between checks of the pool list for changes.
    #[serde(deserialize_with = "de_duration", rename = "look_at_pool_list_every")]
    pub look_ns: u64,
    /// Pools that callers may name even while the pool list has no server of them.
    pub pools: Vec<String>,
    /// How it gossips with other fronts; `None`: it does not.
    pub peers: Option<PeersOf>,
    /// How it publishes and looks up location records in the fleet; `None`: it does neither.
    #[serde(default)]
    pub fleet: Option<FleetOf>,
    /// Classes of calls. Callers give a class by name; the controller identifies it by its index here.
    pub classes: Vec<Class>,
    /// Parameters of attempts, draining and slow start.
    pub rules: Rules,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Upper bounds on callers, calls and queues.
    pub limits: Limits,
    /// Settings of the log.
    pub log: Log,
}

/// Settings of the gossip among the fronts of an installation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PeersOf {
    /// The address datagrams of other fronts are received on.
    pub listen: SocketAddr,
    /// Addresses of other fronts, contacted at the start.
    pub seeds: Vec<SocketAddr>,
    /// The address it announces to other fronts, if not `listen`.
    #[serde(default)]
    pub reached_at: Option<SocketAddr>,
    /// Path of the file of keys that seal the datagrams.
    pub key_file: String,
    /// Approximate number of fronts.
    pub fronts: u32,
}

/// A class of calls.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Target set-up time, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "aim")]
    pub aim_ns: u64,
    /// How long a caller keeps trying, from its first try, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "give_up")]
    pub give_up_ns: u64,
    /// Weight of a call established within the target time, compared with calls of other classes.
    pub worth: f64,
    /// Share of the weight that remains when the call is established later.
    pub late_worth: f64,
    /// The pools that can take calls of the class; empty: any.
    pub pools: Vec<String>,
}

/// Parameters of attempts, draining and slow start.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Rules {
    /// Delay before a call's next attempt after a time-out, reset or cancel, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "release")]
    pub release_ns: u64,
    /// How long after it is listed as draining or gone a server may still get new set-ups, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "drain_grace")]
    pub drain_grace_ns: u64,
    /// Least share of its full capacity that a server has just after its start.
    pub cold_from: f64,
    /// Time after its start until a server reaches full capacity, in nanoseconds.
    #[serde(deserialize_with = "de_duration", rename = "cold_span")]
    pub cold_span_ns: u64,
    /// A server that is warming up fails at a load of this multiple of its current capacity.
    pub tip_multiple: f64,
    /// Most attempts for one call.
    pub max_attempts: u32,
}

/// Timeouts and intervals, in nanoseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Timing {
    /// Resend interval: an unanswered set-up is first sent again after this, then at doubling gaps.
    #[serde(deserialize_with = "de_duration", rename = "resend")]
    pub resend_ns: u64,
    /// Timeout for connecting to a server.
    #[serde(deserialize_with = "de_duration", rename = "connect")]
    pub connect_ns: u64,
    /// First interval between connection attempts to a server.
    #[serde(deserialize_with = "de_duration", rename = "reconnect_first")]
    pub reconnect_first_ns: u64,
    /// Longest interval between connection attempts to a server.
    #[serde(deserialize_with = "de_duration", rename = "reconnect_longest")]
    pub reconnect_longest_ns: u64,
    /// Longest retry-after that a refused caller is sent; 0: none is sent.
    #[serde(deserialize_with = "de_duration", rename = "come_back_longest")]
    pub come_back_longest_ns: u64,
    /// Idle time after which a caller is pinged; idle for as long again, it is disconnected.
    #[serde(deserialize_with = "de_duration", rename = "quiet")]
    pub quiet_ns: u64,
    /// How long established calls may continue once the front shuts down.
    #[serde(deserialize_with = "de_duration", rename = "stop")]
    pub stop_ns: u64,
    /// Resolution of the timers.
    #[serde(deserialize_with = "de_duration", rename = "tick")]
    pub tick_ns: u64,
}

/// Upper bounds on callers, calls and queues.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Limits {
    /// Callers connected at once.
    pub callers: usize,
    /// Calls at once, established ones included.
    pub calls: usize,
    /// Calls at once on one caller's connection.
    pub calls_per_caller: usize,
    /// Messages queued for one caller or server.
    pub queue: usize,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Log {
    /// Least severe level that is written.
    pub level: String,
    /// Format of the entries.
    pub format: LogFormat,
}

/// Format of log entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Edge {
    /// Reads and checks a settings file. Relative paths in it are resolved against the file's own folder.
    ///
    /// # Errors
    /// The cause if the file cannot be read; the place and cause of each field that is missing or wrong.
    pub fn load(path: &Path) -> Result<Loaded<Edge>, ConfigError> {
        let mut loaded = checked(load(&schema()?, "#Edge", path)?)?;
        if let Some(folder) = path.parent() {
            let pool_list = folder.join(&loaded.value.pool_list);
            loaded.value.pool_list = pool_list.display().to_string();
            if let Some(peers) = &mut loaded.value.peers {
                peers.key_file = folder.join(&peers.key_file).display().to_string();
            }
            if let Some(fleet) = &mut loaded.value.fleet {
                fleet.key_file = folder.join(&fleet.key_file).display().to_string();
            }
        }
        Ok(loaded)
    }

    /// Reads and checks settings from a text. Errors refer to the text as `name`.
    ///
    /// # Errors
    /// The place and cause of each field that is missing or wrong.
    pub fn from_text(name: &str, text: &str) -> Result<Loaded<Edge>, ConfigError> {
        checked(load_text(&schema()?, "#Edge", name, text)?)
    }
}

/// Checks the rules that the schema cannot express: durations above 0 and rules that concern several fields.
fn checked(loaded: Loaded<Edge>) -> Result<Loaded<Edge>, ConfigError> {
    let edge = &loaded.value;
    for (index, class) in edge.classes.iter().enumerate() {
        let path = |field: &str| format!("classes[{index}].{field}");
        if class.aim_ns == 0 {
            return Err(loaded.error_at(&path("aim"), "must be above 0"));
        }
        if class.give_up_ns < class.aim_ns {
            return Err(loaded.error_at(&path("give_up"), "is shorter than aim"));
        }
        if edge.classes[..index].iter().any(|c| c.name == class.name) {
            return Err(loaded.error_at(&path("name"), format!("class {:?} is given twice", class.name)));
        }
    }
    if let Some(peers) = &edge.peers {
        if peers.listen.ip().is_unspecified() && peers.reached_at.is_none() {
            let message = "is unspecified: set peers.reached_at to the address other fronts can reach";
            return Err(loaded.error_at("peers.listen", message));
        }
    }
    if let Some(fleet) = &edge.fleet {
        fleet.check("fleet.").map_err(|error| loaded.error_at(&error.path, error.message))?;
    }
    let durations = [
        ("look_at_pool_list_every", edge.look_ns),
        ("rules.cold_span", edge.rules.cold_span_ns),
        ("timing.resend", edge.timing.resend_ns),
        ("timing.connect", edge.timing.connect_ns),
        ("timing.reconnect_first", edge.timing.reconnect_first_ns),
        ("timing.quiet", edge.timing.quiet_ns),
        ("timing.tick", edge.timing.tick_ns),
    ];
    if let Some((path, _)) = durations.iter().find(|(_, ns)| *ns == 0) {
        return Err(loaded.error_at(path, "must be above 0"));
    }
    if edge.timing.reconnect_longest_ns < edge.timing.reconnect_first_ns {
        return Err(loaded.error_at("timing.reconnect_longest", "is shorter than reconnect_first"));
    }
    if edge.look_ns > edge.rules.drain_grace_ns {
        let message = "is longer than rules.drain_grace: a drain would be noticed after its grace is over";
        return Err(loaded.error_at("look_at_pool_list_every", message));
    }
    Ok(loaded)
}
