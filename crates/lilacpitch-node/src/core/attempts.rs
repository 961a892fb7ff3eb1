//! Attempts: how they are forwarded to a server, and completed once with an outcome.

use super::counters::outcome_name;
use super::records::{Attempt, AttemptState};
use super::timers::Timer;
use super::{Effect, NodeCore};
use crate::signalling;
use lilacpitch::interface::{CallId, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;

/// Identifies an attempt to the controller.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptId {
    /// The call.
    pub call: CallId,
    /// The attempt's number among the call's attempts, from 0.
    pub number: u32,
    /// The server to which the set-up is sent.
    pub server: ServerId,
}

impl Attempt {
    /// Returns the id of this attempt of a call.
    pub(super) fn id(&self, call: CallId) -> AttemptId {
        AttemptId { call, number: self.number, server: self.server }
    }

    /// Whether it is given up and waits for its end to be written.
    pub(super) fn is_ending(&self) -> bool {
        matches!(self.state, AttemptState::Ending { .. })
    }
}

impl NodeCore {
    /// Sends a call's set-up to a server, as the controller has decided.
    pub(super) fn forward_setup(
        &mut self,
        id: CallId,
        server: ServerId,
        timeout_ns: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        let deadline_ns = self.now + timeout_ns;
        self.counters.attempts += 1;
        let Some(call) = self.calls.get_mut(&id) else {
            // The caller has disconnected, and the controller has yet to handle that event.
            let attempt = AttemptId { call: id, number: 0, server };
            self.record_outcome(attempt, Outcome::NotSent, true, LoadReport::default());
            return;
        };
        let number = call.attempt_count;
        call.attempt_count += 1;
        let used_upstreams = call.used_upstreams.clone();
        let Some(upstream) = self.select_upstream(server, &used_upstreams, effects) else {
            let attempt = AttemptId { call: id, number, server };
            self.record_outcome(attempt, Outcome::Unreachable, false, LoadReport::default());
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let state = AttemptState::Queued(upstream);
        call.attempt = Some(Attempt { server, number, state, deadline_ns, sent_ns: 0 });
        call.used_upstreams.push(upstream);
        self.upstreams.entry(upstream).and_modify(|upstream| _ = upstream.setups.insert(id));
        self.timers.set(Timer::AttemptTimeout(id), deadline_ns);
        tracing::trace!(call = id, attempt = number, server, upstream, "attempt queued");
        self.transmit_setup(id, effects);
    }

    /// Gives a queued set-up to its connection, if it is up.
    pub(super) fn transmit_setup(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else { return };
        let (Some(attempt), Some(setup)) = (call.attempt, &call.setup) else { return };
        let AttemptState::Queued(upstream) = attempt.state else { return };
        let left_ms = attempt.deadline_ns.saturating_sub(self.now) / 1_000_000;
        let class = self.site.class_names.get(call.class).map_or("", String::as_str);
        let bytes = signalling::encode_setup(call.wire_id, class, &setup.number, left_ms, &setup.body);
        // The deadline keeps a set-up that is queued just before a drain from being sent after the drain's
        // grace period.
        let not_after_ns = Some(self.now + self.site.drain_grace_ns / 2);
        let Some(message) = self.transmit(upstream, bytes, not_after_ns, effects) else { return };
        let now = self.now;
        if let Some(attempt) = self.calls.get_mut(&id).and_then(|call| call.attempt.as_mut()) {
            (attempt.state, attempt.sent_ns) = (AttemptState::InFlight(upstream, message), now);
        }
    }

    /// Cancels an attempt, as the controller has decided, unless it was answered meanwhile.
    pub(super) fn cancel_attempt(&mut self, id: CallId, number: u32, effects: &mut Vec<Effect>) {
        let attempt = self.calls.get(&id).and_then(|call| call.attempt);
        if attempt.is_some_and(|attempt| attempt.number == number && !attempt.is_ending()) {
            self.abort_attempt(id, Outcome::Cancelled, effects);
        }
    }

    /// Completes an attempt that did not succeed. The controller may retry the call.
    pub(super) fn complete_attempt(&mut self, id: CallId, outcome: Outcome, report: LoadReport) {
        if let Some(attempt) = self.remove_attempt(id) {
            self.record_outcome(attempt.id(id), outcome, false, report);
        }
    }

    /// Removes a call's attempt from the tables.
    pub(super) fn remove_attempt(&mut self, id: CallId) -> Option<Attempt> {
        let attempt = self.calls.get_mut(&id)?.attempt.take()?;
        self.timers.clear(Timer::AttemptTimeout(id));
        match attempt.state {
            AttemptState::Queued(upstream)
            | AttemptState::InFlight(upstream, _)
            | AttemptState::Ending { upstream, .. } => {
                self.upstreams.entry(upstream).and_modify(|upstream| _ = upstream.setups.remove(&id));
            }
            AttemptState::Established(_) => {
                self.servers.entry(attempt.server).and_modify(|server| _ = server.active_calls.remove(&id));
            }
        }
        Some(attempt)
    }

    /// Counts the outcome of an attempt and reports it to the controller. `is_final` means that the call has
    /// ended.
    pub(super) fn record_outcome(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        is_final: bool,
        report: LoadReport,
    ) {
        *self.counters.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        let AttemptId { call, number, server } = attempt;
        self.pending_events.push_back(Event::AttemptCompleted {
            call,
            attempt: number,
            server,
            outcome,
            is_final,
            report,
        });
    }
}
