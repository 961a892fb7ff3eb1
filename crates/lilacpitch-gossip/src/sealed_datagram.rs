//! Sealed datagrams: XChaCha20-Poly1305 with a key that all fronts share (RFC 8439, and the extended nonce of
//! draft-irtf-cfrg-xchacha), a counter for each incarnation of a sender against replays, and the
//! moment of sending.

use chacha20poly1305::aead::{Aead, KeyInit, Payload};
use chacha20poly1305::{XChaCha20Poly1305, XNonce};
use std::collections::BTreeMap;
use thiserror::Error;

/// The version of the datagrams, their first byte.
pub const VERSION: u8 = 3;
/// Longest datagram in bytes: what a path of 1,500 bytes carries over IPv6 and UDP.
pub const MAX_DATAGRAM_BYTES: usize = 1_452;
/// What sealing adds, in bytes: version, nonce, tag.
pub const OVERHEAD_BYTES: usize = 1 + NONCE_BYTES + 16;
const NONCE_BYTES: usize = 24;
/// A datagram sent longer ago than this, by its sender's clock, or so far in the future is rejected.
pub const MAX_SKEW_MS: u64 = 60_000;
/// Most senders whose counters are retained.
const MAX_SENDERS: usize = 1_024;

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("over {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// Too short to be sealed.
    #[error("cut short")]
    TooShort,
    /// Of another version: an older or a newer front.
    #[error("version {0} in place of {VERSION}")]
    Version(u8),
    /// Sealed with no key in force, or changed on its way.
    #[error("not sealed with a key in force")]
    Forged,
    /// Sealed, but malformed.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// Received before, or of a former incarnation of its sender.
    #[error("replayed")]
    Replayed,
    /// Its sender's clock and this one are too far apart, or it is old.
    #[error("sent over a minute ago or ahead, by its sender's clock")]
    Clock,
    /// From this front itself.
    #[error("from this front itself")]
    Own,
    /// A response to no request of this front, or one that was received already.
    #[error("not asked for")]
    Unsolicited,
    /// More requests than are answered.
    #[error("asked too often")]
    TooOften,
    /// More senders than are retained, or more members.
    #[error("too many senders")]
    TooMany,
}

/// Why a key file can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// A line is not a key.
    #[error("line {0}: not 64 hex digits")]
    Line(usize),
    /// There is no key, or more than two.
    #[error("{0} keys, wanted one or two")]
    Count(usize),
}

