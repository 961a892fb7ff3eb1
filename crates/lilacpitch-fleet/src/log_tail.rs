//! The last orders of a log, kept for who missed some.

use crate::message::{CommandAction, FleetCommand, LogPosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Orders that are kept; who missed more starts afresh.
pub const MAX_RETAINED_COMMANDS: usize = 16_384;

/// The last orders, and what is withdrawn at their end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogTail {
    position: LogPosition,
    orders: VecDeque<FleetCommand>,
    withdrawn: BTreeSet<u64>,
}

impl LogTail {
    /// Of which nothing is kept before `position`.
    pub fn starting_at(position: LogPosition, withdrawn: BTreeSet<u64>) -> Self {
        LogTail { position, orders: VecDeque::new(), withdrawn }
    }

    /// The last order.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Settings versions that are withdrawn.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        &self.withdrawn
    }

    /// Gives what is ordered the next number.
    pub fn append(&mut self, what: CommandAction) -> LogPosition {
        match &what {
            CommandAction::Purge(_) => {}
            CommandAction::Withdraw(version) => drop(self.withdrawn.insert(*version)),
            CommandAction::Reinstate(version) => drop(self.withdrawn.remove(version)),
        }
        self.position.index += 1;
        self.orders.push_back(FleetCommand { number: self.position.index, action: what });
        if self.orders.len() > MAX_RETAINED_COMMANDS {
            self.orders.pop_front();
        }
        self.position
    }

    /// Up to `most` of the orders after one; `None`: some of them are no longer kept, or it is of the future.
    pub fn commands_after(&self, order: u64, most: usize) -> Option<Vec<FleetCommand>> {
        let lacks = self.position.index.checked_sub(order)? as usize;
        let from = self.orders.len().checked_sub(lacks)?;
        Some(self.orders.range(from..).take(most).cloned().collect())
    }
}
