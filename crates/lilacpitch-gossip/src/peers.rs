//! A front's side of the talk among fronts: membership, questions and answers.

use crate::member_id::MemberId;
use crate::rumors::{RumorBatch, RumorBoard};
use crate::sealed_datagram::{
    DatagramError, Keys, ReplayFilter, MAX_DATAGRAM_BYTES, MAX_SKEW_MS, OVERHEAD_BYTES,
};
use crate::server_report::{ServerReport, MAX_REPORTS, REPORTS_PER_DATAGRAM};
use foca::{Config, Foca, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use lilacpitch::interface::Nanos;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

const MS: Nanos = 1_000_000;
/// What our own header may take beside SWIM's packet.
const HEADER_BYTES: usize = 160;
/// Peers asked at a time: enough that one that is wrong is outvoted.
const ASKED_AT_ONCE: usize = 3;
/// The gaps between questions double from here,
const ASK_GAP_NS: Nanos = 300 * MS;
/// and after this span since the start nobody is asked any more: the front knows by itself.
const ASK_FOR_NS: Nanos = 20_000 * MS;
/// With so many answers the asking ends.
const ANSWERS_ENOUGH: usize = 3;
/// Questions answered a second, and at once: fronts that start together must not make their peers work.
const ANSWERS_PER_S: u64 = 20;
/// News is told so many members, drawn anew, this far apart.
const NEWS_TO: usize = 3;
const NEWS_GAP_NS: Nanos = 25 * MS;
/// Each news of a member is sent at least so often, and so many times as often as the library does in a large
/// installation. It sends one of three fronts' suspicions twice: where both are lost, the suspected one does not
/// hear of it, and is taken for dead while it lives (measured: `docs/measurements.md`).
const TRANSMISSIONS_LEAST: NonZeroU8 = NonZeroU8::new(15).unwrap();
const TRANSMISSIONS_MORE: NonZeroU8 = NonZeroU8::new(2).unwrap();
/// Seeds that are not seen are told again that this front is there: first after this gap, half of it drawn, doubled
/// up to the longest. The first word may be lost, and halves of a split find each other by nothing else in time.
const SEEK_GAP_NS: Nanos = 1_000 * MS;
const SEEK_LONGEST_NS: Nanos = 8_000 * MS;
/// An answer to that word names some forty members, drawn anew: a front that has just started asks so many more
/// fronts each time, until so often in a row it has heard of nobody new. Else it would know a large installation
/// only as fast as the others come to probe it, one a second.
const SEEK_MORE: usize = 3;
const SEEK_DRY: u32 = 4;
const SEEK_FOR_NS: Nanos = 60_000 * MS;
/// Members that are remembered, seeds beside.
const MAX_MEMBERS: usize = 1_000;

/// What a front is told of itself and its peers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Where its datagrams come in, as peers reach it.
    pub address: SocketAddr,
    /// Where peers may be found at the start; its own address is passed over.
    pub seeds: Vec<SocketAddr>,
    /// The keys in force.
    pub keys: Keys,
    /// About how many fronts there are: sets how far news is spread and how long suspicion lasts.
    pub fronts: u32,
}

/// Who asked, and how its question is to be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    peer: MemberId,
    question: u64,
}

/// What the shell or the front is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// A peer is there.
    MemberJoined(MemberId),
    /// A peer is gone: left, or taken to be dead.
    MemberLeft(MemberId),
    /// A peer asks what this front knows: to be answered by [`Peers::answer`].
    ReportsRequested(Requester),
    /// A peer says what it knows, as it was asked; its voice is that of its [`PeerId::origin`].
    ReportsReceived(MemberId, Vec<ServerReport>),
    /// What this front itself knows is wanted, to be told by [`Peers::tell`].
    ReportsWanted,
    /// What fronts, by their origins, have lately met at servers: new here.
    RumorsReceived(Vec<(u64, ServerReport)>),
}

/// What has been counted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes of the datagrams sent, sealed.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams rejected, by reason.
    pub rejected: BTreeMap<DatagramError, u64>,
    /// Requests for reports sent to other members.
    pub requests_sent: u64,
    /// Responses to them that were accepted, one a datagram.
    pub responses_accepted: u64,
    /// Requests of other members answered.
    pub requests_answered: u64,
    /// Rumor batches sent, one a receiver.
    pub rumor_batches_sent: u64,
    /// Rumors received that were new here.
    pub new_rumors: u64,
}

#[derive(Serialize, Deserialize)]
struct Envelope<'a> {
    from: MemberId,
    counter: u64,
    sent_ms: u64,
    #[serde(borrow)]
    body: Body<'a>,
}

