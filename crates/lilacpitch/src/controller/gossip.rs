//! Gossip: what this front reports of servers, and how it uses what other fronts report.

use super::*;

impl Controller {
    /// What this front knows of servers from its own set-ups; reports of peers are not passed on.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let report = |server: &Server| {
            // A continuing wait is reported anew twice per resend interval: peers would drop it otherwise.
            let age_ns = server.oldest_since_ns().map(|oldest| self.now.saturating_sub(oldest));
            let waits = age_ns.filter(|age| *age > scaled(self.resend_ns, LATE_INTERVALS));
            let last_ns = server.last_sent_ns.max(server.last_response_ns).max(server.last_symptom_ns);
            let aged = |age| age % (self.resend_ns / 2 + 1);
            Some(server.last_sent_ns).filter(|sent| *sent > 0).map(|_| ServerReport {
                server: server.endpoint.server,
                age_ns: waits.map_or(self.now.saturating_sub(last_ns), aged),
                wait_ns: self.seen_wait_ns(server, None),
                in_flight: server.in_flight.len() as u32,
                succeeded: server.succeeded.recent(self.period) as u32,
                is_unresponsive: server.ejection.is_some_and(|s| !s.is_by_peers_only),
                warming_up_for_ns: server.warming_up_since_ns.map(|at| self.now.saturating_sub(at)),
                is_draining: !server.is_in_service(),
            })
        };
        self.servers.values().filter_map(report).collect()
    }

    /// Peer reports replace own counts where those are few.
    pub(super) fn handle_peer_reports(&mut self, peer: u64, reports: Vec<ServerReport>) {
        let now = self.now;
        for report in reports {
            let id = report.server;
            self.peer_reports.add(peer, now.saturating_sub(report.age_ns), report);
            self.update_from_peers(id);
            let is_adverse =
                report.is_unresponsive || report.is_draining || report.warming_up_for_ns.is_some();
            let unknown =
                self.servers.get(&id).is_some_and(|s| is_adverse && s.succeeded.len() < MIN_SAMPLES);
            let of = |yes: &dyn Fn(&ServerReport) -> f64| {
                self.peer_median(id, REPORT_HALF_LIFE_NS, yes).is_some_and(|v| v > 0.5)
            };
            let silent = unknown && of(&|f| f64::from(f.is_unresponsive || f.is_draining));
            let is_warming_up = unknown
                && of(&|f| f64::from(f.warming_up_for_ns.is_some_and(|n| n < self.settings.slow_start_ns)));
            let since = self.peer_reports.about(id).filter_map(|(_, f)| f.warming_up_for_ns).min();
            let since = since.filter(|_| is_warming_up).map(|age| now.saturating_sub(age));
            if silent {
                self.eject(id, true);
            }
            self.update_server(id, |s| s.warming_up_since_ns = s.warming_up_since_ns.max(since));
        }
    }

    /// What peers report of a server now: the wait, where own set-ups are few; how many set-ups are in flight
    /// (not those of peers that ejected it: they are lost) and succeeded. The next count bounds the largest.
    pub(super) fn update_from_peers(&mut self, id: ServerId) {
        let long = |c: &Self| c.servers.get(&id).is_some_and(|s| c.wait_intervals(s) > LATE_INTERVALS);
        let was_long = self.servers.get(&id).is_some_and(|s| s.peer_success_per_s.is_some()) && long(self);
        let since = |kept_ns| self.now.saturating_sub(kept_ns);
        let waiting = |report: &ServerReport| report.in_flight * u32::from(!report.is_unresponsive);
        let in_flight = self.peer_reports.sum_bounded(id, since(WAIT_HALF_LIFE_NS), MIN_SAMPLES, waiting);
        let succeeded =
            self.peer_reports.sum_bounded(id, since(WINDOW_NS), MIN_SAMPLES, |report| report.succeeded);
        // With more peers than reports are kept, the kept ones cover less than the window.
        let seen_ns =
            self.peer_reports.complete_since(id).map_or(WINDOW_NS, |oldest| self.now - oldest.min(self.now));
        let duration_s = (seen_ns.max(PERIOD_NS) as f64 / 1e9).min(self.window_s());
        let sparse = self.servers.get(&id).filter(|s| s.sent.is_sparse(self.period));
        let longest_ns = scaled(self.resend_ns, 2.0 * STATE_2_INTERVALS);
        let wait_ns = |report: &ServerReport| report.wait_ns.min(longest_ns) as f64;
        let wait = sparse.and_then(|_| self.peer_median(id, WAIT_HALF_LIFE_NS, &wait_ns));
        let rate = sparse
            .filter(|_| succeeded > MIN_SAMPLES)
            .map(|s| (succeeded + s.succeeded.recent(self.period)) as f64 / duration_s);
        let reported = (in_flight, wait.map(|wait| wait as Nanos), rate);
        self.update_server(id, |s| (s.peer_in_flight, s.peer_wait_ns, s.peer_success_per_s) = reported);
        // All fronts learn at once that the queue is short: with many queued calls all would join it.
        if let Some(server) =
            self.servers.get(&id).filter(|s| was_long && s.join_at_ns <= self.now && !long(self))
        {
            let normal_interval_ns = self.normal_interval_ns(server);
            let join_at_ns = self.now + scaled(normal_interval_ns, JOIN_SPREAD * self.random_fraction());
            self.update_server(id, |s| s.join_at_ns = join_at_ns);
        }
    }
}
