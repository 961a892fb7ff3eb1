//! Health checks of servers: whether those with established calls can be reached, and whether connections answer.
//!
//! A dying process resets its connections, but a machine that vanishes gives no sign, and neither does a connection that
//! is cut off on the way. No probe is sent, which settings may forbid: new connections and answers are the evidence.

use super::records::Server;
use super::upstreams::MAX_UPSTREAMS_PER_SERVER;
use super::{Effect, NodeCore, UpstreamId};
use lilacpitch::interface::{Nanos, ServerId};

/// A server with established calls and no message for so long is checked by a new connection.
const QUIET_NS: Nanos = 1_500_000_000;
/// A server that no connection reaches for so long is gone: releases are owed within 8 s, by the protocol page.
pub(super) const UNREACHABLE_NS: Nanos = 3_000_000_000;

impl NodeCore {
    /// Checks all servers, and forgets what has been remembered for long enough.
    pub(super) fn sweep_servers(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        for upstream in self.upstreams.values_mut() {
            upstream.cancelled.retain(|_, until| now < *until);
        }
        self.retired_wire_ids.retain(|_, until| now < *until);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(server) = self.servers.get(&id) else { continue };
            if is_unreachable(server, now) {
                self.release_orphaned_calls(id, "not reached", effects);
            } else if !server.active_calls.is_empty() && now - server.last_seen_ns > QUIET_NS {
                self.reconnect(id, effects);
            }
            self.close_unresponsive(id, effects);
            self.forget_removed_server(id, effects);
        }
    }

    /// Notes a sign of life of a server.
    pub(super) fn note_seen(&mut self, server: ServerId) {
        let now = self.now;
        self.servers
            .entry(server)
            .and_modify(|server| (server.last_seen_ns, server.unreachable_since_ns) = (now, None));
    }

    /// A server with established calls needs a connection, which can tell of their end, or that none can be made.
    pub(super) fn ensure_connection(&mut self, server: ServerId, effects: &mut Vec<Effect>) {
        let Some(record) = self.servers.get(&server) else { return };
        if !record.active_calls.is_empty() && record.upstreams.is_empty() {
            self.open_upstream(server, effects);
        }
    }

    /// Opens a new connection to see whether a server is there; where four are open, the oldest idle one is closed.
    fn reconnect(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(&id) else { return };
        let is_connecting = |id: &UpstreamId| self.upstreams.get(id).is_some_and(|up| !up.is_up);
        if server.upstreams.iter().any(is_connecting) {
            return;
        }
        if server.upstreams.len() >= MAX_UPSTREAMS_PER_SERVER {
            let is_idle = |id: &&UpstreamId| self.upstreams.get(id).is_some_and(|up| up.setups.is_empty());
            let Some(idle) = server.upstreams.iter().find(is_idle).copied() else { return };
            self.close_upstream(idle, effects);
        }
        self.open_upstream(id, effects);
    }

    /// Notes that a set-up given to a connection at `sent_ns` had no answer. Where nothing has been answered there
    /// since, the connection may be cut off: the next set-ups use others.
    pub(super) fn note_unanswered(&mut self, id: UpstreamId, sent_ns: Nanos, effects: &mut Vec<Effect>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        if upstream.is_unresponsive || upstream.last_answer_ns >= sent_ns {
            return;
        }
        upstream.is_unresponsive = true;
        self.counters.upstreams_unresponsive += 1;
        let server = upstream.server;
        let Some(record) = self.servers.get(&server) else { return };
        tracing::debug!(upstream = id, server = record.uid, "upstream connection unresponsive");
        if !self.has_responsive_upstream(record) && self.has_upstream_capacity(record) {
            self.open_upstream(server, effects);
        }
    }

    /// Whether a connection that answers is up there.
    fn has_responsive_upstream(&self, server: &Server) -> bool {
        let is_responsive =
            |id: &UpstreamId| self.upstreams.get(id).is_some_and(|up| up.is_up && !up.is_unresponsive);
        server.upstreams.iter().any(is_responsive)
    }

    /// Closes unresponsive connections without set-ups, where another answers, or to allow for one.
    fn close_unresponsive(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(&id) else { return };
        if !self.has_responsive_upstream(server) && server.upstreams.len() < MAX_UPSTREAMS_PER_SERVER {
            return;
        }
        let is_closed = |id: &&UpstreamId| {
            self.upstreams.get(id).is_some_and(|up| up.is_unresponsive && up.setups.is_empty())
        };
        let closed: Vec<_> = server.upstreams.iter().filter(is_closed).copied().collect();
        closed.into_iter().for_each(|upstream| self.close_upstream(upstream, effects));
        self.ensure_connection(id, effects);
    }
}

/// Whether no connection has reached a quiet server for too long. A connection that replaces an unresponsive one may
/// fail sooner than a quiet server is checked, so both are required.
fn is_unreachable(server: &Server, now: Nanos) -> bool {
    let is_quiet = now - server.last_seen_ns > QUIET_NS + UNREACHABLE_NS;
    is_quiet && server.unreachable_since_ns.is_some_and(|since| now - since > UNREACHABLE_NS)
}
