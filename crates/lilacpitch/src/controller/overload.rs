//! Overload control: counting windows, load estimates, ceilings and overload states of servers.

use super::*;

impl Controller {
    /// Updates the state of a server by the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, server: ServerId, id: CallId, outcome: Outcome) {
        // A rejected set-up did not wait: only its retry-after is evidence about the set-ups in flight.
        let is_response = matches!(outcome, Outcome::Completed | Outcome::Fault | Outcome::LinesBusy);
        self.record_attempt_end(server, id, is_response, outcome == Outcome::Completed);
        if is_symptom(outcome) {
            self.update_server(server, |server| {
                server.symptom_ratio += (1.0 - server.symptom_ratio) / RATIO_SAMPLES
            });
        }
        match outcome {
            Outcome::Overloaded(retry_after_ns) => self.record_processor_full(server, retry_after_ns),
            Outcome::NoCircuit => self.record_no_circuit(server),
            Outcome::TimedOut if !self.is_isolated_symptom(server) => self.lower_ceiling(server, true),
            Outcome::Unreachable => self.eject(server, false),
            _ => {}
        }
    }

    /// Backs off from a server whose processor is full, and lowers its ceiling.
    fn record_processor_full(&mut self, id: ServerId, retry_after_ns: Option<Nanos>) {
        let now = self.now;
        let wait_ns = retry_after_ns.unwrap_or(self.resend_ns).min(WINDOW_NS);
        self.back_off(id, wait_ns);
        if self.is_isolated_symptom(id) {
            return;
        }
        self.lower_ceiling(id, true);
        self.update_server(id, |server| {
            server.last_response_ns = now;
            // With DELAY_DECAY the delay decays by half of the time passed: it is 0 when this wait ends.
            server.last_delay_ns = wait_ns / 2;
        });
    }

    /// Backs off from a server without a free line, and lowers its ceiling: set-ups succeed at the rate at
    /// which lines become free.
    fn record_no_circuit(&mut self, id: ServerId) {
        let wait_ns = scaled(self.resend_ns, NO_CIRCUIT_MIN_INTERVALS + self.random_fraction());
        self.back_off(id, wait_ns);
        if self.is_isolated_symptom(id) {
            return;
        }
        self.lower_ceiling(id, false);
        self.update_server(id, |server| server.lines_exhausted = server.reports_no_free_line());
    }

    /// Whether a symptom is regarded as chance: enough calls are offered, symptoms are few among successes,
    /// and neither a late set-up nor the server's own report confirms them. True for an unknown server.
    fn is_isolated_symptom(&self, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return true };
        let is_confirmed = self.now - server.last_late_ns < WINDOW_NS || server.reports_no_free_line();
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
        self.update_server(id, |server| server.backoff_until_ns = server.backoff_until_ns.max(until_ns));
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
        let now = self.now;
        let late_ns = scaled(self.resend_ns, LATE_INTERVALS);
        let first_rate_per_s = self.first_normal_rate_per_s(id);
        let offered_per_s = self.servers.get(&id).map_or(0.0, |server| self.per_s(&server.offered, 0.0));
        let Some(server) = self.servers.get_mut(&id) else { return };
        let is_warm = server.slow_start_fraction(now, &self.settings).is_none();
        let is_sparse = server.sent.is_sparse(self.period);
        let Some(attempt) = server.finish_attempt(call).filter(|_| is_response) else { return };
        let delay_ns = now.saturating_sub(attempt.waiting_since_ns).max(1);
        let is_quick = delay_ns < scaled(late_ns, QUICK_INTERVALS);
        server.last_response_ns = now;
        server.last_delay_ns = delay_ns;
        server.mark_overtaken(now, attempt.sent_ns, late_ns, is_quick);
        if succeeded {
            server.succeeded.add(self.period);
            server.record_success(now - attempt.sent_ns, delay_ns);
            if let Some(rate_per_s) = first_rate_per_s {
                server.normal_rate =
                    NormalRate { successes: rate_per_s * UNPROVEN_MIN_S, seconds: UNPROVEN_MIN_S };
            }
            server.normal_rate.successes += f64::from(u8::from(is_warm));
            if !is_sparse && delay_ns < late_ns / 2 {
                server.raise_low_ceiling(now, offered_per_s);
            }
        }
        server.end_ejection(now, is_quick);
        if delay_ns > late_ns {
            server.last_late_ns = now;
            self.lower_ceiling(id, false);
        }
    }

    /// The normal rate that a server gets with its first success, if that comes under a ceiling: this front's
    /// own limit must not determine the normal rate.
    fn first_normal_rate_per_s(&self, id: ServerId) -> Option<f64> {
        let server = self.servers.get(&id)?;
        let is_first_success = server.normal_rate.successes == 0.0;
        if server.ceiling_per_s.is_none() || !is_first_success || server.offered.is_sparse(self.period) {
            return None;
        }
        Some(self.expected_rate_per_s(server)).filter(|rate_per_s| *rate_per_s > 0.0)
    }

    /// Slides the counting windows to the present period and, when a period has ended, updates all that
    /// changes with time. Periods without events count as empty.
    pub(super) fn advance_periods(&mut self) {
        let period = self.now / PERIOD_NS;
        let passed = period - self.period;
        if passed > 0 {
            self.remove_outdated_entries();
            let retention = STALL_RETENTION.powi(passed.min(MAX_DECAY_PERIODS) as i32);
            self.longest_stall_ns = scaled(self.longest_stall_ns, retention);
        }
        self.period = period;
        for server in self.servers.values_mut() {
            for count in [&mut server.offered, &mut server.sent, &mut server.succeeded] {
                count.slide(period);
            }
            let is_warming_up = server.slow_start_fraction(self.now, &self.settings).is_some();
            if passed > 0 && !is_warming_up && server.ejection.is_none() && server.is_in_service() {
                server.normal_rate.advance(passed);
            }
        }
        if passed > 0 {
            self.relax_ceilings(passed.min(MAX_RELAX_PERIODS));
            let ids: Vec<ServerId> = self.servers.keys().copied().collect();
            for id in ids {
                self.update_from_peers(id);
            }
            self.add_slow_start_credit(passed.min(WINDOW_PERIODS) as f64 * PERIOD_NS as f64 / 1e9);
        }
    }

    /// Removes dialled numbers and peer reports that are no longer of use.
    fn remove_outdated_entries(&mut self) {
        let now = self.now;
        let deadlines = self.settings.classes.iter().map(|class| class.deadline_ns);
        let longest_deadline_ns = deadlines.max().unwrap_or(0);
        self.unserved_numbers.retain(|_, first_try_ns| now - *first_try_ns < longest_deadline_ns);
        self.busy_numbers.retain(|_, until_ns| now < *until_ns + WINDOW_NS);
        self.peer_reports.remove_up_to(now.saturating_sub(PEER_REPORT_MAX_AGE_NS));
    }

    /// The time that the window covers at present, in seconds; less than a full window just after the start.
    pub(super) fn window_s(&self) -> f64 {
        let age_ns = self.now - self.started_ns.unwrap_or(self.now);
        age_ns.clamp(MIN_WINDOW_NS, WINDOW_NS) as f64 / 1e9
    }

    /// Sabourin's overload state of a server for one more set-up, 0 to 2: the higher of the state by the load
    /// estimate against the ceiling, and that by the expected wait. The load estimate alone, which covers a
    /// whole window, would show a short overload too late.
    pub(super) fn overload_state(&self, server: &Server) -> u8 {
        let wait_intervals = self.wait_intervals(server);
        let state_by_wait =
            u8::from(wait_intervals > LATE_INTERVALS) + u8::from(wait_intervals > STATE_2_WAIT_INTERVALS);
        let Some(ceiling_per_s) = self.ceiling_per_s(server) else { return state_by_wait };
        let load_per_s = self.load_estimate_per_s(server, 1.0);
        let state_by_load = u8::from(load_per_s > STATE_1_THRESHOLD * ceiling_per_s)
            + u8::from(load_per_s > STATE_2_THRESHOLD * ceiling_per_s);
        state_by_load.max(state_by_wait)
    }

    /// The expected wait at a server, in resend intervals.
    pub(super) fn wait_intervals(&self, server: &Server) -> f64 {
        self.expected_wait_ns(server) as f64 / self.resend_ns as f64
    }

    /// A lower bound for the wait of a set-up sent now: the longest of the age of the oldest in flight, the
    /// time that those in flight take at the server's success rate, and the last delay after its decay.
    pub(super) fn expected_wait_ns(&self, server: &Server) -> Nanos {
        let own_waiting = server.in_flight.iter().filter(|attempt| !attempt.is_overtaken).count();
        let (waiting, success_per_s) = match server.peer_success_per_s {
            // Where this front sends few set-ups, the set-ups in flight and successes of all fronts are used.
            Some(success_per_s) => (own_waiting + server.peer_in_flight, success_per_s),
            None => (own_waiting, self.per_s(&server.succeeded, 0.0)),
        };
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
        match server.oldest_waiting_since_ns() {
            Some(since_ns) => delay_ns.max(self.now.saturating_sub(since_ns)),
            None => delay_ns,
        }
    }

    /// The effective ceiling: the lower of that set by symptoms and that of slow start.
    fn ceiling_per_s(&self, server: &Server) -> Option<f64> {
        let floor_per_s = self.expected_rate_per_s(server) * CEILING_FLOOR_SHARE;
        let by_symptoms = server.ceiling_per_s.map(|ceiling_per_s| ceiling_per_s.max(floor_per_s));
        let by_slow_start = self.slow_start_ceiling_per_s(server);
        [by_symptoms, by_slow_start].into_iter().flatten().reduce(f64::min)
    }

    /// Lowers the ceiling to this front's recent success rate there, after a symptom of overload, but by no
    /// more than a factor. A severe symptom ('processor full', a time-out or an unresponsive server) may
    /// lower it further than others.
    pub(super) fn lower_ceiling(&mut self, id: ServerId, is_severe: bool) {
        let now = self.now;
        let resend_ns = self.resend_ns;
        let Some(server) = self.servers.get(&id) else { return };
        let sent_per_s = self.load_estimate_per_s(server, 0.0);
        let success_per_s = self.per_s(&server.succeeded, 0.0);
        let floor_per_s = self.normal_per_s(server) * CEILING_FLOOR_SHARE;
        let decrease_factor = match (is_severe, server.sent.is_sparse(self.period)) {
            (false, _) => MILD_DECREASE_FACTOR,
            (true, false) => SEVERE_DECREASE_FACTOR,
            (true, true) => SEVERE_DECREASE_FACTOR_SPARSE,
        };
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.last_symptom_ns = now;
        server.lines_exhausted = false;
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

    /// Relaxes ceilings in steps after a time without symptoms. If removed at once, they would oscillate.
    fn relax_ceilings(&mut self, periods: u64) {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            let server = &self.servers[&id];
            let clean_ns = self.now.saturating_sub(server.last_symptom_ns);
            let Some(ceiling_per_s) = server.ceiling_per_s else { continue };
            if clean_ns < CLEAN_PERIODS * PERIOD_NS {
                continue;
            }
            let relaxed = self.relaxed_ceiling_per_s(server, ceiling_per_s, clean_ns, periods);
            self.update_server(id, |server| server.ceiling_per_s = relaxed);
        }
    }

    /// A ceiling after its relaxation over a number of periods; `None` if it is removed. `clean_ns` is the
    /// time without symptoms.
    fn relaxed_ceiling_per_s(
        &self,
        server: &Server,
        ceiling_per_s: f64,
        clean_ns: Nanos,
        periods: u64,
    ) -> Option<f64> {
        let step = RELAX_MAX_FACTOR.min(1.0 + self.relaxation_per_ns(server) * PERIOD_NS as f64);
        let raised_per_s = ceiling_per_s * step.powi(periods as i32);
        let offered_per_s = self.per_s(&server.offered, 0.0);
        let removal_per_s = CEILING_REMOVAL_MULTIPLE * offered_per_s.max(self.normal_per_s(server));
        let may_remove = !server.sent.is_sparse(self.period) || clean_ns > WINDOW_NS * MAX_CLEAN_WINDOWS;
        if raised_per_s < removal_per_s || !may_remove {
            Some(raised_per_s.min(ceiling_per_s.max(removal_per_s)))
        } else {
            None
        }
    }

    /// The share by which a ceiling is relaxed in a nanosecond, not yet limited by [`RELAX_MAX_FACTOR`].
    fn relaxation_per_ns(&self, server: &Server) -> f64 {
        let quick_ns = scaled(self.resend_ns, QUICK_INTERVALS);
        // Where peers report quick responses, only RELAX_MAX_FACTOR limits the relaxation.
        if server.peer_wait_ns.is_some_and(|wait_ns| wait_ns < quick_ns) {
            return f64::MAX / PERIOD_NS as f64;
        }
        let is_quick_again =
            self.responded_quickly(server) && server.last_response_ns > server.last_symptom_ns;
        let share = if is_quick_again { RELAX_SHARE_CONFIRMED } else { RELAX_SHARE_UNCONFIRMED };
        share / self.normal_interval_ns(server) as f64
    }

    /// Sabourin's load estimate, in set-ups a second; `additional` set-ups are counted as if already sent.
    fn load_estimate_per_s(&self, server: &Server, additional: f64) -> f64 {
        let offered_per_s = self.per_s(&server.offered, 0.0);
        let sent_per_s = self.per_s(&server.sent, additional);
        offered_per_s * REJECT_COST + sent_per_s * (ACCEPT_COST - REJECT_COST)
    }

    /// This front's normal rate at a server: its success rate, averaged over longer than the window and
    /// without times in which the server was in slow start, ejected or out of service. If unknown, the rate
    /// of calls with this first choice, up to the mean normal rate of all servers.
    pub(super) fn normal_per_s(&self, server: &Server) -> f64 {
        let seconds = server.normal_rate.seconds;
        if seconds > 0.0 {
            let unproven_per_s = UNPROVEN_SETUPS / seconds.max(UNPROVEN_MIN_S);
            return server.normal_rate.per_s().max(unproven_per_s);
        }
        let mean_per_s = self.total_normal_per_s() / self.servers.len().max(2) as f64;
        self.per_s(&server.offered, 0.0).min(mean_per_s)
    }

    /// The normal rate of a server or, if nothing has succeeded there yet, the rate that clients offer, up to
    /// the mean normal rate of all servers. This front's own rejections cannot lower it.
    pub(super) fn expected_rate_per_s(&self, server: &Server) -> f64 {
        let normal_per_s = self.normal_per_s(server);
        if server.normal_rate.successes > 0.0 || server.offered.is_sparse(self.period) {
            return normal_per_s;
        }
        let mean_per_s = self.total_normal_per_s() / self.servers.len() as f64;
        let limit_per_s = if mean_per_s > 0.0 { mean_per_s } else { f64::MAX };
        self.per_s(&server.offered, 0.0).min(limit_per_s).max(normal_per_s)
    }

    /// The sum of the normal rates of all servers.
    fn total_normal_per_s(&self) -> f64 {
        self.servers.values().map(|server| server.normal_rate.per_s()).sum::<f64>()
    }
}

