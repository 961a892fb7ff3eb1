//! Simulated callers, signalling servers and a coordinator on blocking sockets.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long a test waits for something that normally happens without delay.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(8);
/// A session description.
pub(crate) const BODY: &str = "c=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n";

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call id as it is written on the wire.
pub(crate) fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// The current time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- Signalling servers ----

/// A line that a server received, or the end of a connection.
#[derive(Debug, Clone)]
pub(crate) struct ServerLine {
    /// When it was received.
    pub at: Instant,
    /// The connection, by its index among those accepted.
    pub connection: usize,
    /// Number of bytes that were sent on the connection up to the line's end.
    pub end_byte: u64,
    /// The line; `None` for the end of the connection.
    pub value: Option<Value>,
}

impl ServerLine {
    pub(crate) fn kind(&self) -> &str {
        self.value.as_ref().and_then(|value| value["kind"].as_str()).unwrap_or("")
    }

    pub(crate) fn uid(&self) -> String {
        self.value.as_ref().and_then(|value| value["uid"].as_str()).unwrap_or("").to_string()
    }
}

/// A signalling server that is controlled by its test.
pub(crate) struct Server {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Option<TcpStream>>>>,
    lines: Receiver<ServerLine>,
    is_listening: Arc<Mutex<bool>>,
    /// Whether the server reads nothing more for now.
    is_hanging: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server whose connections are soon full if it hangs.
    pub(crate) fn with_small_buffers() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        nix::sys::socket::setsockopt(&listener, nix::sys::socket::sockopt::RcvBuf, &4096).unwrap();
        Server::on_listener(listener)
    }

    /// Makes the server read nothing more after the current line, or go on.
    pub(crate) fn hang(&self, is_hanging: bool) {
        self.is_hanging.store(is_hanging, Ordering::SeqCst);
    }

    /// Returns the node's address of a connection.
    pub(crate) fn node_address(&self, connection: usize) -> Option<SocketAddr> {
        self.connections.lock().unwrap()[connection].as_ref()?.peer_addr().ok()
    }

    pub(crate) fn start() -> Server {
        // Not an ephemeral port, so that another server can listen on it later.
        Server::on_listener(TcpListener::bind(lilacpitch_net::free_addresses(1).unwrap()[0]).unwrap())
    }

    pub(crate) fn on_listener(listener: TcpListener) -> Server {
        let address = listener.local_addr().unwrap();
        let (connections, (sender, lines)) = (Arc::new(Mutex::new(Vec::new())), channel());
        let is_listening = Arc::new(Mutex::new(true));
        let is_hanging = Arc::new(AtomicBool::new(false));
        let may_hang = is_hanging.clone();
        let (accepted, may_accept) = (connections.clone(), is_listening.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                if !*may_accept.lock().unwrap() {
                    return;
                }
                let connection = {
                    let mut accepted = accepted.lock().unwrap();
                    accepted.push(Some(stream.try_clone().unwrap()));
                    accepted.len() - 1
                };
                let (sender, may_hang) = (sender.clone(), may_hang.clone());
                std::thread::spawn(move || read_lines(stream, connection, &sender, &may_hang));
            }
        });
        Server { address, connections, lines, is_listening, is_hanging }
    }

    /// Waits for the next line of this kind; skips others and the ends of connections.
    pub(crate) fn next(&self, kind: &str) -> ServerLine {
        self.next_within(kind, TIMEOUT).unwrap_or_else(|| panic!("no {kind}"))
    }

    pub(crate) fn next_within(&self, kind: &str, timeout: Duration) -> Option<ServerLine> {
        let until = Instant::now() + timeout;
        loop {
            let remaining = until.checked_duration_since(Instant::now())?;
            let line = self.lines.recv_timeout(remaining).ok()?;
            if line.kind() == kind {
                return Some(line);
            }
        }
    }

    /// Returns all lines that are received within a period.
    pub(crate) fn all_within(&self, period: Duration) -> Vec<ServerLine> {
        let until = Instant::now() + period;
        let mut lines = Vec::new();
        while let Some(remaining) = until.checked_duration_since(Instant::now()) {
            lines.extend(self.lines.recv_timeout(remaining).ok());
        }
        lines
    }

    pub(crate) fn write(&self, connection: usize, bytes: &[u8]) {
        if let Some(Some(stream)) = self.connections.lock().unwrap().get_mut(connection) {
            // Fails if the node has closed the connection, which some tests cause.
            let _ = stream.write_all(bytes);
        }
    }

    pub(crate) fn send_line(&self, connection: usize, value: Value) {
        self.write(connection, format!("{value}\n").as_bytes());
    }

    pub(crate) fn answer(&self, setup: &ServerLine, body: &str) {
        self.send_line(
            setup.connection,
            json!({"kind": "running", "uid": setup.uid(), "meta": {}, "body": body}),
        );
    }

    /// Establishes a call of this caller, and returns its set-up.
    pub(crate) fn establish(&self, caller: &mut Caller, call: u64) -> ServerLine {
        caller.invite(&id(call), 0, 3_000);
        let setup = self.next("launch");
        self.answer(&setup, "established");
        assert_eq!(caller.next().unwrap().body, "established");
        setup
    }

    pub(crate) fn stop(&self, connection: usize, uid: &str, cause: u16, meta: Value) {
        self.send_line(connection, json!({"kind": "stop", "uid": uid, "meta": meta, "reason": cause}));
    }

    /// Resets a connection.
    pub(crate) fn reset(&self, connection: usize) {
        if let Some(stream) = self.connections.lock().unwrap().get_mut(connection).and_then(Option::take) {
            reset(stream);
        }
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    /// Stops listening and resets all connections, like the kill of a server's process.
    pub(crate) fn kill(&self) {
        *self.is_listening.lock().unwrap() = false;
        // This connection makes the accepting thread end and close the listener.
        let _ = TcpStream::connect(self.address);
        while TcpStream::connect(self.address).is_ok() {
            std::thread::sleep(ms(5));
        }
        self.connections.lock().unwrap().iter_mut().filter_map(Option::take).for_each(reset);
    }
}

