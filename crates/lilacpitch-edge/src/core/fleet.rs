//! The core's part in the fleet: calls that wait for a locate, location records, and whether the settings are
//! in force.
//!
//! The edge has a location record for each number that is reached through it and for each of its established
//! calls. Without `fleet` in the settings nothing in this module has an effect.

use super::calls::{Call, PendingLocate, SetupRequest};
use super::{CallerId, EdgeCore, Effect, Timer, NS_PER_MS};
use lilacpitch::interface::{self, Nanos, ServerId};
use lilacpitch::Event;
use lilacpitch_config::FleetOf;
use lilacpitch_location::Kind;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use std::collections::BTreeMap;

/// The cause given for calls that end because the settings version is withdrawn. Sent to callers.
const SETTINGS_WITHDRAWN: &str = "the front's settings are withdrawn";

/// The addition or the removal of a location record of this edge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEvent {
    /// Whether the record was added; otherwise it was removed.
    pub is_present: bool,
    /// Whether the record is of a number that is reached or of an established call.
    pub kind: Kind,
    /// The recorded number.
    pub number: String,
    /// The owner: this edge for a number that is reached, the server for an established call.
    pub owner: String,
    /// The number of the caller's connection or of the call within this edge.
    pub serial: u64,
    /// The class of the call; empty for a number that is reached.
    pub class: String,
    /// The pool through which the number is reached, or which carries the call.
    pub trunk_group: String,
    /// When the record was added, in milliseconds since 1970.
    pub since_ms: u64,
}

/// The fleet state of the core.
#[derive(Debug)]
pub(super) struct Fleet {
    pool: String,
    /// The fraction of a call's budget that a locate may take.
    locate_fraction: f64,
    /// Maximum duration of a locate.
    max_locate_ns: Nanos,
    /// The current records, by kind and serial.
    records: BTreeMap<(Kind, u64), RecordEvent>,
    /// Changes of records since the last effects were emitted.
    changes: Vec<RecordEvent>,
    are_settings_in_force: bool,
    /// Whether a locate may take only a fraction of the call's budget. Off only in tests of the checker.
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
    /// Begins a locate for a call that has a number and names no pool. `None`: no locate is needed.
    pub(super) fn begin_locate(
        &mut self,
        setup: &SetupRequest,
        call: interface::Call,
        effects: &mut Vec<Effect>,
    ) -> Option<PendingLocate> {
        let fleet = self.fleet.as_ref().filter(|_| setup.pool.is_none())?;
        let number = setup.number.clone()?;
        let limit_ns = ((call.budget_ns as f64 * fleet.locate_fraction) as Nanos).min(fleet.max_locate_ns);
        let timeout_ns = if fleet.limits_locate_time { limit_ns } else { call.budget_ns };
        self.timers.set(Timer::Locate(call.id), self.now + timeout_ns);
        effects.push(Effect::Locate { call: call.id, number, timeout_ns });
        Some(PendingLocate { call, since_ns: self.now })
    }

    /// Handles the result of a locate, or its time-out: passes the call to the controller with the rest of
    /// its budget.
    pub(super) fn handle_located(&mut self, id: u64, pool: Option<&str>) {
        let Some(pending) = self.calls.get_mut(&id).and_then(|call| call.pending_locate.take()) else {
            return;
        };
        self.timers.clear(Timer::Locate(id));
        self.counters.calls_located += u64::from(pool.is_some());
        self.counters.calls_not_located += u64::from(pool.is_none());
        let mut call = pending.call;
        // A pool that this edge does not know is ignored.
        if let Some(number) = pool.and_then(|name| self.names.pool(name)) {
            call.first_choice = number;
        }
        call.budget_ns = call.budget_ns.saturating_sub(self.now - pending.since_ns);
        self.pending_events.push_back(Event::CallArrived(call));
    }

    /// Adds a record that a number is reached through a caller's connection.
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

    /// Adds a record of an established call, if the call has a number.
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
            trunk_group: self.names.pool_name(server.endpoint.number).unwrap_or_default().to_string(),
            since_ms: self.now / NS_PER_MS,
        });
    }

    pub(super) fn remove_active_call(&mut self, id: u64, call: &Call) {
        if let Some(fleet) = self.fleet.as_mut().filter(|_| call.is_established) {
            fleet.remove_record(Kind::ActiveCall, id);
        }
    }

    /// Queues all records to be emitted again.
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

    /// Rejects a set-up while the settings version is withdrawn; the answer contains the delay before a
    /// retry.
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

    /// Handles the withdrawal of this edge's settings version, or its reinstatement.
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
