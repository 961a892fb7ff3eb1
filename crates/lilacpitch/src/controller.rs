//! The controller, which makes every decision about calls and servers. The types of its inputs and outputs
//! are in [`interface`](crate::interface); it does no input or output itself.
//!
//! The mechanism is call counting (Sabourin, ITC-13). For each server the controller counts, over a sliding
//! window, the set-ups offered to it and those sent to it, and compares the estimated load with a ceiling.
//! Symptoms of overload lower the ceiling; time without symptoms relaxes it. `docs/design/module.md`
//! describes when each part acts.
//!
//! - `state`: the state of servers and calls.
//! - `calls`: a call from its arrival to its final answer.
//! - `server_selection`: the server that a call is sent to.
//! - `overload`: load estimates, ceilings and overload states.
//! - `slow_start`: the rate of set-ups to a server that has just started.
//! - `outlier_detection`: unresponsive servers and lost set-ups.
//! - `gossip`: reports to and from other fronts.
//! - `endpoint_list`: updates of the list of servers.

mod calls;
mod endpoint_list;
mod gossip;
mod outlier_detection;
mod overload;
mod server_selection;
mod slow_start;
mod state;

use crate::interface::*;
use crate::latency_deviation::LatencyDeviation;
use crate::sliding_window;
pub use state::Controller;
use state::{
    scaled, CallPhase, CallState, Ejection, EquivalenceKey, InFlightAttempt, NormalRate, PossibleRun, Server,
};
use std::collections::BTreeSet;

