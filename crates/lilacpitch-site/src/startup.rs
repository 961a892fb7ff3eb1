//! Starts a process: reads its keys, opens its disk, binds its addresses, builds its state, starts its tasks,
//! and waits until it is stopped or fails. It does not listen before it has checked that the disk is its own
//! and readable.

use crate::clock::wall_clock_ns;
use crate::log::machine::StateMachine;
use crate::log::state::SiteState;
use crate::log::store::{LogStore, StoreError};
use crate::process::{Counters, Process};
use crate::read_barrier::ReadBarrier;
use crate::record_store::{creation, purges, reads, removal, writes};
use crate::task_limit::TaskLimit;
use crate::write_queue::{QueuedWrite, WriteQueue};
use crate::{ack_reporter, admin_pages, command_log, lease_client, log_membership, summaries};
use lilacpitch_config::Site;
use lilacpitch_fleet::ack_aggregator::AckAggregator;
use lilacpitch_fleet::catalogue::Catalogue;
use lilacpitch_fleet::concurrency_limit::ConcurrencyLimit;
use lilacpitch_fleet::disk_loss_recovery::DiskLossRecovery;
use lilacpitch_fleet::error::LogError;
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::LeaseHolder;
use lilacpitch_fleet::message::{Request, Role};
use lilacpitch_fleet::upstream_selection::UpstreamSelection;
use lilacpitch_fleet::Safeguards;
use lilacpitch_gossip::{KeyError, Keys};
use lilacpitch_rpc::{accept, Dialer, LocalIdentity, RequestHandler, ResponseFuture, RpcConnection};
use miette::Diagnostic;
use parking_lot::{Mutex, RwLock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

/// The timeout of connecting, and that of the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most connections whose handshake is in progress. A process has far fewer peers, and the handshake of each takes
/// some milliseconds.
const MAX_HANDSHAKES: usize = 256;
/// The delay before the next accept after one failed. Most likely the file descriptors are exhausted;
/// established connections continue.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why a process could not start, or failed.
#[derive(Debug, Error, Diagnostic)]
pub enum RunError {
    /// Listening on an address failed.
    #[error("listening on {0}: {1}")]
    #[diagnostic(
        code(site::listen),
        help("check which program listens on that address, or set another address")
    )]
    Listen(SocketAddr, std::io::Error),
    /// The key file could not be read.
    #[error("{0}: {1}")]
    #[diagnostic(code(site::keys), help("write one or two keys, each 64 hex digits on a line of its own"))]
    KeyFile(String, std::io::Error),
    /// The key file does not contain valid keys.
    #[error("{0}: {1}")]
    #[diagnostic(code(site::keys), help("write one or two keys, each 64 hex digits on a line of its own"))]
    Keys(String, KeyError),
    /// The location store could not be created.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Location(#[from] lilacpitch_location::LocationError),
    /// The log or its disk failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Log(#[from] LogError),
    /// Registering the signal handlers failed.
    #[error("signal handlers: {0}")]
    #[diagnostic(code(site::machine), help("check the resource limits of this process"))]
    Signals(std::io::Error),
}

/// The addresses on which a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// The address for connections of other processes.
    pub rpc: SocketAddr,
    /// The address of the operator's pages, if the settings contain one.
    pub pages: Option<SocketAddr>,
}

/// Handles requests on outgoing connections. The dialers are built before the process, which is set later;
/// requests that arrive before that get no response.
#[derive(Default)]
struct LateBoundHandler(OnceLock<Weak<Process>>);

impl RequestHandler for LateBoundHandler {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        match self.0.get().and_then(Weak::upgrade) {
            Some(process) => process.handle(from, request),
            None => Box::pin(std::future::pending()),
        }
    }
}

/// What is read from the disk at the start.
struct DiskState {
    identity: LocalIdentity,
    store: LogStore,
    state: Arc<SiteState>,
    machine: StateMachine,
    /// The index of the last log entry applied.
    applied: watch::Receiver<u64>,
    has_joined: bool,
}

/// The bound sockets of a process.
struct Listeners {
    rpc: TcpListener,
    pages: Option<TcpListener>,
    addresses: ListenAddresses,
}

