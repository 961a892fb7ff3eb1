//! Division of file descriptors and memory among the kinds of connections.

use lilacpitch_node::config::Limits;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn descriptor_shares_never_exceed_the_limit(sockets in 0usize.., memory_mb in 0u64..) {
        let budget = Limits { sockets, memory_mb: Some(memory_mb) }.budget();
        // The remaining descriptors are for the listener, the coordinator and the runtime.
        let used = budget.callers as u128 + budget.draining as u128 + budget.upstreams as u128;
        prop_assert!(used <= sockets as u128);
        prop_assert!(sockets < 64 || used + 32 <= sockets as u128);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn memory_shares_leave_an_eighth_of_the_limit(sockets in 64usize..100_000, memory_mb in 8u64..100_000) {
        let budget = Limits { sockets, memory_mb: Some(memory_mb) }.budget();
        // A connection holds a partial message of up to 16 KiB, and an event a whole one.
        let connections = (budget.callers + budget.upstreams) * 24 * 1024;
        let queued = budget.caller_output_bytes + budget.server_output_bytes + budget.queued_events * 20 * 1024;
        let draining = budget.draining * 8 * 1024;
        let total = (connections + queued + budget.call_bytes + draining) as u64;
        prop_assert!(total <= memory_mb * 1024 * 1024 / 8 * 7, "{total} {budget:?}");
    }
}

#[test]
fn callers_get_a_third_of_the_descriptors_at_the_platforms_limits() {
    // By the platform's protocol page, callers use at most a third of the descriptor limit. The memory limits
    // are those of its deployment page.
    for (sockets, memory_mb) in [(256, 32), (512, 48), (576, 56), (1024, 32), (1024, 192)] {
        let budget = Limits { sockets, memory_mb: Some(memory_mb) }.budget();
        assert!(budget.callers >= sockets / 3, "{sockets} {memory_mb}: {budget:?}");
        assert!(budget.upstreams >= 32, "{budget:?}");
    }
}
