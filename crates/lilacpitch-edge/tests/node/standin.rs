//! Scripted callers, signalling servers and a coordinator on blocking sockets.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Within this something that must happen at once has happened on any machine.
pub const SOON: Duration = Duration::from_secs(8);
pub const BODY: &str = "c=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Unix milliseconds now.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- Signalling servers ----

/// A line that a server was sent, or the end of a connection.
#[derive(Debug, Clone)]
pub struct Line {
    pub at: Instant,
    pub conn: usize,
    /// `None`: the connection has ended.
    pub value: Option<Value>,
}

impl Line {
    pub fn kind(&self) -> &str {
        self.value.as_ref().and_then(|v| v["kind"].as_str()).unwrap_or("")
    }

    pub fn uid(&self) -> String {
        self.value.as_ref().and_then(|v| v["uid"].as_str()).unwrap_or("").to_string()
    }
}

pub struct Server {
    pub address: SocketAddr,
    conns: Arc<Mutex<Vec<Option<TcpStream>>>>,
    seen: Receiver<Line>,
    listens: Arc<Mutex<bool>>,
}

impl Server {
    pub fn start() -> Server {
        // An address that another server can take over later.
        Server::on(TcpListener::bind(lilacpitch_net::free_addresses(1).unwrap()[0]).unwrap())
    }

    pub fn on(listener: TcpListener) -> Server {
        let address = listener.local_addr().unwrap();
        let (conns, (say, seen)) = (Arc::new(Mutex::new(Vec::new())), channel());
        let listens = Arc::new(Mutex::new(true));
        let (all, on) = (conns.clone(), listens.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                if !*on.lock().unwrap() {
                    return;
                }
                let conn = {
                    let mut all = all.lock().unwrap();
                    all.push(Some(stream.try_clone().unwrap()));
                    all.len() - 1
                };
                let say = say.clone();
                std::thread::spawn(move || read_lines(stream, conn, &say));
            }
        });
        Server { address, conns, seen, listens }
    }

    /// The next line of this kind; the ends of connections are passed over.
    pub fn next(&self, kind: &str) -> Line {
        self.within(kind, SOON).unwrap_or_else(|| panic!("no {kind}"))
    }

    pub fn within(&self, kind: &str, span: Duration) -> Option<Line> {
        let until = Instant::now() + span;
        loop {
            let left = until.checked_duration_since(Instant::now())?;
            let line = self.seen.recv_timeout(left).ok()?;
            if line.kind() == kind {
                return Some(line);
            }
        }
    }

    /// All that comes within a span.
    pub fn all_within(&self, span: Duration) -> Vec<Line> {
        let until = Instant::now() + span;
        let mut all = Vec::new();
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            all.extend(self.seen.recv_timeout(left).ok());
        }
        all
    }

    pub fn write(&self, conn: usize, bytes: &[u8]) {
        if let Some(Some(stream)) = self.conns.lock().unwrap().get_mut(conn) {
            // The node may have closed it: that is what some tests are about.
            let _ = stream.write_all(bytes);
        }
    }

    pub fn say(&self, conn: usize, value: Value) {
        self.write(conn, format!("{value}\n").as_bytes());
    }

    pub fn answer(&self, to: &Line, body: &str) {
        self.say(to.conn, json!({"kind": "running", "uid": to.uid(), "meta": {}, "body": body}));
    }

    /// A call that this caller makes, and that stands here: its set-up.
    pub fn stands(&self, caller: &mut Caller, call: u64) -> Line {
        caller.invite(&id(call), 0, 3_000);
        let launch = self.next("launch");
        self.answer(&launch, "there");
        assert_eq!(caller.next().unwrap().body, "there");
        launch
    }

    pub fn stop(&self, conn: usize, uid: &str, cause: u16, meta: Value) {
        self.say(conn, json!({"kind": "stop", "uid": uid, "meta": meta, "reason": cause}));
    }

    /// Resets a connection.
    pub fn reset(&self, conn: usize) {
        if let Some(stream) = self.conns.lock().unwrap().get_mut(conn).and_then(Option::take) {
            reset(stream);
        }
    }

    /// Connections that were made so far.
    pub fn conns(&self) -> usize {
        self.conns.lock().unwrap().len()
    }

    /// The process dies: nobody listens any more, all connections are reset.
    pub fn die(&self) {
        *self.listens.lock().unwrap() = false;
        // Its own connection ends the accepting thread, and the listener with it.
        let _ = TcpStream::connect(self.address);
        while TcpStream::connect(self.address).is_ok() {
            std::thread::sleep(ms(5));
        }
        self.conns.lock().unwrap().iter_mut().filter_map(Option::take).for_each(reset);
    }
}