/// Resets a connection.
fn reset(stream: TcpStream) {
    // A socket that is closed with a linger time of 0 is reset. The reader's clone keeps it open, so it is
    // shut down.
    let _ = nix::sys::socket::setsockopt(
        &stream,
        nix::sys::socket::sockopt::Linger,
        &nix::libc::linger { l_onoff: 1, l_linger: 0 },
    );
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Reads the lines of a connection to its end.
fn read_lines(stream: TcpStream, connection: usize, sender: &Sender<ServerLine>, is_hanging: &AtomicBool) {
    let mut lines = BufReader::with_capacity(512, stream);
    let mut end_byte = 0;
    loop {
        let mut text = String::new();
        let value = match lines.read_line(&mut text) {
            // A line whose connection has ended within it was not received.
            Ok(_) if text.ends_with('\n') => Some(serde_json::from_str(&text).expect("line is not JSON")),
            _ => None,
        };
        let has_ended = value.is_none();
        end_byte += text.len() as u64;
        if sender.send(ServerLine { at: Instant::now(), connection, end_byte, value }).is_err() || has_ended {
            return;
        }
        while is_hanging.load(Ordering::SeqCst) {
            std::thread::sleep(ms(1));
        }
    }
}

/// An address to which connections are never established: its listener does not accept, and its backlog is
/// full. The connections and the listener are to be kept open.
pub(crate) fn unreachable_server() -> (SocketAddr, Vec<TcpStream>, std::os::fd::OwnedFd) {
    use nix::sys::socket::*;
    use std::os::fd::AsRawFd;
    let fd = socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).unwrap();
    bind(fd.as_raw_fd(), &SockaddrIn::new(127, 0, 0, 1, 0)).unwrap();
    listen(&fd, Backlog::new(0).unwrap()).unwrap();
    let bound: SockaddrIn = getsockname(fd.as_raw_fd()).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], bound.port()));
    let mut backlog = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, ms(150)) {
        backlog.push(stream);
    }
    (address, backlog, fd)
}

// ---- The coordinator ----

