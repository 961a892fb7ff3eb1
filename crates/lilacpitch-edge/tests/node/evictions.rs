//! A connection is closed to make room in the instant in which a set-up comes on it.

use crate::process::Node;
use crate::standin::*;

#[test]
fn answers_setup_that_crosses_an_eviction() {
    let server = Server::start();
    let node = Node::with(&[&server], 64);
    // All that there is room for; each has asked, and is idle.
    let mut kept: std::collections::VecDeque<_> = (0..21u64)
        .map(|n| {
            let mut caller = node.caller();
            server.establish(&mut caller, 1 + n);
            caller
        })
        .collect();
    let mut crossed = 0;
    // The one that is idle for longest of those that are still there, each time.
    while let Some(mut oldest) = kept.pop_front() {
        if oldest.is_closed() {
            continue;
        }
        crossed += 1;
        let more: Vec<_> = node.while_stopped(|| {
            let more = (0..3).map(|_| node.caller()).collect();
            oldest.invite(&id(100 + crossed), 0, 3_000);
            more
        });
        server.answer(&server.next("launch"), "there");
        assert_eq!(oldest.next().map(|message| message.body), Some("there".into()), "the {crossed}th");
        drop(more);
    }
    assert!(crossed >= 3, "{crossed} were crossed");
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

#[test]
fn still_evicts_after_many_crossed_evictions() {
    let server = Server::start();
    let node = Node::with(&[&server], 64);
    // Each asks again all the time, so that each that is to go may say something in that moment.
    let mut busy: Vec<_> = (0..21).map(|_| node.caller()).collect();
    for round in 0..60u64 {
        node.while_stopped(|| {
            busy.iter_mut().for_each(|caller| caller.request("OPTIONS", &id(1_000 + round)));
            busy.push(node.caller());
        });
        let mut late = node.caller();
        late.request("OPTIONS", &id(2_000 + round));
        assert_eq!(
            late.next().and_then(|message| message.status()),
            Some(200),
            "round {round}: nobody goes any more"
        );
        busy.retain(|caller| caller.all_within(ms(1)).len() < 100 && !caller.is_closed());
    }
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

#[test]
fn closes_evicted_connections_in_order_and_serves_the_next() {
    let server = Server::start();
    let node = Node::with(&[&server], 64);
    for call in 1..=60u64 {
        let mut caller = node.caller();
        server.establish(&mut caller, call);
        // Its answer is read; bytes that are no message yet are written when it may have been closed.
        caller.send(b"INV");
        std::mem::forget(caller);
    }
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}
