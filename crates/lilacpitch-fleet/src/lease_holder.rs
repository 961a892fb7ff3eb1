//! The holder's side of a lease: its position in the command log, its lease, and the withdrawn settings
//! versions. Each front is a holder, and so is each process of a site below the root.

use crate::error::{LeaseError, PurgeError};
use crate::lease::Lease;
use crate::message::{CommandAction, FleetCommand, LogPosition, Response};
use crate::Nanos;
use std::collections::BTreeSet;

/// What a holder must do after a response of its parent.
#[derive(Debug, PartialEq, Eq)]
pub enum LeaseUpdate {
    /// Apply these commands in this order.
    Commands(Vec<FleetCommand>),
    /// Drop all cached answers, then renew the lease at once.
    Reset,
    /// Do nothing.
    Unchanged,
}

/// The state of a lease holder. The caller must apply the commands that a method returns, and report each to
/// [`LeaseHolder::record_applied`], before it handles another response.
#[derive(Debug, Clone, Default)]
pub struct LeaseHolder {
    position: Option<LogPosition>,
    lease: Option<Lease>,
    withdrawn: BTreeSet<u64>,
    settings_version: u64,
}

impl LeaseHolder {
    /// Creates a holder that acts on this settings version, by its digest, and has applied no commands.
    pub fn new(settings_version: u64) -> Self {
        LeaseHolder { settings_version, ..LeaseHolder::default() }
    }

    /// The position of the last command applied; `None` until the parent has sent a position.
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

    /// Returns until when cached answers may be used. Call this directly before an answer is used: the lease
    /// may have expired during any earlier pause.
    ///
    /// # Errors
    /// [`LeaseError`] if the settings are withdrawn, the lease has expired, or commands that it requires are
    /// not applied.
    pub fn valid_until(&self, now: Nanos) -> Result<Nanos, LeaseError> {
        if self.is_withdrawn() {
            return Err(LeaseError::Withdrawn);
        }
        let lease = self.lease.filter(|lease| now < lease.until_ns).ok_or(LeaseError::Expired)?;
        match self.position {
            Some(position) if position.includes(lease.position) => Ok(lease.until_ns),
            position => {
                let applied = position.map_or(0, |position| position.index);
                Err(LeaseError::Behind { required: lease.position.index, applied })
            }
        }
    }

    /// Handles the response to a lease request that was sent at `requested_ns` by this process's steady
    /// clock.
    pub fn handle_response(&mut self, requested_ns: Nanos, response: Response) -> LeaseUpdate {
        match response {
            Response::LeaseGranted { for_ns, position, commands, .. } => {
                let until_ns = requested_ns.saturating_add(for_ns);
                // Responses may arrive out of order: an older one does not shorten the lease.
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

    /// Selects the commands to be applied next, without those that are applied already.
    ///
    /// # Errors
    /// [`PurgeError`] if earlier commands are missing, or if these are of another log.
    pub fn select_next_commands(
        &mut self,
        log: u64,
        commands: Vec<FleetCommand>,
    ) -> Result<Vec<FleetCommand>, PurgeError> {
        let Some(position) = self.position else { return Err(PurgeError::Gap { found: 0, applied: 0 }) };
        if position.log != log {
            return Err(PurgeError::OtherLog { found: log, ours: position.log });
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

    /// Records that the caller has applied the next command: it has removed the cached answers that the
    /// command purges.
    pub fn record_applied(&mut self, command: &FleetCommand) {
        match &command.action {
            CommandAction::Purge(_) => {}
            CommandAction::Withdraw(version) => drop(self.withdrawn.insert(*version)),
            CommandAction::Reinstate(version) => drop(self.withdrawn.remove(version)),
        }
        if let Some(position) = &mut self.position {
            debug_assert_eq!(command.number, position.index + 1, "commands are applied without gaps");
            position.index = command.number;
        }
    }
}
