//! Calls: accepted, answered once, established, released.
//!
//! A call is in the tables until its one final answer is sent or, once established, until it is released.

use super::attempts::AttemptState;
use super::site::{hash_dialled_number, NO_POOL};
use super::{AttemptId, CallerId, EdgeCore, Effect, Timer, NS_PER_MS};
use lilacpitch::interface::{self, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_protocol::message::signal::ReleaseCause;
use thiserror::Error;

/// A caller's request to set a call up.
pub(super) struct SetupRequest {
    pub call: String,
    pub class: String,
    pub pool: Option<String>,
    pub number: Option<String>,
    pub budget_ms: u64,
}

/// Why a set-up gets an `error` and no final answer. The texts cross the wire.
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

/// A call that was accepted and has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub caller: CallerId,
    /// The id that the caller gave it.
    pub name: String,
    /// The id by which servers and logs know it.
    pub label: String,
    pub class: String,
    pub number: Option<String>,
    pub is_established: bool,
    /// While the fleet looks its number up.
    pub pending_locate: Option<PendingLocate>,
    /// The attempt that is queued, in flight or established.
    pub attempt: Option<AttemptId>,
    /// How many attempts were begun.
    attempts: u32,
    span: tracing::Span,
}

/// A call that waits for the fleet.
#[derive(Debug)]
pub(super) struct PendingLocate {
    /// What the controller gets once the fleet has answered.
    pub call: interface::Call,
    /// When the wait began.
    pub since_ns: Nanos,
}

impl Call {
    /// Notes a new attempt, and gives its number among the call's attempts.
    pub(super) fn begin_attempt(&mut self, id: AttemptId, server: ServerId) -> u32 {
        let index = self.attempts;
        self.attempts += 1;
        self.attempt = Some(id);
        self.span.in_scope(|| tracing::debug!(attempt = id, server, "setup forwarded"));
        index
    }
}

impl EdgeCore {
    /// Accepts a call, or answers why not.
    pub(super) fn handle_setup(&mut self, caller: CallerId, setup: SetupRequest, effects: &mut Vec<Effect>) {
        if self.has_withdrawn_settings() {
            return self.reject_setup(caller, setup, effects);
        }
        match self.check_setup(caller, &setup) {
            Ok((class, first_choice)) => self.accept_call(caller, setup, class, first_choice, effects),
            Err(error) => self.send_error(caller, error.to_string(), Some(setup.call), effects),
        }
    }

    /// Checks a set-up against the limits, and gives the numbers of its class and of its pool.
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
        let class = self.site.class(&setup.class).ok_or(SetupError::UnknownClass)?;
        let first_choice = match &setup.pool {
            None => NO_POOL,
            Some(name) => self.site.pool(name).ok_or(SetupError::UnknownPool)?,
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
            // The caller's time began when it sent, which may be before a stall of this edge.
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
            pending_locate,
            attempt: None,
            attempts: 0,
            span,
        };
        self.calls.insert(id, call);
    }

    /// A server has answered an attempt: its call is established.
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

    /// Answers a call that the controller rejects.
    pub(super) fn reject_call(&mut self, id: u64, retry_after_ns: Option<Nanos>, effects: &mut Vec<Effect>) {
        let Some(call) = self.remove_call(id) else { return };
        self.counters.calls_rejected += 1;
        // Rounded up: a caller that comes back a moment early would be rejected again.
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

    /// Answers a call that was accepted and could not be set up.
    pub(super) fn fail_call(&mut self, id: u64, cause: &str, effects: &mut Vec<Effect>) {
        let Some(call) = self.remove_call(id) else { return };
        self.counters.calls_failed += 1;
        call.span.in_scope(|| tracing::debug!(cause, "call failed"));
        let cause = Some(cause.to_string());
        let answer = ToCaller::Final { call: call.name, answer: Answer::Failed, come_back_ms: None, cause };
        effects.push(Effect::ToCaller(call.caller, answer.encode()));
    }

    /// Removes a call from the tables: whoever gets it owes its one answer, and nobody else can give it.
    fn remove_call(&mut self, id: u64) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.timers.clear(Timer::Locate(id));
        self.remove_active_call(id, &call);
        if let Some(own_calls) = self.callers.get_mut(&call.caller) {
            own_calls.remove(&call.name);
        }
        Some(call)
    }

    /// A caller releases a call that is established, or gives up one that is not.
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

    /// A caller has disconnected: nothing more is owed to it, and nothing of its calls stays at servers.
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

    /// Ends an established call from this side.
    pub(super) fn close_call(&mut self, id: u64, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.remove_call(id).and_then(|call| call.attempt) else { return };
        self.release_attempt(attempt, effects);
    }

    /// An established call has ended at its server.
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

    /// Abandons a call at the caller's or the operator's request: its attempt is cancelled, and the controller told
    /// that no answer is owed. The call stays in the tables.
    pub(super) fn abandon_call(&mut self, id: u64, effects: &mut Vec<Effect>) {
        if self.calls.get(&id).is_some_and(|call| call.pending_locate.is_none()) {
            self.pending_events.push_back(Event::ClientDisconnected(id));
        }
        let Some(attempt) = self.calls.get_mut(&id).and_then(|call| call.attempt.take()) else { return };
        self.abandon_attempt(attempt, effects);
    }
}
