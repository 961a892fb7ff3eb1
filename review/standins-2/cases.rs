//! The cases of the review: `cases CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. With TROUBLE=0 in the environment a case does the same without its disruption.

mod platform;

use platform::*;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Number of the other servers in `two_attempts`.
const OTHERS: usize = 9;
/// By the operators' page an eighth of the descriptors is for connections to servers.
const UPSTREAM_LIMIT: usize = 256 / 8;
/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(110);
/// By the protocol page's rules on sockets: a release follows that of the server within 1 s, with 50 ms of slack.
const RELEASE_WITHIN: Duration = Duration::from_millis(1_050);
/// And within 8 s of the call's end if no release could be sent.
const RELEASE_AT_LAST: Duration = Duration::from_millis(8_050);

struct Run {
    record: Record,
    folder: PathBuf,
    trouble: bool,
}

/// Whether the rule held, or why the case couldn't run.
type Outcome = Result<bool, String>;

fn text(error: std::io::Error) -> String {
    error.to_string()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        std::process::exit(2);
    };
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let created = std::fs::create_dir_all(&folder).and_then(|()| Record::create(&PathBuf::from(record)));
    let Ok(record) = created else {
        eprintln!("the record or the temporary folder can't be written");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.write("case", &format!("{case}, {} the disruption", if trouble { "with" } else { "without" }));
    let watched = folder.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        kill_children();
        let _ = std::fs::remove_dir_all(watched);
        eprintln!("not finished in time");
        std::process::exit(2);
    });
    let run = Run { record: record.clone(), folder: folder.clone(), trouble };
    let outcome = match case.as_str() {
        "second-copy" => second_copy(&run),
        "two-attempts" => two_attempts(&run),
        "useless-connection" => useless_connection(&run),
        "connection-limit" => connection_limit(&run),
        "unwritten-end" => unwritten_end(&run),
        "late-list" => late_list(&run),
        "lost-hang-up" => lost_hang_up(&run),
        _ => Err("no such case".to_string()),
    };
    kill_children();
    let _ = std::fs::remove_dir_all(&folder);
    let (code, verdict) = match outcome {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was broken".to_string()),
        Err(why) => (2, format!("couldn't run: {why}")),
    };
    record.write("verdict", &verdict);
    println!("{verdict}");
    std::process::exit(code);
}

impl Run {
    fn caller(&self, name: &str, node: &Node) -> Result<Caller, String> {
        Caller::connect(name, &self.record, node.address).map_err(text)
    }

    fn node(&self, name: &str, coordinator: &Coordinator, settings: &str) -> Result<Node, String> {
        Node::start(name, &self.record, &self.folder, coordinator, settings, 1_024).map_err(text)
    }

    fn note(&self, what: &str) {
        self.record.write("check", what);
    }

    /// A server that answers each set-up, and whose calls end by themselves after a time.
    fn plain_server(&self, name: &str, hold: Duration) -> Server {
        Server::start(name, &self.record, move |server, launch| {
            server.answer(launch);
            server.end_after(&launch.uid, hold);
        })
    }

    /// Whether an attempt of a call reached a server while an earlier one was out: neither was its end written nor was it
    /// given up.
    fn has_two_out(&self, server: &Server, call: &str) -> bool {
        let mut out = 0;
        for event in server.history(call) {
            match event {
                Event::Launched => out += 1,
                Event::Ended | Event::GivenUp => out = 0,
            }
            if out > 1 {
                self.note("an attempt reached the server while another one of the call was out");
                return true;
            }
        }
        false
    }

    /// Follows a call that stands at a server until the server ends it, and checks that its caller is released then
    /// and not before.
    fn follow(&self, caller: &Caller, server: &Server, call: &str, hold: Duration) -> bool {
        if let Some(early) = caller.wait_for(hold, |message| message.is_release_of(call)) {
            let stands = server.stands(call);
            let text = if stands { "stands" } else { "doesn't stand" };
            self.note(&format!("released ({}) while the call {text} at its server", early.reason));
            if stands {
                return false;
            }
        }
        server.end(call);
        let released = caller.wait_for(RELEASE_WITHIN, |message| message.is_release_of(call)).is_some();
        self.note(if released { "released after its end" } else { "not released within 1.05 s of its end" });
        released
    }
}

