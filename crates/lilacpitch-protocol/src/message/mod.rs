//! The messages that frames carry: JSON objects with a `type`, one a text frame.
//!
//! [`call`] between callers and a front, [`signal`] between a front and a signalling server. Decoding refuses
//! unknown types and fields, figures out of their range and names too long: a message is taken whole or not at
//! all, and an error says which field is wrong.

pub mod call;
pub mod signal;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Longest id or name in a message, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest number dialled, in characters.
pub const MAX_NUMBER_CHARS: usize = 32;
/// Longest time a caller may give a call, in milliseconds: ten minutes.
pub const MAX_BUDGET_MS: u64 = 600_000;
/// Longest wait a server may tell, in milliseconds.
pub const MAX_WAIT_MS: u64 = 600_000;
/// Longest cause or reason, in bytes.
pub const MAX_CAUSE_BYTES: usize = 256;

/// Why a message was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Not JSON, not an object, an unknown type or field, a field missing or of the wrong kind.
    #[error("{0}")]
    Form(String),
    /// A field's value is out of its range.
    #[error("field {field}: {what}")]
    Value {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        what: &'static str,
    },
}

/// A message that can check what its type cannot say.
trait Checked: Serialize + DeserializeOwned {
    fn check(&self) -> Result<(), MessageError>;
}

fn decode<M: Checked>(text: &str) -> Result<M, MessageError> {
    // serde would read a struct from an array, too.
    if !text.trim_start().starts_with('{') {
        return Err(MessageError::Form("not a JSON object".into()));
    }
    let message: M = serde_json::from_str(text).map_err(|e| MessageError::Form(e.to_string()))?;
    message.check()?;
    Ok(message)
}

fn encode<M: Checked>(message: &M) -> String {
    // Strings and whole numbers under string keys always serialize.
    serde_json::to_string(message).unwrap_or_default()
}

fn wrong<T>(field: &'static str, what: &'static str) -> Result<T, MessageError> {
    Err(MessageError::Value { field, what })
}

/// An id or a name: 1 to 64 visible ASCII characters.
fn name(field: &'static str, value: &str) -> Result<(), MessageError> {
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.bytes().all(|b| b.is_ascii_graphic()) {
        return wrong(field, "not 1 to 64 visible ASCII characters");
    }
    Ok(())
}

fn number(value: &Option<String>) -> Result<(), MessageError> {
    let fits = |n: &String| {
        (1..=MAX_NUMBER_CHARS).contains(&n.len())
            && n.bytes()
                .enumerate()
                .all(|(at, b)| b.is_ascii_digit() || b"*#".contains(&b) || (at == 0 && b == b'+'))
    };
    if !value.as_ref().is_none_or(fits) {
        return wrong("number", "not 1 to 32 of 0-9 * #, with a + before them at most");
    }
    Ok(())
}

fn cause(field: &'static str, value: &str) -> Result<(), MessageError> {
    if value.len() > MAX_CAUSE_BYTES {
        return wrong(field, "over 256 bytes");
    }
    Ok(())
}
