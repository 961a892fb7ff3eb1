//! Calls that stand: adopted, released by either side, ended with their server. They outlive both connections.

use super::calls::{Attempt, AttemptState, Call};
use super::{CallerId, Effect, NodeCore};
use crate::signalling::{self, CAUSE_CUT, CAUSE_NORMAL};
use lilacpitch::interface::{CallId, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch_sip::Request;

/// Releases kept for a connection that may take them; the oldest go first.
const MOST_UNSENT: usize = 4096;

impl NodeCore {
    /// A call that stands at a server already, by its caller's word: no answer is owed.
    pub(super) fn adopt(
        &mut self,
        caller: CallerId,
        wire: u64,
        class: usize,
        server: Option<ServerId>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), (u16, &'static str)> {
        self.callers.entry(caller).and_modify(|c| c.proven = true);
        self.tell_unsent(caller, effects);
        if self.by_wire.contains_key(&wire) {
            return Ok(());
        }
        let Some(server) = server else {
            // A server that nobody listed, or that is long gone: what stood there is over.
            self.tell_release(caller, wire, CAUSE_CUT, effects);
            return Ok(());
        };
        let id = self.next_call;
        self.next_call += 1;
        self.counters.adopted += 1;
        let state = AttemptState::Standing(0);
        let attempt = Attempt { server, hop: 0, state, until_ns: 0, sent_ns: 0 };
        let call = Call {
            caller,
            wire,
            class,
            set_up: None,
            attempt: Some(attempt),
            hops: 1,
            used: Vec::new(),
            stood_ns: self.now,
        };
        self.calls.insert(id, call);
        self.by_wire.insert(wire, id);
        self.servers.entry(server).and_modify(|s| _ = s.standing.insert(id));
        // The server says on a new connection what is over; with none open it could not say anything.
        self.keep_reachable(server, effects);
        Ok(())
    }

    /// The server's word that a call is over.
    pub(super) fn released_by_server(
        &mut self,
        id: CallId,
        cause: u16,
        report: LoadReport,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = if cause == CAUSE_NORMAL { Outcome::Completed } else { Outcome::Cut };
        let Some((call, attempt)) = self.take_standing(id) else { return };
        self.tell_release(call.caller, call.wire, cause, effects);
        self.settled(id, attempt.hop, attempt.server, outcome, true, report);
    }

    /// The server's word that a call has come to its end, ahead of its answer: it stood there and is over, so that
    /// its caller is told, and it is not set up again.
    pub(super) fn ended_unanswered(&mut self, id: CallId, report: LoadReport, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.take_attempt(id) else { return };
        self.settled(id, attempt.hop, attempt.server, Outcome::Completed, true, report);
        self.fail(id, effects);
    }

    /// The caller's word that a call is over.
    pub(super) fn released_by_caller(&mut self, id: CallId, effects: &mut Vec<Effect>) {
        let Some((call, attempt)) = self.take_standing(id) else { return };
        self.release_at_server(attempt, call.wire, effects);
        self.settled(id, attempt.hop, attempt.server, Outcome::Completed, true, LoadReport::default());
    }

    /// The server is not there any more, and what stood there with it.
    pub(super) fn orphaned(&mut self, id: CallId, why: &str, effects: &mut Vec<Effect>) {
        self.counters.orphans += 1;
        tracing::trace!(call = id, why, "orphan");
        self.released_by_server(id, CAUSE_CUT, LoadReport::default(), effects);
    }

    fn take_standing(&mut self, id: CallId) -> Option<(Call, Attempt)> {
        self.calls.get(&id).filter(|call| call.stands())?;
        let attempt = self.take_attempt(id)?;
        Some((self.take_row(id)?, attempt))
    }

    /// Releases a call at its server: by the connection of its set-up, else by another.
    fn release_at_server(&mut self, attempt: Attempt, wire: u64, effects: &mut Vec<Effect>) {
        let own = match attempt.state {
            AttemptState::Standing(link) => self.upstreams.get(&link).filter(|l| l.up).map(|_| link),
            _ => None,
        };
        let bytes = signalling::encode_stop(wire, CAUSE_NORMAL);
        match own.or_else(|| self.link_for(attempt.server, &[], effects)) {
            Some(link) if self.upstreams.get(&link).is_some_and(|l| l.up) => {
                self.transmit(link, bytes, None, effects);
            }
            Some(link) => {
                let until = self.now + super::upstreams::UNREACHED_NS;
                // Its server knows nothing of its end yet.
                self.resting.insert(wire, until);
                self.upstreams.entry(link).and_modify(|l| l.releases.push((until, bytes)));
            }
            None => {}
        }
    }

    /// Releases whose connection never came up go by the next, for as long as the server may still be there.
    pub(super) fn release_again(
        &mut self,
        server: ServerId,
        mut releases: Vec<(Nanos, Vec<u8>)>,
        effects: &mut Vec<Effect>,
    ) {
        releases.retain(|(until, _)| self.now < *until);
        if releases.is_empty() {
            return;
        }
        let Some(link) = self.link_for(server, &[], effects) else { return };
        if self.upstreams.get(&link).is_some_and(|l| l.up) {
            releases.into_iter().for_each(|(_, bytes)| _ = self.transmit(link, bytes, None, effects));
        } else {
            self.upstreams.entry(link).and_modify(|l| l.releases.append(&mut releases));
        }
    }

    /// A message that a caller's connection did not take: a release goes to another.
    pub(super) fn on_not_taken(&mut self, bytes: Vec<u8>, effects: &mut Vec<Effect>) {
        if bytes.starts_with(b"BYE ") {
            self.send_release(None, bytes, effects);
        }
    }

    /// Tells a caller that its call is over: on the set-up's connection, else on another, else on the next.
    pub(super) fn tell_release(
        &mut self,
        caller: CallerId,
        wire: u64,
        cause: u16,
        effects: &mut Vec<Effect>,
    ) {
        self.send_release(Some(caller), Request::bye(&format!("{wire:016x}"), cause), effects);
    }

    fn send_release(&mut self, caller: Option<CallerId>, bytes: Vec<u8>, effects: &mut Vec<Effect>) {
        let here = |id: &CallerId| self.callers.get(id).is_some_and(|caller| !caller.gone);
        let other = || self.callers.iter().rev().find(|(_, c)| c.proven && !c.gone).map(|(id, _)| *id);
        match caller.filter(here).or_else(other) {
            Some(caller) => effects.push(Effect::ToCaller(caller, bytes)),
            None => {
                self.unsent.push_back(bytes);
                if self.unsent.len() > MOST_UNSENT {
                    self.unsent.pop_front();
                }
            }
        }
    }

    /// A caller has proven to be one: it takes the releases that had no connection.
    pub(super) fn tell_unsent(&mut self, caller: CallerId, effects: &mut Vec<Effect>) {
        if self.callers.get(&caller).is_some_and(|caller| !caller.gone) {
            effects.extend(self.unsent.drain(..).map(|bytes| Effect::ToCaller(caller, bytes)));
        }
    }
}
