//! Stand-ins for the platform around a front node: signalling servers, the coordinator and callers, on loopback
//! and with the standard library only. They follow the users' protocol page; a case adds its own disruption.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---- The run of a case: its record, its clock, its end ----

/// The record of a run, and its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line with the time of the run.
    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>6} ms  {text}", self.now());
    }
}

/// What a case needs: its record, whether the disruption is played, and a temporary folder.
pub struct Run {
    pub record: Record,
    pub has_trouble: bool,
    pub folder: PathBuf,
}

impl Run {
    /// Reads the arguments (the case's folder) and the environment, and starts the watchdog.
    pub fn begin() -> Run {
        let case = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| not_run("usage: CASE_FOLDER")));
        let file = File::create(case.join("record.txt")).unwrap_or_else(|e| not_run(&e.to_string()));
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| not_run(&e.to_string()));
        record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(110));
            kill_front();
            eprintln!("the case took too long");
            std::process::exit(NOT_RUN);
        });
        Run { record, has_trouble, folder }
    }

    /// Ends the run: prints and records the result, ends the front and exits.
    pub fn end(&self, faults: &[String], summary: &str) -> ! {
        kill_front();
        let log = std::fs::read_to_string(self.folder.join("front.log")).unwrap_or_default();
        let _ = std::fs::remove_dir_all(&self.folder);
        let (counters, events): (Vec<_>, Vec<_>) = log.lines().partition(|line| line.contains(" counters"));
        for line in events.iter().take(30).chain(counters.last()) {
            self.record.line(&format!("front log: {line}"));
        }
        for fault in faults.iter().take(40) {
            self.record.line(&format!("BROKEN: {fault}"));
        }
        let result = if faults.is_empty() { "held" } else { "BROKEN" };
        self.record.line(&format!("result: {result}; {} faults; {summary}", faults.len()));
        println!("{result}; {} faults; {summary}", faults.len());
        std::process::exit(if faults.is_empty() { 0 } else { BROKEN });
    }
}

/// Ends the run because it could not be carried out.
pub fn not_run(why: &str) -> ! {
    kill_front();
    eprintln!("could not run: {why}");
    std::process::exit(NOT_RUN);
}

// ---- Addresses ----

/// A free loopback address below the ephemeral ports, so that a program can listen there later, and again.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    for _ in 0..5000 {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + (u64::from(std::process::id()) * 199 + tried) % 22_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    not_run("no free address")
}

// ---- The front node ----

static FRONT: Mutex<Option<Child>> = Mutex::new(None);

/// Kills the front node (SIGKILL), if it runs.
pub fn kill_front() {
    let front = lock(&FRONT).take();
    if let Some(mut front) = front {
        let _ = front.kill();
        let _ = front.wait();
    }
}

/// Whether the front node has exited by itself.
pub fn front_has_exited() -> bool {
    lock(&FRONT).as_mut().is_some_and(|front| !matches!(front.try_wait(), Ok(None)))
}

/// The memory that the front node holds for itself (without the pages of its program file), in kB.
pub fn front_memory_kb() -> u64 {
    let Some(id) = lock(&FRONT).as_ref().map(Child::id) else { return 0 };
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Starts the front node by the run line of the deploy file, and waits until it passes its test.
pub fn start_front(run: &Run, listen: SocketAddr, config: &str) {
    let path = run.folder.join("config.json");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(run.folder.join("front.log"));
    let log = log.unwrap_or_else(|e| not_run(&e.to_string()));
    std::fs::write(&path, config).unwrap_or_else(|e| not_run(&e.to_string()));
    let child = Command::new("/bin/sh")
        .args(["-c", &run_line(Path::new("deploy/balancer.toml"))])
        .env("BALANCER_CONFIG", &path)
        .env("BALANCER_NAME", "n0")
        .env("BALANCER_LISTEN", listen.to_string())
        .env("TMPDIR", &run.folder)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap_or_else(|e| not_run(&e.to_string())))
        .stderr(log)
        .spawn();
    *lock(&FRONT) = Some(child.unwrap_or_else(|e| not_run(&e.to_string())));
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if passes_test(listen) {
            run.record.line("front node is ready");
            return;
        }
        thread::sleep(ms(20));
    }
    not_run("the front node is not ready")
}

