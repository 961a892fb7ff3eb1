//! A minimal front for tests: passes events to a controller, fires its timers and records its actions.
#![allow(dead_code)]

use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event, Settings};

/// One millisecond.
pub(crate) const MS: Nanos = 1_000_000;
/// One second.
pub(crate) const S: Nanos = 1_000 * MS;

/// Settings with two classes of calls; class 1 has three times the priority weight of class 0.
pub(crate) fn settings() -> Settings {
    let class = |priority_weight: f64| Class {
        latency_objective_ns: 1_600 * MS,
        deadline_ns: 8 * S,
        priority_weight,
        late_weight: 0.2,
        idempotency: Idempotency::Idempotent,
        key_retention_ns: 5 * S,
        pools: Vec::new(),
    };
    Settings {
        classes: vec![class(1.0), class(3.0)],
        home: None,
        resend_interval_ns: 400 * MS,
        release_ns: 250 * MS,
        max_attempts: 5,
        may_cancel: true,
        max_retry_after_ns: 2 * S,
        must_subscribe: false,
        slow_start_floor: 0.3,
        slow_start_ns: 12 * S,
        overload_multiple: 3.0,
        tick_ns: 5 * MS,
    }
}

/// A server in service that started long ago.
pub(crate) fn endpoint(server: ServerId, number: u32) -> Endpoint {
    Endpoint { server, number, zone: 0, availability: Availability::Ready, up_since_ns: 0 }
}

/// A front with one controller and a clock that the test advances.
pub(crate) struct Front {
    pub controller: Controller,
    pub now: Nanos,
    /// The id of the next call.
    pub next_call: CallId,
    /// All actions so far, with their times.
    pub log: Vec<(Nanos, Action)>,
    /// Timers that are set.
    timers: std::collections::BTreeSet<Nanos>,
}

impl Front {
    /// Creates a front whose endpoint list consists of `endpoints`.
    pub(crate) fn new(settings: Settings, endpoints: &[Endpoint]) -> Self {
        let mut front = Front {
            controller: Controller::new(settings, 7),
            now: 100 * S,
            next_call: 1,
            log: Vec::new(),
            timers: Default::default(),
        };
        front.handle(Event::EndpointsUpdated(EndpointUpdate::Full(endpoints.to_vec())));
        front
    }

    /// Passes one event to the controller and returns its actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer(at) = action {
                self.timers.insert(*at);
            }
            self.log.push((self.now, *action));
        }
        actions
    }

    /// Advances the clock, fires the timers that become due, and returns the actions.
    pub(crate) fn advance(&mut self, duration: Nanos) -> Vec<Action> {
        let (end, mut actions) = (self.now + duration, Vec::new());
        while let Some(at) = self.timers.first().copied().filter(|at| *at <= end) {
            self.timers.remove(&at);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::TimerFired));
        }
        self.now = end;
        actions
    }

    /// Places a call of class 0 with first choice 1, after `change` was applied to it.
    pub(crate) fn place_call_with(&mut self, change: impl Fn(&mut Call)) -> (CallId, Vec<Action>) {
        let mut call = Call {
            id: self.next_call,
            class: 0,
            first_choice: 1,
            budget_ns: 3 * S,
            dialled: None,
            circuits: 1.0,
            retry_after_cut: false,
            in_transit: false,
        };
        change(&mut call);
        self.next_call += 1;
        let actions = self.handle(Event::CallArrived(call));
        (call.id, actions)
    }

    /// Places a call with first choice 1.
    pub(crate) fn place_call(&mut self, class: usize) -> (CallId, Vec<Action>) {
        self.place_call_with(|call| call.class = class)
    }

    /// Reports that an attempt of a call succeeded.
    pub(crate) fn establish(&mut self, call: CallId, attempt: u32) -> Vec<Action> {
        self.handle(Event::CallEstablished { call, attempt })
    }

    /// Reports that an attempt completed and left its call open.
    pub(crate) fn end_attempt(
        &mut self,
        call: CallId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let report = LoadReport::default();
        self.handle(Event::AttemptCompleted { call, attempt, server, outcome, is_final: false, report })
    }

    /// Places calls at a fixed interval for a while; each is established 40 ms after its set-up.
    pub(crate) fn run_steady(&mut self, interval: Nanos, duration: Nanos) {
        let (end, mut carried_over) = (self.now + duration, Vec::new());
        while self.now < end {
            let mut actions = std::mem::take(&mut carried_over);
            actions.extend(self.place_call(0).1);
            actions.extend(self.advance(interval.saturating_sub(40 * MS)));
            actions.extend(self.advance(40 * MS));
            for action in actions {
                if let Action::ForwardSetup { call, .. } = action {
                    // A queued call that is sent after this answer is established in the next interval.
                    carried_over.extend(self.establish(call, self.attempts(call) - 1));
                }
            }
        }
    }

    /// The number of attempts of a call.
    pub(crate) fn attempts(&self, id: CallId) -> u32 {
        let is_attempt = |action: &Action| matches!(action, Action::ForwardSetup { call, .. } if *call == id);
        self.log.iter().filter(|(_, action)| is_attempt(action)).count() as u32
    }
}

/// The server to which `actions` first send a call.
pub(crate) fn sent_to(actions: &[Action], id: CallId) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::ForwardSetup { call, server, .. } if *call == id => Some(*server),
        _ => None,
    })
}

/// Whether `actions` contain the final answer to a call.
pub(crate) fn is_answered(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|action| match action {
        Action::Reject { call, .. } | Action::Fail { call } => *call == id,
        _ => false,
    })
}

/// Server 11 with number 1 and server 22 with number 2.
pub(crate) fn two_servers() -> Vec<Endpoint> {
    vec![endpoint(11, 1), endpoint(22, 2)]
}

/// A report of a server that answers quickly.
pub(crate) fn healthy_report(server: ServerId) -> ServerReport {
    ServerReport {
        server,
        age_ns: 100 * MS,
        wait_ns: 20 * MS,
        in_flight: 0,
        succeeded: 0,
        is_unresponsive: false,
        warming_up_for_ns: None,
        is_draining: false,
    }
}

/// Places `calls` calls with server 11 as first choice at a fixed interval, each after every peer has sent
/// its report, and returns how many were sent to server 11.
pub(crate) fn forwarded_during(
    front: &mut Front,
    calls: usize,
    interval_ns: Nanos,
    reports: &[ServerReport],
) -> usize {
    let mut sent = 0;
    for _ in 0..calls {
        for (peer, report) in reports.iter().enumerate() {
            front.handle(Event::PeerReported { peer: peer as u64, server_reports: vec![*report] });
        }
        let (id, actions) = front.place_call(0);
        sent += usize::from(sent_to(&actions, id) == Some(11));
        front.advance(20 * MS);
        front.establish(id, 0);
        front.advance(interval_ns - 20 * MS);
    }
    sent
}
