//! SIGHUP with valid and invalid files, SIGTERM with open calls and late arrivals, and starts with an invalid
//! configuration.

use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::process::Command;
use std::time::Instant;

#[test]
fn sighup_changes_the_coordinator_and_keeps_calls() {
    let (first, second) = (Server::start(), Server::start());
    let mut node = Node::start(&[&first, &second]);
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    let established = first.next("launch");
    first.answer(&established, "there");
    assert_eq!(caller.next().unwrap().body, "there");
    caller.invite(&id(2), 0, 3_000);
    let in_flight = first.next("launch");
    // An invalid file is reported, and the current configuration stays in effect.
    node.replace_config("{\"name\": ");
    node.signal(Signal::SIGHUP);
    std::thread::sleep(ms(200));
    assert!(node.is_running());
    let known = node.coordinator.known();
    let events = known["updates"].as_array().unwrap().clone();
    let moved = Coordinator::start(events);
    node.move_coordinator(&moved);
    node.signal(Signal::SIGHUP);
    std::thread::sleep(ms(300));
    assert!(moved.poll_count() > 0, "the new coordinator was not polled");
    moved.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    first.answer(&in_flight, "still");
    assert_eq!(caller.next().unwrap().body, "still");
    std::thread::sleep(ms(500));
    caller.invite(&id(3), 0, 3_000);
    second.answer(&second.next("launch"), "elsewhere");
    assert_eq!(caller.next().unwrap().body, "elsewhere");
    first.stop(established.connection, &id(1), 16, json!({}));
    assert!(caller.next().unwrap().is_bye(), "a call established before SIGHUP was lost");
}

#[test]
fn sigterm_serves_late_arrivals_and_exits_before_the_kill() {
    let (server, other) = (Server::start(), Server::start());
    let mut node = Node::start(&[&server, &other]);
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    server.answer(&server.next("launch"), "there");
    assert_eq!(caller.next().unwrap().body, "there");
    caller.invite(&id(2), 0, 2_000);
    let open = server.next("launch");
    let term_sent_at = Instant::now();
    node.signal(Signal::SIGTERM);
    std::thread::sleep(ms(200));
    let mut late = node.caller();
    late.request("OPTIONS", &id(50));
    assert_eq!(late.next().unwrap().status(), Some(503), "readiness check passed after SIGTERM");
    late.invite(&id(3), 1, 2_000);
    let arrived = other.next("launch");
    server.answer(&open, "open");
    assert_eq!(caller.next().unwrap().body, "open");
    other.answer(&arrived, "late");
    assert_eq!(late.next().unwrap().body, "late");
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    assert!(term_sent_at.elapsed() > ms(650), "exited before late arrivals: {:?}", term_sent_at.elapsed());
    let has_release = server.all_within(ms(100)).iter().any(|line| line.kind() == "stop");
    assert!(!has_release, "an established call was released");
}

#[test]
fn sigterm_exits_in_time_when_a_server_never_answers() {
    let server = Server::start();
    let mut node = Node::start(&[&server]);
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 4_000);
    server.next("launch");
    node.signal(Signal::SIGTERM);
    let received = caller.all_within(ms(4_500));
    assert_eq!(received.iter().filter(|message| message.status() >= Some(300)).count(), 1, "{received:?}");
    // The kill comes 0.7 s after the longest deadline of a call, which is 4 s.
    assert_eq!(node.exit_code(ms(4_700)), Some(0));
}

#[test]
fn handles_due_timers_before_input_after_a_stall() {
    let (server, node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 500);
    let launch = server.next("launch");
    node.signal(Signal::SIGSTOP);
    // While the node is suspended, the answer arrives and then the caller's time runs out.
    server.answer(&launch, "late");
    std::thread::sleep(ms(1_500));
    node.signal(Signal::SIGCONT);
    let received = caller.all_within(ms(1_000));
    let statuses: Vec<_> = received.iter().filter_map(|message| message.status()).collect();
    assert!(statuses.len() == 1 && statuses[0] >= 300, "{received:?}");
    // The server has established the call. It gets a stop for the timed-out set-up, and one for its answer.
    assert!(server.next("stop").uid() == id(1) && server.next("stop").uid() == id(1));
}

#[test]
fn invalid_configuration_prints_one_line_and_exits_with_code_2() {
    let run_with_config = |text: Option<&str>| {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        text.iter().for_each(|text| std::fs::write(&path, text).unwrap());
        let output = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
            .arg("node")
            .env("BALANCER_CONFIG", &path)
            .output()
            .unwrap();
        let lines = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), lines.lines().count()), (Some(2), 1), "{lines}");
        assert!(lines.contains("config.json"), "does not name the file: {lines}");
        lines
    };
    run_with_config(None);
    assert!(run_with_config(Some("{")).contains("configuration"));
    let address = "127.0.0.1:9".parse().unwrap();
    let valid = config_text(address, address, &json!({"index": 0, "updates": []}), 256);
    assert!(run_with_config(Some(&valid.replace("\"seed\"", "\"need\""))).contains("seed"));
    assert!(run_with_config(Some(&valid.replace("8c1f30d27a5be964", "xyz"))).contains("seed"));
    assert!(run_with_config(Some(&valid.replace("\"tick_ns\":5000000", "\"tick_ns\":0")))
        .contains("settings.tick_ns"));
    assert!(run_with_config(Some(&valid.replace("\"classes\"", "\"glasses\""))).contains("settings.classes"));
    assert!(
        run_with_config(Some(&valid.replace("\"sockets\":256", "\"sockets\":8"))).contains("limits.sockets")
    );
    assert!(
        run_with_config(Some(&valid.replace("\"sockets\":256", "\"sockets\":63"))).contains("limits.sockets")
    );
    assert!(
        run_with_config(Some(&valid.replace("\"sockets\":256", "\"sockets\":-1"))).contains("configuration")
    );
    assert!(run_with_config(Some(&valid.replace("\"memory_mb\":48", "\"memory_mb\":1")))
        .contains("limits.memory_mb"));
    let invalid_worth = valid.replacen("\"worth\":3", "\"worth\":\"three\"", 1);
    assert!(run_with_config(Some(&invalid_worth)).contains("settings.classes[1].worth: not a number"));
    let invalid_deadline = valid.replacen("\"deadline_ns\":4000000000", "\"deadline_ns\":-4", 1);
    assert!(run_with_config(Some(&invalid_deadline)).contains("settings.classes[0].deadline_ns"));
    assert!(run_with_config(Some(&valid.replace("\"index\":0", "\"index\":\"x\""))).contains("known"));
}
