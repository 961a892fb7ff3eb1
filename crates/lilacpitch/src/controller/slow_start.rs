//! Slow start: limits the rate of set-ups to a server that has just started.

use super::*;

impl Controller {
    /// The ceiling of a server in slow start, in set-ups a second; `None` after slow start. It is a share of
    /// this front's normal rate by the server's capacity at its age, or, if higher, a multiple of the recent
    /// success rate that is below the multiple that overloads the server.
    pub(super) fn slow_start_ceiling_per_s(&self, server: &Server) -> Option<f64> {
        let capacity = server.slow_start_fraction(self.now, &self.settings)?;
        let share = SLOW_START_BASE + SLOW_START_GAIN * capacity;
        let by_age_per_s = self.normal_per_s(server) * capacity * share;
        if server.succeeded.is_sparse(self.period) {
            return Some(by_age_per_s);
        }
        let growth = (self.settings.overload_multiple * SLOW_START_GROWTH).max(1.0);
        let by_success_per_s = self.per_s(&server.succeeded, 0.0) * growth;
        Some(by_age_per_s.max(by_success_per_s))
    }

    /// Whether slow start allows one more set-up. Credit accrues to one set-up at most, so that no burst
    /// becomes due.
    pub(super) fn has_slow_start_credit(&self, server: &Server) -> bool {
        self.slow_start_ceiling_per_s(server).is_none() || server.slow_start_credit >= 1.0
    }

    /// Accrues the credit of a duration for every server in slow start.
    pub(super) fn add_slow_start_credit(&mut self, duration_s: f64) {
        let ceilings: Vec<(ServerId, f64)> = self
            .servers
            .iter()
            .filter_map(|(id, server)| Some((*id, self.slow_start_ceiling_per_s(server)?)))
            .collect();
        for (id, ceiling_per_s) in ceilings {
            self.update_server(id, |server| {
                let credit = server.slow_start_credit + ceiling_per_s * duration_s;
                server.slow_start_credit = credit.min(1.0);
            });
        }
    }
}

impl Server {
    /// The share of its full capacity that a server has at its age; `None` after slow start.
    pub(super) fn slow_start_fraction(&self, now: Nanos, settings: &Settings) -> Option<f64> {
        let age_ns = now.saturating_sub(self.warming_up_since_ns?);
        let progress = age_ns as f64 / settings.slow_start_ns.max(1) as f64;
        if progress >= 1.0 {
            return None;
        }
        Some(settings.slow_start_floor + (1.0 - settings.slow_start_floor) * progress)
    }
}
