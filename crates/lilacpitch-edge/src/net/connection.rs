//! A WebSocket connection: one task decodes received bytes to messages and encodes messages to be sent.
//!
//! A batch of messages is encoded only after the previous batch has been written. Until then a message that
//! has waited too long can still be discarded.

use super::Clock;
use lilacpitch::interface::Nanos;
use lilacpitch_net::{sleep_until, WriteStall};
use lilacpitch_protocol::frame::{CloseCode, Decoder, Encoder, FrameError, Message, Role};
use lilacpitch_protocol::handshake::{self, HandshakeError};
use lilacpitch_protocol::http;
use lilacpitch_protocol::http::HeadError;
use rand::rngs::StdRng;
use rand::RngCore;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Maximum number of messages that are encoded at once.
const MAX_BATCH: usize = 64;
/// Number of bytes read at once. No more is read while at least as many bytes wait to be written.
const READ_BYTES: usize = 16 * 1024;
/// How often the socket is checked for a close by the other end while a message waits for its receiver.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the other end may take to read the remaining bytes once the connection is being closed.
const LINGER: Duration = Duration::from_secs(1);

/// What happens if the other end does not read what is sent to it.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// Number of queued messages above which nothing is read from the other end, so that it can't cause more
    /// of them, and above which it has to accept something within `stall_timeout`.
    pub unread_messages: usize,
    /// The connection ends if the other end accepts nothing for this long.
    pub stall_timeout: Duration,
}

/// A message to be sent.
#[derive(Debug)]
pub struct Outgoing {
    /// Its number among the connection's messages.
    pub number: u64,
    /// The text of the message.
    pub text: String,
    /// The message is discarded if it has not been encoded by this time.
    pub not_after_ns: Option<Nanos>,
    /// Whether [`ConnectionEvent::Written`] is to follow once it is completely written.
    pub reports_written: bool,
}

/// An event of a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The other end sent a text message.
    Text(String),
    /// The message with this number was discarded because it had waited too long.
    NotWritten(u64),
    /// The message with this number is completely written, as its sender asked to be told.
    Written(u64),
}

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum EndCause {
    /// The receiver of its events has ended.
    #[error("event receiver closed")]
    ReceiverClosed,
    /// Its queue of outgoing messages was closed.
    #[error("outgoing queue closed")]
    QueueClosed,
    /// The other end closed the stream.
    #[error("closed by the other end")]
    EndOfStream,
    /// The other end sent a close frame.
    #[error("closed by the other end: {0}")]
    CloseFrame(String),
    /// The stream could not be read.
    #[error("reading: {0}")]
    Read(std::io::Error),
    /// The stream could not be written.
    #[error("writing: {0}")]
    Write(std::io::Error),
    /// The other end did not read for too long, and too much waits for it.
    #[error("does not read")]
    NotReading,
    /// The other end sent nothing for too long, and no answer to a ping.
    #[error("no answer to a ping")]
    Unresponsive,
    /// The other end sent a binary message.
    #[error("binary message")]
    BinaryMessage,
    /// The other end violated the framing rules or a limit.
    #[error("framing: {0}")]
    Framing(FrameError),
}

/// How a connection ended, and how many of its messages may have been sent.
#[derive(Debug)]
pub struct ConnectionEnd {
    /// Number of messages that may have reached the other end, counted from the first.
    pub written: u64,
    /// Why the connection ended.
    pub cause: EndCause,
}

/// Encoded bytes, and how many bytes and messages of them have been written.
#[derive(Default)]
struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the start of `bytes` that have been written.
    sent: usize,
    /// Number of messages of the connection that may have been sent.
    written: u64,
    /// Number of messages of the connection that are encoded. All of them may have been sent once another
    /// byte is written.
    encoded: u64,
    /// Numbers of the encoded messages that are to be reported once all bytes are written.
    to_report: Vec<u64>,
}

impl WriteBuffer {
    fn unwritten(&self) -> &[u8] {
        &self.bytes[self.sent..]
    }

