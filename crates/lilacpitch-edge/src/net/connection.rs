//! One WebSocket connection: bytes to messages and messages to bytes, in one task that owns both halves.
//!
//! Messages are encoded only once what was encoded before has been written, so that no more than one batch is
//! beyond recall, and a message that has waited too long can still be left out.

use super::Clock;
use lilacpitch::interface::Nanos;
use lilacpitch_protocol::frame::{CloseCode, Decoder, Encoder, FrameError, Message, Role};
use lilacpitch_protocol::handshake::{self, HandshakeError};
use lilacpitch_protocol::http;
use lilacpitch_protocol::http::HeadError;
use rand::rngs::StdRng;
use rand::RngCore;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Messages written at once.
const BATCH: usize = 64;
/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// How long the other end may take to read what is left once the connection is being closed.
const LINGER: Duration = Duration::from_secs(1);

/// A message to write.
#[derive(Debug)]
pub struct Outgoing {
    /// Its number among the connection's messages.
    pub number: u64,
    /// The text.
    pub text: String,
    /// Not to be written after this moment.
    pub not_after_ns: Option<Nanos>,
}

/// What happens on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The other end sent a text message.
    Text(String),
    /// A message was too old to be written, by its number.
    NotWritten(u64),
}

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum EndCause {
    /// What takes its events has ended.
    #[error("nobody listens")]
    ReceiverClosed,
    /// Its queue of outgoing messages has ended.
    #[error("done")]
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
    /// Nothing came, and no answer to a ping.
    #[error("quiet for too long")]
    Unresponsive,
    /// The other end sent a binary message.
    #[error("binary message")]
    BinaryMessage,
    /// The other end broke the framing.
    #[error("broken framing: {0}")]
    Framing(FrameError),
}

/// How a connection ended, and what may have left of the messages given to it.
#[derive(Debug)]
pub struct ConnectionEnd {
    /// So many of the messages given to it may have left.
    pub written: u64,
    /// Why it ended.
    pub cause: EndCause,
}

/// Encoded bytes, and how far they and their messages are written.
#[derive(Default)]
struct WriteBuffer {
    bytes: Vec<u8>,
    /// Of `bytes`, so many are written.
    sent: usize,
    /// Messages that may have left.
    written: u64,
    /// Messages that may have left once one more byte is written.
    encoded: u64,
}

impl WriteBuffer {
    fn unwritten(&self) -> &[u8] {
        &self.bytes[self.sent..]
    }

    fn note_written(&mut self, count: usize) {
        self.written = self.encoded;
        self.sent += count;
        if self.sent == self.bytes.len() {
            self.bytes.clear();
            self.sent = 0;
        }
    }
}

/// A WebSocket connection whose handshake is done: carries text messages both ways.
pub struct WebSocketConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Which end this is.
    pub role: Role,
    /// For messages that grow too old.
    pub clock: Clock,
    /// Masks of a client's frames.
    pub rng: StdRng,
    /// After so long without a byte a ping is sent; after as long again the connection ends.
    pub quiet: Option<Duration>,
}

impl WebSocketConnection {
    /// Carries messages both ways until the connection ends or `out` does. `rest`: bytes that came behind the
    /// handshake. While `on_event` is busy, nothing more is read; once it returns `false`, the connection ends.
    pub async fn run(
        mut self,
        rest: &[u8],
        out: &mut mpsc::Receiver<Outgoing>,
        mut on_event: impl AsyncFnMut(ConnectionEvent) -> bool,
    ) -> ConnectionEnd {
        let _ = self.stream.set_nodelay(true);
        let mut decoder = Decoder::new(self.role);
        decoder.feed(rest);
        let mut buffer = WriteBuffer::default();
        let cause = self.carry(&mut decoder, &mut buffer, out, &mut on_event).await;
        if matches!(cause, EndCause::QueueClosed) {
            let mask = self.mask();
            Encoder::close(&mut buffer.bytes, CloseCode::AWAY, "", mask);
        }
        // What is left goes out if the other end reads at all; whoever wanted a close frame has appended it.
        let flush = tokio::time::timeout(LINGER, async {
            self.stream.write_all(buffer.unwritten()).await?;
            self.stream.shutdown().await
        });
        let is_flushed = matches!(flush.await, Ok(Ok(())));
        let written = if is_flushed { buffer.encoded } else { buffer.written };
        ConnectionEnd { written, cause }
    }

