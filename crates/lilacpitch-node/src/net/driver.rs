//! The driver: the one task that owns the node, and the tasks of connections around it.

use super::coordinator_client::follow;
use crate::config::{Budget, Config, ConfigError};
use crate::core::{CallerId, Effect, Input, NodeCore, UpstreamId};
use crate::signalling::{LineDecoder, LineError, ServerMessage};
use lilacpitch_net::{Clock, Codec, Connection, Draining, End, Heard, Outbox, Outgoing, TakenBack};
use lilacpitch_sip::{Decoder, Message, SipError};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Inputs that may wait for the driver; what brings them is read no further meanwhile. Few, so that what comes last
/// is not far behind.
const NEWS_QUEUE: usize = 64;
/// Inputs taken in one round.
const ROUND: usize = 32;
/// Messages that may wait for one connection.
const OUT_QUEUE: usize = 512;
/// Bytes that may wait for a caller who does not read.
const OUT_BYTES: usize = 32 * 1024;
/// How long a caller may take over its first message, and over each that it has begun: one that never asks is owed
/// an end within 3 s.
const READ_TIMEOUT: Duration = Duration::from_millis(2000);
/// What a server that does not read may leave waiting in the machine: what is there can't be taken back.
const LINK_SEND_BYTES: u32 = 32 * 1024;
/// One in so many places for callers is kept free, so that newcomers don't wait while one is made.
const SPARE_PART: usize = 16;
/// The line of counters is written so often.
const COUNTERS_EVERY: Duration = Duration::from_secs(5);
/// At the end all connections are closed so long before the kill.
const CLOSED_BEFORE_KILL: Duration = Duration::from_millis(120);

/// Why a node could not run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Nothing can listen at its address.
    #[error("listening at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The machine refuses something a node needs.
    #[error("{0}")]
    Machine(String),
}

