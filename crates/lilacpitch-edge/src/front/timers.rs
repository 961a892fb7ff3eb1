//! The front's timers: one entry each, in the order in which they fall due.

use super::AttemptId;
use lilacpitch::interface::{Nanos, ServerId};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The module asked to be woken.
    Module,
    /// An attempt's time is up.
    TimeOut(AttemptId),
    /// An unanswered set-up is to be sent again.
    Resend(AttemptId),
    /// A server is to be tried again.
    Reconnect(ServerId),
    /// The time that a stop grants is up.
    Stop,
}

#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Nanos, Timer)>,
    set: BTreeMap<Timer, Nanos>,
}

impl Timers {
    /// Sets a timer; one that was set sooner stays as it was for the module, else it is moved.
    pub fn set(&mut self, timer: Timer, at: Nanos) {
        let at = match self.set.get(&timer) {
            Some(before) if timer == Timer::Module => at.min(*before),
            _ => at,
        };
        self.clear(timer);
        self.set.insert(timer, at);
        self.due.insert((at, timer));
    }

    pub fn clear(&mut self, timer: Timer) {
        if let Some(at) = self.set.remove(&timer) {
            self.due.remove(&(at, timer));
        }
    }

    /// When a timer is due, if it is set.
    pub fn at(&self, timer: Timer) -> Option<Nanos> {
        self.set.get(&timer).copied()
    }

    pub fn first(&self) -> Option<Nanos> {
        self.due.first().map(|(at, _)| *at)
    }

    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        let (at, timer) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.due.remove(&(at, timer));
        self.set.remove(&timer);
        Some(timer)
    }
}