    fn record_written(&mut self, count: usize) {
        self.written = self.encoded;
        self.sent += count;
        if self.sent == self.bytes.len() {
            self.bytes.clear();
            self.sent = 0;
        }
    }
}

/// A WebSocket connection after its handshake: exchanges text messages.
pub struct WebSocketConnection {
    /// The stream, after the handshake.
    pub stream: TcpStream,
    /// The role of this end.
    pub role: Role,
    /// The clock that the deadlines of messages refer to.
    pub clock: Clock,
    /// The source of a client's frame masks.
    pub rng: StdRng,
    /// After this time without a received byte a ping is sent; after the same time again, the connection
    /// ends. `None`: no pings are sent.
    pub quiet: Option<Duration>,
    /// What happens if the other end does not read; `None`: it may stop reading for any time.
    pub write_limits: Option<WriteLimits>,
    /// Set as soon as a client is known to have closed. What it sent before and is not delivered is discarded.
    pub has_client_left: Arc<AtomicBool>,
}

impl WebSocketConnection {
    /// Exchanges messages until the connection ends or `out` is closed. `received` are the bytes that
    /// followed the handshake. Nothing is read while `on_event` is pending; once it returns `false`, the
    /// connection ends.
    pub async fn run(
        mut self,
        received: &[u8],
        out: &mut mpsc::Receiver<Outgoing>,
        mut on_event: impl AsyncFnMut(ConnectionEvent) -> bool,
    ) -> ConnectionEnd {
        let _ = self.stream.set_nodelay(true);
        let mut decoder = Decoder::new(self.role);
        decoder.feed(received);
        let mut buffer = WriteBuffer::default();
        let cause = self.exchange_messages(&mut decoder, &mut buffer, out, &mut on_event).await;
        if matches!(cause, EndCause::QueueClosed) {
            let mask = self.mask();
            Encoder::close(&mut buffer.bytes, CloseCode::AWAY, "", mask);
        }
        if matches!(cause, EndCause::NotReading) {
            return ConnectionEnd { written: buffer.written, cause };
        }
        // The remaining bytes, including any close frame, are sent if the other end still reads.
        let flush = tokio::time::timeout(LINGER, async {
            self.stream.write_all(buffer.unwritten()).await?;
            self.stream.shutdown().await
        });
        let is_flushed = matches!(flush.await, Ok(Ok(())));
        let written = if is_flushed { buffer.encoded } else { buffer.written };
        ConnectionEnd { written, cause }
    }

