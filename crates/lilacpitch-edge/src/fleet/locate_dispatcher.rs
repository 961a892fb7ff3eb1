//! Dispatches queries to the processes of sites: one task owns the controller; a task for each attempt waits
//! for the response.
//!
//! The controller selects a process for each query, retries, and sends no queries to unresponsive processes
//! until they answer a probe.

use super::{Agent, CONNECT_TIMEOUT};
use lilacpitch::interface::Outcome;
use lilacpitch_fleet::error::LocateError;
use lilacpitch_fleet::message::{RejectReason, Request, Response};
use lilacpitch_fleet::query_dispatcher::{poll_delay_ns, DispatchAction, QueryDispatcher, Timing};
use lilacpitch_location::Page;
use lilacpitch_rpc::{steady_ns, RpcError};
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the task's event queue.
const EVENT_QUEUE: usize = 16_384;
/// Maximum number of events handled in one round.
const EVENTS_PER_ROUND: usize = 256;

/// A page of records, and the name of the process that answered.
type Found = (Page, String);
/// The records that a query found, or why there are none.
type QueryResult = Result<Found, LocateError>;

/// A query to a site, with the channel for its result.
pub(super) struct SiteQuery {
    site: usize,
    is_urgent: bool,
    budget_ns: u64,
    request: Request,
    reply: oneshot::Sender<QueryResult>,
}

/// An event for the dispatcher's task.
enum DispatcherEvent {
    /// A new query.
    Query(Box<SiteQuery>),
    /// An attempt has ended with this outcome, and with these records if there was an answer.
    AttemptEnded(DispatchAction, Outcome, Option<Found>),
    /// An unresponsive process has answered a probe; the indices of its site and of the process.
    Recovered(usize, usize),
}

/// Sends queries to the dispatcher's task.
pub(super) struct QuerySender(mpsc::Sender<DispatcherEvent>);

/// The dispatcher, until [`run`] starts its task.
pub(super) struct LocateDispatcher {
    dispatcher: Mutex<QueryDispatcher>,
    events: mpsc::Sender<DispatcherEvent>,
    inbox: mpsc::Receiver<DispatcherEvent>,
}

impl QuerySender {
    /// Creates the sender and the dispatcher for [`run`]. `process_counts`: the number of processes of each
    /// site.
    pub(super) fn new(process_counts: &[usize], timing: Timing, seed: u64) -> (Self, LocateDispatcher) {
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let dispatcher = Mutex::new(QueryDispatcher::new(process_counts, timing, steady_ns(), seed));
        (QuerySender(events.clone()), LocateDispatcher { dispatcher, events, inbox })
    }

    /// Queries a site. Returns the records found, or why there is no answer within the budget.
    pub(super) async fn query(
        &self,
        site: usize,
        is_urgent: bool,
        budget: Duration,
        request: Request,
    ) -> QueryResult {
        let (reply, result) = oneshot::channel();
        let budget_ns = budget.as_nanos() as u64;
        let query = SiteQuery { site, is_urgent, budget_ns, request, reply };
        if self.0.try_send(DispatcherEvent::Query(Box::new(query))).is_err() {
            return Err(LocateError::TooMany);
        }
        match tokio::time::timeout(budget, result).await {
            Ok(Ok(result)) => result,
            _ => Err(LocateError::Late),
        }
    }
}

/// A query that the controller has not completed.
struct PendingQuery {
    request: Request,
    reply: oneshot::Sender<QueryResult>,
    deadline_ns: u64,
    /// Why the last attempt failed.
    last_error: LocateError,
}

/// The state of the dispatcher's task.
struct DispatcherTask {
    agent: Arc<Agent>,
    dispatcher: QueryDispatcher,
    events: mpsc::Sender<DispatcherEvent>,
    pending: HashMap<u64, PendingQuery>,
    actions: Vec<DispatchAction>,
    next_timer_ns: Option<u64>,
    /// Processes that did not answer a query and are probed until they answer, by the indices of site and
    /// process.
    unresponsive: HashSet<(usize, usize)>,
}

/// Passes events to the controller and carries out its actions, until all senders are closed.
pub(super) async fn run(agent: Arc<Agent>, dispatcher: LocateDispatcher) {
    let LocateDispatcher { dispatcher, events, mut inbox } = dispatcher;
    let mut task = DispatcherTask {
        agent,
        dispatcher: dispatcher.into_inner(),
        events,
        pending: HashMap::new(),
        actions: Vec::new(),
        next_timer_ns: None,
        unresponsive: HashSet::new(),
    };
    let mut round = Vec::new();
    loop {
        let wait = task.next_timer_ns.map(|at| Duration::from_nanos(at.saturating_sub(steady_ns())));
        tokio::select! {
            count = inbox.recv_many(&mut round, EVENTS_PER_ROUND) => {
                if count == 0 {
                    return;
                }
            }
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => task.handle_timer(),
        }
        round.drain(..).for_each(|event| task.handle(event));
        task.carry_out_actions();
    }
}

impl DispatcherTask {
    fn handle_timer(&mut self) {
        self.next_timer_ns = None;
        self.dispatcher.handle_timer(steady_ns(), &mut self.actions);
        // Queries whose caller no longer waits are cancelled, so that nothing more is sent for them.
        let now = steady_ns();
        let abandoned =
            self.pending.iter().filter(|(_, query)| query.reply.is_closed() || query.deadline_ns <= now);
        let abandoned: Vec<u64> = abandoned.map(|(id, _)| *id).collect();
        for id in abandoned {
            self.pending.remove(&id);
            self.dispatcher.cancel(now, id, &mut self.actions);
        }
    }

