//! The adapter for a simulator's line protocol: reads lines of tab-separated `name=value` fields and writes
//! one reply for each batch of lines.
//!
//! This module parses messages and writes actions only; the decisions are the controller's.

use crate::controller::Controller;
use crate::interface::*;
use crate::settings::Site;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// A malformed line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// The line's number, from 1.
    pub line: u64,
    /// The name of the malformed field or message.
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

/// A malformed field or message, without the number of its line.
struct FieldError {
    /// The name of the field or message.
    field: String,
    /// What is wrong with it.
    what: String,
}

fn invalid<T>(field: &str, what: impl Into<String>) -> Result<T, FieldError> {
    Err(FieldError { field: field.to_string(), what: what.into() })
}

/// The fields of one line, as names and values. Unknown fields are ignored.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits a line into its message name and fields. The value of the field named `last_field` extends to
    /// the end of the line.
    fn parse(line: &'a str, last_field: &str) -> Result<(&'a str, Fields<'a>), FieldError> {
        let (message, mut remaining) = line.split_once('\t').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !remaining.is_empty() {
            let Some((key, after)) = remaining.split_once('=') else {
                return invalid(remaining.split('\t').next().unwrap_or(remaining), "not name=value");
            };
            if key.contains('\t') {
                return invalid(key.split('\t').next().unwrap_or(key), "not name=value");
            }
            let (value, next) =
                if key == last_field { (after, "") } else { after.split_once('\t').unwrap_or((after, "")) };
            fields.push((key, value));
            remaining = next;
        }
        Ok((message, Fields(fields)))
    }

    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find(|(name, _)| *name == key).map(|(_, value)| *value)
    }

    fn required(&self, key: &str) -> Result<&'a str, FieldError> {
        self.get(key).map_or_else(|| invalid(key, "missing"), Ok)
    }

    fn u64(&self, key: &str) -> Result<u64, FieldError> {
        let text = self.required(key)?;
        text.parse().or_else(|_| invalid(key, format!("not a whole number: {text:.40}")))
    }

    fn u64_or(&self, key: &str, default: u64) -> Result<u64, FieldError> {
        if self.get(key).is_none() {
            return Ok(default);
        }
        self.u64(key)
    }

    /// A duration. The protocol gives it as negative if it has already passed; that counts as 0.
    fn duration(&self, key: &str) -> Result<Nanos, FieldError> {
        let text = self.required(key)?;
        match text.parse::<i64>() {
            Ok(value) => Ok(value.max(0) as u64),
            Err(_) => invalid(key, format!("not a whole number: {text:.40}")),
        }
    }

    fn u32(&self, key: &str) -> Result<u32, FieldError> {
        u32::try_from(self.u64(key)?).or_else(|_| invalid(key, "too large"))
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, FieldError> {
        let Some(text) = self.get(key) else {
            return Ok(default);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => invalid(key, format!("not a number: {text:.40}")),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, FieldError> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => invalid(key, format!("not 0 or 1: {other:.40}")),
        }
    }

    fn report(&self, settings: &Site) -> Result<LoadReport, FieldError> {
        let text = self.get("pressure").filter(|text| !text.is_empty() && *text != "-");
        let parts: Vec<&str> = text.map_or(Vec::new(), |text| text.split(',').collect());
        settings
            .report(|index, _| parts.get(index).copied())
            .or_else(|error| invalid("pressure", error.to_string()))
    }
}

/// Part of a `note` that gives the cause of a `fault` or `no_room`; the rest is a retry-after.
const NOTE_CAUSE_MASK: u64 = 15;
/// Cause of a `no_room`: the server's processor is full.
const NOTE_PROCESSOR_FULL: u64 = 3;
/// Cause of a `fault`: all lines of the number dialled are busy.
const NOTE_LINES_BUSY: u64 = 4;
/// A `note` divided by this is the server's retry-after in milliseconds.
const NOTE_RETRY_AFTER_UNIT: u64 = 16;
/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;

fn parse_outcome(fields: &Fields) -> Result<Outcome, FieldError> {
    let note = fields.u64_or("note", 0)?;
    Ok(match fields.required("result")? {
        "pass" => Outcome::Completed,
        "fault" if note & NOTE_CAUSE_MASK == NOTE_LINES_BUSY => Outcome::LinesBusy,
        "fault" => Outcome::Fault,
        "no_room" if note & NOTE_CAUSE_MASK == NOTE_PROCESSOR_FULL => {
            let retry_after_ns = (note / NOTE_RETRY_AFTER_UNIT).saturating_mul(NS_PER_MS);
            Outcome::Overloaded(Some(retry_after_ns).filter(|wait_ns| *wait_ns > 0))
        }
        "no_room" => Outcome::NoCircuit,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::Unreachable,
        "cut" => Outcome::Cut,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return invalid("result", format!("unknown outcome: {other:.40}")),
    })
}

