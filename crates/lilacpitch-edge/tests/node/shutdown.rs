//! The end of the process crosses what arrives, and what is still open.

use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;
use std::time::Instant;

#[test]
fn answers_all_that_arrived_before_the_exit() {
    for sockets in [256, 64] {
        let server = Server::start();
        let mut node = Node::with(&[&server], sockets);
        // At 64 descriptors these are all that there is room for.
        let mut open: Vec<_> = (0..19u64)
            .map(|n| {
                let mut caller = node.caller();
                server.establish(&mut caller, 1 + n);
                caller
            })
            .collect();
        let term = Instant::now();
        node.signal(Signal::SIGTERM);
        std::thread::sleep(ms(500));
        // It stands still over the moment in which it would leave: all this lies in its buffers and its backlog.
        let mut new = node.while_stopped(|| {
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
            let message = caller.next();
            answered += usize::from(message.as_ref().and_then(SipMessage::status).is_some());
            assert!(message.is_some(), "{sockets} descriptors: closed without an answer after {answered}");
        }
        new.clear();
        open.clear();
        assert_eq!(node.exit_code(ms(4_000)), Some(0));
        assert!(server.all_within(ms(10)).iter().all(|line| line.kind() != "stop"), "what stands is not cut");
    }
}

#[test]
fn answers_open_calls_before_the_kill() {
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
    let received = caller.next().unwrap();
    assert!(
        received.status() >= Some(300) && term.elapsed() < ms(3_700),
        "{received:?} after {:?}",
        term.elapsed()
    );
    assert_eq!(node.exit_code(ms(2_000)), Some(0));
    assert!(term.elapsed() < ms(3_700), "before the kill: {:?}", term.elapsed());
    assert_eq!(caller.next(), None, "one final answer");
    // Its server was told that the set-up is given up, if it was out to the end.
    assert_eq!(server.next("stop").uid(), launch.uid());
}

#[test]
fn handles_hup_and_term_together() {
    let (server, mut node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    let moved = Coordinator::start(node.coordinator.known()["updates"].as_array().unwrap().clone());
    node.move_coordinator(&moved);
    node.while_stopped(|| {
        node.signal(Signal::SIGHUP);
        node.signal(Signal::SIGTERM);
        caller.invite(&id(2), 0, 3_000);
    });
    server.answer(&server.next("launch"), "late");
    assert_eq!(caller.next().unwrap().body, "late");
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    assert!(moved.poll_count() > 0, "it asked where the file says");
}

#[test]
fn slow_reader_gets_all_output_before_the_exit() {
    let (server, mut node, mut regular) = Node::with_one_server();
    server.establish(&mut regular, 1);
    let mut slow = std::net::TcpStream::connect(node.address).unwrap();
    std::io::Write::write_all(&mut slow, &invite(&id(2), "dest:0", 3_000, BODY)).unwrap();
    let launch = server.next("launch");
    node.signal(Signal::SIGTERM);
    server.answer(&launch, &"x".repeat(14_000));
    // More from it lies unread when its connection is closed.
    std::io::Write::write_all(&mut slow, b"\r\n\r\nOPTI").unwrap();
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    let mut message = Vec::new();
    std::io::Read::read_to_end(&mut slow, &mut message).expect("not reset");
    let text = String::from_utf8(message).unwrap();
    assert!(text.starts_with("SIP/2.0 200") && text.matches('x').count() >= 14_000, "{} bytes", text.len());
}
