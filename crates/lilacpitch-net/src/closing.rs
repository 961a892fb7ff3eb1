//! Connections that have ended for their owner and still flush their last bytes.
//!
//! Closing a socket with unread input resets it, and the other end may lose what it was just sent. So the last bytes
//! are written, and input is discarded until the other end closes. [`DrainQuota`] bounds how many do so at a time.

use crate::connection::READ_BYTES;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long the other end may take to read the last bytes and to close.
const LINGER: Duration = Duration::from_millis(300);

/// How many connections may drain at a time.
#[derive(Debug)]
pub struct DrainQuota {
    used: Cell<usize>,
    limit: usize,
}

impl DrainQuota {
    /// A quota of `limit` connections.
    pub fn new(limit: usize) -> Self {
        DrainQuota { used: Cell::new(0), limit }
    }

    /// Takes a slot, if one is free.
    fn acquire(self: &Rc<Self>) -> Option<DrainSlot> {
        if self.used.get() >= self.limit {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DrainSlot(self.clone()))
    }
}

/// A slot of the quota, given back when dropped.
struct DrainSlot(Rc<DrainQuota>);

impl Drop for DrainSlot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}

/// A connection that has ended for its owner, with the bytes that the other end is still to read.
pub struct ClosingConnection {
    pub(crate) stream: TcpStream,
    /// What is still to be written.
    pub(crate) bytes: Vec<u8>,
    /// Whether the other end is there to read it.
    pub(crate) is_flushed: bool,
}

impl ClosingConnection {
    /// Writes what is left and waits for the other end to close, for [`LINGER`] at most. With the quota used up,
    /// writes what the socket takes and closes at once.
    pub async fn drain(mut self, quota: &Rc<DrainQuota>) {
        if !self.is_flushed {
            return;
        }
        let Some(_slot) = quota.acquire() else {
            let _ = self.stream.try_write(&self.bytes);
            while discard_input(&self.stream).is_ok_and(|count| count > 0) {}
            return;
        };
        let _ = tokio::time::timeout(LINGER, self.flush()).await;
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.bytes).await?;
        self.stream.shutdown().await?;
        while !matches!(discard_input(&self.stream), Ok(0)) {
            self.stream.readable().await?;
        }
        Ok(())
    }
}

/// Reads and discards what is there; 0 once the other end has closed or the socket has failed.
fn discard_input(stream: &TcpStream) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    match stream.try_read(&mut buffer) {
        Err(e) if e.kind() != io::ErrorKind::WouldBlock => Ok(0),
        other => other,
    }
}
