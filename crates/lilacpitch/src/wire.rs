//! The adapter's text wire: lines of tab-separated `name=value` fields in, one reply for each batch out.
//!
//! Only framing, parsing and printing: nothing here decides anything about a call.

use crate::controller::Controller;
use crate::interface::*;
use crate::settings::Site;
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

/// What is malformed in a line, before its number is known.
struct Fault {
    field: String,
    what: String,
}

fn fault<T>(field: &str, what: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { field: field.to_string(), what: what.into() })
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
        self.get(key).map_or_else(|| fault(key, "missing"), Ok)
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

    /// A duration; the wire may state it as negative when it has run out.
    fn duration(&self, key: &str) -> Result<Nanos, Fault> {
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

    fn report(&self, site: &Site) -> Result<LoadReport, Fault> {
        let text = self.get("pressure").filter(|text| !text.is_empty() && *text != "-");
        let parts: Vec<&str> = text.map_or(Vec::new(), |text| text.split(',').collect());
        site.report(|index, _| parts.get(index).copied())
            .or_else(|error| fault("pressure", error.to_string()))
    }
}

fn outcome(fields: &Fields) -> Result<Outcome, Fault> {
    let note = fields.uint_or("note", 0)?;
    Ok(match fields.need("result")? {
        "pass" => Outcome::Completed,
        "fault" if note & 15 == 4 => Outcome::LinesBusy,
        "fault" => Outcome::Fault,
        "no_room" if note & 15 == 3 => {
            let wait = (note / 16).saturating_mul(1_000_000);
            Outcome::Overloaded(Some(wait).filter(|w| *w > 0))
        }
        "no_room" => Outcome::NoCircuit,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::Unreachable,
        "cut" => Outcome::Cut,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return fault("result", format!("unknown outcome: {other:.40}")),
    })
}

