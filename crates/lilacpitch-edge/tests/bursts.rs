//! Bursts of messages on one connection, with a real front process and scripted callers and servers on
//! loopback: what ends many calls at once neither disconnects a caller that reads nor is lost on its way to a
//! server.

mod common;
use common::*;
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_protocol::message::signal::ToServer;
use std::collections::BTreeSet;

/// Far more calls than messages may wait by the settings of these tests.
const CALLS: usize = 300;

/// Starts a front with a short queue, and establishes calls of one caller at one server. Returns the
/// connection of the last set-up.
fn establish_calls() -> (Servers, Edge, Caller, usize) {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "limits: queue: 8").wait_until_connected(&servers, 1);
    let mut caller = Caller::connect(&edge);
    let mut connection = 0;
    for call in 0..CALLS {
        let name = format!("c{call}");
        caller.setup(&name, Some(0), 3_000);
        let setup = servers.next_setup();
        connection = setup.connection;
        servers.all[0].answer(&setup);
        assert_eq!(caller.next_answer(&name).1, Answer::Stands);
    }
    (servers, edge, caller, connection)
}

/// Guards against the disconnection of a caller that reads: the ends of its calls at a lost server exceeded
/// the limit of its queue before any of them could be written.
#[test]
fn ends_all_calls_of_a_lost_server_and_keeps_their_caller() {
    let (servers, _edge, mut caller, connection) = establish_calls();
    servers.all[0].reset(connection);
    let mut released = BTreeSet::new();
    for _ in 0..CALLS {
        let message = caller.next_message();
        let ToCaller::Released { call, .. } = message else { panic!("{message:?}") };
        assert!(released.insert(call.clone()), "{call} is released twice");
    }
    caller.setup("next", Some(0), 3_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("next").1, Answer::Stands, "the caller was disconnected");
}

/// Guards against calls that stay at their server for good: releases that met a full queue were dropped.
#[test]
fn releases_all_calls_of_a_lost_caller_at_their_server() {
    let (servers, _edge, caller, _) = establish_calls();
    caller.drop_socket();
    let mut released = BTreeSet::new();
    for _ in 0..CALLS {
        let received = servers.next_unrepeated().message;
        let ToServer::Release { attempt } = received else { panic!("{received:?}") };
        assert!(released.insert(attempt), "released twice");
    }
}
