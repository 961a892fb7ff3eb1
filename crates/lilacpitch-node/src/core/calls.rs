//! Calls and their attempts: taken, sent, answered once.

use super::{CallerId, Effect, NodeCore, Timer, UpstreamId};
use crate::signalling;
use lilacpitch::interface::{self, CallId, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_sip::Response;

/// What a caller asked for.
pub(super) struct Asked {
    pub wire: u64,
    pub class: usize,
    pub number: String,
    pub body: String,
    pub echo: String,
    pub left_ms: u64,
    pub first_choice: u32,
    pub width: f64,
    pub again: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Waits for this connection to be made.
    Queued(UpstreamId),
    /// Given to a connection as its message of this number, and no answer yet.
    Out(UpstreamId, u64),
    /// The call stands; the connection of its set-up, which it may outlive.
    Standing(UpstreamId),
}

/// The attempt of a call that has not ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub server: ServerId,
    /// Its number among the call's attempts, from 0.
    pub hop: u32,
    pub state: AttemptState,
    pub until_ns: Nanos,
    /// When it was given to its connection.
    pub sent_ns: Nanos,
}

/// What is kept of a set-up until it is answered.
#[derive(Debug)]
pub(super) struct SetUp {
    number: String,
    body: String,
    /// What an answer copies of the caller's request.
    echo: String,
}

/// A call that was taken and has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub caller: CallerId,
    pub wire: u64,
    pub class: usize,
    /// Until it stands.
    pub set_up: Option<SetUp>,
    pub attempt: Option<Attempt>,
    pub hops: u32,
    /// Connections that earlier attempts went by: a late answer there is not this one's.
    pub used: Vec<UpstreamId>,
    pub stood_ns: Nanos,
}

impl Call {
    pub fn stands(&self) -> bool {
        self.set_up.is_none()
    }
}

impl NodeCore {
    pub(super) fn take_call(&mut self, caller: CallerId, asked: Asked) {
        let id = self.next_call;
        self.next_call += 1;
        self.counters.taken += 1;
        if let Some(own) = self.callers.get_mut(&caller) {
            own.open.insert(id);
            own.proven = true;
        }
        let call = interface::Call {
            id,
            class: asked.class,
            first_choice: asked.first_choice,
            // The caller's time began when it sent, which may be before a stall of this node.
            budget_ns: (asked.left_ms * 1_000_000).saturating_sub(self.stall.span_ns(self.now)),
            dialled: Some(dialled(&asked.number)),
            circuits: asked.width,
            retry_after_cut: asked.again,
            in_transit: false,
        };
        let set_up = SetUp { number: asked.number, body: asked.body, echo: asked.echo };
        let row = Call {
            caller,
            wire: asked.wire,
            class: asked.class,
            set_up: Some(set_up),
            attempt: None,
            hops: 0,
            used: Vec::new(),
            stood_ns: 0,
        };
        self.calls.insert(id, row);
        self.open += 1;
        self.by_wire.insert(asked.wire, id);
        self.follow.push_back(Event::CallArrived(call));
    }

