//! Unification: the value that satisfies both sides, or what stands against it. Order does not matter.

use crate::error::Problem;
use crate::value::{Node, Record, Slot, Span, Type, Value};
use std::collections::btree_map::Entry;

/// Most alternatives that a product of disjunctions may have.
const MAX_ALTERNATIVES: usize = 256;

/// Unifies two nodes; what is wrong goes to `problems`, with places in the file rather than in the schema.
pub(crate) fn unify(a: Node, b: Node, path: &str, problems: &mut Vec<Problem>) -> Node {
    let span = if a.span.in_schema { b.span } else { a.span };
    let value = match (a.value, b.value) {
        (Value::Type(Type::Any), other) | (other, Value::Type(Type::Any)) => other,
        (Value::Or(any), other) => {
            alternatives(any, Node { value: other, span: b.span }, span, path, problems)
        }
        (other, Value::Or(any)) => {
            alternatives(any, Node { value: other, span: a.span }, span, path, problems)
        }
        (Value::Struct(one), Value::Struct(two)) => Value::Struct(records(one, two, path, problems)),
        (Value::List(one, more_one), Value::List(two, more_two)) => {
            let (one, two) = ((one, more_one), (two, more_two));
            let (found, wanted) = if a.span.in_schema { (two, one) } else { (one, two) };
            lists(found, wanted, span, path, problems)
        }
        (one, two) => match scalars(&one, &two) {
            Some(value) => value,
            None => {
                // What the file says was found; what the schema says was wanted.
                let (found, wanted) = if a.span.in_schema { (two, one) } else { (one, two) };
                problems.push(Problem {
                    path: path.into(),
                    what: format!("found {found}, wanted {wanted}"),
                    span,
                });
                // Told once: what is left of it finishes without a further word.
                Value::Null
            }
        },
    };
    Node { value, span }
}

