//! The queue of outgoing messages of one connection. A message can be cancelled until its first byte is
//! written.
//!
//! The owner queues and cancels messages, and the connection's task writes them. Both run on one thread, so a
//! message is always in exactly one of three states: unwritten, partly written or completely written.

use crate::queued_bytes::{Charge, QueuedBytes};
use lilacpitch::interface::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;

/// About how many bytes are passed to a socket by one write.
const WRITE_BYTES: usize = 16 * 1024;

/// An encoded message to write.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// Its number among the connection's outgoing messages.
    pub number: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
    /// Its deadline: it is not written after this time. `None` for no deadline.
    pub not_after_ns: Option<Nanos>,
    /// By when it must be completely written: the connection ends if it is not, and the owner is told when it
    /// is. `None` for any time.
    pub write_by_ns: Option<Nanos>,
}

/// How a connection is to be closed, in ascending order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// Evict it: close it only if nothing has arrived that its owner has not processed.
    IfIdle,
    /// Close it once all messages that have arrived are answered, and the answers are written.
    AfterAnswers,
    /// Close it once the queue is written.
    AfterFlush,
    /// Close it once the queue is written, and discard what has arrived.
    DiscardInput,
    /// Close it at once and discard the queue.
    Immediately,
}

/// The result of cancelling a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It was unwritten, and is removed from the queue.
    Removed,
    /// It was partly written: only closing the connection stops the remaining bytes.
    PartlyWritten,
    /// It is no longer in the queue: it was completely written.
    AlreadyWritten,
}

/// The size of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSize {
    /// Number of messages, including a partly written one.
    pub messages: usize,
    /// Number of bytes still to be written.
    pub bytes: usize,
}

/// The result of one call of [`Outbox::write`].
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Number of bytes that the socket accepted.
    pub accepted_bytes: usize,
    /// Numbers of the messages that were dropped unwritten because their deadline had passed.
    pub expired: Vec<u64>,
    /// Numbers of the messages that are now completely written, of those whose owner is told.
    pub reported: Vec<u64>,
    /// Whether the deadline of a partly written message has passed, so that it must not be completed.
    pub is_partial_expired: bool,
}

/// The last bytes for the peer of a connection that is closing.
#[derive(Debug, Default)]
pub(crate) struct FinalBytes {
    pub(crate) bytes: Vec<u8>,
    /// Keeps the bytes in the sum of their group.
    _charge: Charge,
}

#[derive(Debug, Default)]
struct State {
    queue: VecDeque<OutgoingMessage>,
    /// Number of bytes of the first message that are written.
    first_written_bytes: usize,
    /// Size of all messages in the queue, in bytes.
    queued_bytes: Charge,
    /// One more than the number of the last message that was written at least in part.
    written: u64,
    /// When the messages in the queue that have a time by which they must be written are due, oldest first.
    write_by: VecDeque<Nanos>,
    close_mode: Option<CloseMode>,
}

/// The queue of outgoing messages of one connection, shared by its owner and its task.
#[derive(Debug, Clone, Default)]
pub struct Outbox(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: RefCell<State>,
    /// Number of messages read from the connection, and of reports of an empty queue, that its owner has not
    /// processed.
    unprocessed: Cell<usize>,
    /// Whether messages that were read are being delivered, some of which may not be decoded yet.
    is_delivering: Cell<bool>,
    /// Whether the owner is to be told when the queue is empty.
    must_report_empty: Cell<bool>,
    /// Notified when a message is queued, the close mode is set, or a closing connection has processed a
    /// message.
    changed: Notify,
}

impl Outbox {
    /// Creates an empty queue whose bytes are counted in the sum of a group.
    pub fn counted_in(total: &QueuedBytes) -> Outbox {
        let state = State { queued_bytes: total.charge(), ..State::default() };
        Outbox(Rc::new(Shared { state: RefCell::new(state), ..Shared::default() }))
    }

    /// Queues a message.
    pub fn push(&self, message: OutgoingMessage) {
        let mut state = self.0.state.borrow_mut();
        state.queued_bytes.add(message.bytes.len());
        state.write_by.extend(message.write_by_ns);
        state.queue.push_back(message);
        self.0.changed.notify_one();
    }