fn reset(stream: TcpStream) {
    // Closing with unread bytes or a linger of 0 resets; std offers neither, so both halves go at once.
    let _ = nix::sys::socket::setsockopt(
        &stream,
        nix::sys::socket::sockopt::Linger,
        &nix::libc::linger { l_onoff: 1, l_linger: 0 },
    );
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn read_lines(stream: TcpStream, conn: usize, say: &Sender<Line>) {
    let mut lines = BufReader::new(stream);
    loop {
        let mut text = String::new();
        let value = match lines.read_line(&mut text) {
            Ok(count) if count > 0 => Some(serde_json::from_str(&text).expect("a line of JSON")),
            _ => None,
        };
        let ended = value.is_none();
        if say.send(Line { at: Instant::now(), conn, value }).is_err() || ended {
            return;
        }
    }
}

/// An address where connections never come up: what listens there does not accept, and its backlog is full.
pub fn silent_server() -> (SocketAddr, Vec<TcpStream>, std::os::fd::OwnedFd) {
    use nix::sys::socket::*;
    use std::os::fd::AsRawFd;
    let fd = socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).unwrap();
    bind(fd.as_raw_fd(), &SockaddrIn::new(127, 0, 0, 1, 0)).unwrap();
    listen(&fd, Backlog::new(0).unwrap()).unwrap();
    let at: SockaddrIn = getsockname(fd.as_raw_fd()).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], at.port()));
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, ms(150)) {
        held.push(stream);
    }
    (address, held, fd)
}

// ---- The coordinator ----

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    Well,
    /// Ends in the middle of each answer.
    BreaksOff,
    /// Takes each ask and says nothing.
    Silent,
    /// Says so much of each answer, in bytes, and nothing more.
    StopsAt(usize),
    /// Says each answer in chunks, and stops in the second.
    StopsInChunk,
    /// Says each answer a byte at a time, slower than anybody waits.
    Trickles,
    /// Answers each ask at once, without events.
    Empty,
    /// Leaves out the next event, where it is not asked for all.
    Jumps,
    /// Says that its numbers are lower than what was told, where it is not asked for all.
    GoesBack,
}

struct Events {
    all: Vec<Value>,
    mood: Mood,
    asks: usize,
}

pub struct Coordinator {
    pub address: SocketAddr,
    state: Arc<(Mutex<Events>, Condvar)>,
}

impl Coordinator {
    pub fn start(events: Vec<Value>) -> Coordinator {
        Coordinator::on(TcpListener::bind("127.0.0.1:0").unwrap(), events)
    }

    pub fn on(listener: TcpListener, events: Vec<Value>) -> Coordinator {
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(Events { all: events, mood: Mood::Well, asks: 0 }), Condvar::new()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).unwrap();
                let shared = shared.clone();
                std::thread::spawn(move || tell(stream, &shared));
            }
        });
        Coordinator { address, state }
    }

    /// One that lists these servers, in service under numbers from 0, by the ids `s0`, `s1` ...
    pub fn listing(servers: &[&Server]) -> Coordinator {
        let listed = servers.iter().enumerate();
        let targets = listed.map(|(n, s)| target(&format!("s{n}"), s.address, n as u32, "in_service", 0));
        Coordinator::start(vec![event(1, true, targets.collect())])
    }

    /// One more event: changes of these servers.
    pub fn tell(&self, targets: Vec<Value>) {
        let mut events = self.state.0.lock().unwrap();
        let index = events.all.len() as u64 + 1;
        events.all.push(event(index, false, targets));
        self.state.1.notify_all();
    }

    pub fn mood(&self, mood: Mood) {
        self.state.0.lock().unwrap().mood = mood;
    }

    pub fn asks(&self) -> usize {
        self.state.0.lock().unwrap().asks
    }

    pub fn known(&self) -> Value {
        let events = self.state.0.lock().unwrap();
        json!({"index": events.all.len(), "updates": events.all})
    }
}

