//! Unification of two values: the value that satisfies both, or the problems that prevent it. The operation
//! is commutative.

use crate::error::Problem;
use crate::value::{Node, Record, Slot, Span, Type, Value};
use std::collections::btree_map::Entry;

/// Most alternatives that are kept of the product of two disjunctions.
const MAX_ALTERNATIVES: usize = 256;

/// Longest prefix of names that is compared for a suggestion.
const MAX_COMPARED_CHARS: usize = 40;

/// Most edits between an unknown field and the known one that the error suggests.
const MAX_HINT_DISTANCE: usize = 3;

/// Unifies two nodes. Mistakes are added to `problems`, with places in the file rather than in the schema.
pub(crate) fn unify(a: Node, b: Node, path: &str, problems: &mut Vec<Problem>) -> Node {
    let span = if a.span.in_schema { b.span } else { a.span };
    let value = match (a.value, b.value) {
        (Value::Type(Type::Any), other) | (other, Value::Type(Type::Any)) => other,
        (Value::Or(alternatives), other) => {
            unify_alternatives(alternatives, Node { value: other, span: b.span }, span, path, problems)
        }
        (other, Value::Or(alternatives)) => {
            unify_alternatives(alternatives, Node { value: other, span: a.span }, span, path, problems)
        }
        (Value::Struct(first), Value::Struct(second)) => {
            Value::Struct(unify_records(first, second, path, problems))
        }
        (Value::List(items_a, further_a), Value::List(items_b, further_b)) => {
            let list_a = List { items: items_a, further: further_a };
            let list_b = List { items: items_b, further: further_b };
            let (found, wanted) = if a.span.in_schema { (list_b, list_a) } else { (list_a, list_b) };
            unify_lists(found, wanted, span, path, problems)
        }
        (first, second) => match unify_scalars(&first, &second) {
            Some(value) => value,
            None => {
                // The file's value is the one found, the schema's the one wanted.
                let (found, wanted) = if a.span.in_schema { (second, first) } else { (first, second) };
                problems.push(Problem {
                    path: path.into(),
                    message: format!("found {found}, wanted {wanted}"),
                    span,
                });
                // A concrete value, so that the field isn't reported a second time as missing.
                Value::Null
            }
        },
    };
    Node { value, span }
}

/// Unifies scalars and constraints on them. `None` if nothing satisfies both, as with a list and a struct.
fn unify_scalars(a: &Value, b: &Value) -> Option<Value> {
    match (a, b) {
        (Value::All(constraints), other) | (other, Value::All(constraints)) => {
            if other.is_scalar() {
                return constraints.iter().all(|c| satisfies(other, c)).then(|| other.clone());
            }
            if matches!(other, Value::List(..) | Value::Struct(_)) {
                return None;
            }
            let mut constraints = constraints.clone();
            match other {
                Value::All(others) => constraints.extend(others.iter().cloned()),
                other => constraints.push(other.clone()),
            }
            Some(Value::All(constraints))
        }
        (a, b) if a.is_scalar() && b.is_scalar() => equal_scalars(a, b).then(|| a.clone()),
        (scalar, constraint) | (constraint, scalar) if scalar.is_scalar() => {
            satisfies(scalar, constraint).then(|| scalar.clone())
        }
        (Value::Type(a), Value::Type(b)) => match (a, b) {
            (a, b) if a == b => Some(Value::Type(*a)),
            (Type::Number, t @ (Type::Int | Type::Float)) | (t @ (Type::Int | Type::Float), Type::Number) => {
                Some(Value::Type(*t))
            }
            _ => None,
        },
        (Value::List(..) | Value::Struct(_), _) | (_, Value::List(..) | Value::Struct(_)) => None,
        (a, b) => Some(Value::All(vec![a.clone(), b.clone()])),
    }
}

