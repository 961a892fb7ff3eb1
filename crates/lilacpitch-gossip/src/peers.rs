//! The gossip of one front with its peers: membership, requests for reports, and rumors, as a state machine
//! without I/O. Its inputs are datagrams and the time, its outputs are effects; random numbers come from a
//! seeded generator.
//!
//! - `membership`: SWIM, and the discovery of other fronts.
//! - `reports`: server reports and rumors.
//! - `datagrams`: sealing, checking and counting of datagrams.

mod datagrams;
mod membership;
mod reports;

use crate::member_id::MemberId;
use crate::rumors::RumorBoard;
use crate::sealed_datagram::{DatagramError, Keys, ReplayFilter, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES};
use crate::server_report::ServerReport;
use foca::Timer;
use lilacpitch::interface::Nanos;
use membership::{new_swim, Discovery, Swim};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reports::{AnswerBudget, ReportRequests};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// Most bytes of an envelope without its body.
const HEADER_BYTES: usize = 160;
/// Most bytes of a datagram's body.
const DATAGRAM_CAPACITY_BYTES: usize = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - HEADER_BYTES;
/// Mean interval between two batches of rumors.
const RUMOR_INTERVAL_NS: Nanos = 25 * MS;

/// The gossip settings of a front.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The front's name.
    pub name: String,
    /// The address of its datagram socket, as peers reach it.
    pub address: SocketAddr,
    /// Addresses of peers to contact at the start; the front's own address is ignored.
    pub seeds: Vec<SocketAddr>,
    /// The keys in force.
    pub keys: Keys,
    /// Approximate number of fronts, which determines how often an update is sent and how long a suspicion
    /// lasts.
    pub fronts: u32,
}

/// The sender of a request for reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    peer: MemberId,
    request_id: u64,
}

/// An action for the caller of [`Peers`] to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// A peer has joined.
    MemberJoined(MemberId),
    /// A peer has left or was declared dead.
    MemberLeft(MemberId),
    /// A peer requests reports; answer with [`Peers::answer_request`].
    ReportsRequested(Requester),
    /// A peer has sent reports that this front requested; their origin is its [`MemberId::origin`].
    ReportsReceived(MemberId, Vec<ServerReport>),
    /// This front's own reports are due; pass them to [`Peers::publish_reports`].
    ReportsWanted,
    /// New reports of other fronts, each with its origin.
    RumorsReceived(Vec<(u64, ServerReport)>),
}

/// Counters since the start.
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
    /// Accepted datagrams of responses to these requests.
    pub responses_accepted: u64,
    /// Requests of other members answered.
    pub requests_answered: u64,
    /// Batches of rumors sent, counted once per receiver.
    pub rumor_batches_sent: u64,
    /// Rumors received that were new to this front.
    pub new_rumors: u64,
}

/// The action that is due when a timer expires.
enum TimerEvent {
    Swim(Timer<MemberId>),
    RequestReports,
    Announce,
    PublishReports,
}

/// One front's view of its peers.
pub struct Peers {
    swim: Swim,
    settings: Settings,
    own_id: MemberId,
    rng: StdRng,
    now: Nanos,
    started_ns: Nanos,
    /// Ordered by time, and by a serial number among equal times.
    timers: BTreeMap<(Nanos, u64), TimerEvent>,
    timer_serial: u64,
    /// Number of datagrams sent.
    sent_counter: u64,
    rumor_board: RumorBoard,
    replay_filter: ReplayFilter<SocketAddr>,
    report_requests: ReportRequests,
    discovery: Discovery,
    answer_budget: AnswerBudget,
    counters: Counters,
}

impl Peers {
    /// A front that has not started yet. `now`, in nanoseconds of Unix time, identifies its incarnation.
    pub fn new(settings: Settings, now: Nanos, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let own_id = MemberId { name: settings.name.clone(), address: settings.address, epoch: now };
        let swim = new_swim(own_id.clone(), settings.fronts, &mut rng);
        Peers {
            swim,
            settings,
            own_id,
            rng,
            now,
            started_ns: now,
            timers: BTreeMap::new(),
            timer_serial: 0,
            sent_counter: 0,
            rumor_board: RumorBoard::default(),
            replay_filter: ReplayFilter::default(),
            report_requests: ReportRequests::default(),
            discovery: Discovery::default(),
            answer_budget: AnswerBudget::new(now),
            counters: Counters::default(),
        }
    }

    /// Announces the front to the seeds and requests reports.
    pub fn start(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.announce(effects);
        self.request_reports(effects);
        self.schedule(RUMOR_INTERVAL_NS, TimerEvent::PublishReports);
    }

    /// Announces to the members that the front leaves, and cancels all timers.
    pub fn begin_leave(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.with_swim(effects, |swim, out| swim.leave_cluster(out));
        self.timers.clear();
    }

    /// Replaces the keys in force.
    pub fn set_keys(&mut self, keys: Keys) {
        self.settings.keys = keys;
    }

    /// The members, sorted.
    pub fn members(&self) -> Vec<MemberId> {
        let mut members: Vec<MemberId> = self.member_ids().cloned().collect();
        members.sort();
        members
    }

    /// The members, in the order of the membership protocol.
    pub fn member_ids(&self) -> impl Iterator<Item = &MemberId> {
        self.swim.iter_members().map(|member| member.id())
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The time at which [`handle_timeout`](Self::handle_timeout) must be called next.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                TimerEvent::Swim(timer) => self.with_swim(effects, |swim, out| swim.handle_timer(timer, out)),
                TimerEvent::RequestReports => self.request_reports(effects),
                TimerEvent::Announce => self.announce(effects),
                TimerEvent::PublishReports => {
                    let delay_ns = RUMOR_INTERVAL_NS / 2 + self.rng.random_range(0..=RUMOR_INTERVAL_NS);
                    self.schedule(delay_ns, TimerEvent::PublishReports);
                    effects.push(Effect::ReportsWanted);
                }
            }
        }
    }

    fn schedule(&mut self, after_ns: Nanos, event: TimerEvent) {
        self.timer_serial += 1;
        self.timers.insert((self.now + after_ns, self.timer_serial), event);
    }
}
