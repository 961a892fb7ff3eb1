//! Pins the names and labels on the pages of a running front, the line it prints at its start, and what
//! `lilacpitch-edge peers` prints.
//!
//! Collectors, dashboards and scripts depend on these names. Numbers differ from run to run and are not
//! pinned: each sequence of digits is replaced by `N`.

mod common;
use common::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101\n";
const FLEET: &str = "fleet: {home: \"x\", pool: \"p\", key_file: \"key\", \
                     sites: [{name: \"x\", processes: [\"127.0.0.1:1\"]}]}";

/// The body of a response.
fn body(response: &str) -> &str {
    response.split_once("\r\n\r\n").unwrap().1
}

/// Replaces the values on a page of `name value` lines by `N`. Comments are retained.
fn without_values(page: &str) -> String {
    let line = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name} N\n"),
        _ => format!("{line}\n"),
    };
    page.lines().map(line).collect()
}

/// Replaces each sequence of digits in a text by `N`.
fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    for character in text.chars() {
        match character.is_ascii_digit() {
            true if out.ends_with('N') => {}
            true => out.push('N'),
            false => out.push(character),
        }
    }
    out
}

/// A front process that is killed at the end of its test.
struct Front {
    child: Child,
    first_line: String,
}

impl Front {
    fn start(more_settings: &str) -> Front {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("key"), KEY).unwrap();
        std::fs::write(folder.path().join("pools.cue"), "servers: []\n").unwrap();
        std::fs::write(folder.path().join("edge.cue"), settings(more_settings)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
            .args(["run", "--config"])
            .arg(folder.path().join("edge.cue"))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut first_line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut first_line).unwrap();
        Front { child, first_line }
    }

    fn get(&self, path: &str) -> String {
        let ready: serde_json::Value = serde_json::from_str(&self.first_line).unwrap();
        let metrics: SocketAddr = ready["metrics"].as_str().unwrap().parse().unwrap();
        lilacpitch_edge::net::fetch(metrics, "GET", path).unwrap().1
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn shows_every_metric_of_a_front_under_its_pinned_name() {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "").wait_until_connected(&servers, 1);
    let page = edge.metrics_page();
    assert_eq!(without_values(body(&page)), include_str!("data/front_metrics.txt"));
}

#[test]
fn prints_the_addresses_of_a_started_front_as_pinned() {
    let front = Front::start("");
    assert_eq!(without_numbers(&front.first_line), include_str!("data/front_ready.txt"));
}

#[test]
fn shows_the_fleet_page_of_a_front_under_pinned_names() {
    let front = Front::start(FLEET);
    let page = front.get("/fleet");
    let names: String = page.lines().map(|line| format!("{}\n", fleet_name(line))).collect();
    assert_eq!(names, include_str!("data/front_fleet.txt"));
}

/// The fixed words at the start of a line of the fleet page.
fn fleet_name(line: &str) -> String {
    let words = ["summaries unknown", "rows waiting", "audit waiting"];
    let fixed = words.into_iter().find(|words| line.starts_with(words));
    fixed.or(line.split(' ').next()).unwrap_or("").to_string()
}

#[test]
fn shows_a_located_number_under_pinned_names() {
    let front = Front::start(FLEET);
    let page = front.get("/locate?search=1555");
    // The reason why a site was not reached depends on the progress of the connection.
    let (pinned, _reason) = page.split_once("not-reached ").unwrap();
    assert_eq!(format!("{pinned}not-reached\n"), include_str!("data/front_locate.txt"));
}

#[test]
fn prints_the_peers_page_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    let key_file = folder.path().join("key");
    std::fs::write(&key_file, KEY).unwrap();
    let address = free_addresses(1)[0];
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, &peer_settings(address, "", &[], key_file.to_str().unwrap()));
    let out = Command::new(env!("CARGO_BIN_EXE_lilacpitch-edge"))
        .args(["peers", "--metrics", &edge.metrics.to_string()])
        .output()
        .unwrap();
    let printed = String::from_utf8(out.stdout).unwrap();
    assert_eq!(without_numbers(&printed), include_str!("data/front_peers.txt"));
}
