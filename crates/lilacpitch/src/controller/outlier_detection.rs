//! Outlier detection: ejects servers that stop responding, and cancels set-ups that were lost.

use super::*;

impl Controller {
    /// Ejects an unresponsive server, which is then sent single probes only. Otherwise its few set-ups in
    /// flight would make server selection prefer it. `is_by_peers_only` marks an ejection that rests on peer
    /// reports alone.
    pub(super) fn eject(&mut self, id: ServerId, is_by_peers_only: bool) {
        let drawn_fraction = PROBE_MIN_FRACTION + self.random_fraction();
        let Some(server) = self.servers.get(&id) else { return };
        let previous = server.ejection;
        if previous.is_some_and(|ejection| !ejection.is_by_peers_only || ejection.probes > 0) {
            return;
        }
        // An ejection by peers alone is renewed by each report and keeps its draw; the shortest of many draws
        // would take effect otherwise.
        let interval_fraction = previous.map_or(drawn_fraction, |ejection| ejection.interval_fraction);
        let drawn_interval_ns = scaled(self.normal_interval_ns(server), interval_fraction);
        let probe_interval_ns = self.resend_ns.max(drawn_interval_ns);
        let earlier_probe_ns = previous.map_or(Nanos::MAX, |ejection| ejection.next_probe_ns);
        let ejection = Ejection {
            next_probe_ns: earlier_probe_ns.min(self.now + probe_interval_ns),
            probe_interval_ns,
            probes: 0,
            is_by_peers_only,
            interval_fraction,
        };
        self.update_server(id, |server| server.ejection = Some(ejection));
    }

    /// The normal interval between this front's set-ups to a server.
    pub(super) fn normal_interval_ns(&self, server: &Server) -> Nanos {
        let interval_ns = (1e9 / self.expected_rate_per_s(server)) as Nanos;
        interval_ns.min(WINDOW_NS * MAX_CLEAN_WINDOWS)
    }

    /// Whether the server's last response was quick.
    pub(super) fn responded_quickly(&self, server: &Server) -> bool {
        server.last_delay_ns > 0 && server.last_delay_ns < scaled(self.resend_ns, QUICK_INTERVALS)
    }

    /// Lowers the ceilings of servers with late set-ups, ejects unresponsive servers and cancels lost
    /// attempts.
    pub(super) fn detect_unresponsive(&mut self, actions: &mut Vec<Action>) {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            self.cancel_overtaken_attempts(id, actions);
            self.detect_unresponsive_server(id, actions);
        }
    }

    /// Cancels the attempts at a server that were overtaken and waited for unusually long.
    fn cancel_overtaken_attempts(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let late_ns = scaled(self.resend_ns, LATE_INTERVALS);
        let lost_min_ns = scaled(self.resend_ns, LOST_MIN_INTERVALS);
        let usual_delay_ns = self.servers[&id].delays.upper_bound_ns(LOST_DEVIATIONS);
        let lost_ns = usual_delay_ns.max(lost_min_ns).min(late_ns);
        let is_lost = |attempt: &InFlightAttempt| {
            attempt.is_overtaken && now.saturating_sub(attempt.waiting_since_ns) > lost_ns
        };
        self.cancel_lost_attempts(id, is_lost, actions);
    }

    /// Lowers the ceiling of a server if its oldest set-up in flight is late. If the server is unresponsive,
    /// ejects it and cancels the attempts that waited as long.
    fn detect_unresponsive_server(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let late_ns = scaled(self.resend_ns, LATE_INTERVALS);
        let unresponsive_ns = scaled(self.resend_ns, UNRESPONSIVE_INTERVALS);
        let server = &self.servers[&id];
        let Some(oldest_since_ns) = server.oldest_waiting_since_ns() else { return };
        let peer_success_ns = self.peer_reports.last_success_ns(id);
        let last_response_ns = server.last_response_ns.max(peer_success_ns).max(oldest_since_ns);
        let is_unresponsive = now.saturating_sub(last_response_ns) > unresponsive_ns;
        // After a quick response a single unanswered set-up may just be lost; whether the server is
        // overloaded shows once a probe is unanswered too.
        let has_probes = server.ejection.is_some_and(|ejection| ejection.probes > 0);
        let may_be_overloaded = !self.responded_quickly(server) || has_probes;
        if now.saturating_sub(oldest_since_ns) > late_ns {
            self.update_server(id, |server| server.last_late_ns = now);
            self.lower_ceiling(id, is_unresponsive && may_be_overloaded);
        }
        if !is_unresponsive {
            return;
        }
        self.eject(id, false);
        self.update_server(id, |server| {
            if let Some(ejection) = &mut server.ejection {
                ejection.is_by_peers_only = false;
            }
        });
        let is_lost =
            |attempt: &InFlightAttempt| now.saturating_sub(attempt.waiting_since_ns) > unresponsive_ns;
        self.cancel_lost_attempts(id, is_lost, actions);
    }

    /// Cancels the attempts at a server that `is_lost` selects, where another attempt may follow.
    fn cancel_lost_attempts(
        &mut self,
        id: ServerId,
        is_lost: impl Fn(&InFlightAttempt) -> bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.may_cancel {
            return;
        }
        let Some(server) = self.servers.get(&id) else { return };
        for attempt in server.in_flight.iter().filter(|attempt| is_lost(attempt)) {
            let Some(record) = self.calls.get_mut(&attempt.call) else { continue };
            let is_cancellable = !record.is_cancelling && record.phase == CallPhase::InFlight;
            if is_cancellable && record.attempts < self.settings.max_attempts {
                record.is_cancelling = true;
                let last_attempt = record.attempts - 1;
                actions.push(Action::CancelAttempt { call: attempt.call, attempt: last_attempt });
            }
        }
    }
}
