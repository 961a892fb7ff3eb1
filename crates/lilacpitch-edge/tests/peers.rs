//! Fronts that know each other: real processes, UDP on loopback, and datagrams that must be refused.

mod common;
use common::*;
use lilacpitch_gossip::sealed_datagram::VERSION;
use lilacpitch_gossip::{Keys, Peers, Settings};
use lilacpitch_protocol::message::call::Answer;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;

fn key_file(folder: &Path, name: &str, keys: &[u8]) -> String {
    let lines: Vec<String> = keys.iter().map(|byte| format!("{byte:02x}").repeat(32)).collect();
    let path = folder.join(name);
    std::fs::write(folder.join("new"), lines.join("\n")).unwrap();
    std::fs::rename(folder.join("new"), &path).unwrap();
    path.display().to_string()
}

/// What `lilacpitch-edge peers` shows of a front.
fn view(edge: &Edge) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
        .args(["peers", "--metrics", &edge.metrics.to_string()])
        .output()
        .unwrap();
    assert!(out.status.success(), "{out:?}");
    String::from_utf8(out.stdout).unwrap()
}

fn sees(edge: &Edge) -> usize {
    view(edge).lines().filter(|l| l.starts_with("edge-")).count()
}

#[test]
fn fronts_discover_each_other_and_notice_departures_and_deaths() {
    let folder = tempfile::tempdir().unwrap();
    let key = key_file(folder.path(), "key", &[1]);
    let at = ports(4);
    let servers = Servers::start(&[true]);
    let mut edges: Vec<Edge> =
        at.iter().map(|a| Edge::start(&servers, &peers(*a, "", &at[..2], &key))).collect();
    until(SOON * 2, "all see all", || edges.iter().all(|e| sees(e) == 3));
    let mut leaves = edges.pop().unwrap();
    leaves.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(leaves.ended(SOON), Some(true));
    until(SOON, "who leaves is gone soon", || edges.iter().all(|e| sees(e) == 2));
    drop(edges.pop());
    until(SOON * 6, "who dies is noticed", || edges.iter().all(|e| sees(e) == 1));
}

#[test]
fn new_front_learns_of_an_unresponsive_server_and_does_not_select_it_first() {
    let folder = tempfile::tempdir().unwrap();
    let key = key_file(folder.path(), "key", &[1]);
    let at = ports(4);
    let servers = Servers::start(&[true, true]);
    let warm: Vec<Edge> = at[..3]
        .iter()
        .map(|a| Edge::start(&servers, &peers(*a, "", &at[..3], &key)).ready(&servers, 2))
        .collect();
    until(SOON * 2, "all see all", || warm.iter().all(|e| sees(e) == 2));
    // Each warm front learns by itself: server 0 never answers, server 1 does. All call at once: one that calls
    // after another has told it does not try server 0, and one front alone is not believed.
    let mut callers: Vec<Caller> = warm.iter().map(Caller::connect).collect();
    for call in ["a", "b"] {
        for caller in &mut callers {
            caller.setup(call, Some(0), 5_000);
        }
        let mut answered = 0;
        while answered < callers.len() {
            let seen = servers.setup();
            if seen.server == 1 {
                servers.all[1].answer(&seen);
                answered += 1;
            }
        }
        for caller in &mut callers {
            assert_eq!(caller.answer(call).1, Answer::Stands);
        }
    }
    callers.into_iter().for_each(|caller| caller.drop_socket());
    // A front that asks nobody begins with the silent one; one that asks does not.
    let alone = Edge::start(&servers, "").ready(&servers, 2);
    let told = Edge::start(&servers, &peers(at[3], "", &at[..3], &key)).ready(&servers, 2);
    // Three peers, two servers: one alone would not be believed.
    told.reaches("lilacpitch_facts_told_total", 6);
    servers.all_within(ms(200));
    let first_try = |edge: &Edge| {
        let mut caller = Caller::connect(edge);
        caller.setup("c", Some(0), 2_000);
        let seen = servers.setup();
        caller.drop_socket();
        servers.all_within(ms(100));
        seen.server
    };
    assert_eq!(first_try(&alone), 0);
    assert_eq!(first_try(&told), 1);
}

#[test]
fn strangers_and_damaged_datagrams_are_refused_and_counted() {
    let folder = tempfile::tempdir().unwrap();
    let key = key_file(folder.path(), "key", &[1]);
    let at = ports(2);
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, &peers(at[0], "", &[], &key)).ready(&servers, 1);
    let socket = UdpSocket::bind(at[1]).unwrap();
    let now =
        || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
    // A question of a front with this key, as it leaves at a moment.
    let question = |byte: u8, at_ns: u64| {
        let keys = Keys::from_text(&format!("{byte:02x}").repeat(32)).unwrap();
        let settings =
            Settings { name: "edge-9".into(), address: at[1], seeds: vec![at[0]], keys, fronts: 2 };
        let mut out = Vec::new();
        Peers::new(settings, at_ns, at_ns).start(at_ns, &mut out);
        let sent = out.into_iter().rev().find_map(|e| match e {
            lilacpitch_gossip::Effect::Send(_, bytes) => Some(bytes),
            _ => None,
        });
        sent.unwrap()
    };
    let good = question(1, now());
    let mut forged = good.clone();
    forged[40] ^= 4;
    let newer = [&[VERSION + 1], &good[1..]].concat();
    let datagrams = [
        good.clone(),
        good.clone(),
        forged,
        good[..30].to_vec(),
        vec![],
        newer,
        vec![1; 1_500],
        question(2, now()),
        question(1, now() - 120_000_000_000),
    ];
    for bytes in &datagrams {
        socket.send_to(bytes, at[0]).unwrap();
    }
    let wanted = [
        "refused 1: replayed",
        "refused 2: not sealed with a key in force",
        "refused 2: cut short",
        &format!("refused 1: version {} in place of {VERSION}", VERSION + 1),
        "refused 1: over 1452 bytes",
        "refused 1: sent over a minute ago",
    ];
    until(SOON, "all refused", || wanted.iter().all(|w| view(&edge).contains(w)));
    // It lives and carries calls.
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 2_000);
    servers.all[0].answer(&servers.setup());
    assert_eq!(caller.answer("c").1, Answer::Stands);
}

#[test]
fn keys_are_changed_without_a_restart_and_a_bad_file_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let (one, two) = (key_file(folder.path(), "one", &[1]), key_file(folder.path(), "two", &[1]));
    let at = ports(2);
    let servers = Servers::start(&[true]);
    let edges = [(&one, at[0]), (&two, at[1])].map(|(key, a)| Edge::start(&servers, &peers(a, "", &at, key)));
    until(SOON * 2, "they see each other", || edges.iter().all(|e| sees(e) == 1));
    // The new one opens everywhere before it seals anywhere; then the old one goes.
    let steps: [&[u8]; 3] = [&[1, 2], &[2, 1], &[2]];
    for (name, keys) in steps.into_iter().flat_map(|keys| [("one", keys), ("two", keys)]) {
        key_file(folder.path(), name, keys);
        std::thread::sleep(ms(1_200));
        assert!(edges.iter().all(|e| sees(e) == 1), "{name} {keys:?}");
    }
    let refused = |e: &Edge| view(e).contains("not sealed");
    assert!(!edges.iter().any(refused), "{}", view(&edges[0]));
    std::fs::write(&one, "rubbish").unwrap();
    std::thread::sleep(ms(1_500));
    assert!(edges.iter().all(|e| sees(e) == 1), "the keys in hand stay in force");
}
