//! The agent of an edge in the fleet. It runs on threads of its own and exchanges messages with the edge's
//! driver over bounded channels.
//!
//! The agent looks up numbers at the sites, caches the answers, applies purge commands, renews the lease,
//! publishes the edge's location records and reports the version of the settings that the edge acts on.
//!
//! **Lock order.** The lease holder is locked before a shard of the cache, and that before the cache's list
//! of recent purges. A shard of the pending lookups is locked before the catalogue. The audit recorder and
//! the publish queue are never locked together with another. No lock is held across an await.

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

/// Capacity of each of the two channels between the driver and the agent, in messages.
const CHANNEL_CAPACITY: usize = 4_096;
/// Time limit for connecting to a process of a site, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A message from the driver to the agent.
#[derive(Debug)]
pub(crate) enum ToAgent {
    /// Look up the number of a call, within a time limit.
    Locate { call: u64, number: String, timeout: Duration },
    /// Location records were added or removed, in this order.
    RecordsChanged(Vec<RecordEvent>),
    /// Earlier changes of records could not be sent: drop what is pending, and request all records again.
    RecordsLost,
    /// The digest of the endpoint list that the edge uses now.
    EndpointList(u64),
    /// A request for a page for operators, by its target. The reply is `None` for a target that does not
    /// exist.
    Page(String, oneshot::Sender<Option<String>>),
}

/// A message from the agent to the driver.
#[derive(Debug)]
pub(crate) enum FromAgent {
    /// The pool through which a call's number is reached, and the time of the steady clock until which this
    /// is valid.
    Located { call: u64, pool: Option<String>, valid_until_ns: u64 },
    /// Whether the settings version of the edge is in force.
    SettingsInForce(bool),
    /// Request to publish all location records again.
    RecordsRequested,
}

/// Counters of the agent since its start, shown on the page `/fleet`.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Lookups for calls.
    lookups: AtomicU64,
    /// Lookups answered from the cache.
    cache_hits: AtomicU64,
    /// Queries to sites.
    site_queries: AtomicU64,
    /// Lookups and searches in which not all sites answered.
    incomplete_answers: AtomicU64,
    /// Lookups that joined one in flight for the same number.
    joined_lookups: AtomicU64,
    /// Complete answers that the cache did not accept.
    rejected_cache_fills: AtomicU64,
    /// Purge and settings commands applied.
    applied_commands: AtomicU64,
    /// Times that the lease was reset and the cache dropped.
    lease_resets: AtomicU64,
    /// Batches of record changes that the home site acknowledged.
    acknowledged_writes: AtomicU64,
    /// Summaries of sites that were rejected.
    rejected_summaries: AtomicU64,
}

impl Counters {
    fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// The state that the agent's tasks share.
pub(crate) struct Agent {
    settings: FleetOf,
    identity: LocalIdentity,
    safeguards: Safeguards,
    settings_digest: u64,
    endpoint_list_digest: AtomicU64,
    /// Connections to the processes of the home site.
    home_dialers: Vec<Arc<Dialer>>,
    /// All sites in the order of the settings, with the connections to their processes.
    sites: Vec<(String, Vec<Arc<Dialer>>)>,
    /// Selects the process of the home site that requests are sent to.
    home_selection: Mutex<UpstreamSelection>,
    /// What was last reported to the driver: whether the settings are in force. The driver starts with
    /// `true`.
    reported_in_force: Mutex<bool>,
    lease_terms: LeaseTerms,
    lease_holder: Mutex<LeaseHolder>,
    cache: Cache,
    catalogue: RwLock<Catalogue>,
    audit_recorder: Mutex<AuditRecorder>,
    publish_queue: Mutex<record_publisher::PublishQueue>,
    /// Wakes the task that publishes records; the value counts the notifications.
    records_changed: watch::Sender<u64>,
    pending_lookups: locate::PendingLookups,
    queries: locate_dispatcher::QuerySender,
    /// Limits the number of lookups and searches in flight.
    query_slots: Semaphore,
    to_driver: mpsc::Sender<FromAgent>,
    counters: Counters,
}

/// Answers requests of sites. The connections need the handler before the agent exists, so it is set later.
#[derive(Default)]
struct AgentRequestHandler(OnceLock<Weak<Agent>>);

impl RequestHandler for AgentRequestHandler {
    fn handle(
        self: Arc<Self>,
        connection: Arc<lilacpitch_rpc::RpcConnection>,
        request: lilacpitch_fleet::message::Request,
    ) -> lilacpitch_rpc::ResponseFuture {
        match self.0.get().and_then(Weak::upgrade) {
            Some(agent) => Box::pin(async move { agent.answer(&connection, request) }),
            None => Box::pin(std::future::pending()),
        }
    }
}

/// The driver's handle of the agent.
pub(crate) struct Handle {
    sender: mpsc::Sender<ToAgent>,
    /// Changes of records were lost because the channel was full: all records are sent again once it has
    /// room.
    has_lost_records: bool,
    batcher: WriteBatcher<RecordEvent>,
}

impl Handle {
    /// Sends a message, or drops it if the channel is full. Returns whether it was sent.
    pub(crate) fn send(&self, message: ToAgent) -> bool {
        self.sender.try_send(message).is_ok()
    }

