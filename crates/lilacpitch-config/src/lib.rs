//! Reads settings files into typed records.
//!
//! A file is written in a subset of CUE and unified with a schema built into the program. The result is a
//! record in which every field has a value, or an error that names file, line and field, what was found and
//! what was wanted.
//!
//! The subset (`docs/settings.md`): structs with `a: b: 1` for nesting, optional fields (`f?:`), definitions
//! (`#Name:`, closed), patterns (`[string]: T`), lists (`[A, ...B]`), `null`, booleans, integers, floats,
//! strings, the types `string int float number bool _`, bounds (`>=1`, `!=""`), string patterns (`=~"..."`),
//! conjunction `&`, disjunction `|` with a default `*`, and comments. Any other construct is an error that
//! names it.
//!
//! ```
//! use lilacpitch_config::{load_text, Schema};
//! let schema = Schema::new("port.cue", "#Port: {port: int & >=1 & <=65535, name: *\"a\" | string}").unwrap();
//! #[derive(serde::Deserialize)]
//! struct Port { port: u16, name: String }
//! let port = load_text::<Port>(&schema, "#Port", "my.cue", "port: 80").unwrap();
//! assert_eq!((port.value.port, port.value.name.as_str()), (80, "a"));
//! let error = load_text::<Port>(&schema, "#Port", "my.cue", "port: 0").err().unwrap();
//! assert_eq!(error.to_string(), "my.cue:1:7: port: found 0, wanted int & >=1 & <=65535");
//! ```
#![forbid(unsafe_code)]

mod edge;
mod error;
mod eval;
mod fleet;
mod lexer;
mod parser;
mod pools;
mod unify;
mod value;

pub use edge::{Class, Edge, Limits, Log, LogFormat, PeersOf, Rules, Timing, EDGE_SCHEMA};
pub use error::{ConfigError, Problem};
pub use fleet::{FleetOf, Site, SiteAt, Terms};
pub use pools::{Pools, Server, ServerState};

use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

/// Largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 16 << 20;

/// Definitions that files are unified with.
#[derive(Debug, Clone)]
pub struct Schema {
    text: String,
    root: parser::Struct,
}

impl Schema {
    /// Parses a schema. Its definitions may refer to each other.
    ///
    /// # Errors
    /// The place and cause, if the schema does not parse.
    pub fn new(name: &str, text: &str) -> Result<Self, ConfigError> {
        let root = parser::parse(text, true).map_err(|p| ConfigError::new(name, text, vec![p]))?;
        Ok(Schema { text: text.into(), root })
    }

    /// The source text of the schema.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// A record read from a file, with the source location of each field.
#[derive(Debug, Clone)]
pub struct Loaded<T> {
    /// The record.
    pub value: T,
    name: String,
    text: String,
    spans: BTreeMap<String, value::Span>,
}

impl<T> Loaded<T> {
    /// An error about a field whose value has the right type but breaks a rule. It points at the field, or at
    /// the closest enclosing record if the file does not contain the field.
    pub fn error_at(&self, path: &str, message: impl Into<String>) -> ConfigError {
        let problem =
            Problem { path: path.into(), message: message.into(), span: span_of(&self.spans, path) };
        ConfigError::new(&self.name, &self.text, vec![problem])
    }

    /// Converts the record with `convert` and keeps the source locations.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Loaded<U> {
        Loaded { value: convert(self.value), name: self.name, text: self.text, spans: self.spans }
    }
}

/// The span of a field, or of the closest enclosing record that has one.
fn span_of(spans: &BTreeMap<String, value::Span>, path: &str) -> value::Span {
    let mut ancestor = path;
    loop {
        match (spans.get(ancestor), ancestor.rfind(['.', '['])) {
            (Some(span), _) => return *span,
            (None, Some(parent_end)) => ancestor = &ancestor[..parent_end],
            (None, None) => return value::Span::default(),
        }
    }
}

/// Reads a file and unifies it with the named definition of the schema.
///
/// # Errors
/// The file and cause if it cannot be read, is too large or is not UTF-8; the place and cause of each field
/// that is missing or wrong.
pub fn load<T: DeserializeOwned>(
    schema: &Schema,
    definition: &str,
    path: &Path,
) -> Result<Loaded<T>, ConfigError> {
    let name = path.display().to_string();
    let unreadable = |e: std::io::Error| ConfigError::unreadable(&name, &e.to_string());
    let length = std::fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_FILE_BYTES {
        return Err(ConfigError::unreadable(&name, &format!("{length} bytes, {MAX_FILE_BYTES} at most")));
    }
    let bytes = std::fs::read(path).map_err(unreadable)?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let offset = e.utf8_error().valid_up_to();
        ConfigError::unreadable(&name, &format!("not UTF-8 at byte {offset}"))
    })?;
    load_text(schema, definition, &name, &text)
}

/// Unifies a text with the named definition of the schema. Errors refer to the text as `name`.
///
/// # Errors
/// The place and cause of each field that is missing or wrong.
pub fn load_text<T: DeserializeOwned>(
    schema: &Schema,
    definition: &str,
    name: &str,
    text: &str,
) -> Result<Loaded<T>, ConfigError> {
    let fail = |problems| ConfigError::new(name, text, problems);
    let file = parser::parse(text, false).map_err(|p| fail(vec![p]))?;
    let (json, spans) = eval::evaluate(&schema.root, definition, &file).map_err(fail)?;
    let value = serde_path_to_error::deserialize(json).map_err(|e| {
        // The schema's patterns admit some values that the record's types reject, such as an IP address out
        // of range or a duration that overflows.
        let path = e.path().to_string();
        fail(vec![Problem { message: e.inner().to_string(), span: span_of(&spans, &path), path }])
    })?;
    Ok(Loaded { value, name: name.into(), text: text.into(), spans })
}

/// Parses a duration such as `300ms` or `1.5s` into nanoseconds. `None` if it does not parse or is longer
/// than 292 years, the range of 64-bit signed nanoseconds.
pub fn duration_ns(text: &str) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let unit_ns = match unit {
        "ns" => 1.0,
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "m" => 60e9,
        "h" => 3600e9,
        _ => return None,
    };
    let ns = number.parse::<f64>().ok()? * unit_ns;
    (ns.is_finite() && ns < i64::MAX as f64).then_some(ns.round() as u64)
}

/// Deserializes a field that holds a duration into nanoseconds.
///
/// # Errors
/// The text, if [`duration_ns`] does not accept it.
pub fn de_duration<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text: String = serde::Deserialize::deserialize(deserializer)?;
    duration_ns(&text).ok_or_else(|| serde::de::Error::custom(format!("{text}: longer than 292 years")))
}
