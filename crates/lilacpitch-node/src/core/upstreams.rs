//! Connections to servers: how one is selected for a set-up, opened, written to and closed.

use super::records::{AttemptState, Server, UpstreamConnection};
use super::{Effect, NodeCore, UpstreamId};
use lilacpitch::interface::{CallId, LoadReport, Nanos, Outcome, ServerId};

/// Most connections to one server, a limit of the platform's protocol page. With several, the end of one
/// affects few set-ups.
pub(super) const MAX_UPSTREAMS_PER_SERVER: usize = 4;

impl NodeCore {
    /// Selects a connection for one more set-up: the one with the fewest set-ups, or a new one. An
    /// unresponsive one is selected only if no other may be opened, and one of `used` only if there is no
    /// other at all.
    pub(super) fn select_upstream(
        &mut self,
        server: ServerId,
        used: &[UpstreamId],
        effects: &mut Vec<Effect>,
    ) -> Option<UpstreamId> {
        let record = self.servers.get(&server)?;
        let unused = record.upstreams.iter().filter(|id| !used.contains(id));
        let ranked = unused.filter_map(|id| {
            let upstream = self.upstreams.get(id)?;
            Some((upstream.is_unresponsive, !upstream.is_up, upstream.setups.len(), *id))
        });
        let best = ranked.min();
        let may_open = self.has_upstream_capacity(record);
        match best {
            Some((true, ..)) if may_open => self.open_upstream(server, effects),
            Some((_, is_connecting, setup_count, id)) => {
                if may_open && !is_connecting && setup_count > 0 {
                    // Opened ahead, so that the next set-up has a connection of its own.
                    self.open_upstream(server, effects);
                }
                Some(id)
            }
            None if may_open => self.open_upstream(server, effects),
            None => {
                let ids = record.upstreams.iter();
                let ranked = ids.filter_map(|id| self.upstreams.get(id).map(|up| (!up.is_up, *id)));
                ranked.min().map(|(_, id)| id)
            }
        }
    }

    /// Whether another connection to a server may be opened.
    pub(super) fn has_upstream_capacity(&self, server: &Server) -> bool {
        let limit = if self.upstreams.len() < self.max_upstreams { MAX_UPSTREAMS_PER_SERVER } else { 1 };
        server.upstreams.len() < limit
    }

    pub(super) fn is_upstream_up(&self, id: UpstreamId) -> bool {
        self.upstreams.get(&id).is_some_and(|upstream| upstream.is_up)
    }

    /// Whether a connection is up and not known to be unresponsive.
    pub(super) fn is_upstream_usable(&self, id: UpstreamId) -> bool {
        self.upstreams.get(&id).is_some_and(|upstream| upstream.is_up && !upstream.is_unresponsive)
    }

    pub(super) fn open_upstream(
        &mut self,
        server: ServerId,
        effects: &mut Vec<Effect>,
    ) -> Option<UpstreamId> {
        let record = self.servers.get_mut(&server)?;
        let id = self.next_upstream;
        self.next_upstream += 1;
        record.upstreams.push(id);
        self.upstreams.insert(id, UpstreamConnection::new(server, self.now));
        effects.push(Effect::Connect(id, record.address));
        Some(id)
    }

    pub(super) fn close_upstream(&mut self, id: UpstreamId, effects: &mut Vec<Effect>) {
        let Some(upstream) = self.upstreams.remove(&id) else { return };
        self.settle_ends(&upstream);
        self.servers
            .entry(upstream.server)
            .and_modify(|server| server.upstreams.retain(|other| *other != id));
        effects.push(Effect::Disconnect(id));
    }

    /// Sends a message on a connection, and returns its number there; `None` if the connection is not up.
    pub(super) fn transmit(
        &mut self,
        id: UpstreamId,
        bytes: Vec<u8>,
        not_after_ns: Option<Nanos>,
        effects: &mut Vec<Effect>,
    ) -> Option<u64> {
        let upstream = self.upstreams.get_mut(&id).filter(|upstream| upstream.is_up)?;
        let message = upstream.next_message;
        upstream.next_message += 1;
        effects.push(Effect::ToServer { upstream: id, message, bytes, not_after_ns });
        Some(message)
    }

    pub(super) fn handle_upstream_connected(&mut self, id: UpstreamId, effects: &mut Vec<Effect>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        upstream.is_up = true;
        let (server, setups) = (upstream.server, upstream.setups.clone());
        let releases = std::mem::take(&mut upstream.releases);
        self.record_seen(server);
        releases.into_iter().for_each(|release| _ = self.transmit(id, release.bytes, None, effects));
        setups.into_iter().for_each(|call| self.transmit_setup(call, effects));
    }

    pub(super) fn handle_message_dropped(&mut self, id: UpstreamId, message: u64, effects: &mut Vec<Effect>) {
        let Some(upstream) = self.upstreams.get(&id) else { return };
        let is_dropped = |call: &&CallId| {
            let attempt = self.calls.get(call).and_then(|call| call.attempt);
            attempt.is_some_and(|attempt| attempt.state == AttemptState::InFlight(id, message))
        };
        if let Some(call) = upstream.setups.iter().find(is_dropped).copied() {
            self.complete_attempt(call, Outcome::NotSent, LoadReport::default());
            self.run_pending_events(effects);
        }
    }

    pub(super) fn handle_upstream_closed(
        &mut self,
        id: UpstreamId,
        written: u64,
        is_refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(upstream) = self.upstreams.remove(&id) else { return };
        self.settle_ends(&upstream);
        let now = self.now;
        let Some(server) = self.servers.get_mut(&upstream.server) else { return };
        server.upstreams.retain(|other| *other != id);
        self.counters.upstreams_lost += 1;
        if !upstream.is_up {
            server.unreachable_since_ns = server.unreachable_since_ns.or(Some(now));
            let has_other = server
                .upstreams
                .iter()
                .any(|other| self.upstreams.get(other).is_some_and(|upstream| upstream.is_up));
            if is_refused && !has_other {
                // No process listens at the address and no connection is up: the process and its calls are
                // gone.
                self.release_orphaned_calls(upstream.server, "connection refused", effects);
            }
        }
        for call in upstream.setups {
            let state = self.calls.get(&call).and_then(|call| call.attempt).map(|attempt| attempt.state);
            let outcome = match state {
                Some(AttemptState::InFlight(_, message)) if message < written => Outcome::Cut,
                _ => Outcome::Unreachable,
            };
            self.complete_attempt(call, outcome, LoadReport::default());
        }
        if upstream.is_up {
            self.ensure_connection(upstream.server, effects);
        } else if !is_refused {
            self.requeue_releases(upstream.server, upstream.releases, effects);
        }
    }
}
