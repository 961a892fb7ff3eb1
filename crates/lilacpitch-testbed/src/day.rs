//! A day: load by class, servers, and troubles with start, length and size; as a typed record.

use crate::call_rules_checker::Figures;
use crate::simulated_network::Weather;
use crate::simulation::caller::{Habit, Rate};
use crate::simulation::server::{Ailment, Answers, By, Make};
use lilacpitch::interface::Nanos;
use lilacpitch_config::{de_duration, load, load_text, ConfigError, Loaded, Schema};
use serde::Deserialize;
use std::fmt::Write;
use std::path::Path;

/// The schema of day files.
pub const DAY_SCHEMA: &str = include_str!("day.cue");
/// The list says this late that a server went silent, and that one is back.
const SILENT_NOTICE_NS: Nanos = 4_000_000_000;
const BACK_NOTICE_NS: Nanos = 500_000_000;
/// Standstills come this far apart.
const STILL_EVERY_NS: Nanos = 2_000_000_000;

/// A day.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Day {
    /// Seeds all that is drawn.
    pub seed: u64,
    /// Calls come for so long.
    #[serde(deserialize_with = "de_duration", rename = "length")]
    pub length_ns: Nanos,
    /// Fronts.
    pub edges: usize,
    /// Sockets of callers at each front.
    pub callers_per_edge: usize,
    /// Calls a second at all fronts together.
    pub per_s: f64,
    /// How unevenly calls fall on fronts: the n-th gets a share by 1 over n to this power; 0: evenly.
    pub uneven: f64,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Servers.
    pub servers: Vec<ServerMake>,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// Figures of the rules.
    pub rules: Rules,
    /// The gap after which an unanswered set-up is sent again.
    #[serde(deserialize_with = "de_duration", rename = "resend")]
    pub resend_ns: Nanos,
    /// Whether fronts know each other.
    pub peers: bool,
    /// Of a hundred of their datagrams, so many are lost.
    pub peer_loss: u32,
}

/// A class of calls, and how its callers behave.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[allow(missing_docs)]
pub struct Class {
    pub name: String,
    #[serde(deserialize_with = "de_duration", rename = "aim")]
    pub aim_ns: Nanos,
    #[serde(deserialize_with = "de_duration", rename = "give_up")]
    pub give_up_ns: Nanos,
    pub worth: f64,
    pub late_worth: f64,
    pub share: f64,
    #[serde(deserialize_with = "de_duration", rename = "hold")]
    pub hold_ns: Nanos,
    pub retries: u32,
    pub try_share: f64,
    #[serde(deserialize_with = "de_duration", rename = "backoff")]
    pub backoff_ns: Nanos,
}

/// A server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[allow(missing_docs)]
pub struct ServerMake {
    pub name: String,
    pub pool: String,
    pub per_s: f64,
    pub circuits: usize,
    #[serde(deserialize_with = "de_duration", rename = "full_after")]
    pub full_after_ns: Nanos,
}

/// Figures of the rules.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[allow(missing_docs)]
pub struct Rules {
    #[serde(deserialize_with = "de_duration", rename = "release")]
    pub release_ns: Nanos,
    #[serde(deserialize_with = "de_duration", rename = "drain_grace")]
    pub drain_grace_ns: Nanos,
    pub cold_from: f64,
    #[serde(deserialize_with = "de_duration", rename = "cold_span")]
    pub cold_span_ns: Nanos,
    pub tip_multiple: f64,
    #[serde(deserialize_with = "de_duration", rename = "tip_span")]
    pub tip_span_ns: Nanos,
    pub tip_chance: bool,
}

