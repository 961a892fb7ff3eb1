//! Runs a real `lilacpitch-edge` process between scripted callers and servers on blocking sockets.
#![allow(dead_code)]

use lilacpitch_protocol::frame::{Decoder, Encoder, Message, Role};
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use lilacpitch_protocol::{handshake, http};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a test waits for an event that must happen.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Reads frames until the connection ends.
fn read_frames(mut stream: TcpStream, role: Role, received: Vec<u8>, mut handle: impl FnMut(Message)) {
    let (mut decoder, mut buffer) = (Decoder::new(role), [0; 4096]);
    decoder.feed(&received);
    loop {
        match decoder.next() {
            Ok(Some(message)) => {
                handle(message);
                continue;
            }
            Ok(None) => {}
            Err(_) => return,
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => decoder.feed(&buffer[..length]),
            _ => return,
        }
    }
}

/// Reads until a head is complete; returns it with the bytes that follow it. `None`: the connection has
/// ended.
fn read_head<T>(
    stream: &mut TcpStream,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, http::HeadError>,
) -> Option<(T, Vec<u8>)> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 1024]);
    loop {
        if let Some((head, length)) = parse(&bytes).ok()? {
            return Some((head, bytes.split_off(length)));
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

/// A message that a scripted server received.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ReceivedMessage {
    pub received_at: Instant,
    /// Index of the server.
    pub server: usize,
    /// Index of the connection at the server.
    pub connection: usize,
    pub message: ToServer,
}

impl ReceivedMessage {
    pub(crate) fn attempt(&self) -> u64 {
        match self.message {
            ToServer::Setup { attempt, .. }
            | ToServer::Cancel { attempt }
            | ToServer::Release { attempt } => attempt,
        }
    }

    pub(crate) fn is_new_setup(&self) -> bool {
        matches!(self.message, ToServer::Setup { repeat: 0, .. })
    }
}

/// A scripted signalling server.
pub(crate) struct Server {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts to listen. Without `answers_handshakes` it accepts connections and never answers their
    /// handshakes.
    fn start(index: usize, answers_handshakes: bool, received: Sender<ReceivedMessage>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(Mutex::new(Vec::new()));
        let accepted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let (accepted, received) = (accepted.clone(), received.clone());
                if !answers_handshakes {
                    accepted.lock().unwrap().push(stream);
                    continue;
                }
                std::thread::spawn(move || {
                    let Some((request, remainder)) = read_head(&mut stream, http::request) else { return };
                    let answer = handshake::server_answer(&request, handshake::SIGNAL_PROTOCOL).unwrap();
                    // Added before the front can find that the connection is established.
                    let connection = {
                        let mut accepted = accepted.lock().unwrap();
                        accepted.push(stream.try_clone().unwrap());
                        accepted.len() - 1
                    };
                    stream.write_all(&answer).unwrap();
                    read_frames(stream, Role::Server, remainder, |message| {
                        if let Message::Text(text) = message {
                            let message = ToServer::decode(&text).unwrap();
                            let received_at = Instant::now();
                            let message = ReceivedMessage { received_at, server: index, connection, message };
                            let _ = received.send(message);
                        }
                    });
                });
            }
        });
        Server { address, connections }
    }

    /// Number of connections accepted so far.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    pub(crate) fn send_bytes(&self, connection: usize, bytes: &[u8]) {
        // The front may have closed the connection; then the bytes are lost.
        let _ = self.connections.lock().unwrap()[connection].write_all(bytes);
    }

    pub(crate) fn send_text(&self, connection: usize, text: &str) {
        let mut bytes = Vec::new();
        Encoder::text(&mut bytes, text, None);
        self.send_bytes(connection, &bytes);
    }

    pub(crate) fn send(&self, connection: usize, message: &FromServer) {
        self.send_text(connection, &message.encode());
    }

    /// Answers a set-up: its call is established.
    pub(crate) fn answer(&self, setup: &ReceivedMessage) {
        self.send(setup.connection, &FromServer::Answer { attempt: setup.attempt(), load: None });
    }

    /// Closes a connection at once.
    pub(crate) fn reset(&self, connection: usize) {
        let _ = self.connections.lock().unwrap()[connection].shutdown(std::net::Shutdown::Both);
    }
}

/// The servers of a test, and the messages that they receive.
pub(crate) struct Servers {
    pub all: Vec<Server>,
    received: Receiver<ReceivedMessage>,
}

impl Servers {
    /// Starts one server for each item, which states whether the server answers handshakes.
    pub(crate) fn start(answers_handshakes: &[bool]) -> Self {
        let (sender, received) = channel();
        let start = |(index, answers): (usize, &bool)| Server::start(index, *answers, sender.clone());
        let all = answers_handshakes.iter().enumerate().map(start).collect();
        Servers { all, received }
    }

    pub(crate) fn next_message(&self, timeout: Duration) -> Option<ReceivedMessage> {
        self.received.recv_timeout(timeout).ok()
    }

