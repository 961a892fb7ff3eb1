//! Runs a day with real fronts on loopback: starts them and the simulated servers and callers, injects the
//! faults, and collects the records of what crossed the sockets.

use crate::call_rules_checker::{self, Violation};
use crate::callers;
use crate::datagram_relay::Relay;
use crate::day::{pool_list, Day, Listed, Script, TroubleKind};
use crate::edges::{EdgeError, Program, ResourceUsage, RunningEdge};
use crate::record::{Record, Seen};
use crate::report::{report, Report};
use crate::simulated_network::{GossipTraffic, NetworkConditions};
use crate::simulation::caller::Callers;
use crate::standin::{self, ScriptedServer};
use lilacpitch::interface::Nanos;
use lilacpitch_edge::net::Clock;
use lilacpitch_net::free_addresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::sync::watch;

/// Half of the time from the program's start to the first call; in it the fronts start and connect to the
/// servers.
const LEAD_NS: Nanos = 1_000_000_000;
/// Number of fronts that are seeds in the settings of all fronts.
const SEEDS: usize = 5;

/// Why a day could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A front failed.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// A file or socket of the testbed itself failed.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// The day has faults that exist in virtual time only: fronts with false reports, or a late pool list.
    #[error("days with peers_confused or list_late are played in virtual time only")]
    VirtualOnly,
    /// The day restarts fronts, and only processes can be killed.
    #[error("days with restarts are played with processes only")]
    ProcessesOnly,
    /// A caller could not connect.
    #[error("callers: {0}")]
    Callers(String),
}

/// The result of a day.
#[derive(Debug)]
pub struct RunResult {
    /// The events at the sockets, in order of time.
    pub records: Vec<Record>,
    /// The totals.
    pub report: Report,
    /// Violations of the call rules.
    pub violations: Vec<Violation>,
    /// Resources used by each front's process; empty for threads.
    pub resource_usage: Vec<ResourceUsage>,
    /// Datagrams between fronts: in virtual time while calls arrive, on sockets from start to end.
    pub gossip_traffic: GossipTraffic,
    /// The highest [`ramp`](crate::simulation::server::Server::ramp) of a server in virtual time; 0 on
    /// sockets.
    pub ramp: f64,
}

/// Runs a day with this program as its fronts. Blocks until the day is over.
pub fn run_day(day: &Day, program: &Program) -> Result<RunResult, RunError> {
    let has = |kind: TroubleKind| day.troubles.iter().any(|t| t.kind == kind);
    if has(TroubleKind::PeersConfused) || has(TroubleKind::ListLate) {
        return Err(RunError::VirtualOnly);
    }
    if has(TroubleKind::Restart) && !matches!(program, Program::Process(..)) {
        return Err(RunError::ProcessesOnly);
    }
    let folder = tempfile::tempdir().map_err(|e| RunError::Io("a folder for settings", e))?;
    let script = day.script();
    let clock = Clock::start();
    let mut sockets = Vec::new();
    for _ in &script.servers {
        sockets.push(standin::bind().map_err(|e| RunError::Io("a server's socket", e))?);
    }
    let addresses: Vec<SocketAddr> = sockets.iter().map(|(_, address)| *address).collect();
    let mut pool_list = PoolListFile::new(&script, addresses, folder.path());
    pool_list.write().map_err(|e| RunError::Io("the pool list", e))?;
    let start_ns = clock.now() + LEAD_NS * 2;
    pool_list.day_start_ms = start_ns / 1_000_000;
    let (stop, stopped) = watch::channel(false);
    let scripted_servers = scripted_servers(day, &script, sockets, start_ns);
    let servers = std::thread::spawn(move || run_locally(standin::run(scripted_servers, clock, stopped)));
    let mut fronts = Fronts { program, configs: Vec::new(), running: Vec::new(), relay: None };
    let mut result = fronts
        .start(day, folder.path(), &pool_list.path)
        .and_then(|()| play_day(day, &script, &mut fronts, pool_list, clock, start_ns));
    let Fronts { running: edges, relay, .. } = fronts;
    let resource_usage: Vec<ResourceUsage> = edges.iter().filter_map(RunningEdge::resource_usage).collect();
    for edge in edges {
        // Only the first error is kept: the later ones are usually consequences of it.
        if let (Err(error), Ok(_)) = (edge.stop(), &result) {
            result = Err(error.into());
        }
    }
    let _ = stop.send(true);
    let (datagrams, bytes) = match relay.map(Relay::stop).transpose() {
        Ok(counts) => counts.unwrap_or_default().received,
        Err(error) => return Err(RunError::Io("the network between fronts", error)),
    };
    let server_records = match servers.join() {
        Ok(Ok(Ok(records))) => records,
        Ok(Ok(Err(error)) | Err(error)) => return Err(RunError::Io("a server", error)),
        Err(_) => return Err(RunError::Io("a server", std::io::Error::other("panicked"))),
    };
    let mut records = result?;
    records.extend(server_records);
    records.sort_by_key(|r| r.at_ns);
    for record in &mut records {
        record.at_ns = record.at_ns.saturating_sub(start_ns);
    }
    let violations = call_rules_checker::check(&records, day.rule_limits());
    Ok(RunResult {
        report: report(day, &records, 0),
        violations,
        records,
        resource_usage,
        gossip_traffic: GossipTraffic { datagrams, bytes },
        ramp: 0.0,
    })
}

