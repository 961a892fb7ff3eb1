//! Batches a front's record changes. A change of where a number can be reached is urgent: the whole batch is
//! due at once. The start or end of a call may be delayed, since no answer about where a number can be
//! reached depends on it.

use crate::Nanos;

/// The longest time for which a change that is not urgent is held back, in nanoseconds.
pub const MAX_DELAY_NS: Nanos = 20_000_000;
/// The number of changes with which a batch is full.
pub const MAX_BATCH: usize = 256;

/// The batch of changes to be written next, in the order in which they were made.
#[derive(Debug)]
pub struct WriteBatcher<T> {
    pending: Vec<T>,
    /// When the batch must be written; `None` if it is empty.
    due_ns: Option<Nanos>,
}

impl<T> Default for WriteBatcher<T> {
    fn default() -> Self {
        WriteBatcher { pending: Vec::new(), due_ns: None }
    }
}

impl<T> WriteBatcher<T> {
    /// Adds a change. Returns the batch if that makes it full.
    pub fn push(&mut self, now: Nanos, change: T, is_urgent: bool) -> Option<Vec<T>> {
        let due_ns = if is_urgent { now } else { now + MAX_DELAY_NS };
        self.due_ns = Some(self.due_ns.map_or(due_ns, |current| current.min(due_ns)));
        self.pending.push(change);
        (self.pending.len() >= MAX_BATCH).then(|| self.take_batch())
    }

    /// When the batch must be written; `None` if it is empty.
    pub fn due_ns(&self) -> Option<Nanos> {
        self.due_ns
    }

    /// Takes the batch if it is due.
    pub fn take_due(&mut self, now: Nanos) -> Option<Vec<T>> {
        self.due_ns.is_some_and(|due_ns| due_ns <= now).then(|| self.take_batch())
    }

    fn take_batch(&mut self) -> Vec<T> {
        self.due_ns = None;
        std::mem::take(&mut self.pending)
    }
}
