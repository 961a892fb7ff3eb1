//! The same cores in virtual time: sites in tiers and fronts by the hundred, from one seed. A site is one process with
//! a disk that outlives it; links hold what they are cut for, messages take their time, clocks run at different speeds.
//! Promises are judged with sight of every node.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::cache::Cache;
use lilacpitch_fleet::catalogue::{shard_updates_since, Catalogue, MAX_UPDATE_BYTES};
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::{LeaseHolder, LeaseUpdate};
use lilacpitch_fleet::locate::{Locate, LocateAnswer, SiteOutcome as SiteSaid};
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{
    CommandAction, FleetCommand, LogPosition, PurgeScope, RecordChange, RejectReason, Request, Response,
    SiteSummaryUpdate,
};
use lilacpitch_fleet::upstream_selection::renewal_interval_ns;
use lilacpitch_fleet::{Nanos, Safeguards};
use lilacpitch_location::{Key, Kind, LocationRecord, Number, Owner as RowHolder, Query};
use lilacpitch_site::log::state::{SiteState, UnpurgedChanges};
use lilacpitch_site::log::{Command, RecordWrite};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;

/// What a virtual town is like.
#[derive(Debug, Clone)]
pub struct Shape {
    /// For each site the one above, by number; the first is the root and names itself.
    pub above: Vec<usize>,
    /// Homes of fronts, by site.
    pub homes: Vec<usize>,
    /// What is agreed on.
    pub terms: LeaseTerms,
    /// Promise 1.
    pub settle_ns: Nanos,
    /// Between summaries.
    pub poll_ns: Nanos,
    /// One way of a message; as much again is drawn.
    pub way_ns: Nanos,
    /// Numbers of handsets.
    pub numbers: u32,
    /// Between moves of handsets, and between looks.
    pub move_ns: Nanos,
    /// See [`Shape::move_ns`].
    pub look_ns: Nanos,
    /// Faults in the first three quarters of a day.
    pub faults: usize,
    /// A day.
    pub length_ns: Nanos,
    /// What is switched off.
    pub guards: Safeguards,
}

impl Shape {
    /// A root, so many regions, so many leaves below each, so many fronts at each leaf.
    pub fn tiers(regions: usize, leaves_each: usize, fronts_each: usize) -> Self {
        let mut above = vec![0; 1 + regions];
        let mut homes = Vec::new();
        for region in 1..=regions {
            for _ in 0..leaves_each {
                homes.extend(vec![above.len(); fronts_each]);
                above.push(region);
            }
        }
        if leaves_each == 0 {
            homes = (1..=regions).flat_map(|site| vec![site; fronts_each]).collect();
        }
        let terms = LeaseTerms { lease_ns: 1_500 * MS, clock_allowance: 0.01, lagging_after_ns: 1_500 * MS };
        Shape {
            above,
            homes,
            terms,
            settle_ns: 1_500 * MS,
            poll_ns: 150 * MS,
            way_ns: MS / 2,
            numbers: 40,
            move_ns: 30 * MS,
            look_ns: 5 * MS,
            faults: 12,
            length_ns: 12_000 * MS,
            guards: Safeguards::default(),
        }
    }
}

/// What a day showed.
#[derive(Debug, Clone, Default)]
pub struct Played {
    /// Promises broken, by number, and how.
    pub breaches: Vec<(u32, String)>,
    /// Looks that were answered, complete, from the cache; sites asked in all.
    pub looks: (usize, usize, usize),
    /// Sites asked in all.
    pub asked: usize,
    /// Rows that had to be found, and withdrawn rows that must not be shown.
    pub judged: (usize, usize),
    /// Spans from an order to its completion, in milliseconds.
    pub complete_ms: Vec<f64>,
    /// Messages, and bytes of them as they are encoded, without seals.
    pub messages: (u64, u64),
    /// Messages of orders, acknowledgements and sums.
    pub purge_messages: (u64, u64),
}

#[derive(Debug, Clone)]
enum Then {
    /// A lease was asked for.
    Lease {
        asked_ns: Nanos,
    },
    /// Summaries were asked of one, so often in a row.
    Summaries {
        asked_ns: Nanos,
        to: usize,
        round: u32,
    },
    /// A child's orders were sent.
    Orders {
        child: usize,
    },
    Nothing,
    /// Rows were written: so many.
    Written {
        first: u64,
        count: usize,
    },
    /// Changes up to this were submitted.
    Ordered {
        upto: u64,
    },
    /// For somebody else.
    Pass {
        to: usize,
        id: u64,
    },
    /// A locate.
    Find {
        look: u64,
        site: usize,
    },
}

#[derive(Debug, Clone)]
enum Carried {
    Ask(u64, Request),
    Answer(u64, Response),
}

enum Happens {
    /// `by`: the life of the sender that sent it, its connection's.
    Comes {
        from: usize,
        to: usize,
        life: u64,
        by: u64,
        what: Box<Carried>,
    },
    Late {
        of: usize,
        life: u64,
        id: u64,
    },
    Tick {
        of: usize,
        life: u64,
    },
    Poll {
        of: usize,
        life: u64,
    },
    Move,
    Look,
    LookEnds(u64),
    Fault(usize, bool),
}

struct SiteNode {
    state: SiteState,
    relay: AckAggregator,
    catalogue: Catalogue,
    ordering: bool,
    said: Option<LogPosition>,
    links: BTreeMap<usize, u64>,
    sending: BTreeSet<usize>,
}

