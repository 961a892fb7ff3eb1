//! The core's timers, and the times of a stop.
//!
//! After SIGTERM late set-ups are admitted for a while; the node stops once no call is open, and answers what is left
//! shortly before the platform kills it.

use super::{Effect, NodeCore};
use lilacpitch::interface::{CallId, Nanos, Outcome};
use lilacpitch::Event;

/// After SIGTERM, callers' connections and set-ups are accepted for so long: new connections come for 0.4 s, requests
/// on open ones for 0.2 s more, by the platform's page on its figures.
const LATE_ARRIVALS_NS: Nanos = 750_000_000;
/// The kill comes no sooner than the longest deadline of a call, counted as this where it is longer ...
const MAX_COUNTED_DEADLINE_NS: Nanos = 3_000_000_000;
/// ... and this much later, by the protocol page on planned restarts.
const KILL_MARGIN_NS: Nanos = 700_000_000;
/// Calls that are open so long before the kill are answered then.
const ANSWERED_BEFORE_KILL_NS: Nanos = 250_000_000;
/// How often servers are checked.
const HEALTH_CHECK_INTERVAL_NS: Nanos = 250_000_000;

/// What a timer is for. Timers that are due at the same time fire in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The controller asked for it.
    Controller,
    /// An attempt has had no answer in its time.
    AttemptTimeout(CallId),
    /// Servers are checked: which are gone, and whether those with established calls can be reached.
    HealthCheck,
    /// Late arrivals have had their time.
    CloseAdmission,
    /// The kill is near: what is open gets its answer.
    DrainDeadline,
}

impl NodeCore {
    pub(super) fn fire_due_timers(&mut self, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Controller => self.pending_events.push_back(Event::TimerFired),
                Timer::AttemptTimeout(call) => self.abort_attempt(call, Outcome::TimedOut, effects),
                Timer::HealthCheck => {
                    self.schedule_health_check();
                    self.sweep_servers(effects);
                }
                Timer::CloseAdmission => self.is_admission_closed = true,
                Timer::DrainDeadline => self.answer_open_calls(effects),
            }
            self.run_pending_events(effects);
        }
    }

    pub(super) fn schedule_health_check(&mut self) {
        self.timers.set(Timer::HealthCheck, self.now + HEALTH_CHECK_INTERVAL_NS);
    }

    /// How long after it was asked to stop the process may run, in nanoseconds.
    pub fn kill_delay_ns(&self) -> Nanos {
        let longest = self.site.settings.classes.iter().map(|class| class.deadline_ns).max().unwrap_or(0);
        longest.min(MAX_COUNTED_DEADLINE_NS) + KILL_MARGIN_NS
    }

    pub(super) fn begin_stopping(&mut self) {
        if self.is_stopping {
            return;
        }
        tracing::info!(calls = self.calls.len(), "drain started");
        self.is_stopping = true;
        self.timers.set(Timer::CloseAdmission, self.now + LATE_ARRIVALS_NS);
        let answer_at = self.now + self.kill_delay_ns() - ANSWERED_BEFORE_KILL_NS;
        self.timers.set(Timer::DrainDeadline, answer_at);
    }
}
