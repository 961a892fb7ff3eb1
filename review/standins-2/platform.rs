//! Stand-ins for the platform of a front node: signalling servers, callers, a coordinator and a proxy, on loopback and on
//! the standard library alone. They follow the platform's protocol page; what a case makes them do beyond that is in
//! the case.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// A session description of a caller.
pub const OFFER: &str = "c=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

extern "C" {
    #[link_name = "kill"]
    fn libc_kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---- The record ----

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &PathBuf) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn write(&self, who: &str, what: &str) {
        let at = self.0 .1.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.0 .0), "{at:8.3} {who:<12} {what}");
    }
}

// ---- Addresses and sockets ----

static NEXT_PORT: AtomicUsize = AtomicUsize::new(0);

/// Returns a free loopback address below the ephemeral ports.
pub fn free_address() -> SocketAddr {
    loop {
        let tried = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + (std::process::id() as usize * 199 + tried) % 22_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Has the last close of a socket reset its connection.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1i32, 0];
    // SOL_SOCKET, SO_LINGER of Linux, the same on x86-64 and arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

// ---- Signalling servers ----

/// Returns a string field of a flat JSON line.
fn field(line: &str, name: &str) -> Option<String> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    Some(line[start..].split('"').next().unwrap_or("").to_string())
}

fn number_field(line: &str, name: &str) -> Option<u64> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    line[start..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// A line that a server has received.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: Instant,
    pub connection: usize,
    pub kind: String,
    pub uid: String,
    pub cause: Option<u64>,
    pub left_ms: u64,
    /// Where it ends in the bytes of its connection.
    pub end: u64,
}

/// What happened to the attempts of a call at a server.
#[derive(Clone, Copy, PartialEq)]
pub enum Event {
    /// A set-up was read.
    Launched,
    /// The end of an attempt was written: an answer or a refusal. A second copy is none.
    Ended,
    /// The node has given up the set-up.
    GivenUp,
}

type Policy = Box<dyn FnMut(&Server, &Line) + Send>;

struct ServerState {
    connections: Vec<Option<Arc<TcpStream>>>,
    lines: Vec<Line>,
    history: Vec<(String, Event)>,
    /// Calls that stand here, with the connection of their set-up.
    standing: BTreeMap<String, usize>,
    /// Connections that are left open and of no further use: nothing that is sent on them arrives.
    useless: BTreeSet<usize>,
    /// Releases that are sent on the next connection as well.
    for_next_connection: Vec<String>,
    /// Whether the server hangs: it reads and sends nothing.
    hangs: bool,
    /// Until when it sends nothing after that.
    silent_until: Instant,
    /// Whether it has hung before.
    hung: bool,
    /// Bytes read, by connection, and for each line its end in the stream.
    read_bytes: BTreeMap<usize, u64>,
    /// Most connections; at the limit the server does not listen.
    max_connections: usize,
}

/// A signalling server. Its policy decides about each launch; all else follows the protocol page.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    record: Record,
    state: Arc<(Mutex<ServerState>, Condvar)>,
    policy: Arc<Mutex<Policy>>,
}

impl Server {
    /// Starts a server whose policy handles each launch.
    pub fn start(name: &str, record: &Record, policy: impl FnMut(&Server, &Line) + Send + 'static) -> Server {
        let address = free_address();
        Server::start_at(name, address, usize::MAX, record, policy)
    }

    /// Has the server's connections take in little that it has not read.
    fn with_small_buffers(listener: &TcpListener) {
        let bytes = 4096i32;
        // SOL_SOCKET, SO_RCVBUF of Linux.
        unsafe { setsockopt(listener.as_raw_fd(), 1, 8, &bytes, 4) };
    }

