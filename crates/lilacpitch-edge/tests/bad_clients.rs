//! Hundreds of bad clients of a front at full speed, beside a regular one: memory, answers in time, and nothing sent
//! on for a client that has left.

mod common;
use common::*;
use lilacpitch_protocol::frame::Encoder;
use lilacpitch_protocol::message::call::{Answer, FromCaller};
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of bad clients that are connected at once.
const CLIENTS: usize = 600;
/// How long bad clients go on.
const ATTACK: Duration = Duration::from_secs(3);
/// Most memory of a front with this many clients, in kB: a message, a partial one and a buffer to read for each, the
/// queue of messages for the driver, and as much again for all else.
const MAX_ANONYMOUS_KB: u64 = 2 * (CLIENTS as u64 * 48 + 1024 * 16);
/// The most that a regular caller waits for an answer that its server gives at once.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Runs bad clients until a time has passed, while a regular caller sets up a call every 20 ms. Checks its answers
/// and the front's memory.
fn check_beside(edge: &Edge, servers: Servers, attack: impl Fn(&AtomicBool) + Sync) {
    let is_over = AtomicBool::new(false);
    let mut regular = Caller::connect(edge);
    std::thread::scope(|scope| {
        scope.spawn(|| attack(&is_over));
        let is_answering = &is_over;
        scope.spawn(move || {
            while !is_answering.load(Ordering::Relaxed) {
                answer_regular(&servers);
            }
        });
        let started = Instant::now();
        let mut waits = Vec::new();
        for number in 0.. {
            let call = format!("regular-{number}");
            let sent_at = regular.setup(&call, Some(0), 2_000);
            let (answered_at, answer) = regular.next_answer(&call);
            waits.push((answered_at - sent_at, answer));
            if answer == Answer::Stands {
                regular.release(&call);
            }
            if started.elapsed() > ATTACK {
                break;
            }
            std::thread::sleep(ms(20));
        }
        let memory_kb = edge.anonymous_kb();
        is_over.store(true, Ordering::Relaxed);
        waits.sort_by_key(|(wait, _)| *wait);
        let (slowest, count) = (waits[waits.len() - 1], waits.len());
        assert!(slowest.0 < MAX_WAIT, "of {count} answers the slowest: {slowest:?}");
        assert!(waits.iter().all(|(_, answer)| *answer == Answer::Stands), "not all of {count} stand");
        assert!(memory_kb < MAX_ANONYMOUS_KB, "{memory_kb} kB of {MAX_ANONYMOUS_KB} kB");
    });
}

/// Answers the set-ups of the regular caller, and no others.
fn answer_regular(servers: &Servers) {
    let Some(message) = servers.next_message(ms(20)) else { return };
    let is_regular = matches!(
        &message.message,
        lilacpitch_protocol::message::signal::ToServer::Setup { call, .. } if call.contains("/regular-")
    );
    if is_regular {
        servers.all[message.server].answer(&message);
    }
}

/// The frame of a text message of a client.
fn frame(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    Encoder::text(&mut bytes, text, Some([1, 2, 3, 4]));
    bytes
}

/// Connects, and discards what the front sends.
fn connect_reading(address: SocketAddr) -> TcpStream {
    let (stream, _) = open(address);
    let mut reader = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut chunk = vec![0; 64 * 1024];
        while reader.read(&mut chunk).is_ok_and(|count| count > 0) {}
    });
    stream
}

fn start() -> (Servers, Edge) {
    let servers = Servers::start(&[true]);
    let edge = Edge::start(&servers, "").wait_until_connected(&servers, 1);
    (servers, edge)
}