/// One thing that goes wrong.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[allow(missing_docs)]
pub struct Trouble {
    pub kind: Kind,
    #[serde(deserialize_with = "de_duration", rename = "at")]
    pub at_ns: Nanos,
    #[serde(deserialize_with = "de_duration", rename = "for")]
    pub for_ns: Nanos,
    pub size: f64,
    pub servers: Vec<String>,
    pub edges: Vec<usize>,
    #[serde(deserialize_with = "de_duration", rename = "wait")]
    pub wait_ns: Nanos,
    pub by: By,
    pub first: u64,
}

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A processor runs `size` times slower.
    Slow,
    /// A server answers nothing, and comes back cold.
    Silent,
    /// A processor stands still for `size` milliseconds every two seconds.
    Still,
    /// A server drains; then it stops, which cuts what stands there, and stays away.
    Drain,
    /// A drain, and a cold server in its place from its start on.
    Replace,
    /// Calls come `size` times as often.
    Jump,
    /// A server loses this share, `size`, of its answers.
    AnswersLost,
    /// A server turns this share, `size`, of its set-ups away as 'full', telling `wait`, with room for all.
    FullShare,
    /// A server answers this share, `size`, with 'no circuit'.
    NoCircuitShare,
    /// A server loses this share, `size`, of its set-ups.
    UnansweredShare,
    /// A server answers this share, `size`, with a fault.
    FaultShare,
    /// A server answers this share, `size`, with 'lines busy'.
    BusyShare,
    /// A server goes silent and comes back, cold, for every `wait` of the span, in turn: half of it away.
    Flap,
    /// All connections to a server are lost at once, and can be made again.
    Reset,
    /// A front's process is stopped, and goes on.
    Freeze,
    /// Callers drop their sockets, with their calls.
    CallersLeave,
    /// A front is killed and starts anew at the end, knowing nothing.
    Restart,
    /// No datagram between fronts arrives.
    PeersLost,
    /// This share of the datagrams between fronts, `size`, is damaged: see [`crate::simulated_network::damaged`].
    PeersDamaged,
    /// What the list tells in this span reaches fronts `wait` late. In virtual time only.
    ListLate,
    /// A front tells the others that all servers are silent. In virtual time only.
    PeersConfused,
}

/// What happens to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerEvent {
    /// Its processor runs so many times slower.
    Slow(f64),
    /// It goes silent.
    Die,
    /// It starts anew, cold.
    Start,
    /// It stands still for so long.
    Still(Nanos),
    /// It loses this share of its answers.
    LoseAnswers(f64),
    /// Something ails it,
    Ail(Ailment),
    /// and no longer.
    Heal(Ailment),
    /// Its connections are lost.
    Reset,
    /// It stops for good.
    Stop,
}

/// What the pool list says of a server from a moment on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Running, started at this moment of the day; `None`: long ago.
    Running(Option<Nanos>),
    /// Draining.
    Draining,
    /// Not listed.
    Gone,
}

/// All that happens on a day, by moment.
#[derive(Debug, Clone, Default)]
pub struct Script {
    /// To servers, by their place among [`Script::servers`].
    pub server: Vec<(Nanos, usize, ServerEvent)>,
    /// To the pool list, the same.
    pub list: Vec<(Nanos, usize, Listed)>,
    /// Fronts that freeze: from, to.
    pub freeze: Vec<(Nanos, Nanos, usize)>,
    /// Fronts whose callers drop their sockets.
    pub leave: Vec<(Nanos, usize)>,
    /// Fronts that are killed and start anew: from, to.
    pub restart: Vec<(Nanos, Nanos, usize)>,
    /// Fronts that tell others nonsense.
    pub confused: Vec<(Nanos, usize)>,
    /// Spans in which no datagram between fronts arrives.
    pub peers_lost: Vec<(Nanos, Nanos)>,
    /// Spans in which of 100 datagrams between fronts so many are damaged.
    pub peers_damaged: Vec<(Nanos, Nanos, u32)>,
    /// Spans in which news of the list reaches a front so much later: from, to, front, by.
    pub list_late: Vec<(Nanos, Nanos, usize, Nanos)>,
    /// Jumps of the rate.
    pub jumps: Vec<(Nanos, Nanos, f64)>,
    /// The day's servers and those that replace them; `true`: listed from the start.
    pub servers: Vec<(ServerMake, bool)>,
}

