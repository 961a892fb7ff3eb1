//! Established calls: how they are adopted, released by either side, or lost with their server. An
//! established call outlives the connections of its set-up.

use super::health_checks::UNREACHABLE_NS;
use super::records::{Attempt, AttemptState, Call, PendingRelease};
use super::releases::Release;
use super::{CallerId, Effect, NodeCore};
use crate::signalling::{self, CAUSE_CUT, CAUSE_NORMAL};
use lilacpitch::interface::{CallId, LoadReport, Outcome, ServerId};

/// Placeholder for the connection of an adopted call's set-up, which was another node's.
const NO_UPSTREAM: super::UpstreamId = 0;

impl NodeCore {
    /// Adopts a call that its caller reports as already established at a server. It gets no response.
    pub(super) fn adopt_call(
        &mut self,
        caller: CallerId,
        wire_id: u64,
        class: usize,
        server: Option<ServerId>,
        effects: &mut Vec<Effect>,
    ) {
        self.callers.entry(caller).and_modify(|caller| caller.is_verified = true);
        self.send_waiting_releases(caller, effects);
        if let Some(id) = self.calls_by_wire_id.get(&wire_id).copied() {
            self.move_to_caller(id, caller);
            return;
        }
        let Some(server) = server else {
            // The server was never listed, or is removed, so the call is over.
            self.release_to_caller(caller, Release { wire_id, cause: CAUSE_CUT }, effects);
            return;
        };
        if self.release_ended_call(caller, wire_id, server, effects) {
            return;
        }
        if !self.has_memory_to_adopt() {
            self.counters.not_adopted += 1;
            return;
        }
        let id = self.next_call;
        self.next_call += 1;
        let charged_bytes = self.charge_established_call();
        self.counters.adopted += 1;
        let state = AttemptState::Established(NO_UPSTREAM);
        let attempt = Attempt { server, number: 0, state, deadline_ns: 0, sent_ns: 0 };
        let call = Call {
            caller,
            wire_id,
            class,
            setup: None,
            attempt: Some(attempt),
            attempt_count: 1,
            used_upstreams: Vec::new(),
            answer_by_ns: 0,
            established_ns: self.now,
            charged_bytes,
        };
        self.calls.insert(id, call);
        self.calls_by_wire_id.insert(wire_id, id);
        self.servers.entry(server).and_modify(|server| _ = server.active_calls.insert(id));
        // The server reports the end of the call on any connection, so there must be one.
        self.ensure_connection(server, effects);
    }

    /// Has the end of an established call reported on the connection on which its caller has named it last.
    fn move_to_caller(&mut self, id: CallId, caller: CallerId) {
        let established = self.calls.get_mut(&id).filter(|call| call.is_established());
        established.into_iter().for_each(|call| call.caller = caller);
    }

    /// Ends an established call that its server has ended.
    pub(super) fn end_call_by_server(
        &mut self,
        id: CallId,
        cause: u16,
        report: LoadReport,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = if cause == CAUSE_NORMAL { Outcome::Completed } else { Outcome::Cut };
        let Some((call, attempt)) = self.remove_active_call(id) else { return };
        self.record_ended_call(call.wire_id, attempt.server, cause);
        self.release_to_caller(call.caller, Release { wire_id: call.wire_id, cause }, effects);
        self.record_outcome(attempt.id(id), outcome, true, report);
    }

    /// Ends a call that its server has ended without an answer to the set-up. The call was established there
    /// and is over, so its caller gets a failure and it is not retried.
    pub(super) fn end_unanswered_call(&mut self, id: CallId, report: LoadReport, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.remove_attempt(id) else { return };
        self.record_outcome(attempt.id(id), Outcome::Completed, true, report);
        self.fail_call(id, effects);
    }

    /// Ends an established call that its caller has ended.
    pub(super) fn end_call_by_caller(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some((call, attempt)) = self.remove_active_call(id) else { return };
        self.record_ended_call(call.wire_id, attempt.server, CAUSE_NORMAL);
        self.release_at_server(attempt, call.wire_id, effects);
        self.record_outcome(attempt.id(id), Outcome::Completed, true, LoadReport::default());
    }

    /// Releases all calls at a lost server, and notifies their callers.
    pub(super) fn release_orphaned_calls(
        &mut self,
        server: ServerId,
        reason: &str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.servers.get(&server) else { return };
        let calls: Vec<_> = record.active_calls.iter().copied().collect();
        calls.into_iter().for_each(|call| self.release_orphaned_call(call, reason, effects));
    }

    /// Releases an established call whose server is lost, and notifies its caller.
    pub(super) fn release_orphaned_call(&mut self, id: CallId, reason: &str, effects: &mut Vec<Effect>) {
        self.counters.orphaned += 1;
        tracing::trace!(call = id, reason, "call orphaned");
        self.end_call_by_server(id, CAUSE_CUT, LoadReport::default(), effects);
    }

    /// Removes an established call and its attempt from the tables.
    fn remove_active_call(&mut self, id: CallId) -> Option<(Call, Attempt)> {
        self.calls.get(&id).filter(|call| call.is_established())?;
        let attempt = self.remove_attempt(id)?;
        Some((self.remove_call(id)?, attempt))
    }

    /// Sends a call's server a release, on the connection of its set-up or else on another.
    fn release_at_server(&mut self, attempt: Attempt, wire_id: u64, effects: &mut Vec<Effect>) {
        let setup_upstream = match attempt.state {
            AttemptState::Established(upstream) => Some(upstream).filter(|id| self.is_upstream_usable(*id)),
            _ => None,
        };
        let bytes = signalling::encode_stop(wire_id, CAUSE_NORMAL);
        match setup_upstream.or_else(|| self.select_upstream(attempt.server, &[], effects)) {
            Some(upstream) if self.is_upstream_up(upstream) => {
                self.transmit(upstream, bytes, None, effects);
            }
            Some(upstream) => {
                let until_ns = self.now + UNREACHABLE_NS;
                // The id stays in use, since the server does not know yet that the call has ended.
                self.retired_wire_ids.insert(wire_id, until_ns);
                let release = PendingRelease { until_ns, bytes };
                self.upstreams.entry(upstream).and_modify(|upstream| upstream.releases.push(release));
            }
            None => {}
        }
    }

    /// Moves releases whose connection was never established to another one, while the server may still be
    /// running.
    pub(super) fn requeue_releases(
        &mut self,
        server: ServerId,
        mut releases: Vec<PendingRelease>,
        effects: &mut Vec<Effect>,
    ) {
        releases.retain(|release| self.now < release.until_ns);
        if releases.is_empty() {
            return;
        }
        let Some(id) = self.select_upstream(server, &[], effects) else { return };
        if self.is_upstream_up(id) {
            releases.into_iter().for_each(|release| _ = self.transmit(id, release.bytes, None, effects));
        } else {
            self.upstreams.entry(id).and_modify(|upstream| upstream.releases.append(&mut releases));
        }
    }
}
