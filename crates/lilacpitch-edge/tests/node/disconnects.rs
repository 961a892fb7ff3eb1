//! Callers that close their connection or cancel: nothing more is started for them, even for requests that
//! arrived before.

use crate::process::Node;
use crate::standin::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

#[test]
fn setup_read_with_its_callers_close_is_not_sent() {
    let (server, node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    let mut leaving = node.caller();
    node.while_suspended(|| {
        leaving.invite(&id(2), 0, 3_000);
        leaving.close();
    });
    // This call shows that the set-up before was read.
    server.establish(&mut caller, 3);
    assert!(server.all_within(ms(300)).iter().all(|line| line.uid() != id(2)), "the set-up was sent");
}

#[test]
fn release_read_with_its_callers_close_ends_the_call() {
    let (server, node, mut caller) = Node::with_one_server();
    let established = server.establish(&mut caller, 1);
    let mut other = node.caller();
    node.while_suspended(|| {
        other.request("BYE", &id(1));
        other.close();
    });
    let released = server.next("stop");
    assert_eq!((released.uid(), established.uid()), (id(1), id(1)));
}

#[test]
fn setup_read_with_its_cancel_is_not_sent() {
    let (server, node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    node.while_suspended(|| {
        caller.invite(&id(2), 0, 3_000);
        caller.invite(&id(3), 0, 3_000);
        caller.request("CANCEL", &id(2));
    });
    let launch = server.next("launch");
    assert_eq!(launch.uid(), id(3));
    server.answer(&launch, "there");
    let received = caller.all_within(ms(300));
    let statuses = |call| {
        received
            .iter()
            .filter(|message| message.call() == id(call))
            .filter_map(|message| message.status())
            .collect::<Vec<_>>()
    };
    // The set-up was removed with its CANCEL, which therefore matches no call.
    assert_eq!((statuses(2), statuses(3)), (vec![481], vec![200]));
    assert!(server.all_within(ms(100)).iter().all(|line| line.uid() != id(2)));
}

#[test]
fn calls_of_a_closed_connection_do_not_replace_each_other() {
    // One call uses all the capacity of its server, and the others wait for it.
    let (server, node, mut regular) = Node::with_one_server();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    let first = server.next("launch");
    (2..40).for_each(|call| caller.invite(&id(call), 0, 3_000));
    let mut sent: Vec<_> = server.all_within(ms(200)).iter().map(ServerLine::uid).collect();
    sent.push(first.uid());
    caller.close();
    for line in server.all_within(ms(700)) {
        assert!(
            line.kind() != "launch" || sent.contains(&line.uid()),
            "set-up sent after its caller disconnected: {line:?}"
        );
    }
    // The controller counts no attempts at the server any more, so calls are served there one after the
    // other.
    (100..110).for_each(|call| _ = server.establish(&mut regular, call));
    assert!(node.log().is_empty(), "{}", node.log());
}

#[test]
fn handles_a_disconnect_within_100_ms_under_a_flood() {
    let (server, node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    let stop = Arc::new(AtomicBool::new(false));
    let floods: Vec<_> = (0..40u64)
        .map(|flood| {
            let (stop, address) = (stop.clone(), node.address);
            std::thread::spawn(move || {
                let mut call = (flood + 1) << 32;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let reader = stream.try_clone().unwrap();
                    std::thread::spawn(move || std::io::copy(&mut &reader, &mut std::io::sink()));
                    for _ in 0..50 {
                        let mut requests = Vec::new();
                        for _ in 0..40 {
                            call += 1;
                            // Invalid set-ups, which load the front but not the server.
                            requests.extend(invite(&id(call), "dest:soon", 3_000, BODY));
                        }
                        if stop.load(Ordering::Relaxed) || stream.write_all(&requests).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
            })
        })
        .collect();
    let mut delays: Vec<_> = (0..15u64)
        .map(|round| {
            let mut leaving = node.caller();
            leaving.invite(&id(100 + round), 0, 3_000);
            let launch = server.next("launch");
            let left_at = Instant::now();
            if round % 2 == 0 {
                leaving.close();
            } else {
                leaving.request("CANCEL", &id(100 + round));
            }
            let cancelled = server.next("stop");
            assert_eq!(cancelled.uid(), launch.uid());
            cancelled.at.saturating_duration_since(left_at)
        })
        .collect();
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    delays.sort();
    assert!(delays[7] < ms(100), "median over 100 ms: {delays:?}");
}

/// Guards against set-ups that are sent on for callers that have closed their connections with much still unread.
#[test]
fn setups_that_are_unread_when_their_callers_leave_are_not_sent() {
    const CALLS: u64 = 100;
    let (server, node, mut caller) = Node::with_one_server();
    // The module sends a server that it doesn't know few set-ups at a time.
    (10_000..10_200).for_each(|call| _ = server.establish(&mut caller, call));
    let mut leaving: Vec<_> = (0..4).map(|_| node.caller()).collect();
    node.while_suspended(|| {
        std::thread::sleep(ms(50));
        for (first, caller) in (0..).step_by(CALLS as usize).zip(&mut leaving) {
            (first..first + CALLS).for_each(|call| caller.invite(&id(call), 0, 3_000));
        }
        leaving.into_iter().for_each(Caller::close);
        // Small segments may exceed the receive buffer, so that the close arrives with a retransmission.
        std::thread::sleep(ms(400));
    });
    let sent = server.all_within(ms(800));
    assert!(sent.iter().all(|line| line.kind() != "launch"), "{} lines were sent", sent.len());
    server.establish(&mut caller, 20_000);
}
