//! The driver: the one task that owns the front, and the tasks of connections around it.

use super::connection::{open, serve_handshake, Heard, Outgoing, Pump};
use super::driver_event::{News, RunError};
use super::gossip_socket::Talk;
use super::{metrics, watched_file, Clock};
use crate::core::{CallerId, EdgeCore, Effect, Input, Safeguards, UpstreamId};
use crate::fleet::{self, FromAgent, ToAgent};
use lilacpitch_config::{Edge, Pools};
use lilacpitch_protocol::frame::Role;
use lilacpitch_protocol::handshake;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Inputs that may wait for the driver; what brings them is read no further meanwhile.
const NEWS_QUEUE: usize = 4096;
/// Inputs taken in one round.
const ROUND: usize = 256;
/// How long a caller may take over its handshake.
const HANDSHAKE: Duration = Duration::from_secs(5);

/// Where a front that has started can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// Callers.
    pub callers: SocketAddr,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// A connection's queue and its task.
struct Peer {
    out: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

struct Driver {
    front: EdgeCore,
    clock: Clock,
    rng: StdRng,
    settings: Edge,
    news: mpsc::Sender<News>,
    callers: BTreeMap<CallerId, Peer>,
    links: BTreeMap<UpstreamId, Peer>,
    next_caller: CallerId,
    effects: Vec<Effect>,
    talk: Option<Talk>,
    agent: Option<fleet::Handle>,
    stopped: bool,
}

/// Runs a front until it has stopped, by SIGTERM, SIGINT or `stop`. Must run within a `LocalSet`.
pub async fn run(
    settings: Edge,
    guards: Safeguards,
    ready: impl FnOnce(Ready),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), RunError> {
    run_with(settings, guards, lilacpitch_fleet::Safeguards::default(), ready, stop).await
}

/// With guards of the fleet's promises switched off too: for the laboratory.
#[doc(hidden)]
pub async fn run_with(
    settings: Edge,
    guards: Safeguards,
    promises: lilacpitch_fleet::Safeguards,
    ready: impl FnOnce(Ready),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), RunError> {
    let listener = listen(settings.listen).await?;
    let callers = listener.local_addr().map_err(|e| RunError::Listen(settings.listen, e))?;
    let (news, mut inbox) = mpsc::channel(NEWS_QUEUE);
    let list = settings.pool_list.clone();
    let seen = watched_file::state(&list).map_err(|e| RunError::PoolFile(list.clone(), e))?;
    let pools = Pools::load(Path::new(&list))?.value;
    let every = Duration::from_nanos(settings.look_ns);
    let read = |path: &str| match Pools::load(Path::new(path)) {
        Ok(pools) => Ok(News::PoolList(pools.value)),
        Err(error) => Err(error.to_string()),
    };
    tokio::task::spawn_local(watched_file::watch(
        list,
        every,
        seen,
        news.clone(),
        read,
        News::PoolListRefused,
    ));
    let clock = Clock::start();
    let mut rng = StdRng::try_from_os_rng().map_err(|e| RunError::Machine(format!("no randomness: {e}")))?;
    let talk = match &settings.peers {
        None => None,
        Some(peers) => {
            Some(Talk::open(&settings.name, peers, clock.now(), rng.next_u64(), every, &news).await?)
        }
    };
    let (agent, mut agent_says) = match &settings.fleet {
        None => (None, None),
        Some(of) => {
            let started = fleet::start(&settings, of, promises, rng.next_u64()).map_err(RunError::Fleet)?;
            (Some(started.0), Some(started.1))
        }
    };
    let metrics = match settings.metrics {
        None => None,
        Some(address) => {
            let listener = listen(address).await?;
            let bound = listener.local_addr().map_err(|e| RunError::Listen(address, e))?;
            let agent = agent.as_ref().map(fleet::Handle::pages);
            tokio::task::spawn_local(metrics::serve(listener, news.clone(), agent));
            Some(bound)
        }
    };
    let mut front = EdgeCore::with_safeguards(settings.clone(), clock.now(), rng.next_u64(), guards);
    if !promises.calls_first {
        front.disable_locate_limit();
    }
    let mut driver = Driver {
        front,
        clock,
        rng,
        settings,
        news,
        callers: BTreeMap::new(),
        links: BTreeMap::new(),
        next_caller: 1,
        effects: Vec::new(),
        talk,
        agent,
        stopped: false,
    };
    driver.pool_list(pools);
    driver.talk(|talk, now, out| talk.peers.start(now, out));
    ready(Ready { callers, metrics });
    tracing::info!(%callers, ?metrics, "listening");
    let mut stop = std::pin::pin!(stop);
    let (mut stopping, mut round) = (false, Vec::new());
    while !driver.stopped {
        let talk_due = driver.talk.as_ref().and_then(|talk| talk.peers.next_timeout());
        let rows_due = driver.agent.as_ref().and_then(fleet::Handle::due_ns);
        let due = driver.front.next_timeout().into_iter().chain(talk_due).chain(rows_due).min();
        let due = due.map(|at| driver.clock.instant(at));
        tokio::select! {
            count = inbox.recv_many(&mut round, ROUND) => {
                debug_assert!(count > 0, "the driver holds a sender itself");
                round.drain(..).for_each(|news| driver.take(news));
            }
            accepted = listener.accept(), if !stopping => match accepted {
                Ok((stream, from)) => driver.accept(stream, from),
                Err(error) => {
                    // Out of descriptors, most likely: what is connected goes on.
                    tracing::warn!(%error, "not accepted");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            _ = tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {
                driver.feed(Input::Timeout);
                driver.talk(|talk, now, out| talk.peers.handle_timeout(now, out));
            }
            datagram = Talk::receive(&driver.talk) => driver.datagram(&datagram),
            said = heard(&mut agent_says) => driver.fleet_said(said),
            _ = &mut stop, if !stopping => {
                stopping = true;
                driver.feed(Input::Stop);
                driver.talk(|talk, now, out| talk.peers.begin_leave(now, out));
            }
        }
    }
    driver.close().await;
    tracing::info!("stopped");
    Ok(())
}

/// What the agent says next; without one, nothing ever.
async fn heard(agent: &mut Option<mpsc::Receiver<FromAgent>>) -> FromAgent {
    if let Some(said) = agent {
        if let Some(said) = said.recv().await {
            return said;
        }
    }
    std::future::pending().await
}

/// The number at which a caller says it is reached: `/call/NUMBER`, `%23` for `#`.
fn number_of(target: &str) -> Option<String> {
    let number = target.strip_prefix("/call/")?.replace("%23", "#");
    lilacpitch_location::Number::new(&number).ok().map(String::from)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|e| RunError::Listen(address, e))
}

impl Driver {
    fn take(&mut self, news: News) {
        match news {
            News::Input(input) => {
                match &input {
                    Input::CallerClosed(caller) => drop(self.callers.remove(caller)),
                    Input::UpstreamClosed { upstream: link, .. } => drop(self.links.remove(link)),
                    _ => {}
                }
                self.feed(input);
            }
            News::PoolList(pools) => self.pool_list(pools),
            News::PoolListRefused(why) => {
                tracing::error!(why, "pool list refused, the one in hand stays in force");
                self.front.count_rejected_list();
            }
            News::Keys(keys) => {
                tracing::info!("keys of peers taken");
                self.talk(|talk, _, _| talk.peers.set_keys(keys));
            }
            News::KeysRefused(why) => {
                tracing::error!(why, "keys of peers refused, those in hand stay in force")
            }
            News::Peers(give) => drop(give.send(self.talk.as_ref().map_or_else(String::new, Talk::page))),
            // Who asked may have gone.
            News::Metrics(give) => drop(give.send(metrics::page(&self.front))),
        }
    }

    fn pool_list(&mut self, pools: Pools) {
        if let Some(agent) = &self.agent {
            agent.say(ToAgent::List(fleet::list_digest(&pools)));
        }
        self.feed(Input::PoolList(pools));
    }

    fn fleet_said(&mut self, said: FromAgent) {
        match said {
            FromAgent::Located { call, pool, good_until_ns } => {
                // Judged here again: this front may have stood still since the agent did.
                let good = lilacpitch_rpc::steady_ns() < good_until_ns;
                self.feed(Input::Located(call, pool.filter(|_| good)));
            }
            FromAgent::InForce(in_force) => self.feed(Input::SettingsInForce(in_force)),
            FromAgent::RowsWanted => self.feed(Input::RecordsRequested),
        }
    }

    fn feed(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.front.handle(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
        if let Some(agent) = &mut self.agent {
            agent.say_due(self.clock.now());
        }
    }

    /// Lets the talk among fronts act, and does what it wants; without peers nothing happens.
    fn talk(&mut self, act: impl FnOnce(&mut Talk, u64, &mut Vec<lilacpitch_gossip::Effect>)) {
        let Some(talk) = &mut self.talk else { return };
        let mut out = Vec::new();
        act(talk, self.clock.now(), &mut out);
        self.talked(out);
    }

    fn talked(&mut self, out: Vec<lilacpitch_gossip::Effect>) {
        use lilacpitch_gossip::Effect as Said;
        for effect in out {
            match effect {
                Said::Send(to, bytes) => self.talk.iter().for_each(|talk| talk.send(to, &bytes)),
                Said::ReportsRequested(asker) => {
                    let facts = self.front.server_reports();
                    self.talk(|talk, now, out| talk.peers.answer_request(now, asker, facts, out));
                }
                Said::ReportsWanted => {
                    let facts = self.front.server_reports();
                    self.talk(|talk, now, out| talk.peers.publish_reports(now, &facts, out));
                }
                Said::RumorsReceived(heard) => self.feed(Input::RumorsReceived(heard)),
                // By its origin, of which its address is part: two fronts that were given one name by mistake are two voices all the same.
                Said::ReportsReceived(peer, facts) => self.feed(Input::PeerReported(peer.origin(), facts)),
                Said::MemberJoined(peer) => {
                    tracing::info!(peer = peer.name, address = %peer.address, "peer is there")
                }
                Said::MemberLeft(peer) => {
                    tracing::info!(peer = peer.name, address = %peer.address, "peer is gone")
                }
            }
        }
    }

    fn datagram(&mut self, bytes: &[u8]) {
        let Some(talk) = &mut self.talk else { return };
        let mut out = Vec::new();
        if let Err(refused) = talk.peers.handle_datagram(self.clock.now(), bytes, &mut out) {
            tracing::debug!(%refused, "datagram refused");
        }
        self.talked(out);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller(caller, text) => {
                let Some(peer) = self.callers.get(&caller) else { return };
                if peer.out.try_send(Outgoing { number: 0, text, not_after_ns: None }).is_err() {
                    // It does not read: it is cut off, so that others don't feel it.
                    tracing::info!(caller, "caller cut off: it does not read");
                    peer.task.abort();
                    self.callers.remove(&caller);
                    self.front.count_disconnected_caller();
                    self.tell_later(Input::CallerClosed(caller));
                }
            }
            Effect::ToServer { upstream: link, message, text, not_after_ns } => {
                let full = match self.links.get(&link) {
                    Some(peer) => {
                        peer.out.try_send(Outgoing { number: message, text, not_after_ns }).is_err()
                    }
                    None => false,
                };
                if full {
                    self.tell_later(Input::NotWritten { upstream: link, message });
                }
            }
            Effect::Connect(link, address) => self.connect(link, address),
            // The queue's end ends the task, once what it holds is written.
            Effect::Disconnect(link) => drop(self.links.remove(&link)),
            Effect::Locate { call, number, patience_ns } => {
                let patience = Duration::from_nanos(patience_ns);
                let agent = self.agent.as_ref();
                if !agent.is_some_and(|agent| agent.say(ToAgent::Locate { call, number, patience })) {
                    // The agent does not keep up: the call goes on without.
                    self.tell_later(Input::Located(call, None));
                }
            }
            Effect::RecordChanged(row) => {
                let Some(agent) = &mut self.agent else { return };
                agent.row(self.clock.now(), row);
                if agent.rows_are_due() {
                    self.tell_later(Input::RecordsRequested);
                }
            }
            Effect::Stopped => self.stopped = true,
        }
    }

    /// An input that an effect causes: told by a task of its own, since the front is in use.
    fn tell_later(&self, input: Input) {
        let news = self.news.clone();
        tokio::task::spawn_local(async move {
            let _ = news.send(News::Input(input)).await;
        });
    }

    fn rng(&mut self) -> StdRng {
        StdRng::from_rng(&mut self.rng)
    }

    fn accept(&mut self, mut stream: TcpStream, from: SocketAddr) {
        if self.callers.len() >= self.settings.limits.callers {
            tokio::task::spawn_local(async move {
                let refusal = handshake::plain_response("503 Service Unavailable", "", "too many callers\n");
                let _ = tokio::time::timeout(HANDSHAKE, stream.write_all(&refusal)).await;
            });
            return;
        }
        let caller = self.next_caller;
        self.next_caller += 1;
        let (out, mut queue) = mpsc::channel(self.settings.limits.queue);
        let (news, clock, rng) = (self.news.clone(), self.clock, self.rng());
        let quiet = Some(Duration::from_nanos(self.settings.timing.quiet_ns));
        let task = tokio::task::spawn_local(async move {
            let opened = tokio::time::timeout(
                HANDSHAKE,
                serve_handshake(&mut stream, "/call", handshake::CALL_PROTOCOL),
            )
            .await;
            match opened {
                Ok(Ok((target, rest))) => {
                    if let Some(number) = number_of(&target) {
                        let _ = news.send(News::Input(Input::CallerNumber(caller, number))).await;
                    }
                    let pump = Pump { stream, role: Role::Server, clock, rng, quiet };
                    let heard = async |heard| match heard {
                        Heard::Text(text) => {
                            news.send(News::Input(Input::CallerText(caller, text))).await.is_ok()
                        }
                        Heard::NotWritten(_) => true,
                    };
                    let ended = pump.run(&rest, &mut queue, heard).await;
                    tracing::debug!(caller, why = ended.why, "caller's connection ended");
                }
                Ok(Err(why)) => tracing::debug!(%from, why, "no handshake"),
                Err(_) => tracing::debug!(%from, "no handshake in time"),
            }
            let _ = news.send(News::Input(Input::CallerClosed(caller))).await;
        });
        self.callers.insert(caller, Peer { out, task: task.abort_handle() });
        self.feed(Input::CallerOpened(caller));
    }

    fn connect(&mut self, link: UpstreamId, address: SocketAddr) {
        let (out, mut queue) = mpsc::channel(self.settings.limits.queue);
        let (news, clock, mut rng) = (self.news.clone(), self.clock, self.rng());
        let limit = Duration::from_nanos(self.settings.timing.connect_ns);
        let target = format!("/signal/{}", self.settings.name);
        let task = tokio::task::spawn_local(async move {
            let mut written = 0;
            match tokio::time::timeout(limit, open(address, &target, handshake::SIGNAL_PROTOCOL, &mut rng))
                .await
            {
                Ok(Ok((stream, rest))) => {
                    if news.send(News::Input(Input::UpstreamConnected(link))).await.is_err() {
                        return;
                    }
                    let pump = Pump { stream, role: Role::Client, clock, rng, quiet: None };
                    let heard = async |heard| {
                        let input = match heard {
                            Heard::Text(text) => Input::UpstreamText(link, text),
                            Heard::NotWritten(message) => Input::NotWritten { upstream: link, message },
                        };
                        news.send(News::Input(input)).await.is_ok()
                    };
                    let ended = pump.run(&rest, &mut queue, heard).await;
                    tracing::debug!(link, why = ended.why, "connection to a server ended");
                    written = ended.written;
                }
                Ok(Err(why)) => tracing::debug!(link, %address, why, "no connection"),
                Err(_) => tracing::debug!(link, %address, "no connection in time"),
            }
            let _ = news.send(News::Input(Input::UpstreamClosed { upstream: link, written })).await;
        });
        self.links.insert(link, Peer { out, task: task.abort_handle() });
    }

    /// Ends all connections: what was queued for them is written if they read it soon.
    async fn close(mut self) {
        let tasks: Vec<AbortHandle> =
            self.callers.values().chain(self.links.values()).map(|peer| peer.task.clone()).collect();
        self.callers.clear();
        self.links.clear();
        for _ in 0..100 {
            if tasks.iter().all(AbortHandle::is_finished) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
