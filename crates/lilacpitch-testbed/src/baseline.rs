//! Policies that others use, behind the same front and the same judge, to set the module beside.
//!
//! All keep the rules that a front keeps by itself: one attempt at a time, drains, the release, the caller's time.
//! None of them knows of cold servers, but where its source does. Their figures are those of the sources.

use lilacpitch::interface::*;
use lilacpitch::{Controller, Policy};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

const S: Nanos = 1_000_000_000;
/// An attempt without an answer is given up after so many resend gaps.
const GAPS: u64 = 3;

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// The project's own module.
    Module,
    /// A random server, and one more try at another.
    Random,
    /// A limit of set-ups out per server, up by one for a window's worth that stood, down to 0.9 of it on a refusal
    /// or time-out: additive increase, multiplicative decrease (Chiu and Jain 1989).
    Aimd,
    /// Each server's calls are dropped here with probability (requests - 2 accepts) / (requests + 1) over two
    /// minutes: client throttling ("Site Reliability Engineering", chapter 21).
    Throttle,
    /// Five failures in a row eject a server for 30 s times the ejections so far, half of the servers at most; after
    /// it, its share grows from a tenth to all in 30 s: outlier ejection and slow start, as proxies have them (Envoy,
    /// "Outlier detection" and "Slow start mode").
    Outlier,
}

impl Baseline {
    /// All of them.
    pub const ALL: [Baseline; 5] =
        [Baseline::Module, Baseline::Random, Baseline::Aimd, Baseline::Throttle, Baseline::Outlier];

    /// A front's own instance of it.
    pub fn make(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        if self == Baseline::Module {
            return Box::new(Controller::new(settings, seed));
        }
        let rng = Pcg32::seed_from_u64(seed);
        Box::new(Front {
            kind: self,
            settings,
            rng,
            now: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
        })
    }
}

struct Server {
    entry: Endpoint,
    out: usize,
    /// Set-ups that may be out at once.
    limit: f64,
    /// When set-ups were asked for and accepted, within two minutes.
    requests: VecDeque<Nanos>,
    accepts: VecDeque<Nanos>,
    failures: u32,
    ejections: u32,
    ejected_until_ns: Nanos,
}

struct Call {
    call: Asked,
    deadline_ns: Nanos,
    not_before_ns: Option<Nanos>,
    attempts: u32,
    last: Option<ServerId>,
    out: bool,
}

type Asked = lilacpitch::interface::Call;

struct Front {
    kind: Baseline,
    settings: Settings,
    rng: Pcg32,
    now: Nanos,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
}

impl Policy for Front {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsUpdated(EndpointUpdate::Full(entries)) => {
                self.servers.values_mut().for_each(|s| s.entry.availability = Availability::Removed);
                entries.into_iter().for_each(|entry| self.listed(entry));
            }
            Event::EndpointsUpdated(EndpointUpdate::Changes(entries)) => {
                entries.into_iter().for_each(|entry| self.listed(entry))
            }
            Event::CallArrived(call) => {
                let margin = (2 * self.settings.tick_ns).min(call.budget_ns / 2);
                let deadline_ns = self.now + call.budget_ns - margin;
                let row =
                    Call { call, deadline_ns, not_before_ns: None, attempts: 0, last: None, out: false };
                self.calls.insert(call.id, row);
                self.place(call.id, actions);
            }
            Event::ClientDisconnected(call) => drop(self.calls.remove(&call)),
            Event::CallEstablished { call, .. } => {
                if let Some(server) = self.calls.remove(&call).and_then(|row| row.last) {
                    self.ended(server, true);
                }
            }
            Event::AttemptCompleted { call, server, outcome, is_final, .. } => {
                let Some(row) = self.calls.get_mut(&call).filter(|row| row.out) else { return };
                row.out = false;
                row.not_before_ns = outcome.needs_release().then_some(self.now + self.settings.release_ns);
                self.ended(server, !failed(outcome));
                if is_final {
                    self.calls.remove(&call);
                } else {
                    self.place(call, actions);
                }
            }
            Event::TimerFired => {
                let due = |row: &Call| !row.out && row.not_before_ns.is_some_and(|at| at <= self.now);
                let due: Vec<CallId> = self.calls.iter().filter(|(_, r)| due(r)).map(|(id, _)| *id).collect();
                due.into_iter().for_each(|id| self.place(id, actions));
            }
            Event::EndpointsUpdated(EndpointUpdate::Failed)
            | Event::PeerReported { .. }
            | Event::ServerLoadReported { .. } => {}
        }
        let next = self.calls.values().filter(|row| !row.out).filter_map(|row| row.not_before_ns).min();
        actions.extend(next.map(|at| Action::SetTimer(at.max(self.now + 1))));
    }

    fn server_reports(&self) -> Vec<ServerReport> {
        Vec::new()
    }
}

