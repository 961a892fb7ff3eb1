//! Batches a front's record changes: a change of where a number is reached is urgent and takes along what waits; calls
//! that begin and end can wait a little, since no answer about where a number is reached depends on them.

use crate::Nanos;

/// How long a change that is not urgent waits for others.
pub const MAX_DELAY_NS: Nanos = 20_000_000;
/// With so many changes a batch is full.
pub const MAX_BATCH: usize = 256;

/// Changes that go together, in their order.
#[derive(Debug)]
pub struct WriteBatcher<T> {
    pending: Vec<T>,
    due_ns: Option<Nanos>,
}

impl<T> Default for WriteBatcher<T> {
    fn default() -> Self {
        WriteBatcher { pending: Vec::new(), due_ns: None }
    }
}

impl<T> WriteBatcher<T> {
    /// Adds a change; returns the batch where it is full by now.
    pub fn push(&mut self, now: Nanos, change: T, is_urgent: bool) -> Option<Vec<T>> {
        let due_ns = if is_urgent { now } else { now + MAX_DELAY_NS };
        self.due_ns = Some(self.due_ns.map_or(due_ns, |earlier| earlier.min(due_ns)));
        self.pending.push(change);
        (self.pending.len() >= MAX_BATCH).then(|| self.take_batch())
    }

    /// When the batch is due; `None`: it is empty.
    pub fn due_ns(&self) -> Option<Nanos> {
        self.due_ns
    }

    /// The batch, if it is due.
    pub fn take_due(&mut self, now: Nanos) -> Option<Vec<T>> {
        self.due_ns.is_some_and(|due_ns| due_ns <= now).then(|| self.take_batch())
    }

    fn take_batch(&mut self) -> Vec<T> {
        self.due_ns = None;
        std::mem::take(&mut self.pending)
    }
}
