//! The state of the controller: its servers and calls. Types and their bookkeeping, which decide nothing.

use super::{Count, MAX_PEER_REPORTS, NEUTRAL_WEIGHT};
use crate::interface::*;
use crate::latency_deviation::LatencyDeviation;
use crate::peer_reports::PeerReports;
use crate::pending_queue::PendingQueue;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// A set-up in flight: without a response so far.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub(super) call: CallId,
    pub(super) sent_ns: Nanos,
    /// When its network delay was over and it began to wait.
    pub(super) waiting_since_ns: Nanos,
    /// A later set-up was answered first: this one is probably lost.
    pub(super) is_overtaken: bool,
}

/// The ejection of a server, until a probe succeeds.
#[derive(Clone, Copy)]
pub(super) struct Ejection {
    pub(super) next_probe_ns: Nanos,
    pub(super) rest_ns: Nanos,
    pub(super) probes: u32,
    /// Based on peer reports alone.
    pub(super) is_by_peers_only: bool,
    /// The rest as a multiple of the normal interval, drawn at the ejection.
    pub(super) rest_fraction: f64,
}

impl InFlightAttempt {
    /// Leaves a duration out of its age.
    pub(super) fn shift(&mut self, duration_ns: Nanos) {
        self.sent_ns += duration_ns;
        self.waiting_since_ns += duration_ns;
    }
}

/// The decisions of one front. Same settings, seed and events give the same actions.
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) rng: Pcg32,
    pub(super) now: Nanos,
    pub(super) started_ns: Option<Nanos>,
    pub(super) period: u64,
    pub(super) servers: BTreeMap<ServerId, Server>,
    pub(super) calls: BTreeMap<CallId, CallState>,
    /// Queued and releasing calls, by when their waiting ends; established calls cost no event anything.
    pub(super) pending: PendingQueue<EquivalenceKey>,
    pub(super) peer_reports: PeerReports<MAX_PEER_REPORTS>,
    /// Dialled numbers that were rejected, and when they were first tried.
    pub(super) unserved_numbers: BTreeMap<u64, Nanos>,
    /// Numbers whose lines were all busy, and until when they pause.
    pub(super) busy_numbers: BTreeMap<u64, Nanos>,
    pub(super) top_priority: f64,
    pub(super) resend_ns: Nanos,
    pub(super) timer_ns: Option<Nanos>,
    pub(super) stall_ns: Nanos,
    pub(super) subscribe_ns: Option<Nanos>,
}

/// What is known of one server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    pub(super) offered: Count,
    pub(super) sent: Count,
    pub(super) succeeded: Count,
    /// Successes and the seconds they took, both exponentially weighted: this front's normal rate there.
    pub(super) normal_rate: (f64, f64),
    pub(super) ceiling_per_s: Option<f64>,
    /// The ceiling before the last symptom.
    pub(super) ceiling_before: Option<f64>,
    pub(super) last_symptom_ns: Nanos,
    /// Exponentially weighted share of symptoms among completed set-ups.
    pub(super) symptom_ratio: f64,
    /// When a set-up was last late there.
    pub(super) last_late_ns: Nanos,
    /// The last symptom was that its lines ran out, by its own report.
    pub(super) lines_exhausted: bool,
    pub(super) ignore_until_ns: Nanos,
    pub(super) cut: f64,
    pub(super) backoff_until_ns: Nanos,
    /// When this front may join its queue, after peers reported that it became short.
    pub(super) join_at_ns: Nanos,
    pub(super) in_flight: Vec<InFlightAttempt>,
    pub(super) last_delay_ns: Nanos,
    /// Exponentially weighted share of successes, against first attempts with a fault; 0 at first.
    pub(super) success_ratio: f64,
    /// Delays of successful set-ups.
    pub(super) delays: LatencyDeviation,
    /// The shortest delay of a success: taken for the network delay.
    pub(super) shortest_ns: Option<Nanos>,
    /// The wait reported by peers.
    pub(super) peer_wait_ns: Option<Nanos>,
    /// Set-ups in flight reported by peers.
    pub(super) peer_in_flight: usize,
    /// Successes a second of all fronts, reported by peers, where own set-ups are few.
    pub(super) peer_success_per_s: Option<f64>,
    pub(super) last_response_ns: Nanos,
    pub(super) last_sent_ns: Nanos,
    /// The part of one set-up that is due there in slow start.
    pub(super) credit: f64,
    pub(super) ejection: Option<Ejection>,
    pub(super) warming_up_since_ns: Option<Nanos>,
    pub(super) free_capacity: Option<f64>,
    pub(super) free_as_of_ns: Nanos,
}