    pub fn start_at(
        name: &str,
        address: SocketAddr,
        max_connections: usize,
        record: &Record,
        policy: impl FnMut(&Server, &Line) + Send + 'static,
    ) -> Server {
        let listener = TcpListener::bind(address).expect("free address");
        Server::with_small_buffers(&listener);
        let state = ServerState {
            connections: Vec::new(),
            lines: Vec::new(),
            history: Vec::new(),
            standing: BTreeMap::new(),
            useless: BTreeSet::new(),
            hangs: false,
            silent_until: Instant::now(),
            hung: false,
            read_bytes: BTreeMap::new(),
            for_next_connection: Vec::new(),
            max_connections,
        };
        let server = Server {
            name: name.to_string(),
            address,
            record: record.clone(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            policy: Arc::new(Mutex::new(Box::new(policy))),
        };
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept(listener));
        server
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let _ = stream.set_nodelay(true);
            let stream = Arc::new(stream);
            let (number, releases, is_full) = {
                let mut state = lock(&self.state.0);
                state.connections.push(Some(stream.clone()));
                let open = state.connections.iter().flatten().count();
                let releases = std::mem::take(&mut state.for_next_connection);
                (state.connections.len() - 1, releases, open >= state.max_connections)
            };
            self.record.write(&self.name, &format!("connection {number} accepted"));
            self.send(
                number,
                "{\"kind\":\"usage\",\"uid\":\"0000000000000000\",\"meta\":{\"load\":\"x0:100;x1:100\"}}",
            );
            releases.iter().for_each(|line| self.send(number, line));
            let reading = self.clone();
            std::thread::spawn(move || reading.read(&stream, number));
            if is_full {
                self.record.write(&self.name, "connection limit reached, listens no more");
                return;
            }
        }
    }

    fn read(&self, stream: &TcpStream, connection: usize) {
        let mut lines = BufReader::new(Hanging { server: self, stream, connection });
        let mut end = 0;
        loop {
            let mut text = String::new();
            let count = lines.read_line(&mut text).unwrap_or(0);
            end += count as u64;
            if count == 0 {
                self.record.write(&self.name, &format!("connection {connection} ended"));
                lock(&self.state.0).connections[connection] = None;
                self.state.1.notify_all();
                return;
            }
            let line = Line {
                at: Instant::now(),
                connection,
                kind: field(&text, "kind").unwrap_or_default(),
                uid: field(&text, "uid").unwrap_or_default(),
                cause: number_field(&text, "reason"),
                end,
                left_ms: field(&text, "left").and_then(|left| left.parse().ok()).unwrap_or(0),
            };
            let cause = line.cause.map_or(String::new(), |cause| format!(" cause {cause}"));
            self.record
                .write(&self.name, &format!("connection {connection} <- {} {}{cause}", line.kind, line.uid));
            {
                let mut state = lock(&self.state.0);
                state.lines.push(line.clone());
                if line.kind == "launch" {
                    state.history.push((line.uid.clone(), Event::Launched));
                }
                if line.kind == "stop" {
                    state.history.push((line.uid.clone(), Event::GivenUp));
                    state.standing.remove(&line.uid);
                }
            }
            self.state.1.notify_all();
            if line.kind == "launch" {
                let mut policy = lock(&self.policy);
                (*policy)(self, &line);
            }
        }
    }

    /// Sends a line on a connection, if it is open.
    pub fn send(&self, connection: usize, line: &str) {
        while self.is_silent() {
            std::thread::sleep(ms(5));
        }
        let (stream, is_useless) = {
            let state = lock(&self.state.0);
            (state.connections.get(connection).cloned().flatten(), state.useless.contains(&connection))
        };
        let Some(stream) = stream else { return };
        let note = if is_useless { " (never arrives)" } else { "" };
        self.record.write(&self.name, &format!("connection {connection} -> {line}{note}"));
        if is_useless {
            return;
        }
        let _ = (&*stream).write_all(format!("{line}\n").as_bytes());
    }

    /// Answers a set-up: the call stands.
    pub fn answer(&self, launch: &Line) {
        {
            let mut state = lock(&self.state.0);
            state.standing.insert(launch.uid.clone(), launch.connection);
            state.history.push((launch.uid.clone(), Event::Ended));
        }
        let body = format!("c=IN IP4 127.9.0.1\\r\\na=for {} at {}\\r\\n", launch.uid, self.name);
        self.send(
            launch.connection,
            &format!("{{\"kind\":\"running\",\"uid\":\"{}\",\"meta\":{{}},\"body\":\"{body}\"}}", launch.uid),
        );
    }

    /// Refuses a set-up.
    pub fn refuse(&self, launch: &Line, cause: u16, note: &str) {
        lock(&self.state.0).history.push((launch.uid.clone(), Event::Ended));
        self.send_refusal(launch, cause, note);
    }

    /// What happened to the attempts of a call, in order.
    pub fn history(&self, uid: &str) -> Vec<Event> {
        let state = lock(&self.state.0);
        state.history.iter().filter(|(call, _)| call == uid).map(|(_, event)| *event).collect()
    }

    /// Sends a refusal, also a second copy of one.
    pub fn send_refusal(&self, launch: &Line, cause: u16, note: &str) {
        self.send(
            launch.connection,
            &format!(
                "{{\"kind\":\"stop\",\"uid\":\"{}\",\"meta\":{{\"note\":\"{note}\"}},\"reason\":{cause}}}",
                launch.uid
            ),
        );
    }

    /// Ends a standing call: its release goes to the connection of its set-up, else to any open one, and to the next
    /// one opened as well. Returns whether the call stood.
    pub fn end(&self, uid: &str) -> bool {
        let (connection, line) = {
            let mut state = lock(&self.state.0);
            let Some(own) = state.standing.remove(uid) else { return false };
            let line = format!("{{\"kind\":\"stop\",\"uid\":\"{uid}\",\"meta\":{{}},\"reason\":16}}");
            state.for_next_connection.push(line.clone());
            let is_open = |number: &usize| state.connections[*number].is_some();
            let connection = Some(own).filter(is_open).or((0..state.connections.len()).find(is_open));
            (connection, line)
        };
        self.record.write(&self.name, &format!("call {uid} has come to its end"));
        connection.into_iter().for_each(|connection| self.send(connection, &line));
        true
    }

    /// Ends a call after a time, if it still stands then.
    pub fn end_after(&self, uid: &str, time: Duration) {
        let (server, uid) = (self.clone(), uid.to_string());
        std::thread::spawn(move || {
            std::thread::sleep(time);
            server.end(&uid);
        });
    }

    /// From now on nothing that is sent on a connection arrives; it stays open.
    pub fn make_useless(&self, connection: usize) {
        lock(&self.state.0).useless.insert(connection);
    }

    pub fn stands(&self, uid: &str) -> bool {
        lock(&self.state.0).standing.contains_key(uid)
    }

    /// Waits for a line that was received.
    pub fn wait_for(&self, time: Duration, is_wanted: impl Fn(&Line) -> bool) -> Option<Line> {
        let until = Instant::now() + time;
        let mut state = lock(&self.state.0);
        loop {
            if let Some(line) = state.lines.iter().find(|line| is_wanted(line)) {
                return Some(line.clone());
            }
            let left = until.checked_duration_since(Instant::now())?;
            state = self.state.1.wait_timeout(state, left).map_or_else(|e| e.into_inner().0, |r| r.0);
        }
    }

    pub fn lines(&self) -> Vec<Line> {
        lock(&self.state.0).lines.clone()
    }

    /// The numbers of the open connections.
    pub fn open_connections(&self) -> BTreeSet<usize> {
        let state = lock(&self.state.0);
        (0..state.connections.len()).filter(|number| state.connections[*number].is_some()).collect()
    }
}

