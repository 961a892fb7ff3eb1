//! One connection: bytes to messages and messages to bytes, in one task that owns both halves.

use crate::clock::Clock;
use crate::outbox::{End, Outbox};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// How long the other end may take to read what is left once the connection is being closed, and how long what it
/// still sends is thrown away, so that it can read why.
const LINGER: Duration = Duration::from_millis(300);
/// While messages wait for the driver, it is looked so often whether the other end has gone.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time for what has already arrived to show, where it is asked for the first time.
const SHOWS_WITHIN: Duration = Duration::from_millis(2);

/// How a stream's bytes become messages.
pub trait Codec {
    /// What a whole message is.
    type Message;
    /// Why the bytes can't be read on.
    type Error: std::fmt::Display;
    /// Takes bytes as they come.
    fn feed(&mut self, bytes: &[u8]);
    /// The next message that is whole.
    fn next_message(&mut self) -> Result<Option<Self::Message>, Self::Error>;
    /// Whether a message has begun and is not whole.
    fn within_message(&self) -> bool;
    /// The kind of what is wrong, of few: logged once each.
    fn kind(error: &Self::Error) -> &'static str;
    /// What is said last to who sent this.
    fn last_words(error: &Self::Error) -> Option<Vec<u8>>;
    /// Leaves out what messages that were read together take back themselves.
    fn settle(_batch: &mut Vec<Self::Message>) {}
}

/// What a connection tells of itself while it lives.
pub enum Heard<M> {
    /// A message.
    Message(M),
    /// A message was too old to be written, by its number.
    NotWritten(u64),
}

/// How a connection ended: so many of the messages given to it may have left, why, and, where what came on it
/// could not be read, the kind of that.
pub struct Ended {
    /// Messages that may have left, at least in part.
    pub written: u64,
    /// Why it ended.
    pub why: String,
    /// The kind of what could not be read.
    pub malformed: Option<&'static str>,
}

/// Connections that are over for the driver and still drain, and how many may.
#[derive(Debug)]
pub struct Draining {
    now: Cell<usize>,
    most: usize,
}

impl Draining {
    /// At most so many.
    pub fn new(most: usize) -> Self {
        Draining { now: Cell::new(0), most }
    }
}

struct Drains(Rc<Draining>);

impl Drop for Drains {
    fn drop(&mut self) {
        self.0.now.set(self.0.now.get() - 1);
    }
}

/// A connection, until it has ended.
pub struct Connection<C> {
    /// The socket.
    pub stream: TcpStream,
    /// Its bytes to messages.
    pub codec: C,
    /// By which messages become too old.
    pub clock: Clock,
    /// For the first message to be whole, and for each that has begun.
    pub read_timeout: Option<Duration>,
    /// What waits to be written.
    pub outbox: Outbox,
}

/// A connection that has ended for its owner, and may hold what the other end is yet to read.
pub struct Rest {
    stream: TcpStream,
    /// What is still to be written.
    bytes: Vec<u8>,
    drain: bool,
}

