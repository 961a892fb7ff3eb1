//! One connection: bytes to messages and messages to bytes, in one task that owns both halves.
//!
//! Messages are encoded only once what was encoded before has been written, so that no more than one batch is
//! past recall, and a message that has waited too long can still be left out.

use super::Clock;
use lilacpitch::interface::Nanos;
use lilacpitch_protocol::frame::{CloseCode, Decoder, Encoder, FrameError, Message, Role};
use lilacpitch_protocol::handshake;
use lilacpitch_protocol::http;
use lilacpitch_protocol::http::HeadError;
use rand::rngs::StdRng;
use rand::RngCore;
use std::net::SocketAddr;
use std::time::Duration;
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

/// What a connection tells of itself while it lives.
#[derive(Debug)]
pub enum Heard {
    /// The other end sent a text message.
    Text(String),
    /// A message was too old to be written, by its number.
    NotWritten(u64),
}

/// How a connection ended, and what may have left of the messages given to it.
#[derive(Debug)]
pub struct Ended {
    /// So many of the messages given to it may have left.
    pub written: u64,
    /// Why it ended.
    pub why: String,
}

/// A connection whose handshake is done.
pub struct Pump {
    /// The connection.
    pub stream: TcpStream,
    /// Which end this is.
    pub role: Role,
    /// For messages that grow too old.
    pub clock: Clock,
    /// Masks of a client's frames.
    pub rng: StdRng,
    /// After this span without a byte, a sign is asked for; after as long again the connection ends.
    pub quiet: Option<Duration>,
}

impl Pump {
    /// Carries messages both ways until the connection ends or `out` does. `rest`: bytes that came behind the
    /// handshake. `heard` takes what comes; while it takes its time, nothing more is read.
    pub async fn run(
        mut self,
        rest: &[u8],
        out: &mut mpsc::Receiver<Outgoing>,
        mut heard: impl AsyncFnMut(Heard) -> bool,
    ) -> Ended {
        let _ = self.stream.set_nodelay(true);
        let mut decoder = Decoder::new(self.role);
        let (mut incoming, mut batch) = (Vec::with_capacity(READ_BYTES), Vec::new());
        let mut bytes: Vec<u8> = Vec::new();
        // Of `bytes`, what is written; messages that may have left; and those that have once a byte of `bytes` does.
        let (mut sent, mut written, mut encoded) = (0, 0, 0);
        let mut asked = false;
        decoder.feed(rest);
        let why = loop {
            // A peer that floods pings and reads no pongs makes the buffer grow no further: nothing is read
            // while anything waits to be written past one batch.
            match self.take(&mut decoder, &mut bytes, &mut heard).await {
                Ok(true) => {}
                Ok(false) => break "nobody listens".to_string(),
                Err(why) => break why,
            }
            let (mut reader, mut writer) = self.stream.split();
            let quiet = self.quiet.unwrap_or(Duration::MAX);
            incoming.clear();
            tokio::select! {
                read = reader.read_buf(&mut incoming), if bytes.len() - sent < READ_BYTES => match read {
                    Ok(0) => break "closed by the other end".into(),
                    Ok(_) => {
                        asked = false;
                        decoder.feed(&incoming);
                    }
                    Err(e) => break format!("reading: {e}"),
                },
                wrote = writer.write(&bytes[sent..]), if sent < bytes.len() => match wrote {
                    Ok(count) => {
                        written = encoded;
                        sent += count;
                        if sent == bytes.len() {
                            bytes.clear();
                            sent = 0;
                        }
                    }
                    Err(e) => break format!("writing: {e}"),
                },
                taken = out.recv_many(&mut batch, BATCH), if bytes.is_empty() => {
                    if taken == 0 {
                        break "done".into();
                    }
                    let now = self.clock.now();
                    for message in batch.drain(..) {
                        encoded = message.number + 1;
                        if message.not_after_ns.is_some_and(|at| now > at) {
                            heard(Heard::NotWritten(message.number)).await;
                        } else {
                            let mask = self.mask();
                            Encoder::text(&mut bytes, &message.text, mask);
                        }
                    }
                }
                _ = tokio::time::sleep(quiet), if self.quiet.is_some() => {
                    if asked {
                        break "quiet for too long".into();
                    }
                    asked = true;
                    let mask = self.mask();
                    Encoder::ping(&mut bytes, b"", mask);
                }
            }
        };
        let code = if why == "done" { CloseCode::AWAY } else { CloseCode::NORMAL };
        if why == "done" {
            let mask = self.mask();
            Encoder::close(&mut bytes, code, "", mask);
        }
        // What is left goes out if the other end reads at all; a close frame was appended by who wanted one.
        let left = tokio::time::timeout(LINGER, async {
            self.stream.write_all(&bytes[sent..]).await?;
            self.stream.shutdown().await
        });
        if matches!(left.await, Ok(Ok(()))) {
            written = encoded;
        }
        Ended { written, why }
    }

