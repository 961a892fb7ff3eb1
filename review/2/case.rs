//! Case 2: some bad clients send hundreds of requests at once, and the front node holds more memory than it may.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The front node's limit of memory, the least that the page of the days names.
const MEMORY_MB: u64 = 32;
/// Set-ups a second of the usual caller.
const CALLS_PER_S: u64 = 20;
const LOAD_MS: u64 = 12_000;
const SERVICE: Service =
    Service { setup: Duration::from_millis(60), hold: Duration::from_secs(10), answer_bytes: 200 };
/// How long a caller waits: a third of the 9 s after which it gives up.
const LEFT_MS: u64 = 3000;
/// When the bad clients connect, how many they are, how many requests each sends at once, and the size of one.
const BAD_MS: u64 = 5000;
const BAD_CLIENTS: u64 = 4;
const BAD_REQUESTS: u64 = 900;
const BAD_BYTES: usize = 16_000;

/// A bad client: sends its requests at full speed, reads what it is sent, and closes once it has all answers.
fn send_hundreds(listen: SocketAddr, client: u64, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let Ok(mut reader) = stream.try_clone() else { return };
    let answers = Arc::new(AtomicU64::new(0));
    let counted = answers.clone();
    let reading = thread::spawn(move || {
        let (mut text, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
        loop {
            let count = reader.read(&mut chunk).unwrap_or(0);
            text.extend_from_slice(&chunk[..count]);
            let all = text.windows(8).filter(|window| window == b"SIP/2.0 ").count() as u64;
            counted.store(all, Ordering::SeqCst);
            if count == 0 || all >= BAD_REQUESTS {
                return;
            }
        }
    });
    let mut sent = 0;
    for number in 0..BAD_REQUESTS {
        let uid = format!("{:016x}", (0xbad0 + client) << 32 | number);
        let head = format!(
            "INVITE sip:{UNKNOWN_NUMBER}{uid}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {uid}\r\nCSeq: 1 INVITE\r\n\
             P-Kind: day-plan\r\nP-Time-Left: {LEFT_MS}\r\nP-Path: dest:0;width:1;via:-1\r\nContent-Length: "
        );
        let length = BAD_BYTES - head.len() - 9;
        let request = format!("{head}{length}\r\n\r\n{}", "a".repeat(length));
        if stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        sent += 1;
    }
    record.line(&format!("bad client {client} has sent {sent} requests of {BAD_BYTES} bytes"));
    let _ = reading.join();
    let answers = answers.load(Ordering::SeqCst);
    record.line(&format!("bad client {client} has {answers} answers"));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn main() {
    let run = Run::begin();
    let record = &run.record;
    let servers = ["s-00000000", "s-00000001"].map(|name| Server::start(name, record, SERVICE));
    let listed = servers.iter().zip(0..).map(|(s, n)| target(s.name, s.address, n, "in_service", 0));
    let coordinator = Coordinator::start(record, &listed.collect::<Vec<_>>());
    let listen = free_address();
    let known = coordinator.known();
    start_front(&run, listen, &config_with_memory(listen, coordinator.address, &known, "[0,1]", MEMORY_MB));

    // The platform: over its limit of memory the front node is killed.
    let most_kb = Arc::new(AtomicU64::new(0));
    let killed_ms = Arc::new(AtomicU64::new(0));
    let (platform_record, most, killed) = (record.clone(), most_kb.clone(), killed_ms.clone());
    thread::spawn(move || loop {
        thread::sleep(ms(10));
        let kb = front_memory_kb();
        most.fetch_max(kb, Ordering::SeqCst);
        if kb > MEMORY_MB * 1024 {
            platform_record
                .line(&format!("the front node holds {kb} kB, over its {MEMORY_MB} MB, and is killed"));
            killed.store(platform_record.now(), Ordering::SeqCst);
            kill_front();
            return;
        }
    });
    if run.has_trouble {
        for client in 0..BAD_CLIENTS {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(ms(BAD_MS));
                send_hundreds(listen, client, &record);
            });
        }
    }

    let callers = Callers::new(listen, record);
    let mut connection = callers.connect().unwrap_or_else(|| not_run("the front node accepts no connection"));
    let start = Instant::now();
    for call in 1..=CALLS_PER_S * LOAD_MS / 1000 {
        let due = start + Duration::from_micros(call * 1_000_000 / CALLS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if callers.ended_at(connection.number).is_some() {
            break;
        }
        let uid = format!("{call:016x}");
        let path = format!("dest:{};width:1;via:-1", call % 2);
        connection.invite(&uid, "day-plan", &path, LEFT_MS, &answer_body("caller", &uid, 200));
    }
    thread::sleep(ms(LEFT_MS));

    let usual: Vec<_> = callers.calls().into_values().filter(|call| call.sends > 0).collect();
    let stood = usual.iter().filter(|call| matches!(call.finals.as_slice(), [(_, 200, _)])).count();
    let unanswered = usual.iter().filter(|call| call.finals.is_empty()).count();
    let (most, killed) = (most_kb.load(Ordering::SeqCst), killed_ms.load(Ordering::SeqCst));
    let mut faults = Vec::new();
    if killed > 0 {
        faults.push(format!("the front node went over its {MEMORY_MB} MB, with {most} kB, at {killed} ms"));
    } else if front_has_exited() {
        faults.push("the front node has exited".into());
    }
    let summary = format!(
        "at most {most} kB of {MEMORY_MB} MB; {} set-ups of the usual caller, {stood} stood, {unanswered} unanswered",
        usual.len()
    );
    run.end(&faults, &summary);
}
