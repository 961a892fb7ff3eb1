//! A connection is closed to make room in the instant in which a set-up comes on it.

use crate::process::Node;
use crate::standin::*;

#[test]
fn a_set_up_that_crosses_the_eviction_of_its_connection_is_answered() {
    let server = Server::start();
    let node = Node::with(&[&server], 64);
    // All that there is room for; each has asked, and is idle.
    let mut kept: std::collections::VecDeque<_> = (0..21u64)
        .map(|n| {
            let mut caller = node.caller();
            server.stands(&mut caller, 1 + n);
            caller
        })
        .collect();
    let mut crossed = 0;
    for round in 0..8u64 {
        // The one that is idle for longest of those that are still there.
        let Some(mut oldest) = kept.pop_front() else { break };
        if oldest.has_ended() {
            continue;
        }
        let more: Vec<_> = node.stalled(|| {
            let more = (0..3).map(|_| node.caller()).collect();
            oldest.invite(&id(100 + round), 0, 3_000);
            more
        });
        let Some(launch) = server.within("launch", ms(700)) else {
            // It was closed before: a close that the set-up crossed by less than it takes to be seen.
            assert_eq!(oldest.next(), None, "closed in order");
            continue;
        };
        crossed += 1;
        server.answer(&launch, "there");
        assert_eq!(oldest.next().map(|said| said.body), Some("there".into()), "round {round}");
        drop(more);
    }
    assert!(crossed >= 4, "{crossed} of 8 were taken");
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

#[test]
fn an_evicted_connection_is_closed_in_order_and_the_next_one_served() {
    let server = Server::start();
    let node = Node::with(&[&server], 64);
    for call in 1..=60u64 {
        let mut caller = node.caller();
        server.stands(&mut caller, call);
        // Its answer is read; bytes that are no message yet are written when it may have been closed.
        caller.send(b"INV");
        std::mem::forget(caller);
    }
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}
