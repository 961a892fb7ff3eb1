//! A scenario ("day") as a typed record: load by class, servers, and faults ("troubles") with start, duration
//! and magnitude. [`Day::script`] turns the faults into timed events.

use crate::call_rules_checker::RuleLimits;
use crate::simulated_network::NetworkConditions;
use crate::simulation::caller::{CallerBehavior, Rate};
use crate::simulation::server::{FaultAnswer, FaultSelector, ResponseFault, ServerParameters};
use lilacpitch::interface::Nanos;
use lilacpitch_config::{de_duration, load, load_text, ConfigError, Loaded, Schema};
use serde::Deserialize;
use std::fmt::Write;
use std::path::Path;

/// The schema of day files.
pub const DAY_SCHEMA: &str = include_str!("day.cue");
/// Delay until the pool list shows that a server has become silent.
const SILENT_NOTICE_NS: Nanos = 4_000_000_000;
/// Delay until the pool list shows that a silent server is back.
const BACK_NOTICE_NS: Nanos = 500_000_000;
/// Interval between the pauses of a processor ([`TroubleKind::Still`]).
const STILL_EVERY_NS: Nanos = 2_000_000_000;

/// A scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Day {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Period in which calls arrive.
    #[serde(deserialize_with = "de_duration", rename = "length")]
    pub length_ns: Nanos,
    /// Number of fronts.
    pub edges: usize,
    /// Number of callers' sockets at each front.
    pub callers_per_edge: usize,
    /// Calls per second at all fronts together.
    pub per_s: f64,
    /// Unevenness of the load: the n-th front gets a share proportional to 1 over n to this power; 0: equal
    /// shares.
    pub uneven: f64,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// The servers.
    pub servers: Vec<ServerSpec>,
    /// The faults.
    pub troubles: Vec<Trouble>,
    /// Parameters of the call rules and of servers that warm up.
    pub rules: Rules,
    /// Resend interval: time after which an unanswered set-up is sent again.
    #[serde(deserialize_with = "de_duration", rename = "resend")]
    pub resend_ns: Nanos,
    /// Whether fronts gossip with each other.
    pub peers: bool,
    /// Percentage of the datagrams between fronts that are lost.
    pub peer_loss: u32,
}

/// A class of calls and the behavior of its callers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Target set-up time.
    #[serde(deserialize_with = "de_duration", rename = "aim")]
    pub aim_ns: Nanos,
    /// How long a caller keeps trying, from its first try.
    #[serde(deserialize_with = "de_duration", rename = "give_up")]
    pub give_up_ns: Nanos,
    /// Worth of a call established within the target time.
    pub worth: f64,
    /// Share of the worth that remains when the call is established later.
    pub late_worth: f64,
    /// Weight of the class among all calls.
    pub share: f64,
    /// Mean duration of a call.
    #[serde(deserialize_with = "de_duration", rename = "hold")]
    pub hold_ns: Nanos,
    /// Most further tries after the first.
    pub retries: u32,
    /// How long a caller waits for one try, as a share of `give_up`.
    pub try_share: f64,
    /// Mean wait before a further try if the front gives none.
    #[serde(deserialize_with = "de_duration", rename = "backoff")]
    pub backoff_ns: Nanos,
}

/// A server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ServerSpec {
    /// Its name.
    pub name: String,
    /// The pool it is in.
    pub pool: String,
    /// Calls per second that it can process when warm.
    pub per_s: f64,
    /// Number of its circuits.
    pub circuits: usize,
    /// Wait of a set-up from which it rejects set-ups as 'full'.
    #[serde(deserialize_with = "de_duration", rename = "full_after")]
    pub full_after_ns: Nanos,
}

