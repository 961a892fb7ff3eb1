//! The core's timers, and the schedule of a stop.
//!
//! After SIGTERM set-ups are still admitted for a while. Then the node stops as soon as no call is open.
//! Calls that are still open shortly before the platform kills the process get a final response.

use super::{Effect, NodeCore};
use lilacpitch::interface::{CallId, Nanos, Outcome};
use lilacpitch::Event;

/// For this long after SIGTERM set-ups are admitted. By the platform's page on its figures, new connections
/// arrive for 0.4 s and requests on open ones for 0.2 s more.
const ADMISSION_AFTER_STOP_NS: Nanos = 750_000_000;
/// By the protocol page on planned restarts, the platform kills the process no sooner after SIGTERM than the
/// longest deadline of a call, limited to this value, plus [`KILL_MARGIN_NS`].
const MAX_COUNTED_DEADLINE_NS: Nanos = 3_000_000_000;
/// Time from the longest deadline of a call, counted from SIGTERM, to the kill.
const KILL_MARGIN_NS: Nanos = 700_000_000;
/// How long before the kill the calls that are still open get a final response.
const ANSWER_BEFORE_KILL_NS: Nanos = 250_000_000;
/// How often servers are checked.
const HEALTH_CHECK_INTERVAL_NS: Nanos = 250_000_000;

/// The purpose of a timer. Timers that are due at the same time fire in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Requested by the controller.
    Controller,
    /// Times out the attempt of a call.
    AttemptTimeout(CallId),
    /// Checks whether servers can be reached, and removes those that are no longer listed.
    HealthCheck,
    /// Has the owner of the core request an eviction again, if it still has to.
    Eviction,
    /// Ends the admission of set-ups while the node stops.
    CloseAdmission,
    /// Answers the calls that are open shortly before the process is killed.
    DrainDeadline,
}

impl NodeCore {
    /// Handles all timers that are due.
    pub(super) fn fire_due_timers(&mut self, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Controller => self.pending_events.push_back(Event::TimerFired),
                Timer::AttemptTimeout(call) => self.abort_attempt(call, Outcome::TimedOut, effects),
                Timer::HealthCheck => {
                    self.schedule_health_check();
                    self.sweep_servers(effects);
                }
                Timer::Eviction => {}
                Timer::CloseAdmission => self.is_admission_closed = true,
                Timer::DrainDeadline => self.answer_open_calls(effects),
            }
            self.run_pending_events(effects);
        }
    }

    /// Sets the timer of the next health check.
    pub(super) fn schedule_health_check(&mut self) {
        self.timers.set(Timer::HealthCheck, self.now + HEALTH_CHECK_INTERVAL_NS);
    }

    /// Returns how long the process may run after SIGTERM until the platform kills it, in nanoseconds.
    pub fn kill_delay_ns(&self) -> Nanos {
        let longest_deadline_ns =
            self.site.settings.classes.iter().map(|class| class.deadline_ns).max().unwrap_or(0);
        longest_deadline_ns.min(MAX_COUNTED_DEADLINE_NS) + KILL_MARGIN_NS
    }

    /// Starts the stop of the node, once.
    pub(super) fn begin_stopping(&mut self) {
        if self.is_stopping {
            return;
        }
        tracing::info!(calls = self.calls.len(), "drain started");
        self.is_stopping = true;
        self.timers.set(Timer::CloseAdmission, self.now + ADMISSION_AFTER_STOP_NS);
        let deadline_ns = self.now + self.kill_delay_ns() - ANSWER_BEFORE_KILL_NS;
        self.timers.set(Timer::DrainDeadline, deadline_ns);
    }
}
