//! What one process of a site is made of, and its start.

use crate::log::machine::Machine;
use crate::log::state::State;
use crate::log::store::Store;
use crate::log::{join, Raft};
use crate::{admin_pages, lease_client, record_store, summaries};
use lilacpitch_config::Site;
use lilacpitch_fleet::ack_aggregator::{AckAggregator, ChildId};
use lilacpitch_fleet::catalogue::Catalogue;
use lilacpitch_fleet::concurrency_limit::ConcurrencyLimit;
use lilacpitch_fleet::disk_loss_recovery::DiskLossRecovery;
use lilacpitch_fleet::error::LogError;
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::LeaseHolder;
use lilacpitch_fleet::message::{Request, Role};
use lilacpitch_fleet::upstream_selection::UpstreamSelection;
use lilacpitch_fleet::Safeguards;
use lilacpitch_gossip::Keys;
use lilacpitch_rpc::{
    accept, steady_ns, Dialer, LocalIdentity, RequestHandler, ResponseFuture, RpcConnection,
};
use miette::Diagnostic;
use parking_lot::{Mutex, RwLock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a connection may take to be made and greeted.
const CONNECT: Duration = Duration::from_millis(500);

/// Why a process could not start, or stopped.
#[derive(Debug, Error, Diagnostic)]
pub enum RunError {
    /// An address could not be listened on.
    #[error("listening on {0}: {1}")]
    #[diagnostic(code(site::listen), help("see what else listens there, or set another address"))]
    Listen(SocketAddr, std::io::Error),
    /// The key file can't be read.
    #[error("{0}")]
    #[diagnostic(code(site::keys), help("write one or two keys, each 64 hex digits on a line of its own"))]
    Keys(String),
    /// The register can't be made.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Register(#[from] lilacpitch_location::LocationError),
    /// The log or its disk.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Log(#[from] LogError),
    /// The machine gave no threads, signals or randomness.
    #[error("{0}")]
    #[diagnostic(code(site::machine), help("see the limits that this process runs under"))]
    Machine(String),
}

/// Where a process that has started can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// Links.
    pub links: SocketAddr,
    /// Pages.
    pub pages: Option<SocketAddr>,
}

/// What is counted.
#[derive(Debug, Default)]
pub struct Counters {
    /// Questions for rows answered, refused as too many, and refused as behind.
    pub found: AtomicU64,
    /// See [`Counters::found`].
    pub full: AtomicU64,
    /// See [`Counters::found`].
    pub behind: AtomicU64,
    /// Row changes written.
    pub written: AtomicU64,
    /// Writes refused for want of a lease.
    pub fenced: AtomicU64,
    /// Leases granted, and refused.
    pub granted: AtomicU64,
    /// See [`Counters::granted`].
    pub not_granted: AtomicU64,
    /// Summaries that did not read.
    pub summaries_refused: AtomicU64,
}

/// One process.
pub struct Process {
    pub(crate) settings: Site,
    pub(crate) me: LocalIdentity,
    pub(crate) guards: Safeguards,
    pub(crate) state: Arc<State>,
    pub(crate) raft: OnceLock<Raft>,
    pub(crate) store: Store,
    /// This process takes part in full: its disk holds all that it ever promised.
    pub(crate) joined: AtomicBool,
    /// With a new disk: what was heard of the others.
    pub(crate) rejoin: Mutex<DiskLossRecovery>,
    /// The index of the last entry applied here.
    pub(crate) applied: watch::Receiver<u64>,
    /// The site's processes by place, this one's own place among them.
    pub(crate) siblings: Arc<[Arc<Dialer>]>,
    /// Those of the site above; none at the root.
    pub(crate) parents: Vec<Arc<Dialer>>,
    pub(crate) relay: Mutex<AckAggregator>,
    pub(crate) holder: Mutex<LeaseHolder>,
    pub(crate) catalogue: RwLock<Catalogue>,
    pub(crate) children: Mutex<BTreeMap<ChildId, Arc<RpcConnection>>>,
    /// Grows with each order here, and with each thing that a sum may rest on.
    pub(crate) ordered: watch::Sender<u64>,
    pub(crate) acked: watch::Sender<u64>,
    /// Which process above is followed now.
    pub(crate) above: Mutex<UpstreamSelection>,
    pub(crate) terms: LeaseTerms,
    /// The term in which this process was last confirmed to lead the root, and all who may hold leases of a former
    /// leader were reckoned with; 0: none.
    pub(crate) origin_term: AtomicU64,
    pub(crate) reads: record_store::Reads,
    pub(crate) writes: record_store::Writes,
    pub(crate) room: Mutex<ConcurrencyLimit>,
    pub(crate) counters: Counters,
}

