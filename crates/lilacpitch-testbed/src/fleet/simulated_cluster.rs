//! A simulated fleet in virtual time: the production state machines, with sites in tiers and hundreds of
//! fronts, from one seed. Each site is one process with a disk that survives restarts. Messages have latency,
//! interrupted links hold their messages, and clocks run at different rates. The guarantees are checked
//! against the state of all nodes.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::cache::Cache;
use lilacpitch_fleet::catalogue::{shard_updates_since, Catalogue, MAX_UPDATE_BYTES};
use lilacpitch_fleet::error::LocateError;
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::{LeaseHolder, LeaseUpdate};
use lilacpitch_fleet::locate::{Locate, LocateAnswer, SiteOutcome};
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

/// Nanoseconds in a millisecond.
const MS: Nanos = 1_000_000;
/// When the first handset connects, after the start of all nodes.
const FIRST_MOVE_NS: Nanos = 2_000 * MS;
/// When the day begins: the first locate, and the earliest fault.
const DAY_START_NS: Nanos = 2_500 * MS;
/// How long a request may take by the requester's clock.
const REQUEST_TIMEOUT_NS: Nanos = 300 * MS;

/// Topology and parameters of a simulated cluster.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The parent of each site, by index. The first site is the root and its own parent.
    pub parents: Vec<usize>,
    /// The home site of each front, by index.
    pub homes: Vec<usize>,
    /// Terms of leases.
    pub terms: LeaseTerms,
    /// Time after which every locate must find an acknowledged row (guarantee 1), in nanoseconds.
    pub settle_ns: Nanos,
    /// Interval between requests for summaries, in nanoseconds.
    pub poll_interval_ns: Nanos,
    /// Minimum latency of a message, in nanoseconds; the maximum is twice as long.
    pub latency_ns: Nanos,
    /// Number of handsets, each with its own number.
    pub numbers: u32,
    /// Interval between moves of handsets, in nanoseconds.
    pub move_interval_ns: Nanos,
    /// Interval between locates, in nanoseconds.
    pub locate_interval_ns: Nanos,
    /// Number of faults, all in the first three quarters of the day.
    pub faults: usize,
    /// Length of the day, in nanoseconds.
    pub length_ns: Nanos,
    /// The safeguards that are enabled.
    pub safeguards: Safeguards,
}

impl Shape {
    /// Returns a shape with a root, `regions` regions below it, `leaves_each` leaves per region and
    /// `fronts_each` fronts per leaf. Without leaves, the fronts are at the regions.
    pub fn tiers(regions: usize, leaves_each: usize, fronts_each: usize) -> Self {
        let mut parents = vec![0; 1 + regions];
        let mut homes = Vec::new();
        for region in 1..=regions {
            for _ in 0..leaves_each {
                homes.extend(vec![parents.len(); fronts_each]);
                parents.push(region);
            }
        }
        if leaves_each == 0 {
            homes = (1..=regions).flat_map(|site| vec![site; fronts_each]).collect();
        }
        let terms = LeaseTerms { lease_ns: 1_500 * MS, clock_allowance: 0.01, lagging_after_ns: 1_500 * MS };
        Shape {
            parents,
            homes,
            terms,
            settle_ns: 1_500 * MS,
            poll_interval_ns: 150 * MS,
            latency_ns: MS / 2,
            numbers: 40,
            move_interval_ns: 30 * MS,
            locate_interval_ns: 5 * MS,
            faults: 12,
            length_ns: 12_000 * MS,
            safeguards: Safeguards::default(),
        }
    }
}

/// The result of a day.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// Violations: the number of the guarantee and a description.
    pub breaches: Vec<(u32, String)>,
    /// Numbers of answered locates, of complete answers and of answers from a cache.
    pub locates: (usize, usize, usize),
    /// Number of queries to sites.
    pub sites_asked: usize,
    /// Numbers of checks that a row is found, and that a withdrawn row isn't.
    pub checked: (usize, usize),
    /// Time from each order to its completion, in milliseconds.
    pub complete_ms: Vec<f64>,
    /// Number of messages, and of their encoded bytes without authentication.
    pub messages: (u64, u64),
    /// The same for messages about purges: orders, acknowledgements and their aggregates.
    pub purge_messages: (u64, u64),
}

/// What a node does with the response to a request.
#[derive(Debug, Clone)]
enum PendingRequest {
    /// Use the lease.
    Lease {
        requested_ns: Nanos,
    },
    /// Apply the summaries, and request more if there are any. `round` counts the requests in a row.
    Summaries {
        requested_ns: Nanos,
        to: usize,
        round: u32,
    },
    /// Record the orders that a child has applied.
    Orders {
        child: usize,
    },
    Nothing,
    /// Remove `count` written changes, numbered from `first`, from the queue.
    Written {
        first: u64,
        count: usize,
    },
    /// Mark the changes up to a number as purged.
    Ordered {
        last_change: u64,
    },
    /// Forward the response to another node.
    Forward {
        to: usize,
        id: u64,
    },
    /// Add the response to a locate.
    Find {
        locate_id: u64,
        site: usize,
    },
}

/// A message between nodes, with the id of its request.
#[derive(Debug, Clone)]
enum Message {
    Request(u64, Request),
    Response(u64, Response),
}

/// A scheduled event of the simulation.
enum Event {
    /// A message arrives. `incarnation` and `sender_incarnation` are the incarnations of the ends of its
    /// connection.
    Deliver {
        from: usize,
        to: usize,
        incarnation: u64,
        sender_incarnation: u64,
        message: Box<Message>,
    },
    RequestTimeout {
        node_index: usize,
        incarnation: u64,
        id: u64,
    },
    /// A node renews its lease and retries unfinished work.
    Tick {
        node_index: usize,
        incarnation: u64,
    },
    /// A node requests summaries from its neighbours.
    Poll {
        node_index: usize,
        incarnation: u64,
    },
    MoveHandset,
    BeginLocate,
    EndLocate(u64),
    /// A fault starts (`true`) or ends.
    Fault(usize, bool),
}

