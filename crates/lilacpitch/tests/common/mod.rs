//! A front in miniature: feeds a controller, keeps what it did, and checks nothing by itself.
#![allow(dead_code)]

use lilacpitch::interface::*;
use lilacpitch::{Action, Controller, Event, Settings};

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

/// Two classes, the second worth three times the first; nothing here is any deployment's figure.
pub fn settings() -> Settings {
    let class = |worth: f64| Class {
        latency_objective_ns: 1_600 * MS,
        deadline_ns: 8 * S,
        priority_weight: worth,
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

pub fn entry(server: ServerId, number: u32) -> Endpoint {
    Endpoint { server, number, zone: 0, availability: Availability::Ready, up_since_ns: 0 }
}

pub struct Front {
    pub brain: Controller,
    pub now: Nanos,
    pub next: CallId,
    /// Everything done so far, with its time.
    pub log: Vec<(Nanos, Action)>,
    wakes: std::collections::BTreeSet<Nanos>,
}

impl Front {
    pub fn new(settings: Settings, entries: &[Endpoint]) -> Self {
        let mut front = Front {
            brain: Controller::new(settings, 7),
            now: 100 * S,
            next: 1,
            log: Vec::new(),
            wakes: Default::default(),
        };
        front.event(Event::EndpointsUpdated(EndpointUpdate::Full(entries.to_vec())));
        front
    }

    /// Feeds one event now; returns what was done about it.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.brain.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer(at) = action {
                self.wakes.insert(*at);
            }
            self.log.push((self.now, *action));
        }
        actions
    }

    /// Lets time pass, with the wakes that were asked for.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let (end, mut done) = (self.now + span, Vec::new());
        while let Some(at) = self.wakes.first().copied().filter(|at| *at <= end) {
            self.wakes.remove(&at);
            self.now = self.now.max(at);
            done.extend(self.event(Event::TimerFired));
        }
        self.now = end;
        done
    }

    pub fn call_with(&mut self, change: impl Fn(&mut Call)) -> (CallId, Vec<Action>) {
        let mut call = Call {
            id: self.next,
            class: 0,
            first_choice: 1,
            budget_ns: 3 * S,
            dialled: None,
            circuits: 1.0,
            retry_after_cut: false,
            in_transit: false,
        };
        change(&mut call);
        self.next += 1;
        let actions = self.event(Event::CallArrived(call));
        (call.id, actions)
    }

    pub fn call(&mut self, class: usize) -> (CallId, Vec<Action>) {
        self.call_with(|c| c.class = class)
    }

    pub fn stands(&mut self, call: CallId, attempt: u32) -> Vec<Action> {
        self.event(Event::CallEstablished { call, attempt })
    }

    pub fn settled(&mut self, call: CallId, attempt: u32, server: ServerId, outcome: Outcome) -> Vec<Action> {
        let report = LoadReport::default();
        self.event(Event::AttemptCompleted { call, attempt, server, outcome, is_final: false, report })
    }

    /// Calls arrive this far apart and stand 40 ms after their set-up, for a while.
    pub fn steady(&mut self, apart: Nanos, span: Nanos) {
        let (end, mut next) = (self.now + span, Vec::new());
        while self.now < end {
            let mut actions = std::mem::take(&mut next);
            actions.extend(self.call(0).1);
            actions.extend(self.pass(apart.saturating_sub(40 * MS)));
            actions.extend(self.pass(40 * MS));
            for action in actions {
                if let Action::ForwardSetup { call, .. } = action {
                    // What an answer sets free is sent at once, and stands with the next.
                    next.extend(self.stands(call, self.attempts(call) - 1));
                }
            }
        }
    }

    /// How often a call was sent.
    pub fn attempts(&self, id: CallId) -> u32 {
        self.log.iter().filter(|(_, a)| matches!(a, Action::ForwardSetup { call, .. } if *call == id)).count()
            as u32
    }
}

pub fn sent_to(actions: &[Action], id: CallId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::ForwardSetup { call, server, .. } if *call == id => Some(*server),
        _ => None,
    })
}

pub fn answered(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|a| match a {
        Action::Reject { call, .. } | Action::Fail { call } => *call == id,
        _ => false,
    })
}
