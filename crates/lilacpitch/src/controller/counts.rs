//! The mechanism: window, estimate, ceilings, overload state, pick.

use super::*;

impl Controller {
    /// Slides every server's window to the present period; periods without events count as empty.
    pub(super) fn roll_periods(&mut self) {
        let period = self.now / PERIOD_NS;
        let passed = period - self.period;
        if passed > 0 {
            let (now, classes) = (self.now, &self.settings.classes);
            let patience_ns = classes.iter().map(|c| c.deadline_ns).max().unwrap_or(0);
            self.unserved.retain(|_, first| now - *first < patience_ns);
            self.busy.retain(|_, until_ns| now < *until_ns + WINDOW_NS);
            self.told.forget_until(now.saturating_sub(FACT_NS));
            self.stall_ns = share(self.stall_ns, STALL_KEPT.powi(passed.min(1000) as i32));
        }
        self.period = period;
        for server in self.servers.values_mut() {
            for count in [&mut server.offered, &mut server.sent, &mut server.stood] {
                count.slide(period);
            }
            let cold = server.cold_share(self.now, &self.settings).is_some();
            if passed > 0 && !cold && server.suspect.is_none() && server.in_service() {
                let kept = NORMAL_KEPT.powi(passed.min(1000) as i32);
                let span_s = passed as f64 * PERIOD_NS as f64 / 1e9;
                server.normal = (server.normal.0 * kept, server.normal.1 * kept + span_s);
            }
        }
        if passed > 0 {
            self.lapse(passed.min(N * 4));
            let ids: Vec<_> = self.servers.keys().copied().collect();
            ids.into_iter().for_each(|id| self.hear(id));
            self.add_credit(passed.min(N) as f64 * PERIOD_NS as f64 / 1e9);
        }
    }

    /// The span that the window covers by now, in seconds: less than N periods just after a start.
    pub(super) fn window_s(&self) -> f64 {
        let age = (self.now - self.started_ns.unwrap_or(self.now)).max(WINDOW_NS / 3);
        age.min(WINDOW_NS) as f64 / 1e9
    }

    /// The overload state of a server for one more set-up: 0, 1 past S1, 2 past S2 of the ceiling, or the one
    /// that the wait there calls for: counts over a window see a jam of one second late.
    pub(super) fn overload_state(&self, server: &Server) -> u8 {
        let (gaps, estimate) = (self.wait_gaps(server), self.estimate(server, 1.0));
        let waiting = u8::from(gaps > LATE_GAPS) + u8::from(gaps > WAIT_GAPS_2);
        let past = |ceiling| u8::from(estimate > S1 * ceiling) + u8::from(estimate > S2 * ceiling);
        self.ceiling(server).map_or(0, past).max(waiting)
    }

    /// The wait expected at a server, in resend gaps.
    pub(super) fn wait_gaps(&self, server: &Server) -> f64 {
        self.expected_wait_ns(server) as f64 / self.gap_ns as f64
    }

    /// What a set-up sent now would surely wait: as long as the oldest unanswered has, as long as the server
    /// takes this front's unanswered at the rate at which they stood, or what is left of the last delay.
    pub(super) fn expected_wait_ns(&self, server: &Server) -> Nanos {
        let waiting = server.out.iter().filter(|o| !o.overtaken).count();
        // Where own set-ups are few, those of all fronts are in line, and all that stands there counts.
        let own = (waiting, self.per_s(&server.stood, 0.0));
        let (waiting, stood_per_s) =
            server.told_stood_per_s.map_or(own, |all| (waiting + server.told_out, all));
        let backlog_s = waiting as f64 / stood_per_s.max(1.0 / self.window_s());
        let backlog_ns = ((backlog_s * 1e9) as Nanos).saturating_sub(server.way_ns(self.period));
        self.seen_wait_ns(server, server.told_wait_ns).max(backlog_ns)
    }