/// The state of a site's process.
struct SiteNode {
    state: SiteState,
    aggregator: AckAggregator,
    catalogue: Catalogue,
    /// Whether a purge of its changes is being submitted.
    ordering: bool,
    /// The acknowledged position that it last reported to its parent.
    reported: Option<LogPosition>,
    /// The connected children, by node index, and their incarnations.
    children: BTreeMap<usize, u64>,
    /// The children that orders are being sent to.
    sending_to: BTreeSet<usize>,
}

/// The state of a front.
struct FrontNode {
    cache: Cache,
    catalogue: Catalogue,
    /// The rows of its connected handsets.
    rows: BTreeMap<u32, LocationRecord>,
    /// Changes that its site hasn't acknowledged.
    unwritten: Vec<RecordChange>,
    /// Number of changes that its site has acknowledged.
    written_count: u64,
    /// Whether a write is in progress.
    writing: bool,
    /// The store that its rows were written to.
    store_id: Option<u64>,
    serial: u64,
}

enum NodeKind {
    Site(Box<SiteNode>),
    Front(Box<FrontNode>),
}

/// A process of the simulated cluster.
struct Node {
    name: String,
    incarnation: u64,
    up: bool,
    /// Number of freezes in effect. Events are held back meanwhile.
    frozen: u32,
    held: Vec<Event>,
    /// Its local time is `rate * time + offset`.
    rate: f64,
    offset: f64,
    holder: LeaseHolder,
    pending: BTreeMap<u64, PendingRequest>,
    kind: NodeKind,
}

/// A locate in progress.
struct OngoingLocate {
    front: usize,
    incarnation: u64,
    number: Number,
    began_ns: Nanos,
    locate: Option<Locate>,
}

/// The history of a row with regard to all nodes, by the simulation's time.
#[derive(Debug, Default, Clone)]
struct RowHistory {
    site: usize,
    acked_ns: Option<Nanos>,
    withdrawn_ns: Option<Nanos>,
    /// Number of the change that withdrew it, at its site.
    withdrawing_change: Option<u64>,
    /// Position of the order that purges it.
    order: Option<LogPosition>,
    complete_ns: Option<Nanos>,
}

/// A fault of nodes, or of the link from one node to another.
#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    CutOneWay(usize, usize),
    Slow(usize, usize, Nanos),
    Lossy(usize, usize),
}

/// A simulated cluster.
pub struct SimulatedCluster {
    shape: Shape,
    now: Nanos,
    rng: StdRng,
    nodes: Vec<Node>,
    /// Events by time and sequence number.
    queue: BTreeMap<(Nanos, u64), Event>,
    event_count: u64,
    next_id: u64,
    faults: Vec<Fault>,
    cut: BTreeMap<(usize, usize), u32>,
    slow: BTreeMap<(usize, usize), Nanos>,
    lossy: BTreeMap<(usize, usize), u32>,
    held: BTreeMap<(usize, usize), Vec<Event>>,
    locates: BTreeMap<u64, OngoingLocate>,
    row_histories: BTreeMap<Key, RowHistory>,
    ordered_ns: BTreeMap<(u64, u64), Nanos>,
    handsets: BTreeMap<u32, usize>,
    complete: LogPosition,
    result: RunResult,
}

