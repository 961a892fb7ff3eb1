//! Fronts that know each other on a simulated network: datagrams are lost, late and cut off as it is told to, in
//! virtual time, from one seed. Membership alone: no calls, no servers.

use lilacpitch::interface::Nanos;
use lilacpitch_gossip::sealed_datagram::MAX_DATAGRAM_BYTES;
use lilacpitch_gossip::{Effect, Keys, Peers, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

const MS: Nanos = 1_000_000;
/// Virtual days begin here, in nanoseconds since 1970: identities need a date.
pub const START_NS: Nanos = 1_700_000_000_000_000_000;
const FIRST_PORT: u16 = 10_000;
/// One way, half of it drawn.
const WAY_NS: Nanos = 2 * MS;
/// The fronts that all know from their settings.
const SEEDS: usize = 3;

/// What the network does with datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Weather {
    /// Of 100, so many are lost.
    pub lost: u32,
    /// Of 100, so many are damaged on the way: see [`damaged`].
    pub damaged: u32,
    /// Fronts below this index and those from it on don't reach each other; 0: all do.
    pub split: usize,
}

impl Weather {
    /// What of a datagram arrives, each with how much later than usual; `to`: `None` where that is nobody's address.
    pub fn carry(
        &self,
        from: usize,
        to: Option<usize>,
        bytes: Vec<u8>,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<(Nanos, Vec<u8>)> {
        // Drawn in any case, so that one that is cut off does not shift the others' chances.
        let lost = draw() % 100 < u64::from(self.lost);
        let cut_off = to.is_none_or(|to| self.split > 0 && (from < self.split) != (to < self.split));
        if lost || cut_off {
            Vec::new()
        } else if self.damaged > 0 && draw() % 100 < u64::from(self.damaged) {
            damaged(bytes, draw())
        } else {
            vec![(0, bytes)]
        }
    }
}

/// What a bad path makes of a datagram, drawn from a seed: a bit changed, the end cut off, twice, again after up to three
/// seconds, or longer than any may be.
pub fn damaged(mut bytes: Vec<u8>, seed: u64) -> Vec<(Nanos, Vec<u8>)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let whole = bytes.clone();
    match rng.random_range(0..5) {
        0 => {
            let at = rng.random_range(0..bytes.len().max(1));
            bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 1 << rng.random_range(0..8));
            vec![(0, bytes)]
        }
        1 => {
            bytes.truncate(rng.random_range(0..bytes.len().max(1)));
            vec![(0, bytes)]
        }
        2 => vec![(0, whole), (MS, bytes)],
        3 => vec![(0, whole), (rng.random_range(10..3_000) * MS, bytes)],
        _ => {
            bytes.resize(MAX_DATAGRAM_BYTES + rng.random_range(1..500), 0);
            vec![(0, bytes)]
        }
    }
}

/// What one front has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, without UDP's own.
    pub bytes: u64,
}

/// What a front has noticed of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Noticed {
    /// When, in virtual time.
    pub at_ns: Nanos,
    /// Who noticed.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// It came, or it went.
    pub there: bool,
    /// The word is of the life that the other leads, or led last.
    pub of_this_life: bool,
    /// The other runs.
    pub runs: bool,
}

struct Row {
    peers: Option<Peers>,
    /// The epoch of its life: later ones of the same life are renewals.
    life: Nanos,
    sent: Sent,
}

/// The fronts and what is on its way between them.
pub struct Network {
    /// The time there.
    pub now: Nanos,
    /// In force from now on.
    pub weather: Weather,
    rows: Vec<Row>,
    due: BTreeSet<(Nanos, usize)>,
    due_of: Vec<Option<Nanos>>,
    flying: BTreeMap<(Nanos, u64), (usize, Vec<u8>)>,
    serial: u64,
    rng: StdRng,
    keys: Keys,
}

impl Network {
    /// So many fronts, none of which runs yet.
    pub fn new(fronts: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let key: [u8; 32] = rng.random();
        let rows = (0..fronts).map(|_| Row { peers: None, life: 0, sent: Sent::default() }).collect();
        Network {
            now: START_NS,
            weather: Weather::default(),
            rows,
            due: BTreeSet::new(),
            due_of: vec![None; fronts],
            flying: BTreeMap::new(),
            serial: 0,
            rng,
            keys: Keys::from_bytes(key),
        }
    }

    /// Starts a front, or starts it anew under its name and address.
    pub fn start(&mut self, front: usize) {
        let settings = Settings {
            name: format!("edge-{front}"),
            address: address(front),
            seeds: (0..SEEDS.min(self.rows.len())).map(address).collect(),
            keys: self.keys.clone(),
            fronts: self.rows.len() as u32,
        };
        let mut peers = Peers::new(settings, self.now, self.rng.random());
        let mut out = Vec::new();
        peers.start(self.now, &mut out);
        self.rows[front].life = self.now;
        self.rows[front].peers = Some(peers);
        self.said(front, out, &mut Vec::new());
    }