    /// The next new set-up. Messages before it are skipped.
    pub(crate) fn next_setup(&self) -> ReceivedMessage {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let timeout = deadline.saturating_duration_since(Instant::now());
            let received = self.next_message(timeout).expect("a set-up");
            if received.is_new_setup() {
                return received;
            }
        }
    }

    /// The next message that is not a set-up sent again.
    pub(crate) fn next_unrepeated(&self) -> ReceivedMessage {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let timeout = deadline.saturating_duration_since(Instant::now());
            let received = self.next_message(timeout).expect("a message");
            if !matches!(received.message, ToServer::Setup { repeat: 1.., .. }) {
                return received;
            }
        }
    }

    /// All messages that arrive within a duration.
    pub(crate) fn messages_within(&self, duration: Duration) -> Vec<ReceivedMessage> {
        let deadline = Instant::now() + duration;
        let next = || self.next_message(deadline.saturating_duration_since(Instant::now()));
        std::iter::from_fn(next).collect()
    }
}

/// The process of a front, with its settings in a temporary folder.
pub(crate) struct Edge {
    child: Child,
    pub callers: SocketAddr,
    pub metrics: SocketAddr,
    folder: tempfile::TempDir,
}

impl Edge {
    /// Starts a front with these servers and with further settings, and waits until it listens.
    pub(crate) fn start(servers: &Servers, more_settings: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let states: Vec<&str> = servers.all.iter().map(|_| "running").collect();
        std::fs::write(folder.path().join("pools.cue"), endpoint_list(servers, &states)).unwrap();
        std::fs::write(folder.path().join("edge.cue"), settings(more_settings)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
            .args(["run", "--config"])
            .arg(folder.path().join("edge.cue"))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = |name: &str| ready[name].as_str().unwrap().parse().unwrap();
        Edge { child, callers: address("callers"), metrics: address("metrics"), folder }
    }

    /// Waits until the front has this number of connections to servers.
    pub(crate) fn wait_until_connected(self, servers: &Servers, connections: usize) -> Self {
        let deadline = Instant::now() + TIMEOUT;
        while self.metric("lilacpitch_links_made_total") < connections as u64 {
            assert!(Instant::now() < deadline, "not connected: {}", self.metrics_page());
            std::thread::sleep(ms(5));
        }
        assert!(servers.all.iter().map(Server::connection_count).sum::<usize>() >= connections);
        self
    }

    /// Replaces the endpoint list. `states`: the state of each server, or "" for one that is no longer
    /// listed.
    pub(crate) fn replace_endpoint_list(&self, servers: &Servers, states: &[&str]) {
        self.write_endpoint_list(&endpoint_list(servers, states));
    }

    pub(crate) fn write_endpoint_list(&self, text: &str) {
        let path: PathBuf = self.folder.path().join("pools.cue");
        std::fs::write(path.with_extension("new"), text).unwrap();
        std::fs::rename(path.with_extension("new"), path).unwrap();
    }

    pub(crate) fn metrics_page(&self) -> String {
        self.get("/metrics")
    }

    /// Requests a page; returns the whole response.
    pub(crate) fn get(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.metrics).unwrap();
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).unwrap();
        let mut page = String::new();
        stream.read_to_string(&mut page).unwrap();
        page
    }

    pub(crate) fn metric(&self, name: &str) -> u64 {
        let page = self.metrics_page();
        let value = page.lines().find_map(|line| line.strip_prefix(name));
        let value = value.unwrap_or_else(|| panic!("no {name}: {page}"));
        value.trim().parse().unwrap()
    }

    /// Waits until a metric has reached a value.
    pub(crate) fn wait_for_metric(&self, name: &str, value: u64) {
        let deadline = Instant::now() + TIMEOUT;
        while self.metric(name) < value {
            assert!(Instant::now() < deadline, "{name} did not reach {value}: {}", self.metrics_page());
            std::thread::sleep(ms(5));
        }
    }

    pub(crate) fn send_signal(&self, signal: nix::sys::signal::Signal) {
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Returns the memory that the process holds for itself, without the pages of its program file, in kB.
    pub(crate) fn anonymous_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits for the end of the process. Returns whether it exited with success, or `None` after the timeout.
    pub(crate) fn wait_for_exit(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status.success());
            }
            std::thread::sleep(ms(5));
        }
        None
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings file of a front, with further settings.
pub(crate) fn settings(more_settings: &str) -> String {
    format!(
        r#"name: "edge-0"
listen: "127.0.0.1:0"
metrics: "127.0.0.1:0"
pool_list: "pools.cue"
look_at_pool_list_every: "20ms"
classes: [{{name: "one", aim: "1s", give_up: "6s", worth: 1, late_worth: 0.5}}]
timing: {{resend: "200ms", reconnect_first: "50ms", reconnect_longest: "200ms", stop: "500ms"}}
log: level: "error"
{more_settings}
"#
    )
}

