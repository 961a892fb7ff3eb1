//! A cluster of real processes: sites and fronts, connected through the fault proxy, with simulated servers
//! behind the fronts.

use super::fault_proxy::FaultProxy;
use crate::edges::{resource_usage, ResourceUsage};
use crate::record::Record;
use crate::simulation::server::ServerParameters;
use crate::standin::{self, ScriptedServer};
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

/// Shared key of all connections in a cluster, as hexadecimal digits.
const KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
/// How long a process may take to start listening, or to stop.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The composition and settings of a cluster.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Sites: name, parent site (empty for the root) and number of processes.
    pub sites: Vec<(String, String, usize)>,
    /// The home site of each front; a front with an empty home doesn't join the fleet.
    pub fronts: Vec<String>,
    /// The fields of the `terms` settings that all processes share; may be empty.
    pub terms: String,
    /// Additional fields of the `fleet` settings of fronts; may be empty.
    pub fleet: String,
    /// Additional settings of site processes; may be empty.
    pub site: String,
    /// Additional settings of fronts; may be empty.
    pub front: String,
    /// Seed of the fault proxy's random numbers.
    pub seed: u64,
    /// Whether the fault proxy records the frames that pass.
    pub record: bool,
    /// Names of the safeguards that are disabled, in the form that the testbed's programs read.
    pub breaks: String,
    /// Minimum level of log events.
    pub log: String,
}

impl Plan {
    /// Returns a plan with a root site of `root` processes, `leaves` leaf sites of one process each, and
    /// `fronts_each` fronts per leaf.
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

/// Error while setting up a cluster.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// An operation on a file, socket or process failed; the first field names it.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A process did not report in time that it is listening; the fields are its name and the reason.
    #[error("{0} did not start: {1}")]
    NotReady(String, String),
}

fn io<T>(what: &str, result: std::io::Result<T>) -> Result<T, ClusterError> {
    result.map_err(|error| ClusterError::Io(what.into(), error))
}

#[derive(Debug)]
struct ClusterProcess {
    name: String,
    /// The index of its site and its place there; `None`: a front.
    place: Option<(usize, usize)>,
    settings: PathBuf,
    child: Option<Child>,
    admin_address: SocketAddr,
    listen_address: SocketAddr,
    /// Largest size of each of its files, in KiB; `None`: unlimited.
    file_size_limit_kib: Option<u64>,
}

/// A running cluster. Its processes are numbered: first those of the sites in the plan's order, then the
/// fronts.
pub struct Cluster {
    /// The folder with the files of all processes.
    pub dir: TempDir,
    /// The proxy that carries the connections between processes.
    pub proxy: FaultProxy,
    program: PathBuf,
    plan: Plan,
    processes: Vec<ClusterProcess>,
    servers: Option<RunningServers>,
}

