//! The edge's part in the fleet: calls that wait for a locate, location records, and whether the settings are in force.
//!
//! Records are of the numbers reached through this edge and of its established calls. Without `fleet` in the settings
//! nothing here has an effect.

use super::calls::{Call, PendingLocate, SetupRequest};
use super::{CallerId, EdgeCore, Effect, Timer, NS_PER_MS};
use lilacpitch::interface::{self, Nanos, ServerId};
use lilacpitch::Event;
use lilacpitch_config::FleetOf;
use lilacpitch_location::Kind;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use std::collections::BTreeMap;

/// Why calls end when the settings version is withdrawn. Crosses the wire.
const SETTINGS_WITHDRAWN: &str = "the front's settings are withdrawn";

/// A location record of this edge that has appeared or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEvent {
    /// Whether it is there now.
    pub is_present: bool,
    /// What it records.
    pub kind: Kind,
    /// Its number.
    pub number: String,
    /// The edge of a number that is reached, the server of an established call.
    pub owner: String,
    /// The number of the caller or of the call.
    pub serial: u64,
    /// The call's class; empty for a number that is reached.
    pub class: String,
    /// The pool.
    pub trunk_group: String,
    /// Since when, in milliseconds since 1970.
    pub since_ms: u64,
}

/// The core's state for the fleet.
#[derive(Debug)]
pub(super) struct Fleet {
    pool: String,
    /// The fraction of a call's budget that a locate may take.
    locate_fraction: f64,
    /// The longest that a locate may take.
    max_locate_ns: Nanos,
    /// Records that are there, by kind and serial.
    records: BTreeMap<(Kind, u64), RecordEvent>,
    /// Records that appeared or ended since effects were last emitted.
    changes: Vec<RecordEvent>,
    are_settings_in_force: bool,
    /// Whether calls wait for a locate no longer than their part of the budget. Off only in tests of the checker.
    pub limits_locate_time: bool,
}

impl Fleet {
    pub(super) fn new(settings: &FleetOf) -> Self {
        Fleet {
            pool: settings.pool.clone(),
            locate_fraction: settings.locate_share,
            max_locate_ns: settings.locate_longest_ns,
            records: BTreeMap::new(),
            changes: Vec::new(),
            are_settings_in_force: true,
            limits_locate_time: true,
        }
    }

    fn add_record(&mut self, record: RecordEvent) {
        self.changes.push(record.clone());
        self.records.insert((record.kind, record.serial), record);
    }

    fn remove_record(&mut self, kind: Kind, serial: u64) {
        if let Some(record) = self.records.remove(&(kind, serial)) {
            self.changes.push(RecordEvent { is_present: false, ..record });
        }
    }
}

impl EdgeCore {
    /// Looks a call's number up in the fleet, if it has one and names no pool; `None`: the call waits for nothing.
    pub(super) fn begin_locate(
        &mut self,
        setup: &SetupRequest,
        call: interface::Call,
        effects: &mut Vec<Effect>,
    ) -> Option<PendingLocate> {
        let fleet = self.fleet.as_ref().filter(|_| setup.pool.is_none())?;
        let number = setup.number.clone()?;
        let limit_ns = ((call.budget_ns as f64 * fleet.locate_fraction) as Nanos).min(fleet.max_locate_ns);
        let patience_ns = if fleet.limits_locate_time { limit_ns } else { call.budget_ns };
        self.timers.set(Timer::Locate(call.id), self.now + patience_ns);
        effects.push(Effect::Locate { call: call.id, number, patience_ns });
        Some(PendingLocate { call, since_ns: self.now })
    }