/// A server refuses a set-up with an error, takes the next attempt of the call, and sends a second copy of the error some
/// milliseconds late.
fn second_copy(run: &Run) -> Outcome {
    let call = id(1);
    let (watched, trouble, mut attempts) = (call.clone(), run.trouble, 0);
    let first = Server::start("s0", &run.record, move |server, launch| {
        if launch.uid != watched {
            return server.answer(launch);
        }
        attempts += 1;
        if attempts > 1 {
            return server.answer(launch);
        }
        server.refuse(launch, 47, "");
        if trouble {
            let (server, launch) = (server.clone(), launch.clone());
            std::thread::spawn(move || {
                std::thread::sleep(ms(20));
                server.send_refusal(&launch, 47, "");
            });
        }
    });
    let second = run.plain_server("s1", ms(2_000));
    let targets =
        [target("s0", first.address, 0, "in_service", 0), target("s1", second.address, 1, "in_service", 0)];
    let coordinator = Coordinator::start("coordinator", &run.record, &targets);
    let node = run.node("n0", &coordinator, &settings(0..2, 0..1))?;
    let caller = run.caller("caller", &node)?;
    let answer = caller.set_up(&call, "reroute", "dest:0;width:1;via:-1", 3_000);
    if answer.map(|answer| answer.status) != Some(200) {
        return Err("the call was not set up".to_string());
    }
    Ok(run.follow(&caller, &first, &call, ms(4_000)))
}

/// A node has used up its connections to servers beyond the first to each. A server refuses a set-up with an error, works on
/// the next attempt of the call, and sends a second copy of the error some milliseconds late.
fn two_attempts(run: &Run) -> Outcome {
    let call = id(1);
    let (watched, trouble, mut attempts) = (call.clone(), run.trouble, 0);
    let first = Server::start("s0", &run.record, move |server, launch| {
        if launch.uid != watched {
            return server.answer(launch);
        }
        attempts += 1;
        let is_first = attempts == 1;
        if is_first {
            server.refuse(launch, 47, "");
        }
        let (server, launch) = (server.clone(), launch.clone());
        std::thread::spawn(move || {
            if is_first && trouble {
                std::thread::sleep(ms(20));
                server.send_refusal(&launch, 47, "");
            } else if !is_first {
                // The time that the set-up takes.
                std::thread::sleep(ms(60));
                server.answer(&launch);
            }
        });
    });
    let others: Vec<Server> = (1..=OTHERS)
        .map(|number| {
            Server::start(&format!("s{number}"), &run.record, |server, launch| {
                let (server, launch) = (server.clone(), launch.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(ms(60));
                    server.answer(&launch);
                    server.end_after(&launch.uid, ms(500));
                });
            })
        })
        .collect();
    let mut targets = vec![target("s0", first.address, 0, "in_service", 0)];
    targets.extend(
        others
            .iter()
            .zip(1..)
            .map(|(server, number)| target(&server.name, server.address, number, "in_service", 0)),
    );
    let coordinator = Coordinator::start("coordinator", &run.record, &targets);
    let node = Node::start("n0", &run.record, &run.folder, &coordinator, &settings(1..OTHERS + 1, 0..1), 256);
    let node = node.map_err(text)?;
    let caller = run.caller("caller", &node)?;
    // The usual traffic, with several set-ups at a time at each server.
    let mut number = 100;
    let open = || others.iter().map(|server| server.open_connections().len()).sum::<usize>();
    let started = Instant::now();
    while open() < UPSTREAM_LIMIT {
        if started.elapsed() > ms(40_000) {
            return Err(format!("{} connections to the other servers", open()));
        }
        for _ in 0..8 {
            for server in 1..=OTHERS {
                caller.invite(&id(number), "day-plan", &format!("dest:{server};width:1;via:-1"), 2_700);
                number += 1;
            }
        }
        std::thread::sleep(ms(250));
    }
    run.note(&format!("{} connections to the other servers", open()));
    let answer = caller.set_up(&call, "reroute", "dest:0;width:1;via:-1", 2_700);
    run.note(&format!("final answer: {:?}", answer.map(|answer| answer.status)));
    std::thread::sleep(ms(500));
    Ok(!run.has_two_out(&first, &call))
}

