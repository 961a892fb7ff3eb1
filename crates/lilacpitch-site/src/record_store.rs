//! Writes in batches, reads behind a barrier, and the purges that changes call for.

use crate::log::{Applied, Command, Written};
use crate::process::{now, wall_ms, Process};
use lilacpitch_fleet::ack_aggregator::{ChildId, FrontContact};
use lilacpitch_fleet::audit::AuditRecord;
use lilacpitch_fleet::message::{CommandAction, PurgeScope, RecordChange, RejectReason, Request, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Row changes, orders or records in one entry of the log.
const BATCH: usize = 512;
/// Who may wait for the log.
const QUEUE: usize = 4_096;
/// Changed numbers in one purge.
const PURGE_BATCH: usize = 512;
const FULL_WAIT_MS: u32 = 50;
/// The gap between tries to have changes ordered.
const AGAIN: Duration = Duration::from_millis(50);

/// What waits to be written.
pub(crate) struct Writing {
    command: Command,
    give: oneshot::Sender<Response>,
}

/// The way to the log: what waits is written together.
pub(crate) struct Writes(mpsc::Sender<Writing>);

impl Writes {
    pub fn new() -> (Self, mpsc::Receiver<Writing>) {
        let (give, take) = mpsc::channel(QUEUE);
        (Writes(give), take)
    }

    async fn command(&self, command: Command) -> Response {
        let (give, take) = oneshot::channel();
        if self.0.try_send(Writing { command, give }).is_err() {
            return Response::Rejected(RejectReason::Overloaded { wait_ms: FULL_WAIT_MS });
        }
        take.await.unwrap_or(Response::Rejected(RejectReason::NoLeader))
    }

    pub async fn rows(&self, who: ChildId, first: u64, changes: Vec<RecordChange>) -> Response {
        let written = Written { front: who.name, life: who.incarnation, first, changes };
        self.command(Command::Rows(vec![written])).await
    }

    pub async fn order(&self, what: CommandAction) -> Response {
        self.command(Command::Order(vec![what])).await
    }

    pub async fn audit(&self, records: Vec<AuditRecord>) -> Response {
        self.command(Command::Audit(records)).await
    }

    pub async fn withdraw_front(&self, front: String, before: u64) -> Response {
        self.command(Command::WithdrawFront(front, before)).await
    }
}

/// Joins a command to those in hand; what does not join begins the next entry.
fn join(into: &mut Command, more: Command) -> Result<(), Command> {
    match (into, more) {
        (Command::Rows(all), Command::Rows(more)) if room(all) => all.extend(more),
        (Command::Order(all), Command::Order(more)) if all.len() < BATCH => all.extend(more),
        (Command::Audit(all), Command::Audit(more)) if all.len() < BATCH => all.extend(more),
        (_, more) => return Err(more),
    }
    Ok(())
}

fn room(all: &[Written]) -> bool {
    all.iter().map(|written| written.changes.len()).sum::<usize>() < BATCH
}

/// Writes what waits: while one entry is on its way to the disks, the next fills up.
pub(crate) async fn write(process: Arc<Process>, mut waiting: mpsc::Receiver<Writing>) {
    let mut next = None;
    loop {
        let first = match next.take() {
            Some(first) => first,
            None => match waiting.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        let (mut command, mut all) = (first.command, vec![first.give]);
        while let Ok(Writing { command: more, give }) = waiting.try_recv() {
            match join(&mut command, more) {
                Ok(()) => all.push(give),
                Err(command) => {
                    next = Some(Writing { command, give });
                    break;
                }
            }
        }
        let rows = match &command {
            Command::Rows(all) => all.iter().map(|written| written.changes.len() as u64).sum(),
            _ => 0,
        };
        let Some(raft) = process.raft() else { continue };
        let said = match raft.client_write(command).await.map(|written| written.data) {
            Ok(Applied::Done) => Response::Written,
            Ok(Applied::At(position)) => Response::Committed(position),
            Ok(Applied::Refused(why)) => Response::Rejected(RejectReason::Failed(why)),
            Err(error) if error.forward_to_leader::<openraft::BasicNode>().is_some() => {
                Response::Rejected(RejectReason::NoLeader)
            }
            Err(error) => Response::Rejected(RejectReason::Failed(error.to_string())),
        };
        if said == Response::Written {
            process.counters.written.fetch_add(rows, Relaxed);
        }
        // Who asked may have gone.
        all.into_iter().for_each(|give| drop(give.send(said.clone())));
    }
}

/// Reads that wait for a barrier.
pub(crate) struct Reads(mpsc::Sender<oneshot::Sender<bool>>);

impl Reads {
    pub fn new() -> (Self, mpsc::Receiver<oneshot::Sender<bool>>) {
        let (give, take) = mpsc::channel(QUEUE);
        (Reads(give), take)
    }

    /// Comes back once everything that the site had acknowledged when this was asked is applied here; `false`: can't
    /// tell.
    pub async fn barrier(&self) -> bool {
        let (give, take) = oneshot::channel();
        self.0.send(give).await.is_ok() && take.await.unwrap_or(false)
    }
}

/// One look at the log's end for all reads that came before it.
pub(crate) async fn read(process: Arc<Process>, mut waiting: mpsc::Receiver<oneshot::Sender<bool>>) {
    let mut all = Vec::new();
    while waiting.recv_many(&mut all, QUEUE).await > 0 {
        let reads = std::mem::take(&mut all);
        let process = process.clone();
        // The next look need not wait for this one: it is for reads that came later.
        tokio::spawn(async move {
            let index = if process.leads() {
                process.read_index().await
            } else {
                match process.leader() {
                    Some(place) => match process.ask(place, Request::ReadIndex).await {
                        Response::ReadIndex(index) => Some(index),
                        _ => None,
                    },
                    None => None,
                }
            };
            let there = match index {
                Some(index) => process.wait_applied(index, process.patience()).await,
                None => false,
            };
            for read in reads {
                let _ = read.send(there);
            }
        });
    }
}

/// While this process leads its site: has the root purge the numbers whose rows have changed.
pub(crate) async fn order_changes(process: Arc<Process>) {
    let mut applied = process.applied.clone();
    loop {
        applied.borrow_and_update();
        let lacks = if process.leads() { process.state.unordered(PURGE_BATCH) } else { None };
        let Some((upto, numbers)) = lacks else {
            // Leadership moves without an entry of ours.
            let _ = tokio::time::timeout(AGAIN * 4, applied.changed()).await;
            continue;
        };
        let scopes = numbers.into_iter().map(PurgeScope::Number).collect();
        match process.up(Request::Submit(CommandAction::Purge(scopes))).await {
            Response::Committed(position) => {
                let Some(raft) = process.raft() else { continue };
                if let Err(error) = raft.client_write(Command::Ordered(upto, position)).await {
                    // It is ordered again, by whoever leads: a purge may come twice.
                    tracing::debug!(%error, "an order's position not written");
                    tokio::time::sleep(AGAIN).await;
                }
            }
            other => {
                tracing::debug!(?other, "changes not ordered yet");
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

/// While this process leads: begins the register where there is none, and once all who may have had rows in a former
/// one have surely heard of it, says that it is ready.
pub(crate) async fn begin(process: Arc<Process>) {
    let span = Duration::from_nanos(process.settings.terms.lease_ns);
    loop {
        let (begun, ready) = process.state.beside(|beside| (beside.begun != 0, beside.ready));
        if ready {
            return;
        }
        // Behind a barrier: what is on the disks may not be applied here yet.
        let leads = process.leads() && process.reads.barrier().await;
        let (Some(raft), true) = (process.raft(), leads) else {
            tokio::time::sleep(AGAIN).await;
            continue;
        };
        let next = if begun { Command::Ready } else { Command::Begin(wall_ms()) };
        if begun {
            tokio::time::sleep(span).await;
        }
        if let Err(error) = raft.client_write(next).await {
            tracing::debug!(%error, "the register is not begun yet");
            tokio::time::sleep(AGAIN).await;
        }
    }
}

/// Sweeps out rows of fronts that live no more: former lives at once, those without a lease after a while.
pub(crate) async fn sweep(process: Arc<Process>) {
    let kept_ns = process.settings.terms.rows_kept_ns;
    let gap = Duration::from_nanos((process.settings.terms.lease_ns / 5).max(10_000_000));
    let (mut lives, mut swept): (BTreeMap<String, u64>, BTreeSet<ChildId>) = Default::default();
    loop {
        tokio::time::sleep(gap).await;
        let now = now();
        let fronts = process.relay.lock().front_contacts(now);
        let mut due: Vec<(ChildId, String, u64)> = Vec::new();
        for FrontContact { id, silent_for_ns: out_for_ns } in fronts {
            if lives.get(&id.name).is_none_or(|life| *life < id.incarnation) {
                lives.insert(id.name.clone(), id.incarnation);
                due.push((id.clone(), id.name.clone(), id.incarnation));
            }
            if out_for_ns < kept_ns {
                swept.remove(&id);
            } else if lives.get(&id.name) == Some(&id.incarnation) && swept.insert(id.clone()) {
                due.push((id.clone(), id.name, id.incarnation + 1));
            }
        }
        for (id, front, before) in due {
            let said = match process.leader() {
                Some(place) if place == process.settings.place => {
                    process.writes.withdraw_front(front, before).await
                }
                Some(place) => {
                    let sweep = Box::new(Request::RemoveOlderIncarnations(front, before));
                    process
                        .ask(
                            place,
                            Request::Forwarded(process.me.name.clone(), process.me.incarnation, sweep),
                        )
                        .await
                }
                None => Response::Rejected(RejectReason::NoLeader),
            };
            if said != Response::Written {
                swept.remove(&id);
                lives.remove(&id.name);
            }
        }
    }
}
