//! The queue of reads that wait until this process has applied everything that its site acknowledged before
//! them.

use tokio::sync::{mpsc, oneshot};

/// Most reads that may be queued, and most reads that share one read index.
pub(crate) const QUEUE_CAPACITY: usize = 4_096;

/// The sender of the queue; [`crate::record_store::reads`] receives from it.
pub(crate) struct ReadBarrier(mpsc::Sender<oneshot::Sender<bool>>);

impl ReadBarrier {
    pub(crate) fn new() -> (Self, mpsc::Receiver<oneshot::Sender<bool>>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (ReadBarrier(sender), receiver)
    }

    /// Waits until everything that the site acknowledged before this call is applied here. Returns `false` if
    /// that can't be established.
    pub(crate) async fn wait(&self) -> bool {
        let (responder, response) = oneshot::channel();
        self.0.send(responder).await.is_ok() && response.await.unwrap_or(false)
    }
}