    /// What was seen to be waited there; many fresh delays that others tell know more than an old one.
    pub(super) fn seen_wait_ns(&self, server: &Server, told_ns: Option<Nanos>) -> Nanos {
        let fades = if server.sent.few(self.period) { FADE_OF.0 } else { FADE_OF.1 };
        let faded = share(self.now - server.heard_ns.min(self.now), fades);
        let delay_ns = told_ns.unwrap_or(server.delay_ns.saturating_sub(faded));
        server.oldest_ns().map_or(delay_ns, |oldest_ns| delay_ns.max(self.now.saturating_sub(oldest_ns)))
    }

    /// The ceiling in force: the one that a symptom set, or that of a cold server where it is lower.
    pub(super) fn ceiling(&self, server: &Server) -> Option<f64> {
        let floor = self.due_per_s(server) * LEAST_OF_NORMAL;
        let set = server.ceiling_per_s.map(|ceiling| ceiling.max(floor));
        [set, self.cold_ceiling(server)].into_iter().flatten().reduce(f64::min)
    }

    /// Tier refusal: whether this server holds this call back at present.
    pub(super) fn holds_back(&self, server: &Server, row: &Row) -> bool {
        let call = &row.call;
        let rests = |s: Suspect| !server.out.is_empty() || self.now < s.next_trial_ns;
        if self.now < server.told_wait_until_ns.max(server.turn_ns)
            || server.suspect.is_some_and(rests)
            || !self.cold_room(server)
        {
            return true;
        }
        // A trial that is due: the wait that others tell is of the same word, and does not hold it.
        if self.may_scout(server) || server.suspect.is_some_and(|s| s.told) {
            return false;
        }
        let urgent = call.retry_after_cut || call.in_transit;
        let cheapest = self.worth(row) < self.top_worth;
        if self.is_late(row) && !urgent && self.wait_gaps(server) > LATE_GAPS * LATE_CALL_OF {
            return true;
        }
        match self.overload_state(server) {
            0 => false,
            1 => cheapest && !urgent,
            // Calls that were cut come again all at once: urgent ones too wait where they would be late.
            _ => {
                !urgent
                    || self.expected_wait_ns(server) > self.settings.classes[call.class].latency_objective_ns
            }
        }
    }

    /// The pool pick among the servers that the rules and the tiers leave: the first choice, else the one of
    /// two drawn with fewer set-ups unanswered; the two of the first choice's number, where several have it.
    pub(super) fn pick(&mut self, id: CallId) -> Option<ServerId> {
        let row = self.calls.get(&id)?;
        let mut open = Vec::new();
        for server in self.servers.values() {
            if !self.may_send(row, server) || self.holds_back(server, row) {
                continue;
            }
            // Where others wait too, a first choice is one of those drawn: else many would wait there.
            let waits = |wait| wait > share(self.gap_ns, TOLD_LONG_OF);
            let long = server.told_out > 1 && server.told_wait_ns.is_some_and(waits);
            let chosen = server.entry.number == row.call.first_choice && !long;
            // Where the call has just failed it may do so again: there only if no other is open.
            let failed = row.attempts > 0 && row.server == server.entry.server;
            let rank = u8::from(!chosen) + 2 * u8::from(failed);
            let unanswered = server.out.len() + server.told_out;
            open.push((rank, unanswered, self.expected_wait_ns(server), server.entry.server));
        }
        let best = open.iter().map(|(rank, ..)| *rank).min()?;
        open.retain(|(rank, ..)| *rank == best);
        let one = (self.drawn() * open.len() as f64) as usize;
        let other = (one + 1 + (self.drawn() * (open.len() - 1) as f64) as usize) % open.len();
        Some(open[one].min(open[other]).3)
    }

