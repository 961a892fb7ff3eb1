//! Calls that ended a short time ago, or that a server has ended before this node heard of them.
//!
//! After a restart a node learns of the calls that stand only as their callers report them, while a server sends
//! the release of a call once, on the next connection. Also a release to a caller may be lost with its
//! connection. So a call that a caller reports as established is looked up here first.

use super::{Effect, NodeCore};
use crate::signalling::{CAUSE_CUT, CAUSE_NORMAL};
use lilacpitch::interface::{Nanos, ServerId};
use std::collections::{BTreeMap, VecDeque};

/// How long an ended call is kept. Callers notice the end of a front node and come back within seconds.
const RETENTION_NS: Nanos = 30_000_000_000;
/// Memory of one ended call, in bytes.
pub(super) const ENDED_CALL_BYTES: usize = 96;

/// How and where a call has ended.
#[derive(Debug, Clone, Copy)]
struct EndedCall {
    server: ServerId,
    /// Q.850 cause.
    cause: u16,
    until_ns: Nanos,
}

/// Ended calls by their id on the wire.
#[derive(Debug, Default)]
pub(super) struct EndedCalls {
    by_wire_id: BTreeMap<u64, EndedCall>,
    /// The same, and entries that were replaced, in the order of their expiry.
    by_expiry: VecDeque<(Nanos, u64)>,
}

impl EndedCalls {
    /// Returns the number of entries, including those that were replaced and are yet to expire.
    pub(super) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// Returns the cause with which a call has ended at a server.
    pub(super) fn cause(&self, wire_id: u64, server: ServerId) -> Option<u16> {
        self.by_wire_id.get(&wire_id).filter(|call| call.server == server).map(|call| call.cause)
    }

    /// Forgets a call whose id is used by another.
    pub(super) fn remove(&mut self, wire_id: u64) {
        self.by_wire_id.remove(&wire_id);
    }

    /// Forgets the calls that were kept for long enough.
    pub(super) fn expire(&mut self, now: Nanos) {
        while self.by_expiry.front().is_some_and(|(until_ns, _)| *until_ns <= now) {
            self.pop_oldest();
        }
    }

    fn insert(&mut self, wire_id: u64, call: EndedCall, limit: usize) {
        while self.by_expiry.len() >= limit.max(1) {
            self.pop_oldest();
        }
        self.by_wire_id.insert(wire_id, call);
        self.by_expiry.push_back((call.until_ns, wire_id));
    }

    fn pop_oldest(&mut self) {
        let Some((until_ns, wire_id)) = self.by_expiry.pop_front() else { return };
        if self.by_wire_id.get(&wire_id).is_some_and(|call| call.until_ns == until_ns) {
            self.by_wire_id.remove(&wire_id);
        }
    }
}

impl NodeCore {
    /// Keeps the end of a call.
    pub(super) fn record_ended_call(&mut self, wire_id: u64, server: ServerId, cause: u16) {
        let call = EndedCall { server, cause, until_ns: self.now + RETENTION_NS };
        let limit = self.max_ended_calls();
        self.ended_calls.insert(wire_id, call, limit);
    }

    /// Keeps the end of a call that a server reports and this node does not know, unless it can't be the end
    /// of an established call, or concerns an earlier attempt of a call that is known here.
    pub(super) fn record_unknown_end(&mut self, wire_id: u64, server: ServerId, cause: u16) {
        let is_release = matches!(cause, CAUSE_NORMAL | CAUSE_CUT);
        let is_known =
            self.calls_by_wire_id.contains_key(&wire_id) || self.retired_wire_ids.contains_key(&wire_id);
        if is_release && !is_known {
            self.record_ended_call(wire_id, server, cause);
        }
    }

    /// Releases a call that a caller reports as established, if it has ended. Returns whether it has.
    pub(super) fn release_ended_call(
        &mut self,
        caller: super::CallerId,
        wire_id: u64,
        server: ServerId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(cause) = self.ended_calls.cause(wire_id, server) else { return false };
        self.release_to_caller(caller, super::Release { wire_id, cause }, effects);
        true
    }
}
