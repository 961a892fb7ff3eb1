//! Overload control: counting windows, load estimates, ceilings and overload states of servers.

use super::*;

impl Controller {
    /// Updates the state of a server by the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, server: ServerId, id: CallId, outcome: Outcome) {
        // A rejected set-up did not wait, so its delay is no evidence about those in flight; its retry-after
        // is.
        let is_response = matches!(outcome, Outcome::Completed | Outcome::Fault | Outcome::LinesBusy);
        self.record_attempt_end(server, id, is_response, outcome == Outcome::Completed);
        use Outcome::{Cancelled, NoCircuit, Overloaded, TimedOut};
        if matches!(outcome, Overloaded(_) | NoCircuit | TimedOut | Cancelled) {
            self.update_server(server, |s| s.symptom_ratio += (1.0 - s.symptom_ratio) / RATIO_SAMPLES);
        }
        match outcome {
            Outcome::Overloaded(retry_after_ns) => {
                let (now, wait_ns) = (self.now, retry_after_ns.unwrap_or(self.resend_ns).min(WINDOW_NS));
                self.back_off(server, wait_ns);
                if self.is_isolated_symptom(server) {
                    return;
                }
                self.lower_ceiling(server, true);
                // With DELAY_DECAY the delay decays by half of the time passed, so that it is 0 when this
                // wait ends.
                self.update_server(server, |s| (s.last_response_ns, s.last_delay_ns) = (now, wait_ns / 2));
            }
            // A lack of free lines is a ceiling as well: set-ups succeed at the rate at which lines become
            // free.
            Outcome::NoCircuit => {
                let wait_ns = scaled(self.resend_ns, 0.5 + self.random_fraction());
                self.back_off(server, wait_ns);
                if !self.is_isolated_symptom(server) {
                    self.lower_ceiling(server, false);
                    self.update_server(server, |s| {
                        s.lines_exhausted = s.free_capacity.is_some_and(|free| free < 1.0);
                    });
                }
            }
            Outcome::TimedOut if !self.is_isolated_symptom(server) => self.lower_ceiling(server, true),
            Outcome::Unreachable => self.eject(server, false),
            _ => {}
        }
    }

    /// Whether a symptom is one of few among successes, and neither a late set-up nor the server's own report
    /// confirms it. True for an unknown server.
    fn is_isolated_symptom(&self, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return true };
        let is_confirmed =
            self.now - server.last_late_ns < WINDOW_NS || server.free_capacity.is_some_and(|free| free < 1.0);
        !server.offered.is_sparse(self.period)
            && server.symptom_ratio < ISOLATED_SYMPTOM_RATIO
            && !is_confirmed
    }

    /// Sends nothing to a server for `wait_ns`; after an isolated symptom, for a share of it in proportion to
    /// the ratio of symptoms.
    fn back_off(&mut self, id: ServerId, wait_ns: Nanos) {
        let Some(server) = self.servers.get(&id) else { return };
        let share =
            if self.is_isolated_symptom(id) { server.symptom_ratio / ISOLATED_SYMPTOM_RATIO } else { 1.0 };
        let until_ns = self.now + scaled(wait_ns, share);
        self.update_server(id, |s| s.backoff_until_ns = s.backoff_until_ns.max(until_ns));
    }

    /// Removes an attempt from those in flight. If the server itself answered it (`is_response`), its delay
    /// updates the state of the server.
    pub(super) fn record_attempt_end(
        &mut self,
        id: ServerId,
        call: CallId,
        is_response: bool,
        succeeded: bool,
    ) {
        let (now, late_ns) = (self.now, scaled(self.resend_ns, LATE_INTERVALS));
        let is_first_success_under_ceiling = |server: &&Server| {
            server.ceiling_per_s.is_some()
                && server.normal_rate.0 == 0.0
                && !server.offered.is_sparse(self.period)
        };
        let unproven = self.servers.get(&id).filter(is_first_success_under_ceiling);
        let expected_per_s = unproven.map_or(0.0, |server| self.expected_rate_per_s(server));
        let offered_per_s = self.servers.get(&id).map_or(0.0, |server| self.per_s(&server.offered, 0.0));
        let Some(server) = self.servers.get_mut(&id) else { return };
        let (is_warm, is_sparse) =
            (server.slow_start_fraction(now, &self.settings).is_none(), server.sent.is_sparse(self.period));
        let attempt = server.finish_attempt(call).filter(|_| is_response);
        let Some(InFlightAttempt { sent_ns, waiting_since_ns, .. }) = attempt else { return };
        let delay_ns = now.saturating_sub(waiting_since_ns).max(1);
        (server.last_response_ns, server.last_delay_ns) = (now, delay_ns);
        let overtaken = server.in_flight.iter_mut().filter(|a| a.sent_ns < sent_ns && !a.is_overtaken);
        for attempt in overtaken {
            attempt.is_overtaken = true;
            // It was late because it was lost, not because it waited, so the ceiling before that symptom is
            // restored.
            if now.saturating_sub(attempt.waiting_since_ns) > late_ns
                && delay_ns < scaled(late_ns, QUICK_INTERVALS)
            {
                server.ceiling_per_s = server.ceiling_before_symptom_per_s;
            }
        }
        if succeeded {
            server.succeeded.add(self.period);
            server.delays.record(delay_ns, 1.0 / RATIO_SAMPLES);
            server.success_ratio += (1.0 - server.success_ratio) / RATIO_SAMPLES;
            let total_delay_ns = now - sent_ns;
            let shorter = server.shortest_delay_ns.filter(|shortest_ns| total_delay_ns >= *shortest_ns);
            server.shortest_delay_ns = shorter.or(Some(total_delay_ns));
            if expected_per_s > 0.0 {
                server.normal_rate = (expected_per_s * UNPROVEN_MIN_S, UNPROVEN_MIN_S);
            }
            server.normal_rate.0 += f64::from(u8::from(is_warm));
            server.symptom_ratio -= server.symptom_ratio / RATIO_SAMPLES;
            // Quick successes raise a ceiling that is far below the normal rate.
            let normal_per_s = server.normal_success_per_s().max(offered_per_s);
            let is_clean = now.saturating_sub(server.last_symptom_ns) >= CLEAN_PERIODS * PERIOD_NS;
            let low_ceiling = server
                .ceiling_per_s
                .as_mut()
                .filter(|ceiling| **ceiling < normal_per_s * CEILING_GROWTH_THRESHOLD);
            if let Some(ceiling_per_s) = low_ceiling
                .filter(|_| is_clean && !is_sparse && !server.lines_exhausted && delay_ns < late_ns / 2)
            {
                *ceiling_per_s = ceiling_per_s.max(normal_per_s * CEILING_FLOOR_SHARE);
                *ceiling_per_s += (*ceiling_per_s * CEILING_GROWTH_SHARE).min(CEILING_GROWTH_MAX_PER_S);
            }
        }
        if let Some(ejection) = server.ejection.take() {
            if ejection.probes >= RESTART_PROBES {
                // The server may have been restarted while it was unresponsive: begin slow start.
                server.warming_up_since_ns = Some(now);
            } else if delay_ns < scaled(late_ns, QUICK_INTERVALS) {
                server.ceiling_per_s = server.ceiling_before_symptom_per_s;
            }
        }
        if delay_ns > late_ns {
            server.last_late_ns = now;
            self.lower_ceiling(id, false);
        }
    }

    /// Slides the counting windows to the present period and, when a period has ended, updates all that
    /// changes with time. Periods without events count as empty.
    pub(super) fn advance_periods(&mut self) {
        let period = self.now / PERIOD_NS;
        let passed = period - self.period;
        if passed > 0 {
            let (now, classes) = (self.now, &self.settings.classes);
            let longest_deadline_ns = classes.iter().map(|class| class.deadline_ns).max().unwrap_or(0);
            self.unserved_numbers.retain(|_, first_try_ns| now - *first_try_ns < longest_deadline_ns);
            self.busy_numbers.retain(|_, until_ns| now < *until_ns + WINDOW_NS);
            self.peer_reports.remove_up_to(now.saturating_sub(PEER_REPORT_MAX_AGE_NS));
            self.longest_stall_ns =
                scaled(self.longest_stall_ns, STALL_RETENTION.powi(passed.min(1000) as i32));
        }
        self.period = period;
        for server in self.servers.values_mut() {
            for count in [&mut server.offered, &mut server.sent, &mut server.succeeded] {
                count.slide(period);
            }
            let is_warming_up = server.slow_start_fraction(self.now, &self.settings).is_some();
            if passed > 0 && !is_warming_up && server.ejection.is_none() && server.is_in_service() {
                let retained = NORMAL_RATE_RETENTION.powi(passed.min(1000) as i32);
                let duration_s = passed as f64 * PERIOD_NS as f64 / 1e9;
                server.normal_rate =
                    (server.normal_rate.0 * retained, server.normal_rate.1 * retained + duration_s);
            }
        }
        if passed > 0 {
            self.relax_ceilings(passed.min(WINDOW_PERIODS * 4));
            let ids: Vec<_> = self.servers.keys().copied().collect();
            ids.into_iter().for_each(|id| self.update_from_peers(id));
            self.add_slow_start_credit(passed.min(WINDOW_PERIODS) as f64 * PERIOD_NS as f64 / 1e9);
        }
    }

    /// The time that the window covers at present, in seconds; less than a full window just after the front's
    /// start.
    pub(super) fn window_s(&self) -> f64 {
        let age_ns = (self.now - self.started_ns.unwrap_or(self.now)).max(WINDOW_NS / 3);
        age_ns.min(WINDOW_NS) as f64 / 1e9
    }

    /// Sabourin's overload state of a server for one more set-up, 0 to 2: the higher of the state by the load
    /// estimate against the ceiling, and that by the expected wait. Counts over a window show an overload of
    /// a second too late.
    pub(super) fn overload_state(&self, server: &Server) -> u8 {
        let (wait_intervals, load_per_s) =
            (self.wait_intervals(server), self.load_estimate_per_s(server, 1.0));
        let state_by_wait =
            u8::from(wait_intervals > LATE_INTERVALS) + u8::from(wait_intervals > STATE_2_WAIT_INTERVALS);
        let state_by_load = |ceiling_per_s| {
            u8::from(load_per_s > STATE_1_THRESHOLD * ceiling_per_s)
                + u8::from(load_per_s > STATE_2_THRESHOLD * ceiling_per_s)
        };
        self.ceiling_per_s(server).map_or(0, state_by_load).max(state_by_wait)
    }

    /// The expected wait at a server, in resend intervals.
    pub(super) fn wait_intervals(&self, server: &Server) -> f64 {
        self.expected_wait_ns(server) as f64 / self.resend_ns as f64
    }

    /// A lower bound for the wait of a set-up sent now: the longest of the age of the oldest in flight, the
    /// time that those in flight take at the server's success rate, and what remains of the last delay after
    /// its decay.
    pub(super) fn expected_wait_ns(&self, server: &Server) -> Nanos {
        let own_waiting = server.in_flight.iter().filter(|attempt| !attempt.is_overtaken).count();
        // Where this front sends few set-ups, the set-ups in flight and successes of all fronts are used.
        let own = (own_waiting, self.per_s(&server.succeeded, 0.0));
        let (waiting, success_per_s) = server
            .peer_success_per_s
            .map_or(own, |all_per_s| (own_waiting + server.peer_in_flight, all_per_s));
        let backlog_s = waiting as f64 / success_per_s.max(1.0 / self.window_s());
        let backlog_ns = ((backlog_s * 1e9) as Nanos).saturating_sub(server.network_delay_ns(self.period));
        self.observed_wait_ns(server, server.peer_wait_ns).max(backlog_ns)
    }

    /// The wait observed at a server: the age of the oldest set-up in flight, or the last delay after its
    /// decay if that is longer. A wait reported by peers replaces this front's last delay.
    pub(super) fn observed_wait_ns(&self, server: &Server, reported_ns: Option<Nanos>) -> Nanos {
        let decay = if server.sent.is_sparse(self.period) { DELAY_DECAY_SPARSE } else { DELAY_DECAY };
        let decayed_ns = scaled(self.now - server.last_response_ns.min(self.now), decay);
        let delay_ns = reported_ns.unwrap_or(server.last_delay_ns.saturating_sub(decayed_ns));
        let age_ns = server.oldest_waiting_since_ns().map(|since_ns| self.now.saturating_sub(since_ns));
        age_ns.map_or(delay_ns, |age_ns| delay_ns.max(age_ns))
    }

    /// The effective ceiling: the lower of that set by symptoms and that of slow start.
    fn ceiling_per_s(&self, server: &Server) -> Option<f64> {
        let floor_per_s = self.expected_rate_per_s(server) * CEILING_FLOOR_SHARE;
        let by_symptoms = server.ceiling_per_s.map(|ceiling_per_s| ceiling_per_s.max(floor_per_s));
        [by_symptoms, self.slow_start_ceiling_per_s(server)].into_iter().flatten().reduce(f64::min)
    }

    /// Lowers the ceiling to this front's recent success rate there, after a symptom of overload. A severe
    /// symptom ('processor full', a time-out or an unresponsive server) may decrease it further than a mild
    /// one.
    pub(super) fn lower_ceiling(&mut self, id: ServerId, is_severe: bool) {
        let (now, resend_ns) = (self.now, self.resend_ns);
        let Some(server) = self.servers.get(&id) else { return };
        let (sent_per_s, success_per_s) =
            (self.load_estimate_per_s(server, 0.0), self.per_s(&server.succeeded, 0.0));
        let floor_per_s = self.normal_per_s(server) * CEILING_FLOOR_SHARE;
        let decrease_factor = match (is_severe, server.sent.is_sparse(self.period)) {
            (false, _) => MILD_DECREASE_FACTOR,
            (true, false) => SEVERE_DECREASE_FACTOR,
            (true, true) => SEVERE_DECREASE_FACTOR_SPARSE,
        };
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.last_symptom_ns, server.lines_exhausted) = (now, false);
        let is_ignored = now < server.symptoms_ignored_until_ns;
        if is_ignored && decrease_factor >= server.decrease_factor {
            return;
        }
        server.decrease_factor = decrease_factor;
        // Set-ups that were sent before now continue to cause symptoms for as long as they wait.
        server.symptoms_ignored_until_ns = now + 2 * resend_ns.max(server.last_delay_ns);
        if !is_ignored {
            server.ceiling_before_symptom_per_s = server.ceiling_per_s;
        }
        let least_per_s = server.ceiling_before_symptom_per_s.unwrap_or(sent_per_s) * decrease_factor;
        server.ceiling_per_s = Some(success_per_s.max(least_per_s).max(floor_per_s));
    }

    /// Relaxes ceilings step by step after a time without symptoms. Removing them at once would cause
    /// oscillation.
    fn relax_ceilings(&mut self, periods: u64) {
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.servers[&id];
            let clean_ns = self.now.saturating_sub(server.last_symptom_ns);
            let relaxable = server.ceiling_per_s.filter(|_| clean_ns >= CLEAN_PERIODS * PERIOD_NS);
            let Some(ceiling_per_s) = relaxable else { continue };
            let is_quick_again =
                self.responded_quickly(server) && server.last_response_ns > server.last_symptom_ns;
            let rise_per_ns = if is_quick_again { RELAX_SHARE_CONFIRMED } else { RELAX_SHARE_UNCONFIRMED }
                / self.normal_interval_ns(server) as f64;
            // Where peers report quick responses, only RELAX_MAX_FACTOR limits the step.
            let is_reported_quick =
                server.peer_wait_ns.is_some_and(|wait_ns| wait_ns < scaled(self.resend_ns, QUICK_INTERVALS));
            let rise_per_ns = if is_reported_quick { f64::MAX / PERIOD_NS as f64 } else { rise_per_ns };
            let raised_per_s = ceiling_per_s
                * RELAX_MAX_FACTOR.min(1.0 + rise_per_ns * PERIOD_NS as f64).powi(periods as i32);
            let removal_per_s =
                CEILING_REMOVAL_MULTIPLE * self.per_s(&server.offered, 0.0).max(self.normal_per_s(server));
            let may_remove = !server.sent.is_sparse(self.period) || clean_ns > WINDOW_NS * MAX_CLEAN_WINDOWS;
            let relaxed = Some(raised_per_s.min(ceiling_per_s.max(removal_per_s)))
                .filter(|_| raised_per_s < removal_per_s || !may_remove);
            self.update_server(id, |server| server.ceiling_per_s = relaxed);
        }
    }

    /// Sabourin's load estimate, in set-ups a second; `additional` set-ups are counted as if already sent.
    fn load_estimate_per_s(&self, server: &Server, additional: f64) -> f64 {
        self.per_s(&server.offered, 0.0) * REJECT_COST
            + self.per_s(&server.sent, additional) * (ACCEPT_COST - REJECT_COST)
    }

    /// This front's normal rate at a server, independent of current events; that of all fronts together is
    /// the server's normal load. If unknown, the rate of calls with this first choice, up to the mean normal
    /// rate of all servers.
    pub(super) fn normal_per_s(&self, server: &Server) -> f64 {
        if server.normal_rate.1 > 0.0 {
            return server
                .normal_success_per_s()
                .max(UNPROVEN_SETUPS / server.normal_rate.1.max(UNPROVEN_MIN_S));
        }
        let total_per_s = self.servers.values().map(Server::normal_success_per_s).sum::<f64>();
        self.per_s(&server.offered, 0.0).min(total_per_s / self.servers.len().max(2) as f64)
    }

    /// The normal rate of a server or, if nothing has succeeded there yet, the rate that clients offer, up to
    /// the mean normal rate of all servers. This front's own rejections cannot lower it.
    pub(super) fn expected_rate_per_s(&self, server: &Server) -> f64 {
        let normal_per_s = self.normal_per_s(server);
        if server.normal_rate.0 > 0.0 || server.offered.is_sparse(self.period) {
            return normal_per_s;
        }
        let mean_per_s =
            self.servers.values().map(Server::normal_success_per_s).sum::<f64>() / self.servers.len() as f64;
        let limit_per_s = if mean_per_s > 0.0 { mean_per_s } else { f64::MAX };
        self.per_s(&server.offered, 0.0).min(limit_per_s).max(normal_per_s)
    }
}