/// Where a call is in its life.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPhase {
    Queued,
    InFlight,
    Releasing,
    Established,
}

/// One call's state, against which the rules are checked.
pub(super) struct CallState {
    pub(super) call: Call,
    pub(super) phase: CallPhase,
    pub(super) arrived_ns: Nanos,
    pub(super) first_try_ns: Nanos,
    pub(super) deadline_ns: Nanos,
    pub(super) not_before_ns: Nanos,
    pub(super) attempts: u32,
    pub(super) server: ServerId,
    pub(super) is_cancelling: bool,
    /// How likely a valid call would have met the same faults.
    pub(super) fault_likelihood: f64,
    /// The first attempt that may have run: its server's zone and number, and when it was sent.
    pub(super) may_have_run: Option<(u32, u32, Nanos)>,
}

impl CallState {
    /// A call that just arrived.
    pub(super) fn new(call: Call, arrived_ns: Nanos, deadline_ns: Nanos) -> Self {
        CallState {
            call,
            phase: CallPhase::Queued,
            arrived_ns,
            first_try_ns: arrived_ns,
            deadline_ns,
            not_before_ns: arrived_ns,
            attempts: 0,
            server: 0,
            is_cancelling: false,
            fault_likelihood: 1.0,
            may_have_run: None,
        }
    }
}

/// What server selection goes by in a call: class, first choice, circuits, flags, the attempt that may have
/// run, and where the last one failed.
pub(super) type EquivalenceKey = (usize, u32, u64, [bool; 3], Option<(u32, u32, Nanos)>, Option<ServerId>);

impl Server {
    /// A server of which nothing is known but its place in the endpoint list.
    pub(super) fn new(endpoint: Endpoint, now: Nanos) -> Self {
        let warming_up_since_ns = (endpoint.up_since_ns > 0).then_some(endpoint.up_since_ns);
        Server { endpoint, warming_up_since_ns, last_response_ns: now, ..Server::default() }
    }

    /// Adds a set-up in flight, which begins to wait after the network delay.
    pub(super) fn start_attempt(&mut self, call: CallId, sent_ns: Nanos, network_delay_ns: Nanos) {
        let waiting_since_ns = sent_ns + network_delay_ns;
        self.in_flight.push(InFlightAttempt { call, sent_ns, waiting_since_ns, is_overtaken: false });
    }

    /// Removes a set-up in flight.
    pub(super) fn finish_attempt(&mut self, call: CallId) -> Option<InFlightAttempt> {
        self.in_flight.iter().position(|attempt| attempt.call == call).map(|at| self.in_flight.remove(at))
    }

    /// Records a fault; returns the share of faults before it. Only first attempts count, one in `over`.
    pub(super) fn note_fault(&mut self, first: bool, over: f64) -> f64 {
        let fault_ratio = 1.0 - self.success_ratio;
        self.success_ratio -= if first { self.success_ratio / over } else { 0.0 };
        fault_ratio
    }

    /// Normal rate of successes, a second.
    pub(super) fn success_per_s(&self) -> f64 {
        self.normal_rate.0 / self.normal_rate.1.max(1.0)
    }

    /// The network delay; 0 if unknown, since the shortest of few delays includes waiting.
    pub(super) fn network_delay_ns(&self, period: u64) -> Nanos {
        self.shortest_ns.filter(|_| !self.succeeded.is_sparse(period)).unwrap_or(0)
    }

    pub(super) fn is_in_service(&self) -> bool {
        self.endpoint.availability == Availability::Ready
    }

