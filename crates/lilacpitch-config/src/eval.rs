//! From syntax to values: definitions looked up, structs merged, defaults chosen, everything concrete.

use crate::error::Problem;
use crate::parser::{Expr, Kind, Struct};
use crate::unify::{join, unify};
use crate::value::{Node, Record, Slot, Span, Type, Value};
use regex_lite::Regex;
use serde_json::{Map, Number, Value as Json};
use std::collections::BTreeMap;

/// Deepest chain of definitions: one that holds itself is refused here.
const MAX_DEPTH: usize = 48;

/// Unifies a file with a definition of the schema and makes it concrete.
pub(crate) fn concrete(
    schema: &Struct,
    of: &str,
    file: &Struct,
) -> Result<(Json, BTreeMap<String, Span>), Vec<Problem>> {
    let mut eval = Eval { scopes: [definitions(file), definitions(schema)], problems: Vec::new() };
    let wanted = eval.expr(&Expr { kind: Kind::Ident(of.into()), span: schema_span() }, false, 0);
    let plain = Struct {
        fields: file.fields.iter().filter(|f| !f.name.starts_with('#')).cloned().collect(),
        ..file.clone()
    };
    let found = eval.record(&plain, Span::new(0, 0), false, 0);
    let mut problems = eval.problems;
    if !problems.is_empty() {
        return Err(problems);
    }
    let node = unify(found, wanted, "", &mut problems);
    let mut places = BTreeMap::new();
    let json = finish(&node, "", Span::new(0, 0), &mut places, &mut problems);
    match problems.is_empty() {
        true => Ok((json, places)),
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

fn definitions(of: &Struct) -> BTreeMap<String, Expr> {
    of.fields.iter().filter(|f| f.name.starts_with('#')).map(|f| (f.name.clone(), f.value.clone())).collect()
}

struct Eval {
    scopes: [BTreeMap<String, Expr>; 2],
    problems: Vec<Problem>,
}

impl Eval {
    fn wrong(&mut self, what: String, span: Span) -> Node {
        self.problems.push(Problem { path: String::new(), what, span });
        Node { value: Value::Type(Type::Any), span }
    }

    fn expr(&mut self, expr: &Expr, closed: bool, depth: usize) -> Node {
        let span = expr.span;
        if depth > MAX_DEPTH {
            return self.wrong("a definition that holds itself".into(), span);
        }
        let value = match &expr.kind {
            Kind::Null => Value::Null,
            Kind::Bool(value) => Value::Bool(*value),
            Kind::Int(value) => Value::Int(*value),
            Kind::Float(value) => Value::Float(*value),
            Kind::Str(text) => Value::Str(text.clone()),
            Kind::Ident(name) => return self.named(name, span, depth),
            Kind::Struct(fields) => return self.record(fields, span, closed, depth),
            Kind::List(items, more) => {
                let items = items.iter().map(|item| self.expr(item, closed, depth + 1)).collect();
                let more = more.as_deref().map(|more| Box::new(self.expr(more, closed, depth + 1)));
                Value::List(items, more)
            }
            Kind::Bound(sign, by) => {
                let by = self.expr(by, closed, depth + 1).value;
                match (*sign, by) {
                    ("=~" | "!~", Value::Str(pattern)) => match Regex::new(&pattern) {
                        Ok(regex) => Value::Match(*sign == "=~", regex),
                        Err(e) => return self.wrong(format!("pattern {pattern:?}: {e}"), span),
                    },
                    ("!=", by) if by.is_scalar() => Value::Bound("!=", Box::new(by)),
                    (">=" | "<=" | ">" | "<", by @ (Value::Int(_) | Value::Float(_))) => {
                        Value::Bound(sign, Box::new(by))
                    }
                    (sign, by) => return self.wrong(format!("`{sign}` does not go with {by}"), span),
                }
            }
            Kind::And(all) => {
                let nodes: Vec<Node> = all.iter().map(|e| self.expr(e, closed, depth + 1)).collect();
                let mut problems = Vec::new();
                let any = Node { value: Value::Type(Type::Any), span };
                let node = nodes.into_iter().fold(any, |a, b| unify(a, b, "", &mut problems));
                self.problems.extend(problems);
                return Node { span, ..node };
            }
            Kind::Or(any) => {
                Value::Or(any.iter().map(|(d, e)| (*d, self.expr(e, closed, depth + 1))).collect())
            }
        };
        Node { value, span }
    }

    fn named(&mut self, name: &str, span: Span, depth: usize) -> Node {
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
                    // A definition is closed, and so is what stands within it.
                    Some(expr) => Node { span, ..self.expr(&expr, true, depth + 1) },
                    None => self.wrong(format!("`{name}` is neither a type nor a definition"), span),
                };
            }
        };
        Node { value: Value::Type(kind), span }
    }

    fn record(&mut self, fields: &Struct, span: Span, closed: bool, depth: usize) -> Node {
        let mut record = Record { open: fields.open || !closed, ..Record::default() };
        record.patterns = fields.patterns.iter().map(|p| self.expr(p, closed, depth + 1)).collect();
        for field in &fields.fields {
            let node = self.expr(&field.value, closed, depth + 1);
            let slot = match record.fields.remove(&field.name) {
                // The same field twice is both at once, as in CUE.
                Some(before) => {
                    let mut problems = Vec::new();
                    let node = unify(before.node, node, &field.name, &mut problems);
                    for problem in &mut problems {
                        problem.what = format!("given twice: {}", problem.what);
                        problem.span = field.span;
                    }
                    self.problems.extend(problems);
                    Slot { node, optional: before.optional && field.optional, name_span: field.span }
                }
                None => Slot { node, optional: field.optional, name_span: field.span },
            };
            record.fields.insert(field.name.clone(), slot);
        }
        // A struct of a file takes whatever it is unified with; its own patterns hold for its own fields.
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

/// Chooses defaults, leaves out optional fields that are not there, and names what is missing.
fn finish(
    node: &Node,
    path: &str,
    near: Span,
    places: &mut BTreeMap<String, Span>,
    problems: &mut Vec<Problem>,
) -> Json {
    // What the file does not say is told where the struct around it stands.
    let place = if node.span.in_schema { near } else { node.span };
    places.insert(path.to_string(), place);
    match &node.value {
        Value::Null => Json::Null,
        Value::Bool(value) => Json::Bool(*value),
        Value::Int(value) => Json::Number((*value).into()),
        Value::Float(value) => Number::from_f64(*value).map_or(Json::Null, Json::Number),
        Value::Str(text) => Json::String(text.clone()),
        Value::List(items, _) => {
            let item = |(index, item): (usize, &Node)| {
                finish(item, &format!("{path}[{index}]"), place, places, problems)
            };
            Json::Array(items.iter().enumerate().map(item).collect())
        }
        Value::Struct(record) => {
            let mut out = Map::new();
            for (name, slot) in record.fields.iter().filter(|(_, slot)| !slot.optional) {
                out.insert(name.clone(), finish(&slot.node, &join(path, name), place, places, problems));
            }
            Json::Object(out)
        }
        Value::Or(any) => {
            let mut defaults = any.iter().filter(|(default, _)| *default);
            match (defaults.next(), defaults.next()) {
                (Some((_, node)), None) => finish(node, path, place, places, problems),
                _ => missing(node, path, place, problems),
            }
        }
        Value::Type(_) | Value::Bound(..) | Value::Match(..) | Value::All(_) => {
            missing(node, path, place, problems)
        }
    }
}

fn missing(node: &Node, path: &str, span: Span, problems: &mut Vec<Problem>) -> Json {
    // A place of one byte: the whole of a struct would be drawn otherwise.
    let span = Span { end: span.end.min(span.start + 1), ..span };
    let what = format!("missing, wanted {}", node.value);
    problems.push(Problem { path: path.into(), what, span });
    Json::Null
}
