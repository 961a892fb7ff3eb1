//! Messages that wait to be written on one connection, which may be cancelled until their first byte has left.
//!
//! The owner queues and cancels messages; the connection's task writes them. Both run on one thread, so that a message
//! is in exactly one of three states at any moment: no byte of it has left, some have, all have.

use lilacpitch::interface::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes offered to a socket by one write.
const WRITE_BYTES: usize = 16 * 1024;

/// A message to write.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// Its number among the connection's messages.
    pub number: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Not to be written after this moment; `None` for no limit.
    pub not_after_ns: Option<Nanos>,
}

/// How a connection is to be closed, from the mildest to the harshest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// Unless something has arrived on it that its owner has not seen: an eviction.
    IfIdle,
    /// Once all that has arrived by now is answered, and the answers are written.
    AfterAnswers,
    /// Once the queue is written.
    AfterFlush,
    /// At once.
    Immediately,
}

/// What became of a message that was to be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// No byte of it had left, and none will.
    Removed,
    /// Some bytes had left: only the connection's end keeps the rest back.
    PartlyWritten,
    /// It is not in the queue: all of it had left.
    AlreadyWritten,
}

/// Size of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSize {
    /// Messages, one that is partly written included.
    pub messages: usize,
    /// Bytes still to be written.
    pub bytes: usize,
}

/// What one round of writing did.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Numbers of the messages that were dropped: their last moment had passed.
    pub expired: Vec<u64>,
    /// A partly written message has passed its last moment, and can't be finished.
    pub is_expired_in_writing: bool,
}

#[derive(Debug, Default)]
struct State {
    queue: VecDeque<OutgoingMessage>,
    /// Bytes of the first message that have left.
    begun_bytes: usize,
    /// Bytes of all messages in the queue.
    bytes: usize,
    /// One more than the number of the last message of which a byte has left.
    written: u64,
    close_mode: Option<CloseMode>,
}

/// The queue of one connection, shared by its owner and its task.
#[derive(Debug, Clone, Default)]
pub struct Outbox(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: RefCell<State>,
    /// Messages read from the connection that its owner has not processed.
    unprocessed: Cell<usize>,
    changed: Notify,
}

impl Outbox {
    /// Queues a message.
    pub fn push(&self, message: OutgoingMessage) {
        let mut state = self.0.state.borrow_mut();
        state.bytes += message.bytes.len();
        state.queue.push_back(message);
        self.0.changed.notify_one();
    }

    /// Size of the queue.
    pub fn queued(&self) -> QueueSize {
        let state = self.0.state.borrow();
        QueueSize { messages: state.queue.len(), bytes: state.bytes - state.begun_bytes }
    }

    /// Cancels a message, if no byte of it has left.
    pub fn cancel(&self, number: u64) -> CancelOutcome {
        let mut state = self.0.state.borrow_mut();
        let Some(index) = state.queue.iter().position(|message| message.number == number) else {
            return CancelOutcome::AlreadyWritten;
        };
        if index == 0 && state.begun_bytes > 0 {
            return CancelOutcome::PartlyWritten;
        }
        if let Some(message) = state.queue.remove(index) {
            state.bytes -= message.bytes.len();
        }
        CancelOutcome::Removed
    }

    /// Asks for the connection to be closed. A harsher mode that was asked for before stays.
    pub fn close(&self, mode: CloseMode) {
        let mut state = self.0.state.borrow_mut();
        state.close_mode = state.close_mode.max(Some(mode));
        self.0.changed.notify_one();
    }

    /// How the connection is to be closed; `None` while it is to stay open.
    pub fn close_mode(&self) -> Option<CloseMode> {
        self.0.state.borrow().close_mode
    }

    /// Withdraws an eviction, if there is one, since something arrived on the connection.
    pub fn cancel_eviction(&self) {
        let mut state = self.0.state.borrow_mut();
        state.close_mode = state.close_mode.filter(|mode| *mode != CloseMode::IfIdle);
    }

    /// Waits until a message was queued, or the close mode was set.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Counts a message that was read and goes to the owner.
    pub fn note_received(&self) {
        self.0.unprocessed.set(self.0.unprocessed.get() + 1);
    }

