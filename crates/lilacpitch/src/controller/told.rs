//! What this front tells of servers, and what it believes of what others tell.

use super::*;

impl Controller {
    /// What this front knows of servers from its own set-ups; hearsay is not passed on.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let fact = |server: &Server| {
            // What goes on waiting is told anew twice a gap: others forget it else.
            let age_ns = server.oldest_ns().map(|oldest| self.now.saturating_sub(oldest));
            let waits = age_ns.filter(|age| *age > share(self.gap_ns, LATE_GAPS));
            let last_ns = server.sent_ns.max(server.heard_ns).max(server.symptom_ns);
            let aged = |age| age % (self.gap_ns / 2 + 1);
            Some(server.sent_ns).filter(|sent| *sent > 0).map(|_| ServerReport {
                server: server.entry.server,
                age_ns: waits.map_or(self.now.saturating_sub(last_ns), aged),
                wait_ns: self.seen_wait_ns(server, None),
                in_flight: server.out.len() as u32,
                succeeded: server.stood.recent(self.period) as u32,
                is_unresponsive: server.suspect.is_some_and(|s| !s.told),
                warming_up_for_ns: server.cold_since_ns.map(|at| self.now.saturating_sub(at)),
                is_draining: !server.in_service(),
            })
        };
        self.servers.values().filter_map(fact).collect()
    }

    /// Facts of others stand in for own counts where there are few.
    pub(super) fn on_told(&mut self, peer: u64, facts: Vec<ServerReport>) {
        let now = self.now;
        for fact in facts {
            let id = fact.server;
            self.told.add(peer, now.saturating_sub(fact.age_ns), fact);
            self.hear(id);
            let grave = fact.is_unresponsive || fact.is_draining || fact.warming_up_for_ns.is_some();
            let unknown = self.servers.get(&id).is_some_and(|s| grave && s.stood.len() < FEW);
            let of = |yes: &dyn Fn(&ServerReport) -> f64| {
                self.voices(id, FACT_KEPT_NS, yes).is_some_and(|v| v > 0.5)
            };
            let silent = unknown && of(&|f| f64::from(f.is_unresponsive || f.is_draining));
            let cold = unknown
                && of(&|f| f64::from(f.warming_up_for_ns.is_some_and(|n| n < self.settings.slow_start_ns)));
            let since = self.told.of(id).filter_map(|(_, f)| f.warming_up_for_ns).min();
            let since = since.filter(|_| cold).map(|age| now.saturating_sub(age));
            if silent {
                self.suspect(id, true);
            }
            self.servers.entry(id).and_modify(|s| s.cold_since_ns = s.cold_since_ns.max(since));
        }
    }

    /// The median of what fronts tell, each by its freshness, and NOTHING_WRONG; `None` where that outweighs.
    pub(super) fn voices(
        &self,
        id: ServerId,
        kept_ns: Nanos,
        value: &dyn Fn(&ServerReport) -> f64,
    ) -> Option<f64> {
        let weight = |as_of: &Nanos| 0.5f64.powf(self.now.saturating_sub(*as_of) as f64 / kept_ns as f64);
        let told = self.told.of(id).map(|(as_of, fact)| (value(fact), weight(as_of)));
        let mut all: Vec<(f64, f64)> = told.chain([(0.0, NOTHING_WRONG)]).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let weight = all.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut left = weight / 2.0;
        let median = all.into_iter().find(|(_, weight)| {
            left -= weight;
            left <= 0.0
        });
        median.map(|(value, _)| value).filter(|_| weight > 2.0 * NOTHING_WRONG)
    }

    /// What others tell of a server now: the wait there, where own set-ups are few; how many are in line
    /// (those of who takes it to be silent are lost) and stood. Who tells of most counts as the next does.
    pub(super) fn hear(&mut self, id: ServerId) {
        let long = |c: &Self| c.servers.get(&id).is_some_and(|s| c.wait_gaps(s) > LATE_GAPS);
        let was_long = self.servers.get(&id).is_some_and(|s| s.told_stood_per_s.is_some()) && long(self);
        let since = |kept_ns| self.now.saturating_sub(kept_ns);
        let out = self
            .told
            .sum_bounded(id, since(WAIT_KEPT_NS), FEW, |f| f.in_flight * u32::from(!f.is_unresponsive));
        let stood = self.told.sum_bounded(id, since(WINDOW_NS), FEW, |fact| fact.succeeded);
        // Where more tell than are kept, what is kept tells of less than the window.
        let seen_ns = self.told.whole_since(id).map_or(WINDOW_NS, |oldest| self.now - oldest.min(self.now));
        let span_s = (seen_ns.max(PERIOD_NS) as f64 / 1e9).min(self.window_s());
        let few = self.servers.get(&id).filter(|s| s.sent.few(self.period));
        let longest_ns = share(self.gap_ns, 2.0 * WAIT_GAPS_2);
        let wait = few.and_then(|_| self.voices(id, WAIT_KEPT_NS, &|f| f.wait_ns.min(longest_ns) as f64));
        let rate = few.filter(|_| stood > FEW).map(|s| (stood + s.stood.recent(self.period)) as f64 / span_s);
        let heard = (out, wait.map(|wait| wait as Nanos), rate);
        self.servers.entry(id).and_modify(|s| (s.told_out, s.told_wait_ns, s.told_stood_per_s) = heard);
        // All hear at once that it is short: the fronts of many held calls would all join it now.
        if let Some(server) =
            self.servers.get(&id).filter(|s| was_long && s.turn_ns <= self.now && !long(self))
        {
            let apart_ns = self.apart_ns(server);
            let turn_ns = self.now + share(apart_ns, TURN_OF_APART * self.drawn());
            self.servers.entry(id).and_modify(|s| s.turn_ns = turn_ns);
        }
    }
}
