//! Call handling: admission, queueing, dispatch, completion and the final answer.

use super::*;

/// The order in which pending calls are dispatched: highest priority first, then oldest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DispatchOrder {
    /// The priority weight in thousandths, negated so that the highest comes first.
    negative_priority_permille: i64,
    arrived_ns: Nanos,
    id: CallId,
}

impl Controller {
    /// Admits a call and tries to dispatch it. A call with a known id or an unknown class is ignored.
    pub(super) fn handle_call_arrived(&mut self, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) || call.class >= self.settings.classes.len() {
            return;
        }
        let deadline_ns = self.now + self.usable_budget_ns(call.budget_ns);
        let mut record = CallState::new(call, self.now, deadline_ns);
        record.first_try_ns = self.take_first_try_ns(&call);
        self.calls.insert(call.id, record);
        self.count_offered(&call);
        self.try_dispatch(call.id, actions);
    }

    /// The time of a client's first try. A client that redials a number without success so far keeps the time
    /// of its earlier try, unless its deadline has passed since.
    fn take_first_try_ns(&mut self, call: &Call) -> Nanos {
        let deadline_ns = self.settings.classes[call.class].deadline_ns;
        let earlier_try_ns = call.dialled.and_then(|number| self.unserved_numbers.remove(&number));
        match earlier_try_ns {
            Some(earlier_ns) if self.now - earlier_ns < deadline_ns => earlier_ns,
            _ => self.now,
        }
    }

    /// Counts a call as offered to its first choice; where several servers have that number, to the one with
    /// the fewest calls offered.
    fn count_offered(&mut self, call: &Call) {
        let first_choices = self
            .servers
            .values_mut()
            .filter(|server| server.endpoint.number == call.first_choice && server.is_in_service());
        if let Some(server) = first_choices.min_by_key(|server| server.offered.len()) {
            server.offered.add(self.period);
        }
    }

    /// Remembers when an unserved number was first dialled. Beyond the limit a redial counts as a first try.
    fn remember_first_try(&mut self, number: u64, first_try_ns: Nanos) {
        if self.unserved_numbers.len() < MAX_REMEMBERED_NUMBERS {
            self.unserved_numbers.insert(number, first_try_ns);
        }
    }

    /// Drops a call. If it was not established, its client may redial, so the time of its first try is kept.
    pub(super) fn handle_client_disconnected(&mut self, id: CallId) {
        let Some(record) = self.calls.get(&id) else { return };
        if record.phase != CallPhase::Established {
            let (number, first_try_ns) = (record.call.dialled, record.first_try_ns);
            number.into_iter().for_each(|number| self.remember_first_try(number, first_try_ns));
        }
        self.drop_call(id);
    }

    /// Records that the last attempt of a call succeeded. Notices of other attempts are ignored.
    pub(super) fn handle_call_established(&mut self, id: CallId, attempt: u32) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        if record.phase != CallPhase::InFlight || attempt + 1 != record.attempts {
            return;
        }
        record.phase = CallPhase::Established;
        let server = record.server;
        if let Some(number) = record.call.dialled {
            self.busy_numbers.remove(&number);
        }
        self.record_attempt_end(server, id, true, true);
    }

    /// Handles the end of an attempt that leaves the call open: the call waits for its release if necessary,
    /// and is then dispatched again.
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
        record.is_cancelling = false;
        if let Some(server) = self.servers.get_mut(&record.server) {
            if !outcome.never_ran() && record.may_have_run.is_none() {
                record.may_have_run = Some(PossibleRun {
                    zone: server.endpoint.zone,
                    number: server.endpoint.number,
                    call_arrived_ns: record.arrived_ns,
                });
            }
            if outcome == Outcome::Fault {
                record.fault_likelihood *= server.record_fault(attempt == 0, RATIO_SAMPLES);
            }
        }
        if outcome.needs_release() {
            record.phase = CallPhase::Releasing;
            record.not_before_ns = self.now + self.settings.release_ns;
        } else {
            record.phase = CallPhase::Queued;
        }
        if outcome == Outcome::LinesBusy {
            self.pause_busy_number(id);
        }
        self.try_dispatch(id, actions);
    }

    /// Sends a call to a server that is open to it, answers it if it cannot be served, or leaves it pending.
    fn try_dispatch(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        if record.phase == CallPhase::Releasing && self.now >= record.not_before_ns {
            record.phase = CallPhase::Queued;
        }
        let is_faulty = record.attempts > 1 && record.fault_likelihood < FAULTY_CALL_LIKELIHOOD;
        if is_faulty || self.is_number_paused(id) {
            self.reject_or_fail(id, actions);
        } else if let Some(server) = self.select_server(id) {
            self.forward_setup(id, server, actions);
        } else if self.calls.get(&id).is_some_and(|record| self.is_unservable(record)) {
            self.reject_or_fail(id, actions);
        } else {
            self.update_pending(id);
        }
    }

    /// Whether the time or the attempts of a waiting call are used up, or it must not be repeated. Such a
    /// call is answered at once.
    fn is_unservable(&self, record: &CallState) -> bool {
        let is_waiting = matches!(record.phase, CallPhase::Queued | CallPhase::Releasing);
        let next_attempt_ns = self.now.max(record.not_before_ns);
        let is_out_of_time = next_attempt_ns >= self.queue_deadline_ns(record);
        let is_out_of_attempts = record.attempts >= self.settings.max_attempts;
        let is_non_idempotent = self.class(record).idempotency == Idempotency::NonIdempotent;
        let must_not_repeat = is_non_idempotent && record.may_have_run.is_some();
        is_waiting && (is_out_of_time || is_out_of_attempts || must_not_repeat)
    }

    /// Whether more than the latency objective has passed since the client's first try. Serving such calls
    /// would displace fresh ones.
    pub(super) fn is_late(&self, record: &CallState) -> bool {
        self.now.saturating_sub(record.first_try_ns) > self.class(record).latency_objective_ns
    }

    /// The call's weight at present.
    pub(super) fn priority(&self, record: &CallState) -> f64 {
        let class = self.class(record);
        let factor = if self.is_late(record) { class.late_weight } else { 1.0 };
        class.priority_weight * factor
    }

    /// The time until which a call may be queued while no server is open to it.
    pub(super) fn queue_deadline_ns(&self, record: &CallState) -> Nanos {
        let objective_ns = self.class(record).latency_objective_ns;
        let queue_time_ns =
            if record.attempts == 0 { scaled(objective_ns, QUEUE_TIME_SHARE) } else { objective_ns };
        (record.arrived_ns + queue_time_ns).min(record.deadline_ns)
    }

    /// Sends an attempt of a call to a server.
    fn forward_setup(&mut self, id: CallId, server: ServerId, actions: &mut Vec<Action>) {
        let Some(record) = self.calls.get_mut(&id) else { return };
        record.phase = CallPhase::InFlight;
        record.server = server;
        record.attempts += 1;
        if let Some(until_ns) = record.call.dialled.and_then(|number| self.busy_numbers.get_mut(&number)) {
            // This set-up probes the number; further ones wait for its result.
            *until_ns = self.now + BUSY_NUMBER_PAUSE_NS;
        }
        let remaining_ns = record.deadline_ns.saturating_sub(self.now);
        // Where attempts cannot be cancelled, only a time-out lets a call leave an unresponsive server.
        let timeout_ns = if self.settings.may_cancel {
            remaining_ns
        } else {
            remaining_ns.min(scaled(self.resend_ns, UNRESPONSIVE_INTERVALS))
        };
        self.record_sent_setup(id, server);
        self.update_pending(id);
        actions.push(Action::ForwardSetup { call: id, server, timeout_ns });
    }

    /// Updates the state of a server to which a set-up is sent now.
    fn record_sent_setup(&mut self, call: CallId, id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.sent.add(self.period);
        server.last_sent_ns = now;
        server.slow_start_credit = 0.0;
        if server.in_flight.is_empty() {
            server.last_response_ns = now;
        }
        server.start_attempt(call, now, server.network_delay_ns(self.period));
        if let Some(ejection) = &mut server.ejection {
            let doublings = ejection.probes.min(MAX_PROBE_DOUBLINGS);
            ejection.next_probe_ns = now + (ejection.probe_interval_ns << doublings);
            ejection.probes += 1;
        }
    }

    /// Gives the final answer: rejected if the call's idempotency allows it, else failed.
    fn reject_or_fail(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(record) = self.remove_call(id) else { return };
        if let Some(number) = record.call.dialled {
            // Many clients dial a busy number, so the next caller is probably a different client.
            if !self.busy_numbers.contains_key(&number) {
                self.remember_first_try(number, record.first_try_ns);
            }
        }
        let may_reject = match self.class(&record).idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey(Scope::All) => true,
            Idempotency::IdempotencyKey(_) | Idempotency::NonIdempotent => record.may_have_run.is_none(),
        };
        if !may_reject {
            actions.push(Action::Fail { call: id });
            return;
        }
        // Randomised, so that rejected clients do not all retry at the same time.
        let drawn_ns = scaled(self.resend_ns, 1.0 + self.random_fraction());
        let wait_ns = drawn_ns.min(self.settings.max_retry_after_ns);
        let retry_after_ns = (wait_ns > 0).then_some(wait_ns);
        actions.push(Action::Reject { call: id, retry_after_ns });
    }

    /// Removes a call that needs no answer, and its set-up in flight.
    pub(super) fn drop_call(&mut self, id: CallId) {
        let Some(record) = self.remove_call(id) else { return };
        self.update_server(record.server, |server| server.in_flight.retain(|attempt| attempt.call != id));
    }

    /// Tries to dispatch pending calls, after every event: highest priority first, then oldest.
    pub(super) fn retry_pending_calls(&mut self, actions: &mut Vec<Action>) {
        debug_assert!(self.pending_matches_phases());
        // Calls whose waiting has ended, and the oldest call of each group of equivalent calls: if no server
        // is open to that one, none is open to the others of its group.
        let due = self.pending.due(self.now);
        let mut ready: BTreeSet<DispatchOrder> = due.filter_map(|id| self.dispatch_order(id)).collect();
        for key in self.pending.groups() {
            self.make_oldest_ready(key, &mut ready);
        }
        while let Some(DispatchOrder { id, .. }) = ready.pop_first() {
            let entry = self.pending.entry(id);
            self.try_dispatch(id, actions);
            if self.pending.entry(id) == entry {
                continue;
            }
            // The call has left its group, so that the next one may be dispatched.
            if let Some(membership) = entry.and_then(|entry| entry.group) {
                self.make_oldest_ready(membership.key, &mut ready);
            }
        }
    }

    /// Adds the oldest call of a group to the ready calls. Calls before it that became late are added as well
    /// and move to the group of their new key.
    fn make_oldest_ready(&mut self, key: EquivalenceKey, ready: &mut BTreeSet<DispatchOrder>) {
        while let Some(id) = self.pending.oldest(key) {
            ready.extend(self.dispatch_order(id));
            if self.calls.get(&id).is_none_or(|record| self.equivalence_key(record) == key) {
                return;
            }
            self.update_pending(id);
        }
    }

    fn dispatch_order(&self, id: CallId) -> Option<DispatchOrder> {
        let record = self.calls.get(&id)?;
        let negative_priority_permille = -(self.priority(record) * 1000.0) as i64;
        Some(DispatchOrder { negative_priority_permille, arrived_ns: record.arrived_ns, id })
    }

    /// A client's time budget less a margin for stalls of this front.
    fn usable_budget_ns(&self, budget_ns: Nanos) -> Nanos {
        let stall_margin_ns = scaled(self.longest_stall_ns, STALL_MARGIN);
        let tick_margin_ns = 2 * self.settings.tick_ns;
        let margin_ns = stall_margin_ns.max(tick_margin_ns).min(budget_ns / 2);
        budget_ns - margin_ns
    }

    /// Pauses a dialled number whose lines are all busy. Apart from single probes, set-ups to it are wasted.
    fn pause_busy_number(&mut self, id: CallId) {
        let number = self.calls.get(&id).and_then(|record| record.call.dialled);
        let has_room = self.busy_numbers.len() < MAX_REMEMBERED_NUMBERS;
        if let Some(number) = number.filter(|number| has_room || self.busy_numbers.contains_key(number)) {
            self.busy_numbers.insert(number, self.now + BUSY_NUMBER_PAUSE_NS);
        }
    }

    /// Whether the number that a queued call dialled is paused.
    fn is_number_paused(&self, id: CallId) -> bool {
        let Some(record) = self.calls.get(&id) else { return false };
        if record.phase != CallPhase::Queued {
            return false;
        }
        let paused_until_ns = record.call.dialled.and_then(|number| self.busy_numbers.get(&number));
        paused_until_ns.is_some_and(|until_ns| self.now < *until_ns)
    }
}