    /// Queues a change of a record. A change of where a number is reached is sent with the next
    /// [`Handle::send_due_records`], together with all that are queued; a change of a call may wait for
    /// others. If the agent does not keep up, all records are requested again later.
    pub(crate) fn publish_record(&mut self, now: Nanos, record: RecordEvent) {
        let is_urgent = record.kind == Kind::Binding;
        let full_batch = self.batcher.push(now, record, is_urgent);
        self.send_batch(full_batch);
    }

    /// When the queued changes of records are due to be sent.
    pub(crate) fn due_ns(&self) -> Option<Nanos> {
        self.batcher.due_ns()
    }

    /// Sends the queued changes of records if they are due.
    pub(crate) fn send_due_records(&mut self, now: Nanos) {
        let due_batch = self.batcher.take_due(now);
        self.send_batch(due_batch);
    }

    fn send_batch(&mut self, batch: Option<Vec<RecordEvent>>) {
        self.has_lost_records |= batch.is_some_and(|records| !self.send(ToAgent::RecordsChanged(records)));
    }

    /// Returns whether all records must be published again now: changes were lost, the channel has room
    /// again, and the agent was sent [`ToAgent::RecordsLost`].
    pub(crate) fn take_republish_due(&mut self) -> bool {
        let is_due = self.has_lost_records
            && self.sender.capacity() > CHANNEL_CAPACITY / 2
            && self.send(ToAgent::RecordsLost);
        self.has_lost_records &= !is_due;
        is_due
    }

    /// A sender for page requests.
    pub(crate) fn pages(&self) -> mpsc::Sender<ToAgent> {
        self.sender.clone()
    }
}

/// The digest of the settings that an edge's decisions depend on, by which their version is identified in the
/// audit and in withdrawals. It is equal for all edges with the same version.
///
/// The debug text of the settings is hashed: a renamed type, field or variant changes the digest, so that a
/// withdrawn version would be accepted again.
pub fn settings_digest(edge: &Edge) -> u64 {
    let text =
        format!("{:?} {:?} {:?} {:?} {:?}", edge.classes, edge.rules, edge.timing, edge.limits, edge.pools);
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// The digest of an endpoint list, by which its version is identified in the audit. Its debug text is hashed,
/// too.
pub fn list_digest(pools: &Pools) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.write(format!("{:?}", pools.servers).as_bytes());
    hash.finish()
}

/// The wall clock, in milliseconds since 1970.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Why the agent cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The key file cannot be read.
    #[error("{0}: {1}")]
    KeyFile(String, std::io::Error),
    /// The content of the key file is invalid.
    #[error("{0}: {1}")]
    Keys(String, KeyError),
    /// The worker threads of the agent cannot be created.
    #[error("no threads for the fleet: {0}")]
    Workers(std::io::Error),
    /// The main thread of the agent cannot be created.
    #[error("no thread for the fleet: {0}")]
    Thread(std::io::Error),
}

