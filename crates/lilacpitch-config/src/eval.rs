//! Evaluates a syntax tree: resolves definitions, merges structs, unifies with the schema, chooses defaults
//! and reports fields that have no concrete value.

use crate::error::Problem;
use crate::parser::{Expr, Kind, Struct};
use crate::unify::{join, unify};
use crate::value::{Node, Record, Slot, Span, Type, Value};
use regex_lite::Regex;
use serde_json::{Map, Number, Value as Json};
use std::collections::BTreeMap;

/// Deepest nesting of definitions; a definition that refers to itself exceeds it.
const MAX_DEPTH: usize = 48;

/// Unifies a file with a definition of the schema. Returns the concrete record and the place of each field by
/// path.
pub(crate) fn evaluate(
    schema: &Struct,
    definition: &str,
    file: &Struct,
) -> Result<(Json, BTreeMap<String, Span>), Vec<Problem>> {
    let mut evaluator = Evaluator { scopes: [definitions(file), definitions(schema)], problems: Vec::new() };
    let wanted = Expr { kind: Kind::Ident(definition.into()), span: schema_span() };
    let wanted = evaluator.expr(&wanted, false, 0);
    let without_definitions = Struct {
        fields: file.fields.iter().filter(|f| !f.name.starts_with('#')).cloned().collect(),
        ..file.clone()
    };
    let found = evaluator.record(&without_definitions, Span::new(0, 0), false, 0);
    let mut problems = evaluator.problems;
    if !problems.is_empty() {
        return Err(problems);
    }
    let node = unify(found, wanted, "", &mut problems);
    let mut spans = BTreeMap::new();
    let json = to_json(&node, "", Span::new(0, 0), &mut spans, &mut problems);
    match problems.is_empty() {
        true => Ok((json, spans)),
        false => {
            problems.sort_by_key(|p| p.span.start);
            problems.dedup();
            Err(problems)
        }
    }
}

fn schema_span() -> Span {
    Span { in_schema: true, ..Span::default() }
}

/// The fields of a file or schema that are definitions.
fn definitions(file: &Struct) -> BTreeMap<String, Expr> {
    let definitions = file.fields.iter().filter(|f| f.name.starts_with('#'));
    definitions.map(|f| (f.name.clone(), f.value.clone())).collect()
}

struct Evaluator {
    /// Definitions of the file and of the schema; those of the file take precedence.
    scopes: [BTreeMap<String, Expr>; 2],
    problems: Vec<Problem>,
}

impl Evaluator {
    /// Reports a mistake. Returns a node that unifies with everything, so that evaluation can go on.
    fn report(&mut self, message: String, span: Span) -> Node {
        self.problems.push(Problem { path: String::new(), message, span });
        Node { value: Value::Type(Type::Any), span }
    }

    /// Evaluates an expression. `closed`: it is part of a definition, whose structs allow no further fields.
    fn expr(&mut self, expr: &Expr, closed: bool, depth: usize) -> Node {
        let span = expr.span;
        if depth > MAX_DEPTH {
            return self.report("a definition that refers to itself".into(), span);
        }
        let value = match &expr.kind {
            Kind::Null => Value::Null,
            Kind::Bool(value) => Value::Bool(*value),
            Kind::Int(value) => Value::Int(*value),
            Kind::Float(value) => Value::Float(*value),
            Kind::Str(text) => Value::Str(text.clone()),
            Kind::Ident(name) => return self.identifier(name, span, depth),
            Kind::Struct(fields) => return self.record(fields, span, closed, depth),
            Kind::List(items, further_items) => {
                let items = items.iter().map(|item| self.expr(item, closed, depth + 1)).collect();
                let further_items =
                    further_items.as_deref().map(|expr| Box::new(self.expr(expr, closed, depth + 1)));
                Value::List(items, further_items)
            }
            Kind::Bound(operator, operand) => {
                let operand = self.expr(operand, closed, depth + 1).value;
                match (*operator, operand) {
                    ("=~" | "!~", Value::Str(pattern)) => match Regex::new(&pattern) {
                        Ok(regex) => Value::Match(*operator == "=~", regex),
                        Err(e) => return self.report(format!("pattern {pattern:?}: {e}"), span),
                    },
                    ("!=", operand) if operand.is_scalar() => Value::Bound("!=", Box::new(operand)),
                    (">=" | "<=" | ">" | "<", limit @ (Value::Int(_) | Value::Float(_))) => {
                        Value::Bound(operator, Box::new(limit))
                    }
                    (operator, operand) => {
                        return self.report(format!("`{operator}` cannot be applied to {operand}"), span)
                    }
                }
            }
            Kind::And(operands) => {
                let nodes: Vec<Node> = operands.iter().map(|e| self.expr(e, closed, depth + 1)).collect();
                let mut problems = Vec::new();
                let any_value = Node { value: Value::Type(Type::Any), span };
                let node = nodes.into_iter().fold(any_value, |a, b| unify(a, b, "", &mut problems));
                self.problems.extend(problems);
                return Node { span, ..node };
            }
            Kind::Or(alternatives) => {
                let evaluated =
                    alternatives.iter().map(|(default, e)| (*default, self.expr(e, closed, depth + 1)));
                Value::Or(evaluated.collect())
            }
        };
        Node { value, span }
    }

