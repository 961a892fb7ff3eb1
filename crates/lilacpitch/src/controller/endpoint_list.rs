//! Updates of the endpoint list: adds, restarts and removes servers, and derives the state of a new one.

use super::*;

impl Controller {
    /// Applies an update of the endpoint list. A restarted server keeps its set-ups in flight and the normal
    /// rate of its number; the rest of its state starts anew.
    pub(super) fn handle_endpoints_updated(&mut self, update: EndpointUpdate) {
        let endpoints = match update {
            EndpointUpdate::Failed => {
                self.schedule_resubscription();
                return;
            }
            EndpointUpdate::Changes(endpoints) => endpoints,
            EndpointUpdate::Full(endpoints) => {
                self.mark_missing_as_removed(&endpoints);
                endpoints
            }
        };
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.drop_replaced_servers();
    }

    /// Subscribes again after a random delay: if all fronts retried immediately, they would overload the
    /// discovery service.
    fn schedule_resubscription(&mut self) {
        let wait_ns = RESUBSCRIBE_MIN_NS + scaled(RESUBSCRIBE_SPREAD_NS, self.random_fraction());
        self.resubscribe_at_ns = self.settings.must_subscribe.then_some(self.now + wait_ns);
    }

    /// Marks the servers that are missing from a complete list as removed.
    fn mark_missing_as_removed(&mut self, endpoints: &[Endpoint]) {
        for (id, server) in &mut self.servers {
            if !endpoints.iter().any(|endpoint| endpoint.server == *id) {
                server.endpoint.availability = Availability::Removed;
            }
        }
    }

    /// Updates the entry of a server, or creates its state if it is new or was restarted.
    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let id = endpoint.server;
        if let Some(server) = self.servers.get_mut(&id) {
            let was_restarted = server.endpoint.up_since_ns != endpoint.up_since_ns;
            if !was_restarted {
                server.endpoint = endpoint;
                return;
            }
        }
        let normal_rate = self.inherited_normal_rate(endpoint.number);
        let in_flight = self.servers.remove(&id).map_or(Vec::new(), |server| server.in_flight);
        let initial_deviation_ns = scaled(self.resend_ns, LATE_INTERVALS / LOST_DEVIATIONS);
        let server = Server {
            normal_rate,
            in_flight,
            delays: LatencyDeviation::with_initial_deviation(initial_deviation_ns),
            // Randomised, since many fronts learn of the start of a server at the same time.
            slow_start_credit: self.random_fraction(),
            ..Server::new(endpoint, self.now)
        };
        self.servers.insert(id, server);
    }

    /// The normal rate of the servers with a number; of several, that of the one observed for the longest
    /// time.
    fn inherited_normal_rate(&self, number: u32) -> NormalRate {
        let mut inherited = NormalRate::default();
        for server in self.servers.values().filter(|server| server.endpoint.number == number) {
            // Of equal ones the last counts.
            if server.normal_rate.seconds >= inherited.seconds {
                inherited = server.normal_rate;
            }
        }
        inherited
    }

    /// Drops removed servers without set-ups in flight if a server in service has the same number: it has
    /// inherited their normal rate.
    fn drop_replaced_servers(&mut self) {
        let in_service = self.servers.values().filter(|server| server.is_in_service());
        let numbers_in_service: BTreeSet<u32> = in_service.map(|server| server.endpoint.number).collect();
        self.servers.retain(|_, server| {
            let is_removed = server.endpoint.availability == Availability::Removed;
            let is_replaced = numbers_in_service.contains(&server.endpoint.number);
            !(is_removed && is_replaced && server.in_flight.is_empty())
        });
    }
}
