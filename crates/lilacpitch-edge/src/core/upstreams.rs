//! Upstream connections: connecting, reconnecting after growing random delays, and the messages on them.
//!
//! The loss of a connection ends its attempts: a set-up that was not written was not executed, one that was
//! written may have been executed, and an established call is cut.

use super::attempts::AttemptState;
use super::{AttemptId, EdgeCore, Effect, Timer, UpstreamId, NS_PER_MS};
use lilacpitch::interface::{Availability, Endpoint, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch_protocol::message::signal::{FromServer, ReleaseCause, ToServer};
use rand_core::RngCore;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of times that the reconnect delay is doubled. The maximum delay in the settings is reached
/// long before.
const MAX_RECONNECT_DOUBLINGS: u32 = 16;

/// The state of the connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamState {
    /// No connection was attempted since the server was added or last removed.
    NeverTried,
    /// Lost or not established; a timer tries again while the server is in service.
    Lost,
    Connecting(UpstreamId),
    Connected {
        upstream: UpstreamId,
        /// Number of messages handed to the connection.
        messages: u64,
    },
}

/// A server of the endpoint list with its connection.
#[derive(Debug)]
pub(super) struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub endpoint: Endpoint,
    /// When the server started, according to the list, in milliseconds since 1970.
    pub started_ms: u64,
    state: UpstreamState,
    /// When the connection was established; 0 before the first one.
    connected_ns: Nanos,
    /// Number of consecutive connections that were lost or not established.
    failures: u32,
    /// Attempts at this server: queued, in flight or established.
    pub attempts: BTreeSet<AttemptId>,
}

impl Server {
    pub(super) fn new(name: String, address: SocketAddr, endpoint: Endpoint, started_ms: u64) -> Self {
        Server {
            name,
            address,
            endpoint,
            started_ms,
            state: UpstreamState::NeverTried,
            connected_ns: 0,
            failures: 0,
            attempts: BTreeSet::new(),
        }
    }

    /// The connection, if it is established.
    pub(super) fn connected_upstream(&self) -> Option<UpstreamId> {
        match self.state {
            UpstreamState::Connected { upstream, .. } => Some(upstream),
            _ => None,
        }
    }

    /// The connection, whether it is established or being established.
    fn upstream(&self) -> Option<UpstreamId> {
        match self.state {
            UpstreamState::Connecting(upstream) | UpstreamState::Connected { upstream, .. } => Some(upstream),
            UpstreamState::NeverTried | UpstreamState::Lost => None,
        }
    }

    /// The connection, if it is established, and the number of the next message on it, which is counted.
    fn next_message(&mut self) -> Option<(UpstreamId, u64)> {
        let UpstreamState::Connected { upstream, messages } = &mut self.state else { return None };
        *messages += 1;
        Some((*upstream, *messages - 1))
    }

    /// Whether its connection is to a process that was replaced by the one that the list reports.
    pub(super) fn is_connected_to_former_process(&self) -> bool {
        self.connected_upstream().is_some() && self.connected_ns < self.endpoint.up_since_ns
    }

    pub(super) fn is_never_tried(&self) -> bool {
        self.state == UpstreamState::NeverTried
    }
}

/// The servers by id, and lookups of their ids by name and by connection.
#[derive(Debug, Default)]
pub(super) struct Servers {
    pub by_id: BTreeMap<ServerId, Server>,
    ids: BTreeMap<String, ServerId>,
    by_upstream: BTreeMap<UpstreamId, ServerId>,
    last_upstream: UpstreamId,
}

impl Servers {
    /// The id of a server name. A new name gets the next free id. Ids are never reused for another name.
    pub(super) fn id_or_insert(&mut self, name: &str) -> ServerId {
        let next = self.ids.len() as ServerId;
        *self.ids.entry(name.to_string()).or_insert(next)
    }

    /// The id of a server name that has been listed.
    pub(super) fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    pub(super) fn is_in_service(&self, id: ServerId) -> bool {
        self.by_id.get(&id).is_some_and(|server| server.endpoint.availability == Availability::Ready)
    }

    pub(super) fn is_connected(&self, id: ServerId) -> bool {
        self.by_id.get(&id).is_some_and(|server| server.connected_upstream().is_some())
    }

