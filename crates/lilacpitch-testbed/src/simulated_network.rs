//! Gossip among fronts on a simulated network in virtual time, with loss, delay and partitions from one seed.
//! It runs membership alone, without calls and servers.

use lilacpitch::interface::Nanos;
use lilacpitch_gossip::sealed_datagram::MAX_DATAGRAM_BYTES;
use lilacpitch_gossip::{Effect, Keys, Peers, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

const MS: Nanos = 1_000_000;
/// Start of virtual time, in nanoseconds of Unix time; incarnations of fronts need a date.
pub const START_NS: Nanos = 1_700_000_000_000_000_000;
const FIRST_PORT: u16 = 10_000;
/// Longest latency of a datagram that is not delayed; half of it is random.
const MAX_LATENCY_NS: Nanos = 2 * MS;
/// Number of fronts that are seeds in the settings of all fronts.
const SEEDS: usize = 3;

/// The faults of the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NetworkConditions {
    /// Percentage of datagrams lost.
    pub lost: u32,
    /// Percentage of datagrams damaged; see [`damage_datagram`].
    pub damaged: u32,
    /// A partition: fronts below this index and the others can't reach each other; 0: no partition.
    pub split: usize,
}

impl NetworkConditions {
    /// The datagrams that arrive in place of one that is sent, each with its additional delay. `to` is `None`
    /// if the address belongs to no front. `draw` returns a random number.
    pub fn deliver(
        &self,
        from: usize,
        to: Option<usize>,
        bytes: Vec<u8>,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<(Nanos, Vec<u8>)> {
        // Drawn also for a datagram that can't arrive, so that a partition doesn't change the fate of the
        // others.
        let is_lost = draw() % 100 < u64::from(self.lost);
        let is_unreachable = to.is_none_or(|to| self.split > 0 && (from < self.split) != (to < self.split));
        if is_lost || is_unreachable {
            Vec::new()
        } else if self.damaged > 0 && draw() % 100 < u64::from(self.damaged) {
            damage_datagram(bytes, draw())
        } else {
            vec![(0, bytes)]
        }
    }
}

/// Damages a datagram in one of these ways, chosen at random: a bit is flipped, it is truncated, duplicated,
/// repeated after up to three seconds, or extended beyond the longest valid length. Returns the datagrams
/// that arrive, each with its additional delay.
pub fn damage_datagram(mut bytes: Vec<u8>, seed: u64) -> Vec<(Nanos, Vec<u8>)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let original = bytes.clone();
    match rng.random_range(0..5) {
        0 => {
            let offset = rng.random_range(0..bytes.len().max(1));
            bytes.iter_mut().skip(offset).take(1).for_each(|byte| *byte ^= 1 << rng.random_range(0..8));
            vec![(0, bytes)]
        }
        1 => {
            bytes.truncate(rng.random_range(0..bytes.len().max(1)));
            vec![(0, bytes)]
        }
        2 => vec![(0, original), (MS, bytes)],
        3 => vec![(0, original), (rng.random_range(10..3_000) * MS, bytes)],
        _ => {
            bytes.resize(MAX_DATAGRAM_BYTES + rng.random_range(1..500), 0);
            vec![(0, bytes)]
        }
    }
}

/// The datagrams that a front has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GossipTraffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub bytes: u64,
}

/// A change in one front's view of the membership of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipChange {
    /// Virtual time of the change.
    pub at_ns: Nanos,
    /// The front whose view has changed.
    pub observer: usize,
    /// The front that joined or left.
    pub member: usize,
    /// Whether it joined; otherwise it left or was declared dead.
    pub joined: bool,
    /// Whether the change concerns the current or last incarnation of the member rather than an older one.
    pub is_current_incarnation: bool,
    /// Whether the member is running.
    pub is_running: bool,
}

struct Front {
    /// `None` while the front is not running.
    peers: Option<Peers>,
    /// Start of the current or last incarnation. Higher epochs than this are renewals of the same
    /// incarnation.
    started_ns: Nanos,
    sent: GossipTraffic,
}

/// The fronts and the datagrams in transit between them.
pub struct Network {
    /// The virtual time.
    pub now: Nanos,
    /// The faults in effect.
    pub conditions: NetworkConditions,
    fronts: Vec<Front>,
    /// The next timeout of each front, by time.
    timeouts: BTreeSet<(Nanos, usize)>,
    /// The same by front.
    timeout_of: Vec<Option<Nanos>>,
    /// Receiver and bytes of datagrams in transit, by time of arrival and serial number.
    in_transit: BTreeMap<(Nanos, u64), (usize, Vec<u8>)>,
    serial: u64,
    rng: StdRng,
    keys: Keys,
}

impl Network {
    /// A network of this many fronts, none of which is running.
    pub fn new(fronts: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let key: [u8; 32] = rng.random();
        let front = |_| Front { peers: None, started_ns: 0, sent: GossipTraffic::default() };
        Network {
            now: START_NS,
            conditions: NetworkConditions::default(),
            fronts: (0..fronts).map(front).collect(),
            timeouts: BTreeSet::new(),
            timeout_of: vec![None; fronts],
            in_transit: BTreeMap::new(),
            serial: 0,
            rng,
            keys: Keys::from_bytes(key),
        }
    }