/// Runs a future to completion on a runtime of its own on the current thread.
fn run_locally<T>(future: impl std::future::Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}

/// The simulated servers of a day.
fn scripted_servers(
    day: &Day,
    script: &Script,
    sockets: Vec<(std::net::TcpListener, SocketAddr)>,
    start_ns: Nanos,
) -> Vec<ScriptedServer> {
    let scripted_server = |(index, (listener, _)): (usize, (std::net::TcpListener, SocketAddr))| {
        let (server, listed) = &script.servers[index];
        let events = script.server_events.iter().filter(|(_, i, _)| *i == index);
        ScriptedServer {
            name: server.name.clone(),
            parameters: day.server_parameters(server),
            listener,
            events: events.map(|(at, _, event)| (start_ns + at, *event)).collect(),
            absent: !listed,
        }
    };
    sockets.into_iter().enumerate().map(scripted_server).collect()
}

/// The fronts of a day and the network between them.
struct Fronts<'a> {
    program: &'a Program,
    configs: Vec<PathBuf>,
    running: Vec<RunningEdge>,
    relay: Option<Relay>,
}

impl Fronts<'_> {
    fn start(&mut self, day: &Day, folder: &Path, list: &Path) -> Result<(), RunError> {
        let io = |context| move |e| RunError::Io(context, e);
        // The addresses are chosen here, so that a front has the same one after a restart.
        let listen = free_addresses(day.edges).map_err(io("fronts' addresses"))?;
        let peers = if day.peers { self.connect(day, folder)? } else { vec![String::new(); day.edges] };
        for (edge, (listen, peers)) in listen.iter().zip(peers).enumerate() {
            let config = folder.join(format!("edge-{edge}.cue"));
            let text = day.edge_settings(edge, &list.display().to_string(), &listen.to_string()) + &peers;
            std::fs::write(&config, text).map_err(io("a front's settings"))?;
            self.running.push(self.program.start(&config)?);
            self.configs.push(config);
        }
        Ok(())
    }

    /// Starts a relay in front of each front. Returns the part of each front's settings that concerns its
    /// peers.
    fn connect(&mut self, day: &Day, folder: &Path) -> Result<Vec<String>, RunError> {
        let network_error = |e| RunError::Io("the network between fronts", e);
        let real = free_addresses(day.edges).map_err(network_error)?;
        let relay = Relay::start(real.clone(), day.seed).map_err(network_error)?;
        let key = folder.join("peers.key");
        std::fs::write(&key, "5a".repeat(32)).map_err(|e| RunError::Io("the key of fronts", e))?;
        let seeds: Vec<String> =
            relay.public.iter().take(SEEDS).map(|a| format!("{:?}", a.to_string())).collect();
        let peers = |(listen, reached): (&SocketAddr, &SocketAddr)| {
            format!(
                "peers: {{listen: \"{listen}\", reached_at: \"{reached}\", seeds: [{}], key_file: {:?}, fronts: {}}}\n",
                seeds.join(", "),
                key.display().to_string(),
                day.edges.max(2)
            )
        };
        let settings = real.iter().zip(&relay.public).map(peers).collect();
        self.relay = Some(relay);
        Ok(settings)
    }
}

/// Runs the callers and the events of a day.
fn play_day(
    day: &Day,
    script: &Script,
    fronts: &mut Fronts<'_>,
    pool_list: PoolListFile,
    clock: Clock,
    start_ns: Nanos,
) -> Result<Vec<Record>, RunError> {
    let addresses: Vec<SocketAddr> = fronts.running.iter().map(|edge| edge.callers).collect();
    let plan = |edge: usize| callers::Plan {
        edge,
        address: addresses[edge],
        sockets: day.callers_per_edge,
        classes: day.classes.iter().map(|c| c.name.clone()).collect(),
        pools: day.pools(),
        callers: Callers::new(
            format!("e{edge}c"),
            day.caller_behaviors(),
            day.pools().len(),
            day.seed.wrapping_mul(1000) + edge as u64,
        ),
        rate: day.rate(script),
        start_ns,
        length_ns: day.length_ns,
        leave: script.caller_departures.iter().filter(|(_, e)| *e == edge).map(|(at, _)| *at).collect(),
        reconnect: script.restarts.iter().any(|(.., e)| *e == edge),
    };
    let all = async {
        let callers: Vec<_> = (0..addresses.len())
            .map(|edge| tokio::task::spawn_local(callers::run(plan(edge), clock)))
            .collect();
        let mut records = run_events(day, script, fronts, pool_list, clock, start_ns).await?;
        for task in callers {
            let caller_records = task.await.map_err(|e| RunError::Callers(e.to_string()))?;
            records.extend(caller_records.map_err(RunError::Callers)?);
        }
        Ok(records)
    };
    run_locally(all).map_err(|e| RunError::Io("the event loop of callers", e))?
}

