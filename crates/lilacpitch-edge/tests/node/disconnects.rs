//! A caller that closes or cancels has gone: nothing begins for it any more, whatever waits before its departure.

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
    node.while_stopped(|| {
        leaving.invite(&id(2), 0, 3_000);
        leaving.close();
    });
    // The next one shows that the former was read.
    server.establish(&mut caller, 3);
    assert!(server.all_within(ms(300)).iter().all(|line| line.uid() != id(2)), "nothing was sent for it");
}

#[test]
fn release_read_with_its_callers_close_ends_the_call() {
    let (server, node, mut caller) = Node::with_one_server();
    let establish = server.establish(&mut caller, 1);
    let mut other = node.caller();
    node.while_stopped(|| {
        other.request("BYE", &id(1));
        other.close();
    });
    let released = server.next("stop");
    assert_eq!((released.uid(), establish.uid()), (id(1), id(1)));
}

#[test]
fn setup_read_with_its_cancel_is_not_sent() {
    let (server, node, mut caller) = Node::with_one_server();
    server.establish(&mut caller, 1);
    node.while_stopped(|| {
        caller.invite(&id(2), 0, 3_000);
        caller.invite(&id(3), 0, 3_000);
        caller.request("CANCEL", &id(2));
    });
    let launch = server.next("launch");
    assert_eq!(launch.uid(), id(3));
    server.answer(&launch, "there");
    let received = caller.all_within(ms(300));
    let of = |call| {
        received
            .iter()
            .filter(|message| message.call() == id(call))
            .filter_map(|s| s.status())
            .collect::<Vec<_>>()
    };
    assert_eq!((of(2), of(3)), (vec![481], vec![200]), "the cancel finds no call");
    assert!(server.all_within(ms(100)).iter().all(|line| line.uid() != id(2)));
}

#[test]
fn calls_of_a_closed_connection_do_not_replace_each_other() {
    // One takes all that its server has room for, the others wait for it.
    let (server, node, mut regular) = Node::with_one_server();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    let out = server.next("launch");
    (2..40).for_each(|call| caller.invite(&id(call), 0, 3_000));
    let mut begun: Vec<_> = server.all_within(ms(200)).iter().map(ServerLine::uid).collect();
    begun.push(out.uid());
    caller.close();
    for line in server.all_within(ms(700)) {
        assert!(
            line.kind() != "launch" || begun.contains(&line.uid()),
            "begun after its caller left: {line:?}"
        );
    }
    // The module's count of that server has come back: one call after the other is served there.
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
                        let mut many = Vec::new();
                        for _ in 0..40 {
                            call += 1;
                            // Nothing that a server may get: it is the front that is flooded.
                            many.extend(invite(&id(call), "dest:soon", 3_000, BODY));
                        }
                        if stop.load(Ordering::Relaxed) || stream.write_all(&many).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
            })
        })
        .collect();
    let mut took: Vec<_> = (0..15u64)
        .map(|round| {
            let mut leaving = node.caller();
            leaving.invite(&id(100 + round), 0, 3_000);
            let launch = server.next("launch");
            let left = Instant::now();
            if round % 2 == 0 {
                leaving.close();
            } else {
                leaving.request("CANCEL", &id(100 + round));
            }
            let cancelled = server.next("stop");
            assert_eq!(cancelled.uid(), launch.uid());
            cancelled.at.saturating_duration_since(left)
        })
        .collect();
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    took.sort();
    assert!(took[7] < ms(100), "half of the departures took longer: {took:?}");
}
