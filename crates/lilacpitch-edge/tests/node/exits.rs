//! The end of the process crosses what arrives, and what is still open.

use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;
use std::time::Instant;

#[test]
fn all_that_arrived_before_the_node_left_has_its_answer() {
    for sockets in [256, 64] {
        let server = Server::start();
        let mut node = Node::with(&[&server], sockets);
        // At 64 descriptors these are all that there is room for.
        let mut open: Vec<_> = (0..19u64)
            .map(|n| {
                let mut caller = node.caller();
                server.stands(&mut caller, 1 + n);
                caller
            })
            .collect();
        let term = Instant::now();
        node.signal(Signal::SIGTERM);
        std::thread::sleep(ms(500));
        // It stands still over the moment in which it would leave: all this lies in its buffers and its backlog.
        let mut new = node.stalled(|| {
            open.iter_mut().zip(100u64..).for_each(|(caller, call)| caller.invite(&id(call), 0, 3_000));
            let mut new: Vec<_> = (0..12).map(|_| node.caller()).collect();
            new.iter_mut().zip(200u64..).for_each(|(caller, call)| caller.invite(&id(call), 0, 3_000));
            while term.elapsed() < ms(1_000) {
                std::thread::sleep(ms(10));
            }
            new
        });
        let mut answered = 0;
        for caller in open.iter().chain(&new) {
            // Those that its server was given before the end are answered too.
            let said = caller.next();
            answered += usize::from(said.as_ref().and_then(Said::status).is_some());
            assert!(said.is_some(), "{sockets} descriptors: closed without an answer after {answered}");
        }
        new.clear();
        open.clear();
        assert_eq!(node.exit_code(ms(4_000)), Some(0));
        assert!(server.all_within(ms(10)).iter().all(|line| line.kind() != "stop"), "what stands is not cut");
    }
}

#[test]
fn what_is_open_near_the_kill_is_answered_before_it() {
    let server = Server::start();
    // Classes whose calls may be open for far longer than the process runs.
    let long = |text: String| text.replace("4000000000", "9000000000").replace("1000000000", "8000000000");
    let mut node = Node::configured(Coordinator::listing(&[&server]), 256, long);
    node.wait_ready();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 9_000);
    let launch = server.next("launch");
    let term = Instant::now();
    node.signal(Signal::SIGTERM);
    let heard = caller.next().unwrap();
    assert!(
        heard.status() >= Some(300) && term.elapsed() < ms(3_700),
        "{heard:?} after {:?}",
        term.elapsed()
    );
    assert_eq!(node.exit_code(ms(2_000)), Some(0));
    assert!(term.elapsed() < ms(3_700), "before the kill: {:?}", term.elapsed());
    assert_eq!(caller.next(), None, "one final answer");
    // Its server was told that the set-up is given up, if it was out to the end.
    assert_eq!(server.next("stop").uid(), launch.uid());
}

#[test]
fn hup_and_term_together_move_and_leave() {
    let (server, mut node, mut caller) = Node::with_one_server();
    server.stands(&mut caller, 1);
    let moved = Coordinator::start(node.coordinator.known()["updates"].as_array().unwrap().clone());
    node.move_to(&moved);
    node.stalled(|| {
        node.signal(Signal::SIGHUP);
        node.signal(Signal::SIGTERM);
        caller.invite(&id(2), 0, 3_000);
    });
    server.answer(&server.next("launch"), "late");
    assert_eq!(caller.next().unwrap().body, "late");
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    assert!(moved.asks() > 0, "it asked where the file says");
}

#[test]
fn a_reader_who_is_slow_at_the_end_gets_all_that_was_said() {
    let (server, mut node, mut usual) = Node::with_one_server();
    server.stands(&mut usual, 1);
    let mut slow = std::net::TcpStream::connect(node.address).unwrap();
    std::io::Write::write_all(&mut slow, &invite(&id(2), "dest:0", 3_000, BODY)).unwrap();
    let launch = server.next("launch");
    node.signal(Signal::SIGTERM);
    server.answer(&launch, &"x".repeat(14_000));
    // More from it lies unread when its connection is closed.
    std::io::Write::write_all(&mut slow, b"\r\n\r\nOPTI").unwrap();
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    let mut said = Vec::new();
    std::io::Read::read_to_end(&mut slow, &mut said).expect("not reset");
    let text = String::from_utf8(said).unwrap();
    assert!(text.starts_with("SIP/2.0 200") && text.matches('x').count() >= 14_000, "{} bytes", text.len());
}
