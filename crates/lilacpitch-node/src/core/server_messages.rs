//! Messages of servers: answers and ends matched to attempts and established calls, late ones recognized.

use super::records::AttemptState;
use super::{Effect, NodeCore, UpstreamId};
use crate::signalling::{self, outcome_of_stop, Load, ServerMessage, CAUSE_NORMAL};
use lilacpitch::interface::{CallId, LoadReport, Nanos, ServerId};
use lilacpitch::Event;

/// Names on the wire of the figures that the settings may name otherwise, in the order of the settings.
const WIRE_REPORT_FIELDS: [&str; 2] = ["x0", "x1"];

/// The fields of a server's `stop`.
struct Stop {
    wire_id: u64,
    cause: u16,
    note: String,
    waited_ns: Option<Nanos>,
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
        }
        match message {
            ServerMessage::Running { uid, body } => match self.call_in_flight(uid, id) {
                Some(call) => {
                    self.note_seen(server);
                    self.establish_call(call, id, body, effects);
                }
                // It may have been on its way since before its set-up was cancelled: no sign of life of now.
                None => self.handle_late_answer(id, server, uid, effects),
            },
            ServerMessage::Stop { uid, cause, note, waited_ns, load } => {
                let stop = Stop { wire_id: uid, cause, note, waited_ns, report: self.load_report(&load) };
                self.handle_stop(id, server, stop, effects);
            }
            ServerMessage::Usage(load) => {
                self.note_seen(server);
                let report = self.load_report(&load);
                self.pending_events.push_back(Event::ServerLoadReported { server, report });
            }
            ServerMessage::Other => self.note_seen(server),
        }
    }

    /// The rejection of a set-up, or the end of an established call.
    fn handle_stop(&mut self, id: UpstreamId, server: ServerId, stop: Stop, effects: &mut Vec<Effect>) {
        let Stop { wire_id, cause, note, waited_ns, report } = stop;
        if let Some(call) = self.call_in_flight(wire_id, id) {
            self.note_seen(server);
            if cause == CAUSE_NORMAL {
                self.end_unanswered_call(call, report, effects);
            } else {
                self.complete_attempt(call, outcome_of_stop(cause, &note, waited_ns), report);
            }
        } else if let Some(call) = self.active_call_at(wire_id, server) {
            self.note_seen(server);
            self.end_call_by_server(call, cause, report, effects);
        } else {
            // The end of a set-up that was cancelled, or of a call that has ended.
            tracing::trace!(wire_id = %format_args!("{wire_id:016x}"), cause, note, server, "late stop unmatched");
            let cancelled = self.upstreams.get_mut(&id).and_then(|up| up.cancelled.remove(&wire_id));
            self.counters.unmatched += u64::from(cancelled.is_none());
            self.pending_events.push_back(Event::ServerLoadReported { server, report });
        }
    }

    /// The call whose set-up is in flight on this connection under this id.
    fn call_in_flight(&self, wire_id: u64, upstream: UpstreamId) -> Option<CallId> {
        let id = self.calls_by_wire_id.get(&wire_id).copied()?;
        let attempt = self.calls.get(&id)?.attempt?;
        matches!(attempt.state, AttemptState::InFlight(own, _) if own == upstream).then_some(id)
    }

    /// The call that is established at this server under this id.
    fn active_call_at(&self, wire_id: u64, server: ServerId) -> Option<CallId> {
        let id = self.calls_by_wire_id.get(&wire_id).copied()?;
        let call = self.calls.get(&id).filter(|call| call.is_established())?;
        call.attempt.filter(|attempt| attempt.server == server).map(|_| id)
    }

    /// An answer to a cancelled set-up is released there; one to a set-up that was never sent is ignored.
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
        // A release names the id alone: none where the call is at the same server by a later attempt.
        let current = self.calls_by_wire_id.get(&wire_id).and_then(|call| self.calls.get(call)?.attempt);
        if is_cancelled && current.is_none_or(|attempt| attempt.server != server) {
            self.transmit(id, signalling::encode_stop(wire_id, CAUSE_NORMAL), None, effects);
        }
    }

    /// A server's load, by the names in the settings, else by those on the wire.
    fn load_report(&self, load: &Load) -> LoadReport {
        let value =
            |index: usize, name: &str| load.get(name).or_else(|| load.get(WIRE_REPORT_FIELDS.get(index)?));
        self.site.report(value).unwrap_or_default()
    }
}
