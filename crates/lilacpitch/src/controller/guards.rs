//! The rules in one place, cold servers, silent ones, and set-ups that are lost.

use super::*;

impl Controller {
    /// The rules, in one place: whether this call may be sent to this server now.
    pub(super) fn may_send(&self, row: &Row, server: &Server) -> bool {
        let (class, entry) = (&self.settings.classes[row.call.class], &server.entry);
        // One attempt at a time, released, in time, within the attempts allowed, to a server in service.
        if row.state != State::Held
            || self.now < row.not_before_ns
            || self.now >= row.deadline_ns
            || row.attempts >= self.settings.max_attempts
            || entry.availability != Availability::Ready
        {
            return false;
        }
        // A call in transit goes to its destination only, and none to the own exchange or without its skill.
        if (row.call.in_transit && entry.number != row.call.first_choice)
            || self.settings.home == Some(entry.number)
            || !(class.pools.is_empty() || class.pools.contains(&entry.number))
        {
            return false;
        }
        // Own circuits are told whenever they change; lines of a shared pool are not, and figures age.
        let holds = self.settings.home.is_some() || self.now - server.free_ns < WINDOW_NS;
        if holds && server.free.is_some_and(|free| free < row.call.circuits) {
            return false;
        }
        match (class.idempotency, row.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotencyKey(scope), Some((zone, number, sent_ns))) => {
                self.now < sent_ns + class.key_retention_ns
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => zone == entry.zone,
                        Scope::Number => number == entry.number,
                    }
            }
        }
    }

    /// What may be used of a caller's time: as much is kept back as this front's timers were late of late.
    pub(super) fn safe_budget_ns(&self, budget_ns: Nanos) -> Nanos {
        budget_ns - share(self.stall_ns, STALL_MARGIN).max(2 * self.settings.tick_ns).min(budget_ns / 2)
    }

    /// Each set-up for a number whose lines are all busy is work for nothing: it rests, but for live calls.
    pub(super) fn number_busy(&mut self, id: CallId) {
        let number = self.calls.get(&id).and_then(|row| row.call.dialled);
        self.busy.extend(number.map(|number| (number, self.now + BUSY_REST_NS)));
    }

    pub(super) fn number_rests(&self, id: CallId) -> bool {
        let Some(row) = self.calls.get(&id).filter(|row| row.state == State::Held) else { return false };
        let rest = row.call.dialled.and_then(|number| self.busy.get(&number));
        rest.is_some_and(|until_ns| self.now < *until_ns)
    }

    /// A just-started server would draw everything: it gets this front's normal rate there times what it can
    /// do at its age. Where enough stands, the rate may grow from that, far below what topples the server.
    pub(super) fn cold_ceiling(&self, server: &Server) -> Option<f64> {
        let can_do = server.cold_share(self.now, &self.settings)?;
        let known = self.normal_per_s(server) * can_do * (COLD_TAKES.0 + COLD_TAKES.1 * can_do);
        let growth = (self.settings.overload_multiple * GROWTH_OF_TIP).max(1.0);
        let proven = Some(self.per_s(&server.stood, 0.0)).filter(|_| !server.stood.few(self.period));
        Some(proven.map_or(known, |rate| known.max(rate * growth)))
    }

    /// A cold server's share adds up bit by bit: by the time since the last send many were due at once.
    pub(super) fn cold_room(&self, server: &Server) -> bool {
        self.cold_ceiling(server).is_none() || server.credit >= 1.0
    }

    pub(super) fn add_credit(&mut self, span_s: f64) {
        let due: Vec<_> =
            self.servers.iter().filter_map(|(id, s)| Some((*id, self.cold_ceiling(s)?))).collect();
        for (id, rate) in due {
            self.servers.entry(id).and_modify(|s| s.credit = (s.credit + rate * span_s).min(1.0));
        }
    }

    /// A silent server also shows few unanswered once its attempts have ended: it gets single live calls.
    pub(super) fn suspect(&mut self, id: ServerId, told: bool) {
        let drawn = 0.5 + self.drawn();
        // What is only told rests by present counts; its draw stays: of many the shortest would count.
        let open = |s: &&Server| s.suspect.is_none_or(|s| s.told && s.trials == 0);
        let Some(server) = self.servers.get(&id).filter(open) else { return };
        let drawn = server.suspect.map_or(drawn, |s| s.drawn);
        let rest_ns = self.gap_ns.max(share(self.apart_ns(server), drawn));
        let next_trial_ns = server.suspect.map_or(Nanos::MAX, |s| s.next_trial_ns).min(self.now + rest_ns);
        let suspect = Suspect { next_trial_ns, rest_ns, trials: 0, told, drawn };
        self.servers.entry(id).and_modify(|s| s.suspect = Some(suspect));
    }

    /// How far apart this front's set-ups there normally are: all fronts at that pace are its normal load.
    pub(super) fn apart_ns(&self, server: &Server) -> Nanos {
        ((1e9 / self.due_per_s(server)) as Nanos).min(WINDOW_NS * FAR_BACK)
    }

    /// Whether the last set-up stood at once.
    pub(super) fn quick(&self, server: &Server) -> bool {
        server.delay_ns > 0 && server.delay_ns < share(self.gap_ns, QUICK_OF)
    }

    /// Whether one more set-up may find out if what stays out is lost or the server silent: one, a gap apart.
    pub(super) fn may_scout(&self, server: &Server) -> bool {
        let last_ns = server.out.last().map_or(self.now, |o| o.sent_ns);
        self.quick(server) && self.now - last_ns > self.gap_ns.max(self.apart_ns(server))
    }

    /// Late set-ups press a server before their time-out; a silent one is suspected and left.
    pub(super) fn look_at_servers(&mut self, actions: &mut Vec<Action>) {
        let (now, gap_ns) = (self.now, self.gap_ns);
        let [late_ns, silent_ns, soon_ns] = [LATE_GAPS, SILENT_GAPS, LOST_PAST.1].map(|of| share(gap_ns, of));
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let lost_ns = self.servers[&id].waits.beyond_ns(LOST_PAST.0).max(soon_ns).min(late_ns);
            self.call_off(id, |out| out.overtaken && now.saturating_sub(out.waits_ns) > lost_ns, actions);
            let server = &self.servers[&id];
            let Some(oldest) = server.oldest_ns() else { continue };
            let heard_ns = server.heard_ns.max(self.told.stood_ns(id)).max(oldest);
            let silent = now.saturating_sub(heard_ns) > silent_ns;
            // One set-up lost where others stood at once is no jam; the live call after it tells.
            let jam = !self.quick(server) || server.suspect.is_some_and(|s| s.trials > 0);
            if now.saturating_sub(oldest) > late_ns {
                self.servers.entry(id).and_modify(|s| s.late_ns = self.now);
                self.press(id, silent && jam);
            }
            if silent {
                self.suspect(id, false);
                self.servers.entry(id).and_modify(|s| s.suspect.iter_mut().for_each(|s| s.told = false));
                self.call_off(id, |out| now.saturating_sub(out.waits_ns) > silent_ns, actions);
            }
        }
    }

    fn call_off(&mut self, id: ServerId, lost: impl Fn(&Unanswered) -> bool, to: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id).filter(|_| self.settings.may_cancel) else { return };
        for out in &server.out {
            if !lost(out) {
                continue;
            }
            let Some(row) = self.calls.get_mut(&out.call) else { continue };
            let due = !row.calling_off && row.state == State::Out;
            if due && row.attempts < self.settings.max_attempts {
                row.calling_off = true;
                to.push(Action::CancelAttempt { call: out.call, attempt: row.attempts - 1 });
            }
        }
    }
}
