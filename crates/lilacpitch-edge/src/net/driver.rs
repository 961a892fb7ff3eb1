//! The driver: the one task that owns the core. It passes events to the core and carries out the core's
//! effects.

use super::connection::Outgoing;
use super::connections::ConnectionHandle;
use super::driver_event::DriverEvent;
use super::gossip_socket::GossipSocket;
use super::{metrics, Clock};
use crate::core::{CallerId, EdgeCore, Effect, Input, UpstreamId};
use crate::fleet::{self, FromAgent, ToAgent};
use lilacpitch_config::{Edge, Pools};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Maximum number of events handled in one round.
const EVENTS_PER_ROUND: usize = 256;
/// How long the driver waits after it could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The interval between checks whether all connections have ended when the edge stops.
const CLOSE_POLL: Duration = Duration::from_millis(20);
/// Maximum number of these checks.
const MAX_CLOSE_POLLS: usize = 100;

/// The state of the driver: the core, the connections, the gossip with peers and the fleet's agent.
pub(super) struct Driver {
    core: EdgeCore,
    pub clock: Clock,
    rng: StdRng,
    pub settings: Edge,
    pub events: mpsc::Sender<DriverEvent>,
    pub callers: BTreeMap<CallerId, ConnectionHandle>,
    pub upstreams: BTreeMap<UpstreamId, ConnectionHandle>,
    pub next_caller: CallerId,
    /// Buffer for the core's effects, empty between inputs; kept to reuse its allocation.
    effects: Vec<Effect>,
    gossip: Option<GossipSocket>,
    agent: Option<fleet::Handle>,
    has_stopped: bool,
}

impl Driver {
    /// Creates a driver without connections.
    pub(super) fn new(
        core: EdgeCore,
        clock: Clock,
        rng: StdRng,
        settings: Edge,
        events: mpsc::Sender<DriverEvent>,
        gossip: Option<GossipSocket>,
        agent: Option<fleet::Handle>,
    ) -> Self {
        Driver {
            core,
            clock,
            rng,
            settings,
            events,
            callers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            next_caller: 1,
            effects: Vec::new(),
            gossip,
            agent,
            has_stopped: false,
        }
    }

    /// Connects to the servers of the list, and starts the gossip with peers.
    pub(super) fn begin(&mut self, list: Pools) {
        self.apply_endpoint_list(list);
        self.with_gossip(|gossip, now, effects| gossip.peers.start(now, effects));
    }

