//! JSON lines between a front node and signalling servers: to typed messages and back.

use lilacpitch::interface::{Nanos, Outcome};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// Longest line, its end included, in bytes.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Cause of a release that a front gives: normal clearing (Q.850).
pub const CAUSE_NORMAL: u16 = 16;
/// Cause of a call that was cut: temporary failure (Q.850).
pub const CAUSE_CUT: u16 = 41;

/// Why a line can't be used; its connection is of no further use.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LineError {
    /// Longer than [`MAX_LINE_BYTES`].
    #[error("line of over {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// Not JSON of the form that is agreed.
    #[error("not a message: {0}")]
    Form(String),
}

/// Collects the bytes of one stream to lines.
#[derive(Debug, Default)]
pub struct Lines {
    bytes: Vec<u8>,
    /// Up to here no line end was found.
    seen: usize,
}

impl Lines {
    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next line that is whole, without its end.
    pub fn next_line(&mut self) -> Result<Option<Vec<u8>>, LineError> {
        let end = self.bytes[self.seen..].iter().position(|b| *b == b'\n');
        let Some(end) = end.map(|at| at + self.seen) else {
            self.seen = self.bytes.len();
            return if self.seen >= MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
        };
        if end >= MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let mut line: Vec<u8> = self.bytes.drain(..=end).collect();
        line.pop();
        self.seen = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > 4096 {
            self.bytes = Vec::new();
        }
        Ok(Some(line))
    }
}

/// What a signalling server sends.
#[derive(Debug, Clone, PartialEq)]
pub enum FromServer {
    /// The call stands, with the description for its caller.
    Running {
        /// The call's id.
        uid: u64,
        /// The description.
        body: String,
    },
    /// A set-up was refused, or a call is over.
    Stop {
        /// The call's id.
        uid: u64,
        /// Why.
        cause: u16,
        /// What is noted beside it.
        note: String,
        /// The wait told by a full processor.
        waited_ns: Option<Nanos>,
        /// The server's figures.
        load: Load,
    },
    /// The server's figures by themselves.
    Usage(Load),
    /// Means nothing.
    Other,
}

/// Figures of a server by name, as sent: `x0:12;x1:40`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load(String);

impl Load {
    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut parts = self.0.split(';').filter_map(|part| part.split_once(':'));
        parts.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

#[derive(Deserialize)]
struct Raw {
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

impl Raw {
    fn field(&self, name: &str) -> Option<String> {
        match self.meta.get(name)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }
}

impl FromServer {
    /// Reads one line.
    pub fn decode(line: &[u8]) -> Result<FromServer, LineError> {
        let raw: Raw = serde_json::from_slice(line).map_err(|e| LineError::Form(e.to_string()))?;
        let uid = || {
            let uid = raw.uid.as_deref().and_then(call_id);
            uid.ok_or_else(|| LineError::Form("uid: not 16 hex digits".into()))
        };
        let load = || Load(raw.field("load").unwrap_or_default());
        Ok(match raw.kind.as_str() {
            "running" => {
                let Some(body) = raw.body.clone() else {
                    return Err(LineError::Form("running without a body".into()));
                };
                FromServer::Running { uid: uid()?, body }
            }
            "stop" => {
                let Some(cause) = raw.reason else {
                    return Err(LineError::Form("stop without a reason".into()));
                };
                let waited_ms = raw.field("waited").and_then(|text| text.parse::<f64>().ok());
                let waited_ms = waited_ms.filter(|ms| (0.0..1e9).contains(ms));
                FromServer::Stop {
                    uid: uid()?,
                    cause,
                    note: raw.field("note").unwrap_or_default(),
                    waited_ns: waited_ms.map(|ms| (ms * 1e6) as Nanos),
                    load: load(),
                }
            }
            "usage" => FromServer::Usage(load()),
            _ => FromServer::Other,
        })
    }
}

/// What the end of a set-up that had no answer yet tells the module.
pub fn refused(cause: u16, note: &str, waited_ns: Option<Nanos>) -> Outcome {
    match (cause, note) {
        (34, "ovl") => Outcome::Overloaded(waited_ns.filter(|wait| *wait > 0)),
        (34, _) => Outcome::NoCircuit,
        (17 | 47, "busy") => Outcome::LinesBusy,
        (17 | 47, _) => Outcome::Fault,
        (102, _) => Outcome::NotSent,
        _ => Outcome::Cut,
    }
}

/// An id as it crosses the wire: 16 hex digits.
pub fn call_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// The line of a set-up.
pub fn launch(uid: u64, class: &str, key: &str, left_ms: u64, body: &str) -> Vec<u8> {
    line(json!({
        "kind": "launch", "uid": format!("{uid:016x}"),
        "meta": { "class": class, "key": key, "left": left_ms.to_string() }, "body": body,
    }))
}

/// The line that gives a set-up up, or releases a call.
pub fn stop(uid: u64, cause: u16) -> Vec<u8> {
    line(json!({ "kind": "stop", "uid": format!("{uid:016x}"), "meta": {}, "reason": cause }))
}

fn line(value: Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}