    /// 'Processor full', a time-out, or a set-up late enough to become one: the ceiling goes to this front's
    /// recent rate there, that is to what the server answered of what was sent.
    pub(super) fn press(&mut self, id: ServerId, hard: bool) {
        let (now, gap_ns) = (self.now, self.gap_ns);
        let Some(server) = self.servers.get(&id) else { return };
        let (sent, stood) = (self.estimate(server, 0.0), self.per_s(&server.stood, 0.0));
        let floor = self.normal_per_s(server) * LEAST_OF_NORMAL;
        let hard_cut = if server.sent.few(self.period) { HARD_CUT.0 } else { HARD_CUT.1 };
        let cut = if hard { hard_cut } else { LEAST_CUT };
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.symptom_ns, server.no_lines) = (now, false);
        let deaf = now < server.deaf_until_ns;
        if deaf && cut >= server.cut {
            return;
        }
        server.cut = cut;
        // What was sent before this moment goes on giving symptoms for as long as it waits.
        server.deaf_until_ns = now + 2 * gap_ns.max(server.delay_ns);
        if !deaf {
            server.ceiling_before = server.ceiling_per_s;
        }
        let least = server.ceiling_before.unwrap_or(sent) * cut;
        server.ceiling_per_s = Some(stood.max(least).max(floor));
    }

    /// A ceiling lapses in steps once no symptom has been seen for a while: all at once, it would swing.
    pub(super) fn lapse(&mut self, periods: u64) {
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.servers[&id];
            let clean_ns = self.now.saturating_sub(server.symptom_ns);
            let lapsing = server.ceiling_per_s.filter(|_| clean_ns >= CLEAN_PERIODS * PERIOD_NS);
            let Some(ceiling) = lapsing else { continue };
            let again = self.quick(server) && server.heard_ns > server.symptom_ns;
            let rise = if again { LAPSE_APART.1 } else { LAPSE_APART.0 } / self.apart_ns(server) as f64;
            // Others see it answer at once now: no step in the dark.
            let told = server.told_wait_ns.is_some_and(|wait| wait < share(self.gap_ns, QUICK_OF));
            let rise = if told { f64::MAX / PERIOD_NS as f64 } else { rise };
            let raised = ceiling * LAPSE_STEP.min(1.0 + rise * PERIOD_NS as f64).powi(periods as i32);
            let top = LIFTED * self.per_s(&server.offered, 0.0).max(self.normal_per_s(server));
            let seen = !server.sent.few(self.period) || clean_ns > WINDOW_NS * FAR_BACK;
            let lapsed = Some(raised.min(ceiling.max(top))).filter(|_| raised < top || !seen);
            self.servers.entry(id).and_modify(|s| s.ceiling_per_s = lapsed);
        }
    }

    /// The rate of a count, with `more` set-ups as if they came now.
    pub(super) fn per_s(&self, count: &Count, more: f64) -> f64 {
        count.per_s(self.period, self.window_s(), more)
    }

    /// Sabourin's estimate, in set-ups a second; `more` set-ups are counted as if already sent.
    pub(super) fn estimate(&self, server: &Server, more: f64) -> f64 {
        self.per_s(&server.offered, 0.0) * CR + self.per_s(&server.sent, more) * (CA - CR)
    }

    /// This front's normal rate at a server, before whatever goes on there now; its sum over all fronts is
    /// the server's normal load. Where none is known, its first choices, at most what others get.
    pub(super) fn normal_per_s(&self, server: &Server) -> f64 {
        if server.normal.1 > 0.0 {
            return server.stood_per_s().max(NONE_YET.0 / server.normal.1.max(NONE_YET.1));
        }
        let others = self.servers.values().map(Server::stood_per_s).sum::<f64>();
        self.per_s(&server.offered, 0.0).min(others / self.servers.len().max(2) as f64)
    }

    /// The normal rate where nothing stood yet: what callers offer, where that is more than a few, at most
    /// what other servers get. This front's own refusals can't pull that down.
    pub(super) fn due_per_s(&self, server: &Server) -> f64 {
        let normal = self.normal_per_s(server);
        if server.normal.0 > 0.0 || server.offered.few(self.period) {
            return normal;
        }
        let others = self.servers.values().map(Server::stood_per_s).sum::<f64>() / self.servers.len() as f64;
        let most = if others > 0.0 { others } else { f64::MAX };
        self.per_s(&server.offered, 0.0).min(most).max(normal)
    }
}
