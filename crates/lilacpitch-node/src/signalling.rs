//! The protocol between a front node and signalling servers: one JSON object per line, in both directions.
//!
//! [`LineDecoder`] splits a stream into lines, [`ServerMessage::decode`] parses one line, and the `encode_*`
//! functions return one. No I/O. The keys are defined by the platform's protocol page and don't depend on the
//! names in this module.

use crate::figures::FiniteNumber;
use lilacpitch::interface::{Nanos, Outcome};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// Longest line in bytes, including its line end.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Q.850 cause of a release by a caller or a front: normal call clearing.
pub const CAUSE_NORMAL: u16 = 16;
/// Q.850 cause of the release of a call whose server was lost: temporary failure.
pub const CAUSE_CUT: u16 = 41;
/// Q.850 cause of a rejection: user busy.
const CAUSE_USER_BUSY: u16 = 17;
/// Q.850 cause of a rejection: no circuit or channel available.
const CAUSE_NO_CIRCUIT: u16 = 34;
/// Q.850 cause of a rejection: resource unavailable, unspecified.
const CAUSE_RESOURCE_UNAVAILABLE: u16 = 47;
/// Q.850 cause of a rejection: recovery on timer expiry.
const CAUSE_TIMER_EXPIRED: u16 = 102;

/// Exclusive upper bound of the wait that an overloaded server estimates, in milliseconds.
const MAX_WAIT_MS: f64 = 1e9;
const NS_PER_MS: f64 = 1e6;

/// Unused capacity in bytes that a buffer may keep, beyond as much as it holds. It is small, since most
/// connections are idle most of the time.
const IDLE_CAPACITY_BYTES: usize = 4096;

/// Why a line of a signalling server can't be decoded. The connection is to be closed, because what follows
/// the line can't be trusted.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not JSON, or a field has the wrong type.
    #[error("invalid message: {0}")]
    Json(#[source] serde_json::Error),
    /// A field that this kind of message requires is missing or invalid.
    #[error("invalid message: {0}")]
    Field(&'static str),
}

/// Splits the bytes of one stream into lines.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buffer: Vec<u8>,
    /// Number of leading bytes of the buffer that are known to contain no line end.
    scanned: usize,
}

impl LineDecoder {
    /// Appends bytes read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns how many bytes can be fed before the buffer holds more than the longest line.
    pub fn free_bytes(&self) -> usize {
        MAX_LINE_BYTES.saturating_sub(self.buffer.len())
    }

    /// Returns the next complete line without its end, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// Returns [`LineError::TooLong`] for a line over the limit, whether it is complete or not.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, LineError> {
        let end = self.buffer[self.scanned..].iter().position(|b| *b == b'\n');
        let Some(end) = end.map(|offset| offset + self.scanned) else {
            self.scanned = self.buffer.len();
            return if self.scanned >= MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
        };
        if end >= MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
        line.pop();
        self.scanned = 0;
        if self.buffer.capacity() > 2 * self.buffer.len() + IDLE_CAPACITY_BYTES {
            self.buffer.shrink_to_fit();
        }
        Ok(Some(line))
    }
}

/// A message from a signalling server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerMessage {
    /// The answer to a set-up that succeeded.
    Running {
        /// The call's id.
        uid: u64,
        /// Session description for the caller.
        body: String,
    },
    /// The rejection of a set-up, or the end of an established call.
    Stop {
        /// The call's id.
        uid: u64,
        /// Its Q.850 cause.
        cause: u16,
        /// Qualifies the cause; empty if there is none.
        note: String,
        /// Wait estimated by an overloaded server, in nanoseconds.
        estimated_wait_ns: Option<Nanos>,
        /// Load report sent in the same message.
        load: Load,
    },
    /// A load report.
    Usage(Load),
    /// A message of another kind, which is ignored.
    Other,
}

/// A server's load report in the form in which it is sent: `name:value` pairs such as `x0:12;x1:40`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load(String);

