//! Slow start: the rate at which a server that has just started is given set-ups.

use super::*;

impl Controller {
    /// The ceiling in slow start: this front's normal rate times the capacity at the server's age, or a
    /// multiple of what succeeds there, far below the multiple that overloads it.
    pub(super) fn slow_start_ceiling(&self, server: &Server) -> Option<f64> {
        let can_do = server.slow_start_fraction(self.now, &self.settings)?;
        let known = self.normal_per_s(server) * can_do * (SLOW_START_BASE + SLOW_START_GAIN * can_do);
        let growth = (self.settings.overload_multiple * SLOW_START_GROWTH).max(1.0);
        let proven =
            Some(self.per_s(&server.succeeded, 0.0)).filter(|_| !server.succeeded.is_sparse(self.period));
        Some(proven.map_or(known, |rate| known.max(rate * growth)))
    }

    /// Whether a set-up is due in slow start. Credit accrues in small steps, so that no burst falls due.
    pub(super) fn has_credit(&self, server: &Server) -> bool {
        self.slow_start_ceiling(server).is_none() || server.credit >= 1.0
    }

    pub(super) fn add_credit(&mut self, duration_s: f64) {
        let due: Vec<_> =
            self.servers.iter().filter_map(|(id, s)| Some((*id, self.slow_start_ceiling(s)?))).collect();
        for (id, rate) in due {
            self.update_server(id, |s| s.credit = (s.credit + rate * duration_s).min(1.0));
        }
    }
}

impl Server {
    /// The share of its capacity that a server has at its age; `None` after slow start.
    pub(super) fn slow_start_fraction(&self, now: Nanos, settings: &Settings) -> Option<f64> {
        let warmth =
            now.saturating_sub(self.warming_up_since_ns?) as f64 / settings.slow_start_ns.max(1) as f64;
        (warmth < 1.0).then_some(settings.slow_start_floor + (1.0 - settings.slow_start_floor) * warmth)
    }
}