    /// The module sends a call to a server.
    pub(super) fn send(
        &mut self,
        id: CallId,
        server: ServerId,
        timeout_ns: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        let until_ns = self.now + timeout_ns;
        self.counters.sends += 1;
        let Some(call) = self.calls.get_mut(&id) else {
            // Its caller has gone, and the module is yet to hear of it.
            self.settled(id, 0, server, Outcome::NotSent, true, LoadReport::default());
            return;
        };
        let hop = call.hops;
        call.hops += 1;
        let used = call.used.clone();
        let Some(link) = self.link_for(server, &used, effects) else {
            self.settled(id, hop, server, Outcome::Unreachable, false, LoadReport::default());
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.attempt = Some(Attempt { server, hop, state: AttemptState::Queued(link), until_ns, sent_ns: 0 });
        call.used.push(link);
        self.upstreams.entry(link).and_modify(|l| _ = l.set_ups.insert(id));
        self.timers.set(Timer::TimeOut(id), until_ns);
        tracing::trace!(call = id, hop, server, link, "attempt");
        self.transmit_set_up(id, effects);
    }

    /// Gives a queued set-up to its connection, once that is up.
    pub(super) fn transmit_set_up(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else { return };
        let (Some(attempt), Some(set_up)) = (call.attempt, &call.set_up) else { return };
        let AttemptState::Queued(link) = attempt.state else { return };
        let left_ms = attempt.until_ns.saturating_sub(self.now) / 1_000_000;
        let class = self.site.class_names.get(call.class).map_or("", String::as_str);
        let bytes = signalling::encode_launch(call.wire, class, &set_up.number, left_ms, &set_up.body);
        // None leaves past the grace after a drain, though it was queued just before.
        let not_after = Some(self.now + self.site.drain_grace_ns / 2);
        let Some(message) = self.transmit(link, bytes, not_after, effects) else { return };
        let now = self.now;
        if let Some(attempt) = self.calls.get_mut(&id).and_then(|call| call.attempt.as_mut()) {
            (attempt.state, attempt.sent_ns) = (AttemptState::Out(link, message), now);
        }
    }

    /// The module calls an attempt off.
    pub(super) fn cancel(&mut self, id: CallId, hop: u32, effects: &mut Vec<Effect>) {
        let out = self.calls.get(&id).filter(|call| !call.stands()).and_then(|call| call.attempt);
        if out.is_some_and(|attempt| attempt.hop == hop) {
            self.give_up_attempt(id, Outcome::Cancelled, effects);
        }
    }

    /// An attempt that has no answer ends by this node's own doing: its server is told.
    pub(super) fn give_up_attempt(&mut self, id: CallId, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id).filter(|call| !call.stands()) else { return };
        let out = call.attempt.map(|attempt| (attempt.state, attempt.sent_ns));
        self.withdraw(id, effects);
        if let Some((AttemptState::Out(link, _), sent_ns)) = out {
            self.doubt(link, sent_ns, effects);
        }
        self.end_attempt(id, outcome, LoadReport::default());
    }

    /// Tells the server of an attempt that is out that it is given up.
    pub(super) fn withdraw(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(&id) else { return };
        let (wire, attempt) = (call.wire, call.attempt);
        if let Some(AttemptState::Out(link, message)) = attempt.map(|attempt| attempt.state) {
            let until = self.now + super::upstreams::REMEMBER_NS;
            let Some(row) = self.upstreams.get_mut(&link) else { return };
            row.given_up.insert(wire, until);
            let stop = row.next_message;
            row.next_message += 1;
            let bytes = signalling::encode_stop(wire, signalling::CAUSE_NORMAL);
            effects.push(Effect::CancelSetup { upstream: link, message, stop_message: stop, bytes });
        }
    }

    /// An attempt without an answer is over: the module is told.
    pub(super) fn end_attempt(&mut self, id: CallId, outcome: Outcome, report: LoadReport) {
        if let Some(attempt) = self.take_attempt(id) {
            self.settled(id, attempt.hop, attempt.server, outcome, false, report);
        }
    }

    /// Takes a call's attempt out of the tables.
    pub(super) fn take_attempt(&mut self, id: CallId) -> Option<Attempt> {
        let attempt = self.calls.get_mut(&id)?.attempt.take()?;
        self.timers.clear(Timer::TimeOut(id));
        match attempt.state {
            AttemptState::Queued(link) | AttemptState::Out(link, _) => {
                self.upstreams.entry(link).and_modify(|l| _ = l.set_ups.remove(&id));
            }
            AttemptState::Standing(_) => {
                self.servers.entry(attempt.server).and_modify(|s| _ = s.standing.remove(&id));
            }
        }
        Some(attempt)
    }

    /// A call leaves the tables.
    pub(super) fn take_row(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.open -= usize::from(!call.stands());
        self.by_wire.remove(&call.wire);
        self.callers.entry(call.caller).and_modify(|caller| _ = caller.open.remove(&id));
        self.timers.clear(Timer::TimeOut(id));
        if call.hops > 0 {
            self.resting.insert(call.wire, self.now + self.site.settings.release_ns);
        }
        Some(call)
    }