/// How a coordinator responds to polls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    /// Responds as the protocol requires.
    Normal,
    /// Closes the connection in the middle of each response.
    ClosesEarly,
    /// Accepts each poll and sends nothing.
    Silent,
    /// Sends this many bytes of each response, and nothing more.
    StallsAfter(usize),
    /// Sends each response in chunks, and stalls in the second.
    StallsInChunk,
    /// Sends each response one byte at a time, so slowly that the node times out.
    Trickles,
    /// Sends each response whole, but this many milliseconds late.
    Delays(u64),
    /// Responds to each poll at once, without events.
    Empty,
    /// Skips the next event, unless polled for the full list.
    SkipsEvent,
    /// Reports a lower index than before, unless polled for the full list.
    LowersIndex,
}

/// The state that is shared by the connections of a coordinator.
struct Events {
    all: Vec<Value>,
    behaviour: Behaviour,
    polls: usize,
}

/// A coordinator that is controlled by its test.
pub(crate) struct Coordinator {
    pub address: SocketAddr,
    state: Arc<(Mutex<Events>, Condvar)>,
}

impl Coordinator {
    pub(crate) fn start(events: Vec<Value>) -> Coordinator {
        Coordinator::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), events)
    }

    pub(crate) fn on_listener(listener: TcpListener, events: Vec<Value>) -> Coordinator {
        let address = listener.local_addr().unwrap();
        let state = Arc::new((
            Mutex::new(Events { all: events, behaviour: Behaviour::Normal, polls: 0 }),
            Condvar::new(),
        ));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).unwrap();
                let shared = shared.clone();
                std::thread::spawn(move || serve_polls(stream, &shared));
            }
        });
        Coordinator { address, state }
    }

    /// Starts a coordinator that lists these servers as in service, with the ids `s0`, `s1`, ... and numbers
    /// from 0.
    pub(crate) fn listing(servers: &[&Server]) -> Coordinator {
        let listed = servers.iter().enumerate();
        let targets =
            listed.map(|(n, server)| target(&format!("s{n}"), server.address, n as u32, "in_service", 0));
        Coordinator::start(vec![event(1, true, targets.collect())])
    }

    /// Adds an event with changes of these servers.
    pub(crate) fn publish(&self, targets: Vec<Value>) {
        let mut events = self.state.0.lock().unwrap();
        let index = events.all.len() as u64 + 1;
        events.all.push(event(index, false, targets));
        self.state.1.notify_all();
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.0.lock().unwrap().behaviour = behaviour;
    }

    pub(crate) fn poll_count(&self) -> usize {
        self.state.0.lock().unwrap().polls
    }

    /// Returns the events so far, in the form of a response.
    pub(crate) fn known(&self) -> Value {
        let events = self.state.0.lock().unwrap();
        json!({"index": events.all.len(), "updates": events.all})
    }
}

