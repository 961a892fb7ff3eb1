//! The frames of a connection between processes. They are sealed with the shared key and numbered per
//! connection, so that no frame is accepted twice, out of order, or on another connection.

use crate::error::FrameError;
use crate::message::{Body, Hello, VERSION};
use lilacpitch_gossip::Keys;
use serde::{Deserialize, Serialize};

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// The purpose for which frames are sealed; datagrams between fronts are sealed for another one.
const PURPOSE: &[u8] = b"lilacpitch.fleet.1";
const NONCE_BYTES: usize = 24;

#[derive(Serialize, Deserialize)]
struct Envelope<B> {
    /// The nonce in the receiver's [`Hello`]; 0 in the first frame.
    to: u64,
    /// The number of the frame on this connection and in this direction, from 0.
    counter: u64,
    body: B,
}

/// Seals the frames of one end.
#[derive(Debug)]
pub struct FrameWriter {
    keys: Keys,
    /// The nonce of the other end; 0 until its [`Hello`] is known.
    peer_nonce: u64,
    counter: u64,
}

impl FrameWriter {
    /// Creates a writer for a new connection, whose other end has not sent its [`Hello`] yet.
    pub fn new(keys: Keys) -> Self {
        FrameWriter { keys, peer_nonce: 0, counter: 0 }
    }

    /// Sets the other end, whose nonce all further frames contain.
    pub fn set_peer(&mut self, hello: &Hello) {
        self.peer_nonce = hello.nonce;
    }

    /// Seals the next frame. `nonce` must be a new random value for each frame.
    ///
    /// # Errors
    /// [`FrameError::Length`] if the frame is too long.
    pub fn seal(&mut self, body: &Body, nonce: [u8; NONCE_BYTES]) -> Result<Vec<u8>, FrameError> {
        let envelope = Envelope { to: self.peer_nonce, counter: self.counter, body };
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
    own_nonce: u64,
    counter: u64,
}

impl FrameReader {
    /// Creates a reader; `own_nonce` is the nonce in this end's [`Hello`].
    pub fn new(keys: Keys, own_nonce: u64) -> Self {
        FrameReader { keys, own_nonce, counter: 0 }
    }

    /// Opens the next frame.
    ///
    /// # Errors
    /// [`FrameError`] if the frame is not the next valid one; the connection must be closed.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Body, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(bytes.len()));
        }
        let plain = self.keys.open_for(PURPOSE, bytes).map_err(|_| FrameError::Forged)?;
        let envelope: Envelope<Body> =
            postcard::from_bytes(&plain).map_err(|e| FrameError::Malformed(e.to_string()))?;
        let is_first = self.counter == 0;
        let is_for_this_end = if is_first { envelope.to == 0 } else { envelope.to == self.own_nonce };
        if envelope.counter != self.counter || !is_for_this_end {
            return Err(FrameError::OutOfOrder { found: envelope.counter, expected: self.counter });
        }
        self.counter += 1;
        match (&envelope.body, is_first) {
            (Body::Hello(hello), true) if hello.version != VERSION => Err(FrameError::Version(hello.version)),
            (Body::Hello(_), true) | (Body::Request(..) | Body::Answer(..), false) => Ok(envelope.body),
            _ => Err(FrameError::Malformed("first frame without a Hello, or a second Hello".into())),
        }
    }
}

/// Opens a frame without checking its order or connection. Only the testbed's checker uses this.
#[doc(hidden)]
pub fn peek(keys: &Keys, bytes: &[u8]) -> Option<Body> {
    let plain = keys.open_for(PURPOSE, bytes).ok()?;
    postcard::from_bytes::<Envelope<Body>>(&plain).ok().map(|envelope| envelope.body)
}
