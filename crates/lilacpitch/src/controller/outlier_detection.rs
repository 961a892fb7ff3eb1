//! Outlier detection: ejects servers that stop responding, and cancels set-ups that were lost.

use super::*;

impl Controller {
    /// Ejects an unresponsive server, which is then sent single probes only. Otherwise its few set-ups in
    /// flight would make server selection prefer it. `is_by_peers_only` marks an ejection that rests on peer
    /// reports alone.
    pub(super) fn eject(&mut self, id: ServerId, is_by_peers_only: bool) {
        let drawn_fraction = 0.5 + self.random_fraction();
        // An ejection by peers alone is renewed by each report and keeps its draw; the shortest of many draws
        // would take effect otherwise.
        let may_eject = |server: &&Server| {
            server.ejection.is_none_or(|ejection| ejection.is_by_peers_only && ejection.probes == 0)
        };
        let Some(server) = self.servers.get(&id).filter(may_eject) else { return };
        let interval_fraction = server.ejection.map_or(drawn_fraction, |ejection| ejection.interval_fraction);
        let probe_interval_ns =
            self.resend_ns.max(scaled(self.normal_interval_ns(server), interval_fraction));
        let next_probe_ns = server.ejection.map_or(Nanos::MAX, |ejection| ejection.next_probe_ns);
        let next_probe_ns = next_probe_ns.min(self.now + probe_interval_ns);
        let ejection =
            Ejection { next_probe_ns, probe_interval_ns, probes: 0, is_by_peers_only, interval_fraction };
        self.update_server(id, |server| server.ejection = Some(ejection));
    }

    /// The normal interval between this front's set-ups to a server.
    pub(super) fn normal_interval_ns(&self, server: &Server) -> Nanos {
        ((1e9 / self.expected_rate_per_s(server)) as Nanos).min(WINDOW_NS * MAX_CLEAN_WINDOWS)
    }

    /// Whether the server's last response was quick.
    pub(super) fn responded_quickly(&self, server: &Server) -> bool {
        server.last_delay_ns > 0 && server.last_delay_ns < scaled(self.resend_ns, QUICK_INTERVALS)
    }

    /// Lowers the ceilings of servers with late set-ups, ejects unresponsive servers and cancels lost
    /// attempts.
    pub(super) fn detect_unresponsive(&mut self, actions: &mut Vec<Action>) {
        let (now, resend_ns) = (self.now, self.resend_ns);
        let [late_ns, unresponsive_ns, lost_min_ns] =
            [LATE_INTERVALS, UNRESPONSIVE_INTERVALS, LOST_MIN_INTERVALS]
                .map(|intervals| scaled(resend_ns, intervals));
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let lost_ns =
                self.servers[&id].delays.upper_bound_ns(LOST_DEVIATIONS).max(lost_min_ns).min(late_ns);
            self.cancel_lost_attempts(
                id,
                |attempt| attempt.is_overtaken && now.saturating_sub(attempt.waiting_since_ns) > lost_ns,
                actions,
            );
            let server = &self.servers[&id];
            let Some(oldest) = server.oldest_waiting_since_ns() else { continue };
            let last_response_ns =
                server.last_response_ns.max(self.peer_reports.last_success_ns(id)).max(oldest);
            let is_unresponsive = now.saturating_sub(last_response_ns) > unresponsive_ns;
            // After a quick response a single unanswered set-up may just be lost; whether the server is
            // overloaded shows once a probe is unanswered too.
            let may_be_overloaded = !self.responded_quickly(server)
                || server.ejection.is_some_and(|ejection| ejection.probes > 0);
            if now.saturating_sub(oldest) > late_ns {
                self.update_server(id, |server| server.last_late_ns = now);
                self.lower_ceiling(id, is_unresponsive && may_be_overloaded);
            }
            if is_unresponsive {
                self.eject(id, false);
                self.update_server(id, |server| {
                    server.ejection.iter_mut().for_each(|ejection| ejection.is_by_peers_only = false);
                });
                self.cancel_lost_attempts(
                    id,
                    |attempt| now.saturating_sub(attempt.waiting_since_ns) > unresponsive_ns,
                    actions,
                );
            }
        }
    }

    /// Cancels the attempts at a server that `is_lost` selects, where another attempt may follow.
    fn cancel_lost_attempts(
        &mut self,
        id: ServerId,
        is_lost: impl Fn(&InFlightAttempt) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get(&id).filter(|_| self.settings.may_cancel) else { return };
        for attempt in &server.in_flight {
            if !is_lost(attempt) {
                continue;
            }
            let Some(record) = self.calls.get_mut(&attempt.call) else { continue };
            let may_cancel = !record.is_cancelling && record.phase == CallPhase::InFlight;
            if may_cancel && record.attempts < self.settings.max_attempts {
                record.is_cancelling = true;
                actions.push(Action::CancelAttempt { call: attempt.call, attempt: record.attempts - 1 });
            }
        }
    }
}
