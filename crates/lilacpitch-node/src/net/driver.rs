//! The driver: the task that owns the core, feeds it inputs and carries out its effects.

use super::connections::{CallerHandle, ConnectionContext, ConnectionHandle};
use super::counters::log_counters;
use super::driver_event::{DriverEvent, MalformedMessage};
use super::signals::{Command, Signals};
use crate::config::{Budget, Config};
use crate::core::{CallerId, Effect, Input, NodeCore, UpstreamId};
use lilacpitch::settings::Site;
use lilacpitch_net::{CancelOutcome, Clock, CloseMode, DrainQuota, OutgoingMessage, QueuedBytes};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Most events handled before timers, signals and new connections are checked again.
const EVENTS_PER_ROUND: usize = 32;
/// Most messages that wait to be written on one connection to a server when it is given another set-up.
const MAX_QUEUED_MESSAGES: usize = 512;
/// How often the tasks of connections may run before callers are disconnected because too much waits for them.
const YIELDS_BEFORE_DISCONNECT: usize = 16;
/// One in this many slots for callers is kept free, so that new callers don't wait for an eviction.
const SPARE_SLOT_FRACTION: usize = 16;
/// How often the counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which is most likely due to a lack of file descriptors.
pub(super) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Owns the core and the driver's ends of all connections.
pub(super) struct Driver {
    pub(super) core: NodeCore,
    pub(super) callers: BTreeMap<CallerId, CallerHandle>,
    pub(super) upstreams: BTreeMap<UpstreamId, ConnectionHandle>,
    /// When the first request to stop arrived.
    pub(super) stop_requested_at: Option<Instant>,
    /// Passed to the tasks of connections.
    context: ConnectionContext,
    /// Callers that have closed their connection, ahead of the messages that they sent before.
    disconnects: mpsc::UnboundedReceiver<CallerId>,
    /// Callers whose eviction is in progress, which a message from them cancels.
    evicting: BTreeSet<CallerId>,
    /// Results of effects, which the core is yet to be told.
    results: VecDeque<Input>,
    max_callers: usize,
    /// Most bytes that may wait for all callers together.
    max_caller_output: usize,
    /// Most bytes that may wait for all servers together.
    max_server_output: usize,
    next_caller: CallerId,
    /// Buffer for the effects of one input.
    effects: Vec<Effect>,
    /// Number of malformed messages by kind.
    malformed: BTreeMap<&'static str, u64>,
    is_stopped: bool,
}

/// Reloads the configuration on SIGHUP. Of its settings, only the coordinator's address takes effect.
pub(super) struct Reloader<'a> {
    /// Path of the configuration file.
    pub path: &'a str,
    /// The coordinator's address, watched by its client.
    pub coordinator: watch::Sender<SocketAddr>,
}

impl Reloader<'_> {
    /// Reloads the file; keeps the current configuration if it is invalid.
    fn reload(&self) {
        match Config::load(self.path) {
            Ok(config) => {
                tracing::info!(coordinator = %config.coordinator, "configuration reloaded");
                let _ = self.coordinator.send(config.coordinator);
            }
            Err(error) => tracing::error!(%error, "configuration rejected, keeping the current one"),
        }
    }
}

impl Driver {
    /// Creates a driver without connections.
    pub(super) fn new(site: Site, seed: u64, budget: Budget, events: mpsc::Sender<DriverEvent>) -> Driver {
        let (disconnect_sender, disconnects) = mpsc::unbounded_channel();
        let clock = Clock::start();
        let context = ConnectionContext {
            events,
            disconnects: disconnect_sender,
            caller_output: QueuedBytes::default(),
            server_output: QueuedBytes::default(),
            drain_quota: Rc::new(DrainQuota::new(budget.draining)),
            clock,
            connect_timeout: Duration::from_nanos(site.connect_timeout_ns),
        };
        Driver {
            core: NodeCore::new(site, budget.upstreams, clock.now(), seed)
                .with_call_memory(budget.call_bytes),
            callers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            stop_requested_at: None,
            context,
            disconnects,
            evicting: BTreeSet::new(),
            results: VecDeque::new(),
            max_callers: budget.callers,
            max_caller_output: budget.caller_output_bytes,
            // The queued copies of set-ups take up half of what is counted for their calls.
            max_server_output: budget.server_output_bytes.saturating_add(budget.call_bytes / 2),
            next_caller: 1,
            effects: Vec::new(),
            malformed: BTreeMap::new(),
            is_stopped: false,
        }
    }