/// The `run` line of the deploy file.
fn run_line(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_else(|e| not_run(&e.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.and_then(|line| line.split('"').next()).unwrap_or_else(|| not_run("no run line")).to_string()
}

fn passes_test(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let test = "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\n\
                CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(test.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.starts_with(b"SIP/2.0 200")
}

/// The configuration of a front node of a small deployment; the settings are those of south-routing.
pub fn config(listen: SocketAddr, coordinator: SocketAddr, known: &str, pools: &str) -> String {
    config_with_memory(listen, coordinator, known, pools, 64)
}

/// The same with another limit of memory.
pub fn config_with_memory(
    listen: SocketAddr,
    coordinator: SocketAddr,
    known: &str,
    pools: &str,
    memory_mb: u64,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":256}},"coordinator":"{coordinator}","known":{known},
"settings":{{"balancers":1,"index":0,"family":"trunks","discovery":"pushed","dcs":["atlanta"],"zone":0,
"classes":[
{{"name":"day-plan","aim_ns":2000000000,"deadline_ns":9000000000,"worth":1,"late_worth":0.25,"repeat":"read_like","dedup_scope":"all","stream":true}},
{{"name":"reroute","aim_ns":1200000000,"deadline_ns":9000000000,"worth":3,"late_worth":0.25,"repeat":"read_like","dedup_scope":"all","stream":true}}],
"family_info":{{"home_no":-1,"shape":"pools","gives_wait":true,"pools_by_class":[{pools},{pools}],"release_ns":300000000,"retransmit_ns":400000000}},
"permissions":{{"cancel":true,"conn_idle_ns":600000000000,"connect_timeout_ns":500000000,"max_attempts":6,"max_open":20000,
"max_retry_after_ns":2000000000,"may_duplicate":false,"peers":false,"probing":false,"retry_after":true}},
"report":{{"fields":["free","size","latency_ms","can_take"],"how":"answers"}},
"rules":{{"cold_from":0.3,"cold_ns":14000000000,"fall_ns":1000000000,"grace_to_answer_ns":20000000,"stop_sending_within_ns":500000000,"tip_multiple":3.0}},
"tenants":[],"tick_ns":5000000}}}}"#
    )
}

// ---- Signalling servers ----

/// A set-up that a server has read.
#[derive(Clone)]
pub struct Launch {
    pub at_ms: u64,
    pub uid: String,
}

#[derive(Default)]
struct ServerState {
    connections: Vec<Option<TcpStream>>,
    /// Standing calls, with the connection of their set-up.
    standing: HashMap<String, usize>,
    ends: Vec<(Instant, String)>,
    /// Answers that are still worked on: when they are due, their connection, and the line.
    answers: Vec<(Instant, usize, String)>,
    /// Releases that are sent on the next connection opened as well.
    releases: Vec<String>,
    launches: Vec<Launch>,
    /// When each call ended here, in milliseconds of the run.
    ended: HashMap<String, u64>,
}

/// How a server serves its calls.
#[derive(Clone, Copy)]
pub struct Service {
    /// How long a set-up takes, network and processor.
    pub setup: Duration,
    /// How long a call stands.
    pub hold: Duration,
    /// Size of the descriptions it gives.
    pub answer_bytes: usize,
}

/// A signalling server. It answers each set-up, and ends the call after its holding time.
#[derive(Clone)]
pub struct Server {
    pub name: &'static str,
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    is_dead: Arc<AtomicBool>,
    record: Record,
    service: Service,
}

/// A report of a server's free lines.
const GROUP_STATE: &str = "{\"kind\":\"usage\",\"meta\":{\"load\":\"x0:900;x1:1000\"}}\n";

