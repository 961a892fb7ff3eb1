//! Without `fleet` in its settings, a front runs on one thread and has no sockets but its own listeners. A
//! front node has no settings for a fleet.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101\n";

/// The names of a process's threads.
fn threads(child: &Child) -> Vec<String> {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", child.id())).unwrap();
    tasks
        .map(|task| std::fs::read_to_string(task.unwrap().path().join("comm")).unwrap().trim().to_string())
        .collect()
}

/// Number of TCP sockets that a process has open.
fn tcp_sockets(child: &Child) -> usize {
    let fds = std::fs::read_dir(format!("/proc/{}/fd", child.id())).unwrap();
    let open_inodes: BTreeSet<String> = fds
        .filter_map(|fd| std::fs::read_link(fd.unwrap().path()).ok())
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let inodes = table.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9));
    inodes.filter(|inode| open_inodes.contains(*inode)).count()
}

/// Starts a front with these fleet settings, if any, and waits until it listens.
fn start_front(dir: &Path, fleet_settings: &str) -> Child {
    std::fs::write(dir.join("key"), KEY).unwrap();
    std::fs::write(dir.join("pools.cue"), "servers: []\n").unwrap();
    let text = format!(
        "name: \"edge-1\"\nlisten: \"127.0.0.1:0\"\nmetrics: \"127.0.0.1:0\"\npool_list: \"pools.cue\"\n\
         classes: [{{name: \"voice\", aim: \"1s\", give_up: \"5s\", worth: 1}}]\n{fleet_settings}\n"
    );
    std::fs::write(dir.join("edge.cue"), text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
        .args(["run", "--config"])
        .arg(dir.join("edge.cue"))
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    assert!(line.starts_with('{'), "{line}");
    child
}

#[test]
fn front_without_a_fleet_has_one_thread_and_two_sockets() {
    let dir = tempfile::tempdir().unwrap();
    let mut child = start_front(dir.path(), "");
    let (threads_without_fleet, sockets) = (threads(&child), tcp_sockets(&child));
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(threads_without_fleet.len(), 1, "{threads_without_fleet:?}");
    assert_eq!(sockets, 2, "the listeners for callers and metrics");

    // The agent's threads are found if there is one, so the check above is effective.
    let fleet = "fleet: {home: \"x\", pool: \"p\", key_file: \"key\", \
                 sites: [{name: \"x\", processes: [\"127.0.0.1:1\"]}]}";
    let mut child = start_front(dir.path(), fleet);
    // A thread sets its own name, some time after it has started.
    let is_named = || threads(&child).iter().any(|name| name == "fleet");
    common::wait_until(common::TIMEOUT, "a thread of the agent", is_named);
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn front_node_starts_no_thread_and_ignores_fleet_settings() {
    let dir = tempfile::tempdir().unwrap();
    // The configuration of a node has no fleet settings: they are ignored like all unknown fields.
    let listen = lilacpitch_net::free_addresses(3).unwrap();
    let config = serde_json::json!({
        "name": "n0", "listen": listen[0].to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": listen[1].to_string(), "peers": [listen[1].to_string()],
        "peers_all": listen[1].to_string(), "coordinator": listen[2].to_string(),
        "known": {"index": 0, "updates": []},
        "fleet": {"home": "x"},
        "settings": {"classes": [{"name": "voice", "aim_ns": 1e9, "deadline_ns": 5e9}], "tick_ns": 5e6},
    });
    let path = dir.path().join("config.json");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
        .args(["node", "--config"])
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let is_listening = (0..500).any(|_| {
        std::thread::sleep(common::ms(20));
        std::net::TcpStream::connect(listen[0]).is_ok()
    });
    let threads = threads(&child);
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(is_listening, "the node does not listen");
    assert_eq!(threads.len(), 1, "{threads:?}");
}
