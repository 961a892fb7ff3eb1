//! The network between real fronts: a relay on loopback through which each front is reached, with loss,
//! damage and partitions of datagrams.

use crate::simulated_network::NetworkConditions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Longest datagram that UDP can carry over IPv4 (RFC 768, RFC 791).
const MAX_UDP_BYTES: usize = 65_507;

/// Counters of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RelayCounters {
    /// Datagrams received, and their bytes.
    pub received: (u64, u64),
    /// Datagrams received and lost.
    pub lost: u64,
    /// Datagrams forwarded, duplicates included.
    pub forwarded: u64,
}

/// A relay that runs on a thread of its own.
#[derive(Debug)]
pub struct Relay {
    /// For each front, the address of the relay that forwards to it.
    pub public: Vec<SocketAddr>,
    conditions: watch::Sender<NetworkConditions>,
    thread: JoinHandle<std::io::Result<RelayCounters>>,
}

impl Relay {
    /// Starts a relay for fronts with these addresses.
    pub fn start(real: Vec<SocketAddr>, seed: u64) -> std::io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in &real {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let public = sockets.iter().map(std::net::UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let (conditions, conditions_receiver) = watch::channel(NetworkConditions::default());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            tokio::task::LocalSet::new()
                .block_on(&runtime, forward_all(sockets, real, conditions_receiver, seed))
        });
        Ok(Relay { public, conditions, thread })
    }

    /// Sets the faults from now on.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.conditions.send_replace(conditions);
    }

    /// Stops the relay. Returns its counters.
    pub fn stop(self) -> std::io::Result<RelayCounters> {
        drop(self.conditions);
        self.thread.join().unwrap_or_else(|_| Err(std::io::Error::other("the relay panicked")))
    }
}

async fn forward_all(
    sockets: Vec<std::net::UdpSocket>,
    real: Vec<SocketAddr>,
    conditions: watch::Receiver<NetworkConditions>,
    seed: u64,
) -> std::io::Result<RelayCounters> {
    let real: Rc<[SocketAddr]> = real.into();
    let mut tasks = Vec::new();
    for (to, socket) in sockets.into_iter().enumerate() {
        let forwarder = Forwarder { to, socket: Rc::new(UdpSocket::from_std(socket)?), real: real.clone() };
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + to as u64);
        tasks.push(tokio::task::spawn_local(forwarder.run(conditions.clone(), rng)));
    }
    let mut sum = RelayCounters::default();
    for task in tasks {
        let counts = task.await.map_err(std::io::Error::other)?;
        sum.received = (sum.received.0 + counts.received.0, sum.received.1 + counts.received.1);
        (sum.lost, sum.forwarded) = (sum.lost + counts.lost, sum.forwarded + counts.forwarded);
    }
    Ok(sum)
}

/// The part of a relay that forwards to one front.
struct Forwarder {
    /// Index of the front.
    to: usize,
    socket: Rc<UdpSocket>,
    /// The addresses of all fronts.
    real: Rc<[SocketAddr]>,
}

impl Forwarder {
    async fn run(self, mut conditions: watch::Receiver<NetworkConditions>, mut rng: StdRng) -> RelayCounters {
        let (mut counts, mut buffer) = (RelayCounters::default(), vec![0; MAX_UDP_BYTES]);
        loop {
            let (length, source) = tokio::select! {
                // An error means that an earlier datagram reached a closed port; that datagram is lost, as on
                // any network.
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok(received) => received,
                    Err(_) => continue,
                },
                changed = conditions.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return counts,
                },
            };
            counts.received = (counts.received.0 + 1, counts.received.1 + length as u64);
            let from = self.real.iter().position(|a| *a == source).unwrap_or(usize::MAX);
            let bytes = buffer[..length].to_vec();
            let conditions = *conditions.borrow();
            let arriving = conditions.deliver(from, Some(self.to), bytes, || rng.random());
            counts.lost += u64::from(arriving.is_empty());
            counts.forwarded += arriving.len() as u64;
            for (delay_ns, bytes) in arriving {
                let (socket, address) = (self.socket.clone(), self.real[self.to]);
                tokio::task::spawn_local(async move {
                    if delay_ns > 0 {
                        tokio::time::sleep(Duration::from_nanos(delay_ns)).await;
                    }
                    let _ = socket.send_to(&bytes, address).await;
                });
            }
        }
    }
}
