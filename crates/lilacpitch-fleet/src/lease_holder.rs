//! The lower end of the purge's way: a process that holds what orders may withdraw, be it a front's cache or a relay.

use crate::error::{LeaseError, PurgeError};
use crate::lease::Lease;
use crate::message::{CommandAction, FleetCommand, LogPosition, Response};
use crate::Nanos;
use std::collections::BTreeSet;

/// What an answer of the process above means to a holder.
#[derive(Debug, PartialEq, Eq)]
pub enum LeaseUpdate {
    /// These orders are next, to be applied in turn.
    Commands(Vec<FleetCommand>),
    /// Everything cached is to be dropped; then ask again.
    Reset,
    /// No lease this time.
    Unchanged,
}

/// A holder's position, lease, and what is withdrawn. Whoever owns it applies what it hands out before it goes on.
#[derive(Debug, Clone, Default)]
pub struct LeaseHolder {
    position: Option<LogPosition>,
    lease: Option<Lease>,
    withdrawn: BTreeSet<u64>,
    settings: u64,
}

impl LeaseHolder {
    /// A holder that acts on this settings version and has applied nothing.
    pub fn new(settings: u64) -> Self {
        LeaseHolder { settings, ..LeaseHolder::default() }
    }

    /// What to ask for a lease with.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Settings versions that are withdrawn.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        &self.withdrawn
    }

    /// Whether this holder's own settings version is.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.contains(&self.settings)
    }

    /// Until when what is cached may be used, judged now: after a standstill, before an answer.
    pub fn valid_until(&self, now: Nanos) -> Result<Nanos, LeaseError> {
        if self.is_withdrawn() {
            return Err(LeaseError::Withdrawn);
        }
        let lease = self.lease.filter(|lease| now < lease.until_ns).ok_or(LeaseError::Out)?;
        match self.position {
            Some(position) if position.includes(lease.position) => Ok(lease.until_ns),
            other => {
                let applied = other.map_or(0, |position| position.index);
                Err(LeaseError::Behind { needed: lease.position.index, applied })
            }
        }
    }

    /// Takes the answer to a question for a lease that was asked at `asked_ns`.
    pub fn handle_response(&mut self, asked_ns: Nanos, response: Response) -> LeaseUpdate {
        match response {
            Response::LeaseGranted { for_ns, position, commands, .. } => {
                let until_ns = asked_ns.saturating_add(for_ns);
                // An answer that is overtaken by a later one takes nothing back.
                if self
                    .lease
                    .is_none_or(|held| held.until_ns <= until_ns || held.position.log != position.log)
                {
                    self.lease = Some(Lease { until_ns, position });
                }
                self.select_next_commands(position.log, commands)
                    .map_or(LeaseUpdate::Unchanged, LeaseUpdate::Commands)
            }
            Response::ResetRequired { position, withdrawn } => {
                self.position = Some(position);
                self.lease = None;
                self.withdrawn = withdrawn.into_iter().collect();
                LeaseUpdate::Reset
            }
            _ => LeaseUpdate::Unchanged,
        }
    }

    /// Which of these orders are next: those applied already are passed over, a gap is refused.
    pub fn select_next_commands(
        &mut self,
        log: u64,
        commands: Vec<FleetCommand>,
    ) -> Result<Vec<FleetCommand>, PurgeError> {
        let Some(position) = self.position else { return Err(PurgeError::Gap { found: 0, applied: 0 }) };
        if position.log != log {
            return Err(PurgeError::Log { found: log, ours: position.log });
        }
        let mut next = Vec::new();
        let mut applied = position.index;
        for command in commands {
            if command.number <= applied {
                continue;
            }
            if command.number != applied + 1 {
                return Err(PurgeError::Gap { found: command.number, applied });
            }
            applied = command.number;
            next.push(command);
        }
        Ok(next)
    }

    /// An order was applied by whoever owns this: all that it withdrew is gone.
    pub fn record_applied(&mut self, order: &FleetCommand) {
        match &order.action {
            CommandAction::Purge(_) => {}
            CommandAction::Withdraw(version) => drop(self.withdrawn.insert(*version)),
            CommandAction::Reinstate(version) => drop(self.withdrawn.remove(version)),
        }
        if let Some(position) = &mut self.position {
            debug_assert_eq!(order.number, position.index + 1, "orders are applied without gaps");
            position.index = order.number;
        }
    }
}
