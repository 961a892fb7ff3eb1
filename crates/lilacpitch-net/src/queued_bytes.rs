//! The sum of the bytes that are queued on a group of connections, so that their owner can limit it.

use std::cell::Cell;
use std::rc::Rc;

/// The sum of the bytes queued on a group of connections, including those that are closing.
#[derive(Debug, Clone, Default)]
pub struct QueuedBytes(Rc<Cell<usize>>);

impl QueuedBytes {
    /// Returns the sum in bytes.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Starts counting the bytes of one more queue, which is empty.
    pub(crate) fn charge(&self) -> Charge {
        Charge { total: self.clone(), bytes: 0 }
    }
}

/// The bytes of one queue, counted in the sum of its group until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct Charge {
    total: QueuedBytes,
    bytes: usize,
}

impl Charge {
    /// Returns the number of bytes counted.
    pub(crate) fn get(&self) -> usize {
        self.bytes
    }

    /// Replaces the number of bytes counted.
    pub(crate) fn set(&mut self, bytes: usize) {
        let total = &self.total.0;
        total.set(total.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    /// Counts more bytes.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.set(self.bytes + bytes);
    }

    /// Counts fewer bytes.
    pub(crate) fn remove(&mut self, bytes: usize) {
        self.set(self.bytes.saturating_sub(bytes));
    }

    /// Moves the count to a new charge of the same group, and leaves this one empty.
    pub(crate) fn take(&mut self) -> Charge {
        let mut taken = self.total.charge();
        let bytes = self.bytes;
        self.set(0);
        taken.set(bytes);
        taken
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