/// Servers reply 'error' to set-ups for numbers that begin like this.
pub const UNKNOWN_NUMBER: &str = "bad";

/// The description that a server gives for a call.
pub fn answer_body(server: &str, uid: &str, bytes: usize) -> String {
    let mut body = format!("s={server} {uid}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
    let mut line = 0;
    while body.len() < bytes {
        body.push_str(&format!("a=candidate:{line} 1 UDP 2122252543 127.0.0.1 31000 typ host\r\n"));
        line += 1;
    }
    body
}

impl Server {
    pub fn start(name: &'static str, record: &Record, service: Service) -> Server {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap_or_else(|e| not_run(&e.to_string()));
        let is_dead = Arc::default();
        let server =
            Server { name, address, state: Arc::default(), is_dead, record: record.clone(), service };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_dead.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                let connection = serving.open(&stream);
                thread::spawn(move || serving.serve(stream, connection));
            }
        });
        let working = server.clone();
        thread::spawn(move || {
            while !working.is_dead.load(Ordering::SeqCst) {
                thread::sleep(ms(2));
                working.send_due_answers();
                working.end_due_calls();
            }
        });
        server
    }

    /// Sends the state of the group unasked on the open connections, as the calls of other front nodes change it.
    pub fn report_every(&self, interval: Duration) {
        let reporting = self.clone();
        thread::spawn(move || {
            while !reporting.is_dead.load(Ordering::SeqCst) {
                thread::sleep(interval);
                for stream in lock(&reporting.state).connections.iter_mut().flatten() {
                    let _ = stream.write_all(GROUP_STATE.as_bytes());
                }
            }
        });
    }

    /// The process dies: it listens no more, its connections and its calls end.
    pub fn die(&self) {
        self.record.line(&format!("{} dies", self.name));
        self.is_dead.store(true, Ordering::SeqCst);
        // The accepting thread ends with this connection, and closes the listener.
        let _ = TcpStream::connect(self.address);
        let now = self.record.now();
        let mut state = lock(&self.state);
        let cut: Vec<String> = state.standing.drain().map(|(uid, _)| uid).collect();
        self.record.line(&format!("{} cuts {} calls", self.name, cut.len()));
        state.ended.extend(cut.into_iter().map(|uid| (uid, now)));
        for stream in state.connections.iter_mut().filter_map(Option::take) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// All calls that ended here, with when.
    pub fn ended(&self) -> HashMap<String, u64> {
        lock(&self.state).ended.clone()
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.record.now()
    }

    pub fn launches(&self) -> Vec<Launch> {
        lock(&self.state).launches.clone()
    }

    pub fn open_connections(&self) -> usize {
        lock(&self.state).connections.iter().flatten().count()
    }

    pub fn is_standing(&self, uid: &str) -> bool {
        lock(&self.state).standing.contains_key(uid)
    }

    /// When a call ended at this server, in milliseconds of the run.
    pub fn ended_at(&self, uid: &str) -> Option<u64> {
        lock(&self.state).ended.get(uid).copied()
    }

    /// A new connection: the state of the group comes before anything else, then the releases due.
    fn open(&self, stream: &TcpStream) -> usize {
        let _ = stream.set_nodelay(true);
        let mut state = lock(&self.state);
        let mut lines = String::from(GROUP_STATE);
        for uid in std::mem::take(&mut state.releases) {
            self.record.line(&format!("{} sends the release of {uid} on a new connection", self.name));
            lines.push_str(&stop_line(&uid, 16));
        }
        let mut writer = stream.try_clone().ok();
        let _ = writer.as_mut().map(|writer| writer.write_all(lines.as_bytes()));
        state.connections.push(writer);
        state.connections.len() - 1
    }

    fn serve(&self, mut stream: TcpStream, connection: usize) {
        let mut buffer = Vec::new();
        let mut chunk = vec![0; 256 * 1024];
        loop {
            let count = stream.read(&mut chunk).unwrap_or(0);
            if count == 0 {
                lock(&self.state).connections[connection] = None;
                return;
            }
            buffer.extend_from_slice(&chunk[..count]);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                self.handle(&String::from_utf8_lossy(&line), connection);
            }
        }
    }

    /// Handles one line.
    fn handle(&self, line: &str, connection: usize) {
        let uid = text_field(line, "uid");
        let mut state = lock(&self.state);
        match text_field(line, "kind").as_str() {
            "launch" => {
                self.record.line(&format!("{} reads set-up {uid}, connection {connection}", self.name));
                state.launches.push(Launch { at_ms: self.record.now(), uid: uid.clone() });
                if text_field(line, "key").starts_with(UNKNOWN_NUMBER) {
                    if let Some(stream) = &mut state.connections[connection] {
                        let _ = stream.write_all(stop_line(&uid, 47).as_bytes());
                    }
                    return;
                }
                let body = escape(&answer_body(self.name, &uid, self.service.answer_bytes));
                let answer = format!(
                    "{{\"kind\":\"running\",\"uid\":\"{uid}\",\"meta\":{{\"load\":\"x0:900;x1:1000\"}},\"body\":\"{body}\"}}\n"
                );
                state.answers.push((Instant::now() + self.service.setup, connection, answer));
            }
            "stop" => {
                self.record.line(&format!("{} reads stop {uid}", self.name));
                state.answers.retain(|(_, _, answer)| text_field(answer, "uid") != uid);
                if state.standing.remove(&uid).is_some() {
                    state.ended.insert(uid, self.record.now());
                }
            }
            _ => {}
        }
    }

    fn send_due_answers(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let (due, waiting) =
            std::mem::take(&mut state.answers).into_iter().partition(|answer| answer.0 <= now);
        state.answers = waiting;
        let due: Vec<(Instant, usize, String)> = due;
        for (_, connection, answer) in due {
            // The end of a connection gives up the set-ups that are open on it.
            let Some(stream) = &mut state.connections[connection] else { continue };
            if stream.write_all(answer.as_bytes()).is_ok() {
                let uid = text_field(&answer, "uid");
                self.record.line(&format!("{} answers {uid}", self.name));
                state.standing.insert(uid.clone(), connection);
                state.ends.push((now + self.service.hold, uid));
            }
        }
    }

    fn end_due_calls(&self) {
        let now = Instant::now();
        let mut due = Vec::new();
        lock(&self.state).ends.retain(|(at, uid)| {
            let is_due = *at <= now;
            due.extend(is_due.then(|| uid.clone()));
            !is_due
        });
        due.iter().for_each(|uid| self.end_call(uid));
    }

    /// Ends a standing call. Its release goes out on the connection of its set-up, else on any open one, and
    /// on the next connection opened as well.
    pub fn end_call(&self, uid: &str) {
        let mut state = lock(&self.state);
        let Some(connection) = state.standing.remove(uid) else { return };
        state.ended.insert(uid.to_string(), self.record.now());
        state.releases.push(uid.to_string());
        if state.releases.len() > 64 {
            state.releases.remove(0);
        }
        let own = state.connections[connection].is_some().then_some(connection);
        let open = own.or_else(|| state.connections.iter().position(Option::is_some));
        let Some(open) = open else {
            self.record.line(&format!("{} ends {uid}; no connection is open", self.name));
            return;
        };
        self.record.line(&format!("{} ends {uid}, and sends its release on connection {open}", self.name));
        if let Some(stream) = &mut state.connections[open] {
            let _ = stream.write_all(stop_line(uid, 16).as_bytes());
        }
    }
}