struct FrontNode {
    cache: Cache,
    catalogue: Catalogue,
    rows: BTreeMap<u32, LocationRecord>,
    waiting: Vec<RecordChange>,
    done: u64,
    writing: bool,
    register: Option<u64>,
    serial: u64,
}

enum Kindly {
    Site(Box<SiteNode>),
    Front(Box<FrontNode>),
}

struct Node {
    name: String,
    life: u64,
    up: bool,
    /// Stands still: what comes waits.
    frozen: u32,
    held: Vec<Happens>,
    /// Local time is `rate * t + offset`.
    rate: f64,
    offset: f64,
    holder: LeaseHolder,
    pending: BTreeMap<u64, Then>,
    kind: Kindly,
}

struct Looking {
    front: usize,
    life: u64,
    number: Number,
    began_ns: Nanos,
    locate: Option<Locate>,
}

/// A row's life as all see it.
#[derive(Debug, Default, Clone)]
struct Truth {
    site: usize,
    acked_ns: Option<Nanos>,
    withdrawn_ns: Option<Nanos>,
    /// The change that withdrew it, at its site, and the order of that.
    gone_change: Option<u64>,
    order: Option<LogPosition>,
    complete_ns: Option<Nanos>,
}

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    CutOneWay(usize, usize),
    Slow(usize, usize, Nanos),
    Lost(usize, usize),
}

/// A virtual town.
pub struct VirtualTown {
    shape: Shape,
    now: Nanos,
    rng: StdRng,
    nodes: Vec<Node>,
    queue: BTreeMap<(Nanos, u64), Happens>,
    serial: u64,
    next_id: u64,
    faults: Vec<Fault>,
    cut: BTreeMap<(usize, usize), u32>,
    slow: BTreeMap<(usize, usize), Nanos>,
    lossy: BTreeMap<(usize, usize), u32>,
    held: BTreeMap<(usize, usize), Vec<Happens>>,
    looks: BTreeMap<u64, Looking>,
    truth: BTreeMap<Key, Truth>,
    ordered_ns: BTreeMap<(u64, u64), Nanos>,
    handsets: BTreeMap<u32, usize>,
    complete: LogPosition,
    played: Played,
}

const PATIENCE_NS: Nanos = 300 * MS;