/// Length of a counting period (Sabourin).
const PERIOD_NS: Nanos = 100_000_000;
/// Number of periods in the counting window (Sabourin: 3 s). A shorter one holds too few calls of one front.
const WINDOW_PERIODS: u64 = 30;
/// Length of the counting window.
const WINDOW_NS: Nanos = PERIOD_NS * WINDOW_PERIODS;
/// Least time that the window is taken to cover, just after the front's start.
const MIN_WINDOW_NS: Nanos = WINDOW_NS / 3;
/// Set-ups that a count keeps even when they are older than the window, so that one more or less changes the
/// estimated rate only slightly.
const MIN_SAMPLES: usize = 4;
/// Windows without a symptom after which the ceiling of a server with few set-ups may be removed; also the
/// longest normal interval between set-ups that is assumed.
const MAX_CLEAN_WINDOWS: u64 = 20;
/// Least number of successes that is assumed over the observed time, so that the normal rate of a server
/// where no set-up has succeeded is not 0.
const UNPROVEN_SETUPS: f64 = 0.2;
/// Shortest observed time to which [`UNPROVEN_SETUPS`] is applied, in seconds; also the weight of a normal
/// rate that is assumed at the first success.
const UNPROVEN_MIN_S: f64 = 10.0;
/// Share of the ceiling above which calls below the highest priority are held back (Sabourin's S1).
const STATE_1_THRESHOLD: f64 = 0.8;
/// Share of the ceiling above which all calls but urgent ones are held back (Sabourin's S2). Urgent are calls
/// in transit and those that repeat a call that was cut.
const STATE_2_THRESHOLD: f64 = 0.9;
/// Cost of a rejected call, in set-ups; 0, since a rejection by the front costs the server nothing.
const REJECT_COST: f64 = 0.0;
/// Cost of an accepted call, in set-ups.
const ACCEPT_COST: f64 = 1.0;
/// Resend intervals after which an unanswered set-up is late: from then on the network repeats it, which adds
/// to the overload. Lower values left processors idle.
const LATE_INTERVALS: f64 = 1.0;
/// Mean deviations beyond the mean delay after which an overtaken set-up is lost.
const LOST_DEVIATIONS: f64 = 5.0;
/// Shortest time after which an overtaken set-up is lost, in resend intervals.
const LOST_MIN_INTERVALS: f64 = 0.125;
/// Delay, in resend intervals, below which a response is quick: the server is not about to overload.
const QUICK_INTERVALS: f64 = 0.5;
/// Expected wait, as a share of [`LATE_INTERVALS`], above which calls past their objective are held back in
/// favour of fresh ones.
const LATE_CALL_WAIT_SHARE: f64 = 0.5;
/// Expected wait, in resend intervals, above which a server is in overload state 2.
const STATE_2_WAIT_INTERVALS: f64 = 2.0;
/// Least share of the ceiling that a late response leaves: a rate of few samples may be low by chance.
const MILD_DECREASE_FACTOR: f64 = 0.8;
/// Least share of the ceiling that 'processor full', a time-out or an unresponsive server leaves.
const SEVERE_DECREASE_FACTOR: f64 = 0.5;
/// [`SEVERE_DECREASE_FACTOR`] where the window holds few set-ups.
const SEVERE_DECREASE_FACTOR_SPARSE: f64 = 0.35;
/// A server in slow start gets `capacity * (SLOW_START_BASE + SLOW_START_GAIN * capacity)` of its normal
/// rate, where `capacity` is the share of its full capacity that it has at its age.
const SLOW_START_BASE: f64 = 0.75;
/// See [`SLOW_START_BASE`].
const SLOW_START_GAIN: f64 = 0.75;
/// In slow start, once enough set-ups have succeeded, the ceiling is at least the recent success rate times
/// this share of [`Settings::overload_multiple`].
const SLOW_START_GROWTH: f64 = 0.7;
/// Most periods by which an average decays in one step.
const MAX_DECAY_PERIODS: u64 = 1000;
/// Share of the average behind the normal rate that is retained each period: a half-life of 14 s.
const NORMAL_RATE_RETENTION: f64 = 0.995;
/// Share of the time since the last response by which its delay decays.
const DELAY_DECAY: f64 = 0.5;
/// [`DELAY_DECAY`] where the window holds few set-ups.
const DELAY_DECAY_SPARSE: f64 = 0.15;
/// Share of the shortest latency objective that replaces the resend interval where nothing is resent.
const FALLBACK_RESEND_SHARE: f64 = 0.3;
/// Number of set-ups over which the ratios of symptoms and successes are averaged.
const RATIO_SAMPLES: f64 = 16.0;
/// Ratio of symptoms below which a symptom is regarded as chance.
const ISOLATED_SYMPTOM_RATIO: f64 = 0.25;
/// A call is itself faulty if the likelihood that a valid call meets the same faults is below this.
const FAULTY_CALL_LIKELIHOOD: f64 = 0.02;
/// Share of the normal or offered rate, whichever is higher, below which each quick success raises the
/// ceiling.
const CEILING_GROWTH_THRESHOLD: f64 = 0.9;
/// Share of the ceiling by which a quick success raises it.
const CEILING_GROWTH_SHARE: f64 = 0.2;
/// Most by which a quick success raises the ceiling, in set-ups a second.
const CEILING_GROWTH_MAX_PER_S: f64 = 1.0;
/// Number of periods without a symptom after which a ceiling is relaxed.
const CLEAN_PERIODS: u64 = 10;
/// Most periods over which a ceiling is relaxed in one step.
const MAX_RELAX_PERIODS: u64 = WINDOW_PERIODS * 4;
/// Largest factor by which a ceiling is relaxed in a period: slower than an overload is detected.
const RELAX_MAX_FACTOR: f64 = 1.015;
/// Share by which a ceiling is relaxed in the normal interval between two set-ups.
const RELAX_SHARE_UNCONFIRMED: f64 = 0.07;
/// [`RELAX_SHARE_UNCONFIRMED`] once the server has responded quickly since the last symptom.
const RELAX_SHARE_CONFIRMED: f64 = 0.2;
/// Share of its normal interval within which a front uses a server again after peers report that its queue
/// has become short.
const QUEUE_JOIN_SPREAD: f64 = 0.1;
/// Multiple of the offered or normal rate at which a ceiling is removed: this leaves room for calls whose
/// first choice is another server.
const CEILING_REMOVAL_MULTIPLE: f64 = 2.5;
/// Lowest ceiling, as a share of the normal rate: without some set-ups the end of an overload goes unnoticed.
const CEILING_FLOOR_SHARE: f64 = 0.1;
/// Share of its latency objective for which a call without an attempt is queued while no server is open.
const QUEUE_TIME_SHARE: f64 = 0.4;
/// Multiple of this front's longest recent stall that is subtracted from a client's time budget.
const STALL_MARGIN: f64 = 1.25;
/// Share of the longest recent stall that is retained each period.
const STALL_RETENTION: f64 = 0.998;
/// Resend intervals without any response after which a server with set-ups in flight is unresponsive.
const UNRESPONSIVE_INTERVALS: f64 = 2.0;
/// Shortest back-off from a server without a free line, in resend intervals; a random part of one is added.
const NO_CIRCUIT_MIN_INTERVALS: f64 = 0.5;
/// Shortest interval between probes, as a share of the normal interval; a random part of the normal interval
/// is added.
const PROBE_MIN_FRACTION: f64 = 0.5;
/// Number of probes after which an ejected server that responds may have been restarted meanwhile.
const RESTART_PROBES: u32 = 3;
/// Pause of a dialled number whose lines were all busy: clients usually redial after this time.
const BUSY_NUMBER_PAUSE_NS: Nanos = WINDOW_NS / 2;
/// Most dialled numbers that are remembered as unserved, and as many as busy: callers choose them.
const MAX_REMEMBERED_NUMBERS: usize = 16 * 1024;
/// Number of times that the interval between probes doubles at most.
const MAX_PROBE_DOUBLINGS: u32 = 4;
/// Half-life of the weight of a peer report about a server's state.
const PEER_REPORT_HALF_LIFE_NS: Nanos = WINDOW_NS * 5;
/// Half-life of the weight of a wait that a peer reports; its set-ups in flight count up to this age.
const PEER_WAIT_HALF_LIFE_NS: Nanos = PERIOD_NS * 10;
/// Age at which peer reports are dropped.
const PEER_REPORT_MAX_AGE_NS: Nanos = WINDOW_NS * 10;
/// Peer reports must outweigh this many fresh reports of a healthy server: it takes three at least.
const NEUTRAL_REPORT_WEIGHT: f64 = 2.0;
/// Wait reported by peers, in resend intervals, above which a first choice where several of their set-ups
/// wait is not preferred.
const LONG_PEER_WAIT_INTERVALS: f64 = 0.125;
/// Longest wait that is accepted from a peer report, in resend intervals.
const MAX_PEER_WAIT_INTERVALS: f64 = 2.0 * STATE_2_WAIT_INTERVALS;
/// Number of peer reports kept for each server, the newest ones: bounds the cost where there are many fronts.
const MAX_PEER_REPORTS_PER_SERVER: usize = 32;
/// Shortest time until the endpoint list is subscribed to again after a failure.
const RESUBSCRIBE_MIN_NS: Nanos = PERIOD_NS * 5;
/// Range of the random time that is added to [`RESUBSCRIBE_MIN_NS`].
const RESUBSCRIBE_SPREAD_NS: Nanos = PERIOD_NS * 10;

