//! Gossip: the reports that this front makes about servers, and the use of reports from other fronts.

use super::*;

impl Controller {
    /// Reports what this front observed of servers by its own set-ups. Reports of peers are not passed on.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let used = self.servers.values().filter(|server| server.last_sent_ns > 0);
        used.map(|server| self.server_report(server)).collect()
    }

    fn server_report(&self, server: &Server) -> ServerReport {
        let warming_up_since_ns = server.warming_up_since_ns;
        ServerReport {
            server: server.endpoint.server,
            age_ns: self.observation_age_ns(server),
            wait_ns: self.observed_wait_ns(server, None),
            in_flight: server.in_flight.len() as u32,
            succeeded: server.succeeded.len_in_window(self.period) as u32,
            is_unresponsive: server.ejection.is_some_and(|ejection| !ejection.is_by_peers_only),
            warming_up_for_ns: warming_up_since_ns.map(|since_ns| self.now.saturating_sub(since_ns)),
            is_draining: !server.is_in_service(),
        }
    }

    /// The age of the newest observation of a server. A continuing wait counts as a new observation twice per
    /// resend interval; peers would drop it otherwise.
    fn observation_age_ns(&self, server: &Server) -> Nanos {
        if let Some(since_ns) = server.oldest_waiting_since_ns() {
            let oldest_age_ns = self.now.saturating_sub(since_ns);
            if oldest_age_ns > scaled(self.resend_ns, LATE_INTERVALS) {
                return oldest_age_ns % (self.resend_ns / 2 + 1);
            }
        }
        let last_event_ns = server.last_sent_ns.max(server.last_response_ns).max(server.last_symptom_ns);
        self.now.saturating_sub(last_event_ns)
    }

    /// Records the reports of a peer. Where this front knows little of a server itself, a majority of peers
    /// can eject it or begin its slow start.
    pub(super) fn handle_peer_reports(&mut self, peer: u64, reports: Vec<ServerReport>) {
        for report in reports {
            let id = report.server;
            self.peer_reports.add(peer, self.now.saturating_sub(report.age_ns), report);
            self.update_from_peers(id);
            let is_adverse =
                report.is_unresponsive || report.is_draining || report.warming_up_for_ns.is_some();
            let has_few_successes =
                self.servers.get(&id).is_some_and(|server| server.succeeded.len() < MIN_SAMPLES);
            if is_adverse && has_few_successes {
                self.follow_majority_of_peers(id);
            }
        }
    }

    /// Ejects a server that most peers report as unusable, and begins the slow start of one that most report
    /// to be in slow start.
    fn follow_majority_of_peers(&mut self, id: ServerId) {
        let slow_start_ns = self.settings.slow_start_ns;
        let is_in_slow_start =
            |report: &ServerReport| report.warming_up_for_ns.is_some_and(|age_ns| age_ns < slow_start_ns);
        let is_unusable =
            self.do_most_peers_report(id, &|report| report.is_unresponsive || report.is_draining);
        let is_warming_up = self.do_most_peers_report(id, &is_in_slow_start);
        if is_unusable {
            self.eject(id, true);
        }
        if is_warming_up {
            let reports = self.peer_reports.for_server(id);
            let shortest_age_ns = reports.filter_map(|dated| dated.report.warming_up_for_ns).min();
            let since_ns = shortest_age_ns.map(|age_ns| self.now.saturating_sub(age_ns));
            self.update_server(id, |server| {
                server.warming_up_since_ns = server.warming_up_since_ns.max(since_ns);
            });
        }
    }

    /// Whether the weighted majority of peers report a property of a server.
    fn do_most_peers_report(&self, id: ServerId, has_property: &dyn Fn(&ServerReport) -> bool) -> bool {
        let indicator = |report: &ServerReport| f64::from(has_property(report));
        self.peer_median(id, PEER_REPORT_HALF_LIFE_NS, &indicator).is_some_and(|median| median > 0.5)
    }

    /// Updates what peers report of a server. When they report that its long queue has become short, this
    /// front uses the server again after a random delay: all fronts learn it at the same time, and would join
    /// the queue together with their queued calls.
    pub(super) fn update_from_peers(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let had_long_queue = server.peer_success_per_s.is_some() && self.has_long_queue(server);
        let in_flight = self.peer_in_flight(id);
        let wait_ns = self.peer_wait_ns(id, server);
        let success_per_s = self.peer_success_per_s(id, server);
        self.update_server(id, |server| {
            server.peer_in_flight = in_flight;
            server.peer_wait_ns = wait_ns;
            server.peer_success_per_s = success_per_s;
        });
        let server = &self.servers[&id];
        if had_long_queue && server.queue_join_at_ns <= self.now && !self.has_long_queue(server) {
            let normal_interval_ns = self.normal_interval_ns(server);
            let delay_ns = scaled(normal_interval_ns, QUEUE_JOIN_SPREAD * self.random_fraction());
            let queue_join_at_ns = self.now + delay_ns;
            self.update_server(id, |server| server.queue_join_at_ns = queue_join_at_ns);
        }
    }

    /// Whether a set-up sent to a server now would be late.
    fn has_long_queue(&self, server: &Server) -> bool {
        self.wait_intervals(server) > LATE_INTERVALS
    }

    /// The number of set-ups in flight to a server that peers report. Those of peers that ejected the server
    /// are lost and do not count.
    fn peer_in_flight(&self, id: ServerId) -> usize {
        let since_ns = self.now.saturating_sub(PEER_WAIT_HALF_LIFE_NS);
        self.peer_reports.bounded_sum(id, since_ns, MIN_SAMPLES, |report| {
            if report.is_unresponsive {
                0
            } else {
                report.in_flight
            }
        })
    }

    /// The wait at a server that peers report; `None` where this front's own set-ups show it.
    fn peer_wait_ns(&self, id: ServerId, server: &Server) -> Option<Nanos> {
        if !server.sent.is_sparse(self.period) {
            return None;
        }
        let longest_ns = scaled(self.resend_ns, MAX_PEER_WAIT_INTERVALS);
        let bounded_wait = |report: &ServerReport| report.wait_ns.min(longest_ns) as f64;
        self.peer_median(id, PEER_WAIT_HALF_LIFE_NS, &bounded_wait).map(|wait_ns| wait_ns as Nanos)
    }

    /// Successes a second of all fronts at a server, from peer reports; `None` where this front's own set-ups
    /// are enough, or peers report too few successes.
    fn peer_success_per_s(&self, id: ServerId, server: &Server) -> Option<f64> {
        if !server.sent.is_sparse(self.period) {
            return None;
        }
        let since_ns = self.now.saturating_sub(WINDOW_NS);
        let peer_successes =
            self.peer_reports.bounded_sum(id, since_ns, MIN_SAMPLES, |report| report.succeeded);
        if peer_successes <= MIN_SAMPLES {
            return None;
        }
        // If there are more peers than reports are kept, the kept ones cover less than the window.
        let covered_ns = match self.peer_reports.complete_since(id) {
            Some(oldest_ns) => self.now - oldest_ns.min(self.now),
            None => WINDOW_NS,
        };
        let covered_s = (covered_ns.max(PERIOD_NS) as f64 / 1e9).min(self.window_s());
        let successes = peer_successes + server.succeeded.len_in_window(self.period);
        Some(successes as f64 / covered_s)
    }
}
