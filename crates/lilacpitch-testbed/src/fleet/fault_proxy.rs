//! The network between processes of the fleet.

use lilacpitch_fleet::frame::peek;
use lilacpitch_fleet::message::Body;
use lilacpitch_gossip::Keys;
use lilacpitch_rpc::steady_ns;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Longest frame that is carried; a longer length is passed on as bytes no more.
const MOST_BYTES: usize = 16 << 20;

/// What happens to frames in one direction. Nothing by default.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fault {
    /// They wait, as on a path that is cut: they arrive once it is not.
    pub held: bool,
    /// So much later,
    pub delay: Duration,
    /// and up to so much more, drawn.
    pub jitter: Duration,
    /// So many bytes a second; 0: any.
    pub bytes_per_s: u64,
    /// Of a thousand, so many are said twice,
    pub doubled: u32,
    /// change places with the next,
    pub swapped: u32,
    /// arrive with a bit changed,
    pub damaged: u32,
    /// or take their connection with them.
    pub reset: u32,
    /// New connections are closed at once.
    pub refused: bool,
}

/// A frame that may or may not have arrived.
pub const NOT_KNOWN: u64 = u64::MAX;

/// Which way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Way {
    /// From who connected.
    Forth,
    /// To who connected.
    Back,
}

/// A frame that crossed.
#[derive(Debug, Clone, PartialEq)]
pub struct Crossed {
    /// When it was read from its sender, by the steady clock,
    pub left_ns: u64,
    /// and when it had been given to its reader; [`NOT_KNOWN`] where its connection ended meanwhile.
    pub came_ns: u64,
    /// The process that sent it.
    pub from: usize,
    /// The process that it was for.
    pub to: usize,
    /// Its connection.
    pub conn: u64,
    /// Who connected sent it.
    pub way: Way,
    /// What it holds.
    pub body: Body,
}

struct Wire {
    faults: watch::Sender<[Fault; 2]>,
    resets: watch::Sender<u64>,
    address: SocketAddr,
}

type Log = Arc<Mutex<Vec<Crossed>>>;

/// All wires of a fleet.
pub struct Wires {
    runtime: Runtime,
    wires: BTreeMap<(usize, usize), Wire>,
    log: Option<Log>,
    keys: Keys,
    seed: u64,
}

