//! Case 3: the front node is killed and starts again; calls end at their servers while it is away.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::thread;
use std::time::Duration;

/// Standing calls of each of two callers; half of them end while the front node is away.
const CALLS: u64 = 10;
const SERVICE: Service =
    Service { setup: Duration::from_millis(60), hold: Duration::from_secs(100), answer_bytes: 200 };
const LEFT_MS: u64 = 3000;
/// How long after the front node's start the callers of the standing calls come back.
const BACK_MS: u64 = 2000;
/// A call that is over is released within 1 s of its server's release, or 8 s of its end if none could be sent; the
/// rules on sockets add 50 ms. The second, longer figure is used for calls that ended while the front node was away.
const RELEASED_MS: u64 = 1050;
const RELEASED_WHEN_AWAY_MS: u64 = 8050;

fn invite(connection: &mut CallerConnection, call: u64) -> String {
    let uid = format!("{call:016x}");
    let path = format!("dest:{};width:1;via:-1", call % 2);
    connection.invite(&uid, "day-plan", &path, LEFT_MS, &answer_body("caller", &uid, 200));
    uid
}

fn main() {
    let run = Run::begin();
    let record = &run.record;
    let servers = ["s-00000000", "s-00000001"].map(|name| Server::start(name, record, SERVICE));
    let listed = servers.iter().zip(0..).map(|(s, n)| target(s.name, s.address, n, "in_service", 0));
    let coordinator = Coordinator::start(record, &listed.collect::<Vec<_>>());
    let listen = free_address();
    let config = config(listen, coordinator.address, &coordinator.known(), "[0,1]");
    start_front(&run, listen, &config);
    let callers = Callers::new(listen, record);
    let connect = || callers.connect().unwrap_or_else(|| not_run("the front node accepts no connection"));

    // Two callers with standing calls.
    let mut owners = [connect(), connect()];
    let mut standing = Vec::new();
    for call in 1..=2 * CALLS {
        let owner = (call / 2 % 2) as usize;
        standing.push((owner, invite(&mut owners[owner], call)));
        thread::sleep(ms(30));
    }
    thread::sleep(ms(500));
    let stands_at = |uid: &str| servers.iter().find(|server| server.is_standing(uid));
    if standing.iter().any(|(_, uid)| stands_at(uid).is_none() || callers.call(uid).finals.len() != 1) {
        not_run("not all calls stand");
    }
    let places: Vec<_> = standing.iter().filter_map(|(_, uid)| stands_at(uid)).cloned().collect();

    if run.has_trouble {
        record.line("the front node is killed");
        kill_front();
        thread::sleep(ms(500));
    }
    // Half of the calls come to their end.
    let (over, on): (Vec<usize>, Vec<usize>) = (0..standing.len()).partition(|n| n / 4 % 2 == 0);
    over.iter().for_each(|n| places[*n].end_call(&standing[*n].1));
    let mut after = owners.into_iter().map(Some).collect::<Vec<_>>();
    if run.has_trouble {
        thread::sleep(ms(500));
        start_front(&run, listen, &config);
        // Another caller is back first, and its set-ups open connections to both servers.
        let mut first = connect();
        for call in 101..=104 {
            invite(&mut first, call);
            thread::sleep(ms(100));
        }
        thread::sleep(ms(BACK_MS));
        // The callers of the standing calls come back, and name each with the server where it stands.
        after = vec![Some(connect()), Some(connect())];
        for (place, (owner, uid)) in places.iter().zip(&standing) {
            let path = format!("dest:-1;width:1;via:-1;at:{}", place.name);
            if let Some(connection) = &mut after[*owner] {
                connection.invite(uid, "day-plan", &path, LEFT_MS, &answer_body("caller", uid, 200));
            }
        }
    }
    thread::sleep(ms(10_000));

    // The calls that still stand end now, as a check that they were taken over.
    let mut faults = Vec::new();
    for n in &on {
        if !callers.call(&standing[*n].1).byes.is_empty() {
            faults.push(format!("{} stands at its server and was released", standing[*n].1));
        }
        places[*n].end_call(&standing[*n].1);
    }
    thread::sleep(ms(RELEASED_MS + 500));

    let mut check = |n: usize, within_ms: u64| {
        let uid = &standing[n].1;
        let end = places[n].ended_at(uid).unwrap_or(0);
        let released = callers.call(uid).byes.first().copied();
        if released.is_none_or(|at| at > end + within_ms) {
            faults.push(format!(
                "{uid} ended at {end} ms, its release by the front node is due within {within_ms} ms; it came: {released:?}"
            ));
            return 1;
        }
        0
    };
    let within_ms = if run.has_trouble { RELEASED_WHEN_AWAY_MS } else { RELEASED_MS };
    let unreleased: usize = over.iter().map(|n| check(*n, within_ms)).sum();
    let unreleased_later: usize = on.iter().map(|n| check(*n, RELEASED_MS)).sum();
    drop(after);
    if front_has_exited() {
        faults.push("the front node has exited".into());
    }
    let summary = format!(
        "{} calls that ended while it was away, {unreleased} not released in time; {} that ended later, {unreleased_later} not released in time",
        over.len(), on.len()
    );
    run.end(&faults, &summary);
}
