//! `lilacpitch.signal.1`: a front and a signalling server. Attempts are numbered by the front, never twice in
//! its life; a repeat carries its attempt's number, so a server that has it already does not set up twice.

use super::{cause, decode, encode, name, number, wrong, Checked, MessageError, MAX_WAIT_MS};
use serde::{Deserialize, Serialize};

/// What a front sends to a signalling server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ToServer {
    /// Asks for a set-up, or asks again for one unanswered.
    Setup {
        /// The attempt.
        attempt: u64,
        /// The front's label of the call, the same for all its attempts: for tracing.
        call: String,
        /// The call's class.
        class: String,
        /// The number dialled.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<String>,
        /// 0 first, then how often it has been repeated.
        #[serde(default, skip_serializing_if = "is_zero")]
        repeat: u32,
    },
    /// Ends a call that stands.
    Release {
        /// The attempt that stood.
        attempt: u64,
    },
    /// Gives up an attempt that has no answer yet; if it has one by now, ends its call.
    Cancel {
        /// The attempt.
        attempt: u64,
    },
}

/// What a signalling server sends to a front.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum FromServer {
    /// The call stands.
    Answer {
        /// The attempt.
        attempt: u64,
        /// The server's load.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// The processor is full; the attempt never ran.
    Full {
        /// The attempt.
        attempt: u64,
        /// How long to stay away, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_ms: Option<u64>,
        /// The server's load.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// No circuit is free; the attempt never ran.
    NoCircuit {
        /// The attempt.
        attempt: u64,
        /// The server's load.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// All lines of the number dialled are busy.
    LinesBusy {
        /// The attempt.
        attempt: u64,
        /// The server's load.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// A fault of signalling.
    Fault {
        /// The attempt.
        attempt: u64,
        /// What went wrong.
        cause: String,
        /// The server's load.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// A call that stood has ended at the server.
    Released {
        /// The attempt that stood.
        attempt: u64,
        /// How.
        cause: ReleaseCause,
    },
}

/// How a standing call ended at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseCause {
    /// The far end hung up.
    Ended,
    /// It was cut.
    Cut,
}

/// A server's own figures, late and noisy as they are.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Free circuits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub free: Option<u64>,
    /// The wait at its processor, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_ms: Option<f64>,
    /// New set-ups a second that it can take from all senders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub can_take_per_s: Option<f64>,
}

impl ToServer {
    /// Reads a text frame.
    ///
    /// # Errors
    /// Text that is not such a message: too long, no JSON, or a field that is missing or wrong.
    pub fn decode(text: &str) -> Result<Self, MessageError> {
        decode(text)
    }

    /// The text of a frame.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// The attempt it is about.
    pub fn attempt(&self) -> u64 {
        match self {
            ToServer::Setup { attempt, .. }
            | ToServer::Release { attempt }
            | ToServer::Cancel { attempt } => *attempt,
        }
    }
}

impl FromServer {
    /// Reads a text frame.
    ///
    /// # Errors
    /// Text that is not such a message: too long, no JSON, or a field that is missing or wrong.
    pub fn decode(text: &str) -> Result<Self, MessageError> {
        decode(text)
    }

    /// The text of a frame.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// The attempt it is about.
    pub fn attempt(&self) -> u64 {
        match self {
            FromServer::Answer { attempt, .. }
            | FromServer::Full { attempt, .. }
            | FromServer::NoCircuit { attempt, .. }
            | FromServer::LinesBusy { attempt, .. }
            | FromServer::Fault { attempt, .. }
            | FromServer::Released { attempt, .. } => *attempt,
        }
    }

    /// The load it reports.
    pub fn load(&self) -> Option<Load> {
        match self {
            FromServer::Answer { load, .. }
            | FromServer::Full { load, .. }
            | FromServer::NoCircuit { load, .. }
            | FromServer::LinesBusy { load, .. }
            | FromServer::Fault { load, .. } => *load,
            FromServer::Released { .. } => None,
        }
    }
}

impl Checked for ToServer {
    fn check(&self) -> Result<(), MessageError> {
        match self {
            // A label joins three names.
            ToServer::Setup { call, class, number: dialled, .. } => {
                if call.is_empty() || call.len() > 256 || !call.bytes().all(|b| b.is_ascii_graphic()) {
                    return wrong("call", "not 1 to 256 visible ASCII characters");
                }
                name("class", class)?;
                number(dialled)
            }
            ToServer::Release { .. } | ToServer::Cancel { .. } => Ok(()),
        }
    }
}

impl Checked for FromServer {
    fn check(&self) -> Result<(), MessageError> {
        if let FromServer::Full { wait_ms: Some(wait_ms), .. } = self {
            if *wait_ms > MAX_WAIT_MS {
                return wrong("wait_ms", "over 600000");
            }
        }
        if let FromServer::Fault { cause: why, .. } = self {
            cause("cause", why)?;
        }
        let load = self.load().unwrap_or_default();
        // JSON knows no infinities, but 1e999 reads as one in some decoders.
        if [load.latency_ms, load.can_take_per_s].into_iter().flatten().any(|v| !v.is_finite() || v < 0.0) {
            return wrong("load", "a figure below 0 or not finite");
        }
        Ok(())
    }
}

fn is_zero(repeat: &u32) -> bool {
    *repeat == 0
}