fn parse_endpoint(fields: &Fields) -> Result<Endpoint, FieldError> {
    Ok(Endpoint {
        server: fields.u64("server")?,
        number: fields.u32("number")?,
        zone: fields.u64_or("rack_zone", 0)? as u32,
        availability: match fields.u64("availability")? {
            0 => Availability::Removed,
            1 => Availability::Ready,
            2 => Availability::Draining,
            _ => return invalid("availability", "not 0, 1 or 2"),
        },
        up_since_ns: fields.u64_or("up_since_ns", 0)?,
    })
}

/// Writes one action of a front as a line.
pub fn write_action(front: u64, action: &Action, out: &mut String) {
    // Writing to a String cannot fail.
    let _ = match *action {
        Action::ForwardSetup { call, server, timeout_ns } => {
            writeln!(out, "SEND\tfront={front}\thandle={call}\tserver={server}\ttimeout_ns={timeout_ns}")
        }
        Action::CancelAttempt { call, attempt } => {
            writeln!(out, "ABANDON\tfront={front}\thandle={call}\thop={attempt}")
        }
        Action::Reject { call, retry_after_ns: Some(wait_ns) } => {
            writeln!(out, "DECLINE\tfront={front}\thandle={call}\tcome_back_ns={wait_ns}")
        }
        Action::Reject { call, retry_after_ns: None } => {
            writeln!(out, "DECLINE\tfront={front}\thandle={call}")
        }
        Action::Fail { call } => writeln!(out, "FAIL\tfront={front}\thandle={call}"),
        Action::SetTimer(at_ns) => writeln!(out, "DEFER\tfront={front}\tmoment_ns={at_ns}\tkey_back=1"),
        Action::Subscribe => writeln!(out, "OBSERVE\tfront={front}\ton=1"),
    };
}

/// A front of the simulation.
struct Front {
    controller: Controller,
    settings: Site,
}

/// An endpoint list whose rows are being read.
#[derive(Clone, Copy)]
struct UnfinishedList {
    id: u64,
    /// Number of rows still to come, 1 or more.
    missing_rows: u64,
}

/// Hosts the fronts of one process: takes input lines and returns a reply at the end of each batch. The
/// fronts share no state.
#[derive(Default)]
pub struct Host {
    /// The time of the current batch; `None` between batches.
    now: Option<Nanos>,
    fronts: BTreeMap<u64, Front>,
    /// Endpoint lists by their id.
    lists: BTreeMap<u64, Vec<Endpoint>>,
    /// The list whose rows are being read, if any.
    unfinished_list: Option<UnfinishedList>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
    lines_read: u64,
}

impl Host {
    /// Creates a host without fronts.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of lines taken so far.
    pub fn lines_read(&self) -> u64 {
        self.lines_read
    }

    /// Handles the end of the input, which is allowed between batches only.
    ///
    /// # Errors
    /// The input ended within a batch.
    pub fn end_of_input(&self) -> Result<(), WireError> {
        match self.now {
            None => Ok(()),
            Some(_) => Err(self.wire_error(FieldError {
                field: "YOUR_TURN".into(),
                what: "input ended within a batch".into(),
            })),
        }
    }

    fn wire_error(&self, error: FieldError) -> WireError {
        WireError { line: self.lines_read, field: error.field, what: error.what }
    }

    /// Takes one line and appends to `reply`; returns whether the reply of the batch is complete.
    ///
    /// # Errors
    /// The line is malformed.
    pub fn handle_line(&mut self, line: &str, reply: &mut String) -> Result<bool, WireError> {
        self.lines_read += 1;
        self.handle_message(line, reply).map_err(|error| self.wire_error(error))
    }

    fn handle_message(&mut self, line: &str, reply: &mut String) -> Result<bool, FieldError> {
        if line.is_empty() {
            return Ok(false);
        }
        let last_field = if line.starts_with("LAUNCH\t") { "info" } else { "" };
        let (name, fields) = Fields::parse(line, last_field)?;
        if let Some(list) = self.unfinished_list {
            self.add_row(list, name, &fields)?;
            return Ok(false);
        }
        if name == "TURN" {
            self.begin_batch(&fields)?;
            return Ok(false);
        }
        let Some(now) = self.now else { return invalid(&format!("{name:.40}"), "outside a batch") };
        match name {
            "YOUR_TURN" => {
                reply.push_str("DONE\n");
                self.now = None;
                return Ok(true);
            }
            "INVENTORY" => self.begin_list(&fields)?,
            "ROW" => return invalid("ROW", "row without a list"),
            _ => self.handle_front_message(now, name, &fields, reply)?,
        }
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), FieldError> {
        if self.now.is_some() {
            return invalid("TURN", "batch within a batch");
        }
        self.now = Some(fields.u64("now_ns")?);
        Ok(())
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let id = fields.u64("set_id")?;
        let missing_rows = fields.u64("records")?;
        self.lists.insert(id, Vec::new());
        self.unfinished_list = (missing_rows > 0).then_some(UnfinishedList { id, missing_rows });
        Ok(())
    }

