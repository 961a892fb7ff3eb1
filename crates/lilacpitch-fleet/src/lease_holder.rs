//! The holder's side of leases and commands: its position in the command log, its lease, and the settings versions that
//! are withdrawn. A front's cache is a holder, and so is each process of a site below the root.

use crate::error::{LeaseError, PurgeError};
use crate::lease::Lease;
use crate::message::{CommandAction, FleetCommand, LogPosition, Response};
use crate::Nanos;
use std::collections::BTreeSet;

/// What a response of the parent means to a holder.
#[derive(Debug, PartialEq, Eq)]
pub enum LeaseUpdate {
    /// These commands are next: apply each, in this order.
    Commands(Vec<FleetCommand>),
    /// Drop everything that is cached, then renew at once.
    Reset,
    /// Nothing to do.
    Unchanged,
}

/// The state of a holder. Its owner applies the commands that it returns before it goes on.
#[derive(Debug, Clone, Default)]
pub struct LeaseHolder {
    position: Option<LogPosition>,
    lease: Option<Lease>,
    withdrawn: BTreeSet<u64>,
    settings_version: u64,
}

impl LeaseHolder {
    /// A holder that acts on this settings version and has applied no commands.
    pub fn new(settings_version: u64) -> Self {
        LeaseHolder { settings_version, ..LeaseHolder::default() }
    }

    /// The last command applied; `None`: no position was ever given.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// The settings versions that are withdrawn.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        &self.withdrawn
    }

    /// Whether this holder's own settings version is withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.contains(&self.settings_version)
    }

    /// Until when cached answers may be used, checked now: call it after any pause, right before an answer.
    ///
    /// # Errors
    /// [`LeaseError`]: the settings are withdrawn, the lease has expired, or commands that it requires are missing.
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

    /// Handles the response to a lease request that was sent at `requested_ns`, by this process's steady clock.
    pub fn handle_response(&mut self, requested_ns: Nanos, response: Response) -> LeaseUpdate {
        match response {
            Response::LeaseGranted { for_ns, position, commands, .. } => {
                let until_ns = requested_ns.saturating_add(for_ns);
                // A response that a later one has overtaken takes nothing back.
                if self
                    .lease
                    .is_none_or(|known| known.until_ns <= until_ns || known.position.log != position.log)
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

    /// Selects the commands that are next: those applied already are passed over.
    ///
    /// # Errors
    /// [`PurgeError`], where commands before these are missing, or these are of another log.
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

    /// Records that the owner has applied a command: everything that it withdraws is gone.
    pub fn record_applied(&mut self, command: &FleetCommand) {
        match &command.action {
            CommandAction::Purge(_) => {}
            CommandAction::Withdraw(version) => drop(self.withdrawn.insert(*version)),
            CommandAction::Reinstate(version) => drop(self.withdrawn.remove(version)),
        }
        if let Some(position) = &mut self.position {
            debug_assert_eq!(command.number, position.index + 1, "orders are applied without gaps");
            position.index = command.number;
        }
    }
}
