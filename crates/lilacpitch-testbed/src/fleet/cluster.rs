//! Sites and fronts as processes, with wires between them and servers behind them.

use super::fault_proxy::Wires;
use crate::edges::{used, Used};
use crate::record::Record;
use crate::simulation::server::Make;
use crate::standin::{self, Play};
use lilacpitch_edge::net::{fetch, Clock};
use lilacpitch_gossip::Keys;
use lilacpitch_net::free_addresses;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use thiserror::Error;
use tokio::sync::watch;

/// The key of all links in a town.
const KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
/// How long a process may take to listen.
const START: Duration = Duration::from_secs(20);

/// What a town is like.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Sites: name, the one above, and how many processes.
    pub sites: Vec<(String, String, usize)>,
    /// Fronts, by their home sites; one without a home takes no part in the fleet.
    pub fronts: Vec<String>,
    /// What the fleet agrees on, as it stands in settings; may be empty.
    pub terms: String,
    /// More of the `fleet` of fronts; may be empty.
    pub fleet: String,
    /// More settings of sites' processes; may be empty.
    pub site: String,
    /// More settings of fronts, as a rollout would bring; may be empty.
    pub front: String,
    /// Of the network's draws.
    pub seed: u64,
    /// Whether what crosses the wires is kept.
    pub record: bool,
    /// Names of the guards that are off, as the laboratory's programs read them.
    pub breaks: String,
    /// The least level of logs.
    pub log: String,
}

impl Plan {
    /// A root of `root` processes, leaves of one each, and as many fronts at each leaf.
    pub fn leaves(root: usize, leaves: usize, fronts_each: usize) -> Self {
        let mut sites = vec![("root".to_string(), String::new(), root)];
        sites.extend((0..leaves).map(|leaf| (format!("leaf{leaf}"), "root".to_string(), 1)));
        let fronts = (0..leaves).flat_map(|leaf| vec![format!("leaf{leaf}"); fronts_each]).collect();
        Plan {
            sites,
            fronts,
            terms: String::new(),
            fleet: String::new(),
            site: String::new(),
            front: String::new(),
            seed: 1,
            record: true,
            breaks: String::new(),
            log: "info".into(),
        }
    }
}

/// Why a town could not be set up.
#[derive(Debug, Error)]
pub enum TownError {
    /// A file, socket or process.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A process did not say that it listens.
    #[error("{0} did not start: {1}")]
    NotReady(String, String),
}

fn io<T>(what: &str, done: std::io::Result<T>) -> Result<T, TownError> {
    done.map_err(|e| TownError::Io(what.into(), e))
}

#[derive(Debug)]
struct Proc {
    name: String,
    /// The site and the place there; `None`: a front.
    place: Option<(usize, usize)>,
    settings: PathBuf,
    child: Option<Child>,
    pages: SocketAddr,
    callers: SocketAddr,
    /// Its files grow no further than this, in KiB.
    room: Option<u64>,
}

/// A town that runs. Processes are numbered: those of sites in the plan's order, then fronts.
pub struct Town {
    /// The folder of its files.
    pub dir: TempDir,
    /// The network.
    pub wires: Wires,
    program: PathBuf,
    plan: Plan,
    procs: Vec<Proc>,
    servers: Option<Served>,
}

impl Town {
    /// Writes all settings and starts everything. `program` is the laboratory's.
    pub fn start(plan: Plan, program: &Path) -> Result<Self, TownError> {
        // An address that was free may be taken by another program before its own listens there.
        const TRIES: usize = 3;
        let mut last = None;
        for _ in 0..TRIES {
            let mut town = Town::lay_out(plan.clone(), program)?;
            match (0..town.procs.len()).try_for_each(|index| town.start_process(index)) {
                Ok(()) => return Ok(town),
                Err(TownError::NotReady(name, why)) if why.contains("Address already in use") => {
                    last = Some(TownError::NotReady(name, why));
                }
                Err(error) => return Err(error),
            }
        }
        Err(last.unwrap_or(TownError::NotReady("the town".into(), "no try".into())))
    }

    /// Writes all settings and starts nothing but servers.
    pub fn lay_out(plan: Plan, program: &Path) -> Result<Self, TownError> {
        let dir = io("a folder", tempfile::tempdir())?;
        io("the key", std::fs::write(dir.path().join("key"), format!("{KEY}\n")))?;
        let keys = Keys::from_text(KEY).unwrap_or_else(|_| Keys::from_bytes([0x5a; 32]));
        let wires = io("wires", Wires::new(keys, plan.seed, plan.record))?;
        let servers = io("servers", serve(dir.path(), &plan))?;

        let mut places = Vec::new();
        for (site, (name, _, processes)) in plan.sites.iter().enumerate() {
            places.extend((0..*processes).map(|place| (format!("{name}-{place}"), Some((site, place)))));
        }
        places.extend((0..plan.fronts.len()).map(|front| (format!("edge-{front}"), None)));
        let addresses = io("addresses", free_addresses(2 * places.len()))?;
        let (listen, pages) = addresses.split_at(places.len());
        let procs = places.into_iter().zip(listen.iter().zip(pages)).map(|((name, place), (own, pages))| {
            let settings = dir.path().join(format!("{name}.cue"));
            Proc { name, place, settings, child: None, pages: *pages, callers: *own, room: None }
        });
        let procs = procs.collect();
        let program = program.to_path_buf();
        let mut town = Town { dir, wires, program, plan, procs, servers: Some(servers) };
        (0..town.procs.len()).try_for_each(|index| town.write_settings(index))?;
        Ok(town)
    }