impl Cluster {
    /// Writes all settings and starts all processes. `program` is the testbed's own program.
    ///
    /// # Errors
    ///
    /// Returns an error if a file, socket or process cannot be created, or a process doesn't start in time.
    pub fn start(plan: Plan, program: &Path) -> Result<Self, ClusterError> {
        // Another program may take a free address before the process listens on it.
        const MAX_ATTEMPTS: usize = 3;
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            let mut cluster = Cluster::prepare(plan.clone(), program)?;
            match (0..cluster.processes.len()).try_for_each(|index| cluster.start_process(index)) {
                Ok(()) => return Ok(cluster),
                Err(ClusterError::NotReady(name, reason)) if reason.contains("Address already in use") => {
                    last_error = Some(ClusterError::NotReady(name, reason));
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error.unwrap_or(ClusterError::NotReady("the cluster".into(), "no attempt was made".into())))
    }

    /// Writes all settings and starts the simulated servers, but no process.
    ///
    /// # Errors
    ///
    /// Returns an error if a file or socket cannot be created.
    pub fn prepare(plan: Plan, program: &Path) -> Result<Self, ClusterError> {
        let dir = io("temporary folder", tempfile::tempdir())?;
        io("key file", std::fs::write(dir.path().join("key"), format!("{KEY}\n")))?;
        let keys = Keys::from_text(KEY).unwrap_or_else(|_| Keys::from_bytes([0x5a; 32]));
        let proxy = io("fault proxy", FaultProxy::new(keys, plan.seed, plan.record))?;
        let servers = io("servers", start_servers(dir.path(), &plan))?;

        let mut places = Vec::new();
        for (site, (name, _, processes)) in plan.sites.iter().enumerate() {
            places.extend((0..*processes).map(|place| (format!("{name}-{place}"), Some((site, place)))));
        }
        places.extend((0..plan.fronts.len()).map(|front| (format!("edge-{front}"), None)));
        let addresses = io("addresses", free_addresses(2 * places.len()))?;
        let (listen, admin) = addresses.split_at(places.len());
        let listen_and_admin = listen.iter().zip(admin);
        let processes = places.into_iter().zip(listen_and_admin).map(|((name, place), (listen, admin))| {
            let settings = dir.path().join(format!("{name}.cue"));
            ClusterProcess {
                name,
                place,
                settings,
                child: None,
                admin_address: *admin,
                listen_address: *listen,
                file_size_limit_kib: None,
            }
        });
        let processes = processes.collect();
        let program = program.to_path_buf();
        let mut cluster = Cluster { dir, proxy, program, plan, processes, servers: Some(servers) };
        (0..cluster.processes.len()).try_for_each(|index| cluster.write_settings(index))?;
        Ok(cluster)
    }

    /// Writes a process's settings, with the proxied addresses of the other processes.
    fn write_settings(&mut self, index: usize) -> Result<(), ClusterError> {
        let plan = &self.plan;
        let mut sites = String::new();
        for (site, (name, parent, _)) in plan.sites.iter().enumerate() {
            let mut addresses = Vec::new();
            let is_of_site = |numbered: &&(usize, &ClusterProcess)| {
                numbered.1.place.is_some_and(|(process_site, _)| process_site == site)
            };
            for (to, process) in self.processes.iter().enumerate().filter(|numbered| is_of_site(&numbered)) {
                let real = process.listen_address;
                let address = match to == index {
                    true => real,
                    false => io("fault proxy", self.proxy.link_address(index, to, real))?,
                };
                addresses.push(format!("{:?}", address.to_string()));
            }
            // Writing to a String cannot fail.
            let _ = writeln!(
                sites,
                "{{name: {name:?}, parent: {parent:?}, processes: [{}]}},",
                addresses.join(", ")
            );
        }
        let process = &self.processes[index];
        let ClusterProcess { name, place, settings, admin_address, listen_address, .. } = process;
        let terms = &plan.terms;
        let text = match place {
            Some((site, place)) => format!(
                "name: {name:?}\nsite: {:?}\nplace: {place}\n\
                 listen: \"{listen_address}\"\npages: \"{admin_address}\"\n\
                 data: \"data-{name}\"\nkey_file: \"key\"\nsites: [\n{sites}]\nterms: {{{terms}}}\n\
                 log: level: {:?}\n{}\n",
                plan.sites[*site].0, plan.log, plan.site
            ),
            None => {
                let fronts = self.processes.iter().filter(|process| process.place.is_none());
                let front = fronts.take_while(|front| front.name != *name).count();
                let home = &plan.fronts[front];
                let fleet = format!(
                    "fleet: {{home: {home:?}, pool: {home:?}, key_file: \"key\", sites: [\n{sites}]\n\
                     terms: {{{terms}}}\n{}}}\n",
                    plan.fleet
                );
                format!(
                    "name: {name:?}\nlisten: \"{listen_address}\"\nmetrics: \"{admin_address}\"\n\
                     pool_list: \"pools.cue\"\n\
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

    /// Gives a stopped process another address. The others use it once they have been restarted.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is free or settings cannot be written.
    pub fn move_process(&mut self, index: usize) -> Result<(), ClusterError> {
        self.processes[index].listen_address = io("address", free_addresses(1))?[0];
        self.proxy.remove_links_to(index);
        (0..self.processes.len()).try_for_each(|index| self.write_settings(index))
    }

    /// Limits the size of each file of a process from its next start on, in KiB; `None`: no limit.
    pub fn limit_file_size(&mut self, index: usize, kib: Option<u64>) {
        self.processes[index].file_size_limit_kib = kib;
    }

    /// Starts a stopped process and waits until it is listening.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started or doesn't listen in time.
    pub fn start_process(&mut self, index: usize) -> Result<(), ClusterError> {
        let process = &mut self.processes[index];
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.dir.path().join(&process.name));
        let kind = if process.place.is_some() { "site" } else { "edge" };
        let mut command = match process.file_size_limit_kib {
            None => Command::new(&self.program),
            Some(kib) => {
                // With the signal ignored, a write beyond the limit fails with an error, as on a full disk.
                let script = format!("trap '' XFSZ; ulimit -f {}; exec \"$0\" \"$@\"", 2 * kib);
                let mut shell = Command::new("sh");
                shell.arg("-c").arg(script).arg(&self.program);
                shell
            }
        };
        let child = command
            .args([kind, "run", "--config"])
            .arg(&process.settings)
            .env("LILACPITCH_LAB_BREAKS", &self.plan.breaks)
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .stderr(io("log file", log)?)
            .spawn();
        let mut child = io(&process.name, child)?;
        let stdout = child.stdout.take();
        process.child = Some(child);
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let read = stdout.map(|stdout| BufReader::new(stdout).read_line(&mut line));
            // The receiver may have timed out and gone.
            let _ = sender.send(read.map(|_| line));
        });
        match receiver.recv_timeout(START_STOP_TIMEOUT) {
            Ok(Some(line)) if line.starts_with('{') => Ok(()),
            other => {
                let log = std::fs::read_to_string(self.dir.path().join(&process.name)).unwrap_or_default();
                let last_lines: Vec<&str> = log.lines().rev().take(3).collect();
                Err(ClusterError::NotReady(
                    process.name.clone(),
                    format!("{other:?}: {}", last_lines.join(" / ")),
                ))
            }
        }
    }

    /// Returns the number of the process with a name, or `usize::MAX` if there is none.
    pub fn index(&self, name: &str) -> usize {
        self.processes.iter().position(|process| process.name == name).unwrap_or(usize::MAX)
    }

    /// Returns the names of all processes, by number.
    pub fn names(&self) -> Vec<String> {
        self.processes.iter().map(|process| process.name.clone()).collect()
    }

    /// Returns the numbers of the site processes.
    pub fn site_processes(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|index| self.processes[*index].place.is_some()).collect()
    }

    /// Returns the numbers of the fronts.
    pub fn fronts(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|index| self.processes[*index].place.is_none()).collect()
    }

