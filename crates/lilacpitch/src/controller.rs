//! Every decision of the call controller. Its types are in `interface.rs`; it does no input or output.
//!
//! The mechanism is call counting (Sabourin, ITC-13). For each server this front counts the set-ups meant for
//! it and those sent, over a sliding window, and compares the estimated load with a ceiling that symptoms of
//! overload set. `docs/design/module.md` says when each part acts.

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
use state::{scaled, CallPhase, CallState, Ejection, EquivalenceKey, InFlightAttempt, Server};
use std::collections::BTreeSet;

/// Length of a counting period (Sabourin).
const PERIOD_NS: Nanos = 100_000_000;
/// Periods in the window (Sabourin: 3 s). A single front counts too few calls in a shorter one.
const WINDOW_PERIODS: u64 = 30;
const WINDOW_NS: Nanos = PERIOD_NS * WINDOW_PERIODS;
/// Set-ups the window reaches back to at least, so that one more or less is no large step of the estimate.
const MIN_SAMPLES: usize = 4;
/// Windows without a symptom after which a ceiling is removed; also the longest interval between probes.
const MAX_CLEAN_WINDOWS: u64 = 20;
/// Normal rate of a server where no set-up has succeeded: so many set-ups in the observed time,
const UNPROVEN_SETUPS: f64 = 0.2;
/// which counts as at least this many seconds.
const UNPROVEN_MIN_S: f64 = 10.0;
/// Load, as a share of the ceiling, past which the lowest priority is rejected (Sabourin's S1).
const STATE_1_THRESHOLD: f64 = 0.8;
/// The same for all non-urgent calls (Sabourin's S2).
const STATE_2_THRESHOLD: f64 = 0.9;
/// Cost of a rejected call, in set-ups: a rejection at the front costs the server nothing.
const REJECT_COST: f64 = 0.0;
/// Cost of an accepted call, in set-ups.
const ACCEPT_COST: f64 = 1.0;
/// Resend intervals after which an unanswered set-up is late: from then on the network repeats it, which
/// feeds the overload. Lower values left processors idle.
const LATE_INTERVALS: f64 = 1.0;
/// An overtaken set-up is lost after the mean delay plus so many mean deviations,
const LOST_DEVIATIONS: f64 = 5.0;
/// and no sooner than this share of the resend interval.
const LOST_MIN_INTERVALS: f64 = 0.125;
/// A response within this share of the resend interval shows that the server is not about to overload.
const QUICK_INTERVALS: f64 = 0.5;
/// Calls past their objective are held back from this share of a late wait on, in favour of fresh ones.
const LATE_CALL_SHARE: f64 = 0.5;
/// An expected wait of so many resend intervals means overload state 2.
const STATE_2_INTERVALS: f64 = 2.0;
/// A late response lowers the ceiling to no less than this share: few samples may be low by chance.
const SOFT_CUT: f64 = 0.8;
/// The same for 'processor full', a time-out or an unresponsive server.
const HARD_CUT: f64 = 0.5;
/// The same where the window holds few set-ups.
const HARD_CUT_SPARSE: f64 = 0.35;
/// A server in slow start gets its share of the normal rate times this,
const SLOW_START_BASE: f64 = 0.75;
/// plus this times the capacity that it has at its age.
const SLOW_START_GAIN: f64 = 0.75;
/// In slow start, what succeeded lately may grow by this share of the multiple that overloads the server.
const SLOW_START_GROWTH: f64 = 0.7;
/// Share of the average behind the normal rate that is retained each period: a half-life of 14 s.
const NORMAL_RETAINED: f64 = 0.995;
/// The last delay fades by this share of the time passed since.
const FADE: f64 = 0.5;
/// The same where the window holds few set-ups.
const FADE_SPARSE: f64 = 0.15;
/// Stands in for the resend interval where nothing is resent, as a share of the shortest latency objective.
const RESEND_SHARE: f64 = 0.3;
/// Set-ups over which the ratios of symptoms and successes are averaged.
const RATIO_SAMPLES: f64 = 16.0;
/// A symptom is taken for chance while the ratio of symptoms is below this.
const ISOLATED_BELOW: f64 = 0.25;
/// A call is itself faulty if fewer valid calls than this share would have met the same faults.
const FAULTY_CALL_BELOW: f64 = 0.02;
/// Below this share of the normal rate, each quick success raises the ceiling:
const GROWTH_BELOW: f64 = 0.9;
/// by this share of it,
const GROWTH_STEP: f64 = 0.2;
/// and by at most this many set-ups a second.
const GROWTH_MAX_PER_S: f64 = 1.0;
/// Periods without a symptom before a ceiling is relaxed.
const CLEAN_PERIODS: u64 = 10;
/// Largest factor by which a ceiling is relaxed in a period: slower than an overload is noticed.
const RELAX_STEP: f64 = 1.015;
/// Largest relaxation in the normal interval between two set-ups,
const RELAX_UNSEEN: f64 = 0.07;
/// and once a set-up has succeeded quickly since the last symptom.
const RELAX_SEEN: f64 = 0.2;
/// When peers report that a queue is short, each front joins it within this share of its normal interval.
const JOIN_SPREAD: f64 = 0.1;
/// A ceiling is removed at this multiple of the offered or normal rate: room for others' second choices.
const MAX_LIFT: f64 = 2.5;
/// The lowest ceiling, as a share of the normal rate: some calls must pass, or nothing would be learned.
const CEILING_FLOOR: f64 = 0.1;
/// A first attempt that is held back everywhere is queued for this share of its latency objective.
const QUEUE_SHARE: f64 = 0.4;
/// Multiple of the longest recent stall of this front that is kept back from a client's time budget.
const STALL_MARGIN: f64 = 1.25;
/// Share of that stall which is retained each period.
const STALL_RETAINED: f64 = 0.998;
/// Resend intervals without any response after which a server with set-ups in flight is unresponsive.
const UNRESPONSIVE_INTERVALS: f64 = 2.0;
/// An ejected server that left so many probes unanswered may have been restarted meanwhile.
const RESTART_PROBES: u32 = 3;
/// Pause of a dialled number whose lines were all busy: the time after which clients usually redial.
const BUSY_REST_NS: Nanos = WINDOW_NS / 2;
/// How often the interval between probes doubles, from the normal interval between set-ups on.
const PROBE_DOUBLINGS: u32 = 4;
/// Half-life of what peers report of a server's state.
const REPORT_HALF_LIFE_NS: Nanos = WINDOW_NS * 5;
/// Half-life of the waits that peers report; set-ups in flight are counted for as long.
const WAIT_HALF_LIFE_NS: Nanos = PERIOD_NS * 10;
/// Peer reports are dropped at this age.
const REPORT_MAX_AGE_NS: Nanos = WINDOW_NS * 10;
/// Peer reports must outweigh so many fresh ones that find nothing wrong: it takes three at least.
const NEUTRAL_WEIGHT: f64 = 2.0;
/// A reported wait from this share of the resend interval on may be caused by all fronts together.
const LONG_PEER_WAIT: f64 = 0.125;
/// Peer reports kept for each server, the newest: the cost must not grow with the number of fronts.
const MAX_PEER_REPORTS: usize = 32;