#[derive(Serialize, Deserialize)]
enum Body<'a> {
    Swim(&'a [u8]),
    Ask { question: u64 },
    Facts { question: u64, part: u8, facts: Vec<ServerReport> },
    News(RumorBatch),
}

enum Due {
    Swim(Timer<MemberId>),
    Ask,
    Seek,
    News,
}

/// One front's view of its peers.
pub struct Peers {
    swim: Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
    settings: Settings,
    me: MemberId,
    rng: StdRng,
    now: Nanos,
    started_ns: Nanos,
    due: BTreeMap<(Nanos, u64), Due>,
    serial: u64,
    counter: u64,
    board: RumorBoard,
    heard: ReplayFilter<SocketAddr>,
    /// The question that is out, who answered it which parts, and the gap to the next.
    question: u64,
    answers: BTreeMap<MemberId, BTreeSet<u8>>,
    ask_gap_ns: Nanos,
    /// The gap to the next word to seeds that are not seen.
    seek_gap_ns: Nanos,
    /// The most members seen so far, and how often in a row looking brought no more.
    most_seen: (usize, u32),
    /// Answers that may still be given now, in billionths of one.
    allowance: u64,
    allowance_ns: Nanos,
    counters: Counters,
}

/// What SWIM wants done, gathered while it is in use.
#[derive(Default)]
struct Gathered {
    send: Vec<(MemberId, Vec<u8>)>,
    later: Vec<(Timer<MemberId>, Duration)>,
    effects: Vec<Effect>,
    me: Option<MemberId>,
}

impl Runtime<MemberId> for Gathered {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        match notification {
            Notification::MemberUp(peer) => self.effects.push(Effect::MemberJoined(peer.clone())),
            Notification::MemberDown(peer) => self.effects.push(Effect::MemberLeft(peer.clone())),
            Notification::Rejoin(me) => self.me = Some(me.clone()),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.later.push((event, after));
    }
}

impl Peers {
    /// A front that knows its settings. `now`: nanoseconds since 1970, which tell its lives apart.
    pub fn new(settings: Settings, now: Nanos, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let me = MemberId { name: settings.name.clone(), address: settings.address, epoch: now };
        let fronts = NonZeroU32::new(settings.fronts.max(2)).unwrap_or(NonZeroU32::MIN);
        let room = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - HEADER_BYTES;
        let lan = Config::new_lan(fronts);
        let config = Config {
            max_transmissions: lan
                .max_transmissions
                .saturating_mul(TRANSMISSIONS_MORE)
                .max(TRANSMISSIONS_LEAST),
            max_packet_size: NonZeroUsize::new(room).unwrap_or(NonZeroUsize::MIN),
            ..lan
        };
        let swim = Foca::new(me.clone(), config, StdRng::seed_from_u64(rng.next_u64()), PostcardCodec);
        Peers {
            swim,
            settings,
            me,
            rng,
            now,
            started_ns: now,
            due: BTreeMap::new(),
            serial: 0,
            counter: 0,
            board: RumorBoard::default(),
            heard: ReplayFilter::default(),
            question: 0,
            answers: BTreeMap::new(),
            ask_gap_ns: ASK_GAP_NS,
            seek_gap_ns: SEEK_GAP_NS,
            most_seen: (0, 0),
            allowance: ANSWERS_PER_S * 1_000_000_000,
            allowance_ns: now,
            counters: Counters::default(),
        }
    }

    /// Makes itself known to the seeds, and asks.
    pub fn start(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.seek(effects);
        self.ask(effects);
        self.later(NEWS_GAP_NS, Due::News);
    }

    /// Tells a few members, drawn anew, what this front has lately met at servers and what it heard of others.
    pub fn publish_reports(&mut self, now: Nanos, facts: &[ServerReport], effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let (now, own) = (self.now, self.me.origin());
        for fact in facts {
            self.board.record_report(now, own, fact);
        }
        let mut to: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        if to.is_empty() {
            return;
        }
        let sheet = self.board.next_batch(now, MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - HEADER_BYTES);
        if sheet.is_empty() {
            return;
        }
        for _ in 0..NEWS_TO.min(to.len()) {
            let to = to.swap_remove(self.rng.random_range(0..to.len()));
            self.counters.rumor_batches_sent += 1;
            self.send(to, Body::News(sheet.clone()), effects);
        }
    }

