//! The controller's state: servers, calls and their bookkeeping. Nothing here makes a decision.

use super::{
    Count, MAX_DECAY_PERIODS, MAX_PEER_REPORTS_PER_SERVER, NEUTRAL_REPORT_WEIGHT, NORMAL_RATE_RETENTION,
    PERIOD_NS,
};
use crate::interface::*;
use crate::latency_deviation::LatencyDeviation;
use crate::peer_reports::PeerReports;
use crate::pending_queue::{Membership, PendingEntry, PendingQueue};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// A set-up that was sent and has no response yet.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    /// The call it belongs to.
    pub(super) call: CallId,
    /// When it was sent.
    pub(super) sent_ns: Nanos,
    /// When it reached the server, by the estimated network delay, and began to wait there.
    pub(super) waiting_since_ns: Nanos,
    /// Whether a set-up that was sent later was answered first, so that this one is probably lost.
    pub(super) is_overtaken: bool,
}

/// The ejection of a server, which lasts until a probe succeeds.
#[derive(Clone, Copy)]
pub(super) struct Ejection {
    /// When the next probe may be sent.
    pub(super) next_probe_ns: Nanos,
    /// Interval before the first probe and between the first two; it doubles with each further one, at most
    /// [`MAX_PROBE_DOUBLINGS`](super::MAX_PROBE_DOUBLINGS) times.
    pub(super) probe_interval_ns: Nanos,
    /// Number of probes sent.
    pub(super) probes: u32,
    /// Whether the ejection is based on peer reports alone.
    pub(super) is_by_peers_only: bool,
    /// `probe_interval_ns` as a multiple of the normal interval between set-ups; drawn at the ejection.
    pub(super) interval_fraction: f64,
}

impl InFlightAttempt {
    /// Excludes a duration, in which this front was stalled, from the set-up's age.
    pub(super) fn shift(&mut self, duration_ns: Nanos) {
        self.sent_ns += duration_ns;
        self.waiting_since_ns += duration_ns;
    }
}

/// Makes the decisions of one front. The same settings, seed and events give the same actions.
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) rng: Pcg32,
    /// The latest time passed in by the front.
    pub(super) now: Nanos,
    /// The time of the first event.
    pub(super) started_ns: Option<Nanos>,
    /// The current counting period, numbered from the origin of the clock.
    pub(super) period: u64,
    pub(super) servers: BTreeMap<ServerId, Server>,
    pub(super) calls: BTreeMap<CallId, CallState>,
    /// Queued and releasing calls by when that phase ends. Events examine only these calls, so that
    /// established calls cost nothing.
    pub(super) pending: PendingQueue<EquivalenceKey>,
    pub(super) peer_reports: PeerReports<MAX_PEER_REPORTS_PER_SERVER>,
    /// Dialled numbers whose calls were not served, with the time of the client's first try.
    pub(super) unserved_numbers: BTreeMap<u64, Nanos>,
    /// Dialled numbers whose lines were all busy, with the end of their pause.
    pub(super) busy_numbers: BTreeMap<u64, Nanos>,
    /// The highest priority weight of all classes.
    pub(super) top_priority: f64,
    /// The resend interval of the network, or its substitute where nothing is resent.
    pub(super) resend_ns: Nanos,
    /// When the timer fires that is set at present.
    pub(super) timer_at_ns: Option<Nanos>,
    /// The longest recent stall of this front, which decays.
    pub(super) longest_stall_ns: Nanos,
    /// When to subscribe to the endpoint list again after a failure.
    pub(super) resubscribe_at_ns: Option<Nanos>,
}

/// A rate of successes as the ratio of two exponentially weighted averages.
#[derive(Clone, Copy, Default)]
pub(super) struct NormalRate {
    /// Weighted number of successes.
    pub(super) successes: f64,
    /// Weighted time in which they occurred; 0 if the rate is unknown.
    pub(super) seconds: f64,
}