/// Runs the events that concern neither a single server nor the callers: changes of the pool list, fronts
/// that are suspended or restarted, and faults of the network between them.
async fn run_events(
    day: &Day,
    script: &Script,
    fronts: &mut Fronts<'_>,
    mut pool_list: PoolListFile,
    clock: Clock,
    start_ns: Nanos,
) -> Result<Vec<Record>, RunError> {
    enum DayEvent {
        Listed(usize, Listed),
        Freeze(usize, bool),
        Kill(usize),
        Start(usize),
        NetworkConditions(NetworkConditions),
    }
    let mut events: Vec<(Nanos, DayEvent)> = script
        .list_changes
        .iter()
        .map(|(at, server, listed)| (*at, DayEvent::Listed(*server, *listed)))
        .collect();
    for (start, end, edge) in &script.suspensions {
        events.push((*start, DayEvent::Freeze(*edge, true)));
        events.push((*end, DayEvent::Freeze(*edge, false)));
    }
    for (down, up, edge) in &script.restarts {
        events.extend([(*down, DayEvent::Kill(*edge)), (*up, DayEvent::Start(*edge))]);
    }
    let lost = script.peers_lost.iter().flat_map(|(start, end)| [*start, *end]);
    let damaged = script.peers_damaged.iter().flat_map(|(start, end, _)| [*start, *end]);
    let condition_changes = std::iter::once(0).chain(lost).chain(damaged);
    events.extend(
        condition_changes.map(|at| (at, DayEvent::NetworkConditions(day.network_conditions(script, at)))),
    );
    events.sort_by_key(|(at, _)| *at);
    let mut records = Vec::new();
    for (at, event) in events {
        tokio::time::sleep_until(clock.instant(start_ns + at)).await;
        let seen = match event {
            DayEvent::Listed(server, listed) => {
                pool_list.listed[server] = listed;
                pool_list.write().map_err(|e| RunError::Io("the pool list", e))?;
                let running = matches!(listed, Listed::Running(_));
                Seen::Told { server: script.servers[server].0.name.clone(), running }
            }
            DayEvent::Freeze(edge, on) => {
                fronts.running[edge].freeze(on);
                if on {
                    Seen::Frozen { edge }
                } else {
                    Seen::Thawed { edge }
                }
            }
            // A front's end and start need no records: their effects are recorded by callers and servers.
            DayEvent::Kill(edge) => {
                fronts.running[edge].kill();
                continue;
            }
            DayEvent::Start(edge) => {
                let (program, config) = (fronts.program.clone(), fronts.configs[edge].clone());
                // On a thread of its own, since callers run on this one.
                let started = tokio::task::spawn_blocking(move || program.start(&config)).await;
                let panicked = |e| EdgeError::NotReady(format!("its start panicked: {e}"));
                fronts.running[edge] = started.map_err(panicked)??;
                continue;
            }
            DayEvent::NetworkConditions(conditions) => {
                fronts.relay.iter().for_each(|relay| relay.set_conditions(conditions));
                continue;
            }
        };
        records.push(Record { at_ns: clock.now(), seen });
    }
    Ok(records)
}

/// The pool list of a day and its file.
struct PoolListFile {
    path: PathBuf,
    /// Name, pool and address of each server.
    servers: Vec<(String, String, SocketAddr)>,
    /// The state of each server.
    listed: Vec<Listed>,
    /// Start of the day, in milliseconds by the clock.
    day_start_ms: u64,
}

impl PoolListFile {
    fn new(script: &Script, addresses: Vec<SocketAddr>, folder: &Path) -> Self {
        let servers = script.servers.iter().zip(addresses);
        PoolListFile {
            path: folder.join("pools.cue"),
            servers: servers.map(|((s, _), address)| (s.name.clone(), s.pool.clone(), address)).collect(),
            listed: script
                .servers
                .iter()
                .map(|(_, listed)| if *listed { Listed::Running(None) } else { Listed::Gone })
                .collect(),
            day_start_ms: 0,
        }
    }

    /// Replaces the file by renaming a new one, so that no front reads a part of it.
    fn write(&self) -> std::io::Result<()> {
        let servers = self.servers.iter().zip(&self.listed).map(|((name, pool, address), listed)| {
            (name.clone(), pool.clone(), address.to_string(), *listed)
        });
        let new_file = self.path.with_extension("new");
        std::fs::write(&new_file, pool_list(servers, self.day_start_ms))?;
        std::fs::rename(&new_file, &self.path)
    }
}