/// Parameters of the call rules and of servers that warm up.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Rules {
    /// Delay before a call's next attempt after a time-out, reset or cancel.
    #[serde(deserialize_with = "de_duration", rename = "release")]
    pub release_ns: Nanos,
    /// How long a server may still get new set-ups after it is listed as draining.
    #[serde(deserialize_with = "de_duration", rename = "drain_grace")]
    pub drain_grace_ns: Nanos,
    /// Share of its full capacity that a server has just after its start.
    pub cold_from: f64,
    /// Time after its start until a server reaches full capacity.
    #[serde(deserialize_with = "de_duration", rename = "cold_span")]
    pub cold_span_ns: Nanos,
    /// A server that is warming up fails at a load of this multiple of its current capacity.
    pub tip_multiple: f64,
    /// Window over which that load is counted.
    #[serde(deserialize_with = "de_duration", rename = "tip_span")]
    pub tip_span_ns: Nanos,
    /// Whether a server that is warming up tolerates random variation above that load; see
    /// [`ServerParameters::tip_chance`].
    pub tip_chance: bool,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Trouble {
    /// Its kind.
    pub kind: TroubleKind,
    /// Its start, from the start of the day.
    #[serde(deserialize_with = "de_duration", rename = "at")]
    pub at_ns: Nanos,
    /// Its duration.
    #[serde(deserialize_with = "de_duration", rename = "for")]
    pub for_ns: Nanos,
    /// Its magnitude; the meaning depends on the kind.
    pub size: f64,
    /// Names of the servers affected; empty: all.
    pub servers: Vec<String>,
    /// Indexes of the fronts affected; empty: all.
    pub edges: Vec<usize>,
    /// Retry-after of 'full' answers, period of [`TroubleKind::Flap`], or delay of [`TroubleKind::ListLate`].
    #[serde(deserialize_with = "de_duration", rename = "wait")]
    pub wait_ns: Nanos,
    /// What a share of set-ups is selected by.
    pub by: FaultSelector,
    /// Most set-ups affected at a server; 0: no limit.
    pub first: u64,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// A server's processor runs `size` times slower.
    Slow,
    /// A server answers nothing, and restarts cold at the end.
    Silent,
    /// A server's processor pauses for `size` milliseconds every two seconds.
    Still,
    /// A server drains. At the end it stops for good, which cuts the calls that are established there.
    Drain,
    /// A server drains, and a cold server replaces it from the start on.
    Replace,
    /// Calls arrive at `size` times the rate.
    Jump,
    /// A server loses this share, `size`, of its answers.
    AnswersLost,
    /// A server rejects this share, `size`, of its set-ups as 'full' with retry-after `wait`, though it has
    /// capacity.
    FullShare,
    /// A server answers this share, `size`, of its set-ups with 'no circuit'.
    NoCircuitShare,
    /// A server loses this share, `size`, of its set-ups.
    UnansweredShare,
    /// A server answers this share, `size`, of its set-ups with a fault.
    FaultShare,
    /// A server answers this share, `size`, of its set-ups with 'lines busy'.
    BusyShare,
    /// A server is silent for the first half of every period of length `wait` and then restarts cold.
    Flap,
    /// All connections to a server are lost at once; new ones can be made.
    Reset,
    /// A front's process is suspended, and resumed at the end.
    Freeze,
    /// Callers close their sockets, which ends their calls.
    CallersLeave,
    /// A front is killed, and started again without any state at the end.
    Restart,
    /// All datagrams between fronts are lost.
    PeersLost,
    /// This share, `size`, of the datagrams between fronts is damaged: see
    /// [`crate::simulated_network::damage_datagram`].
    PeersDamaged,
    /// Changes of the pool list reach fronts `wait` late. In virtual time only.
    ListLate,
    /// A front reports to the others that all servers are silent. In virtual time only.
    PeersConfused,
}

/// A change of a simulated server's state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerEvent {
    /// Its processor runs this many times slower.
    Slow(f64),
    /// It becomes silent.
    Silence,
    /// It restarts, cold.
    Start,
    /// Its processor pauses for this long.
    Pause(Nanos),
    /// It loses this share of its answers.
    LoseAnswers(f64),
    /// A share of its set-ups begins to get a fault response.
    BeginFault(ResponseFault),
    /// That fault ends.
    EndFault(ResponseFault),
    /// Its connections are lost.
    Reset,
    /// It stops for good.
    Stop,
}