/// An answer never arrives, and its connection is left open and of no further use. Its caller gives the set-up up. Then a
/// call comes to its end that was set up on that connection before.
fn useless_connection(run: &Run) -> Outcome {
    let (call, given_up) = (id(1), id(2));
    let (slow, lost, trouble) = ([30, 31, 32, 33, 12, 14].map(id), given_up.clone(), run.trouble);
    let first = Server::start("s0", &run.record, move |server, launch| {
        let (server, launch) = (server.clone(), launch.clone());
        if launch.uid == lost && trouble {
            server.make_useless(launch.connection);
        }
        let is_slow = slow.contains(&launch.uid);
        std::thread::spawn(move || {
            std::thread::sleep(ms(if is_slow { 150 } else { 5 }));
            server.answer(&launch);
            if ![id(1), id(2)].contains(&launch.uid) {
                server.end_after(&launch.uid, ms(500));
            }
        });
    });
    let second = run.plain_server("s1", ms(2_000));
    let targets =
        [target("s0", first.address, 0, "in_service", 0), target("s1", second.address, 1, "in_service", 0)];
    let coordinator = Coordinator::start("coordinator", &run.record, &targets);
    let node = run.node("n0", &coordinator, &settings(0..2, 0..1))?;
    let caller = run.caller("caller", &node)?;
    let path = "dest:0;width:1;via:-1";
    // Two set-ups at a time make the node open another connection; from then on it takes that one for a set-up while one
    // is open on the first.
    for number in 20..24 {
        caller.invite(&id(number + 10), "reroute", path, 2_700);
        std::thread::sleep(ms(50));
        if caller.set_up(&id(number), "reroute", path, 2_700).map(|answer| answer.status) != Some(200) {
            return Err("the calls were not set up".to_string());
        }
        std::thread::sleep(ms(1_000));
        if first.open_connections().len() > 1 {
            break;
        }
    }
    caller.invite(&id(12), "reroute", path, 2_700);
    std::thread::sleep(ms(50));
    let answer = caller.set_up(&call, "reroute", path, 2_700);
    if answer.map(|answer| answer.status) != Some(200) {
        return Err("the call was not set up".to_string());
    }
    std::thread::sleep(ms(500));
    caller.invite(&id(14), "reroute", path, 2_700);
    std::thread::sleep(ms(50));
    caller.invite(&given_up, "reroute", path, 2_700);
    std::thread::sleep(ms(300));
    // Its caller gives it up, or hangs up if it was answered.
    let answered = caller.wait_for(ms(0), |message| message.is_answer_to(&given_up)).is_some();
    caller.request(if answered { "BYE" } else { "CANCEL" }, &given_up);
    let launched = |uid: &str| first.wait_for(ms(500), |line| line.kind == "launch" && line.uid == uid);
    let connections = [launched(&call), launched(&given_up)].map(|line| line.map(|line| line.connection));
    if connections[0].is_none() || connections[0] != connections[1] {
        return Err(format!("the set-ups were on the connections {connections:?}"));
    }
    // The usual traffic, one set-up at a time.
    let (traffic, stop) = (caller.clone(), Instant::now() + ms(15_000));
    std::thread::spawn(move || {
        for number in 100.. {
            if Instant::now() > stop {
                return;
            }
            traffic.invite(&id(number), "reroute", path, 2_700);
            std::thread::sleep(ms(700));
        }
    });
    std::thread::sleep(ms(3_000));
    if caller.wait_for(ms(0), |message| message.is_release_of(&call)).is_some() {
        run.note("released while the call stands at its server");
        return Ok(false);
    }
    first.end(&call);
    let released = caller.wait_for(RELEASE_AT_LAST, |message| message.is_release_of(&call)).is_some();
    run.note(if released { "released after its end" } else { "not released within 8.05 s of its end" });
    Ok(released)
}

/// A server with a standing call is at its connection limit: it refuses further connections.
fn connection_limit(run: &Run) -> Outcome {
    let call = id(1);
    let limit = if run.trouble { 1 } else { usize::MAX };
    let first =
        Server::start_at("s0", free_address(), limit, &run.record, |server, launch| server.answer(launch));
    let second = run.plain_server("s1", ms(2_000));
    let targets =
        [target("s0", first.address, 0, "in_service", 0), target("s1", second.address, 1, "in_service", 0)];
    let coordinator = Coordinator::start("coordinator", &run.record, &targets);
    let node = run.node("n0", &coordinator, &settings(0..2, 0..1))?;
    let caller = run.caller("caller", &node)?;
    let answer = caller.set_up(&call, "reroute", "dest:0;width:1;via:-1", 3_000);
    if answer.map(|answer| answer.status) != Some(200) {
        return Err("the call was not set up".to_string());
    }
    Ok(run.follow(&caller, &first, &call, ms(9_000)))
}