/// What is told to the driver.
pub(super) enum News {
    Input(Input),
    /// What came on a connection could not be read: the kind of that, and what it was.
    Malformed(&'static str, String),
}

/// A connection's messages that wait, and its task.
struct Peer {
    outbox: Outbox,
    task: AbortHandle,
}

struct Driver {
    node: NodeCore,
    clock: Clock,
    connect_timeout: Duration,
    news: mpsc::Sender<News>,
    /// Callers that have closed, ahead of what they sent before.
    left: mpsc::UnboundedSender<CallerId>,
    departures: mpsc::UnboundedReceiver<CallerId>,
    callers: BTreeMap<CallerId, Peer>,
    links: BTreeMap<UpstreamId, Peer>,
    /// Callers that go unless something comes from them.
    evicted: BTreeSet<CallerId>,
    draining: Rc<Draining>,
    next_caller: CallerId,
    effects: Vec<Effect>,
    /// Connections ended for what came on them, by the kind of that.
    malformed: BTreeMap<&'static str, u64>,
    stop_asked: Option<Instant>,
    stopped: bool,
}

/// Runs a node by the configuration in `path` until it has stopped, by SIGTERM or SIGINT. SIGHUP reads the file
/// again. Must run within a `LocalSet`.
pub async fn run(path: &str) -> Result<(), RunError> {
    let machine = |e: io::Error| RunError::Machine(format!("signals: {e}"));
    let mut term = signal(SignalKind::terminate()).map_err(machine)?;
    let mut int = signal(SignalKind::interrupt()).map_err(machine)?;
    let mut hup = signal(SignalKind::hangup()).map_err(machine)?;
    let config = Config::load(path)?;
    let failed = |e| RunError::Listen(config.listen, e);
    let listener = TcpListener::bind(config.listen).await.map_err(failed)?;
    let Budget { callers: max_callers, draining, upstreams: max_links } = config.limits.budget();
    let (news, mut inbox) = mpsc::channel(NEWS_QUEUE);
    let (left, departures) = mpsc::unbounded_channel();
    let (moved, coordinator) = watch::channel(config.coordinator);
    let connect_timeout = Duration::from_nanos(config.site.connect_timeout_ns);
    let clock = Clock::start();
    let node = NodeCore::new(config.site, max_links, clock.now(), config.seed);
    let (callers, links, effects) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut driver = Driver {
        node,
        clock,
        connect_timeout,
        news: news.clone(),
        left,
        departures,
        callers,
        links,
        evicted: BTreeSet::new(),
        draining: Rc::new(Draining::new(draining)),
        next_caller: 1,
        effects,
        malformed: BTreeMap::new(),
        stop_asked: None,
        stopped: false,
    };
    tokio::task::spawn_local(follow(config.known, coordinator, news));
    tracing::info!(name = config.name, listen = %config.listen, max_callers, max_links, "listening");
    let mut round = Vec::new();
    let mut counters = tokio::time::interval(COUNTERS_EVERY);
    while !driver.stopped {
        driver.take_departures();
        // Some places are kept free; where each connection has a set-up open, accepting pauses until one has not.
        let wanted = (driver.callers.len() + 1 + max_callers / SPARE_PART).saturating_sub(max_callers);
        (driver.evicted.len()..wanted).for_each(|_| driver.feed(Input::EvictIdleCaller));
        let due = driver.node.next_timeout().map(|at| driver.clock.instant(at));
        tokio::select! {
            count = inbox.recv_many(&mut round, ROUND) => {
                debug_assert!(count > 0, "the driver holds a sender itself");
                round.drain(..).for_each(|news| driver.take(news));
            }
            Some(caller) = driver.departures.recv() => driver.feed(Input::CallerDisconnected(caller)),
            accepted = listener.accept(), if driver.callers.len() < max_callers => match accepted {
                Ok((stream, _)) => driver.accept(stream),
                Err(error) => {
                    tracing::warn!(%error, "not accepted");
                    driver.feed(Input::EvictIdleCaller);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            },
            _ = tokio::time::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                driver.feed(Input::Timeout);
            }
            _ = term.recv() => driver.stop(),
            _ = int.recv() => driver.stop(),
            _ = hup.recv() => match Config::load(path) {
                Ok(config) => {
                    tracing::info!(coordinator = %config.coordinator, "configuration read again");
                    let _ = moved.send(config.coordinator);
                }
                Err(error) => tracing::error!(%error, "configuration refused, the one in hand stays in force"),
            },
            _ = counters.tick() => driver.count(),
        }
    }
    driver.close(listener, inbox, max_callers).await;
    tracing::info!("stopped");
    Ok(())
}

impl Driver {
    fn take(&mut self, news: News) {
        // A departure found meanwhile comes first: what waits here may be its caller's.
        self.take_departures();
        let input = match news {
            News::Input(input) => input,
            News::Malformed(kind, why) => {
                let count = self.malformed.entry(kind).or_default();
                *count += 1;
                if *count == 1 {
                    tracing::warn!(
                        kind,
                        why,
                        "can't be read, its connection is ended; further ones are counted"
                    );
                }
                return;
            }
        };
        let mut not_taken = Vec::new();
        match &input {
            Input::CallerMessage(caller, _) => {
                if let Some(peer) = self.callers.get(caller) {
                    peer.outbox.taken();
                    peer.outbox.keep();
                    self.evicted.remove(caller);
                }
            }
            Input::CallerClosed(caller) => {
                self.evicted.remove(caller);
                not_taken = self.callers.remove(caller).map_or(not_taken, |peer| peer.outbox.unwritten());
            }
            Input::UpstreamClosed { upstream: link, .. } => drop(self.links.remove(link)),
            _ => {}
        }
        self.feed(input);
        not_taken.into_iter().for_each(|bytes| self.feed(Input::CallerMessageUndelivered(bytes)));
    }

    fn take_departures(&mut self) {
        while let Ok(caller) = self.departures.try_recv() {
            self.feed(Input::CallerDisconnected(caller));
        }
    }

