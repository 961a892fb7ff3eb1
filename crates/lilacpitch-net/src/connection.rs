//! One connection: bytes to messages and messages to bytes, in one task that owns both halves.

use lilacpitch::interface::Nanos;
use lilacpitch_net::Clock;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Messages written at once.
const BATCH: usize = 32;
/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// How long the other end may take to read what is left once the connection is being closed, and how long what it
/// still sends is thrown away, so that it can read why.
const LINGER: Duration = Duration::from_millis(300);

/// How a stream's bytes become messages.
pub(super) trait Codec {
    type Message;
    type Error: std::fmt::Display;
    fn feed(&mut self, bytes: &[u8]);
    fn next_message(&mut self) -> Result<Option<Self::Message>, Self::Error>;
    /// Whether a message has begun and is not whole.
    fn within_message(&self) -> bool;
    /// The kind of what is wrong, of few: logged once each.
    fn kind(error: &Self::Error) -> &'static str;
    /// What is said last to who sent this.
    fn last_words(error: &Self::Error) -> Option<Vec<u8>>;
}

/// A message to write.
#[derive(Debug)]
pub(super) struct Outgoing {
    /// Its number among the connection's messages.
    pub number: u64,
    pub bytes: Vec<u8>,
    /// Not to be written after this moment.
    pub not_after_ns: Option<Nanos>,
}

/// What a connection tells of itself while it lives.
pub(super) enum Heard<M> {
    Message(M),
    /// A message was too old to be written, by its number.
    NotWritten(u64),
}

/// How a connection ended: so many of the messages given to it may have left, why, and, where what came on it
/// could not be read, the kind of that.
pub(super) struct Ended {
    pub written: u64,
    pub why: String,
    pub spoilt: Option<&'static str>,
}

/// Carries messages both ways until the connection ends or `out` does. `patience`: for the first message to be
/// whole, and for each that has begun. While `heard` takes its time, nothing more is read.
pub(super) async fn run<C: Codec>(
    mut stream: TcpStream,
    mut codec: C,
    clock: Clock,
    patience: Option<Duration>,
    out: &mut mpsc::Receiver<Outgoing>,
    mut heard: impl AsyncFnMut(Heard<C::Message>) -> bool,
) -> Ended {
    let _ = stream.set_nodelay(true);
    let (mut batch, mut bytes): (Vec<Outgoing>, Vec<u8>) = (Vec::new(), Vec::new());
    // Of `bytes`, what is written; messages that may have left; and those that have once a byte of `bytes` does.
    let (mut sent, mut written, mut encoded) = (0, 0, 0);
    let mut spoilt = None;
    let mut due = patience.map(|patience| Instant::now() + patience);
    let why = loop {
        tokio::select! {
            ready = stream.readable(), if bytes.len() - sent < READ_BYTES => {
                let read = ready.and_then(|()| read(&stream, &mut codec));
                match read {
                    Ok(0) => break "closed by the other end".into(),
                    Ok(_) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(e) => break format!("reading: {e}"),
                }
                match hand_on(&mut codec, &mut heard).await {
                    Ok(None) => {}
                    Ok(Some(messages)) => {
                        let begun = codec.within_message();
                        match patience {
                            // One that was whole shows good will; what has begun since is timed anew.
                            Some(patience) if messages > 0 => due = begun.then(|| Instant::now() + patience),
                            Some(patience) if begun && due.is_none() => due = Some(Instant::now() + patience),
                            _ => {}
                        }
                    }
                    Err(error) => {
                        spoilt = Some(C::kind(&error));
                        bytes.extend(C::last_words(&error).into_iter().flatten());
                        break error.to_string();
                    }
                }
            }
            ready = stream.writable(), if sent < bytes.len() => match ready.and_then(|()| stream.try_write(&bytes[sent..])) {
                Ok(count) => {
                    written = encoded;
                    sent += count;
                    if sent == bytes.len() {
                        (bytes, sent) = (Vec::new(), 0);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => break format!("writing: {e}"),
            },
            taken = out.recv_many(&mut batch, BATCH), if bytes.is_empty() => {
                if taken == 0 {
                    break "done".into();
                }
                let now = clock.now();
                for message in batch.drain(..) {
                    if message.not_after_ns.is_some_and(|at| now > at) {
                        heard(Heard::NotWritten(message.number)).await;
                    } else {
                        bytes.extend_from_slice(&message.bytes);
                    }
                    encoded = message.number + 1;
                }
            }
            () = tokio::time::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                break "no whole message in time".into();
            }
        }
    };
    // What was queued before the end goes out too, if the other end reads at all.
    while let Ok(message) = out.try_recv() {
        if message.not_after_ns.is_none() {
            bytes.extend_from_slice(&message.bytes);
        }
    }
    if sent < bytes.len() {
        let left = tokio::time::timeout(LINGER, async {
            stream.write_all(&bytes[sent..]).await?;
            stream.shutdown().await?;
            // Closing on bytes that were not read would take back what was just said.
            while !matches!(throw_away(&stream), Ok(0)) {
                stream.readable().await?;
            }
            io::Result::Ok(())
        });
        let _ = left.await;
    }
    Ended { written, why, spoilt }
}

/// Hands on all messages that are whole: how many; `None`, nobody listens.
async fn hand_on<C: Codec>(
    codec: &mut C,
    heard: &mut impl AsyncFnMut(Heard<C::Message>) -> bool,
) -> Result<Option<usize>, C::Error> {
    let mut count = 0;
    while let Some(message) = codec.next_message()? {
        if !heard(Heard::Message(message)).await {
            return Ok(None);
        }
        count += 1;
    }
    Ok(Some(count))
}

/// Reads what is there into the codec. The buffer is not kept while a connection waits.
fn read<C: Codec>(stream: &TcpStream, codec: &mut C) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    let count = stream.try_read(&mut buffer)?;
    codec.feed(&buffer[..count]);
    Ok(count)
}

fn throw_away(stream: &TcpStream) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    match stream.try_read(&mut buffer) {
        Err(e) if e.kind() != io::ErrorKind::WouldBlock => Ok(0),
        other => other,
    }
}