/// Reads from a connection, unless the server hangs, and counts the bytes.
struct Hanging<'a> {
    server: &'a Server,
    stream: &'a TcpStream,
    connection: usize,
}

impl Read for Hanging<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        while lock(&self.server.state.0).hangs {
            std::thread::sleep(ms(5));
        }
        let count = (&*self.stream).read(buffer)?;
        *lock(&self.server.state.0).read_bytes.entry(self.connection).or_default() += count as u64;
        Ok(count)
    }
}

/// What the kernel's table of sockets shows of a connection at its node's side.
#[derive(Debug)]
pub struct Wire {
    /// Whether the node has neither closed nor shut it down.
    pub is_open: bool,
    /// At most this many bytes were written by the node so far.
    pub written: u64,
    /// How many of them the server's machine has not taken in.
    pub to_send: u64,
}

/// Returns the state, the bytes to send and the bytes to read of a socket, by its two ports.
fn socket(local: u16, remote: u16) -> Option<(u8, u64, u64)> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = |field: &str| u16::from_str_radix(field.rsplit(':').next()?, 16).ok();
        if port(fields.get(1)?)? != local || port(fields.get(2)?)? != remote {
            return None;
        }
        let (to_send, to_read) = fields.get(4)?.split_once(':')?;
        let number = |text: &str| u64::from_str_radix(text, 16).ok();
        Some((u8::from_str_radix(fields.get(3)?, 16).ok()?, number(to_send)?, number(to_read)?))
    })
}

