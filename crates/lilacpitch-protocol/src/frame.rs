//! WebSocket frames and messages (RFC 6455 sections 5 to 8), for either role.
//!
//! A [`Decoder`] takes bytes as they arrive and returns whole messages; it buffers at most one message and
//! one frame header. An [`Encoder`] appends frames to a buffer. Section numbers in this module are those of
//! RFC 6455.

use thiserror::Error;

/// Maximum length of a received message, in bytes, over all its fragments.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum payload of a control frame, in bytes (section 5.5).
pub const MAX_CONTROL_BYTES: usize = 125;
/// Maximum number of fragments of one message, so that empty fragments cannot cause unbounded work.
pub const MAX_FRAGMENTS: u32 = 256;

// Opcodes (section 5.2). Those from 8 on are of control frames.
const CONTINUATION: u8 = 0;
const TEXT: u8 = 1;
const BINARY: u8 = 2;
const FIRST_CONTROL_OPCODE: u8 = 8;
const CLOSE: u8 = 8;
const PING: u8 = 9;
const PONG: u8 = 10;

/// The role of an end of a connection. Clients mask the frames that they send, servers don't (section 5.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The end that opened the connection.
    Client,
    /// The end that accepted it.
    Server,
}

/// A close code (section 7.4.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CloseCode(pub u16);

impl CloseCode {
    /// The purpose of the connection is fulfilled.
    pub const NORMAL: CloseCode = CloseCode(1000);
    /// The sender is going away.
    pub const AWAY: CloseCode = CloseCode(1001);
    /// The peer violated the protocol.
    pub const PROTOCOL: CloseCode = CloseCode(1002);
    /// The data is of a type that the receiver does not accept.
    pub const UNSUPPORTED: CloseCode = CloseCode(1003);
    /// A text message is not UTF-8.
    pub const INVALID: CloseCode = CloseCode(1007);
    /// The peer violated a policy of this end, such as a limit on the number of fragments.
    pub const POLICY: CloseCode = CloseCode(1008);
    /// A message exceeds the size limit.
    pub const TOO_BIG: CloseCode = CloseCode(1009);

    /// Whether a peer may send this code (section 7.4.2).
    fn may_be_sent(self) -> bool {
        matches!(self.0, 1000..=1003 | 1007..=1014 | 3000..=4999)
    }
}

/// A violation of the framing rules or of a limit. The connection must be closed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// A reserved bit is set although no extension is in use (section 5.2).
    #[error("reserved bit set")]
    Reserved,
    /// The opcode is not defined (section 5.2).
    #[error("unknown opcode {0}")]
    Opcode(u8),
    /// A frame of a client has no mask, or a frame of a server has one (section 5.1).
    #[error("mask missing, or where none belongs")]
    Mask,
    /// A length is not encoded in its shortest form, or is 2^63 or more (section 5.2).
    #[error("length not in its shortest form")]
    Length,
    /// A control frame is fragmented or longer than [`MAX_CONTROL_BYTES`] (section 5.5).
    #[error("control frame fragmented or over {MAX_CONTROL_BYTES} bytes")]
    Control,
    /// A continuation frame without a message to continue, or a new message within another (section 5.4).
    #[error("fragments out of order")]
    Fragments,
    /// A message has more fragments than [`MAX_FRAGMENTS`].
    #[error("over {MAX_FRAGMENTS} fragments")]
    TooManyFragments,
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of over {MAX_MESSAGE_BYTES} bytes")]
    TooBig,
    /// A text message is not UTF-8 (section 8.1).
    #[error("text is not UTF-8")]
    Utf8,
    /// A close frame has an incomplete code, a code that may not be sent, or a reason that is not UTF-8.
    #[error("close frame with a bad code or reason")]
    Close,
}

impl FrameError {
    /// The code to close the connection with (section 7.4.1).
    pub fn close_code(&self) -> CloseCode {
        match self {
            FrameError::TooBig => CloseCode::TOO_BIG,
            FrameError::Utf8 => CloseCode::INVALID,
            FrameError::TooManyFragments => CloseCode::POLICY,
            _ => CloseCode::PROTOCOL,
        }
    }
}

/// A whole data message, or a control frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A text message.
    Text(String),
    /// A binary message.
    Binary(Vec<u8>),
    /// A ping, to be answered by a pong with the same payload (section 5.5.2).
    Ping(Vec<u8>),
    /// A pong (section 5.5.3).
    Pong(Vec<u8>),
    /// A close frame, with the code and reason that the peer gave, if any (section 5.5.1).
    Close(Option<(CloseCode, String)>),
}

/// A frame header (section 5.2), with the number of payload bytes that follow it.
#[derive(Debug, Clone, Copy)]
struct FrameHeader {
    is_final: bool,
    opcode: u8,
    mask: Option<[u8; 4]>,
    payload_bytes: usize,
}

