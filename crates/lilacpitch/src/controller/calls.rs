//! The life of a call: admission, queueing, dispatch, completion and its final answer.

use super::*;

impl Controller {
    /// Admits a call; an id given twice and an unknown class are ignored.
    pub(super) fn handle_call_arrived(&mut self, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) || call.class >= self.settings.classes.len() {
            return;
        }
        // A number that was rejected lately is dialled again.
        let first_try_ns = call.dialled.and_then(|number| self.unserved_numbers.remove(&number));
        let patience_ns = self.settings.classes[call.class].deadline_ns;
        let mut record = CallState::new(call, self.now, self.now + self.safe_budget_ns(call.budget_ns));
        record.first_try_ns = first_try_ns.filter(|first| self.now - first < patience_ns).unwrap_or(self.now);
        self.calls.insert(call.id, record);
        let first_choice = |s: &&mut Server| s.endpoint.number == call.first_choice && s.is_in_service();
        if let Some(server) = self.servers.values_mut().filter(first_choice).min_by_key(|s| s.offered.len()) {
            server.offered.add(self.period);
        }
        self.try_dispatch(call.id, actions);
    }

    pub(super) fn handle_client_disconnected(&mut self, id: CallId) {
        if let Some(record) = self.calls.get(&id).filter(|record| record.phase != CallPhase::Established) {
            self.unserved_numbers.extend(record.call.dialled.map(|number| (number, record.first_try_ns)));
        }
        self.drop_call(id);
    }

    pub(super) fn handle_call_established(&mut self, id: CallId, attempt: u32) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        if record.phase != CallPhase::InFlight || attempt + 1 != record.attempts {
            return;
        }
        record.phase = CallPhase::Established;
        let server = record.server;
        record.call.dialled.and_then(|number| self.busy_numbers.remove(&number));
        self.record_answer(server, id, true, true);
    }

    pub(super) fn complete_attempt(
        &mut self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        if record.phase != CallPhase::InFlight || attempt + 1 != record.attempts {
            return;
        }
        if !outcome.never_ran() && record.may_have_run.is_none() {
            let endpoint = self.servers.get(&record.server).map(|s| s.endpoint);
            record.may_have_run = endpoint.map(|e| (e.zone, e.number, record.arrived_ns));
        }
        record.is_cancelling = false;
        if let Some(server) = self.servers.get_mut(&record.server).filter(|_| outcome == Outcome::Fault) {
            record.fault_likelihood *= server.note_fault(attempt == 0, RATIO_SAMPLES);
        }
        if outcome.needs_release() {
            record.phase = CallPhase::Releasing;
            record.not_before_ns = self.now + self.settings.release_ns;
        } else {
            record.phase = CallPhase::Queued;
        }
        if outcome == Outcome::LinesBusy {
            self.note_number_busy(id);
        }
        self.try_dispatch(id, actions);
    }

    fn try_dispatch(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        if record.phase == CallPhase::Releasing && self.now >= record.not_before_ns {
            record.phase = CallPhase::Queued;
        }
        let is_faulty =
            |record: &CallState| record.attempts > 1 && record.fault_likelihood < FAULTY_CALL_BELOW;
        if self.is_number_resting(id) || self.calls.get(&id).is_some_and(is_faulty) {
            self.reject_or_fail(id, actions);
        } else if let Some(server) = self.select_server(id) {
            self.forward_setup(id, server, actions);
        } else if self.calls.get(&id).is_some_and(|record| self.is_hopeless(record)) {
            self.reject_or_fail(id, actions);
        } else {
            self.update_pending(id);
        }
    }

    /// Whether a call cannot be served any more: then it is answered at once.
    fn is_hopeless(&self, record: &CallState) -> bool {
        let is_non_idempotent = self.class(record).idempotency == Idempotency::NonIdempotent;
        matches!(record.phase, CallPhase::Queued | CallPhase::Releasing)
            && (self.now.max(record.not_before_ns) >= self.patience_ns(record)
                || record.attempts >= self.settings.max_attempts
                || (is_non_idempotent && record.may_have_run.is_some()))
    }

    /// Whether its objective has passed since the client's first try: served late it displaces fresh calls.
    pub(super) fn is_late(&self, record: &CallState) -> bool {
        self.now.saturating_sub(record.first_try_ns) > self.class(record).latency_objective_ns
    }

    /// The weight that a call has now.
    pub(super) fn priority(&self, record: &CallState) -> f64 {
        let class = self.class(record);
        class.priority_weight * if self.is_late(record) { class.late_weight } else { 1.0 }
    }

    /// Until when a call that finds no server may be queued.
    pub(super) fn patience_ns(&self, record: &CallState) -> Nanos {
        let objective_ns = self.class(record).latency_objective_ns;
        let until = record.arrived_ns
            + if record.attempts == 0 { scaled(objective_ns, QUEUE_SHARE) } else { objective_ns };
        until.min(record.deadline_ns)
    }

    fn forward_setup(&mut self, id: CallId, server: ServerId, actions: &mut Vec<Action>) {
        let (now, may_cancel, resend_ns) = (self.now, self.settings.may_cancel, self.resend_ns);
        let Some(record) = self.calls.get_mut(&id) else { return };
        let left = record.deadline_ns.saturating_sub(now);
        record.phase = CallPhase::InFlight;
        record.server = server;
        record.attempts += 1;
        if let Some(until_ns) = record.call.dialled.and_then(|n| self.busy_numbers.get_mut(&n)) {
            *until_ns = now + BUSY_REST_NS;
        }
        // Where attempts cannot be cancelled, only a time-out frees a call from an unresponsive server.
        let timeout_ns = if may_cancel { left } else { left.min(scaled(resend_ns, UNRESPONSIVE_INTERVALS)) };
        if let Some(server) = self.servers.get_mut(&server) {
            server.sent.add(self.period);
            (server.last_sent_ns, server.credit) = (now, 0.0);
            if server.in_flight.is_empty() {
                server.last_response_ns = now;
            }
            server.start_attempt(id, now, server.network_delay_ns(self.period));
            if let Some(ejection) = &mut server.ejection {
                ejection.next_probe_ns = now + (ejection.rest_ns << ejection.probes.min(PROBE_DOUBLINGS));
                ejection.probes += 1;
            }
        }
        self.update_pending(id);
        actions.push(Action::ForwardSetup { call: id, server, timeout_ns });
    }

    /// Gives the final answer: rejected if the call's idempotency allows it, else failed.
    fn reject_or_fail(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(record) = self.remove_call(id) else { return };
        // Many clients dial a busy number: the next one is hardly the same.
        let number = record.call.dialled.filter(|number| !self.busy_numbers.contains_key(number));
        self.unserved_numbers.extend(number.map(|number| (number, record.first_try_ns)));
        let refusable = match self.class(&record).idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey(Scope::All) => true,
            Idempotency::IdempotencyKey(_) | Idempotency::NonIdempotent => record.may_have_run.is_none(),
        };
        if !refusable {
            actions.push(Action::Fail { call: id });
            return;
        }
        // Random, so that rejected clients do not return in step.
        let wait = scaled(self.resend_ns, 1.0 + self.random_fraction());
        let retry_after_ns = Some(wait.min(self.settings.max_retry_after_ns)).filter(|w| *w > 0);
        actions.push(Action::Reject { call: id, retry_after_ns });
    }

    pub(super) fn drop_call(&mut self, id: CallId) {
        let Some(record) = self.remove_call(id) else { return };
        self.update_server(record.server, |s| s.in_flight.retain(|o| o.call != id));
    }

    /// Tries queued and released calls again, at every event: highest priority first, then oldest.
    pub(super) fn retry_pending_calls(&mut self, actions: &mut Vec<Action>) {
        debug_assert!(self.is_pending_in_step());
        // Those due, and the oldest of each group: if it finds no server, the rest of its group finds none.
        let mut ready: BTreeSet<_> =
            self.pending.due(self.now).filter_map(|id| self.turn_order(id)).collect();
        self.pending.groups().into_iter().for_each(|key| self.enqueue_first(key, &mut ready));
        while let Some((_, _, id)) = ready.pop_first() {
            let entry = self.pending.entry(id);
            self.try_dispatch(id, actions);
            let has_moved = self.pending.entry(id) != entry;
            if let Some((key, _)) = entry.and_then(|(_, group)| group).filter(|_| has_moved) {
                self.enqueue_first(key, &mut ready);
            }
        }
    }

    /// Makes the oldest call of a group ready, and before it those that became late and change their group.
    fn enqueue_first(&mut self, key: EquivalenceKey, ready: &mut BTreeSet<(i64, Nanos, CallId)>) {
        while let Some(id) = self.pending.oldest(key) {
            ready.extend(self.turn_order(id));
            if self.calls.get(&id).is_none_or(|record| self.equivalence_key(record) == key) {
                return;
            }
            self.update_pending(id);
        }
    }

    /// Order of pending calls: highest priority first, then oldest.
    fn turn_order(&self, id: CallId) -> Option<(i64, Nanos, CallId)> {
        self.calls.get(&id).map(|record| (-(self.priority(record) * 1000.0) as i64, record.arrived_ns, id))
    }

    /// The part of a client's time budget that may be used: a margin for recent stalls of this front is kept.
    fn safe_budget_ns(&self, budget_ns: Nanos) -> Nanos {
        budget_ns - scaled(self.stall_ns, STALL_MARGIN).max(2 * self.settings.tick_ns).min(budget_ns / 2)
    }

    /// Pauses a number whose lines are all busy: set-ups there are wasted work, except for single probes.
    fn note_number_busy(&mut self, id: CallId) {
        let number = self.calls.get(&id).and_then(|record| record.call.dialled);
        self.busy_numbers.extend(number.map(|number| (number, self.now + BUSY_REST_NS)));
    }

    fn is_number_resting(&self, id: CallId) -> bool {
        let Some(record) = self.calls.get(&id).filter(|record| record.phase == CallPhase::Queued) else {
            return false;
        };
        let rest = record.call.dialled.and_then(|number| self.busy_numbers.get(&number));
        rest.is_some_and(|until_ns| self.now < *until_ns)
    }
}
