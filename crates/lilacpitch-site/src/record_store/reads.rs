//! Linearizable reads: a read waits until this process has applied everything that the site's leader had committed
//! when the read came (Ongaro's thesis on Raft, section 6.4: the read index).

use crate::process::Process;
use crate::read_barrier::QUEUE_CAPACITY;
use lilacpitch_fleet::message::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Resolves the reads that wait: one read index for all that came before it.
pub(crate) async fn run(process: Arc<Process>, mut queue: mpsc::Receiver<oneshot::Sender<bool>>) {
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, QUEUE_CAPACITY).await > 0 {
        let reads = std::mem::take(&mut waiting);
        // The next reads need not wait for these: they came later, and get an index of their own.
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

/// The read index by the site's leader.
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
    /// Whether this process can answer for its site: it has everything that was acknowledged before now, and nothing
    /// was lost with a disk that the fronts have not had the time to write again.
    pub(crate) async fn is_current(&self) -> bool {
        self.read_barrier.wait().await && self.state.with_metadata(|metadata| metadata.is_ready)
    }

    /// The log index up to which a read must wait; `None`: this process does not lead, or can't tell.
    pub(crate) async fn read_index(&self) -> Option<u64> {
        let (read, _) = self.raft()?.get_read_log_id().await.ok()?;
        Some(read.map_or(0, |id| id.index))
    }

    /// Waits until all entries up to an index are applied here; `false`: not within `timeout`.
    pub(crate) async fn wait_applied(&self, index: u64, timeout: Duration) -> bool {
        let mut applied = self.applied.clone();
        let waited = tokio::time::timeout(timeout, applied.wait_for(|applied| *applied >= index)).await;
        matches!(waited, Ok(Ok(_)))
    }
}
