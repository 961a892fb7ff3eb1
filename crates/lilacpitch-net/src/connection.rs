//! A TCP connection that carries messages both ways, run by one task that owns the socket.
//!
//! The owner holds the connection's [`Outbox`] and receives a [`ConnectionEvent`] for each message. After the
//! end of the connection is reported to the owner, a [`ClosingConnection`] flushes the last bytes, so that
//! the peer does not lose them when the socket is closed.

use crate::clock::{sleep_until, Clock};
use crate::closing::ClosingConnection;
use crate::outbox::{CloseMode, FinalBytes, Outbox, WriteProgress};
use crate::write_stall::WriteStall;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum number of bytes taken from a socket by one read.
pub(crate) const READ_BYTES: usize = 16 * 1024;
/// How often the socket is checked for a close by the peer while messages wait for the owner.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the runtime may take to report input that has already arrived, when a connection is to be closed
/// once all input is answered.
const ARRIVAL_GRACE: Duration = Duration::from_millis(2);

/// Decodes a byte stream of one protocol into messages.
pub trait Codec {
    /// A complete message.
    type Message;
    /// Why the stream can't be decoded any further.
    type Error: std::error::Error;
    /// Returns how many bytes may be fed at most. Not 0 unless a complete message or an error is due.
    fn free_bytes(&self) -> usize {
        READ_BYTES
    }
    /// Appends bytes read from the stream.
    fn feed(&mut self, bytes: &[u8]);
    /// Looks ahead in what was just fed, before its messages are returned one by one: messages that later ones
    /// cancel may be left out. Not called again until all complete messages were returned.
    fn look_ahead(&mut self) {}
    /// Returns the next complete message, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a message of the protocol; the connection is then to be closed.
    fn next_message(&mut self) -> Result<Option<Self::Message>, Self::Error>;
    /// Whether a message has begun and is incomplete.
    fn has_partial_message(&self) -> bool;
    /// Returns the last bytes to send to a peer that caused this error, if any.
    fn final_response(error: &Self::Error) -> Option<Vec<u8>>;
}

/// What a connection reports to its owner while it is open.
pub enum ConnectionEvent<M> {
    /// A message arrived.
    Message(M),
    /// The outgoing message with this number was dropped unwritten because its deadline had passed.
    MessageDropped(u64),
    /// The outgoing message with this number is completely written, as its owner had asked to be told.
    MessageWritten(u64),
    /// The queue of outgoing messages is empty, as its owner had asked to be told. Counts as a message that
    /// the owner has to process.
    Drained,
}

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum EndReason<E> {
    /// The owner closed it at once.
    #[error("closed immediately")]
    CutOff,
    /// The owner closed it to be flushed.
    #[error("closed after flush")]
    Flushed,
    /// The owner evicted it, and nothing unprocessed had arrived.
    #[error("evicted")]
    Evicted,
    /// The owner closed it, and all that had arrived is answered.
    #[error("closed after answers")]
    Finished,
    /// The peer did not read for too long, and too much waits for it.
    #[error("peer does not read")]
    NotReading,
    /// A message was not completely written in time.
    #[error("writing: a message is overdue")]
    WriteOverdue,
    /// The peer did not complete a message in time.
    #[error("read timeout: no complete message")]
    ReadTimeout,
    /// The peer closed it.
    #[error("closed by peer")]
    ClosedByPeer,
    /// Reading from the socket failed.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// Writing to the socket failed.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// The deadline of a partly written message passed: only closing the connection stops its remaining
    /// bytes.
    #[error("writing: deadline of a partly written message passed")]
    PartialMessageExpired,
    /// The peer sent bytes that are not a message of the protocol.
    #[error("{0}")]
    Malformed(E),
    /// The owner accepts no more events.
    #[error("owner stopped")]
    OwnerStopped,
}

/// How a connection ended.
#[derive(Debug)]
pub struct ConnectionEnd<E> {
    /// How many of the messages given to the connection were written, at least in part.
    pub written: u64,
    /// Why it ended.
    pub reason: EndReason<E>,
}

