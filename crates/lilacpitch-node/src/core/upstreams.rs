//! Servers and the connections to them.

use super::calls::AttemptState;
use super::{Effect, NodeCore, Timer, UpstreamId};
use crate::signalling::{outcome_of_stop, Load, ServerMessage};
use lilacpitch::interface::{CallId, Endpoint, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Connections to one server, by the protocol page on its messages: what ends one takes few set-ups with it.
const LINKS_PER_SERVER: usize = 4;
/// Servers are looked at so often.
pub(super) const LOOK_NS: Nanos = 250_000_000;
/// A server with calls that stand, and nothing heard for so long, is tried by a new connection.
const QUIET_NS: Nanos = 1_500_000_000;
/// A server that no connection reaches for so long is not there any more: releases are owed within 8 s.
pub(super) const UNREACHED_NS: Nanos = 3_000_000_000;
/// Set-ups given up are remembered for so long, to tell their late answers.
pub(super) const REMEMBER_NS: Nanos = 30_000_000_000;

/// A connection to a server.
#[derive(Debug)]
pub(super) struct Link {
    pub server: ServerId,
    pub up: bool,
    /// A set-up went unanswered, and no later one was answered here: it may be cut off without a sign.
    mute: bool,
    /// When it last brought an answer, or an end.
    answered_ns: Nanos,
    pub next_message: u64,
    /// Calls whose set-up is queued or out here.
    pub set_ups: BTreeSet<CallId>,
    /// Ids whose set-up here was given up, and until when that is remembered.
    pub given_up: BTreeMap<u64, Nanos>,
    /// Releases that wait for this connection to be made, and until when they are worth another.
    pub releases: Vec<(Nanos, Vec<u8>)>,
}

/// A server that was listed.
#[derive(Debug)]
pub(super) struct Server {
    pub uid: String,
    pub address: SocketAddr,
    pub entry: Endpoint,
    pub boot_ms: u64,
    pub links: Vec<UpstreamId>,
    /// Calls that stand there.
    pub standing: BTreeSet<CallId>,
    /// When a message or a new connection last showed that it is there.
    pub heard_ns: Nanos,
    /// Since when no connection could be made.
    pub unreached_ns: Option<Nanos>,
}

impl NodeCore {
    /// A connection for one more set-up, not one of `used`: the one with the fewest set-ups, or a new one. A mute
    /// one only where no other may be made.
    pub(super) fn link_for(
        &mut self,
        server: ServerId,
        used: &[UpstreamId],
        effects: &mut Vec<Effect>,
    ) -> Option<UpstreamId> {
        let row = self.servers.get(&server)?;
        let free = row.links.iter().filter(|id| !used.contains(id));
        let ranked =
            free.filter_map(|id| self.upstreams.get(id).map(|l| (l.mute, !l.up, l.set_ups.len(), *id)));
        let best = ranked.min();
        let more = self.room_for_link(row);
        match best {
            Some((true, ..)) if more => self.open_link(server, effects),
            Some((_, down, set_ups, id)) => {
                if more && !down && set_ups > 0 {
                    // The next one need not share.
                    self.open_link(server, effects);
                }
                Some(id)
            }
            None if more => self.open_link(server, effects),
            None => row
                .links
                .iter()
                .filter_map(|id| self.upstreams.get(id).map(|l| (!l.up, *id)))
                .min()
                .map(|l| l.1),
        }
    }

    fn room_for_link(&self, server: &Server) -> bool {
        let most = if self.upstreams.len() < self.max_links { LINKS_PER_SERVER } else { 1 };
        server.links.len() < most
    }

    /// A set-up given to this connection then went unanswered. Where nothing has been answered there since, the
    /// connection may be cut off: the next set-ups take others.
    pub(super) fn doubt(&mut self, id: UpstreamId, sent_ns: Nanos, effects: &mut Vec<Effect>) {
        let Some(link) = self.upstreams.get_mut(&id) else { return };
        if link.mute || link.answered_ns >= sent_ns {
            return;
        }
        link.mute = true;
        self.counters.links_mute += 1;
        let server = link.server;
        let Some(row) = self.servers.get(&server) else { return };
        tracing::debug!(link = id, server = row.uid, "connection brings no answers");
        if !self.answers_elsewhere(row) && self.room_for_link(row) {
            self.open_link(server, effects);
        }
    }

    /// Whether a connection is up there that is not mute.
    fn answers_elsewhere(&self, server: &Server) -> bool {
        server.links.iter().any(|id| self.upstreams.get(id).is_some_and(|l| l.up && !l.mute))
    }

    /// Closes mute connections that no set-up is out on: where another is up, or to make room for one.
    fn drop_mute(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(row) = self.servers.get(&id) else { return };
        if !self.answers_elsewhere(row) && row.links.len() < LINKS_PER_SERVER {
            return;
        }
        let idle = |id: &&UpstreamId| self.upstreams.get(id).is_some_and(|l| l.mute && l.set_ups.is_empty());
        let idle: Vec<_> = row.links.iter().filter(idle).copied().collect();
        idle.into_iter().for_each(|link| self.drop_link(link, effects));
        self.keep_reachable(id, effects);
    }

    fn open_link(&mut self, server: ServerId, effects: &mut Vec<Effect>) -> Option<UpstreamId> {
        let row = self.servers.get_mut(&server)?;
        let id = self.next_link;
        self.next_link += 1;
        row.links.push(id);
        let link = Link {
            server,
            up: false,
            mute: false,
            answered_ns: 0,
            next_message: 0,
            set_ups: BTreeSet::new(),
            given_up: BTreeMap::new(),
            releases: Vec::new(),
        };
        self.upstreams.insert(id, link);
        effects.push(Effect::Connect(id, row.address));
        Some(id)
    }

    /// Gives a message to a connection that is up; its number there.
    pub(super) fn transmit(
        &mut self,
        id: UpstreamId,
        bytes: Vec<u8>,
        not_after_ns: Option<Nanos>,
        effects: &mut Vec<Effect>,
    ) -> Option<u64> {
        let link = self.upstreams.get_mut(&id).filter(|link| link.up)?;
        let message = link.next_message;
        link.next_message += 1;
        effects.push(Effect::ToServer { upstream: id, message, bytes, not_after_ns });
        Some(message)
    }

    pub(super) fn on_link_up(&mut self, id: UpstreamId, effects: &mut Vec<Effect>) {
        let Some(link) = self.upstreams.get_mut(&id) else { return };
        link.up = true;
        let (server, waiting) = (link.server, link.set_ups.clone());
        let releases = std::mem::take(&mut link.releases);
        self.heard(server);
        releases.into_iter().for_each(|(_, bytes)| _ = self.transmit(id, bytes, None, effects));
        waiting.into_iter().for_each(|call| self.transmit_set_up(call, effects));
    }

    fn heard(&mut self, server: ServerId) {
        let now = self.now;
        self.servers.entry(server).and_modify(|s| (s.heard_ns, s.unreached_ns) = (now, None));
    }

    pub(super) fn on_link_message(
        &mut self,
        id: UpstreamId,
        message: ServerMessage,
        effects: &mut Vec<Effect>,
    ) {
        let Some(link) = self.upstreams.get_mut(&id) else { return };
        let server = link.server;
        if matches!(message, ServerMessage::Running { .. } | ServerMessage::Stop { .. }) {
            (link.mute, link.answered_ns) = (false, self.now);
        }
        match message {
            ServerMessage::Running { uid, body } => match self.out_here(uid, id) {
                Some(call) => {
                    self.heard(server);
                    self.on_answer(call, id, body, effects);
                }
                // It may have been on its way for as long as its set-up was given up: no sign of life of now.
                None => self.on_stray_answer(id, server, uid, effects),
            },
            ServerMessage::Stop { uid, cause, note, waited_ns, load } => {
                let report = self.report(&load);
                if let Some(call) = self.out_here(uid, id) {
                    self.heard(server);
                    if cause == crate::signalling::CAUSE_NORMAL {
                        self.ended_unanswered(call, report, effects);
                    } else {
                        self.end_attempt(call, outcome_of_stop(cause, &note, waited_ns), report);
                    }
                } else if let Some(call) = self.standing_at(uid, server) {
                    self.heard(server);
                    self.released_by_server(call, cause, report, effects);
                } else {
                    // The end of what was given up, or of what was told before.
                    tracing::trace!("late: an end of {uid:016x}, cause {cause} {note}, server={server}");
                    let known = self.upstreams.get_mut(&id).and_then(|l| l.given_up.remove(&uid)).is_some();
                    self.counters.strays += u64::from(!known);
                    self.follow.push_back(Event::ServerLoadReported { server, report });
                }
            }
            ServerMessage::Usage(load) => {
                self.heard(server);
                let report = self.report(&load);
                self.follow.push_back(Event::ServerLoadReported { server, report });
            }
            ServerMessage::Other => self.heard(server),
        }
    }

    /// The call whose set-up is out on this connection under this id.
    fn out_here(&self, wire: u64, link: UpstreamId) -> Option<CallId> {
        let id = self.by_wire.get(&wire).copied()?;
        let attempt = self.calls.get(&id)?.attempt?;
        matches!(attempt.state, AttemptState::Out(l, _) if l == link).then_some(id)
    }

    fn standing_at(&self, wire: u64, server: ServerId) -> Option<CallId> {
        let id = self.by_wire.get(&wire).copied()?;
        let call = self.calls.get(&id).filter(|call| call.stands())?;
        call.attempt.filter(|attempt| attempt.server == server).map(|_| id)
    }

    /// An answer to what was given up is released there; one to what was never sent means nothing.
    fn on_stray_answer(&mut self, id: UpstreamId, server: ServerId, wire: u64, effects: &mut Vec<Effect>) {
        self.counters.strays += 1;
        let uid = self.servers.get(&server).map_or("", |row| &row.uid);
        tracing::trace!("late: an answer to {wire:016x}, which is not out on that connection, server={uid}");
        let given_up = self.upstreams.get(&id).is_some_and(|l| l.given_up.contains_key(&wire));
        // The id alone names what to release: never where the call is at the same server anew.
        let anew = self.by_wire.get(&wire).and_then(|call| self.calls.get(call)?.attempt);
        if given_up && anew.is_none_or(|attempt| attempt.server != server) {
            self.transmit(
                id,
                crate::signalling::encode_stop(wire, crate::signalling::CAUSE_NORMAL),
                None,
                effects,
            );
        }
    }

    fn report(&self, load: &Load) -> LoadReport {
        // By the name in the settings, or by the place among them.
        let value = |index: usize, name: &str| load.get(name).or_else(|| load.get(["x0", "x1"].get(index)?));
        self.site.report(value).unwrap_or_default()
    }

    pub(super) fn on_not_written(&mut self, id: UpstreamId, message: u64, effects: &mut Vec<Effect>) {
        let Some(link) = self.upstreams.get(&id) else { return };
        let out = |call: &&CallId| {
            let attempt = self.calls.get(call).and_then(|call| call.attempt);
            attempt.is_some_and(|a| a.state == AttemptState::Out(id, message))
        };
        if let Some(call) = link.set_ups.iter().find(out).copied() {
            self.end_attempt(call, Outcome::NotSent, LoadReport::default());
            self.run_follow(effects);
        }
    }

    pub(super) fn on_link_down(
        &mut self,
        id: UpstreamId,
        written: u64,
        refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(link) = self.upstreams.remove(&id) else { return };
        let now = self.now;
        let Some(row) = self.servers.get_mut(&link.server) else { return };
        row.links.retain(|other| *other != id);
        self.counters.links_lost += 1;
        if !link.up {
            row.unreached_ns = row.unreached_ns.or(Some(now));
            let others = row.links.iter().any(|link| self.upstreams.get(link).is_some_and(|l| l.up));
            if refused && !others {
                // Nobody listens there, and no connection lives: the process is gone, and its calls with it.
                let standing: Vec<_> = row.standing.iter().copied().collect();
                standing.into_iter().for_each(|call| self.orphaned(call, "nobody listens", effects));
            }
        }
        for call in link.set_ups {
            let state = self.calls.get(&call).and_then(|call| call.attempt).map(|attempt| attempt.state);
            let outcome = match state {
                Some(AttemptState::Out(_, message)) if message < written => Outcome::Cut,
                _ => Outcome::Unreachable,
            };
            self.end_attempt(call, outcome, LoadReport::default());
        }
        if link.up {
            self.keep_reachable(link.server, effects);
        } else if !refused {
            self.release_again(link.server, link.releases, effects);
        }
    }

    /// Calls that stand at a server need a connection that can tell of their end, or that none can be made.
    pub(super) fn keep_reachable(&mut self, server: ServerId, effects: &mut Vec<Effect>) {
        let Some(row) = self.servers.get(&server) else { return };
        if !row.standing.is_empty() && row.links.is_empty() {
            self.open_link(server, effects);
        }
    }

    /// Looks at what stands at servers that say nothing, and forgets what is gone.
    pub(super) fn look(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        self.timers.set(Timer::Look, now + LOOK_NS);
        for link in self.upstreams.values_mut() {
            link.given_up.retain(|_, until| now < *until);
        }
        self.resting.retain(|_, until| now < *until);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(row) = self.servers.get(&id) else { continue };
            // A connection made anew because another was mute may fail sooner than a quiet server is tried.
            let quiet = now - row.heard_ns > QUIET_NS + UNREACHED_NS;
            let unreached = quiet && row.unreached_ns.is_some_and(|since| now - since > UNREACHED_NS);
            if unreached {
                let standing: Vec<_> = row.standing.iter().copied().collect();
                standing.into_iter().for_each(|call| self.orphaned(call, "not reached", effects));
            } else if !row.standing.is_empty() && now - row.heard_ns > QUIET_NS {
                self.try_anew(id, effects);
            }
            self.drop_mute(id, effects);
            self.forget_gone(id, effects);
        }
    }

    /// Makes a new connection to see whether a server is there; the oldest makes room.
    fn try_anew(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(row) = self.servers.get(&id) else { return };
        if row.links.iter().any(|link| self.upstreams.get(link).is_some_and(|l| !l.up)) {
            return;
        }
        if row.links.len() >= LINKS_PER_SERVER {
            let idle = |link: &&UpstreamId| self.upstreams.get(link).is_some_and(|l| l.set_ups.is_empty());
            let Some(idle) = row.links.iter().find(idle).copied() else { return };
            self.drop_link(idle, effects);
        }
        self.open_link(id, effects);
    }

    pub(super) fn drop_link(&mut self, id: UpstreamId, effects: &mut Vec<Effect>) {
        let Some(link) = self.upstreams.remove(&id) else { return };
        self.servers.entry(link.server).and_modify(|s| s.links.retain(|other| *other != id));
        effects.push(Effect::Disconnect(id));
    }
}
