//! Calls and their attempts: taken, sent, answered once, released.

use super::attempt::{Attempt, AttemptState};
use super::site::{dialled, NO_POOL};
use super::{left, AttemptId, CallerId, EdgeCore, Effect, Timer};
use lilacpitch::interface::{self, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_protocol::message::signal::ToServer;

/// What a caller asked for.
pub(super) struct Asked {
    pub call: String,
    pub class: String,
    pub pool: Option<String>,
    pub number: Option<String>,
    pub budget_ms: u64,
}

/// A call that was taken and has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub caller: CallerId,
    /// The caller's id of it.
    pub name: String,
    /// What servers and logs know it by.
    label: String,
    pub class: String,
    pub number: Option<String>,
    pub stands: bool,
    /// What the module is told once the fleet has said where the number is, and since when that is waited for.
    pub waits: Option<(interface::Call, Nanos)>,
    /// The attempt that is queued, out or standing.
    pub attempt: Option<AttemptId>,
    attempts: u32,
    span: tracing::Span,
}

impl EdgeCore {
    /// Takes a call, or says why not, with the id that the caller gave it.
    pub(super) fn take_call(
        &mut self,
        caller: CallerId,
        asked: Asked,
        effects: &mut Vec<Effect>,
    ) -> Result<(), (&'static str, String)> {
        let limits = &self.settings.limits;
        let no = |reason| Err((reason, asked.call.clone()));
        let Some(own) = self.callers.get_mut(&caller) else { return no("unknown caller") };
        if self.stopping {
            return no("the front is stopping");
        }
        if own.contains_key(&asked.call) {
            return no("call id is in use");
        }
        if own.len() >= limits.calls_per_caller {
            return no("too many calls on this connection");
        }
        if self.calls.len() >= limits.calls {
            return no("too many calls at this front");
        }
        let Some(class) = self.site.class(&asked.class) else { return no("unknown class") };
        let first_choice = match &asked.pool {
            None => NO_POOL,
            Some(name) => match self.site.pool(name) {
                Some(number) => number,
                None => return no("unknown pool"),
            },
        };
        let id = self.next_call;
        self.next_call += 1;
        own.insert(asked.call.clone(), id);
        let label = format!("{}/{id}/{}", self.name, asked.call);
        let span = tracing::debug_span!("call", label);
        span.in_scope(|| tracing::debug!(class = asked.class, pool = asked.pool, asked.budget_ms, "taken"));
        self.counters.calls_taken += 1;
        let call = interface::Call {
            id,
            class,
            first_choice,
            // The caller's time began when it sent, which may be before a stall of this front.
            budget_ns: (asked.budget_ms * 1_000_000).saturating_sub(self.stall.span_ns(self.now)),
            dialled: asked.number.as_deref().map(dialled),
            circuits: 1.0,
            retry_after_cut: false,
            in_transit: false,
        };
        let ask = self.asks_fleet(&asked, call.budget_ns);
        if let (Some(patience_ns), Some(number)) = (ask, asked.number.clone()) {
            self.timers.set(Timer::Locate(id), self.now + patience_ns);
            effects.push(Effect::Locate { call: id, number, patience_ns });
        } else {
            self.follow.push_back(Event::CallArrived(call));
        }
        self.calls.insert(
            id,
            Call {
                caller,
                name: asked.call,
                label,
                class: asked.class,
                number: asked.number,
                stands: false,
                waits: ask.map(|_| (call, self.now)),
                attempt: None,
                attempts: 0,
                span,
            },
        );
        Ok(())
    }