fn stop_line(uid: &str, cause: u16) -> String {
    format!("{{\"kind\":\"stop\",\"uid\":\"{uid}\",\"meta\":{{}},\"reason\":{cause}}}\n")
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\r', "\\r").replace('\n', "\\n")
}

/// The text of a field. The descriptions and numbers of these stand-ins contain no quotes, so the first match is
/// the field.
fn text_field(line: &str, name: &str) -> String {
    let key = format!("\"{name}\":\"");
    let start = line.find(&key).map(|at| at + key.len());
    start.and_then(|start| line[start..].split('"').next()).unwrap_or("").to_string()
}

// ---- The network between front nodes and a server ----

/// A path to a server. A connection on it can fall silent: both ends stay open, and nothing passes any more.
#[derive(Clone)]
pub struct Network {
    pub address: SocketAddr,
    /// Whether each connection is silent, in the order in which they came up.
    silent: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    /// Whether the first connection falls silent with the next set-up on it.
    is_armed: Arc<AtomicBool>,
    record: Record,
}

impl Network {
    pub fn start(server: &Server) -> Network {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap_or_else(|e| not_run(&e.to_string()));
        let network = Network {
            address,
            silent: Arc::default(),
            is_armed: Arc::default(),
            record: server.record.clone(),
        };
        let (accepting, to) = (network.clone(), server.address);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let is_silent = Arc::new(AtomicBool::new(false));
                let number = {
                    let mut silent = lock(&accepting.silent);
                    silent.push(is_silent.clone());
                    silent.len() - 1
                };
                accepting.record.line(&format!("network: connection {number} comes up"));
                let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { continue };
                let (out, back, back_silent) = (accepting.clone(), accepting.clone(), is_silent.clone());
                thread::spawn(move || out.pass(near_reader, far, is_silent, number == 0));
                thread::spawn(move || back.pass(far_reader, near, back_silent, false));
            }
        });
        network
    }

    /// The next set-up on the first connection still passes; then that connection falls silent, both ways.
    pub fn silence_first_connection(&self) {
        self.is_armed.store(true, Ordering::SeqCst);
    }

    /// Whether the first connection has fallen silent.
    pub fn is_first_silent(&self) -> bool {
        lock(&self.silent).first().is_some_and(|silent| silent.load(Ordering::SeqCst))
    }

    fn pass(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        is_silent: Arc<AtomicBool>,
        may_fall_silent: bool,
    ) {
        let _ = to.set_nodelay(true);
        let mut chunk = vec![0; 64 * 1024];
        loop {
            let count = from.read(&mut chunk).unwrap_or(0);
            if is_silent.load(Ordering::SeqCst) {
                if count == 0 {
                    // The other end is not told.
                    loop {
                        thread::park();
                    }
                }
                continue;
            }
            let is_last = may_fall_silent
                && self.is_armed.load(Ordering::SeqCst)
                && String::from_utf8_lossy(&chunk[..count]).contains("\"kind\":\"launch\"");
            if is_last {
                is_silent.store(true, Ordering::SeqCst);
                self.record.line("network: connection 0 falls silent after a set-up");
            }
            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

// ---- The coordinator ----

/// A server as the coordinator lists it.
pub fn target(uid: &str, address: SocketAddr, group: u32, state: &str, boot_ms: u64) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"atlanta\",\"model\":\"standard\",\"pod_group\":{group},\
         \"state\":\"{state}\",\"capacity_hint\":1,\"boot_ms\":{boot_ms}}}"
    )
}

