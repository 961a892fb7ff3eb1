//! What a site's log has made so far: the register, what of it is not ordered yet, and at the root the orders and the
//! audit.

use super::{Applied, Command, Written};
use lilacpitch_fleet::audit::AuditLog;
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PendingPurges, RecordChange, MAX_SCOPES};
use lilacpitch_location::{Key, Kind, LocationError, LocationRecord, LocationStore, Number};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Numbers without an order that a summary names one by one.
const PENDING_NAMED: usize = 256;

/// What is beside the rows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Beside {
    /// Numbers whose rows changed and whose purge is not ordered yet, by the change's number.
    pub outbox: BTreeMap<u64, Number>,
    /// The number of the last change.
    pub changes: u64,
    /// The last order of this site's changes.
    pub ordered: LogPosition,
    /// At the root: the orders.
    pub window: LogTail,
    /// At the root: the audit.
    pub ledger: AuditLog,
    /// The last change of each front's rows: its life and its number there.
    pub written: BTreeMap<String, (u64, u64)>,
    /// How often a front's rows were swept out: those that live write them again.
    pub sweeps: BTreeMap<String, u64>,
    /// When this register began, in milliseconds since 1970: rows of another are not here.
    pub begun: u64,
    /// Whoever has rows here has had the time to write them.
    pub ready: bool,
}

/// The state of a site. The register is shared by threads; what is beside it stands under one lock, never held with
/// a shard's.
#[derive(Debug)]
pub struct State {
    /// The rows.
    pub register: LocationStore,
    beside: Mutex<Beside>,
}

impl State {
    /// An empty one.
    pub fn new(shards: usize) -> Result<Self, LocationError> {
        Ok(State { register: LocationStore::new(shards)?, beside: Mutex::default() })
    }

    /// Looks at what is beside the rows.
    pub fn beside<T>(&self, look: impl FnOnce(&Beside) -> T) -> T {
        look(&self.beside.lock())
    }

    /// Applies an entry.
    pub fn apply(&self, command: Command) -> Applied {
        match command {
            Command::Rows(all) => {
                all.into_iter().for_each(|written| self.rows(written));
                Applied::Done
            }
            Command::WithdrawFront(front, before) => {
                let gone = self.register.remove_older_incarnations(&front, before);
                let mut beside = self.beside.lock();
                if !gone.is_empty() {
                    *beside.sweeps.entry(front).or_default() += 1;
                }
                let numbers: BTreeSet<Number> = gone.into_iter().filter_map(purged).collect();
                numbers.into_iter().for_each(|number| beside.changed(number));
                Applied::Done
            }
            Command::Ordered(upto, position) => {
                let mut beside = self.beside.lock();
                beside.outbox = beside.outbox.split_off(&(upto + 1));
                beside.ordered = position;
                Applied::Done
            }
            Command::Order(all) => {
                let mut beside = self.beside.lock();
                let wrong = all
                    .iter()
                    .any(|what| matches!(what, CommandAction::Purge(scopes) if scopes.len() > MAX_SCOPES));
                if wrong || beside.window.position().log == 0 {
                    return Applied::Refused("an order with too many scopes, or no log to order in".into());
                }
                for what in all {
                    beside.window.append(what);
                }
                Applied::At(beside.window.position())
            }
            Command::NewLog(log) => {
                let mut beside = self.beside.lock();
                let withdrawn = beside.window.withdrawn().clone();
                beside.window = LogTail::starting_at(LogPosition { log, index: 0 }, withdrawn);
                Applied::Done
            }
            Command::Begin(at_ms) => {
                let mut beside = self.beside.lock();
                if beside.begun == 0 {
                    beside.begun = at_ms;
                }
                Applied::Done
            }
            Command::Ready => {
                self.beside.lock().ready = true;
                Applied::Done
            }
            Command::Audit(records) => {
                let mut beside = self.beside.lock();
                let refused =
                    records.into_iter().filter_map(|record| beside.ledger.append(record).err()).last();
                refused.map_or(Applied::Done, |error| Applied::Refused(error.to_string()))
            }
        }
    }

    /// Applies a front's changes, each once and in their order: one that was overtaken on its way is out of date.
    fn rows(&self, written: Written) {
        let known = self.beside.lock().written.get(&written.front).copied().unwrap_or_default();
        let last = if known.0 == written.life { known.1 } else { 0 };
        if known.0 > written.life {
            return;
        }
        let end = (written.first + written.changes.len() as u64).saturating_sub(1);
        let seen = (last + 1).saturating_sub(written.first) as usize;
        for change in written.changes.into_iter().skip(seen) {
            let key = match change {
                // Written again as it stands: nothing has changed for anybody.
                RecordChange::Upsert(row) if self.has(&row) => continue,
                RecordChange::Upsert(row) => {
                    let key = row.key.clone();
                    self.register.upsert(row);
                    key
                }
                RecordChange::Withdraw(key) => match self.register.withdraw(&key) {
                    Some(_) => key,
                    None => continue,
                },
            };
            if let Some(number) = purged(key) {
                self.beside.lock().changed(number);
            }
        }
        if end > last || known.0 != written.life {
            self.beside.lock().written.insert(written.front, (written.life, end.max(last)));
        }
    }

    fn has(&self, row: &LocationRecord) -> bool {
        self.register.get(&row.key).is_some_and(|held| held == *row)
    }

    /// For summaries: what changed and is not ordered.
    pub fn pending(&self) -> (PendingPurges, LogPosition) {
        let beside = self.beside.lock();
        let pending = match beside.outbox.len() {
            0..=PENDING_NAMED => PendingPurges::Some(beside.outbox.values().map(Number::hash64).collect()),
            _ => PendingPurges::Many,
        };
        (pending, beside.ordered)
    }

    /// Up to so many changes that are not ordered: the last one's number, and their numbers, each once.
    pub fn unordered(&self, most: usize) -> Option<(u64, BTreeSet<Number>)> {
        let beside = self.beside.lock();
        let upto = *beside.outbox.keys().take(most).next_back()?;
        Some((upto, beside.outbox.range(..=upto).map(|(_, number)| number.clone()).collect()))
    }

    /// The register as a front knows it: another number means that its rows are to be written again.
    pub fn register_of(&self, front: &str) -> u64 {
        let beside = self.beside.lock();
        beside.begun.wrapping_add(beside.sweeps.get(front).copied().unwrap_or(0))
    }

    /// Puts what a snapshot held in place of everything.
    pub fn restore(&self, rows: Vec<LocationRecord>, beside: Beside) -> Result<(), LocationError> {
        self.register.restore(rows)?;
        *self.beside.lock() = beside;
        Ok(())
    }
}

/// The number that a change of a row has purged. What is cached is where numbers are reached: calls that begin and end
/// change none of it.
fn purged(key: Key) -> Option<Number> {
    (key.kind == Kind::Binding).then_some(key.number)
}

impl Beside {
    fn changed(&mut self, number: Number) {
        self.changes += 1;
        self.outbox.insert(self.changes, number);
    }
}
