//! The parent's side of leases and commands: grants leases to children, retains the commands that they lack,
//! and aggregates their acknowledgements.
//!
//! The leader of the root site is the origin of all leases: it may grant them while its leadership is
//! confirmed. Every other process of a site holds a lease from its parent and grants no lease that outlasts
//! it.
//!
//! An acknowledgement belongs to one incarnation of a child. The aggregate waits for an incarnation until its
//! lease has certainly expired, whether the incarnation has ended, is unreachable, or is superseded by a
//! later one.

use crate::lease::LeaseTerms;
use crate::log_tail::LogTail;
use crate::message::{
    CommandAction, FleetCommand, LogPosition, RejectReason, Response, MAX_COMMANDS, MAX_NAMES,
};
use crate::{Nanos, Safeguards};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long after the expiry of its lease a child is forgotten, in nanoseconds.
const FORGET_AFTER_NS: Nanos = 600_000_000_000;

/// One incarnation of a child, which is a front or a process of a site below.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChildId {
    /// The name of the child in its settings.
    pub name: String,
    /// The incarnation: when it started, in nanoseconds since 1970.
    pub incarnation: u64,
}

/// What is known of one incarnation of a child.
#[derive(Debug, Clone)]
struct Child {
    /// Whether the child is a front, which acknowledges for itself alone. A process of a site acknowledges
    /// for all lease holders below it.
    is_front: bool,
    /// The child has applied all commands up to this position.
    applied: LogPosition,
    /// For a process of a site: all lease holders below it have acknowledged the commands up to this
    /// position.
    aggregated: LogPosition,
    /// When the child's lease has certainly expired, by any clock of the fleet.
    lease_expires_ns: Nanos,
    /// When the child last requested a lease.
    last_renewal_ns: Nanos,
    /// Whether the child lagged too far behind at its last request: it got no lease, and its writes are
    /// rejected.
    is_lagging: bool,
    /// For a process of a site: names of holders below it that have not acknowledged all commands.
    missing: Vec<String>,
    /// For a process of a site: the number of such holders.
    missing_count: u32,
}

/// The aggregated acknowledgement of all lease holders below a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatedAck {
    /// Every holder that may still have a lease has acknowledged the commands up to this position.
    pub acknowledged: LogPosition,
    /// The names of some holders that have not acknowledged all commands, [`MAX_NAMES`] at most.
    pub missing: Vec<String>,
    /// The number of holders that have not acknowledged all commands.
    pub missing_count: u32,
}

/// The position of a child and the next commands that it lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingCommands {
    /// The child has applied all commands up to this position.
    pub applied: LogPosition,
    /// The commands after that position, [`MAX_COMMANDS`] at most.
    pub commands: Vec<FleetCommand>,
}

/// When a front last requested its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontContact {
    /// The incarnation of the front.
    pub id: ChildId,
    /// The time since the front last requested its lease, in nanoseconds by this process's steady clock.
    pub since_renewal_ns: Nanos,
}

/// The children of a process, their leases and their acknowledgements.
#[derive(Debug, Clone)]
pub struct AckAggregator {
    terms: LeaseTerms,
    safeguards: Safeguards,
    log_tail: LogTail,
    /// The index and arrival time of each recent command, newest last.
    arrivals: VecDeque<(u64, Nanos)>,
    children: BTreeMap<ChildId, Child>,
    /// Until when leases may be granted.
    grants_until_ns: Nanos,
    /// Leases may be granted once the commands up to this position are here.
    grants_require: LogPosition,
    /// Until when leases of a former origin may be valid whose holders are unknown here.
    former_leases_until_ns: Nanos,
    /// The index up to which all lease holders have acknowledged. It decreases only when the log is replaced,
    /// or when this process becomes the origin.
    complete: u64,
}

impl AckAggregator {
    /// Creates an aggregator without children or commands, which may not grant leases yet.
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

