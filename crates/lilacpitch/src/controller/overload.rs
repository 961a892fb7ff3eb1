//! Overload control: counting windows, load estimate, ceilings and overload states of each server.

use super::*;

impl Controller {
    /// Records what an attempt's outcome says about its server.
    pub(super) fn record_outcome(&mut self, server: ServerId, id: CallId, outcome: Outcome) {
        // A rejected set-up did not wait: it says nothing about those in flight, except by its retry-after.
        let is_response = matches!(outcome, Outcome::Completed | Outcome::Fault | Outcome::LinesBusy);
        self.record_answer(server, id, is_response, outcome == Outcome::Completed);
        use Outcome::{Cancelled, NoCircuit, Overloaded, TimedOut};
        if matches!(outcome, Overloaded(_) | NoCircuit | TimedOut | Cancelled) {
            self.update_server(server, |s| s.symptom_ratio += (1.0 - s.symptom_ratio) / RATIO_SAMPLES);
        }
        match outcome {
            Outcome::Overloaded(wait) => {
                let (now, wait_ns) = (self.now, wait.unwrap_or(self.resend_ns).min(WINDOW_NS));
                self.back_off(server, wait_ns);
                if self.is_isolated_symptom(server) {
                    return;
                }
                self.lower_ceiling(server, true);
                // With many set-ups, the delay fades by half of the time passed: it is 0 when this wait ends.
                self.update_server(server, |s| (s.last_response_ns, s.last_delay_ns) = (now, wait_ns / 2));
            }
            // No free line is a ceiling as well: the success rate is the rate at which lines become free.
            Outcome::NoCircuit => {
                let wait = scaled(self.resend_ns, 0.5 + self.random_fraction());
                self.back_off(server, wait);
                if !self.is_isolated_symptom(server) {
                    self.lower_ceiling(server, false);
                    let none_free =
                        |s: &mut Server| s.lines_exhausted = s.free_capacity.is_some_and(|free| free < 1.0);
                    self.update_server(server, none_free);
                }
            }
            Outcome::TimedOut if !self.is_isolated_symptom(server) => self.lower_ceiling(server, true),
            Outcome::Unreachable => self.eject(server, false),
            _ => {}
        }
    }