/// Decodes bytes to messages. After an error it returns no more messages.
#[derive(Debug)]
pub struct Decoder {
    role: Role,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that are already decoded.
    consumed: usize,
    /// The message whose last fragment has not arrived: whether it is text, its bytes, its number of
    /// fragments.
    partial: Option<(bool, Vec<u8>, u32)>,
    error: Option<FrameError>,
    is_closed: bool,
}

impl Decoder {
    /// A decoder for the end of a connection with this role.
    pub fn new(role: Role) -> Self {
        Decoder { role, buffer: Vec::new(), consumed: 0, partial: None, error: None, is_closed: false }
    }

    /// Appends received bytes. Call [`next`](Self::next) until it returns `None` before feeding the bytes of
    /// another read: then no more than the bytes of one read and one message are ever buffered.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_some() || self.is_closed {
            return;
        }
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that are buffered at present.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.consumed + self.partial.as_ref().map_or(0, |(_, bytes, _)| bytes.len())
    }

    /// Returns the next message that has arrived whole. After a close frame there is none.
    ///
    /// # Errors
    /// The peer violated RFC 6455 or a limit. The connection must be closed with
    /// [`close_code`](FrameError::close_code).
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Message>, FrameError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let next = self.parse();
        if let Err(error) = &next {
            self.error = Some(error.clone());
            (self.buffer, self.consumed, self.partial) = (Vec::new(), 0, None);
        }
        next
    }

    fn parse(&mut self) -> Result<Option<Message>, FrameError> {
        while !self.is_closed {
            let Some((header, header_bytes)) = self.parse_header()? else { return Ok(None) };
            let start = self.consumed + header_bytes;
            let Some(payload) = self.buffer.get_mut(start..start + header.payload_bytes) else {
                return Ok(None);
            };
            if let Some(mask) = header.mask {
                apply_mask(payload, mask);
            }
            let payload = payload.to_vec();
            self.consumed = start + header.payload_bytes;
            if let Some(message) = self.handle_frame(header, payload)? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// Parses the header of the next frame; returns it with its length in bytes. It is checked before the
    /// payload has arrived, so that no bytes are buffered for a frame that will be rejected.
    fn parse_header(&self) -> Result<Option<(FrameHeader, usize)>, FrameError> {
        let bytes = &self.buffer[self.consumed..];
        let [first, second, rest @ ..] = bytes else { return Ok(None) };
        let (is_final, opcode, is_masked) = (first & 0x80 != 0, first & 0x0f, second & 0x80 != 0);
        if first & 0x70 != 0 {
            return Err(FrameError::Reserved);
        }
        if !matches!(opcode, CONTINUATION | TEXT | BINARY | CLOSE | PING | PONG) {
            return Err(FrameError::Opcode(opcode));
        }
        if is_masked != (self.role == Role::Server) {
            return Err(FrameError::Mask);
        }
        let (length, extended_bytes, minimum) = match second & 0x7f {
            126 => {
                let Some(extended) = rest.first_chunk::<2>() else { return Ok(None) };
                (u64::from(u16::from_be_bytes(*extended)), 2, 126)
            }
            127 => {
                let Some(extended) = rest.first_chunk::<8>() else { return Ok(None) };
                (u64::from_be_bytes(*extended), 8, 1 << 16)
            }
            length => (u64::from(length), 0, 0),
        };
        if length < minimum || length >> 63 != 0 {
            return Err(FrameError::Length);
        }
        if opcode >= FIRST_CONTROL_OPCODE && (!is_final || length > MAX_CONTROL_BYTES as u64) {
            return Err(FrameError::Control);
        }
        let partial_bytes = self
            .partial
            .as_ref()
            .filter(|_| opcode < FIRST_CONTROL_OPCODE)
            .map_or(0, |(_, bytes, _)| bytes.len());
        let payload_bytes = usize::try_from(length).unwrap_or(usize::MAX);
        if payload_bytes.saturating_add(partial_bytes) > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooBig);
        }
        let mask = match (is_masked, rest.get(extended_bytes..extended_bytes + 4)) {
            (false, _) => None,
            (true, Some(&[a, b, c, d])) => Some([a, b, c, d]),
            (true, _) => return Ok(None),
        };
        let header_bytes = 2 + extended_bytes + if is_masked { 4 } else { 0 };
        Ok(Some((FrameHeader { is_final, opcode, mask, payload_bytes }, header_bytes)))
    }

    /// Handles a whole frame; returns the message that it completes, if any.
    fn handle_frame(&mut self, header: FrameHeader, payload: Vec<u8>) -> Result<Option<Message>, FrameError> {
        match header.opcode {
            CLOSE => {
                self.is_closed = true;
                (self.buffer, self.consumed, self.partial) = (Vec::new(), 0, None);
                return parse_close(&payload).map(|close| Some(Message::Close(close)));
            }
            PING => return Ok(Some(Message::Ping(payload))),
            PONG => return Ok(Some(Message::Pong(payload))),
            _ => {}
        }
        let (is_text, bytes) = match (header.opcode, self.partial.take()) {
            (CONTINUATION, Some((is_text, mut bytes, fragments))) => {
                if fragments >= MAX_FRAGMENTS {
                    return Err(FrameError::TooManyFragments);
                }
                bytes.extend_from_slice(&payload);
                if !header.is_final {
                    self.partial = Some((is_text, bytes, fragments + 1));
                    return Ok(None);
                }
                (is_text, bytes)
            }
            (TEXT | BINARY, None) if !header.is_final => {
                self.partial = Some((header.opcode == TEXT, payload, 1));
                return Ok(None);
            }
            (opcode @ (TEXT | BINARY), None) => (opcode == TEXT, payload),
            _ => return Err(FrameError::Fragments),
        };
        if !is_text {
            return Ok(Some(Message::Binary(bytes)));
        }
        String::from_utf8(bytes).map(|text| Some(Message::Text(text))).map_err(|_| FrameError::Utf8)
    }
}

