//! The protocol `lilacpitch.call.1` between callers and a front.
//!
//! It is described in `docs/call-control.md`; its JSON schema is `docs/call-control.schema.json`.

use super::{
    check_cause, check_name, check_number, decode, encode, invalid_value, MessageError, Validate,
    MAX_BUDGET_MS,
};
use serde::{Deserialize, Serialize};

/// A message from a caller to a front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum FromCaller {
    /// Requests a call. It gets exactly one [`ToCaller::Final`] before its budget ends.
    Setup {
        /// The caller's id of the call, unique among the calls of its connection that have not ended.
        call: String,
        /// The name of the call's class in the front's settings.
        class: String,
        /// The name of the preferred pool in the pool list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// The number dialled.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<String>,
        /// How long the caller waits for the final answer, in milliseconds.
        budget_ms: u64,
    },
    /// Ends an established call, or abandons one that has no answer yet.
    Release {
        /// The caller's id of the call.
        call: String,
    },
}

/// A message from a front to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ToCaller {
    /// The one final answer to a set-up.
    Final {
        /// The caller's id of the call.
        call: String,
        /// The result of the set-up.
        answer: Answer,
        /// With `refused` only: after how many milliseconds the caller should retry.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        come_back_ms: Option<u64>,
        /// With `failed` only: why the call failed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cause: Option<String>,
    },
    /// An established call has ended, other than by the caller's own release.
    Released {
        /// The caller's id of the call.
        call: String,
        /// Why it ended.
        cause: String,
    },
    /// A message of the caller was rejected. The connection stays open.
    Error {
        /// Why it was rejected.
        reason: String,
        /// The call id in the rejected message, if it could be read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        call: Option<String>,
    },
}

/// The result of a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The call is established.
    Stands,
    /// The front did not admit the call.
    Refused,
    /// The call was admitted and could not be set up.
    Failed,
}

impl FromCaller {
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

    /// The call id in a message that was rejected, if a valid one can be read.
    pub fn read_call_id(text: &str) -> Option<String> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let call = value.get("call")?.as_str()?;
        check_name("call", call).ok()?;
        Some(call.to_string())
    }
}

impl ToCaller {
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
}

impl Validate for FromCaller {
    fn validate(&self) -> Result<(), MessageError> {
        match self {
            FromCaller::Setup { call, class, pool, number, budget_ms } => {
                check_name("call", call)?;
                check_name("class", class)?;
                pool.iter().try_for_each(|pool| check_name("pool", pool))?;
                check_number(number)?;
                if !(1..=MAX_BUDGET_MS).contains(budget_ms) {
                    return invalid_value("budget_ms", "not 1 to 600000");
                }
                Ok(())
            }
            FromCaller::Release { call } => check_name("call", call),
        }
    }
}

impl Validate for ToCaller {
    fn validate(&self) -> Result<(), MessageError> {
        match self {
            ToCaller::Final { call, answer, come_back_ms, cause } => {
                check_name("call", call)?;
                if come_back_ms.is_some() && *answer != Answer::Refused {
                    return invalid_value("come_back_ms", "only with refused");
                }
                if cause.is_some() != (*answer == Answer::Failed) {
                    return invalid_value("cause", "with failed, and only then");
                }
                cause.iter().try_for_each(|cause| check_cause("cause", cause))
            }
            ToCaller::Released { call, cause } => {
                check_name("call", call)?;
                check_cause("cause", cause)
            }
            ToCaller::Error { reason, call } => {
                call.iter().try_for_each(|call| check_name("call", call))?;
                check_cause("reason", reason)
            }
        }
    }
}