    /// Counts a message as processed by the owner.
    pub fn note_processed(&self) {
        self.0.unprocessed.set(self.0.unprocessed.get().saturating_sub(1));
        // Only a connection that is being closed waits for that.
        if self.close_mode().is_some() {
            self.0.changed.notify_one();
        }
    }

    /// Messages read from the connection that the owner has not processed.
    pub fn unprocessed(&self) -> usize {
        self.0.unprocessed.get()
    }

    /// Writes what the socket takes, dropping messages whose last moment has passed.
    ///
    /// # Errors
    /// What `write` returns, but for `WouldBlock`.
    pub fn write(
        &self,
        now: Nanos,
        write: impl FnOnce(&[u8]) -> io::Result<usize>,
    ) -> io::Result<WriteProgress> {
        let mut state = self.0.state.borrow_mut();
        let is_expired = |message: &OutgoingMessage| message.not_after_ns.is_some_and(|at| now > at);
        if state.begun_bytes > 0 && state.queue.front().is_some_and(is_expired) {
            return Ok(WriteProgress { expired: Vec::new(), is_expired_in_writing: true });
        }
        let expired = state.remove_expired(is_expired);
        let staged = state.stage();
        if staged.len() > state.begun_bytes {
            let count = match write(&staged[state.begun_bytes..]) {
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
                Err(e) => return Err(e),
            };
            state.note_written(count);
        }
        Ok(WriteProgress { expired, is_expired_in_writing: false })
    }

    /// Of the messages given, so many may have left, at least in part.
    pub fn written(&self) -> u64 {
        self.0.state.borrow().written
    }

    /// Empties the queue and returns what may still go out as the connection closes: the rest of a partly written
    /// message, and messages without a last moment. One with a last moment never does, and nothing can follow one
    /// that is partly written.
    pub fn take_final_bytes(&self) -> Vec<u8> {
        let mut state = self.0.state.borrow_mut();
        let begun_bytes = std::mem::take(&mut state.begun_bytes);
        let queue = std::mem::take(&mut state.queue);
        state.bytes = 0;
        if begun_bytes > 0 && queue.front().is_some_and(|first| first.not_after_ns.is_some()) {
            return Vec::new();
        }
        let unlimited = queue.into_iter().filter(|message| message.not_after_ns.is_none());
        unlimited.flat_map(|message| message.bytes).skip(begun_bytes).collect()
    }

    /// Empties the queue and returns the messages that have not completely left.
    pub fn take_unwritten(&self) -> Vec<Vec<u8>> {
        let mut state = self.0.state.borrow_mut();
        (state.begun_bytes, state.bytes) = (0, 0);
        std::mem::take(&mut state.queue).into_iter().map(|message| message.bytes).collect()
    }
}

impl State {
    /// Drops expired messages; their numbers.
    fn remove_expired(&mut self, is_expired: impl Fn(&OutgoingMessage) -> bool) -> Vec<u64> {
        let mut expired = Vec::new();
        self.queue.retain(|message| {
            let is_dropped = is_expired(message);
            expired.extend(is_dropped.then_some(message.number));
            !is_dropped
        });
        self.bytes = self.queue.iter().map(|message| message.bytes.len()).sum();
        expired
    }

    /// The front of the queue as one buffer, of [`WRITE_BYTES`] and a message at most.
    fn stage(&self) -> Vec<u8> {
        let mut staged = Vec::new();
        for message in &self.queue {
            staged.extend_from_slice(&message.bytes);
            if staged.len() >= WRITE_BYTES + self.begun_bytes {
                break;
            }
        }
        staged
    }

    /// Removes what `count` written bytes complete.
    fn note_written(&mut self, mut count: usize) {
        while count > 0 {
            let Some(first) = self.queue.front() else { break };
            let (number, remaining) = (first.number, first.bytes.len() - self.begun_bytes);
            self.written = number + 1;
            if count < remaining {
                self.begun_bytes += count;
                break;
            }
            count -= remaining;
            self.begun_bytes = 0;
            self.bytes -= self.queue.pop_front().map_or(0, |message| message.bytes.len());
        }
    }
}
