//! Connections whose end was reported to their owner and that still flush their last bytes.
//!
//! Closing a socket with unread input resets the connection, and the peer may lose what it was just sent. So
//! the last bytes are written, and input is discarded until the peer closes. [`DrainQuota`] limits how many
//! connections do so at a time.

use crate::connection::READ_BYTES;
use crate::outbox::FinalBytes;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long the peer may take to read the last bytes and to close.
const LINGER: Duration = Duration::from_millis(300);

/// Limits how many connections may drain at a time.
#[derive(Debug)]
pub struct DrainQuota {
    used: Cell<usize>,
    limit: usize,
}

impl DrainQuota {
    /// Creates a quota of `limit` connections.
    pub fn new(limit: usize) -> Self {
        DrainQuota { used: Cell::new(0), limit }
    }

    /// Acquires a slot, if one is free.
    fn acquire(self: &Rc<Self>) -> Option<DrainSlot> {
        if self.used.get() >= self.limit {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DrainSlot(self.clone()))
    }
}

/// A slot of the quota, released when dropped.
struct DrainSlot(Rc<DrainQuota>);

impl Drop for DrainSlot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}

/// A connection whose end was reported to its owner, with the last bytes for its peer.
pub struct ClosingConnection {
    pub(crate) stream: TcpStream,
    /// The bytes that are still to be written.
    pub(crate) unwritten: FinalBytes,
    /// Whether `unwritten` is to be written; else the socket is closed at once.
    pub(crate) must_flush: bool,
}

impl ClosingConnection {
    /// Writes the remaining bytes and waits for the peer to close, for a limited time. If the quota is used
    /// up, writes what the socket accepts and closes at once.
    pub async fn drain(mut self, quota: &Rc<DrainQuota>) {
        if !self.must_flush {
            return;
        }
        let Some(_slot) = quota.acquire() else {
            let _ = self.stream.try_write(&self.unwritten.bytes);
            while discard_input(&self.stream).is_ok_and(|count| count > 0) {}
            return;
        };
        let _ = tokio::time::timeout(LINGER, self.flush()).await;
    }

    /// Writes the remaining bytes, closes the sending side, and discards input until the peer closes.
    async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.unwritten.bytes).await?;
        self.stream.shutdown().await?;
        while !matches!(discard_input(&self.stream), Ok(0)) {
            self.stream.readable().await?;
        }
        Ok(())
    }
}

/// Reads and discards available input. Returns 0 once the peer has closed or the socket has failed, and a
/// `WouldBlock` error while nothing has arrived.
fn discard_input(stream: &TcpStream) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    match stream.try_read(&mut buffer) {
        Err(e) if e.kind() != io::ErrorKind::WouldBlock => Ok(0),
        result => result,
    }
}