/// A server's state in the pool list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Running since this time of the day; `None`: since long ago.
    Running(Option<Nanos>),
    /// Draining.
    Draining,
    /// Not listed.
    Gone,
}

/// The events of a day, with times from its start.
#[derive(Debug, Clone, Default)]
pub struct Script {
    /// Events of servers: time, index in [`Script::servers`], event.
    pub server_events: Vec<(Nanos, usize, ServerEvent)>,
    /// Changes of the pool list: time, index in [`Script::servers`], new state.
    pub list_changes: Vec<(Nanos, usize, Listed)>,
    /// Suspended fronts: start, end, front.
    pub suspensions: Vec<(Nanos, Nanos, usize)>,
    /// Fronts whose callers close their sockets: time, front.
    pub caller_departures: Vec<(Nanos, usize)>,
    /// Fronts that are killed and started again: time of the kill, time of the start, front.
    pub restarts: Vec<(Nanos, Nanos, usize)>,
    /// Fronts that send false reports to others: start, front.
    pub confused_fronts: Vec<(Nanos, usize)>,
    /// Periods in which all datagrams between fronts are lost: start, end.
    pub peers_lost: Vec<(Nanos, Nanos)>,
    /// Periods in which datagrams between fronts are damaged: start, end, percentage damaged.
    pub peers_damaged: Vec<(Nanos, Nanos, u32)>,
    /// Periods in which changes of the pool list reach a front late: start, end, front, delay.
    pub late_lists: Vec<(Nanos, Nanos, usize, Nanos)>,
    /// Periods with another rate of calls: start, end, factor.
    pub rate_jumps: Vec<(Nanos, Nanos, f64)>,
    /// The day's servers and their replacements, each with whether it is listed from the start.
    pub servers: Vec<(ServerSpec, bool)>,
}

impl Script {
    /// The delay with which a change of the pool list at this time of the day reaches a front.
    pub fn list_late_ns(&self, front: usize, day_ns: Nanos) -> Nanos {
        let applies = |(start, end, delayed_front, _): &&(Nanos, Nanos, usize, Nanos)| {
            *delayed_front == front && (*start..*end).contains(&day_ns)
        };
        self.late_lists.iter().filter(applies).map(|(.., late_ns)| *late_ns).max().unwrap_or(0)
    }
}

/// Merges overlapping periods (start, end, front) of the same front.
fn merge_overlapping(periods: &[(Nanos, Nanos, usize)]) -> Vec<(Nanos, Nanos, usize)> {
    let mut sorted = periods.to_vec();
    sorted.sort_unstable_by_key(|(start, end, front)| (*front, *start, *end));
    let mut merged: Vec<(Nanos, Nanos, usize)> = Vec::new();
    for (start, end, front) in sorted {
        let overlaps = |(_, last_end, last_front): &&mut (Nanos, Nanos, usize)| {
            *last_front == front && start <= *last_end
        };
        match merged.last_mut().filter(overlaps) {
            Some((_, last_end, _)) => *last_end = end.max(*last_end),
            None => merged.push((start, end, front)),
        }
    }
    merged
}

/// Limits suspensions to the time in which the front runs: one ends when the front is killed, and none begins
/// while it is down.
fn while_running(
    freeze: &[(Nanos, Nanos, usize)],
    restart: &[(Nanos, Nanos, usize)],
) -> Vec<(Nanos, Nanos, usize)> {
    let restarts_of = |front| restart.iter().filter(move |(.., restarted)| *restarted == front);
    let begins_while_up = |(start, _, front): &&(Nanos, Nanos, usize)| {
        !restarts_of(*front).any(|(down, up, _)| (*down..*up).contains(start))
    };
    let end_at_kill = |(start, end, front): &(Nanos, Nanos, usize)| {
        let killed = restarts_of(*front).map(|(down, ..)| *down).filter(|down| down > start).min();
        (*start, killed.map_or(*end, |down| down.min(*end)), *front)
    };
    freeze.iter().filter(begins_while_up).map(end_at_kill).collect()
}

