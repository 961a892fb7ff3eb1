//! A blocking client connection of a handset to a front.

use lilacpitch_protocol::frame::{Decoder, Encoder, Message, Role};
use lilacpitch_protocol::handshake::{self, CALL_PROTOCOL};
use lilacpitch_protocol::http;
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout of each step of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long after a call's budget its final answer is still awaited.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// A handset's connection to a front.
pub struct Caller {
    stream: TcpStream,
    decoder: Decoder,
    /// Number of calls so far; part of the next call's id.
    calls: u64,
}

impl Caller {
    /// Connects to a front. With a number, the front registers the handset under it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or its handshake fails or takes longer than ten seconds.
    pub fn connect(front: SocketAddr, number: Option<&str>) -> Result<Self> {
        Caller::connect_within(front, number, CONNECT_TIMEOUT)
    }

    /// Connects like [`Caller::connect`], with a timeout for connecting and for each read.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or its handshake fails or times out.
    pub fn connect_within(front: SocketAddr, number: Option<&str>, timeout: Duration) -> Result<Self> {
        let mut stream = TcpStream::connect_timeout(&front, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let target = number.map_or("/call".into(), |n| format!("/call/{}", n.replace('#', "%23")));
        let key = handshake::key([7; 16]);
        stream.write_all(&handshake::client_request(&front.to_string(), &target, &key, CALL_PROTOCOL))?;
        let (mut bytes, mut buffer) = (Vec::new(), [0; 1024]);
        let invalid_data = |message: String| Error::new(ErrorKind::InvalidData, message);
        loop {
            if let Some((head, head_length)) =
                http::response(&bytes).map_err(|e| invalid_data(e.to_string()))?
            {
                handshake::check_answer(&head, &key, CALL_PROTOCOL)
                    .map_err(|e| invalid_data(e.to_string()))?;
                let mut decoder = Decoder::new(Role::Client);
                decoder.feed(&bytes[head_length..]);
                return Ok(Caller { stream, decoder, calls: 0 });
            }
            match stream.read(&mut buffer)? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                read => bytes.extend_from_slice(&buffer[..read]),
            }
        }
    }

    fn send(&mut self, message: &FromCaller) -> Result<()> {
        let mut bytes = Vec::new();
        Encoder::text(&mut bytes, &message.encode(), Some([1, 2, 3, 4]));
        self.stream.write_all(&bytes)
    }

    /// Returns the next message, or `None` if none arrives within the timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or a message is malformed.
    pub fn receive(&mut self, timeout: Duration) -> Result<Option<ToCaller>> {
        let (deadline, mut buffer) = (Instant::now() + timeout, [0; 4096]);
        loop {
            match self.decoder.next() {
                Ok(Some(Message::Text(text))) => {
                    let invalid_data = |e| Error::new(ErrorKind::InvalidData, format!("{e}"));
                    return ToCaller::decode(&text).map(Some).map_err(invalid_data);
                }
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(error) => return Err(Error::new(ErrorKind::InvalidData, format!("{error:?}"))),
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(remaining))?;
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

    /// Sets up a call to a number and waits for the final answer. Returns the call's id and the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or no final answer arrives in time.
    pub fn call(&mut self, class: &str, number: &str, budget: Duration) -> Result<(String, Answer)> {
        self.call_pool(class, None, number, budget)
    }

    /// Sets up a call like [`Caller::call`], with a preferred pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or no final answer arrives in time.
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
        self.send(&FromCaller::Setup { call: call.clone(), class, pool, number, budget_ms })?;
        let deadline = Instant::now() + budget + ANSWER_MARGIN;
        while Instant::now() < deadline {
            if let Some(ToCaller::Final { call: answered_call, answer, .. }) =
                self.receive(Duration::from_millis(100))?
            {
                if answered_call == call {
                    return Ok((call, answer));
                }
            }
        }
        Err(Error::new(ErrorKind::TimedOut, "no final answer in time"))
    }

    /// Releases a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub fn release(&mut self, call: &str) -> Result<()> {
        self.send(&FromCaller::Release { call: call.into() })
    }
}
