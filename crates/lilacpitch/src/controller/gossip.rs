//! Gossip: the reports that this front makes about servers, and the use of reports from other fronts.

use super::*;

impl Controller {
    /// Reports what this front has observed of servers by its own set-ups. Reports of peers are not passed
    /// on.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let report = |server: &Server| {
            // A continuing wait counts as a new observation twice per resend interval; peers would drop it
            // otherwise.
            let oldest_age_ns =
                server.oldest_waiting_since_ns().map(|since_ns| self.now.saturating_sub(since_ns));
            let late_age_ns = oldest_age_ns.filter(|age_ns| *age_ns > scaled(self.resend_ns, LATE_INTERVALS));
            let last_event_ns = server.last_sent_ns.max(server.last_response_ns).max(server.last_symptom_ns);
            let renewed_age_ns = |age_ns| age_ns % (self.resend_ns / 2 + 1);
            Some(server.last_sent_ns).filter(|sent_ns| *sent_ns > 0).map(|_| ServerReport {
                server: server.endpoint.server,
                age_ns: late_age_ns.map_or(self.now.saturating_sub(last_event_ns), renewed_age_ns),
                wait_ns: self.observed_wait_ns(server, None),
                in_flight: server.in_flight.len() as u32,
                succeeded: server.succeeded.len_in_window(self.period) as u32,
                is_unresponsive: server.ejection.is_some_and(|ejection| !ejection.is_by_peers_only),
                warming_up_for_ns: server
                    .warming_up_since_ns
                    .map(|since_ns| self.now.saturating_sub(since_ns)),
                is_draining: !server.is_in_service(),
            })
        };
        self.servers.values().filter_map(report).collect()
    }

    /// Records the reports of a peer. Where this front knows little of a server itself, a majority of peers
    /// can eject it or begin its slow start.
    pub(super) fn handle_peer_reports(&mut self, peer: u64, reports: Vec<ServerReport>) {
        let now = self.now;
        for report in reports {
            let id = report.server;
            self.peer_reports.add(peer, now.saturating_sub(report.age_ns), report);
            self.update_from_peers(id);
            let is_adverse =
                report.is_unresponsive || report.is_draining || report.warming_up_for_ns.is_some();
            let relies_on_peers = self
                .servers
                .get(&id)
                .is_some_and(|server| is_adverse && server.succeeded.len() < MIN_SAMPLES);
            let majority_reports = |indicator: &dyn Fn(&ServerReport) -> f64| {
                self.peer_median(id, PEER_REPORT_HALF_LIFE_NS, indicator).is_some_and(|median| median > 0.5)
            };
            let is_unusable = relies_on_peers
                && majority_reports(&|report| f64::from(report.is_unresponsive || report.is_draining));
            let is_in_slow_start = |report: &ServerReport| {
                report.warming_up_for_ns.is_some_and(|age_ns| age_ns < self.settings.slow_start_ns)
            };
            let is_warming_up =
                relies_on_peers && majority_reports(&|report| f64::from(is_in_slow_start(report)));
            let reports_of_server = self.peer_reports.for_server(id);
            let shortest_age_ns = reports_of_server.filter_map(|(_, report)| report.warming_up_for_ns).min();
            let since_ns = shortest_age_ns.filter(|_| is_warming_up).map(|age_ns| now.saturating_sub(age_ns));
            if is_unusable {
                self.eject(id, true);
            }
            self.update_server(id, |server| {
                server.warming_up_since_ns = server.warming_up_since_ns.max(since_ns);
            });
        }
    }

    /// Updates what peers report of a server: the number of set-ups in flight and, where this front sends few
    /// set-ups, the wait and the success rate of all fronts. Set-ups in flight of peers that ejected the
    /// server are lost and do not count.
    pub(super) fn update_from_peers(&mut self, id: ServerId) {
        let has_long_queue = |controller: &Self| {
            let server = controller.servers.get(&id);
            server.is_some_and(|server| controller.wait_intervals(server) > LATE_INTERVALS)
        };
        let relied_on_peers = self.servers.get(&id).is_some_and(|server| server.peer_success_per_s.is_some());
        let had_long_queue = relied_on_peers && has_long_queue(self);
        let since_ns = |age_ns| self.now.saturating_sub(age_ns);
        let waiting = |report: &ServerReport| report.in_flight * u32::from(!report.is_unresponsive);
        let in_flight =
            self.peer_reports.bounded_sum(id, since_ns(PEER_WAIT_HALF_LIFE_NS), MIN_SAMPLES, waiting);
        let succeeded =
            self.peer_reports.bounded_sum(id, since_ns(WINDOW_NS), MIN_SAMPLES, |report| report.succeeded);
        // If there are more peers than reports are kept, the kept ones cover less than the window.
        let covered_ns = self
            .peer_reports
            .complete_since(id)
            .map_or(WINDOW_NS, |oldest_ns| self.now - oldest_ns.min(self.now));
        let covered_s = (covered_ns.max(PERIOD_NS) as f64 / 1e9).min(self.window_s());
        let sparse_server = self.servers.get(&id).filter(|server| server.sent.is_sparse(self.period));
        let longest_wait_ns = scaled(self.resend_ns, 2.0 * STATE_2_WAIT_INTERVALS);
        let bounded_wait = |report: &ServerReport| report.wait_ns.min(longest_wait_ns) as f64;
        let wait = sparse_server.and_then(|_| self.peer_median(id, PEER_WAIT_HALF_LIFE_NS, &bounded_wait));
        let success_per_s = sparse_server
            .filter(|_| succeeded > MIN_SAMPLES)
            .map(|server| (succeeded + server.succeeded.len_in_window(self.period)) as f64 / covered_s);
        let reported = (in_flight, wait.map(|wait_ns| wait_ns as Nanos), success_per_s);
        self.update_server(id, |s| (s.peer_in_flight, s.peer_wait_ns, s.peer_success_per_s) = reported);
        // All fronts learn at the same time that the queue is short; without a random delay all would join it
        // with their queued calls.
        if let Some(server) = self
            .servers
            .get(&id)
            .filter(|server| had_long_queue && server.queue_join_at_ns <= self.now && !has_long_queue(self))
        {
            let normal_interval_ns = self.normal_interval_ns(server);
            let delay_ns = scaled(normal_interval_ns, QUEUE_JOIN_SPREAD * self.random_fraction());
            let queue_join_at_ns = self.now + delay_ns;
            self.update_server(id, |server| server.queue_join_at_ns = queue_join_at_ns);
        }
    }
}
