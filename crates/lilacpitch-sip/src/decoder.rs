//! Incremental decoder of a byte stream into SIP messages.
//!
//! A head is parsed as soon as it is complete, so a body over the limit is rejected before any of it is
//! buffered. After an error the position of the next message is unknown, and decoding can't continue.

use crate::message::{is_valid_call_id, Message, Request, Response};
use lilacpitch_protocol::http::{self, Fields, HeadError};
use thiserror::Error;

/// Longest message in bytes, head and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Unused capacity in bytes that a buffer may keep, beyond as much as it holds. It is small, since most
/// connections are idle most of the time.
const IDLE_CAPACITY_BYTES: usize = 4096;

/// Why a stream can't be decoded any further: its peer sent something malformed or too long. If the head
/// could be parsed, the error carries the request, so that it can be answered.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SipError {
    /// The head is malformed or too long.
    #[error("head: {0}")]
    Head(#[from] HeadError),
    /// The start line is neither a request line nor a status line (RFC 3261 section 7.1 and 7.2).
    #[error("start line: {0}")]
    StartLine(&'static str),
    /// `Content-Length` is missing or invalid (RFC 3261 section 18.3 and 20.14).
    #[error("Content-Length: {problem}")]
    Length {
        /// What is wrong with the field.
        problem: &'static str,
        /// The request with this field; `None` if the message is a response.
        request: Option<Box<Request>>,
    },
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// The request that is too long; `None` if the message is a response.
        request: Option<Box<Request>>,
    },
}

impl SipError {
    /// Returns the response to send before the stream is closed, as status, reason phrase and the request
    /// that it answers; `None` if the request is unknown.
    pub fn final_response(&self) -> Option<(u16, &'static str, &Request)> {
        match self {
            SipError::Length { request: Some(request), .. } => Some((400, "Bad Content-Length", request)),
            SipError::TooLong { request: Some(request) } => Some((413, "Message Too Long", request)),
            _ => None,
        }
    }
}

/// Decodes the messages of one stream.
#[derive(Debug, Clone, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// A message whose head was parsed and whose body is incomplete, with the body's length in bytes.
    partial: Option<(Message, usize)>,
}

impl Decoder {
    /// Appends bytes read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Without spare capacity, which would double the memory of many connections with partial messages.
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the bytes that were fed and are not decoded.
    pub fn unread(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns how many bytes can be fed before the buffer holds more than the longest message.
    pub fn free_bytes(&self) -> usize {
        MAX_MESSAGE_BYTES.saturating_sub(self.buffer.len())
    }

    /// Whether a message has begun and is incomplete.
    pub fn has_partial_message(&self) -> bool {
        self.partial.is_some() || !self.buffer.is_empty()
    }

    /// Returns the next complete message, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// Returns a [`SipError`] if the bytes are not SIP, or exceed a limit. The decoder must not be used
    /// afterwards.
    pub fn next_message(&mut self) -> Result<Option<Message>, SipError> {
        if self.partial.is_none() {
            // Line ends before a start line are ignored (RFC 3261 section 7.5).
            let leading_line_ends = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            self.consume(leading_line_ends);
            let Some((start_line, fields, head_length)) = http::head(&self.buffer)? else { return Ok(None) };
            self.consume(head_length);
            let (message, length) = parse_head(&start_line, fields, head_length)?;
            self.partial = Some((message, length));
        }
        let is_complete = self.partial.as_ref().is_some_and(|(_, length)| self.buffer.len() >= *length);
        let Some((mut message, length)) = self.partial.take_if(|_| is_complete) else { return Ok(None) };
        if let Message::Request(request) = &mut message {
            request.body = self.buffer[..length].to_vec();
        }
        self.consume(length);
        Ok(Some(message))
    }

    /// Removes bytes from the front of the buffer.
    fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
        if self.buffer.capacity() > 2 * self.buffer.len() + IDLE_CAPACITY_BYTES {
            self.buffer.shrink_to_fit();
        }
    }
}

/// Converts a head to a message without its body, and returns it with the body's length in bytes.
fn parse_head(start_line: &str, fields: Fields, head_length: usize) -> Result<(Message, usize), SipError> {
    let call_id = field(&fields, "Call-ID", "i").filter(|id| is_valid_call_id(id)).map(str::to_string);
    let cseq = fields.get("CSeq").unwrap_or("").to_string();
    let body_length = content_length(&fields);
    let message = if let Some(status_line) = start_line.strip_prefix("SIP/2.0 ") {
        let status = status_line.split(' ').next().and_then(|code| code.parse().ok());
        let Some(status) = status.filter(|code| (100..700).contains(code)) else {
            return Err(SipError::StartLine("status code not within 100 to 699"));
        };
        Message::Response(Response { status, call_id, cseq })
    } else {
        let mut parts = start_line.split(' ');
        let (Some(method), Some(uri), Some("SIP/2.0"), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(SipError::StartLine("expected 'METHOD URI SIP/2.0'"));
        };
        let (method, uri) = (method.to_string(), uri.to_string());
        Message::Request(Request { method, uri, call_id, cseq, fields, body: Vec::new() })
    };
    match body_length {
        Ok(length) if head_length + length > MAX_MESSAGE_BYTES => {
            Err(SipError::TooLong { request: into_request(message) })
        }
        Ok(length) => Ok((message, length)),
        Err(problem) => Err(SipError::Length { problem, request: into_request(message) }),
    }
}

/// Returns the request for an error that can be answered; `None` for a response.
fn into_request(message: Message) -> Option<Box<Request>> {
    match message {
        Message::Request(request) => Some(Box::new(request)),
        Message::Response(_) => None,
    }
}

/// Returns a field by its name, else by its compact form (RFC 3261 section 7.3.3).
fn field<'a>(fields: &'a Fields, name: &str, compact: &str) -> Option<&'a str> {
    fields.get(name).or_else(|| fields.get(compact))
}

/// Parses the body's length in bytes, or returns what is wrong with the field.
fn content_length(fields: &Fields) -> Result<usize, &'static str> {
    let mut values = fields.all("Content-Length").chain(fields.all("l"));
    let Some(text) = values.next() else { return Err("missing") };
    if values.next().is_some() {
        return Err("repeated");
    }
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err("not a whole number");
    }
    // A number that overflows is over the limit in any case.
    Ok(text.parse::<u32>().map_or(usize::MAX / 2, |length| length as usize))
}
