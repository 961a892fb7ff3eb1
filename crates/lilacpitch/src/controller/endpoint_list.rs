//! Updates of the endpoint list: which servers there are, and what a new one inherits.

use super::*;

impl Controller {
    /// Applies an update. A restarted server keeps its set-ups in flight and its number's normal rate.
    pub(super) fn handle_endpoints_updated(&mut self, update: EndpointUpdate) {
        let endpoints = match update {
            EndpointUpdate::Failed => {
                // Immediate retries of all fronts together would make discovery fail.
                let wait = PERIOD_NS * 5 + scaled(PERIOD_NS * 10, self.random_fraction());
                self.subscribe_ns = Some(self.now + wait).filter(|_| self.settings.must_subscribe);
                return;
            }
            EndpointUpdate::Changes(endpoints) => endpoints,
            EndpointUpdate::Full(endpoints) => {
                let listed = |s: &Server| endpoints.iter().any(|e| e.server == s.endpoint.server);
                let is_removed = self.servers.values_mut().filter(|s| !listed(s));
                is_removed.for_each(|s| s.endpoint.availability = Availability::Removed);
                endpoints
            }
        };
        for endpoint in endpoints {
            let id = endpoint.server;
            // The same process as before: only its entry changed.
            let same = |s: &&mut Server| s.endpoint.up_since_ns == endpoint.up_since_ns;
            if let Some(known) = self.servers.get_mut(&id).filter(same) {
                known.endpoint = endpoint;
                continue;
            }
            // Unknown or restarted: only the normal rate of its number still holds.
            let before =
                self.servers.values().filter(|s| s.endpoint.number == endpoint.number).map(|s| s.normal_rate);
            let normal_rate = before.fold((0.0, 0.0), |a, b| if a.1 > b.1 { a } else { b });
            let in_flight = self.servers.remove(&id).map_or(Vec::new(), |known| known.in_flight);
            let delays = LatencyDeviation::unknown(scaled(self.resend_ns, LATE_INTERVALS / LOST_DEVIATIONS));
            // A random phase: many fronts learn of one start at once.
            let credit = self.random_fraction();
            let server = Server { normal_rate, in_flight, delays, credit, ..Server::new(endpoint, self.now) };
            self.servers.insert(id, server);
        }
        // A removed server is dropped once another has its number and with it its rate.
        let used = self.servers.values().filter(|s| s.is_in_service()).map(|s| s.endpoint.number);
        let used: BTreeSet<u32> = used.collect();
        let is_removed =
            |s: &Server| s.endpoint.availability == Availability::Removed && s.in_flight.is_empty();
        self.servers.retain(|_, s| !(is_removed(s) && used.contains(&s.endpoint.number)));
    }
}