fn endpoint(fields: &Fields) -> Result<Endpoint, Fault> {
    Ok(Endpoint {
        server: fields.uint("server")?,
        number: fields.small("number")?,
        zone: fields.uint_or("rack_zone", 0)? as u32,
        availability: match fields.uint("availability")? {
            0 => Availability::Removed,
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
        Action::ForwardSetup { call, server, timeout_ns } => {
            writeln!(out, "SEND\tfront={front}\thandle={call}\tserver={server}\ttimeout_ns={timeout_ns}")
        }
        Action::CancelAttempt { call, attempt } => {
            writeln!(out, "ABANDON\tfront={front}\thandle={call}\thop={attempt}")
        }
        Action::Reject { call, retry_after_ns: Some(wait) } => {
            writeln!(out, "DECLINE\tfront={front}\thandle={call}\tcome_back_ns={wait}")
        }
        Action::Reject { call, retry_after_ns: None } => {
            writeln!(out, "DECLINE\tfront={front}\thandle={call}")
        }
        Action::Fail { call } => writeln!(out, "FAIL\tfront={front}\thandle={call}"),
        Action::SetTimer(at) => writeln!(out, "DEFER\tfront={front}\tmoment_ns={at}\tkey_back=1"),
        Action::Subscribe => writeln!(out, "OBSERVE\tfront={front}\ton=1"),
    };
}

struct Hosted {
    controller: Controller,
    site: Site,
}

/// One process's fronts: takes lines, gives the reply at each batch's end. The fronts share nothing.
#[derive(Default)]
pub struct Host {
    now: Option<Nanos>,
    fronts: BTreeMap<u64, Hosted>,
    lists: BTreeMap<u64, Vec<Endpoint>>,
    /// The list whose rows are being read, and how many are missing.
    unfinished_list: Option<(u64, u64)>,
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
    ///
    /// # Errors
    /// The input ended within a batch.
    pub fn end_of_input(&self) -> Result<(), WireError> {
        match self.now {
            None => Ok(()),
            Some(_) => {
                Err(self
                    .error(Fault { field: "YOUR_TURN".into(), what: "input ended within a batch".into() }))
            }
        }
    }

    fn error(&self, fault: Fault) -> WireError {
        WireError { line: self.lines, field: fault.field, what: fault.what }
    }

    /// Takes one line; `true` when `reply` holds a complete reply.
    ///
    /// # Errors
    /// The line and the field that are malformed.
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
        if let Some((list, missing)) = self.unfinished_list {
            self.add_row(list, missing, name, &fields)?;
            return Ok(false);
        }
        if name == "TURN" {
            self.begin_batch(&fields)?;
            return Ok(false);
        }
        let Some(now) = self.now else { return fault(&format!("{name:.40}"), "outside a batch") };
        match name {
            "YOUR_TURN" => {
                reply.push_str("DONE\n");
                self.now = None;
                return Ok(true);
            }
            "INVENTORY" => self.begin_list(&fields)?,
            "ROW" => return fault("ROW", "row without a list"),
            _ => self.take_front_message(now, name, &fields, reply)?,
        }
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), Fault> {
        if self.now.is_some() {
            return fault("TURN", "batch within a batch");
        }
        self.now = Some(fields.uint("now_ns")?);
        Ok(())
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), Fault> {
        let (list, count) = (fields.uint("set_id")?, fields.uint("records")?);
        self.lists.insert(list, Vec::new());
        self.unfinished_list = (count > 0).then_some((list, count));
        Ok(())
    }

    fn add_row(&mut self, list: u64, missing: u64, name: &str, fields: &Fields) -> Result<(), Fault> {
        if name != "ROW" {
            return fault("records", format!("{missing} rows missing"));
        }
        let endpoint = endpoint(fields)?;
        self.lists.entry(list).or_default().push(endpoint);
        self.unfinished_list = (missing > 1).then_some((list, missing - 1));
        Ok(())
    }

    /// A message for one front: its start, its stop, or an event for its controller.
    fn take_front_message(
        &mut self,
        now: Nanos,
        name: &str,
        fields: &Fields,
        reply: &mut String,
    ) -> Result<(), Fault> {
        if !FRONT_MESSAGES.contains(&name) {
            return fault(&format!("{name:.40}"), "unknown message");
        }
        let front = fields.uint("front")?;
        match name {
            "LAUNCH" => return self.start_front(front, fields),
            "DETACH" => _ = self.fronts.remove(&front),
            _ => {}
        }
        // A late message for a front that was stopped is legal and has no effect.
        let Some(hosted) = self.fronts.get_mut(&front) else { return Ok(()) };
        let Some(event) = event(name, fields, &hosted.site, &self.lists)? else { return Ok(()) };
        self.actions.clear();
        hosted.controller.handle(now, event, &mut self.actions);
        for action in &self.actions {
            print(front, action, reply);
        }
        Ok(())
    }

    fn start_front(&mut self, front: u64, fields: &Fields) -> Result<(), Fault> {
        let seed = fields.uint("seed")?;
        let info = fields.need("info")?;
        let site = Site::read(info).map_err(|error| Fault { field: error.field, what: error.what })?;
        let controller = Controller::new(site.settings.clone(), seed);
        self.fronts.insert(front, Hosted { controller, site });
        Ok(())
    }
}

/// Messages that name the front they are for.
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

/// The event that a front's message stands for; `None` for messages that are not used.
fn event(
    name: &str,
    fields: &Fields,
    site: &Site,
    lists: &BTreeMap<u64, Vec<Endpoint>>,
) -> Result<Option<Event>, Fault> {
    Ok(Some(match name {
        "ROSTER_CHANGE" => Event::EndpointsUpdated(endpoint_update(fields, lists)?),
        "ASK" => Event::CallArrived(call(fields, site)?),
        "CLIENT_GONE" => Event::ClientDisconnected(fields.uint("handle")?),
        "FIRED" => {
            fields.uint("key_back")?;
            Event::TimerFired
        }
        "UNDER_WAY" => Event::CallEstablished { call: fields.uint("handle")?, attempt: fields.small("hop")? },
        "SETTLED" => Event::AttemptCompleted {
            call: fields.uint("handle")?,
            attempt: fields.small("hop")?,
            server: fields.uint("server")?,
            outcome: outcome(fields)?,
            is_final: fields.flag("closed")?,
            report: fields.report(site)?,
        },
        "ECHO" => {
            fields.need("result")?;
            let report = fields.report(site)?;
            Event::ServerLoadReported { server: fields.uint("server")?, report }
        }
        // Messages between fronts are not used.
        _ => return Ok(None),
    }))
}

fn endpoint_update(fields: &Fields, lists: &BTreeMap<u64, Vec<Endpoint>>) -> Result<EndpointUpdate, Fault> {
    let kind = fields.uint("kind")?;
    let list = || -> Result<Vec<Endpoint>, Fault> {
        let id = fields.uint("set_id")?;
        lists.get(&id).cloned().map_or_else(|| fault("set_id", "no such list"), Ok)
    };
    Ok(match kind {
        0 => EndpointUpdate::Changes(list()?),
        1 | 2 => EndpointUpdate::Full(list()?),
        3 => EndpointUpdate::Failed,
        _ => return fault("kind", "not 0 to 3"),
    })
}

fn call(fields: &Fields, site: &Site) -> Result<Call, Fault> {
    let class = fields.uint_or("category", 0)? as usize;
    if class >= site.class_names.len() {
        return fault("category", "no such class");
    }
    Ok(Call {
        id: fields.uint("handle")?,
        class,
        first_choice: fields.number_or("terminates_at", -1.0)? as i64 as u32,
        budget_ns: fields.duration("budget_ns")?,
        dialled: fields.get("item").map(|_| fields.uint("item")).transpose()?,
        circuits: fields.number_or("units", 1.0)?,
        retry_after_cut: fields.flag("again")?,
        in_transit: fields.flag("midflow")?,
    })
}
