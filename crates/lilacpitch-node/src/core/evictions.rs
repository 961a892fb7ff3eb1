//! Evictions: which caller is disconnected when slots for callers are short.

use super::records::Caller;
use super::timers::Timer;
use super::{CallerId, Effect, NodeCore};
use lilacpitch::interface::Nanos;

/// A caller that connects to set up a call sends its first request within this time, and is not evicted before.
const FIRST_REQUEST_NS: Nanos = 100_000_000;
/// Upper limit of that time for each connected caller, so that a node with few slots still accepts 2,000 callers
/// a second.
const FIRST_REQUEST_PER_CALLER_NS: Nanos = 500_000;
/// A caller that has set up a call within this time is in use, and evicted last.
const IN_USE_NS: Nanos = 1_000_000_000;

/// In which order callers are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// It has set up no call, and its last request was invalid.
    Invalid,
    /// It has set up no call in time after connecting.
    Silent,
    /// It has set up calls, but none shortly before.
    Idle,
    /// It may yet send its first request, until this time.
    New(Nanos),
    /// It has set up a call shortly before.
    InUse,
}

impl NodeCore {
    /// Evicts a caller without an open call, in the order of [`EvictionClass`] and in each class the one that has
    /// been inactive for the longest time; never the newest. While there are new callers and only they or those
    /// in use could be evicted, no one is, and a timer is set for the first of them.
    pub(super) fn evict_idle_caller(&mut self, effects: &mut Vec<Effect>) {
        let first_request_ns =
            FIRST_REQUEST_NS.min(self.callers.len() as Nanos * FIRST_REQUEST_PER_CALLER_NS);
        let newest = self.callers.last_key_value().map(|(id, _)| *id);
        let is_candidate = |id: CallerId, caller: &Caller| is_evictable(caller) && Some(id) != newest;
        let candidates = self.callers.iter().filter(|(id, caller)| is_candidate(**id, caller));
        let classified =
            candidates.map(|(id, caller)| (self.eviction_class(caller, first_request_ns), caller, *id));
        let next = classified.min_by_key(|(class, caller, id)| (*class, caller.last_active_ns, *id));
        match next.map(|(class, _, id)| (class, id)) {
            Some((EvictionClass::Invalid, id)) => self.disconnect_caller(id, effects),
            Some((EvictionClass::New(until_ns), _)) => self.timers.set(Timer::Eviction, until_ns),
            Some((_, id)) => {
                self.callers.entry(id).and_modify(|caller| caller.is_evicting = true);
                effects.push(Effect::EvictCaller(id));
            }
            None => {}
        }
    }

    fn eviction_class(&self, caller: &Caller, first_request_ns: Nanos) -> EvictionClass {
        let is_in_use = self.now.saturating_sub(caller.last_setup_ns) < IN_USE_NS;
        let first_request_due = caller.connected_ns + first_request_ns;
        match caller.is_verified {
            true if is_in_use => EvictionClass::InUse,
            true => EvictionClass::Idle,
            false if caller.invalid_requests > 0 => EvictionClass::Invalid,
            false if self.now > first_request_due => EvictionClass::Silent,
            false => EvictionClass::New(first_request_due + 1),
        }
    }

    pub(super) fn handle_eviction_declined(&mut self, id: CallerId) {
        let now = self.now;
        self.callers
            .entry(id)
            .and_modify(|caller| (caller.is_evicting, caller.last_active_ns) = (false, now));
    }
}

/// Whether a caller can be evicted: it has no open call, and it is not being evicted or closed.
fn is_evictable(caller: &Caller) -> bool {
    caller.open_calls.is_empty() && !caller.is_evicting && !caller.is_disconnected
}
