//! Which process of a site gets a question, when, whether again, and when it is refused: the module decides, as it
//! does for calls. Sites are its pools, processes its servers, 'full' a full processor; a class for each site and
//! urgency, so that no question strays to another site.

use crate::Nanos;
use lilacpitch::interface::{
    Action, Availability, Call, Class, Endpoint, EndpointUpdate, Idempotency, LoadReport, Outcome, ServerId,
    Settings,
};
use lilacpitch::{Controller, Event};

/// Spans for questions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Wanted time of an answer.
    pub latency_objective_ns: Nanos,
    /// The clock's grain.
    pub tick_ns: Nanos,
}

/// The first and the longest gap between looks at a process that left a question unanswered.
const LOOK_AFTER_NS: (Nanos, Nanos) = (50_000_000, 500_000_000);

/// How long to wait before a process that left a question unanswered is looked at for the `nth` time, from 0.
pub fn poll_delay_ns(nth: u32) -> Nanos {
    (LOOK_AFTER_NS.0 << nth.min(16)).min(LOOK_AFTER_NS.1)
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchAction {
    /// Ask this process; without an answer after the span the attempt has timed out.
    Send {
        /// The question.
        query_id: u64,
        /// The attempt.
        attempt: u32,
        /// The site, by its place.
        site: usize,
        /// The process, by its place in the site.
        process: usize,
        /// At most so long.
        timeout_ns: Nanos,
    },
    /// No answer will come: refused.
    Reject(u64),
    /// No answer will come: all attempts failed.
    Fail(u64),
    /// Wake this again at that moment.
    SetTimer(Nanos),
}

/// The module in the midst of questions.
pub struct QueryDispatcher {
    brain: Controller,
    entries: Vec<Endpoint>,
    actions: Vec<Action>,
    next: u64,
    attempts: std::collections::BTreeMap<u64, u32>,
}

/// Processes that one site may have at most, as ids of servers go.
const MOST_PROCESSES: u64 = 64;

impl QueryDispatcher {
    /// For sites with so many processes each.
    pub fn new(sites: &[usize], timing: Timing, now: Nanos, seed: u64) -> Self {
        let class = |site: u32, urgent: bool| Class {
            latency_objective_ns: timing.latency_objective_ns,
            deadline_ns: timing.latency_objective_ns * 4,
            priority_weight: if urgent { 10.0 } else { 1.0 },
            late_weight: 0.5,
            // A question changes nothing.
            idempotency: Idempotency::Idempotent,
            key_retention_ns: 0,
            pools: vec![site],
        };
        let classes =
            (0..sites.len() as u32).flat_map(|site| [class(site, false), class(site, true)]).collect();
        let settings = Settings {
            classes,
            home: None,
            resend_interval_ns: 0,
            release_ns: 0,
            max_attempts: 3,
            // Attempts that time out go to another process while there is time.
            may_cancel: false,
            max_retry_after_ns: 0,
            must_subscribe: false,
            slow_start_floor: 1.0,
            slow_start_ns: 0,
            overload_multiple: 1e6,
            tick_ns: timing.tick_ns,
        };
        let entry = |site: usize, process: usize| Endpoint {
            server: site as u64 * MOST_PROCESSES + process as u64,
            number: site as u32,
            zone: 0,
            availability: Availability::Ready,
            up_since_ns: 0,
        };
        let all = sites.iter().enumerate().flat_map(|(site, count)| (0..*count).map(move |p| entry(site, p)));
        let entries: Vec<Endpoint> = all.collect();
        let mut brain = Controller::new(settings, seed);
        let mut actions = Vec::new();
        brain.handle(now, Event::EndpointsUpdated(EndpointUpdate::Full(entries.clone())), &mut actions);
        QueryDispatcher { brain, entries, actions, next: 1, attempts: std::collections::BTreeMap::new() }
    }

    /// A process that did not answer does so again. Questions are too few to find that out by themselves in good
    /// time: it is as one that has started anew, of which nothing is known.
    pub fn mark_recovered(&mut self, now: Nanos, site: usize, process: usize, out: &mut Vec<DispatchAction>) {
        let id = server(site, process);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.server == id) {
            entry.up_since_ns = now;
            let entry = *entry;
            self.handle(now, Event::EndpointsUpdated(EndpointUpdate::Changes(vec![entry])), out);
        }
    }

    /// A question to a site, with at most so long; its number.
    pub fn submit(
        &mut self,
        now: Nanos,
        site: usize,
        urgent: bool,
        budget_ns: Nanos,
        out: &mut Vec<DispatchAction>,
    ) -> u64 {
        let id = self.next;
        self.next += 1;
        self.attempts.insert(id, 0);
        let call = Call {
            id,
            class: 2 * site + usize::from(urgent),
            first_choice: site as u32,
            budget_ns,
            dialled: None,
            circuits: 1.0,
            retry_after_cut: false,
            in_transit: false,
        };
        self.handle(now, Event::CallArrived(call), out);
        id
    }

    /// An attempt has ended.
    pub fn complete_attempt(
        &mut self,
        now: Nanos,
        done: DispatchAction,
        outcome: Outcome,
        out: &mut Vec<DispatchAction>,
    ) {
        let DispatchAction::Send { query_id, attempt, site, process, .. } = done else { return };
        let server = server(site, process);
        if outcome == Outcome::Completed {
            self.attempts.remove(&query_id);
            self.handle(now, Event::CallEstablished { call: query_id, attempt }, out);
        }
        let closed = outcome == Outcome::Completed;
        let report = LoadReport::default();
        let event =
            Event::AttemptCompleted { call: query_id, attempt, server, outcome, is_final: closed, report };
        self.handle(now, event, out);
    }

    /// Nobody wants the answer any more.
    pub fn cancel(&mut self, now: Nanos, question: u64, out: &mut Vec<DispatchAction>) {
        if self.attempts.remove(&question).is_some() {
            self.handle(now, Event::ClientDisconnected(question), out);
        }
    }

    /// A wake-up that was asked for.
    pub fn handle_timer(&mut self, now: Nanos, out: &mut Vec<DispatchAction>) {
        self.handle(now, Event::TimerFired, out);
    }

    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<DispatchAction>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.brain.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::ForwardSetup { call, server, timeout_ns } => {
                    let Some(attempts) = self.attempts.get_mut(&call) else { continue };
                    let attempt = *attempts;
                    *attempts += 1;
                    let (site, process) = (server / MOST_PROCESSES, server % MOST_PROCESSES);
                    let (site, process) = (site as usize, process as usize);
                    out.push(DispatchAction::Send { query_id: call, attempt, site, process, timeout_ns });
                }
                Action::Reject { call, .. } => {
                    self.attempts.remove(&call);
                    out.push(DispatchAction::Reject(call));
                }
                Action::Fail { call } => {
                    self.attempts.remove(&call);
                    out.push(DispatchAction::Fail(call));
                }
                Action::SetTimer(at) => out.push(DispatchAction::SetTimer(at)),
                // Without leave to call attempts off there is none; the list does not change.
                Action::CancelAttempt { .. } | Action::Subscribe => {}
            }
        }
        self.actions = actions;
    }
}

fn server(site: usize, process: usize) -> ServerId {
    site as u64 * MOST_PROCESSES + process as u64
}