    /// Writes a process's settings, with ways to the others where they listen now.
    fn write_settings(&mut self, index: usize) -> Result<(), TownError> {
        let plan = &self.plan;
        let mut seen = String::new();
        for (site, (name, parent, _)) in plan.sites.iter().enumerate() {
            let mut all = Vec::new();
            let of_site = |proc: &&(usize, &Proc)| proc.1.place.is_some_and(|(of, _)| of == site);
            for (to, proc) in self.procs.iter().enumerate().filter(|proc| of_site(&proc)) {
                let real = proc.callers;
                let address = match to == index {
                    true => real,
                    false => io("wire", self.wires.wire(index, to, real))?,
                };
                all.push(format!("{:?}", address.to_string()));
            }
            // Writing to a String cannot fail.
            let _ =
                writeln!(seen, "{{name: {name:?}, parent: {parent:?}, processes: [{}]}},", all.join(", "));
        }
        let Proc { name, place, settings, pages, callers: own, .. } = &self.procs[index];
        let terms = &plan.terms;
        let text = match place {
            Some((site, place)) => format!(
                "name: {name:?}\nsite: {:?}\nplace: {place}\nlisten: \"{own}\"\npages: \"{pages}\"\n\
                 data: \"data-{name}\"\nkey_file: \"key\"\nsites: [\n{seen}]\nterms: {{{terms}}}\n\
                 log: level: {:?}\n{}\n",
                plan.sites[*site].0, plan.log, plan.site
            ),
            None => {
                let fronts = self.procs.iter().filter(|proc| proc.place.is_none());
                let at = fronts.take_while(|proc| proc.name != *name).count();
                let home = &plan.fronts[at];
                let fleet = format!(
                    "fleet: {{home: {home:?}, pool: {home:?}, key_file: \"key\", sites: [\n{seen}]\n\
                     terms: {{{terms}}}\n{}}}\n",
                    plan.fleet
                );
                format!(
                    "name: {name:?}\nlisten: \"{own}\"\nmetrics: \"{pages}\"\npool_list: \"pools.cue\"\n\
                     classes: [{{name: \"voice\", aim: \"1s\", give_up: \"5s\", worth: 1}}]\n\
                     {}log: level: {:?}\n{}\n",
                    if home.is_empty() { "" } else { &fleet },
                    plan.log,
                    plan.front
                )
            }
        };
        io("settings", std::fs::write(settings, text))
    }

    /// Gives a process that does not run another address. Others reach it there once they have started again.
    pub fn move_process(&mut self, index: usize) -> Result<(), TownError> {
        self.procs[index].callers = io("an address", free_addresses(1))?[0];
        self.wires.forget(index);
        (0..self.procs.len()).try_for_each(|index| self.write_settings(index))
    }

    /// From its next start on a process's files may grow to so many KiB each; `None`: as they like.
    pub fn room(&mut self, index: usize, kib: Option<u64>) {
        self.procs[index].room = kib;
    }

