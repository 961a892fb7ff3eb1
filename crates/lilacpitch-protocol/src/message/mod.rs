//! The messages that text frames carry: one JSON object with a `type` field in each frame.
//!
//! [`call`] has the messages between callers and a front, [`signal`] those between a front and a signalling
//! server. Decoding rejects unknown types and fields, numbers out of range and names that are too long. A
//! message is accepted whole or rejected with an error that names the field.

pub mod call;
pub mod signal;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Maximum length of an id or a name in a message, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a dialled number, in characters.
pub const MAX_NUMBER_CHARS: usize = 32;
/// Maximum time budget that a caller may give a call, in milliseconds: ten minutes.
pub const MAX_BUDGET_MS: u64 = 600_000;
/// Maximum wait that a server may request of a front, in milliseconds: ten minutes.
pub const MAX_WAIT_MS: u64 = 600_000;
/// Maximum length of a cause or a reason, in bytes.
pub const MAX_CAUSE_BYTES: usize = 256;

/// Why a message was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The text is not a JSON object of a known type, or a field is missing, unknown or of the wrong type.
    #[error("{0}")]
    Form(String),
    /// A field's value is out of range.
    #[error("field {field}: {problem}")]
    Value {
        /// The name of the field.
        field: &'static str,
        /// What is wrong with the value.
        problem: &'static str,
    },
}

/// A message with rules that its type does not express, such as ranges.
trait Validate: Serialize + DeserializeOwned {
    fn validate(&self) -> Result<(), MessageError>;
}

fn decode<M: Validate>(text: &str) -> Result<M, MessageError> {
    // serde also deserializes a struct from an array.
    if !text.trim_start().starts_with('{') {
        return Err(MessageError::Form("not a JSON object".into()));
    }
    let message: M = serde_json::from_str(text).map_err(|e| MessageError::Form(e.to_string()))?;
    message.validate()?;
    Ok(message)
}

fn encode<M: Validate>(message: &M) -> String {
    // Cannot fail: messages consist of strings and numbers under string keys.
    serde_json::to_string(message).unwrap_or_default()
}

fn invalid_value<T>(field: &'static str, problem: &'static str) -> Result<T, MessageError> {
    Err(MessageError::Value { field, problem })
}

/// Checks an id or a name: 1 to [`MAX_NAME_BYTES`] visible ASCII characters.
fn check_name(field: &'static str, value: &str) -> Result<(), MessageError> {
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.bytes().all(|b| b.is_ascii_graphic()) {
        return invalid_value(field, "not 1 to 64 visible ASCII characters");
    }
    Ok(())
}

/// Checks a dialled number, if there is one: digits, `*` and `#`, with an optional `+` in front.
fn check_number(value: &Option<String>) -> Result<(), MessageError> {
    let is_valid = |number: &String| {
        (1..=MAX_NUMBER_CHARS).contains(&number.len())
            && number
                .bytes()
                .enumerate()
                .all(|(index, b)| b.is_ascii_digit() || b"*#".contains(&b) || (index == 0 && b == b'+'))
    };
    if !value.as_ref().is_none_or(is_valid) {
        return invalid_value("number", "not 1 to 32 of 0-9 * #, with a + before them at most");
    }
    Ok(())
}

fn check_cause(field: &'static str, value: &str) -> Result<(), MessageError> {
    if value.len() > MAX_CAUSE_BYTES {
        return invalid_value(field, "over 256 bytes");
    }
    Ok(())
}