    pub(super) fn is_connecting(&self, id: ServerId) -> bool {
        self.by_id.get(&id).is_some_and(|server| matches!(server.state, UpstreamState::Connecting(_)))
    }

    /// The first connected server other than this one.
    pub(super) fn connected_other_than(&self, id: ServerId) -> Option<ServerId> {
        let mut others = self.by_id.iter().filter(|(other, _)| **other != id);
        others.find(|(_, server)| server.connected_upstream().is_some()).map(|(other, _)| *other)
    }

    /// The attempts that wait for a connection to this server.
    pub(super) fn queued_attempts(&self, id: ServerId) -> Vec<AttemptId> {
        match self.by_id.get(&id) {
            Some(server) if server.connected_upstream().is_none() => {
                server.attempts.iter().copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// The record of the server of a connection, if the connection is still in use.
    pub(super) fn of_upstream(&self, upstream: UpstreamId) -> Option<&Server> {
        self.by_id.get(&self.id_of_upstream(upstream)?)
    }

    /// The server of a connection, if the connection is still in use.
    fn id_of_upstream(&self, upstream: UpstreamId) -> Option<ServerId> {
        self.by_upstream.get(&upstream).copied()
    }

    pub(super) fn add_attempt(&mut self, id: ServerId, attempt: AttemptId) {
        if let Some(server) = self.by_id.get_mut(&id) {
            server.attempts.insert(attempt);
        }
    }

    pub(super) fn remove_attempt(&mut self, id: ServerId, attempt: AttemptId) {
        if let Some(server) = self.by_id.get_mut(&id) {
            server.attempts.remove(&attempt);
        }
    }
}

impl EdgeCore {
    /// Connects to a server if it is in service and has no connection.
    pub(super) fn connect(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let is_in_service = self.servers.is_in_service(id);
        let Some(server) = self.servers.by_id.get_mut(&id) else { return };
        if !is_in_service || server.upstream().is_some() {
            return;
        }
        self.servers.last_upstream += 1;
        let upstream = self.servers.last_upstream;
        server.state = UpstreamState::Connecting(upstream);
        self.servers.by_upstream.insert(upstream, id);
        effects.push(Effect::Connect(upstream, server.address));
    }

    pub(super) fn handle_upstream_connected(&mut self, upstream: UpstreamId, effects: &mut Vec<Effect>) {
        let Some(id) = self.servers.id_of_upstream(upstream) else { return };
        let Some(server) = self.servers.by_id.get_mut(&id) else { return };
        server.state = UpstreamState::Connected { upstream, messages: 0 };
        server.connected_ns = self.now;
        server.failures = 0;
        self.counters.upstreams_connected += 1;
        tracing::info!(server = server.name, upstream, "upstream connected");
        let queued: Vec<AttemptId> = server.attempts.iter().copied().collect();
        for attempt in queued {
            self.transmit_setup(attempt, effects);
        }
    }

    /// Sends a message to a server if its connection is established. Returns the connection and the message's
    /// number on it.
    pub(super) fn transmit(
        &mut self,
        id: ServerId,
        message: &ToServer,
        not_after_ns: Option<Nanos>,
        effects: &mut Vec<Effect>,
    ) -> Option<(UpstreamId, u64)> {
        let (upstream, number) = self.servers.by_id.get_mut(&id)?.next_message()?;
        let (text, reports_written) = (message.encode(), false);
        effects.push(Effect::ToServer { upstream, message: number, text, not_after_ns, reports_written });
        Some((upstream, number))
    }

    /// Sends a message that ends an attempt, like [`Self::transmit`], and has it reported when it is written.
    pub(super) fn transmit_end(
        &mut self,
        id: ServerId,
        message: &ToServer,
        effects: &mut Vec<Effect>,
    ) -> Option<(UpstreamId, u64)> {
        let (upstream, number) = self.servers.by_id.get_mut(&id)?.next_message()?;
        let (text, reports_written) = (message.encode(), true);
        effects.push(Effect::ToServer {
            upstream,
            message: number,
            text,
            not_after_ns: None,
            reports_written,
        });
        Some((upstream, number))
    }

    /// Handles the end of a connection, or a failure to establish it. `written`: how many of its messages may
    /// have been sent.
    pub(super) fn handle_upstream_closed(
        &mut self,
        upstream: UpstreamId,
        written: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.servers.by_upstream.remove(&upstream) else { return };
        let Some(server) = self.servers.by_id.get_mut(&id) else { return };
        let was_connected = server.connected_upstream().is_some();
        server.state = UpstreamState::Lost;
        self.counters.upstreams_lost += 1;
        let attempts: Vec<AttemptId> = server.attempts.iter().copied().collect();
        tracing::info!(
            server = server.name,
            upstream,
            written,
            attempts = attempts.len(),
            "upstream connection lost"
        );
        let failures = server.failures;
        server.failures = failures.saturating_add(1);
        for attempt in attempts {
            self.end_lost_attempt(attempt, written, effects);
        }
        if self.servers.is_in_service(id) {
            // A server that restarts ends all its connections at once, and the endpoint list shows the
            // restart only later. Edges that reconnect before they have read it would overload the server
            // while it warms up.
            let list_delay_ns = self.settings.rules.drain_grace_ns + self.settings.look_ns;
            let extra_ns = if was_connected { list_delay_ns } else { 0 };
            let delay_ns = self.reconnect_delay_ns(failures) + extra_ns;
            self.timers.set(Timer::Reconnect(id), self.now + delay_ns);
        }
        self.disconnect_if_removed(id, effects);
    }

    /// Ends an attempt whose connection is lost. `written`: how many messages of the connection may have been
    /// sent.
    fn end_lost_attempt(&mut self, id: AttemptId, written: u64, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let no_report = LoadReport::default();
        match attempt.state {
            AttemptState::Queued => self.end_attempt(id, Outcome::Unreachable, no_report, effects),
            AttemptState::InFlight { message, .. } if message >= written => {
                self.counters.setups_not_sent += 1;
                self.end_attempt(id, Outcome::Unreachable, no_report, effects);
            }
            AttemptState::InFlight { .. } => self.end_attempt(id, Outcome::Cut, no_report, effects),
            AttemptState::Ending { outcome, .. } => self.end_attempt(id, outcome, no_report, effects),
            AttemptState::Established => self.end_call(id, ReleaseCause::Cut, effects),
        }
    }

    /// The delay before the next connection attempt: doubled with each consecutive failure, and half of it
    /// random so that edges do not reconnect at the same time.
    fn reconnect_delay_ns(&mut self, failures: u32) -> Nanos {
        let timing = &self.settings.timing;
        let doubled_ns = timing.reconnect_first_ns.saturating_mul(1 << failures.min(MAX_RECONNECT_DOUBLINGS));
        let delay_ns = doubled_ns.min(timing.reconnect_longest_ns);
        delay_ns / 2 + (delay_ns / 2).saturating_mul(u64::from(self.rng.next_u32())) / u64::from(u32::MAX)
    }

    /// Reconnects to a server whose address has changed. Its attempts end as they do when a connection is
    /// lost.
    pub(super) fn reconnect_now(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(upstream) = self.servers.by_id.get(&id).and_then(Server::upstream) else { return };
        effects.push(Effect::Disconnect(upstream));
        self.handle_upstream_closed(upstream, u64::MAX, effects);
        self.timers.clear(Timer::Reconnect(id));
        self.connect(id, effects);
    }

    /// Ends the connection to a server that was removed from the list and whose address another one has by now: the
    /// process is gone, though its connection may not show it. Its attempts end as they do when a connection is lost.
    pub(super) fn disconnect_if_address_reused(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.by_id.get(&id) else { return };
        let is_removed = server.endpoint.availability == Availability::Removed;
        let is_reused = |other: &Server| {
            other.endpoint.availability == Availability::Ready && other.address == server.address
        };
        let Some(upstream) = server.upstream() else { return };
        if is_removed && self.servers.by_id.values().any(is_reused) {
            effects.push(Effect::Disconnect(upstream));
            self.handle_upstream_closed(upstream, u64::MAX, effects);
        }
    }

    /// Ends the connection to a server that was removed from the list, once the last attempt there has ended.
    pub(super) fn disconnect_if_removed(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.by_id.get_mut(&id) else { return };
        if server.endpoint.availability != Availability::Removed || !server.attempts.is_empty() {
            return;
        }
        if let Some(upstream) = server.upstream() {
            tracing::info!(server = server.name, upstream, "server removed, upstream connection closed");
            effects.push(Effect::Disconnect(upstream));
            self.servers.by_upstream.remove(&upstream);
        }
        server.state = UpstreamState::NeverTried;
        self.timers.clear(Timer::Reconnect(id));
    }

    /// Ends the attempt of a set-up that was discarded because it could not be written in time.
    pub(super) fn handle_not_written(
        &mut self,
        upstream: UpstreamId,
        message: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(server) = self.servers.id_of_upstream(upstream).and_then(|id| self.servers.by_id.get(&id))
        else {
            return;
        };
        let is_setup = |id: &&AttemptId| {
            let state = self.attempts.get(id).map(|attempt| attempt.state);
            matches!(state, Some(AttemptState::InFlight { message: first, .. }) if first == message)
        };
        // No attempt is found if a resent set-up was discarded: the first one is still in flight.
        let Some(attempt) = server.attempts.iter().find(is_setup).copied() else { return };
        self.counters.setups_not_sent += 1;
        self.end_attempt(attempt, Outcome::NotSent, LoadReport::default(), effects);
    }

    pub(super) fn handle_upstream_text(
        &mut self,
        upstream: UpstreamId,
        text: &str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(server) = self.servers.id_of_upstream(upstream) else { return };
        match FromServer::decode(text) {
            Ok(message) => self.handle_server_message(server, message, effects),
            Err(error) => self.count_server_error(server, &error.to_string()),
        }
    }

    fn handle_server_message(&mut self, server: ServerId, message: FromServer, effects: &mut Vec<Effect>) {
        let free_capacity = message.load().and_then(|load| load.free).map(|free| free as f64);
        let report = LoadReport { free_capacity };
        let id = message.attempt();
        let state = self.attempts.get(&id).filter(|a| a.server == server).map(|a| a.state);
        // An attempt that is given up is over for its server's messages.
        let state = state.filter(|state| !matches!(state, AttemptState::Ending { .. }));
        match (message, state) {
            (FromServer::Answer { .. }, Some(AttemptState::InFlight { .. })) => {
                self.establish_call(id, report, effects);
            }
            // The attempt has ended at this edge: its circuit must not stay occupied at the server.
            (FromServer::Answer { .. }, None) => {
                self.counters.answers_late += 1;
                self.transmit(server, &ToServer::Release { attempt: id }, None, effects);
            }
            (FromServer::Released { cause, .. }, Some(AttemptState::Established)) => {
                self.end_call(id, cause, effects);
                self.disconnect_if_removed(server, effects);
            }
            (message, Some(AttemptState::InFlight { .. })) => match outcome_of(&message) {
                Some(outcome) => self.end_attempt(id, outcome, report, effects),
                None => self.count_server_error(server, "released before its answer"),
            },
            // The answer crossed this edge's cancel or release; or a set-up that was sent again is answered
            // again.
            (_, None) | (FromServer::Answer { .. }, Some(AttemptState::Established)) => {
                self.counters.answers_crossed += 1;
            }
            (_, Some(_)) => self.count_server_error(server, "answer for an attempt that is not out"),
        }
    }

    fn count_server_error(&mut self, server: ServerId, error: &str) {
        self.counters.server_errors += 1;
        let name = self.servers.by_id.get(&server).map_or("", |server| &server.name);
        tracing::warn!(server = name, error, "server message rejected");
    }
}

/// The outcome of an attempt that is answered without establishing the call.
fn outcome_of(message: &FromServer) -> Option<Outcome> {
    Some(match message {
        FromServer::Full { wait_ms, .. } => {
            Outcome::Overloaded(wait_ms.filter(|ms| *ms > 0).map(|ms| ms * NS_PER_MS))
        }
        FromServer::NoCircuit { .. } => Outcome::NoCircuit,
        FromServer::LinesBusy { .. } => Outcome::LinesBusy,
        FromServer::Fault { .. } => Outcome::Fault,
        FromServer::Answer { .. } | FromServer::Released { .. } => return None,
    })
}
