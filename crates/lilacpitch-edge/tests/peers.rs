//! Gossip among fronts, with real processes and UDP on loopback, and datagrams that must be rejected.

mod common;
use common::*;
use lilacpitch_gossip::sealed_datagram::VERSION;
use lilacpitch_gossip::{Keys, Peers, Settings};
use lilacpitch_protocol::message::call::Answer;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::Command;

/// Replaces a key file with keys whose bytes are all equal; returns its path.
fn write_key_file(folder: &Path, name: &str, keys: &[u8]) -> String {
    let lines: Vec<String> = keys.iter().map(|byte| format!("{byte:02x}").repeat(32)).collect();
    let path = folder.join(name);
    std::fs::write(folder.join("new"), lines.join("\n")).unwrap();
    std::fs::rename(folder.join("new"), &path).unwrap();
    path.display().to_string()
}

/// The output of `lilacpitch-edge peers` for a front.
fn peers_output(edge: &Edge) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
        .args(["peers", "--metrics", &edge.metrics.to_string()])
        .output()
        .unwrap();
    assert!(out.status.success(), "{out:?}");
    String::from_utf8(out.stdout).unwrap()
}

/// Number of peers that a front sees.
fn peer_count(edge: &Edge) -> usize {
    peers_output(edge).lines().filter(|line| line.starts_with("edge-")).count()
}

#[test]
fn fronts_discover_each_other_and_detect_departures_and_failures() {
    let folder = tempfile::tempdir().unwrap();
    let key = write_key_file(folder.path(), "key", &[1]);
    let addresses = free_addresses(4);
    let servers = Servers::start(&[true]);
    let start =
        |address: &SocketAddr| Edge::start(&servers, &peer_settings(*address, "", &addresses[..2], &key));
    let mut edges: Vec<Edge> = addresses.iter().map(start).collect();
    wait_until(TIMEOUT * 2, "every front sees all others", || edges.iter().all(|e| peer_count(e) == 3));
    let mut leaving = edges.pop().unwrap();
    leaving.send_signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(leaving.wait_for_exit(TIMEOUT), Some(true));
    wait_until(TIMEOUT, "a departure is detected", || edges.iter().all(|e| peer_count(e) == 2));
    drop(edges.pop());
    wait_until(TIMEOUT * 6, "a killed front is detected", || edges.iter().all(|e| peer_count(e) == 1));
}

#[test]
fn new_front_learns_of_an_unresponsive_server_and_does_not_select_it_first() {
    let folder = tempfile::tempdir().unwrap();
    let key = write_key_file(folder.path(), "key", &[1]);
    let addresses = free_addresses(4);
    let servers = Servers::start(&[true, true]);
    let start = |address: SocketAddr| {
        let settings = peer_settings(address, "", &addresses[..3], &key);
        Edge::start(&servers, &settings).wait_until_connected(&servers, 2)
    };
    let informed_fronts: Vec<Edge> = addresses[..3].iter().copied().map(start).collect();
    wait_until(TIMEOUT * 2, "every front sees all others", || {
        informed_fronts.iter().all(|e| peer_count(e) == 2)
    });
    // Server 0 never answers, server 1 does. All fronts send their set-ups at the same time, so that each
    // finds this out by itself: a front that has the report of another does not try server 0, and one report
    // is not sufficient.
    let mut callers: Vec<Caller> = informed_fronts.iter().map(Caller::connect).collect();
    for call in ["a", "b"] {
        for caller in &mut callers {
            caller.setup(call, Some(0), 5_000);
        }
        let mut answered = 0;
        while answered < callers.len() {
            let setup = servers.next_setup();
            if setup.server == 1 {
                servers.all[1].answer(&setup);
                answered += 1;
            }
        }
        for caller in &mut callers {
            assert_eq!(caller.next_answer(call).1, Answer::Stands);
        }
    }
    callers.into_iter().for_each(|caller| caller.drop_socket());
    // A front without peers begins with the unresponsive server; one that requests reports does not.
    let without_peers = Edge::start(&servers, "").wait_until_connected(&servers, 2);
    let with_peers = start(addresses[3]);
    // Reports of three peers about two servers: the report of one peer would not be sufficient.
    with_peers.wait_for_metric("lilacpitch_facts_told_total", 6);
    servers.messages_within(ms(200));
    let first_server = |edge: &Edge| {
        let mut caller = Caller::connect(edge);
        caller.setup("c", Some(0), 2_000);
        let setup = servers.next_setup();
        caller.drop_socket();
        servers.messages_within(ms(100));
        setup.server
    };
    assert_eq!(first_server(&without_peers), 0);
    assert_eq!(first_server(&with_peers), 1);
}