impl<C: Codec> Connection<C> {
    /// Carries messages both ways until the connection ends or its outbox does. While `heard` takes its time,
    /// nothing more is read. `left` is told at once when the other end has closed, though what it sent before is
    /// still to be handed on.
    pub async fn run(
        mut self,
        left: impl Fn(),
        mut heard: impl AsyncFnMut(Heard<C::Message>) -> bool,
    ) -> (Ended, Rest) {
        let _ = self.stream.set_nodelay(true);
        let mut malformed = None;
        let mut last_words = Vec::new();
        let mut gone = false;
        let mut due = self.read_timeout.map(|timeout| Instant::now() + timeout);
        let outbox = self.outbox.clone();
        let why: String = loop {
            let ending = outbox.ending();
            let idle = outbox.waiting().0 == 0;
            match ending {
                Some(End::Now) => break "cut off".into(),
                Some(End::Done) => break "done".into(),
                // What has arrived by now is read first: the runtime looks at the socket meanwhile.
                Some(End::Evict) => tokio::task::yield_now().await,
                Some(End::Finish) => {
                    let _ = tokio::time::timeout(SHOWS_WITHIN, self.stream.readable()).await;
                }
                _ => {}
            }
            // The last look at what came, without waiting for more.
            let last_look = matches!(ending, Some(End::Evict | End::Finish));
            let read_now = if last_look { Some(self.read()) } else { None };
            let read = match read_now {
                Some(Err(e)) if e.kind() == io::ErrorKind::WouldBlock => {
                    if outbox.pending() == 0 && idle {
                        break if ending == Some(End::Evict) { "evicted".into() } else { "finished".into() };
                    }
                    tokio::select! {
                        () = outbox.changed() => continue,
                        ready = self.stream.writable(), if !idle => {
                            match ready.and_then(|()| self.write()) {
                                Ok(too_old) => for number in too_old { heard(Heard::NotWritten(number)).await; },
                                Err(e) => break format!("writing: {e}"),
                            }
                            continue;
                        }
                    }
                }
                Some(read) => read,
                None => tokio::select! {
                    ready = self.stream.ready(Interest::READABLE) => {
                        let ready = ready.and_then(|ready| {
                            if ready.is_read_closed() && !gone {
                                gone = true;
                                left();
                            }
                            self.read()
                        });
                        match ready {
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                            read => read,
                        }
                    }
                    ready = self.stream.writable(), if !idle => {
                        match ready.and_then(|()| self.write()) {
                            Ok(too_old) => for number in too_old { heard(Heard::NotWritten(number)).await; },
                            Err(e) => break format!("writing: {e}"),
                        }
                        continue;
                    }
                    () = outbox.changed() => continue,
                    () = tokio::time::sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                        // After a stall its message may be there, in time and unread.
                        tokio::task::yield_now().await;
                        match self.read() {
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                                break "no whole message in time".into();
                            }
                            read => read,
                        }
                    }
                },
            };
            match read {
                Ok(0) => {
                    gone = true;
                    break "closed by the other end".into();
                }
                Ok(_) => {}
                Err(e) => {
                    gone = true;
                    break format!("reading: {e}");
                }
            }
            let (batch, error) = self.batch();
            let messages = batch.len();
            if messages > 0 {
                outbox.keep();
            }
            let handed = self.hand_on(batch, &mut gone, &left, &mut heard).await;
            if let Some(error) = error {
                malformed = Some(C::kind(&error));
                last_words = C::last_words(&error).unwrap_or_default();
                break error.to_string();
            }
            if !handed {
                break "nobody listens".into();
            }
            let begun = self.codec.within_message();
            match self.read_timeout {
                // One that was whole shows good will; what has begun since is timed anew.
                Some(timeout) if messages > 0 => due = begun.then(|| Instant::now() + timeout),
                Some(timeout) if begun && due.is_none() => due = Some(Instant::now() + timeout),
                _ => {}
            }
        };
        if gone {
            left();
        }
        self.ended(why, gone, malformed, last_words)
    }

    /// All messages that are whole, and what ended them, if something did.
    fn batch(&mut self) -> (Vec<C::Message>, Option<C::Error>) {
        let mut batch = Vec::new();
        let error = loop {
            match self.codec.next_message() {
                Ok(Some(message)) => batch.push(message),
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        C::settle(&mut batch);
        (batch, error)
    }

    /// Hands on messages one by one; whether somebody listens.
    async fn hand_on(
        &self,
        batch: Vec<C::Message>,
        gone: &mut bool,
        left: &impl Fn(),
        heard: &mut impl AsyncFnMut(Heard<C::Message>) -> bool,
    ) -> bool {
        // All at once: what is read and waits here counts as not yet taken.
        batch.iter().for_each(|_| self.outbox.handed_on());
        for message in batch {
            let mut handing = std::pin::pin!(heard(Heard::Message(message)));
            let listens = loop {
                tokio::select! {
                    biased;
                    listens = &mut handing => break listens,
                    () = tokio::time::sleep(LOOK_EVERY), if !*gone => {
                        if closed(&self.stream).await {
                            *gone = true;
                            left();
                        }
                    }
                }
            };
            if !listens {
                return false;
            }
        }
        true
    }

    /// Reads what is there into the codec. The buffer is not kept while a connection waits.
    fn read(&mut self) -> io::Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let count = self.stream.try_read(&mut buffer)?;
        self.codec.feed(&buffer[..count]);
        Ok(count)
    }

    /// Writes what the socket takes; the numbers of messages that were too old.
    fn write(&self) -> io::Result<Vec<u64>> {
        let wrote = self.outbox.write(self.clock.now(), |bytes| self.stream.try_write(bytes))?;
        if wrote.stuck {
            return Err(io::Error::other("a message was half written when its time was over"));
        }
        Ok(wrote.too_old)
    }

    fn ended(
        self,
        why: String,
        gone: bool,
        malformed: Option<&'static str>,
        last_words: Vec<u8>,
    ) -> (Ended, Rest) {
        let outbox = &self.outbox;
        let drain = !gone && outbox.ending() != Some(End::Now);
        let written = outbox.written();
        // What was queued before the end goes out too, if the other end reads at all.
        let mut bytes = if drain { outbox.last_bytes() } else { Vec::new() };
        bytes.extend(last_words);
        (Ended { written, why, malformed }, Rest { stream: self.stream, bytes, drain })
    }
}

impl Rest {
    /// Writes what is left and waits for the other end to close: closing on bytes that were not read would take back
    /// what was just said. Where too many do so already, this one closes at once.
    pub async fn drain(mut self, draining: &Rc<Draining>) {
        if !self.drain {
            return;
        }
        if draining.now.get() >= draining.most {
            let _ = self.stream.try_write(&self.bytes);
            while throw_away(&self.stream).is_ok_and(|count| count > 0) {}
            return;
        }
        draining.now.set(draining.now.get() + 1);
        let _drains = Drains(draining.clone());
        let left = tokio::time::timeout(LINGER, async {
            self.stream.write_all(&self.bytes).await?;
            self.stream.shutdown().await?;
            while !matches!(throw_away(&self.stream), Ok(0)) {
                self.stream.readable().await?;
            }
            io::Result::Ok(())
        });
        let _ = left.await;
    }
}

/// Whether the other end has closed, though what it sent before may be unread.
async fn closed(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

fn throw_away(stream: &TcpStream) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    match stream.try_read(&mut buffer) {
        Err(e) if e.kind() != io::ErrorKind::WouldBlock => Ok(0),
        other => other,
    }
}