/// Connections to the processes to which this one sends requests. They are opened when they are first needed.
struct Dialers {
    /// The processes of the same site by index, including this one.
    siblings: Arc<[Arc<Dialer>]>,
    /// The processes of the parent site.
    parents: Vec<Arc<Dialer>>,
    /// Handles the requests that arrive on these connections.
    handler: Arc<LateBoundHandler>,
}

/// The receivers of the queues whose senders are in the [`Process`].
struct Queues {
    reads: mpsc::Receiver<oneshot::Sender<bool>>,
    writes: mpsc::Receiver<QueuedWrite>,
}

/// Runs a process until `stop` completes or its log fails. `ready` is called once the process listens.
///
/// # Errors
/// [`RunError`] if the process can't start or its log has failed.
pub async fn run(
    settings: Site,
    safeguards: Safeguards,
    ready: impl FnOnce(ListenAddresses),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), RunError> {
    let keys = read_keys(&settings.key_file)?;
    let disk = open_disk(&settings, keys)?;
    let dialers = Dialers::new(&settings, &disk.identity);
    let listeners = bind(&settings)?;
    let addresses = listeners.addresses;
    let incarnation = disk.identity.incarnation;
    let handler = dialers.handler.clone();
    let (process, machine, queues) = build_process(settings, safeguards, disk, dialers);
    let _ = handler.0.set(Arc::downgrade(&process));

    let mut tasks = spawn_tasks(&process, queues, listeners);
    ready(addresses);
    tracing::info!(rpc = %addresses.rpc, incarnation, "listening");
    let result = tokio::select! {
        () = stop => Ok(()),
        error = run_log(&process, machine) => Err(error),
    };
    tasks.shutdown().await;
    if let Some(raft) = process.raft() {
        let _ = raft.shutdown().await;
    }
    tracing::info!("stopped");
    result
}

fn read_keys(path: &str) -> Result<Keys, RunError> {
    let text = std::fs::read_to_string(path).map_err(|error| RunError::KeyFile(path.into(), error))?;
    Keys::from_text(&text).map_err(|error| RunError::Keys(path.into(), error))
}

fn open_disk(settings: &Site, keys: Keys) -> Result<DiskState, RunError> {
    let role = Role::Process(settings.site.clone(), settings.place as u32);
    let owner = format!("{}/{}/{}", settings.site, settings.place, settings.name);
    let store = LogStore::open(Path::new(&settings.data), &owner)?;
    let incarnation = store.begin_incarnation(wall_clock_ns())?;
    let identity = LocalIdentity { name: settings.name.clone(), incarnation, role, keys };
    let state = Arc::new(SiteState::new(settings.shards)?);
    let damaged =
        |error: StoreError| LogError::Damaged { path: settings.data.clone(), reason: error.to_string() };
    let has_joined = store.has_joined().map_err(damaged)?;
    let (machine, applied) = StateMachine::open(state.clone(), store.clone()).map_err(damaged)?;
    Ok(DiskState { identity, store, state, machine, applied, has_joined })
}

impl Dialers {
    fn new(settings: &Site, identity: &LocalIdentity) -> Self {
        let handler = Arc::new(LateBoundHandler::default());
        let dial = |address: &SocketAddr, role: Role| {
            let handler: Arc<dyn RequestHandler> = handler.clone();
            Arc::new(Dialer::new(*address, role, identity.clone(), handler, CONNECT_TIMEOUT))
        };
        let find_site = |name: &str| settings.sites.iter().find(|site| site.name == name);
        let dial_site = |name: &str| -> Vec<Arc<Dialer>> {
            let processes = find_site(name).map_or(&[][..], |site| &site.processes).iter().zip(0..);
            processes.map(|(address, index)| dial(address, Role::Process(name.to_string(), index))).collect()
        };
        let siblings = dial_site(&settings.site).into();
        let parents = find_site(&settings.site).map_or(Vec::new(), |own_site| dial_site(&own_site.parent));
        Dialers { siblings, parents, handler }
    }
}

fn bind(settings: &Site) -> Result<Listeners, RunError> {
    let rpc = listen(settings.listen)?;
    let rpc_address = rpc.local_addr().map_err(|error| RunError::Listen(settings.listen, error))?;
    let pages = match settings.pages {
        None => None,
        Some(address) => Some(listen(address)?),
    };
    let pages_address = pages.as_ref().and_then(|listener| listener.local_addr().ok());
    Ok(Listeners { rpc, pages, addresses: ListenAddresses { rpc: rpc_address, pages: pages_address } })
}

fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    lilacpitch_net::listen(address).map_err(|error| RunError::Listen(address, error))
}

fn build_process(
    settings: Site,
    safeguards: Safeguards,
    disk: DiskState,
    dialers: Dialers,
) -> (Arc<Process>, StateMachine, Queues) {
    let terms = LeaseTerms {
        lease_ns: settings.terms.lease_ns,
        clock_allowance: settings.terms.clock_allowance,
        lagging_after_ns: settings.terms.straggler_ns,
    };
    let other_sites =
        settings.sites.iter().map(|site| site.name.as_str()).filter(|name| *name != settings.site);
    let catalogue = Catalogue::new(other_sites, settings.terms.settle_ns, terms, safeguards);
    let (read_barrier, reads) = ReadBarrier::new();
    let (write_queue, writes) = WriteQueue::new();
    let process = Arc::new(Process {
        safeguards,
        identity: disk.identity,
        state: disk.state,
        raft: OnceLock::new(),
        store: disk.store,
        has_joined: AtomicBool::new(disk.has_joined),
        disk_loss_recovery: Mutex::new(DiskLossRecovery::new(dialers.siblings.len())),
        applied: disk.applied,
        siblings: dialers.siblings,
        parents: dialers.parents,
        ack_aggregator: Mutex::new(AckAggregator::new(terms, safeguards)),
        lease_holder: Mutex::new(LeaseHolder::default()),
        catalogue: RwLock::new(catalogue),
        children: Mutex::new(BTreeMap::new()),
        commands_changed: watch::Sender::new(0),
        acks_changed: watch::Sender::new(0),
        upstream: Mutex::new(UpstreamSelection::new(settings.place)),
        terms,
        origin_term: AtomicU64::new(0),
        read_barrier,
        write_queue,
        concurrency_limit: Mutex::new(ConcurrencyLimit::new(settings.questions)),
        counters: Counters::default(),
        settings,
    });
    (process, disk.machine, Queues { reads, writes })
}

fn spawn_tasks(process: &Arc<Process>, queues: Queues, listeners: Listeners) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(accept_connections(process.clone(), listeners.rpc));
    tasks.spawn(lease_client::run(process.clone()));
    tasks.spawn(command_log::apply_from_log(process.clone()));
    tasks.spawn(ack_reporter::run(process.clone()));
    tasks.spawn(reads::run(process.clone(), queues.reads));
    tasks.spawn(writes::run(process.clone(), queues.writes));
    tasks.spawn(purges::run(process.clone()));
    tasks.spawn(creation::run(process.clone()));
    tasks.spawn(removal::run(process.clone()));
    tasks.spawn(summaries::poll(process.clone()));
    if let Some(listener) = listeners.pages {
        tasks.spawn(admin_pages::serve(process.clone(), listener));
    }
    tasks
}

async fn accept_connections(process: Arc<Process>, listener: TcpListener) {
    let mut handshakes = TaskLimit::new(MAX_HANDSHAKES);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let process = process.clone();
                let handshake = tokio::spawn(async move {
                    let identity = process.identity.clone();
                    if let Err(error) = accept(stream, &identity, process, CONNECT_TIMEOUT).await {
                        tracing::debug!(from = %peer, %error, "handshake failed");
                    }
                });
                handshakes.add(handshake.abort_handle());
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Takes part in the site's log until that fails. Returns the error.
async fn run_log(process: &Arc<Process>, machine: StateMachine) -> RunError {
    let raft = match log_membership::join(process, machine).await {
        Ok(raft) => raft,
        Err(error) => return RunError::Log(error),
    };
    let _ = process.raft.set(raft.clone());
    let mut metrics = raft.metrics();
    let reason = match metrics.wait_for(|metrics| metrics.running_state.is_err()).await {
        Ok(metrics) => metrics.running_state.clone().err().map_or(String::new(), |error| error.to_string()),
        Err(_) => "the log has stopped".into(),
    };
    RunError::Log(LogError::Disk(reason))
}