#[test]
fn rejects_and_counts_forged_damaged_and_outdated_datagrams() {
    let folder = tempfile::tempdir().unwrap();
    let key = write_key_file(folder.path(), "key", &[1]);
    let addresses = free_addresses(2);
    let servers = Servers::start(&[true]);
    let settings = peer_settings(addresses[0], "", &[], &key);
    let edge = Edge::start(&servers, &settings).wait_until_connected(&servers, 1);
    let socket = UdpSocket::bind(addresses[1]).unwrap();
    let now =
        || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
    // A request of a front with this key, as it is sent at this time.
    let request_datagram = |key_byte: u8, sent_ns: u64| {
        let keys = Keys::from_text(&format!("{key_byte:02x}").repeat(32)).unwrap();
        let settings = Settings {
            name: "edge-9".into(),
            address: addresses[1],
            seeds: vec![addresses[0]],
            keys,
            fronts: 2,
        };
        let mut effects = Vec::new();
        Peers::new(settings, sent_ns, sent_ns).start(sent_ns, &mut effects);
        let sent = effects.into_iter().rev().find_map(|effect| match effect {
            lilacpitch_gossip::Effect::Send(_, bytes) => Some(bytes),
            _ => None,
        });
        sent.unwrap()
    };
    let valid = request_datagram(1, now());
    let mut forged = valid.clone();
    forged[40] ^= 4;
    let newer_version = [&[VERSION + 1], &valid[1..]].concat();
    let datagrams = [
        valid.clone(),
        valid.clone(),
        forged,
        valid[..30].to_vec(),
        vec![],
        newer_version,
        vec![1; 1_500],
        request_datagram(2, now()),
        request_datagram(1, now() - 120_000_000_000),
    ];
    for bytes in &datagrams {
        socket.send_to(bytes, addresses[0]).unwrap();
    }
    let expected = [
        "refused 1: replayed",
        "refused 2: not sealed with a key in force",
        "refused 2: cut short",
        &format!("refused 1: version {} in place of {VERSION}", VERSION + 1),
        "refused 1: over 1452 bytes",
        "refused 1: sent over a minute ago",
    ];
    wait_until(TIMEOUT, "each datagram is rejected", || {
        expected.iter().all(|line| peers_output(&edge).contains(line))
    });
    // The front still runs and accepts calls.
    let mut caller = Caller::connect(&edge);
    caller.setup("c", Some(0), 2_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("c").1, Answer::Stands);
}

#[test]
fn changes_keys_without_a_restart_and_ignores_an_invalid_key_file() {
    let folder = tempfile::tempdir().unwrap();
    let (one, two) = (write_key_file(folder.path(), "one", &[1]), write_key_file(folder.path(), "two", &[1]));
    let addresses = free_addresses(2);
    let servers = Servers::start(&[true]);
    let edges = [(&one, addresses[0]), (&two, addresses[1])]
        .map(|(key, address)| Edge::start(&servers, &peer_settings(address, "", &addresses, key)));
    wait_until(TIMEOUT * 2, "both fronts see each other", || edges.iter().all(|e| peer_count(e) == 1));
    // All fronts accept the new key before any of them uses it; then the old key is removed.
    let steps: [&[u8]; 3] = [&[1, 2], &[2, 1], &[2]];
    for (name, keys) in steps.into_iter().flat_map(|keys| [("one", keys), ("two", keys)]) {
        write_key_file(folder.path(), name, keys);
        std::thread::sleep(ms(1_200));
        assert!(edges.iter().all(|e| peer_count(e) == 1), "{name} {keys:?}");
    }
    let has_rejected = |edge: &Edge| peers_output(edge).contains("not sealed");
    assert!(!edges.iter().any(has_rejected), "{}", peers_output(&edges[0]));
    std::fs::write(&one, "rubbish").unwrap();
    std::thread::sleep(ms(1_500));
    assert!(edges.iter().all(|e| peer_count(e) == 1), "the current keys stay in use");
}
