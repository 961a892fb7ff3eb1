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
    // The one that is idle for longest of those that are still there, each time.
    while let Some(mut oldest) = kept.pop_front() {
        if oldest.has_ended() {
            continue;
        }
        crossed += 1;
        let more: Vec<_> = node.stalled(|| {
            let more = (0..3).map(|_| node.caller()).collect();
            oldest.invite(&id(100 + crossed), 0, 3_000);
            more
        });
        server.answer(&server.next("launch"), "there");
        assert_eq!(oldest.next().map(|said| said.body), Some("there".into()), "the {crossed}th");
        drop(more);
    }
    assert!(crossed >= 3, "{crossed} were crossed");
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

#[test]
fn evictions_go_on_after_many_that_were_crossed() {
    let server = Server::start();
    let node = Node::with(&[&server], 64);
    // Each asks again all the time, so that each that is to go may say something in that moment.
    let mut busy: Vec<_> = (0..21).map(|_| node.caller()).collect();
    for round in 0..60u64 {
        node.stalled(|| {
            busy.iter_mut().for_each(|caller| caller.request("OPTIONS", &id(1_000 + round)));
            busy.push(node.caller());
        });
        let mut late = node.caller();
        late.request("OPTIONS", &id(2_000 + round));
        assert_eq!(
            late.next().and_then(|said| said.status()),
            Some(200),
            "round {round}: nobody goes any more"
        );
        busy.retain(|caller| caller.all_within(ms(1)).len() < 100 && !caller.has_ended());
    }
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
