//! The dispatch of queries to the processes of sites: one task owns the controller, and others wait for responses.
//!
//! The controller picks a process for each query, retries, and leaves unresponsive processes alone until they answer
//! a probe.

use super::{Agent, CONNECT};
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

/// Events that may wait for the task.
const EVENT_QUEUE: usize = 16_384;
/// Events handled in one round.
const EVENTS_PER_ROUND: usize = 256;

/// A page of records, and the process that found it.
type Found = (Page, String);
type QueryResult = Result<Found, LocateError>;

/// A query to a site.
pub(super) struct SiteQuery {
    site: usize,
    is_urgent: bool,
    budget_ns: u64,
    request: Request,
    reply: oneshot::Sender<QueryResult>,
}

enum DispatcherEvent {
    Query(Box<SiteQuery>),
    /// An attempt has ended: how, and what it found.
    AttemptEnded(DispatchAction, Outcome, Option<Found>),
    /// A process of a site that was unresponsive answers again.
    Recovered(usize, usize),
}

/// Where queries are handed in.
pub(super) struct QuerySender(mpsc::Sender<DispatcherEvent>);

/// The dispatcher before its task runs.
pub(super) struct LocateDispatcher {
    dispatcher: Mutex<QueryDispatcher>,
    events: mpsc::Sender<DispatcherEvent>,
    inbox: mpsc::Receiver<DispatcherEvent>,
}

impl QuerySender {
    /// The sender, and the dispatcher that [`run`] takes. `processes`: how many each site has.
    pub(super) fn new(processes: &[usize], timing: Timing, seed: u64) -> (Self, LocateDispatcher) {
        let (events, inbox) = mpsc::channel(EVENT_QUEUE);
        let dispatcher = Mutex::new(QueryDispatcher::new(processes, timing, steady_ns(), seed));
        (QuerySender(events.clone()), LocateDispatcher { dispatcher, events, inbox })
    }

    /// Queries a site: what it found, or why there is no answer within the budget.
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

/// A query that is with the controller.
struct PendingQuery {
    request: Request,
    reply: oneshot::Sender<QueryResult>,
    until_ns: u64,
    /// Why its last attempt found nothing.
    last_error: LocateError,
}

/// The task's state.
struct DispatcherTask {
    agent: Arc<Agent>,
    dispatcher: QueryDispatcher,
    events: mpsc::Sender<DispatcherEvent>,
    pending: HashMap<u64, PendingQuery>,
    actions: Vec<DispatchAction>,
    wake_ns: Option<u64>,
    /// Processes, by site and index, that left a query unanswered and are probed until they answer.
    unresponsive: HashSet<(usize, usize)>,
}

/// Feeds the controller and carries its actions out, until no query can come any more.
pub(super) async fn run(agent: Arc<Agent>, dispatcher: LocateDispatcher) {
    let LocateDispatcher { dispatcher, events, mut inbox } = dispatcher;
    let mut task = DispatcherTask {
        agent,
        dispatcher: dispatcher.into_inner(),
        events,
        pending: HashMap::new(),
        actions: Vec::new(),
        wake_ns: None,
        unresponsive: HashSet::new(),
    };
    let mut round = Vec::new();
    loop {
        let wait = task.wake_ns.map(|at| Duration::from_nanos(at.saturating_sub(steady_ns())));
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
        self.wake_ns = None;
        self.dispatcher.handle_timer(steady_ns(), &mut self.actions);
        // Queries that nobody waits for are cancelled, so that nothing more is sent for them.
        let now = steady_ns();
        let abandoned = self.pending.iter().filter(|(_, q)| q.reply.is_closed() || q.until_ns <= now);
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
                self.complete(&attempt, outcome, found);
                self.dispatcher.complete_attempt(now, attempt, outcome, &mut self.actions);
            }
        }
    }

    fn submit(&mut self, now: u64, query: SiteQuery) {
        let SiteQuery { site, is_urgent, budget_ns, request, reply } = query;
        let mut actions = Vec::new();
        let id = self.dispatcher.submit(now, site, is_urgent, budget_ns, &mut actions);
        let until_ns = now + budget_ns;
        self.pending.insert(id, PendingQuery { request, reply, until_ns, last_error: LocateError::Late });
        self.actions.append(&mut actions);
    }

    /// Answers an attempt's query, or notes why there is no answer, and probes a process that does not respond.
    fn complete(&mut self, attempt: &DispatchAction, outcome: Outcome, found: Option<Found>) {
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
            query.last_error = error_of(outcome);
        }
    }

    fn carry_out_actions(&mut self) {
        while let Some(action) = self.actions.pop() {
            match action {
                DispatchAction::Send { query_id, site, process, timeout_ns, .. } => {
                    let Some(query) = self.pending.get(&query_id) else {
                        // Nobody waits for it: nothing is sent, and the controller is told.
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
                        let (outcome, found) = outcome_of(dialer.request(request, timeout).await);
                        let _ = events.send(DispatcherEvent::AttemptEnded(action, outcome, found)).await;
                    });
                }
                DispatchAction::Reject(query_id) | DispatchAction::Fail(query_id) => {
                    if let Some(query) = self.pending.remove(&query_id) {
                        let _ = query.reply.send(Err(query.last_error));
                    }
                }
                DispatchAction::SetTimer(at) => {
                    self.wake_ns = Some(self.wake_ns.map_or(at, |set| set.min(at)));
                }
            }
        }
    }
}

/// Probes a process after growing delays, until it answers.
async fn probe(agent: Arc<Agent>, site: usize, process: usize, events: mpsc::Sender<DispatcherEvent>) {
    for attempt in 0.. {
        tokio::time::sleep(Duration::from_nanos(poll_delay_ns(attempt))).await;
        let dialer = &agent.sites[site].1[process];
        if dialer.request(Request::Summaries(Vec::new()), CONNECT).await.is_ok() {
            let _ = events.send(DispatcherEvent::Recovered(site, process)).await;
            return;
        }
    }
}

/// The error of a query whose last attempt ended so.
fn error_of(outcome: Outcome) -> LocateError {
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

/// How an attempt ended, in the controller's terms, and what was found.
fn outcome_of(response: Result<Response, RpcError>) -> (Outcome, Option<Found>) {
    match response {
        Ok(Response::Found { page, process }) => (Outcome::Completed, Some((page, process))),
        Ok(Response::Rejected(RejectReason::Overloaded { wait_ms })) => {
            (Outcome::Overloaded(Some(u64::from(wait_ms) * 1_000_000)), None)
        }
        // It runs and has no answer: as a server without a free circuit.
        Ok(Response::Rejected(_)) => (Outcome::NoCircuit, None),
        Ok(_) => (Outcome::Fault, None),
        Err(RpcError::TimedOut) => (Outcome::TimedOut, None),
        Err(RpcError::Unreachable(..) | RpcError::Handshake(_) | RpcError::Backlog) => {
            (Outcome::Unreachable, None)
        }
        Err(RpcError::Closed | RpcError::Frame(_)) => (Outcome::Cut, None),
    }
}