/// Starts the agent on threads of its own, which end with the process. Returns its handle and the receiver of
/// its messages.
///
/// # Errors
/// The key file cannot be read or is invalid, or a thread cannot be created.
pub(crate) fn start(
    edge: &Edge,
    settings: &FleetOf,
    safeguards: Safeguards,
    seed: u64,
) -> Result<(Handle, mpsc::Receiver<FromAgent>), StartError> {
    let identity = local_identity(edge, settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("fleet")
        .enable_all()
        .build()
        .map_err(StartError::Workers)?;
    let (to_driver, from_agent) = mpsc::channel(CHANNEL_CAPACITY);
    let (to_agent, from_driver) = mpsc::channel(CHANNEL_CAPACITY);
    let (agent, dispatcher) = build_agent(edge, settings, safeguards, seed, identity, to_driver);
    std::thread::Builder::new()
        .name("fleet".into())
        .spawn(move || runtime.block_on(run_tasks(agent, dispatcher, from_driver)))
        .map_err(StartError::Thread)?;
    Ok((Handle { sender: to_agent, has_lost_records: false, batcher: WriteBatcher::default() }, from_agent))
}

/// This edge's name, incarnation and keys for connections to sites.
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
    safeguards: Safeguards,
    seed: u64,
    identity: LocalIdentity,
    to_driver: mpsc::Sender<FromAgent>,
) -> (Arc<Agent>, locate_dispatcher::LocateDispatcher) {
    let handler = Arc::new(AgentRequestHandler::default());
    let dial = |address: &std::net::SocketAddr, role: Role| {
        Arc::new(Dialer::new(
            *address,
            role,
            identity.clone(),
            handler.clone() as Arc<dyn RequestHandler>,
            CONNECT_TIMEOUT,
        ))
    };
    let dial_site = |site: &lilacpitch_config::SiteAt| {
        let processes = site.processes.iter().zip(0..);
        let dialers =
            processes.map(|(address, index)| dial(address, Role::Process(site.name.clone(), index)));
        (site.name.clone(), dialers.collect::<Vec<_>>())
    };
    let sites: Vec<(String, Vec<Arc<Dialer>>)> = settings.sites.iter().map(dial_site).collect();
    let home_site = sites.iter().find(|(name, _)| *name == settings.home);
    let home_dialers = home_site.map_or(Vec::new(), |(_, dialers)| dialers.clone());
    let settings_digest = settings_digest(edge);
    let site_names = settings.sites.iter().map(|site| site.name.as_str());
    let process_counts: Vec<usize> = sites.iter().map(|(_, dialers)| dialers.len()).collect();
    let timing = Timing { latency_objective_ns: settings.terms.ask_ns, tick_ns: edge.timing.tick_ns };
    let lease_terms = LeaseTerms {
        lease_ns: settings.terms.lease_ns,
        clock_allowance: settings.terms.clock_allowance,
        lagging_after_ns: settings.terms.straggler_ns,
    };
    let (queries, dispatcher) = locate_dispatcher::QuerySender::new(&process_counts, timing, seed);
    let agent = Arc::new(Agent {
        safeguards,
        settings_digest,
        endpoint_list_digest: AtomicU64::new(0),
        home_dialers,
        sites,
        home_selection: Mutex::new(UpstreamSelection::new(seed as usize)),
        reported_in_force: Mutex::new(true),
        lease_terms,
        lease_holder: Mutex::new(LeaseHolder::new(settings_digest)),
        cache: Cache::new(settings.cache, safeguards),
        catalogue: RwLock::new(Catalogue::new(site_names, settings.terms.settle_ns, lease_terms, safeguards)),
        audit_recorder: Mutex::new(AuditRecorder::new(&edge.name, identity.incarnation)),
        publish_queue: Mutex::new(record_publisher::PublishQueue::default()),
        records_changed: watch::Sender::new(0),
        pending_lookups: locate::PendingLookups::default(),
        queries,
        query_slots: Semaphore::new(settings.questions),
        to_driver,
        counters: Counters::default(),
        identity,
        settings: settings.clone(),
    });
    let _ = handler.0.set(Arc::downgrade(&agent));
    (agent, dispatcher)
}

/// Runs the tasks of the agent until the driver has ended.
async fn run_tasks(
    agent: Arc<Agent>,
    dispatcher: locate_dispatcher::LocateDispatcher,
    from_driver: mpsc::Receiver<ToAgent>,
) {
    tokio::spawn(lease_client::renew_lease(agent.clone()));
    tokio::spawn(lease_client::poll_summaries(agent.clone()));
    tokio::spawn(record_publisher::publish(agent.clone()));
    tokio::spawn(locate_dispatcher::run(agent.clone(), dispatcher));
    handle_messages(agent, from_driver).await;
}

/// Handles the driver's messages until the driver has ended, then releases the lease.
async fn handle_messages(agent: Arc<Agent>, mut from_driver: mpsc::Receiver<ToAgent>) {
    while let Some(message) = from_driver.recv().await {
        match message {
            ToAgent::Locate { call, number, timeout } => {
                if agent.locate_from_cache(call, &number) {
                    continue;
                }
                let agent = agent.clone();
                tokio::spawn(async move { agent.locate_for_call(call, &number, timeout).await });
            }
            ToAgent::RecordsChanged(records) => agent.queue_changes(records),
            ToAgent::RecordsLost => agent.republish_records(),
            ToAgent::EndpointList(digest) => {
                agent.endpoint_list_digest.store(digest, Ordering::Relaxed);
                agent.record_version();
            }
            ToAgent::Page(target, reply) => {
                let agent = agent.clone();
                tokio::spawn(async move { drop(reply.send(agent.page(&target).await)) });
            }
        }
    }
    agent.release_lease().await;
}

impl Agent {
    /// Records the version and the purge position that the edge acts on now in the audit log, if they have
    /// changed.
    fn record_version(&self) {
        let (position, uses_cache, is_in_force) = {
            let holder = self.lease_holder.lock();
            let uses_cache = holder.valid_until(steady_ns()).is_ok();
            (holder.position().unwrap_or_default(), uses_cache, !holder.is_withdrawn())
        };
        let version = Version {
            settings: self.settings_digest,
            endpoint_list: self.endpoint_list_digest.load(Ordering::Relaxed),
            build: env!("CARGO_PKG_VERSION").into(),
            uses_cache,
            accepts_calls: is_in_force,
        };
        if self.safeguards.audit_records || self.audit_recorder.lock().latest().is_none() {
            self.audit_recorder.lock().record_version(wall_ms(), version, position);
        }
    }
}