    /// The caller is gone, or gives its set-up up: nothing more is owed.
    pub(super) fn caller_gives_up(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        if self.calls.get(&id).is_none_or(|call| call.stands()) {
            return;
        }
        self.counters.gone += 1;
        self.follow.push_back(Event::ClientDisconnected(id));
        self.withdraw(id, effects);
        let attempt = self.take_attempt(id);
        self.take_row(id);
        if let Some(attempt) = attempt {
            self.settled(id, attempt.hop, attempt.server, Outcome::Cancelled, true, LoadReport::default());
        }
    }

    /// A server's answer: the call stands.
    pub(super) fn on_answer(
        &mut self,
        id: CallId,
        link: UpstreamId,
        body: String,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (Some(attempt), Some(set_up)) = (&mut call.attempt, call.set_up.take()) else { return };
        attempt.state = AttemptState::Standing(link);
        self.open -= 1;
        call.stood_ns = self.now;
        let (caller, hop, server) = (call.caller, attempt.hop, attempt.server);
        call.used = Vec::new();
        self.timers.clear(Timer::TimeOut(id));
        self.upstreams.entry(link).and_modify(|l| _ = l.set_ups.remove(&id));
        self.servers.entry(server).and_modify(|s| _ = s.standing.insert(id));
        self.callers.entry(caller).and_modify(|c| _ = c.open.remove(&id));
        self.counters.stood += 1;
        self.follow.push_back(Event::CallEstablished { call: id, attempt: hop });
        effects
            .push(Effect::ToCaller(caller, Response::bytes(200, "OK", &set_up.echo, &[], body.as_bytes())));
    }

    /// Final answer: turned away.
    pub(super) fn refuse(&mut self, id: CallId, retry_after_ns: Option<Nanos>, effects: &mut Vec<Effect>) {
        let wait_ms = retry_after_ns.map(|wait| ("P-Gap-Ms", wait.div_ceil(1_000_000).to_string()));
        if self.final_answer(id, 503, "Service Unavailable", wait_ms.as_slice(), effects) {
            self.counters.refused += 1;
        }
    }

    /// Final answer: failed.
    pub(super) fn fail(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        if self.final_answer(id, 500, "Not Set Up", &[], effects) {
            self.counters.failed += 1;
        }
    }

    /// The kill is near: what is open gets its answer by this node's own word, and the module loses it.
    pub(super) fn answer_rest(&mut self, effects: &mut Vec<Effect>) {
        let open: Vec<_> =
            self.calls.iter().filter(|(_, c)| !c.stands()).map(|(id, c)| (*id, c.hops)).collect();
        for (id, hops) in open {
            self.follow.push_back(Event::ClientDisconnected(id));
            match hops {
                0 => self.refuse(id, None, effects),
                _ => self.fail(id, effects),
            }
        }
    }

    fn final_answer(
        &mut self,
        id: CallId,
        status: u16,
        reason: &str,
        more: &[(&str, String)],
        to: &mut Vec<Effect>,
    ) -> bool {
        // The module gives up nothing that is out: this node does, as it leaves.
        self.withdraw(id, to);
        if let Some(attempt) = self.take_attempt(id) {
            self.settled(id, attempt.hop, attempt.server, Outcome::Cancelled, true, LoadReport::default());
        }
        let Some(call) = self.take_row(id) else { return false };
        if let Some(set_up) = call.set_up {
            to.push(Effect::ToCaller(call.caller, Response::bytes(status, reason, &set_up.echo, more, &[])));
        }
        true
    }
}

/// A dialled number as the module compares it: equal for equal digits.
fn dialled(number: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    signalling::parse_call_id(number).unwrap_or_else(|| {
        let mut hash = DefaultHasher::new();
        number.hash(&mut hash);
        hash.finish()
    })
}
