//! Plays a day with real fronts on loopback: starts them and the stand-ins, lets the troubles happen, collects
//! what crossed the sockets.

use crate::call_rules_checker::{judge, Breach};
use crate::callers;
use crate::datagram_relay::Relay;
use crate::day::{pool_list, Day, Kind, Listed, Script};
use crate::edges::{EdgeError, Program, Running, Used};
use crate::record::{Record, Seen};
use crate::report::{report, Report};
use crate::simulated_network::{Sent, Weather};
use crate::simulation::caller::Callers;
use crate::standin::{self, Play};
use lilacpitch::interface::Nanos;
use lilacpitch_edge::net::Clock;
use lilacpitch_net::free_addresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::sync::watch;

/// From the fronts' start to the first call: links are made meanwhile.
const LEAD_NS: Nanos = 1_000_000_000;
/// Fronts that all others know from their settings.
const SEEDS: usize = 5;

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum PlayError {
    /// A front.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// A file or socket of the laboratory itself.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// A front that tells others nonsense: none of the real ones does.
    #[error("days with peers_confused are played in virtual time only")]
    VirtualOnly,
    /// Only processes can be killed.
    #[error("days with restarts are played with processes only")]
    ProcessesOnly,
    /// A caller could not connect.
    #[error("callers: {0}")]
    Callers(String),
}

/// A day that was played.
#[derive(Debug)]
pub struct Played {
    /// What crossed the sockets, in the order of time.
    pub records: Vec<Record>,
    /// Its sums.
    pub report: Report,
    /// Rules broken.
    pub breaches: Vec<Breach>,
    /// What each front's process used; empty for threads.
    pub used: Vec<Used>,
    /// What fronts sent each other: in virtual time while calls came, on sockets from start to end.
    pub talk: Sent,
    /// What a cold server was sent at most, of its ramp with chance: in virtual time, 0 on sockets.
    pub ramp: f64,
}

/// Plays a day with this program as its fronts. Blocks until it is over.
pub fn play(day: &Day, program: &Program) -> Result<Played, PlayError> {
    let has = |kind: Kind| day.troubles.iter().any(|t| t.kind == kind);
    if has(Kind::PeersConfused) || has(Kind::ListLate) {
        return Err(PlayError::VirtualOnly);
    }
    if has(Kind::Restart) && !matches!(program, Program::Process(..)) {
        return Err(PlayError::ProcessesOnly);
    }
    let folder = tempfile::tempdir().map_err(|e| PlayError::Io("a folder for settings", e))?;
    let script = day.script();
    let clock = Clock::start();
    let mut sockets = Vec::new();
    for _ in &script.servers {
        sockets.push(standin::bind().map_err(|e| PlayError::Io("a server's socket", e))?);
    }
    let addresses: Vec<SocketAddr> = sockets.iter().map(|(_, address)| *address).collect();
    let mut board = Board::new(&script, addresses, folder.path());
    board.write().map_err(|e| PlayError::Io("the pool list", e))?;
    let start_ns = clock.now() + LEAD_NS * 2;
    board.day_start_ms = start_ns / 1_000_000;
    let (over, done) = watch::channel(false);
    let plays = plays(day, &script, sockets, start_ns);
    let servers = std::thread::spawn(move || on_a_loop(standin::play(plays, clock, done)));
    let mut fronts = Fronts { program, configs: Vec::new(), running: Vec::new(), relay: None };
    let mut played = fronts
        .start(day, folder.path(), &board.path)
        .and_then(|()| play_day(day, &script, &mut fronts, board, clock, start_ns));
    let Fronts { running: edges, relay, .. } = fronts;
    let used: Vec<Used> = edges.iter().filter_map(Running::used).collect();
    for edge in edges {
        // The first error is the one that tells most.
        if let (Err(error), Ok(_)) = (edge.stop(), &played) {
            played = Err(error.into());
        }
    }
    let _ = over.send(true);
    let talk = match relay.map(Relay::stop).transpose() {
        Ok(counts) => counts.unwrap_or_default().came,
        Err(error) => return Err(PlayError::Io("the network between fronts", error)),
    };
    let seen = match servers.join() {
        Ok(Ok(Ok(records))) => records,
        Ok(Ok(Err(error)) | Err(error)) => return Err(PlayError::Io("a server", error)),
        Err(_) => return Err(PlayError::Io("a server", std::io::Error::other("panicked"))),
    };
    let mut records = played?;
    records.extend(seen);
    records.sort_by_key(|r| r.at_ns);
    for record in &mut records {
        record.at_ns = record.at_ns.saturating_sub(start_ns);
    }
    let breaches = judge(&records, day.figures());
    Ok(Played {
        report: report(day, &records, 0),
        breaches,
        records,
        used,
        talk: Sent { datagrams: talk.0, bytes: talk.1 },
        ramp: 0.0,
    })
}