    /// When the oldest set-up in flight began to wait, maybe in the future.
    pub(super) fn oldest_since_ns(&self) -> Option<Nanos> {
        self.in_flight.iter().find(|o| !o.is_overtaken).map(|o| o.waiting_since_ns)
    }
}

impl Controller {
    /// A controller without servers or calls.
    pub(super) fn empty(settings: Settings, seed: u64, resend_ns: Nanos, top_priority: f64) -> Self {
        Controller {
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            started_ns: None,
            period: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            pending: PendingQueue::default(),
            peer_reports: PeerReports::default(),
            unserved_numbers: BTreeMap::new(),
            busy_numbers: BTreeMap::new(),
            top_priority,
            resend_ns,
            timer_ns: None,
            stall_ns: 0,
            subscribe_ns: None,
            settings,
        }
    }

    /// A random number from 0, below 1.
    pub(super) fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// The rate of a count a second, with `more` set-ups as if they came now.
    pub(super) fn per_s(&self, count: &Count, more: f64) -> f64 {
        count.per_s(self.period, self.window_s(), more)
    }

    /// Changes the record of a server, if there is one.
    pub(super) fn update_server(&mut self, id: ServerId, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(&id) {
            change(server);
        }
    }

    /// The settings of a call's class.
    pub(super) fn class(&self, record: &CallState) -> &Class {
        &self.settings.classes[record.call.class]
    }

    /// Keeps what a server reports of its load.
    pub(super) fn record_load_report(&mut self, id: ServerId, report: LoadReport) {
        let now = self.now;
        self.update_server(id, |s| (s.free_capacity, s.free_as_of_ns) = (report.free_capacity, now));
    }

    /// Keeps a call's entry in the pending queue in step with its phase.
    pub(super) fn update_pending(&mut self, id: CallId) {
        let Some(record) = self.calls.get(&id) else { return };
        let entry = match record.phase {
            CallPhase::Releasing => Some((record.not_before_ns, None)),
            CallPhase::Queued => {
                Some((self.patience_ns(record), Some((self.equivalence_key(record), record.arrived_ns))))
            }
            CallPhase::InFlight | CallPhase::Established => None,
        };
        self.pending.set(id, entry);
    }

    /// Whether exactly the queued and releasing calls are pending: an invariant.
    pub(super) fn is_pending_in_step(&self) -> bool {
        let waits = |phase| matches!(phase, CallPhase::Queued | CallPhase::Releasing);
        self.calls.iter().all(|(id, record)| waits(record.phase) == self.pending.entry(*id).is_some())
    }

    /// The median of what peers report of a server now, if enough of them do.
    pub(super) fn peer_median(
        &self,
        id: ServerId,
        half_life_ns: Nanos,
        value: &dyn Fn(&ServerReport) -> f64,
    ) -> Option<f64> {
        self.peer_reports.weighted_median(id, self.now, half_life_ns, NEUTRAL_WEIGHT, value)
    }

    /// Removes a call, from the pending queue as well.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<CallState> {
        self.pending.set(id, None);
        self.calls.remove(&id)
    }

    /// All that server selection depends on in a queued call.
    pub(super) fn equivalence_key(&self, record: &CallState) -> EquivalenceKey {
        let (call, may_have_run, failed) =
            (record.call, record.may_have_run, (record.attempts > 0).then_some(record.server));
        let flags = [call.retry_after_cut, call.in_transit, self.is_late(record)];
        (call.class, call.first_choice, call.circuits.to_bits(), flags, may_have_run, failed)
    }

    /// Number of entries by name: for tests that nothing grows without bound.
    #[doc(hidden)]
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("module's servers", self.servers.len()),
            ("module's calls", self.calls.len()),
            ("module's unserved numbers", self.unserved_numbers.len()),
            ("module's busy numbers", self.busy_numbers.len()),
            ("module's unanswered", self.servers.values().map(|s| s.in_flight.len()).sum()),
        ]
    }
}

/// A fraction or multiple of a duration.
pub(super) fn scaled(span: Nanos, of: f64) -> Nanos {
    (span as f64 * of) as Nanos
}
