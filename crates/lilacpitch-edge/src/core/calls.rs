//! The life cycle of calls: accepted, answered once, established, released.
//!
//! A call is in the tables until its one final answer is sent or, once established, until it ends.

use super::attempts::AttemptState;
use super::site::{hash_dialled_number, NO_POOL};
use super::{AttemptId, CallerId, EdgeCore, Effect, Timer, NS_PER_MS};
use lilacpitch::interface::{self, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_protocol::message::signal::ReleaseCause;
use thiserror::Error;

/// A caller's request to set up a call.
pub(super) struct SetupRequest {
    pub call: String,
    pub class: String,
    pub pool: Option<String>,
    pub number: Option<String>,
    pub budget_ms: u64,
}

/// Why a set-up is answered by an `error` and not by a final answer. The texts are sent to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum SetupError {
    #[error("unknown caller")]
    UnknownCaller,
    #[error("the front is stopping")]
    Stopping,
    #[error("call id is in use")]
    CallIdInUse,
    #[error("too many calls on this connection")]
    TooManyCallsOfCaller,
    #[error("too many calls at this front")]
    TooManyCalls,
    #[error("unknown class")]
    UnknownClass,
    #[error("unknown pool")]
    UnknownPool,
}

/// An accepted call that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub caller: CallerId,
    /// The id that the caller gave the call.
    pub name: String,
    /// The id of the call in messages to servers and in logs.
    pub label: String,
    pub class: String,
    pub number: Option<String>,
    pub is_established: bool,
    /// By when its caller must have the final answer.
    pub answer_by_ns: Nanos,
    /// Set while the fleet looks up the call's number.
    pub pending_locate: Option<PendingLocate>,
    /// The current attempt: queued, in flight or established.
    pub attempt: Option<AttemptId>,
    /// Number of attempts begun so far.
    attempts: u32,
    span: tracing::Span,
}

/// The state of a call that waits for a locate.
#[derive(Debug)]
pub(super) struct PendingLocate {
    /// The call as it will be passed to the controller after the locate.
    pub call: interface::Call,
    /// When the wait began.
    pub since_ns: Nanos,
}

impl Call {
    /// Records a new attempt and returns its index among the call's attempts.
    pub(super) fn begin_attempt(&mut self, id: AttemptId, server: ServerId) -> u32 {
        let index = self.attempts;
        self.attempts += 1;
        self.attempt = Some(id);
        self.span.in_scope(|| tracing::debug!(attempt = id, server, "setup forwarded"));
        index
    }
}

impl EdgeCore {
    /// Accepts a call, or answers with the reason why it is not accepted.
    pub(super) fn handle_setup(&mut self, caller: CallerId, setup: SetupRequest, effects: &mut Vec<Effect>) {
        if self.has_withdrawn_settings() {
            return self.reject_setup(caller, setup, effects);
        }
        match self.check_setup(caller, &setup) {
            Ok((class, first_choice)) => self.accept_call(caller, setup, class, first_choice, effects),
            Err(error) => self.send_error(caller, error.to_string(), Some(setup.call), effects),
        }
    }

    /// Checks a set-up against the limits; returns the numbers of its class and of its pool.
    fn check_setup(&self, caller: CallerId, setup: &SetupRequest) -> Result<(usize, u32), SetupError> {
        let limits = &self.settings.limits;
        let own_calls = self.callers.get(&caller).ok_or(SetupError::UnknownCaller)?;
        if self.is_stopping {
            return Err(SetupError::Stopping);
        }
        if own_calls.contains_key(&setup.call) {
            return Err(SetupError::CallIdInUse);
        }
        if own_calls.len() >= limits.calls_per_caller {
            return Err(SetupError::TooManyCallsOfCaller);
        }
        if self.calls.len() >= limits.calls {
            return Err(SetupError::TooManyCalls);
        }
        let class = self.names.class(&setup.class).ok_or(SetupError::UnknownClass)?;
        let first_choice = match &setup.pool {
            None => NO_POOL,
            Some(name) => self.names.pool(name).ok_or(SetupError::UnknownPool)?,
        };
        Ok((class, first_choice))
    }

    fn accept_call(
        &mut self,
        caller: CallerId,
        setup: SetupRequest,
        class: usize,
        first_choice: u32,
        effects: &mut Vec<Effect>,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        self.callers.entry(caller).or_default().insert(setup.call.clone(), id);
        let label = format!("{}/{id}/{}", self.name, setup.call);
        let span = tracing::debug_span!("call", label);
        span.in_scope(|| {
            tracing::debug!(class = setup.class, pool = setup.pool, setup.budget_ms, "call accepted")
        });
        self.counters.calls_accepted += 1;
        let arrived = interface::Call {
            id,
            class,
            first_choice,
            // The caller's budget began when it sent the set-up, which may have been before a stall of this
            // edge.
            budget_ns: (setup.budget_ms * NS_PER_MS).saturating_sub(self.stall.span_ns(self.now)),
            dialled: setup.number.as_deref().map(hash_dialled_number),
            circuits: 1.0,
            retry_after_cut: false,
            in_transit: false,
        };
        let pending_locate = self.begin_locate(&setup, arrived, effects);
        if pending_locate.is_none() {
            self.pending_events.push_back(Event::CallArrived(arrived));
        }
        let call = Call {
            caller,
            name: setup.call,
            label,
            class: setup.class,
            number: setup.number,
            is_established: false,
            answer_by_ns: self.now + arrived.budget_ns,
            pending_locate,
            attempt: None,
            attempts: 0,
            span,
        };
        self.calls.insert(id, call);
    }

