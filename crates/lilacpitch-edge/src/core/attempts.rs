//! Attempts: a set-up forwarded to one server, resent while unanswered, cancelled or completed.
//!
//! Each attempt ends once, with an [`Outcome`] that is reported to the controller. If its server may have
//! received the set-up, it is informed of the end as well.

use super::{AttemptId, EdgeCore, Effect, Timer, UpstreamId};
use lilacpitch::interface::{LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_protocol::message::signal::ToServer;

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The set-up waits for a connection.
    Queued,
    /// The set-up was handed to a connection as its message of this number, and is not answered.
    InFlight { upstream: UpstreamId, message: u64 },
    /// The attempt is given up, and the message that ends it is not known to be written.
    Ending {
        /// The connection.
        upstream: UpstreamId,
        /// The number of the message on this connection.
        message: u64,
        /// How the attempt ends.
        outcome: Outcome,
    },
    /// The call is established at the server.
    Established,
}

impl AttemptState {
    /// Whether the set-up was handed to a connection, and the server must be informed of the attempt's end.
    fn must_be_cancelled(self) -> bool {
        matches!(self, AttemptState::InFlight { .. } | AttemptState::Established)
    }

    /// Whether the attempt is given up and waits for its end to be written.
    fn is_ending(self) -> bool {
        matches!(self, AttemptState::Ending { .. })
    }
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct Attempt {
    pub call: u64,
    pub server: ServerId,
    /// Index among the call's attempts, from 0.
    pub index: u32,
    pub state: AttemptState,
    /// Time until the set-up is sent again; doubled with each transmission.
    resend_interval_ns: Nanos,
    /// Number of times that the set-up was handed to a connection.
    transmissions: u32,
}

impl EdgeCore {
    /// Begins an attempt: forwards a call to a server that the controller selected.
    pub(super) fn forward_setup(
        &mut self,
        call_id: u64,
        server: ServerId,
        timeout_ns: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let id = self.next_attempt;
        self.next_attempt += 1;
        let index = call.begin_attempt(id, server);
        let attempt = Attempt {
            call: call_id,
            server,
            index,
            state: AttemptState::Queued,
            resend_interval_ns: self.settings.timing.resend_ns,
            transmissions: 0,
        };
        self.attempts.insert(id, attempt);
        self.servers.add_attempt(server, id);
        self.timers.set(Timer::AttemptTimeout(id), self.now + timeout_ns);
        if self.servers.is_connected(server) {
            self.transmit_setup(id, effects);
        } else if !self.servers.is_connecting(server) {
            // The server is unreachable; the reconnect timer will try to connect again.
            self.end_attempt(id, Outcome::Unreachable, LoadReport::default(), effects);
        }
        if !self.safeguards.one_attempt {
            self.send_second_setup(call_id, server, effects);
        }
    }

    /// Sends a second set-up of the same call, as an edge without
    /// [`Safeguards::one_attempt`](super::Safeguards) does, for tests of the checker.
    fn send_second_setup(&mut self, call_id: u64, server: ServerId, effects: &mut Vec<Effect>) {
        let (Some(other), Some(call)) = (self.servers.connected_other_than(server), self.calls.get(&call_id))
        else {
            return;
        };
        let id = self.next_attempt;
        let message = ToServer::Setup {
            attempt: id,
            call: call.label.clone(),
            class: call.class.clone(),
            number: None,
            repeat: 0,
        };
        self.next_attempt += 1;
        self.transmit(other, &message, None, effects);
    }

    /// Sends the set-up of an attempt on its server's connection, for the first time or again.
    pub(super) fn transmit_setup(&mut self, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(call) = self.calls.get(&attempt.call) else { return };
        let (server, interval_ns) = (attempt.server, attempt.resend_interval_ns);
        let message = ToServer::Setup {
            attempt: id,
            call: call.label.clone(),
            class: call.class.clone(),
            number: call.number.clone(),
            repeat: attempt.transmissions,
        };
        let not_after_ns = Some(self.setup_deadline_ns());
        let Some((upstream, message)) = self.transmit(server, &message, not_after_ns, effects) else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.transmissions == 0 {
            self.counters.setups_sent += 1;
            attempt.state = AttemptState::InFlight { upstream, message };
        } else {
            self.counters.setups_resent += 1;
        }
        attempt.transmissions += 1;
        attempt.resend_interval_ns = interval_ns.saturating_mul(2);
        self.timers.set(Timer::Resend(id), self.now + interval_ns);
    }

    /// When a set-up that is queued now is discarded if it has not been written: after half of the drain
    /// grace period, so that none is sent after the grace period even if it was queued just before the drain.
    fn setup_deadline_ns(&self) -> Nanos {
        self.now + self.settings.rules.drain_grace_ns / 2
    }

    /// Sends an unanswered set-up again, but not to a draining server: if the first one was lost, this one
    /// would be new work there.
    pub(super) fn resend(&mut self, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let is_in_flight = matches!(attempt.state, AttemptState::InFlight { .. });
        // After a stall of this edge both timers may be due: an attempt that has timed out is not sent again.
        let has_timed_out = self.timers.at(Timer::AttemptTimeout(id)).is_none_or(|at| at <= self.now);
        let may_be_sent = self.servers.is_in_service(attempt.server) || !self.safeguards.drain_deadline;
        if is_in_flight && !has_timed_out && may_be_sent {
            self.transmit_setup(id, effects);
        }
    }

