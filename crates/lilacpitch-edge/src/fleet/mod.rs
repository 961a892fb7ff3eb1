//! The agent of a front in the fleet: on threads of its own, beside the front's one loop, with bounded channels
//! between. It holds the cache, asks sites, takes purges, keeps the lease, writes the front's rows and says which
//! version the front acts on.
//!
//! **Locks.** The holder, then a shard of the cache, then its list of recent purges; the catalogue, the recorder, the
//! rows and the flights each alone. None is held across an await.

mod admin_pages;
mod lease_client;
mod locate;
mod locate_dispatcher;
mod record_publisher;

use crate::core::RecordEvent;
use lilacpitch_config::{Edge, FleetOf, Pools};
use lilacpitch_fleet::audit::{AuditRecorder, Version};
use lilacpitch_fleet::cache::Cache;
use lilacpitch_fleet::catalogue::Catalogue;
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::LeaseHolder;
use lilacpitch_fleet::message::Role;
use lilacpitch_fleet::query_dispatcher::Timing;
use lilacpitch_fleet::upstream_selection::UpstreamSelection;
use lilacpitch_fleet::write_batcher::WriteBatcher;
use lilacpitch_fleet::{Nanos, Safeguards};
use lilacpitch_gossip::{KeyError, Keys};
use lilacpitch_location::Kind;
use lilacpitch_rpc::{steady_ns, Dialer, LocalIdentity, RequestHandler};
use parking_lot::{Mutex, RwLock};
use std::hash::Hasher;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};

/// Messages of the front that may wait for the agent.
const QUEUE: usize = 4_096;
/// How long a connection may take to be made and greeted.
const CONNECT: Duration = Duration::from_millis(500);

/// What the front's loop says to the agent.
#[derive(Debug)]
pub(crate) enum ToAgent {
    /// Where is this number?
    Locate { call: u64, number: String, patience: Duration },
    /// Rows came or went, in this order.
    RecordsChanged(Vec<RecordEvent>),
    /// Rows were lost on the way: all that there are follow.
    RecordsLost,
    /// The pool list that the front follows now.
    EndpointList(u64),
    /// A page for people, by its target.
    Page(String, oneshot::Sender<Option<String>>),
}

/// What the agent says to the front's loop.
#[derive(Debug)]
pub(crate) enum FromAgent {
    /// The pool through which a call's number is reached, good until a moment of the steady clock.
    Located { call: u64, pool: Option<String>, good_until_ns: u64 },
    /// Whether the settings version is in force.
    SettingsInForce(bool),
    /// The rows are wanted, all of them.
    RecordsRequested,
}

/// What is counted.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    located: AtomicU64,
    from_cache: AtomicU64,
    asked: AtomicU64,
    incomplete: AtomicU64,
    joined: AtomicU64,
    not_filled: AtomicU64,
    orders: AtomicU64,
    fresh_starts: AtomicU64,
    written: AtomicU64,
    summaries_refused: AtomicU64,
}