    fn add_row(&mut self, list: UnfinishedList, name: &str, fields: &Fields) -> Result<(), FieldError> {
        if name != "ROW" {
            return invalid("records", format!("{} rows missing", list.missing_rows));
        }
        let endpoint = parse_endpoint(fields)?;
        self.lists.entry(list.id).or_default().push(endpoint);
        let missing_rows = list.missing_rows - 1;
        self.unfinished_list = (missing_rows > 0).then_some(UnfinishedList { missing_rows, ..list });
        Ok(())
    }

    /// Handles a message for one front: its start, its stop, or an event for its controller.
    fn handle_front_message(
        &mut self,
        now: Nanos,
        name: &str,
        fields: &Fields,
        reply: &mut String,
    ) -> Result<(), FieldError> {
        if !FRONT_MESSAGES.contains(&name) {
            return invalid(&format!("{name:.40}"), "unknown message");
        }
        let front_id = fields.u64("front")?;
        match name {
            "LAUNCH" => return self.start_front(front_id, fields),
            "DETACH" => _ = self.fronts.remove(&front_id),
            _ => {}
        }
        // Messages that arrive late for a front that was stopped are legal and have no effect.
        let Some(front) = self.fronts.get_mut(&front_id) else { return Ok(()) };
        let event = parse_event(name, fields, &front.settings, &self.lists)?;
        let Some(event) = event else { return Ok(()) };
        self.actions.clear();
        front.controller.handle(now, event, &mut self.actions);
        for action in &self.actions {
            write_action(front_id, action, reply);
        }
        Ok(())
    }

    fn start_front(&mut self, front_id: u64, fields: &Fields) -> Result<(), FieldError> {
        let seed = fields.u64("seed")?;
        let info = fields.required("info")?;
        let front_settings =
            Site::read(info).map_err(|error| FieldError { field: error.field, what: error.what })?;
        let controller = Controller::new(front_settings.settings.clone(), seed);
        self.fronts.insert(front_id, Front { controller, settings: front_settings });
        Ok(())
    }
}

/// The messages that are addressed to one front.
const FRONT_MESSAGES: [&str; 10] = [
    "LAUNCH",
    "ROSTER_CHANGE",
    "ASK",
    "CLIENT_GONE",
    "FIRED",
    "ECHO",
    "SETTLED",
    "NEIGHBOUR_SAYS",
    "DETACH",
    "UNDER_WAY",
];

/// Converts a message for a front to an event; `None` for messages that the controller does not use.
fn parse_event(
    name: &str,
    fields: &Fields,
    settings: &Site,
    lists: &BTreeMap<u64, Vec<Endpoint>>,
) -> Result<Option<Event>, FieldError> {
    Ok(Some(match name {
        "ROSTER_CHANGE" => Event::EndpointsUpdated(parse_endpoint_update(fields, lists)?),
        "ASK" => Event::CallArrived(parse_call(fields, settings)?),
        "CLIENT_GONE" => Event::ClientDisconnected(fields.u64("handle")?),
        "FIRED" => {
            fields.u64("key_back")?;
            Event::TimerFired
        }
        "UNDER_WAY" => Event::CallEstablished { call: fields.u64("handle")?, attempt: fields.u32("hop")? },
        "SETTLED" => Event::AttemptCompleted {
            call: fields.u64("handle")?,
            attempt: fields.u32("hop")?,
            server: fields.u64("server")?,
            outcome: parse_outcome(fields)?,
            is_final: fields.flag("closed")?,
            report: fields.report(settings)?,
        },
        "ECHO" => {
            fields.required("result")?;
            let report = fields.report(settings)?;
            Event::ServerLoadReported { server: fields.u64("server")?, report }
        }
        // A message of another front.
        _ => return Ok(None),
    }))
}

fn parse_endpoint_update(
    fields: &Fields,
    lists: &BTreeMap<u64, Vec<Endpoint>>,
) -> Result<EndpointUpdate, FieldError> {
    let kind = fields.u64("kind")?;
    let list = || -> Result<Vec<Endpoint>, FieldError> {
        let id = fields.u64("set_id")?;
        lists.get(&id).cloned().map_or_else(|| invalid("set_id", "no such list"), Ok)
    };
    Ok(match kind {
        0 => EndpointUpdate::Changes(list()?),
        1 | 2 => EndpointUpdate::Full(list()?),
        3 => EndpointUpdate::Failed,
        _ => return invalid("kind", "not 0 to 3"),
    })
}

fn parse_call(fields: &Fields, settings: &Site) -> Result<Call, FieldError> {
    let class = fields.u64_or("category", 0)? as usize;
    if class >= settings.class_names.len() {
        return invalid("category", "no such class");
    }
    Ok(Call {
        id: fields.u64("handle")?,
        class,
        // -1 stands for no first choice. It becomes `u32::MAX`, which no server has as its number.
        first_choice: fields.number_or("terminates_at", -1.0)? as i64 as u32,
        budget_ns: fields.duration("budget_ns")?,
        dialled: fields.get("item").map(|_| fields.u64("item")).transpose()?,
        circuits: fields.number_or("units", 1.0)?,
        retry_after_cut: fields.flag("again")?,
        in_transit: fields.flag("midflow")?,
    })
}
