//! Service at the limits: idle callers on all descriptors, and a start under a flood of requests.

use crate::process::Node;
use crate::standin::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

#[test]
fn reconnects_to_the_coordinator_with_idle_callers_on_all_descriptors() {
    let (first, second) = (Server::start(), Server::start());
    let listed = Coordinator::listing(&[&first, &second]);
    let known = listed.known();
    let events = known["updates"].as_array().unwrap().clone();
    // The coordinator is not running, and the endpoint list is known from the configuration.
    let address = lilacpitch_net::free_addresses(1).unwrap()[0];
    let replace_address = |text: String| text.replace(&listed.address.to_string(), &address.to_string());
    let node = Node::spawn_with_config(Coordinator::start(events.clone()), 96, |text| {
        let mut config: serde_json::Value = serde_json::from_str(&replace_address(text)).unwrap();
        config["coordinator"] = serde_json::json!(address.to_string());
        config.to_string()
    });
    node.wait_ready();
    // Half of the callers have sent a request, and the others nothing.
    let mut regular = node.caller();
    first.establish(&mut regular, 999);
    let mut idle = Vec::new();
    for n in 0..120u64 {
        let mut caller = node.caller();
        if n % 2 == 0 {
            caller.request("OPTIONS", &id(n));
        }
        idle.push(caller);
    }
    // The idle connection may have been evicted, so the caller uses a new one, as the protocol requires.
    let mut regular = node.caller();
    first.establish(&mut regular, 1_000);
    assert!(node.descriptors() <= 96, "{}", node.descriptors());
    // The coordinator starts, and reports that the first server drains.
    let coordinator = Coordinator::on_listener(TcpListener::bind(address).unwrap(), events);
    coordinator.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    let until = Instant::now() + TIMEOUT;
    while coordinator.poll_count() < 2 {
        assert!(Instant::now() < until, "the coordinator was not polled");
        std::thread::sleep(ms(10));
    }
    std::thread::sleep(ms(300));
    let mut late = node.caller();
    late.invite(&id(2_000), 0, 3_000);
    second.answer(&second.next("launch"), "at the second server");
    assert_eq!(late.next().unwrap().body, "at the second server");
    assert!(node.descriptors() <= 96, "{}", node.descriptors());
}

#[test]
fn starts_under_a_flood_of_adoptions_and_invalid_setups() {
    let server = Server::start();
    let coordinator = Coordinator::listing(&[&server]);
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let node = Node::spawn(coordinator, 256);
    let floods: Vec<_> = (0..30u64)
        .map(|flood| {
            let (stop, address) = (stop.clone(), node.address);
            std::thread::spawn(move || {
                let mut call = (flood + 1) << 32;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        std::thread::sleep(ms(1));
                        continue;
                    };
                    for _ in 0..40 {
                        call += 1;
                        // Adoptions and invalid set-ups in turn.
                        let path = if call.is_multiple_of(2) { "at:s0" } else { "dest:soon" };
                        if stream.write_all(&invite(&id(call), path, 3_000, BODY)).is_err() {
                            break;
                        }
                    }
                    std::thread::sleep(ms(5));
                }
            })
        })
        .collect();
    node.wait_ready();
    let startup_time = start.elapsed();
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 8_000);
    let launch = server.next("launch");
    server.answer(&launch, "there");
    let message = caller.next().unwrap();
    stop.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert_eq!(message.body, "there");
    assert!(startup_time < ms(5_000), "ready after {startup_time:?}");
    assert!(node.memory_mb() < 48, "{} MB", node.memory_mb());
}