impl Script {
    /// How late news of the list of this moment of the day reaches a front.
    pub fn list_late_ns(&self, front: usize, day_ns: Nanos) -> Nanos {
        let met = |(from, to, whose, _): &&(Nanos, Nanos, usize, Nanos)| {
            *whose == front && (*from..*to).contains(&day_ns)
        };
        self.list_late.iter().filter(met).map(|(.., late_ns)| *late_ns).max().unwrap_or(0)
    }
}

/// A front's spans (from, to, front), those that meet made one: it is down, or stands still, until the last of them ends.
fn joined(spans: &[(Nanos, Nanos, usize)]) -> Vec<(Nanos, Nanos, usize)> {
    let mut order = spans.to_vec();
    order.sort_unstable_by_key(|(from, to, front)| (*front, *from, *to));
    let mut all: Vec<(Nanos, Nanos, usize)> = Vec::new();
    for (from, to, front) in order {
        match all.last_mut().filter(|(_, until, of)| *of == front && from <= *until) {
            Some((_, until, _)) => *until = to.max(*until),
            None => all.push((from, to, front)),
        }
    }
    all
}

/// What is left of standstills beside restarts: one ends with the life that it began in, and who is down can't begin
/// one.
fn lived(freeze: &[(Nanos, Nanos, usize)], restart: &[(Nanos, Nanos, usize)]) -> Vec<(Nanos, Nanos, usize)> {
    let of = |front| restart.iter().filter(move |(.., whose)| *whose == front);
    let begins = |(from, _, front): &&(Nanos, Nanos, usize)| {
        !of(*front).any(|(down, up, _)| (*down..*up).contains(from))
    };
    let ends = |(from, to, front): &(Nanos, Nanos, usize)| {
        let killed = of(*front).map(|(down, ..)| *down).filter(|down| down > from).min();
        (*from, killed.map_or(*to, |down| down.min(*to)), *front)
    };
    freeze.iter().filter(begins).map(ends).collect()
}

impl Day {
    /// Reads and checks a day file.
    pub fn load(path: &Path) -> Result<Day, ConfigError> {
        checked(load(&schema()?, "#Day", path)?)
    }

    /// Reads and checks a day from a text that errors call `name`.
    pub fn from_text(name: &str, text: &str) -> Result<Day, ConfigError> {
        checked(load_text(&schema()?, "#Day", name, text)?)
    }

    /// The figures that the judge goes by.
    pub fn figures(&self) -> Figures {
        Figures { drain_grace_ns: self.rules.drain_grace_ns, release_ns: self.rules.release_ns }
    }

