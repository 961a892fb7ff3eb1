//! Simulated servers on loopback sockets, around the same model that runs in virtual time. What they read and
//! answer is recorded here, at the socket.

use crate::day::ServerEvent;
use crate::record::{Record, Seen};
use crate::simulation::server::{Does, Make, Server};
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

/// Messages that may wait for a front to read them.
const QUEUE: usize = 65_536;

/// A server to be played: its name, what it is like, its socket, and what happens to it at which moments of the
/// clock, in order.
pub struct Play {
    /// Its name in the pool list.
    pub name: String,
    /// What it is like.
    pub make: Make,
    /// Its socket, bound already.
    pub listener: std::net::TcpListener,
    /// What happens to it.
    pub events: Vec<(Nanos, ServerEvent)>,
    /// Whether it does not run yet.
    pub absent: bool,
}

enum News {
    Open { conn: u64, edge: usize, out: mpsc::Sender<Outgoing> },
    Text { conn: u64, text: String },
    Closed { conn: u64 },
}

struct Conn {
    edge: usize,
    out: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

struct StandIn {
    name: String,
    model: Server,
    clock: Clock,
    conns: BTreeMap<u64, Conn>,
    /// Connections whose handshake is under way.
    opening: BTreeMap<u64, AbortHandle>,
    by_edge: BTreeMap<usize, u64>,
    next: u64,
    records: Vec<Record>,
    does: Vec<Does>,
    /// Silent: takes connections and answers nothing, not even their handshake.
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

/// Plays servers until `done` says so. Returns what they saw. Must run within a `LocalSet`.
pub async fn play(
    plays: Vec<Play>,
    clock: Clock,
    done: watch::Receiver<bool>,
) -> std::io::Result<Vec<Record>> {
    let mut tasks = Vec::new();
    for play in plays {
        tasks.push(tokio::task::spawn_local(serve(play, clock, done.clone())));
    }
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await.map_err(std::io::Error::other)??);
    }
    Ok(records)
}

async fn serve(play: Play, clock: Clock, mut done: watch::Receiver<bool>) -> std::io::Result<Vec<Record>> {
    let listener = TcpListener::from_std(play.listener)?;
    let mut events = play.events.into_iter().peekable();
    let (news, mut inbox) = mpsc::channel(QUEUE);
    let mut stand_in = StandIn {
        name: play.name,
        model: Server::new(play.make),
        clock,
        conns: BTreeMap::new(),
        opening: BTreeMap::new(),
        by_edge: BTreeMap::new(),
        next: 0,
        records: Vec::new(),
        does: Vec::new(),
        dead: play.absent,
        stopped: false,
    };
    if play.absent {
        stand_in.model.die();
    }
    loop {
        let event_ns = events.peek().map(|(at, _)| *at);
        let due = [event_ns, stand_in.model.next_ns()].into_iter().flatten().min();
        let due = due.map(|at| clock.instant(at));
        tokio::select! {
            biased;
            _ = done.changed() => return Ok(stand_in.records),
            _ = tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {}
            Some(heard) = inbox.recv() => stand_in.hear(heard),
            accepted = listener.accept(), if !stand_in.stopped => stand_in.accept(accepted?.0, &news),
        }
        while events.peek().is_some_and(|(at, _)| *at <= clock.now()) {
            if let Some((_, event)) = events.next() {
                stand_in.event(event);
            }
        }
        let now = clock.now();
        stand_in.model.work(now, &mut stand_in.does);
        stand_in.carry_out();
    }
}

impl StandIn {
    fn record(&mut self, seen: Seen) {
        self.records.push(Record { at_ns: self.clock.now(), seen });
    }

