//! WebSocket frames and the messages made of them (RFC 6455 sections 5 to 8), for either role.
//!
//! A [`Decoder`] is fed bytes as they come and gives whole messages; it holds at most one message and one frame
//! head. An [`Encoder`] appends frames to a buffer.

use thiserror::Error;

/// Longest message taken, in bytes, over all its fragments.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Longest payload of a control frame (section 5.5).
pub const MAX_CONTROL_BYTES: usize = 125;
/// Most fragments of one message: empty ones would otherwise cost work without end.
pub const MAX_FRAGMENTS: u32 = 256;

/// Which end of a connection this is. Clients mask what they send, servers don't (section 5.1).
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
    /// The end is going away.
    pub const AWAY: CloseCode = CloseCode(1001);
    /// Framing was broken.
    pub const PROTOCOL: CloseCode = CloseCode(1002);
    /// Data of a kind that can't be taken.
    pub const UNSUPPORTED: CloseCode = CloseCode(1003);
    /// Text that is not UTF-8.
    pub const INVALID: CloseCode = CloseCode(1007);
    /// Against what this end allows: a reader too slow, too many messages.
    pub const POLICY: CloseCode = CloseCode(1008);
    /// A message too large.
    pub const TOO_BIG: CloseCode = CloseCode(1009);

    /// Whether a peer may send this code (section 7.4.2).
    fn may_be_sent(self) -> bool {
        matches!(self.0, 1000..=1003 | 1007..=1014 | 3000..=4999)
    }
}

/// Why framing is broken, and with it the connection.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// A reserved bit was set though no extension is in use (section 5.2).
    #[error("reserved bit set")]
    Reserved,
    /// An opcode that means nothing (section 5.2).
    #[error("unknown opcode {0}")]
    Opcode(u8),
    /// A client's frame without a mask, or a server's with one (section 5.1).
    #[error("mask missing, or where none belongs")]
    Mask,
    /// A length not in its shortest form, or past 2^63 (section 5.2).
    #[error("length not in its shortest form")]
    Length,
    /// A control frame that is fragmented or too long (section 5.5).
    #[error("control frame fragmented or over {MAX_CONTROL_BYTES} bytes")]
    Control,
    /// A continuation of nothing, or a new message within another (section 5.4).
    #[error("fragments out of order")]
    Fragments,
    /// More fragments than [`MAX_FRAGMENTS`].
    #[error("over {MAX_FRAGMENTS} fragments")]
    TooManyFragments,
    /// A message longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of over {MAX_MESSAGE_BYTES} bytes")]
    TooBig,
    /// Text that is not UTF-8 (section 8.1).
    #[error("text is not UTF-8")]
    Utf8,
    /// A close frame with half a code, a code that may not be sent, or a reason that is not UTF-8.
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

/// A whole message, or a control frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Text.
    Text(String),
    /// Bytes.
    Binary(Vec<u8>),
    /// To be answered by a pong with the same bytes (section 5.5.2).
    Ping(Vec<u8>),
    /// Answer to a ping.
    Pong(Vec<u8>),
    /// The peer closes, with a code and a reason if it gave any (section 5.5.1).
    Close(Option<(CloseCode, String)>),
}

#[derive(Debug, Clone, Copy)]
struct Head {
    fin: bool,
    opcode: u8,
    mask: Option<[u8; 4]>,
    length: usize,
}

/// Turns bytes into messages. After an error it gives nothing more.
#[derive(Debug)]
pub struct Decoder {
    role: Role,
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that are done with.
    used: usize,
    /// The message in the making: whether it is text, its bytes, its fragments.
    partial: Option<(bool, Vec<u8>, u32)>,
    broken: Option<FrameError>,
    closed: bool,
}

impl Decoder {
    /// A decoder at this end of a connection.
    pub fn new(role: Role) -> Self {
        Decoder { role, buffer: Vec::new(), used: 0, partial: None, broken: None, closed: false }
    }