/// A front node is killed, and a call that stands at a new server comes to another front node, whose list is late.
fn late_list(run: &Run) -> Outcome {
    let old = run.plain_server("s0", ms(300));
    let other = run.plain_server("s1", ms(300));
    let targets =
        [target("s0", old.address, 0, "in_service", 0), target("s1", other.address, 1, "in_service", 0)];
    let list_a = Coordinator::start("list of a", &run.record, &targets);
    let list_b = Coordinator::start("list of b", &run.record, &targets);
    let node_a = run.node("a", &list_a, &settings(0..2, 0..1))?;
    let node_b = run.node("b", &list_b, &settings(0..2, 0..1))?;
    let caller = run.caller("caller a", &node_a)?;
    // The usual traffic, by which the front node knows its normal rate to the pool.
    let mut number = 100;
    let started = Instant::now();
    while started.elapsed() < ms(12_000) {
        caller.invite(&id(number), "reroute", "dest:0;width:1;via:-1", 2_700);
        number += 1;
        std::thread::sleep(ms(50));
    }
    // A new server takes the place of the old one.
    let new = Server::start("s2", &run.record, |server, launch| server.answer(launch));
    let boot = Instant::now();
    let change = [
        target("s0", old.address, 0, "terminating", 0),
        target("s2", new.address, 0, "in_service", unix_ms()),
    ];
    std::thread::sleep(ms(480));
    list_a.publish(&change);
    if !run.trouble {
        list_b.publish(&change);
    }
    let mut launch = None;
    while launch.is_none() && boot.elapsed() < ms(1_900) {
        caller.invite(&id(number), "reroute", "dest:0;width:1;via:-1", 2_700);
        number += 1;
        launch = new.wait_for(ms(50), |line| line.kind == "launch");
    }
    let Some(launch) = launch else { return Err("no call at the new server in time".to_string()) };
    let call = launch.uid;
    let answer = caller.wait_for(ms(300), |message| message.is_answer_to(&call));
    if answer.map(|answer| answer.status) != Some(200) {
        return Err("the call was not set up".to_string());
    }
    node_a.signal(SIGKILL);
    let moved = run.caller("caller b", &node_b)?;
    moved.invite(&call, "reroute", "dest:0;width:1;via:-1;at:s2", 2_700);
    let named_at = boot.elapsed();
    run.note(&format!("named {} ms after the start of s2", named_at.as_millis()));
    if named_at > ms(2_100) {
        return Err("too late for a list that is 2.2 s late".to_string());
    }
    if run.trouble {
        std::thread::sleep(ms(2_200).saturating_sub(boot.elapsed()));
        list_b.publish(&change);
    }
    Ok(run.follow(&moved, &new, &call, ms(6_000)))
}

/// A caller hangs up while the connection to the server has been forgotten on its way.
fn lost_hang_up(run: &Run) -> Outcome {
    let call = id(1);
    let first = Server::start("s0", &run.record, |server, launch| server.answer(launch));
    let proxy = Proxy::start(&run.record, first.address);
    let second = run.plain_server("s1", ms(2_000));
    let targets =
        [target("s0", proxy.address, 0, "in_service", 0), target("s1", second.address, 1, "in_service", 0)];
    let coordinator = Coordinator::start("coordinator", &run.record, &targets);
    let node = run.node("n0", &coordinator, &settings(0..2, 0..1))?;
    let caller = run.caller("caller", &node)?;
    let answer = caller.set_up(&call, "reroute", "dest:0;width:1;via:-1", 3_000);
    if answer.map(|answer| answer.status) != Some(200) {
        return Err("the call was not set up".to_string());
    }
    std::thread::sleep(ms(1_000));
    if run.trouble {
        proxy.forget();
    }
    caller.request("BYE", &call);
    let accepted = caller.wait_for(ms(1_000), |message| message.method == "BYE" && message.status == 200);
    if accepted.is_none() {
        return Err("the hang-up was not accepted".to_string());
    }
    let released = first.wait_for(RELEASE_AT_LAST, |line| line.kind == "stop" && line.uid == call).is_some();
    run.note(if released { "the server got the release" } else { "the server got no release within 8.05 s" });
    if !released {
        let stands = first.stands(&call);
        run.note(&format!(
            "the call {} at the server",
            if stands { "still stands" } else { "doesn't stand" }
        ));
    }
    Ok(released)
}

/// A server reads a set-up and hangs. Further set-ups fill its connections, so that the end of the first one can't be
/// written when the node decides on it.
///
/// The connection has to be full before that, and not so early that a set-up which is partly written is given up first. How
/// much a connection takes depends on the kernel, so there are several rounds, with 115 to 160 set-ups a second.
fn unwritten_end(run: &Run) -> Outcome {
    for period_us in [7_800, 7_000, 8_700, 7_400, 6_250] {
        run.note(&format!("a round with a set-up every {period_us} us"));
        if !unwritten_end_round(run, period_us)? {
            return Ok(false);
        }
    }
    Ok(true)
}