/// Runs to its end on a thread of its own loop.
fn on_a_loop<T>(of: impl std::future::Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, of))
}

fn plays(
    day: &Day,
    script: &Script,
    sockets: Vec<(std::net::TcpListener, SocketAddr)>,
    start_ns: Nanos,
) -> Vec<Play> {
    let of = |(index, (listener, _)): (usize, (std::net::TcpListener, SocketAddr))| {
        let (server, listed) = &script.servers[index];
        let own = script.server.iter().filter(|(_, i, _)| *i == index);
        Play {
            name: server.name.clone(),
            make: day.make(server),
            listener,
            events: own.map(|(at, _, event)| (start_ns + at, *event)).collect(),
            absent: !listed,
        }
    };
    sockets.into_iter().enumerate().map(of).collect()
}

/// The fronts of a day, and the network between them.
struct Fronts<'a> {
    program: &'a Program,
    configs: Vec<PathBuf>,
    running: Vec<Running>,
    relay: Option<Relay>,
}

impl Fronts<'_> {
    fn start(&mut self, day: &Day, folder: &Path, list: &Path) -> Result<(), PlayError> {
        let io = |what| move |e| PlayError::Io(what, e);
        // Fixed, since one that starts anew must be found where it was.
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

    /// Puts a relay before each front; the settings by which they know each other.
    fn connect(&mut self, day: &Day, folder: &Path) -> Result<Vec<String>, PlayError> {
        let network = |e| PlayError::Io("the network between fronts", e);
        let real = free_addresses(day.edges).map_err(network)?;
        let relay = Relay::start(real.clone(), day.seed).map_err(network)?;
        let key = folder.join("peers.key");
        std::fs::write(&key, "5a".repeat(32)).map_err(|e| PlayError::Io("the key of fronts", e))?;
        let seeds: Vec<String> =
            relay.public.iter().take(SEEDS).map(|a| format!("{:?}", a.to_string())).collect();
        let of = |(listen, reached): (&SocketAddr, &SocketAddr)| {
            format!(
                "peers: {{listen: \"{listen}\", reached_at: \"{reached}\", seeds: [{}], key_file: {:?}, fronts: {}}}\n",
                seeds.join(", "),
                key.display().to_string(),
                day.edges.max(2)
            )
        };
        let settings = real.iter().zip(&relay.public).map(of).collect();
        self.relay = Some(relay);
        Ok(settings)
    }
}

fn play_day(
    day: &Day,
    script: &Script,
    fronts: &mut Fronts<'_>,
    board: Board,
    clock: Clock,
    start_ns: Nanos,
) -> Result<Vec<Record>, PlayError> {
    let addresses: Vec<SocketAddr> = fronts.running.iter().map(|edge| edge.callers).collect();
    let plan = |edge: usize| callers::Plan {
        edge,
        address: addresses[edge],
        sockets: day.callers_per_edge,
        classes: day.classes.iter().map(|c| c.name.clone()).collect(),
        pools: day.pools(),
        callers: Callers::new(
            format!("e{edge}c"),
            day.habits(),
            day.pools().len(),
            day.seed.wrapping_mul(1000) + edge as u64,
        ),
        rate: day.rate(script),
        start_ns,
        length_ns: day.length_ns,
        leave: script.leave.iter().filter(|(_, e)| *e == edge).map(|(at, _)| *at).collect(),
        come_back: script.restart.iter().any(|(.., e)| *e == edge),
    };
    let all = async {
        let callers: Vec<_> = (0..addresses.len())
            .map(|edge| tokio::task::spawn_local(callers::play(plan(edge), clock)))
            .collect();
        let mut records = happen(day, script, fronts, board, clock, start_ns).await?;
        for task in callers {
            let seen = task.await.map_err(|e| PlayError::Callers(e.to_string()))?;
            records.extend(seen.map_err(PlayError::Callers)?);
        }
        Ok(records)
    };
    on_a_loop(all).map_err(|e| PlayError::Io("the laboratory's loop", e))?
}

