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

/// Guards against calls that stay unreleased for good after a restart: a server sends the release of a call that
/// ended meanwhile on the next connection, before the call's caller has come back and named it.
#[test]
fn releases_a_call_that_ended_before_it_was_named() {
    let (server, other) = (Server::start(), Server::start());
    let node = Node::start(&[&server, &other]);
    let mut first = node.caller();
    let launch = server.establish(&mut first, 1);
    first.invite(&id(2), 1, 3_000);
    let at_other = other.next("launch");
    other.answer(&at_other, "there");
    assert_eq!(first.next().unwrap().body, "there");
    (100..150).for_each(|call| server.stop(launch.connection, &id(call), 16, json!({})));
    server.stop(launch.connection, &id(150), 41, json!({}));
    // Not the end of a call that stands at the first server.
    other.stop(at_other.connection, &id(151), 16, json!({}));
    std::thread::sleep(ms(200));
    let mut owner = node.caller();
    (100..152).for_each(|call| owner.send(&invite(&id(call), "dest:-1;at:s0", 3_000, BODY)));
    let released = owner.all_within(ms(1_000));
    let mut calls: Vec<_> = released.iter().map(|message| message.call().to_string()).collect();
    calls.sort_unstable();
    assert_eq!(calls, (100..151).map(id).collect::<Vec<_>>());
    let cause =
        |call: u64| &released.iter().find(|message| message.call() == id(call)).unwrap().fields["reason"];
    assert_eq!((cause(100).as_str(), cause(150).as_str()), ("Q.850;cause=16", "Q.850;cause=41"));
    // The call that stands is released when its own server ends it.
    server.stop(launch.connection, &id(151), 16, json!({}));
    let message = owner.next().unwrap();
    assert!(message.is_bye() && message.call() == id(151), "{message:?}");
}

/// Guards against a release that is sent on a caller's former connection only, where nobody may read it.
#[test]
fn releases_a_call_on_the_connection_that_named_it_last() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (_former, connection) = establish(&server, &node, 1);
    let mut named = node.caller();
    named.send(&invite(&id(1), "dest:-1;at:s0", 3_000, BODY));
    std::thread::sleep(ms(100));
    server.stop(connection, &id(1), 16, json!({}));
    let message = named.next().unwrap();
    assert!(message.is_bye() && message.call() == id(1), "{message:?}");
    // A release may be lost with the connection on which it was sent, so a caller that names the call once more
    // gets it again.
    let mut later = node.caller();
    later.send(&invite(&id(1), "dest:-1;at:s0", 3_000, BODY));
    let message = later.next().unwrap();
    assert!(message.is_bye() && message.call() == id(1), "{message:?}");
}

/// Guards against calls that stay unreleased for good because their server sends their ends on a connection that
/// has fallen silent: the node closed it and had others, so it opened none on which the server would send them too.
#[test]
fn offers_a_new_connection_while_calls_stand_that_were_set_up_on_a_silent_one() {
    let server = Server::start();
    let node = Node::start(&[&server]);
    let (mut caller, silent) = establish(&server, &node, 1);
    // Nothing is answered on that connection any more, until the node closes it. The server does not notice.
    let mut call = 1;
    let is_closed = |line: &ServerLine| line.connection == silent && line.value.is_none();
    let until = std::time::Instant::now() + TIMEOUT;
    loop {
        assert!(std::time::Instant::now() < until, "the silent connection is not closed");
        call += 1;
        caller.invite(&id(call), 0, 3_000);
        let lines = server.all_within(ms(100));
        let setups = lines.iter().filter(|line| line.kind() == "launch" && line.connection != silent);
        setups.for_each(|setup| server.answer(setup, "there"));
        if lines.iter().any(is_closed) {
            break;
        }
    }
    // The server is well on its other connections.
    let report_load = || {
        let usage = json!({"kind": "usage", "meta": {"load": "x0:900;x1:1000"}});
        let others = (0..server.connection_count()).filter(|connection| *connection != silent);
        others.for_each(|connection| server.send_line(connection, usage.clone()));
        std::thread::sleep(ms(50));
    };
    (0..10).for_each(|_| report_load());
    // The end of the first call can only be sent on a connection that is opened from now on.
    let before = server.connection_count();
    let until = std::time::Instant::now() + ms(6_000);
    while server.connection_count() == before {
        assert!(std::time::Instant::now() < until, "no connection is opened");
        report_load();
    }
    server.stop(before, &id(1), 16, json!({}));
    let until = std::time::Instant::now() + ms(1_000);
    while !caller.next().is_some_and(|message| message.is_bye() && message.call() == id(1)) {
        assert!(std::time::Instant::now() < until, "not released");
    }
}

/// Guards against calls that are never released, because only set-ups that the node gave up showed that a connection
/// is of no use: callers gave theirs up first.
#[test]
fn call_on_a_connection_whose_setups_callers_gave_up_is_released() {
    for leaves in [false, true] {
        let (server, node, mut caller) = Node::with_one_server();
        let silent = establish_on_second_connection(&server, &mut caller, 1);
        // A set-up on the first connection, which is answered, beside one on the silent one.
        caller.invite(&id(2), 0, 3_000);
        let beside = server.next("launch");
        let mut other = node.caller();
        other.invite(&id(3), 0, 3_000);
        assert_eq!(server.next("launch").connection, silent);
        std::thread::sleep(ms(300));
        match leaves {
            true => other.close(),
            false => other.request("CANCEL", &id(3)),
        }
        server.answer(&beside, "there");
        assert_eq!(caller.next().unwrap().status(), Some(200));
        std::thread::sleep(ms(600));
        // What the server sends on the silent connection does not arrive. It sends the release on the next
        // connection as well, within the 8 s of the protocol page.
        let known = server.connection_count();
        let until = std::time::Instant::now() + ms(8_000);
        for call in 300.. {
            if server.connection_count() > known {
                break;
            }
            assert!(std::time::Instant::now() < until, "no new connection");
            // The usual traffic, one set-up at a time, so that the server is never quiet.
            server.establish(&mut caller, call);
            std::thread::sleep(ms(100));
        }
        server.stop(known, &id(1), 16, json!({}));
        let released = caller.next().unwrap();
        assert!(released.is_bye() && released.call() == id(1), "{released:?}");
    }
}

/// Establishes a call on the second connection to a server, and returns that connection.
fn establish_on_second_connection(server: &Server, caller: &mut Caller, call: u64) -> usize {
    // The module sends a server that it doesn't know one set-up at a time.
    for call in 5_000..5_100 {
        let setup = server.establish(caller, call);
        server.stop(setup.connection, &id(call), 16, json!({}));
        assert!(caller.next().unwrap().is_bye());
    }
    // Two set-ups at a time make the node open another connection.
    for number in 0..20 {
        let setups = [id(900 + 2 * number), id(901 + 2 * number)].map(|call| {
            caller.invite(&call, 0, 3_000);
            server.next("launch")
        });
        setups.iter().for_each(|setup| server.answer(setup, "there"));
        setups.iter().for_each(|_| assert_eq!(caller.next().unwrap().status(), Some(200)));
        if setups[1].connection != setups[0].connection {
            break;
        }
    }
    caller.invite(&id(990), 0, 3_000);
    let beside = server.next("launch");
    let established = server.establish(caller, call);
    server.answer(&beside, "there");
    assert_eq!(caller.next().unwrap().status(), Some(200));
    assert_ne!(established.connection, beside.connection);
    established.connection
}
