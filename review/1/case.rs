//! Case 1: one of four signalling servers is replaced; calls that still stand there are cut when it stops.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

/// Set-ups a second on each caller's connection; 150 in all. The page of the days names up to 190.
const CALLS_PER_S: [u64; 3] = [130, 10, 10];
/// When the replacement begins, when the old process stops, and how long set-ups are sent.
const DRAIN_MS: u64 = 11_500;
const STOP_MS: u64 = 12_500;
const LOAD_MS: u64 = 15_000;
/// How long a caller waits: a third of the 9 s after which it gives up.
const LEFT_MS: u64 = 3000;
const SERVICE: Service =
    Service { setup: Duration::from_millis(60), hold: Duration::from_secs(10), answer_bytes: 200 };
/// A set-up that crosses the close of a connection within this time may be sent again.
const CROSSING_MS: u64 = 50;

/// One caller: sends set-ups at a steady rate on one connection, and on a new one once that has ended. A set-up
/// whose connection has ended without its answer is sent once more, on the new connection.
fn call(callers: &Callers, number: u64, per_s: u64) {
    let mut connection: Option<CallerConnection> = None;
    let mut open: Vec<String> = Vec::new();
    let start = Instant::now();
    for call in 1..=per_s * LOAD_MS / 1000 {
        let due = start + Duration::from_micros(call * 1_000_000 / per_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let known = callers.calls();
        open.retain(|uid| known.get(uid).is_some_and(|call| call.finals.is_empty() && call.sends < 2));
        connection = connection.filter(|connection| callers.ended_at(connection.number).is_none());
        let mut again = Vec::new();
        if connection.is_none() {
            connection = callers.connect();
            again = std::mem::take(&mut open);
        }
        let Some(connection) = &mut connection else { continue };
        let new = format!("{:016x}", number << 32 | call);
        open.push(new.clone());
        for uid in again.iter().chain([&new]) {
            let class = if call % 5 == 0 { "reroute" } else { "day-plan" };
            let path = format!("dest:{};width:1;via:-1", call % 4);
            connection.invite(uid, class, &path, LEFT_MS, &answer_body("caller", uid, 200));
        }
    }
    thread::sleep(ms(LEFT_MS + 9000));
}

fn main() {
    let run = Run::begin();
    let record = &run.record;
    let names = ["s-00000000", "s-00000001", "s-00000002", "s-00000003"];
    let mut servers: Vec<_> = names.map(|name| Server::start(name, record, SERVICE)).into();
    let listed = servers.iter().zip(0..).map(|(s, n)| target(s.name, s.address, n, "in_service", 0));
    let coordinator = Coordinator::start(record, &listed.collect::<Vec<_>>());
    let listen = free_address();
    start_front(&run, listen, &config(listen, coordinator.address, &coordinator.known(), "[0,1,2,3]"));

    let callers = Callers::new(listen, record);
    let threads = CALLS_PER_S.iter().zip(1..).map(|(per_s, number)| {
        let (callers, per_s) = (callers.clone(), *per_s);
        thread::spawn(move || call(&callers, number, per_s))
    });
    let threads: Vec<_> = threads.collect();
    thread::sleep(ms(DRAIN_MS));
    if run.has_trouble {
        let (old, group) = (&servers[0], 0);
        let new = Server::start("s-00000004", record, SERVICE);
        let joins = target(new.name, new.address, group, "in_service", unix_ms());
        coordinator.publish(false, &[target(old.name, old.address, group, "terminating", 0), joins]);
        servers.push(new);
        thread::sleep(ms(STOP_MS - DRAIN_MS));
        servers[0].die();
        // The list tells of it seconds late.
        thread::sleep(ms(2200));
        let old = &servers[0];
        coordinator.publish(false, &[target(old.name, old.address, group, "terminated", 0)]);
    }
    threads.into_iter().for_each(|thread| _ = thread.join());

    let ended: HashMap<String, u64> = servers.iter().flat_map(Server::ended).collect();
    let (mut faults, mut stood, mut other, mut unanswered, mut unreleased) = (Vec::new(), 0, 0, 0, 0);
    let mut calls: Vec<_> = callers.calls().into_iter().collect();
    calls.sort_by_key(|(_, call)| call.sent_ms);
    for (uid, call) in &calls {
        match call.finals.as_slice() {
            [(_, 200, _)] => {
                stood += 1;
                let released = call.byes.first();
                if ended.get(uid).is_some_and(|end| released.is_none_or(|bye| *bye > end + 8050)) {
                    unreleased += 1;
                    faults.push(format!(
                        "{uid} ended at {} ms and was released at {released:?} ms",
                        ended[uid]
                    ));
                }
            }
            [_] => other += 1,
            [] => {
                let end = callers.ended_at(call.connection);
                if end.is_some_and(|end| call.sends == 2 || call.sent_ms + CROSSING_MS < end) {
                    unanswered += 1;
                    faults.push(format!(
                        "{uid}, sent {} times, last at {} ms, got no answer: the front node ended connection {} at {} ms",
                        call.sends, call.sent_ms, call.connection, end.unwrap_or(0)
                    ));
                } else {
                    record.line(&format!("{uid} has no answer; not counted"));
                }
            }
            finals => faults.push(format!("{uid} got {} answers", finals.len())),
        }
    }
    if front_has_exited() {
        faults.push("the front node has exited".into());
    }
    let summary = format!(
        "{} set-ups, {stood} stood, {other} refused or failed; {unanswered} unanswered as the front node ended their \
         connections; {unreleased} calls over and not released within 8 s",
        calls.len()
    );
    run.end(&faults, &summary);
}
