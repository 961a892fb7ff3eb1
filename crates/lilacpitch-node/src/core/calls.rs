//! Calls until their final response: how they are admitted, established, rejected, failed or abandoned.

use super::records::{AttemptState, Call, Setup};
use super::timers::Timer;
use super::{CallerId, Effect, NodeCore, UpstreamId};
use crate::signalling;
use lilacpitch::interface::{self, CallId, LoadReport, Nanos, Outcome};
use lilacpitch::Event;
use lilacpitch_sip::Response;

/// A valid set-up request of a caller.
pub(super) struct SetupRequest {
    /// The call's id on the wire.
    pub wire_id: u64,
    /// Index of the call's class in the settings.
    pub class: usize,
    /// The dialled number.
    pub number: String,
    /// Session description.
    pub body: String,
    /// Header lines that a response copies from the request.
    pub copied_fields: String,
    /// How long the caller waits, in milliseconds.
    pub left_ms: u64,
    /// Number of the server that is the call's first choice.
    pub first_choice: u32,
    /// Number of circuits that the call takes.
    pub circuits: f64,
    /// Whether the call repeats one that was cut; the controller treats such a call as urgent.
    pub may_retry_after_cut: bool,
}

impl NodeCore {
    /// Enters a call into the tables and reports it to the controller.
    pub(super) fn admit_call(&mut self, caller: CallerId, request: SetupRequest, charged_bytes: usize) {
        let id = self.next_call;
        self.next_call += 1;
        self.counters.accepted += 1;
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.open_calls.insert(id);
            caller.is_verified = true;
            caller.last_setup_ns = self.now;
        }
        let arrived = interface::Call {
            id,
            class: request.class,
            first_choice: request.first_choice,
            // The caller's waiting time began when it sent the request, which may have been before a stall of
            // this node.
            budget_ns: (request.left_ms * 1_000_000).saturating_sub(self.stall.span_ns(self.now)),
            dialled: Some(number_hash(&request.number)),
            circuits: request.circuits,
            retry_after_cut: request.may_retry_after_cut,
            in_transit: false,
        };
        let answer_by_ns = self.now + arrived.budget_ns;
        let call = Call {
            caller,
            wire_id: request.wire_id,
            class: request.class,
            setup: Some(Setup {
                number: request.number,
                body: request.body,
                copied_fields: request.copied_fields,
            }),
            attempt: None,
            attempt_count: 0,
            used_upstreams: Vec::new(),
            answer_by_ns,
            established_ns: 0,
            charged_bytes,
        };
        self.charge_open_call(caller, charged_bytes);
        self.ended_calls.remove(request.wire_id);
        self.calls.insert(id, call);
        self.open_calls += 1;
        self.calls_by_wire_id.insert(request.wire_id, id);
        self.pending_events.push_back(Event::CallArrived(arrived));
    }

    /// Establishes a call whose set-up was answered by its server, and sends the final response.
    pub(super) fn establish_call(
        &mut self,
        id: CallId,
        upstream: UpstreamId,
        body: String,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (Some(attempt), Some(setup)) = (&mut call.attempt, call.setup.take()) else { return };
        attempt.state = AttemptState::Established(upstream);
        self.open_calls -= 1;
        call.established_ns = self.now;
        let (caller, attempt) = (call.caller, *attempt);
        call.used_upstreams = Vec::new();
        let open_bytes = call.charged_bytes;
        self.discharge_open_call(caller, open_bytes);
        let established_bytes = self.charge_established_call();
        self.calls.entry(id).and_modify(|call| call.charged_bytes = established_bytes);
        self.timers.clear(Timer::AttemptTimeout(id));
        self.upstreams.entry(upstream).and_modify(|upstream| _ = upstream.setups.remove(&id));
        self.servers.entry(attempt.server).and_modify(|server| _ = server.active_calls.insert(id));
        self.callers.entry(caller).and_modify(|caller| _ = caller.open_calls.remove(&id));
        self.counters.succeeded += 1;
        self.pending_events.push_back(Event::CallEstablished { call: id, attempt: attempt.number });
        let response = Response::encode(200, "OK", &setup.copied_fields, &[], body.as_bytes());
        effects.push(Effect::ToCaller(caller, response));
    }

    /// Sends the final response to a call that the controller rejects.
    pub(super) fn reject_call(
        &mut self,
        id: CallId,
        retry_after_ns: Option<Nanos>,
        effects: &mut Vec<Effect>,
    ) {
        let retry_after = retry_after_ns.map(|wait_ns| ("P-Gap-Ms", wait_ns.div_ceil(1_000_000).to_string()));
        if self.answer_call(id, 503, "Service Unavailable", retry_after.as_slice(), effects) {
            self.counters.rejected += 1;
        }
    }

    /// Sends the final response to a call that has failed.
    pub(super) fn fail_call(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        if self.answer_call(id, 500, "Not Set Up", &[], effects) {
            self.counters.failed += 1;
        }
    }

    /// Sends a final response to each open call shortly before the platform kills the process. The controller
    /// does not decide about them, and is notified that their callers are gone.
    pub(super) fn answer_open_calls(&mut self, effects: &mut Vec<Effect>) {
        let open = self.calls.iter().filter(|(_, call)| !call.is_established());
        let open: Vec<_> = open.map(|(id, call)| (*id, call.attempt_count)).collect();
        for (id, attempt_count) in open {
            self.pending_events.push_back(Event::ClientDisconnected(id));
            match attempt_count {
                0 => self.reject_call(id, None, effects),
                _ => self.fail_call(id, effects),
            }
        }
    }

    /// Sends a final response without a body and removes the call. Returns whether the call existed.
    fn answer_call(
        &mut self,
        id: CallId,
        status: u16,
        reason: &str,
        fields: &[(&str, String)],
        effects: &mut Vec<Effect>,
    ) -> bool {
        // The controller never answers a call with an attempt in flight, but a node that is about to be
        // killed does.
        self.cancel_open_attempt(id, effects);
        let Some(call) = self.remove_call(id) else { return false };
        if let Some(setup) = call.setup {
            let response = Response::encode(status, reason, &setup.copied_fields, fields, &[]);
            effects.push(Effect::ToCaller(call.caller, response));
        }
        true
    }

    /// Removes an open call whose caller has cancelled it or disconnected. It gets no response.
    pub(super) fn abandon_call(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        if self.calls.get(&id).is_none_or(Call::is_established) {
            return;
        }
        self.counters.cancelled += 1;
        self.pending_events.push_back(Event::ClientDisconnected(id));
        self.cancel_open_attempt(id, effects);
        self.remove_call(id);
    }

    /// Cancels the attempt of a call that is about to be removed.
    fn cancel_open_attempt(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        self.cancel_at_server(id, effects);
        if let Some(attempt) = self.remove_attempt(id) {
            if let AttemptState::InFlight(upstream, _) = attempt.state {
                self.record_abandoned(upstream, attempt.sent_ns, effects);
            }
            self.record_outcome(attempt.id(id), Outcome::Cancelled, true, LoadReport::default());
        }
    }

    /// Removes a call from the tables. If it had an attempt, a server may know its wire id, so the id stays
    /// in use for the release time.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if call.is_established() {
            self.discharge_established_call(call.charged_bytes);
        } else {
            self.open_calls -= 1;
            self.discharge_open_call(call.caller, call.charged_bytes);
        }
        self.calls_by_wire_id.remove(&call.wire_id);
        self.callers.entry(call.caller).and_modify(|caller| _ = caller.open_calls.remove(&id));
        self.timers.clear(Timer::AttemptTimeout(id));
        if call.attempt_count > 0 {
            self.retired_wire_ids.insert(call.wire_id, self.now + self.site.settings.release_ns);
        }
        Some(call)
    }
}

/// Converts a dialled number to an integer by which the controller recognises it: one of 16 lower-case hex
/// digits is parsed, any other is hashed. Equal numbers give equal integers.
fn number_hash(number: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    signalling::parse_call_id(number).unwrap_or_else(|| {
        let mut hasher = DefaultHasher::new();
        number.hash(&mut hasher);
        hasher.finish()
    })
}