    /// Resolves the name of a type or a definition.
    fn identifier(&mut self, name: &str, span: Span, depth: usize) -> Node {
        let kind = match name {
            "_" => Type::Any,
            "string" => Type::Str,
            "int" => Type::Int,
            "float" => Type::Float,
            "number" => Type::Number,
            "bool" => Type::Bool,
            _ => {
                let definition = self.scopes.iter().find_map(|scope| scope.get(name)).cloned();
                return match definition {
                    // A definition is closed, and so are the structs nested in it.
                    Some(expr) => Node { span, ..self.expr(&expr, true, depth + 1) },
                    None => self.report(format!("`{name}` is neither a type nor a definition"), span),
                };
            }
        };
        Node { value: Value::Type(kind), span }
    }

    /// Evaluates a struct.
    fn record(&mut self, fields: &Struct, span: Span, closed: bool, depth: usize) -> Node {
        let mut record = Record { open: fields.open || !closed, ..Record::default() };
        record.patterns = fields.patterns.iter().map(|p| self.expr(p, closed, depth + 1)).collect();
        for field in &fields.fields {
            let node = self.expr(&field.value, closed, depth + 1);
            let slot = match record.fields.remove(&field.name) {
                // A field that is given twice must satisfy both values, as in CUE.
                Some(earlier) => {
                    let mut problems = Vec::new();
                    let node = unify(earlier.node, node, &field.name, &mut problems);
                    for problem in &mut problems {
                        problem.message = format!("given twice: {}", problem.message);
                        problem.span = field.span;
                    }
                    self.problems.extend(problems);
                    Slot { node, optional: earlier.optional && field.optional, name_span: field.span }
                }
                None => Slot { node, optional: field.optional, name_span: field.span },
            };
            record.fields.insert(field.name.clone(), slot);
        }
        // The struct's patterns apply to its own fields; those of a struct it is unified with apply later.
        let patterns = record.patterns.clone();
        for (name, slot) in &mut record.fields {
            for pattern in &patterns {
                let node = slot.node.clone();
                slot.node = unify(node, pattern.clone(), name, &mut self.problems);
            }
        }
        Node { value: Value::Struct(record), span }
    }
}

/// Converts a node to JSON: chooses defaults, leaves out optional fields that are not given and reports
/// fields that have no concrete value. Adds the span of each field to `spans`.
fn to_json(
    node: &Node,
    path: &str,
    enclosing: Span,
    spans: &mut BTreeMap<String, Span>,
    problems: &mut Vec<Problem>,
) -> Json {
    // A field that the file does not contain is reported at the struct around it.
    let span = if node.span.in_schema { enclosing } else { node.span };
    spans.insert(path.to_string(), span);
    match &node.value {
        Value::Null => Json::Null,
        Value::Bool(value) => Json::Bool(*value),
        Value::Int(value) => Json::Number((*value).into()),
        Value::Float(value) => Number::from_f64(*value).map_or(Json::Null, Json::Number),
        Value::Str(text) => Json::String(text.clone()),
        Value::List(items, _) => {
            let item = |(index, item): (usize, &Node)| {
                to_json(item, &format!("{path}[{index}]"), span, spans, problems)
            };
            Json::Array(items.iter().enumerate().map(item).collect())
        }
        Value::Struct(record) => {
            let mut object = Map::new();
            for (name, slot) in record.fields.iter().filter(|(_, slot)| !slot.optional) {
                object.insert(name.clone(), to_json(&slot.node, &join(path, name), span, spans, problems));
            }
            Json::Object(object)
        }
        Value::Or(alternatives) => {
            let mut defaults = alternatives.iter().filter(|(default, _)| *default);
            match (defaults.next(), defaults.next()) {
                (Some((_, node)), None) => to_json(node, path, span, spans, problems),
                _ => report_missing(node, path, span, problems),
            }
        }
        Value::Type(_) | Value::Bound(..) | Value::Match(..) | Value::All(_) => {
            report_missing(node, path, span, problems)
        }
    }
}

/// Reports a field that has no concrete value.
fn report_missing(node: &Node, path: &str, span: Span, problems: &mut Vec<Problem>) -> Json {
    // Only the first byte of an enclosing struct is marked; all of its lines would be marked otherwise.
    let span = Span { end: span.end.min(span.start + 1), ..span };
    let message = format!("missing, wanted {}", node.value);
    problems.push(Problem { path: path.into(), message, span });
    Json::Null
}
