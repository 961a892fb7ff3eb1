//! Writes queued commands to the log. While one log entry is being committed, further commands are queued for
//! the next.

use crate::log::{ApplyResult, Command};
use crate::process::Process;
use crate::write_queue::{change_count, merge, QueuedWrite};
use lilacpitch_fleet::message::{RejectReason, Response};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Commands that are merged into one log entry.
struct Batch {
    command: Command,
    responders: Vec<oneshot::Sender<Response>>,
}

/// Writes queued commands, one log entry at a time, until the queue is closed.
pub(crate) async fn run(process: Arc<Process>, mut queue: mpsc::Receiver<QueuedWrite>) {
    let mut overflow = None;
    loop {
        let first = match overflow.take() {
            Some(first) => first,
            None => match queue.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        let batch;
        (batch, overflow) = fill_batch(first, &mut queue);
        write_batch(&process, batch).await;
    }
}

/// Merges the queued commands into a batch. The second value is the first command that could not be merged;
/// it begins the next batch.
fn fill_batch(first: QueuedWrite, queue: &mut mpsc::Receiver<QueuedWrite>) -> (Batch, Option<QueuedWrite>) {
    let mut batch = Batch { command: first.command, responders: vec![first.responder] };
    while let Ok(QueuedWrite { command, responder }) = queue.try_recv() {
        match merge(&mut batch.command, command) {
            Ok(()) => batch.responders.push(responder),
            Err(command) => return (batch, Some(QueuedWrite { command, responder })),
        }
    }
    (batch, None)
}

/// Writes one log entry and responds to all requesters. While this process takes no part in the log, the
/// responders are dropped, and the requesters are rejected with [`RejectReason::NoLeader`].
async fn write_batch(process: &Process, batch: Batch) {
    let changes = match &batch.command {
        Command::WriteRecords(writes) => change_count(writes) as u64,
        _ => 0,
    };
    let Some(raft) = process.raft() else { return };
    let response = match raft.client_write(batch.command).await.map(|applied| applied.data) {
        Ok(ApplyResult::Done) => Response::Written,
        Ok(ApplyResult::Position(position)) => Response::Committed(position),
        Ok(ApplyResult::Rejected(reason)) => Response::Rejected(RejectReason::Failed(reason)),
        Err(error) if error.forward_to_leader::<openraft::BasicNode>().is_some() => {
            Response::Rejected(RejectReason::NoLeader)
        }
        Err(error) => Response::Rejected(RejectReason::Failed(error.to_string())),
    };
    if response == Response::Written {
        process.counters.changes_written.fetch_add(changes, Relaxed);
    }
    for responder in batch.responders {
        // A requester that no longer waits needs no response.
        let _ = responder.send(response.clone());
    }
}