impl Counters {
    fn one(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

pub(crate) struct Agent {
    of: FleetOf,
    me: LocalIdentity,
    guards: Safeguards,
    settings: u64,
    list: AtomicU64,
    home: Vec<Arc<Dialer>>,
    /// All sites, in the settings' order, and the ways to their processes.
    sites: Vec<(String, Vec<Arc<Dialer>>)>,
    /// Which process of the home site is followed now.
    home_selection: Mutex<UpstreamSelection>,
    /// What the front's loop was told last of its settings; it begins with them in force.
    reported_in_force: Mutex<bool>,
    terms: LeaseTerms,
    holder: Mutex<LeaseHolder>,
    cache: Cache,
    catalogue: RwLock<Catalogue>,
    recorder: Mutex<AuditRecorder>,
    record_publisher: Mutex<record_publisher::PublishQueue>,
    records_changed: watch::Sender<u64>,
    pending_lookups: locate::PendingLookups,
    queries: locate_dispatcher::QuerySender,
    query_slots: Semaphore,
    front: mpsc::Sender<FromAgent>,
    counters: Counters,
}

/// Answers requests on connections that are made before the agent is complete.
#[derive(Default)]
struct AgentRequestHandler(OnceLock<Weak<Agent>>);

impl RequestHandler for AgentRequestHandler {
    fn handle(
        self: Arc<Self>,
        from: Arc<lilacpitch_rpc::RpcConnection>,
        request: lilacpitch_fleet::message::Request,
    ) -> lilacpitch_rpc::ResponseFuture {
        match self.0.get().and_then(Weak::upgrade) {
            Some(agent) => Box::pin(async move { agent.answer(&from, request) }),
            None => Box::pin(std::future::pending()),
        }
    }
}

/// The front's end of the channels to its agent.
pub(crate) struct Handle {
    sender: mpsc::Sender<ToAgent>,
    /// Rows were lost for want of room: they are all said again once there is some.
    has_lost_records: bool,
    held: WriteBatcher<RecordEvent>,
}

impl Handle {
    /// Says something that may be lost; whether it was taken.
    pub(crate) fn send(&self, what: ToAgent) -> bool {
        self.sender.try_send(what).is_ok()
    }

    /// Says a row: with the next [`Handle::say_due`], or soon where it is of a call. If the agent does not keep up, all
    /// rows are wanted again later.
    pub(crate) fn publish_record(&mut self, now: Nanos, record: RecordEvent) {
        let may_wait = record.kind == Kind::Binding;
        let full = self.held.push(now, record, may_wait);
        self.changed(full);
    }

    /// When rows are due to be said.
    pub(crate) fn due_ns(&self) -> Option<Nanos> {
        self.held.due_ns()
    }

    /// Says the rows that are due.
    pub(crate) fn send_due_records(&mut self, now: Nanos) {
        let due = self.held.take_due(now);
        self.changed(due);
    }

    fn changed(&mut self, rows: Option<Vec<RecordEvent>>) {
        self.has_lost_records |= rows.is_some_and(|rows| !self.send(ToAgent::RecordsChanged(rows)));
    }

    /// Whether rows were lost and there is room again: then all are to be said.
    pub(crate) fn take_republish_due(&mut self) -> bool {
        let due =
            self.has_lost_records && self.sender.capacity() > QUEUE / 2 && self.send(ToAgent::RecordsLost);
        self.has_lost_records &= !due;
        due
    }

    /// For pages.
    pub(crate) fn pages(&self) -> mpsc::Sender<ToAgent> {
        self.sender.clone()
    }
}

/// The digest of what a front's decisions rest on in its settings: the same for all fronts of one version.
pub fn settings_digest(edge: &Edge) -> u64 {
    let text =
        format!("{:?} {:?} {:?} {:?} {:?}", edge.classes, edge.rules, edge.timing, edge.limits, edge.pools);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// The digest of a pool list.
pub fn list_digest(pools: &Pools) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.write(format!("{:?}", pools.servers).as_bytes());
    hash.finish()
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Why the agent cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The key file cannot be read.
    #[error("{0}: {1}")]
    KeyFile(String, std::io::Error),
    /// The key file's text is wrong.
    #[error("{0}: {1}")]
    Keys(String, KeyError),
    /// The machine refuses worker threads.
    #[error("no threads for the fleet: {0}")]
    Workers(std::io::Error),
    /// The machine refuses the agent's thread.
    #[error("no thread for the fleet: {0}")]
    Thread(std::io::Error),
}

/// Starts the agent on threads of its own; it ends with the process. Its messages come out of the receiver.
pub(crate) fn start(
    edge: &Edge,
    settings: &FleetOf,
    guards: Safeguards,
    seed: u64,
) -> Result<(Handle, mpsc::Receiver<FromAgent>), StartError> {
    let identity = local_identity(edge, settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("fleet")
        .enable_all()
        .build()
        .map_err(StartError::Workers)?;
    let (front, from_agent) = mpsc::channel(QUEUE);
    let (to_agent, from_front) = mpsc::channel(QUEUE);
    let (agent, dispatcher) = build_agent(edge, settings, guards, seed, identity, front);
    std::thread::Builder::new()
        .name("fleet".into())
        .spawn(move || runtime.block_on(run_tasks(agent, dispatcher, from_front)))
        .map_err(StartError::Thread)?;
    Ok((Handle { sender: to_agent, has_lost_records: false, held: WriteBatcher::default() }, from_agent))
}

fn local_identity(edge: &Edge, settings: &FleetOf) -> Result<LocalIdentity, StartError> {
    let path = &settings.key_file;
    let text = std::fs::read_to_string(path).map_err(|error| StartError::KeyFile(path.clone(), error))?;
    let keys = Keys::from_text(&text).map_err(|error| StartError::Keys(path.clone(), error))?;
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64);
    Ok(LocalIdentity { name: edge.name.clone(), incarnation, role: Role::Front, keys })
}

fn build_agent(
    edge: &Edge,
    settings: &FleetOf,
    guards: Safeguards,
    seed: u64,
    me: LocalIdentity,
    front: mpsc::Sender<FromAgent>,
) -> (Arc<Agent>, locate_dispatcher::LocateDispatcher) {
    let handler = Arc::new(AgentRequestHandler::default());
    let dial = |address: &std::net::SocketAddr| {
        Arc::new(Dialer::new(*address, me.clone(), handler.clone() as Arc<dyn RequestHandler>, CONNECT))
    };
    let dial_site = |site: &lilacpitch_config::SiteAt| {
        (site.name.clone(), site.processes.iter().map(dial).collect::<Vec<_>>())
    };
    let sites: Vec<(String, Vec<Arc<Dialer>>)> = settings.sites.iter().map(dial_site).collect();
    let home = sites.iter().find(|(name, _)| *name == settings.home);
    let home = home.map_or(Vec::new(), |(_, dialers)| dialers.clone());
    let digest = settings_digest(edge);
    let names = settings.sites.iter().map(|site| site.name.as_str());
    let processes: Vec<usize> = sites.iter().map(|(_, dialers)| dialers.len()).collect();
    let timing = Timing { latency_objective_ns: settings.terms.ask_ns, tick_ns: edge.timing.tick_ns };
    let terms = LeaseTerms {
        lease_ns: settings.terms.lease_ns,
        clock_allowance: settings.terms.clock_allowance,
        lagging_after_ns: settings.terms.straggler_ns,
    };
    let (queries, dispatcher) = locate_dispatcher::QuerySender::new(&processes, timing, seed);
    let agent = Arc::new(Agent {
        guards,
        settings: digest,
        list: AtomicU64::new(0),
        home,
        sites,
        home_selection: Mutex::new(UpstreamSelection::new(seed as usize)),
        reported_in_force: Mutex::new(true),
        terms,
        holder: Mutex::new(LeaseHolder::new(digest)),
        cache: Cache::new(settings.cache, guards),
        catalogue: RwLock::new(Catalogue::new(names, settings.terms.settle_ns, terms, guards)),
        recorder: Mutex::new(AuditRecorder::new(&edge.name, me.incarnation)),
        record_publisher: Mutex::new(record_publisher::PublishQueue::default()),
        records_changed: watch::Sender::new(0),
        pending_lookups: locate::PendingLookups::default(),
        queries,
        query_slots: Semaphore::new(settings.questions),
        front,
        counters: Counters::default(),
        me,
        of: settings.clone(),
    });
    let _ = handler.0.set(Arc::downgrade(&agent));
    (agent, dispatcher)
}

/// The agent's tasks; ends once the front has.
async fn run_tasks(
    agent: Arc<Agent>,
    dispatcher: locate_dispatcher::LocateDispatcher,
    from_front: mpsc::Receiver<ToAgent>,
) {
    tokio::spawn(lease_client::follow(agent.clone()));
    tokio::spawn(lease_client::poll(agent.clone()));
    tokio::spawn(record_publisher::write(agent.clone()));
    tokio::spawn(locate_dispatcher::run(agent.clone(), dispatcher));
    listen(agent, from_front).await;
}

/// Takes what the front says, until it is gone.
async fn listen(agent: Arc<Agent>, mut from_front: mpsc::Receiver<ToAgent>) {
    while let Some(said) = from_front.recv().await {
        match said {
            ToAgent::Locate { call, number, patience } => {
                if agent.locate_at_once(call, &number) {
                    continue;
                }
                let agent = agent.clone();
                tokio::spawn(async move { agent.locate_for_call(call, &number, patience).await });
            }
            ToAgent::RecordsChanged(rows) => agent.changed(rows),
            ToAgent::RecordsLost => agent.republish_records(),
            ToAgent::EndpointList(digest) => {
                agent.list.store(digest, Ordering::Relaxed);
                agent.note_version();
            }
            ToAgent::Page(target, give) => {
                let agent = agent.clone();
                tokio::spawn(async move { drop(give.send(agent.page(&target).await)) });
            }
        }
    }
    agent.release_lease().await;
}

impl Agent {
    /// Notes what the front acts on now, if that has changed.
    fn note_version(&self) {
        let (position, usable, in_force) = {
            let holder = self.holder.lock();
            let usable = holder.valid_until(steady_ns()).is_ok();
            (holder.position().unwrap_or_default(), usable, !holder.is_withdrawn())
        };
        let version = Version {
            settings: self.settings,
            endpoint_list: self.list.load(Ordering::Relaxed),
            build: env!("CARGO_PKG_VERSION").into(),
            uses_cache: usable,
            accepts_calls: in_force,
        };
        if self.guards.audit_records || self.recorder.lock().latest().is_none() {
            self.recorder.lock().record_version(wall_ms(), version, position);
        }
    }
}
