//! A proxy for all connections between processes of the fleet. It delays, holds, duplicates, reorders,
//! corrupts and drops traffic in each direction separately, and records the frames that pass.

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

/// Largest frame that is forwarded, in bytes. A longer one ends the connection.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Faults injected into one direction of a connection. The default injects none.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fault {
    /// Frames are held back, as on an interrupted path, and delivered once this is cleared.
    pub held: bool,
    /// Added delay of each frame.
    pub delay: Duration,
    /// Upper limit of a further random delay of each frame.
    pub jitter: Duration,
    /// Bandwidth in bytes per second; 0: unlimited.
    pub bytes_per_s: u64,
    /// Frames of a thousand that are delivered twice.
    pub duplicated_per_1000: u32,
    /// Frames of a thousand that are delivered after the next one.
    pub reordered_per_1000: u32,
    /// Frames of a thousand that are delivered with one bit flipped.
    pub corrupted_per_1000: u32,
    /// Frames of a thousand that are dropped along with their connection.
    pub reset_per_1000: u32,
    /// New connections are closed at once.
    pub refuse_connections: bool,
}

/// Delivery time of a frame whose connection ended during its delivery: it may or may not have arrived.
pub const DELIVERY_UNKNOWN: u64 = u64::MAX;

/// Direction of a frame on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the process that opened the connection.
    FromDialer,
    /// To the process that opened the connection.
    ToDialer,
}

/// A frame that passed through the proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedFrame {
    /// When it was read from its sender, in nanoseconds of the monotonic clock.
    pub sent_ns: u64,
    /// When it had been written to its receiver, in nanoseconds of the monotonic clock; [`DELIVERY_UNKNOWN`]
    /// if the connection ended meanwhile.
    pub delivered_ns: u64,
    /// The process that sent it.
    pub from: usize,
    /// The process that it was addressed to.
    pub to: usize,
    /// Number of the connection between the two processes.
    pub connection: u64,
    /// Its direction on the connection.
    pub direction: Direction,
    /// The decoded content.
    pub body: Body,
}

/// The proxied connections from one process to another.
struct Link {
    faults: watch::Sender<[Fault; 2]>,
    resets: watch::Sender<u64>,
    address: SocketAddr,
}

type FrameLog = Arc<Mutex<Vec<RecordedFrame>>>;

/// The proxy between all processes of a fleet.
pub struct FaultProxy {
    runtime: Runtime,
    /// Links by the process that connects and the one that it connects to.
    links: BTreeMap<(usize, usize), Link>,
    log: Option<FrameLog>,
    keys: Keys,
    seed: u64,
}

