//! A process with others below it: it grants them leases, passes orders on, and counts what they acknowledge.
//!
//! The root's leader is the origin: it may grant while its leadership is confirmed. Every other process of a site is
//! a holder of the one above and grants no longer than its own lease runs. What a child acknowledged counts for that
//! life of it; a life is out once its lease has surely run out, be it dead, cut off, or superseded by a later one.

use crate::lease::LeaseTerms;
use crate::log_tail::LogTail;
use crate::message::{
    CommandAction, FleetCommand, LogPosition, RejectReason, Response, MAX_COMMANDS, MAX_NAMES,
};
use crate::{Nanos, Safeguards};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Children whose lives are over are forgotten this long after their leases.
const FORGET_NS: Nanos = 600_000_000_000;

/// A holder below, in one of its lives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChildId {
    /// Its name.
    pub name: String,
    /// That life, in nanoseconds since 1970.
    pub incarnation: u64,
}

#[derive(Debug, Clone)]
struct Child {
    /// A front answers for itself, a process for all below it.
    is_front: bool,
    applied: LogPosition,
    sum: LogPosition,
    /// Its lease has surely run out from then on.
    in_until_ns: Nanos,
    /// When it last asked for one.
    heard_ns: Nanos,
    /// It was too far behind for one then.
    straggles: bool,
    missing: Vec<String>,
    missing_count: u32,
}

/// How far purges are below a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AggregatedAck {
    /// All below have acknowledged up to here, or are out.
    pub acknowledged: LogPosition,
    /// Some who have not acknowledged all there is.
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
    guards: Safeguards,
    window: LogTail,
    /// When orders came here, newest last: those of the last straggler span.
    came: VecDeque<(u64, Nanos)>,
    children: BTreeMap<ChildId, Child>,
    own_until_ns: Nanos,
    own_needs: LogPosition,
    /// Until then holders of a former origin may be unknown here.
    quiet_until_ns: Nanos,
    complete: u64,
}

impl AckAggregator {
    /// Without children, orders or a lease.
    pub fn new(terms: LeaseTerms, guards: Safeguards) -> Self {
        AckAggregator {
            terms,
            guards,
            window: LogTail::default(),
            came: VecDeque::new(),
            children: BTreeMap::new(),
            own_until_ns: 0,
            own_needs: LogPosition::default(),
            quiet_until_ns: 0,
            complete: 0,
        }
    }

    /// The last order here.
    pub fn position(&self) -> LogPosition {
        self.window.position()
    }

    /// Settings versions that are withdrawn.
    pub fn withdrawn(&self) -> &BTreeSet<u64> {
        self.window.withdrawn()
    }

    /// This process may grant until then, once it has applied everything up to a position.
    pub fn allow_grants_until(&mut self, until_ns: Nanos, needs: LogPosition) {
        (self.own_until_ns, self.own_needs) = (until_ns, needs);
    }

    /// This process has just become the origin: holders of a former one may live on leases of its own. What was
    /// complete below this process alone says nothing of them.
    pub fn become_origin(&mut self, now: Nanos) {
        self.complete = 0;
        self.quiet_until_ns = now + self.terms.worst_case_ns(self.terms.lease_ns);
    }

    /// All orders up to there are taken from elsewhere at once.
    pub fn reset(&mut self, window: LogTail) {
        if window.position().log != self.window.position().log {
            self.complete = 0;
        }
        self.window = window;
        self.came.clear();
    }

    /// The next order is there.
    pub fn append_command(&mut self, now: Nanos, what: CommandAction) -> LogPosition {
        let position = self.window.append(what);
        self.came.push_back((position.index, now));
        while self
            .came
            .front()
            .is_some_and(|(_, at)| now.saturating_sub(*at) > 2 * self.terms.lagging_after_ns)
        {
            self.came.pop_front();
        }
        position
    }

    /// The last order that is old enough for everybody to have applied it.
    fn due(&self, now: Nanos) -> u64 {
        let young = self.came.iter().find(|(_, at)| now.saturating_sub(*at) <= self.terms.lagging_after_ns);
        young.map_or(self.position().index, |(order, _)| order - 1)
    }

    /// Whether this process may grant at all now.
    fn has_lease(&self, now: Nanos) -> bool {
        now < self.own_until_ns && self.position().includes(self.own_needs)
    }

    /// A child asks for its lease.
    pub fn renew_lease(
        &mut self,
        now: Nanos,
        who: &ChildId,
        is_front: bool,
        applied: Option<LogPosition>,
        register: u64,
    ) -> Response {
        if self.is_superseded(who) {
            return Response::Rejected(RejectReason::Superseded);
        }
        let position = self.position();
        if let Some(child) = self.children.get_mut(who) {
            child.heard_ns = now;
        }
        if !self.has_lease(now) {
            return Response::Rejected(RejectReason::NoLease);
        }
        let fresh =
            Response::ResetRequired { position, withdrawn: self.withdrawn().iter().copied().collect() };
        let Some(applied) = applied.filter(|applied| applied.log == position.log) else { return fresh };
        if applied.index > position.index {
            return Response::Rejected(RejectReason::Ahead);
        }
        let Some(orders) = self.window.commands_after(applied.index, MAX_COMMANDS) else { return fresh };
        let straggles = self.guards.lagging_holders && applied.index < self.due(now);
        let for_ns =
            if straggles { 0 } else { self.terms.lease_ns.min(self.own_until_ns.saturating_sub(now)) };
        let in_until_ns = now + self.terms.worst_case_ns(for_ns);
        let child = self.children.entry(who.clone()).or_insert_with(|| Child {
            is_front,
            applied,
            sum: LogPosition::default(),
            in_until_ns: 0,
            heard_ns: now,
            straggles,
            missing: Vec::new(),
            missing_count: 0,
        });
        // Its own word of this life, and never of what it was only sent.
        child.applied = applied;
        child.straggles = straggles;
        if for_ns > 0 {
            child.in_until_ns = child.in_until_ns.max(in_until_ns);
        }
        Response::LeaseGranted { for_ns, position, commands: orders, store_id: register }
    }