fn tell(stream: TcpStream, shared: &(Mutex<Events>, Condvar)) {
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    loop {
        let (mut request, mut line) = (String::new(), String::new());
        if lines.read_line(&mut request).unwrap_or(0) == 0 {
            return;
        }
        while lines.read_line(&mut line).unwrap_or(0) > 2 {
            line.clear();
        }
        let figure = |name: &str| {
            let at = request.find(name).unwrap() + name.len();
            request[at..].split(|c: char| !c.is_ascii_digit()).next().unwrap().parse::<u64>().unwrap()
        };
        let (after, wait) = (figure("follow="), ms(figure("wait_ms=")));
        let mut events = shared.0.lock().unwrap();
        events.asks += 1;
        if events.mood == Mood::Silent {
            drop(events);
            std::thread::sleep(SOON);
            return;
        }
        let wait = if events.mood == Mood::Empty { Duration::ZERO } else { wait };
        let news = |events: &mut Events| events.all.len() as u64 <= after && events.mood != Mood::Empty;
        let (events, _) = shared.1.wait_timeout_while(events, wait, news).unwrap();
        let mood = events.mood;
        let hidden = match mood {
            Mood::Empty => u64::MAX,
            Mood::Jumps if after > 0 => after + 1,
            Mood::GoesBack if after > 0 => u64::MAX,
            _ => after,
        };
        let updates: Vec<_> = events.all.iter().filter(|e| e["index"].as_u64() > Some(hidden)).collect();
        let index = match mood {
            Mood::Empty => after as usize,
            Mood::GoesBack if after > 0 => 0,
            _ => events.all.len(),
        };
        let body = json!({"index": index, "updates": updates}).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let breaks = mood == Mood::BreaksOff;
        drop(events);
        let stopping = match mood {
            Mood::StopsAt(bytes) => Some(format!("{head}{body}")[..bytes].to_string()),
            Mood::StopsInChunk => {
                let (first, second) = body.split_at(body.len() / 2);
                let half = &second[..second.len() / 2];
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                Some(format!("{head}{:x}\r\n{first}\r\n{:x}\r\n{half}", first.len(), second.len()))
            }
            _ => None,
        };
        if let Some(part) = stopping {
            // Until its connection is closed.
            let _ = stream.write_all(part.as_bytes());
            let _ = lines.read_to_end(&mut Vec::new());
            return;
        }
        if mood == Mood::Trickles {
            for byte in format!("{head}{body}").bytes() {
                if stream.write_all(&[byte]).is_err() {
                    return;
                }
                std::thread::sleep(ms(40));
            }
            continue;
        }
        let body = if breaks { &body[..body.len() / 2] } else { &body[..] };
        if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).is_err()
            || breaks
        {
            return;
        }
    }
}

pub fn event(index: u64, all: bool, targets: Vec<Value>) -> Value {
    json!({"index": index, "endpoints": {"rev": index, "all": all, "targets": targets}})
}

/// A server as the coordinator lists it.
pub fn target(uid: &str, address: SocketAddr, group: u32, state: &str, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "std", "pod_group": group,
        "state": state, "capacity_hint": 1, "boot_ms": boot_ms})
}

// ---- Callers ----

/// A message that a caller was sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Said {
    /// `SIP/2.0 200 OK`, or the first line of a request.
    pub start: String,
    pub fields: BTreeMap<String, String>,
    pub body: String,
}

impl Said {
    pub fn status(&self) -> Option<u16> {
        self.start.strip_prefix("SIP/2.0 ").and_then(|rest| rest[..3].parse().ok())
    }

    pub fn call(&self) -> &str {
        self.fields.get("call-id").map_or("", String::as_str)
    }

    pub fn is_bye(&self) -> bool {
        self.start.starts_with("BYE ")
    }
}

