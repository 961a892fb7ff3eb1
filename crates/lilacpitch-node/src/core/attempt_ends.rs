//! The ends of attempts that are given up: at their time-out, by the controller, or by their caller.
//!
//! An attempt is out until the message that ends it at its server is completely written, or its connection has
//! ended. Until then a call has no other attempt, and its id stays in use. The release time is counted from
//! there. A connection on which the message can't be written in time is closed by the I/O layer.

use super::records::{Attempt, AttemptState, UpstreamConnection};
use super::timers::Timer;
use super::{Effect, NodeCore, UpstreamId};
use crate::signalling;
use lilacpitch::interface::{CallId, LoadReport, Nanos, Outcome};

/// How long cancelled set-ups are kept, so that their late answers are recognized: longer than any answer
/// observed.
const CANCELLED_RETENTION_NS: Nanos = 30_000_000_000;

/// The end of an attempt, whose message is yet to be written.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnwrittenEnd {
    /// The call, which may be over.
    pub call: CallId,
    /// Its id on the wire.
    pub wire_id: u64,
}

impl NodeCore {
    /// Gives up an unanswered attempt. It is completed once its end is written, but no later than the call
    /// has to get its final response.
    pub(super) fn abort_attempt(&mut self, id: CallId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.calls.get(&id).and_then(|call| call.attempt) else { return };
        match attempt.state {
            AttemptState::Established(_) => {}
            AttemptState::Queued(_) => self.complete_attempt(id, outcome, LoadReport::default()),
            AttemptState::InFlight(..) => self.begin_end(id, attempt, outcome, effects),
            // The end is not written, and the caller's time is up: the call gets no further attempt.
            AttemptState::Ending { outcome, .. } => {
                self.complete_attempt(id, outcome, LoadReport::default());
            }
        }
    }

    /// Begins the end of an attempt of a call that goes on.
    fn begin_end(&mut self, id: CallId, attempt: Attempt, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some((upstream, stop_message)) = self.cancel_at_server(id, effects) else { return };
        let tick_ns = self.site.settings.tick_ns;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let state = AttemptState::Ending { upstream, stop_message, outcome };
        call.attempt = Some(Attempt { state, ..attempt });
        // Later than the controller's deadline of the call, so that it does not request another attempt.
        let complete_by_ns = attempt.deadline_ns.max(call.answer_by_ns.saturating_sub(tick_ns));
        self.timers.set(Timer::AttemptTimeout(id), complete_by_ns);
        self.record_unanswered(upstream, attempt.sent_ns, effects);
    }

    /// Cancels a call's attempt at its server, if the set-up is in flight. Returns the connection and the
    /// number of the message that ends it.
    pub(super) fn cancel_at_server(
        &mut self,
        id: CallId,
        effects: &mut Vec<Effect>,
    ) -> Option<(UpstreamId, u64)> {
        let call = self.calls.get(&id)?;
        let (wire_id, attempt) = (call.wire_id, call.attempt?);
        let AttemptState::InFlight(upstream, message) = attempt.state else { return None };
        let until_ns = self.now + CANCELLED_RETENTION_NS;
        let connection = self.upstreams.get_mut(&upstream)?;
        connection.record_cancelled(wire_id, until_ns);
        let stop_message = connection.next_message;
        connection.next_message += 1;
        connection.unwritten_ends.insert(stop_message, UnwrittenEnd { call: id, wire_id });
        self.ending_wire_ids.insert(wire_id);
        let bytes = signalling::encode_stop(wire_id, signalling::CAUSE_NORMAL);
        let write_by_ns = self.now + self.site.settings.release_ns;
        effects.push(Effect::CancelSetup { upstream, message, stop_message, bytes, write_by_ns });
        Some((upstream, stop_message))
    }

    /// Completes an attempt whose end is written, or was not needed because its set-up was not.
    pub(super) fn handle_end_written(&mut self, upstream: UpstreamId, stop_message: u64) {
        let Some(connection) = self.upstreams.get_mut(&upstream) else { return };
        if let Some(end) = connection.unwritten_ends.remove(&stop_message) {
            self.settle_end(end);
        }
    }

    /// Completes the attempts whose ends are not written on a connection that has ended.
    pub(super) fn settle_ends(&mut self, upstream: &UpstreamConnection) {
        upstream.unwritten_ends.values().for_each(|end| self.settle_end(*end));
    }

    /// Completes an attempt that is out no longer. Its id stays in use for the release time.
    fn settle_end(&mut self, end: UnwrittenEnd) {
        self.ending_wire_ids.remove(&end.wire_id);
        self.retired_wire_ids.insert(end.wire_id, self.now + self.site.settings.release_ns);
        let attempt = self.calls.get(&end.call).and_then(|call| call.attempt);
        if let Some(Attempt { state: AttemptState::Ending { outcome, .. }, .. }) = attempt {
            self.complete_attempt(end.call, outcome, LoadReport::default());
        }
    }
}
