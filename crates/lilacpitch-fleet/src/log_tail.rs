//! The last commands of the command log, retained for lease holders that have missed some. A holder that has
//! missed more than are retained is reset: it drops all cached answers and continues from the current
//! position.

use crate::message::{CommandAction, FleetCommand, LogPosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Most commands that are retained.
pub const MAX_RETAINED_COMMANDS: usize = 16_384;

/// The last commands, and the settings versions that are withdrawn after all of them. The order of fields is
/// that of the encoding on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogTail {
    position: LogPosition,
    commands: VecDeque<FleetCommand>,
    withdrawn: BTreeSet<u64>,
}

impl LogTail {
    /// Creates a tail that begins after a position and retains no commands before it.
    pub fn starting_at(position: LogPosition, withdrawn: BTreeSet<u64>) -> Self {
        LogTail { position, commands: VecDeque::new(), withdrawn }
    }

    /// The position of the last command.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// The withdrawn settings versions.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        &self.withdrawn
    }

    /// Appends a command, which gets the next number, and returns its position.
    pub fn append(&mut self, action: CommandAction) -> LogPosition {
        match &action {
            CommandAction::Purge(_) => {}
            CommandAction::Withdraw(version) => drop(self.withdrawn.insert(*version)),
            CommandAction::Reinstate(version) => drop(self.withdrawn.remove(version)),
        }
        self.position.index += 1;
        self.commands.push_back(FleetCommand { number: self.position.index, action });
        if self.commands.len() > MAX_RETAINED_COMMANDS {
            self.commands.pop_front();
        }
        self.position
    }

    /// Up to `limit` of the commands after an index; `None` if some of them are no longer retained, or if the
    /// index is beyond the last command.
    pub fn commands_after(&self, index: u64, limit: usize) -> Option<Vec<FleetCommand>> {
        let missing = self.position.index.checked_sub(index)? as usize;
        let first = self.commands.len().checked_sub(missing)?;
        Some(self.commands.range(first..).take(limit).cloned().collect())
    }
}
