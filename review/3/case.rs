//! Case 3: one of a front node's connections to a signalling server falls silent and stays open; calls whose set-up
//! passed on it come to their end.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::thread;
use std::time::{Duration, Instant};

/// Mean time between set-ups, half of them with either server as first choice, and the most by which one is earlier
/// or later than that.
const INTERVAL_MS: u64 = 500;
const JITTER_MS: u64 = 150;
/// How long set-ups are sent, and when the connection falls silent.
const LOAD_MS: u64 = 36_000;
const SILENT_MS: u64 = 14_000;
const SERVICE: Service =
    Service { setup: Duration::from_millis(60), hold: Duration::from_secs(10), answer_bytes: 200 };
/// Load reports are refreshed every 230 to 980 ms.
const REPORT: Duration = Duration::from_millis(500);
/// How long a caller waits: a third of the 9 s after which it gives up.
const LEFT_MS: u64 = 3000;
/// A call that is over is released within 8 s of its end if no release could be sent. The rules on sockets add 50 ms,
/// and these stand-ins may note an end up to 50 ms late.
const RELEASED_MS: u64 = 8000 + 50 + 50;

fn main() {
    let run = Run::begin();
    let record = &run.record;
    let servers = ["s-00000000", "s-00000001"].map(|name| Server::start(name, record, SERVICE));
    servers.iter().for_each(|server| server.report_every(REPORT));
    let network = Network::start(&servers[0]);
    let addresses = [network.address, servers[1].address];
    let listed =
        servers.iter().zip(addresses).zip(0..).map(|((s, a), n)| target(s.name, a, n, "in_service", 0));
    let coordinator = Coordinator::start(record, &listed.collect::<Vec<_>>());
    let listen = free_address();
    start_front(&run, listen, &config(listen, coordinator.address, &coordinator.known(), "[0,1]"));

    let callers = Callers::new(listen, record);
    let mut connection = callers.connect().unwrap_or_else(|| not_run("the front node accepts no connection"));
    let start = Instant::now();
    for call in 1..=LOAD_MS / INTERVAL_MS {
        let early_ms = call * 7919 % (2 * JITTER_MS);
        let due = start + ms(call * INTERVAL_MS + JITTER_MS - early_ms);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if run.has_trouble && call == SILENT_MS / INTERVAL_MS {
            network.silence_first_connection();
        }
        let uid = format!("{call:016x}");
        let path = format!("dest:{};width:1;via:-1", call % 2);
        connection.invite(&uid, "day-plan", &path, LEFT_MS, &answer_body("caller", &uid, 200));
    }
    thread::sleep(ms(LEFT_MS));
    if run.has_trouble && !network.is_first_silent() {
        not_run("no set-up was sent on the first connection after it was to fall silent");
    }

    let now = record.now();
    let (mut faults, mut stood, mut other, mut over, mut never) = (Vec::new(), 0, 0, 0, 0);
    let mut calls: Vec<_> = callers.calls().into_iter().collect();
    calls.sort_by_key(|(_, call)| call.sent_ms);
    for (uid, call) in &calls {
        let [(_, 200, body)] = call.finals.as_slice() else {
            other += 1;
            if call.finals.len() != 1 {
                faults.push(format!("{uid} got {} answers", call.finals.len()));
            }
            continue;
        };
        stood += 1;
        // The call stands at the server whose description the caller was given.
        let Some(server) = servers.iter().find(|server| *body == answer_body(server.name, uid, 200)) else {
            faults.push(format!("{uid} was answered with a description that no server gave"));
            continue;
        };
        let Some(end) = server.ended_at(uid).filter(|end| end + RELEASED_MS <= now) else { continue };
        over += 1;
        let released = call.byes.first().copied();
        if released.is_none_or(|at| at > end + RELEASED_MS) {
            never += u32::from(released.is_none());
            faults.push(format!(
                "{uid} ended at {} at {end} ms, and was released at {released:?} ms",
                server.name
            ));
        }
    }
    if front_has_exited() {
        faults.push("the front node has exited".into());
    }
    let summary = format!(
        "{} set-ups, {stood} stood, {other} refused or failed; of {over} calls that were over for 8.1 s, {} were not \
         released within that time, {never} of them never",
        calls.len(),
        faults.len()
    );
    run.end(&faults, &summary);
}