fn equal_scalars(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Null, Value::Null) => true,
        (Value::Bool(a), Value::Bool(b)) => a == b,
        (Value::Int(a), Value::Int(b)) => a == b,
        (Value::Float(a), Value::Float(b)) => a == b,
        (Value::Str(a), Value::Str(b)) => a == b,
        _ => false,
    }
}

/// Whether a scalar satisfies a constraint.
fn satisfies(scalar: &Value, constraint: &Value) -> bool {
    let number = |value: &Value| match value {
        Value::Int(value) => Some(*value as f64),
        Value::Float(value) => Some(*value),
        _ => None,
    };
    match constraint {
        Value::Type(kind) => match kind {
            Type::Any => true,
            Type::Str => matches!(scalar, Value::Str(_)),
            Type::Int => matches!(scalar, Value::Int(_)),
            Type::Float => matches!(scalar, Value::Float(_)),
            Type::Number => matches!(scalar, Value::Int(_) | Value::Float(_)),
            Type::Bool => matches!(scalar, Value::Bool(_)),
        },
        Value::Bound("!=", operand) => {
            !equal_scalars(scalar, operand) && number(scalar).is_some() == number(operand).is_some()
        }
        Value::Bound(operator, limit) => match (number(scalar), number(limit)) {
            (Some(value), Some(limit)) => match *operator {
                ">=" => value >= limit,
                "<=" => value <= limit,
                ">" => value > limit,
                _ => value < limit,
            },
            _ => false,
        },
        Value::Match(must_match, pattern) => {
            matches!(scalar, Value::Str(text) if pattern.is_match(text) == *must_match)
        }
        Value::All(constraints) => constraints.iter().all(|c| satisfies(scalar, c)),
        _ => false,
    }
}

/// The items of a list, and the constraint on any that follow them; `None` if none may.
struct List {
    items: Vec<Node>,
    further: Option<Box<Node>>,
}

fn unify_lists(found: List, wanted: List, span: Span, path: &str, problems: &mut Vec<Problem>) -> Value {
    let (found_length, wanted_length) = (found.items.len(), wanted.items.len());
    let too_long = found_length > wanted_length && wanted.further.is_none();
    let too_short = found_length < wanted_length && found.further.is_none();
    if too_long || too_short {
        let quantity = if wanted.further.is_some() { "at least " } else { "one of " };
        let message = format!("found a list of {found_length}, wanted {quantity}{wanted_length}");
        problems.push(Problem { path: path.into(), message, span });
        return Value::Null;
    }
    let length = found_length.max(wanted_length);
    let (mut found_items, mut wanted_items) = (found.items.into_iter(), wanted.items.into_iter());
    let items = (0..length).map(|index| {
        let path = format!("{path}[{index}]");
        let a = found_items.next().or_else(|| found.further.as_deref().cloned());
        let b = wanted_items.next().or_else(|| wanted.further.as_deref().cloned());
        match (a, b) {
            (Some(a), Some(b)) => unify(a, b, &path, problems),
            (Some(only), None) | (None, Some(only)) => only,
            (None, None) => Node { value: Value::Type(Type::Any), span },
        }
    });
    let items = items.collect();
    let further = match (found.further, wanted.further) {
        (Some(a), Some(b)) => Some(Box::new(unify(*a, *b, path, &mut Vec::new()))),
        _ => None,
    };
    Value::List(items, further)
}