    /// The module sends a call to a server.
    pub(super) fn send(&mut self, call: u64, server: ServerId, timeout_ns: Nanos, effects: &mut Vec<Effect>) {
        let resend_gap_ns = self.settings.timing.resend_ns;
        let Some(row) = self.calls.get_mut(&call) else { return };
        let id = self.next_attempt;
        self.next_attempt += 1;
        let hop = row.attempts;
        row.attempts += 1;
        row.attempt = Some(id);
        row.span.in_scope(|| tracing::debug!(attempt = id, server, "sent"));
        let attempt = Attempt { call, server, hop, state: AttemptState::Queued, resend_gap_ns, repeats: 0 };
        self.attempts.insert(id, attempt);
        self.servers.rows.entry(server).and_modify(|row| {
            row.attempts.insert(id);
        });
        self.timers.set(Timer::TimeOut(id), self.now + timeout_ns);
        match self.servers.rows.get(&server).map(|row| row.link) {
            Some(super::links::Link::Up(..)) => self.transmit_setup(id, effects),
            Some(super::links::Link::Connecting(_)) => {}
            // Never reached: the next try to connect is the timer's.
            _ => self.end_attempt(id, Outcome::Unreachable, LoadReport::default(), effects),
        }
        if !self.guards.one_attempt {
            self.send_a_second(call, server, effects);
        }
    }

    /// What a front without its guard would do: for tests of the judge.
    fn send_a_second(&mut self, call: u64, server: ServerId, effects: &mut Vec<Effect>) {
        let other = self.servers.rows.iter().find(|(id, row)| **id != server && row.up().is_some());
        let (Some((other, _)), Some(row)) = (other, self.calls.get(&call)) else { return };
        let (other, id) = (*other, self.next_attempt);
        let message = ToServer::Setup {
            attempt: id,
            call: row.label.clone(),
            class: row.class.clone(),
            number: None,
            repeat: 0,
        };
        self.next_attempt += 1;
        self.transmit(other, &message, None, effects);
    }

    pub(super) fn transmit_setup(&mut self, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Some(call) = self.calls.get(&attempt.call) else { return };
        let (server, gap_ns) = (attempt.server, attempt.resend_gap_ns);
        let message = ToServer::Setup {
            attempt: id,
            call: call.label.clone(),
            class: call.class.clone(),
            number: call.number.clone(),
            repeat: attempt.repeats,
        };
        let not_after = Some(self.set_up_not_after());
        let Some((link, number)) = self.transmit(server, &message, not_after, effects) else { return };
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.repeats == 0 {
            self.counters.attempts_sent += 1;
            attempt.state = AttemptState::Out { link, message: number };
        } else {
            self.counters.attempts_repeated += 1;
        }
        attempt.repeats += 1;
        attempt.resend_gap_ns = gap_ns.saturating_mul(2);
        self.timers.set(Timer::Resend(id), self.now + gap_ns);
    }

    /// An unanswered set-up goes out again, but not to a server that drains: if the first was lost, the repeat
    /// would be new work there.
    pub(super) fn resend(&mut self, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let out = matches!(attempt.state, AttemptState::Out { .. });
        // After a stall of this front both may be due: what has timed out is not sent again.
        let over = self.timers.at(Timer::TimeOut(id)).is_none_or(|at| at <= self.now);
        if out && !over && (self.servers.in_service(attempt.server) || !self.guards.drain_deadline) {
            self.transmit_setup(id, effects);
        }
    }

    /// The module calls an attempt off.
    pub(super) fn cancel(&mut self, call: u64, hop: u32, effects: &mut Vec<Effect>) {
        let Some(id) = self.calls.get(&call).and_then(|c| c.attempt) else { return };
        if self.attempts.get(&id).is_some_and(|a| a.hop == hop && a.state != AttemptState::Standing) {
            self.end_attempt(id, Outcome::Cancelled, LoadReport::default(), effects);
        }
    }

    /// A server answered: the call stands.
    pub(super) fn stands(&mut self, id: AttemptId, report: LoadReport, effects: &mut Vec<Effect>) {
        self.timers.clear(Timer::TimeOut(id));
        self.timers.clear(Timer::Resend(id));
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.state = AttemptState::Standing;
        let (call, hop, server) = (attempt.call, attempt.hop, attempt.server);
        let Some(row) = self.calls.get_mut(&call) else { return };
        row.stands = true;
        let (caller, name) = (row.caller, row.name.clone());
        row.span.in_scope(|| tracing::debug!(attempt = id, "stands"));
        self.counters.calls_stood += 1;
        let answer = ToCaller::Final { call: name, answer: Answer::Stands, come_back_ms: None, cause: None };
        effects.push(Effect::ToCaller(caller, answer.encode()));
        if !self.guards.one_answer {
            effects.push(Effect::ToCaller(caller, answer.encode()));
        }
        self.row_stands(call, server);
        self.follow.push_back(Event::CallEstablished { call, attempt: hop });
        if report.free_capacity.is_some() {
            self.follow.push_back(Event::ServerLoadReported { server, report });
        }
    }