    /// Makes itself known to the seeds that it does not see, and, soon after its start, to some members.
    fn seek(&mut self, effects: &mut Vec<Effect>) {
        let mut to = self.seeds();
        to.retain(|address| !self.is_member(*address));
        // Who sees them all looks again as soon as at the start: one that goes may be the network's doing.
        self.seek_gap_ns = if to.is_empty() { SEEK_GAP_NS } else { self.seek_gap_ns };
        let seen = self.swim.num_members();
        self.most_seen =
            if seen > self.most_seen.0 { (seen, 0) } else { (self.most_seen.0, self.most_seen.1 + 1) };
        if self.now < self.started_ns + SEEK_FOR_NS && self.most_seen.1 < SEEK_DRY {
            let mut members: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
            for _ in 0..SEEK_MORE.min(members.len()) {
                to.push(members.swap_remove(self.rng.random_range(0..members.len())));
            }
            self.seek_gap_ns = SEEK_GAP_NS;
        }
        for address in to {
            let other = MemberId { name: String::new(), address, epoch: 0 };
            self.with_swim(effects, |swim, out| swim.announce(other, out));
        }
        let gap = self.seek_gap_ns / 2 + self.rng.random_range(0..=self.seek_gap_ns / 2);
        self.seek_gap_ns = self.seek_gap_ns.saturating_mul(2).min(SEEK_LONGEST_NS);
        self.later(gap, Due::Seek);
    }

    /// Tells the others that it goes.
    pub fn begin_leave(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.with_swim(effects, |swim, out| swim.leave_cluster(out));
        self.due.clear();
    }

    /// Puts other keys into force.
    pub fn set_keys(&mut self, keys: Keys) {
        self.settings.keys = keys;
    }

    /// The peers that are there, in order.
    pub fn members(&self) -> Vec<MemberId> {
        let mut members: Vec<MemberId> = self.member_ids().cloned().collect();
        members.sort();
        members
    }

    /// The same, as they come.
    pub fn member_ids(&self) -> impl Iterator<Item = &MemberId> {
        self.swim.iter_members().map(|m| m.id())
    }