    async fn carry(
        &mut self,
        decoder: &mut Decoder,
        buffer: &mut WriteBuffer,
        out: &mut mpsc::Receiver<Outgoing>,
        on_event: &mut impl AsyncFnMut(ConnectionEvent) -> bool,
    ) -> EndCause {
        let (mut incoming, mut batch) = (Vec::with_capacity(READ_BYTES), Vec::new());
        let mut is_ping_pending = false;
        loop {
            // A peer that floods pings and reads no pongs makes the buffer grow no further: nothing is read
            // while more than one batch waits to be written.
            if let Err(cause) = self.take(decoder, &mut buffer.bytes, on_event).await {
                return cause;
            }
            let (mut reader, mut writer) = self.stream.split();
            let quiet = self.quiet.unwrap_or(Duration::MAX);
            incoming.clear();
            tokio::select! {
                read = reader.read_buf(&mut incoming), if buffer.unwritten().len() < READ_BYTES => match read {
                    Ok(0) => return EndCause::EndOfStream,
                    Ok(_) => {
                        is_ping_pending = false;
                        decoder.feed(&incoming);
                    }
                    Err(error) => return EndCause::Read(error),
                },
                wrote = writer.write(&buffer.bytes[buffer.sent..]), if !buffer.unwritten().is_empty() => match wrote {
                    Ok(count) => buffer.note_written(count),
                    Err(error) => return EndCause::Write(error),
                },
                count = out.recv_many(&mut batch, BATCH), if buffer.bytes.is_empty() => {
                    if count == 0 {
                        return EndCause::QueueClosed;
                    }
                    self.encode(&mut batch, buffer, on_event).await;
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

    /// Encodes messages, but for those that have grown too old.
    async fn encode(
        &mut self,
        batch: &mut Vec<Outgoing>,
        buffer: &mut WriteBuffer,
        on_event: &mut impl AsyncFnMut(ConnectionEvent) -> bool,
    ) {
        let now = self.clock.now();
        for message in batch.drain(..) {
            buffer.encoded = message.number + 1;
            if message.not_after_ns.is_some_and(|at| now > at) {
                on_event(ConnectionEvent::NotWritten(message.number)).await;
            } else {
                let mask = self.mask();
                Encoder::text(&mut buffer.bytes, &message.text, mask);
            }
        }
    }

    /// Hands on all messages that are whole. An error is the reason to end; its close frame is in `bytes`.
    async fn take(
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
                    if !on_event(ConnectionEvent::Text(text)).await {
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
                Message::Close(why) => {
                    let mask = self.mask();
                    Encoder::close(bytes, CloseCode::NORMAL, "", mask);
                    return Err(EndCause::CloseFrame(format!("{why:?}")));
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
    /// The other end closed the stream before its head was whole.
    #[error("closed within its head")]
    ClosedInHead,
    /// The other end's head is wrong.
    #[error("{0}")]
    Head(#[from] HeadError),
    /// The request is for a target that is not served.
    #[error("no such target: {0}")]
    NoSuchTarget(String),
    /// The other end refuses the handshake, or its handshake is wrong.
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
}

/// Reads until a head is whole. Returns it with the bytes that came behind it.
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

/// The server's side of an opening handshake, for targets that are `target` or lie below it. Returns the target
/// and the bytes that came behind the head; a request that is refused gets its answer.
///
/// # Errors
/// A head or a handshake that is refused, or a socket that failed.
pub async fn serve_handshake(
    stream: &mut TcpStream,
    target: &str,
    protocol: &'static str,
) -> Result<(String, Vec<u8>), OpenError> {
    let (request, rest) = match read_head(stream, http::request).await {
        Ok(head) => head,
        Err(error) => {
            let body = format!("{error}\n");
            let _ = stream.write_all(&handshake::plain_response("400 Bad Request", "", &body)).await;
            return Err(error);
        }
    };
    let is_below =
        request.target.strip_prefix(target).is_some_and(|more| more.is_empty() || more.starts_with('/'));
    if !is_below {
        let body = format!("connect to {target}\n");
        let _ = stream.write_all(&handshake::plain_response("404 Not Found", "", &body)).await;
        return Err(OpenError::NoSuchTarget(request.target));
    }
    match handshake::server_answer(&request, protocol) {
        Ok(answer) => {
            stream.write_all(&answer).await?;
            Ok((request.target, rest))
        }
        Err(error) => {
            let _ = stream.write_all(&handshake::refusal(&error)).await;
            Err(error.into())
        }
    }
}

/// The client's side: a connection with its handshake done, and the bytes that came behind it.
///
/// # Errors
/// An address that can't be reached, or a handshake that the server refused.
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
    let (answer, rest) = read_head(&mut stream, http::response).await?;
    handshake::check_answer(&answer, &key, protocol)?;
    Ok((stream, rest))
}
