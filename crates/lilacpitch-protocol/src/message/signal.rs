//! The protocol `lilacpitch.signal.1` between a front and a signalling server.
//!
//! The front numbers its attempts and never reuses a number within one incarnation. A set-up that is sent
//! again carries the number of its attempt, so that a server that already has it does not set up the call
//! twice.

use super::{
    check_cause, check_name, check_number, decode, encode, invalid_value, MessageError, Validate, MAX_WAIT_MS,
};
use serde::{Deserialize, Serialize};

/// A message from a front to a signalling server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ToServer {
    /// Requests that a call be set up, or repeats a request that has no answer yet.
    Setup {
        /// The number of the attempt.
        attempt: u64,
        /// The front's label of the call, for tracing. All attempts of a call have the same one.
        call: String,
        /// The name of the call's class.
        class: String,
        /// The number dialled.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<String>,
        /// How often the set-up was sent before: 0 the first time.
        #[serde(default, skip_serializing_if = "is_zero")]
        repeat: u32,
    },
    /// Ends an established call.
    Release {
        /// The number of the attempt that established the call.
        attempt: u64,
    },
    /// Cancels an attempt that has no answer yet. If the server has established its call meanwhile, ends that
    /// call.
    Cancel {
        /// The number of the attempt.
        attempt: u64,
    },
}

/// A message from a signalling server to a front.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum FromServer {
    /// The call is established.
    Answer {
        /// The number of the attempt.
        attempt: u64,
        /// The server's load, if it reports one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// The processor is full; the attempt was not executed.
    Full {
        /// The number of the attempt.
        attempt: u64,
        /// How long the front should send no set-ups, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_ms: Option<u64>,
        /// The server's load, if it reports one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// No circuit is free; the attempt was not executed.
    NoCircuit {
        /// The number of the attempt.
        attempt: u64,
        /// The server's load, if it reports one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// All lines of the dialled number are busy.
    LinesBusy {
        /// The number of the attempt.
        attempt: u64,
        /// The server's load, if it reports one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// The attempt failed with a signalling fault.
    Fault {
        /// The number of the attempt.
        attempt: u64,
        /// What went wrong.
        cause: String,
        /// The server's load, if it reports one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// An established call has ended at the server.
    Released {
        /// The number of the attempt that established the call.
        attempt: u64,
        /// How it ended.
        cause: ReleaseCause,
    },
}

/// How an established call ended at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseCause {
    /// The far end hung up.
    Ended,
    /// The call was cut.
    Cut,
}

/// The load that a server reports of itself. The values are delayed and noisy.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Number of free circuits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub free: Option<u64>,
    /// Waiting time at the processor, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_ms: Option<f64>,
    /// New set-ups per second that the server can accept from all fronts together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub can_take_per_s: Option<f64>,
}

impl ToServer {
    /// Decodes the text of a frame.
    ///
    /// # Errors
    /// The text is not a message of this type: not a JSON object, or a field is missing, unknown or out of
    /// range.
    pub fn decode(text: &str) -> Result<Self, MessageError> {
        decode(text)
    }

    /// Encodes the message as the text of a frame.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// The number of the attempt that the message refers to.
    pub fn attempt(&self) -> u64 {
        match self {
            ToServer::Setup { attempt, .. }
            | ToServer::Release { attempt }
            | ToServer::Cancel { attempt } => *attempt,
        }
    }
}

impl FromServer {
    /// Decodes the text of a frame.
    ///
    /// # Errors
    /// The text is not a message of this type: not a JSON object, or a field is missing, unknown or out of
    /// range.
    pub fn decode(text: &str) -> Result<Self, MessageError> {
        decode(text)
    }

    /// Encodes the message as the text of a frame.
    pub fn encode(&self) -> String {
        encode(self)
    }

    /// The number of the attempt that the message refers to.
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

    /// The load that the message reports, if any.
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

impl Validate for ToServer {
    fn validate(&self) -> Result<(), MessageError> {
        match self {
            // A label joins two names and a number, so it may be longer than a name.
            ToServer::Setup { call, class, number, .. } => {
                if call.is_empty() || call.len() > 256 || !call.bytes().all(|b| b.is_ascii_graphic()) {
                    return invalid_value("call", "not 1 to 256 visible ASCII characters");
                }
                check_name("class", class)?;
                check_number(number)
            }
            ToServer::Release { .. } | ToServer::Cancel { .. } => Ok(()),
        }
    }
}

impl Validate for FromServer {
    fn validate(&self) -> Result<(), MessageError> {
        if let FromServer::Full { wait_ms: Some(wait_ms), .. } = self {
            if *wait_ms > MAX_WAIT_MS {
                return invalid_value("wait_ms", "over 600000");
            }
        }
        if let FromServer::Fault { cause, .. } = self {
            check_cause("cause", cause)?;
        }
        let load = self.load().unwrap_or_default();
        // JSON has no infinity, but some decoders read 1e999 as one.
        if [load.latency_ms, load.can_take_per_s]
            .into_iter()
            .flatten()
            .any(|figure| !figure.is_finite() || figure < 0.0)
        {
            return invalid_value("load", "a figure below 0 or not finite");
        }
        Ok(())
    }
}

fn is_zero(repeat: &u32) -> bool {
    *repeat == 0
}
