//! One TCP connection: bytes to messages and messages to bytes, in one task that owns the socket.
//!
//! The owner holds the connection's [`Outbox`] and gets a [`ConnectionEvent`] for each message. When the connection
//! has ended for its owner, a [`ClosingConnection`] still flushes the last bytes, so that a close does not discard
//! them at the other end.

use crate::clock::Clock;
use crate::closing::ClosingConnection;
use crate::outbox::{CloseMode, Outbox};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most bytes taken from a socket by one read.
pub(crate) const READ_BYTES: usize = 16 * 1024;
/// While messages wait for the owner, the socket is checked this often for a close by the other end.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the runtime to show what has already arrived, on the first check of a connection that is to finish.
const ARRIVAL_GRACE: Duration = Duration::from_millis(2);

/// Turns the bytes of a stream into messages.
pub trait Codec {
    /// A complete message.
    type Message;
    /// Why the stream can't be read on.
    type Error: std::error::Error;
    /// Appends bytes read from the stream.
    fn feed(&mut self, bytes: &[u8]);
    /// Returns the next complete message, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// Bytes that are no message of the protocol; the connection is to be closed.
    fn next_message(&mut self) -> Result<Option<Self::Message>, Self::Error>;
    /// Whether a message has begun and is incomplete.
    fn has_partial_message(&self) -> bool;
    /// The last bytes to send to a peer that caused this error, if any.
    fn final_response(error: &Self::Error) -> Option<Vec<u8>>;
    /// Removes messages that others of the same batch, read together, have cancelled.
    fn remove_cancelled(_batch: &mut Vec<Self::Message>) {}
}

/// What a connection reports to its owner while it is open.
pub enum ConnectionEvent<M> {
    /// A message arrived.
    Message(M),
    /// The outgoing message with this number was dropped unwritten: its last moment had passed.
    MessageDropped(u64),
}

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum EndReason<E> {
    /// The owner closed it at once.
    #[error("cut off")]
    CutOff,
    /// The owner closed it with its queue flushed.
    #[error("done")]
    Flushed,
    /// The owner evicted it, and nothing had arrived.
    #[error("evicted")]
    Evicted,
    /// The owner closed it, and all that had arrived is answered.
    #[error("finished")]
    Finished,
    /// The other end took too long over a message.
    #[error("no whole message in time")]
    ReadTimeout,
    /// The other end closed.
    #[error("closed by the other end")]
    ClosedByPeer,
    /// Reading failed.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// Writing failed.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// A message was partly written at its last moment: only the connection's end keeps the rest back.
    #[error("writing: a message was half written when its time was over")]
    ExpiredInWriting,
    /// What arrived is not of the agreed form.
    #[error("{0}")]
    Malformed(E),
    /// The owner takes no more events.
    #[error("nobody listens")]
    OwnerStopped,
}

/// How a connection ended.
#[derive(Debug)]
pub struct ConnectionEnd<E> {
    /// Of the messages given to the connection, so many may have left, at least in part.
    pub written: u64,
    /// Why it ended.
    pub reason: EndReason<E>,
}

/// An open connection, and what it needs to run.
pub struct Connection<C> {
    /// The socket.
    pub stream: TcpStream,
    /// Decodes what arrives.
    pub codec: C,
    /// Measures the last moments of outgoing messages.
    pub clock: Clock,
    /// Limit for the first message to be complete, and for each that has begun; `None` for no limit.
    pub read_timeout: Option<Duration>,
    /// Messages to write, and how to close.
    pub outbox: Outbox,
}

/// Whether the other end has closed, and whom to notify.
struct PeerState<F> {
    has_closed: bool,
    on_disconnect: F,
}

impl<F: Fn()> PeerState<F> {
    /// Notifies the owner of a close, the first time.
    fn note_closed(&mut self) {
        if !self.has_closed {
            self.has_closed = true;
            (self.on_disconnect)();
        }
    }
}

/// What one wait for the socket, the outbox and the read deadline brought.
enum Step<E> {
    /// Nothing to process: wait again.
    Continue,
    /// Bytes went into the codec, or the read failed.
    Read(io::Result<usize>),
    /// The connection ends.
    End(EndReason<E>),
}