    /// Whether a symptom is one of few among successes, and no wait confirms it.
    fn is_isolated_symptom(&self, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return true };
        let borne_out =
            self.now - server.last_late_ns < WINDOW_NS || server.free_capacity.is_some_and(|free| free < 1.0);
        !server.offered.is_sparse(self.period) && server.symptom_ratio < ISOLATED_BELOW && !borne_out
    }

    /// Sends nothing to a server for a while; for an isolated symptom, a proportional share of it.
    fn back_off(&mut self, id: ServerId, wait_ns: Nanos) {
        let Some(server) = self.servers.get(&id) else { return };
        let share = if self.is_isolated_symptom(id) { server.symptom_ratio / ISOLATED_BELOW } else { 1.0 };
        let until_ns = self.now + scaled(wait_ns, share);
        self.update_server(id, |s| s.backoff_until_ns = s.backoff_until_ns.max(until_ns));
    }

    /// Records the end of a set-up's flight; `is_response` says that the server itself answered it.
    pub(super) fn record_answer(&mut self, id: ServerId, call: CallId, is_response: bool, succeeded: bool) {
        let (now, late_ns) = (self.now, scaled(self.resend_ns, LATE_INTERVALS));
        let known = |s: &&Server| {
            s.ceiling_per_s.is_some() && s.normal_rate.0 == 0.0 && !s.offered.is_sparse(self.period)
        };
        let due = self.servers.get(&id).filter(known).map_or(0.0, |s| self.due_per_s(s));
        let offered = self.servers.get(&id).map_or(0.0, |s| self.per_s(&s.offered, 0.0));
        let Some(server) = self.servers.get_mut(&id) else { return };
        let (warm, is_sparse) =
            (server.slow_start_fraction(now, &self.settings).is_none(), server.sent.is_sparse(self.period));
        let attempt = server.finish_attempt(call).filter(|_| is_response);
        let Some(InFlightAttempt { sent_ns, waiting_since_ns, .. }) = attempt else { return };
        let delay_ns = now.saturating_sub(waiting_since_ns).max(1);
        (server.last_response_ns, server.last_delay_ns) = (now, delay_ns);
        for attempt in server.in_flight.iter_mut().filter(|o| o.sent_ns < sent_ns && !o.is_overtaken) {
            attempt.is_overtaken = true;
            // It was late because it was lost, not because it waited: the ceiling set for that is restored.
            if now.saturating_sub(attempt.waiting_since_ns) > late_ns
                && delay_ns < scaled(late_ns, QUICK_INTERVALS)
            {
                server.ceiling_per_s = server.ceiling_before;
            }
        }
        if succeeded {
            server.succeeded.add(self.period);
            server.delays.record(delay_ns, 1.0 / RATIO_SAMPLES);
            server.success_ratio += (1.0 - server.success_ratio) / RATIO_SAMPLES;
            // The shortest delay of a success is network delay, not waiting time.
            server.shortest_ns =
                server.shortest_ns.filter(|least| now - sent_ns >= *least).or(Some(now - sent_ns));
            if due > 0.0 {
                server.normal_rate = (due * UNPROVEN_MIN_S, UNPROVEN_MIN_S);
            }
            server.normal_rate.0 += f64::from(u8::from(warm));
            server.symptom_ratio -= server.symptom_ratio / RATIO_SAMPLES;
            // Far below the normal rate, quick successes raise the ceiling.
            let normal_rate = server.success_per_s().max(offered);
            let clean = now.saturating_sub(server.last_symptom_ns) >= CLEAN_PERIODS * PERIOD_NS;
            let far = server.ceiling_per_s.as_mut().filter(|ceiling| **ceiling < normal_rate * GROWTH_BELOW);
            if let Some(ceiling) =
                far.filter(|_| clean && !is_sparse && !server.lines_exhausted && delay_ns < late_ns / 2)
            {
                *ceiling = ceiling.max(normal_rate * CEILING_FLOOR);
                *ceiling += (*ceiling * GROWTH_STEP).min(GROWTH_MAX_PER_S);
            }
        }
        if let Some(ejection) = server.ejection.take() {
            if ejection.probes >= RESTART_PROBES {
                // It may have been restarted while it was unresponsive: slow start.
                server.warming_up_since_ns = Some(now);
            } else if delay_ns < scaled(late_ns, QUICK_INTERVALS) {
                server.ceiling_per_s = server.ceiling_before;
            }
        }
        if delay_ns > late_ns {
            server.last_late_ns = now;
            self.lower_ceiling(id, false);
        }
    }

    /// Slides every server's window to the present period; periods without events count as empty.
    pub(super) fn advance_periods(&mut self) {
        let period = self.now / PERIOD_NS;
        let passed = period - self.period;
        if passed > 0 {
            let (now, classes) = (self.now, &self.settings.classes);
            let patience_ns = classes.iter().map(|c| c.deadline_ns).max().unwrap_or(0);
            self.unserved_numbers.retain(|_, first| now - *first < patience_ns);
            self.busy_numbers.retain(|_, until_ns| now < *until_ns + WINDOW_NS);
            self.peer_reports.remove_until(now.saturating_sub(REPORT_MAX_AGE_NS));
            self.stall_ns = scaled(self.stall_ns, STALL_RETAINED.powi(passed.min(1000) as i32));
        }
        self.period = period;
        for server in self.servers.values_mut() {
            for count in [&mut server.offered, &mut server.sent, &mut server.succeeded] {
                count.slide(period);
            }
            let is_warming_up = server.slow_start_fraction(self.now, &self.settings).is_some();
            if passed > 0 && !is_warming_up && server.ejection.is_none() && server.is_in_service() {
                let retained = NORMAL_RETAINED.powi(passed.min(1000) as i32);
                let duration_s = passed as f64 * PERIOD_NS as f64 / 1e9;
                server.normal_rate =
                    (server.normal_rate.0 * retained, server.normal_rate.1 * retained + duration_s);
            }
        }
        if passed > 0 {
            self.relax_ceilings(passed.min(WINDOW_PERIODS * 4));
            let ids: Vec<_> = self.servers.keys().copied().collect();
            ids.into_iter().for_each(|id| self.update_from_peers(id));
            self.add_credit(passed.min(WINDOW_PERIODS) as f64 * PERIOD_NS as f64 / 1e9);
        }
    }

    /// The time that the window covers by now, in seconds: shorter just after the front's start.
    pub(super) fn window_s(&self) -> f64 {
        let age = (self.now - self.started_ns.unwrap_or(self.now)).max(WINDOW_NS / 3);
        age.min(WINDOW_NS) as f64 / 1e9
    }

    /// The overload state of a server for one more set-up, 0 to 2: by the load estimate against the ceiling,
    /// or by the expected wait, since counts over a window see an overload of one second late.
    pub(super) fn overload_state(&self, server: &Server) -> u8 {
        let (intervals, estimate) = (self.wait_intervals(server), self.estimate(server, 1.0));
        let waiting = u8::from(intervals > LATE_INTERVALS) + u8::from(intervals > STATE_2_INTERVALS);
        let past = |ceiling| {
            u8::from(estimate > STATE_1_THRESHOLD * ceiling)
                + u8::from(estimate > STATE_2_THRESHOLD * ceiling)
        };
        self.ceiling(server).map_or(0, past).max(waiting)
    }

    /// The wait expected at a server, in resend intervals.
    pub(super) fn wait_intervals(&self, server: &Server) -> f64 {
        self.expected_wait_ns(server) as f64 / self.resend_ns as f64
    }

    /// The least wait of a set-up sent now: the longest of the age of the oldest in flight, the time that
    /// those in flight take at the server's success rate, and the rest of the last delay.
    pub(super) fn expected_wait_ns(&self, server: &Server) -> Nanos {
        let waiting = server.in_flight.iter().filter(|o| !o.is_overtaken).count();
        // Where own set-ups are few, those of all fronts and all successes count.
        let own = (waiting, self.per_s(&server.succeeded, 0.0));
        let (waiting, success_per_s) =
            server.peer_success_per_s.map_or(own, |all| (waiting + server.peer_in_flight, all));
        let backlog_s = waiting as f64 / success_per_s.max(1.0 / self.window_s());
        let backlog_ns = ((backlog_s * 1e9) as Nanos).saturating_sub(server.network_delay_ns(self.period));
        self.seen_wait_ns(server, server.peer_wait_ns).max(backlog_ns)
    }

    /// The wait seen there; fresh delays reported by peers are preferred to an old one of this front.
    pub(super) fn seen_wait_ns(&self, server: &Server, reported_ns: Option<Nanos>) -> Nanos {
        let fades = if server.sent.is_sparse(self.period) { FADE_SPARSE } else { FADE };
        let faded = scaled(self.now - server.last_response_ns.min(self.now), fades);
        let delay_ns = reported_ns.unwrap_or(server.last_delay_ns.saturating_sub(faded));
        let age_ns = server.oldest_since_ns().map(|since| self.now.saturating_sub(since));
        age_ns.map_or(delay_ns, |age_ns| delay_ns.max(age_ns))
    }

    /// The ceiling in force: the lower of that set by symptoms and that of slow start.
    fn ceiling(&self, server: &Server) -> Option<f64> {
        let floor = self.due_per_s(server) * CEILING_FLOOR;
        let set = server.ceiling_per_s.map(|ceiling| ceiling.max(floor));
        [set, self.slow_start_ceiling(server)].into_iter().flatten().reduce(f64::min)
    }

    /// Lowers the ceiling to this front's recent success rate there, after 'processor full', a time-out, or a
    /// late set-up. `hard` allows the larger cut.
    pub(super) fn lower_ceiling(&mut self, id: ServerId, hard: bool) {
        let (now, resend_ns) = (self.now, self.resend_ns);
        let Some(server) = self.servers.get(&id) else { return };
        let (sent, succeeded) = (self.estimate(server, 0.0), self.per_s(&server.succeeded, 0.0));
        let floor = self.normal_per_s(server) * CEILING_FLOOR;
        let hard_cut = if server.sent.is_sparse(self.period) { HARD_CUT_SPARSE } else { HARD_CUT };
        let cut = if hard { hard_cut } else { SOFT_CUT };
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.last_symptom_ns, server.lines_exhausted) = (now, false);
        let is_ignored = now < server.ignore_until_ns;
        if is_ignored && cut >= server.cut {
            return;
        }
        server.cut = cut;
        // Set-ups sent before now go on causing symptoms for as long as they wait.
        server.ignore_until_ns = now + 2 * resend_ns.max(server.last_delay_ns);
        if !is_ignored {
            server.ceiling_before = server.ceiling_per_s;
        }
        let least = server.ceiling_before.unwrap_or(sent) * cut;
        server.ceiling_per_s = Some(succeeded.max(least).max(floor));
    }

    /// Relaxes ceilings in steps after a time without symptoms: removed at once, they would oscillate.
    fn relax_ceilings(&mut self, periods: u64) {
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.servers[&id];
            let clean_ns = self.now.saturating_sub(server.last_symptom_ns);
            let relaxing = server.ceiling_per_s.filter(|_| clean_ns >= CLEAN_PERIODS * PERIOD_NS);
            let Some(ceiling) = relaxing else { continue };
            let is_quick_again =
                self.responded_quickly(server) && server.last_response_ns > server.last_symptom_ns;
            let rise = if is_quick_again { RELAX_SEEN } else { RELAX_UNSEEN }
                / self.normal_interval_ns(server) as f64;
            // Peers report quick responses now: no small steps are needed.
            let told = server.peer_wait_ns.is_some_and(|wait| wait < scaled(self.resend_ns, QUICK_INTERVALS));
            let rise = if told { f64::MAX / PERIOD_NS as f64 } else { rise };
            let raised = ceiling * RELAX_STEP.min(1.0 + rise * PERIOD_NS as f64).powi(periods as i32);
            let top = MAX_LIFT * self.per_s(&server.offered, 0.0).max(self.normal_per_s(server));
            let seen = !server.sent.is_sparse(self.period) || clean_ns > WINDOW_NS * MAX_CLEAN_WINDOWS;
            let relaxed = Some(raised.min(ceiling.max(top))).filter(|_| raised < top || !seen);
            self.update_server(id, |s| s.ceiling_per_s = relaxed);
        }
    }

    /// Sabourin's estimate, in set-ups a second; `more` set-ups are counted as if already sent.
    fn estimate(&self, server: &Server, more: f64) -> f64 {
        self.per_s(&server.offered, 0.0) * REJECT_COST
            + self.per_s(&server.sent, more) * (ACCEPT_COST - REJECT_COST)
    }

    /// This front's normal rate at a server, apart from current events; all fronts together make the server's
    /// normal load. If unknown: its first choices, at most the mean of other servers.
    pub(super) fn normal_per_s(&self, server: &Server) -> f64 {
        if server.normal_rate.1 > 0.0 {
            return server.success_per_s().max(UNPROVEN_SETUPS / server.normal_rate.1.max(UNPROVEN_MIN_S));
        }
        let others = self.servers.values().map(Server::success_per_s).sum::<f64>();
        self.per_s(&server.offered, 0.0).min(others / self.servers.len().max(2) as f64)
    }

    /// The normal rate, or if nothing succeeded yet what clients offer, at most the mean of other servers.
    /// This front's own rejections cannot lower it.
    pub(super) fn due_per_s(&self, server: &Server) -> f64 {
        let normal_rate = self.normal_per_s(server);
        if server.normal_rate.0 > 0.0 || server.offered.is_sparse(self.period) {
            return normal_rate;
        }
        let others =
            self.servers.values().map(Server::success_per_s).sum::<f64>() / self.servers.len() as f64;
        let most = if others > 0.0 { others } else { f64::MAX };
        self.per_s(&server.offered, 0.0).min(most).max(normal_rate)
    }
}
