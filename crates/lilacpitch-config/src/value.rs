//! Values and constraints, with where each came from.

use regex_lite::Regex;
use std::collections::BTreeMap;
use std::fmt;

/// A place in a text, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Span {
    /// From here,
    pub start: usize,
    /// to before here.
    pub end: usize,
    pub(crate) in_schema: bool,
}

impl Span {
    pub(crate) fn new(start: usize, end: usize) -> Self {
        Span { start, end, in_schema: false }
    }

    /// From this one's start to the other's end.
    pub(crate) fn to(self, last: Span) -> Self {
        Span { end: last.end.max(self.start), ..self }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Type {
    Any,
    Str,
    Int,
    Float,
    Number,
    Bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub value: Value,
    pub span: Span,
}

#[derive(Debug, Clone)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Str(String),
    Type(Type),
    /// A sign and what it bounds by: a figure, or for `!=` any scalar.
    Bound(&'static str, Box<Value>),
    /// Whether strings must match it, or must not.
    Match(bool, Regex),
    /// Constraints that all hold, none of them concrete.
    All(Vec<Value>),
    List(Vec<Node>, Option<Box<Node>>),
    Struct(Record),
    /// Alternatives; defaults are marked.
    Or(Vec<(bool, Node)>),
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Record {
    pub fields: BTreeMap<String, Slot>,
    /// The names' order in the file and the schema.
    pub patterns: Vec<Node>,
    /// Takes fields that it does not name.
    pub open: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub node: Node,
    pub optional: bool,
    /// Where its name stands.
    pub name_span: Span,
}

impl Value {
    pub(crate) fn is_scalar(&self) -> bool {
        matches!(self, Value::Null | Value::Bool(_) | Value::Int(_) | Value::Float(_) | Value::Str(_))
    }
}

/// As it would be written, shortened where it is long: for errors.
impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let joined = |parts: Vec<String>, by: &str| parts.join(by);
        match self {
            Value::Null => write!(f, "null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Int(value) => write!(f, "{value}"),
            Value::Float(value) => write!(f, "{value:?}"),
            Value::Str(text) if text.chars().count() > 60 => {
                write!(f, "{:?}...", text.chars().take(60).collect::<String>())
            }
            Value::Str(text) => write!(f, "{text:?}"),
            Value::Type(kind) => f.write_str(match kind {
                Type::Any => "anything",
                Type::Str => "string",
                Type::Int => "int",
                Type::Float => "float",
                Type::Number => "number",
                Type::Bool => "bool",
            }),
            Value::Bound(sign, by) => write!(f, "{sign}{by}"),
            Value::Match(true, pattern) => write!(f, "=~\"{pattern}\""),
            Value::Match(false, pattern) => write!(f, "!~\"{pattern}\""),
            Value::All(all) => write!(f, "{}", joined(all.iter().map(|v| v.to_string()).collect(), " & ")),
            Value::List(..) => write!(f, "a list"),
            Value::Struct(_) => write!(f, "a struct"),
            Value::Or(any) => {
                write!(f, "{}", joined(any.iter().map(|(_, n)| n.value.to_string()).collect(), " | "))
            }
        }
    }
}