    fn is_superseded(&self, who: &ChildId) -> bool {
        let after = ChildId { name: who.name.clone(), incarnation: who.incarnation.saturating_add(1) };
        self.children.range(after..).next().is_some_and(|(id, _)| id.name == who.name)
    }

    /// A child has applied orders up to there.
    pub fn record_applied(&mut self, who: &ChildId, upto: LogPosition) {
        if let Some(child) = self.children.get_mut(who).filter(|_| upto.log == self.window.position().log) {
            child.applied = upto;
        }
    }

    /// A relay below says how far all below it are.
    pub fn record_aggregated_ack(&mut self, who: &ChildId, sum: AggregatedAck) {
        if let Some(child) = self.children.get_mut(who) {
            child.sum = sum.acknowledged;
            child.missing = sum.missing;
            child.missing_count = sum.missing_count;
        }
    }

    /// A child has dropped what it cached, and is out at once.
    pub fn remove_child(&mut self, who: &ChildId) {
        self.children.remove(who);
    }

    /// Whether what a front writes is taken: it is heard, as this life, and not fenced as a straggler. A site that is
    /// cut off from those above grants no leases and takes rows all the same.
    pub fn accepts_writes_from(&self, now: Nanos, who: &ChildId) -> bool {
        let span_ns = self.terms.worst_case_ns(self.terms.lease_ns);
        let heard = |child: &Child| now < child.heard_ns + span_ns && !child.straggles;
        (self.children.get(who).is_some_and(heard) && !self.is_superseded(who)) || !self.guards.write_fencing
    }

    /// Children that may still have a lease, with what each has applied.
    pub fn children(&self, now: Nanos) -> impl Iterator<Item = (&ChildId, LogPosition)> {
        self.children.iter().filter(move |(_, child)| now < child.in_until_ns).map(|(id, c)| (id, c.applied))
    }

    /// Fronts below, in each of their lives, and for how long each was not heard.
    pub fn front_contacts(&self, now: Nanos) -> Vec<FrontContact> {
        let fronts = self.children.iter().filter(|(_, child)| child.is_front);
        let contact = |(id, child): (&ChildId, &Child)| FrontContact {
            id: id.clone(),
            silent_for_ns: now.saturating_sub(child.heard_ns),
        };
        fronts.map(contact).collect()
    }

    /// What a child has applied, and some of what it lacks; `None`: it is not known here.
    pub fn missing_commands(&self, who: &ChildId) -> Option<MissingCommands> {
        let applied = self.children.get(who)?.applied;
        Some(MissingCommands { applied, commands: self.commands_after(applied) })
    }

    /// Up to so many of the orders that a child lacks.
    fn commands_after(&self, applied: LogPosition) -> Vec<FleetCommand> {
        let same = applied.log == self.position().log;
        self.window.commands_after(applied.index, MAX_COMMANDS).filter(|_| same).unwrap_or_default()
    }

    /// How far purges are below, now.
    pub fn aggregate(&mut self, now: Nanos) -> AggregatedAck {
        let position = self.position();
        let over =
            |child: &Child| now.saturating_sub(child.in_until_ns) > FORGET_NS && now > child.in_until_ns;
        self.children.retain(|_, child| !over(child));
        let (mut upto, mut missing, mut missing_count) = (position.index, Vec::new(), 0);
        let counted = self.children.iter().filter(|(_, child)| now < child.in_until_ns);
        for (id, child) in counted.filter(|_| self.guards.acknowledgements) {
            let acked = if child.is_front { child.applied } else { child.sum };
            let acked = if acked.log == position.log { acked.index } else { 0 };
            if acked < position.index {
                upto = upto.min(acked);
                let below = child.missing_count > 0;
                missing_count += if below { child.missing_count } else { 1 };
                if below {
                    missing.extend(child.missing.iter().cloned());
                } else {
                    missing.push(id.name.clone());
                }
            }
        }
        missing.truncate(MAX_NAMES);
        if now < self.quiet_until_ns {
            upto = upto.min(self.complete);
            if missing.is_empty() && self.complete < position.index {
                (missing, missing_count) = (vec!["holders of a former leader".into()], 1);
            }
        }
        self.complete = self.complete.max(upto);
        AggregatedAck {
            acknowledged: LogPosition { index: self.complete, ..position },
            missing,
            missing_count,
        }
    }

    /// When a lease runs out next that a sum may wait for.
    pub fn next_expiry_ns(&self, now: Nanos) -> Option<Nanos> {
        let ends = self.children.values().map(|child| child.in_until_ns).chain([self.quiet_until_ns]);
        ends.filter(|at| *at > now).min()
    }
}