/// Responds to the polls of one connection, according to the coordinator's behaviour.
fn serve_polls(stream: TcpStream, shared: &(Mutex<Events>, Condvar)) {
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    while let Some(poll) = read_poll(&mut lines) {
        let Some((behaviour, body)) = wait_for_events(&poll, shared) else {
            std::thread::sleep(TIMEOUT);
            return;
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let response = format!("{head}{body}");
        if let Behaviour::Delays(delay_ms) = behaviour {
            std::thread::sleep(ms(delay_ms));
        }
        let is_open = match behaviour {
            Behaviour::StallsAfter(bytes) => write_and_stall(&mut stream, &mut lines, &response[..bytes]),
            Behaviour::StallsInChunk => write_and_stall(&mut stream, &mut lines, &partial_chunks(&body)),
            Behaviour::Trickles => trickle(&mut stream, &response),
            Behaviour::ClosesEarly => {
                let _ = stream.write_all(&response.as_bytes()[..head.len() + body.len() / 2]);
                false
            }
            _ => stream.write_all(response.as_bytes()).is_ok(),
        };
        if !is_open {
            return;
        }
    }
}

/// The parameters of a poll.
struct Poll {
    /// Number of the last event that the node has received.
    after: u64,
    /// How long the response may be held back.
    hold: Duration,
}

/// Reads the head of a request; `None` at the end of the connection.
fn read_poll(lines: &mut BufReader<TcpStream>) -> Option<Poll> {
    let (mut request, mut line) = (String::new(), String::new());
    if lines.read_line(&mut request).unwrap_or(0) == 0 {
        return None;
    }
    while lines.read_line(&mut line).unwrap_or(0) > 2 {
        line.clear();
    }
    let parameter = |name: &str| {
        let start = request.find(name).unwrap() + name.len();
        request[start..].split(|c: char| !c.is_ascii_digit()).next().unwrap().parse::<u64>().unwrap()
    };
    Some(Poll { after: parameter("follow="), hold: ms(parameter("wait_ms=")) })
}

/// Holds the response back until there are new events. Returns its body, or `None` if no response is to be
/// sent.
fn wait_for_events(poll: &Poll, shared: &(Mutex<Events>, Condvar)) -> Option<(Behaviour, String)> {
    let mut events = shared.0.lock().unwrap();
    events.polls += 1;
    if events.behaviour == Behaviour::Silent {
        return None;
    }
    let responds_at_once = matches!(events.behaviour, Behaviour::Empty | Behaviour::Delays(_));
    let hold = if responds_at_once { Duration::ZERO } else { poll.hold };
    let has_none =
        |events: &mut Events| events.all.len() as u64 <= poll.after && events.behaviour != Behaviour::Empty;
    let (events, _) = shared.1.wait_timeout_while(events, hold, has_none).unwrap();
    Some((events.behaviour, response_body(&events, poll.after)))
}

fn response_body(events: &Events, after: u64) -> String {
    let hidden = match events.behaviour {
        Behaviour::Empty => u64::MAX,
        Behaviour::SkipsEvent if after > 0 => after + 1,
        Behaviour::LowersIndex if after > 0 => u64::MAX,
        _ => after,
    };
    let updates: Vec<_> = events.all.iter().filter(|event| event["index"].as_u64() > Some(hidden)).collect();
    let index = match events.behaviour {
        Behaviour::Empty => after as usize,
        Behaviour::LowersIndex if after > 0 => 0,
        _ => events.all.len(),
    };
    json!({"index": index, "updates": updates}).to_string()
}

/// A chunked response that ends within its second chunk.
fn partial_chunks(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let half = &second[..second.len() / 2];
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{first}\r\n{:x}\r\n{half}", first.len(), second.len())
}

/// Writes a part of a response, and waits until the node closes the connection. Returns `false`, since it is
/// not open.
fn write_and_stall(stream: &mut TcpStream, lines: &mut BufReader<TcpStream>, part: &str) -> bool {
    let _ = stream.write_all(part.as_bytes());
    let _ = lines.read_to_end(&mut Vec::new());
    false
}

/// Writes one byte at a time. Returns whether the connection is still open.
fn trickle(stream: &mut TcpStream, text: &str) -> bool {
    for byte in text.bytes() {
        if stream.write_all(&[byte]).is_err() {
            return false;
        }
        std::thread::sleep(ms(40));
    }
    true
}

/// An event of the coordinator.
pub(crate) fn event(index: u64, all: bool, targets: Vec<Value>) -> Value {
    json!({"index": index, "endpoints": {"rev": index, "all": all, "targets": targets}})
}

/// A server as the coordinator lists it.
pub(crate) fn target(uid: &str, address: SocketAddr, group: u32, state: &str, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "std", "pod_group": group,
        "state": state, "capacity_hint": 1, "boot_ms": boot_ms})
}

// ---- Callers ----

/// A message that a caller received.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SipMessage {
    /// The start line, such as `SIP/2.0 200 OK`.
    pub start: String,
    /// Header fields by their names in lower case.
    pub fields: BTreeMap<String, String>,
    pub body: String,
}

impl SipMessage {
    pub(crate) fn status(&self) -> Option<u16> {
        self.start.strip_prefix("SIP/2.0 ").and_then(|status_line| status_line[..3].parse().ok())
    }

    pub(crate) fn call(&self) -> &str {
        self.fields.get("call-id").map_or("", String::as_str)
    }