    /// Returns the size of the queue.
    pub fn queued(&self) -> QueueSize {
        let state = self.0.state.borrow();
        QueueSize { messages: state.queue.len(), bytes: state.queued_bytes.get() - state.first_written_bytes }
    }

    /// Returns by when the first message that has such a time must be completely written.
    pub fn write_by(&self) -> Option<Nanos> {
        self.0.state.borrow().write_by.front().copied()
    }

    /// Cancels a message, unless some of it is written. Not for one that must be written by some time.
    pub fn cancel(&self, number: u64) -> CancelOutcome {
        let mut state = self.0.state.borrow_mut();
        let Some(index) = state.queue.iter().position(|message| message.number == number) else {
            return CancelOutcome::AlreadyWritten;
        };
        if index == 0 && state.first_written_bytes > 0 {
            return CancelOutcome::PartlyWritten;
        }
        if let Some(message) = state.queue.remove(index) {
            state.queued_bytes.remove(message.bytes.len());
        }
        CancelOutcome::Removed
    }

    /// Requests that the connection be closed. A mode of higher precedence that was requested before stays in
    /// effect.
    pub fn close(&self, mode: CloseMode) {
        let mut state = self.0.state.borrow_mut();
        state.close_mode = state.close_mode.max(Some(mode));
        self.0.changed.notify_one();
    }

    /// Returns how the connection is to be closed; `None` while it is to stay open.
    pub fn close_mode(&self) -> Option<CloseMode> {
        self.0.state.borrow().close_mode
    }

    /// Cancels an eviction, if one was requested, because something arrived on the connection.
    pub fn cancel_eviction(&self) {
        let mut state = self.0.state.borrow_mut();
        state.close_mode = state.close_mode.filter(|mode| *mode != CloseMode::IfIdle);
    }

    /// Waits until a message is queued, the close mode is set, or a connection that is being closed has
    /// processed a message.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Counts a message as read and not yet processed by the owner.
    pub fn record_received(&self) {
        self.0.unprocessed.set(self.0.unprocessed.get() + 1);
    }

    /// Counts a message as processed by the owner.
    pub fn record_processed(&self) {
        self.0.unprocessed.set(self.0.unprocessed.get().saturating_sub(1));
        // Only a connection that is being closed waits for this.
        if self.close_mode().is_some() {
            self.0.changed.notify_one();
        }
    }

    /// Requests one [`Drained`](crate::ConnectionEvent::Drained) event once all messages queued so far, and
    /// any that follow them, are written.
    pub fn report_when_empty(&self) {
        self.0.must_report_empty.set(true);
    }

    /// Whether an empty queue is to be reported and has not been.
    pub(crate) fn is_empty_report_pending(&self) -> bool {
        self.0.must_report_empty.get()
    }

    /// Returns whether an empty queue is to be reported now, and counts the report as unprocessed.
    pub(crate) fn take_empty_report(&self) -> bool {
        let is_due = self.0.must_report_empty.get() && self.0.state.borrow().queue.is_empty();
        if is_due {
            self.0.must_report_empty.set(false);
            self.record_received();
        }
        is_due
    }

    /// Records whether messages that were read are being delivered, some of which may not be decoded yet.
    pub(crate) fn set_delivering(&self, is_delivering: bool) {
        self.0.is_delivering.set(is_delivering);
    }

    /// Returns the number of messages decoded, and of reports of an empty queue, that the owner has not
    /// processed; at least 1 while messages that were read are being delivered.
    pub fn unprocessed(&self) -> usize {
        self.0.unprocessed.get().max(usize::from(self.0.is_delivering.get()))
    }

