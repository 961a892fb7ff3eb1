//! The adapter's text wire: lines of tab-separated `name=value` fields in, one reply for each batch out.
//!
//! Only framing, parsing and printing: nothing here decides anything about a call.

use crate::brain::Controller;
use crate::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// What was malformed, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// The line, from 1.
    pub line: u64,
    /// The field or the message.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: field {}: {}", self.line, self.field, self.what)
    }
}

impl std::error::Error for WireError {}

type Fault = (String, String);

fn fault<T>(field: &str, what: impl Into<String>) -> Result<T, Fault> {
    Err((field.to_string(), what.into()))
}

/// The fields of one line. Unknown ones stay unread.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits a line into its message name and fields; `text` names the field that runs to the line's end.
    fn parse(line: &'a str, text: &str) -> Result<(&'a str, Fields<'a>), Fault> {
        let (name, mut rest) = line.split_once('\t').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((key, after)) = rest.split_once('=') else {
                return fault(rest.split('\t').next().unwrap_or(rest), "not name=value");
            };
            if key.contains('\t') {
                return fault(key.split('\t').next().unwrap_or(key), "not name=value");
            }
            let (value, next) =
                if key == text { (after, "") } else { after.split_once('\t').unwrap_or((after, "")) };
            fields.push((key, value));
            rest = next;
        }
        Ok((name, Fields(fields)))
    }

    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    fn need(&self, key: &str) -> Result<&'a str, Fault> {
        self.get(key).ok_or_else(|| (key.to_string(), "missing".to_string()))
    }

    fn uint(&self, key: &str) -> Result<u64, Fault> {
        let text = self.need(key)?;
        text.parse().or_else(|_| fault(key, format!("not a whole number: {text:.40}")))
    }

    fn uint_or(&self, key: &str, default: u64) -> Result<u64, Fault> {
        if self.get(key).is_none() {
            return Ok(default);
        }
        self.uint(key)
    }

    /// A span that the wire may state as negative when it has run out.
    fn span(&self, key: &str) -> Result<Nanos, Fault> {
        let text = self.need(key)?;
        match text.parse::<i64>() {
            Ok(value) => Ok(value.max(0) as u64),
            Err(_) => fault(key, format!("not a whole number: {text:.40}")),
        }
    }

    fn small(&self, key: &str) -> Result<u32, Fault> {
        u32::try_from(self.uint(key)?).or_else(|_| fault(key, "too large"))
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, Fault> {
        let Some(text) = self.get(key) else {
            return Ok(default);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => fault(key, format!("not a number: {text:.40}")),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, Fault> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => fault(key, format!("not 0 or 1: {other:.40}")),
        }
    }

    fn report(&self, names: &[String]) -> Result<Report, Fault> {
        let mut report = Report::default();
        let Some(text) = self.get("pressure") else {
            return Ok(report);
        };
        if text.is_empty() || text == "-" {
            return Ok(report);
        }
        for (name, part) in names.iter().zip(text.split(',')) {
            let value: f64 = match part.parse::<f64>() {
                Ok(value) if value.is_finite() => value,
                _ => return fault("pressure", format!("not a number: {part:.40}")),
            };
            if value < 0.0 {
                continue;
            }
            if name == "free" {
                report.free = Some(value);
            }
        }
        Ok(report)
    }
}

fn outcome(fields: &Fields) -> Result<Outcome, Fault> {
    let note = fields.uint_or("note", 0)?;
    Ok(match fields.need("result")? {
        "pass" => Outcome::Passed,
        "fault" if note & 15 == 4 => Outcome::LinesBusy,
        "fault" => Outcome::Fault,
        "no_room" if note & 15 == 3 => {
            let wait = (note / 16).saturating_mul(1_000_000);
            Outcome::ProcessorFull(Some(wait).filter(|w| *w > 0))
        }
        "no_room" => Outcome::NoCircuit,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::NoRoute,
        "cut" => Outcome::Cut,
        "undone" => Outcome::CalledOff,
        "stale_send" => Outcome::NotSent,
        other => return fault("result", format!("unknown outcome: {other:.40}")),
    })
}