    /// Handles events until the core has stopped after `stop`, then closes all connections.
    pub(super) async fn run(
        mut self,
        listener: TcpListener,
        mut inbox: mpsc::Receiver<DriverEvent>,
        mut from_agent: Option<mpsc::Receiver<FromAgent>>,
        stop: impl std::future::Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        let (mut is_stopping, mut round) = (false, Vec::new());
        while !self.has_stopped {
            let due = self.next_timeout();
            tokio::select! {
                count = inbox.recv_many(&mut round, EVENTS_PER_ROUND) => {
                    debug_assert!(count > 0, "the driver itself holds a sender");
                    round.drain(..).for_each(|event| self.handle(event));
                }
                accepted = listener.accept(), if !is_stopping => match accepted {
                    Ok((stream, remote_address)) => self.accept(stream, remote_address),
                    Err(error) => {
                        // Most likely there is no free file descriptor. Existing connections continue.
                        tracing::warn!(%error, "caller connection not accepted");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = tokio::time::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.feed(Input::Timeout);
                    self.with_gossip(|gossip, now, effects| gossip.peers.handle_timeout(now, effects));
                }
                datagram = GossipSocket::receive(&self.gossip) => self.handle_datagram(&datagram),
                message = next_message(&mut from_agent) => self.handle_agent_message(message),
                _ = &mut stop, if !is_stopping => {
                    is_stopping = true;
                    self.feed(Input::Stop);
                    self.with_gossip(|gossip, now, effects| gossip.peers.begin_leave(now, effects));
                }
            }
        }
        self.close().await;
    }

    /// When the next timeout of the core, the gossip or the agent's records is due.
    fn next_timeout(&self) -> Option<Instant> {
        let gossip = self.gossip.as_ref().and_then(|gossip| gossip.peers.next_timeout());
        let records = self.agent.as_ref().and_then(fleet::Handle::due_ns);
        let due = self.core.next_timeout().into_iter().chain(gossip).chain(records).min();
        due.map(|at| self.clock.instant(at))
    }

    fn handle(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Input(input) => {
                match &input {
                    Input::CallerText(caller, _) => {
                        let Some(connection) = self.callers.get(caller) else { return };
                        connection.event_slots.add_permits(1);
                        if connection.has_client_left.load(Ordering::Relaxed) {
                            return;
                        }
                    }
                    Input::CallerClosed(caller) => drop(self.callers.remove(caller)),
                    Input::UpstreamClosed { upstream, .. } => drop(self.upstreams.remove(upstream)),
                    _ => {}
                }
                self.feed(input);
            }
            DriverEvent::CallerNotReading(caller) => self.count_disconnected_caller(caller),
            DriverEvent::ListRead(list) => self.apply_endpoint_list(list),
            DriverEvent::ListRejected(error) => {
                tracing::error!(%error, "endpoint list rejected, keeping the current one");
                self.core.count_rejected_list();
            }
            DriverEvent::KeysRead(keys) => {
                tracing::info!("peer keys accepted");
                self.with_gossip(|gossip, _, _| gossip.peers.set_keys(keys));
            }
            DriverEvent::KeysRejected(error) => {
                tracing::error!(%error, "peer keys rejected, keeping the current ones");
            }
            // The client of a page may have disconnected meanwhile.
            DriverEvent::PeersPage(reply) => {
                let page = self.gossip.as_ref().map_or_else(String::new, GossipSocket::page);
                drop(reply.send(page));
            }
            DriverEvent::MetricsPage(reply) => drop(reply.send(metrics::page(&self.core))),
        }
    }

    fn apply_endpoint_list(&mut self, list: Pools) {
        if let Some(agent) = &self.agent {
            agent.send(ToAgent::EndpointList(fleet::list_digest(&list)));
        }
        self.feed(Input::PoolList(list));
    }

    fn handle_agent_message(&mut self, message: FromAgent) {
        match message {
            FromAgent::Located { call, pool, valid_until_ns } => {
                // Checked again: this task may have stalled since the agent's check.
                let is_current = lilacpitch_rpc::steady_ns() < valid_until_ns;
                self.feed(Input::Located(call, pool.filter(|_| is_current)));
            }
            FromAgent::SettingsInForce(is_in_force) => self.feed(Input::SettingsInForce(is_in_force)),
            FromAgent::RecordsRequested => self.feed(Input::RecordsRequested),
        }
    }