#[derive(Default)]
struct Events {
    all: Vec<String>,
    /// Replies that fall due in this period of the run come later by the given time.
    slow: Option<(u64, u64, Duration)>,
}

/// A coordinator that holds polls until it has later events.
#[derive(Clone)]
pub struct Coordinator {
    pub address: SocketAddr,
    state: Arc<(Mutex<Events>, Condvar)>,
    record: Record,
}

impl Coordinator {
    pub fn start(record: &Record, targets: &[String]) -> Coordinator {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap_or_else(|e| not_run(&e.to_string()));
        let coordinator = Coordinator { address, state: Arc::default(), record: record.clone() };
        coordinator.publish(true, targets);
        let accepting = coordinator.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        coordinator
    }

    /// Adds an event, and returns when it was told, in milliseconds of the run.
    pub fn publish(&self, all: bool, targets: &[String]) -> u64 {
        let mut events = lock(&self.state.0);
        let index = events.all.len() + 1;
        let list = targets.join(",");
        events.all.push(format!(
            "{{\"index\":{index},\"endpoints\":{{\"rev\":{index},\"all\":{all},\"targets\":[{list}]}}}}"
        ));
        self.record.line(&format!("coordinator has event {index}: {list}"));
        self.state.1.notify_all();
        self.record.now()
    }