impl VirtualTown {
    /// A town of this shape, from a seed.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let a = shape.terms.clock_allowance;
        let sites = shape.above.len();
        let names: Vec<String> = (0..sites).map(|site| format!("s{site}")).collect();
        let mut nodes = Vec::new();
        for index in 0..sites + shape.homes.len() {
            let (rate, offset) = (rng.random_range(1.0 - a..=1.0 + a), rng.random_range(1e9..1e12));
            let (name, kind) = if index < sites {
                (names[index].clone(), Kindly::Site(Box::new(site_node(&shape, &names, index, None))))
            } else {
                (format!("e{}", index - sites), Kindly::Front(Box::new(front_node(&shape, &names))))
            };
            let holder = LeaseHolder::default();
            let pending = BTreeMap::new();
            nodes.push(Node {
                name,
                life: 1,
                up: true,
                frozen: 0,
                held: Vec::new(),
                rate,
                offset,
                holder,
                pending,
                kind,
            });
        }
        let mut town = VirtualTown {
            now: 0,
            rng,
            nodes,
            queue: BTreeMap::new(),
            serial: 0,
            next_id: 1,
            faults: Vec::new(),
            cut: BTreeMap::new(),
            slow: BTreeMap::new(),
            lossy: BTreeMap::new(),
            held: BTreeMap::new(),
            looks: BTreeMap::new(),
            truth: BTreeMap::new(),
            ordered_ns: BTreeMap::new(),
            handsets: BTreeMap::new(),
            complete: LogPosition::default(),
            played: Played::default(),
            shape,
        };
        if let Kindly::Site(root) = &town.nodes[0].kind {
            root.state.apply(Command::BeginLog(7));
        }
        for index in 0..town.nodes.len() {
            town.begin(index);
        }
        town.at(2_000 * MS, Happens::Move);
        town.at(2_500 * MS, Happens::Look);
        town.draw_faults();
        town
    }

    fn sites(&self) -> usize {
        self.shape.above.len()
    }

    fn at(&mut self, at: Nanos, what: Happens) {
        self.serial += 1;
        self.queue.insert((at, self.serial), what);
    }

    fn local(&self, node: usize) -> Nanos {
        let node = &self.nodes[node];
        (self.now as f64 * node.rate + node.offset) as Nanos
    }

    /// A span of a node's clock, in true time.
    fn true_span(&self, node: usize, span_ns: Nanos) -> Nanos {
        (span_ns as f64 / self.nodes[node].rate) as Nanos
    }

    fn begin(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let (tick, poll) = (self.rng.random_range(0..50 * MS), self.rng.random_range(0..self.shape.poll_ns));
        self.at(self.now + tick, Happens::Tick { of: node, life });
        self.at(self.now + poll, Happens::Poll { of: node, life });
        if node == 0 {
            // The root's one process leads from its start: holders of its former life are reckoned with.
            let now = self.local(0);
            if let Kindly::Site(root) = &mut self.nodes[0].kind {
                root.relay.reset(root.state.with_metadata(|beside| beside.command_log.clone()));
                root.relay.become_origin(now);
            }
        }
    }

    fn draw_faults(&mut self) {
        let nodes = self.nodes.len();
        for index in 0..self.shape.faults {
            let one = self.rng.random_range(0..nodes);
            // Along the tree mostly, where links carry something.
            let other = match self.above(one) {
                Some(above) if self.rng.random_bool(0.7) => above,
                _ => self.rng.random_range(0..nodes),
            };
            let fault = match self.rng.random_range(0..6) {
                0 | 1 => Fault::Kill(one),
                2 => Fault::Freeze(one),
                3 if self.rng.random_bool(0.5) => Fault::CutOneWay(one, other),
                3 => Fault::CutOneWay(other, one),
                4 => Fault::Slow(one, other, self.rng.random_range(10..400) * MS),
                _ => Fault::Lost(one, other),
            };
            self.faults.push(fault);
            let from = 2_500 * MS + self.rng.random_range(0..self.shape.length_ns * 6 / 10);
            let to = from + self.rng.random_range(50..4_000) * MS;
            self.at(from, Happens::Fault(index, true));
            self.at(to.min(self.shape.length_ns * 3 / 4 + 2_500 * MS), Happens::Fault(index, false));
        }
    }

    fn above(&self, node: usize) -> Option<usize> {
        match node.checked_sub(self.sites()) {
            Some(front) => Some(self.shape.homes[front]),
            None if node == 0 => None,
            None => Some(self.shape.above[node]),
        }
    }

    /// Plays the day.
    pub fn play(mut self) -> Played {
        let end = self.shape.length_ns + 2_500 * MS;
        while let Some(((at, _), what)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.happens(what);
        }
        self.played
    }

    fn happens(&mut self, what: Happens) {
        let of = match &what {
            Happens::Comes { to, .. } => Some(*to),
            Happens::Late { of, .. } | Happens::Tick { of, .. } | Happens::Poll { of, .. } => Some(*of),
            _ => None,
        };
        if let Some(of) = of.filter(|of| self.nodes[*of].frozen > 0) {
            self.nodes[of].held.push(what);
            return;
        }
        match what {
            Happens::Comes { from, to, life, by, what } => {
                // A connection ends with either end's life.
                if self.nodes[to].up && self.nodes[to].life == life {
                    match *what {
                        Carried::Ask(id, request) => self.asked((from, by), to, id, request),
                        Carried::Answer(id, response) => self.answered(to, id, response),
                    }
                }
            }
            Happens::Late { of, life, id } => {
                if self.nodes[of].life == life {
                    self.late(of, id);
                }
            }
            Happens::Tick { of, life } if self.nodes[of].life == life => self.tick(of),
            Happens::Poll { of, life } if self.nodes[of].life == life => self.poll(of),
            Happens::Tick { .. } | Happens::Poll { .. } => {}
            Happens::Move => self.move_handset(),
            Happens::Look => self.begin_look(),
            Happens::LookEnds(look) => self.end_look(look),
            Happens::Fault(index, begins) => self.fault(index, begins),
        }
    }

    fn fault(&mut self, index: usize, begins: bool) {
        let count = |of: &mut u32| if begins { *of += 1 } else { *of -= 1 };
        match self.faults[index].clone() {
            Fault::Kill(one) => {
                let sites: Vec<String> = (0..self.sites()).map(|site| format!("s{site}")).collect();
                if begins && self.nodes[one].up {
                    self.nodes[one].up = false;
                    self.nodes[one].life += 1;
                    self.nodes[one].pending.clear();
                    self.nodes[one].held.clear();
                    if one >= self.sites() {
                        // Its callers are gone with it.
                        self.handsets.retain(|_, at| *at != one);
                        for (_, truth) in
                            self.truth.iter_mut().filter(|(key, _)| key.owner.front == self.nodes[one].name)
                        {
                            truth.withdrawn_ns.get_or_insert(self.now);
                        }
                    }
                } else if !begins && !self.nodes[one].up {
                    self.nodes[one].up = true;
                    self.nodes[one].holder = LeaseHolder::default();
                    let node = &mut self.nodes[one];
                    match &mut node.kind {
                        Kindly::Site(site) => {
                            let old = std::mem::replace(&mut site.state, empty());
                            **site = site_node(&self.shape, &sites, one, Some(old));
                        }
                        Kindly::Front(front) => **front = front_node(&self.shape, &sites),
                    }
                    self.begin(one);
                }
            }
            Fault::Freeze(one) => {
                count(&mut self.nodes[one].frozen);
                if self.nodes[one].frozen == 0 {
                    for what in std::mem::take(&mut self.nodes[one].held) {
                        self.happens(what);
                    }
                }
            }
            Fault::CutOneWay(from, to) => {
                count(self.cut.entry((from, to)).or_default());
                if self.cut[&(from, to)] == 0 {
                    for what in self.held.remove(&(from, to)).unwrap_or_default() {
                        self.happens(what);
                    }
                }
            }
            Fault::Slow(from, to, by) => drop(self.slow.insert((from, to), if begins { by } else { 0 })),
            Fault::Lost(from, to) => count(self.lossy.entry((from, to)).or_default()),
        }
    }

    // ---- Messages ----

    fn carry(&mut self, from: usize, to: usize, what: Carried) {
        let bytes = match &what {
            Carried::Ask(_, request) => postcard::to_allocvec(request).map_or(0, |b| b.len() as u64),
            Carried::Answer(_, response) => postcard::to_allocvec(response).map_or(0, |b| b.len() as u64),
        };
        let purge = matches!(
            &what,
            Carried::Ask(
                _,
                Request::Commands { .. } | Request::ReportAcknowledged { .. } | Request::Submit(_)
            ) | Carried::Answer(_, Response::Applied(_) | Response::Committed(_))
        );
        self.played.messages = (self.played.messages.0 + 1, self.played.messages.1 + bytes);
        if purge {
            self.played.purge_messages =
                (self.played.purge_messages.0 + 1, self.played.purge_messages.1 + bytes);
        }
        if self.lossy.get(&(from, to)).is_some_and(|n| *n > 0) && self.rng.random_bool(0.3) {
            return;
        }
        let late = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let at = self.now + self.shape.way_ns + self.rng.random_range(0..=self.shape.way_ns) + late;
        let (life, by) = (self.nodes[to].life, self.nodes[from].life);
        let comes = Happens::Comes { from, to, life, by, what: Box::new(what) };
        if self.cut.get(&(from, to)).is_some_and(|n| *n > 0) {
            self.held.entry((from, to)).or_default().push(comes);
        } else {
            self.at(at, comes);
        }
    }

    fn ask(&mut self, from: usize, to: usize, request: Request, then: Then) {
        let id = self.next_id;
        self.next_id += 1;
        self.nodes[from].pending.insert(id, then);
        let life = self.nodes[from].life;
        self.at(self.now + self.true_span(from, PATIENCE_NS), Happens::Late { of: from, life, id });
        self.carry(from, to, Carried::Ask(id, request));
    }

    fn late(&mut self, of: usize, id: u64) {
        match self.nodes[of].pending.remove(&id) {
            Some(Then::Orders { child }) => {
                if let Kindly::Site(site) = &mut self.nodes[of].kind {
                    site.sending.remove(&child);
                    site.links.remove(&child);
                }
            }
            Some(Then::Ordered { .. }) => {
                if let Kindly::Site(site) = &mut self.nodes[of].kind {
                    site.ordering = false;
                }
                self.order_changes(of);
            }
            Some(Then::Written { .. }) => {
                if let Kindly::Front(front) = &mut self.nodes[of].kind {
                    front.writing = false;
                }
                self.write(of);
            }
            Some(Then::Pass { to, id }) => {
                self.carry(
                    of,
                    to,
                    Carried::Answer(id, Response::Rejected(RejectReason::Failed("late".into()))),
                );
            }
            Some(Then::Find { look, site }) => {
                self.found(look, site, Err(lilacpitch_fleet::error::LocateError::Late));
            }
            _ => {}
        }
    }

    #[allow(
        clippy::too_many_lines,
        reason = "the testbed is split by concern after the packages in service; see docs/ROADMAP.md"
    )]
    fn asked(&mut self, (from, by): (usize, u64), to: usize, id: u64, request: Request) {
        let now = self.local(to);
        let who = ChildId { name: self.nodes[from].name.clone(), incarnation: by };
        let is_front = from >= self.sites();
        let (own, own_life) = (self.nodes[to].name.clone(), self.nodes[to].life);
        let response = match (&mut self.nodes[to].kind, request) {
            (Kindly::Site(site), Request::RenewLease(applied)) => {
                let register = site.state.store_id_for(&who.name);
                let said = site.relay.renew_lease(now, &who, is_front, applied, register);
                if matches!(said, Response::LeaseGranted { .. }) {
                    site.links.insert(from, who.incarnation);
                }
                Some(said)
            }
            (Kindly::Site(site), Request::ReportAcknowledged { acknowledged, missing, missing_count }) => {
                site.relay
                    .record_aggregated_ack(&who, AggregatedAck { acknowledged, missing, missing_count });
                Some(Response::Done)
            }
            (Kindly::Site(site), Request::FindRecords { query, after, limit, .. }) => {
                let page = site.state.records.find(&query, after.as_ref(), limit as usize);
                Some(Response::Found { page, process: own })
            }
            (Kindly::Site(site), Request::Summaries(known)) => {
                let mut all = Vec::new();
                if let Some(known) = known.iter().find(|known| known.site == own) {
                    let (pending, ordered) = site.state.summary_purges();
                    let register = &site.state.records;
                    let (total, mut room) = (register.versions().iter().sum(), MAX_UPDATE_BYTES);
                    let shard = |at: usize, version| register.summary(at, Some(version));
                    let life = own_life;
                    let updates =
                        shard_updates_since(known, life, total, register.shards(), &mut room, shard);
                    let (shards, site) = (register.shards() as u32, own.clone());
                    all.push(SiteSummaryUpdate {
                        site,
                        incarnation: life,
                        shards,
                        total: updates.total,
                        age_ns: 0,
                        pending,
                        purge_position: ordered,
                        shard_updates: updates.updates,
                        has_more: updates.has_more,
                    });
                }
                all.extend(site.catalogue.updates_since(now, &known, |site| *site == own));
                Some(Response::Summaries(all))
            }
            (Kindly::Site(site), Request::Write { first, changes }) => {
                if site.relay.accepts_writes_from(now, &who) {
                    let ends: Vec<Key> = changes
                        .iter()
                        .filter_map(|change| {
                            if let RecordChange::Withdraw(key) = change {
                                Some(key.clone())
                            } else {
                                None
                            }
                        })
                        .collect();
                    let written = RecordWrite {
                        front: who.name,
                        incarnation: who.incarnation,
                        first_change: first,
                        changes,
                    };
                    site.state.apply(Command::WriteRecords(vec![written]));
                    let change = site.state.with_metadata(|beside| beside.last_change);
                    for key in ends {
                        if let Some(truth) = self.truth.get_mut(&key) {
                            truth.gone_change.get_or_insert(change);
                        }
                    }
                    Some(Response::Written)
                } else {
                    Some(Response::Rejected(RejectReason::Fenced))
                }
            }
            (Kindly::Site(_), Request::Submit(what)) => self.submit(from, to, id, what),
            (Kindly::Site(_), Request::Commands { log, commands }) => {
                Some(self.take_orders(to, log, commands))
            }
            (Kindly::Front(_), Request::Commands { log, commands }) => {
                Some(self.take_orders(to, log, commands))
            }
            _ => Some(Response::Rejected(RejectReason::Unsupported)),
        };
        if let Some(response) = response {
            self.carry(to, from, Carried::Answer(id, response));
        }
        self.after(to);
    }

    fn submit(&mut self, from: usize, to: usize, id: u64, what: CommandAction) -> Option<Response> {
        if to != 0 {
            let above = self.shape.above[to];
            self.ask(to, above, Request::Submit(what), Then::Pass { to: from, id });
            return None;
        }
        let now = self.local(0);
        let Kindly::Site(root) = &mut self.nodes[0].kind else { return None };
        root.state.apply(Command::AppendCommands(vec![what.clone()]));
        let position = root.relay.append_command(now, what);
        self.ordered_ns.insert((position.log, position.index), self.now);
        Some(Response::Committed(position))
    }

    fn take_orders(&mut self, to: usize, log: u64, orders: Vec<FleetCommand>) -> Response {
        let next = self.nodes[to].holder.select_next_commands(log, orders).unwrap_or_default();
        self.apply(to, next);
        Response::Applied(self.nodes[to].holder.position().unwrap_or_default())
    }

    fn apply(&mut self, to: usize, orders: Vec<FleetCommand>) {
        let now = self.local(to);
        let node = &mut self.nodes[to];
        for order in orders {
            match &mut node.kind {
                Kindly::Front(front) => front.cache.apply(now, &order),
                Kindly::Site(site) => drop(site.relay.append_command(now, order.action.clone())),
            }
            node.holder.record_applied(&order);
        }
    }

    fn answered(&mut self, of: usize, id: u64, response: Response) {
        let Some(then) = self.nodes[of].pending.remove(&id) else { return };
        let now = self.local(of);
        match then {
            Then::Lease { asked_ns } => self.leased(of, asked_ns, response),
            Then::Summaries { asked_ns, to, round } => {
                if let Response::Summaries(news) = response {
                    let applied = match &mut self.nodes[of].kind {
                        Kindly::Site(site) => site.catalogue.apply_updates(asked_ns, news),
                        Kindly::Front(front) => front.catalogue.apply_updates(asked_ns, news),
                    };
                    assert!(applied.errors.is_empty(), "nothing is damaged here: {:?}", applied.errors);
                    if applied.has_more && round < 8 {
                        self.ask_summaries(of, to, round + 1);
                    }
                }
            }
            Then::Orders { child } => {
                let who =
                    ChildId { name: self.nodes[child].name.clone(), incarnation: self.nodes[child].life };
                if let Kindly::Site(site) = &mut self.nodes[of].kind {
                    site.sending.remove(&child);
                    if let (Response::Applied(upto), Some(life)) = (response, site.links.get(&child)) {
                        site.relay.record_applied(&ChildId { incarnation: *life, ..who }, upto);
                    }
                }
            }
            Then::Written { first, count } => self.written(of, first, count, response == Response::Written),
            Then::Ordered { upto } => {
                if let (Kindly::Site(site), Response::Committed(position)) =
                    (&mut self.nodes[of].kind, &response)
                {
                    site.state.apply(Command::MarkPurged(upto, *position));
                    for truth in self.truth.values_mut().filter(|t| t.site == of) {
                        if truth.order.is_none() && truth.gone_change.is_some_and(|change| change <= upto) {
                            truth.order = Some(*position);
                        }
                    }
                }
                if let Kindly::Site(site) = &mut self.nodes[of].kind {
                    site.ordering = false;
                }
                self.order_changes(of);
            }
            Then::Pass { to, id } => self.carry(of, to, Carried::Answer(id, response)),
            Then::Find { look, site } => {
                let said = match response {
                    Response::Found { page, process } => Ok((page, process)),
                    Response::Rejected(why) => Err(lilacpitch_fleet::error::LocateError::Refused(why)),
                    _ => Err(lilacpitch_fleet::error::LocateError::Late),
                };
                self.found(look, site, said);
            }
            Then::Nothing => {}
        }
        let _ = now;
        self.after(of);
    }

    fn leased(&mut self, of: usize, asked_ns: Nanos, response: Response) {
        let (now, is_site) = (self.local(of), of < self.sites());
        let granted = match &response {
            Response::LeaseGranted { for_ns, position, store_id, .. } => {
                if let Kindly::Front(front) = &mut self.nodes[of].kind {
                    if front.register != Some(*store_id) {
                        front.register = Some(*store_id);
                        let all: Vec<RecordChange> =
                            front.rows.values().cloned().map(RecordChange::Upsert).collect();
                        front.waiting.extend(all);
                    }
                }
                Some((asked_ns + for_ns, *position))
            }
            _ => None,
        };
        match self.nodes[of].holder.handle_response(asked_ns, response) {
            LeaseUpdate::Commands(orders) => self.apply(of, orders),
            LeaseUpdate::Reset => {
                let position = self.nodes[of].holder.position().unwrap_or_default();
                match &mut self.nodes[of].kind {
                    Kindly::Front(front) => front.cache.clear(now),
                    Kindly::Site(site) => site.relay.reset(LogTail::starting_at(position, BTreeSet::new())),
                }
                self.ask_lease(of);
            }
            LeaseUpdate::Unchanged => {}
        }
        if let (Some((until_ns, needs)), Kindly::Site(site)) = (granted, &mut self.nodes[of].kind) {
            site.relay.allow_grants_until(until_ns, needs);
        }
        if !is_site {
            self.write(of);
        }
    }

    // ---- What nodes do by themselves ----

    fn ask_lease(&mut self, of: usize) {
        let Some(above) = self.above(of) else { return };
        let (asked_ns, applied) = (self.local(of), self.nodes[of].holder.position());
        self.ask(of, above, Request::RenewLease(applied), Then::Lease { asked_ns });
    }

    fn tick(&mut self, of: usize) {
        let life = self.nodes[of].life;
        let gap = self.true_span(of, renewal_interval_ns(&self.shape.terms));
        self.at(self.now + gap, Happens::Tick { of, life });
        if of == 0 {
            // Its leadership needs nobody's word.
            let (now, lease_ns) = (self.local(0), self.shape.terms.lease_ns);
            if let Kindly::Site(root) = &mut self.nodes[0].kind {
                let position = root.relay.position();
                root.relay.allow_grants_until(now + lease_ns, position);
            }
        }
        self.ask_lease(of);
        if let Kindly::Site(site) = &mut self.nodes[of].kind {
            site.said = None;
        }
        self.order_changes(of);
        self.write(of);
        self.after(of);
    }

    fn ask_summaries(&mut self, of: usize, to: usize, round: u32) {
        let asked_ns = self.local(of);
        let known = match &self.nodes[of].kind {
            Kindly::Site(site) => site.catalogue.known_summaries(),
            Kindly::Front(front) => front.catalogue.known_summaries(),
        };
        self.ask(of, to, Request::Summaries(known), Then::Summaries { asked_ns, to, round });
    }

    fn poll(&mut self, of: usize) {
        let life = self.nodes[of].life;
        self.at(self.now + self.true_span(of, self.shape.poll_ns), Happens::Poll { of, life });
        let below = (1..self.sites()).filter(|site| of < self.sites() && self.shape.above[*site] == of);
        let to: Vec<usize> = self.above(of).into_iter().chain(below).collect();
        to.into_iter().for_each(|to| self.ask_summaries(of, to, 0));
    }

    /// Orders downwards, sums upwards, as far as there is news; at the root, what is complete.
    fn after(&mut self, of: usize) {
        let now = self.local(of);
        let above = self.above(of);
        let (mut sends, mut says) = (Vec::new(), None);
        if let Kindly::Site(site) = &mut self.nodes[of].kind {
            let log = site.relay.position().log;
            for (child, life) in &site.links {
                let name = if *child < self.shape.above.len() {
                    format!("s{child}")
                } else {
                    format!("e{}", child - self.shape.above.len())
                };
                let id = ChildId { name, incarnation: *life };
                let orders = site.relay.missing_commands(&id).map_or(Vec::new(), |missing| missing.commands);
                if !orders.is_empty() && !site.sending.contains(child) {
                    sends.push((*child, log, orders));
                }
            }
            let sum = site.relay.aggregate(now);
            if site.said != Some(sum.acknowledged) {
                site.said = Some(sum.acknowledged);
                says = Some(sum);
            }
            site.sending.extend(sends.iter().map(|(child, ..)| *child));
        }
        for (child, log, orders) in sends {
            self.ask(of, child, Request::Commands { log, commands: orders }, Then::Orders { child });
        }
        let Some(sum) = says else { return };
        match above {
            Some(above) => {
                let AggregatedAck { acknowledged, missing, missing_count } = sum;
                self.ask(
                    of,
                    above,
                    Request::ReportAcknowledged { acknowledged, missing, missing_count },
                    Then::Nothing,
                );
            }
            None => self.completed(sum.acknowledged),
        }
    }

    fn order_changes(&mut self, of: usize) {
        if of >= self.sites() || !self.nodes[of].up {
            return;
        }
        let Kindly::Site(site) = &mut self.nodes[of].kind else { return };
        if site.ordering {
            return;
        }
        let Some(UnpurgedChanges { last_change: upto, numbers }) = site.state.unpurged_changes(512) else {
            return;
        };
        let what = CommandAction::Purge(numbers.into_iter().map(PurgeScope::Number).collect());
        if of == 0 {
            // No row is written at the root here.
            return;
        }
        site.ordering = true;
        let above = self.shape.above[of];
        self.ask(of, above, Request::Submit(what), Then::Ordered { upto });
    }

    fn write(&mut self, of: usize) {
        let Some(home) = self.above(of).filter(|_| of >= self.sites() && self.nodes[of].up) else { return };
        let Kindly::Front(front) = &mut self.nodes[of].kind else { return };
        if front.writing || front.waiting.is_empty() {
            return;
        }
        front.writing = true;
        let (first, changes) = (front.done + 1, front.waiting.clone());
        let then = Then::Written { first, count: changes.len() };
        self.ask(of, home, Request::Write { first, changes }, then);
    }

    fn written(&mut self, of: usize, first: u64, count: usize, taken: bool) {
        let Kindly::Front(front) = &mut self.nodes[of].kind else { return };
        front.writing = false;
        if !taken {
            return;
        }
        debug_assert_eq!(first, front.done + 1);
        front.done += count as u64;
        let done: Vec<RecordChange> = front.waiting.drain(..count).collect();
        for change in done {
            if let RecordChange::Upsert(row) = change {
                if let Some(truth) = self.truth.get_mut(&row.key) {
                    truth.acked_ns.get_or_insert(self.now);
                }
            }
        }
        self.write(of);
        self.order_changes(self.above(of).unwrap_or(0));
    }

    // ---- Handsets and looks ----

    fn number(n: u32) -> Option<Number> {
        Number::new(&format!("1555{n:04}")).ok()
    }

    fn move_handset(&mut self) {
        self.at(self.now + self.shape.move_ns, Happens::Move);
        let n = self.rng.random_range(0..self.shape.numbers);
        if let Some(at) = self.handsets.remove(&n) {
            if let Kindly::Front(front) = &mut self.nodes[at].kind {
                if let Some(row) = front.rows.remove(&n) {
                    if let Some(truth) = self.truth.get_mut(&row.key) {
                        truth.withdrawn_ns.get_or_insert(self.now);
                    }
                    front.waiting.push(RecordChange::Withdraw(row.key));
                }
            }
            self.write_unless_frozen(at);
        }
        let (sites, fronts) = (self.sites(), self.shape.homes.len());
        let at = sites + self.rng.random_range(0..fronts);
        if !self.nodes[at].up || self.nodes[at].frozen > 0 || !self.rng.random_bool(0.8) {
            return;
        }
        let (Some(number), life, since_ms) = (Self::number(n), self.nodes[at].life, self.now / MS) else {
            return;
        };
        let name = self.nodes[at].name.clone();
        let Kindly::Front(front) = &mut self.nodes[at].kind else { return };
        front.serial += 1;
        let holder = RowHolder { name: name.clone(), front: name, incarnation: life, serial: front.serial };
        let key = Key { number, kind: Kind::Binding, owner: holder };
        let row =
            LocationRecord { key: key.clone(), class: String::new(), trunk_group: "p".into(), since_ms };
        front.rows.insert(n, row.clone());
        front.waiting.push(RecordChange::Upsert(row));
        self.handsets.insert(n, at);
        self.truth.insert(key, Truth { site: self.shape.homes[at - sites], ..Truth::default() });
        self.write_unless_frozen(at);
    }

    fn write_unless_frozen(&mut self, at: usize) {
        if self.nodes[at].frozen == 0 {
            self.write(at);
        }
    }

    fn begin_look(&mut self) {
        self.at(self.now + self.shape.look_ns, Happens::Look);
        let sites = self.sites();
        let at = sites + self.rng.random_range(0..self.shape.homes.len());
        let n = self.rng.random_range(0..self.shape.numbers);
        let Some(number) = Self::number(n).filter(|_| self.nodes[at].up && self.nodes[at].frozen == 0) else {
            return;
        };
        let now = self.local(at);
        let node = &self.nodes[at];
        let Kindly::Front(front) = &node.kind else { return };
        let position = node.holder.position().unwrap_or_default();
        let usable = node.holder.valid_until(now).is_ok() || !self.shape.guards.cache_leases;
        let borne = front.catalogue.confirms_cached(now, number.hash64(), position);
        let (life, began_ns) = (node.life, self.now);
        if let Some(answer) = front.cache.get(&number).filter(|_| usable && borne) {
            self.played.looks.2 += 1;
            self.judge_look(&Looking { front: at, life, number, began_ns, locate: None }, &answer);
            return;
        }
        let query = Query::binding_of(number.clone());
        let locate = Locate::begin(now, query, None, 16, &front.catalogue, self.shape.guards);
        let open: Vec<usize> = locate.pending_sites().filter_map(|site| site[1..].parse().ok()).collect();
        self.next_id += 1;
        let look = self.next_id;
        self.looks.insert(
            look,
            Looking { front: at, life, number: number.clone(), began_ns, locate: Some(locate) },
        );
        self.played.asked += open.len();
        if open.is_empty() {
            return self.end_look(look);
        }
        for site in open {
            let query = Query::binding_of(number.clone());
            let find = Request::FindRecords { query, after: None, limit: 16, urgent: true };
            self.ask(at, site, find, Then::Find { look, site });
        }
        self.at(self.now + PATIENCE_NS * 2, Happens::LookEnds(look));
    }

    fn found(
        &mut self,
        look: u64,
        site: usize,
        said: Result<(lilacpitch_location::Page, String), lilacpitch_fleet::error::LocateError>,
    ) {
        let Some(looking) = self.looks.get_mut(&look) else { return };
        let Some(locate) = &mut looking.locate else { return };
        locate.record_response(&format!("s{site}"), said);
        if locate.pending_sites().next().is_none() {
            self.end_look(look);
        }
    }

    fn end_look(&mut self, look: u64) {
        let Some(mut looking) = self.looks.remove(&look) else { return };
        let node = &self.nodes[looking.front];
        if !node.up || node.life != looking.life || node.frozen > 0 {
            return;
        }
        let Some(locate) = looking.locate.take() else { return };
        let read_from_ns = locate.read_from_ns();
        let answer = locate.into_answer();
        if let (Kindly::Front(front), true) = (&node.kind, answer.is_complete) {
            front.cache.fill(read_from_ns, &looking.number, &answer);
        }
        self.judge_look(&looking, &answer);
    }

    // ---- The judge ----

    fn breach(&mut self, promise: u32, what: String) {
        self.played.breaches.push((promise, format!("{} ms: {what}", self.now / MS)));
    }

    fn judge_look(&mut self, look: &Looking, answer: &LocateAnswer) {
        self.played.looks.0 += 1;
        self.played.looks.1 += usize::from(answer.is_complete);
        let mut wrong = Vec::new();
        let missing = answer.sites.values().any(|said| matches!(said, SiteSaid::Unreachable(_)));
        if answer.sites.len() != self.sites() || answer.is_complete == missing {
            wrong.push((
                2,
                format!("{} sites of {}, complete {}", answer.sites.len(), self.sites(), answer.is_complete),
            ));
        }
        let settle = (self.shape.settle_ns as f64 * (1.0 + self.shape.terms.clock_allowance)) as Nanos;
        for (key, truth) in self.truth.iter().filter(|(key, _)| key.number == look.number) {
            let shown = answer.records.iter().any(|row| row.key == *key);
            let site = format!("s{}", truth.site);
            let not_reached = matches!(answer.sites.get(&site), Some(SiteSaid::Unreachable(_)) | None);
            let due = truth.acked_ns.is_some_and(|at| at + settle < look.began_ns);
            if due && truth.withdrawn_ns.is_none_or(|at| at > self.now) {
                self.played.judged.0 += 1;
                if !shown && !not_reached {
                    wrong.push((
                        1,
                        format!("{key:?} of {site} not found at {}: {:?}", look.front, answer.sites),
                    ));
                }
            }
            if truth.complete_ns.is_some_and(|at| at < look.began_ns) {
                self.played.judged.1 += 1;
                if shown {
                    wrong.push((3, format!("{key:?} shown at {} after its purge was complete", look.front)));
                }
            }
            let applied = self.nodes[look.front].holder.position();
            let passed =
                truth.order.is_some_and(|order| applied.is_some_and(|applied| applied.includes(order)));
            if passed && shown && answer.is_cached {
                wrong.push((4, format!("{key:?} cached at {} past its purge", look.front)));
            }
        }
        wrong.into_iter().for_each(|(promise, what)| self.breach(promise, what));
    }

    /// The root reports purges complete: no front may use what they withdrew.
    fn completed(&mut self, upto: LogPosition) {
        if self.complete.log == upto.log && self.complete.index >= upto.index {
            return;
        }
        for order in self.complete.index + 1..=upto.index {
            if let Some(at) = self.ordered_ns.get(&(upto.log, order)) {
                self.played.complete_ms.push((self.now - at) as f64 / MS as f64);
            }
        }
        self.complete = upto;
        let mut wrong = Vec::new();
        for index in self.sites()..self.nodes.len() {
            let node = &self.nodes[index];
            let behind = node.holder.position().is_none_or(|position| !position.includes(upto));
            // One that stands still judges its lease when it wakes, by a clock that went on.
            if node.up && node.holder.valid_until(self.local(index)).is_ok() && behind {
                wrong.push(format!(
                    "{upto} complete and {} may use what it has at {:?}",
                    node.name,
                    node.holder.position()
                ));
            }
        }
        wrong.into_iter().for_each(|what| self.breach(5, what));
        for truth in self.truth.values_mut() {
            if truth.complete_ns.is_none() && truth.order.is_some_and(|order| upto.includes(order)) {
                truth.complete_ns = Some(self.now);
            }
        }
    }
}