/// What happens to a peer that does not read what is sent to it.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// While more bytes than this wait to be written, nothing is read from the peer, so that it can't cause
    /// more answers.
    pub pause_reading_bytes: usize,
    /// The connection ends if the peer accepts nothing for this long while more bytes wait, or while the owner
    /// waits for [`ConnectionEvent::Drained`].
    pub stall_timeout: Duration,
}

/// An open connection that has yet to be run.
pub struct Connection<C> {
    /// The socket.
    pub stream: TcpStream,
    /// Decodes the input.
    pub codec: C,
    /// The clock of the deadlines of outgoing messages.
    pub clock: Clock,
    /// How long the peer may take to complete its first message, and each later one that it has begun; `None`
    /// for no limit.
    pub read_timeout: Option<Duration>,
    /// What happens if the peer does not read; `None` if it may stop reading for any time.
    pub write_limits: Option<WriteLimits>,
    /// The messages to write, and how to close the connection.
    pub outbox: Outbox,
}

/// What is known of the peer, and the callback for its close.
struct PeerState<F> {
    has_closed: bool,
    write_stall: WriteStall,
    on_disconnect: F,
}

impl<F: Fn()> PeerState<F> {
    /// Records a close by the peer, and notifies the owner of the first one.
    fn record_closed(&mut self) {
        if !self.has_closed {
            self.has_closed = true;
            (self.on_disconnect)();
        }
    }
}

/// The result of one wait for the socket, the outbox or the read deadline.
enum Step<E> {
    /// Nothing to process: wait again.
    Continue,
    /// This many bytes were fed to the codec, or the read failed.
    Read(io::Result<usize>),
    /// The connection ends.
    End(EndReason<E>),
}

impl<C: Codec> Connection<C> {
    /// Carries messages both ways until the connection ends or is closed through its outbox.
    ///
    /// While `on_event` is pending, nothing more is read; if it returns `false`, the connection ends.
    /// `on_disconnect` is called as soon as the peer is known to have closed, even if messages that it sent
    /// before are yet to be delivered. If the peer has closed, it is also called at the end.
    pub async fn run(
        mut self,
        on_disconnect: impl Fn(),
        mut on_event: impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> (ConnectionEnd<C::Error>, ClosingConnection) {
        let _ = self.stream.set_nodelay(true);
        let mut peer = PeerState { has_closed: false, write_stall: WriteStall::default(), on_disconnect };
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
                Some(CloseMode::AfterFlush | CloseMode::DiscardInput) => return EndReason::Flushed,
                Some(CloseMode::IfIdle) => self.step_to_eviction(on_event).await,
                Some(CloseMode::AfterAnswers) => self.step_to_answered(on_event).await,
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
            let delivery = self.deliver_messages(peer, on_event).await;
            // Nothing was written while the owner was busy, whether or not the peer reads.
            peer.write_stall.reset();
            match delivery {
                Ok(count) => self.update_read_deadline(&mut read_deadline, count),
                Err(reason) => return reason,
            }
        }
    }

    /// Waits for the next step of a connection that is to stay open.
    async fn step(
        &mut self,
        read_deadline: Option<Instant>,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let queued = self.outbox.queued();
        let has_output = queued.messages > 0;
        let is_paused = self.write_limits.is_some_and(|limits| queued.bytes > limits.pause_reading_bytes);
        let stall_deadline = self.stall_deadline(is_paused, peer);
        let write_by = self.outbox.write_by().map(|due| self.clock.instant(due));
        tokio::select! {
            ready = self.stream.ready(Interest::READABLE), if !is_paused => {
                let read = ready.and_then(|ready| {
                    if ready.is_read_closed() {
                        peer.record_closed();
                    }
                    self.read()
                });
                match read {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => Step::Continue,
                    read => Step::Read(read),
                }
            }
            ready = self.stream.writable(), if has_output => {
                self.write_to_peer(ready, peer, on_event).await.1
            }
            () = self.outbox.changed() => Step::Continue,
            () = sleep_until(read_deadline), if !is_paused && read_deadline.is_some() => {
                // After a stall of this process, a message that arrived in time may still be unread.
                tokio::task::yield_now().await;
                match self.read() {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => Step::End(EndReason::ReadTimeout),
                    read => Step::Read(read),
                }
            }
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if is_paused && !peer.has_closed => {
                if is_read_closed(&self.stream).await {
                    peer.record_closed();
                }
                Step::Continue
            }
            () = sleep_until(stall_deadline), if stall_deadline.is_some() => {
                self.step_after_stall(peer, on_event).await
            }
            () = sleep_until(write_by), if write_by.is_some() => {
                self.step_after_overdue(peer, on_event).await
            }
        }
    }