impl FaultProxy {
    /// Creates a proxy without links. With `record`, it keeps the frames that pass.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime of its tasks cannot be created.
    pub fn new(keys: Keys, seed: u64, record: bool) -> std::io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let log = record.then(FrameLog::default);
        Ok(FaultProxy { runtime, links: BTreeMap::new(), log, keys, seed })
    }

    /// Returns the address at which `from` reaches `to`, which listens at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no listening socket can be opened.
    pub fn link_address(
        &mut self,
        from: usize,
        to: usize,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        if let Some(link) = self.links.get(&(from, to)) {
            return Ok(link.address);
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (faults, faults_receiver) = watch::channel([Fault::default(); 2]);
        let (resets, resets_receiver) = watch::channel(0);
        let seed = self.seed.wrapping_mul(1_000_003) ^ ((from as u64) << 20) ^ to as u64;
        let ends = LinkEnds { from, to, log: self.log.clone(), keys: self.keys.clone() };
        self.runtime.spawn(async move {
            // Registration succeeds because the listener is bound and non-blocking.
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept_connections(listener, target, ends, faults_receiver, resets_receiver, seed).await;
            }
        });
        self.links.insert((from, to), Link { faults, resets, address });
        Ok(address)
    }

    /// Removes the links to a process. A later request for such a link gets a new address.
    pub fn remove_links_to(&mut self, to: usize) {
        self.links.retain(|(_, target), _| *target != to);
    }

    /// Sets the fault of one direction of the connections that `dialer` opens to `target`.
    pub fn set_fault(&self, dialer: usize, target: usize, direction: Direction, fault: Fault) {
        if let Some(link) = self.links.get(&(dialer, target)) {
            link.faults.send_modify(|faults| faults[direction as usize] = fault);
        }
    }

    /// Sets the fault of everything that `from` sends to `to`, whichever of them opened the connection.
    pub fn set_one_way(&self, from: usize, to: usize, fault: Fault) {
        self.set_fault(from, to, Direction::FromDialer, fault);
        self.set_fault(to, from, Direction::ToDialer, fault);
    }

    /// Sets the fault of everything between two processes.
    pub fn set_both_ways(&self, a: usize, b: usize, fault: Fault) {
        self.set_one_way(a, b, fault);
        self.set_one_way(b, a, fault);
    }

    /// Partitions a group from all other processes, or heals that partition.
    pub fn set_partition(&self, group: &[usize], held: bool) {
        let fault = Fault { held, ..Fault::default() };
        for (dialer, target) in self.links.keys() {
            if group.contains(dialer) != group.contains(target) {
                self.set_fault(*dialer, *target, Direction::FromDialer, fault);
                self.set_fault(*dialer, *target, Direction::ToDialer, fault);
            }
        }
    }

    /// Sets the fault of every link, in both directions.
    pub fn set_all(&self, fault: Fault) {
        for link in self.links.values() {
            link.faults.send_replace([fault; 2]);
        }
    }

    /// Resets the connections between two processes.
    pub fn reset_connections(&self, a: usize, b: usize) {
        for pair in [(a, b), (b, a)] {
            if let Some(link) = self.links.get(&pair) {
                link.resets.send_modify(|count| *count += 1);
            }
        }
    }

    /// Returns the pairs of processes that have a link.
    pub fn pairs(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.links.keys().copied()
    }

    /// Returns the frames that have passed so far.
    pub fn recorded_frames(&self) -> Vec<RecordedFrame> {
        self.log.as_ref().map_or(Vec::new(), |log| log.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

/// What all connections of a link share.
#[derive(Clone)]
struct LinkEnds {
    from: usize,
    to: usize,
    log: Option<FrameLog>,
    keys: Keys,
}

/// Accepts the connections of one link and forwards them to `target`.
async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    ends: LinkEnds,
    faults: watch::Receiver<[Fault; 2]>,
    resets: watch::Receiver<u64>,
    seed: u64,
) {
    let mut connection = 0;
    while let Ok((near, _)) = listener.accept().await {
        connection += 1;
        if faults.borrow().iter().any(|fault| fault.refuse_connections) {
            continue;
        }
        let (ends, faults, mut resets) = (ends.clone(), faults.clone(), resets.clone());
        tokio::spawn(async move {
            // A held link still accepts connections: the dialer sees an open connection on which nothing
            // arrives.
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let rng =
                |direction: Direction| StdRng::seed_from_u64(seed ^ (connection << 1) ^ direction as u64);
            let pipe = |direction, read, write| {
                let (ends, faults, rng) = (ends.clone(), faults.clone(), rng(direction));
                Pipe { direction, read, write, ends, faults, rng, connection }.run()
            };
            resets.borrow_and_update();
            tokio::select! {
                () = pipe(Direction::FromDialer, near_read, far_write) => {}
                () = pipe(Direction::ToDialer, far_read, near_write) => {}
                _ = resets.changed() => {}
            }
        });
    }
}

/// One direction of one connection.
struct Pipe {
    direction: Direction,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    ends: LinkEnds,
    faults: watch::Receiver<[Fault; 2]>,
    rng: StdRng,
    connection: u64,
}

impl Pipe {
    /// Forwards frames until either end closes or a fault ends the connection.
    async fn run(mut self) {
        let mut reordered: Option<Vec<u8>> = None;
        loop {
            let Ok(length) = self.read.read_u32().await else { return };
            if length as usize > MAX_FRAME_BYTES {
                return;
            }
            let mut bytes = vec![0; length as usize];
            if self.read.read_exact(&mut bytes).await.is_err() {
                return;
            }
            let sent_ns = steady_ns();
            let body = self.ends.log.is_some().then(|| peek(&self.ends.keys, &bytes)).flatten();
            if self.faults.wait_for(|faults| !faults[self.direction as usize].held).await.is_err() {
                return;
            }
            let fault = self.faults.borrow()[self.direction as usize];
            let drawn =
                |rng: &mut StdRng, per_1000: u32| per_1000 > 0 && rng.random_range(0..1_000) < per_1000;
            if drawn(&mut self.rng, fault.reset_per_1000) {
                return;
            }
            let jitter = fault.jitter.mul_f64(self.rng.random::<f64>());
            let transmission = match fault.bytes_per_s {
                0 => Duration::ZERO,
                rate => Duration::from_secs_f64(bytes.len() as f64 / rate as f64),
            };
            let total_delay = fault.delay + jitter + transmission;
            if total_delay > Duration::ZERO {
                tokio::time::sleep(total_delay).await;
            }
            if drawn(&mut self.rng, fault.corrupted_per_1000) {
                let at = self.rng.random_range(0..bytes.len().max(1));
                bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 1 << self.rng.random_range(0..8));
            }
            let duplicated = drawn(&mut self.rng, fault.duplicated_per_1000);
            if drawn(&mut self.rng, fault.reordered_per_1000) && reordered.is_none() {
                reordered = Some(bytes);
                continue;
            }
            let mut frames = vec![bytes];
            frames.extend(duplicated.then(|| frames[0].clone()));
            frames.extend(reordered.take());
            // Logged before it is written: the receiver may act on it before this task runs again, if it
            // does.
            let log_index = body.zip(self.ends.log.as_ref()).map(|(body, log)| {
                let (from, to) = match self.direction {
                    Direction::FromDialer => (self.ends.from, self.ends.to),
                    Direction::ToDialer => (self.ends.to, self.ends.from),
                };
                let (delivered_ns, connection) = (DELIVERY_UNKNOWN, self.connection);
                let direction = self.direction;
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                log.push(RecordedFrame { sent_ns, delivered_ns, from, to, connection, direction, body });
                log.len() - 1
            });
            for bytes in &frames {
                let written = self.write.write_u32(bytes.len() as u32).await;
                if written.is_err() || self.write.write_all(bytes).await.is_err() {
                    return;
                }
            }
            if let (Some(log), Some(index)) = (&self.ends.log, log_index) {
                log.lock().unwrap_or_else(PoisonError::into_inner)[index].delivered_ns = steady_ns();
            }
        }
    }
}
