//! Messages of servers: answers and ends are matched to attempts and established calls, and late ones are
//! recognized.

use super::records::AttemptState;
use super::{Effect, NodeCore, UpstreamId};
use crate::signalling::{self, outcome_of_stop, Load, ServerMessage, CAUSE_NORMAL};
use lilacpitch::interface::{CallId, LoadReport, Nanos, ServerId};
use lilacpitch::Event;

/// Names on the wire of the values in a load report, in the order in which the settings list their own names
/// for them.
const WIRE_REPORT_FIELDS: [&str; 2] = ["x0", "x1"];

/// The fields of a server's `stop`.
struct Stop {
    wire_id: u64,
    cause: u16,
    note: String,
    estimated_wait_ns: Option<Nanos>,
    report: LoadReport,
}

impl NodeCore {
    pub(super) fn handle_server_message(
        &mut self,
        id: UpstreamId,
        message: ServerMessage,
        effects: &mut Vec<Effect>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let server = upstream.server;
        if matches!(message, ServerMessage::Running { .. } | ServerMessage::Stop { .. }) {
            (upstream.is_unresponsive, upstream.last_answer_ns) = (false, self.now);
            upstream.abandoned_wait_ns = 0;
        }
        match message {
            ServerMessage::Running { uid, body } => match self.call_in_flight(uid, id) {
                Some(call) => {
                    self.record_seen(server);
                    self.establish_call(call, id, body, effects);
                }
                // The answer may have been sent before its set-up was cancelled, so it does not show that the
                // server is still running.
                None => self.handle_late_answer(id, server, uid, effects),
            },
            ServerMessage::Stop { uid, cause, note, estimated_wait_ns, load } => {
                let stop =
                    Stop { wire_id: uid, cause, note, estimated_wait_ns, report: self.load_report(&load) };
                self.handle_stop(id, server, stop, effects);
            }
            ServerMessage::Usage(load) => {
                self.record_seen(server);
                let report = self.load_report(&load);
                self.pending_events.push_back(Event::ServerLoadReported { server, report });
            }
            ServerMessage::Other => self.record_seen(server),
        }
    }

    /// Handles the rejection of a set-up, or the end of an established call.
    fn handle_stop(&mut self, id: UpstreamId, server: ServerId, stop: Stop, effects: &mut Vec<Effect>) {
        let Stop { wire_id, cause, note, estimated_wait_ns, report } = stop;
        if let Some(call) = self.call_in_flight(wire_id, id) {
            self.record_seen(server);
            if cause == CAUSE_NORMAL {
                self.end_unanswered_call(call, report, effects);
            } else {
                self.complete_attempt(call, outcome_of_stop(cause, &note, estimated_wait_ns), report);
            }
        } else if let Some(call) = self.active_call_at(wire_id, server) {
            self.record_seen(server);
            self.end_call_by_server(call, cause, report, effects);
        } else {
            // The rejection of a cancelled set-up, the end of a call that is already over, or that of one which
            // no caller has reported yet.
            tracing::trace!(
                wire_id = %format_args!("{wire_id:016x}"),
                cause,
                note,
                server,
                "late stop unmatched"
            );
            let cancelled = self.upstreams.get_mut(&id).and_then(|up| up.cancelled.remove(&wire_id));
            if cancelled.is_none() {
                self.counters.unmatched += 1;
                self.record_unknown_end(wire_id, server, cause);
            }
            self.pending_events.push_back(Event::ServerLoadReported { server, report });
        }
    }

    /// Returns the call with this wire id whose set-up is in flight on a connection.
    fn call_in_flight(&self, wire_id: u64, upstream: UpstreamId) -> Option<CallId> {
        let id = self.calls_by_wire_id.get(&wire_id).copied()?;
        let attempt = self.calls.get(&id)?.attempt?;
        matches!(attempt.state, AttemptState::InFlight(used, _) if used == upstream).then_some(id)
    }

    /// Returns the call with this wire id that is established at a server.
    fn active_call_at(&self, wire_id: u64, server: ServerId) -> Option<CallId> {
        let id = self.calls_by_wire_id.get(&wire_id).copied()?;
        let call = self.calls.get(&id).filter(|call| call.is_established())?;
        call.attempt.filter(|attempt| attempt.server == server).map(|_| id)
    }

    /// Handles an answer that matches no set-up in flight. If its set-up was cancelled, the call is released
    /// at the server; else the answer is ignored.
    fn handle_late_answer(
        &mut self,
        id: UpstreamId,
        server: ServerId,
        wire_id: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.counters.unmatched += 1;
        let uid = self.servers.get(&server).map_or("", |server| &server.uid);
        tracing::trace!(wire_id = %format_args!("{wire_id:016x}"), server = uid, "late answer unmatched");
        let is_cancelled = self.upstreams.get(&id).is_some_and(|up| up.cancelled.contains_key(&wire_id));
        // A release carries only the call's id, so none is sent if a later attempt of the call is at the same
        // server.
        let current = self.calls_by_wire_id.get(&wire_id).and_then(|call| self.calls.get(call)?.attempt);
        if is_cancelled && current.is_none_or(|attempt| attempt.server != server || attempt.is_ending()) {
            self.transmit(id, signalling::encode_stop(wire_id, CAUSE_NORMAL), None, effects);
        }
    }

    /// Converts a server's load report, whose values are named as in the settings or as on the wire.
    fn load_report(&self, load: &Load) -> LoadReport {
        let value =
            |index: usize, name: &str| load.get(name).or_else(|| load.get(WIRE_REPORT_FIELDS.get(index)?));
        self.site.report(value).unwrap_or_default()
    }
}