/// Guards against a process that exceeds its memory by what hundreds of clients leave half sent: heads of many short
/// fields, heads that come slowly, and long messages that stop half way.
#[test]
fn half_sent_requests_of_hundreds_of_clients_take_up_limited_memory() {
    let (servers, edge) = start();
    let address = edge.callers;
    check_beside(&edge, servers, |is_over| {
        let short_fields = format!("GET /call HTTP/1.1\r\n{}", "a:b\r\n".repeat(64));
        let long_message = frame(&"a".repeat(16 * 1024));
        let mut clients: Vec<TcpStream> = (0..CLIENTS)
            .map(|number| {
                let mut stream = match number % 3 {
                    2 => connect_reading(address),
                    _ => TcpStream::connect(address).unwrap(),
                };
                let _ = match number % 3 {
                    0 => stream.write_all(short_fields.as_bytes()),
                    1 => stream.write_all(b"GET /call HTTP/1.1\r\n"),
                    _ => stream.write_all(&long_message[..long_message.len() - 1]),
                };
                stream
            })
            .collect();
        while !is_over.load(Ordering::Relaxed) {
            clients.iter_mut().skip(1).step_by(3).for_each(|client| _ = client.write_all(b"a"));
            std::thread::sleep(ms(50));
        }
    });
}

/// Guards against a client that sends unsound requests at full speed and delays the answers of others, or makes memory
/// grow.
#[test]
fn client_that_sends_unsound_requests_at_full_speed_delays_no_other() {
    let (servers, edge) = start();
    let address = edge.callers;
    check_beside(&edge, servers, |is_over| {
        let mut stream = connect_reading(address);
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let texts =
                (number..number + 100).map(|number| format!("{{\"kind\":\"setup\",\"call\":\"{number}\"}}"));
            let bytes: Vec<u8> = texts.flat_map(|text| frame(&text)).collect();
            number += 100;
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}

/// Guards against the same by calls under ever new names and numbers, each released at once.
#[test]
fn client_that_sends_calls_under_ever_new_names_at_full_speed_delays_no_other() {
    let (servers, edge) = start();
    let address = edge.callers;
    check_beside(&edge, servers, |is_over| {
        let mut stream = connect_reading(address);
        let mut number = 0_u64;
        while !is_over.load(Ordering::Relaxed) {
            let mut bytes = Vec::new();
            for _ in 0..100 {
                number += 1;
                let (call, class) = (format!("new-{number}"), "one".into());
                let dialled = Some(format!("{number:012}"));
                let setup = FromCaller::Setup { call, class, pool: None, number: dialled, budget_ms: 5_000 };
                let release = FromCaller::Release { call: format!("new-{number}") };
                bytes.extend(frame(&setup.encode()));
                bytes.extend(frame(&release.encode()));
            }
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}

/// Guards against requests that are sent on for a client that has closed its connection before they were read.
#[test]
fn requests_that_are_unread_when_their_client_leaves_are_not_sent_on() {
    const CALLS: usize = 300;
    let (servers, edge) = start();
    // The module sends a server that it doesn't know few set-ups at a time.
    let mut caller = Caller::connect(&edge);
    for number in 0..200 {
        let call = format!("known-{number}");
        caller.setup(&call, Some(0), 3_000);
        servers.all[0].answer(&servers.next_setup());
        assert_eq!(caller.next_answer(&call).1, Answer::Stands);
        caller.release(&call);
    }
    servers.messages_within(ms(100));
    let mut leaving: Vec<Caller> = (0..4).map(|_| Caller::connect(&edge)).collect();
    edge.send_signal(Signal::SIGSTOP);
    std::thread::sleep(ms(50));
    for (client, caller) in leaving.iter_mut().enumerate() {
        (0..CALLS).for_each(|number| _ = caller.setup(&format!("left-{client}-{number}"), Some(0), 3_000));
    }
    leaving.into_iter().for_each(Caller::drop_socket);
    std::thread::sleep(ms(50));
    edge.send_signal(Signal::SIGCONT);
    let sent = servers.messages_within(ms(800));
    let setups = sent.iter().filter(|message| message.is_new_setup()).count();
    assert_eq!(setups, 0, "set-ups of clients that had left");
    caller.setup("after", Some(0), 3_000);
    servers.all[0].answer(&servers.next_setup());
    assert_eq!(caller.next_answer("after").1, Answer::Stands);
}