/// Counts set-ups of one kind at one server: those in the window, or the last [`MIN_SAMPLES`].
type Count = sliding_window::SlidingWindowCount<WINDOW_PERIODS, MIN_SAMPLES, PERIOD_NS>;

impl Controller {
    /// Creates a controller without servers or calls. `seed` seeds its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let priorities = settings.classes.iter().map(|class| class.priority_weight);
        let top_priority = priorities.fold(f64::MIN, f64::max);
        let objectives = settings.classes.iter().map(|class| class.latency_objective_ns);
        let shortest_objective_ns = objectives.min().unwrap_or(0);
        let resend_ns = if settings.resend_interval_ns > 0 {
            settings.resend_interval_ns
        } else {
            scaled(shortest_objective_ns, FALLBACK_RESEND_SHARE)
        };
        Controller::empty(settings, seed, resend_ns, top_priority)
    }

    /// Handles one event and appends the actions that the front is to carry out. If `now` runs backwards, the
    /// latest earlier time is used.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now, actions);
        self.advance_periods();
        match event {
            Event::EndpointsUpdated(update) => self.handle_endpoints_updated(update),
            Event::CallArrived(call) => self.handle_call_arrived(call, actions),
            Event::ClientDisconnected(id) => self.handle_client_disconnected(id),
            Event::CallEstablished { call, attempt } => self.handle_call_established(call, attempt),
            Event::AttemptCompleted { call, attempt, server, outcome, is_final, report } => {
                self.record_load_report(server, report);
                self.record_outcome(server, call, outcome);
                if is_final {
                    self.drop_call(call);
                } else {
                    self.complete_attempt(call, attempt, outcome, actions);
                }
            }
            Event::PeerReported { peer, server_reports } => self.handle_peer_reports(peer, server_reports),
            Event::ServerLoadReported { server, report } => self.record_load_report(server, report),
            Event::TimerFired => {}
        }
        self.detect_unresponsive(actions);
        self.retry_pending_calls(actions);
        self.set_timer(actions);
    }

    /// Returns the interval after which the network resends an unanswered set-up, or else the share of the shortest
    /// latency objective that replaces it, in nanoseconds.
    pub fn resend_interval_ns(&self) -> Nanos {
        self.resend_ns
    }

    /// Advances the clock, records a stall if the timer fired late, and subscribes to the endpoint list at
    /// the first event and when a new subscription is due.
    fn advance_clock(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started_ns.is_none() {
            self.started_ns = Some(self.now);
            self.period = self.now / PERIOD_NS;
            if self.settings.must_subscribe {
                actions.push(Action::Subscribe);
            }
        }
        if let Some(timer_ns) = self.timer_at_ns.filter(|at_ns| *at_ns <= self.now) {
            self.timer_at_ns = None;
            self.record_stall(self.now - timer_ns);
        }
        if self.resubscribe_at_ns.is_some_and(|at_ns| at_ns <= self.now) {
            self.resubscribe_at_ns = None;
            actions.push(Action::Subscribe);
        }
    }

    /// Records that a timer fired late. This front was stalled and received nothing in that time, so it must
    /// not count against any server.
    fn record_stall(&mut self, stall_ns: Nanos) {
        self.longest_stall_ns = self.longest_stall_ns.max(stall_ns);
        for server in self.servers.values_mut() {
            server.last_response_ns = self.now.min(server.last_response_ns + stall_ns);
            for attempt in &mut server.in_flight {
                attempt.shift(stall_ns);
            }
        }
    }

    /// Keeps one timer set: for the end of the period, or earlier when a call's release or queueing time
    /// ends.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let next_deadline_ns = self.pending.next_deadline_ns().unwrap_or(Nanos::MAX);
        let period_end_ns = (self.period + 1) * PERIOD_NS;
        let at_ns = next_deadline_ns.min(period_end_ns).max(self.now + 1);
        if self.timer_at_ns.is_none_or(|set_ns| at_ns < set_ns) {
            self.timer_at_ns = Some(at_ns);
            actions.push(Action::SetTimer(at_ns));
        }
    }
}
