//! Well-known policies to compare the module with, in the same front and under the same checker.
//!
//! All follow the rules that the front itself enforces: one attempt at a time, drains, the delay after a
//! release, and the caller's budget. They take no account of servers that warm up, except where the source of
//! a policy does. Their parameters are those of the sources.

use lilacpitch::interface::*;
use lilacpitch::{Controller, Policy};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

const S: Nanos = 1_000_000_000;
/// Timeout of an attempt, in resend intervals.
const TIMEOUT_RESEND_INTERVALS: u64 = 3;
/// First limit of [`Baseline::Aimd`].
const INITIAL_LIMIT: f64 = 10.0;
/// Factor by which [`Baseline::Aimd`] lowers its limit after a failure.
const LIMIT_DECREASE: f64 = 0.9;
/// Window of [`Baseline::Throttle`].
const THROTTLE_WINDOW_NS: Nanos = 120 * S;
/// Failures in a row after which [`Baseline::Outlier`] ejects a server.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of a server's first ejection.
const EJECTION_NS: Nanos = 30 * S;
/// Duration of the slow start after an ejection.
const SLOW_START_NS: Nanos = 30 * S;
/// Share of the load with which a slow start begins.
const SLOW_START_SHARE: f64 = 0.1;

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// The project's own module.
    Module,
    /// A random server, and one retry at another.
    Random,
    /// A limit on the set-ups in flight per server: it grows by one for each window of set-ups that succeed
    /// and falls to 0.9 of itself after a rejection or timeout: additive increase, multiplicative decrease
    /// (Chiu and Jain 1989).
    Aimd,
    /// Rejects calls for a server with probability (requests - 2 accepts) / (requests + 1), counted over two
    /// minutes: client-side throttling ("Site Reliability Engineering", chapter 21).
    Throttle,
    /// Five failures in a row eject a server for 30 s times the number of its ejections; at most half of the
    /// servers are ejected at a time. Afterwards the server's share grows from a tenth to all within 30 s.
    /// Outlier ejection and slow start as in proxies (Envoy, "Outlier detection" and "Slow start mode").
    Outlier,
}

impl Baseline {
    /// All of them.
    pub const ALL: [Baseline; 5] =
        [Baseline::Module, Baseline::Random, Baseline::Aimd, Baseline::Throttle, Baseline::Outlier];

    /// Creates an instance of the policy for one front.
    pub fn make(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        if self == Baseline::Module {
            return Box::new(Controller::new(settings, seed));
        }
        let rng = Pcg32::seed_from_u64(seed);
        Box::new(BaselinePolicy {
            kind: self,
            settings,
            rng,
            now: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
        })
    }
}

/// A server and the state that the policies keep about it.
struct ServerState {
    endpoint: Endpoint,
    /// Set-ups in flight.
    in_flight: usize,
    /// Most set-ups in flight at once.
    limit: f64,
    /// Times of the requests within the throttle's window.
    requests: VecDeque<Nanos>,
    /// Times of the accepted requests within the throttle's window.
    accepts: VecDeque<Nanos>,
    /// Failures in a row.
    failures: u32,
    ejections: u32,
    ejected_until_ns: Nanos,
}

/// A call that is not established yet.
struct PendingCall {
    call: Call,
    deadline_ns: Nanos,
    /// Time before which no attempt may be sent.
    not_before_ns: Option<Nanos>,
    attempts: u32,
    /// The server of the last attempt.
    last: Option<ServerId>,
    /// Whether an attempt is in flight.
    in_flight: bool,
}

struct BaselinePolicy {
    kind: Baseline,
    settings: Settings,
    rng: Pcg32,
    now: Nanos,
    servers: BTreeMap<ServerId, ServerState>,
    calls: BTreeMap<CallId, PendingCall>,
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsUpdated(EndpointUpdate::Full(entries)) => {
                self.servers.values_mut().for_each(|s| s.endpoint.availability = Availability::Removed);
                entries.into_iter().for_each(|endpoint| self.update_endpoint(endpoint));
            }
            Event::EndpointsUpdated(EndpointUpdate::Changes(entries)) => {
                entries.into_iter().for_each(|endpoint| self.update_endpoint(endpoint))
            }
            Event::CallArrived(call) => {
                let margin = (2 * self.settings.tick_ns).min(call.budget_ns / 2);
                let deadline_ns = self.now + call.budget_ns - margin;
                let pending = PendingCall {
                    call,
                    deadline_ns,
                    not_before_ns: None,
                    attempts: 0,
                    last: None,
                    in_flight: false,
                };
                self.calls.insert(call.id, pending);
                self.attempt(call.id, actions);
            }
            Event::ClientDisconnected(call) => drop(self.calls.remove(&call)),
            Event::CallEstablished { call, .. } => {
                if let Some(server) = self.calls.remove(&call).and_then(|pending| pending.last) {
                    self.record_outcome(server, true);
                }
            }
            Event::AttemptCompleted { call, server, outcome, is_final, .. } => {
                let pending = self.calls.get_mut(&call).filter(|pending| pending.in_flight);
                let Some(pending) = pending else { return };
                pending.in_flight = false;
                pending.not_before_ns =
                    outcome.needs_release().then_some(self.now + self.settings.release_ns);
                self.record_outcome(server, !is_server_failure(outcome));
                if is_final {
                    self.calls.remove(&call);
                } else {
                    self.attempt(call, actions);
                }
            }
            Event::TimerFired => {
                let is_due = |pending: &PendingCall| {
                    !pending.in_flight && pending.not_before_ns.is_some_and(|at| at <= self.now)
                };
                let due: Vec<CallId> =
                    self.calls.iter().filter(|(_, pending)| is_due(pending)).map(|(id, _)| *id).collect();
                due.into_iter().for_each(|id| self.attempt(id, actions));
            }
            Event::EndpointsUpdated(EndpointUpdate::Failed)
            | Event::PeerReported { .. }
            | Event::ServerLoadReported { .. } => {}
        }
        let idle = self.calls.values().filter(|pending| !pending.in_flight);
        let next = idle.filter_map(|pending| pending.not_before_ns).min();
        actions.extend(next.map(|at| Action::SetTimer(at.max(self.now + 1))));
    }

    fn server_reports(&self) -> Vec<ServerReport> {
        Vec::new()
    }
}