    /// Makes replies late that fall due between two times of the run.
    pub fn be_slow(&self, from_ms: u64, until_ms: u64, by: Duration) {
        lock(&self.state.0).slow = Some((from_ms, until_ms, by));
    }

    /// The events so far, in the form of a reply.
    pub fn known(&self) -> String {
        reply_body(&lock(&self.state.0).all, 0)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut lines = BufReader::new(reader);
        loop {
            let (mut request, mut line) = (String::new(), String::new());
            if lines.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            while lines.read_line(&mut line).unwrap_or(0) > 2 {
                line.clear();
            }
            let parameter = |name: &str| {
                let text = request.split(name).nth(1).unwrap_or("");
                text.split(|c: char| !c.is_ascii_digit())
                    .next()
                    .and_then(|n| n.parse::<usize>().ok())
                    .unwrap_or(0)
            };
            let (after, wait) = (parameter("follow="), ms(parameter("wait_ms=").min(5000) as u64));
            self.record.line(&format!("coordinator is asked for what follows {after}"));
            let events = lock(&self.state.0);
            let (events, _) = self
                .state
                .1
                .wait_timeout_while(events, wait, |events| events.all.len() <= after)
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            let body = reply_body(&events.all, after);
            let due = self.record.now();
            let late =
                events.slow.filter(|(from, until, _)| (*from..*until).contains(&due)).map(|slow| slow.2);
            drop(events);
            if let Some(late) = late {
                thread::sleep(late);
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let is_sent = stream.write_all(format!("{head}{body}").as_bytes()).is_ok();
            self.record.line(&format!(
                "coordinator replies to {after}, {} ms late, written: {is_sent}",
                late.unwrap_or_default().as_millis()
            ));
            if !is_sent {
                return;
            }
        }
    }
}

fn reply_body(events: &[String], after: usize) -> String {
    let later = events.get(after..).unwrap_or(&[]).join(",");
    format!("{{\"index\":{},\"updates\":[{later}]}}", events.len())
}

// ---- Callers ----

/// What a caller knows of a call.
#[derive(Clone, Default)]
pub struct CallerCall {
    pub connection: usize,
    /// How often the set-up was sent.
    pub sends: u32,
    /// When the last byte of the set-up was written, in milliseconds of the run.
    pub sent_ms: u64,
    pub left_ms: u64,
    /// Final answers: when, the status and the description.
    pub finals: Vec<(u64, u16, String)>,
    /// Releases by the front node: when.
    pub byes: Vec<u64>,
}

/// All callers of a front node, with their connections.
#[derive(Clone)]
pub struct Callers {
    listen: SocketAddr,
    record: Record,
    calls: Arc<Mutex<HashMap<String, CallerCall>>>,
    /// When a connection was ended by the front node, by its number.
    ended: Arc<Mutex<HashMap<usize, u64>>>,
    opened: Arc<AtomicU64>,
}

/// A caller's connection. It reads at full speed what it is sent.
pub struct CallerConnection {
    pub number: usize,
    stream: TcpStream,
    callers: Callers,
}

impl Callers {
    pub fn new(listen: SocketAddr, record: &Record) -> Callers {
        Callers {
            listen,
            record: record.clone(),
            calls: Arc::default(),
            ended: Arc::default(),
            opened: Arc::default(),
        }
    }

    pub fn connect(&self) -> Option<CallerConnection> {
        let stream = TcpStream::connect(self.listen).ok()?;
        let _ = stream.set_nodelay(true);
        let number = self.opened.fetch_add(1, Ordering::SeqCst) as usize;
        let (reader, callers) = (stream.try_clone().ok()?, self.clone());
        thread::spawn(move || callers.read(reader, number));
        self.record.line(&format!("caller opens connection {number}"));
        Some(CallerConnection { number, stream, callers: self.clone() })
    }

