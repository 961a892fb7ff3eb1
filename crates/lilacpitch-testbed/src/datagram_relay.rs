//! The network between real fronts: a relay on loopback that each front is reached through, and which loses,
//! damages and cuts off as it is told to.

use crate::simulated_network::Weather;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Longest datagram that UDP can carry over IPv4 (RFC 768, RFC 791).
const MOST_BYTES: usize = 65_507;

/// What a relay has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Datagrams that came in, and their bytes.
    pub came: (u64, u64),
    /// Of them, those of which nothing went on.
    pub lost: u64,
    /// What went on, copies and all.
    pub went: u64,
}

/// A relay that runs on a thread of its own.
#[derive(Debug)]
pub struct Relay {
    /// Where each front is reached through it.
    pub public: Vec<SocketAddr>,
    weather: watch::Sender<Weather>,
    thread: JoinHandle<std::io::Result<Counts>>,
}

impl Relay {
    /// Stands before fronts whose own addresses these are.
    pub fn start(real: Vec<SocketAddr>, seed: u64) -> std::io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in &real {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let public = sockets.iter().map(std::net::UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let (weather, told) = watch::channel(Weather::default());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            tokio::task::LocalSet::new().block_on(&runtime, carry_all(sockets, real, told, seed))
        });
        Ok(Relay { public, weather, thread })
    }

    /// The weather from now on.
    pub fn weather(&self, weather: Weather) {
        self.weather.send_replace(weather);
    }

    /// Ends it; what it did.
    pub fn stop(self) -> std::io::Result<Counts> {
        drop(self.weather);
        self.thread.join().unwrap_or_else(|_| Err(std::io::Error::other("the relay panicked")))
    }
}

async fn carry_all(
    sockets: Vec<std::net::UdpSocket>,
    real: Vec<SocketAddr>,
    weather: watch::Receiver<Weather>,
    seed: u64,
) -> std::io::Result<Counts> {
    let real: Rc<[SocketAddr]> = real.into();
    let mut tasks = Vec::new();
    for (to, socket) in sockets.into_iter().enumerate() {
        let way = Way { to, socket: Rc::new(UdpSocket::from_std(socket)?), real: real.clone() };
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + to as u64);
        tasks.push(tokio::task::spawn_local(way.carry(weather.clone(), rng)));
    }
    let mut sum = Counts::default();
    for task in tasks {
        let counts = task.await.map_err(std::io::Error::other)?;
        sum.came = (sum.came.0 + counts.came.0, sum.came.1 + counts.came.1);
        (sum.lost, sum.went) = (sum.lost + counts.lost, sum.went + counts.went);
    }
    Ok(sum)
}

/// The way to one front.
struct Way {
    to: usize,
    socket: Rc<UdpSocket>,
    real: Rc<[SocketAddr]>,
}

impl Way {
    async fn carry(self, mut weather: watch::Receiver<Weather>, mut rng: StdRng) -> Counts {
        let (mut counts, mut buffer) = (Counts::default(), vec![0; MOST_BYTES]);
        loop {
            let (length, source) = tokio::select! {
                // A front's port that is closed shows here; its datagrams are lost, as on any network.
                came = self.socket.recv_from(&mut buffer) => match came {
                    Ok(came) => came,
                    Err(_) => continue,
                },
                changed = weather.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return counts,
                },
            };
            counts.came = (counts.came.0 + 1, counts.came.1 + length as u64);
            let from = self.real.iter().position(|a| *a == source).unwrap_or(usize::MAX);
            let bytes = buffer[..length].to_vec();
            let weather = *weather.borrow();
            let arrives = weather.carry(from, Some(self.to), bytes, || rng.random());
            counts.lost += u64::from(arrives.is_empty());
            counts.went += arrives.len() as u64;
            for (late_ns, bytes) in arrives {
                let (socket, address) = (self.socket.clone(), self.real[self.to]);
                tokio::task::spawn_local(async move {
                    if late_ns > 0 {
                        tokio::time::sleep(Duration::from_nanos(late_ns)).await;
                    }
                    let _ = socket.send_to(&bytes, address).await;
                });
            }
        }
    }
}
