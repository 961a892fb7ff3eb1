//! The periodic log line of counters. Operators' tools read it by its keys.

use crate::core::NodeCore;
use std::collections::BTreeMap;

/// Logs the counters of the core, and of malformed messages by kind. The keys must not change: the operators'
/// page documents them.
pub(super) fn log_counters(core: &NodeCore, malformed: &BTreeMap<&'static str, u64>) {
    let calls = core.call_counts();
    let connections = core.connection_counts();
    let counters = core.counters();
    tracing::info!(
        open = calls.open,
        standing = calls.established,
        callers = connections.callers,
        links = connections.upstreams,
        c.taken = counters.accepted,
        c.sends = counters.attempts,
        c.stood = counters.succeeded,
        c.refused = counters.rejected,
        c.failed = counters.failed,
        c.gone = counters.cancelled,
        c.adopted = counters.adopted,
        c.not_adopted = counters.not_adopted,
        c.disconnected = counters.disconnected_callers,
        c.strays = counters.unmatched,
        c.links_lost = counters.upstreams_lost,
        c.links_mute = counters.upstreams_unresponsive,
        c.orphans = counters.orphaned,
        outcomes = ?counters.outcomes,
        bad = ?counters.rejected_messages,
        malformed = ?malformed,
        "counters"
    );
}