    /// Ends the connection if a message that must have been written by now can't be written: this process may
    /// have stalled, and not the peer.
    async fn step_after_overdue(
        &mut self,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        // Lets the runtime poll the socket.
        tokio::task::yield_now().await;
        let now = self.clock.now();
        let is_overdue = |outbox: &Outbox| outbox.write_by().is_some_and(|due| due <= now);
        while is_overdue(&self.outbox) {
            match self.write_to_peer(Ok(()), peer, on_event).await {
                (0, Step::Continue) => return Step::End(EndReason::WriteOverdue),
                (_, Step::Continue) => {}
                (_, step) => return step,
            }
        }
        Step::Continue
    }

    /// Ends the connection of a peer that has accepted nothing for too long, unless it does now: this process
    /// may have stalled, and not the peer.
    async fn step_after_stall(
        &mut self,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        // Lets the runtime poll the socket.
        tokio::task::yield_now().await;
        match self.write_to_peer(Ok(()), peer, on_event).await {
            (0, Step::Continue) => Step::End(EndReason::NotReading),
            (_, step) => step,
        }
    }

    /// Writes as much as the peer accepts. Returns how many bytes it has accepted.
    async fn write_to_peer(
        &self,
        ready: io::Result<()>,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> (usize, Step<C::Error>) {
        let progress = match self.write_queue(ready) {
            Ok(progress) => progress,
            Err(reason) => return (0, Step::End(reason)),
        };
        let accepted_bytes = progress.accepted_bytes;
        if accepted_bytes > 0 {
            peer.write_stall.reset();
        }
        (accepted_bytes, self.report_progress(progress, on_event).await)
    }

    /// Returns by when the peer must accept something, if too much waits for it, or if the owner waits until
    /// the queue is empty.
    fn stall_deadline(&self, is_paused: bool, peer: &mut PeerState<impl Fn()>) -> Option<Instant> {
        let limits = self.write_limits.filter(|_| is_paused || self.outbox.is_empty_report_pending());
        peer.write_stall.deadline(limits.map(|limits| limits.stall_timeout))
    }

    /// Reads what has arrived on a connection that is to be evicted, or ends the connection if nothing has.
    async fn step_to_eviction(
        &mut self,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let has_output = self.outbox.queued().messages > 0;
        // Lets the runtime poll the socket.
        tokio::task::yield_now().await;
        self.read_arrived(has_output, EndReason::Evicted, on_event).await
    }

    /// Reads what has arrived on a connection that is to be closed after its answers, or ends the connection
    /// once everything is answered.
    async fn step_to_answered(
        &mut self,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        let has_output = self.outbox.queued().messages > 0;
        let _ = tokio::time::timeout(ARRIVAL_GRACE, self.stream.readable()).await;
        self.read_arrived(has_output, EndReason::Finished, on_event).await
    }

    /// Reads without waiting. If nothing has arrived, ends the connection with `reason`, or waits if its
    /// owner still has messages to process or some are still to be written.
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

    /// Delivers all complete messages. Returns their count, or why the connection ends. Each is decoded only
    /// after the owner has accepted the one before it, so that decoded messages never pile up.
    async fn deliver_messages(
        &mut self,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Result<usize, EndReason<C::Error>> {
        self.codec.look_ahead();
        // Keeps the connection from being evicted while some of its messages are not decoded.
        self.outbox.set_delivering(true);
        let result = self.deliver_decoded(peer, on_event).await;
        self.outbox.set_delivering(false);
        result
    }

    async fn deliver_decoded(
        &mut self,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Result<usize, EndReason<C::Error>> {
        let mut count = 0;
        while let Some(message) = self.codec.next_message().map_err(EndReason::Malformed)? {
            if count == 0 {
                self.outbox.cancel_eviction();
            }
            count += 1;
            if !self.deliver(message, peer, on_event).await {
                return Err(EndReason::OwnerStopped);
            }
            if self.outbox.close_mode() == Some(CloseMode::DiscardInput) {
                return Err(EndReason::Flushed);
            }
        }
        Ok(count)
    }

    /// Delivers a message, checking for a close by the peer meanwhile. Returns `false` once the owner accepts
    /// no more.
    async fn deliver(
        &self,
        message: C::Message,
        peer: &mut PeerState<impl Fn()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> bool {
        self.outbox.record_received();
        let mut delivery = std::pin::pin!(on_event(ConnectionEvent::Message(message)));
        loop {
            tokio::select! {
                biased;
                is_owner_running = &mut delivery => return is_owner_running,
                () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !peer.has_closed => {
                    if is_read_closed(&self.stream).await {
                        peer.record_closed();
                    }
                }
            }
        }
    }

    /// Updates the read deadline after a read that completed `count` messages.
    fn update_read_deadline(&self, deadline: &mut Option<Instant>, count: usize) {
        let Some(timeout) = self.read_timeout else { return };
        let has_partial = self.codec.has_partial_message();
        if count > 0 {
            // A completed message ends its own deadline; one that has begun since gets the full time.
            *deadline = has_partial.then(|| Instant::now() + timeout);
        } else if has_partial && deadline.is_none() {
            *deadline = Some(Instant::now() + timeout);
        }
    }

    /// Feeds available input to the codec. The read buffer is not retained while a connection waits.
    fn read(&mut self) -> io::Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let most = self.codec.free_bytes().clamp(1, READ_BYTES);
        let count = self.stream.try_read(&mut buffer[..most])?;
        self.codec.feed(&buffer[..count]);
        Ok(count)
    }

    /// Writes as much as the socket accepts, and reports what the owner has to know.
    async fn write(
        &self,
        ready: io::Result<()>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        match self.write_queue(ready) {
            Ok(progress) => self.report_progress(progress, on_event).await,
            Err(reason) => Step::End(reason),
        }
    }

    /// Writes as much as the socket accepts.
    fn write_queue(&self, ready: io::Result<()>) -> Result<WriteProgress, EndReason<C::Error>> {
        let now = self.clock.now();
        let progress = ready.and_then(|()| self.outbox.write(now, |bytes| self.stream.try_write(bytes)));
        let progress = progress.map_err(EndReason::Write)?;
        if progress.is_partial_expired {
            return Err(EndReason::PartialMessageExpired);
        }
        Ok(progress)
    }

    /// Reports messages that were dropped or are written, and an empty queue if the owner has asked for it.
    async fn report_progress(
        &self,
        progress: WriteProgress,
        on_event: &mut impl AsyncFnMut(ConnectionEvent<C::Message>) -> bool,
    ) -> Step<C::Error> {
        for number in progress.expired {
            on_event(ConnectionEvent::MessageDropped(number)).await;
        }
        for number in progress.reported {
            on_event(ConnectionEvent::MessageWritten(number)).await;
        }
        if self.outbox.take_empty_report() {
            on_event(ConnectionEvent::Drained).await;
        }
        Step::Continue
    }

    /// Separates what is reported to the owner from the connection that still has to be closed.
    fn end(
        self,
        reason: EndReason<C::Error>,
        has_peer_closed: bool,
    ) -> (ConnectionEnd<C::Error>, ClosingConnection) {
        let outbox = &self.outbox;
        let is_not_writable = matches!(reason, EndReason::NotReading | EndReason::WriteOverdue);
        let is_cut_off = is_not_writable || outbox.close_mode() == Some(CloseMode::Immediately);
        let must_flush = !has_peer_closed && !is_cut_off;
        let written = outbox.written();
        // Messages that were queued before the end are still written, if the peer reads.
        let mut unwritten = if must_flush { outbox.take_final_bytes() } else { FinalBytes::default() };
        if let EndReason::Malformed(error) = &reason {
            unwritten.bytes.extend(C::final_response(error).unwrap_or_default());
        }
        (ConnectionEnd { written, reason }, ClosingConnection { stream: self.stream, unwritten, must_flush })
    }
}

/// Whether the peer has closed, even if data that it sent before is unread.
pub async fn is_read_closed(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}