    /// Returns the address at which a front accepts callers.
    pub fn caller_address(&self, front: usize) -> SocketAddr {
        self.processes[front].listen_address
    }

    /// Returns the address of a process's admin pages.
    pub fn admin_address(&self, index: usize) -> SocketAddr {
        self.processes[index].admin_address
    }

    /// Returns the name of a process's site, or `None` for a front.
    pub fn site_of(&self, index: usize) -> Option<&str> {
        self.processes[index].place.map(|(site, _)| self.plan.sites[site].0.as_str())
    }

    /// Returns whether a process is running.
    pub fn is_running(&mut self, index: usize) -> bool {
        self.processes[index].child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.processes[index].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a process with SIGTERM and waits for its exit. Returns whether it exited successfully in time.
    pub fn stop(&mut self, index: usize) -> bool {
        self.signal(index, Signal::SIGTERM);
        let Some(mut child) = self.processes[index].child.take() else { return false };
        let deadline = Instant::now() + START_STOP_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// Suspends a process with SIGSTOP, or resumes it.
    pub fn freeze(&self, index: usize, frozen: bool) {
        self.signal(index, if frozen { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Returns the data folder of a process.
    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("data-{}", self.processes[index].name))
    }

    /// Returns the log of a process.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.dir.path().join(&self.processes[index].name)).unwrap_or_default()
    }

    /// Returns the resource usage of a running process.
    pub fn resource_usage(&self, index: usize) -> Option<ResourceUsage> {
        self.processes[index].child.as_ref().and_then(|child| resource_usage(child.id()))
    }

    /// Requests an admin page of a process and returns its status and body.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails.
    pub fn page(&self, index: usize, method: &str, target: &str) -> std::io::Result<(u16, String)> {
        fetch(self.processes[index].admin_address, method, target)
    }

    /// Returns the body of an admin page; empty if the request fails.
    pub fn get(&self, index: usize, target: &str) -> String {
        self.page(index, "GET", target)
            .ok()
            .filter(|(status, _)| *status == 200)
            .map_or(String::new(), |(_, body)| body)
    }

    /// Waits until a condition holds. Returns `false` if it doesn't within `timeout`.
    pub fn wait_until(&self, timeout: Duration, mut condition: impl FnMut(&Cluster) -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            if condition(self) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every front of the fleet has a lease and all summaries. Returns `false` if that takes
    /// longer than `timeout`.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        self.wait_until(timeout, |cluster| {
            let in_fleet =
                cluster.fronts().into_iter().zip(&cluster.plan.fronts).filter(|(_, home)| !home.is_empty());
            in_fleet.into_iter().all(|(front, _)| {
                let page = cluster.get(front, "/fleet");
                page.contains("\nlease for ") && page.contains("summaries unknown 0")
            })
        })
    }