    pub(crate) fn is_bye(&self) -> bool {
        self.start.starts_with("BYE ")
    }
}

/// A caller's connection.
pub(crate) struct Caller {
    pub stream: TcpStream,
    received: Receiver<Option<SipMessage>>,
}

impl Caller {
    pub(crate) fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).unwrap();
        // Data is sent at once, rather than after earlier data is acknowledged.
        stream.set_nodelay(true).unwrap();
        let (sender, received) = channel();
        let reader = stream.try_clone().unwrap();
        std::thread::spawn(move || read_messages(reader, &sender));
        Caller { stream, received }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        // Fails if the node has closed the connection, which some tests cause.
        let _ = self.stream.write_all(bytes);
    }

    pub(crate) fn invite(&mut self, call: &str, dest: u32, left_ms: u64) {
        self.send(&invite(call, &format!("dest:{dest};width:1;via:-1"), left_ms, BODY));
    }

    pub(crate) fn request(&mut self, method: &str, call: &str) {
        let text = format!(
            "{method} sip:x@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n"
        );
        self.send(text.as_bytes());
    }

    /// Waits for the next message; `None` if the connection has ended.
    pub(crate) fn next(&self) -> Option<SipMessage> {
        self.received.recv_timeout(TIMEOUT).expect("neither a message nor an end")
    }

    pub(crate) fn next_within(&self, timeout: Duration) -> Option<SipMessage> {
        self.received.recv_timeout(timeout).ok().flatten()
    }

    /// Whether the connection has ended and all its messages were returned.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self.received.recv_timeout(ms(5)), Ok(None))
    }

    /// Waits for the end of the connection, and returns how long that took.
    pub(crate) fn wait_for_end(&self) -> Duration {
        let start = Instant::now();
        while self.next().is_some() {}
        start.elapsed()
    }

    pub(crate) fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Returns all messages that are received within a period, or until the connection ends.
    pub(crate) fn all_within(&self, period: Duration) -> Vec<SipMessage> {
        let until = Instant::now() + period;
        let mut messages = Vec::new();
        while let Some(remaining) = until.checked_duration_since(Instant::now()) {
            match self.received.recv_timeout(remaining) {
                Ok(Some(message)) => messages.push(message),
                _ => return messages,
            }
        }
        messages
    }
}

/// Encodes a set-up with this `P-Path`.
pub(crate) fn invite(call: &str, path: &str, left_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\n\
         CSeq: 1 INVITE\r\nP-Kind: plain\r\nP-Time-Left: {left_ms}\r\nP-Path: {path}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads the messages of a connection to its end.
fn read_messages(stream: TcpStream, sender: &Sender<Option<SipMessage>>) {
    let mut lines = BufReader::new(stream);
    loop {
        let mut start = String::new();
        if lines.read_line(&mut start).unwrap_or(0) == 0 {
            let _ = sender.send(None);
            return;
        }
        let mut fields = BTreeMap::new();
        loop {
            let mut line = String::new();
            lines.read_line(&mut line).unwrap_or(0);
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            fields.insert(name.to_lowercase(), value.to_string());
        }
        let length = fields.get("content-length").map_or(0, |length: &String| length.parse().unwrap());
        let mut body = vec![0; length];
        if lines.read_exact(&mut body).is_err() {
            let _ = sender.send(None);
            return;
        }
        let message =
            SipMessage { start: start.trim_end().into(), fields, body: String::from_utf8(body).unwrap() };
        if sender.send(Some(message)).is_err() {
            return;
        }
    }
}

// ---- The configuration ----

/// The configuration file of a node with two classes.
pub(crate) fn config_text(
    listen: SocketAddr,
    coordinator: SocketAddr,
    known: &Value,
    sockets: u32,
) -> String {
    let class = |name: &str, worth: u32| {
        json!({"name": name, "aim_ns": 1_000_000_000u64, "deadline_ns": 4_000_000_000u64, "worth": worth,
            "late_worth": 0.25, "repeat": "read_like"})
    };
    json!({
        "name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": sockets},
        "coordinator": coordinator.to_string(), "known": known,
        "settings": {
            "classes": [class("plain", 1), class("urgent", 3)],
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
