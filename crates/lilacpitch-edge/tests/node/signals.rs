//! HUP under load, also with a broken file; TERM under load, with late arrivals; a configuration that is wrong.

use crate::process::Node;
use crate::standin::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::process::Command;
use std::time::Instant;

#[test]
fn hup_changes_the_coordinator_and_keeps_calls() {
    let (first, second) = (Server::start(), Server::start());
    let mut node = Node::start(&[&first, &second]);
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    let establish = first.next("launch");
    first.answer(&establish, "there");
    assert_eq!(caller.next().unwrap().body, "there");
    caller.invite(&id(2), 0, 3_000);
    let out = first.next("launch");
    // A broken file: reported, and the old one stays.
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
    assert!(moved.poll_count() > 0, "it asks where the file says");
    moved.publish(vec![target("s0", first.address, 0, "terminating", 0)]);
    first.answer(&out, "still");
    assert_eq!(caller.next().unwrap().body, "still");
    std::thread::sleep(ms(500));
    caller.invite(&id(3), 0, 3_000);
    second.answer(&second.next("launch"), "elsewhere");
    assert_eq!(caller.next().unwrap().body, "elsewhere");
    first.stop(establish.connection, &id(1), 16, json!({}));
    assert!(caller.next().unwrap().is_bye(), "what stood before goes on");
}

#[test]
fn term_serves_late_arrivals_and_exits_before_the_kill() {
    let (server, other) = (Server::start(), Server::start());
    let mut node = Node::start(&[&server, &other]);
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 3_000);
    let establish = server.next("launch");
    server.answer(&establish, "there");
    assert_eq!(caller.next().unwrap().body, "there");
    caller.invite(&id(2), 0, 2_000);
    let open = server.next("launch");
    let term = Instant::now();
    node.signal(Signal::SIGTERM);
    std::thread::sleep(ms(200));
    let mut late = node.caller();
    late.request("OPTIONS", &id(50));
    assert_eq!(late.next().unwrap().status(), Some(503), "no test is passed any more");
    late.invite(&id(3), 1, 2_000);
    let arrived = other.next("launch");
    server.answer(&open, "open");
    assert_eq!(caller.next().unwrap().body, "open");
    other.answer(&arrived, "late");
    assert_eq!(late.next().unwrap().body, "late");
    assert_eq!(node.exit_code(ms(4_000)), Some(0));
    assert!(term.elapsed() > ms(650), "late arrivals were waited for: {:?}", term.elapsed());
    let cut = server.all_within(ms(100)).iter().any(|l| l.kind() == "stop");
    assert!(!cut, "what stands is not cut by leaving");
}

#[test]
fn term_exits_in_time_when_a_server_never_answers() {
    let server = Server::start();
    let mut node = Node::start(&[&server]);
    let mut caller = node.caller();
    caller.invite(&id(1), 0, 4_000);
    server.next("launch");
    node.signal(Signal::SIGTERM);
    let final_answer = caller.all_within(ms(4_500));
    assert_eq!(
        final_answer.iter().filter(|message| message.status() >= Some(300)).count(),
        1,
        "{final_answer:?}"
    );
    // The longest deadline and 0.7 s: then comes the kill.
    assert_eq!(node.exit_code(ms(4_700)), Some(0));
}

#[test]
fn handles_due_timers_before_input_after_a_stall() {
    let (server, node, mut caller) = Node::with_one_server();
    caller.invite(&id(1), 0, 500);
    let launch = server.next("launch");
    node.signal(Signal::SIGSTOP);
    // The answer comes while the node stands still, and its caller's time runs out.
    server.answer(&launch, "in time for nobody");
    std::thread::sleep(ms(1_500));
    node.signal(Signal::SIGCONT);
    let received = caller.all_within(ms(1_000));
    let finals: Vec<_> = received.iter().filter_map(|message| message.status()).collect();
    assert!(finals.len() == 1 && finals[0] >= 300, "{received:?}");
    // What the server took for standing is released there: once by giving up, once for its answer.
    assert!(server.next("stop").uid() == id(1) && server.next("stop").uid() == id(1));
}

#[test]
fn invalid_configuration_is_one_line_and_exit_code_2() {
    let run = |text: Option<&str>| {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        text.iter().for_each(|text| std::fs::write(&path, text).unwrap());
        let out = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
            .arg("node")
            .env("BALANCER_CONFIG", &path)
            .output()
            .unwrap();
        let lines = String::from_utf8(out.stderr).unwrap();
        assert_eq!((out.status.code(), lines.lines().count()), (Some(2), 1), "{lines}");
        assert!(lines.contains("config.json"), "names the file: {lines}");
        lines
    };
    run(None);
    assert!(run(Some("{")).contains("configuration"));
    let at = "127.0.0.1:9".parse().unwrap();
    let good = config_text(at, at, &json!({"index": 0, "updates": []}), 256);
    assert!(run(Some(&good.replace("\"seed\"", "\"need\""))).contains("seed"));
    assert!(run(Some(&good.replace("8c1f30d27a5be964", "xyz"))).contains("seed"));
    assert!(run(Some(&good.replace("\"tick_ns\":5000000", "\"tick_ns\":0"))).contains("settings.tick_ns"));
    assert!(run(Some(&good.replace("\"classes\"", "\"glasses\""))).contains("settings.classes"));
    assert!(run(Some(&good.replace("\"sockets\":256", "\"sockets\":8"))).contains("limits.sockets"));
    assert!(run(Some(&good.replace("\"sockets\":256", "\"sockets\":63"))).contains("limits.sockets"));
    assert!(run(Some(&good.replace("\"sockets\":256", "\"sockets\":-1"))).contains("configuration"));
    assert!(run(Some(&good.replace("\"memory_mb\":48", "\"memory_mb\":1"))).contains("limits.memory_mb"));
    let worth = good.replacen("\"worth\":3", "\"worth\":\"three\"", 1);
    assert!(run(Some(&worth)).contains("settings.classes[1].worth: not a number"));
    let deadline = good.replacen("\"deadline_ns\":4000000000", "\"deadline_ns\":-4", 1);
    assert!(run(Some(&deadline)).contains("settings.classes[0].deadline_ns"));
    assert!(run(Some(&good.replace("\"index\":0", "\"index\":\"x\""))).contains("known"));
}
