//! The line protocol between a front node and signalling servers: one JSON object a line, in both directions.
//!
//! [`LineDecoder`] splits a stream into lines, [`ServerMessage`] reads one line, and the `encode_*` functions write
//! one. No I/O; the keys are those of the platform's protocol page and never change with the Rust names.

use lilacpitch::interface::{Nanos, Outcome};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// Longest line in bytes, line end included.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Cause of a release by a caller or a front: normal clearing (ITU-T Q.850).
pub const CAUSE_NORMAL: u16 = 16;
/// Cause of a call whose server was lost: temporary failure (ITU-T Q.850).
pub const CAUSE_CUT: u16 = 41;

/// Why a line of a signalling server can't be read. The stream behind it can't be trusted: close its connection, and
/// look at what that server sends.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line of over {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not a JSON object with the agreed fields.
    #[error("not a message: {0}")]
    Json(#[source] serde_json::Error),
    /// A field that this kind of message needs is missing or can't be read.
    #[error("not a message: {0}")]
    Field(&'static str),
}

/// Splits the bytes of one stream into lines.
#[derive(Debug, Default)]
pub struct LineDecoder {
    bytes: Vec<u8>,
    /// Number of leading bytes that hold no line end.
    scanned: usize,
}

impl LineDecoder {
    /// Appends bytes read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete line without its end, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// [`LineError::TooLong`] for a line over the limit, complete or not.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, LineError> {
        let end = self.bytes[self.scanned..].iter().position(|b| *b == b'\n');
        let Some(end) = end.map(|at| at + self.scanned) else {
            self.scanned = self.bytes.len();
            return if self.scanned >= MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
        };
        if end >= MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let mut line: Vec<u8> = self.bytes.drain(..=end).collect();
        line.pop();
        self.scanned = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > 4096 {
            self.bytes = Vec::new();
        }
        Ok(Some(line))
    }
}

/// A message from a signalling server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerMessage {
    /// The set-up succeeded.
    Running {
        /// The call's id.
        uid: u64,
        /// Session description for the caller.
        body: String,
    },
    /// A set-up was rejected, or an established call has ended.
    Stop {
        /// The call's id.
        uid: u64,
        /// Cause (ITU-T Q.850).
        cause: u16,
        /// Qualifies the cause; empty where there is none.
        note: String,
        /// Estimated wait reported by an overloaded server, in nanoseconds.
        waited_ns: Option<Nanos>,
        /// Load report sent along.
        load: Load,
    },
    /// A load report on its own.
    Usage(Load),
    /// A kind of message that is ignored.
    Other,
}

/// A server's load report as sent: `name:value` pairs such as `x0:12;x1:40`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load(String);

impl Load {
    /// Returns the value reported under `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut parts = self.0.split(';').filter_map(|part| part.split_once(':'));
        parts.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// One line as JSON; which fields are needed depends on `kind`.
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
    /// A field of `meta` as text, whether sent as a string or a number.
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
    /// Where the line is not JSON, or lacks a field that its kind needs.
    pub fn decode(line: &[u8]) -> Result<ServerMessage, LineError> {
        let raw: RawMessage = serde_json::from_slice(line).map_err(LineError::Json)?;
        let uid = || {
            let uid = raw.uid.as_deref().and_then(parse_call_id);
            uid.ok_or(LineError::Field("uid: not 16 hex digits"))
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
                let waited_ms = raw.meta_text("waited").and_then(|text| text.parse::<f64>().ok());
                let waited_ms = waited_ms.filter(|ms| (0.0..1e9).contains(ms));
                ServerMessage::Stop {
                    uid: uid()?,
                    cause,
                    note: raw.meta_text("note").unwrap_or_default(),
                    waited_ns: waited_ms.map(|ms| (ms * 1e6) as Nanos),
                    load: load(),
                }
            }
            "usage" => ServerMessage::Usage(load()),
            _ => ServerMessage::Other,
        })
    }
}

/// Maps the cause and note of a `stop` that rejects a set-up to the outcome of the attempt.
pub fn outcome_of_stop(cause: u16, note: &str, waited_ns: Option<Nanos>) -> Outcome {
    match (cause, note) {
        (34, "ovl") => Outcome::Overloaded(waited_ns.filter(|wait| *wait > 0)),
        (34, _) => Outcome::NoCircuit,
        (17 | 47, "busy") => Outcome::LinesBusy,
        (17 | 47, _) => Outcome::Fault,
        (102, _) => Outcome::NotSent,
        _ => Outcome::Cut,
    }
}

/// Parses a call id: exactly 16 lower-case hex digits.
pub fn parse_call_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// Encodes a set-up. `left_ms` is the time the caller still waits, in milliseconds.
pub fn encode_launch(uid: u64, class: &str, key: &str, left_ms: u64, body: &str) -> Vec<u8> {
    encode_line(json!({
        "kind": "launch", "uid": format!("{uid:016x}"),
        "meta": { "class": class, "key": key, "left": left_ms.to_string() }, "body": body,
    }))
}

/// Encodes the line that cancels a set-up or releases a call.
pub fn encode_stop(uid: u64, cause: u16) -> Vec<u8> {
    encode_line(json!({ "kind": "stop", "uid": format!("{uid:016x}"), "meta": {}, "reason": cause }))
}

/// Appends the line end.
fn encode_line(value: Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}