    async fn exchange_messages(
        &mut self,
        decoder: &mut Decoder,
        buffer: &mut WriteBuffer,
        out: &mut mpsc::Receiver<Outgoing>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent) -> bool,
    ) -> EndCause {
        let (mut incoming, mut batch) = (Vec::with_capacity(READ_BYTES), Vec::new());
        let mut is_ping_pending = false;
        let mut write_stall = WriteStall::default();
        loop {
            if buffer.bytes.is_empty() {
                for number in buffer.to_report.drain(..) {
                    on_event(ConnectionEvent::Written(number)).await;
                }
            }
            if let Err(cause) = self.deliver_messages(decoder, &mut buffer.bytes, on_event).await {
                return cause;
            }
            let (reader, mut writer) = self.stream.split();
            let quiet = self.quiet.unwrap_or(Duration::MAX);
            let exceeded = self.write_limits.filter(|limits| out.len() > limits.unread_messages);
            let stall_deadline = write_stall.deadline(exceeded.map(|limits| limits.stall_timeout));
            let may_read = buffer.unwritten().len() < READ_BYTES && exceeded.is_none();
            incoming.clear();
            tokio::select! {
                // Not read while too many bytes wait to be written: a peer that floods pings and reads no
                // pongs must not make the buffer grow.
                ready = reader.ready(Interest::READABLE), if may_read => {
                    if self.role == Role::Server && ready.as_ref().is_ok_and(|ready| ready.is_read_closed()) {
                        self.has_client_left.store(true, Ordering::Relaxed);
                        return EndCause::EndOfStream;
                    }
                    match ready.and_then(|_| reader.try_read_buf(&mut incoming)) {
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                        Ok(0) => return EndCause::EndOfStream,
                        Ok(_) => {
                            is_ping_pending = false;
                            decoder.feed(&incoming);
                        }
                        Err(error) => return EndCause::Read(error),
                    }
                }
                result = writer.write(&buffer.bytes[buffer.sent..]), if !buffer.unwritten().is_empty() => {
                    match result {
                        Ok(count) => {
                            buffer.record_written(count);
                            write_stall.reset();
                        }
                        Err(error) => return EndCause::Write(error),
                    }
                }
                count = out.recv_many(&mut batch, MAX_BATCH), if buffer.bytes.is_empty() => {
                    if count == 0 {
                        return EndCause::QueueClosed;
                    }
                    self.encode(&mut batch, buffer, on_event).await;
                }
                () = sleep_until(stall_deadline), if stall_deadline.is_some() => {
                    // This process may have stalled, and not the other end: lets the runtime poll the socket.
                    tokio::task::yield_now().await;
                    match writer.try_write(buffer.unwritten()) {
                        Ok(count) if count > 0 => {
                            buffer.record_written(count);
                            write_stall.reset();
                        }
                        _ if buffer.bytes.is_empty() => write_stall.reset(),
                        _ => return EndCause::NotReading,
                    }
                }
                _ = tokio::time::sleep(quiet), if self.quiet.is_some() => {
                    if is_ping_pending {
                        return EndCause::Unresponsive;
                    }
                    is_ping_pending = true;
                    let mask = self.mask();
                    Encoder::ping(&mut buffer.bytes, b"", mask);
                }
            }
        }
    }

    /// Encodes messages, except for those that have waited too long.
    async fn encode(
        &mut self,
        batch: &mut Vec<Outgoing>,
        buffer: &mut WriteBuffer,
        on_event: &mut impl AsyncFnMut(ConnectionEvent) -> bool,
    ) {
        let now = self.clock.now();
        for message in batch.drain(..) {
            buffer.encoded = message.number + 1;
            if message.not_after_ns.is_some_and(|not_after| now > not_after) {
                on_event(ConnectionEvent::NotWritten(message.number)).await;
            } else {
                let mask = self.mask();
                Encoder::text(&mut buffer.bytes, &message.text, mask);
                buffer.to_report.extend(message.reports_written.then_some(message.number));
            }
        }
    }

    /// Passes all messages that have arrived whole to `on_event`. On an error the connection must end; its
    /// close frame, if any, has been appended to `bytes`.
    async fn deliver_messages(
        &mut self,
        decoder: &mut Decoder,
        bytes: &mut Vec<u8>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent) -> bool,
    ) -> Result<(), EndCause> {
        loop {
            let message = match decoder.next() {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(error) => return Err(self.reject_frame(error, bytes)),
            };
            match message {
                Message::Text(text) => {
                    if self.has_client_left.load(Ordering::Relaxed) {
                        return Err(EndCause::EndOfStream);
                    }
                    if !self.deliver(text, on_event).await {
                        return Err(EndCause::ReceiverClosed);
                    }
                }
                Message::Binary(_) => {
                    let mask = self.mask();
                    Encoder::close(bytes, CloseCode::UNSUPPORTED, "text only", mask);
                    return Err(EndCause::BinaryMessage);
                }
                Message::Ping(payload) => {
                    let mask = self.mask();
                    Encoder::pong(bytes, &payload, mask);
                }
                Message::Pong(_) => {}
                Message::Close(close) => {
                    let mask = self.mask();
                    Encoder::close(bytes, CloseCode::NORMAL, "", mask);
                    return Err(EndCause::CloseFrame(format!("{close:?}")));
                }
            }
        }
    }

    /// Delivers a text message, checking for a close by a client meanwhile. Returns `false` once no more is
    /// accepted.
    async fn deliver(&self, text: String, on_event: &mut impl AsyncFnMut(ConnectionEvent) -> bool) -> bool {
        let mut delivery = std::pin::pin!(on_event(ConnectionEvent::Text(text)));
        loop {
            tokio::select! {
                biased;
                is_accepted = &mut delivery => return is_accepted,
                () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if self.role == Role::Server => {
                    if lilacpitch_net::is_read_closed(&self.stream).await {
                        self.has_client_left.store(true, Ordering::Relaxed);
                    }
                }
            }
        }
    }

    fn reject_frame(&mut self, error: FrameError, bytes: &mut Vec<u8>) -> EndCause {
        let mask = self.mask();
        Encoder::close(bytes, error.close_code(), &error.to_string(), mask);
        EndCause::Framing(error)
    }

    fn mask(&mut self) -> Option<[u8; 4]> {
        (self.role == Role::Client).then(|| self.rng.next_u32().to_be_bytes())
    }
}

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The stream could not be connected or written.
    #[error("{0}")]
    Stream(#[from] std::io::Error),
    /// The stream could not be read.
    #[error("reading: {0}")]
    Read(std::io::Error),
    /// The other end closed the stream before its head was complete.
    #[error("closed before the head was complete")]
    ClosedInHead,
    /// The head of the other end's request or response is invalid.
    #[error("{0}")]
    Head(#[from] HeadError),
    /// The requested target is not served.
    #[error("no such target: {0}")]
    NoSuchTarget(String),
    /// The other end refuses the handshake, or its handshake is invalid.
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
}

/// Reads until a head is complete. Returns it with the bytes that follow it.
pub(super) async fn read_head<T>(
    stream: &mut TcpStream,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, HeadError>,
) -> Result<(T, Vec<u8>), OpenError> {
    let mut bytes = Vec::new();
    loop {
        if let Some((head, length)) = parse(&bytes)? {
            return Ok((head, bytes.split_off(length)));
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return Err(OpenError::ClosedInHead),
            Ok(_) => {}
            Err(error) => return Err(OpenError::Read(error)),
        }
    }
}

/// Performs the server's side of an opening handshake, for `target` and the targets below it. Returns the
/// requested target and the bytes that follow the head. A request that is refused gets an error response.
///
/// # Errors
/// The head or the handshake is refused, or the socket failed.
pub async fn serve_handshake(
    stream: &mut TcpStream,
    target: &str,
    protocol: &'static str,
) -> Result<(String, Vec<u8>), OpenError> {
    let (request, received) = match read_head(stream, http::request).await {
        Ok(head) => head,
        Err(error) => {
            let body = format!("{error}\n");
            let _ = stream.write_all(&handshake::plain_response("400 Bad Request", "", &body)).await;
            return Err(error);
        }
    };
    let is_below = request
        .target
        .strip_prefix(target)
        .is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('/'));
    if !is_below {
        let body = format!("connect to {target}\n");
        let _ = stream.write_all(&handshake::plain_response("404 Not Found", "", &body)).await;
        return Err(OpenError::NoSuchTarget(request.target));
    }
    match handshake::server_answer(&request, protocol) {
        Ok(answer) => {
            stream.write_all(&answer).await?;
            Ok((request.target, received))
        }
        Err(error) => {
            let _ = stream.write_all(&handshake::refusal(&error)).await;
            Err(error.into())
        }
    }
}

/// Opens a connection and performs the client's side of the handshake. Returns the stream and the bytes that
/// follow the handshake.
///
/// # Errors
/// The address cannot be reached, or the server refused the handshake.
pub async fn open(
    address: SocketAddr,
    target: &str,
    protocol: &str,
    rng: &mut StdRng,
) -> Result<(TcpStream, Vec<u8>), OpenError> {
    let mut stream = TcpStream::connect(address).await?;
    let mut random = [0; 16];
    rng.fill_bytes(&mut random);
    let key = handshake::key(random);
    let request = handshake::client_request(&address.to_string(), target, &key, protocol);
    stream.write_all(&request).await?;
    let (answer, received) = read_head(&mut stream, http::response).await?;
    handshake::check_answer(&answer, &key, protocol)?;
    Ok((stream, received))
}