    pub fn calls(&self) -> HashMap<String, CallerCall> {
        lock(&self.calls).clone()
    }

    pub fn call(&self, uid: &str) -> CallerCall {
        lock(&self.calls).get(uid).cloned().unwrap_or_default()
    }

    /// When the front node ended a connection.
    pub fn ended_at(&self, connection: usize) -> Option<u64> {
        lock(&self.ended).get(&connection).copied()
    }

    /// Reads messages to the end of the connection; answers and releases are acknowledged at once.
    fn read(&self, stream: TcpStream, number: usize) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut lines = BufReader::with_capacity(64 * 1024, stream);
        while let Some((start, call_id, cseq, body)) = read_message(&mut lines) {
            let now = self.record.now();
            if start.starts_with("BYE ") {
                self.record.line(&format!("connection {number} gets BYE {call_id}"));
                lock(&self.calls).entry(call_id.clone()).or_default().byes.push(now);
                let _ = writer.write_all(response_200(&call_id, &cseq).as_bytes());
                continue;
            }
            let status: u16 = start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
            if status < 200 || !cseq.ends_with("INVITE") {
                continue;
            }
            self.record
                .line(&format!("connection {number} gets {status} for {call_id}, {} bytes", body.len()));
            lock(&self.calls).entry(call_id.clone()).or_default().finals.push((now, status, body));
            let _ = writer.write_all(request("ACK", &call_id, 1).as_bytes());
        }
        self.record.line(&format!("connection {number} has ended"));
        lock(&self.ended).insert(number, self.record.now());
    }
}

impl CallerConnection {
    /// Sends a set-up. `path` is its `P-Path`. Returns whether its last byte was written.
    pub fn invite(&mut self, uid: &str, class: &str, path: &str, left_ms: u64, body: &str) -> bool {
        let text = format!(
            "INVITE sip:{uid}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {uid}\r\nCSeq: 1 INVITE\r\nP-Kind: {class}\r\n\
             P-Time-Left: {left_ms}\r\nP-Path: {path}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let is_new = !path.contains("at:");
        if is_new {
            let mut calls = lock(&self.callers.calls);
            let call = calls.entry(uid.to_string()).or_default();
            (call.connection, call.left_ms, call.sends) = (self.number, left_ms, call.sends + 1);
        }
        let is_sent = self.stream.write_all(text.as_bytes()).is_ok();
        let now = self.callers.record.now();
        self.callers.record.line(&format!("connection {} sends set-up {uid} {path}: {is_sent}", self.number));
        if is_new {
            lock(&self.callers.calls).entry(uid.to_string()).and_modify(|call| call.sent_ms = now);
        }
        is_sent
    }

    pub fn bye(&mut self, uid: &str) {
        self.callers.record.line(&format!("connection {} sends BYE {uid}", self.number));
        let _ = self.stream.write_all(request("BYE", uid, 2).as_bytes());
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn request(method: &str, call_id: &str, cseq: u32) -> String {
    format!(
        "{method} sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: {cseq} {method}\r\n\
         Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
    )
}

fn response_200(call_id: &str, cseq: &str) -> String {
    format!("SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP front\r\nCall-ID: {call_id}\r\nCSeq: {cseq}\r\nContent-Length: 0\r\n\r\n")
}

/// Reads one message: its start line, `Call-ID`, `CSeq` and body. `None` at the end of the connection.
fn read_message(lines: &mut BufReader<TcpStream>) -> Option<(String, String, String, String)> {
    let mut start = String::new();
    if lines.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let (mut call_id, mut cseq, mut length) = (String::new(), String::new(), 0);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "call-id" => call_id = value.to_string(),
            "cseq" => cseq = value.to_string(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).ok()?;
    Some((start.trim_end().to_string(), call_id, cseq, String::from_utf8_lossy(&body).into_owned()))
}