    /// Starts a front, or restarts it with the same name and address.
    pub fn start(&mut self, front: usize) {
        let settings = Settings {
            name: format!("edge-{front}"),
            address: address(front),
            seeds: (0..SEEDS.min(self.fronts.len())).map(address).collect(),
            keys: self.keys.clone(),
            fronts: self.fronts.len() as u32,
        };
        let mut peers = Peers::new(settings, self.now, self.rng.random());
        let mut effects = Vec::new();
        peers.start(self.now, &mut effects);
        self.fronts[front].started_ns = self.now;
        self.fronts[front].peers = Some(peers);
        self.carry_out(front, effects, &mut Vec::new());
    }

    /// Kills a front; the others get no message from it.
    pub fn kill(&mut self, front: usize) {
        self.fronts[front].peers = None;
        self.update_timeout(front);
    }

    /// Whether a front is running.
    pub fn is_running(&self, front: usize) -> bool {
        self.fronts[front].peers.is_some()
    }

    /// The number of other running fronts that a front knows; former incarnations are not counted.
    pub fn known_members(&self, front: usize) -> usize {
        let Some(peers) = &self.fronts[front].peers else { return 0 };
        let is_current = |peer: &lilacpitch_gossip::MemberId| {
            index(peer.address, self.fronts.len())
                .is_some_and(|member| self.is_running(member) && peer.epoch >= self.fronts[member].started_ns)
        };
        peers.member_ids().filter(|peer| is_current(peer)).count()
    }

    /// Whether each running front knows all other running fronts.
    pub fn all_know_all(&self) -> bool {
        let running: Vec<usize> = (0..self.fronts.len()).filter(|i| self.is_running(*i)).collect();
        running.iter().all(|i| self.known_members(*i) + 1 == running.len())
    }

    /// What each front has sent so far.
    pub fn sent(&self) -> Vec<GossipTraffic> {
        self.fronts.iter().map(|front| front.sent).collect()
    }

    /// Runs the network for a period. Returns the changes of membership in it.
    pub fn run(&mut self, duration_ns: Nanos) -> Vec<MembershipChange> {
        let (end, mut changes) = (self.now + duration_ns, Vec::new());
        loop {
            let timeout = self.timeouts.first().copied();
            let arrival = self.in_transit.first_key_value().map(|((at, _), _)| *at);
            let next = timeout.map(|(at, _)| at).into_iter().chain(arrival).min().filter(|at| *at <= end);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            let mut effects = Vec::new();
            let front = if arrival == Some(next) {
                let Some((_, (receiver, bytes))) = self.in_transit.pop_first() else { break };
                if let Some(peers) = &mut self.fronts[receiver].peers {
                    // A front that rejects the datagram counts it itself.
                    let _ = peers.handle_datagram(self.now, &bytes, &mut effects);
                }
                receiver
            } else {
                let Some((_, front)) = timeout else { break };
                if let Some(peers) = &mut self.fronts[front].peers {
                    peers.handle_timeout(self.now, &mut effects);
                }
                front
            };
            self.carry_out(front, effects, &mut changes);
        }
        self.now = end;
        changes
    }

    /// Carries out the effects of a front; changes of membership are added to `changes`.
    fn carry_out(&mut self, front: usize, effects: Vec<Effect>, changes: &mut Vec<MembershipChange>) {
        for effect in effects {
            let (peer, joined) = match effect {
                Effect::Send(to, bytes) => {
                    self.send(front, to, bytes);
                    continue;
                }
                Effect::ReportsRequested(requester) => {
                    let mut response = Vec::new();
                    if let Some(peers) = &mut self.fronts[front].peers {
                        peers.answer_request(self.now, requester, Vec::new(), &mut response);
                    }
                    self.carry_out(front, response, changes);
                    continue;
                }
                Effect::MemberJoined(peer) => (peer, true),
                Effect::MemberLeft(peer) => (peer, false),
                Effect::ReportsWanted | Effect::ReportsReceived(..) | Effect::RumorsReceived(_) => continue,
            };
            let Some(member) = index(peer.address, self.fronts.len()) else { continue };
            changes.push(MembershipChange {
                at_ns: self.now,
                observer: front,
                member,
                joined,
                is_current_incarnation: peer.epoch >= self.fronts[member].started_ns,
                is_running: self.is_running(member),
            });
        }
        self.update_timeout(front);
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let sent = &mut self.fronts[from].sent;
        sent.datagrams += 1;
        sent.bytes += bytes.len() as u64;
        let arriving =
            self.conditions.deliver(from, index(to, self.fronts.len()), bytes, || self.rng.random());
        let arrival = self.now + MAX_LATENCY_NS / 2 + self.rng.random_range(0..=MAX_LATENCY_NS / 2);
        let Some(to) = index(to, self.fronts.len()) else { return };
        for (delay_ns, bytes) in arriving {
            self.serial += 1;
            self.in_transit.insert((arrival + delay_ns, self.serial), (to, bytes));
        }
    }

    fn update_timeout(&mut self, front: usize) {
        if let Some(previous) = self.timeout_of[front].take() {
            self.timeouts.remove(&(previous, front));
        }
        let next = self.fronts[front].peers.as_ref().and_then(Peers::next_timeout);
        if let Some(next) = next {
            self.timeouts.insert((next, front));
        }
        self.timeout_of[front] = next;
    }
}

fn address(front: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + front as u16))
}

/// Index of the front with an address; `None` if there is none.
fn index(address: SocketAddr, fronts: usize) -> Option<usize> {
    address.port().checked_sub(FIRST_PORT).map(usize::from).filter(|index| *index < fronts)
}