    /// Ends a front without a word.
    pub fn kill(&mut self, front: usize) {
        self.rows[front].peers = None;
        self.set_due(front);
    }

    /// Whether a front runs.
    pub fn runs(&self, front: usize) -> bool {
        self.rows[front].peers.is_some()
    }

    /// How many others a front sees that run; those of an earlier life are not counted.
    pub fn sees(&self, front: usize) -> usize {
        let Some(peers) = &self.rows[front].peers else { return 0 };
        let lives = |peer: &lilacpitch_gossip::MemberId| {
            index(peer.address, self.rows.len())
                .is_some_and(|of| self.runs(of) && peer.epoch >= self.rows[of].life)
        };
        peers.member_ids().filter(|peer| lives(peer)).count()
    }

    /// Whether each front that runs sees all others that run.
    pub fn all_see_all(&self) -> bool {
        let running: Vec<usize> = (0..self.rows.len()).filter(|i| self.runs(*i)).collect();
        running.iter().all(|i| self.sees(*i) + 1 == running.len())
    }

    /// What each front has sent since the network began.
    pub fn sent(&self) -> Vec<Sent> {
        self.rows.iter().map(|row| row.sent).collect()
    }

    /// Lets time pass; what fronts noticed of each other meanwhile.
    pub fn run(&mut self, span_ns: Nanos) -> Vec<Noticed> {
        let (end, mut noticed) = (self.now + span_ns, Vec::new());
        loop {
            let timer = self.due.first().copied();
            let flight = self.flying.first_key_value().map(|((at, _), _)| *at);
            let next = timer.map(|(at, _)| at).into_iter().chain(flight).min().filter(|at| *at <= end);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            let mut out = Vec::new();
            let front = if flight == Some(next) {
                let Some((_, (to, bytes))) = self.flying.pop_first() else { break };
                if let Some(peers) = &mut self.rows[to].peers {
                    // A refusal is counted there, and is nothing to the network.
                    let _ = peers.handle_datagram(self.now, &bytes, &mut out);
                }
                to
            } else {
                let Some((_, front)) = timer else { break };
                if let Some(peers) = &mut self.rows[front].peers {
                    peers.handle_timeout(self.now, &mut out);
                }
                front
            };
            self.said(front, out, &mut noticed);
        }
        self.now = end;
        noticed
    }

    fn said(&mut self, from: usize, out: Vec<Effect>, noticed: &mut Vec<Noticed>) {
        for effect in out {
            let (peer, there) = match effect {
                Effect::Send(to, bytes) => {
                    self.send(from, to, bytes);
                    continue;
                }
                Effect::ReportsRequested(asker) => {
                    let mut answer = Vec::new();
                    if let Some(peers) = &mut self.rows[from].peers {
                        peers.answer_request(self.now, asker, Vec::new(), &mut answer);
                    }
                    self.said(from, answer, noticed);
                    continue;
                }
                Effect::MemberJoined(peer) => (peer, true),
                Effect::MemberLeft(peer) => (peer, false),
                Effect::ReportsWanted | Effect::ReportsReceived(..) | Effect::RumorsReceived(_) => continue,
            };
            let Some(of) = index(peer.address, self.rows.len()) else { continue };
            let (at_ns, runs) = (self.now, self.runs(of));
            let of_this_life = peer.epoch >= self.rows[of].life;
            noticed.push(Noticed { at_ns, by: from, of, there, of_this_life, runs });
        }
        self.set_due(from);
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let sent = &mut self.rows[from].sent;
        sent.datagrams += 1;
        sent.bytes += bytes.len() as u64;
        let arrives = self.weather.carry(from, index(to, self.rows.len()), bytes, || self.rng.random());
        let at = self.now + WAY_NS / 2 + self.rng.random_range(0..=WAY_NS / 2);
        let Some(to) = index(to, self.rows.len()) else { return };
        for (late_ns, bytes) in arrives {
            self.serial += 1;
            self.flying.insert((at + late_ns, self.serial), (to, bytes));
        }
    }

    fn set_due(&mut self, front: usize) {
        if let Some(was) = self.due_of[front].take() {
            self.due.remove(&(was, front));
        }
        let next = self.rows[front].peers.as_ref().and_then(Peers::next_timeout);
        if let Some(next) = next {
            self.due.insert((next, front));
        }
        self.due_of[front] = next;
    }
}

fn address(front: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + front as u16))
}

fn index(address: SocketAddr, fronts: usize) -> Option<usize> {
    address.port().checked_sub(FIRST_PORT).map(usize::from).filter(|index| *index < fronts)
}