impl Load {
    /// Returns the value reported under `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut parts = self.0.split(';').filter_map(|part| part.split_once(':'));
        parts.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// The fields of a line; which of them are required depends on `kind`.
#[derive(Deserialize)]
struct RawMessage {
    kind: String,
    #[serde(default)]
    uid: Option<String>,
    #[serde(default)]
    meta: BTreeMap<String, Value>,
    #[serde(default)]
    reason: Option<u16>,
    #[serde(default)]
    body: Option<String>,
}

impl RawMessage {
    /// Returns a field of `meta` as text, whether it was sent as a string or a number.
    fn meta_text(&self, name: &str) -> Option<String> {
        match self.meta.get(name)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }
}

impl ServerMessage {
    /// Decodes one line.
    ///
    /// # Errors
    /// Returns an error if the line is not JSON, or lacks a field that its kind requires.
    pub fn decode(line: &[u8]) -> Result<ServerMessage, LineError> {
        let raw: RawMessage = serde_json::from_slice(line).map_err(LineError::Json)?;
        let uid = || {
            let uid = raw.uid.as_deref().and_then(parse_call_id);
            uid.ok_or(LineError::Field("uid is not 16 hex digits"))
        };
        let load = || Load(raw.meta_text("load").unwrap_or_default());
        Ok(match raw.kind.as_str() {
            "running" => {
                let Some(body) = raw.body.clone() else {
                    return Err(LineError::Field("running without a body"));
                };
                ServerMessage::Running { uid: uid()?, body }
            }
            "stop" => {
                let Some(cause) = raw.reason else {
                    return Err(LineError::Field("stop without a reason"));
                };
                let estimated_wait_ms = raw.meta_text("waited");
                let estimated_wait_ms =
                    estimated_wait_ms.and_then(|text| FiniteNumber::parse(&text, 0.0..MAX_WAIT_MS));
                ServerMessage::Stop {
                    uid: uid()?,
                    cause,
                    note: raw.meta_text("note").unwrap_or_default(),
                    estimated_wait_ns: estimated_wait_ms.map(|ms| (ms.get() * NS_PER_MS) as Nanos),
                    load: load(),
                }
            }
            "usage" => ServerMessage::Usage(load()),
            _ => ServerMessage::Other,
        })
    }
}

/// Maps the cause and note of a `stop` that rejects a set-up to the outcome of the attempt.
pub fn outcome_of_stop(cause: u16, note: &str, estimated_wait_ns: Option<Nanos>) -> Outcome {
    match (cause, note) {
        (CAUSE_NO_CIRCUIT, "ovl") => Outcome::Overloaded(estimated_wait_ns.filter(|wait| *wait > 0)),
        (CAUSE_NO_CIRCUIT, _) => Outcome::NoCircuit,
        (CAUSE_USER_BUSY | CAUSE_RESOURCE_UNAVAILABLE, "busy") => Outcome::LinesBusy,
        (CAUSE_USER_BUSY | CAUSE_RESOURCE_UNAVAILABLE, _) => Outcome::Fault,
        (CAUSE_TIMER_EXPIRED, _) => Outcome::NotSent,
        _ => Outcome::Cut,
    }
}

/// Parses a call id, which has exactly 16 lower-case hex digits.
pub fn parse_call_id(text: &str) -> Option<u64> {
    let is_valid = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| is_valid)
}

/// Encodes a set-up. `left_ms` is the time left until the attempt times out, in milliseconds.
pub fn encode_setup(uid: u64, class: &str, key: &str, left_ms: u64, body: &str) -> Vec<u8> {
    encode_line(json!({
        "kind": "launch", "uid": format!("{uid:016x}"),
        "meta": { "class": class, "key": key, "left": left_ms.to_string() }, "body": body,
    }))
}

/// Encodes the line that cancels a set-up or releases a call.
pub fn encode_stop(uid: u64, cause: u16) -> Vec<u8> {
    encode_line(json!({ "kind": "stop", "uid": format!("{uid:016x}"), "meta": {}, "reason": cause }))
}

/// Encodes a JSON object with its line end.
fn encode_line(value: Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}