/// What answers on links that are made before the process is whole.
#[derive(Default)]
struct Door(OnceLock<Weak<Process>>);

impl RequestHandler for Door {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, ask: Request) -> ResponseFuture {
        match self.0.get().and_then(Weak::upgrade) {
            Some(process) => process.handle(from, ask),
            None => Box::pin(std::future::pending()),
        }
    }
}

impl Process {
    /// The log.
    pub(crate) fn raft(&self) -> Option<&Raft> {
        self.raft.get()
    }

    /// Whether this is a process of the root site.
    pub(crate) fn is_root(&self) -> bool {
        self.parents.is_empty()
    }

    /// The process of the site above that is followed; the root has none.
    pub(crate) fn parent(&self) -> Arc<Dialer> {
        self.parents[self.above.lock().selected_index(self.parents.len())].clone()
    }

    /// The place of who leads the site's log, as far as this process knows.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.raft().and_then(|raft| raft.metrics().borrow().current_leader).map(|place| place as usize)
    }

    /// Whether this process leads, as far as it knows.
    pub(crate) fn leads(&self) -> bool {
        self.leader() == Some(self.settings.place)
    }

    /// How long an answer of another process is waited for where nobody said.
    pub(crate) fn patience(&self) -> Duration {
        Duration::from_nanos(self.settings.terms.ask_ns * 5)
    }
}

