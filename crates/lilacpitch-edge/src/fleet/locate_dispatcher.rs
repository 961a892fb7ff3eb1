//! The module at work on questions: one task owns it, others wait for answers.

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

const QUEUE: usize = 16_384;

type Answered = Result<(Page, String), LocateError>;

/// A question to a site.
pub(super) struct Ask {
    site: usize,
    urgent: bool,
    budget_ns: u64,
    request: Request,
    give: oneshot::Sender<Answered>,
}

enum News {
    Ask(Box<Ask>),
    /// An attempt has ended: how, and what came with it.
    Ended(DispatchAction, Outcome, Option<(Page, String)>),
    /// A process that did not answer does so again.
    Back(usize, usize),
}

/// The way to the module.
pub(super) struct Asks(mpsc::Sender<News>);

pub(super) struct Asking {
    asker: Mutex<QueryDispatcher>,
    news: mpsc::Sender<News>,
    take: mpsc::Receiver<News>,
}

impl Asks {
    pub fn new(sites: &[usize], timing: Timing, seed: u64) -> (Self, Asking) {
        let (news, take) = mpsc::channel(QUEUE);
        let asker = Mutex::new(QueryDispatcher::new(sites, timing, steady_ns(), seed));
        (Asks(news.clone()), Asking { asker, news, take })
    }

    /// Asks a site: an answer, or why there is none.
    pub async fn ask(&self, site: usize, urgent: bool, budget: Duration, request: Request) -> Answered {
        let (give, take) = oneshot::channel();
        let budget_ns = budget.as_nanos() as u64;
        let ask = Ask { site, urgent, budget_ns, request, give };
        if self.0.try_send(News::Ask(Box::new(ask))).is_err() {
            return Err(LocateError::TooMany);
        }
        match tokio::time::timeout(budget, take).await {
            Ok(Ok(answered)) => answered,
            _ => Err(LocateError::Late),
        }
    }
}

/// A question that is with the module.
struct Open {
    request: Request,
    give: oneshot::Sender<Answered>,
    until_ns: u64,
    last: LocateError,
}

