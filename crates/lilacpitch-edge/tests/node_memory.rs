//! The memory limit of the front node: bad clients can't make a node exceed it, and regular callers are served
//! beside them. A target of its own, since its bad clients need the processors that other tests rely on.

#[path = "node/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "node/standin.rs"]
mod standin;

use crate::process::Node;
use crate::standin::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The least limit of the platform's page on its figures.
const MEMORY_MB: u64 = 32;
/// How long bad clients go on.
const ATTACK: Duration = Duration::from_secs(2);
/// Interval between the set-ups of the regular caller.
const REGULAR_INTERVAL: Duration = Duration::from_millis(20);
/// A number with which bad clients set up calls; the server reports an error for it.
const BAD_NUMBER: &str = "bad";

/// Held by the test that runs: each needs the processors for its bad clients.
static RUNNING: Mutex<()> = Mutex::new(());

/// A server that answers every set-up, and a node with this server alone.
struct Attacked {
    node: Node,
    is_over: Arc<AtomicBool>,
    /// Most memory that the node has held for itself, in kB.
    peak_kb: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
    _running: MutexGuard<'static, ()>,
}

impl Attacked {
    fn start(memory_mb: u64) -> Attacked {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let server = Server::start();
        let coordinator = Coordinator::listing(&[&server]);
        let edit_config = |text: String| {
            text.replace("\"memory_mb\":48", &format!("\"memory_mb\":{memory_mb}"))
                .replace("\"max_open\":2000", "\"max_open\":20000")
        };
        let node = Node::spawn_with_config(coordinator, 1024, edit_config);
        node.wait_ready();
        let (is_over, peak_kb) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let mut attacked = Attacked { node, is_over, peak_kb, threads: Vec::new(), _running: running };
        attacked.spawn_until_over(move || answer_next(&server));
        let (process, peak_kb) = (attacked.node.child.id(), attacked.peak_kb.clone());
        attacked.spawn_until_over(move || {
            peak_kb.fetch_max(anonymous_kb(process), Ordering::Relaxed);
            std::thread::sleep(ms(5));
        });
        attacked
    }

    /// Repeats a step on a thread until the end of the test.
    fn spawn_until_over(&mut self, mut step: impl FnMut() + Send + 'static) {
        let is_over = self.is_over.clone();
        self.threads.push(std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                step();
            }
        }));
    }

    /// Runs bad clients, each on a thread, beside a regular caller, and checks memory and answers.
    fn check(mut self, clients: usize, client: impl Fn(SocketAddr, u64) + Send + Clone + 'static) {
        let mut regular = self.node.caller();
        regular.invite(&id(1), 0, 3_000);
        assert_eq!(regular.next().and_then(|message| message.status()), Some(200));
        let (address, start) = (self.node.address, Instant::now());
        for number in 0..clients as u64 {
            let client = client.clone();
            self.threads.push(std::thread::spawn(move || {
                while start.elapsed() < ATTACK {
                    client(address, number);
                }
            }));
        }
        let mut sent = 1;
        while start.elapsed() < ATTACK {
            sent += 1;
            regular.invite(&id(sent), 0, 3_000);
            std::thread::sleep(REGULAR_INTERVAL);
        }
        // The module may refuse calls while a flood occupies the server, but none is refused for its memory.
        for answered in 1..sent {
            let message = regular.next_within(ms(2_000));
            let is_answered = message.as_ref().is_some_and(|message| {
                message.status() == Some(200) || message.start.ends_with("Service Unavailable")
            });
            assert!(is_answered, "set-up {answered} of {sent} of the regular caller: {message:?}");
        }
        self.is_over.store(true, Ordering::Relaxed);
        assert!(self.node.is_running(), "the process has exited");
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
        let (peak_kb, limit_kb) = (self.peak_kb.load(Ordering::Relaxed), limit_kb(&self.node));
        assert!(peak_kb < limit_kb, "{peak_kb} kB of {limit_kb} kB");
    }
}

/// Answers the next set-up, if there is one.
fn answer_next(server: &Server) {
    let Some(launch) = server.next_within("launch", ms(20)) else { return };
    let key = launch.value.as_ref().and_then(|value| value["meta"]["key"].as_str()).unwrap_or("");
    if key == BAD_NUMBER {
        server.stop(launch.connection, &launch.uid(), 47, json!({}));
    } else {
        server.answer(&launch, "there");
    }
}