    /// Cancels a call's attempt at the controller's request, unless the call is established.
    pub(super) fn cancel_attempt(&mut self, call: u64, index: u32, effects: &mut Vec<Effect>) {
        let Some(id) = self.calls.get(&call).and_then(|call| call.attempt) else { return };
        let Some(attempt) = self.attempts.get(&id) else { return };
        let is_open = !attempt.state.is_ending() && attempt.state != AttemptState::Established;
        if attempt.index == index && is_open {
            self.give_up_attempt(id, Outcome::Cancelled, effects);
        }
    }

    /// Gives up an attempt that is not established, at its time-out or at the controller's request. If the
    /// server may have received the set-up, the attempt is out until the message that ends it is written or its
    /// connection is lost, and the controller is informed then; but no later than the call has to be answered.
    pub(super) fn give_up_attempt(&mut self, id: AttemptId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if let AttemptState::Ending { outcome, .. } = attempt.state {
            // The end is not written, and the caller's time is up: the call gets no further attempt.
            return self.end_attempt(id, outcome, LoadReport::default(), effects);
        }
        let (call, server) = (attempt.call, attempt.server);
        let sent = match attempt.state {
            AttemptState::InFlight { .. } => {
                self.transmit_end(server, &ToServer::Cancel { attempt: id }, effects)
            }
            _ => None,
        };
        let Some((upstream, message)) = sent else {
            return self.end_attempt(id, outcome, LoadReport::default(), effects);
        };
        self.attempts
            .entry(id)
            .and_modify(|attempt| attempt.state = AttemptState::Ending { upstream, message, outcome });
        // Later than the controller's deadline of the call, so that it does not request another attempt.
        let answer_by_ns = self.calls.get(&call).map_or(0, |call| call.answer_by_ns);
        let complete_by_ns = answer_by_ns.saturating_sub(self.settings.timing.tick_ns);
        let timeout_ns = self.timers.at(Timer::AttemptTimeout(id)).unwrap_or(self.now);
        self.clear_attempt_timers(id);
        self.timers.set(Timer::AttemptTimeout(id), complete_by_ns.max(timeout_ns));
    }

    /// Completes an attempt whose end is written.
    pub(super) fn handle_written(&mut self, upstream: UpstreamId, message: u64, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.of_upstream(upstream) else { return };
        let ending = server.attempts.iter().find_map(|id| match self.attempts.get(id)?.state {
            AttemptState::Ending { upstream: used, message: end, outcome } => {
                (used == upstream && end == message).then_some((*id, outcome))
            }
            _ => None,
        });
        if let Some((id, outcome)) = ending {
            self.end_attempt(id, outcome, LoadReport::default(), effects);
        }
    }

    /// Ends an attempt that is not established and informs the controller. Its server knows of the end, or never
    /// had the set-up.
    pub(super) fn end_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        report: LoadReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.forget_attempt(id, attempt.server);
        match outcome {
            Outcome::TimedOut => self.counters.attempts_timed_out += 1,
            Outcome::Cancelled => self.counters.attempts_cancelled += 1,
            Outcome::Overloaded(_) => self.counters.attempts_overloaded += 1,
            _ => {}
        }
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.attempt = None;
        }
        self.report_completion(&attempt, outcome, false, report);
        self.disconnect_if_removed(attempt.server, effects);
    }

    /// Cancels the attempt of an abandoned call, and informs the controller that no further attempt follows.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.forget_attempt(id, attempt.server);
        self.counters.attempts_cancelled += 1;
        if attempt.state.must_be_cancelled() {
            self.transmit(attempt.server, &ToServer::Cancel { attempt: id }, None, effects);
        }
        self.report_completion(&attempt, Outcome::Cancelled, true, LoadReport::default());
        self.disconnect_if_removed(attempt.server, effects);
    }

    /// Releases the attempt of a call that was established.
    pub(super) fn release_attempt(&mut self, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.forget_attempt(id, attempt.server);
        self.transmit(attempt.server, &ToServer::Release { attempt: id }, None, effects);
        self.report_completion(&attempt, Outcome::Completed, true, LoadReport::default());
        self.disconnect_if_removed(attempt.server, effects);
    }

    fn forget_attempt(&mut self, id: AttemptId, server: ServerId) {
        self.clear_attempt_timers(id);
        self.servers.remove_attempt(server, id);
    }

    pub(super) fn clear_attempt_timers(&mut self, id: AttemptId) {
        self.timers.clear(Timer::AttemptTimeout(id));
        self.timers.clear(Timer::Resend(id));
    }

    /// Reports the end of an attempt to the controller. `is_final`: its call has ended with it.
    pub(super) fn report_completion(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        is_final: bool,
        report: LoadReport,
    ) {
        self.pending_events.push_back(Event::AttemptCompleted {
            call: attempt.call,
            attempt: attempt.index,
            server: attempt.server,
            outcome,
            is_final,
            report,
        });
    }
}