fn unwritten_end_round(run: &Run, period_us: u64) -> Outcome {
    let calls = [1].map(id);
    let (watched, trouble, mut read) = (calls.clone(), run.trouble, 0);
    let first = Server::start("s0", &run.record, move |server, launch| {
        if watched.contains(&launch.uid) && trouble {
            read += 1;
            if read == watched.len() {
                server.hang(true);
            }
            return;
        }
        // What it reads after it has hung it leaves undone for now.
        if !server.has_hung() {
            server.answer(launch);
            server.end_after(&launch.uid, ms(1_000));
        }
    });
    let others: Vec<Server> =
        (1..8).map(|number| run.plain_server(&format!("s{number}"), ms(1_000))).collect();
    let mut targets = vec![target("s0", first.address, 0, "in_service", 0)];
    targets.extend(
        others
            .iter()
            .zip(1..)
            .map(|(server, number)| target(&server.name, server.address, number, "in_service", 0)),
    );
    let coordinator = Coordinator::start("coordinator", &run.record, &targets);
    let node = run.node("n0", &coordinator, &settings(0..8, 0..8))?;
    let caller = run.caller("caller", &node)?;
    // Two in five set-ups name the first server.
    let mut traffic = {
        let (caller, started, mut number) = (caller.clone(), Instant::now(), 0);
        move |until: Duration| {
            while started.elapsed() < until {
                let dest = if number % 5 < 2 { 0 } else { 1 + number % 7 };
                let path = format!("dest:{dest};width:1;via:-1");
                caller.invite_long(&id(100 + number), "reroute", &path, 2_700, 15_000);
                number += 1;
                let due = Duration::from_micros(number * period_us);
                std::thread::sleep(due.saturating_sub(started.elapsed()));
            }
        }
    };
    traffic(ms(3_000));
    for call in &calls {
        caller.invite(call, "reroute", "dest:0;width:1;via:-1", 2_700);
    }
    let sent_at = Instant::now();
    let beside = std::thread::spawn(move || traffic(ms(4_500)));
    // Each next attempt of a watched call, with what the kernel shows of the connection of its first one then.
    let is_launch = |line: &Line, call: &String| line.kind == "launch" && line.uid == *call;
    let mut found: Vec<(&String, Line, Option<Wire>)> = Vec::new();
    while sent_at.elapsed() < ms(2_700) {
        for call in
            calls.iter().filter(|call| found.iter().all(|(found, ..)| found != call)).collect::<Vec<_>>()
        {
            let next = others.iter().find_map(|server| server.wait_for(ms(0), |line| is_launch(line, call)));
            let launch = first.wait_for(ms(0), |line| is_launch(line, call));
            let (Some(next), Some(launch)) = (next, launch) else { continue };
            let wire = first.wire(launch.connection);
            run.note(&format!(
                "{call}: the next attempt reached another server {} ms after the first one; the first one's \
                 connection {}: {wire:?}",
                next.at.duration_since(launch.at).as_millis(),
                launch.connection
            ));
            found.push((call, launch, wire));
        }
        std::thread::sleep(ms(1));
    }
    first.hang(false);
    let _ = beside.join();
    // It reads on until the node's end of each connection, which takes its time as little fits into a buffer.
    let until = Instant::now() + ms(40_000);
    while Instant::now() < until
        && found.iter().any(|(_, launch, _)| first.open_connections().contains(&launch.connection))
    {
        std::thread::sleep(ms(10));
    }
    let mut is_kept = true;
    for (call, launch, wire) in &found {
        let end = first.wait_for(ms(0), |line| {
            line.kind == "stop" && line.uid == **call && line.connection == launch.connection
        });
        let (end, read) = (end.map(|line| line.end), first.read_bytes(launch.connection));
        // Given up is an attempt whose connection was closed, or whose end was written: it is among the bytes written.
        // If not all of these were read in the end, that is not known.
        let is_given_up = wire.as_ref().is_none_or(|wire| {
            !wire.is_open || read < wire.written || end.is_some_and(|end| end <= wire.written)
        });
        run.note(&format!(
            "{call}: {read} bytes were read in the end, the end of the first attempt up to byte {end:?}; given up: {is_given_up}"
        ));
        is_kept &= is_given_up;
    }
    run.note(&format!("{} calls had another attempt", found.len()));
    Ok(is_kept)
}