pub struct Caller {
    pub stream: TcpStream,
    heard: Receiver<Option<Said>>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).unwrap();
        // What is written is there, and does not wait for what was written before to be seen.
        stream.set_nodelay(true).unwrap();
        let (say, heard) = channel();
        let reader = stream.try_clone().unwrap();
        std::thread::spawn(move || read_sip(reader, &say));
        Caller { stream, heard }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        // The node may have closed it: that is what some tests are about.
        let _ = self.stream.write_all(bytes);
    }

    pub fn invite(&mut self, call: &str, dest: u32, left_ms: u64) {
        self.send(&invite(call, &format!("dest:{dest};width:1;via:-1"), left_ms, BODY));
    }

    pub fn request(&mut self, method: &str, call: &str) {
        let text = format!(
            "{method} sip:x@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n"
        );
        self.send(text.as_bytes());
    }

    /// The next message; `None`: the connection has ended.
    pub fn next(&self) -> Option<Said> {
        self.heard.recv_timeout(SOON).expect("a message or an end")
    }

    pub fn within(&self, span: Duration) -> Option<Said> {
        self.heard.recv_timeout(span).ok().flatten()
    }

    /// Whether its connection has ended, and nothing was said before.
    pub fn has_ended(&self) -> bool {
        matches!(self.heard.recv_timeout(ms(5)), Ok(None))
    }

    /// Waits for the connection's end; how long that took.
    pub fn end(&self) -> Duration {
        let from = Instant::now();
        while self.next().is_some() {}
        from.elapsed()
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// All messages within a span.
    pub fn all_within(&self, span: Duration) -> Vec<Said> {
        let until = Instant::now() + span;
        let mut all = Vec::new();
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            match self.heard.recv_timeout(left) {
                Ok(Some(said)) => all.push(said),
                _ => return all,
            }
        }
        all
    }
}

pub fn invite(call: &str, path: &str, left_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\n\
         P-Kind: plain\r\nP-Time-Left: {left_ms}\r\nP-Path: {path}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn read_sip(stream: TcpStream, say: &Sender<Option<Said>>) {
    let mut lines = BufReader::new(stream);
    loop {
        let mut start = String::new();
        if lines.read_line(&mut start).unwrap_or(0) == 0 {
            let _ = say.send(None);
            return;
        }
        let mut fields = BTreeMap::new();
        loop {
            let mut line = String::new();
            lines.read_line(&mut line).unwrap_or(0);
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            fields.insert(name.to_lowercase(), value.to_string());
        }
        let length = fields.get("content-length").map_or(0, |l: &String| l.parse().unwrap());
        let mut body = vec![0; length];
        if lines.read_exact(&mut body).is_err() {
            let _ = say.send(None);
            return;
        }
        let said = Said { start: start.trim_end().into(), fields, body: String::from_utf8(body).unwrap() };
        if say.send(Some(said)).is_err() {
            return;
        }
    }
}

// ---- The configuration ----

pub fn config_text(listen: SocketAddr, coordinator: SocketAddr, known: &Value, sockets: u32) -> String {
    let class = |name: &str, worth: u32| {
        json!({"name": name, "aim_ns": 1_000_000_000u64, "deadline_ns": 4_000_000_000u64, "worth": worth,
            "late_worth": 0.25, "repeat": "read_like"})
    };
    json!({
        "name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": sockets},
        "coordinator": coordinator.to_string(), "known": known,
        "settings": {
            "classes": [class("plain", 1), class("dear", 3)],
            "dcs": ["a"],
            "family_info": {"home_no": -1, "release_ns": 300_000_000, "retransmit_ns": 400_000_000},
            "permissions": {"cancel": true, "connect_timeout_ns": 500_000_000, "max_attempts": 6,
                "max_open": 2000, "max_retry_after_ns": 2_000_000_000u64, "retry_after": true},
            "report": {"fields": ["free", "size", "latency_ms", "can_take"], "how": "answers"},
            "rules": {"cold_from": 0.3, "cold_ns": 14_000_000_000u64, "stop_sending_within_ns": 500_000_000,
                "tip_multiple": 3.0},
            "tick_ns": 5_000_000
        }
    })
    .to_string()
}