/// Milliseconds since 1970.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Runs a process until `stop`, or until its log fails.
pub async fn run(
    settings: Site,
    guards: Safeguards,
    ready: impl FnOnce(Ready),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), RunError> {
    let text = std::fs::read_to_string(&settings.key_file)
        .map_err(|e| RunError::Keys(format!("{}: {e}", settings.key_file)))?;
    let keys = Keys::from_text(&text).map_err(|e| RunError::Keys(format!("{}: {e}", settings.key_file)))?;
    let role = Role::Process(settings.site.clone(), settings.place as u32);
    let owner = format!("{}/{}/{}", settings.site, settings.place, settings.name);
    let store = Store::open(Path::new(&settings.data), &owner)?;
    let wall_ns = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64);
    let life = store.begin_life(wall_ns)?;
    let me = LocalIdentity { name: settings.name.clone(), incarnation: life, role, keys };
    let state = Arc::new(State::new(settings.shards)?);
    let damaged = |what| LogError::Damaged { path: settings.data.clone(), what };
    let joined = AtomicBool::new(store.joined().map_err(damaged)?);
    let (machine, applied) = Machine::open(state.clone(), store.clone()).map_err(damaged)?;

    let door = Arc::new(Door::default());
    let dial = |address: &SocketAddr| {
        Arc::new(Dialer::new(*address, me.clone(), door.clone() as Arc<dyn RequestHandler>, CONNECT))
    };
    let site = |name: &str| settings.sites.iter().find(|site| site.name == name);
    let ways = |name: &str| -> Vec<Arc<Dialer>> {
        site(name).map_or(Vec::new(), |site| site.processes.iter().map(dial).collect())
    };
    let siblings: Arc<[Arc<Dialer>]> = ways(&settings.site).into();
    let parents = site(&settings.site).map_or(Vec::new(), |own| ways(&own.parent));

    let listener = listen(settings.listen).await?;
    let links = listener.local_addr().map_err(|e| RunError::Listen(settings.listen, e))?;
    let page_listener = match settings.pages {
        None => None,
        Some(address) => Some(listen(address).await?),
    };
    let page_address = page_listener.as_ref().and_then(|listener| listener.local_addr().ok());

    let terms = LeaseTerms {
        lease_ns: settings.terms.lease_ns,
        clock_allowance: settings.terms.clock_allowance,
        lagging_after_ns: settings.terms.straggler_ns,
    };
    let others = settings.sites.iter().map(|site| site.name.as_str()).filter(|name| *name != settings.site);
    let catalogue = Catalogue::new(others, settings.terms.settle_ns, terms, guards);
    let (reads, reading) = record_store::Reads::new();
    let (writes, writing) = record_store::Writes::new();
    let process = Arc::new(Process {
        guards,
        state,
        raft: OnceLock::new(),
        store,
        joined,
        rejoin: Mutex::new(DiskLossRecovery::new(siblings.len())),
        applied,
        siblings,
        parents,
        relay: Mutex::new(AckAggregator::new(terms, guards)),
        holder: Mutex::new(LeaseHolder::default()),
        catalogue: RwLock::new(catalogue),
        children: Mutex::new(BTreeMap::new()),
        ordered: watch::Sender::new(0),
        acked: watch::Sender::new(0),
        above: Mutex::new(UpstreamSelection::new(settings.place)),
        terms,
        origin_term: AtomicU64::new(0),
        reads,
        writes,
        room: Mutex::new(ConcurrencyLimit::new(settings.questions)),
        counters: Counters::default(),
        me,
        settings,
    });
    let _ = door.0.set(Arc::downgrade(&process));

    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(accept_all(process.clone(), listener));
    tasks.spawn(lease_client::follow(process.clone()));
    tasks.spawn(lease_client::take_orders_from_log(process.clone()));
    tasks.spawn(lease_client::say_sums(process.clone()));
    tasks.spawn(record_store::read(process.clone(), reading));
    tasks.spawn(record_store::write(process.clone(), writing));
    tasks.spawn(record_store::order_changes(process.clone()));
    tasks.spawn(record_store::begin(process.clone()));
    tasks.spawn(record_store::sweep(process.clone()));
    tasks.spawn(summaries::poll(process.clone()));
    if let Some(listener) = page_listener {
        tasks.spawn(admin_pages::serve(process.clone(), listener));
    }
    ready(Ready { links, pages: page_address });
    tracing::info!(%links, life, "listening");
    let failed = async {
        let raft = match join::join(&process, machine).await {
            Ok(raft) => raft,
            Err(error) => return RunError::Log(error),
        };
        let _ = process.raft.set(raft.clone());
        let mut metrics = raft.metrics();
        let why = match metrics.wait_for(|metrics| metrics.running_state.is_err()).await {
            Ok(metrics) => metrics.running_state.clone().err().map_or(String::new(), |e| e.to_string()),
            Err(_) => "the log has ended".into(),
        };
        RunError::Log(LogError::Disk(why))
    };
    let ended = tokio::select! {
        () = stop => Ok(()),
        error = failed => Err(error),
    };
    tasks.shutdown().await;
    if let Some(raft) = process.raft() {
        let _ = raft.shutdown().await;
    }
    tracing::info!("stopped");
    ended
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|e| RunError::Listen(address, e))
}

async fn accept_all(process: Arc<Process>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let process = process.clone();
                tokio::spawn(async move {
                    let me = process.me.clone();
                    if let Err(error) = accept(stream, &me, process, CONNECT).await {
                        tracing::debug!(%from, %error, "no link");
                    }
                });
            }
            Err(error) => {
                // Out of descriptors, most likely: what is connected goes on.
                tracing::warn!(%error, "not accepted");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// The steady clock, for brevity.
pub(crate) fn now() -> u64 {
    steady_ns()
}