impl Server {
    /// Has the server hang, or go on: it reads what has arrived before it sends again.
    pub fn hang(&self, hangs: bool) {
        self.record.write(&self.name, if hangs { "hangs" } else { "goes on" });
        let mut state = lock(&self.state.0);
        state.hangs = hangs;
        state.hung = true;
        state.silent_until = Instant::now() + ms(60_000);
    }

    /// Whether it hangs, or has hung.
    pub fn has_hung(&self) -> bool {
        lock(&self.state.0).hung
    }

    /// Whether it hangs, or did so shortly before.
    fn is_silent(&self) -> bool {
        let state = lock(&self.state.0);
        state.hangs || (state.silent_until > Instant::now() && state.hung)
    }

    /// How many bytes were read from a connection.
    pub fn read_bytes(&self, connection: usize) -> u64 {
        lock(&self.state.0).read_bytes.get(&connection).copied().unwrap_or(0)
    }

    /// What the kernel shows of a connection.
    pub fn wire(&self, connection: usize) -> Option<Wire> {
        let (peer, read) = {
            let state = lock(&self.state.0);
            let stream = state.connections.get(connection)?.clone()?;
            (stream.peer_addr().ok()?.port(), state.read_bytes.get(&connection).copied().unwrap_or(0))
        };
        let (status, to_send, _) = socket(peer, self.address.port())?;
        let (_, _, to_read) = socket(self.address.port(), peer)?;
        // 1 is ESTABLISHED.
        Some(Wire { is_open: status == 1, written: read + to_read + to_send, to_send })
    }
}

// ---- The coordinator ----

#[derive(Default)]
struct Events {
    events: Vec<String>,
}

/// A coordinator.
#[derive(Clone)]
pub struct Coordinator {
    pub address: SocketAddr,
    name: String,
    record: Record,
    events: Arc<(Mutex<Events>, Condvar)>,
}

/// A server as the coordinator lists it.
pub fn target(uid: &str, address: SocketAddr, group: u32, state: &str, boot_ms: u64) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":{group},\
         \"state\":\"{state}\",\"capacity_hint\":1,\"boot_ms\":{boot_ms}}}"
    )
}