    /// What a server is like.
    pub fn make(&self, server: &ServerMake) -> Make {
        Make {
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

    /// How callers behave, by class.
    pub fn habits(&self) -> Vec<Habit> {
        let habit = |class: &Class| Habit {
            share: class.share,
            hold_ns: class.hold_ns,
            give_up_ns: class.give_up_ns,
            try_share: class.try_share,
            retries: class.retries,
            backoff_ns: class.backoff_ns,
        };
        self.classes.iter().map(habit).collect()
    }

    /// Calls at one front over time.
    pub fn rate(&self, script: &Script) -> Rate {
        Rate { per_s: self.per_s / self.edges as f64, jumps: script.jumps.clone() }
    }

    /// The same at one of them, by its share.
    pub fn rate_at(&self, edge: usize, script: &Script) -> Rate {
        let share = |edge: usize| 1.0 / (edge as f64 + 1.0).powf(self.uneven);
        let all: f64 = (0..self.edges).map(share).sum();
        Rate { per_s: self.per_s * share(edge) / all, jumps: script.jumps.clone() }
    }

    /// The settings of one front, as its file.
    pub fn edge_settings(&self, edge: usize, pool_list: &str, listen: &str) -> String {
        let mut out = format!(
            "name: \"edge-{edge}\"\nlisten: \"{listen}\"\npool_list: {pool_list:?}\nlook_at_pool_list_every: \"50ms\"\n\
             timing: resend: \"{}ns\"\nlog: level: \"warn\"\npools: {:?}\n",
            self.resend_ns,
            self.pools()
        );
        let rules = &self.rules;
        // Writing to a String cannot fail.
        let _ = write!(
            out,
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
                out,
                "\t{{name: {:?}, aim: \"{}ns\", give_up: \"{}ns\", worth: {:?}, late_worth: {:?}}},",
                class.name, class.aim_ns, class.give_up_ns, class.worth, class.late_worth
            );
        }
        out.push_str("]\n");
        out
    }

    /// What the network between fronts does at a moment of the day.
    pub fn weather(&self, script: &Script, day_ns: Nanos) -> Weather {
        let lost = script.peers_lost.iter().any(|(from, to)| (*from..*to).contains(&day_ns));
        let damaged = script.peers_damaged.iter().filter(|(from, to, _)| (*from..*to).contains(&day_ns));
        Weather {
            lost: if lost { 100 } else { self.peer_loss },
            damaged: damaged.map(|(.., share)| *share).max().unwrap_or(0),
            split: 0,
        }
    }

    /// What happens when.
    pub fn script(&self) -> Script {
        let servers = self.servers.iter().map(|s| (s.clone(), true)).collect();
        let mut script = Script { servers, ..Script::default() };
        for trouble in &self.troubles {
            self.write_trouble(trouble, &mut script);
        }
        script.server.sort_by_key(|e| (e.0, e.1));
        script.list.sort_by_key(|e| (e.0, e.1));
        script.leave.sort_unstable();
        script.restart = joined(&script.restart);
        script.freeze = lived(&joined(&script.freeze), &script.restart);
        script
    }

    fn write_trouble(&self, trouble: &Trouble, script: &mut Script) {
        let (from, to, size) = (trouble.at_ns, trouble.at_ns + trouble.for_ns, trouble.size);
        let named = |s: &ServerMake| trouble.servers.is_empty() || trouble.servers.contains(&s.name);
        let servers: Vec<usize> = (0..self.servers.len()).filter(|i| named(&self.servers[*i])).collect();
        let edges: Vec<usize> =
            if trouble.edges.is_empty() { (0..self.edges).collect() } else { trouble.edges.clone() };
        match trouble.kind {
            Kind::Jump => script.jumps.push((from, to, size)),
            Kind::Freeze => script.freeze.extend(edges.into_iter().map(|edge| (from, to, edge))),
            Kind::Restart => script.restart.extend(edges.into_iter().map(|edge| (from, to, edge))),
            Kind::PeersConfused => script.confused.extend(edges.into_iter().map(|edge| (from, edge))),
            Kind::ListLate => {
                script.list_late.extend(edges.into_iter().map(|edge| (from, to, edge, trouble.wait_ns)));
            }
            Kind::PeersLost => script.peers_lost.push((from, to)),
            Kind::PeersDamaged => script.peers_damaged.push((from, to, (100.0 * size.min(1.0)) as u32)),
            Kind::CallersLeave => script.leave.extend(edges.into_iter().map(|edge| (from, edge))),
            _ => servers.into_iter().for_each(|s| self.server_trouble(trouble, s, (from, to), script)),
        }
    }

    fn server_trouble(
        &self,
        trouble: &Trouble,
        server: usize,
        (from, to): (Nanos, Nanos),
        script: &mut Script,
    ) {
        let size = trouble.size;
        let ill = |answers| Ailment {
            answers,
            share: size,
            by: trouble.by,
            first: trouble.first,
            wait_ns: trouble.wait_ns,
        };
        let ailment = match trouble.kind {
            Kind::FullShare => Some(ill(Answers::Full)),
            Kind::NoCircuitShare => Some(ill(Answers::NoCircuit)),
            Kind::UnansweredShare => Some(ill(Answers::Nothing)),
            Kind::FaultShare => Some(ill(Answers::Fault)),
            Kind::BusyShare => Some(ill(Answers::Busy)),
            _ => None,
        };
        let mut event = |at, event| script.server.push((at, server, event));
        if let Some(ailment) = ailment {
            event(from, ServerEvent::Ail(ailment));
            event(to, ServerEvent::Heal(ailment));
        }
        match trouble.kind {
            Kind::Slow => {
                event(from, ServerEvent::Slow(size));
                event(to, ServerEvent::Slow(1.0));
            }
            Kind::Still => {
                let count = (to - from) / STILL_EVERY_NS;
                (0..count.max(1)).for_each(|i| {
                    event(from + i * STILL_EVERY_NS, ServerEvent::Still((size * 1e6) as Nanos));
                });
            }
            Kind::AnswersLost => {
                event(from, ServerEvent::LoseAnswers(size));
                event(to, ServerEvent::LoseAnswers(0.0));
            }
            Kind::Reset => event(from, ServerEvent::Reset),
            Kind::Silent => silent(server, (from, to), script),
            Kind::Flap => {
                let every = trouble.wait_ns.max(1_000_000_000) as usize;
                (from..to).step_by(every).for_each(|at| silent(server, (at, at + every as u64 / 2), script));
            }
            Kind::Drain | Kind::Replace => {
                event(to, ServerEvent::Stop);
                script.list.push((from, server, Listed::Draining));
                script.list.push((to, server, Listed::Gone));
                if trouble.kind == Kind::Replace {
                    let old = &self.servers[server];
                    let new = script.servers.len();
                    script
                        .servers
                        .push((ServerMake { name: format!("{}-new", old.name), ..old.clone() }, false));
                    script.server.push((from, new, ServerEvent::Start));
                    script.list.push((from, new, Listed::Running(Some(from))));
                }
            }
            _ => {}
        }
    }
}

/// A server answers nothing, and comes back cold; the list says both, late.
fn silent(server: usize, (from, to): (Nanos, Nanos), script: &mut Script) {
    script.server.push((from, server, ServerEvent::Die));
    script.server.push((to, server, ServerEvent::Start));
    if from + SILENT_NOTICE_NS < to {
        script.list.push((from + SILENT_NOTICE_NS, server, Listed::Gone));
    }
    script.list.push((to + BACK_NOTICE_NS, server, Listed::Running(Some(to))));
}

fn schema() -> Result<Schema, ConfigError> {
    Schema::new("day.cue", DAY_SCHEMA)
}

fn checked(loaded: Loaded<Day>) -> Result<Day, ConfigError> {
    let day = &loaded.value;
    let mut names = std::collections::BTreeSet::new();
    for (index, server) in day.servers.iter().enumerate() {
        if !names.insert(&server.name) {
            let what = format!("server {:?} is given twice", server.name);
            return Err(loaded.error_at(&format!("servers[{index}].name"), what));
        }
    }
    for (index, trouble) in day.troubles.iter().enumerate() {
        if let Some(name) = trouble.servers.iter().find(|n| !names.contains(n)) {
            let what = format!("no server {name:?}");
            return Err(loaded.error_at(&format!("troubles[{index}].servers"), what));
        }
        if let Some(edge) = trouble.edges.iter().find(|e| **e >= day.edges) {
            let what = format!("no front {edge}, there are 0 to {}", day.edges - 1);
            return Err(loaded.error_at(&format!("troubles[{index}].edges"), what));
        }
    }
    Ok(loaded.value)
}

/// The pool list as a file, for servers with their addresses and what the list says of them.
pub fn pool_list(rows: impl Iterator<Item = (String, String, String, Listed)>, day_start_ms: u64) -> String {
    let mut out = "servers: [\n".to_string();
    for (name, pool, address, listed) in rows {
        let (state, started_ms) = match listed {
            Listed::Running(None) => ("running", 0),
            Listed::Running(Some(at)) => ("running", day_start_ms + at / 1_000_000),
            Listed::Draining => ("draining", 0),
            Listed::Gone => continue,
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "\t{{name: {name:?}, pool: {pool:?}, address: {address:?}, state: {state:?}, started_ms: {started_ms}}},"
        );
    }
    out.push_str("]\n");
    out
}