impl NormalRate {
    /// Advances the averages by a number of periods without successes.
    pub(super) fn advance(&mut self, periods: u64) {
        let retained = NORMAL_RATE_RETENTION.powi(periods.min(MAX_DECAY_PERIODS) as i32);
        let duration_s = periods as f64 * PERIOD_NS as f64 / 1e9;
        self.successes *= retained;
        self.seconds = self.seconds * retained + duration_s;
    }

    /// The rate, in successes a second.
    pub(super) fn per_s(&self) -> f64 {
        self.successes / self.seconds.max(1.0)
    }
}

/// The state of one server, as far as this front knows it.
#[derive(Default)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// Calls that arrived with this server as their first choice.
    pub(super) offered: Count,
    /// Set-ups sent to the server.
    pub(super) sent: Count,
    /// Set-ups that succeeded there.
    pub(super) succeeded: Count,
    /// This front's normal rate there.
    pub(super) normal_rate: NormalRate,
    /// The ceiling set by symptoms of overload, in set-ups a second; `None` if there is none.
    pub(super) ceiling_per_s: Option<f64>,
    /// The ceiling before the last symptom.
    pub(super) ceiling_before_symptom_per_s: Option<f64>,
    /// When the last symptom of overload was observed.
    pub(super) last_symptom_ns: Nanos,
    /// Exponentially weighted share of symptoms among symptoms and successes.
    pub(super) symptom_ratio: f64,
    /// When a set-up was last late there.
    pub(super) last_late_ns: Nanos,
    /// Whether the last symptom was that the server, by its own report, ran out of lines.
    pub(super) lines_exhausted: bool,
    /// Until when symptoms no more severe than the last one leave the ceiling as it is.
    pub(super) symptoms_ignored_until_ns: Nanos,
    /// The decrease factor of the last symptom that was not ignored.
    pub(super) decrease_factor: f64,
    /// Until when no set-up is sent to the server.
    pub(super) backoff_until_ns: Nanos,
    /// When this front may use the server again after peers reported that its queue became short.
    pub(super) queue_join_at_ns: Nanos,
    /// Set-ups without a response, in the order in which they were sent.
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Delay of the last response, without the network delay.
    pub(super) last_delay_ns: Nanos,
    /// Exponentially weighted share of successes among successes and faulted first attempts; 0 at first.
    pub(super) success_ratio: f64,
    /// Delays of successful set-ups.
    pub(super) delays: LatencyDeviation,
    /// The shortest delay of a successful set-up, which is taken as the network delay.
    pub(super) shortest_delay_ns: Option<Nanos>,
    /// The wait that peers report.
    pub(super) peer_wait_ns: Option<Nanos>,
    /// The number of set-ups in flight that peers report.
    pub(super) peer_in_flight: usize,
    /// Successes a second of all fronts, from peer reports; known only where this front sends few set-ups.
    pub(super) peer_success_per_s: Option<f64>,
    /// When the server last responded.
    pub(super) last_response_ns: Nanos,
    /// When a set-up was last sent to the server.
    pub(super) last_sent_ns: Nanos,
    /// Accrued share of the next set-up in slow start; at 1 it may be sent.
    pub(super) slow_start_credit: f64,
    /// The server's ejection, if it is ejected.
    pub(super) ejection: Option<Ejection>,
    /// When the server started, if that is recent enough for slow start.
    pub(super) warming_up_since_ns: Option<Nanos>,
    /// Free circuits or agents, from the server's last load report.
    pub(super) free_capacity: Option<f64>,
    /// When that load report arrived.
    pub(super) free_capacity_as_of_ns: Nanos,
}

/// The phase that a call is in.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPhase {
    /// Waits for a server.
    Queued,
    /// An attempt was sent and has not completed.
    InFlight,
    /// Waits until the last attempt is released.
    Releasing,
    /// A server established the call.
    Established,
}