fn empty() -> SiteState {
    SiteState::new(1).unwrap_or_else(|_| unreachable!("one shard is allowed"))
}

/// A site's process; with the disk of its former life, if it had one.
fn site_node(shape: &Shape, names: &[String], index: usize, disk: Option<SiteState>) -> SiteNode {
    let others = names.iter().enumerate().filter(|(at, _)| *at != index).map(|(_, name)| name.as_str());
    // A process that starts again reads its rows from its disk: its summary has versions of its own.
    let state = SiteState::new(8).unwrap_or_else(|_| empty());
    if let Some(disk) = disk {
        let rows: Vec<LocationRecord> =
            disk.records.snapshot().iter().flat_map(|rows| rows.values().cloned()).collect();
        let beside = disk.with_metadata(Clone::clone);
        if state.restore(rows, beside).is_err() {
            unreachable!("its own rows are sound");
        }
    }
    SiteNode {
        state,
        relay: AckAggregator::new(shape.terms, shape.guards),
        catalogue: Catalogue::new(others, shape.settle_ns, shape.terms, shape.guards),
        ordering: false,
        said: None,
        links: BTreeMap::new(),
        sending: BTreeSet::new(),
    }
}

fn front_node(shape: &Shape, names: &[String]) -> FrontNode {
    FrontNode {
        cache: Cache::new(10_000, shape.guards),
        catalogue: Catalogue::new(
            names.iter().map(String::as_str),
            shape.settle_ns,
            shape.terms,
            shape.guards,
        ),
        rows: BTreeMap::new(),
        waiting: Vec::new(),
        done: 0,
        writing: false,
        register: None,
        serial: 0,
    }
}