    /// Passes an input to the core, and carries out the core's effects.
    pub(super) fn feed(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.handle(self.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
        if let Some(agent) = &mut self.agent {
            agent.send_due_records(self.clock.now());
        }
    }

    /// Runs an operation on the gossip with peers and carries out its effects. Does nothing without peers.
    fn with_gossip(
        &mut self,
        operation: impl FnOnce(&mut GossipSocket, u64, &mut Vec<lilacpitch_gossip::Effect>),
    ) {
        let Some(gossip) = &mut self.gossip else { return };
        let mut effects = Vec::new();
        operation(gossip, self.clock.now(), &mut effects);
        self.carry_out_gossip(effects);
    }

    fn carry_out_gossip(&mut self, effects: Vec<lilacpitch_gossip::Effect>) {
        use lilacpitch_gossip::Effect as GossipEffect;
        for effect in effects {
            match effect {
                GossipEffect::Send(to, bytes) => {
                    self.gossip.iter().for_each(|gossip| gossip.send(to, &bytes));
                }
                GossipEffect::ReportsRequested(requester) => {
                    let reports = self.core.server_reports();
                    self.with_gossip(|gossip, now, effects| {
                        gossip.peers.answer_request(now, requester, reports, effects);
                    });
                }
                GossipEffect::ReportsWanted => {
                    let reports = self.core.server_reports();
                    self.with_gossip(|gossip, now, effects| {
                        gossip.peers.publish_reports(now, &reports, effects);
                    });
                }
                GossipEffect::RumorsReceived(rumors) => self.feed(Input::RumorsReceived(rumors)),
                // A peer is identified by its origin, which includes its address, so that two edges that have
                // the same name by mistake are different peers.
                GossipEffect::ReportsReceived(peer, reports) => {
                    self.feed(Input::PeerReported(peer.origin(), reports));
                }
                GossipEffect::MemberJoined(peer) => {
                    tracing::info!(peer = peer.name, address = %peer.address, "peer joined");
                }
                GossipEffect::MemberLeft(peer) => {
                    tracing::info!(peer = peer.name, address = %peer.address, "peer left");
                }
            }
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8]) {
        let Some(gossip) = &mut self.gossip else { return };
        let mut effects = Vec::new();
        if let Err(error) = gossip.peers.handle_datagram(self.clock.now(), bytes, &mut effects) {
            tracing::debug!(%error, "peer datagram rejected");
        }
        self.carry_out_gossip(effects);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller(caller, text) => self.send_to_caller(caller, text),
            Effect::ToServer { upstream, message, text, not_after_ns, reports_written } => {
                let Some(handle) = self.upstreams.get(&upstream) else { return };
                if !handle.queue(Outgoing { number: message, text, not_after_ns, reports_written }) {
                    self.feed_later(Input::NotWritten { upstream, message });
                }
            }
            Effect::Connect(upstream, address) => self.connect(upstream, address),
            // Closing the queue ends the connection's task once the queued messages are written.
            Effect::Disconnect(upstream) => drop(self.upstreams.remove(&upstream)),
            Effect::Locate { call, number, timeout_ns } => {
                let timeout = Duration::from_nanos(timeout_ns);
                let agent = self.agent.as_ref();
                if !agent.is_some_and(|agent| agent.send(ToAgent::Locate { call, number, timeout })) {
                    // The agent does not keep up: the call continues without a locate.
                    self.feed_later(Input::Located(call, None));
                }
            }
            Effect::RecordChanged(record) => {
                let Some(agent) = &mut self.agent else { return };
                agent.publish_record(self.clock.now(), record);
                if agent.take_republish_due() {
                    self.feed_later(Input::RecordsRequested);
                }
            }
            Effect::Stopped => self.has_stopped = true,
        }
    }

    /// Queues a message for a caller. Its connection's task ends the connection if the caller does not read. A
    /// caller whose queue is full even so is disconnected at once.
    fn send_to_caller(&mut self, caller: CallerId, text: String) {
        let Some(handle) = self.callers.get(&caller) else { return };
        if handle.queue(Outgoing { number: 0, text, not_after_ns: None, reports_written: false }) {
            return;
        }
        handle.task.abort();
        self.callers.remove(&caller);
        self.count_disconnected_caller(caller);
        self.feed_later(Input::CallerClosed(caller));
    }

    fn count_disconnected_caller(&mut self, caller: CallerId) {
        tracing::info!(caller, "caller disconnected, it does not read");
        self.core.count_disconnected_caller();
    }

    /// Queues an input that results from an effect. A separate task sends it, as the core is handling another
    /// input and the queue may be full.
    fn feed_later(&self, input: Input) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let _ = events.send(DriverEvent::Input(input)).await;
        });
    }

    /// Creates a random number generator for a connection.
    pub(super) fn fork_rng(&mut self) -> StdRng {
        StdRng::from_rng(&mut self.rng)
    }

    /// Closes all connections. Queued messages are written if the other ends read them within a short time.
    async fn close(mut self) {
        let handles = self.callers.values().chain(self.upstreams.values());
        let tasks: Vec<AbortHandle> = handles.map(|handle| handle.task.clone()).collect();
        self.callers.clear();
        self.upstreams.clear();
        for _ in 0..MAX_CLOSE_POLLS {
            if tasks.iter().all(AbortHandle::is_finished) {
                return;
            }
            tokio::time::sleep(CLOSE_POLL).await;
        }
    }
}

/// Returns the agent's next message. Pending for ever without an agent, or once the agent has ended.
async fn next_message(agent: &mut Option<mpsc::Receiver<FromAgent>>) -> FromAgent {
    if let Some(agent) = agent {
        if let Some(message) = agent.recv().await {
            return message;
        }
    }
    std::future::pending().await
}
