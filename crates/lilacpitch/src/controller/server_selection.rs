//! Server selection: the rules that every set-up must satisfy, load shedding by priority, and the choice
//! among the servers that remain.

use super::*;

impl Controller {
    /// Whether load shedding holds a call back from a server at present.
    fn is_held_back(&self, server: &Server, record: &CallState) -> bool {
        let call = &record.call;
        let awaits_probe =
            |ejection: Ejection| !server.in_flight.is_empty() || self.now < ejection.next_probe_ns;
        if self.now < server.backoff_until_ns.max(server.queue_join_at_ns)
            || server.ejection.is_some_and(awaits_probe)
            || !self.has_slow_start_credit(server)
        {
            return true;
        }
        // A probe of a server that peers reported as unresponsive is not held back by the wait that the same
        // peers report.
        if self.is_probe_due(server) || server.ejection.is_some_and(|ejection| ejection.is_by_peers_only) {
            return false;
        }
        let is_urgent = call.retry_after_cut || call.in_transit;
        let is_below_top_priority = self.priority(record) < self.top_priority;
        if self.is_late(record)
            && !is_urgent
            && self.wait_intervals(server) > LATE_INTERVALS * LATE_CALL_WAIT_SHARE
        {
            return true;
        }
        match self.overload_state(server) {
            0 => false,
            1 => is_below_top_priority && !is_urgent,
            // Calls that were cut are retried all at once: even urgent calls are held back if they would be
            // late.
            _ => !is_urgent || self.expected_wait_ns(server) > self.class(record).latency_objective_ns,
        }
    }

    /// Selects a server for a call among those that are open to it; `None` if there is none. Servers with the
    /// number of the first choice are preferred; among several, the better of two drawn at random is selected
    /// (power of two choices).
    pub(super) fn select_server(&mut self, id: CallId) -> Option<ServerId> {
        let record = self.calls.get(&id)?;
        let mut open = Vec::new();
        for server in self.servers.values() {
            if !self.may_send(record, server) || self.is_held_back(server, record) {
                continue;
            }
            // If other fronts' set-ups wait there too, the first choice is not preferred: else all fronts
            // would queue there.
            let is_long = |wait_ns| wait_ns > scaled(self.resend_ns, LONG_PEER_WAIT_INTERVALS);
            let has_long_queue = server.peer_in_flight > 1 && server.peer_wait_ns.is_some_and(is_long);
            let is_preferred = server.endpoint.number == record.call.first_choice && !has_long_queue;
            // The server of the last attempt is used again only if no other is open.
            let has_failed = record.attempts > 0 && record.server == server.endpoint.server;
            let rank = u8::from(!is_preferred) + 2 * u8::from(has_failed);
            let unanswered = server.in_flight.len() + server.peer_in_flight;
            open.push((rank, unanswered, self.expected_wait_ns(server), server.endpoint.server));
        }
        let best = open.iter().map(|(rank, ..)| *rank).min()?;
        open.retain(|(rank, ..)| *rank == best);
        let first = (self.random_fraction() * open.len() as f64) as usize;
        let second = (first + 1 + (self.random_fraction() * (open.len() - 1) as f64) as usize) % open.len();
        Some(open[first].min(open[second]).3)
    }

    /// Whether the rules allow a call to be sent to a server now. All rules are checked here.
    fn may_send(&self, record: &CallState, server: &Server) -> bool {
        let (class, endpoint) = (self.class(record), &server.endpoint);
        // Only one attempt at a time, after the release of the last one, before the deadline, within the
        // maximum number of attempts, and to a server in service.
        if record.phase != CallPhase::Queued
            || self.now < record.not_before_ns
            || self.now >= record.deadline_ns
            || record.attempts >= self.settings.max_attempts
            || endpoint.availability != Availability::Ready
        {
            return false;
        }
        // A call in transit is sent to its first choice only; no call is sent to this front's own exchange,
        // or to a pool that cannot take its class.
        if (record.call.in_transit && endpoint.number != record.call.first_choice)
            || self.settings.home == Some(endpoint.number)
            || !(class.pools.is_empty() || class.pools.contains(&endpoint.number))
        {
            return false;
        }
        // An exchange reports its circuits at each change; a shared pool does not, so its reports become
        // outdated.
        let is_current = self.settings.home.is_some() || self.now - server.free_capacity_as_of_ns < WINDOW_NS;
        if is_current && server.free_capacity.is_some_and(|free| free < record.call.circuits) {
            return false;
        }
        match (class.idempotency, record.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotencyKey(scope), Some((zone, number, arrived_ns))) => {
                self.now < arrived_ns + class.key_retention_ns
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => zone == endpoint.zone,
                        Scope::Number => number == endpoint.number,
                    }
            }
        }
    }

    /// Whether a set-up may be sent to probe whether those in flight are lost or the server is unresponsive;
    /// at most one in each interval.
    fn is_probe_due(&self, server: &Server) -> bool {
        let last_sent_ns = server.in_flight.last().map_or(self.now, |attempt| attempt.sent_ns);
        self.responded_quickly(server)
            && self.now - last_sent_ns > self.resend_ns.max(self.normal_interval_ns(server))
    }
}