impl SimulatedCluster {
    /// Creates a cluster from a shape and a seed.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let a = shape.terms.clock_allowance;
        let sites = shape.parents.len();
        let names: Vec<String> = (0..sites).map(|site| format!("s{site}")).collect();
        let mut nodes = Vec::new();
        for index in 0..sites + shape.homes.len() {
            let (rate, offset) = (rng.random_range(1.0 - a..=1.0 + a), rng.random_range(1e9..1e12));
            let (name, kind) = if index < sites {
                (names[index].clone(), NodeKind::Site(Box::new(site_node(&shape, &names, index, None))))
            } else {
                (format!("e{}", index - sites), NodeKind::Front(Box::new(front_node(&shape, &names))))
            };
            let holder = LeaseHolder::default();
            let pending = BTreeMap::new();
            nodes.push(Node {
                name,
                incarnation: 1,
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
        let mut cluster = SimulatedCluster {
            now: 0,
            rng,
            nodes,
            queue: BTreeMap::new(),
            event_count: 0,
            next_id: 1,
            faults: Vec::new(),
            cut: BTreeMap::new(),
            slow: BTreeMap::new(),
            lossy: BTreeMap::new(),
            held: BTreeMap::new(),
            locates: BTreeMap::new(),
            row_histories: BTreeMap::new(),
            ordered_ns: BTreeMap::new(),
            handsets: BTreeMap::new(),
            complete: LogPosition::default(),
            result: RunResult::default(),
            shape,
        };
        if let NodeKind::Site(root) = &cluster.nodes[0].kind {
            root.state.apply(Command::BeginLog(7));
        }
        for index in 0..cluster.nodes.len() {
            cluster.start_node(index);
        }
        cluster.schedule(FIRST_MOVE_NS, Event::MoveHandset);
        cluster.schedule(DAY_START_NS, Event::BeginLocate);
        cluster.draw_faults();
        cluster
    }

    fn sites(&self) -> usize {
        self.shape.parents.len()
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    /// Returns the time of a node's clock.
    fn local_ns(&self, node: usize) -> Nanos {
        let node = &self.nodes[node];
        (self.now as f64 * node.rate + node.offset) as Nanos
    }

    /// Converts a duration of a node's clock to simulation time.
    fn true_span(&self, node: usize, span_ns: Nanos) -> Nanos {
        (span_ns as f64 / self.nodes[node].rate) as Nanos
    }

    /// Schedules the first periodic events of a started node.
    fn start_node(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let (tick, poll) =
            (self.rng.random_range(0..50 * MS), self.rng.random_range(0..self.shape.poll_interval_ns));
        self.schedule(self.now + tick, Event::Tick { node_index: node, incarnation });
        self.schedule(self.now + poll, Event::Poll { node_index: node, incarnation });
        if node == 0 {
            // The root has a single process, which leads at once and must allow for leases of its former
            // incarnation.
            let now = self.local_ns(0);
            if let NodeKind::Site(root) = &mut self.nodes[0].kind {
                root.aggregator.reset(root.state.with_metadata(|metadata| metadata.command_log.clone()));
                root.aggregator.become_origin(now);
            }
        }
    }

    fn draw_faults(&mut self) {
        let nodes = self.nodes.len();
        for index in 0..self.shape.faults {
            let target = self.rng.random_range(0..nodes);
            // Mostly links along the tree, since they carry most of the traffic.
            let other = match self.parent(target) {
                Some(parent) if self.rng.random_bool(0.7) => parent,
                _ => self.rng.random_range(0..nodes),
            };
            let fault = match self.rng.random_range(0..6) {
                0 | 1 => Fault::Kill(target),
                2 => Fault::Freeze(target),
                3 if self.rng.random_bool(0.5) => Fault::CutOneWay(target, other),
                3 => Fault::CutOneWay(other, target),
                4 => Fault::Slow(target, other, self.rng.random_range(10..400) * MS),
                _ => Fault::Lossy(target, other),
            };
            self.faults.push(fault);
            let from = DAY_START_NS + self.rng.random_range(0..self.shape.length_ns * 6 / 10);
            let to = from + self.rng.random_range(50..4_000) * MS;
            self.schedule(from, Event::Fault(index, true));
            self.schedule(to.min(self.shape.length_ns * 3 / 4 + DAY_START_NS), Event::Fault(index, false));
        }
    }

    /// Returns the parent of a site or the home of a front, or `None` for the root.
    fn parent(&self, node: usize) -> Option<usize> {
        match node.checked_sub(self.sites()) {
            Some(front) => Some(self.shape.homes[front]),
            None if node == 0 => None,
            None => Some(self.shape.parents[node]),
        }
    }

    /// Runs the day and returns its result.
    pub fn run(mut self) -> RunResult {
        let end = self.shape.length_ns + DAY_START_NS;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.process(event);
        }
        self.result
    }

    fn process(&mut self, event: Event) {
        let node_index = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::RequestTimeout { node_index, .. }
            | Event::Tick { node_index, .. }
            | Event::Poll { node_index, .. } => Some(*node_index),
            _ => None,
        };
        if let Some(node_index) = node_index.filter(|node_index| self.nodes[*node_index].frozen > 0) {
            self.nodes[node_index].held.push(event);
            return;
        }
        match event {
            Event::Deliver { from, to, incarnation, sender_incarnation, message } => {
                // A message is lost if the receiver's incarnation, and so the connection, has ended.
                if self.nodes[to].up && self.nodes[to].incarnation == incarnation {
                    match *message {
                        Message::Request(id, request) => {
                            self.handle_request((from, sender_incarnation), to, id, request)
                        }
                        Message::Response(id, response) => self.handle_response(to, id, response),
                    }
                }
            }
            Event::RequestTimeout { node_index, incarnation, id } => {
                if self.nodes[node_index].incarnation == incarnation {
                    self.handle_timeout(node_index, id);
                }
            }
            Event::Tick { node_index, incarnation } if self.nodes[node_index].incarnation == incarnation => {
                self.tick(node_index)
            }
            Event::Poll { node_index, incarnation } if self.nodes[node_index].incarnation == incarnation => {
                self.poll(node_index)
            }
            Event::Tick { .. } | Event::Poll { .. } => {}
            Event::MoveHandset => self.move_handset(),
            Event::BeginLocate => self.begin_locate(),
            Event::EndLocate(locate_id) => self.end_locate(locate_id),
            Event::Fault(index, begins) => self.fault(index, begins),
        }
    }

    fn fault(&mut self, index: usize, begins: bool) {
        let count = |counter: &mut u32| if begins { *counter += 1 } else { *counter -= 1 };
        match self.faults[index].clone() {
            Fault::Kill(target) => {
                let sites: Vec<String> = (0..self.sites()).map(|site| format!("s{site}")).collect();
                if begins && self.nodes[target].up {
                    self.nodes[target].up = false;
                    self.nodes[target].incarnation += 1;
                    self.nodes[target].pending.clear();
                    self.nodes[target].held.clear();
                    if target >= self.sites() {
                        // Its handsets disconnect.
                        self.handsets.retain(|_, at| *at != target);
                        for (_, history) in self
                            .row_histories
                            .iter_mut()
                            .filter(|(key, _)| key.owner.front == self.nodes[target].name)
                        {
                            history.withdrawn_ns.get_or_insert(self.now);
                        }
                    }
                } else if !begins && !self.nodes[target].up {
                    self.nodes[target].up = true;
                    self.nodes[target].holder = LeaseHolder::default();
                    let node = &mut self.nodes[target];
                    match &mut node.kind {
                        NodeKind::Site(site) => {
                            let old = std::mem::replace(&mut site.state, empty_state());
                            **site = site_node(&self.shape, &sites, target, Some(old));
                        }
                        NodeKind::Front(front) => **front = front_node(&self.shape, &sites),
                    }
                    self.start_node(target);
                }
            }
            Fault::Freeze(target) => {
                count(&mut self.nodes[target].frozen);
                if self.nodes[target].frozen == 0 {
                    for event in std::mem::take(&mut self.nodes[target].held) {
                        self.process(event);
                    }
                }
            }
            Fault::CutOneWay(from, to) => {
                count(self.cut.entry((from, to)).or_default());
                if self.cut[&(from, to)] == 0 {
                    for event in self.held.remove(&(from, to)).unwrap_or_default() {
                        self.process(event);
                    }
                }
            }
            Fault::Slow(from, to, by) => drop(self.slow.insert((from, to), if begins { by } else { 0 })),
            Fault::Lossy(from, to) => count(self.lossy.entry((from, to)).or_default()),
        }
    }

    // ---- Messages ----

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Request(_, request) => {
                postcard::to_allocvec(request).map_or(0, |bytes| bytes.len() as u64)
            }
            Message::Response(_, response) => {
                postcard::to_allocvec(response).map_or(0, |bytes| bytes.len() as u64)
            }
        };
        let is_about_purges = matches!(
            &message,
            Message::Request(
                _,
                Request::Commands { .. } | Request::ReportAcknowledged { .. } | Request::Submit(_)
            ) | Message::Response(_, Response::Applied(_) | Response::Committed(_))
        );
        self.result.messages = (self.result.messages.0 + 1, self.result.messages.1 + bytes);
        if is_about_purges {
            self.result.purge_messages =
                (self.result.purge_messages.0 + 1, self.result.purge_messages.1 + bytes);
        }
        if self.lossy.get(&(from, to)).is_some_and(|count| *count > 0) && self.rng.random_bool(0.3) {
            return;
        }
        let extra_delay = self.slow.get(&(from, to)).copied().unwrap_or(0);
        let at =
            self.now + self.shape.latency_ns + self.rng.random_range(0..=self.shape.latency_ns) + extra_delay;
        let (incarnation, sender_incarnation) = (self.nodes[to].incarnation, self.nodes[from].incarnation);
        let delivery =
            Event::Deliver { from, to, incarnation, sender_incarnation, message: Box::new(message) };
        if self.cut.get(&(from, to)).is_some_and(|count| *count > 0) {
            self.held.entry((from, to)).or_default().push(delivery);
        } else {
            self.schedule(at, delivery);
        }
    }

    fn request(&mut self, from: usize, to: usize, request: Request, pending: PendingRequest) {
        let id = self.next_id;
        self.next_id += 1;
        self.nodes[from].pending.insert(id, pending);
        let incarnation = self.nodes[from].incarnation;
        self.schedule(
            self.now + self.true_span(from, REQUEST_TIMEOUT_NS),
            Event::RequestTimeout { node_index: from, incarnation, id },
        );
        self.send(from, to, Message::Request(id, request));
    }

    fn handle_timeout(&mut self, node_index: usize, id: u64) {
        match self.nodes[node_index].pending.remove(&id) {
            Some(PendingRequest::Orders { child }) => {
                if let NodeKind::Site(site) = &mut self.nodes[node_index].kind {
                    site.sending_to.remove(&child);
                    site.children.remove(&child);
                }
            }
            Some(PendingRequest::Ordered { .. }) => {
                if let NodeKind::Site(site) = &mut self.nodes[node_index].kind {
                    site.ordering = false;
                }
                self.order_changes(node_index);
            }
            Some(PendingRequest::Written { .. }) => {
                if let NodeKind::Front(front) = &mut self.nodes[node_index].kind {
                    front.writing = false;
                }
                self.write(node_index);
            }
            Some(PendingRequest::Forward { to, id }) => {
                self.send(
                    node_index,
                    to,
                    Message::Response(id, Response::Rejected(RejectReason::Failed("late".into()))),
                );
            }
            Some(PendingRequest::Find { locate_id, site }) => {
                self.add_result(locate_id, site, Err(LocateError::Late));
            }
            _ => {}
        }
    }

    #[allow(
        clippy::too_many_lines,
        reason = "the testbed is split by concern after the packages in service; see docs/ROADMAP.md"
    )]
    fn handle_request(
        &mut self,
        (from, sender_incarnation): (usize, u64),
        to: usize,
        id: u64,
        request: Request,
    ) {
        let now = self.local_ns(to);
        let sender = ChildId { name: self.nodes[from].name.clone(), incarnation: sender_incarnation };
        let is_front = from >= self.sites();
        let (own, own_incarnation) = (self.nodes[to].name.clone(), self.nodes[to].incarnation);
        let response = match (&mut self.nodes[to].kind, request) {
            (NodeKind::Site(site), Request::RenewLease(applied)) => {
                let store_id = site.state.store_id_for(&sender.name);
                let response = site.aggregator.renew_lease(now, &sender, is_front, applied, store_id);
                if matches!(response, Response::LeaseGranted { .. }) {
                    site.children.insert(from, sender.incarnation);
                }
                Some(response)
            }
            (NodeKind::Site(site), Request::ReportAcknowledged { acknowledged, missing, missing_count }) => {
                site.aggregator
                    .record_aggregated_ack(&sender, AggregatedAck { acknowledged, missing, missing_count });
                Some(Response::Done)
            }
            (NodeKind::Site(site), Request::FindRecords { query, after, limit, .. }) => {
                let page = site.state.records.find(&query, after.as_ref(), limit as usize);
                Some(Response::Found { page, process: own })
            }
            (NodeKind::Site(site), Request::Summaries(known)) => {
                let mut updates_of_sites = Vec::new();
                if let Some(known) = known.iter().find(|known| known.site == own) {
                    let (pending, ordered) = site.state.summary_purges();
                    let records = &site.state.records;
                    let (total, mut remaining_bytes) = (records.versions().iter().sum(), MAX_UPDATE_BYTES);
                    let shard = |index: usize, version| records.summary(index, Some(version));
                    let incarnation = own_incarnation;
                    let updates = shard_updates_since(
                        known,
                        incarnation,
                        total,
                        records.shards(),
                        &mut remaining_bytes,
                        shard,
                    );
                    let (shards, site) = (records.shards() as u32, own.clone());
                    updates_of_sites.push(SiteSummaryUpdate {
                        site,
                        incarnation,
                        shards,
                        total: updates.total,
                        age_ns: 0,
                        pending,
                        purge_position: ordered,
                        shard_updates: updates.updates,
                        has_more: updates.has_more,
                    });
                }
                updates_of_sites.extend(site.catalogue.updates_since(now, &known, |site| *site == own));
                Some(Response::Summaries(updates_of_sites))
            }
            (NodeKind::Site(site), Request::Write { first, changes }) => {
                if site.aggregator.accepts_writes_from(now, &sender) {
                    let withdrawn_keys: Vec<Key> = changes
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
                        front: sender.name,
                        incarnation: sender.incarnation,
                        first_change: first,
                        changes,
                    };
                    site.state.apply(Command::WriteRecords(vec![written]));
                    let change = site.state.with_metadata(|metadata| metadata.last_change);
                    for key in withdrawn_keys {
                        if let Some(history) = self.row_histories.get_mut(&key) {
                            history.withdrawing_change.get_or_insert(change);
                        }
                    }
                    Some(Response::Written)
                } else {
                    Some(Response::Rejected(RejectReason::Fenced))
                }
            }
            (NodeKind::Site(_), Request::Submit(action)) => self.submit(from, to, id, action),
            (NodeKind::Site(_), Request::Commands { log, commands }) => {
                Some(self.apply_commands(to, log, commands))
            }
            (NodeKind::Front(_), Request::Commands { log, commands }) => {
                Some(self.apply_commands(to, log, commands))
            }
            _ => Some(Response::Rejected(RejectReason::Unsupported)),
        };
        if let Some(response) = response {
            self.send(to, from, Message::Response(id, response));
        }
        self.send_updates(to);
    }

    fn submit(&mut self, from: usize, to: usize, id: u64, action: CommandAction) -> Option<Response> {
        if to != 0 {
            let parent = self.shape.parents[to];
            self.request(to, parent, Request::Submit(action), PendingRequest::Forward { to: from, id });
            return None;
        }
        let now = self.local_ns(0);
        let NodeKind::Site(root) = &mut self.nodes[0].kind else { return None };
        root.state.apply(Command::AppendCommands(vec![action.clone()]));
        let position = root.aggregator.append_command(now, action);
        self.ordered_ns.insert((position.log, position.index), self.now);
        Some(Response::Committed(position))
    }

    fn apply_commands(&mut self, to: usize, log: u64, commands: Vec<FleetCommand>) -> Response {
        let next = self.nodes[to].holder.select_next_commands(log, commands).unwrap_or_default();
        self.apply(to, next);
        Response::Applied(self.nodes[to].holder.position().unwrap_or_default())
    }

    fn apply(&mut self, to: usize, commands: Vec<FleetCommand>) {
        let now = self.local_ns(to);
        let node = &mut self.nodes[to];
        for command in commands {
            match &mut node.kind {
                NodeKind::Front(front) => front.cache.apply(now, &command),
                NodeKind::Site(site) => drop(site.aggregator.append_command(now, command.action.clone())),
            }
            node.holder.record_applied(&command);
        }
    }

    fn handle_response(&mut self, node_index: usize, id: u64, response: Response) {
        let Some(pending) = self.nodes[node_index].pending.remove(&id) else { return };
        match pending {
            PendingRequest::Lease { requested_ns } => {
                self.handle_lease_response(node_index, requested_ns, response)
            }
            PendingRequest::Summaries { requested_ns, to, round } => {
                if let Response::Summaries(updates) = response {
                    let applied = match &mut self.nodes[node_index].kind {
                        NodeKind::Site(site) => site.catalogue.apply_updates(requested_ns, updates),
                        NodeKind::Front(front) => front.catalogue.apply_updates(requested_ns, updates),
                    };
                    assert!(applied.errors.is_empty(), "summaries are valid: {:?}", applied.errors);
                    if applied.has_more && round < 8 {
                        self.request_summaries(node_index, to, round + 1);
                    }
                }
            }
            PendingRequest::Orders { child } => {
                let child_id = ChildId {
                    name: self.nodes[child].name.clone(),
                    incarnation: self.nodes[child].incarnation,
                };
                if let NodeKind::Site(site) = &mut self.nodes[node_index].kind {
                    site.sending_to.remove(&child);
                    if let (Response::Applied(position), Some(incarnation)) =
                        (response, site.children.get(&child))
                    {
                        site.aggregator
                            .record_applied(&ChildId { incarnation: *incarnation, ..child_id }, position);
                    }
                }
            }
            PendingRequest::Written { first, count } => {
                self.handle_write_response(node_index, first, count, response == Response::Written)
            }
            PendingRequest::Ordered { last_change } => {
                if let (NodeKind::Site(site), Response::Committed(position)) =
                    (&mut self.nodes[node_index].kind, &response)
                {
                    site.state.apply(Command::MarkPurged(last_change, *position));
                    for history in
                        self.row_histories.values_mut().filter(|history| history.site == node_index)
                    {
                        if history.order.is_none()
                            && history.withdrawing_change.is_some_and(|change| change <= last_change)
                        {
                            history.order = Some(*position);
                        }
                    }
                }
                if let NodeKind::Site(site) = &mut self.nodes[node_index].kind {
                    site.ordering = false;
                }
                self.order_changes(node_index);
            }
            PendingRequest::Forward { to, id } => self.send(node_index, to, Message::Response(id, response)),
            PendingRequest::Find { locate_id, site } => {
                let result = match response {
                    Response::Found { page, process } => Ok((page, process)),
                    Response::Rejected(reason) => Err(LocateError::Refused(reason)),
                    _ => Err(LocateError::Late),
                };
                self.add_result(locate_id, site, result);
            }
            PendingRequest::Nothing => {}
        }
        self.send_updates(node_index);
    }

    fn handle_lease_response(&mut self, node_index: usize, requested_ns: Nanos, response: Response) {
        let (now, is_site) = (self.local_ns(node_index), node_index < self.sites());
        let granted = match &response {
            Response::LeaseGranted { for_ns, position, store_id, .. } => {
                if let NodeKind::Front(front) = &mut self.nodes[node_index].kind {
                    if front.store_id != Some(*store_id) {
                        front.store_id = Some(*store_id);
                        let all_rows: Vec<RecordChange> =
                            front.rows.values().cloned().map(RecordChange::Upsert).collect();
                        front.unwritten.extend(all_rows);
                    }
                }
                Some((requested_ns + for_ns, *position))
            }
            _ => None,
        };
        match self.nodes[node_index].holder.handle_response(requested_ns, response) {
            LeaseUpdate::Commands(commands) => self.apply(node_index, commands),
            LeaseUpdate::Reset => {
                let position = self.nodes[node_index].holder.position().unwrap_or_default();
                match &mut self.nodes[node_index].kind {
                    NodeKind::Front(front) => front.cache.clear(now),
                    NodeKind::Site(site) => {
                        site.aggregator.reset(LogTail::starting_at(position, BTreeSet::new()))
                    }
                }
                self.request_lease(node_index);
            }
            LeaseUpdate::Unchanged => {}
        }
        if let (Some((until_ns, required)), NodeKind::Site(site)) =
            (granted, &mut self.nodes[node_index].kind)
        {
            site.aggregator.allow_grants_until(until_ns, required);
        }
        if !is_site {
            self.write(node_index);
        }
    }

    // ---- Periodic work of nodes ----

    fn request_lease(&mut self, node_index: usize) {
        let Some(parent) = self.parent(node_index) else { return };
        let (requested_ns, applied) = (self.local_ns(node_index), self.nodes[node_index].holder.position());
        self.request(
            node_index,
            parent,
            Request::RenewLease(applied),
            PendingRequest::Lease { requested_ns },
        );
    }

    fn tick(&mut self, node_index: usize) {
        let incarnation = self.nodes[node_index].incarnation;
        let interval_ns = self.true_span(node_index, renewal_interval_ns(&self.shape.terms));
        self.schedule(self.now + interval_ns, Event::Tick { node_index, incarnation });
        if node_index == 0 {
            // The root needs no lease of its own to grant leases.
            let (now, lease_ns) = (self.local_ns(0), self.shape.terms.lease_ns);
            if let NodeKind::Site(root) = &mut self.nodes[0].kind {
                let position = root.aggregator.position();
                root.aggregator.allow_grants_until(now + lease_ns, position);
            }
        }
        self.request_lease(node_index);
        if let NodeKind::Site(site) = &mut self.nodes[node_index].kind {
            site.reported = None;
        }
        self.order_changes(node_index);
        self.write(node_index);
        self.send_updates(node_index);
    }

    fn request_summaries(&mut self, node_index: usize, to: usize, round: u32) {
        let requested_ns = self.local_ns(node_index);
        let known = match &self.nodes[node_index].kind {
            NodeKind::Site(site) => site.catalogue.known_summaries(),
            NodeKind::Front(front) => front.catalogue.known_summaries(),
        };
        self.request(
            node_index,
            to,
            Request::Summaries(known),
            PendingRequest::Summaries { requested_ns, to, round },
        );
    }

    fn poll(&mut self, node_index: usize) {
        let incarnation = self.nodes[node_index].incarnation;
        self.schedule(
            self.now + self.true_span(node_index, self.shape.poll_interval_ns),
            Event::Poll { node_index, incarnation },
        );
        let child_sites = (1..self.sites())
            .filter(|site| node_index < self.sites() && self.shape.parents[*site] == node_index);
        let neighbours: Vec<usize> = self.parent(node_index).into_iter().chain(child_sites).collect();
        neighbours.into_iter().for_each(|neighbour| self.request_summaries(node_index, neighbour, 0));
    }

    /// Sends new orders to children and a changed acknowledgement to the parent. At the root, records what is
    /// complete.
    fn send_updates(&mut self, node_index: usize) {
        let now = self.local_ns(node_index);
        let parent = self.parent(node_index);
        let (mut sends, mut report) = (Vec::new(), None);
        if let NodeKind::Site(site) = &mut self.nodes[node_index].kind {
            let log = site.aggregator.position().log;
            for (child, incarnation) in &site.children {
                let name = if *child < self.shape.parents.len() {
                    format!("s{child}")
                } else {
                    format!("e{}", child - self.shape.parents.len())
                };
                let id = ChildId { name, incarnation: *incarnation };
                let commands =
                    site.aggregator.missing_commands(&id).map_or(Vec::new(), |missing| missing.commands);
                if !commands.is_empty() && !site.sending_to.contains(child) {
                    sends.push((*child, log, commands));
                }
            }
            let sum = site.aggregator.aggregate(now);
            if site.reported != Some(sum.acknowledged) {
                site.reported = Some(sum.acknowledged);
                report = Some(sum);
            }
            site.sending_to.extend(sends.iter().map(|(child, ..)| *child));
        }
        for (child, log, commands) in sends {
            self.request(
                node_index,
                child,
                Request::Commands { log, commands },
                PendingRequest::Orders { child },
            );
        }
        let Some(sum) = report else { return };
        match parent {
            Some(parent) => {
                let AggregatedAck { acknowledged, missing, missing_count } = sum;
                self.request(
                    node_index,
                    parent,
                    Request::ReportAcknowledged { acknowledged, missing, missing_count },
                    PendingRequest::Nothing,
                );
            }
            None => self.record_completion(sum.acknowledged),
        }
    }

    /// Submits a purge for the changes of a site that need one.
    fn order_changes(&mut self, node_index: usize) {
        if node_index >= self.sites() || !self.nodes[node_index].up {
            return;
        }
        let NodeKind::Site(site) = &mut self.nodes[node_index].kind else { return };
        if site.ordering {
            return;
        }
        let Some(UnpurgedChanges { last_change, numbers }) = site.state.unpurged_changes(512) else {
            return;
        };
        let action = CommandAction::Purge(numbers.into_iter().map(PurgeScope::Number).collect());
        if node_index == 0 {
            // No front has its home at the root here.
            return;
        }
        site.ordering = true;
        let parent = self.shape.parents[node_index];
        self.request(node_index, parent, Request::Submit(action), PendingRequest::Ordered { last_change });
    }

    /// Writes a front's changes to its site.
    fn write(&mut self, node_index: usize) {
        let Some(home) =
            self.parent(node_index).filter(|_| node_index >= self.sites() && self.nodes[node_index].up)
        else {
            return;
        };
        let NodeKind::Front(front) = &mut self.nodes[node_index].kind else { return };
        if front.writing || front.unwritten.is_empty() {
            return;
        }
        front.writing = true;
        let (first, changes) = (front.written_count + 1, front.unwritten.clone());
        let pending = PendingRequest::Written { first, count: changes.len() };
        self.request(node_index, home, Request::Write { first, changes }, pending);
    }

    fn handle_write_response(&mut self, node_index: usize, first: u64, count: usize, accepted: bool) {
        let NodeKind::Front(front) = &mut self.nodes[node_index].kind else { return };
        front.writing = false;
        if !accepted {
            return;
        }
        debug_assert_eq!(first, front.written_count + 1);
        front.written_count += count as u64;
        let written: Vec<RecordChange> = front.unwritten.drain(..count).collect();
        for change in written {
            if let RecordChange::Upsert(row) = change {
                if let Some(history) = self.row_histories.get_mut(&row.key) {
                    history.acked_ns.get_or_insert(self.now);
                }
            }
        }
        self.write(node_index);
        self.order_changes(self.parent(node_index).unwrap_or(0));
    }

    // ---- Handsets and locates ----

    fn number(n: u32) -> Option<Number> {
        Number::new(&format!("1555{n:04}")).ok()
    }

    fn move_handset(&mut self) {
        self.schedule(self.now + self.shape.move_interval_ns, Event::MoveHandset);
        let n = self.rng.random_range(0..self.shape.numbers);
        if let Some(at) = self.handsets.remove(&n) {
            if let NodeKind::Front(front) = &mut self.nodes[at].kind {
                if let Some(row) = front.rows.remove(&n) {
                    if let Some(history) = self.row_histories.get_mut(&row.key) {
                        history.withdrawn_ns.get_or_insert(self.now);
                    }
                    front.unwritten.push(RecordChange::Withdraw(row.key));
                }
            }
            self.write_unless_frozen(at);
        }
        let (sites, fronts) = (self.sites(), self.shape.homes.len());
        let at = sites + self.rng.random_range(0..fronts);
        if !self.nodes[at].up || self.nodes[at].frozen > 0 || !self.rng.random_bool(0.8) {
            return;
        }
        let (Some(number), incarnation, since_ms) =
            (Self::number(n), self.nodes[at].incarnation, self.now / MS)
        else {
            return;
        };
        let name = self.nodes[at].name.clone();
        let NodeKind::Front(front) = &mut self.nodes[at].kind else { return };
        front.serial += 1;
        let holder = RowHolder { name: name.clone(), front: name, incarnation, serial: front.serial };
        let key = Key { number, kind: Kind::Binding, owner: holder };
        let row =
            LocationRecord { key: key.clone(), class: String::new(), trunk_group: "p".into(), since_ms };
        front.rows.insert(n, row.clone());
        front.unwritten.push(RecordChange::Upsert(row));
        self.handsets.insert(n, at);
        self.row_histories
            .insert(key, RowHistory { site: self.shape.homes[at - sites], ..RowHistory::default() });
        self.write_unless_frozen(at);
    }

    fn write_unless_frozen(&mut self, at: usize) {
        if self.nodes[at].frozen == 0 {
            self.write(at);
        }
    }

    fn begin_locate(&mut self) {
        self.schedule(self.now + self.shape.locate_interval_ns, Event::BeginLocate);
        let sites = self.sites();
        let at = sites + self.rng.random_range(0..self.shape.homes.len());
        let n = self.rng.random_range(0..self.shape.numbers);
        let Some(number) = Self::number(n).filter(|_| self.nodes[at].up && self.nodes[at].frozen == 0) else {
            return;
        };
        let now = self.local_ns(at);
        let node = &self.nodes[at];
        let NodeKind::Front(front) = &node.kind else { return };
        let position = node.holder.position().unwrap_or_default();
        let usable = node.holder.valid_until(now).is_ok() || !self.shape.safeguards.cache_leases;
        let is_confirmed = front.catalogue.confirms_cached(now, number.hash64(), position);
        let (incarnation, began_ns) = (node.incarnation, self.now);
        if let Some(answer) = front.cache.get(&number).filter(|_| usable && is_confirmed) {
            self.result.locates.2 += 1;
            self.check_answer(
                &OngoingLocate { front: at, incarnation, number, began_ns, locate: None },
                &answer,
            );
            return;
        }
        let query = Query::binding_of(number.clone());
        let locate = Locate::begin(now, query, None, 16, &front.catalogue, self.shape.safeguards);
        let sites_to_ask: Vec<usize> =
            locate.pending_sites().filter_map(|site| site[1..].parse().ok()).collect();
        self.next_id += 1;
        let locate_id = self.next_id;
        self.locates.insert(
            locate_id,
            OngoingLocate { front: at, incarnation, number: number.clone(), began_ns, locate: Some(locate) },
        );
        self.result.sites_asked += sites_to_ask.len();
        if sites_to_ask.is_empty() {
            return self.end_locate(locate_id);
        }
        for site in sites_to_ask {
            let query = Query::binding_of(number.clone());
            let find = Request::FindRecords { query, after: None, limit: 16, urgent: true };
            self.request(at, site, find, PendingRequest::Find { locate_id, site });
        }
        self.schedule(self.now + REQUEST_TIMEOUT_NS * 2, Event::EndLocate(locate_id));
    }

    fn add_result(
        &mut self,
        locate_id: u64,
        site: usize,
        result: Result<(lilacpitch_location::Page, String), LocateError>,
    ) {
        let Some(ongoing) = self.locates.get_mut(&locate_id) else { return };
        let Some(locate) = &mut ongoing.locate else { return };
        locate.record_response(&format!("s{site}"), result);
        if locate.pending_sites().next().is_none() {
            self.end_locate(locate_id);
        }
    }

    fn end_locate(&mut self, locate_id: u64) {
        let Some(mut ongoing) = self.locates.remove(&locate_id) else { return };
        let node = &self.nodes[ongoing.front];
        if !node.up || node.incarnation != ongoing.incarnation || node.frozen > 0 {
            return;
        }
        let Some(locate) = ongoing.locate.take() else { return };
        let read_from_ns = locate.read_from_ns();
        let answer = locate.into_answer();
        if let (NodeKind::Front(front), true) = (&node.kind, answer.is_complete) {
            front.cache.fill(read_from_ns, &ongoing.number, &answer);
        }
        self.check_answer(&ongoing, &answer);
    }

    // ---- Checks of the guarantees ----

    fn breach(&mut self, guarantee: u32, what: String) {
        self.result.breaches.push((guarantee, format!("{} ms: {what}", self.now / MS)));
    }

    /// Checks the answer to a locate against guarantees 1 to 4.
    fn check_answer(&mut self, locate: &OngoingLocate, answer: &LocateAnswer) {
        self.result.locates.0 += 1;
        self.result.locates.1 += usize::from(answer.is_complete);
        let mut violations = Vec::new();
        let missing = answer.sites.values().any(|outcome| matches!(outcome, SiteOutcome::Unreachable(_)));
        if answer.sites.len() != self.sites() || answer.is_complete == missing {
            violations.push((
                2,
                format!("{} sites of {}, complete {}", answer.sites.len(), self.sites(), answer.is_complete),
            ));
        }
        let settle = (self.shape.settle_ns as f64 * (1.0 + self.shape.terms.clock_allowance)) as Nanos;
        for (key, history) in self.row_histories.iter().filter(|(key, _)| key.number == locate.number) {
            let shown = answer.records.iter().any(|row| row.key == *key);
            let site = format!("s{}", history.site);
            let not_reached = matches!(answer.sites.get(&site), Some(SiteOutcome::Unreachable(_)) | None);
            let must_be_found = history.acked_ns.is_some_and(|at| at + settle < locate.began_ns);
            if must_be_found && history.withdrawn_ns.is_none_or(|at| at > self.now) {
                self.result.checked.0 += 1;
                if !shown && !not_reached {
                    violations.push((
                        1,
                        format!("{key:?} of {site} not found at {}: {:?}", locate.front, answer.sites),
                    ));
                }
            }
            if history.complete_ns.is_some_and(|at| at < locate.began_ns) {
                self.result.checked.1 += 1;
                if shown {
                    violations
                        .push((3, format!("{key:?} shown at {} after its purge was complete", locate.front)));
                }
            }
            let applied = self.nodes[locate.front].holder.position();
            let has_applied_purge =
                history.order.is_some_and(|order| applied.is_some_and(|applied| applied.includes(order)));
            if has_applied_purge && shown && answer.is_cached {
                violations.push((4, format!("{key:?} cached at {} past its purge", locate.front)));
            }
        }
        violations.into_iter().for_each(|(guarantee, what)| self.breach(guarantee, what));
    }

    /// Records that the root reports all orders up to a position as complete, and checks guarantee 5: no
    /// front may still use what they purge.
    fn record_completion(&mut self, completed: LogPosition) {
        if self.complete.log == completed.log && self.complete.index >= completed.index {
            return;
        }
        for order in self.complete.index + 1..=completed.index {
            if let Some(at) = self.ordered_ns.get(&(completed.log, order)) {
                self.result.complete_ms.push((self.now - at) as f64 / MS as f64);
            }
        }
        self.complete = completed;
        let mut violations = Vec::new();
        for index in self.sites()..self.nodes.len() {
            let node = &self.nodes[index];
            let is_behind = node.holder.position().is_none_or(|position| !position.includes(completed));
            // A frozen front checks its lease when it resumes, by a clock that has continued.
            if node.up && node.holder.valid_until(self.local_ns(index)).is_ok() && is_behind {
                violations.push(format!(
                    "{completed} complete, but {} may use its cache at {:?}",
                    node.name,
                    node.holder.position()
                ));
            }
        }
        violations.into_iter().for_each(|what| self.breach(5, what));
        for history in self.row_histories.values_mut() {
            if history.complete_ns.is_none() && history.order.is_some_and(|order| completed.includes(order)) {
                history.complete_ns = Some(self.now);
            }
        }
    }
}

