//! Outlier detection: servers that stop responding, and set-ups that were lost.

use super::*;

impl Controller {
    /// Ejects an unresponsive server: it gets single probes only, as few in flight would make it attractive.
    pub(super) fn eject(&mut self, id: ServerId, by_peers_only: bool) {
        let drawn = 0.5 + self.random_fraction();
        // An ejection by peers alone is renewed with the same draw: else the shortest of many would count.
        let open = |s: &&Server| s.ejection.is_none_or(|s| s.is_by_peers_only && s.probes == 0);
        let Some(server) = self.servers.get(&id).filter(open) else { return };
        let rest_fraction = server.ejection.map_or(drawn, |s| s.rest_fraction);
        let rest_ns = self.resend_ns.max(scaled(self.normal_interval_ns(server), rest_fraction));
        let next_probe_ns = server.ejection.map_or(Nanos::MAX, |s| s.next_probe_ns).min(self.now + rest_ns);
        let ejection =
            Ejection { next_probe_ns, rest_ns, probes: 0, is_by_peers_only: by_peers_only, rest_fraction };
        self.update_server(id, |s| s.ejection = Some(ejection));
    }

    /// The normal interval between this front's set-ups there.
    pub(super) fn normal_interval_ns(&self, server: &Server) -> Nanos {
        ((1e9 / self.due_per_s(server)) as Nanos).min(WINDOW_NS * MAX_CLEAN_WINDOWS)
    }

    /// Whether the last response was quick.
    pub(super) fn responded_quickly(&self, server: &Server) -> bool {
        server.last_delay_ns > 0 && server.last_delay_ns < scaled(self.resend_ns, QUICK_INTERVALS)
    }

    /// Lowers ceilings for late set-ups, ejects unresponsive servers and cancels lost attempts.
    pub(super) fn detect_unresponsive(&mut self, actions: &mut Vec<Action>) {
        let (now, resend_ns) = (self.now, self.resend_ns);
        let [late_ns, silent_ns, soon_ns] =
            [LATE_INTERVALS, UNRESPONSIVE_INTERVALS, LOST_MIN_INTERVALS].map(|of| scaled(resend_ns, of));
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let lost_ns = self.servers[&id].delays.beyond_ns(LOST_DEVIATIONS).max(soon_ns).min(late_ns);
            self.cancel_lost(
                id,
                |attempt| attempt.is_overtaken && now.saturating_sub(attempt.waiting_since_ns) > lost_ns,
                actions,
            );
            let server = &self.servers[&id];
            let Some(oldest) = server.oldest_since_ns() else { continue };
            let last_response_ns =
                server.last_response_ns.max(self.peer_reports.last_success_ns(id)).max(oldest);
            let silent = now.saturating_sub(last_response_ns) > silent_ns;
            // One set-up lost among quick responses is no overload; the next probe shows.
            let jam = !self.responded_quickly(server) || server.ejection.is_some_and(|s| s.probes > 0);
            if now.saturating_sub(oldest) > late_ns {
                self.update_server(id, |s| s.last_late_ns = now);
                self.lower_ceiling(id, silent && jam);
            }
            if silent {
                self.eject(id, false);
                self.update_server(id, |s| s.ejection.iter_mut().for_each(|s| s.is_by_peers_only = false));
                self.cancel_lost(
                    id,
                    |attempt| now.saturating_sub(attempt.waiting_since_ns) > silent_ns,
                    actions,
                );
            }
        }
    }

    /// Cancels attempts that are lost, where another attempt may follow.
    fn cancel_lost(&mut self, id: ServerId, lost: impl Fn(&InFlightAttempt) -> bool, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id).filter(|_| self.settings.may_cancel) else { return };
        for attempt in &server.in_flight {
            if !lost(attempt) {
                continue;
            }
            let Some(record) = self.calls.get_mut(&attempt.call) else { continue };
            let due = !record.is_cancelling && record.phase == CallPhase::InFlight;
            if due && record.attempts < self.settings.max_attempts {
                record.is_cancelling = true;
                out.push(Action::CancelAttempt { call: attempt.call, attempt: record.attempts - 1 });
            }
        }
    }
}