/// Reads the settings object of a front's first message, and the names of its report fields.
pub fn settings(text: &str) -> Result<(Settings, Vec<String>), (String, String)> {
    let root: Value = serde_json::from_str(text).or_else(|e| fault("info", format!("not JSON: {e}")))?;
    if !root.is_object() {
        return fault("info", "not an object");
    }
    let at = |path: &str| path.split('.').try_fold(&root, |v, key| v.get(key));
    let number = |path: &str, default: f64| match at(path) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => match v.as_f64() {
            Some(n) if n.is_finite() => Ok(n),
            _ => fault(path, "not a number"),
        },
    };
    let span = |path: &str, default: f64| Ok::<Nanos, Fault>(number(path, default)?.max(0.0) as Nanos);
    let flag = |path: &str, default: bool| match at(path) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_bool().ok_or_else(|| (path.to_string(), "not true or false".to_string())),
    };
    let word = |v: Option<&Value>| v.and_then(Value::as_str).unwrap_or("").to_string();

    let mut classes = Vec::new();
    for (index, class) in at("classes").and_then(Value::as_array).into_iter().flatten().enumerate() {
        let figure = |key: &str, default: f64| class.get(key).and_then(Value::as_f64).unwrap_or(default);
        let scope = match word(class.get("dedup_scope")).as_str() {
            "zone" => Scope::Zone,
            "cell" => Scope::Number,
            _ => Scope::All,
        };
        let pools = at("family_info.pools_by_class").and_then(|p| p.get(index)).and_then(Value::as_array);
        let aim_ns = figure("aim_ns", 0.0) as Nanos;
        if aim_ns == 0 {
            return fault("classes.aim_ns", "must be above 0");
        }
        classes.push(Class {
            aim_ns,
            deadline_ns: figure("deadline_ns", aim_ns as f64) as Nanos,
            worth: figure("worth", 1.0),
            late_worth: figure("late_worth", 0.0),
            repeat: match word(class.get("repeat")).as_str() {
                "idempotency_key" => Repeat::Keyed(scope),
                "non_idempotent" => Repeat::Unsafe,
                "read_like" | "" => Repeat::Safe,
                other => return fault("classes.repeat", format!("unknown: {other:.40}")),
            },
            memory_ns: figure("memory_span_ns", 0.0) as Nanos,
            pools: pools.into_iter().flatten().filter_map(Value::as_u64).map(|p| p as u32).collect(),
        });
    }
    if classes.is_empty() {
        return fault("classes", "no classes");
    }
    let tick_ns = span("tick_ns", 0.0)?;
    if tick_ns == 0 {
        return fault("tick_ns", "must be above 0");
    }
    let home = number("family_info.home_no", -1.0)?;
    let retry_after = flag("permissions.retry_after", false)?;
    let names = at("report.fields").and_then(Value::as_array);
    let settings = Settings {
        classes,
        home: (home >= 0.0).then_some(home as u32),
        resend_ns: span("family_info.retransmit_ns", 0.0)?,
        release_ns: span("family_info.release_ns", 0.0)?,
        max_attempts: number("permissions.max_attempts", 1.0)?.max(1.0) as u32,
        may_cancel: flag("permissions.cancel", false)?,
        max_come_back_ns: if retry_after { span("permissions.max_retry_after_ns", 0.0)? } else { 0 },
        list_on_request: word(at("discovery")) == "on_request",
        cold_from: number("rules.cold_from", 1.0)?.clamp(0.0, 1.0),
        cold_ns: span("rules.cold_ns", 0.0)?,
        tip_multiple: number("rules.tip_multiple", 1.0)?.max(1.0),
        tick_ns,
    };
    let names = names.into_iter().flatten().map(|v| word(Some(v))).collect();
    Ok((settings, names))
}

fn entry(fields: &Fields) -> Result<Entry, Fault> {
    Ok(Entry {
        server: fields.uint("server")?,
        number: fields.small("number")?,
        zone: fields.uint_or("rack_zone", 0)? as u32,
        availability: match fields.uint("availability")? {
            0 => Availability::Gone,
            1 => Availability::Ready,
            2 => Availability::Draining,
            _ => return fault("availability", "not 0, 1 or 2"),
        },
        up_since_ns: fields.uint_or("up_since_ns", 0)?,
    })
}

/// Prints one action of a front.
pub fn print(front: u64, action: &Action, out: &mut String) {
    // Writing to a String cannot fail.
    let _ = match *action {
        Action::Send { call, server, timeout_ns } => {
            writeln!(out, "SEND\tfront={front}\thandle={call}\tserver={server}\ttimeout_ns={timeout_ns}")
        }
        Action::Cancel { call, attempt } => {
            writeln!(out, "ABANDON\tfront={front}\thandle={call}\thop={attempt}")
        }
        Action::Refuse { call, come_back_ns: Some(wait) } => {
            writeln!(out, "DECLINE\tfront={front}\thandle={call}\tcome_back_ns={wait}")
        }
        Action::Refuse { call, come_back_ns: None } => {
            writeln!(out, "DECLINE\tfront={front}\thandle={call}")
        }
        Action::Fail { call } => writeln!(out, "FAIL\tfront={front}\thandle={call}"),
        Action::WakeAt(at) => writeln!(out, "DEFER\tfront={front}\tmoment_ns={at}\tkey_back=1"),
        Action::Subscribe => writeln!(out, "OBSERVE\tfront={front}\ton=1"),
    };
}

struct Hosted {
    controller: Controller,
    report_fields: Vec<String>,
    classes: usize,
}

/// One process's fronts: takes lines, gives the reply at each batch's end. The fronts share nothing.
#[derive(Default)]
pub struct Host {
    now: Option<Nanos>,
    fronts: BTreeMap<u64, Hosted>,
    lists: BTreeMap<u64, Vec<Entry>>,
    filling: Option<(u64, u64)>,
    actions: Vec<Action>,
    lines: u64,
}

impl Host {
    /// A process without fronts.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many lines have been taken.
    pub fn lines_read(&self) -> u64 {
        self.lines
    }