/// Whether these policies count an outcome as a failure of the server.
fn is_server_failure(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Completed | Outcome::LinesBusy)
}

impl BaselinePolicy {
    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let new_server = |endpoint| ServerState {
            endpoint,
            in_flight: 0,
            limit: INITIAL_LIMIT,
            requests: VecDeque::new(),
            accepts: VecDeque::new(),
            failures: 0,
            ejections: 0,
            ejected_until_ns: 0,
        };
        let server = self.servers.entry(endpoint.server).or_insert_with(|| new_server(endpoint));
        server.endpoint = endpoint;
    }

    /// A random number from 0 to 1, uniformly distributed.
    fn uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Weight of a server in the random choice.
    fn weight(&self, server: &ServerState) -> f64 {
        match self.kind {
            Baseline::Aimd => f64::from(u8::from((server.in_flight as f64) < server.limit)),
            Baseline::Outlier if self.now < server.ejected_until_ns => 0.0,
            Baseline::Outlier if server.ejections > 0 => {
                let share = (self.now - server.ejected_until_ns) as f64 / SLOW_START_NS as f64;
                share.clamp(SLOW_START_SHARE, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Sends an attempt for a call to a random server, or rejects the call.
    fn attempt(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(pending) = self.calls.get(&id) else { return };
        let (call, last, attempts) = (pending.call, pending.last, pending.attempts);
        let remaining_ns = pending.deadline_ns.saturating_sub(self.now);
        if pending.not_before_ns.is_some_and(|at| at > self.now) {
            // The call waits for its release, unless no attempt is left: then it is rejected at once.
            if attempts >= self.max_attempts() {
                self.reject(id, actions);
            }
            return;
        }
        let pools = &self.settings.classes[call.class].pools;
        let is_candidate = |s: &ServerState| {
            s.endpoint.availability == Availability::Ready
                && (pools.is_empty() || pools.contains(&s.endpoint.number))
                && Some(s.endpoint.server) != last
        };
        let candidates: Vec<(ServerId, f64)> = self
            .servers
            .values()
            .filter(|s| is_candidate(s))
            .map(|s| (s.endpoint.server, self.weight(s)))
            .collect();
        let total: f64 = candidates.iter().map(|(_, weight)| weight).sum();
        if remaining_ns == 0 || attempts >= self.max_attempts() || total <= 0.0 {
            return self.reject(id, actions);
        }
        let mut point = self.uniform() * total;
        let chosen = candidates.iter().find(|(_, weight)| {
            point -= weight;
            point < 0.0
        });
        let Some(server) = chosen.or(candidates.last()).map(|(server, _)| *server) else { return };
        if self.kind == Baseline::Throttle && self.is_throttled(server) {
            return self.reject(id, actions);
        }
        let resend_interval_ns =
            if self.settings.resend_interval_ns > 0 { self.settings.resend_interval_ns } else { S / 2 };
        let timeout_ns = remaining_ns.min(TIMEOUT_RESEND_INTERVALS * resend_interval_ns);
        if let Some(pending) = self.calls.get_mut(&id) {
            (pending.in_flight, pending.last, pending.attempts) = (true, Some(server), attempts + 1);
        }
        self.servers.entry(server).and_modify(|s| s.in_flight += 1);
        actions.push(Action::ForwardSetup { call: id, server, timeout_ns });
    }

    /// Most attempts for a call: all these policies retry once.
    fn max_attempts(&self) -> u32 {
        self.settings.max_attempts.min(2)
    }

    fn is_throttled(&mut self, server: ServerId) -> bool {
        let uniform = self.uniform();
        let Some(server) = self.servers.get_mut(&server) else { return false };
        for times in [&mut server.requests, &mut server.accepts] {
            while times.front().is_some_and(|at| at + THROTTLE_WINDOW_NS < self.now) {
                times.pop_front();
            }
        }
        let (requests, accepts) = (server.requests.len() as f64, server.accepts.len() as f64);
        server.requests.push_back(self.now);
        uniform < (requests - 2.0 * accepts) / (requests + 1.0)
    }

    fn reject(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.calls.remove(&id);
        let retry_after_ns = Some((S / 2).min(self.settings.max_retry_after_ns)).filter(|w| *w > 0);
        actions.push(Action::Reject { call: id, retry_after_ns });
    }

    /// Updates a server's state after an attempt has ended.
    fn record_outcome(&mut self, server: ServerId, succeeded: bool) {
        let ejected = self.servers.values().filter(|s| self.now < s.ejected_until_ns).count();
        let may_eject = (ejected + 1) * 2 <= self.servers.len();
        let Some(server) = self.servers.get_mut(&server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if succeeded {
            server.accepts.push_back(self.now);
            server.limit += 1.0 / server.limit;
            server.failures = 0;
            return;
        }
        server.limit = (server.limit * LIMIT_DECREASE).max(1.0);
        server.failures += 1;
        if server.failures >= FAILURES_TO_EJECT && may_eject && self.now >= server.ejected_until_ns {
            server.ejections += 1;
            server.failures = 0;
            server.ejected_until_ns = self.now + EJECTION_NS * u64::from(server.ejections);
        }
    }
}
