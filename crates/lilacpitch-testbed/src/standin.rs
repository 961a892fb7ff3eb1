//! Simulated servers on loopback sockets, with the same model that runs in virtual time. What they read and
//! send is recorded at the socket.

use crate::day::ServerEvent;
use crate::record::{Record, Seen};
use crate::simulation::server::{Server, ServerEffect, ServerParameters};
use lilacpitch::interface::Nanos;
use lilacpitch_edge::net::{serve_handshake, Clock, ConnectionEvent, Outgoing, WebSocketConnection};
use lilacpitch_protocol::frame::Role;
use lilacpitch_protocol::handshake::SIGNAL_PROTOCOL;
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// Most messages queued for a front.
const QUEUE: usize = 65_536;

/// A server to be simulated.
pub struct ScriptedServer {
    /// Its name in the pool list.
    pub name: String,
    /// The parameters of its model.
    pub parameters: ServerParameters,
    /// Its bound socket.
    pub listener: std::net::TcpListener,
    /// The events that concern it, ordered by time of the clock.
    pub events: Vec<(Nanos, ServerEvent)>,
    /// Whether it doesn't run yet.
    pub absent: bool,
}

/// An event of a connection, identified by its id.
enum SocketEvent {
    Open { connection: u64, edge: usize, outgoing: mpsc::Sender<Outgoing> },
    Text { connection: u64, text: String },
    Closed { connection: u64 },
}

struct Connection {
    edge: usize,
    outgoing: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

/// A simulated server and its connections.
struct SocketServer {
    name: String,
    model: Server,
    clock: Clock,
    connections: BTreeMap<u64, Connection>,
    /// Connections whose handshake is in progress.
    opening: BTreeMap<u64, AbortHandle>,
    /// The newest connection of each front.
    by_edge: BTreeMap<usize, u64>,
    last_connection: u64,
    records: Vec<Record>,
    effects: Vec<ServerEffect>,
    /// Whether it is silent: it accepts connections and answers nothing, not even their handshake.
    dead: bool,
    stopped: bool,
}

/// Binds a socket on loopback for a server.
pub fn bind() -> std::io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Runs servers until the value of `stop` changes. Returns their records. Must be called within a `LocalSet`.
pub async fn run(
    servers: Vec<ScriptedServer>,
    clock: Clock,
    stop: watch::Receiver<bool>,
) -> std::io::Result<Vec<Record>> {
    let mut tasks = Vec::new();
    for server in servers {
        tasks.push(tokio::task::spawn_local(serve(server, clock, stop.clone())));
    }
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await.map_err(std::io::Error::other)??);
    }
    Ok(records)
}

