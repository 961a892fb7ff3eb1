//! The driver: the one task that owns the node, and the tasks of connections around it.

use super::follow::follow;
use super::pump::{self, Codec, Heard, Outgoing};
use crate::config::{Config, ConfigError};
use crate::core::{CallerId, Effect, Input, LinkId, Node};
use crate::signal::{FromServer, LineError, Lines};
use lilacpitch_net::Clock;
use lilacpitch_sip::{Decoder, Message, SipError};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// Inputs that may wait for the driver; what brings them is read no further meanwhile.
const NEWS_QUEUE: usize = 1024;
/// Inputs taken in one round.
const ROUND: usize = 256;
/// Messages that may wait for one connection.
const OUT_QUEUE: usize = 512;
/// How long a caller may take over its first message, and over each that it has begun.
const CALLER_PATIENCE: Duration = Duration::from_millis(2000);
/// Descriptors that are neither callers' nor servers': the runtime's own, the listener, the coordinator, spare.
const OTHER_SOCKETS: usize = 32;
/// One in so many descriptors is for servers.
const SERVERS_PART: usize = 8;
/// The line of counters is written so often.
const COUNTERS_EVERY: Duration = Duration::from_secs(5);

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
    Spoilt(&'static str, String),
}

/// A connection's queue and its task.
struct Peer {
    out: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

struct Driver {
    node: Node,
    clock: Clock,
    connect_timeout: Duration,
    news: mpsc::Sender<News>,
    callers: BTreeMap<CallerId, Peer>,
    links: BTreeMap<LinkId, Peer>,
    next_caller: CallerId,
    effects: Vec<Effect>,
    /// Connections ended for what came on them, by the kind of that.
    spoilt: BTreeMap<&'static str, u64>,
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
    let sockets = config.limits.sockets;
    let max_links = sockets / SERVERS_PART;
    let max_callers = sockets - max_links - OTHER_SOCKETS;
    let (news, mut inbox) = mpsc::channel(NEWS_QUEUE);
    let (moved, coordinator) = watch::channel(config.coordinator);
    let connect_timeout = Duration::from_nanos(config.site.connect_timeout_ns);
    let clock = Clock::start();
    let node = Node::new(config.site, max_links, clock.now(), config.seed);
    let (callers, links, effects) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
    let mut driver = Driver {
        node,
        clock,
        connect_timeout,
        news: news.clone(),
        callers,
        links,
        next_caller: 1,
        effects,
        spoilt: BTreeMap::new(),
        stopped: false,
    };
    tokio::task::spawn_local(follow(config.known, coordinator, news));
    tracing::info!(name = config.name, listen = %config.listen, max_callers, max_links, "listening");
    let mut round = Vec::new();
    let mut counters = tokio::time::interval(COUNTERS_EVERY);
    while !driver.stopped {
        // One place is kept free; where each connection has a set-up open, accepting pauses until one has not.
        if driver.callers.len() >= max_callers {
            driver.feed(Input::MakeRoom);
        }
        let due = driver.node.next_timeout().map(|at| driver.clock.instant(at));
        tokio::select! {
            count = inbox.recv_many(&mut round, ROUND) => {
                debug_assert!(count > 0, "the driver holds a sender itself");
                round.drain(..).for_each(|news| driver.take(news));
            }
            accepted = listener.accept(), if driver.callers.len() < max_callers => match accepted {
                Ok((stream, _)) => driver.accept(stream),
                Err(error) => {
                    tracing::warn!(%error, "not accepted");
                    driver.feed(Input::MakeRoom);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            },
            _ = tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {
                driver.feed(Input::Timeout);
            }
            _ = term.recv() => driver.feed(Input::Stop),
            _ = int.recv() => driver.feed(Input::Stop),
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
    driver.close().await;
    tracing::info!("stopped");
    Ok(())
}

impl Driver {
    fn take(&mut self, news: News) {
        let input = match news {
            News::Input(input) => input,
            News::Spoilt(kind, why) => {
                let count = self.spoilt.entry(kind).or_default();
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
        match &input {
            Input::CallerClosed(caller) => drop(self.callers.remove(caller)),
            Input::LinkDown { link, .. } => drop(self.links.remove(link)),
            _ => {}
        }
        self.feed(input);
    }

    fn feed(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.node.handle(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
    }

    fn count(&mut self) {
        let (open, standing) = self.node.calls_now();
        let (callers, links) = self.node.connections_now();
        let c = self.node.counters();
        tracing::info!(
            open, standing, callers, links, c.taken, c.stood, c.refused, c.failed, c.gone, c.adopted, c.strays,
            c.links_lost, c.links_mute, c.orphans, outcomes = ?c.outcomes, bad = ?c.bad_messages, spoilt = ?self.spoilt, "counters"
        );
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller(caller, bytes) => {
                let Some(peer) = self.callers.get(&caller) else { return };
                if peer.out.try_send(Outgoing { number: 0, bytes, not_after_ns: None }).is_err() {
                    // It does not read: it is cut off, so that others don't feel it.
                    tracing::info!(caller, "caller cut off: it does not read");
                    peer.task.abort();
                    self.callers.remove(&caller);
                    self.tell_later(Input::CallerClosed(caller));
                }
            }
            Effect::CloseCaller(caller) => drop(self.callers.remove(&caller)),
            Effect::ToServer { link, message, bytes, not_after_ns } => {
                let full = match self.links.get(&link) {
                    Some(peer) => {
                        peer.out.try_send(Outgoing { number: message, bytes, not_after_ns }).is_err()
                    }
                    None => false,
                };
                if full {
                    self.tell_later(Input::NotWritten { link, message });
                }
            }
            Effect::Connect(link, address) => self.connect(link, address),
            // The queue's end ends the task, once what it holds is written.
            Effect::Disconnect(link) => drop(self.links.remove(&link)),
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
        let (out, mut queue) = mpsc::channel(OUT_QUEUE);
        let (news, clock) = (self.news.clone(), self.clock);
        let task = tokio::task::spawn_local(async move {
            let heard = async |heard| match heard {
                Heard::Message(message) => {
                    news.send(News::Input(Input::CallerMessage(caller, message))).await.is_ok()
                }
                Heard::NotWritten(_) => true,
            };
            let ended =
                pump::run(stream, Sip::default(), clock, Some(CALLER_PATIENCE), &mut queue, heard).await;
            tracing::debug!(caller, why = ended.why, "caller's connection ended");
            if let Some(kind) = ended.spoilt {
                let _ = news.send(News::Spoilt(kind, ended.why)).await;
            }
            let _ = news.send(News::Input(Input::CallerClosed(caller))).await;
        });
        self.callers.insert(caller, Peer { out, task: task.abort_handle() });
        self.feed(Input::CallerOpened(caller));
    }

    fn connect(&mut self, link: LinkId, address: SocketAddr) {
        let (out, mut queue) = mpsc::channel(OUT_QUEUE);
        let (news, clock, limit) = (self.news.clone(), self.clock, self.connect_timeout);
        let task = tokio::task::spawn_local(async move {
            let (mut written, mut refused) = (0, false);
            match tokio::time::timeout(limit, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    if news.send(News::Input(Input::LinkUp(link))).await.is_err() {
                        return;
                    }
                    let heard = async |heard| {
                        let input = match heard {
                            Heard::Message(message) => Input::LinkMessage(link, message),
                            Heard::NotWritten(message) => Input::NotWritten { link, message },
                        };
                        news.send(News::Input(input)).await.is_ok()
                    };
                    let ended = pump::run(stream, Json::default(), clock, None, &mut queue, heard).await;
                    tracing::debug!(link, %address, why = ended.why, "connection to a server ended");
                    written = ended.written;
                    if let Some(kind) = ended.spoilt {
                        let _ = news.send(News::Spoilt(kind, format!("{address}: {}", ended.why))).await;
                    }
                }
                Ok(Err(error)) => {
                    refused = error.kind() == io::ErrorKind::ConnectionRefused;
                    tracing::debug!(link, %address, %error, "no connection");
                }
                Err(_) => tracing::debug!(link, %address, "no connection in time"),
            }
            let _ = news.send(News::Input(Input::LinkDown { link, written, refused })).await;
        });
        self.links.insert(link, Peer { out, task: task.abort_handle() });
    }

    /// Ends all connections: what was queued for them is written if they read it soon.
    async fn close(mut self) {
        let tasks: Vec<AbortHandle> =
            self.callers.values().chain(self.links.values()).map(|peer| peer.task.clone()).collect();
        self.callers.clear();
        self.links.clear();
        for _ in 0..40 {
            if tasks.iter().all(AbortHandle::is_finished) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
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
}

#[derive(Default)]
struct Json(Lines);

impl Codec for Json {
    type Message = FromServer;
    type Error = LineError;

    fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    fn next_message(&mut self) -> Result<Option<FromServer>, LineError> {
        self.0.next_line()?.map(|line| FromServer::decode(&line)).transpose()
    }

    fn within_message(&self) -> bool {
        false
    }

    fn kind(error: &LineError) -> &'static str {
        match error {
            LineError::TooLong => "server's line too long",
            LineError::Form(_) => "server's line",
        }
    }

    fn last_words(_: &LineError) -> Option<Vec<u8>> {
        None
    }
}