/// Whether an outcome is a symptom of overload.
fn is_symptom(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Overloaded(_) | Outcome::NoCircuit | Outcome::TimedOut | Outcome::Cancelled)
}

impl Server {
    /// Whether the server's last load report shows no free line.
    fn reports_no_free_line(&self) -> bool {
        self.free_capacity.is_some_and(|free| free < 1.0)
    }

    /// Marks the set-ups in flight that were sent before the one that has just been answered. One that was
    /// late for this reason was lost and did not wait, so after a quick answer the ceiling before that
    /// symptom is restored.
    fn mark_overtaken(&mut self, now: Nanos, answered_sent_ns: Nanos, late_ns: Nanos, is_quick: bool) {
        for attempt in &mut self.in_flight {
            if attempt.sent_ns >= answered_sent_ns || attempt.is_overtaken {
                continue;
            }
            attempt.is_overtaken = true;
            if now.saturating_sub(attempt.waiting_since_ns) > late_ns && is_quick {
                self.ceiling_per_s = self.ceiling_before_symptom_per_s;
            }
        }
    }

    /// Records the delays of a successful set-up: in total, and without the network delay.
    fn record_success(&mut self, total_delay_ns: Nanos, delay_ns: Nanos) {
        self.delays.record(delay_ns, 1.0 / RATIO_SAMPLES);
        self.success_ratio += (1.0 - self.success_ratio) / RATIO_SAMPLES;
        self.symptom_ratio -= self.symptom_ratio / RATIO_SAMPLES;
        let shortest_ns = self.shortest_delay_ns.map_or(total_delay_ns, |ns| ns.min(total_delay_ns));
        self.shortest_delay_ns = Some(shortest_ns);
    }

