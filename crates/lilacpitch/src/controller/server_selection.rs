//! Server selection: the rules that every set-up must satisfy, load shedding by priority, and the choice
//! among the servers that remain.

use super::*;

/// A server that is open to a call. The least candidate is the best.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// 0 for the preferred server; higher for others, and highest for the server of a failed attempt.
    rank: u8,
    /// Set-ups in flight there, with those that peers report.
    in_flight: usize,
    expected_wait_ns: Nanos,
    id: ServerId,
}

impl Controller {
    /// Selects a server for a call among those that are open to it; `None` if there is none. Servers with the
    /// number of the first choice are preferred; among several, the better of two drawn at random is selected
    /// (power of two choices).
    pub(super) fn select_server(&mut self, id: CallId) -> Option<ServerId> {
        let record = self.calls.get(&id)?;
        let mut candidates = self.candidates(record);
        let best_rank = candidates.iter().map(|candidate| candidate.rank).min()?;
        candidates.retain(|candidate| candidate.rank == best_rank);
        let count = candidates.len();
        let first = (self.random_fraction() * count as f64) as usize;
        let offset = 1 + (self.random_fraction() * (count - 1) as f64) as usize;
        let second = (first + offset) % count;
        Some(candidates[first].min(candidates[second]).id)
    }

    /// The servers that are open to a call.
    fn candidates(&self, record: &CallState) -> Vec<Candidate> {
        let servers = self.servers.values();
        let open =
            servers.filter(|server| self.may_send(record, server) && !self.is_held_back(server, record));
        let candidate = |server: &Server| Candidate {
            rank: self.rank(server, record),
            in_flight: server.in_flight.len() + server.peer_in_flight,
            expected_wait_ns: self.expected_wait_ns(server),
            id: server.endpoint.server,
        };
        open.map(candidate).collect()
    }

    /// The rank of a server for a call; servers with the lowest rank are considered.
    fn rank(&self, server: &Server, record: &CallState) -> u8 {
        // If other fronts' set-ups wait there too, the first choice is not preferred: else all fronts would
        // queue there.
        let is_long = |wait_ns| wait_ns > scaled(self.resend_ns, LONG_PEER_WAIT_INTERVALS);
        let has_long_peer_queue = server.peer_in_flight > 1 && server.peer_wait_ns.is_some_and(is_long);
        let is_preferred = server.endpoint.number == record.call.first_choice && !has_long_peer_queue;
        // The server of the last attempt is used again only if no other is open.
        let has_failed = record.attempts > 0 && record.server == server.endpoint.server;
        u8::from(!is_preferred) + 2 * u8::from(has_failed)
    }

    /// Whether the rules allow a call to be sent to a server now. All rules are checked here.
    fn may_send(&self, record: &CallState, server: &Server) -> bool {
        self.is_sendable(record)
            && server.is_in_service()
            && self.may_take(record, &server.endpoint)
            && self.has_free_capacity(record, server)
            && self.may_repeat(record, &server.endpoint)
    }

    /// Whether a call may be sent at all: only one attempt at a time, after the release of the last one,
    /// before the deadline, and within the maximum number of attempts.
    fn is_sendable(&self, record: &CallState) -> bool {
        record.phase == CallPhase::Queued
            && self.now >= record.not_before_ns
            && self.now < record.deadline_ns
            && record.attempts < self.settings.max_attempts
    }

    /// Whether a server is a destination of a call. A call in transit is sent to its first choice only; no
    /// call is sent to this front's own exchange, or to a pool that cannot take its class.
    fn may_take(&self, record: &CallState, endpoint: &Endpoint) -> bool {
        let pools = &self.class(record).pools;
        (!record.call.in_transit || endpoint.number == record.call.first_choice)
            && self.settings.home != Some(endpoint.number)
            && (pools.is_empty() || pools.contains(&endpoint.number))
    }

    /// Whether a server has enough free circuits for a call, as far as its load report is current. An
    /// exchange reports its circuits at each change; a shared pool does not, so its reports become outdated.
    fn has_free_capacity(&self, record: &CallState, server: &Server) -> bool {
        let is_current = self.settings.home.is_some() || self.now - server.free_capacity_as_of_ns < WINDOW_NS;
        !(is_current && server.free_capacity.is_some_and(|free| free < record.call.circuits))
    }

    /// Whether a server may be sent a call that may have taken effect before, by the idempotency of its
    /// class.
    fn may_repeat(&self, record: &CallState, endpoint: &Endpoint) -> bool {
        let Some(earlier) = record.may_have_run else { return true };
        let class = self.class(record);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey(scope) => {
                let is_retained = self.now < earlier.call_arrived_ns + class.key_retention_ns;
                let is_in_scope = match scope {
                    Scope::All => true,
                    Scope::Zone => earlier.zone == endpoint.zone,
                    Scope::Number => earlier.number == endpoint.number,
                };
                is_retained && is_in_scope
            }
        }
    }

    /// Whether load shedding holds a call back from a server at present.
    fn is_held_back(&self, server: &Server, record: &CallState) -> bool {
        let awaits_probe =
            |ejection: Ejection| !server.in_flight.is_empty() || self.now < ejection.next_probe_ns;
        if self.now < server.backoff_until_ns.max(server.queue_join_at_ns)
            || server.ejection.is_some_and(awaits_probe)
            || !self.has_slow_start_credit(server)
        {
            return true;
        }
        // A probe is due. The wait that peers report must not hold it back from a server they had ejected.
        if self.is_probe_due(server) || server.ejection.is_some_and(|ejection| ejection.is_by_peers_only) {
            return false;
        }
        let is_urgent = record.call.retry_after_cut || record.call.in_transit;
        let late_call_limit = LATE_INTERVALS * LATE_CALL_WAIT_SHARE;
        if self.is_late(record) && !is_urgent && self.wait_intervals(server) > late_call_limit {
            return true;
        }
        match self.overload_state(server) {
            0 => false,
            1 => self.priority(record) < self.top_priority && !is_urgent,
            // Calls that were cut are all retried at once: urgent calls are held back if they would be late.
            _ => !is_urgent || self.expected_wait_ns(server) > self.class(record).latency_objective_ns,
        }
    }

    /// Whether a set-up may be sent as a probe: its result shows whether those in flight are lost or the
    /// server is unresponsive. At most one is due in each interval.
    fn is_probe_due(&self, server: &Server) -> bool {
        let last_sent_ns = server.in_flight.last().map_or(self.now, |attempt| attempt.sent_ns);
        let interval_ns = self.resend_ns.max(self.normal_interval_ns(server));
        self.responded_quickly(server) && self.now - last_sent_ns > interval_ns
    }
}
