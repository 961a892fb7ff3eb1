//! Connections to servers: made, lost, made again with growing, drawn gaps; and what their loss means for each
//! attempt on them.

use super::attempt::AttemptState;
use super::{left, AttemptId, EdgeCore, Effect, Timer, UpstreamId};
use lilacpitch::interface::{Availability, Endpoint, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_protocol::message::call::ToCaller;
use lilacpitch_protocol::message::signal::{FromServer, ReleaseCause, ToServer};
use rand_core::RngCore;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// Never tried.
    Untried,
    /// Tried and lost so often in a row; a timer tries again.
    Down,
    Connecting(UpstreamId),
    /// Ready, and so many messages given to it.
    Up(UpstreamId, u64),
}

#[derive(Debug)]
pub(super) struct ServerRow {
    pub name: String,
    pub address: SocketAddr,
    pub entry: Endpoint,
    pub started_ms: u64,
    pub link: Link,
    failures: u32,
    /// Attempts queued, out or standing there.
    pub attempts: BTreeSet<AttemptId>,
}

impl ServerRow {
    pub fn new(name: String, address: SocketAddr, entry: Endpoint, started_ms: u64) -> Self {
        let attempts = BTreeSet::new();
        ServerRow { name, address, entry, started_ms, link: Link::Untried, failures: 0, attempts }
    }

    pub fn up(&self) -> Option<UpstreamId> {
        match self.link {
            Link::Up(link, _) => Some(link),
            _ => None,
        }
    }

    pub fn untried(&self) -> bool {
        self.link == Link::Untried
    }
}

/// Servers by id, and the ids of names and connections.
#[derive(Debug, Default)]
pub(super) struct Servers {
    pub rows: BTreeMap<ServerId, ServerRow>,
    ids: BTreeMap<String, ServerId>,
    by_link: BTreeMap<UpstreamId, ServerId>,
    next_link: UpstreamId,
}

impl Servers {
    /// The id of a name; one not heard of before gets the next. Ids are never given to another name.
    pub fn id_of(&mut self, name: &str) -> ServerId {
        let next = self.ids.len() as ServerId;
        *self.ids.entry(name.to_string()).or_insert(next)
    }