impl Day {
    /// Reads and checks a day file.
    pub fn load(path: &Path) -> Result<Day, ConfigError> {
        checked(load(&schema()?, "#Day", path)?)
    }

    /// Reads and checks a day from a text. Errors refer to the text as `name`.
    pub fn from_text(name: &str, text: &str) -> Result<Day, ConfigError> {
        checked(load_text(&schema()?, "#Day", name, text)?)
    }

    /// The parameters of the call rules that the checker needs.
    pub fn rule_limits(&self) -> RuleLimits {
        RuleLimits { drain_grace_ns: self.rules.drain_grace_ns, release_ns: self.rules.release_ns }
    }

    /// The parameters of a server's model.
    pub fn server_parameters(&self, server: &ServerSpec) -> ServerParameters {
        ServerParameters {
            per_s: server.per_s,
            circuits: server.circuits,
            full_after_ns: server.full_after_ns,
            cold_from: self.rules.cold_from,
            cold_span_ns: self.rules.cold_span_ns,
            tip_multiple: self.rules.tip_multiple,
            tip_span_ns: self.rules.tip_span_ns,
            tip_chance: self.rules.tip_chance,
        }
    }

    /// The pools, in the order in which servers name them.
    pub fn pools(&self) -> Vec<String> {
        let mut pools: Vec<String> = Vec::new();
        for server in &self.servers {
            if !pools.contains(&server.pool) {
                pools.push(server.pool.clone());
            }
        }
        pools
    }

    /// The behavior of callers, by class.
    pub fn caller_behaviors(&self) -> Vec<CallerBehavior> {
        let behavior = |class: &Class| CallerBehavior {
            share: class.share,
            hold_ns: class.hold_ns,
            give_up_ns: class.give_up_ns,
            try_share: class.try_share,
            retries: class.retries,
            backoff_ns: class.backoff_ns,
        };
        self.classes.iter().map(behavior).collect()
    }

    /// The rate of calls at one front if all get equal shares.
    pub fn rate(&self, script: &Script) -> Rate {
        Rate { per_s: self.per_s / self.edges as f64, jumps: script.rate_jumps.clone() }
    }

    /// The rate of calls at one front by its share; see [`Day::uneven`].
    pub fn rate_at(&self, edge: usize, script: &Script) -> Rate {
        let weight = |edge: usize| 1.0 / (edge as f64 + 1.0).powf(self.uneven);
        let total: f64 = (0..self.edges).map(weight).sum();
        Rate { per_s: self.per_s * weight(edge) / total, jumps: script.rate_jumps.clone() }
    }

