//! The parent's side of leases and commands: grants leases to children, holds the commands that they lack, and aggregates
//! what they have acknowledged.
//!
//! The root's leader is the origin: it may grant while its leadership is confirmed. Every other process of a site holds
//! a lease from its parent and grants none that outlasts it. An acknowledgement counts for one incarnation of a child;
//! an incarnation no longer counts once its lease has surely expired, be it dead, cut off, or superseded by a later one.

use crate::lease::LeaseTerms;
use crate::log_tail::LogTail;
use crate::message::{
    CommandAction, FleetCommand, LogPosition, RejectReason, Response, MAX_COMMANDS, MAX_NAMES,
};
use crate::{Nanos, Safeguards};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A child is forgotten so long after its lease has expired.
const FORGET_NS: Nanos = 600_000_000_000;

/// A child: a front or a process of a site below, in one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChildId {
    /// The name in its settings.
    pub name: String,
    /// The incarnation: when it started, in nanoseconds since 1970.
    pub incarnation: u64,
}

#[derive(Debug, Clone)]
struct Child {
    /// A front acknowledges for itself, a process for everybody below it.
    is_front: bool,
    /// It has applied all commands up to here.
    applied: LogPosition,
    /// Everybody below it has acknowledged all commands up to here.
    aggregated: LogPosition,
    /// From then on its lease has surely expired, by any clock of the fleet.
    lease_expires_ns: Nanos,
    /// When it last requested one.
    last_renewal_ns: Nanos,
    /// It was too far behind for one then: it has no lease, and its writes are rejected.
    is_lagging: bool,
    missing: Vec<String>,
    missing_count: u32,
}

/// Up to where everybody below a process has acknowledged commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatedAck {
    /// Everybody has acknowledged up to here, or has no lease any more.
    pub acknowledged: LogPosition,
    /// The names of some who have not acknowledged all commands, [`MAX_NAMES`] at most.
    pub missing: Vec<String>,
    /// How many have not.
    pub missing_count: u32,
}

/// What a child has applied, and what comes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingCommands {
    /// The child has applied all commands up to here.
    pub applied: LogPosition,
    /// The commands after that, [`MAX_COMMANDS`] at most.
    pub commands: Vec<FleetCommand>,
}

/// When a front last requested its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontContact {
    /// The front, in one incarnation.
    pub id: ChildId,
    /// For how long it has not requested one, in nanoseconds of this process's steady clock.
    pub silent_for_ns: Nanos,
}

/// The children of a process and what they have acknowledged.
#[derive(Debug, Clone)]
pub struct AckAggregator {
    terms: LeaseTerms,
    safeguards: Safeguards,
    log_tail: LogTail,
    /// The index of each recent command and when it came here, newest last.
    arrivals: VecDeque<(u64, Nanos)>,
    children: BTreeMap<ChildId, Child>,
    grants_until_ns: Nanos,
    grants_require: LogPosition,
    /// Until then there may be holders of leases of a former origin that are unknown here.
    former_leases_until_ns: Nanos,
    complete: u64,
}

impl AckAggregator {
    /// An aggregator without children, commands or a lease.
    pub fn new(terms: LeaseTerms, safeguards: Safeguards) -> Self {
        AckAggregator {
            terms,
            safeguards,
            log_tail: LogTail::default(),
            arrivals: VecDeque::new(),
            children: BTreeMap::new(),
            grants_until_ns: 0,
            grants_require: LogPosition::default(),
            former_leases_until_ns: 0,
            complete: 0,
        }
    }

    /// The position of the last command here.
    pub fn position(&self) -> LogPosition {
        self.log_tail.position()
    }