    /// The id of a name that was listed.
    pub fn known(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    pub fn in_service(&self, id: ServerId) -> bool {
        self.rows.get(&id).is_some_and(|row| row.entry.availability == Availability::Ready)
    }

    /// Attempts that wait for a connection to this server.
    pub fn queued(&self, id: ServerId) -> Vec<AttemptId> {
        match self.rows.get(&id) {
            Some(row) if row.up().is_none() => row.attempts.iter().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// The server of a connection that is still in use.
    pub fn of_link(&self, link: UpstreamId) -> Option<ServerId> {
        self.by_link.get(&link).copied()
    }
}

impl EdgeCore {
    /// Begins a connection to a server in service that has none.
    pub(super) fn connect(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let in_service = self.servers.in_service(id);
        let Some(row) = self.servers.rows.get_mut(&id) else { return };
        if !in_service || matches!(row.link, Link::Connecting(_) | Link::Up(..)) {
            return;
        }
        self.servers.next_link += 1;
        let link = self.servers.next_link;
        row.link = Link::Connecting(link);
        self.servers.by_link.insert(link, id);
        effects.push(Effect::Connect(link, row.address));
    }

    pub(super) fn on_link_up(&mut self, link: UpstreamId, effects: &mut Vec<Effect>) {
        let Some(id) = self.servers.of_link(link) else { return };
        let Some(row) = self.servers.rows.get_mut(&id) else { return };
        row.link = Link::Up(link, 0);
        row.failures = 0;
        self.counters.links_made += 1;
        tracing::info!(server = row.name, link, "connected");
        let waiting: Vec<AttemptId> = row.attempts.iter().copied().collect();
        for attempt in waiting {
            self.transmit_setup(attempt, effects);
        }
    }

    /// Gives a message to a server's connection; its number among the connection's messages, if there is one.
    pub(super) fn transmit(
        &mut self,
        id: ServerId,
        message: &ToServer,
        not_after_ns: Option<Nanos>,
        effects: &mut Vec<Effect>,
    ) -> Option<(UpstreamId, u64)> {
        let row = self.servers.rows.get_mut(&id)?;
        let Link::Up(link, count) = &mut row.link else { return None };
        let (link, number) = (*link, *count);
        *count += 1;
        effects.push(Effect::ToServer {
            upstream: link,
            message: number,
            text: message.encode(),
            not_after_ns,
        });
        Some((link, number))
    }

    /// A connection is lost: what never left never ran, what left may have run, what stood is cut.
    pub(super) fn on_link_down(&mut self, link: UpstreamId, written: u64, effects: &mut Vec<Effect>) {
        let Some(id) = self.servers.by_link.remove(&link) else { return };
        let Some(row) = self.servers.rows.get_mut(&id) else { return };
        let was_up = row.up().is_some();
        row.link = Link::Down;
        self.counters.links_lost += 1;
        tracing::info!(server = row.name, link, written, attempts = row.attempts.len(), "connection lost");
        let failures = row.failures;
        row.failures = failures.saturating_add(1);
        let attempts: Vec<AttemptId> = row.attempts.iter().copied().collect();
        for id in attempts {
            let Some(attempt) = self.attempts.get(&id) else { continue };
            match attempt.state {
                AttemptState::Queued => {
                    self.end_attempt(id, Outcome::Unreachable, LoadReport::default(), effects)
                }
                AttemptState::Out { message, .. } if message >= written => {
                    self.counters.attempts_unsent += 1;
                    self.end_attempt(id, Outcome::Unreachable, LoadReport::default(), effects);
                }
                AttemptState::Out { .. } => {
                    self.end_attempt(id, Outcome::Cut, LoadReport::default(), effects)
                }
                AttemptState::Standing => self.call_ended(id, ReleaseCause::Cut, effects),
            }
        }
        if self.servers.in_service(id) {
            // A server that starts anew ends all its connections at once, and the list tells of its start only
            // later: fronts that come back before they can have read of it push it over while it is cold.
            let told_ns = self.settings.rules.drain_grace_ns + self.settings.look_ns;
            let heard_ns = if was_up { told_ns } else { 0 };
            let gap = self.reconnect_gap(failures) + heard_ns;
            self.timers.set(Timer::Reconnect(id), self.now + gap);
        }
        self.let_go(id, effects);
    }

    /// Doubled with each failure in a row, half of it drawn: fronts must not come back in step.
    fn reconnect_gap(&mut self, failures: u32) -> Nanos {
        let timing = &self.settings.timing;
        let longest = timing.reconnect_first_ns.saturating_mul(1 << failures.min(16));
        let gap = longest.min(timing.reconnect_longest_ns);
        gap / 2 + (gap / 2).saturating_mul(u64::from(self.rng.next_u32())) / u64::from(u32::MAX)
    }

    /// Ends the connection to a server that has moved: its attempts end as with a connection lost.
    pub(super) fn drop_link(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(row) = self.servers.rows.get(&id) else { return };
        let (Link::Connecting(link) | Link::Up(link, _)) = row.link else { return };
        effects.push(Effect::Disconnect(link));
        self.on_link_down(link, u64::MAX, effects);
        self.timers.clear(Timer::Reconnect(id));
        self.connect(id, effects);
    }

    /// A server that is gone keeps its connection until the last call there has ended.
    pub(super) fn let_go(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(row) = self.servers.rows.get_mut(&id) else { return };
        if row.entry.availability != Availability::Removed || !row.attempts.is_empty() {
            return;
        }
        if let Link::Connecting(link) | Link::Up(link, _) = row.link {
            tracing::info!(server = row.name, link, "server is gone and empty: connection ended");
            effects.push(Effect::Disconnect(link));
            self.servers.by_link.remove(&link);
        }
        row.link = Link::Untried;
        self.timers.clear(Timer::Reconnect(id));
    }

    /// A set-up waited too long for its connection to be written: it never left.
    pub(super) fn on_not_written(&mut self, link: UpstreamId, message: u64, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.of_link(link).and_then(|id| self.servers.rows.get(&id)) else {
            return;
        };
        let is_it = |id: &&AttemptId| {
            let state = self.attempts.get(id).map(|a| a.state);
            matches!(state, Some(AttemptState::Out { message: m, .. }) if m == message)
        };
        // A repeat that was not written leaves the set-up itself out.
        let Some(attempt) = server.attempts.iter().find(is_it).copied() else { return };
        self.counters.attempts_unsent += 1;
        self.end_attempt(attempt, Outcome::NotSent, LoadReport::default(), effects);
    }

    pub(super) fn on_link_text(&mut self, link: UpstreamId, text: &str, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.of_link(link) else { return };
        let message = match FromServer::decode(text) {
            Ok(message) => message,
            Err(error) => return self.server_error(server, &error.to_string()),
        };
        let report =
            LoadReport { free_capacity: message.load().and_then(|l| l.free).map(|free| free as f64) };
        let id = message.attempt();
        let state = self.attempts.get(&id).filter(|a| a.server == server).map(|a| a.state);
        match (message, state) {
            (FromServer::Answer { .. }, Some(AttemptState::Out { .. })) => self.stands(id, report, effects),
            // The attempt has ended here: its circuit must not stay taken there.
            (FromServer::Answer { .. }, None) => {
                self.counters.answers_late += 1;
                self.transmit(server, &ToServer::Release { attempt: id }, None, effects);
            }
            (FromServer::Released { cause, .. }, Some(AttemptState::Standing)) => {
                self.call_ended(id, cause, effects);
                self.let_go(server, effects);
            }
            (message, Some(AttemptState::Out { .. })) => match outcome(&message) {
                Some(outcome) => self.end_attempt(id, outcome, report, effects),
                None => self.server_error(server, "released before its answer"),
            },
            // Crossed with the front's own cancel or release; or a repeat's answer, crossed with the first.
            (_, None) | (FromServer::Answer { .. }, Some(AttemptState::Standing)) => {
                self.counters.answers_crossed += 1;
            }
            (_, Some(_)) => self.server_error(server, "answer for an attempt that is not out"),
        }
    }

    fn server_error(&mut self, server: ServerId, what: &str) {
        self.counters.server_errors += 1;
        let name = self.servers.rows.get(&server).map_or("", |row| &row.name);
        tracing::warn!(server = name, what, "message of a server not taken");
    }

    /// A call that stood has ended at its server.
    fn call_ended(&mut self, attempt: AttemptId, cause: ReleaseCause, effects: &mut Vec<Effect>) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.servers.rows.entry(ended.server).and_modify(|row| {
            row.attempts.remove(&attempt);
        });
        let Some(call) = self.remove_call(ended.call) else { return };
        let (outcome, word) = match cause {
            ReleaseCause::Ended => (Outcome::Completed, "ended"),
            ReleaseCause::Cut => (Outcome::Cut, "cut"),
        };
        self.counters.calls_cut += u64::from(cause == ReleaseCause::Cut);
        let text = ToCaller::Released { call: call.name, cause: word.into() }.encode();
        effects.push(Effect::ToCaller(call.caller, text));
        self.settled(ended.call, ended.hop, ended.server, outcome, true, LoadReport::default());
    }

    pub(super) fn settled(
        &mut self,
        call: u64,
        hop: u32,
        server: ServerId,
        outcome: Outcome,
        closed: bool,
        report: LoadReport,
    ) {
        self.follow.push_back(Event::AttemptCompleted {
            call,
            attempt: hop,
            server,
            outcome,
            is_final: closed,
            report,
        });
    }

    /// Ends an attempt that has no answer: its server is told if it may know of it, the module in any case.
    pub(super) fn end_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        report: LoadReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.forget_attempt(id, attempt.server);
        match outcome {
            Outcome::TimedOut => self.counters.attempts_timed_out += 1,
            Outcome::Cancelled => self.counters.attempts_cancelled += 1,
            Outcome::Overloaded(_) => self.counters.attempts_full += 1,
            _ => {}
        }
        let told = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && left(attempt.state);
        if told {
            self.transmit(attempt.server, &ToServer::Cancel { attempt: id }, None, effects);
        }
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.attempt = None;
        }
        self.settled(attempt.call, attempt.hop, attempt.server, outcome, false, report);
        self.let_go(attempt.server, effects);
    }

    pub(super) fn forget_attempt(&mut self, id: AttemptId, server: ServerId) {
        self.timers.clear(Timer::TimeOut(id));
        self.timers.clear(Timer::Resend(id));
        self.servers.rows.entry(server).and_modify(|row| {
            row.attempts.remove(&id);
        });
    }
}

/// How an answer other than 'stands' ends its attempt.
fn outcome(message: &FromServer) -> Option<Outcome> {
    Some(match message {
        FromServer::Full { wait_ms, .. } => {
            Outcome::Overloaded(wait_ms.filter(|ms| *ms > 0).map(|ms| ms * 1_000_000))
        }
        FromServer::NoCircuit { .. } => Outcome::NoCircuit,
        FromServer::LinesBusy { .. } => Outcome::LinesBusy,
        FromServer::Fault { .. } => Outcome::Fault,
        FromServer::Answer { .. } | FromServer::Released { .. } => return None,
    })
}