    /// Runs the event loop until the core has stopped and all connections are closed.
    pub(super) async fn run(
        mut self,
        listener: TcpListener,
        mut inbox: mpsc::Receiver<DriverEvent>,
        mut signals: Signals,
        reloader: Reloader<'_>,
    ) {
        let mut batch = Vec::new();
        let mut counters = tokio::time::interval(COUNTERS_INTERVAL);
        while !self.is_stopped {
            self.limit_caller_output().await;
            self.feed_disconnects();
            self.keep_spare_slots();
            let due = self.core.next_timeout().map(|due| self.context.clock.instant(due));
            tokio::select! {
                count = inbox.recv_many(&mut batch, EVENTS_PER_ROUND) => {
                    debug_assert!(count > 0, "channel closed, though the driver holds a sender");
                    for event in batch.drain(..) {
                        self.handle_event(event);
                        self.limit_caller_output().await;
                    }
                }
                Some(caller) = self.disconnects.recv() => self.feed(Input::CallerDisconnected(caller)),
                accepted = accept(Some(&listener)), if self.has_caller_capacity() => match accepted {
                    Ok(stream) => self.open_caller(stream),
                    Err(error) => {
                        tracing::warn!(%error, "connection accept failed");
                        self.feed(Input::EvictIdleCaller);
                        tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    }
                },
                _ = tokio::time::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    self.feed(Input::Timeout);
                }
                command = signals.next() => match command {
                    Command::Stop => self.stop(),
                    Command::Reload => reloader.reload(),
                },
                _ = counters.tick() => log_counters(&self.core, &self.malformed),
            }
        }
        self.close(listener, inbox).await;
    }

    /// Whether another caller may connect.
    pub(super) fn has_caller_capacity(&self) -> bool {
        self.callers.len() < self.max_callers
    }

    /// Evicts idle callers if too few slots are free. If every caller has an open set-up, accepting pauses
    /// until one of them has none.
    fn keep_spare_slots(&mut self) {
        let spare = self.max_callers / SPARE_SLOT_FRACTION;
        let needed = (self.callers.len() + 1 + spare).saturating_sub(self.max_callers);
        (self.evicting.len()..needed).for_each(|_| self.feed(Input::EvictIdleCaller));
    }

    /// Handles one event of a connection's task or of the coordinator's client.
    pub(super) fn handle_event(&mut self, event: DriverEvent) {
        // Disconnects go first, since this event may be from a caller that has closed its connection.
        self.feed_disconnects();
        let input = match event {
            DriverEvent::Input(input) => input,
            DriverEvent::Malformed(message) => return self.count_malformed(&message),
        };
        let mut undelivered = Vec::new();
        match &input {
            Input::CallerMessage(caller, _) => {
                if let Some(CallerHandle { connection, .. }) = self.callers.get(caller) {
                    connection.outbox.record_processed();
                    connection.outbox.cancel_eviction();
                    if connection.outbox.close_mode().is_none() {
                        self.evicting.remove(caller);
                    }
                }
            }
            Input::CallerDrained(caller) => {
                self.callers
                    .get(caller)
                    .iter()
                    .for_each(|caller| caller.connection.outbox.record_processed());
            }
            Input::CallerClosed(caller) => {
                self.evicting.remove(caller);
                let closed = self.callers.remove(caller);
                undelivered = closed.map_or(undelivered, |mut caller| caller.take_undelivered());
            }
            Input::UpstreamClosed { upstream, .. } => drop(self.upstreams.remove(upstream)),
            _ => {}
        }
        self.feed(input);
        undelivered.into_iter().for_each(|release| self.feed(Input::ReleaseUndelivered(release)));
    }

    /// Counts a malformed message, and logs the first one of its kind.
    fn count_malformed(&mut self, message: &MalformedMessage) {
        let kind = message.kind();
        let count = self.malformed.entry(kind).or_default();
        *count += 1;
        if *count == 1 {
            tracing::warn!(
                kind,
                error = %message,
                "malformed message, connection closed; more of this kind are only counted"
            );
        }
    }

    /// Feeds the core the disconnects that have been reported.
    fn feed_disconnects(&mut self) {
        while let Ok(caller) = self.disconnects.try_recv() {
            self.feed(Input::CallerDisconnected(caller));
        }
    }

    /// Feeds one input to the core and carries out the effects, and feeds their immediate results.
    fn feed(&mut self, input: Input) {
        self.feed_one(input);
        while let Some(result) = self.results.pop_front() {
            self.feed_one(result);
        }
    }

    fn feed_one(&mut self, input: Input) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.handle(self.context.clock.now(), input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
    }

    /// Queues an input that results from an effect, from a separate task, since the core is handling an
    /// input.
    fn feed_later(&self, input: Input) {
        let events = self.context.events.clone();
        tokio::task::spawn_local(async move {
            let _ = events.send(DriverEvent::Input(input)).await;
        });
    }

    /// Starts the stop of the node.
    fn stop(&mut self) {
        self.stop_requested_at.get_or_insert_with(Instant::now);
        self.feed(Input::Stop);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ToCaller(caller, bytes) => {
                self.callers.entry(caller).and_modify(|caller| caller.push_response(bytes));
            }
            Effect::Release(caller, release) => {
                self.callers.entry(caller).and_modify(|caller| caller.push_release(release));
            }
            Effect::EvictCaller(caller) => self.evict_caller(caller),
            Effect::CloseCaller(caller) => self.close_caller(caller),
            Effect::ToServer { upstream, message, bytes, not_after_ns } => {
                self.send_to_server(
                    upstream,
                    OutgoingMessage { number: message, bytes, not_after_ns, write_by_ns: None },
                );
            }
            Effect::CancelSetup { upstream, message, stop_message, bytes, write_by_ns } => {
                let (number, write_by_ns) = (stop_message, Some(write_by_ns));
                let stop = OutgoingMessage { number, bytes, not_after_ns: None, write_by_ns };
                self.cancel_setup(upstream, message, stop);
            }
            Effect::Connect(upstream, address) => {
                let connection = self.context.spawn_upstream(upstream, address);
                self.upstreams.insert(upstream, connection);
            }
            Effect::Disconnect(upstream) => {
                let connection = self.upstreams.remove(&upstream);
                connection.iter().for_each(|connection| connection.outbox.close(CloseMode::AfterFlush));
            }
            Effect::Stopped => self.is_stopped = true,
        }
    }

    /// Keeps the bytes that wait for callers within their limit: first lets the connections write, and then
    /// disconnects the caller for which most waits, until the limit is kept.
    pub(super) async fn limit_caller_output(&mut self) {
        for _ in 0..YIELDS_BEFORE_DISCONNECT {
            if self.context.caller_output.get() <= self.max_caller_output {
                return;
            }
            tokio::task::yield_now().await;
        }
        while self.context.caller_output.get() > self.max_caller_output {
            let queued = |caller: &CallerHandle| caller.connection.outbox.queued().bytes;
            let longest = self.callers.iter_mut().max_by_key(|(_, caller)| queued(caller));
            // What is left waits on connections that are closing, which end within a short time.
            let Some((id, caller)) = longest.filter(|(_, caller)| queued(caller) > 0) else { return };
            tracing::info!(caller = id, "caller disconnected, too much waits for all callers");
            caller.connection.outbox.close(CloseMode::Immediately);
            for release in caller.take_undelivered() {
                self.feed(Input::ReleaseUndelivered(release));
            }
        }
    }

    /// Evicts a caller, unless it has unprocessed or queued messages.
    fn evict_caller(&mut self, caller: CallerId) {
        let Some(CallerHandle { connection, .. }) = self.callers.get(&caller) else { return };
        if connection.outbox.unprocessed() == 0 && connection.outbox.queued().messages == 0 {
            connection.outbox.close(CloseMode::IfIdle);
            self.evicting.insert(caller);
        } else {
            self.results.push_back(Input::EvictionDeclined(caller));
        }
    }

    /// Closes a caller's connection, without reading further requests from it.
    fn close_caller(&mut self, caller: CallerId) {
        let Some(CallerHandle { connection, .. }) = self.callers.get(&caller) else { return };
        connection.outbox.close(CloseMode::DiscardInput);
        self.evicting.insert(caller);
    }

    /// Queues a message for a server. A set-up is dropped if too many messages wait on its connection, and any
    /// message if too much waits for all servers.
    fn send_to_server(&self, upstream: UpstreamId, message: OutgoingMessage) {
        let Some(connection) = self.upstreams.get(&upstream) else { return };
        let is_connection_full = connection.outbox.queued().messages >= MAX_QUEUED_MESSAGES;
        let is_memory_full = self.context.server_output.get() > self.max_server_output;
        if is_memory_full || (is_connection_full && message.not_after_ns.is_some()) {
            self.feed_later(Input::MessageDropped { upstream, message: message.number });
        } else {
            connection.outbox.push(message);
        }
    }

    /// Cancels a set-up: removes it from the queue, closes the connection if it is partly written, or else
    /// sends `stop` after it.
    fn cancel_setup(&mut self, upstream: UpstreamId, message: u64, stop: OutgoingMessage) {
        let Some(connection) = self.upstreams.get(&upstream) else { return };
        match connection.outbox.cancel(message) {
            CancelOutcome::Removed => {
                self.results.push_back(Input::EndWritten { upstream, message: stop.number });
            }
            CancelOutcome::PartlyWritten => connection.outbox.close(CloseMode::Immediately),
            CancelOutcome::AlreadyWritten => connection.outbox.push(stop),
        }
    }

    /// Starts the connection of a caller that has just connected.
    pub(super) fn open_caller(&mut self, stream: TcpStream) {
        let caller = self.next_caller;
        self.next_caller += 1;
        let connection = self.context.spawn_caller(caller, stream);
        self.callers.insert(caller, connection);
        self.feed(Input::CallerOpened(caller));
    }
}

/// Accepts a connection. Without a listener, never returns.
pub(super) async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}