/// Parses the payload of a close frame: a code and a reason, or nothing.
fn parse_close(payload: &[u8]) -> Result<Option<(CloseCode, String)>, FrameError> {
    match payload {
        [] => Ok(None),
        [_] => Err(FrameError::Close),
        [high, low, reason @ ..] => {
            let code = CloseCode(u16::from_be_bytes([*high, *low]));
            let reason = std::str::from_utf8(reason).map_err(|_| FrameError::Close)?;
            if !code.may_be_sent() {
                return Err(FrameError::Close);
            }
            Ok(Some((code, reason.to_string())))
        }
    }
}

fn apply_mask(payload: &mut [u8], mask: [u8; 4]) {
    for chunk in payload.chunks_mut(4) {
        chunk.iter_mut().zip(mask).for_each(|(byte, key)| *byte ^= key);
    }
}

/// Appends frames to a buffer. `mask` is `None` for a server; a client passes a new, unpredictable mask for
/// each frame (section 5.3).
#[derive(Debug, Clone, Copy)]
pub struct Encoder;

impl Encoder {
    /// Appends a whole text message as one frame.
    pub fn text(out: &mut Vec<u8>, text: &str, mask: Option<[u8; 4]>) {
        Self::frame(out, TEXT, text.as_bytes(), mask);
    }

    /// Appends a pong with the payload of the ping that it answers.
    pub fn pong(out: &mut Vec<u8>, payload: &[u8], mask: Option<[u8; 4]>) {
        Self::frame(out, PONG, &payload[..payload.len().min(MAX_CONTROL_BYTES)], mask);
    }

    /// Appends a ping.
    pub fn ping(out: &mut Vec<u8>, payload: &[u8], mask: Option<[u8; 4]>) {
        Self::frame(out, PING, &payload[..payload.len().min(MAX_CONTROL_BYTES)], mask);
    }

    /// Appends a close frame; a reason that is too long is truncated at a character boundary.
    pub fn close(out: &mut Vec<u8>, code: CloseCode, reason: &str, mask: Option<[u8; 4]>) {
        let end =
            (0..=reason.len().min(MAX_CONTROL_BYTES - 2)).rev().find(|index| reason.is_char_boundary(*index));
        let mut payload = code.0.to_be_bytes().to_vec();
        payload.extend_from_slice(&reason.as_bytes()[..end.unwrap_or(0)]);
        Self::frame(out, CLOSE, &payload, mask);
    }

    /// Appends one frame with the final bit set.
    fn frame(out: &mut Vec<u8>, opcode: u8, payload: &[u8], mask: Option<[u8; 4]>) {
        let mask_bit = if mask.is_some() { 0x80 } else { 0 };
        out.push(0x80 | opcode);
        match payload.len() {
            length @ 0..=125 => out.push(mask_bit | length as u8),
            length @ 126..=0xffff => {
                out.push(mask_bit | 126);
                out.extend_from_slice(&(length as u16).to_be_bytes());
            }
            length => {
                out.push(mask_bit | 127);
                out.extend_from_slice(&(length as u64).to_be_bytes());
            }
        }
        out.extend(mask.into_iter().flatten());
        let payload_start = out.len();
        out.extend_from_slice(payload);
        if let Some(mask) = mask {
            apply_mask(&mut out[payload_start..], mask);
        }
    }
}