/// Returns a site state without rows.
fn empty_state() -> SiteState {
    SiteState::new(1).unwrap_or_else(|_| unreachable!("one shard is allowed"))
}

/// Returns a started site process, with the disk of its previous incarnation if there was one.
fn site_node(shape: &Shape, names: &[String], index: usize, disk: Option<SiteState>) -> SiteNode {
    let others = names.iter().enumerate().filter(|(at, _)| *at != index).map(|(_, name)| name.as_str());
    // A restarted process reads its rows from its disk into a new state, whose summary versions start anew.
    let state = SiteState::new(8).unwrap_or_else(|_| empty_state());
    if let Some(disk) = disk {
        let rows: Vec<LocationRecord> =
            disk.records.snapshot().iter().flat_map(|rows| rows.values().cloned()).collect();
        let metadata = disk.with_metadata(Clone::clone);
        if state.restore(rows, metadata).is_err() {
            unreachable!("rows from its own disk are valid");
        }
    }
    SiteNode {
        state,
        aggregator: AckAggregator::new(shape.terms, shape.safeguards),
        catalogue: Catalogue::new(others, shape.settle_ns, shape.terms, shape.safeguards),
        ordering: false,
        reported: None,
        children: BTreeMap::new(),
        sending_to: BTreeSet::new(),
    }
}

/// Returns a started front without state.
fn front_node(shape: &Shape, names: &[String]) -> FrontNode {
    FrontNode {
        cache: Cache::new(10_000, shape.safeguards),
        catalogue: Catalogue::new(
            names.iter().map(String::as_str),
            shape.settle_ns,
            shape.terms,
            shape.safeguards,
        ),
        rows: BTreeMap::new(),
        unwritten: Vec::new(),
        written_count: 0,
        writing: false,
        store_id: None,
        serial: 0,
    }
}