    /// Stops the simulated servers and returns what they recorded.
    pub fn stop_servers(&mut self) -> Vec<Record> {
        let Some((stop, thread)) = self.servers.take() else { return Vec::new() };
        let _ = stop.send(true);
        thread.join().ok().and_then(Result::ok).unwrap_or_default()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|index| self.kill(index));
        drop(self.stop_servers());
    }
}

/// The stop signal and the thread of the simulated servers.
type RunningServers = (watch::Sender<bool>, JoinHandle<std::io::Result<Vec<Record>>>);

/// Starts two servers of ample capacity in the pool of each site that is the home of a front.
fn start_servers(dir: &Path, plan: &Plan) -> std::io::Result<RunningServers> {
    let mut pools: Vec<&String> = plan.fronts.iter().filter(|home| !home.is_empty()).collect();
    pools.sort_unstable();
    pools.dedup();
    let parameters = ServerParameters {
        per_s: 100_000.0,
        circuits: 1_000_000,
        full_after_ns: 10_000_000_000,
        cold_from: 1.0,
        cold_span_ns: 1,
        tip_multiple: 1e9,
        tip_span_ns: 1_000_000_000,
        tip_chance: false,
    };
    let (mut servers, mut list) = (Vec::new(), String::from("servers: [\n"));
    for pool in pools {
        for nth in 0..2 {
            let (listener, address) = standin::bind()?;
            let name = format!("s-{pool}-{nth}");
            let _ = writeln!(list, "{{name: {name:?}, pool: {pool:?}, address: \"{address}\"}},");
            servers.push(ScriptedServer {
                name,
                parameters: parameters.clone(),
                listener,
                events: Vec::new(),
                absent: false,
            });
        }
    }
    list.push_str("]\n");
    std::fs::write(dir.join("pools.cue"), list)?;
    let (stop, stop_receiver) = watch::channel(false);
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        tokio::task::LocalSet::new().block_on(&runtime, standin::run(servers, Clock::start(), stop_receiver))
    });
    Ok((stop, thread))
}
