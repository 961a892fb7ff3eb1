//! The queue of reads that wait until this process has applied everything its site had acknowledged before them.

use tokio::sync::{mpsc, oneshot};

/// Most reads that wait at once, and that are resolved by one look at the log.
pub(crate) const QUEUE_CAPACITY: usize = 4_096;

/// The sending end of the queue; [`crate::record_store::reads`] takes from it.
pub(crate) struct ReadBarrier(mpsc::Sender<oneshot::Sender<bool>>);

impl ReadBarrier {
    pub(crate) fn new() -> (Self, mpsc::Receiver<oneshot::Sender<bool>>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (ReadBarrier(sender), receiver)
    }

    /// Returns once everything that the site had acknowledged before this call is applied here; `false` where that
    /// can't be told.
    pub(crate) async fn wait(&self) -> bool {
        let (responder, response) = oneshot::channel();
        self.0.send(responder).await.is_ok() && response.await.unwrap_or(false)
    }
}
