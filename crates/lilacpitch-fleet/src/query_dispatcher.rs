//! Dispatches queries to the processes of sites: the controller of calls decides which process gets a query, when it is
//! retried and when it is rejected. Sites are its pools, processes its servers, 'overloaded' a full processor. Each site
//! and urgency is a class of its own, so that no query goes to another site.

use crate::Nanos;
use lilacpitch::interface::{
    Action, Availability, Call, Class, Endpoint, EndpointUpdate, Idempotency, LoadReport, Outcome, ServerId,
    Settings,
};
use lilacpitch::{Controller, Event};

/// The timing of queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The wanted response time, in nanoseconds.
    pub latency_objective_ns: Nanos,
    /// The resolution of the timer, in nanoseconds.
    pub tick_ns: Nanos,
}

/// The delay before the first health check of a process that did not respond; it doubles with each.
const FIRST_POLL_DELAY_NS: Nanos = 50_000_000;
/// The longest delay between two health checks.
const MAX_POLL_DELAY_NS: Nanos = 500_000_000;

/// The delay before the `nth` health check, from 0, of a process that did not respond to a query, in nanoseconds.
pub fn poll_delay_ns(nth: u32) -> Nanos {
    (FIRST_POLL_DELAY_NS << nth.min(16)).min(MAX_POLL_DELAY_NS)
}

/// What the caller is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send the query to this process; without a response after the timeout the attempt has timed out.
    Send {
        /// The query.
        query_id: u64,
        /// The attempt.
        attempt: u32,
        /// The index of the site.
        site: usize,
        /// The index of the process in its site.
        process: usize,
        /// The timeout, in nanoseconds.
        timeout_ns: Nanos,
    },
    /// The query is rejected for overload: no answer will come.
    Reject(u64),
    /// All attempts of the query have failed: no answer will come.
    Fail(u64),
    /// Call [`QueryDispatcher::handle_timer`] at this moment.
    SetTimer(Nanos),
}

/// The queries in flight, and the controller that decides about them.
pub struct QueryDispatcher {
    controller: Controller,
    endpoints: Vec<Endpoint>,
    actions: Vec<Action>,
    next_query_id: u64,
    attempts: std::collections::BTreeMap<u64, u32>,
}

/// Most processes of a site: server ids are numbered by it.
const MAX_PROCESSES: u64 = 64;

impl QueryDispatcher {
    /// A dispatcher for sites with so many processes each.
    pub fn new(sites: &[usize], timing: Timing, now: Nanos, seed: u64) -> Self {
        let class = |site: u32, is_urgent: bool| Class {
            latency_objective_ns: timing.latency_objective_ns,
            deadline_ns: timing.latency_objective_ns * 4,
            priority_weight: if is_urgent { 10.0 } else { 1.0 },
            late_weight: 0.5,
            // A query changes nothing.
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
        let endpoint = |site: usize, process: usize| Endpoint {
            server: site as u64 * MAX_PROCESSES + process as u64,
            number: site as u32,
            zone: 0,
            availability: Availability::Ready,
            up_since_ns: 0,
        };
        let all =
            sites.iter().enumerate().flat_map(|(site, count)| (0..*count).map(move |p| endpoint(site, p)));
        let endpoints: Vec<Endpoint> = all.collect();
        let mut controller = Controller::new(settings, seed);
        let mut actions = Vec::new();
        controller.handle(
            now,
            Event::EndpointsUpdated(EndpointUpdate::Full(endpoints.clone())),
            &mut actions,
        );
        QueryDispatcher {
            controller,
            endpoints,
            actions,
            next_query_id: 1,
            attempts: std::collections::BTreeMap::new(),
        }
    }

    /// A process that did not respond does so again, by a health check: queries are too few to find that out in good time.
    /// It is treated as a process that has just started, of which nothing is known.
    pub fn mark_recovered(&mut self, now: Nanos, site: usize, process: usize, out: &mut Vec<DispatchAction>) {
        let id = server_id(site, process);
        if let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.server == id) {
            endpoint.up_since_ns = now;
            let endpoint = *endpoint;
            self.handle(now, Event::EndpointsUpdated(EndpointUpdate::Changes(vec![endpoint])), out);
        }
    }

    /// Submits a query to a site, with a time budget in nanoseconds; its id.
    pub fn submit(
        &mut self,
        now: Nanos,
        site: usize,
        is_urgent: bool,
        budget_ns: Nanos,
        out: &mut Vec<DispatchAction>,
    ) -> u64 {
        let id = self.next_query_id;
        self.next_query_id += 1;
        self.attempts.insert(id, 0);
        let call = Call {
            id,
            class: 2 * site + usize::from(is_urgent),
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

    /// An attempt has completed; `attempt` is the [`DispatchAction::Send`] that began it.
    pub fn complete_attempt(
        &mut self,
        now: Nanos,
        attempt: DispatchAction,
        outcome: Outcome,
        out: &mut Vec<DispatchAction>,
    ) {
        let DispatchAction::Send { query_id, attempt, site, process, .. } = attempt else { return };
        let server_id = server_id(site, process);
        if outcome == Outcome::Completed {
            self.attempts.remove(&query_id);
            self.handle(now, Event::CallEstablished { call: query_id, attempt }, out);
        }
        let is_final = outcome == Outcome::Completed;
        let report = LoadReport::default();
        let event =
            Event::AttemptCompleted { call: query_id, attempt, server: server_id, outcome, is_final, report };
        self.handle(now, event, out);
    }

    /// Cancels a query: its answer is no longer wanted.
    pub fn cancel(&mut self, now: Nanos, query_id: u64, out: &mut Vec<DispatchAction>) {
        if self.attempts.remove(&query_id).is_some() {
            self.handle(now, Event::ClientDisconnected(query_id), out);
        }
    }

    /// The timer of [`DispatchAction::SetTimer`] has fired.
    pub fn handle_timer(&mut self, now: Nanos, out: &mut Vec<DispatchAction>) {
        self.handle(now, Event::TimerFired, out);
    }

    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<DispatchAction>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::ForwardSetup { call, server: server_id, timeout_ns } => {
                    let Some(attempts) = self.attempts.get_mut(&call) else { continue };
                    let attempt = *attempts;
                    *attempts += 1;
                    let (site, process) = (server_id / MAX_PROCESSES, server_id % MAX_PROCESSES);
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
                // Attempts may not be cancelled by the settings above, and the endpoint list does not change.
                Action::CancelAttempt { .. } | Action::Subscribe => {}
            }
        }
        self.actions = actions;
    }
}

fn server_id(site: usize, process: usize) -> ServerId {
    site as u64 * MAX_PROCESSES + process as u64
}
