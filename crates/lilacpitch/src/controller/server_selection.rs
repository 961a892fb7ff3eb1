//! Server selection: the rules every set-up must pass, load shedding by priority, and the pick.

use super::*;

impl Controller {
    /// Load shedding by priority: whether this call is held back from this server at present.
    fn is_held_back(&self, server: &Server, record: &CallState) -> bool {
        let call = &record.call;
        let rests = |s: Ejection| !server.in_flight.is_empty() || self.now < s.next_probe_ns;
        if self.now < server.backoff_until_ns.max(server.join_at_ns)
            || server.ejection.is_some_and(rests)
            || !self.has_credit(server)
        {
            return true;
        }
        // A probe is due: the reported wait comes from the same peers, and does not hold it back.
        if self.may_probe(server) || server.ejection.is_some_and(|s| s.is_by_peers_only) {
            return false;
        }
        let urgent = call.retry_after_cut || call.in_transit;
        let cheapest = self.priority(record) < self.top_priority;
        if self.is_late(record) && !urgent && self.wait_intervals(server) > LATE_INTERVALS * LATE_CALL_SHARE {
            return true;
        }
        match self.overload_state(server) {
            0 => false,
            1 => cheapest && !urgent,
            // Cut calls are retried all at once: urgent calls wait as well if they would be late.
            _ => !urgent || self.expected_wait_ns(server) > self.class(record).latency_objective_ns,
        }
    }

    /// Picks among the open servers: the first choice, else the one of two drawn with fewer in flight;
    /// where several servers share the first choice's number, among those.
    pub(super) fn select_server(&mut self, id: CallId) -> Option<ServerId> {
        let record = self.calls.get(&id)?;
        let mut open = Vec::new();
        for server in self.servers.values() {
            if !self.may_send(record, server) || self.is_held_back(server, record) {
                continue;
            }
            // If other fronts wait there too, the first choice is drawn like the rest: else many would queue.
            let waits = |wait| wait > scaled(self.resend_ns, LONG_PEER_WAIT);
            let long = server.peer_in_flight > 1 && server.peer_wait_ns.is_some_and(waits);
            let is_first_choice = server.endpoint.number == record.call.first_choice && !long;
            // The server of a failed attempt is used again only if no other is open.
            let failed = record.attempts > 0 && record.server == server.endpoint.server;
            let rank = u8::from(!is_first_choice) + 2 * u8::from(failed);
            let unanswered = server.in_flight.len() + server.peer_in_flight;
            open.push((rank, unanswered, self.expected_wait_ns(server), server.endpoint.server));
        }
        let best = open.iter().map(|(rank, ..)| *rank).min()?;
        open.retain(|(rank, ..)| *rank == best);
        let one = (self.random_fraction() * open.len() as f64) as usize;
        let other = (one + 1 + (self.random_fraction() * (open.len() - 1) as f64) as usize) % open.len();
        Some(open[one].min(open[other]).3)
    }

    /// The rules, in one place: whether this call may be forwarded to this server now.
    fn may_send(&self, record: &CallState, server: &Server) -> bool {
        let (class, endpoint) = (self.class(record), &server.endpoint);
        // One attempt at a time, released, in time, within the attempts allowed, to a server in service.
        if record.phase != CallPhase::Queued
            || self.now < record.not_before_ns
            || self.now >= record.deadline_ns
            || record.attempts >= self.settings.max_attempts
            || endpoint.availability != Availability::Ready
        {
            return false;
        }
        // A call in transit goes to its destination only, and none to the own exchange or without its skill.
        if (record.call.in_transit && endpoint.number != record.call.first_choice)
            || self.settings.home == Some(endpoint.number)
            || !(class.pools.is_empty() || class.pools.contains(&endpoint.number))
        {
            return false;
        }
        // Own circuits are reported at each change; lines of a shared pool are not, and reports age.
        let holds = self.settings.home.is_some() || self.now - server.free_as_of_ns < WINDOW_NS;
        if holds && server.free_capacity.is_some_and(|free| free < record.call.circuits) {
            return false;
        }
        match (class.idempotency, record.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotencyKey(scope), Some((zone, number, sent_ns))) => {
                self.now < sent_ns + class.key_retention_ns
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => zone == endpoint.zone,
                        Scope::Number => number == endpoint.number,
                    }
            }
        }
    }

    /// Whether a set-up may probe if those in flight are lost or the server unresponsive: one per interval.
    fn may_probe(&self, server: &Server) -> bool {
        let last_ns = server.in_flight.last().map_or(self.now, |o| o.sent_ns);
        self.responded_quickly(server)
            && self.now - last_ns > self.resend_ns.max(self.normal_interval_ns(server))
    }
}