    /// The withdrawn settings versions.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        self.log_tail.withdrawn()
    }

    /// Allows leases to be granted until `until_ns`, once all commands up to `required` are here.
    pub fn allow_grants_until(&mut self, until_ns: Nanos, required: LogPosition) {
        (self.grants_until_ns, self.grants_require) = (until_ns, required);
    }

    /// Called when this process has become the origin. Children of a former origin may still hold leases,
    /// and the acknowledgements of this process's own children do not cover them.
    pub fn become_origin(&mut self, now: Nanos) {
        self.complete = 0;
        self.former_leases_until_ns = now + self.terms.worst_case_ns(self.terms.lease_ns);
    }

    /// Replaces the log tail. The commands up to its position need not be appended one by one.
    pub fn reset(&mut self, log_tail: LogTail) {
        if log_tail.position().log != self.log_tail.position().log {
            self.complete = 0;
        }
        self.log_tail = log_tail;
        self.arrivals.clear();
    }

    /// Appends the next command and returns its position.
    pub fn append_command(&mut self, now: Nanos, action: CommandAction) -> LogPosition {
        let position = self.log_tail.append(action);
        self.arrivals.push_back((position.index, now));
        while self
            .arrivals
            .front()
            .is_some_and(|(_, arrival_ns)| now.saturating_sub(*arrival_ns) > 2 * self.terms.lagging_after_ns)
        {
            self.arrivals.pop_front();
        }
        position
    }

    /// The index of the last command that every child must have applied by now, or else it lags.
    fn last_overdue_index(&self, now: Nanos) -> u64 {
        let is_recent = |arrival_ns: Nanos| now.saturating_sub(arrival_ns) <= self.terms.lagging_after_ns;
        let first_recent = self.arrivals.iter().find(|(_, arrival_ns)| is_recent(*arrival_ns));
        first_recent.map_or(self.position().index, |(index, _)| index - 1)
    }

    /// Whether this process may grant leases now.
    fn may_grant(&self, now: Nanos) -> bool {
        now < self.grants_until_ns && self.position().includes(self.grants_require)
    }

    /// Responds to a child's request for a lease: with a lease and the commands that it lacks, with a reset,
    /// or with the reason for rejecting the request. A lagging child gets commands and a lease of length 0.
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
        if !self.may_grant(now) {
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
        // The child's own report counts, not which commands were sent to it.
        child.applied = applied;
        child.is_lagging = is_lagging;
        if for_ns > 0 {
            child.lease_expires_ns = child.lease_expires_ns.max(lease_expires_ns);
        }
        Response::LeaseGranted { for_ns, position, commands, store_id }
    }

    /// Whether a later incarnation of the child is known.
    fn is_superseded(&self, id: &ChildId) -> bool {
        let next_incarnation =
            ChildId { name: id.name.clone(), incarnation: id.incarnation.saturating_add(1) };
        self.children.range(next_incarnation..).next().is_some_and(|(later, _)| later.name == id.name)
    }

    /// Records that a child has applied all commands up to a position.
    pub fn record_applied(&mut self, id: &ChildId, acknowledged: LogPosition) {
        if let Some(child) =
            self.children.get_mut(id).filter(|_| acknowledged.log == self.log_tail.position().log)
        {
            child.applied = acknowledged;
        }
    }

    /// Records the aggregated acknowledgement of a process below.
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

    /// Whether writes of a front are accepted: this incarnation of it requests leases and does not lag. A
    /// site that is disconnected from its parent grants no leases, but still accepts writes.
    pub fn accepts_writes_from(&self, now: Nanos, id: &ChildId) -> bool {
        let duration_ns = self.terms.worst_case_ns(self.terms.lease_ns);
        let is_renewing = |child: &Child| now < child.last_renewal_ns + duration_ns && !child.is_lagging;
        (self.children.get(id).is_some_and(is_renewing) && !self.is_superseded(id))
            || !self.safeguards.write_fencing
    }

    /// The children that may still have a lease, and the position up to which each has applied commands.
    pub fn children(&self, now: Nanos) -> impl Iterator<Item = (&ChildId, LogPosition)> {
        self.children
            .iter()
            .filter(move |(_, child)| now < child.lease_expires_ns)
            .map(|(id, child)| (id, child.applied))
    }

    /// When each incarnation of each front among the children last requested its lease.
    pub fn front_contacts(&self, now: Nanos) -> Vec<FrontContact> {
        let fronts = self.children.iter().filter(|(_, child)| child.is_front);
        let contact = |(id, child): (&ChildId, &Child)| FrontContact {
            id: id.clone(),
            since_renewal_ns: now.saturating_sub(child.last_renewal_ns),
        };
        fronts.map(contact).collect()
    }

    /// The position of a child and the next commands that it lacks; `None` if the child is unknown.
    pub fn missing_commands(&self, id: &ChildId) -> Option<MissingCommands> {
        let applied = self.children.get(id)?.applied;
        Some(MissingCommands { applied, commands: self.commands_after(applied) })
    }

    /// The commands after a position, [`MAX_COMMANDS`] at most; none if the position is in another log.
    fn commands_after(&self, applied: LogPosition) -> Vec<FleetCommand> {
        let is_same_log = applied.log == self.position().log;
        self.log_tail.commands_after(applied.index, MAX_COMMANDS).filter(|_| is_same_log).unwrap_or_default()
    }

    /// Aggregates the acknowledgements of all children, and forgets children whose lease expired long ago.
    pub fn aggregate(&mut self, now: Nanos) -> AggregatedAck {
        let position = self.position();
        let is_forgotten = |child: &Child| {
            now.saturating_sub(child.lease_expires_ns) > FORGET_AFTER_NS && now > child.lease_expires_ns
        };
        self.children.retain(|_, child| !is_forgotten(child));
        let (mut acknowledged, mut missing, mut missing_count) = (position.index, Vec::new(), 0);
        let lease_holders = self.children.iter().filter(|(_, child)| now < child.lease_expires_ns);
        for (id, child) in lease_holders.filter(|_| self.safeguards.acknowledgements) {
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

    /// When the next lease expires that the aggregate may be waiting for.
    pub fn next_expiry_ns(&self, now: Nanos) -> Option<Nanos> {
        let expiries =
            self.children.values().map(|child| child.lease_expires_ns).chain([self.former_leases_until_ns]);
        expiries.filter(|expiry_ns| *expiry_ns > now).min()
    }
}