/// Lets happen what is neither a server's nor a caller's doing: the pool list, fronts that freeze or start anew, and
/// the network between them.
async fn happen(
    day: &Day,
    script: &Script,
    fronts: &mut Fronts<'_>,
    mut board: Board,
    clock: Clock,
    start_ns: Nanos,
) -> Result<Vec<Record>, PlayError> {
    enum What {
        Listed(usize, Listed),
        Freeze(usize, bool),
        Kill(usize),
        Start(usize),
        Weather(Weather),
    }
    let mut all: Vec<(Nanos, What)> =
        script.list.iter().map(|(at, server, listed)| (*at, What::Listed(*server, *listed))).collect();
    for (from, to, edge) in &script.freeze {
        all.push((*from, What::Freeze(*edge, true)));
        all.push((*to, What::Freeze(*edge, false)));
    }
    for (from, to, edge) in &script.restart {
        all.extend([(*from, What::Kill(*edge)), (*to, What::Start(*edge))]);
    }
    let lost = script.peers_lost.iter().flat_map(|(from, to)| [*from, *to]);
    let damaged = script.peers_damaged.iter().flat_map(|(from, to, _)| [*from, *to]);
    all.extend(
        std::iter::once(0).chain(lost).chain(damaged).map(|at| (at, What::Weather(day.weather(script, at)))),
    );
    all.sort_by_key(|(at, _)| *at);
    let mut records = Vec::new();
    for (at, what) in all {
        tokio::time::sleep_until(clock.instant(start_ns + at)).await;
        let seen = match what {
            What::Listed(server, listed) => {
                board.listed[server] = listed;
                board.write().map_err(|e| PlayError::Io("the pool list", e))?;
                let running = matches!(listed, Listed::Running(_));
                Seen::Told { server: script.servers[server].0.name.clone(), running }
            }
            What::Freeze(edge, on) => {
                fronts.running[edge].freeze(on);
                if on {
                    Seen::Frozen { edge }
                } else {
                    Seen::Thawed { edge }
                }
            }
            // What its end and its start mean is seen at the sockets of callers and servers.
            What::Kill(edge) => {
                fronts.running[edge].kill();
                continue;
            }
            What::Start(edge) => {
                let (program, config) = (fronts.program.clone(), fronts.configs[edge].clone());
                // Not on this loop: callers go on meanwhile.
                let started = tokio::task::spawn_blocking(move || program.start(&config)).await;
                let failed = |e| EdgeError::NotReady(format!("its start panicked: {e}"));
                fronts.running[edge] = started.map_err(failed)??;
                continue;
            }
            What::Weather(weather) => {
                fronts.relay.iter().for_each(|relay| relay.weather(weather));
                continue;
            }
        };
        records.push(Record { at_ns: clock.now(), seen });
    }
    Ok(records)
}

/// The pool list, as it stands and as a file.
struct Board {
    path: PathBuf,
    rows: Vec<(String, String, SocketAddr)>,
    listed: Vec<Listed>,
    day_start_ms: u64,
}

impl Board {
    fn new(script: &Script, addresses: Vec<SocketAddr>, folder: &Path) -> Self {
        let servers = script.servers.iter().zip(addresses);
        Board {
            path: folder.join("pools.cue"),
            rows: servers.map(|((s, _), address)| (s.name.clone(), s.pool.clone(), address)).collect(),
            listed: script
                .servers
                .iter()
                .map(|(_, listed)| if *listed { Listed::Running(None) } else { Listed::Gone })
                .collect(),
            day_start_ms: 0,
        }
    }

    /// Replaced whole, by renaming: no front reads half of it.
    fn write(&self) -> std::io::Result<()> {
        let rows = self.rows.iter().zip(&self.listed);
        let rows = rows.map(|((n, p, a), l)| (n.clone(), p.clone(), a.to_string(), *l));
        let beside = self.path.with_extension("new");
        std::fs::write(&beside, pool_list(rows, self.day_start_ms))?;
        std::fs::rename(&beside, &self.path)
    }
}
