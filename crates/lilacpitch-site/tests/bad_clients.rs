//! Hundreds of clients without the key at full speed, beside a regular peer and a reader of the pages: memory, and
//! answers in time. A process of its own, whose memory is measured.

use lilacpitch_fleet::message::{Request, Response, Role};
use lilacpitch_gossip::Keys;
use lilacpitch_rpc::{connect, LocalIdentity, RequestHandler, ResponseFuture, RpcConnection};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEY: [u8; 32] = [1; 32];
const KEY_TEXT: &str = "0101010101010101010101010101010101010101010101010101010101010101\n";
/// Number of bad clients that are connected at once.
const CLIENTS: usize = 300;
/// How long bad clients go on.
const ATTACK: Duration = Duration::from_secs(3);
/// Most memory of a process without records, in kB: what two limits of 256 connections with 32 KiB each hold, and as
/// much again for all else.
const MAX_ANONYMOUS_KB: u64 = 2 * 2 * 256 * 32;
/// The most that a regular request waits.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// A length prefix and a part of a frame that is far longer than a Hello.
const PARTIAL_FRAME_BYTES: usize = 1024 * 1024;

/// Held by the test that runs: each needs the processors for its bad clients.
static RUNNING: Mutex<()> = Mutex::new(());

/// The only process of a fleet's only site, killed when dropped.
struct Site {
    child: Child,
    rpc: SocketAddr,
    pages: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Site {
    fn start() -> Site {
        let folder = tempfile::tempdir().unwrap();
        let addresses = lilacpitch_net::free_addresses(2).unwrap();
        let (rpc, pages) = (addresses[0], addresses[1]);
        std::fs::write(folder.path().join("key"), KEY_TEXT).unwrap();
        let config = folder.path().join("site.cue");
        let text = format!(
            "name: \"root-0\"\nsite: \"root\"\nplace: 0\nlisten: \"{rpc}\"\npages: \"{pages}\"\ndata: \"data\"\n\
             key_file: \"key\"\nsites: [{{name: \"root\", processes: [\"{rpc}\"]}}]\nlog: level: \"error\"\n"
        );
        std::fs::write(&config, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lilacpitch-site"))
            .args(["run", "--config"])
            .arg(&config)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        assert!(line.contains("links"), "not ready: {line}");
        Site { child, rpc, pages, _folder: folder }
    }

    fn anonymous_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Reads the metrics page, and returns how long that took.
    fn read_page(&self) -> Duration {
        let started = Instant::now();
        let mut stream = TcpStream::connect(self.pages).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        let mut page = String::new();
        stream.read_to_string(&mut page).unwrap();
        assert!(page.starts_with("HTTP/1.1 200"), "{page}");
        started.elapsed()
    }

    /// Connects as a front, sends a request, and returns how long that took.
    async fn request_as_new_peer(&self) -> Duration {
        let started = Instant::now();
        let (role, keys) = (Role::Front, Keys::from_bytes(KEY));
        let identity = LocalIdentity { name: "front".into(), incarnation: 1, role, keys };
        let process = Role::Process("root".into(), 0);
        let timeout = Duration::from_secs(10);
        let connection = connect(self.rpc, &process, &identity, Arc::new(NoRequests), timeout).await.unwrap();
        connection.request(Request::Progress, timeout).await.unwrap();
        connection.close();
        started.elapsed()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct NoRequests;

impl RequestHandler for NoRequests {
    fn handle(self: Arc<Self>, _: Arc<RpcConnection>, _: Request) -> ResponseFuture {
        Box::pin(std::future::ready(Response::Done))
    }
}

/// Runs bad clients on some threads beside regular requests, and checks the time that these take and the memory.
fn check_beside(client: impl Fn(&Site, &AtomicBool) + Sync) {
    const THREADS: usize = 6;
    let _running = RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (site, is_over) = (Site::start(), AtomicBool::new(false));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    std::thread::scope(|scope| {
        (0..THREADS).for_each(|_| drop(scope.spawn(|| client(&site, &is_over))));
        let (started, mut waits, mut peak_kb) = (Instant::now(), Vec::new(), 0);
        while started.elapsed() < ATTACK {
            waits.push(site.read_page());
            waits.push(runtime.block_on(site.request_as_new_peer()));
            peak_kb = peak_kb.max(site.anonymous_kb());
            std::thread::sleep(Duration::from_millis(10));
        }
        is_over.store(true, Ordering::Relaxed);
        let slowest = waits.iter().max().unwrap();
        assert!(*slowest < MAX_WAIT, "of {} requests the slowest took {slowest:?}", waits.len());
        assert!(peak_kb < MAX_ANONYMOUS_KB, "{peak_kb} kB of {MAX_ANONYMOUS_KB} kB");
    });
}

/// Keeps a share of the clients connected, each of which has sent `bytes` of a request, and opens them anew twice a
/// second.
fn keep_connected(address: impl Fn(&Site) -> SocketAddr, bytes: &[u8], site: &Site, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let round = Instant::now();
        let clients: Vec<_> = (0..CLIENTS / 6)
            .filter_map(|_| {
                let mut stream = TcpStream::connect(address(site)).ok()?;
                stream.set_write_timeout(Some(Duration::from_millis(100))).ok()?;
                let _ = stream.write_all(bytes);
                Some(stream)
            })
            .collect();
        std::thread::sleep(Duration::from_millis(500).saturating_sub(round.elapsed()));
        drop(clients);
    }
}

/// Guards against a process that exceeds its memory by long frames that hundreds of clients send half, without the key.
#[test]
fn half_sent_frames_of_clients_without_the_key_take_up_limited_memory() {
    let mut frame = (PARTIAL_FRAME_BYTES as u32 * 2).to_be_bytes().to_vec();
    frame.resize(PARTIAL_FRAME_BYTES, 7);
    check_beside(|site, is_over| keep_connected(|site| site.rpc, &frame, site, is_over));
}

/// Guards against the same by heads of many short fields that hundreds of clients send to the pages and don't complete.
#[test]
fn half_sent_heads_of_hundreds_of_clients_of_the_pages_take_up_limited_memory() {
    let head = format!("GET /metrics HTTP/1.1\r\n{}", "a:b\r\n".repeat(64));
    check_beside(|site, is_over| keep_connected(|site| site.pages, head.as_bytes(), site, is_over));
}

/// Guards against clients that send unsound requests at full speed and delay others.
#[test]
fn unsound_requests_at_full_speed_delay_no_other() {
    check_beside(|site, is_over| {
        while !is_over.load(Ordering::Relaxed) {
            for (address, bytes) in [(site.rpc, &b"\0\0\0\x08unsound!"[..]), (site.pages, b"unsound\r\n\r\n")]
            {
                let Ok(mut stream) = TcpStream::connect(address) else { continue };
                let _ = stream.write_all(bytes);
                let _ = stream.read(&mut [0; 512]);
            }
        }
    });
}
