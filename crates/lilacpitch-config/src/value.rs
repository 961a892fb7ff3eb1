//! Values and constraints, each with its place in the source.

use regex_lite::Regex;
use std::collections::BTreeMap;
use std::fmt;

/// A range of bytes in a source text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Span {
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
    /// Whether the text is the schema rather than the file.
    pub(crate) in_schema: bool,
}

impl Span {
    pub(crate) fn new(start: usize, end: usize) -> Self {
        Span { start, end, in_schema: false }
    }

    /// The span from the start of this one to the end of `last`.
    pub(crate) fn to(self, last: Span) -> Self {
        Span { end: last.end.max(self.start), ..self }
    }
}

/// A basic type of CUE.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Type {
    Any,
    Str,
    Int,
    Float,
    Number,
    Bool,
}

/// A value with its place in the file or the schema.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub value: Value,
    pub span: Span,
}

/// A concrete value, or a constraint on values.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Str(String),
    Type(Type),
    /// A comparison operator and its operand: a number, or for `!=` any scalar.
    Bound(&'static str, Box<Value>),
    /// Whether strings must match the pattern (`=~`) or must not (`!~`).
    Match(bool, Regex),
    /// Constraints that must all hold; none of them is a concrete value.
    All(Vec<Value>),
    /// Items, and the constraint on any that follow them; `None` if none may.
    List(Vec<Node>, Option<Box<Node>>),
    Struct(Record),
    /// Alternatives, each with whether it is marked as the default.
    Or(Vec<(bool, Node)>),
}

/// An evaluated struct.
#[derive(Debug, Clone, Default)]
pub(crate) struct Record {
    pub fields: BTreeMap<String, Slot>,
    /// Constraints on every field, whatever its name.
    pub patterns: Vec<Node>,
    /// Whether fields that the struct does not name are allowed.
    pub open: bool,
}

/// A field of an evaluated struct.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub node: Node,
    pub optional: bool,
    /// Place of the field's name.
    pub name_span: Span,
}

impl Value {
    pub(crate) fn is_scalar(&self) -> bool {
        matches!(self, Value::Null | Value::Bool(_) | Value::Int(_) | Value::Float(_) | Value::Str(_))
    }
}

/// The value in CUE's notation, shortened where it is long, for error messages.
impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let joined = |parts: Vec<String>, separator: &str| parts.join(separator);
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
            Value::Bound(operator, operand) => write!(f, "{operator}{operand}"),
            Value::Match(true, pattern) => write!(f, "=~\"{pattern}\""),
            Value::Match(false, pattern) => write!(f, "!~\"{pattern}\""),
            Value::All(all) => write!(f, "{}", joined(all.iter().map(|v| v.to_string()).collect(), " & ")),
            Value::List(..) => write!(f, "a list"),
            Value::Struct(_) => write!(f, "a struct"),
            Value::Or(alternatives) => {
                let texts = alternatives.iter().map(|(_, node)| node.value.to_string());
                write!(f, "{}", joined(texts.collect(), " | "))
            }
        }
    }
}
