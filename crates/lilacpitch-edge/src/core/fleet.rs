//! The front's side of the fleet: calls that wait for a locate, rows of numbers reached and calls standing here, and
//! whether this front's settings are in force. Without `fleet` in the settings none of it happens.

use super::calls::{Asked, Call};
use super::{CallerId, EdgeCore, Effect, Timer};
use lilacpitch::interface::{Nanos, ServerId};
use lilacpitch::Event;
use lilacpitch_config::FleetOf;
use lilacpitch_location::Kind;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const OUT_OF_FORCE: &str = "the front's settings are withdrawn";

/// A row of this front's that came or went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEvent {
    /// It is there now, or no more.
    pub is_present: bool,
    /// What it says.
    pub kind: Kind,
    /// Its number.
    pub number: String,
    /// The front for a number that is reached, the server for a call that stands.
    pub owner: String,
    /// The caller's or the call's number.
    pub serial: u64,
    /// The call's class; empty for a number that is reached.
    pub class: String,
    /// The pool.
    pub trunk_group: String,
    /// Since when, in milliseconds since 1970.
    pub since_ms: u64,
}

/// What the front keeps for the fleet.
#[derive(Debug)]
pub(super) struct Fleet {
    pool: String,
    locate_share: f64,
    locate_longest_ns: Nanos,
    /// Rows that are there, by kind and serial.
    is_present: BTreeMap<(Kind, u64), RecordEvent>,
    /// What came and went in this round.
    pub rows: Vec<RecordEvent>,
    in_force: bool,
    /// Off in tests of the judge alone.
    pub calls_first: bool,
}

impl Fleet {
    pub fn new(of: &FleetOf) -> Self {
        Fleet {
            pool: of.pool.clone(),
            locate_share: of.locate_share,
            locate_longest_ns: of.locate_longest_ns,
            is_present: BTreeMap::new(),
            rows: Vec::new(),
            in_force: true,
            calls_first: true,
        }
    }

    fn came(&mut self, row: RecordEvent) {
        self.rows.push(row.clone());
        self.is_present.insert((row.kind, row.serial), row);
    }

    fn went(&mut self, kind: Kind, serial: u64) {
        if let Some(row) = self.is_present.remove(&(kind, serial)) {
            self.rows.push(RecordEvent { is_present: false, ..row });
        }
    }
}

impl EdgeCore {
    /// How long a call may wait for the fleet; `None`: it does not ask.
    pub(super) fn asks_fleet(&self, asked: &Asked, budget_ns: Nanos) -> Option<Nanos> {
        let fleet = self.fleet.as_ref().filter(|_| asked.pool.is_none() && asked.number.is_some())?;
        let share = ((budget_ns as f64 * fleet.locate_share) as Nanos).min(fleet.locate_longest_ns);
        Some(if fleet.calls_first { share } else { budget_ns })
    }

    /// The fleet has answered, or its time is up: the module gets the call, with what is left of its budget.
    pub(super) fn on_located(&mut self, id: u64, pool: Option<&str>) {
        let Some((mut call, since_ns)) = self.calls.get_mut(&id).and_then(|call| call.waits.take()) else {
            return;
        };
        self.timers.clear(Timer::Locate(id));
        self.counters.calls_located += u64::from(pool.is_some());
        self.counters.calls_not_located += u64::from(pool.is_none());
        // A pool that this front has not heard of is as good as none.
        if let Some(number) = pool.and_then(|name| self.site.pool(name)) {
            call.first_choice = number;
        }
        call.budget_ns = call.budget_ns.saturating_sub(self.now - since_ns);
        self.follow.push_back(Event::CallArrived(call));
    }

    pub(super) fn on_caller_number(&mut self, caller: CallerId, number: String) {
        let Some(fleet) = self.fleet.as_mut().filter(|_| self.callers.contains_key(&caller)) else { return };
        fleet.came(RecordEvent {
            is_present: true,
            kind: Kind::Binding,
            number,
            owner: self.name.clone(),
            serial: caller,
            class: String::new(),
            trunk_group: fleet.pool.clone(),
            since_ms: self.now / MS,
        });
    }

    pub(super) fn row_left(&mut self, caller: CallerId) {
        if let Some(fleet) = &mut self.fleet {
            fleet.went(Kind::Binding, caller);
        }
    }

    pub(super) fn row_stands(&mut self, id: u64, server: ServerId) {
        let (Some(fleet), Some(call)) = (&mut self.fleet, self.calls.get(&id)) else { return };
        let Some(number) = call.number.clone() else { return };
        let Some(row) = self.servers.rows.get(&server) else { return };
        fleet.came(RecordEvent {
            is_present: true,
            kind: Kind::ActiveCall,
            number,
            owner: row.name.clone(),
            serial: id,
            class: call.class.clone(),
            trunk_group: self.site.pool_name(row.entry.number).unwrap_or_default().to_string(),
            since_ms: self.now / MS,
        });
    }

    pub(super) fn row_ended(&mut self, id: u64, call: &Call) {
        if let Some(fleet) = self.fleet.as_mut().filter(|_| call.stands) {
            fleet.went(Kind::ActiveCall, id);
        }
    }

    pub(super) fn on_rows_wanted(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.rows.extend(fleet.is_present.values().cloned());
        }
    }

    pub(super) fn is_out_of_force(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| !fleet.in_force)
    }

    /// Refuses a call that is not taken, and says when to come back.
    pub(super) fn turn_away(&mut self, caller: CallerId, asked: Asked, effects: &mut Vec<Effect>) {
        self.counters.calls_turned_away += 1;
        let wait_ms = self.settings.timing.come_back_longest_ns / MS;
        let come_back_ms = Some(wait_ms).filter(|ms| *ms > 0);
        let answer = ToCaller::Final { call: asked.call, answer: Answer::Refused, come_back_ms, cause: None };
        effects.push(Effect::ToCaller(caller, answer.encode()));
    }

    /// The settings version that this front acts on was withdrawn, or is in force again.
    pub(super) fn on_in_force(&mut self, in_force: bool, effects: &mut Vec<Effect>) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.in_force != in_force) else { return };
        fleet.in_force = in_force;
        tracing::warn!(in_force, "settings version");
        if !in_force {
            self.stop_now(OUT_OF_FORCE, effects);
        }
    }
}