async fn serve(
    scripted: ScriptedServer,
    clock: Clock,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<Vec<Record>> {
    let listener = TcpListener::from_std(scripted.listener)?;
    let mut events = scripted.events.into_iter().peekable();
    let (socket_events, mut inbox) = mpsc::channel(QUEUE);
    let mut server = SocketServer {
        name: scripted.name,
        model: Server::new(scripted.parameters),
        clock,
        connections: BTreeMap::new(),
        opening: BTreeMap::new(),
        by_edge: BTreeMap::new(),
        last_connection: 0,
        records: Vec::new(),
        effects: Vec::new(),
        dead: scripted.absent,
        stopped: false,
    };
    if scripted.absent {
        server.model.silence();
    }
    loop {
        let event_ns = events.peek().map(|(at, _)| *at);
        let due = [event_ns, server.model.next_ns()].into_iter().flatten().min();
        let due = due.map(|at| clock.instant(at));
        tokio::select! {
            biased;
            _ = stop.changed() => return Ok(server.records),
            _ = tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {}
            Some(event) = inbox.recv() => server.handle(event),
            accepted = listener.accept(), if !server.stopped => server.accept(accepted?.0, &socket_events),
        }
        while events.peek().is_some_and(|(at, _)| *at <= clock.now()) {
            if let Some((_, event)) = events.next() {
                server.apply(event);
            }
        }
        let now = clock.now();
        server.model.work(now, &mut server.effects);
        server.carry_out();
    }
}

impl SocketServer {
    fn record(&mut self, seen: Seen) {
        self.records.push(Record { at_ns: self.clock.now(), seen });
    }

    fn accept(&mut self, mut stream: TcpStream, events: &mpsc::Sender<SocketEvent>) {
        self.last_connection += 1;
        let (connection, events, clock) = (self.last_connection, events.clone(), self.clock);
        let dead = self.dead;
        let task = tokio::task::spawn_local(async move {
            if dead {
                // The operating system accepts the connection, and nobody answers it.
                std::future::pending::<()>().await;
            }
            let Ok((target, unread_bytes)) = serve_handshake(&mut stream, "/signal", SIGNAL_PROTOCOL).await
            else {
                return;
            };
            // Fronts connect as `edge-INDEX`.
            let Some(edge) = target.rsplit('-').next().and_then(|n| n.parse().ok()) else { return };
            let (outgoing, mut queue) = mpsc::channel(QUEUE);
            if events.send(SocketEvent::Open { connection, edge, outgoing }).await.is_err() {
                return;
            }
            let rng = StdRng::seed_from_u64(connection);
            let websocket = WebSocketConnection {
                stream,
                role: Role::Server,
                clock,
                rng,
                quiet: None,
                write_limits: None,
                has_client_left: std::sync::Arc::default(),
            };
            let on_event = async |event| match event {
                ConnectionEvent::Text(text) => {
                    events.send(SocketEvent::Text { connection, text }).await.is_ok()
                }
                ConnectionEvent::NotWritten(_) | ConnectionEvent::Written(_) => true,
            };
            websocket.run(&unread_bytes, &mut queue, on_event).await;
            let _ = events.send(SocketEvent::Closed { connection }).await;
        });
        self.opening.insert(connection, task.abort_handle());
    }

    fn handle(&mut self, event: SocketEvent) {
        match event {
            SocketEvent::Open { connection, edge, outgoing } => {
                let Some(task) = self.opening.remove(&connection) else { return };
                self.connections.insert(connection, Connection { edge, outgoing, task });
                self.by_edge.insert(edge, connection);
            }
            SocketEvent::Closed { connection } => self.drop_connection(connection),
            SocketEvent::Text { connection, text } => {
                let Some(edge) = self.connections.get(&connection).map(|c| c.edge) else { return };
                let Ok(message) = ToServer::decode(&text) else { return };
                let known = self.model.has_attempt((edge, message.attempt()));
                let seen = Seen::received_by_server(&self.name, edge, &message, known);
                self.record(seen);
                let now = self.clock.now();
                self.model.handle(now, edge, &message, &mut self.effects);
                self.carry_out();
            }
        }
    }

    fn carry_out(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                ServerEffect::Send(edge, message) => self.send(edge, message),
                ServerEffect::AnswerLost((edge, attempt)) => {
                    let server = self.name.clone();
                    self.record(Seen::Answered { server, edge, attempt, stands: true });
                }
                ServerEffect::Failed { multiple, .. } => {
                    self.dead = true;
                    self.record(Seen::Fell { server: self.name.clone(), multiple });
                }
            }
        }
    }

    fn send(&mut self, edge: usize, message: FromServer) {
        let connection = self.by_edge.get(&edge).and_then(|id| self.connections.get(id));
        let Some(connection) = connection else { return };
        let text = message.encode();
        let _ = connection.outgoing.try_send(Outgoing {
            number: 0,
            text,
            not_after_ns: None,
            reports_written: false,
        });
        let seen = Seen::sent_by_server(&self.name, edge, &message);
        self.record(seen);
    }

    fn drop_connection(&mut self, connection: u64) {
        let Some(dropped) = self.connections.remove(&connection) else { return };
        dropped.task.abort();
        if self.by_edge.get(&dropped.edge) == Some(&connection) {
            self.by_edge.remove(&dropped.edge);
            self.model.drop_front(dropped.edge);
            self.record(Seen::LinkEnded { server: self.name.clone(), edge: dropped.edge });
        }
    }

    fn drop_all(&mut self) {
        std::mem::take(&mut self.opening).into_values().for_each(|task| task.abort());
        let connections: Vec<u64> = self.connections.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.drop_connection(connection));
    }

    fn apply(&mut self, event: ServerEvent) {
        let now = self.clock.now();
        match event {
            ServerEvent::Slow(times) => self.model.slow(times),
            ServerEvent::Pause(duration) => self.model.pause(now + duration),
            ServerEvent::LoseAnswers(share) => self.model.lose_answers(share),
            ServerEvent::BeginFault(fault) => self.model.add_fault(fault),
            ServerEvent::EndFault(fault) => self.model.remove_fault(&fault),
            ServerEvent::Silence => {
                self.model.silence();
                self.dead = true;
            }
            ServerEvent::Start => {
                self.drop_all();
                self.model.start(now);
                self.dead = false;
            }
            ServerEvent::Reset => self.drop_all(),
            ServerEvent::Stop => {
                for (edge, message) in self.model.cut_all() {
                    self.send(edge, message);
                }
                self.model.silence();
                self.drop_all();
                (self.dead, self.stopped) = (true, true);
            }
        }
    }
}