    fn feed(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.node.handle(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
    }

    fn stop(&mut self) {
        self.stop_asked.get_or_insert_with(Instant::now);
        self.feed(Input::Stop);
    }

    fn count(&mut self) {
        let (open, standing) = self.node.call_counts();
        let (callers, links) = self.node.connection_counts();
        let c = self.node.counters();
        tracing::info!(
            open, standing, callers, links, c.taken, c.sends, c.stood, c.refused, c.failed, c.gone, c.adopted, c.strays,
            c.links_lost, c.links_mute, c.orphans, outcomes = ?c.outcomes, bad = ?c.bad_messages,
            malformed = ?self.malformed, "counters"
        );
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller(caller, bytes) => {
                let Some(peer) = self.callers.get(&caller) else { return };
                peer.outbox.push(Outgoing { number: 0, bytes, not_after_ns: None });
                let (messages, bytes) = peer.outbox.waiting();
                if messages > OUT_QUEUE || bytes > OUT_BYTES {
                    // It does not read: it is cut off, so that others don't feel it.
                    if peer.outbox.ending() != Some(End::Now) {
                        tracing::info!(caller, "caller cut off: it does not read");
                    }
                    peer.outbox.end(End::Now);
                }
            }
            Effect::EvictCaller(caller) => match self.callers.get(&caller) {
                Some(peer) if peer.outbox.pending() == 0 && peer.outbox.waiting().0 == 0 => {
                    peer.outbox.end(End::Evict);
                    self.evicted.insert(caller);
                }
                Some(_) => self.tell_later(Input::EvictionDeclined(caller)),
                None => {}
            },
            Effect::ToServer { upstream: link, message, bytes, not_after_ns } => {
                let Some(peer) = self.links.get(&link) else { return };
                if peer.outbox.waiting().0 < OUT_QUEUE {
                    peer.outbox.push(Outgoing { number: message, bytes, not_after_ns });
                } else {
                    self.tell_later(Input::MessageDropped { upstream: link, message });
                }
            }
            Effect::CancelSetup { upstream: link, message, stop_message: stop, bytes } => {
                let Some(peer) = self.links.get(&link) else { return };
                match peer.outbox.take_back(message) {
                    TakenBack::Whole => {}
                    TakenBack::Begun => peer.outbox.end(End::Now),
                    TakenBack::TooLate => {
                        peer.outbox.push(Outgoing { number: stop, bytes, not_after_ns: None });
                    }
                }
            }
            Effect::Connect(link, address) => self.connect(link, address),
            Effect::Disconnect(link) => {
                self.links.remove(&link).iter().for_each(|peer| peer.outbox.end(End::Done));
            }
            Effect::Stopped => self.stopped = true,
        }
    }

    /// An input that an effect causes: told by a task of its own, since the node is in use.
    fn tell_later(&self, input: Input) {
        let news = self.news.clone();
        tokio::task::spawn_local(async move {
            let _ = news.send(News::Input(input)).await;
        });
    }

    fn accept(&mut self, stream: TcpStream) {
        let caller = self.next_caller;
        self.next_caller += 1;
        let outbox = Outbox::default();
        let (news, left, draining) = (self.news.clone(), self.left.clone(), self.draining.clone());
        let connection = Connection {
            stream,
            codec: Sip::default(),
            clock: self.clock,
            read_timeout: Some(READ_TIMEOUT),
            outbox: outbox.clone(),
        };
        let task = tokio::task::spawn_local(async move {
            let heard = async |heard| match heard {
                Heard::Message(message) => {
                    news.send(News::Input(Input::CallerMessage(caller, message))).await.is_ok()
                }
                Heard::NotWritten(_) => true,
            };
            let (ended, rest) = connection.run(|| _ = left.send(caller), heard).await;
            tracing::debug!(caller, why = ended.why, "caller's connection ended");
            if let Some(kind) = ended.malformed {
                let _ = news.send(News::Malformed(kind, ended.why)).await;
            }
            let _ = news.send(News::Input(Input::CallerClosed(caller))).await;
            rest.drain(&draining).await;
        });
        self.callers.insert(caller, Peer { outbox, task: task.abort_handle() });
        self.feed(Input::CallerOpened(caller));
    }

    fn connect(&mut self, link: UpstreamId, address: SocketAddr) {
        let outbox = Outbox::default();
        let (news, clock, limit) = (self.news.clone(), self.clock, self.connect_timeout);
        let (own, draining) = (outbox.clone(), self.draining.clone());
        let task = tokio::task::spawn_local(async move {
            let (mut written, mut refused, mut left) = (0, false, None);
            let connected = tokio::select! {
                connected = tokio::time::timeout(limit, connect(address)) => connected,
                // Nothing is given to a connection before it is up: this is its end.
                () = own.changed() => return,
            };
            match connected {
                Ok(Ok(stream)) => {
                    if news.send(News::Input(Input::UpstreamConnected(link))).await.is_err() {
                        return;
                    }
                    let heard = async |heard| {
                        let input = match heard {
                            Heard::Message(message) => Input::UpstreamMessage(link, message),
                            Heard::NotWritten(message) => Input::MessageDropped { upstream: link, message },
                        };
                        news.send(News::Input(input)).await.is_ok()
                    };
                    let connection =
                        Connection { stream, codec: Json::default(), clock, read_timeout: None, outbox: own };
                    let (ended, rest) = connection.run(|| (), heard).await;
                    tracing::debug!(link, %address, why = ended.why, "connection to a server ended");
                    written = ended.written;
                    left = Some(rest);
                    if let Some(kind) = ended.malformed {
                        let _ = news.send(News::Malformed(kind, format!("{address}: {}", ended.why))).await;
                    }
                }
                Ok(Err(error)) => {
                    refused = error.kind() == io::ErrorKind::ConnectionRefused;
                    tracing::debug!(link, %address, %error, "no connection");
                }
                Err(_) => tracing::debug!(link, %address, "no connection in time"),
            }
            let _ = news
                .send(News::Input(Input::UpstreamClosed { upstream: link, written, is_refused: refused }))
                .await;
            if let Some(rest) = left {
                rest.drain(&draining).await;
            }
        });
        self.links.insert(link, Peer { outbox, task: task.abort_handle() });
    }

