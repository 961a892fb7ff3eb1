//! The state of one process of a site, shared by its tasks. [`crate::startup`] builds it and starts the tasks.
//!
//! **Locks.** Each mutex below stands alone: none is held across an await, nor while another one is taken. What a task
//! needs from two of them it reads one after the other.

use crate::log::state::SiteState;
use crate::log::store::LogStore;
use crate::log::Raft;
use crate::read_barrier::ReadBarrier;
use crate::write_queue::WriteQueue;
use lilacpitch_config::Site;
use lilacpitch_fleet::ack_aggregator::{AckAggregator, ChildId};
use lilacpitch_fleet::catalogue::Catalogue;
use lilacpitch_fleet::concurrency_limit::ConcurrencyLimit;
use lilacpitch_fleet::disk_loss_recovery::DiskLossRecovery;
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::LeaseHolder;
use lilacpitch_fleet::upstream_selection::UpstreamSelection;
use lilacpitch_fleet::Safeguards;
use lilacpitch_rpc::{Dialer, LocalIdentity, RpcConnection};
use parking_lot::{Mutex, RwLock};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;

/// How many of the settings' locate timeouts a request between processes may take where nothing else bounds it.
const REQUEST_TIMEOUT_FACTOR: u64 = 5;

/// Counters of the metrics page, from the start of the process on.
#[derive(Debug, Default)]
pub struct Counters {
    /// Queries for location records answered.
    pub found: AtomicU64,
    /// Queries rejected as too many at once.
    pub full: AtomicU64,
    /// Queries rejected because this process lags behind its site.
    pub behind: AtomicU64,
    /// Record changes written to the site's log.
    pub written: AtomicU64,
    /// Writes rejected for want of a lease.
    pub fenced: AtomicU64,
    /// Leases granted to children.
    pub granted: AtomicU64,
    /// Lease requests of children that were not granted.
    pub not_granted: AtomicU64,
    /// Summary updates that could not be decoded.
    pub summaries_refused: AtomicU64,
}

/// The state of one process.
pub struct Process {
    /// The settings, as loaded at the start.
    pub(crate) settings: Site,
    /// What this process calls itself on connections.
    pub(crate) identity: LocalIdentity,
    /// Safeguards that the testbed may switch off.
    pub(crate) safeguards: Safeguards,
    /// What the site's log has built up here.
    pub(crate) state: Arc<SiteState>,
    /// The replicated log, once this process takes part in it.
    pub(crate) raft: OnceLock<Raft>,
    /// The disk.
    pub(crate) store: LogStore,
    /// The disk holds everything that this process ever acknowledged or voted for, so it may vote.
    pub(crate) has_joined: AtomicBool,
    /// With a new disk: the votes that the other processes hold.
    pub(crate) disk_loss_recovery: Mutex<DiskLossRecovery>,
    /// The index of the last log entry applied here.
    pub(crate) applied: watch::Receiver<u64>,
    /// The site's processes by index, this one's own index among them.
    pub(crate) siblings: Arc<[Arc<Dialer>]>,
    /// The processes of the parent site; none at the root.
    pub(crate) parents: Vec<Arc<Dialer>>,
    /// The leases of the children, and which commands they have acknowledged.
    pub(crate) ack_aggregator: Mutex<AckAggregator>,
    /// This process's own lease from its parent.
    pub(crate) lease_holder: Mutex<LeaseHolder>,
    /// Summaries of all other sites.
    pub(crate) catalogue: RwLock<Catalogue>,
    /// The connection of each child, by which commands are pushed to it.
    pub(crate) children: Mutex<BTreeMap<ChildId, Arc<RpcConnection>>>,
    /// Counts changes of the commands known here: tasks that push them wait for it.
    pub(crate) commands_changed: watch::Sender<u64>,
    /// Counts everything that may change the aggregated acknowledgement.
    pub(crate) acks_changed: watch::Sender<u64>,
    /// Which process of the parent site is in use.
    pub(crate) upstream: Mutex<UpstreamSelection>,
    /// The terms of leases, the same in the whole fleet.
    pub(crate) terms: LeaseTerms,
    /// The term in which this process was last confirmed to lead the root, and in which all who may hold leases of a
    /// former leader are taken into account; 0: none.
    pub(crate) origin_term: AtomicU64,
    /// Reads that wait until this process has caught up.
    pub(crate) read_barrier: ReadBarrier,
    /// Commands for the site's log.
    pub(crate) write_queue: WriteQueue,
    /// How many queries may be worked on at once.
    pub(crate) concurrency_limit: Mutex<ConcurrencyLimit>,
    /// Counters of the metrics page.
    pub(crate) counters: Counters,
}

impl Process {
    /// The site's log; `None` until this process takes part in it.
    pub(crate) fn raft(&self) -> Option<&Raft> {
        self.raft.get()
    }

    /// Whether this is a process of the root site.
    pub(crate) fn is_root(&self) -> bool {
        self.parents.is_empty()
    }

    /// The process of the parent site that is in use.
    ///
    /// # Panics
    /// At the root, which has no parent site.
    pub(crate) fn parent(&self) -> Arc<Dialer> {
        self.parents[self.upstream.lock().selected_index(self.parents.len())].clone()
    }

    /// The index of the process that leads the site's log, as far as this process knows.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.raft().and_then(|raft| raft.metrics().borrow().current_leader).map(|index| index as usize)
    }

    /// Whether this process leads the site's log, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader() == Some(self.settings.place)
    }

    /// How long a response of another process is awaited where nothing else bounds it.
    pub(crate) fn request_timeout(&self) -> Duration {
        Duration::from_nanos(self.settings.terms.ask_ns * REQUEST_TIMEOUT_FACTOR)
    }
}