    /// Establishes the call of an attempt that a server has answered.
    pub(super) fn establish_call(&mut self, id: AttemptId, report: LoadReport, effects: &mut Vec<Effect>) {
        self.clear_attempt_timers(id);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.state = AttemptState::Established;
        let (call_id, index, server) = (attempt.call, attempt.index, attempt.server);
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.is_established = true;
        let (caller, name) = (call.caller, call.name.clone());
        call.span.in_scope(|| tracing::debug!(attempt = id, "call established"));
        self.counters.calls_established += 1;
        let answer = ToCaller::Final { call: name, answer: Answer::Stands, come_back_ms: None, cause: None };
        effects.push(Effect::ToCaller(caller, answer.encode()));
        if !self.safeguards.one_answer {
            effects.push(Effect::ToCaller(caller, answer.encode()));
        }
        self.add_active_call(call_id, server);
        self.pending_events.push_back(Event::CallEstablished { call: call_id, attempt: index });
        if report.free_capacity.is_some() {
            self.pending_events.push_back(Event::ServerLoadReported { server, report });
        }
    }

    /// Sends the final answer of a call that the controller rejects.
    pub(super) fn reject_call(&mut self, id: u64, retry_after_ns: Option<Nanos>, effects: &mut Vec<Effect>) {
        let Some(call) = self.remove_call(id) else { return };
        self.counters.calls_rejected += 1;
        // Rounded up: a caller that retries a moment early would be rejected again.
        let retry_after_ms = retry_after_ns.map(|ns| ns.div_ceil(NS_PER_MS));
        call.span.in_scope(|| tracing::debug!(retry_after_ms, "call rejected"));
        let answer = ToCaller::Final {
            call: call.name,
            answer: Answer::Refused,
            come_back_ms: retry_after_ms,
            cause: None,
        };
        effects.push(Effect::ToCaller(call.caller, answer.encode()));
    }

    /// Sends the final answer of an accepted call that could not be set up.
    pub(super) fn fail_call(&mut self, id: u64, cause: &str, effects: &mut Vec<Effect>) {
        let Some(call) = self.remove_call(id) else { return };
        self.counters.calls_failed += 1;
        call.span.in_scope(|| tracing::debug!(cause, "call failed"));
        let cause = Some(cause.to_string());
        let answer = ToCaller::Final { call: call.name, answer: Answer::Failed, come_back_ms: None, cause };
        effects.push(Effect::ToCaller(call.caller, answer.encode()));
    }

    /// Removes a call from the tables. The code that removes it must send its final answer, if one is due; no
    /// other code can send it afterwards.
    fn remove_call(&mut self, id: u64) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.timers.clear(Timer::Locate(id));
        self.remove_active_call(id, &call);
        if let Some(own_calls) = self.callers.get_mut(&call.caller) {
            own_calls.remove(&call.name);
        }
        Some(call)
    }

    /// Handles a caller's release: ends an established call, abandons one that is not established.
    pub(super) fn release_call(&mut self, caller: CallerId, name: String, effects: &mut Vec<Effect>) {
        let Some(id) = self.callers.get(&caller).and_then(|own_calls| own_calls.get(&name)).copied() else {
            return self.send_error(caller, "no such call".into(), Some(name), effects);
        };
        if self.is_established(id) {
            self.close_call(id, effects);
        } else {
            self.abandon_call(id, effects);
            self.fail_call(id, "released by the caller", effects);
        }
    }

    /// Handles the disconnection of a caller: all its calls are released or cancelled at their servers.
    pub(super) fn handle_caller_closed(&mut self, caller: CallerId, effects: &mut Vec<Effect>) {
        let Some(own_calls) = self.callers.remove(&caller) else { return };
        self.remove_binding(caller);
        for id in own_calls.into_values() {
            if self.is_established(id) {
                self.close_call(id, effects);
            } else {
                self.counters.calls_abandoned += 1;
                self.abandon_call(id, effects);
                self.remove_call(id);
            }
        }
    }

    fn is_established(&self, id: u64) -> bool {
        self.calls.get(&id).is_some_and(|call| call.is_established)
    }

    /// Releases an established call at its server.
    pub(super) fn close_call(&mut self, id: u64, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.remove_call(id).and_then(|call| call.attempt) else { return };
        self.release_attempt(attempt, effects);
    }

    /// Ends an established call that its server has released, or whose connection was lost.
    pub(super) fn end_call(&mut self, id: AttemptId, cause: ReleaseCause, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.servers.remove_attempt(attempt.server, id);
        let Some(call) = self.remove_call(attempt.call) else { return };
        let (outcome, cause_name) = match cause {
            ReleaseCause::Ended => (Outcome::Completed, "ended"),
            ReleaseCause::Cut => (Outcome::Cut, "cut"),
        };
        self.counters.calls_cut += u64::from(cause == ReleaseCause::Cut);
        let text = ToCaller::Released { call: call.name, cause: cause_name.into() }.encode();
        effects.push(Effect::ToCaller(call.caller, text));
        self.report_completion(&attempt, outcome, true, LoadReport::default());
    }

    /// Abandons a call at the caller's or the operator's request: its attempt is cancelled, and the
    /// controller is informed that the call needs no answer. The call stays in the tables.
    pub(super) fn abandon_call(&mut self, id: u64, effects: &mut Vec<Effect>) {
        if self.calls.get(&id).is_some_and(|call| call.pending_locate.is_none()) {
            self.pending_events.push_back(Event::ClientDisconnected(id));
        }
        let Some(attempt) = self.calls.get_mut(&id).and_then(|call| call.attempt.take()) else { return };
        self.abandon_attempt(attempt, effects);
    }
}