    /// Starts a process that does not run, and waits until it listens.
    pub fn start_process(&mut self, index: usize) -> Result<(), TownError> {
        let proc = &mut self.procs[index];
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.dir.path().join(&proc.name));
        let kind = if proc.place.is_some() { "site" } else { "edge" };
        let mut command = match proc.room {
            None => Command::new(&self.program),
            Some(kib) => {
                // Past it a write fails, as on a full disk, and the process is told so.
                let script = format!("trap '' XFSZ; ulimit -f {}; exec \"$0\" \"$@\"", 2 * kib);
                let mut shell = Command::new("sh");
                shell.arg("-c").arg(script).arg(&self.program);
                shell
            }
        };
        let child = command
            .args([kind, "run", "--config"])
            .arg(&proc.settings)
            .env("LILACPITCH_LAB_BREAKS", &self.plan.breaks)
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .stderr(io("a log", log)?)
            .spawn();
        let mut child = io(&proc.name, child)?;
        let out = child.stdout.take();
        proc.child = Some(child);
        let (give, take) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let read = out.map(|out| BufReader::new(out).read_line(&mut line));
            // Who waits may have given up.
            let _ = give.send(read.map(|_| line));
        });
        match take.recv_timeout(START) {
            Ok(Some(line)) if line.starts_with('{') => Ok(()),
            other => {
                let log = std::fs::read_to_string(self.dir.path().join(&proc.name)).unwrap_or_default();
                let last: Vec<&str> = log.lines().rev().take(3).collect();
                Err(TownError::NotReady(proc.name.clone(), format!("{other:?}: {}", last.join(" / "))))
            }
        }
    }

    /// The process of a name.
    pub fn index(&self, name: &str) -> usize {
        self.procs.iter().position(|proc| proc.name == name).unwrap_or(usize::MAX)
    }

    /// All processes' names, in their order.
    pub fn names(&self) -> Vec<String> {
        self.procs.iter().map(|proc| proc.name.clone()).collect()
    }

    /// The processes of sites, by number.
    pub fn site_processes(&self) -> Vec<usize> {
        (0..self.procs.len()).filter(|index| self.procs[*index].place.is_some()).collect()
    }

    /// The fronts, by number.
    pub fn fronts(&self) -> Vec<usize> {
        (0..self.procs.len()).filter(|index| self.procs[*index].place.is_none()).collect()
    }

    /// Where callers reach a front.
    pub fn callers(&self, front: usize) -> SocketAddr {
        self.procs[front].callers
    }

    /// Where a process's pages are.
    pub fn pages(&self, index: usize) -> SocketAddr {
        self.procs[index].pages
    }

    /// The site of a process; `None`: a front.
    pub fn site_of(&self, index: usize) -> Option<&str> {
        self.procs[index].place.map(|(site, _)| self.plan.sites[site].0.as_str())
    }

    /// Whether a process runs, as far as the kernel says.
    pub fn runs(&mut self, index: usize) -> bool {
        self.procs[index].child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.procs[index].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills a process without a word.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.procs[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks a process to stop, and waits until it has; whether it did so cleanly.
    pub fn stop(&mut self, index: usize) -> bool {
        self.signal(index, Signal::SIGTERM);
        let Some(mut child) = self.procs[index].child.take() else { return false };
        let until = Instant::now() + START;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn freeze(&self, index: usize, on: bool) {
        self.signal(index, if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// The folder of a process's disk.
    pub fn disk(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("data-{}", self.procs[index].name))
    }

    /// What a process has logged.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.dir.path().join(&self.procs[index].name)).unwrap_or_default()
    }

    /// What a process that runs has used.
    pub fn used(&self, index: usize) -> Option<Used> {
        self.procs[index].child.as_ref().and_then(|child| used(child.id()))
    }

    /// A page of a process: its status and body.
    pub fn page(&self, index: usize, method: &str, target: &str) -> std::io::Result<(u16, String)> {
        fetch(self.procs[index].pages, method, target)
    }

    /// The body of a page; empty where there is none.
    pub fn get(&self, index: usize, target: &str) -> String {
        self.page(index, "GET", target)
            .ok()
            .filter(|(status, _)| *status == 200)
            .map_or(String::new(), |(_, body)| body)
    }

    /// Waits until something holds; `false`: it did not in time.
    pub fn wait(&self, patience: Duration, mut holds: impl FnMut(&Town) -> bool) -> bool {
        let until = Instant::now() + patience;
        loop {
            if holds(self) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every front has a lease and every summary.
    pub fn settled(&self, patience: Duration) -> bool {
        self.wait(patience, |town| {
            let in_fleet =
                town.fronts().into_iter().zip(&town.plan.fronts).filter(|(_, home)| !home.is_empty());
            in_fleet.into_iter().all(|(front, _)| {
                let page = town.get(front, "/fleet");
                page.contains("\nlease for ") && page.contains("summaries unknown 0")
            })
        })
    }

    /// Ends the servers; what they saw.
    pub fn servers_saw(&mut self) -> Vec<Record> {
        let Some((done, thread)) = self.servers.take() else { return Vec::new() };
        let _ = done.send(true);
        thread.join().ok().and_then(Result::ok).unwrap_or_default()
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        (0..self.procs.len()).for_each(|index| self.kill(index));
        drop(self.servers_saw());
    }
}

type Served = (watch::Sender<bool>, JoinHandle<std::io::Result<Vec<Record>>>);

/// Two servers with room for all in the pool of each site that fronts are at home in.
fn serve(dir: &Path, plan: &Plan) -> std::io::Result<Served> {
    let mut pools: Vec<&String> = plan.fronts.iter().filter(|home| !home.is_empty()).collect();
    pools.sort_unstable();
    pools.dedup();
    let make = Make {
        per_s: 100_000.0,
        circuits: 1_000_000,
        full_after_ns: 10_000_000_000,
        cold_from: 1.0,
        cold_span_ns: 1,
        tip_multiple: 1e9,
        tip_span_ns: 1_000_000_000,
        tip_chance: false,
    };
    let (mut plays, mut list) = (Vec::new(), String::from("servers: [\n"));
    for pool in pools {
        for nth in 0..2 {
            let (listener, address) = standin::bind()?;
            let name = format!("s-{pool}-{nth}");
            let _ = writeln!(list, "{{name: {name:?}, pool: {pool:?}, address: \"{address}\"}},");
            plays.push(Play { name, make: make.clone(), listener, events: Vec::new(), absent: false });
        }
    }
    list.push_str("]\n");
    std::fs::write(dir.join("pools.cue"), list)?;
    let (done, told) = watch::channel(false);
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        tokio::task::LocalSet::new().block_on(&runtime, standin::play(plays, Clock::start(), told))
    });
    Ok((done, thread))
}