/// The state of one call.
pub(super) struct CallState {
    pub(super) call: Call,
    pub(super) phase: CallPhase,
    pub(super) arrived_ns: Nanos,
    /// When the client first tried; before `arrived_ns` if it has redialled.
    pub(super) first_try_ns: Nanos,
    /// When the client stops waiting for an answer.
    pub(super) deadline_ns: Nanos,
    /// When the last attempt is released, so that the next may be sent.
    pub(super) not_before_ns: Nanos,
    /// Number of attempts sent.
    pub(super) attempts: u32,
    /// The server of the last attempt; meaningful once there is one.
    pub(super) server: ServerId,
    /// Whether the cancellation of the attempt in flight was requested.
    pub(super) is_cancelling: bool,
    /// The likelihood that a valid call would have met the same faults.
    pub(super) fault_likelihood: f64,
    /// The first attempt that may have taken effect.
    pub(super) may_have_run: Option<PossibleRun>,
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PossibleRun {
    /// The zone of its server.
    pub(super) zone: u32,
    /// The number of its server.
    pub(super) number: u32,
    /// When the call arrived, which is no later than the attempt. The retention of its key counts from here.
    pub(super) call_arrived_ns: Nanos,
}

impl CallState {
    /// Creates the state of a call that has just arrived.
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

/// The properties of a call that server selection depends on. Calls with equal keys are equivalent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EquivalenceKey {
    class: usize,
    first_choice: u32,
    /// The bits of the number of circuits, which is not `Ord` itself.
    circuits_bits: u64,
    retry_after_cut: bool,
    in_transit: bool,
    is_late: bool,
    may_have_run: Option<PossibleRun>,
    /// The server of the last attempt, which failed.
    failed_server: Option<ServerId>,
}

impl Server {
    /// Creates the state of a server of which only its endpoint is known.
    pub(super) fn new(endpoint: Endpoint, now: Nanos) -> Self {
        let warming_up_since_ns = (endpoint.up_since_ns > 0).then_some(endpoint.up_since_ns);
        Server { endpoint, warming_up_since_ns, last_response_ns: now, ..Server::default() }
    }

    /// Adds a set-up that is now in flight; it begins to wait after the network delay.
    pub(super) fn start_attempt(&mut self, call: CallId, sent_ns: Nanos, network_delay_ns: Nanos) {
        let waiting_since_ns = sent_ns + network_delay_ns;
        self.in_flight.push(InFlightAttempt { call, sent_ns, waiting_since_ns, is_overtaken: false });
    }

    /// Removes the set-up of a call from those in flight.
    pub(super) fn finish_attempt(&mut self, call: CallId) -> Option<InFlightAttempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.call == call)?;
        Some(self.in_flight.remove(index))
    }

    /// Records a fault and returns the ratio of faults before it. Only first attempts change the ratio, which
    /// is averaged over `samples` set-ups.
    pub(super) fn record_fault(&mut self, is_first_attempt: bool, samples: f64) -> f64 {
        let fault_ratio = 1.0 - self.success_ratio;
        if is_first_attempt {
            self.success_ratio -= self.success_ratio / samples;
        }
        fault_ratio
    }

    /// The network delay; 0 where few set-ups succeeded, as the shortest of few delays may include waiting.
    pub(super) fn network_delay_ns(&self, period: u64) -> Nanos {
        self.shortest_delay_ns.filter(|_| !self.succeeded.is_sparse(period)).unwrap_or(0)
    }

    /// Whether the endpoint list allows set-ups to the server.
    pub(super) fn is_in_service(&self) -> bool {
        self.endpoint.availability == Availability::Ready
    }

    /// When the oldest set-up in flight that was not overtaken begins to wait; may be in the future.
    pub(super) fn oldest_waiting_since_ns(&self) -> Option<Nanos> {
        let oldest = self.in_flight.iter().find(|attempt| !attempt.is_overtaken);
        oldest.map(|attempt| attempt.waiting_since_ns)
    }
}