/// The memory that a process holds for itself, without the pages of its program file, in kB.
fn anonymous_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The memory limit of a node, in kB.
fn limit_kb(node: &Node) -> u64 {
    let config: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&node.config).unwrap()).unwrap();
    config["limits"]["memory_mb"].as_u64().unwrap() * 1024
}

/// A bad client's connection, whose input is read and discarded if `is_reading`.
fn connect(address: SocketAddr, is_reading: bool) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(ms(500))).ok()?;
    if is_reading {
        let mut reader = stream.try_clone().ok()?;
        std::thread::spawn(move || {
            let mut chunk = vec![0; 64 * 1024];
            while reader.read(&mut chunk).is_ok_and(|count| count > 0) {}
        });
    }
    Some(stream)
}

/// Encodes a set-up of a bad client.
fn bad_invite(client: u64, number: u64, path: &str, body_bytes: usize) -> Vec<u8> {
    let call = id((0xbad + client) << 32 | number);
    let text = invite(&call, path, 3_000, &"a".repeat(body_bytes));
    String::from_utf8(text).unwrap().replace("7f3a9c21e0b4d655", BAD_NUMBER).into_bytes()
}

/// Sends many set-ups at once and then closes.
fn send_setups(address: SocketAddr, client: u64, count: u64, path: &str, body_bytes: usize) {
    let Some(mut stream) = connect(address, true) else { return };
    for number in 0..count {
        if stream.write_all(&bad_invite(client, number, path, body_bytes)).is_err() {
            break;
        }
    }
    std::thread::sleep(ms(500));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Guards against a process that is killed for its memory: open set-ups were kept with their descriptions of up
/// to 16 KiB, and only their number was limited.
#[test]
fn long_setups_sent_at_once_stay_within_the_memory_limit() {
    Attacked::start(MEMORY_MB).check(8, |address, client| {
        send_setups(address, client, 900, "dest:0;width:1;via:-1", 15_700);
    });
}

#[test]
fn long_setups_on_a_hundred_connections_stay_within_the_memory_limit() {
    Attacked::start(MEMORY_MB).check(100, |address, client| {
        send_setups(address, client, 100, "dest:0;width:1;via:-1", 15_700);
    });
}

#[test]
fn long_setups_stay_within_the_lowest_memory_limit() {
    Attacked::start(8).check(8, |address, client| {
        send_setups(address, client, 900, "dest:0;width:1;via:-1", 15_700);
    });
}

/// Guards against the same by the number of set-ups.
#[test]
fn thousands_of_short_setups_stay_within_the_memory_limit() {
    Attacked::start(MEMORY_MB).check(8, |address, client| {
        send_setups(address, client, 4_000, "dest:0;width:1;via:-1", 40);
    });
}

/// Guards against the same by calls that are reported as established.
#[test]
fn thousands_of_reported_calls_stay_within_the_memory_limit() {
    let number = Arc::new(AtomicU64::new(0));
    Attacked::start(MEMORY_MB).check(4, move |address, client| {
        let Some(mut stream) = connect(address, true) else { return };
        for _ in 0..5_000 {
            let call = number.fetch_add(1, Ordering::Relaxed);
            let request = bad_invite(client, call, "dest:-1;width:1;via:-1;at:s0", 1);
            if stream.write_all(&request).is_err() {
                break;
            }
        }
    });
}

/// Guards against the same by messages that take up several times their size once they are decoded.
#[test]
fn floods_of_tiny_messages_stay_within_the_memory_limit() {
    let flood = b"ACK sip:a SIP/2.0\r\nContent-Length: 0\r\n\r\n".repeat(1_600);
    Attacked::start(MEMORY_MB).check(60, move |address, _| {
        let Some(mut stream) = connect(address, true) else { return };
        let _ = stream.write_all(&flood);
    });
}

/// Guards against the same by messages of which a part is missing.
#[test]
fn partial_messages_on_hundreds_of_connections_stay_within_the_memory_limit() {
    Attacked::start(MEMORY_MB).check(10, |address, client| {
        let mut request = bad_invite(client, 0, "dest:0;width:1;via:-1", 15_700);
        request.pop();
        let partial: Vec<_> = (0..40)
            .filter_map(|_| {
                let mut stream = connect(address, false)?;
                stream.write_all(&request).ok()?;
                Some(stream)
            })
            .collect();
        std::thread::sleep(ms(600));
        drop(partial);
    });
}

/// Guards against the same by answers that are not read.
#[test]
fn long_answers_to_clients_that_do_not_read_stay_within_the_memory_limit() {
    Attacked::start(MEMORY_MB).check(100, |address, _| {
        let Some(mut stream) = connect(address, false) else { return };
        let request = format!(
            "OPTIONS sip:ping@net SIP/2.0\r\nVia: {}\r\nCall-ID: {}\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n",
            "v".repeat(7_500),
            id(1)
        );
        while stream.write_all(request.as_bytes()).is_ok() {}
    });
}

/// Guards against the same by heads of very many short fields, which take up several times their size once they are
/// decoded, with a body that stops half way.
#[test]
fn heads_of_many_short_fields_on_hundreds_of_connections_stay_within_the_memory_limit() {
    let fields = "a:b\r\n".repeat(60);
    let mut request = format!("INVITE sip:a@b SIP/2.0\r\nContent-Length: 15000\r\n{fields}\r\n").into_bytes();
    request.resize(request.len() + 14_999, b'a');
    Attacked::start(MEMORY_MB).check(10, move |address, _| {
        let partial: Vec<_> = (0..60)
            .filter_map(|_| {
                let mut stream = connect(address, false)?;
                stream.write_all(&request).ok()?;
                Some(stream)
            })
            .collect();
        std::thread::sleep(ms(600));
        drop(partial);
    });
}

/// Guards against the same by hundreds of clients that write slowly.
#[test]
fn hundreds_of_clients_that_write_slowly_stay_within_the_memory_limit() {
    let request = bad_invite(0, 0, "dest:0;width:1;via:-1", 15_700);
    Attacked::start(MEMORY_MB).check(10, move |address, _| {
        let mut clients: Vec<_> = (0..60).filter_map(|_| connect(address, false)).collect();
        for part in request.chunks(request.len() / 20).take(19) {
            clients.iter_mut().for_each(|client| _ = client.write_all(part));
            std::thread::sleep(ms(40));
        }
    });
}

/// Guards against memory that grows without end, and others that wait, while one client gives up calls under ever new
/// ids and numbers at full speed.
#[test]
fn calls_under_ever_new_names_given_up_at_full_speed_stay_within_the_memory_limit() {
    let number = Arc::new(AtomicU64::new(0));
    Attacked::start(8).check(1, move |address, _| {
        let Some(mut stream) = connect(address, true) else { return };
        let start = Instant::now();
        while start.elapsed() < ATTACK {
            let first = number.fetch_add(50, Ordering::Relaxed);
            let request = |method: &str, number: u64| {
                let call = id(0xbad << 32 | number);
                format!(
                    "{method} sip:{number:016x}@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 1 {method}\r\nP-Kind: plain\r\n\
                     P-Time-Left: 3000\r\nP-Path: dest:0;width:1;via:-1\r\nContent-Length: 1\r\n\r\na"
                )
            };
            // Not in one read, in which a set-up and its CANCEL are taken out together.
            for method in ["INVITE", "CANCEL"] {
                let requests: String = (first..first + 50).map(|number| request(method, number)).collect();
                if stream.write_all(requests.as_bytes()).is_err() {
                    return;
                }
                std::thread::sleep(ms(1));
            }
        }
    });
}

/// Guards against others that wait while one client sends unsound requests on one connection at full speed.
#[test]
fn unsound_requests_of_one_client_at_full_speed_stay_within_the_memory_limit() {
    let number = Arc::new(AtomicU64::new(0));
    Attacked::start(MEMORY_MB).check(1, move |address, _| {
        let Some(mut stream) = connect(address, true) else { return };
        loop {
            let first = number.fetch_add(100, Ordering::Relaxed);
            let request = |number| invite(&id(0xbad << 32 | number), "dest:soon", 3_000, BODY);
            if stream.write_all(&(first..first + 100).flat_map(request).collect::<Vec<_>>()).is_err() {
                return;
            }
        }
    });
}
