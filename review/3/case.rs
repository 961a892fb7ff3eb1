//! Case 3: the coordinator's replies come late for a while, and a server is drained meanwhile.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::thread;
use std::time::{Duration, Instant};

/// Set-ups a second, half of them with either server as first choice.
const CALLS_PER_S: u64 = 40;
const SERVICE: Service =
    Service { setup: Duration::from_millis(60), hold: Duration::from_secs(2), answer_bytes: 200 };
const LEFT_MS: u64 = 3000;
/// When replies begin to come late, for how long, and by how much.
const SLOW_FROM_MS: u64 = 4000;
const SLOW_FOR_MS: u64 = 8000;
const LATE: Duration = Duration::from_millis(2500);
/// The server drains this long after.
const DRAIN_AFTER_MS: u64 = 300;
/// What a coordinator that breaks off or goes silent would have told counts as told this long after that began.
const TOLD_AFTER_MS: u64 = 7000;
/// Nothing new goes to a draining server later than 500 ms after the front node was told; the rules on sockets add
/// 50 ms, and these stand-ins may note a set-up up to 50 ms after its first byte.
const GRACE_MS: u64 = 500 + 50 + 50;

fn main() {
    let run = Run::begin();
    let record = &run.record;
    let servers = ["s-00000000", "s-00000001"].map(|name| Server::start(name, record, SERVICE));
    let listed = servers.iter().zip(0..).map(|(s, n)| target(s.name, s.address, n, "in_service", 0));
    let coordinator = Coordinator::start(record, &listed.collect::<Vec<_>>());
    if run.has_trouble {
        coordinator.be_slow(SLOW_FROM_MS, SLOW_FROM_MS + SLOW_FOR_MS, LATE);
    }
    let listen = free_address();
    start_front(&run, listen, &config(listen, coordinator.address, &coordinator.known(), "[0,1]"));

    let draining = coordinator.clone();
    let old = servers[0].clone();
    let published = thread::spawn(move || {
        while old.now() < SLOW_FROM_MS + DRAIN_AFTER_MS {
            thread::sleep(ms(1));
        }
        draining.publish(false, &[target(old.name, old.address, 0, "terminating", 0)])
    });
    let callers = Callers::new(listen, record);
    let mut connection = callers.connect().unwrap_or_else(|| not_run("the front node accepts no connection"));
    let start = Instant::now();
    let count = CALLS_PER_S * (SLOW_FROM_MS + SLOW_FOR_MS + 4000) / 1000;
    for call in 1..=count {
        let due = start + Duration::from_micros(call * 1_000_000 / CALLS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let uid = format!("{call:016x}");
        let path = format!("dest:{};width:1;via:-1", call % 2);
        connection.invite(&uid, "day-plan", &path, LEFT_MS, &answer_body("caller", &uid, 200));
    }
    thread::sleep(ms(LEFT_MS));

    let drained = published.join().unwrap_or_else(|_| not_run("the drain was not told"));
    let told = if run.has_trouble { SLOW_FROM_MS + TOLD_AFTER_MS } else { drained };
    record.line(&format!(
        "the drain is in the coordinator since {drained} ms, and counts as told at {told} ms"
    ));
    let launches = servers[0].launches();
    let late: Vec<_> = launches.iter().filter(|launch| launch.at_ms > told + GRACE_MS).collect();
    let mut faults: Vec<_> = late
        .iter()
        .map(|launch| {
            format!(
                "{} was sent to {} at {} ms, which drains; told at {told} ms",
                launch.uid, servers[0].name, launch.at_ms
            )
        })
        .collect();
    let stood =
        callers.calls().values().filter(|call| matches!(call.finals.as_slice(), [(_, 200, _)])).count();
    if front_has_exited() {
        faults.push("the front node has exited".into());
    }
    let since_drain = launches.iter().filter(|launch| launch.at_ms > drained + GRACE_MS).count();
    run.end(
        &faults,
        &format!(
            "{count} set-ups, {stood} stood; {since_drain} set-ups to the draining server later than {GRACE_MS} ms after the event, {} of them after it counts as told",
            late.len()
        ),
    );
}