/// The keys in force: the first seals, all open. Two during a change.
#[derive(Clone)]
pub struct Keys(Vec<XChaCha20Poly1305>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl Keys {
    /// Reads the text of a key file: one or two keys, each 64 hex digits on a line of its own; empty lines and lines that
    /// begin with `#` are passed over.
    ///
    /// # Errors
    /// [`KeyError`], naming the line or the number of keys.
    pub fn from_text(text: &str) -> Result<Self, KeyError> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let key = hex(line).ok_or(KeyError::Line(index + 1))?;
            keys.push(XChaCha20Poly1305::new((&key).into()));
        }
        match keys.len() {
            1 | 2 => Ok(Keys(keys)),
            count => Err(KeyError::Count(count)),
        }
    }

    /// A single key.
    pub fn from_bytes(key: [u8; 32]) -> Self {
        Keys(vec![XChaCha20Poly1305::new((&key).into())])
    }

    /// Seals a datagram with the first key. The nonce must be drawn at random each time.
    pub fn seal(&self, plain: &[u8], nonce: [u8; NONCE_BYTES]) -> Vec<u8> {
        let mut out = vec![VERSION];
        out.extend(self.seal_for(&[VERSION], plain, nonce));
        out
    }

    /// Seals for a purpose: what is sealed for one does not open for another.
    pub fn seal_for(&self, purpose: &[u8], plain: &[u8], nonce: [u8; NONCE_BYTES]) -> Vec<u8> {
        let payload = Payload { msg: plain, aad: purpose };
        let mut out = nonce.to_vec();
        // Encryption fails beyond 256 GiB only.
        out.extend(self.0[0].encrypt(XNonce::from_slice(&nonce), payload).unwrap_or_default());
        out
    }

    /// Opens what was sealed for this purpose, with any of the keys.
    ///
    /// # Errors
    /// [`DatagramError::TooShort`] or [`DatagramError::Forged`].
    pub fn open_for(&self, purpose: &[u8], bytes: &[u8]) -> Result<Vec<u8>, DatagramError> {
        let (nonce, sealed) = bytes.split_at_checked(NONCE_BYTES).ok_or(DatagramError::TooShort)?;
        let payload = |_| Payload { msg: sealed, aad: purpose };
        let mut open = self.0.iter().map(|key| key.decrypt(XNonce::from_slice(nonce), payload(())));
        open.find_map(Result::ok).ok_or(DatagramError::Forged)
    }

    /// Opens a datagram with any of the keys.
    ///
    /// # Errors
    /// [`DatagramError`]: its size or version is wrong, or no key fits.
    pub fn open(&self, bytes: &[u8]) -> Result<Vec<u8>, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        // The version first: what follows may mean something else in another.
        match bytes.first() {
            None => return Err(DatagramError::TooShort),
            Some(&VERSION) => {}
            Some(version) => return Err(DatagramError::Version(*version)),
        }
        if bytes.len() < OVERHEAD_BYTES {
            return Err(DatagramError::TooShort);
        }
        self.open_for(&[VERSION], &bytes[1..])
    }
}

fn hex(line: &str) -> Option<[u8; 32]> {
    let mut key = [0; 32];
    if line.len() != 64 || !line.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, pair) in key.iter_mut().zip(line.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(key)
}

/// Rejects replays: for each sender its latest incarnation, which of its counters were received, and when the last was.
#[derive(Debug)]
pub struct ReplayFilter<S: Ord>(BTreeMap<S, Sender>);

#[derive(Debug)]
struct Sender {
    epoch: u64,
    highest: u64,
    /// Bit n: the counter n below the highest was received.
    seen: u128,
    last_ms: u64,
}

impl<S: Ord> Default for ReplayFilter<S> {
    fn default() -> Self {
        ReplayFilter(BTreeMap::new())
    }
}

impl<S: Ord + Clone> ReplayFilter<S> {
    /// Records a counter of a sender's incarnation.
    ///
    /// # Errors
    /// [`DatagramError::Replayed`] where it was received before or is too old to tell, [`DatagramError::TooMany`] where
    /// there are too many senders.
    pub fn accept(&mut self, sender: &S, epoch: u64, counter: u64, now_ms: u64) -> Result<(), DatagramError> {
        let first = Sender { epoch, highest: counter, seen: 1, last_ms: now_ms };
        let Some(known) = self.0.get_mut(sender) else {
            if self.0.len() >= MAX_SENDERS {
                // What such a sender sent would be rejected for its age by now.
                self.0.retain(|_, s| now_ms.saturating_sub(s.last_ms) <= 2 * MAX_SKEW_MS);
            }
            if self.0.len() >= MAX_SENDERS {
                return Err(DatagramError::TooMany);
            }
            self.0.insert(sender.clone(), first);
            return Ok(());
        };
        known.last_ms = now_ms;
        if epoch > known.epoch {
            *known = first;
            return Ok(());
        }
        if epoch < known.epoch {
            return Err(DatagramError::Replayed);
        }
        if counter > known.highest {
            let ahead = counter - known.highest;
            known.seen = if ahead >= 128 { 1 } else { (known.seen << ahead) | 1 };
            known.highest = counter;
            return Ok(());
        }
        let behind = known.highest - counter;
        if behind >= 128 || known.seen & (1 << behind) != 0 {
            return Err(DatagramError::Replayed);
        }
        known.seen |= 1 << behind;
        Ok(())
    }
}
