//! Evictions of idle callers while requests arrive from them.

use crate::process::Node;
use crate::standin::*;
use std::time::Instant;

#[test]
fn answers_setup_that_crosses_an_eviction() {
    let server = Server::start();
    let node = Node::start_with_sockets(&[&server], 64);
    // With 64 descriptors there is room for no more callers. Each has set up a call, and is idle.
    let mut idle: std::collections::VecDeque<_> = (0..21u64)
        .map(|n| {
            let mut caller = node.caller();
            server.establish(&mut caller, 1 + n);
            caller
        })
        .collect();
    let mut crossed = 0;
    // Each time, the next one to be evicted is the connected caller that has been idle for the longest time.
    while let Some(mut oldest) = idle.pop_front() {
        if oldest.is_closed() {
            continue;
        }
        crossed += 1;
        let new_callers: Vec<_> = node.while_suspended(|| {
            let new_callers = (0..3).map(|_| node.caller()).collect();
            oldest.invite(&id(100 + crossed), 0, 3_000);
            new_callers
        });
        server.answer(&server.next("launch"), "there");
        assert_eq!(oldest.next().map(|message| message.body), Some("there".into()), "eviction {crossed}");
        drop(new_callers);
        // An eviction of this round that is still in progress may be of the next caller, before it sends.
        wait_for_stable_descriptors(&node);
    }
    assert!(crossed >= 3, "only {crossed} evictions");
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

/// Waits until the node has neither opened nor closed a connection for some time.
fn wait_for_stable_descriptors(node: &Node) {
    let (mut count, mut stable_since) = (node.descriptors(), Instant::now());
    let until = Instant::now() + TIMEOUT;
    while stable_since.elapsed() < ms(60) {
        assert!(Instant::now() < until, "connections are still opened or closed");
        std::thread::sleep(ms(5));
        let now = node.descriptors();
        if now != count {
            (count, stable_since) = (now, Instant::now());
        }
    }
}

#[test]
fn still_evicts_after_many_crossed_evictions() {
    let server = Server::start();
    let node = Node::start_with_sockets(&[&server], 64);
    // Each sends a request in every round, so that a request arrives from every caller that is being evicted.
    let mut busy: Vec<_> = (0..21).map(|_| node.caller()).collect();
    for round in 0..60u64 {
        node.while_suspended(|| {
            busy.iter_mut().for_each(|caller| caller.request("OPTIONS", &id(1_000 + round)));
            busy.push(node.caller());
        });
        let mut late = node.caller();
        late.request("OPTIONS", &id(2_000 + round));
        assert_eq!(
            late.next().and_then(|message| message.status()),
            Some(200),
            "round {round}: no caller is evicted"
        );
        busy.retain(|caller| caller.all_within(ms(1)).len() < 100 && !caller.is_closed());
    }
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}

#[test]
fn closes_evicted_connections_gracefully_and_serves_new_callers() {
    let server = Server::start();
    let node = Node::start_with_sockets(&[&server], 64);
    for call in 1..=60u64 {
        let mut caller = node.caller();
        server.establish(&mut caller, call);
        // A partial message, sent when the connection may already be closed.
        caller.send(b"INV");
        std::mem::forget(caller);
    }
    assert!(node.descriptors() <= 64, "{}", node.descriptors());
}