fn unify_records(first: Record, second: Record, path: &str, problems: &mut Vec<Problem>) -> Record {
    let mut unified = Record { open: first.open && second.open, ..Record::default() };
    let allows = |record: &Record, name: &str| {
        record.open || record.fields.contains_key(name) || !record.patterns.is_empty()
    };
    for (this, other) in [(&first, &second), (&second, &first)] {
        for (name, slot) in this.fields.iter().filter(|(_, slot)| !slot.optional) {
            if !allows(other, name) {
                let closest = other.fields.keys().min_by_key(|k| edit_distance(k, name));
                let close = closest.filter(|k| edit_distance(k, name) <= MAX_HINT_DISTANCE);
                let hint = close.map(|k| format!("; is `{k}` meant?"));
                let names: Vec<&str> = other.fields.keys().map(String::as_str).collect();
                problems.push(Problem {
                    path: join(path, name),
                    message: format!(
                        "no such field, there are {}{}",
                        names.join(", "),
                        hint.unwrap_or_default()
                    ),
                    span: slot.name_span,
                });
            }
        }
    }
    let patterns = [first.patterns.clone(), second.patterns.clone()];
    for (index, record) in [first, second].into_iter().enumerate() {
        for (name, mut slot) in record.fields {
            let path = join(path, &name);
            // The other record's patterns apply to this one's fields.
            for pattern in patterns[1 - index].iter().filter(|_| !slot.optional) {
                slot.node = unify(slot.node, pattern.clone(), &path, problems);
            }
            match unified.fields.entry(name) {
                Entry::Vacant(vacant) => {
                    vacant.insert(slot);
                }
                Entry::Occupied(mut occupied) => {
                    let earlier = occupied.get().clone();
                    let name_span =
                        if earlier.name_span.in_schema { slot.name_span } else { earlier.name_span };
                    occupied.insert(Slot {
                        optional: earlier.optional && slot.optional,
                        node: unify(earlier.node, slot.node, &path, problems),
                        name_span,
                    });
                }
            }
        }
    }
    unified.patterns = patterns.into_iter().flatten().collect();
    unified
}

/// Unifies each alternative with `other`, or with each of its alternatives if it has several, and keeps those
/// that succeed.
fn unify_alternatives(
    alternatives: Vec<(bool, Node)>,
    other: Node,
    span: Span,
    path: &str,
    problems: &mut Vec<Problem>,
) -> Value {
    let others = match other.value {
        Value::Or(others) => others,
        value => vec![(false, Node { value, span: other.span })],
    };
    let has_default = |alternatives: &[(bool, Node)]| alternatives.iter().any(|(default, _)| *default);
    let (has_default_a, has_default_b) = (has_default(&alternatives), has_default(&others));
    let (mut unified, mut first_mismatch) = (Vec::new(), None);
    for (default_a, a) in &alternatives {
        for (default_b, b) in &others {
            let mut mismatch = Vec::new();
            let node = unify(a.clone(), b.clone(), path, &mut mismatch);
            if mismatch.is_empty() {
                let default = (has_default_a || has_default_b)
                    && (*default_a || !has_default_a)
                    && (*default_b || !has_default_b);
                unified.push((default, node));
            } else if matches!(
                (&a.value, &b.value),
                (Value::Struct(_), Value::Struct(_)) | (Value::List(..), Value::List(..))
            ) {
                // The kinds agree, so this alternative was probably meant: its problems tell more than a list
                // of all alternatives.
                first_mismatch.get_or_insert(mismatch);
            }
        }
    }
    unified.truncate(MAX_ALTERNATIVES);
    match (unified.len(), unified.pop()) {
        (1, Some((_, node))) => node.value,
        (0, _) | (_, None) => {
            let (a, b) = (Value::Or(alternatives), Value::Or(others));
            let (found, wanted) = if other.span.in_schema { (a, b) } else { (b, a) };
            let message = format!("found {found}, wanted {wanted}");
            let mismatch = vec![Problem { path: path.into(), message, span }];
            problems.extend(first_mismatch.unwrap_or(mismatch));
            Value::Null
        }
        (_, Some(last)) => {
            unified.push(last);
            Value::Or(unified)
        }
    }
}

/// Path of a field within the record at `path`.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.into()
    } else {
        format!("{path}.{name}")
    }
}

/// Levenshtein distance of the first characters of two names.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_COMPARED_CHARS).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, char_a) in a.chars().take(MAX_COMPARED_CHARS).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, char_b) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(char_a != *char_b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