impl<C: Codec> Connection<C> {
    /// Carries messages both ways until the connection ends or its outbox closes it. While `on_event` is pending,
    /// nothing more is read; `false` from it ends the connection. `on_disconnect` is called as soon as the other end
    /// has closed, though what it sent before may still be to be delivered, and again at the end.
    pub async fn run(
        mut self,
        on_disconnect: impl Fn(),
        mut on_event: impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> (ConnectionEnd<C::Error>, ClosingConnection) {
        let _ = self.stream.set_nodelay(true);
        let mut peer = PeerState { has_closed: false, on_disconnect };
        let reason = self.run_until_end(&mut peer, &mut on_event).await;
        if peer.has_closed {
            (peer.on_disconnect)();
        }
        self.end(reason, peer.has_closed)
    }

    async fn run_until_end(
        &mut self,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> EndReason<C::Error> {
        let mut read_deadline = self.read_timeout.map(|timeout| Instant::now() + timeout);
        loop {
            let step = match self.outbox.close_mode() {
                Some(CloseMode::Immediately) => return EndReason::CutOff,
                Some(CloseMode::AfterFlush) => return EndReason::Flushed,
                Some(CloseMode::IfIdle) => self.step_to_eviction(on_event).await,
                Some(CloseMode::AfterAnswers) => self.step_to_finish(on_event).await,
                None => self.step(read_deadline, peer, on_event).await,
            };
            match step {
                Step::Continue => continue,
                Step::End(reason) => return reason,
                Step::Read(Ok(1..)) => {}
                Step::Read(Ok(0)) => {
                    peer.has_closed = true;
                    return EndReason::ClosedByPeer;
                }
                Step::Read(Err(error)) => {
                    peer.has_closed = true;
                    return EndReason::Read(error);
                }
            }
            match self.deliver_messages(peer, on_event).await {
                Ok(count) => self.update_read_deadline(&mut read_deadline, count),
                Err(reason) => return reason,
            }
        }
    }

    /// Waits for one thing to happen on a connection that is to stay open.
    async fn step(
        &mut self,
        read_deadline: Option<Instant>,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let has_output = self.outbox.queued().messages > 0;
        tokio::select! {
            ready = self.stream.ready(Interest::READABLE) => {
                let read = ready.and_then(|ready| {
                    if ready.is_read_closed() {
                        peer.note_closed();
                    }
                    self.read()
                });
                match read {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => Step::Continue,
                    read => Step::Read(read),
                }
            }
            ready = self.stream.writable(), if has_output => self.write(ready, on_event).await,
            () = self.outbox.changed() => Step::Continue,
            () = sleep_until(read_deadline), if read_deadline.is_some() => {
                // After a stall of this process the message may be there, in time and unread.
                tokio::task::yield_now().await;
                match self.read() {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => Step::End(EndReason::ReadTimeout),
                    read => Step::Read(read),
                }
            }
        }
    }

    /// Reads what has arrived by now on a connection that is to be evicted, and ends it where that is nothing.
    async fn step_to_eviction(
        &mut self,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let has_output = self.outbox.queued().messages > 0;
        // The runtime looks at the socket meanwhile.
        tokio::task::yield_now().await;
        self.read_arrived(has_output, EndReason::Evicted, on_event).await
    }

    /// Reads what has arrived by now on a connection that is to finish, and ends it once all of that is answered.
    async fn step_to_finish(
        &mut self,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let has_output = self.outbox.queued().messages > 0;
        let _ = tokio::time::timeout(ARRIVAL_GRACE, self.stream.readable()).await;
        self.read_arrived(has_output, EndReason::Finished, on_event).await
    }

    /// Reads without waiting. Where nothing has arrived, the connection ends with `reason`, or waits while its owner
    /// has messages to process or some are still to be written.
    async fn read_arrived(
        &mut self,
        has_output: bool,
        reason: EndReason<C::Error>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        match self.read() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return Step::Read(read),
        }
        if self.outbox.unprocessed() == 0 && !has_output {
            return Step::End(reason);
        }
        tokio::select! {
            () = self.outbox.changed() => Step::Continue,
            ready = self.stream.writable(), if has_output => self.write(ready, on_event).await,
        }
    }

    /// Delivers all complete messages; their count, or why the connection ends.
    async fn deliver_messages(
        &mut self,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Result<usize, EndReason<C::Error>> {
        let (batch, error) = self.decode_batch();
        let count = batch.len();
        if count > 0 {
            self.outbox.cancel_eviction();
        }
        let is_owner_listening = self.deliver_batch(batch, peer, on_event).await;
        match error {
            Some(error) => Err(EndReason::Malformed(error)),
            None if !is_owner_listening => Err(EndReason::OwnerStopped),
            None => Ok(count),
        }
    }

    /// Decodes all complete messages, up to the first error.
    fn decode_batch(&mut self) -> (Vec<C::Message>, Option<C::Error>) {
        let mut batch = Vec::new();
        let error = loop {
            match self.codec.next_message() {
                Ok(Some(message)) => batch.push(message),
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        C::remove_cancelled(&mut batch);
        (batch, error)
    }

    /// Delivers messages one by one, watching for a close by the other end; `false` once the owner takes no more.
    async fn deliver_batch(
        &self,
        batch: Vec<C::Message>,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> bool {
        // All at once: what is read and waits here counts as unprocessed.
        batch.iter().for_each(|_| self.outbox.note_received());
        for message in batch {
            let mut delivery = std::pin::pin!(on_event(ConnectionEvent::Message(message)));
            let is_owner_listening = loop {
                tokio::select! {
                    biased;
                    is_owner_listening = &mut delivery => break is_owner_listening,
                    () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !peer.has_closed => {
                        if is_read_closed(&self.stream).await {
                            peer.note_closed();
                        }
                    }
                }
            };
            if !is_owner_listening {
                return false;
            }
        }
        true
    }

    /// Sets the deadline anew after a read that completed `count` messages.
    fn update_read_deadline(&self, deadline: &mut Option<Instant>, count: usize) {
        let Some(timeout) = self.read_timeout else { return };
        let has_partial = self.codec.has_partial_message();
        if count > 0 {
            // A complete message shows good will; what has begun since is timed anew.
            *deadline = has_partial.then(|| Instant::now() + timeout);
        } else if has_partial && deadline.is_none() {
            *deadline = Some(Instant::now() + timeout);
        }
    }

    /// Reads what is there into the codec. The buffer is not kept while a connection waits.
    fn read(&mut self) -> io::Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let count = self.stream.try_read(&mut buffer)?;
        self.codec.feed(&buffer[..count]);
        Ok(count)
    }

    /// Writes what the socket takes, and reports messages that were dropped.
    async fn write(
        &self,
        ready: io::Result<()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let now = self.clock.now();
        let progress = ready.and_then(|()| self.outbox.write(now, |bytes| self.stream.try_write(bytes)));
        match progress {
            Ok(progress) if progress.is_expired_in_writing => Step::End(EndReason::ExpiredInWriting),
            Ok(progress) => {
                for number in progress.expired {
                    on_event(ConnectionEvent::MessageDropped(number)).await;
                }
                Step::Continue
            }
            Err(error) => Step::End(EndReason::Write(error)),
        }
    }

    fn end(
        self,
        reason: EndReason<C::Error>,
        is_peer_closed: bool,
    ) -> (ConnectionEnd<C::Error>, ClosingConnection) {
        let outbox = &self.outbox;
        let is_flushed = !is_peer_closed && outbox.close_mode() != Some(CloseMode::Immediately);
        let written = outbox.written();
        // What was queued before the end goes out too, if the other end reads at all.
        let mut bytes = if is_flushed { outbox.take_final_bytes() } else { Vec::new() };
        if let EndReason::Malformed(error) = &reason {
            bytes.extend(C::final_response(error).unwrap_or_default());
        }
        (ConnectionEnd { written, reason }, ClosingConnection { stream: self.stream, bytes, is_flushed })
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    tokio::time::sleep_until(deadline.unwrap_or_else(Instant::now)).await;
}

/// Whether the other end has closed, though what it sent before may be unread.
async fn is_read_closed(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}
