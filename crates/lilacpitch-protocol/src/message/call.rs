//! `lilacpitch.call.1`: callers and a front. The page is `docs/call-control.md`, the schema
//! `docs/call-control.schema.json`.

use super::{cause, decode, encode, name, number, wrong, Checked, MessageError, MAX_BUDGET_MS};
use serde::{Deserialize, Serialize};

/// What a caller sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum FromCaller {
    /// Asks for a call. It gets exactly one [`ToCaller::Final`] before its budget ends.
    Setup {
        /// The caller's id of it, unique on its connection while it lives.
        call: String,
        /// Its class, by the name in the front's settings.
        class: String,
        /// The pool of first choice, by the name in the pool list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// The number dialled.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        number: Option<String>,
        /// How long the caller waits for its answer, in milliseconds.
        budget_ms: u64,
    },
    /// Ends a call that stands, or gives one up that has no answer yet.
    Release {
        /// The call.
        call: String,
    },
}

/// What a front sends to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ToCaller {
    /// The one final answer.
    Final {
        /// The call.
        call: String,
        /// What became of it.
        answer: Answer,
        /// With `refused`: when the caller had better come back, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        come_back_ms: Option<u64>,
        /// With `failed`: why.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cause: Option<String>,
    },
    /// A call that stood has ended, other than by the caller's own release.
    Released {
        /// The call.
        call: String,
        /// Why.
        cause: String,
    },
    /// A message that could not be taken. The connection lives on.
    Error {
        /// Why.
        reason: String,
        /// The call it named, if that could be read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        call: Option<String>,
    },
}

/// The three final answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The call stands.
    Stands,
    /// It was turned away.
    Refused,
    /// It failed.
    Failed,
}

impl FromCaller {
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

    /// The call that a refused message names, where one can be read from it.
    pub fn call_named(text: &str) -> Option<String> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        let call = value.get("call")?.as_str()?;
        name("call", call).ok()?;
        Some(call.to_string())
    }
}

impl ToCaller {
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
}

impl Checked for FromCaller {
    fn check(&self) -> Result<(), MessageError> {
        match self {
            FromCaller::Setup { call, class, pool, number: dialled, budget_ms } => {
                name("call", call)?;
                name("class", class)?;
                pool.iter().try_for_each(|p| name("pool", p))?;
                number(dialled)?;
                if !(1..=MAX_BUDGET_MS).contains(budget_ms) {
                    return wrong("budget_ms", "not 1 to 600000");
                }
                Ok(())
            }
            FromCaller::Release { call } => name("call", call),
        }
    }
}

impl Checked for ToCaller {
    fn check(&self) -> Result<(), MessageError> {
        match self {
            ToCaller::Final { call, answer, come_back_ms, cause: why } => {
                name("call", call)?;
                if come_back_ms.is_some() && *answer != Answer::Refused {
                    return wrong("come_back_ms", "only with refused");
                }
                if why.is_some() != (*answer == Answer::Failed) {
                    return wrong("cause", "with failed, and only then");
                }
                why.iter().try_for_each(|w| cause("cause", w))
            }
            ToCaller::Released { call, cause: why } => {
                name("call", call)?;
                cause("cause", why)
            }
            ToCaller::Error { reason, call } => {
                call.iter().try_for_each(|c| name("call", c))?;
                cause("reason", reason)
            }
        }
    }
}