    /// Writes as much as the socket accepts, and drops unwritten messages whose deadline has passed.
    ///
    /// # Errors
    /// Returns the error of `write`, except `WouldBlock`, which counts as nothing written.
    pub fn write(
        &self,
        now: Nanos,
        write: impl FnOnce(&[u8]) -> io::Result<usize>,
    ) -> io::Result<WriteProgress> {
        let mut state = self.0.state.borrow_mut();
        let is_expired =
            |message: &OutgoingMessage| message.not_after_ns.is_some_and(|deadline| now > deadline);
        if state.first_written_bytes > 0 && state.queue.front().is_some_and(is_expired) {
            return Ok(WriteProgress { is_partial_expired: true, ..WriteProgress::default() });
        }
        let expired = state.remove_expired(is_expired);
        let buffer = state.write_buffer();
        let (mut accepted_bytes, mut reported) = (0, Vec::new());
        if buffer.len() > state.first_written_bytes {
            accepted_bytes = match write(&buffer[state.first_written_bytes..]) {
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
                Err(e) => return Err(e),
            };
            reported = state.remove_written(accepted_bytes);
        }
        Ok(WriteProgress { accepted_bytes, expired, reported, is_partial_expired: false })
    }

    /// Returns how many of the connection's messages are written, at least in part.
    pub fn written(&self) -> u64 {
        self.0.state.borrow().written
    }

    /// Empties the queue and returns what may still be written while the connection closes: the remainder of
    /// a partly written message, and messages without a deadline. A message with a deadline is never
    /// completed, so nothing can follow one that is partly written. They stay counted while they are held.
    pub(crate) fn take_final_bytes(&self) -> FinalBytes {
        let mut state = self.0.state.borrow_mut();
        let first_written_bytes = std::mem::take(&mut state.first_written_bytes);
        let queue = std::mem::take(&mut state.queue);
        state.write_by.clear();
        let charge = state.queued_bytes.take();
        if first_written_bytes > 0 && queue.front().is_some_and(|first| first.not_after_ns.is_some()) {
            return FinalBytes::default();
        }
        let without_deadline = queue.into_iter().filter(|message| message.not_after_ns.is_none());
        let bytes = without_deadline.flat_map(|message| message.bytes).skip(first_written_bytes).collect();
        FinalBytes { bytes, _charge: charge }
    }

    /// Empties the queue and returns the messages that are not completely written.
    pub fn take_unwritten(&self) -> Vec<OutgoingMessage> {
        let mut state = self.0.state.borrow_mut();
        state.first_written_bytes = 0;
        state.queued_bytes.set(0);
        state.write_by.clear();
        std::mem::take(&mut state.queue).into()
    }
}

impl State {
    /// Drops expired messages and returns their numbers.
    fn remove_expired(&mut self, is_expired: impl Fn(&OutgoingMessage) -> bool) -> Vec<u64> {
        let mut expired = Vec::new();
        self.queue.retain(|message| {
            let is_dropped = is_expired(message);
            expired.extend(is_dropped.then_some(message.number));
            !is_dropped
        });
        if !expired.is_empty() {
            self.queued_bytes.set(self.queue.iter().map(|message| message.bytes.len()).sum());
        }
        expired
    }

    /// Returns the front of the queue as one buffer, of at most [`WRITE_BYTES`] plus one message.
    fn write_buffer(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        for message in &self.queue {
            buffer.extend_from_slice(&message.bytes);
            if buffer.len() >= WRITE_BYTES + self.first_written_bytes {
                break;
            }
        }
        buffer
    }

    /// Records `count` more bytes as written, and removes the messages that they complete. Returns the numbers
    /// of those whose owner is told.
    fn remove_written(&mut self, mut count: usize) -> Vec<u64> {
        let mut reported = Vec::new();
        while count > 0 {
            let Some(first) = self.queue.front() else { break };
            let (number, remaining) = (first.number, first.bytes.len() - self.first_written_bytes);
            self.written = number + 1;
            if count < remaining {
                self.first_written_bytes += count;
                break;
            }
            count -= remaining;
            self.first_written_bytes = 0;
            let Some(message) = self.queue.pop_front() else { break };
            self.queued_bytes.remove(message.bytes.len());
            if message.write_by_ns.is_some() {
                self.write_by.pop_front();
                reported.push(message.number);
            }
        }
        reported
    }
}