/// What these policies take for a failure of the server.
fn failed(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Completed | Outcome::LinesBusy)
}

impl Front {
    fn listed(&mut self, entry: Endpoint) {
        let new = |entry| Server {
            entry,
            out: 0,
            limit: 10.0,
            requests: VecDeque::new(),
            accepts: VecDeque::new(),
            failures: 0,
            ejections: 0,
            ejected_until_ns: 0,
        };
        self.servers.entry(entry.server).or_insert_with(|| new(entry)).entry = entry;
    }

    fn drawn(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// How likely a server is to be drawn among the others.
    fn weight(&self, server: &Server) -> f64 {
        match self.kind {
            Baseline::Aimd => f64::from(u8::from((server.out as f64) < server.limit)),
            Baseline::Outlier if self.now < server.ejected_until_ns => 0.0,
            Baseline::Outlier if server.ejections > 0 => {
                let back = (self.now - server.ejected_until_ns) as f64 / (30 * S) as f64;
                back.clamp(0.1, 1.0)
            }
            _ => 1.0,
        }
    }

    fn place(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(row) = self.calls.get(&id) else { return };
        let (call, last, attempts, left) =
            (row.call, row.last, row.attempts, row.deadline_ns.saturating_sub(self.now));
        if row.not_before_ns.is_some_and(|at| at > self.now) {
            // Still released, and answered at once where no further try is left.
            if attempts >= self.tries() {
                self.refuse(id, actions);
            }
            return;
        }
        let pools = &self.settings.classes[call.class].pools;
        let fits = |s: &Server| {
            s.entry.availability == Availability::Ready
                && (pools.is_empty() || pools.contains(&s.entry.number))
                && Some(s.entry.server) != last
        };
        let open: Vec<(ServerId, f64)> =
            self.servers.values().filter(|s| fits(s)).map(|s| (s.entry.server, self.weight(s))).collect();
        let total: f64 = open.iter().map(|(_, weight)| weight).sum();
        if left == 0 || attempts >= self.tries() || total <= 0.0 {
            return self.refuse(id, actions);
        }
        let mut point = self.drawn() * total;
        let chosen = open.iter().find(|(_, weight)| {
            point -= weight;
            point < 0.0
        });
        let Some(server) = chosen.or(open.last()).map(|(server, _)| *server) else { return };
        if self.kind == Baseline::Throttle && self.throttled(server) {
            return self.refuse(id, actions);
        }
        let gap_ns =
            if self.settings.resend_interval_ns > 0 { self.settings.resend_interval_ns } else { S / 2 };
        let timeout_ns = left.min(GAPS * gap_ns);
        if let Some(row) = self.calls.get_mut(&id) {
            (row.out, row.last, row.attempts) = (true, Some(server), attempts + 1);
        }
        self.servers.entry(server).and_modify(|s| s.out += 1);
        actions.push(Action::ForwardSetup { call: id, server, timeout_ns });
    }

    /// One more try, as all of these have it.
    fn tries(&self) -> u32 {
        self.settings.max_attempts.min(2)
    }

    fn throttled(&mut self, server: ServerId) -> bool {
        let drawn = self.drawn();
        let Some(row) = self.servers.get_mut(&server) else { return false };
        for times in [&mut row.requests, &mut row.accepts] {
            while times.front().is_some_and(|at| at + 120 * S < self.now) {
                times.pop_front();
            }
        }
        let (requests, accepts) = (row.requests.len() as f64, row.accepts.len() as f64);
        row.requests.push_back(self.now);
        drawn < (requests - 2.0 * accepts) / (requests + 1.0)
    }

    fn refuse(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.calls.remove(&id);
        let retry_after_ns = Some((S / 2).min(self.settings.max_retry_after_ns)).filter(|w| *w > 0);
        actions.push(Action::Reject { call: id, retry_after_ns });
    }

    /// What an attempt's end does to the server's standing.
    fn ended(&mut self, server: ServerId, well: bool) {
        let ejected = self.servers.values().filter(|s| self.now < s.ejected_until_ns).count();
        let room = (ejected + 1) * 2 <= self.servers.len();
        let Some(row) = self.servers.get_mut(&server) else { return };
        row.out = row.out.saturating_sub(1);
        if well {
            row.accepts.push_back(self.now);
            row.limit += 1.0 / row.limit;
            row.failures = 0;
            return;
        }
        row.limit = (row.limit * 0.9).max(1.0);
        row.failures += 1;
        if row.failures >= 5 && room && self.now >= row.ejected_until_ns {
            row.ejections += 1;
            row.failures = 0;
            row.ejected_until_ns = self.now + 30 * S * u64::from(row.ejections);
        }
    }
}