    /// The text of a front's settings file.
    pub fn edge_settings(&self, edge: usize, pool_list: &str, listen: &str) -> String {
        let mut text = format!(
            "name: \"edge-{edge}\"\nlisten: \"{listen}\"\npool_list: {pool_list:?}\nlook_at_pool_list_every: \"50ms\"\n\
             timing: resend: \"{}ns\"\nlog: level: \"warn\"\npools: {:?}\n",
            self.resend_ns,
            self.pools()
        );
        let rules = &self.rules;
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "rules: {{release: \"{}ns\", drain_grace: \"{}ns\", cold_from: {:?}, cold_span: \"{}ns\", \
             tip_multiple: {:?}}}\nlimits: {{callers: {}, calls: 1000000, calls_per_caller: 1000000, queue: 8192}}\n\
             classes: [\n",
            rules.release_ns,
            rules.drain_grace_ns,
            rules.cold_from,
            rules.cold_span_ns,
            rules.tip_multiple,
            self.callers_per_edge + 8,
        );
        for class in &self.classes {
            let _ = writeln!(
                text,
                "\t{{name: {:?}, aim: \"{}ns\", give_up: \"{}ns\", worth: {:?}, late_worth: {:?}}},",
                class.name, class.aim_ns, class.give_up_ns, class.worth, class.late_worth
            );
        }
        text.push_str("]\n");
        text
    }

    /// The faults of the network between fronts at a time of the day.
    pub fn network_conditions(&self, script: &Script, day_ns: Nanos) -> NetworkConditions {
        let all_lost = script.peers_lost.iter().any(|(start, end)| (*start..*end).contains(&day_ns));
        let damaged = script.peers_damaged.iter().filter(|(start, end, _)| (*start..*end).contains(&day_ns));
        NetworkConditions {
            lost: if all_lost { 100 } else { self.peer_loss },
            damaged: damaged.map(|(.., percent)| *percent).max().unwrap_or(0),
            split: 0,
        }
    }

    /// The events of the day.
    pub fn script(&self) -> Script {
        let servers = self.servers.iter().map(|s| (s.clone(), true)).collect();
        let mut script = Script { servers, ..Script::default() };
        for trouble in &self.troubles {
            self.add_trouble(trouble, &mut script);
        }
        script.server_events.sort_by_key(|e| (e.0, e.1));
        script.list_changes.sort_by_key(|e| (e.0, e.1));
        script.caller_departures.sort_unstable();
        script.restarts = merge_overlapping(&script.restarts);
        script.suspensions = while_running(&merge_overlapping(&script.suspensions), &script.restarts);
        script
    }

    /// Adds the events of a fault.
    fn add_trouble(&self, trouble: &Trouble, script: &mut Script) {
        let (start, end, size) = (trouble.at_ns, trouble.at_ns + trouble.for_ns, trouble.size);
        let is_affected = |s: &ServerSpec| trouble.servers.is_empty() || trouble.servers.contains(&s.name);
        let servers: Vec<usize> =
            (0..self.servers.len()).filter(|i| is_affected(&self.servers[*i])).collect();
        let edges: Vec<usize> =
            if trouble.edges.is_empty() { (0..self.edges).collect() } else { trouble.edges.clone() };
        match trouble.kind {
            TroubleKind::Jump => script.rate_jumps.push((start, end, size)),
            TroubleKind::Freeze => {
                script.suspensions.extend(edges.into_iter().map(|edge| (start, end, edge)))
            }
            TroubleKind::Restart => script.restarts.extend(edges.into_iter().map(|edge| (start, end, edge))),
            TroubleKind::PeersConfused => {
                script.confused_fronts.extend(edges.into_iter().map(|edge| (start, edge)))
            }
            TroubleKind::ListLate => {
                script.late_lists.extend(edges.into_iter().map(|edge| (start, end, edge, trouble.wait_ns)));
            }
            TroubleKind::PeersLost => script.peers_lost.push((start, end)),
            TroubleKind::PeersDamaged => {
                script.peers_damaged.push((start, end, (100.0 * size.min(1.0)) as u32))
            }
            TroubleKind::CallersLeave => {
                script.caller_departures.extend(edges.into_iter().map(|edge| (start, edge)))
            }
            _ => servers.into_iter().for_each(|s| self.add_server_trouble(trouble, s, (start, end), script)),
        }
    }

    /// Adds the events of a fault at one server.
    fn add_server_trouble(
        &self,
        trouble: &Trouble,
        server: usize,
        (start, end): (Nanos, Nanos),
        script: &mut Script,
    ) {
        let size = trouble.size;
        let response_fault = |answers| ResponseFault {
            answers,
            share: size,
            by: trouble.by,
            first: trouble.first,
            wait_ns: trouble.wait_ns,
        };
        let fault = match trouble.kind {
            TroubleKind::FullShare => Some(response_fault(FaultAnswer::Full)),
            TroubleKind::NoCircuitShare => Some(response_fault(FaultAnswer::NoCircuit)),
            TroubleKind::UnansweredShare => Some(response_fault(FaultAnswer::Nothing)),
            TroubleKind::FaultShare => Some(response_fault(FaultAnswer::Fault)),
            TroubleKind::BusyShare => Some(response_fault(FaultAnswer::Busy)),
            _ => None,
        };
        let mut add_event = |at, event| script.server_events.push((at, server, event));
        if let Some(fault) = fault {
            add_event(start, ServerEvent::BeginFault(fault));
            add_event(end, ServerEvent::EndFault(fault));
        }
        match trouble.kind {
            TroubleKind::Slow => {
                add_event(start, ServerEvent::Slow(size));
                add_event(end, ServerEvent::Slow(1.0));
            }
            TroubleKind::Still => {
                let count = (end - start) / STILL_EVERY_NS;
                (0..count.max(1)).for_each(|i| {
                    add_event(start + i * STILL_EVERY_NS, ServerEvent::Pause((size * 1e6) as Nanos));
                });
            }
            TroubleKind::AnswersLost => {
                add_event(start, ServerEvent::LoseAnswers(size));
                add_event(end, ServerEvent::LoseAnswers(0.0));
            }
            TroubleKind::Reset => add_event(start, ServerEvent::Reset),
            TroubleKind::Silent => add_silence(server, (start, end), script),
            TroubleKind::Flap => {
                let period_ns = trouble.wait_ns.max(1_000_000_000) as usize;
                (start..end)
                    .step_by(period_ns)
                    .for_each(|at| add_silence(server, (at, at + period_ns as u64 / 2), script));
            }
            TroubleKind::Drain | TroubleKind::Replace => {
                add_event(end, ServerEvent::Stop);
                script.list_changes.push((start, server, Listed::Draining));
                script.list_changes.push((end, server, Listed::Gone));
                if trouble.kind == TroubleKind::Replace {
                    let old = &self.servers[server];
                    let new = script.servers.len();
                    script
                        .servers
                        .push((ServerSpec { name: format!("{}-new", old.name), ..old.clone() }, false));
                    script.server_events.push((start, new, ServerEvent::Start));
                    script.list_changes.push((start, new, Listed::Running(Some(start))));
                }
            }
            _ => {}
        }
    }
}

