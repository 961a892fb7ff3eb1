//! Settings as typed records. A file is CUE of a stated subset; it is unified with a schema that the program
//! carries, and what comes out is concrete or an error that names file, line, field and what was wanted.
//!
//! The subset (`docs/settings.md`): structs with `a: b: 1` for nesting, optional fields (`f?:`), definitions
//! (`#Name:`, closed), patterns (`[string]: T`), lists (`[A, ...B]`), `null`, booleans, whole numbers, floats,
//! strings, the types `string int float number bool _`, bounds (`>=1`, `!=""`), string patterns (`=~"..."`),
//! conjunction `&`, disjunction `|` with a default `*`, comments. What is outside of it is refused by name.
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

/// Longest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 16 << 20;

/// Definitions to unify files with.
#[derive(Debug, Clone)]
pub struct Schema {
    text: String,
    root: parser::Struct,
}

impl Schema {
    /// Reads a schema; its definitions may use each other.
    ///
    /// # Errors
    /// A schema that does not parse, by place and cause.
    pub fn new(name: &str, text: &str) -> Result<Self, ConfigError> {
        let root = parser::parse(text, true).map_err(|p| ConfigError::new(name, text, vec![p]))?;
        Ok(Schema { text: text.into(), root })
    }

    /// The text, as an operator may read it.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// A record read from a file, and where each of its fields stands.
#[derive(Debug, Clone)]
pub struct Loaded<T> {
    /// The record.
    pub value: T,
    name: String,
    text: String,
    places: BTreeMap<String, value::Span>,
}

impl<T> Loaded<T> {
    /// An error about a field that types alone cannot find, placed where the field or its record stands.
    pub fn error_at(&self, path: &str, what: impl Into<String>) -> ConfigError {
        let problem = Problem { path: path.into(), what: what.into(), span: place(&self.places, path) };
        ConfigError::new(&self.name, &self.text, vec![problem])
    }

    /// Replaces the record by what `make` makes of it, keeping the places.
    pub fn map<U>(self, make: impl FnOnce(T) -> U) -> Loaded<U> {
        Loaded { value: make(self.value), name: self.name, text: self.text, places: self.places }
    }
}

/// Where a field stands, or the record around it.
fn place(places: &BTreeMap<String, value::Span>, path: &str) -> value::Span {
    let mut at = path;
    loop {
        match (places.get(at), at.rfind(['.', '['])) {
            (Some(span), _) => return *span,
            (None, Some(cut)) => at = &at[..cut],
            (None, None) => return value::Span::default(),
        }
    }
}

/// Reads a file and unifies it with the schema's definition `of`.
///
/// # Errors
/// A file that is unreadable, too long or not UTF-8, or a field that is wrong, by place and cause.
pub fn load<T: DeserializeOwned>(schema: &Schema, of: &str, path: &Path) -> Result<Loaded<T>, ConfigError> {
    let name = path.display().to_string();
    let unread = |e: std::io::Error| ConfigError::unread(&name, &e.to_string());
    let length = std::fs::metadata(path).map_err(unread)?.len();
    if length > MAX_FILE_BYTES {
        return Err(ConfigError::unread(&name, &format!("{length} bytes, {MAX_FILE_BYTES} at most")));
    }
    let bytes = std::fs::read(path).map_err(unread)?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        ConfigError::unread(&name, &format!("not UTF-8 at byte {at}"))
    })?;
    load_text(schema, of, &name, &text)
}

/// Unifies a text with the schema's definition `of`; `name` is what errors call it.
///
/// # Errors
/// A field that is missing or wrong, by place and cause.
pub fn load_text<T: DeserializeOwned>(
    schema: &Schema,
    of: &str,
    name: &str,
    text: &str,
) -> Result<Loaded<T>, ConfigError> {
    let fail = |problems| ConfigError::new(name, text, problems);
    let file = parser::parse(text, false).map_err(|p| fail(vec![p]))?;
    let (json, places) = eval::concrete(&schema.root, of, &file).map_err(fail)?;
    let value = serde_path_to_error::deserialize(json).map_err(|e| {
        // What a pattern admits and the record does not: an address out of range, a span past all bounds.
        let path = e.path().to_string();
        fail(vec![Problem { what: e.inner().to_string(), span: place(&places, &path), path }])
    })?;
    Ok(Loaded { value, name: name.into(), text: text.into(), places })
}

/// Reads a span such as `300ms` or `1.5s` as nanoseconds. `None`: not a span, or past 292 years.
pub fn duration_ns(text: &str) -> Option<u64> {
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (figure, unit) = text.split_at(at);
    let unit_ns = match unit {
        "ns" => 1.0,
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "m" => 60e9,
        "h" => 3600e9,
        _ => return None,
    };
    let ns = figure.parse::<f64>().ok()? * unit_ns;
    (ns.is_finite() && ns < i64::MAX as f64).then_some(ns.round() as u64)
}

/// For fields that hold a span: read as nanoseconds.
///
/// # Errors
/// Text that is no duration, or one past 292 years.
pub fn de_duration<'de, D: serde::Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    let text: String = serde::Deserialize::deserialize(d)?;
    duration_ns(&text).ok_or_else(|| serde::de::Error::custom(format!("{text}: a span past 292 years")))
}