impl Controller {
    /// Creates a controller without servers or calls.
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
            timer_at_ns: None,
            longest_stall_ns: 0,
            resubscribe_at_ns: None,
            settings,
        }
    }

    /// Draws a random number in `0.0..1.0`.
    pub(super) fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// The rate of a count a second, with `additional` set-ups counted as if they came now.
    pub(super) fn per_s(&self, count: &Count, additional: f64) -> f64 {
        count.per_s(self.period, self.window_s(), additional)
    }

    /// Applies `change` to the state of a server, if the server is known.
    pub(super) fn update_server(&mut self, id: ServerId, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.servers.get_mut(&id) {
            change(server);
        }
    }

    /// The settings of a call's class.
    pub(super) fn class(&self, record: &CallState) -> &Class {
        &self.settings.classes[record.call.class]
    }

    /// Records a server's load report.
    pub(super) fn record_load_report(&mut self, id: ServerId, report: LoadReport) {
        let now = self.now;
        self.update_server(id, |server| {
            server.free_capacity = report.free_capacity;
            server.free_capacity_as_of_ns = now;
        });
    }

    /// Updates a call's entry in the pending queue after its phase changed.
    pub(super) fn update_pending(&mut self, id: CallId) {
        let Some(record) = self.calls.get(&id) else { return };
        let entry = match record.phase {
            CallPhase::Releasing => Some(PendingEntry { deadline_ns: record.not_before_ns, group: None }),
            CallPhase::Queued => {
                let group = Membership { key: self.equivalence_key(record), since_ns: record.arrived_ns };
                Some(PendingEntry { deadline_ns: self.queue_deadline_ns(record), group: Some(group) })
            }
            CallPhase::InFlight | CallPhase::Established => None,
        };
        self.pending.set(id, entry);
    }

    /// The invariant that exactly the queued and releasing calls are in the pending queue.
    pub(super) fn pending_matches_phases(&self) -> bool {
        let is_pending = |phase| matches!(phase, CallPhase::Queued | CallPhase::Releasing);
        self.calls.iter().all(|(id, record)| is_pending(record.phase) == self.pending.entry(*id).is_some())
    }

    /// The weighted median of `value` over peers' reports of a server; `None` if they are too few or too old.
    pub(super) fn peer_median(
        &self,
        id: ServerId,
        half_life_ns: Nanos,
        value: &dyn Fn(&ServerReport) -> f64,
    ) -> Option<f64> {
        self.peer_reports.weighted_median(id, self.now, half_life_ns, NEUTRAL_REPORT_WEIGHT, value)
    }

    /// Removes a call and its entry in the pending queue.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<CallState> {
        self.pending.set(id, None);
        self.calls.remove(&id)
    }

    /// The key that is equal for calls that server selection treats alike.
    pub(super) fn equivalence_key(&self, record: &CallState) -> EquivalenceKey {
        let call = &record.call;
        EquivalenceKey {
            class: call.class,
            first_choice: call.first_choice,
            circuits_bits: call.circuits.to_bits(),
            retry_after_cut: call.retry_after_cut,
            in_transit: call.in_transit,
            is_late: self.is_late(record),
            may_have_run: record.may_have_run,
            failed_server: (record.attempts > 0).then_some(record.server),
        }
    }

    /// The number of entries of each collection, by name, for tests that none grows without bound.
    #[doc(hidden)]
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("module's servers", self.servers.len()),
            ("module's calls", self.calls.len()),
            ("module's unserved numbers", self.unserved_numbers.len()),
            ("module's busy numbers", self.busy_numbers.len()),
            ("module's unanswered", self.servers.values().map(|server| server.in_flight.len()).sum()),
        ]
    }
}

/// A duration multiplied by a factor.
pub(super) fn scaled(duration_ns: Nanos, factor: f64) -> Nanos {
    (duration_ns as f64 * factor) as Nanos
}
