//! What waits to be written on one connection, and what may still be taken back.
//!
//! The driver puts messages in and takes them back; the connection's task writes them. Both run on one thread, so
//! that a message is in exactly one of three states at any moment: no byte of it has left, some have, all have.

use lilacpitch::interface::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes offered to a socket at once.
const WRITE_BYTES: usize = 16 * 1024;

/// A message to write.
#[derive(Debug)]
pub struct Outgoing {
    /// Its number among the connection's messages.
    pub number: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Not to be written after this moment.
    pub not_after_ns: Option<Nanos>,
}

/// How a connection is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Unless something came on it that was not seen yet.
    Evict,
    /// Once all that came on it by now is answered, and written.
    Finish,
    /// Once what waits is written.
    Done,
    /// At once.
    Now,
}

/// What became of a message that was to be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakenBack {
    /// No byte of it had left, and none will.
    Whole,
    /// Some bytes had left: only the connection's end keeps the rest back.
    Begun,
    /// All had left.
    TooLate,
}

/// What one round of writing did.
#[derive(Debug, Default)]
pub struct Wrote {
    /// Messages that were too old to be written, by their numbers.
    pub too_old: Vec<u64>,
    /// The message under way is too old, and can't be finished.
    pub stuck: bool,
}

#[derive(Debug, Default)]
struct State {
    queue: VecDeque<Outgoing>,
    /// Of the first message, so many bytes have left.
    begun_bytes: usize,
    bytes: usize,
    /// Messages of which a byte has left, by their numbers: all below this.
    written: u64,
    end: Option<End>,
}

/// The messages that wait for one connection, and how it is to end.
#[derive(Debug, Clone, Default)]
pub struct Outbox(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: RefCell<State>,
    /// Messages read from the connection that the driver has not taken yet.
    pending: Cell<usize>,
    changed: Notify,
}

impl Outbox {
    /// Puts a message at the end.
    pub fn push(&self, message: Outgoing) {
        let mut state = self.0.state.borrow_mut();
        state.bytes += message.bytes.len();
        state.queue.push_back(message);
        self.0.changed.notify_one();
    }

    /// Messages and bytes that wait.
    pub fn waiting(&self) -> (usize, usize) {
        let state = self.0.state.borrow();
        (state.queue.len(), state.bytes - state.begun_bytes)
    }

    /// Takes a message back, if no byte of it has left.
    pub fn take_back(&self, number: u64) -> TakenBack {
        let mut state = self.0.state.borrow_mut();
        let Some(at) = state.queue.iter().position(|message| message.number == number) else {
            return TakenBack::TooLate;
        };
        if at == 0 && state.begun_bytes > 0 {
            return TakenBack::Begun;
        }
        if let Some(message) = state.queue.remove(at) {
            state.bytes -= message.bytes.len();
        }
        TakenBack::Whole
    }

    /// Says how the connection is to end. What was said before counts where it is harsher.
    pub fn end(&self, end: End) {
        let mut state = self.0.state.borrow_mut();
        let rank = |end| [End::Evict, End::Finish, End::Done, End::Now].iter().position(|e| *e == end);
        if state.end.is_none_or(|before| rank(before) < rank(end)) {
            state.end = Some(end);
        }
        self.0.changed.notify_one();
    }

    /// How the connection is to end, if it is.
    pub fn ending(&self) -> Option<End> {
        self.0.state.borrow().end
    }

    /// Takes an eviction back, if there is one, since something came on the connection.
    pub fn keep(&self) {
        let mut state = self.0.state.borrow_mut();
        state.end = state.end.filter(|end| *end != End::Evict);
    }

    /// Waits until something was put in, or the end was said.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// A message that was read is handed to the driver.
    pub fn handed_on(&self) {
        self.0.pending.set(self.0.pending.get() + 1);
    }

    /// The driver has taken one.
    pub fn taken(&self) {
        self.0.pending.set(self.0.pending.get().saturating_sub(1));
        // Only a connection that is to end waits for that.
        if self.ending().is_some() {
            self.0.changed.notify_one();
        }
    }

    /// Messages read from the connection that the driver has not taken yet.
    pub fn pending(&self) -> usize {
        self.0.pending.get()
    }

    /// Writes what the socket takes, leaving out what has become too old.
    pub fn write(&self, now: Nanos, write: impl FnOnce(&[u8]) -> io::Result<usize>) -> io::Result<Wrote> {
        let mut state = self.0.state.borrow_mut();
        let mut wrote = Wrote::default();
        let old = |message: &Outgoing| message.not_after_ns.is_some_and(|at| now > at);
        if state.begun_bytes > 0 && state.queue.front().is_some_and(old) {
            wrote.stuck = true;
            return Ok(wrote);
        }
        state.queue.retain(|message| {
            let out = old(message);
            wrote.too_old.extend(out.then_some(message.number));
            !out
        });
        state.bytes = state.queue.iter().map(|message| message.bytes.len()).sum();
        let mut staged = Vec::new();
        for message in &state.queue {
            staged.extend_from_slice(&message.bytes);
            if staged.len() >= WRITE_BYTES + state.begun_bytes {
                break;
            }
        }
        if staged.len() > state.begun_bytes {
            let mut left = match write(&staged[state.begun_bytes..]) {
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
                Err(e) => return Err(e),
            };
            while left > 0 {
                let Some(first) = state.queue.front() else { break };
                let (number, rest) = (first.number, first.bytes.len() - state.begun_bytes);
                state.written = number + 1;
                if left < rest {
                    state.begun_bytes += left;
                    break;
                }
                left -= rest;
                state.begun_bytes = 0;
                state.bytes -= state.queue.pop_front().map_or(0, |message| message.bytes.len());
            }
        }
        Ok(wrote)
    }

    /// Of the messages given, so many may have left, at least in part.
    pub fn written(&self) -> u64 {
        self.0.state.borrow().written
    }

    /// Takes out what may still go out at the end: the rest of what has begun, and what has no last moment. A set-up
    /// never does, and behind one that was half written nothing can.
    pub fn last_bytes(&self) -> Vec<u8> {
        let mut state = self.0.state.borrow_mut();
        let begun = std::mem::take(&mut state.begun_bytes);
        let queue = std::mem::take(&mut state.queue);
        state.bytes = 0;
        if begun > 0 && queue.front().is_some_and(|first| first.not_after_ns.is_some()) {
            return Vec::new();
        }
        let last = queue.into_iter().filter(|message| message.not_after_ns.is_none());
        last.flat_map(|message| message.bytes).skip(begun).collect()
    }

    /// Takes out all that has not wholly left.
    pub fn unwritten(&self) -> Vec<Vec<u8>> {
        let mut state = self.0.state.borrow_mut();
        (state.begun_bytes, state.bytes) = (0, 0);
        std::mem::take(&mut state.queue).into_iter().map(|message| message.bytes).collect()
    }
}