fn endpoint_list(servers: &Servers, states: &[&str]) -> String {
    let entry = |(index, (server, state)): (usize, (&Server, &&str))| {
        format!(
            "\t{{name: \"r{index}\", pool: \"p{index}\", address: \"{}\", state: {state:?}}},\n",
            server.address
        )
    };
    let listed = servers.all.iter().zip(states).enumerate().filter(|(_, (_, state))| !state.is_empty());
    format!("servers: [\n{}]\n", listed.map(entry).collect::<String>())
}

/// An event of a caller's connection, with its time: a message, or the end of the connection with the close
/// code, if there was one.
pub(crate) type CallerEvent = (Instant, Result<ToCaller, Option<u16>>);

/// A scripted caller.
pub(crate) struct Caller {
    stream: TcpStream,
    events: Receiver<CallerEvent>,
    next: u64,
}

impl Caller {
    pub(crate) fn connect(edge: &Edge) -> Self {
        let (stream, remainder) = open(edge.callers);
        let (sender, events) = channel();
        let reader = stream.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut code = None;
            read_frames(reader, Role::Client, remainder, |message| match message {
                Message::Text(text) => {
                    drop(sender.send((Instant::now(), Ok(ToCaller::decode(&text).unwrap()))))
                }
                Message::Close(Some((close_code, _))) => code = Some(close_code.0),
                _ => {}
            });
            let _ = sender.send((Instant::now(), Err(code)));
        });
        Caller { stream, events, next: 0 }
    }

    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub(crate) fn send_text(&mut self, text: &str) {
        let mut bytes = Vec::new();
        Encoder::text(&mut bytes, text, Some([1, 2, 3, 4]));
        self.send_bytes(&bytes);
    }

    /// Requests a call of class `one`, with the pool of this index if one is given. Returns when it was sent.
    pub(crate) fn setup(&mut self, call: &str, pool: Option<usize>, budget_ms: u64) -> Instant {
        let message = FromCaller::Setup {
            call: call.into(),
            class: "one".into(),
            pool: pool.map(|index| format!("p{index}")),
            number: None,
            budget_ms,
        };
        let sent_at = Instant::now();
        self.send_text(&message.encode());
        sent_at
    }

    pub(crate) fn release(&mut self, call: &str) {
        self.send_text(&FromCaller::Release { call: call.into() }.encode());
    }

    pub(crate) fn next_event(&self, timeout: Duration) -> Option<CallerEvent> {
        match self.events.recv_timeout(timeout) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }

    pub(crate) fn next_message(&self) -> ToCaller {
        self.next_event(TIMEOUT).expect("a message").1.expect("not closed")
    }

    /// The final answer for a call, and when it arrived. It must be the next event.
    pub(crate) fn next_answer(&self, expected_call: &str) -> (Instant, Answer) {
        match self.next_event(TIMEOUT).expect("an answer") {
            (at, Ok(ToCaller::Final { call, answer, .. })) if call == expected_call => (at, answer),
            other => panic!("no answer for {expected_call}: {other:?}"),
        }
    }

    pub(crate) fn drop_socket(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// All events within a duration.
    pub(crate) fn events_within(&self, duration: Duration) -> Vec<CallerEvent> {
        let deadline = Instant::now() + duration;
        std::iter::from_fn(|| self.next_event(deadline.saturating_duration_since(Instant::now()))).collect()
    }
}

/// Opens a caller's connection and performs its handshake. Returns the bytes that follow it, too.
pub(crate) fn open(address: SocketAddr) -> (TcpStream, Vec<u8>) {
    let mut stream = TcpStream::connect(address).unwrap();
    let key = handshake::key([3; 16]);
    stream.write_all(&handshake::client_request("h", "/call", &key, handshake::CALL_PROTOCOL)).unwrap();
    let (answer, remainder) = read_head(&mut stream, http::response).unwrap();
    handshake::check_answer(&answer, &key, handshake::CALL_PROTOCOL).unwrap();
    (stream, remainder)
}

/// The final answers of each call.
pub(crate) fn final_answers(events: &[CallerEvent]) -> BTreeMap<String, Vec<Answer>> {
    let mut answers: BTreeMap<String, Vec<Answer>> = BTreeMap::new();
    for (_, message) in events {
        if let Ok(ToCaller::Final { call, answer, .. }) = message {
            answers.entry(call.clone()).or_default().push(*answer);
        }
    }
    answers
}

/// Free addresses on loopback, for the gossip sockets of fronts.
pub(crate) fn free_addresses(count: usize) -> Vec<SocketAddr> {
    lilacpitch_net::free_addresses(count).unwrap()
}

/// The settings of the gossip with other fronts. `more_fields`: further fields, each followed by a comma.
pub(crate) fn peer_settings(
    listen: SocketAddr,
    more_fields: &str,
    seeds: &[SocketAddr],
    key_file: &str,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(", ");
    format!(
        "peers: {{listen: \"{listen}\", {more_fields} seeds: [{seeds}], key_file: {key_file:?}, fronts: 4}}"
    )
}

/// Waits until a condition holds; `expectation` describes it.
pub(crate) fn wait_until(timeout: Duration, expectation: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {expectation}");
        std::thread::sleep(ms(20));
    }
}