    /// Takes bytes as they came. Feed what one read gave and drain [`next`](Self::next) before feeding more:
    /// then no more than one read and one message are ever held.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.broken.is_some() || self.closed {
            return;
        }
        if self.used > 0 {
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// How many bytes are held at present.
    pub fn held(&self) -> usize {
        self.buffer.len() - self.used + self.partial.as_ref().map_or(0, |(_, bytes, _)| bytes.len())
    }

    /// The next message, if one is whole. After a close frame there is none.
    ///
    /// # Errors
    /// What breaks RFC 6455 or a limit; the connection is to be closed with the error's close code.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Message>, FrameError> {
        if let Some(error) = &self.broken {
            return Err(error.clone());
        }
        let next = self.parse();
        if let Err(error) = &next {
            self.broken = Some(error.clone());
            (self.buffer, self.used, self.partial) = (Vec::new(), 0, None);
        }
        next
    }

    fn parse(&mut self) -> Result<Option<Message>, FrameError> {
        while !self.closed {
            let Some((head, taken)) = self.head()? else { return Ok(None) };
            let from = self.used + taken;
            let Some(payload) = self.buffer.get_mut(from..from + head.length) else { return Ok(None) };
            if let Some(mask) = head.mask {
                apply_mask(payload, mask);
            }
            let payload = payload.to_vec();
            self.used = from + head.length;
            if let Some(message) = self.frame(head, payload)? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// The head of the frame that begins the buffer, checked before its payload is waited for.
    fn head(&self) -> Result<Option<(Head, usize)>, FrameError> {
        let bytes = &self.buffer[self.used..];
        let [first, second, rest @ ..] = bytes else { return Ok(None) };
        let (fin, opcode, masked) = (first & 0x80 != 0, first & 0x0f, second & 0x80 != 0);
        if first & 0x70 != 0 {
            return Err(FrameError::Reserved);
        }
        if !matches!(opcode, 0..=2 | 8..=10) {
            return Err(FrameError::Opcode(opcode));
        }
        if masked != (self.role == Role::Server) {
            return Err(FrameError::Mask);
        }
        let short = second & 0x7f;
        let (length, wide, least) = match short {
            126 => {
                let Some(wide) = rest.first_chunk::<2>() else { return Ok(None) };
                (u64::from(u16::from_be_bytes(*wide)), 2, 126)
            }
            127 => {
                let Some(wide) = rest.first_chunk::<8>() else { return Ok(None) };
                (u64::from_be_bytes(*wide), 8, 1 << 16)
            }
            short => (u64::from(short), 0, 0),
        };
        if length < least || length >> 63 != 0 {
            return Err(FrameError::Length);
        }
        if opcode >= 8 && (!fin || length > MAX_CONTROL_BYTES as u64) {
            return Err(FrameError::Control);
        }
        let before = self.partial.as_ref().filter(|_| opcode < 8).map_or(0, |(_, bytes, _)| bytes.len());
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length.saturating_add(before) > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooBig);
        }
        let mask = match (masked, rest.get(wide..wide + 4)) {
            (false, _) => None,
            (true, Some(&[a, b, c, d])) => Some([a, b, c, d]),
            (true, _) => return Ok(None),
        };
        let taken = 2 + wide + if masked { 4 } else { 0 };
        Ok(Some((Head { fin, opcode, mask, length }, taken)))
    }

    fn frame(&mut self, head: Head, payload: Vec<u8>) -> Result<Option<Message>, FrameError> {
        match head.opcode {
            8 => {
                self.closed = true;
                (self.buffer, self.used, self.partial) = (Vec::new(), 0, None);
                return close(&payload).map(|c| Some(Message::Close(c)));
            }
            9 => return Ok(Some(Message::Ping(payload))),
            10 => return Ok(Some(Message::Pong(payload))),
            _ => {}
        }
        let (text, bytes) = match (head.opcode, self.partial.take()) {
            (0, Some((text, mut bytes, fragments))) => {
                if fragments >= MAX_FRAGMENTS {
                    return Err(FrameError::TooManyFragments);
                }
                bytes.extend_from_slice(&payload);
                if !head.fin {
                    self.partial = Some((text, bytes, fragments + 1));
                    return Ok(None);
                }
                (text, bytes)
            }
            (1 | 2, None) if !head.fin => {
                self.partial = Some((head.opcode == 1, payload, 1));
                return Ok(None);
            }
            (opcode @ (1 | 2), None) => (opcode == 1, payload),
            _ => return Err(FrameError::Fragments),
        };
        if !text {
            return Ok(Some(Message::Binary(bytes)));
        }
        String::from_utf8(bytes).map(|t| Some(Message::Text(t))).map_err(|_| FrameError::Utf8)
    }
}

fn close(payload: &[u8]) -> Result<Option<(CloseCode, String)>, FrameError> {
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

/// Appends frames to a buffer. A client's takes a fresh, unforeseeable mask for each (section 5.3).
#[derive(Debug, Clone, Copy)]
pub struct Encoder;

impl Encoder {
    /// A whole text message in one frame. `mask`: a client's; a server gives none.
    pub fn text(out: &mut Vec<u8>, text: &str, mask: Option<[u8; 4]>) {
        Self::frame(out, 1, text.as_bytes(), mask);
    }

    /// A pong with the bytes of the ping.
    pub fn pong(out: &mut Vec<u8>, payload: &[u8], mask: Option<[u8; 4]>) {
        Self::frame(out, 10, &payload[..payload.len().min(MAX_CONTROL_BYTES)], mask);
    }

    /// A ping.
    pub fn ping(out: &mut Vec<u8>, payload: &[u8], mask: Option<[u8; 4]>) {
        Self::frame(out, 9, &payload[..payload.len().min(MAX_CONTROL_BYTES)], mask);
    }

    /// A close frame; a reason too long is cut at a character.
    pub fn close(out: &mut Vec<u8>, code: CloseCode, reason: &str, mask: Option<[u8; 4]>) {
        let end = (0..=reason.len().min(MAX_CONTROL_BYTES - 2)).rev().find(|at| reason.is_char_boundary(*at));
        let mut payload = code.0.to_be_bytes().to_vec();
        payload.extend_from_slice(&reason.as_bytes()[..end.unwrap_or(0)]);
        Self::frame(out, 8, &payload, mask);
    }

    /// One frame with the final bit set.
    fn frame(out: &mut Vec<u8>, opcode: u8, payload: &[u8], mask: Option<[u8; 4]>) {
        let masked = if mask.is_some() { 0x80 } else { 0 };
        out.push(0x80 | opcode);
        match payload.len() {
            short @ 0..=125 => out.push(masked | short as u8),
            medium @ 126..=0xffff => {
                out.push(masked | 126);
                out.extend_from_slice(&(medium as u16).to_be_bytes());
            }
            long => {
                out.push(masked | 127);
                out.extend_from_slice(&(long as u64).to_be_bytes());
            }
        }
        out.extend(mask.into_iter().flatten());
        let from = out.len();
        out.extend_from_slice(payload);
        if let Some(mask) = mask {
            apply_mask(&mut out[from..], mask);
        }
    }
}