/// Set-ups of one kind at one server: those of the window, or the last MIN_SAMPLES of them.
type Count = sliding_window::SlidingWindowCount<WINDOW_PERIODS, MIN_SAMPLES, PERIOD_NS>;

impl Controller {
    /// A controller that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let top_priority = settings.classes.iter().map(|c| c.priority_weight).fold(f64::MIN, f64::max);
        let shortest_objective_ns =
            settings.classes.iter().map(|c| c.latency_objective_ns).min().unwrap_or(0);
        let resend_ns = if settings.resend_interval_ns > 0 {
            settings.resend_interval_ns
        } else {
            scaled(shortest_objective_ns, RESEND_SHARE)
        };
        Controller::empty(settings, seed, resend_ns, top_priority)
    }

    /// Takes one event and appends what is to be done about it. A clock that runs back stands still.
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

    fn advance_clock(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started_ns.is_none() {
            self.started_ns = Some(self.now);
            self.period = self.now / PERIOD_NS;
            if self.settings.must_subscribe {
                actions.push(Action::Subscribe);
            }
        }
        if let Some(at) = self.timer_ns.filter(|at| *at <= self.now) {
            self.timer_ns = None;
            self.stall_ns = self.stall_ns.max(self.now - at);
            // Nothing could be heard meanwhile: that time is no evidence against any server.
            for server in self.servers.values_mut() {
                server.last_response_ns = self.now.min(server.last_response_ns + (self.now - at));
                server.in_flight.iter_mut().for_each(|attempt| attempt.shift(self.now - at));
            }
        }
        if self.subscribe_ns.is_some_and(|at| at <= self.now) {
            self.subscribe_ns = None;
            actions.push(Action::Subscribe);
        }
    }

    /// One timer at a time: the next period's end, or sooner when a call's release or patience runs out.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let due_ns = self.pending.next_deadline_ns().unwrap_or(Nanos::MAX);
        let at = due_ns.min((self.period + 1) * PERIOD_NS).max(self.now + 1);
        if self.timer_ns.is_none_or(|set| at < set) {
            self.timer_ns = Some(at);
            actions.push(Action::SetTimer(at));
        }
    }
}
