//! Dispatches queries to the processes of sites. The controller that dispatches calls decides which process
//! gets a query, when the query is retried and when it is rejected: sites are its pools, processes are its
//! servers, and an overloaded process is a server whose processor is full. Each combination of site and
//! urgency has a class of its own, so that no query is sent to another site.

use crate::Nanos;
use lilacpitch::interface::{
    Action, Availability, Call, Class, Endpoint, EndpointUpdate, Idempotency, LoadReport, Outcome, ServerId,
    Settings,
};
use lilacpitch::{Controller, Event};

/// The timing of queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The response time to be met, in nanoseconds.
    pub latency_objective_ns: Nanos,
    /// The resolution of the caller's timer, in nanoseconds.
    pub tick_ns: Nanos,
}

/// The delay before the first probe of a process that did not respond; it doubles with each probe.
const FIRST_POLL_DELAY_NS: Nanos = 50_000_000;
/// The maximum delay between two probes.
const MAX_POLL_DELAY_NS: Nanos = 500_000_000;

/// Returns the delay before the `nth` probe, counted from 0, of a process that did not respond, in
/// nanoseconds.
pub fn poll_delay_ns(nth: u32) -> Nanos {
    (FIRST_POLL_DELAY_NS << nth.min(16)).min(MAX_POLL_DELAY_NS)
}

/// What the caller of the dispatcher must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send the query to this process. Without a response after the timeout, the attempt has timed out.
    Send {
        /// The id of the query.
        query_id: u64,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The index of the site.
        site: usize,
        /// The index of the process in its site.
        process: usize,
        /// The timeout, in nanoseconds.
        timeout_ns: Nanos,
    },
    /// Reject the query with this id, because all processes are overloaded.
    Reject(u64),
    /// Fail the query with this id, because all its attempts have failed.
    Fail(u64),
    /// Call [`QueryDispatcher::handle_timer`] at this time.
    SetTimer(Nanos),
}

/// The queries in flight, and the controller that dispatches them.
pub struct QueryDispatcher {
    controller: Controller,
    endpoints: Vec<Endpoint>,
    /// Reused for the controller's actions, so that it is allocated once.
    actions: Vec<Action>,
    next_query_id: u64,
    /// The number of attempts sent so far, by query id.
    attempts: std::collections::BTreeMap<u64, u32>,
}

/// Most processes of a site. Server ids are `site * MAX_PROCESSES + process`.
const MAX_PROCESSES: u64 = 64;

impl QueryDispatcher {
    /// Creates a dispatcher; `sites` contains the number of processes of each site.
    pub fn new(sites: &[usize], timing: Timing, now: Nanos, seed: u64) -> Self {
        let class = |site: u32, is_urgent: bool| Class {
            latency_objective_ns: timing.latency_objective_ns,
            deadline_ns: timing.latency_objective_ns * 4,
            priority_weight: if is_urgent { 10.0 } else { 1.0 },
            late_weight: 0.5,
            // A query has no side effects.
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
            // No attempt is cancelled early. One that times out is followed by an attempt at another process
            // while the budget lasts.
            may_cancel: false,
            max_retry_after_ns: 0,
            must_subscribe: false,
            // No slow start: a process has its full capacity as soon as it runs.
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

    /// Records that a process which did not respond has answered a probe. Queries alone are too rare to
    /// detect a recovery in time. The process is then treated as one that has just started, without known
    /// load.
    pub fn mark_recovered(&mut self, now: Nanos, site: usize, process: usize, out: &mut Vec<DispatchAction>) {
        let id = server_id(site, process);
        if let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.server == id) {
            endpoint.up_since_ns = now;
            let endpoint = *endpoint;
            self.handle(now, Event::EndpointsUpdated(EndpointUpdate::Changes(vec![endpoint])), out);
        }
    }

    /// Submits a query to a site, with a time budget in nanoseconds. Returns the id of the query.
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

    /// Records the outcome of an attempt; `attempt` is the [`DispatchAction::Send`] that began it.
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

    /// Cancels a query whose answer is no longer wanted.
    pub fn cancel(&mut self, now: Nanos, query_id: u64, out: &mut Vec<DispatchAction>) {
        if self.attempts.remove(&query_id).is_some() {
            self.handle(now, Event::ClientDisconnected(query_id), out);
        }
    }

    /// Handles the timer that [`DispatchAction::SetTimer`] has set.
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
                Action::SetTimer(time) => out.push(DispatchAction::SetTimer(time)),
                // Not emitted: the settings above allow neither cancelled attempts nor subscriptions.
                Action::CancelAttempt { .. } | Action::Subscribe => {}
            }
        }
        self.actions = actions;
    }
}

fn server_id(site: usize, process: usize) -> ServerId {
    site as u64 * MAX_PROCESSES + process as u64
}
