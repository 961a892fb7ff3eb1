//! Updates of the endpoint list: adds, restarts and removes servers, and derives the state of a new one.

use super::*;

impl Controller {
    /// Applies an update of the endpoint list. A restarted server keeps its set-ups in flight and the normal
    /// rate of its number; the rest of its state starts anew.
    pub(super) fn handle_endpoints_updated(&mut self, update: EndpointUpdate) {
        let endpoints = match update {
            EndpointUpdate::Failed => {
                // If all fronts retried immediately, they would overload the discovery service.
                let wait_ns = PERIOD_NS * 5 + scaled(PERIOD_NS * 10, self.random_fraction());
                self.resubscribe_at_ns = Some(self.now + wait_ns).filter(|_| self.settings.must_subscribe);
                return;
            }
            EndpointUpdate::Changes(endpoints) => endpoints,
            EndpointUpdate::Full(endpoints) => {
                let is_listed = |server: &Server| {
                    endpoints.iter().any(|endpoint| endpoint.server == server.endpoint.server)
                };
                let removed = self.servers.values_mut().filter(|server| !is_listed(server));
                removed.for_each(|server| server.endpoint.availability = Availability::Removed);
                endpoints
            }
        };
        for endpoint in endpoints {
            let id = endpoint.server;
            // If the server was not restarted, only its entry has changed.
            let is_same_process = |server: &&mut Server| server.endpoint.up_since_ns == endpoint.up_since_ns;
            if let Some(server) = self.servers.get_mut(&id).filter(is_same_process) {
                server.endpoint = endpoint;
                continue;
            }
            // The server is new or was restarted: only the normal rate of its number is still valid. Of
            // several servers with that number, the one observed for the longest time counts.
            let with_number = self.servers.values().filter(|s| s.endpoint.number == endpoint.number);
            let normal_rates = with_number.map(|server| server.normal_rate);
            let normal_rate = normal_rates.fold((0.0, 0.0), |a, b| if a.1 > b.1 { a } else { b });
            let in_flight = self.servers.remove(&id).map_or(Vec::new(), |server| server.in_flight);
            let delays = LatencyDeviation::with_initial_deviation(scaled(
                self.resend_ns,
                LATE_INTERVALS / LOST_DEVIATIONS,
            ));
            // Randomised, since many fronts learn of the start of a server at the same time.
            let slow_start_credit = self.random_fraction();
            let server = Server {
                normal_rate,
                in_flight,
                delays,
                slow_start_credit,
                ..Server::new(endpoint, self.now)
            };
            self.servers.insert(id, server);
        }
        // A removed server is dropped once a server in service has its number, and so has inherited its
        // normal rate.
        let in_service = self.servers.values().filter(|server| server.is_in_service());
        let numbers_in_service: BTreeSet<u32> = in_service.map(|server| server.endpoint.number).collect();
        let is_gone = |server: &Server| {
            server.endpoint.availability == Availability::Removed && server.in_flight.is_empty()
        };
        self.servers
            .retain(|_, server| !(is_gone(server) && numbers_in_service.contains(&server.endpoint.number)));
    }
}