    /// Hands on all messages that are whole. An error is the reason to end; its close frame is in `bytes`.
    async fn take(
        &mut self,
        decoder: &mut Decoder,
        bytes: &mut Vec<u8>,
        heard: &mut impl AsyncFnMut(Heard) -> bool,
    ) -> Result<bool, String> {
        loop {
            let message = match decoder.next() {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(true),
                Err(error) => return Err(self.refuse(&error, bytes)),
            };
            match message {
                Message::Text(text) => {
                    if !heard(Heard::Text(text)).await {
                        return Ok(false);
                    }
                }
                Message::Binary(_) => {
                    let mask = self.mask();
                    Encoder::close(bytes, CloseCode::UNSUPPORTED, "text only", mask);
                    return Err("binary message".into());
                }
                Message::Ping(payload) => {
                    let mask = self.mask();
                    Encoder::pong(bytes, &payload, mask);
                }
                Message::Pong(_) => {}
                Message::Close(why) => {
                    let mask = self.mask();
                    Encoder::close(bytes, CloseCode::NORMAL, "", mask);
                    return Err(format!("closed by the other end: {why:?}"));
                }
            }
        }
    }

    fn refuse(&mut self, error: &FrameError, bytes: &mut Vec<u8>) -> String {
        let mask = self.mask();
        Encoder::close(bytes, error.close_code(), &error.to_string(), mask);
        format!("broken framing: {error}")
    }

    fn mask(&mut self) -> Option<[u8; 4]> {
        (self.role == Role::Client).then(|| self.rng.next_u32().to_be_bytes())
    }
}

/// Reads until a head is whole. Returns it with the bytes that came behind it.
pub(super) async fn read_head<T>(
    stream: &mut TcpStream,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, HeadError>,
) -> Result<(T, Vec<u8>), String> {
    let mut bytes = Vec::new();
    loop {
        if let Some((head, taken)) = parse(&bytes).map_err(|e| e.to_string())? {
            return Ok((head, bytes.split_off(taken)));
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return Err("closed within its head".into()),
            Ok(_) => {}
            Err(e) => return Err(format!("reading: {e}")),
        }
    }
}

/// The server's side of an opening handshake, for targets that are `target` or lie below it. Returns the target
/// and the bytes that came behind the head; a request that is refused gets its answer.
pub async fn serve_handshake(
    stream: &mut TcpStream,
    target: &str,
    protocol: &'static str,
) -> Result<(String, Vec<u8>), String> {
    let (request, rest) = match read_head(stream, http::request).await {
        Ok(head) => head,
        Err(error) => {
            let body = format!("{error}\n");
            let _ = stream.write_all(&handshake::plain_response("400 Bad Request", "", &body)).await;
            return Err(error);
        }
    };
    let below =
        request.target.strip_prefix(target).is_some_and(|more| more.is_empty() || more.starts_with('/'));
    if !below {
        let body = format!("connect to {target}\n");
        let _ = stream.write_all(&handshake::plain_response("404 Not Found", "", &body)).await;
        return Err(format!("no such target: {}", request.target));
    }
    match handshake::server_answer(&request, protocol) {
        Ok(answer) => {
            stream.write_all(&answer).await.map_err(|e| e.to_string())?;
            Ok((request.target, rest))
        }
        Err(error) => {
            let _ = stream.write_all(&handshake::refusal(&error)).await;
            Err(error.to_string())
        }
    }
}

/// The client's side: a connection with its handshake done, and the bytes that came behind it.
pub async fn open(
    address: SocketAddr,
    target: &str,
    protocol: &str,
    rng: &mut StdRng,
) -> Result<(TcpStream, Vec<u8>), String> {
    let mut stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let mut random = [0; 16];
    rng.fill_bytes(&mut random);
    let key = handshake::key(random);
    let request = handshake::client_request(&address.to_string(), target, &key, protocol);
    stream.write_all(&request).await.map_err(|e| e.to_string())?;
    let (answer, rest) = read_head(&mut stream, http::response).await?;
    handshake::check_answer(&answer, &key, protocol).map_err(|e| e.to_string())?;
    Ok((stream, rest))
}