/// Adds the events of a server that answers nothing and then restarts cold. The pool list shows both with a
/// delay.
fn add_silence(server: usize, (start, end): (Nanos, Nanos), script: &mut Script) {
    script.server_events.push((start, server, ServerEvent::Silence));
    script.server_events.push((end, server, ServerEvent::Start));
    if start + SILENT_NOTICE_NS < end {
        script.list_changes.push((start + SILENT_NOTICE_NS, server, Listed::Gone));
    }
    script.list_changes.push((end + BACK_NOTICE_NS, server, Listed::Running(Some(end))));
}

fn schema() -> Result<Schema, ConfigError> {
    Schema::new("day.cue", DAY_SCHEMA)
}

/// Checks the rules that concern several fields.
fn checked(loaded: Loaded<Day>) -> Result<Day, ConfigError> {
    let day = &loaded.value;
    let mut names = std::collections::BTreeSet::new();
    for (index, server) in day.servers.iter().enumerate() {
        if !names.insert(&server.name) {
            let message = format!("server {:?} is given twice", server.name);
            return Err(loaded.error_at(&format!("servers[{index}].name"), message));
        }
    }
    for (index, trouble) in day.troubles.iter().enumerate() {
        if let Some(name) = trouble.servers.iter().find(|n| !names.contains(n)) {
            let message = format!("no server {name:?}");
            return Err(loaded.error_at(&format!("troubles[{index}].servers"), message));
        }
        if let Some(edge) = trouble.edges.iter().find(|e| **e >= day.edges) {
            let message = format!("no front {edge}, there are 0 to {}", day.edges - 1);
            return Err(loaded.error_at(&format!("troubles[{index}].edges"), message));
        }
    }
    Ok(loaded.value)
}

/// The text of a pool list with these servers: name, pool, address, state.
pub fn pool_list(
    servers: impl Iterator<Item = (String, String, String, Listed)>,
    day_start_ms: u64,
) -> String {
    let mut text = "servers: [\n".to_string();
    for (name, pool, address, listed) in servers {
        let (state, started_ms) = match listed {
            Listed::Running(None) => ("running", 0),
            Listed::Running(Some(at)) => ("running", day_start_ms + at / 1_000_000),
            Listed::Draining => ("draining", 0),
            Listed::Gone => continue,
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "\t{{name: {name:?}, pool: {pool:?}, address: {address:?}, state: {state:?}, started_ms: {started_ms}}},"
        );
    }
    text.push_str("]\n");
    text
}
