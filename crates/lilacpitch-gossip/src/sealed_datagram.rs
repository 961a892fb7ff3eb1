//! Sealed datagrams: XChaCha20-Poly1305 with a key that all fronts share (RFC 8439, with the extended nonce
//! of draft-irtf-cfrg-xchacha). Replays are detected by a counter of each incarnation of a sender and by the
//! time of sending.

use chacha20poly1305::aead::{Aead, KeyInit, Payload};
use chacha20poly1305::{XChaCha20Poly1305, XNonce};
use std::collections::BTreeMap;
use thiserror::Error;

/// Version of the datagram format: the first byte of each datagram.
pub const VERSION: u8 = 3;
/// Longest datagram, in bytes: the payload of UDP over IPv6 at an MTU of 1,500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_452;
/// Bytes that sealing adds: version, nonce and tag.
pub const OVERHEAD_BYTES: usize = 1 + NONCE_BYTES + 16;
const NONCE_BYTES: usize = 24;
/// Largest difference between the time of sending, by the sender's clock, and the receiver's clock, in
/// milliseconds.
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
    /// Of another version of the format, from an older or a newer build.
    #[error("version {0} in place of {VERSION}")]
    Version(u8),
    /// Not sealed with a key in force, or modified in transit.
    #[error("not sealed with a key in force")]
    Forged,
    /// Sealed correctly, but the content is invalid.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// Received before, or from a former incarnation of its sender.
    #[error("replayed")]
    Replayed,
    /// Old, or the clocks of sender and receiver differ too much.
    #[error("sent over a minute ago or ahead, by its sender's clock")]
    Clock,
    /// From this front itself.
    #[error("from this front itself")]
    Own,
    /// A response that this front did not request or has received already.
    #[error("unsolicited response")]
    Unsolicited,
    /// A request beyond the rate that is answered.
    #[error("too many requests")]
    TooOften,
    /// From a new sender beyond the number of senders or members that are tracked.
    #[error("too many senders")]
    TooMany,
}

/// Why a key file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// A line is not a key.
    #[error("line {0}: not 64 hex digits")]
    Line(usize),
    /// The file contains no key or more than two.
    #[error("{0} keys, wanted one or two")]
    Count(usize),
}

/// The keys in force: the first seals, any of them opens. There are two during a change of keys.
#[derive(Clone)]
pub struct Keys(Vec<XChaCha20Poly1305>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl Keys {
    /// Parses the text of a key file: one or two keys, each 64 hex digits on a line of its own. Empty lines
    /// and lines that begin with `#` are ignored.
    ///
    /// # Errors
    /// [`KeyError`] with the line that is not a key, or with the number of keys.
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

    /// Seals a datagram with the first key. The nonce must be a new random one each time.
    pub fn seal(&self, plain: &[u8], nonce: [u8; NONCE_BYTES]) -> Vec<u8> {
        let mut datagram = vec![VERSION];
        datagram.extend(self.seal_for(&[VERSION], plain, nonce));
        datagram
    }

    /// Seals bytes with the first key, with `purpose` as associated data: they can be opened only for the
    /// same purpose. The nonce must be a new random one each time.
    pub fn seal_for(&self, purpose: &[u8], plain: &[u8], nonce: [u8; NONCE_BYTES]) -> Vec<u8> {
        let payload = Payload { msg: plain, aad: purpose };
        let mut sealed = nonce.to_vec();
        // Encryption fails only for more than 256 GiB.
        sealed.extend(self.0[0].encrypt(XNonce::from_slice(&nonce), payload).unwrap_or_default());
        sealed
    }

    /// Opens bytes that were sealed for this purpose, with any of the keys.
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
    /// [`DatagramError`] if its size or version is wrong or no key opens it.
    pub fn open(&self, bytes: &[u8]) -> Result<Vec<u8>, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        // The version is checked first, since the rest may have another meaning in other versions.
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

/// Parses a key of 64 hex digits.
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

/// Detects replays. For each sender it tracks the latest incarnation, the counters received from it, and the
/// time of the last datagram.
#[derive(Debug)]
pub struct ReplayFilter<S: Ord>(BTreeMap<S, Sender>);

#[derive(Debug)]
struct Sender {
    epoch: u64,
    highest: u64,
    /// Bit n is set if the counter `highest - n` was received.
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
    /// [`DatagramError::Replayed`] if it was received before or is too old to tell;
    /// [`DatagramError::TooMany`] if there are too many senders.
    pub fn accept(&mut self, sender: &S, epoch: u64, counter: u64, now_ms: u64) -> Result<(), DatagramError> {
        let first = Sender { epoch, highest: counter, seen: 1, last_ms: now_ms };
        let Some(known) = self.0.get_mut(sender) else {
            if self.0.len() >= MAX_SENDERS {
                // Earlier datagrams of the senders that are forgotten would be rejected for their age.
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