    fn handle(&mut self, event: DispatcherEvent) {
        let now = steady_ns();
        match event {
            DispatcherEvent::Query(query) => self.submit(now, *query),
            DispatcherEvent::Recovered(site, process) => {
                self.unresponsive.remove(&(site, process));
                self.dispatcher.mark_recovered(now, site, process, &mut self.actions);
            }
            DispatcherEvent::AttemptEnded(attempt, outcome, found) => {
                self.handle_attempt_end(&attempt, outcome, found);
                self.dispatcher.complete_attempt(now, attempt, outcome, &mut self.actions);
            }
        }
    }

    fn submit(&mut self, now: u64, query: SiteQuery) {
        let SiteQuery { site, is_urgent, budget_ns, request, reply } = query;
        let mut actions = Vec::new();
        let id = self.dispatcher.submit(now, site, is_urgent, budget_ns, &mut actions);
        let deadline_ns = now + budget_ns;
        self.pending.insert(id, PendingQuery { request, reply, deadline_ns, last_error: LocateError::Late });
        self.actions.append(&mut actions);
    }

    /// Answers the query of an attempt that has ended, or records why there is no answer. Starts to probe a
    /// process that does not respond.
    fn handle_attempt_end(&mut self, attempt: &DispatchAction, outcome: Outcome, found: Option<Found>) {
        let DispatchAction::Send { query_id, site, process, .. } = attempt else { return };
        let is_unresponsive = matches!(outcome, Outcome::TimedOut | Outcome::Unreachable | Outcome::Cut);
        if is_unresponsive && self.unresponsive.insert((*site, *process)) {
            tokio::spawn(probe(self.agent.clone(), *site, *process, self.events.clone()));
        }
        if let Some(found) = found {
            if let Some(query) = self.pending.remove(query_id) {
                let _ = query.reply.send(Ok(found));
            }
        } else if let Some(query) = self.pending.get_mut(query_id) {
            query.last_error = error_for(outcome);
        }
    }

    fn carry_out_actions(&mut self) {
        while let Some(action) = self.actions.pop() {
            match action {
                DispatchAction::Send { query_id, site, process, timeout_ns, .. } => {
                    let Some(query) = self.pending.get(&query_id) else {
                        // The query was cancelled: nothing is sent, and the attempt ends.
                        self.dispatcher.complete_attempt(
                            steady_ns(),
                            action,
                            Outcome::NotSent,
                            &mut self.actions,
                        );
                        continue;
                    };
                    let (dialer, request) =
                        (self.agent.sites[site].1[process].clone(), query.request.clone());
                    let (events, timeout) = (self.events.clone(), Duration::from_nanos(timeout_ns));
                    tokio::spawn(async move {
                        let (outcome, found) = outcome_from(dialer.request(request, timeout).await);
                        let _ = events.send(DispatcherEvent::AttemptEnded(action, outcome, found)).await;
                    });
                }
                DispatchAction::Reject(query_id) | DispatchAction::Fail(query_id) => {
                    if let Some(query) = self.pending.remove(&query_id) {
                        let _ = query.reply.send(Err(query.last_error));
                    }
                }
                DispatchAction::SetTimer(at) => {
                    self.next_timer_ns = Some(self.next_timer_ns.map_or(at, |earlier| earlier.min(at)));
                }
            }
        }
    }
}

/// Probes a process with growing delays until it answers.
async fn probe(agent: Arc<Agent>, site: usize, process: usize, events: mpsc::Sender<DispatcherEvent>) {
    for attempt in 0.. {
        tokio::time::sleep(Duration::from_nanos(poll_delay_ns(attempt))).await;
        let dialer = &agent.sites[site].1[process];
        if dialer.request(Request::Summaries(Vec::new()), CONNECT_TIMEOUT).await.is_ok() {
            let _ = events.send(DispatcherEvent::Recovered(site, process)).await;
            return;
        }
    }
}

/// The error of a query whose last attempt had this outcome.
fn error_for(outcome: Outcome) -> LocateError {
    match outcome {
        Outcome::Overloaded(retry_after) => {
            let wait_ms = retry_after.map_or(0, |ns| (ns / 1_000_000) as u32);
            LocateError::Refused(RejectReason::Overloaded { wait_ms })
        }
        Outcome::Unreachable => LocateError::Unreached,
        Outcome::NoCircuit => LocateError::Refused(RejectReason::Behind),
        _ => LocateError::Late,
    }
}

/// The outcome of an attempt, in the controller's terms, and the records found.
fn outcome_from(response: Result<Response, RpcError>) -> (Outcome, Option<Found>) {
    match response {
        Ok(Response::Found { page, process }) => (Outcome::Completed, Some((page, process))),
        Ok(Response::Rejected(RejectReason::Overloaded { wait_ms })) => {
            (Outcome::Overloaded(Some(u64::from(wait_ms) * 1_000_000)), None)
        }
        // The process runs but has no answer: reported like a server without a free circuit.
        Ok(Response::Rejected(_)) => (Outcome::NoCircuit, None),
        Ok(_) => (Outcome::Fault, None),
        Err(RpcError::TimedOut) => (Outcome::TimedOut, None),
        Err(
            RpcError::Unreachable(..)
            | RpcError::Handshake(_)
            | RpcError::WrongPeer { .. }
            | RpcError::Backlog,
        ) => (Outcome::Unreachable, None),
        Err(RpcError::Closed | RpcError::Frame(_)) => (Outcome::Cut, None),
    }
}