    /// Raises a ceiling that is below the normal or offered rate, after a quick success, unless a symptom is
    /// recent or the server has run out of lines.
    fn raise_low_ceiling(&mut self, now: Nanos, offered_per_s: f64) {
        let normal_per_s = self.normal_rate.per_s().max(offered_per_s);
        let is_clean = now.saturating_sub(self.last_symptom_ns) >= CLEAN_PERIODS * PERIOD_NS;
        if !is_clean || self.lines_exhausted {
            return;
        }
        let Some(ceiling_per_s) = &mut self.ceiling_per_s else { return };
        if *ceiling_per_s < normal_per_s * CEILING_GROWTH_THRESHOLD {
            *ceiling_per_s = ceiling_per_s.max(normal_per_s * CEILING_FLOOR_SHARE);
            *ceiling_per_s += (*ceiling_per_s * CEILING_GROWTH_SHARE).min(CEILING_GROWTH_MAX_PER_S);
        }
    }

    /// Ends the ejection of a server that has responded.
    fn end_ejection(&mut self, now: Nanos, is_quick: bool) {
        let Some(ejection) = self.ejection.take() else { return };
        if ejection.probes >= RESTART_PROBES {
            // The server may have been restarted while it was unresponsive: begin slow start.
            self.warming_up_since_ns = Some(now);
        } else if is_quick {
            self.ceiling_per_s = self.ceiling_before_symptom_per_s;
        }
    }
}
