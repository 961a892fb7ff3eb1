//! A handset: one connection to a front, blocking.

use lilacpitch_protocol::frame::{Decoder, Encoder, Message, Role};
use lilacpitch_protocol::handshake::{self, CALL_PROTOCOL};
use lilacpitch_protocol::http;
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection to a front.
pub struct Caller {
    stream: TcpStream,
    decoder: Decoder,
    calls: u64,
}

impl Caller {
    /// Connects; with a number, it is reached there from now on.
    pub fn connect(front: SocketAddr, number: Option<&str>) -> Result<Self> {
        Caller::connect_within(front, number, Duration::from_secs(10))
    }

    /// The same, and each step of it within a time.
    pub fn connect_within(front: SocketAddr, number: Option<&str>, patience: Duration) -> Result<Self> {
        let mut stream = TcpStream::connect_timeout(&front, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        let target = number.map_or("/call".into(), |n| format!("/call/{}", n.replace('#', "%23")));
        let key = handshake::key([7; 16]);
        stream.write_all(&handshake::client_request(&front.to_string(), &target, &key, CALL_PROTOCOL))?;
        let (mut bytes, mut buffer) = (Vec::new(), [0; 1024]);
        let wrong = |e: String| Error::new(ErrorKind::InvalidData, e);
        loop {
            if let Some((head, taken)) = http::response(&bytes).map_err(|e| wrong(e.to_string()))? {
                handshake::check_answer(&head, &key, CALL_PROTOCOL).map_err(|e| wrong(e.to_string()))?;
                let mut decoder = Decoder::new(Role::Client);
                decoder.feed(&bytes[taken..]);
                return Ok(Caller { stream, decoder, calls: 0 });
            }
            match stream.read(&mut buffer)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                read => bytes.extend_from_slice(&buffer[..read]),
            }
        }
    }

    fn say(&mut self, message: &FromCaller) -> Result<()> {
        let mut bytes = Vec::new();
        Encoder::text(&mut bytes, &message.encode(), Some([1, 2, 3, 4]));
        self.stream.write_all(&bytes)
    }

    /// The next message; `None`: none within the time.
    pub fn hear(&mut self, patience: Duration) -> Result<Option<ToCaller>> {
        let (until, mut buffer) = (Instant::now() + patience, [0; 4096]);
        loop {
            match self.decoder.next() {
                Ok(Some(Message::Text(text))) => {
                    let wrong = |e| Error::new(ErrorKind::InvalidData, format!("{e}"));
                    return ToCaller::decode(&text).map(Some).map_err(wrong);
                }
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(error) => return Err(Error::new(ErrorKind::InvalidData, format!("{error:?}"))),
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(left))?;
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(read) => self.decoder.feed(&buffer[..read]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Ok(None)
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Asks for a call to a number and waits for its answer; the call's id, to release it by.
    pub fn call(&mut self, class: &str, number: &str, budget: Duration) -> Result<(String, Answer)> {
        self.call_pool(class, None, number, budget)
    }

    /// The same with a pool of first choice.
    pub fn call_pool(
        &mut self,
        class: &str,
        pool: Option<&str>,
        number: &str,
        budget: Duration,
    ) -> Result<(String, Answer)> {
        self.calls += 1;
        let call = format!("c{}", self.calls);
        let budget_ms = budget.as_millis() as u64;
        let (class, number) = (class.to_string(), Some(number.to_string()));
        let pool = pool.map(String::from);
        self.say(&FromCaller::Setup { call: call.clone(), class, pool, number, budget_ms })?;
        let until = Instant::now() + budget + Duration::from_secs(2);
        while Instant::now() < until {
            if let Some(ToCaller::Final { call: of, answer, .. }) = self.hear(Duration::from_millis(100))? {
                if of == call {
                    return Ok((call, answer));
                }
            }
        }
        Err(Error::new(ErrorKind::TimedOut, "no final answer in time"))
    }

    /// Ends a call.
    pub fn release(&mut self, call: &str) -> Result<()> {
        self.say(&FromCaller::Release { call: call.into() })
    }
}
