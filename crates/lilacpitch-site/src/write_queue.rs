//! The queue of commands for the site's log. Commands of one kind that wait are merged into one log entry.

use crate::log::{Command, RecordWrite};
use lilacpitch_fleet::ack_aggregator::ChildId;
use lilacpitch_fleet::audit::AuditRecord;
use lilacpitch_fleet::message::{CommandAction, RecordChange, RejectReason, Response};
use tokio::sync::{mpsc, oneshot};

/// A log entry takes no more once it holds so many record changes, purge commands or audit records.
const MAX_BATCH: usize = 512;
/// Most commands that may wait for the log.
const QUEUE_CAPACITY: usize = 4_096;
/// When to retry where the queue is full, in milliseconds.
const RETRY_AFTER_MS: u32 = 50;

/// A command that waits to be written, and who waits for the response.
pub(crate) struct QueuedWrite {
    pub(crate) command: Command,
    pub(crate) responder: oneshot::Sender<Response>,
}

/// The sending end of the queue; [`crate::record_store::writes`] takes from it.
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

    /// Writes changes of a front's location records, numbered from `first_change` on.
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

    /// Removes the records of a front's incarnations before this one.
    pub(crate) async fn remove_older_incarnations(&self, front: String, before: u64) -> Response {
        self.write(Command::RemoveOlderIncarnations(front, before)).await
    }
}

/// Merges a command into a batch; gives it back where it begins the next entry.
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

/// How many record changes a batch holds.
pub(crate) fn change_count(batch: &[RecordWrite]) -> usize {
    batch.iter().map(|write| write.changes.len()).sum()
}
