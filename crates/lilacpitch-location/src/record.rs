//! Location records: where a number is reached, or which call to it is active, and since when.

use crate::error::LocationError;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most digits of a number, the same as in the call protocol.
const MAX_DIGITS: usize = 32;
/// Longest name of a class, trunk group, front or server, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A dialled number: 1 to 32 of `0-9*#`, with an optional `+` before them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Number(Box<str>);

impl Number {
    /// Parses a number.
    ///
    /// # Errors
    /// [`LocationError::Number`] if it is malformed.
    pub fn new(text: &str) -> Result<Self, LocationError> {
        let digits = text.strip_prefix('+').unwrap_or(text);
        let is_valid = |b: u8| b.is_ascii_digit() || b == b'*' || b == b'#';
        if digits.is_empty() || digits.len() > MAX_DIGITS || !digits.bytes().all(is_valid) {
            return Err(LocationError::Number(text.chars().take(40).collect()));
        }
        Ok(Number(text.into()))
    }

    /// The number as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The 64-bit XXH3 hash of the number. Shards and summaries depend on it, so it must be the same in every
    /// process and build.
    pub fn hash64(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.0.as_bytes())
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for Number {
    type Error = LocationError;

    fn try_from(text: String) -> Result<Self, LocationError> {
        Number::new(&text)
    }
}

impl From<Number> for String {
    fn from(number: Number) -> String {
        number.0.into()
    }
}

/// What a record states about its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A binding: the number is that of a caller, such as a handset, which is reached through the owner.
    Binding,
    /// A call to the number is active at the owner.
    ActiveCall,
}

impl Kind {
    /// The kind's name on the admin pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Binding => "reached",
            Kind::ActiveCall => "standing",
        }
    }
}

/// The owner of a record: a front for a binding, a server for an active call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The front's or the server's name.
    pub name: String,
    /// The front that wrote the record. Records of a front's older incarnations are removed together.
    pub front: String,
    /// The incarnation of that front: its start time in nanoseconds of Unix time.
    pub incarnation: u64,
    /// Distinguishes the records of one owner for one number: the front's id of the connection or call.
    pub serial: u64,
}

/// The key of a record. The order of the fields determines the order of keys and the encoding.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The number.
    pub number: Number,
    /// The kind of record.
    pub kind: Kind,
    /// The owner.
    pub owner: Owner,
}

impl Key {
    /// The lower bound of all keys whose number begins with these digits.
    pub fn lowest_with_prefix(digits: &str) -> Self {
        let owner = Owner { name: String::new(), front: String::new(), incarnation: 0, serial: 0 };
        Key { number: Number(digits.into()), kind: Kind::Binding, owner }
    }
}

/// A location record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationRecord {
    /// Its key.
    pub key: Key,
    /// The class of the call, or of calls to the number; may be empty.
    pub class: String,
    /// The trunk group: the pool through which the number is reached or through which the call goes.
    pub trunk_group: String,
    /// Start of the binding or call, in milliseconds of Unix time by the clock of the front that wrote the
    /// record.
    pub since_ms: u64,
}

impl LocationRecord {
    /// Checks the names; the number was checked when it was parsed.
    ///
    /// # Errors
    /// [`LocationError::Name`] for the first field whose name is not valid.
    pub fn check(&self) -> Result<(), LocationError> {
        let names = [
            ("class", &self.class),
            ("trunk group", &self.trunk_group),
            ("holder", &self.key.owner.name),
            ("front", &self.key.owner.front),
        ];
        for (field, name) in names {
            if name.len() > MAX_NAME_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
                let found = name.chars().take(40).collect();
                return Err(LocationError::Name { field, found });
            }
        }
        Ok(())
    }
}
