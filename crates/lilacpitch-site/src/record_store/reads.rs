//! Linearizable reads: a read waits until this process has applied everything that the site's leader had
//! committed when the read arrived (the read index in section 6.4 of Ongaro's thesis on Raft).

use crate::process::Process;
use crate::read_barrier::QUEUE_CAPACITY;
use lilacpitch_fleet::message::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Resolves the queued reads. All reads that are queued at the same time share one read index.
pub(crate) async fn run(process: Arc<Process>, mut queue: mpsc::Receiver<oneshot::Sender<bool>>) {
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, QUEUE_CAPACITY).await > 0 {
        let reads = std::mem::take(&mut waiting);
        // Later reads get a read index of their own and need not wait for these.
        tokio::spawn(resolve(process.clone(), reads));
    }
}

async fn resolve(process: Arc<Process>, reads: Vec<oneshot::Sender<bool>>) {
    let is_caught_up = match site_read_index(&process).await {
        Some(index) => process.wait_applied(index, process.request_timeout()).await,
        None => false,
    };
    for read in reads {
        let _ = read.send(is_caught_up);
    }
}

/// Requests the read index from the site's leader; `None` if it can't be determined.
async fn site_read_index(process: &Process) -> Option<u64> {
    if process.is_leader() {
        return process.read_index().await;
    }
    match process.request_sibling(process.leader()?, Request::ReadIndex).await {
        Response::ReadIndex(index) => Some(index),
        _ => None,
    }
}

impl Process {
    /// Whether this process has all records of its site: it has applied everything that was acknowledged
    /// before this call, and the fronts have had the time to write records again that were lost with a former
    /// store.
    pub(crate) async fn is_current(&self) -> bool {
        self.read_barrier.wait().await && self.state.with_metadata(|metadata| metadata.is_ready)
    }

    /// The log index that must be applied before a read; `None` if this process is not the leader, or can't
    /// confirm that it is.
    pub(crate) async fn read_index(&self) -> Option<u64> {
        let (read_log_id, _) = self.raft()?.get_read_log_id().await.ok()?;
        Some(read_log_id.map_or(0, |id| id.index))
    }

    /// Waits until all entries up to an index are applied here. Returns `false` if that takes longer than
    /// `timeout`.
    pub(crate) async fn wait_applied(&self, index: u64, timeout: Duration) -> bool {
        let mut applied = self.applied.clone();
        let waited = tokio::time::timeout(timeout, applied.wait_for(|applied| *applied >= index)).await;
        matches!(waited, Ok(Ok(_)))
    }
}
