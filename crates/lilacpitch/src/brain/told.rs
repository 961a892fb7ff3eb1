//! What this front tells of servers, and what it believes of what others tell.

use super::*;

impl Controller {
    /// What this front knows of servers from its own set-ups; hearsay is not passed on.
    pub fn facts(&self) -> Vec<Fact> {
        let fact = |server: &Server| {
            // What goes on waiting is told anew twice a gap: others forget it else.
            let waits = server.oldest_ns().filter(|oldest| self.now - oldest > share(self.gap_ns, LATE_GAPS));
            let last_ns = server.sent_ns.max(server.heard_ns).max(server.symptom_ns);
            let aged = |oldest| (self.now - oldest) % (self.gap_ns / 2 + 1);
            Some(server.sent_ns).filter(|sent| *sent > 0).map(|_| Fact {
                server: server.entry.server,
                age_ns: waits.map_or(self.now.saturating_sub(last_ns), aged),
                wait_ns: self.seen_wait_ns(server, None),
                out: server.out.len() as u32,
                suspect: server.suspect.is_some_and(|s| !s.told),
                cold_ns: server.cold_since_ns.map(|at| self.now.saturating_sub(at)),
                drained: !server.in_service(),
            })
        };
        self.servers.values().filter_map(fact).collect()
    }

    /// Facts of others stand in for own counts where there are few.
    pub(super) fn on_told(&mut self, peer: u64, facts: Vec<Fact>) {
        let now = self.now;
        for fact in facts {
            let id = fact.server;
            self.told.insert((id, peer), (now.saturating_sub(fact.age_ns), fact));
            let known = self.told.range((id, 0)..=(id, u64::MAX));
            if known.clone().count() > MOST_VOICES {
                let oldest = known.min_by_key(|(_, (as_of, _))| *as_of).map(|(key, _)| *key);
                oldest.map(|key| self.told.remove(&key));
            }
            self.hear(id);
            let grave = fact.suspect || fact.drained || fact.cold_ns.is_some();
            let unknown = |s: &&Server| grave && s.stood.len() < FEW;
            let Some(server) = self.servers.get(&id).filter(unknown) else { continue };
            let of = |value: &dyn Fn(&Fact) -> bool| {
                self.voices(id, FACT_KEPT_NS, &|f| f64::from(u8::from(value(f)))).is_some_and(|v| v > 0.5)
            };
            let silent = of(&|f| f.suspect || f.drained);
            let cold = of(&|f| f.cold_ns.is_some_and(|n| n < self.settings.cold_ns));
            let (told, young) = (self.told.range((id, 0)..=(id, u64::MAX)), server.cold_since_ns);
            let since = told.filter_map(|(_, (_, f))| f.cold_ns).min().map(|age| now.saturating_sub(age));
            if silent && server.suspect.is_none() {
                self.suspect(id);
                self.servers.entry(id).and_modify(|s| s.suspect.iter_mut().for_each(|s| s.told = true));
            }
            let since = if cold { since.max(young) } else { young };
            self.servers.entry(id).and_modify(|s| s.cold_since_ns = since);
        }
    }

    /// The median of what fronts tell of a server, each by its freshness, beside two that find nothing wrong;
    /// `None` where those outweigh them.
    pub(super) fn voices(&self, id: ServerId, kept_ns: Nanos, value: &dyn Fn(&Fact) -> f64) -> Option<f64> {
        let told = self.told.range((id, 0)..=(id, u64::MAX)).map(|(_, (as_of, fact))| {
            (value(fact), 0.5f64.powf(self.now.saturating_sub(*as_of) as f64 / kept_ns as f64))
        });
        let mut all: Vec<(f64, f64)> = told.chain([(0.0, NOTHING_WRONG)]).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let weight = all.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut left = weight / 2.0;
        let mut median = all.into_iter().skip_while(|(_, weight)| {
            left -= weight;
            left > 0.0
        });
        median.next().map(|(value, _)| value).filter(|_| weight > 2.0 * NOTHING_WRONG)
    }

    /// What others tell of a server now: what a call waits there, where own set-ups are few, and how many are
    /// out there, but for those of the front that tells of most: one that is wrong moves nothing by itself.
    pub(super) fn hear(&mut self, id: ServerId) {
        let told = self.told.range((id, 0)..=(id, u64::MAX)).map(|(_, told)| told);
        let fresh = told.filter(|(as_of, _)| self.now.saturating_sub(*as_of) < WAIT_KEPT_NS);
        let outs = fresh.map(|(_, fact)| (fact.out as usize).min(FEW));
        let (sum, most) = outs.fold((0, 0), |(sum, most), out| (sum + out, most.max(out)));
        let longest_ns = share(self.gap_ns, 2.0 * WAIT_GAPS_2);
        let few = self.servers.get(&id).filter(|s| s.sent.few(self.period));
        let wait = few.and_then(|_| self.voices(id, WAIT_KEPT_NS, &|f| f.wait_ns.min(longest_ns) as f64));
        let heard = (sum - most, wait.map(|wait| wait as Nanos));
        self.servers.entry(id).and_modify(|s| (s.told_out, s.told_wait_ns) = heard);
    }
}
