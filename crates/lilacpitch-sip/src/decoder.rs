//! Bytes of a stream to messages.

use crate::message::{is_call_id, Message, Request, Response};
use lilacpitch_protocol::http::{self, Fields, HeadError};
use thiserror::Error;

/// Longest message, head and body together, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Why a stream can't be read on. `of`: the request it happened in, where its head could be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SipError {
    /// The head is none.
    #[error("head: {0}")]
    Head(#[from] HeadError),
    /// The start line is neither a request's nor a response's (RFC 3261 section 7.1 and 7.2).
    #[error("start line: {0}")]
    StartLine(&'static str),
    /// No length, or one that can't be used (RFC 3261 section 18.3 and 20.14).
    #[error("Content-Length: {what}")]
    Length {
        /// What is wrong.
        what: &'static str,
        /// The request.
        of: Option<Box<Request>>,
    },
    /// A message of more than [`MAX_MESSAGE_BYTES`].
    #[error("message of over {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// The request.
        of: Option<Box<Request>>,
    },
}

impl SipError {
    /// The last answer on this stream, where the request can be named: a status, its reason, and the request.
    pub fn answer(&self) -> Option<(u16, &'static str, &Request)> {
        match self {
            SipError::Length { of: Some(request), .. } => Some((400, "Bad Content-Length", request)),
            SipError::TooLong { of: Some(request) } => Some((413, "Message Too Long", request)),
            _ => None,
        }
    }
}

/// Collects the bytes of one stream.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// A head that was read and waits for its body: the message, and its length.
    waits: Option<(Message, usize)>,
}

impl Decoder {
    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether a message has begun and is not whole.
    pub fn within_message(&self) -> bool {
        self.waits.is_some() || !self.bytes.is_empty()
    }

    /// The next message that is whole. After an error the stream can't be read on.
    pub fn next_message(&mut self) -> Result<Option<Message>, SipError> {
        if self.waits.is_none() {
            // Line ends before a start line are ignored (RFC 3261 section 7.5).
            let blank = self.bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            self.take(blank);
            let Some((start, fields, taken)) = http::head(&self.bytes)? else { return Ok(None) };
            self.take(taken);
            let (message, length) = head(&start, fields, taken)?;
            self.waits = Some((message, length));
        }
        let whole = self.waits.as_ref().is_some_and(|(_, length)| self.bytes.len() >= *length);
        let Some((mut message, length)) = self.waits.take_if(|_| whole) else { return Ok(None) };
        if let Message::Request(request) = &mut message {
            request.body = self.bytes[..length].to_vec();
        }
        self.take(length);
        Ok(Some(message))
    }

    fn take(&mut self, count: usize) {
        self.bytes.drain(..count);
        // What grew with need shrinks again: most connections are idle most of the time.
        if self.bytes.is_empty() && self.bytes.capacity() > 4096 {
            self.bytes = Vec::new();
        }
    }
}

/// The message of a head, and the length of its body.
fn head(start: &str, fields: Fields, taken: usize) -> Result<(Message, usize), SipError> {
    let call_id = named(&fields, "Call-ID", "i").filter(|id| is_call_id(id)).map(str::to_string);
    let cseq = fields.get("CSeq").unwrap_or("").to_string();
    let length = length(&fields);
    let message = if let Some(rest) = start.strip_prefix("SIP/2.0 ") {
        let status = rest.split(' ').next().and_then(|code| code.parse().ok());
        let Some(status) = status.filter(|code| (100..700).contains(code)) else {
            return Err(SipError::StartLine("status is not 100 to 699"));
        };
        Message::Response(Response { status, call_id, cseq })
    } else {
        let mut parts = start.split(' ');
        let (Some(method), Some(uri), Some("SIP/2.0"), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(SipError::StartLine("not 'method address SIP/2.0'"));
        };
        let (method, uri) = (method.to_string(), uri.to_string());
        Message::Request(Request { method, uri, call_id, cseq, fields, body: Vec::new() })
    };
    let of = |message| match message {
        Message::Request(request) => Some(Box::new(request)),
        Message::Response(_) => None,
    };
    match length {
        Ok(length) if taken + length > MAX_MESSAGE_BYTES => Err(SipError::TooLong { of: of(message) }),
        Ok(length) => Ok((message, length)),
        Err(what) => Err(SipError::Length { what, of: of(message) }),
    }
}

fn named<'a>(fields: &'a Fields, name: &str, short: &str) -> Option<&'a str> {
    fields.get(name).or_else(|| fields.get(short))
}

fn length(fields: &Fields) -> Result<usize, &'static str> {
    let mut all = fields.all("Content-Length").chain(fields.all("l"));
    let Some(text) = all.next() else { return Err("missing") };
    if all.next().is_some() {
        return Err("given twice");
    }
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err("not a whole number");
    }
    // Digits that don't fit are a length far over the limit.
    Ok(text.parse::<u32>().map_or(usize::MAX / 2, |length| length as usize))
}