impl Wires {
    /// No wires yet; with `record` what crosses is kept.
    pub fn new(keys: Keys, seed: u64, record: bool) -> std::io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let log = record.then(Log::default);
        Ok(Wires { runtime, wires: BTreeMap::new(), log, keys, seed })
    }

    /// The address at which `from` reaches `to`, which listens at `target`.
    pub fn wire(&mut self, from: usize, to: usize, target: SocketAddr) -> std::io::Result<SocketAddr> {
        if let Some(wire) = self.wires.get(&(from, to)) {
            return Ok(wire.address);
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (faults, told) = watch::channel([Fault::default(); 2]);
        let (resets, reset) = watch::channel(0);
        let seed = self.seed.wrapping_mul(1_000_003) ^ ((from as u64) << 20) ^ to as u64;
        let ends = Ends { from, to, log: self.log.clone(), keys: self.keys.clone() };
        self.runtime.spawn(async move {
            // Bound and non-blocking: tokio takes it.
            if let Ok(listener) = TcpListener::from_std(listener) {
                carry(listener, target, ends, told, reset, seed).await;
            }
        });
        self.wires.insert((from, to), Wire { faults, resets, address });
        Ok(address)
    }

    /// Drops the ways to a process: who asks for one again gets another address.
    pub fn forget(&mut self, to: usize) {
        self.wires.retain(|(_, whom), _| *whom != to);
    }

    /// What happens from now on to what `from` sends over connections that `who` made to `whom`.
    pub fn fault(&self, who: usize, whom: usize, way: Way, fault: Fault) {
        if let Some(wire) = self.wires.get(&(who, whom)) {
            wire.faults.send_modify(|faults| faults[way as usize] = fault);
        }
    }

    /// The same to all that `from` sends `to`, whoever connected.
    pub fn one_way(&self, from: usize, to: usize, fault: Fault) {
        self.fault(from, to, Way::Forth, fault);
        self.fault(to, from, Way::Back, fault);
    }

    /// The same both ways.
    pub fn between(&self, a: usize, b: usize, fault: Fault) {
        self.one_way(a, b, fault);
        self.one_way(b, a, fault);
    }

    /// Cuts a group off from all others, or lets it in again.
    pub fn split(&self, group: &[usize], held: bool) {
        let fault = Fault { held, ..Fault::default() };
        for (who, whom) in self.wires.keys() {
            if group.contains(who) != group.contains(whom) {
                self.fault(*who, *whom, Way::Forth, fault);
                self.fault(*who, *whom, Way::Back, fault);
            }
        }
    }

    /// The same to every wire.
    pub fn all(&self, fault: Fault) {
        for wire in self.wires.values() {
            wire.faults.send_replace([fault; 2]);
        }
    }

    /// Ends the connections between two, hard.
    pub fn reset(&self, a: usize, b: usize) {
        for pair in [(a, b), (b, a)] {
            if let Some(wire) = self.wires.get(&pair) {
                wire.resets.send_modify(|count| *count += 1);
            }
        }
    }

    /// Pairs that have a wire.
    pub fn pairs(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.wires.keys().copied()
    }

    /// What has crossed so far.
    pub fn crossed(&self) -> Vec<Crossed> {
        self.log.as_ref().map_or(Vec::new(), |log| log.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

#[derive(Clone)]
struct Ends {
    from: usize,
    to: usize,
    log: Option<Log>,
    keys: Keys,
}

async fn carry(
    listener: TcpListener,
    target: SocketAddr,
    ends: Ends,
    faults: watch::Receiver<[Fault; 2]>,
    reset: watch::Receiver<u64>,
    seed: u64,
) {
    let mut conn = 0;
    while let Ok((near, _)) = listener.accept().await {
        conn += 1;
        if faults.borrow().iter().any(|fault| fault.refused) {
            continue;
        }
        let (ends, faults, mut reset) = (ends.clone(), faults.clone(), reset.clone());
        tokio::spawn(async move {
            // Held: the connection is made, as far as who connects can tell, and nothing comes of it.
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let rng = |way: Way| StdRng::seed_from_u64(seed ^ (conn << 1) ^ way as u64);
            let pipe = |way, read, write| {
                let (ends, faults, rng) = (ends.clone(), faults.clone(), rng(way));
                Pipe { way, read, write, ends, faults, rng, conn }.run()
            };
            reset.borrow_and_update();
            tokio::select! {
                () = pipe(Way::Forth, near_read, far_write) => {}
                () = pipe(Way::Back, far_read, near_write) => {}
                _ = reset.changed() => {}
            }
        });
    }
}

struct Pipe {
    way: Way,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    ends: Ends,
    faults: watch::Receiver<[Fault; 2]>,
    rng: StdRng,
    conn: u64,
}

impl Pipe {
    /// Carries frames until either end is done with them.
    async fn run(mut self) {
        let mut kept: Option<Vec<u8>> = None;
        loop {
            let Ok(length) = self.read.read_u32().await else { return };
            if length as usize > MOST_BYTES {
                return;
            }
            let mut bytes = vec![0; length as usize];
            if self.read.read_exact(&mut bytes).await.is_err() {
                return;
            }
            let left_ns = steady_ns();
            let plain = self.ends.log.is_some().then(|| peek(&self.ends.keys, &bytes)).flatten();
            if self.faults.wait_for(|faults| !faults[self.way as usize].held).await.is_err() {
                return;
            }
            let fault = self.faults.borrow()[self.way as usize];
            let drawn = |rng: &mut StdRng, of_1000: u32| of_1000 > 0 && rng.random_range(0..1_000) < of_1000;
            if drawn(&mut self.rng, fault.reset) {
                return;
            }
            let jitter = fault.jitter.mul_f64(self.rng.random::<f64>());
            let slow = match fault.bytes_per_s {
                0 => Duration::ZERO,
                rate => Duration::from_secs_f64(bytes.len() as f64 / rate as f64),
            };
            let late = fault.delay + jitter + slow;
            if late > Duration::ZERO {
                tokio::time::sleep(late).await;
            }
            if drawn(&mut self.rng, fault.damaged) {
                let at = self.rng.random_range(0..bytes.len().max(1));
                bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 1 << self.rng.random_range(0..8));
            }
            let twice = drawn(&mut self.rng, fault.doubled);
            if drawn(&mut self.rng, fault.swapped) && kept.is_none() {
                kept = Some(bytes);
                continue;
            }
            let mut all = vec![bytes];
            all.extend(twice.then(|| all[0].clone()));
            all.extend(kept.take());
            // Listed before it goes: its reader may act on it before this task runs again, or never does.
            let listed = plain.zip(self.ends.log.as_ref()).map(|(body, log)| {
                let (from, to) = match self.way {
                    Way::Forth => (self.ends.from, self.ends.to),
                    Way::Back => (self.ends.to, self.ends.from),
                };
                let (came_ns, conn, way) = (NOT_KNOWN, self.conn, self.way);
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                log.push(Crossed { left_ns, came_ns, from, to, conn, way, body });
                log.len() - 1
            });
            for bytes in &all {
                let written = self.write.write_u32(bytes.len() as u32).await;
                if written.is_err() || self.write.write_all(bytes).await.is_err() {
                    return;
                }
            }
            if let (Some(log), Some(at)) = (&self.ends.log, listed) {
                log.lock().unwrap_or_else(PoisonError::into_inner)[at].came_ns = steady_ns();
            }
        }
    }
}