    /// The settings versions that are withdrawn.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        self.log_tail.withdrawn()
    }

    /// Allows leases to be granted until a moment, once all commands up to `required` are here.
    pub fn allow_grants_until(&mut self, until_ns: Nanos, required: LogPosition) {
        (self.grants_until_ns, self.grants_require) = (until_ns, required);
    }

    /// This process has just become the origin: children of a former one may still hold leases. What this process's own
    /// children have acknowledged says nothing of them.
    pub fn become_origin(&mut self, now: Nanos) {
        self.complete = 0;
        self.former_leases_until_ns = now + self.terms.worst_case_ns(self.terms.lease_ns);
    }

    /// Replaces the log tail: the commands up to its position are applied elsewhere at once.
    pub fn reset(&mut self, log_tail: LogTail) {
        if log_tail.position().log != self.log_tail.position().log {
            self.complete = 0;
        }
        self.log_tail = log_tail;
        self.arrivals.clear();
    }

    /// Appends the next command; its position.
    pub fn append_command(&mut self, now: Nanos, action: CommandAction) -> LogPosition {
        let position = self.log_tail.append(action);
        self.arrivals.push_back((position.index, now));
        while self
            .arrivals
            .front()
            .is_some_and(|(_, at)| now.saturating_sub(*at) > 2 * self.terms.lagging_after_ns)
        {
            self.arrivals.pop_front();
        }
        position
    }

    /// The index of the last command that is old enough for everybody to have applied it.
    fn last_overdue_index(&self, now: Nanos) -> u64 {
        let is_recent = |at: Nanos| now.saturating_sub(at) <= self.terms.lagging_after_ns;
        let first_recent = self.arrivals.iter().find(|(_, at)| is_recent(*at));
        first_recent.map_or(self.position().index, |(index, _)| index - 1)
    }

    /// Whether this process may grant leases now.
    fn has_lease(&self, now: Nanos) -> bool {
        now < self.grants_until_ns && self.position().includes(self.grants_require)
    }

    /// Responds to a child's request for its lease: with a lease and the commands that it lacks, with a reset, or with the
    /// reason why not. A lagging child gets commands and a lease of length 0.
    pub fn renew_lease(
        &mut self,
        now: Nanos,
        id: &ChildId,
        is_front: bool,
        applied: Option<LogPosition>,
        store_id: u64,
    ) -> Response {
        if self.is_superseded(id) {
            return Response::Rejected(RejectReason::Superseded);
        }
        let position = self.position();
        if let Some(child) = self.children.get_mut(id) {
            child.last_renewal_ns = now;
        }
        if !self.has_lease(now) {
            return Response::Rejected(RejectReason::NoLease);
        }
        let reset =
            Response::ResetRequired { position, withdrawn: self.withdrawn().iter().copied().collect() };
        let Some(applied) = applied.filter(|applied| applied.log == position.log) else { return reset };
        if applied.index > position.index {
            return Response::Rejected(RejectReason::Ahead);
        }
        let Some(commands) = self.log_tail.commands_after(applied.index, MAX_COMMANDS) else { return reset };
        let is_lagging = self.safeguards.lagging_holders && applied.index < self.last_overdue_index(now);
        let for_ns =
            if is_lagging { 0 } else { self.terms.lease_ns.min(self.grants_until_ns.saturating_sub(now)) };
        let lease_expires_ns = now + self.terms.worst_case_ns(for_ns);
        let child = self.children.entry(id.clone()).or_insert_with(|| Child {
            is_front,
            applied,
            aggregated: LogPosition::default(),
            lease_expires_ns: 0,
            last_renewal_ns: now,
            is_lagging,
            missing: Vec::new(),
            missing_count: 0,
        });
        // What it has applied by its own report, and never what it was only sent.
        child.applied = applied;
        child.is_lagging = is_lagging;
        if for_ns > 0 {
            child.lease_expires_ns = child.lease_expires_ns.max(lease_expires_ns);
        }
        Response::LeaseGranted { for_ns, position, commands, store_id }
    }

    fn is_superseded(&self, id: &ChildId) -> bool {
        let after = ChildId { name: id.name.clone(), incarnation: id.incarnation.saturating_add(1) };
        self.children.range(after..).next().is_some_and(|(later, _)| later.name == id.name)
    }

    /// Records that a child has applied all commands up to a position.
    pub fn record_applied(&mut self, id: &ChildId, acknowledged: LogPosition) {
        if let Some(child) =
            self.children.get_mut(id).filter(|_| acknowledged.log == self.log_tail.position().log)
        {
            child.applied = acknowledged;
        }
    }

    /// Records what a process below has aggregated.
    pub fn record_aggregated_ack(&mut self, id: &ChildId, aggregated: AggregatedAck) {
        if let Some(child) = self.children.get_mut(id) {
            child.aggregated = aggregated.acknowledged;
            child.missing = aggregated.missing;
            child.missing_count = aggregated.missing_count;
        }
    }

    /// Removes a child that has released its lease.
    pub fn remove_child(&mut self, id: &ChildId) {
        self.children.remove(id);
    }

    /// Whether a front's writes are accepted: this incarnation of it renews, and it does not lag. A site that is cut off
    /// from its parent grants no leases, and accepts writes all the same.
    pub fn accepts_writes_from(&self, now: Nanos, id: &ChildId) -> bool {
        let duration_ns = self.terms.worst_case_ns(self.terms.lease_ns);
        let is_heard = |child: &Child| now < child.last_renewal_ns + duration_ns && !child.is_lagging;
        (self.children.get(id).is_some_and(is_heard) && !self.is_superseded(id))
            || !self.safeguards.write_fencing
    }

    /// Children that may still have a lease, with what each has applied.
    pub fn children(&self, now: Nanos) -> impl Iterator<Item = (&ChildId, LogPosition)> {
        self.children
            .iter()
            .filter(move |(_, child)| now < child.lease_expires_ns)
            .map(|(id, c)| (id, c.applied))
    }

    /// The fronts among the children, each incarnation, and for how long each has not renewed.
    pub fn front_contacts(&self, now: Nanos) -> Vec<FrontContact> {
        let fronts = self.children.iter().filter(|(_, child)| child.is_front);
        let contact = |(id, child): (&ChildId, &Child)| FrontContact {
            id: id.clone(),
            silent_for_ns: now.saturating_sub(child.last_renewal_ns),
        };
        fronts.map(contact).collect()
    }

    /// What a child has applied, and some of the commands that it lacks; `None`: it is not known here.
    pub fn missing_commands(&self, id: &ChildId) -> Option<MissingCommands> {
        let applied = self.children.get(id)?.applied;
        Some(MissingCommands { applied, commands: self.commands_after(applied) })
    }

    /// The commands after a position, [`MAX_COMMANDS`] at most; none where it is of another log.
    fn commands_after(&self, applied: LogPosition) -> Vec<FleetCommand> {
        let is_same_log = applied.log == self.position().log;
        self.log_tail.commands_after(applied.index, MAX_COMMANDS).filter(|_| is_same_log).unwrap_or_default()
    }

    /// Aggregates what all children have acknowledged by now, and forgets those that have long expired.
    pub fn aggregate(&mut self, now: Nanos) -> AggregatedAck {
        let position = self.position();
        let is_forgotten = |child: &Child| {
            now.saturating_sub(child.lease_expires_ns) > FORGET_NS && now > child.lease_expires_ns
        };
        self.children.retain(|_, child| !is_forgotten(child));
        let (mut acknowledged, mut missing, mut missing_count) = (position.index, Vec::new(), 0);
        let counted = self.children.iter().filter(|(_, child)| now < child.lease_expires_ns);
        for (id, child) in counted.filter(|_| self.safeguards.acknowledgements) {
            let child_acked = if child.is_front { child.applied } else { child.aggregated };
            let child_acked = if child_acked.log == position.log { child_acked.index } else { 0 };
            if child_acked < position.index {
                acknowledged = acknowledged.min(child_acked);
                let has_missing = child.missing_count > 0;
                missing_count += if has_missing { child.missing_count } else { 1 };
                if has_missing {
                    missing.extend(child.missing.iter().cloned());
                } else {
                    missing.push(id.name.clone());
                }
            }
        }
        missing.truncate(MAX_NAMES);
        if now < self.former_leases_until_ns {
            acknowledged = acknowledged.min(self.complete);
            if missing.is_empty() && self.complete < position.index {
                (missing, missing_count) = (vec!["holders of a former leader".into()], 1);
            }
        }
        self.complete = self.complete.max(acknowledged);
        AggregatedAck {
            acknowledged: LogPosition { index: self.complete, ..position },
            missing,
            missing_count,
        }
    }

    /// When a lease expires next that the aggregate may wait for.
    pub fn next_expiry_ns(&self, now: Nanos) -> Option<Nanos> {
        let expiries =
            self.children.values().map(|child| child.lease_expires_ns).chain([self.former_leases_until_ns]);
        expiries.filter(|at| *at > now).min()
    }
}