    fn accept(&mut self, mut stream: TcpStream, news: &mpsc::Sender<News>) {
        self.next += 1;
        let (conn, news, clock, dead) = (self.next, news.clone(), self.clock, self.dead);
        let task = tokio::task::spawn_local(async move {
            if dead {
                // Taken by the machine, answered by nobody.
                std::future::pending::<()>().await;
            }
            let Ok((target, rest)) = serve_handshake(&mut stream, "/signal", SIGNAL_PROTOCOL).await else {
                return;
            };
            let Some(edge) = target.rsplit('-').next().and_then(|n| n.parse().ok()) else { return };
            let (out, mut queue) = mpsc::channel(QUEUE);
            if news.send(News::Open { conn, edge, out }).await.is_err() {
                return;
            }
            let rng = StdRng::seed_from_u64(conn);
            let connection = WebSocketConnection { stream, role: Role::Server, clock, rng, quiet: None };
            let on_event = async |event| match event {
                ConnectionEvent::Text(text) => news.send(News::Text { conn, text }).await.is_ok(),
                ConnectionEvent::NotWritten(_) => true,
            };
            connection.run(&rest, &mut queue, on_event).await;
            let _ = news.send(News::Closed { conn }).await;
        });
        self.opening.insert(conn, task.abort_handle());
    }

    fn hear(&mut self, news: News) {
        match news {
            News::Open { conn, edge, out } => {
                let Some(task) = self.opening.remove(&conn) else { return };
                self.conns.insert(conn, Conn { edge, out, task });
                self.by_edge.insert(edge, conn);
            }
            News::Closed { conn } => self.drop_conn(conn),
            News::Text { conn, text } => {
                let Some(edge) = self.conns.get(&conn).map(|c| c.edge) else { return };
                let Ok(message) = ToServer::decode(&text) else { return };
                let known = self.model.knows((edge, message.attempt()));
                let seen = Seen::read(&self.name, edge, &message, known);
                self.record(seen);
                let now = self.clock.now();
                self.model.hear(now, edge, &message, &mut self.does);
                self.carry_out();
            }
        }
    }

    fn carry_out(&mut self) {
        for does in std::mem::take(&mut self.does) {
            match does {
                Does::Send(edge, message) => self.send(edge, message),
                Does::Loses((edge, attempt)) => {
                    let server = self.name.clone();
                    self.record(Seen::Answered { server, edge, attempt, stands: true });
                }
                Does::Falls { multiple, .. } => {
                    self.dead = true;
                    self.record(Seen::Fell { server: self.name.clone(), multiple });
                }
            }
        }
    }

    fn send(&mut self, edge: usize, message: FromServer) {
        let Some(conn) = self.by_edge.get(&edge).and_then(|c| self.conns.get(c)) else { return };
        let text = message.encode();
        let _ = conn.out.try_send(Outgoing { number: 0, text, not_after_ns: None });
        let seen = Seen::said(&self.name, edge, &message);
        self.record(seen);
    }

    fn drop_conn(&mut self, conn: u64) {
        let Some(dropped) = self.conns.remove(&conn) else { return };
        dropped.task.abort();
        if self.by_edge.get(&dropped.edge) == Some(&conn) {
            self.by_edge.remove(&dropped.edge);
            self.model.drop_front(dropped.edge);
            self.record(Seen::LinkEnded { server: self.name.clone(), edge: dropped.edge });
        }
    }

    fn drop_all(&mut self) {
        std::mem::take(&mut self.opening).into_values().for_each(|task| task.abort());
        let conns: Vec<u64> = self.conns.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.drop_conn(conn));
    }

    fn event(&mut self, event: ServerEvent) {
        let now = self.clock.now();
        match event {
            ServerEvent::Slow(times) => self.model.slow(times),
            ServerEvent::Still(span) => self.model.stand_still(now + span),
            ServerEvent::LoseAnswers(share) => self.model.lose_answers(share),
            ServerEvent::Ail(ailment) => self.model.ail(ailment),
            ServerEvent::Heal(ailment) => self.model.heal(&ailment),
            ServerEvent::Die => {
                self.model.die();
                self.dead = true;
            }
            ServerEvent::Start => {
                self.drop_all();
                self.model.start(now);
                self.dead = false;
            }
            ServerEvent::Reset => self.drop_all(),
            ServerEvent::Stop => {
                for (edge, cut) in self.model.cut_all() {
                    self.send(edge, cut);
                }
                self.model.die();
                self.drop_all();
                (self.dead, self.stopped) = (true, true);
            }
        }
    }
}