impl Coordinator {
    /// Starts a coordinator whose first event lists these servers.
    pub fn start(name: &str, record: &Record, targets: &[String]) -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let coordinator = Coordinator {
            address: listener.local_addr().expect("bound"),
            name: name.to_string(),
            record: record.clone(),
            events: Arc::default(),
        };
        coordinator.publish(targets);
        let serving = coordinator.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(&stream));
            }
        });
        coordinator
    }

    /// Adds an event; the first one carries the whole list.
    pub fn publish(&self, targets: &[String]) {
        let mut events = lock(&self.events.0);
        let index = events.events.len() + 1;
        let all = index == 1;
        self.record.write(&self.name, &format!("event {index}: {}", targets.join(" ")));
        events.events.push(format!(
            "{{\"index\":{index},\"endpoints\":{{\"rev\":{index},\"all\":{all},\"targets\":[{}]}}}}",
            targets.join(",")
        ));
        self.events.1.notify_all();
    }

    /// The events so far, in the form of a reply.
    pub fn known(&self) -> String {
        Coordinator::reply(&lock(&self.events.0).events, 0)
    }

    fn reply(events: &[String], after: usize) -> String {
        let later = events.get(after..).unwrap_or(&[]).join(",");
        format!("{{\"index\":{},\"updates\":[{later}]}}", events.len())
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream);
        loop {
            let (mut request, mut line) = (String::new(), String::new());
            if lines.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            while lines.read_line(&mut line).unwrap_or(0) > 2 {
                line.clear();
            }
            let parameter = |name: &str| {
                let text = request.split(name).nth(1).unwrap_or("0");
                text.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse::<u64>().unwrap_or(0)
            };
            let (after, hold) = (parameter("follow=") as usize, ms(parameter("wait_ms=").min(5_000)));
            let until = Instant::now() + hold;
            let mut events = lock(&self.events.0);
            while events.events.len() <= after {
                let Some(left) = until.checked_duration_since(Instant::now()) else { break };
                events = self.events.1.wait_timeout(events, left).map_or_else(|e| e.into_inner().0, |r| r.0);
            }
            let body = Coordinator::reply(&events.events, after);
            drop(events);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut stream = stream;
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- Callers ----

/// A message that a caller has received.
#[derive(Clone, Debug)]
pub struct Message {
    pub at: Instant,
    /// The status; 0 for a request.
    pub status: u16,
    /// The method of the request, or the one that the response answers.
    pub method: String,
    pub call: String,
    pub reason: String,
    pub body: String,
}

impl Message {
    pub fn is_release_of(&self, call: &str) -> bool {
        self.status == 0 && self.method == "BYE" && self.call == call
    }

    pub fn is_answer_to(&self, call: &str) -> bool {
        self.status >= 200 && self.method == "INVITE" && self.call == call
    }
}

#[derive(Default)]
struct CallerState {
    messages: Vec<Message>,
    is_closed: bool,
}

/// A caller's connection. It acknowledges final answers and releases.
#[derive(Clone)]
pub struct Caller {
    name: String,
    record: Record,
    stream: Arc<TcpStream>,
    state: Arc<(Mutex<CallerState>, Condvar)>,
}

impl Caller {
    pub fn connect(name: &str, record: &Record, address: SocketAddr) -> std::io::Result<Caller> {
        let stream = Arc::new(TcpStream::connect(address)?);
        stream.set_nodelay(true)?;
        record.write(name, &format!("connected to {address}"));
        let caller = Caller { name: name.to_string(), record: record.clone(), stream, state: Arc::default() };
        let reading = caller.clone();
        std::thread::spawn(move || reading.read());
        Ok(caller)
    }

    fn read(&self) {
        let mut lines = BufReader::new(&*self.stream);
        while let Some(message) = read_message(&mut lines) {
            let Message { status, method, call, reason, .. } = &message;
            self.record.write(&self.name, &format!("<- {status} {method} {call} {reason}"));
            if message.is_answer_to(call) {
                self.request("ACK", call);
            }
            if message.status == 0 {
                self.send(&format!(
                    "SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n"
                ));
            }
            lock(&self.state.0).messages.push(message);
            self.state.1.notify_all();
        }
        self.record.write(&self.name, "connection ended");
        lock(&self.state.0).is_closed = true;
        self.state.1.notify_all();
    }

    pub fn send(&self, text: &str) {
        let _ = (&*self.stream).write_all(text.as_bytes());
    }

    /// Sends a set-up with a description of this length.
    pub fn invite_long(&self, call: &str, kind: &str, path: &str, left_ms: u64, length: usize) {
        self.record
            .write(&self.name, &format!("-> INVITE {call} {kind} {path} {left_ms} ms, {length} bytes"));
        self.send(&invite(call, kind, path, left_ms, &OFFER.repeat(length / OFFER.len())));
    }

    /// Sends a set-up.
    pub fn invite(&self, call: &str, kind: &str, path: &str, left_ms: u64) {
        self.record.write(&self.name, &format!("-> INVITE {call} {kind} {path} {left_ms} ms"));
        self.send(&invite(call, kind, path, left_ms, OFFER));
    }

    /// Sends another request.
    pub fn request(&self, method: &str, call: &str) {
        self.record.write(&self.name, &format!("-> {method} {call}"));
        let (sequence, reason) = if method == "BYE" { (2, "Reason: Q.850;cause=16\r\n") } else { (1, "") };
        self.send(&format!(
            "{method} sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {sequence} {method}\r\n\
             {reason}Content-Length: 0\r\n\r\n"
        ));
    }

    /// Waits for a message.
    pub fn wait_for(&self, time: Duration, is_wanted: impl Fn(&Message) -> bool) -> Option<Message> {
        let until = Instant::now() + time;
        let mut state = lock(&self.state.0);
        loop {
            if let Some(message) = state.messages.iter().find(|message| is_wanted(message)) {
                return Some(message.clone());
            }
            let left = until.checked_duration_since(Instant::now())?;
            state = self.state.1.wait_timeout(state, left).map_or_else(|e| e.into_inner().0, |r| r.0);
        }
    }

    /// Sets up a call, and waits for its final answer.
    pub fn set_up(&self, call: &str, kind: &str, path: &str, left_ms: u64) -> Option<Message> {
        self.invite(call, kind, path, left_ms);
        self.wait_for(ms(left_ms + 500), |message| message.is_answer_to(call))
    }

    pub fn is_closed(&self) -> bool {
        lock(&self.state.0).is_closed
    }

    pub fn close(&self) {
        self.record.write(&self.name, "closes");
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Encodes a set-up.
pub fn invite(call: &str, kind: &str, path: &str, left_ms: u64, body: &str) -> String {
    format!(
        "INVITE sip:{call}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\n\
         P-Kind: {kind}\r\nP-Time-Left: {left_ms}\r\nP-Path: {path}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn read_message(lines: &mut impl BufRead) -> Option<Message> {
    let mut start = String::new();
    if lines.read_line(&mut start).unwrap_or(0) == 0 {
        return None;
    }
    let mut fields = BTreeMap::new();
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        fields.insert(name.to_lowercase(), value.to_string());
    }
    let text = |name: &str| fields.get(name).cloned().unwrap_or_default();
    let mut body = vec![0; text("content-length").parse().unwrap_or(0)];
    lines.read_exact(&mut body).ok()?;
    let status =
        start.strip_prefix("SIP/2.0 ").and_then(|rest| rest.get(..3)).and_then(|code| code.parse().ok());
    Some(Message {
        at: Instant::now(),
        status: status.unwrap_or(0),
        method: text("cseq").split(' ').nth(1).unwrap_or("").to_string(),
        call: text("call-id"),
        reason: text("reason"),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// The id of a call.
pub fn id(number: u64) -> String {
    format!("{:016x}", 0x9b1f_03aa_0000_0000u64 + number)
}

// ---- A proxy ----

/// A proxy before a server. Once told to, it forgets the connections that are open: it answers the next bytes from the
/// node on each with a reset, and does not pass them on.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    record: Record,
    forgotten: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Proxy {
    pub fn start(record: &Record, server: SocketAddr) -> Proxy {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("free address");
        let proxy = Proxy { address, record: record.clone(), forgotten: Arc::default() };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for node_side in listener.incoming().flatten() {
                let Ok(server_side) = TcpStream::connect(server) else { continue };
                let _ = (node_side.set_nodelay(true), server_side.set_nodelay(true));
                let is_forgotten = Arc::new(AtomicBool::new(false));
                lock(&accepting.forgotten).push(is_forgotten.clone());
                let (node_side, server_side) = (Arc::new(node_side), Arc::new(server_side));
                let (from_server, to_node) = (server_side.clone(), node_side.clone());
                std::thread::spawn(move || {
                    copy(&from_server, &to_node, || true);
                    drop(from_server);
                });
                let record = accepting.record.clone();
                std::thread::spawn(move || {
                    let is_passed = copy(&node_side, &server_side, || !is_forgotten.load(Ordering::SeqCst));
                    if !is_passed {
                        record.write("proxy", "bytes from the node on a forgotten connection: reset");
                        reset_on_close(&node_side);
                    }
                    let _ = server_side.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        proxy
    }

    /// Forgets the open connections.
    pub fn forget(&self) {
        self.record.write("proxy", "forgets the open connections");
        lock(&self.forgotten).iter().for_each(|is_forgotten| is_forgotten.store(true, Ordering::SeqCst));
    }
}

/// Copies bytes until the end of either side. Returns `false` if bytes were not to be passed on.
fn copy(mut from: &TcpStream, mut to: &TcpStream, may_pass: impl Fn() -> bool) -> bool {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if count == 0 {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return true;
        }
        if !may_pass() {
            return false;
        }
        if to.write_all(&buffer[..count]).is_err() {
            return true;
        }
    }
}

// ---- Front nodes ----

/// A front node, started by the `run` line of the deploy file.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub config: PathBuf,
    record: Record,
    child: Child,
}

/// Two classes as at the site `south-routing`, with the pools that each may be directed to.
pub fn settings(first: Range<usize>, second: Range<usize>) -> String {
    let class = |name: &str, aim_ms: u64, worth: u32| {
        format!(
            "{{\"name\":\"{name}\",\"aim_ns\":{aim_ms}000000,\"deadline_ns\":9000000000,\"worth\":{worth}.0,\
             \"late_worth\":0.25,\"repeat\":\"read_like\",\"dedup_scope\":\"all\",\"memory_span_ns\":5000000000,\
             \"stream\":true}}"
        )
    };
    let list = |pools: Range<usize>| pools.map(|pool| pool.to_string()).collect::<Vec<_>>().join(",");
    let (first, second) = (list(first), list(second));
    format!(
        "{{\"balancers\":2,\"classes\":[{},{}],\"clients\":{{\"marks_retry\":false}},\"dcs\":[\"east\"],\
         \"discovery\":\"pushed\",\"family\":\"trunks\",\"family_info\":{{\"centre_advises\":false,\
         \"channels_needed\":[1,1],\"far_state\":\"answers\",\"gives_wait\":true,\"home_no\":-1,\
         \"mean_hold_ns\":[8100000000,12100000000],\"pools_by_class\":[[{first}],[{second}]],\"release_ns\":300000000,\
         \"retransmit_ns\":400000000,\"shape\":\"pools\"}},\"index\":0,\"models\":[\"std\"],\"permissions\":{{\
         \"cancel\":true,\"conn_idle_ns\":600000000000,\"connect_timeout_ns\":500000000,\"max_attempts\":6,\
         \"max_open\":20000,\"max_retry_after_ns\":2000000000,\"may_duplicate\":false,\"peers\":false,\
         \"probing\":false,\"retry_after\":true,\"streams_per_conn\":1048576}},\"report\":{{\"fields\":[\"free\",\
         \"size\",\"latency_ms\",\"can_take\"],\"how\":\"answers\"}},\"rules\":{{\"cold_from\":0.3,\
         \"cold_ns\":14000000000,\"fall_ns\":1000000000,\"grace_to_answer_ns\":20000000,\
         \"stop_sending_within_ns\":500000000,\"tip_multiple\":3.0}},\"tenants\":[],\"tick_ns\":5000000,\"tier\":0,\
         \"tiers\":[\"route-servers\"],\"weight_kind\":\"none\",\"zone\":0}}",
        class("day-plan", 2000, 1),
        class("reroute", 1200, 3)
    )
}

impl Node {
    /// Starts a front node in a folder, and waits until it passes a test.
    pub fn start(
        name: &str,
        record: &Record,
        folder: &PathBuf,
        coordinator: &Coordinator,
        settings: &str,
        sockets: u32,
    ) -> std::io::Result<Node> {
        let address = free_address();
        let config = folder.join(format!("{name}.json"));
        let temporary = folder.join(format!("{name}-tmp"));
        std::fs::create_dir_all(&temporary)?;
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\
             \"memory_mb\":192,\"sockets\":{sockets}}},\"peers\":[],\"coordinator\":\"{}\",\"known\":{},\"settings\":{settings}}}",
            coordinator.address,
            coordinator.known()
        );
        std::fs::write(&config, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_line()?)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.write(name, &format!("started at {address}, process {}", child.id()));
        lock(&CHILDREN).push(child.id() as i32);
        let node = Node { name: name.to_string(), address, config, record: record.clone(), child };
        node.wait_ready()?;
        Ok(node)
    }

    fn wait_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            std::thread::sleep(ms(50));
            let Ok(caller) = Caller::connect("test", &self.record, self.address) else { continue };
            caller.request("OPTIONS", &id(0));
            let passed = caller.wait_for(ms(500), |message| message.method == "OPTIONS");
            caller.close();
            if passed.is_some_and(|message| message.status == 200) {
                return Ok(());
            }
        }
        Err(std::io::Error::other("front node not ready"))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        self.record.write(&self.name, &format!("gets signal {signal}"));
        unsafe { libc_kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&CHILDREN).retain(|pid| *pid != self.child.id() as i32);
    }
}

/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_children() {
    lock(&CHILDREN).iter().for_each(|pid| _ = unsafe { libc_kill(*pid, SIGKILL) });
}

/// The `run` line of the deploy file.
fn run_line() -> std::io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
    line.map(str::to_string).ok_or_else(|| std::io::Error::other("no run line"))
}
