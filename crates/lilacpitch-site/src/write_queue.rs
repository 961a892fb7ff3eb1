//! The queue of commands for the site's log. Queued commands of the same kind are merged into one log entry.

use crate::log::{Command, RecordWrite};
use lilacpitch_fleet::ack_aggregator::ChildId;
use lilacpitch_fleet::audit::AuditRecord;
use lilacpitch_fleet::message::{CommandAction, RecordChange, RejectReason, Response};
use tokio::sync::{mpsc, oneshot};

/// Once a log entry has this many record changes, purge commands or audit records, nothing more is merged
/// into it.
const MAX_BATCH: usize = 512;
/// Most commands that may be queued.
const QUEUE_CAPACITY: usize = 4_096;
/// The retry delay that requesters are given when the queue is full, in milliseconds.
const RETRY_AFTER_MS: u32 = 50;

/// A queued command, and where to send the response.
pub(crate) struct QueuedWrite {
    pub(crate) command: Command,
    pub(crate) responder: oneshot::Sender<Response>,
}

/// The sender of the queue; [`crate::record_store::writes`] receives from it.
pub(crate) struct WriteQueue(mpsc::Sender<QueuedWrite>);

impl WriteQueue {
    pub(crate) fn new() -> (Self, mpsc::Receiver<QueuedWrite>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (WriteQueue(sender), receiver)
    }

    async fn write(&self, command: Command) -> Response {
        let (responder, response) = oneshot::channel();
        if self.0.try_send(QueuedWrite { command, responder }).is_err() {
            return Response::Rejected(RejectReason::Overloaded { wait_ms: RETRY_AFTER_MS });
        }
        response.await.unwrap_or(Response::Rejected(RejectReason::NoLeader))
    }

    /// Writes changes of a front's location records; the first one has the number `first_change`.
    pub(crate) async fn write_records(
        &self,
        front: ChildId,
        first_change: u64,
        changes: Vec<RecordChange>,
    ) -> Response {
        let write = RecordWrite { front: front.name, incarnation: front.incarnation, first_change, changes };
        self.write(Command::WriteRecords(vec![write])).await
    }

    /// Appends a command to the root's command log.
    pub(crate) async fn append_command(&self, action: CommandAction) -> Response {
        self.write(Command::AppendCommands(vec![action])).await
    }

    /// Appends audit records to the root's audit log.
    pub(crate) async fn append_audit(&self, records: Vec<AuditRecord>) -> Response {
        self.write(Command::AppendAudit(records)).await
    }

    /// Removes the records that a front wrote in incarnations before this one.
    pub(crate) async fn remove_older_incarnations(&self, front: String, incarnation: u64) -> Response {
        self.write(Command::RemoveOlderIncarnations(front, incarnation)).await
    }
}

/// Merges a command into a batch.
///
/// # Errors
/// Returns the command if it can't be merged; it then begins the next entry.
pub(crate) fn merge(batch: &mut Command, more: Command) -> Result<(), Command> {
    match (batch, more) {
        (Command::WriteRecords(batch), Command::WriteRecords(more)) if change_count(batch) < MAX_BATCH => {
            batch.extend(more)
        }
        (Command::AppendCommands(batch), Command::AppendCommands(more)) if batch.len() < MAX_BATCH => {
            batch.extend(more)
        }
        (Command::AppendAudit(batch), Command::AppendAudit(more)) if batch.len() < MAX_BATCH => {
            batch.extend(more)
        }
        (_, more) => return Err(more),
    }
    Ok(())
}

/// The number of record changes in a batch.
pub(crate) fn change_count(batch: &[RecordWrite]) -> usize {
    batch.iter().map(|write| write.changes.len()).sum()
}
