//! Health checks: whether servers with established calls can be reached, and whether connections are
//! responsive.
//!
//! A process that terminates resets its connections, but the loss of a machine, or of the path of a
//! connection, goes unnoticed. The settings may forbid probes, so health is derived from new connections and
//! from answers to set-ups.

use super::records::{Attempt, AttemptState, Server, UpstreamConnection};
use super::upstreams::MAX_UPSTREAMS_PER_SERVER;
use super::{Effect, NodeCore, UpstreamId};
use lilacpitch::interface::{Nanos, ServerId};

/// A server with established calls that has sent nothing for this long is checked by a new connection.
const QUIET_NS: Nanos = 1_500_000_000;
/// A server that may send the ends of calls on a silent connection is offered a new one at this interval, since
/// it sends them on the next connection as well. The platform's protocol page requires a release within 8 s of
/// an end.
const SILENT_RECONNECT_NS: Nanos = 2_000_000_000;
/// Set-ups that were given up by their callers count as unanswered once they have waited for one in this many parts
/// of the resend interval.
const ABANDONED_WAIT_FRACTION: Nanos = 2;
/// A server to which no connection could be made for this long is considered gone, unless it has sent
/// something recently (see [`is_unreachable`]). The platform's protocol page requires that the callers of its
/// calls get their releases within 8 s.
pub(super) const UNREACHABLE_NS: Nanos = 3_000_000_000;

impl NodeCore {
    /// Checks all servers, and removes expired entries of cancelled set-ups, retired wire ids and ended calls.
    pub(super) fn sweep_servers(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        for upstream in self.upstreams.values_mut() {
            upstream.cancelled.retain(|_, until_ns| now < *until_ns);
        }
        self.retired_wire_ids.retain(|_, until_ns| now < *until_ns);
        self.ended_calls.expire(now);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            let Some(server) = self.servers.get(&id) else { continue };
            if is_unreachable(server, now) {
                self.release_orphaned_calls(id, "server unreachable", effects);
            } else if !server.active_calls.is_empty() && now - server.last_seen_ns > QUIET_NS {
                self.reconnect(id, effects);
            }
            self.close_unresponsive(id, effects);
            self.reconnect_after_silence(id, effects);
            self.forget_removed_server(id, effects);
        }
    }

    /// Records that a server has shown that it is running.
    pub(super) fn record_seen(&mut self, server: ServerId) {
        let now = self.now;
        self.servers
            .entry(server)
            .and_modify(|server| (server.last_seen_ns, server.unreachable_since_ns) = (now, None));
    }

    /// Opens a connection to a server with established calls that has none. It either reports the end of
    /// these calls, or shows by its failure that the server can't be reached.
    pub(super) fn ensure_connection(&mut self, server: ServerId, effects: &mut Vec<Effect>) {
        let Some(record) = self.servers.get(&server) else { return };
        if !record.active_calls.is_empty() && record.upstreams.is_empty() {
            self.open_upstream(server, effects);
        }
    }

    /// Opens a new connection to check whether a server is running. If no more may be open, the one
    /// without set-ups on which the fewest calls were established is closed first.
    fn reconnect(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(&id) else { return };
        let is_connecting = |id: &UpstreamId| self.upstreams.get(id).is_some_and(|up| !up.is_up);
        if server.upstreams.iter().any(is_connecting) {
            return;
        }
        if server.upstreams.len() >= MAX_UPSTREAMS_PER_SERVER {
            let is_idle = |id: &&UpstreamId| self.upstreams.get(id).is_some_and(UpstreamConnection::is_idle);
            let idle = server.upstreams.iter().filter(is_idle).copied();
            let call_count = |idle: &UpstreamId| self.count_calls(server, |upstream| upstream == *idle);
            let Some(closed) = idle.min_by_key(call_count) else { return };
            self.close_upstream(closed, effects);
        }
        self.open_upstream(id, effects);
    }

    /// Records that a caller gave up a set-up that was sent on a connection at `sent_ns`. One that soon gives up
    /// shows little, so the set-ups count as unanswered once they have waited for long enough together.
    pub(super) fn record_abandoned(&mut self, id: UpstreamId, sent_ns: Nanos, effects: &mut Vec<Effect>) {
        let now = self.now;
        let least_wait_ns = self.controller.resend_interval_ns() / ABANDONED_WAIT_FRACTION;
        let Some(upstream) = self.upstreams.get_mut(&id).filter(|up| up.last_answer_ns < sent_ns) else {
            return;
        };
        upstream.abandoned_wait_ns += now - sent_ns.max(upstream.abandoned_until_ns);
        upstream.abandoned_until_ns = now;
        if upstream.abandoned_wait_ns >= least_wait_ns {
            self.record_unanswered(id, sent_ns, effects);
        }
    }

    /// Records that a set-up sent on a connection at `sent_ns` got no answer. If nothing was answered there
    /// since then, the connection counts as unresponsive, and the next set-ups use others.
    pub(super) fn record_unanswered(&mut self, id: UpstreamId, sent_ns: Nanos, effects: &mut Vec<Effect>) {
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

    /// Whether a responsive connection to a server is up.
    fn has_responsive_upstream(&self, server: &Server) -> bool {
        server.upstreams.iter().any(|id| self.is_upstream_usable(*id))
    }

    /// Closes unresponsive connections without set-ups, if there is a responsive one or no other may be
    /// opened.
    fn close_unresponsive(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(&id) else { return };
        if !self.has_responsive_upstream(server) && server.upstreams.len() < MAX_UPSTREAMS_PER_SERVER {
            return;
        }
        let is_closed =
            |id: &&UpstreamId| self.upstreams.get(id).is_some_and(|up| up.is_unresponsive && up.is_idle());
        let closed: Vec<_> = server.upstreams.iter().filter(is_closed).copied().collect();
        for upstream in closed {
            self.servers.entry(id).and_modify(|server| server.had_silent_upstream = true);
            self.close_upstream(upstream, effects);
        }
        self.ensure_connection(id, effects);
    }

    /// Returns how many of a server's calls were established on a connection that fulfils a condition.
    fn count_calls(&self, server: &Server, is_counted: impl Fn(UpstreamId) -> bool) -> usize {
        let attempts = server.active_calls.iter().filter_map(|call| self.calls.get(call)?.attempt);
        let is_counted = |attempt: &Attempt| match attempt.state {
            AttemptState::Established(upstream) => is_counted(upstream),
            _ => false,
        };
        attempts.filter(is_counted).count()
    }

    /// Opens a new connection to a server now and then, while calls stand whose ends it may send on a
    /// connection that has fallen silent.
    fn reconnect_after_silence(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(&id).filter(|server| server.had_silent_upstream) else { return };
        let is_due = self.now - server.reconnected_ns >= SILENT_RECONNECT_NS;
        if is_due && self.count_calls(server, |upstream| !self.is_upstream_up(upstream)) > 0 {
            let now = self.now;
            self.servers.entry(id).and_modify(|server| server.reconnected_ns = now);
            self.reconnect(id, effects);
        }
    }
}

/// Whether a server has sent nothing and no connection to it could be made for too long. A connection that
/// replaces an unresponsive one may fail before the server counts as quiet, so both are required.
fn is_unreachable(server: &Server, now: Nanos) -> bool {
    let is_quiet = now - server.last_seen_ns > QUIET_NS + UNREACHABLE_NS;
    is_quiet && server.unreachable_since_ns.is_some_and(|since| now - since > UNREACHABLE_NS)
}
