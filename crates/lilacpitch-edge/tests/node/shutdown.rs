//! Shutdown of the node while requests arrive and calls are open.

use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;
use std::time::Instant;

#[test]
fn answers_all_that_arrived_before_the_exit() {
    for sockets in [256, 64] {
        let server = Server::start();
        let mut node = Node::start_with_sockets(&[&server], sockets);
        // With 64 descriptors there is room for no more callers.
        let mut connected: Vec<_> = (0..19u64)
            .map(|n| {
                let mut caller = node.caller();
                server.establish(&mut caller, 1 + n);
                caller
            })
            .collect();
        let term_sent_at = Instant::now();
        node.signal(Signal::SIGTERM);
        std::thread::sleep(ms(500));
        // The process is suspended when it would exit, so these requests wait in its socket buffers and its
        // backlog.
        let mut new_callers = node.while_suspended(|| {
            connected.iter_mut().zip(100u64..).for_each(|(caller, call)| caller.invite(&id(call), 0, 3_000));
            let mut new_callers: Vec<_> = (0..12).map(|_| node.caller()).collect();
            new_callers
                .iter_mut()
                .zip(200u64..)
                .for_each(|(caller, call)| caller.invite(&id(call), 0, 3_000));
            while term_sent_at.elapsed() < ms(1_000) {
                std::thread::sleep(ms(10));
            }
            new_callers
        });
        let mut answered = 0;
        for caller in connected.iter().chain(&new_callers) {
            // Set-ups that were sent to the server before the exit are answered too.
            let message = caller.next();
            answered += usize::from(message.as_ref().and_then(SipMessage::status).is_some());
            assert!(message.is_some(), "{sockets} descriptors: closed without a response after {answered}");
        }
        new_callers.clear();
        connected.clear();
        assert_eq!(node.exit_code(ms(4_000)), Some(0));
        assert!(
            server.all_within(ms(10)).iter().all(|line| line.kind() != "stop"),
            "an established call was released"
        );
    }
}

#[test]
fn answers_open_calls_before_the_kill() {
    let server = Server::start();
    // Classes whose calls may be open for longer than the process may run after SIGTERM.
    let use_long_deadlines =
        |text: String| text.replace("4000000000", "9000000000").replace("1000000000", "8000000000");
    let mut node = Node::spawn_with_config(Coordinator::listing(&[&server]), 256, use_long_deadlines);
    node.wait_ready();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 9_000);
    let launch = server.next("launch");
    let term_sent_at = Instant::now();
    node.signal(Signal::SIGTERM);
    let received = caller.next().unwrap();
    assert!(
        received.status() >= Some(300) && term_sent_at.elapsed() < ms(3_700),
        "{received:?} after {:?}",
        term_sent_at.elapsed()
    );
    assert_eq!(node.exit_code(ms(2_000)), Some(0));
    assert!(term_sent_at.elapsed() < ms(3_700), "exited after the kill: {:?}", term_sent_at.elapsed());
    assert_eq!(caller.next(), None, "second message");
    // The set-up was in flight until then, and is cancelled at its server.
    assert_eq!(server.next("stop").uid(), launch.uid());
}

#[test]
fn handles_sighup_and_sigterm_at_once() {
    let (server, mut node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    let moved = Coordinator::start(node.coordinator.known()["updates"].as_array().unwrap().clone());
    node.move_coordinator(&moved);
    node.while_suspended(|| {
        node.signal(Signal::SIGHUP);
        node.signal(Signal::SIGTERM);
        caller.invite(&id(2), 0, 3_000);
    });
    server.answer(&server.next("launch"), "late");
    assert_eq!(caller.next().unwrap().body, "late");
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    assert!(moved.poll_count() > 0, "the new coordinator was not polled");
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
    // The node has unread input when it closes the connection.
    std::io::Write::write_all(&mut slow, b"\r\n\r\nOPTI").unwrap();
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    let mut message = Vec::new();
    std::io::Read::read_to_end(&mut slow, &mut message).expect("not reset");
    let text = String::from_utf8(message).unwrap();
    assert!(text.starts_with("SIP/2.0 200") && text.matches('x').count() >= 14_000, "{} bytes", text.len());
}
