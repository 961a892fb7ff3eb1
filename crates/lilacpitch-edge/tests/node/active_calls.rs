//! Established calls outlive the connections of their set-up, and calls that another front has established
//! are adopted.

use crate::process::Node;
use crate::standin::*;
use serde_json::json;

/// Establishes a call of a new caller. Returns the caller, and the server's connection.
fn establish(server: &Server, node: &Node, call: u64) -> (Caller, usize) {
    let mut caller = node.caller();
    let launch = server.establish(&mut caller, call);
    (caller, launch.connection)
}

#[test]
fn sends_releases_on_other_connections_when_the_setups_own_are_closed() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (first, connection) = establish(&server, &node, 1);
    let (second, _) = establish(&server, &node, 2);
    let (mut third, _) = establish(&server, &node, 3);
    drop(first.stream.shutdown(std::net::Shutdown::Both));
    server.reset(connection);
    assert_eq!(server.next_within("stop", ms(300)).map(|line| line.uid()), None, "a call was released");
    // The server's release arrives on a new connection, and is sent on another caller's connection.
    third.invite(&id(4), 0, 3_000);
    let launch = server.next("launch");
    server.answer(&launch, "there");
    server.stop(launch.connection, &id(1), 16, json!({}));
    let received = [third.all_within(ms(500)), second.all_within(ms(100))].concat();
    assert_eq!(
        received.iter().filter(|message| message.is_bye() && message.call() == id(1)).count(),
        1,
        "{received:?}"
    );
    // A caller's release arrives on another caller's connection.
    third.request("BYE", &id(2));
    assert_eq!(third.next().unwrap().status(), Some(200));
    let stop = server.next("stop");
    assert_eq!((stop.uid(), stop.value.unwrap()["reason"].clone()), (id(2), json!(16)));
    third.request("BYE", &id(2));
    assert_eq!(third.next().unwrap().status(), Some(481), "released twice");
}

#[test]
fn sends_undeliverable_release_on_the_next_connection() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (caller, connection) = establish(&server, &node, 1);
    drop(caller.stream.shutdown(std::net::Shutdown::Both));
    std::thread::sleep(ms(200));
    server.stop(connection, &id(1), 16, json!({}));
    std::thread::sleep(ms(200));
    let mut next = node.caller();
    next.invite(&id(2), 0, 3_000);
    let message = next.next().unwrap();
    assert!(message.is_bye() && message.call() == id(1), "{message:?}");
}

#[test]
fn adopts_established_call_without_a_response() {
    let (server, _node, mut caller) = Node::with_one_server();
    for _ in 0..2 {
        caller.send(&invite(&id(9), "dest:0;width:1;via:-1;at:s0", 3_000, BODY));
    }
    assert_eq!(caller.next_within(ms(300)), None, "an adopted call got a response");
    // The node opens a connection to the server of an adopted call, on which the server reports its end.
    caller.invite(&id(10), 0, 3_000);
    let launch = server.next("launch");
    assert_eq!(launch.uid(), id(10), "an adopted call was set up");
    server.stop(launch.connection, &id(9), 16, json!({}));
    let message = caller.next().unwrap();
    assert!(message.is_bye() && message.call() == id(9), "{message:?}");
    // Adopting an open call has no effect.
    caller.send(&invite(&id(10), "at:s0", 3_000, BODY));
    server.answer(&launch, "there");
    assert_eq!(caller.next().unwrap().body, "there");
    // An adopted call that its caller releases is released at the server that the caller has named.
    caller.send(&invite(&id(11), "at:s0", 3_000, BODY));
    caller.request("BYE", &id(11));
    assert_eq!(server.next("stop").uid(), id(11));
    // A call at an unknown server is over.
    caller.send(&invite(&id(12), "at:s-unknown", 3_000, BODY));
    let received = caller.all_within(ms(500));
    assert!(received.iter().any(|message| message.is_bye() && message.call() == id(12)), "{received:?}");
}

#[test]
fn releases_calls_of_a_killed_server() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (caller, _) = establish(&server, &node, 1);
    server.kill();
    let bye = caller.next().unwrap();
    assert!(bye.is_bye() && bye.call() == id(1), "{bye:?}");
    assert_eq!(bye.fields["reason"], "Q.850;cause=41");
}

#[test]
fn cancel_that_crosses_the_answer_releases_the_call() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (mut caller, _) = establish(&server, &node, 1);
    caller.request("CANCEL", &id(1));
    assert_eq!(server.next("stop").uid(), id(1));
}
