//! The frames of a connection between processes: sealed with the shared key, and numbered for one connection, so that no
//! frame is accepted twice, out of order, or on another connection.

use crate::error::FrameError;
use crate::message::{Body, Hello, VERSION};
use lilacpitch_gossip::Keys;
use serde::{Deserialize, Serialize};

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// The purpose that frames are sealed for: datagrams between fronts are sealed for another.
const PURPOSE: &[u8] = b"lilacpitch.fleet.1";
const NONCE_BYTES: usize = 24;

#[derive(Serialize, Deserialize)]
struct Envelope<B> {
    /// The nonce that the receiver drew for this connection; 0 in the first frame.
    to: u64,
    counter: u64,
    body: B,
}

/// Seals the frames of one end.
#[derive(Debug)]
pub struct FrameWriter {
    keys: Keys,
    to: u64,
    counter: u64,
}

impl FrameWriter {
    /// A writer for a connection whose other end has not sent its [`Hello`] yet.
    pub fn new(keys: Keys) -> Self {
        FrameWriter { keys, to: 0, counter: 0 }
    }

    /// From now on frames name the nonce of the other end.
    pub fn set_peer(&mut self, hello: &Hello) {
        self.to = hello.nonce;
    }

    /// Seals the next frame. `nonce` must be drawn at random for each.
    ///
    /// # Errors
    /// [`FrameError::Length`], where the frame is too long.
    pub fn seal(&mut self, body: &Body, nonce: [u8; NONCE_BYTES]) -> Result<Vec<u8>, FrameError> {
        let envelope = Envelope { to: self.to, counter: self.counter, body };
        self.counter += 1;
        let plain = postcard::to_allocvec(&envelope).map_err(|e| FrameError::Malformed(e.to_string()))?;
        let sealed = self.keys.seal_for(PURPOSE, &plain, nonce);
        if sealed.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(sealed.len()));
        }
        Ok(sealed)
    }
}

/// Opens the frames of the other end.
#[derive(Debug)]
pub struct FrameReader {
    keys: Keys,
    own: u64,
    counter: u64,
}

impl FrameReader {
    /// A reader; `own` is the nonce that this end drew for the connection.
    pub fn new(keys: Keys, own: u64) -> Self {
        FrameReader { keys, own, counter: 0 }
    }

    /// Opens the next frame.
    ///
    /// # Errors
    /// [`FrameError`]: the connection can't go on then.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Body, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(bytes.len()));
        }
        let plain = self.keys.open_for(PURPOSE, bytes).map_err(|_| FrameError::Forged)?;
        let envelope: Envelope<Body> =
            postcard::from_bytes(&plain).map_err(|e| FrameError::Malformed(e.to_string()))?;
        let first = self.counter == 0;
        let is_for_this_end = if first { envelope.to == 0 } else { envelope.to == self.own };
        if envelope.counter != self.counter || !is_for_this_end {
            return Err(FrameError::Order { found: envelope.counter, wanted: self.counter });
        }
        self.counter += 1;
        match (&envelope.body, first) {
            (Body::Hello(hello), true) if hello.version != VERSION => Err(FrameError::Version(hello.version)),
            (Body::Hello(_), true) | (Body::Request(..) | Body::Answer(..), false) => Ok(envelope.body),
            _ => Err(FrameError::Malformed("not what comes first, or first again".into())),
        }
    }
}

/// Opens a frame without regard to order or connection: for the testbed's checker.
#[doc(hidden)]
pub fn peek(keys: &Keys, bytes: &[u8]) -> Option<Body> {
    let plain = keys.open_for(PURPOSE, bytes).ok()?;
    postcard::from_bytes::<Envelope<Body>>(&plain).ok().map(|envelope| envelope.body)
}