    /// What has been counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// When [`timeout`](Self::timeout) is wanted next.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Due::Swim(timer) => self.with_swim(effects, |swim, out| swim.handle_timer(timer, out)),
                Due::Ask => self.ask(effects),
                Due::Seek => self.seek(effects),
                Due::News => {
                    let gap = NEWS_GAP_NS / 2 + self.rng.random_range(0..=NEWS_GAP_NS);
                    self.later(gap, Due::News);
                    effects.push(Effect::ReportsWanted);
                }
            }
        }
    }

    /// Takes a datagram, or says why not; a refusal is counted.
    pub fn handle_datagram(
        &mut self,
        now: Nanos,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        self.now = self.now.max(now);
        let taken = self.take(bytes, effects);
        match taken {
            Ok(()) => self.counters.accepted += 1,
            Err(refused) => *self.counters.rejected.entry(refused).or_default() += 1,
        }
        taken
    }

    fn take(&mut self, bytes: &[u8], effects: &mut Vec<Effect>) -> Result<(), DatagramError> {
        let plain = self.settings.keys.open(bytes)?;
        let envelope: Envelope =
            postcard::from_bytes(&plain).map_err(|_| DatagramError::Malformed("not an envelope"))?;
        let from = envelope.from;
        if !from.is_valid() {
            return Err(DatagramError::Malformed("a front's name"));
        }
        if from.address == self.me.address {
            return Err(DatagramError::Own);
        }
        if envelope.sent_ms.abs_diff(self.now / MS) > MAX_SKEW_MS {
            return Err(DatagramError::Clock);
        }
        self.heard.accept(&from.address, from.epoch, envelope.counter, self.now / MS)?;
        match envelope.body {
            Body::Swim(data) => {
                if self.swim.num_members() >= MAX_MEMBERS && !self.is_member(from.address) {
                    return Err(DatagramError::TooMany);
                }
                let mut bad = false;
                self.with_swim(effects, |swim, out| {
                    let taken = swim.handle_data(data, out);
                    bad = matches!(taken, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket));
                    taken
                });
                if bad {
                    Err(DatagramError::Malformed("membership"))
                } else {
                    Ok(())
                }
            }
            Body::Ask { question } => {
                self.refill();
                if self.allowance < 1_000_000_000 {
                    return Err(DatagramError::TooOften);
                }
                self.allowance -= 1_000_000_000;
                effects.push(Effect::ReportsRequested(Requester { peer: from, question }));
                Ok(())
            }
            Body::News(sheet) => {
                let (now, own) = (self.now, self.me.origin());
                let heard = self.board.receive(now, own, sheet)?;
                self.counters.new_rumors += heard.len() as u64;
                if !heard.is_empty() {
                    effects.push(Effect::RumorsReceived(heard));
                }
                Ok(())
            }
            Body::Facts { question, part, facts } => self.facts(from, question, part, facts, effects),
        }
    }

    fn facts(
        &mut self,
        from: MemberId,
        question: u64,
        part: u8,
        facts: Vec<ServerReport>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        // Each part once from each peer: one that talks much must not weigh more.
        if question != self.question || usize::from(part) >= MAX_REPORTS / REPORTS_PER_DATAGRAM {
            return Err(DatagramError::Unsolicited);
        }
        if facts.len() > REPORTS_PER_DATAGRAM {
            return Err(DatagramError::Malformed("too many facts"));
        }
        facts.iter().try_for_each(ServerReport::check)?;
        if !self.answers.entry(from.clone()).or_default().insert(part) {
            return Err(DatagramError::Unsolicited);
        }
        self.counters.responses_accepted += 1;
        effects.push(Effect::ReportsReceived(from, facts));
        Ok(())
    }

    /// Answers a peer's question with what this front knows, the most telling first.
    pub fn answer_request(
        &mut self,
        now: Nanos,
        asker: Requester,
        facts: Vec<ServerReport>,
        effects: &mut Vec<Effect>,
    ) {
        self.now = self.now.max(now);
        self.counters.requests_answered += 1;
        for (part, facts) in facts[..facts.len().min(MAX_REPORTS)].chunks(REPORTS_PER_DATAGRAM).enumerate() {
            let body = Body::Facts { question: asker.question, part: part as u8, facts: facts.to_vec() };
            self.send(asker.peer.address, body, effects);
        }
    }

    /// Asks a few that have not answered yet, drawn from the members, or the seeds while there are none.
    fn ask(&mut self, effects: &mut Vec<Effect>) {
        let answered = self.answers.len() >= ANSWERS_ENOUGH;
        if answered || self.now > self.started_ns + ASK_FOR_NS {
            return;
        }
        if self.question == 0 {
            self.question = self.rng.next_u64() | 1;
        }
        let members: Vec<SocketAddr> = self.members().iter().map(|m| m.address).collect();
        let mut from = if members.is_empty() { self.seeds() } else { members };
        from.retain(|address| !self.answers.keys().any(|peer| peer.address == *address));
        for _ in 0..ASKED_AT_ONCE.min(from.len()) {
            let to = from.swap_remove(self.rng.random_range(0..from.len()));
            self.counters.requests_sent += 1;
            self.send(to, Body::Ask { question: self.question }, effects);
        }
        // Half of the gap is drawn: fronts that start together must not ask in step.
        let gap = self.ask_gap_ns / 2 + self.rng.random_range(0..=self.ask_gap_ns / 2);
        self.ask_gap_ns = self.ask_gap_ns.saturating_mul(2);
        self.later(gap, Due::Ask);
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.settings.seeds.iter().copied().filter(|a| *a != self.me.address).collect()
    }

    fn is_member(&self, address: SocketAddr) -> bool {
        self.swim.iter_members().any(|m| m.id().address == address)
    }

    fn refill(&mut self) {
        let gained = self.now.saturating_sub(self.allowance_ns).saturating_mul(ANSWERS_PER_S);
        self.allowance = self.allowance.saturating_add(gained).min(ANSWERS_PER_S * 1_000_000_000);
        self.allowance_ns = self.now;
    }

    fn later(&mut self, after: Nanos, due: Due) {
        self.serial += 1;
        self.due.insert((self.now + after, self.serial), due);
    }

    /// Lets SWIM act, then does what it wants. Its errors are of its peers' making, and were counted by reason.
    fn with_swim(
        &mut self,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(
            &mut Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
            &mut Gathered,
        ) -> Result<(), foca::Error>,
    ) {
        let mut out = Gathered::default();
        let _ = act(&mut self.swim, &mut out);
        if let Some(me) = out.me.take() {
            self.me = me;
            // Under its new identity it knows its peers but counts as alone, and would never probe one again:
            // an update of nobody makes it look.
            let _ = self.swim.apply_many(std::iter::empty(), false, &mut out);
        }
        for (timer, after) in out.later {
            self.later(after.as_nanos() as Nanos, Due::Swim(timer));
        }
        for (to, data) in out.send {
            self.send(to.address, Body::Swim(&data), effects);
        }
        effects.append(&mut out.effects);
    }

    fn send(&mut self, to: SocketAddr, body: Body, effects: &mut Vec<Effect>) {
        self.counter += 1;
        let envelope =
            Envelope { from: self.me.clone(), counter: self.counter, sent_ms: self.now / MS, body };
        // Into memory nothing fails.
        let plain = postcard::to_allocvec(&envelope).unwrap_or_default();
        let mut nonce = [0; 24];
        self.rng.fill_bytes(&mut nonce);
        let sealed = self.settings.keys.seal(&plain, nonce);
        debug_assert!(sealed.len() <= MAX_DATAGRAM_BYTES, "{} bytes", sealed.len());
        self.counters.sent_datagrams += 1;
        self.counters.sent_bytes += sealed.len() as u64;
        effects.push(Effect::Send(to, sealed));
    }
}