    /// Ends all connections: all that has arrived by now is answered, and what was queued is written if it is read
    /// before the kill.
    async fn close(mut self, listener: TcpListener, mut inbox: mpsc::Receiver<News>, max_callers: usize) {
        let asked = self.stop_asked.unwrap_or_else(Instant::now);
        let until = asked + Duration::from_nanos(self.node.kill_delay_ns()) - CLOSED_BEFORE_KILL;
        // One that does not read until then is cut off by the kill's time, but by no less than a while.
        let until = until.max(Instant::now() + CLOSED_BEFORE_KILL);
        let mut tasks: Vec<AbortHandle> = Vec::new();
        let mut listener = Some(listener);
        loop {
            for (_, peer) in self.callers.iter().filter(|(_, peer)| peer.outbox.ending() != Some(End::Finish))
            {
                peer.outbox.end(End::Finish);
                tasks.push(peer.task.clone());
            }
            let accepting = listener.as_ref().filter(|_| self.callers.len() < max_callers);
            let quiet = tokio::time::sleep(QUIET);
            tokio::select! {
                biased;
                Some(news) = inbox.recv() => self.take(news),
                accepted = accept(accepting), if accepting.is_some() => match accepted {
                    Ok(stream) => self.accept(stream),
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                },
                () = tokio::time::sleep_until(until) => break,
                // Nobody has come, and nothing more was read.
                () = quiet => {
                    if self.callers.len() < max_callers {
                        listener = None;
                    }
                    if self.callers.is_empty() && listener.is_none() {
                        break;
                    }
                }
            }
        }
        for peer in self.links.values() {
            peer.outbox.end(End::Done);
            tasks.push(peer.task.clone());
        }
        // The news that ends them is not read any more.
        inbox.close();
        while tasks.iter().any(|task| !task.is_finished()) && Instant::now() < until.max(asked + QUIET) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Nothing has come for so long: nothing is on its way on this machine.
const QUIET: Duration = Duration::from_millis(10);

/// Makes a connection to a server on which little can wait that can't be taken back.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Where the machine doesn't allow it, more can wait: nothing else is different.
    let _ = socket.set_send_buffer_size(LINK_SEND_BYTES);
    socket.connect(address).await
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

#[derive(Default)]
struct Sip(Decoder);

impl Codec for Sip {
    type Message = Message;
    type Error = SipError;

    fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    fn next_message(&mut self) -> Result<Option<Message>, SipError> {
        self.0.next_message()
    }

    fn within_message(&self) -> bool {
        self.0.within_message()
    }

    fn kind(error: &SipError) -> &'static str {
        match error {
            SipError::Head(_) => "caller's head",
            SipError::StartLine(_) => "caller's start line",
            SipError::Length { .. } => "caller's length",
            SipError::TooLong { .. } => "caller's message too long",
        }
    }

    fn last_words(error: &SipError) -> Option<Vec<u8>> {
        error.answer().map(|(status, reason, request)| request.response(status, reason))
    }

    /// A set-up that was given up before anybody saw it is none.
    fn settle(batch: &mut Vec<Message>) {
        let of = |message: &Message, method: &str| match message {
            Message::Request(request) if request.method == method => request.call_id.clone(),
            _ => None,
        };
        let mut given_up = BTreeSet::new();
        let mut at = batch.len();
        while at > 0 {
            at -= 1;
            given_up.extend(of(&batch[at], "CANCEL"));
            if of(&batch[at], "INVITE").is_some_and(|id| given_up.remove(&id)) {
                batch.remove(at);
            }
        }
    }
}

#[derive(Default)]
struct Json(LineDecoder);

impl Codec for Json {
    type Message = ServerMessage;
    type Error = LineError;

    fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    fn next_message(&mut self) -> Result<Option<ServerMessage>, LineError> {
        self.0.next_line()?.map(|line| ServerMessage::decode(&line)).transpose()
    }

    fn within_message(&self) -> bool {
        false
    }

    fn kind(error: &LineError) -> &'static str {
        match error {
            LineError::TooLong => "server's line too long",
            LineError::Json(_) | LineError::Field(_) => "server's line",
        }
    }

    fn last_words(_: &LineError) -> Option<Vec<u8>> {
        None
    }
}