    /// The fleet has answered, or its time is up: the controller gets the call, with what is left of its budget.
    pub(super) fn handle_located(&mut self, id: u64, pool: Option<&str>) {
        let Some(pending) = self.calls.get_mut(&id).and_then(|call| call.pending_locate.take()) else {
            return;
        };
        self.timers.clear(Timer::Locate(id));
        self.counters.calls_located += u64::from(pool.is_some());
        self.counters.calls_not_located += u64::from(pool.is_none());
        let mut call = pending.call;
        // A pool that this edge does not know is as good as none.
        if let Some(number) = pool.and_then(|name| self.site.pool(name)) {
            call.first_choice = number;
        }
        call.budget_ns = call.budget_ns.saturating_sub(self.now - pending.since_ns);
        self.pending_events.push_back(Event::CallArrived(call));
    }

    /// Records that a number is reached through a caller's connection.
    pub(super) fn add_binding(&mut self, caller: CallerId, number: String) {
        let Some(fleet) = self.fleet.as_mut().filter(|_| self.callers.contains_key(&caller)) else { return };
        fleet.add_record(RecordEvent {
            is_present: true,
            kind: Kind::Binding,
            number,
            owner: self.name.clone(),
            serial: caller,
            class: String::new(),
            trunk_group: fleet.pool.clone(),
            since_ms: self.now / NS_PER_MS,
        });
    }

    pub(super) fn remove_binding(&mut self, caller: CallerId) {
        if let Some(fleet) = &mut self.fleet {
            fleet.remove_record(Kind::Binding, caller);
        }
    }

    /// Records an established call, if it has a number.
    pub(super) fn add_active_call(&mut self, id: u64, server: ServerId) {
        let (Some(fleet), Some(call)) = (&mut self.fleet, self.calls.get(&id)) else { return };
        let Some(number) = call.number.clone() else { return };
        let Some(server) = self.servers.by_id.get(&server) else { return };
        fleet.add_record(RecordEvent {
            is_present: true,
            kind: Kind::ActiveCall,
            number,
            owner: server.name.clone(),
            serial: id,
            class: call.class.clone(),
            trunk_group: self.site.pool_name(server.endpoint.number).unwrap_or_default().to_string(),
            since_ms: self.now / NS_PER_MS,
        });
    }

    pub(super) fn remove_active_call(&mut self, id: u64, call: &Call) {
        if let Some(fleet) = self.fleet.as_mut().filter(|_| call.is_established) {
            fleet.remove_record(Kind::ActiveCall, id);
        }
    }

    /// Emits all records again.
    pub(super) fn publish_all_records(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.changes.extend(fleet.records.values().cloned());
        }
    }

    pub(super) fn emit_record_events(&mut self, effects: &mut Vec<Effect>) {
        if let Some(fleet) = &mut self.fleet {
            effects.extend(fleet.changes.drain(..).map(Effect::RecordChanged));
        }
    }

    pub(super) fn has_withdrawn_settings(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| !fleet.are_settings_in_force)
    }

    /// Rejects a set-up while the settings are withdrawn, and tells the caller when to retry.
    pub(super) fn reject_setup(&mut self, caller: CallerId, setup: SetupRequest, effects: &mut Vec<Effect>) {
        self.counters.calls_rejected_without_settings += 1;
        let retry_after_ms = self.settings.timing.come_back_longest_ns / NS_PER_MS;
        let answer = ToCaller::Final {
            call: setup.call,
            answer: Answer::Refused,
            come_back_ms: Some(retry_after_ms).filter(|ms| *ms > 0),
            cause: None,
        };
        effects.push(Effect::ToCaller(caller, answer.encode()));
    }

    /// The settings version that this edge acts on was withdrawn, or is in force again.
    pub(super) fn set_settings_in_force(&mut self, is_in_force: bool, effects: &mut Vec<Effect>) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.are_settings_in_force != is_in_force)
        else {
            return;
        };
        fleet.are_settings_in_force = is_in_force;
        if is_in_force {
            tracing::warn!("settings version in force again");
        } else {
            tracing::warn!("settings version withdrawn, calls ended");
            self.end_all_calls(SETTINGS_WITHDRAWN, effects);
        }
    }
}