    pub(super) fn refuse(&mut self, id: u64, retry_after_ns: Option<Nanos>, effects: &mut Vec<Effect>) {
        let Some(call) = self.remove_call(id) else { return };
        self.counters.calls_refused += 1;
        call.span.in_scope(|| tracing::debug!(retry_after_ns, "refused"));
        // Rounded up: a caller that comes back a moment early would be refused again.
        let come_back_ms = retry_after_ns.map(|ns| ns.div_ceil(1_000_000));
        let answer = ToCaller::Final { call: call.name, answer: Answer::Refused, come_back_ms, cause: None };
        effects.push(Effect::ToCaller(call.caller, answer.encode()));
    }

    pub(super) fn fail(&mut self, id: u64, cause: &str, effects: &mut Vec<Effect>) {
        let Some(call) = self.remove_call(id) else { return };
        self.counters.calls_failed += 1;
        call.span.in_scope(|| tracing::debug!(cause, "failed"));
        let cause = Some(cause.to_string());
        let answer = ToCaller::Final { call: call.name, answer: Answer::Failed, come_back_ms: None, cause };
        effects.push(Effect::ToCaller(call.caller, answer.encode()));
    }

    /// Takes a call out of the tables: whoever has it in hand owes its one answer, nobody else can.
    pub(super) fn remove_call(&mut self, id: u64) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.timers.clear(Timer::Locate(id));
        self.row_ended(id, &call);
        if let Some(own) = self.callers.get_mut(&call.caller) {
            own.remove(&call.name);
        }
        Some(call)
    }

    pub(super) fn on_release(&mut self, caller: CallerId, name: String, effects: &mut Vec<Effect>) {
        let Some(id) = self.callers.get(&caller).and_then(|own| own.get(&name)).copied() else {
            return self.error(caller, "no such call".into(), Some(name), effects);
        };
        if self.calls.get(&id).is_some_and(|call| call.stands) {
            self.close_call(id, effects);
        } else {
            self.abandon(id, effects);
            self.fail(id, "released by the caller", effects);
        }
    }

    /// A caller's connection has ended: nothing more is owed to it, and nothing of its calls stays at servers.
    pub(super) fn on_caller_closed(&mut self, caller: CallerId, effects: &mut Vec<Effect>) {
        let Some(own) = self.callers.remove(&caller) else { return };
        self.row_left(caller);
        for id in own.into_values() {
            if self.calls.get(&id).is_some_and(|call| call.stands) {
                self.close_call(id, effects);
            } else {
                self.counters.calls_left += 1;
                self.abandon(id, effects);
                self.remove_call(id);
            }
        }
    }

    /// Ends a call that stands, from this side.
    pub(super) fn close_call(&mut self, id: u64, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.remove_call(id).and_then(|call| call.attempt) else { return };
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.forget_attempt(attempt, ended.server);
        self.transmit(ended.server, &ToServer::Release { attempt }, None, effects);
        self.settled(id, ended.hop, ended.server, Outcome::Completed, true, LoadReport::default());
        self.let_go(ended.server, effects);
    }

    /// Gives up a call without an answer, on the caller's or the operator's word: its attempt is cancelled, and
    /// the module told that nothing more is owed.
    pub(super) fn abandon(&mut self, id: u64, effects: &mut Vec<Effect>) {
        if self.calls.get(&id).is_some_and(|call| call.waits.is_none()) {
            self.follow.push_back(Event::ClientDisconnected(id));
        }
        let Some(attempt) = self.calls.get_mut(&id).and_then(|call| call.attempt.take()) else { return };
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.forget_attempt(attempt, ended.server);
        self.counters.attempts_cancelled += 1;
        if left(ended.state) {
            self.transmit(ended.server, &ToServer::Cancel { attempt }, None, effects);
        }
        self.settled(id, ended.hop, ended.server, Outcome::Cancelled, true, LoadReport::default());
        self.let_go(ended.server, effects);
    }
}
