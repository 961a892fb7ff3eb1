//! Callers' messages: read, refused where they can't be used, or taken.

use super::calls::Asked;
use super::{CallerId, Effect, NodeCore};
use crate::signalling::parse_call_id;
use lilacpitch::interface::{CallId, Nanos};
use lilacpitch_sip::{Message, Request};
use std::collections::BTreeSet;

/// Longest time that a caller may say it waits, in milliseconds: an hour.
const MAX_LEFT_MS: u64 = 3_600_000;

/// A caller who connects to ask does so within this time; where room is short, others are not waited for.
const FIRST_WORD_NS: Nanos = 100_000_000;

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    /// Its set-ups that are open.
    pub open: BTreeSet<CallId>,
    /// When it last sent a message, or was opened.
    pub last_ns: Nanos,
    /// It has sent a set-up that was taken.
    pub proven: bool,
    /// Its connection is to end unless something comes on it.
    pub evicted: bool,
    /// It has closed its end: what it still asks for is asked by nobody.
    pub gone: bool,
}

impl Caller {
    pub fn new(now: Nanos) -> Self {
        Caller { open: BTreeSet::new(), last_ns: now, proven: false, evicted: false, gone: false }
    }
}

/// A refusal of a message: status and reason.
type Refusal = (u16, &'static str);

impl NodeCore {
    pub(super) fn on_caller_message(&mut self, id: CallerId, message: Message, effects: &mut Vec<Effect>) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        (caller.last_ns, caller.evicted) = (self.now, false);
        // Answers to releases mean nothing.
        let Message::Request(request) = message else { return };
        let done = match request.method.as_str() {
            "INVITE" => self.on_invite(id, &request, effects),
            "CANCEL" => self.on_cancel(id, &request, effects),
            "BYE" => self.on_bye(id, &request, effects),
            "OPTIONS" => {
                // Late arrivals after SIGTERM are taken, but no test is passed any more.
                let (status, reason) = if self.ready() { (200, "OK") } else { (503, "Service Unavailable") };
                effects.push(Effect::ToCaller(id, request.response(status, reason)));
                Ok(())
            }
            "ACK" => Ok(()),
            _ => Err((405, "Method Not Allowed")),
        };
        if let Err((status, reason)) = done {
            *self.counters.bad_messages.entry(status).or_default() += 1;
            effects.push(Effect::ToCaller(id, request.response(status, reason)));
        }
    }

    fn on_invite(
        &mut self,
        caller: CallerId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let wire = request.call_id.as_deref().and_then(parse_call_id).ok_or((400, "Bad Call-ID"))?;
        let path = Path::read(request.fields.get("P-Path").unwrap_or(""))?;
        let kind = request.fields.get("P-Kind").ok_or((400, "Missing P-Kind"))?;
        let class = self.site.class_names.iter().position(|name| name == kind);
        let class = class.ok_or((400, "Unknown P-Kind"))?;
        let number = request.user().filter(|n| n.len() <= 64).ok_or((404, "No Number"))?;
        if let Some(uid) = &path.at {
            let server = self.by_uid.get(uid).copied();
            return self.adopt(caller, wire, class, server, effects);
        }
        let left_ms = request.fields.get("P-Time-Left").ok_or((400, "Missing P-Time-Left"))?;
        let left_ms = left_ms.parse().ok().filter(|ms| (1..=MAX_LEFT_MS).contains(ms));
        let left_ms = left_ms.ok_or((400, "Bad P-Time-Left"))?;
        let body = std::str::from_utf8(&request.body).map_err(|_| (400, "Description Is No Text"))?;
        if body.is_empty() {
            return Err((400, "No Description"));
        }
        if self.callers.get(&caller).is_some_and(|caller| caller.gone) {
            self.counters.gone += 1;
            return Ok(());
        }
        // Also while ends of its last use may be on their way: they name the id alone.
        if self.by_wire.contains_key(&wire) || self.resting.get(&wire).is_some_and(|until| self.now < *until)
        {
            return Err((482, "Call-ID In Use"));
        }
        if !self.listed || self.leaving {
            return Err((503, "Service Unavailable"));
        }
        if self.open >= self.site.max_open {
            return Err((503, "Too Many Calls"));
        }
        let asked = Asked {
            wire,
            class,
            number: number.to_string(),
            body: body.to_string(),
            echo: request.echo(),
            left_ms,
            first_choice: path.dest,
            width: path.width,
            again: path.again,
        };
        self.take_call(caller, asked);
        self.tell_unsent(caller, effects);
        Ok(())
    }

    /// A caller gives its set-up up: nothing more is owed. One that crosses the answer is a release.
    fn on_cancel(
        &mut self,
        caller: CallerId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let wire = request.call_id.as_deref().and_then(parse_call_id).ok_or((400, "Bad Call-ID"))?;
        let Some(id) = self.by_wire.get(&wire).copied() else { return Err((481, "No Such Call")) };
        match self.calls.get(&id) {
            Some(call) if call.stands() => self.released_by_caller(id, effects),
            Some(call) if call.caller == caller => self.caller_gives_up(id, effects),
            // Another's set-up: its own connection alone may give it up.
            _ => return Err((481, "No Such Call")),
        }
        Ok(())
    }

    fn on_bye(
        &mut self,
        caller: CallerId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let wire = request.call_id.as_deref().and_then(parse_call_id).ok_or((400, "Bad Call-ID"))?;
        let id = self.by_wire.get(&wire).copied().filter(|id| self.calls.get(id).is_some_and(|c| c.stands()));
        let id = id.ok_or((481, "No Such Call"))?;
        self.released_by_caller(id, effects);
        effects.push(Effect::ToCaller(caller, request.response(200, "OK")));
        Ok(())
    }

    pub(super) fn on_caller_left(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.gone = true;
        let open = std::mem::take(&mut caller.open);
        // Those that are out go last: the room that they leave must not be given to one whose caller is the same.
        let out = |call: &CallId| self.calls.get(call).is_some_and(|call| call.attempt.is_some());
        let (out, held): (Vec<_>, Vec<_>) = open.into_iter().partition(out);
        held.into_iter().chain(out).for_each(|call| self.caller_gives_up(call, effects));
    }

    pub(super) fn on_caller_closed(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        self.on_caller_left(id, effects);
        self.callers.remove(&id);
    }

    /// Ends a connection without an open set-up: one that never asked, unless it has only just come, else the
    /// one that is idle for longest; never the newest, which is yet to ask.
    pub(super) fn evict(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let newest = self.callers.last_key_value().map(|(id, _)| *id);
        let idle = |id: CallerId, c: &Caller| c.open.is_empty() && !c.evicted && Some(id) != newest;
        let idle = self.callers.iter_mut().filter(|(id, caller)| idle(**id, caller));
        let mute = |caller: &Caller| !caller.proven && now - caller.last_ns > FIRST_WORD_NS;
        if let Some((id, caller)) = idle.min_by_key(|(_, caller)| (!mute(caller), caller.last_ns)) {
            caller.evicted = true;
            effects.push(Effect::EvictCaller(*id));
        }
    }

    pub(super) fn on_not_evicted(&mut self, id: CallerId) {
        let now = self.now;
        self.callers.entry(id).and_modify(|caller| (caller.evicted, caller.last_ns) = (false, now));
    }
}

/// What a set-up says of its way.
#[derive(Debug)]
struct Path {
    dest: u32,
    width: f64,
    again: bool,
    /// The server it stands at already.
    at: Option<String>,
}

impl Path {
    fn read(text: &str) -> Result<Path, Refusal> {
        const BAD: Refusal = (400, "Bad P-Path");
        // No server has this number: a call without a first choice.
        let mut path = Path { dest: u32::MAX, width: 1.0, again: false, at: None };
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(BAD)?;
            match name {
                // -1: no first choice.
                "dest" if value == "-1" => {}
                "dest" => path.dest = value.parse().map_err(|_| BAD)?,
                "width" => {
                    let width = value.parse::<f64>().ok().filter(|w| w.is_finite() && *w > 0.0 && *w < 1e6);
                    path.width = width.ok_or(BAD)?;
                }
                "again" => {
                    path.again = match value {
                        "1" => true,
                        "0" => false,
                        _ => return Err(BAD),
                    }
                }
                "at" => path.at = Some(value.to_string()),
                // Further figures are not used, but they are figures.
                _ => drop(value.parse::<f64>().map_err(|_| BAD)?),
            }
        }
        Ok(path)
    }
}