/// Neither a struct nor a list with its like, nor an alternative.
fn scalars(a: &Value, b: &Value) -> Option<Value> {
    match (a, b) {
        (Value::All(all), other) | (other, Value::All(all)) => {
            if other.is_scalar() {
                return all.iter().all(|c| satisfies(other, c)).then(|| other.clone());
            }
            if matches!(other, Value::List(..) | Value::Struct(_)) {
                return None;
            }
            let mut all = all.clone();
            match other {
                Value::All(more) => all.extend(more.iter().cloned()),
                other => all.push(other.clone()),
            }
            Some(Value::All(all))
        }
        (a, b) if a.is_scalar() && b.is_scalar() => same(a, b).then(|| a.clone()),
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

fn same(a: &Value, b: &Value) -> bool {
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
    let figure = |value: &Value| match value {
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
        Value::Bound("!=", by) => !same(scalar, by) && figure(scalar).is_some() == figure(by).is_some(),
        Value::Bound(sign, by) => match (figure(scalar), figure(by)) {
            (Some(value), Some(by)) => match *sign {
                ">=" => value >= by,
                "<=" => value <= by,
                ">" => value > by,
                _ => value < by,
            },
            _ => false,
        },
        Value::Match(wanted, pattern) => {
            matches!(scalar, Value::Str(text) if pattern.is_match(text) == *wanted)
        }
        Value::All(all) => all.iter().all(|c| satisfies(scalar, c)),
        _ => false,
    }
}

type Items = (Vec<Node>, Option<Box<Node>>);

/// `one` was found, `two` wanted.
fn lists(one: Items, two: Items, span: Span, path: &str, problems: &mut Vec<Problem>) -> Value {
    let ((one, more_one), (two, more_two)) = (one, two);
    let (found, wanted) = (one.len(), two.len());
    if (found > wanted && more_two.is_none()) || (found < wanted && more_one.is_none()) {
        let least = if more_two.is_some() { "at least " } else { "one of " };
        let what = format!("found a list of {found}, wanted {least}{wanted}");
        problems.push(Problem { path: path.into(), what, span });
        return Value::Null;
    }
    let length = found.max(wanted);
    let (mut one, mut two) = (one.into_iter(), two.into_iter());
    let items = (0..length).map(|index| {
        let path = format!("{path}[{index}]");
        let a = one.next().or_else(|| more_one.as_deref().cloned());
        let b = two.next().or_else(|| more_two.as_deref().cloned());
        match (a, b) {
            (Some(a), Some(b)) => unify(a, b, &path, problems),
            (Some(only), None) | (None, Some(only)) => only,
            (None, None) => Node { value: Value::Type(Type::Any), span },
        }
    });
    let items = items.collect();
    let more = match (more_one, more_two) {
        (Some(a), Some(b)) => Some(Box::new(unify(*a, *b, path, &mut Vec::new()))),
        _ => None,
    };
    Value::List(items, more)
}

fn records(one: Record, two: Record, path: &str, problems: &mut Vec<Problem>) -> Record {
    let (open_one, open_two) = (one.open, two.open);
    let mut out = Record { open: open_one && open_two, ..Record::default() };
    let takes = |record: &Record, name: &str| {
        record.open || record.fields.contains_key(name) || !record.patterns.is_empty()
    };
    for (this, other) in [(&one, &two), (&two, &one)] {
        for (name, slot) in this.fields.iter().filter(|(_, slot)| !slot.optional) {
            if !takes(other, name) {
                let near = other.fields.keys().min_by_key(|k| distance(k, name));
                let hint = near.filter(|k| distance(k, name) <= 3).map(|k| format!("; is `{k}` meant?"));
                let names: Vec<&str> = other.fields.keys().map(String::as_str).collect();
                problems.push(Problem {
                    path: join(path, name),
                    what: format!(
                        "no such field, there are {}{}",
                        names.join(", "),
                        hint.unwrap_or_default()
                    ),
                    span: slot.name_span,
                });
            }
        }
    }
    let patterns = [one.patterns.clone(), two.patterns.clone()];
    for (index, record) in [one, two].into_iter().enumerate() {
        for (name, mut slot) in record.fields {
            let path = join(path, &name);
            // The other side's patterns hold for this one's fields.
            for pattern in patterns[1 - index].iter().filter(|_| !slot.optional) {
                slot.node = unify(slot.node, pattern.clone(), &path, problems);
            }
            match out.fields.entry(name) {
                Entry::Vacant(vacant) => {
                    vacant.insert(slot);
                }
                Entry::Occupied(mut known) => {
                    let before = known.get().clone();
                    let name_span =
                        if before.name_span.in_schema { slot.name_span } else { before.name_span };
                    known.insert(Slot {
                        optional: before.optional && slot.optional,
                        node: unify(before.node, slot.node, &path, problems),
                        name_span,
                    });
                }
            }
        }
    }
    out.patterns = patterns.into_iter().flatten().collect();
    out
}

fn alternatives(
    any: Vec<(bool, Node)>,
    other: Node,
    span: Span,
    path: &str,
    problems: &mut Vec<Problem>,
) -> Value {
    let others = match other.value {
        Value::Or(others) => others,
        value => vec![(false, Node { value, span: other.span })],
    };
    let marked = |any: &[(bool, Node)]| any.iter().any(|(default, _)| *default);
    let (mark_a, mark_b) = (marked(&any), marked(&others));
    let (mut fit, mut first) = (Vec::new(), None);
    for (default_a, a) in &any {
        for (default_b, b) in &others {
            let mut against = Vec::new();
            let node = unify(a.clone(), b.clone(), path, &mut against);
            if against.is_empty() {
                let default = (mark_a || mark_b) && (*default_a || !mark_a) && (*default_b || !mark_b);
                fit.push((default, node));
            } else if matches!(
                (&a.value, &b.value),
                (Value::Struct(_), Value::Struct(_)) | (Value::List(..), Value::List(..))
            ) {
                // Of its kind, so this is what was meant: its own problems say most.
                first.get_or_insert(against);
            }
        }
    }
    fit.truncate(MAX_ALTERNATIVES);
    match (fit.len(), fit.pop()) {
        (1, Some((_, node))) => node.value,
        (0, _) | (_, None) => {
            let (a, b) = (Value::Or(any), Value::Or(others));
            let (found, wanted) = if other.span.in_schema { (a, b) } else { (b, a) };
            let what = format!("found {found}, wanted {wanted}");
            problems.extend(first.unwrap_or_else(|| vec![Problem { path: path.into(), what, span }]));
            Value::Null
        }
        (_, Some(last)) => {
            fit.push(last);
            Value::Or(fit)
        }
    }
}

pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.into()
    } else {
        format!("{path}.{name}")
    }
}

/// Edits between two names.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(40).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().take(40).enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let cost = before + usize::from(ca != *cb);
            before = row[j + 1];
            row[j + 1] = cost.min(before + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