    /// Input has ended: fine between batches, an error within one.
    pub fn end_of_input(&self) -> Result<(), WireError> {
        match self.now {
            None => Ok(()),
            Some(_) => Err(self.error(("YOUR_TURN".into(), "input ended within a batch".into()))),
        }
    }

    fn error(&self, (field, what): Fault) -> WireError {
        WireError { line: self.lines, field, what }
    }

    /// Takes one line; `true` when `reply` holds a complete reply.
    pub fn line(&mut self, line: &str, reply: &mut String) -> Result<bool, WireError> {
        self.lines += 1;
        self.take(line, reply).map_err(|fault| self.error(fault))
    }

    fn take(&mut self, line: &str, reply: &mut String) -> Result<bool, Fault> {
        if line.is_empty() {
            return Ok(false);
        }
        let text = if line.starts_with("LAUNCH\t") { "info" } else { "" };
        let (name, fields) = Fields::parse(line, text)?;
        if let Some((set, left)) = self.filling {
            if name != "ROW" {
                return fault("records", format!("{left} rows missing"));
            }
            let entry = entry(&fields)?;
            self.lists.entry(set).or_default().push(entry);
            self.filling = (left > 1).then_some((set, left - 1));
            return Ok(false);
        }
        let now = match (name, self.now) {
            ("TURN", None) => {
                self.now = Some(fields.uint("now_ns")?);
                return Ok(false);
            }
            ("TURN", Some(_)) => return fault("TURN", "batch within a batch"),
            (_, Some(now)) => now,
            (_, None) => return fault(&format!("{name:.40}"), "outside a batch"),
        };
        match name {
            "YOUR_TURN" => {
                reply.push_str("DONE\n");
                self.now = None;
                return Ok(true);
            }
            "INVENTORY" => {
                let (set, count) = (fields.uint("set_id")?, fields.uint("records")?);
                self.lists.insert(set, Vec::new());
                self.filling = (count > 0).then_some((set, count));
                return Ok(false);
            }
            "ROW" => return fault("ROW", "row without a list"),
            _ => {}
        }
        let front = match name {
            "LAUNCH" | "ROSTER_CHANGE" | "ASK" | "CLIENT_GONE" | "FIRED" | "ECHO" | "SETTLED"
            | "NEIGHBOUR_SAYS" | "DETACH" | "UNDER_WAY" => fields.uint("front")?,
            other => return fault(&format!("{other:.40}"), "unknown message"),
        };
        if name == "LAUNCH" {
            let seed = fields.uint("seed")?;
            let info = fields.need("info")?;
            let (settings, report_fields) = settings(info)?;
            let classes = settings.classes.len();
            let controller = Controller::new(settings, seed);
            self.fronts.insert(front, Hosted { controller, report_fields, classes });
            return Ok(false);
        }
        if name == "DETACH" {
            self.fronts.remove(&front);
            return Ok(false);
        }
        // Late news for a front that was stopped is legal and means nothing.
        let Some(hosted) = self.fronts.get_mut(&front) else {
            return Ok(false);
        };
        let event = match name {
            "ROSTER_CHANGE" => {
                let kind = fields.uint("kind")?;
                let list = || -> Result<Vec<Entry>, Fault> {
                    let set = fields.uint("set_id")?;
                    self.lists.get(&set).cloned().ok_or_else(|| ("set_id".into(), "no such list".into()))
                };
                Event::List(match kind {
                    0 => News::Changes(list()?),
                    1 | 2 => News::Full(list()?),
                    3 => News::Failed,
                    _ => return fault("kind", "not 0 to 3"),
                })
            }
            "ASK" => {
                let class = fields.uint_or("category", 0)? as usize;
                if class >= hosted.classes {
                    return fault("category", "no such class");
                }
                Event::Call(Call {
                    id: fields.uint("handle")?,
                    class,
                    first_choice: fields.number_or("terminates_at", -1.0)? as i64 as u32,
                    budget_ns: fields.span("budget_ns")?,
                    dialled: fields.get("item").map(|_| fields.uint("item")).transpose()?,
                    width: fields.number_or("units", 1.0)?,
                    again: fields.flag("again")?,
                    in_transit: fields.flag("midflow")?,
                })
            }
            "CLIENT_GONE" => Event::CallerGone(fields.uint("handle")?),
            "FIRED" => {
                fields.uint("key_back")?;
                Event::Wake
            }
            "UNDER_WAY" => Event::Standing { call: fields.uint("handle")?, attempt: fields.small("hop")? },
            "SETTLED" => Event::Settled {
                call: fields.uint("handle")?,
                attempt: fields.small("hop")?,
                server: fields.uint("server")?,
                outcome: outcome(&fields)?,
                closed: fields.flag("closed")?,
                report: fields.report(&hosted.report_fields)?,
            },
            "ECHO" => {
                fields.need("result")?;
                let report = fields.report(&hosted.report_fields)?;
                Event::Reported { server: fields.uint("server")?, report }
            }
            // Fronts' messages are not used.
            _ => return Ok(false),
        };
        self.actions.clear();
        hosted.controller.handle(now, event, &mut self.actions);
        for action in &self.actions {
            print(front, action, reply);
        }
        Ok(false)
    }
}