/// Feeds the module and does what it says.
pub(super) async fn run(agent: Arc<Agent>, asking: Asking) {
    let Asking { asker, news, mut take } = asking;
    let mut asker = asker.into_inner();
    let news_again = news.clone();
    let (mut open, mut todo): (HashMap<u64, Open>, Vec<DispatchAction>) = Default::default();
    let (mut wake_ns, mut round) = (None::<u64>, Vec::new());
    // Processes that left a question unanswered and are looked after until they answer.
    let mut away: HashSet<(usize, usize)> = HashSet::new();
    loop {
        let wait = wake_ns.map(|at| Duration::from_nanos(at.saturating_sub(steady_ns())));
        tokio::select! {
            count = take.recv_many(&mut round, 256) => {
                if count == 0 {
                    return;
                }
            }
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {
                wake_ns = None;
                asker.handle_timer(steady_ns(), &mut todo);
                // Whose asker has gone is forgotten, so that nothing more is sent for it.
                let now = steady_ns();
                let gone: Vec<u64> =
                    open.iter().filter(|(_, o)| o.give.is_closed() || o.until_ns <= now).map(|(id, _)| *id).collect();
                for id in gone {
                    open.remove(&id);
                    asker.cancel(now, id, &mut todo);
                }
            }
        }
        for news in round.drain(..) {
            let now = steady_ns();
            match news {
                News::Ask(ask) => {
                    let Ask { site, urgent, budget_ns, request, give } = *ask;
                    let until_ns = now + budget_ns;
                    let mut first = Vec::new();
                    let id = asker.submit(now, site, urgent, budget_ns, &mut first);
                    open.insert(id, Open { request, give, until_ns, last: LocateError::Late });
                    todo.append(&mut first);
                }
                News::Back(site, process) => {
                    away.remove(&(site, process));
                    asker.mark_recovered(now, site, process, &mut todo);
                }
                News::Ended(done, outcome, answer) => {
                    if let DispatchAction::Send { query_id, site, process, .. } = done {
                        let gone = matches!(outcome, Outcome::TimedOut | Outcome::Unreachable | Outcome::Cut);
                        if gone && away.insert((site, process)) {
                            tokio::spawn(look_after(agent.clone(), site, process, news_again.clone()));
                        }
                        if let Some(answer) = answer {
                            if let Some(open) = open.remove(&query_id) {
                                let _ = open.give.send(Ok(answer));
                            }
                        } else if let Some(open) = open.get_mut(&query_id) {
                            open.last = why(outcome);
                        }
                    }
                    asker.complete_attempt(now, done, outcome, &mut todo);
                }
            }
        }
        while let Some(what) = todo.pop() {
            match what {
                DispatchAction::Send { query_id, site, process, timeout_ns, .. } => {
                    let Some(open) = open.get(&query_id) else {
                        // Its asker has gone: nothing is sent, and the module told so.
                        asker.complete_attempt(steady_ns(), what, Outcome::NotSent, &mut todo);
                        continue;
                    };
                    let (way, request) = (agent.sites[site].1[process].clone(), open.request.clone());
                    let (news, patience) = (news.clone(), Duration::from_nanos(timeout_ns));
                    tokio::spawn(async move {
                        let (outcome, answer) = outcome(way.request(request, patience).await);
                        let _ = news.send(News::Ended(what, outcome, answer)).await;
                    });
                }
                DispatchAction::Reject(question) | DispatchAction::Fail(question) => {
                    if let Some(open) = open.remove(&question) {
                        let _ = open.give.send(Err(open.last));
                    }
                }
                DispatchAction::SetTimer(at) => wake_ns = Some(wake_ns.map_or(at, |set| set.min(at))),
            }
        }
    }
}

/// Asks a process that did not answer for nothing, at growing gaps, until it answers.
async fn look_after(agent: Arc<Agent>, site: usize, process: usize, news: mpsc::Sender<News>) {
    for nth in 0.. {
        tokio::time::sleep(Duration::from_nanos(poll_delay_ns(nth))).await;
        let way = &agent.sites[site].1[process];
        if way.request(Request::Summaries(Vec::new()), CONNECT).await.is_ok() {
            let _ = news.send(News::Back(site, process)).await;
            return;
        }
    }
}

fn why(outcome: Outcome) -> LocateError {
    match outcome {
        Outcome::Overloaded(wait) => {
            let wait_ms = wait.map_or(0, |ns| (ns / 1_000_000) as u32);
            LocateError::Refused(RejectReason::Overloaded { wait_ms })
        }
        Outcome::Unreachable => LocateError::Unreached,
        Outcome::NoCircuit => LocateError::Refused(RejectReason::Behind),
        _ => LocateError::Late,
    }
}

/// How an attempt ended, in the module's words.
fn outcome(said: Result<Response, RpcError>) -> (Outcome, Option<(Page, String)>) {
    match said {
        Ok(Response::Found { page, process }) => (Outcome::Completed, Some((page, process))),
        Ok(Response::Rejected(RejectReason::Overloaded { wait_ms })) => {
            (Outcome::Overloaded(Some(u64::from(wait_ms) * 1_000_000)), None)
        }
        // It runs and has nothing to give: as a server without a free circuit.
        Ok(Response::Rejected(_)) => (Outcome::NoCircuit, None),
        Ok(_) => (Outcome::Fault, None),
        Err(RpcError::TimedOut) => (Outcome::TimedOut, None),
        Err(RpcError::Unreachable(..) | RpcError::Handshake(_) | RpcError::Backlog) => {
            (Outcome::Unreachable, None)
        }
        Err(RpcError::Closed | RpcError::Frame(_)) => (Outcome::Cut, None),
    }
}
