//! Callers' connections and requests.
//!
//! Requests are validated, and then answered, admitted as calls or rejected with a status. When a caller
//! disconnects, its open calls are abandoned.

use super::calls::SetupRequest;
use super::path::Path;
use super::{CallerId, Effect, NodeCore};
use crate::signalling::{self, parse_call_id, MAX_LINE_BYTES};
use lilacpitch::interface::CallId;
use lilacpitch_sip::{Message, Request};

/// Longest valid waiting time of a caller, in milliseconds: one hour.
const MAX_LEFT_MS: u64 = 3_600_000;
/// Longest dialled number, in bytes.
const MAX_NUMBER_BYTES: usize = 64;
/// A caller without an open call is disconnected once this many of its requests in a row were invalid. What it
/// sends is handled before the requests of callers that wait to be accepted.
const MAX_INVALID_REQUESTS: u32 = 32;

/// The response that rejects a request: status and reason phrase.
pub(super) type Rejection = (u16, &'static str);

const BAD_CALL_ID: Rejection = (400, "Bad Call-ID");
const NO_SUCH_CALL: Rejection = (481, "No Such Call");

impl NodeCore {
    pub(super) fn handle_caller_message(
        &mut self,
        id: CallerId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        (caller.last_active_ns, caller.is_evicting) = (self.now, false);
        // Responses, which callers send to releases, need no action.
        let Message::Request(request) = message else { return };
        // Counted again below if this one is invalid too.
        let former_invalid_requests = std::mem::take(&mut caller.invalid_requests);
        let handled = match request.method.as_str() {
            "INVITE" => self.handle_invite(id, &request, effects),
            "CANCEL" => self.handle_cancel(id, &request, effects),
            "BYE" => self.handle_bye(id, &request, effects),
            "OPTIONS" => {
                self.answer_readiness_check(id, &request, effects);
                Ok(())
            }
            "ACK" => Ok(()),
            _ => Err((405, "Method Not Allowed")),
        };
        if let Err((status, reason)) = handled {
            *self.counters.rejected_messages.entry(status).or_default() += 1;
            effects.push(Effect::ToCaller(id, request.encode_response(status, reason)));
            self.count_rejected(id, former_invalid_requests, is_invalid(status), effects);
        }
    }

    /// Counts a rejected request after `former` invalid ones in a row, and disconnects the caller if it was
    /// invalid too and these are too many.
    fn count_rejected(&mut self, id: CallerId, former: u32, is_invalid: bool, effects: &mut Vec<Effect>) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.invalid_requests = former + u32::from(is_invalid);
        let is_over_limit = is_invalid && caller.invalid_requests >= MAX_INVALID_REQUESTS;
        if is_over_limit && caller.open_calls.is_empty() && !caller.is_disconnected {
            self.disconnect_caller(id, effects);
        }
    }

    /// Disconnects a caller that sends invalid requests.
    pub(super) fn disconnect_caller(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        self.counters.disconnected_callers += 1;
        effects.push(Effect::CloseCaller(id));
        self.handle_caller_disconnected(id, effects);
    }

    /// Answers a readiness check. After SIGTERM set-ups are still admitted for a while, but readiness checks
    /// fail.
    fn answer_readiness_check(&self, caller: CallerId, request: &Request, effects: &mut Vec<Effect>) {
        let (status, reason) = if self.is_ready() { (200, "OK") } else { (503, "Service Unavailable") };
        effects.push(Effect::ToCaller(caller, request.encode_response(status, reason)));
    }

    fn handle_invite(
        &mut self,
        caller: CallerId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let wire_id = wire_id(request)?;
        let path = Path::parse(request.fields.get("P-Path").unwrap_or(""))?;
        let kind = request.fields.get("P-Kind").ok_or((400, "Missing P-Kind"))?;
        let class = self.site.class_names.iter().position(|name| name == kind);
        let class = class.ok_or((400, "Unknown P-Kind"))?;
        let number = request.user().filter(|number| number.len() <= MAX_NUMBER_BYTES);
        let number = number.ok_or((404, "No Number"))?;
        if let Some(uid) = &path.established_at {
            let server = self.servers_by_uid.get(uid).copied();
            self.adopt_call(caller, wire_id, class, server, effects);
            return Ok(());
        }
        let setup = SetupRequest {
            wire_id,
            class,
            number: number.to_string(),
            left_ms: left_ms(request)?,
            body: session_description(request)?,
            copied_fields: request.copied_fields(),
            first_choice: path.first_choice,
            circuits: path.circuits,
            may_retry_after_cut: path.may_retry_after_cut,
        };
        if self.callers.get(&caller).is_some_and(|caller| caller.is_disconnected) {
            self.counters.cancelled += 1;
            return Ok(());
        }
        self.check_admission(wire_id)?;
        let charged_bytes = self.check_call_memory(caller, &setup)?;
        self.admit_call(caller, setup, charged_bytes);
        self.send_waiting_releases(caller, effects);
        Ok(())
    }

    /// Checks whether a call may be admitted under this id.
    fn check_admission(&self, wire_id: u64) -> Result<(), Rejection> {
        // The id also stays in use while ends of its previous call may still arrive, since they carry only
        // the id.
        let is_retired = self.retired_wire_ids.get(&wire_id).is_some_and(|until_ns| self.now < *until_ns);
        let is_ending = self.ending_wire_ids.contains(&wire_id);
        if self.calls_by_wire_id.contains_key(&wire_id) || is_ending || is_retired {
            return Err((482, "Call-ID In Use"));
        }
        if !self.has_endpoint_list || self.is_admission_closed {
            return Err((503, "Service Unavailable"));
        }
        if self.open_calls >= self.site.max_open {
            return Err((503, "Too Many Calls"));
        }
        Ok(())
    }

    /// Checks whether a call fits into a message for a server, and into the memory for calls. Returns its
    /// memory in bytes.
    fn check_call_memory(&self, caller: CallerId, setup: &SetupRequest) -> Result<usize, Rejection> {
        let class = self.site.class_names.get(setup.class).map_or("", String::as_str);
        let line = signalling::encode_setup(setup.wire_id, class, &setup.number, setup.left_ms, &setup.body);
        if line.len() > MAX_LINE_BYTES {
            return Err((413, "Message Too Long"));
        }
        let bytes = NodeCore::open_call_bytes(setup, line.len());
        if self.has_memory_for_setup(caller, bytes) {
            Ok(bytes)
        } else {
            Err((503, "Too Many Calls"))
        }
    }

    /// Handles a cancellation: the set-up gets no final response. If it crosses the answer, it releases the
    /// call.
    fn handle_cancel(
        &mut self,
        caller: CallerId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let wire_id = wire_id(request)?;
        let id = self.calls_by_wire_id.get(&wire_id).copied().ok_or(NO_SUCH_CALL)?;
        match self.calls.get(&id) {
            Some(call) if call.is_established() => self.end_call_by_caller(id, effects),
            Some(call) if call.caller == caller => self.abandon_call(id, effects),
            // A set-up may be cancelled only on the connection on which it arrived.
            _ => return Err(NO_SUCH_CALL),
        }
        Ok(())
    }

    fn handle_bye(
        &mut self,
        caller: CallerId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let wire_id = wire_id(request)?;
        let id = self.calls_by_wire_id.get(&wire_id).copied();
        let is_established = |id: &CallId| self.calls.get(id).is_some_and(|call| call.is_established());
        let id = id.filter(is_established).ok_or(NO_SUCH_CALL)?;
        self.end_call_by_caller(id, effects);
        effects.push(Effect::ToCaller(caller, request.encode_response(200, "OK")));
        Ok(())
    }

    pub(super) fn handle_caller_disconnected(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.is_disconnected = true;
        let open_calls = std::mem::take(&mut caller.open_calls);
        // Calls with an attempt are abandoned last: the capacity that they free must not be used for another
        // call of this caller.
        let has_attempt = |call: &CallId| self.calls.get(call).is_some_and(|call| call.attempt.is_some());
        let (attempted, queued): (Vec<_>, Vec<_>) = open_calls.into_iter().partition(has_attempt);
        queued.into_iter().chain(attempted).for_each(|call| self.abandon_call(call, effects));
        self.reassign_releases(id, effects);
    }

    pub(super) fn handle_caller_closed(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        self.handle_caller_disconnected(id, effects);
        self.callers.remove(&id);
    }
}

/// Whether a response with this status rejects a request that could never be valid. A request for a call that has
/// just ended, or for which there is no capacity, may be valid.
fn is_invalid(status: u16) -> bool {
    matches!(status, 400 | 404 | 405 | 413)
}

/// Returns the call id of a request.
fn wire_id(request: &Request) -> Result<u64, Rejection> {
    request.call_id.as_deref().and_then(parse_call_id).ok_or(BAD_CALL_ID)
}

/// Returns how long the caller of a set-up waits, in milliseconds.
fn left_ms(request: &Request) -> Result<u64, Rejection> {
    let text = request.fields.get("P-Time-Left").ok_or((400, "Missing P-Time-Left"))?;
    let left_ms = text.parse().ok().filter(|ms| (1..=MAX_LEFT_MS).contains(ms));
    left_ms.ok_or((400, "Bad P-Time-Left"))
}

/// Returns the session description of a set-up.
fn session_description(request: &Request) -> Result<String, Rejection> {
    let body = std::str::from_utf8(&request.body).map_err(|_| (400, "Description Is No Text"))?;
    if body.is_empty() {
        return Err((400, "No Description"));
    }
    Ok(body.to_string())
}
