//! Callers' connections and their requests: validated, answered or admitted as calls.
//!
//! What can't be used is rejected with a status; what a caller owes and is owed when it disconnects or is evicted is
//! settled here.

use super::calls::SetupRequest;
use super::path::Path;
use super::records::Caller;
use super::{CallerId, Effect, NodeCore};
use crate::signalling::parse_call_id;
use lilacpitch::interface::{CallId, Nanos};
use lilacpitch_sip::{Message, Request};

/// Longest time that a caller may say it waits, in milliseconds: an hour.
const MAX_LEFT_MS: u64 = 3_600_000;
/// Longest dialled number, in bytes.
const MAX_NUMBER_BYTES: usize = 64;
/// A caller that connects to set up a call does so within this time; where descriptors are short, others are evicted
/// first.
const FIRST_REQUEST_NS: Nanos = 100_000_000;

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
        // Responses to releases need no action.
        let Message::Request(request) = message else { return };
        let handled = match request.method.as_str() {
            "INVITE" => self.handle_invite(id, &request, effects),
            "CANCEL" => self.handle_cancel(id, &request, effects),
            "BYE" => self.handle_bye(id, &request, effects),
            "OPTIONS" => {
                self.answer_test(id, &request, effects);
                Ok(())
            }
            "ACK" => Ok(()),
            _ => Err((405, "Method Not Allowed")),
        };
        if let Err((status, reason)) = handled {
            *self.counters.rejected_messages.entry(status).or_default() += 1;
            effects.push(Effect::ToCaller(id, request.encode_response(status, reason)));
        }
    }

    /// Answers a test of whether the node is ready. After SIGTERM late arrivals are admitted, but no test is passed.
    fn answer_test(&self, caller: CallerId, request: &Request, effects: &mut Vec<Effect>) {
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
            echo: request.copied_fields(),
            first_choice: path.first_choice,
            circuits: path.circuits,
            may_retry_after_cut: path.may_retry_after_cut,
        };
        if self.callers.get(&caller).is_some_and(|caller| caller.is_disconnected) {
            self.counters.cancelled += 1;
            return Ok(());
        }
        self.check_admission(wire_id)?;
        self.admit_call(caller, setup);
        self.flush_unsent_releases(caller, effects);
        Ok(())
    }

    /// Whether one more call may be admitted under this id.
    fn check_admission(&self, wire_id: u64) -> Result<(), Rejection> {
        // Also while ends of its last call may still arrive: they name the id alone.
        let is_retired = self.retired_wire_ids.get(&wire_id).is_some_and(|until| self.now < *until);
        if self.calls_by_wire_id.contains_key(&wire_id) || is_retired {
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

    /// A caller cancels its set-up: nothing more is owed. One that crosses the answer is a release.
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
            // Another caller's set-up: only the connection that it came on may cancel it.
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
        // Those with an attempt go last: the capacity that they free must not go to a call of the same caller.
        let has_attempt = |call: &CallId| self.calls.get(call).is_some_and(|call| call.attempt.is_some());
        let (attempted, queued): (Vec<_>, Vec<_>) = open_calls.into_iter().partition(has_attempt);
        queued.into_iter().chain(attempted).for_each(|call| self.abandon_call(call, effects));
    }

    pub(super) fn handle_caller_closed(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        self.handle_caller_disconnected(id, effects);
        self.callers.remove(&id);
    }

    /// Evicts a caller without an open call: one that never set a call up, unless it has only just connected, else the
    /// one that is idle for longest; never the newest, which is yet to send its first request.
    pub(super) fn evict_idle_caller(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let newest = self.callers.last_key_value().map(|(id, _)| *id);
        let is_idle = |id: CallerId, caller: &Caller| {
            caller.open_calls.is_empty() && !caller.is_evicting && Some(id) != newest
        };
        let idle = self.callers.iter_mut().filter(|(id, caller)| is_idle(**id, caller));
        let is_silent =
            |caller: &Caller| !caller.is_verified && now - caller.last_active_ns > FIRST_REQUEST_NS;
        let least_active = idle.min_by_key(|(_, caller)| (!is_silent(caller), caller.last_active_ns));
        if let Some((id, caller)) = least_active {
            caller.is_evicting = true;
            effects.push(Effect::EvictCaller(*id));
        }
    }

    pub(super) fn handle_eviction_declined(&mut self, id: CallerId) {
        let now = self.now;
        self.callers
            .entry(id)
            .and_modify(|caller| (caller.is_evicting, caller.last_active_ns) = (false, now));
    }
}

fn wire_id(request: &Request) -> Result<u64, Rejection> {
    request.call_id.as_deref().and_then(parse_call_id).ok_or(BAD_CALL_ID)
}

/// How long the caller waits, in milliseconds.
fn left_ms(request: &Request) -> Result<u64, Rejection> {
    let text = request.fields.get("P-Time-Left").ok_or((400, "Missing P-Time-Left"))?;
    let left_ms = text.parse().ok().filter(|ms| (1..=MAX_LEFT_MS).contains(ms));
    left_ms.ok_or((400, "Bad P-Time-Left"))
}

fn session_description(request: &Request) -> Result<String, Rejection> {
    let body = std::str::from_utf8(&request.body).map_err(|_| (400, "Description Is No Text"))?;
    if body.is_empty() {
        return Err((400, "No Description"));
    }
    Ok(body.to_string())
}
