//! The state of one process of a site, shared by its tasks. [`crate::startup`] builds it and starts the
//! tasks.
//!
//! **Locks.** None of the locks below is held across an await. `ack_aggregator` may be taken while
//! `lease_holder` is held, so that commands are selected and applied in one step; otherwise none is taken while
//! another one is held, and a task that needs values behind two of them reads one after the other.

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

/// The timeout of a request between processes without a timeout of its own, in multiples of the locate
/// timeout.
const REQUEST_TIMEOUT_FACTOR: u64 = 5;

/// The counters of the metrics page, which begin at 0 when the process starts.
#[derive(Debug, Default)]
pub struct Counters {
    /// Queries for location records that were answered.
    pub queries_answered: AtomicU64,
    /// Queries that were rejected because too many were handled concurrently.
    pub queries_overloaded: AtomicU64,
    /// Queries that were rejected because this process lags behind its site.
    pub queries_behind: AtomicU64,
    /// Record changes that were written to the site's log.
    pub changes_written: AtomicU64,
    /// Writes that were rejected because the front has no lease.
    pub writes_fenced: AtomicU64,
    /// Leases that were granted to children.
    pub leases_granted: AtomicU64,
    /// Lease requests of children that were not granted.
    pub leases_not_granted: AtomicU64,
    /// Summary updates that could not be decoded.
    pub summaries_rejected: AtomicU64,
}

/// The state of one process.
pub struct Process {
    /// The settings, which were loaded at the start.
    pub(crate) settings: Site,
    /// How this process identifies itself on connections.
    pub(crate) identity: LocalIdentity,
    /// Safeguards that the testbed may switch off.
    pub(crate) safeguards: Safeguards,
    /// The state that the site's log has built on this process.
    pub(crate) state: Arc<SiteState>,
    /// The replicated log; empty until this process takes part in it.
    pub(crate) raft: OnceLock<Raft>,
    /// The log and the snapshot on disk.
    pub(crate) store: LogStore,
    /// Whether the disk holds everything that this process ever acknowledged or voted for, so that it may
    /// vote.
    pub(crate) has_joined: AtomicBool,
    /// After the loss of the disk: the votes that the other processes hold.
    pub(crate) disk_loss_recovery: Mutex<DiskLossRecovery>,
    /// The index of the last log entry applied here.
    pub(crate) applied: watch::Receiver<u64>,
    /// Connections to the processes of this site by index, including one for this process itself.
    pub(crate) siblings: Arc<[Arc<Dialer>]>,
    /// Connections to the processes of the parent site; none at the root.
    pub(crate) parents: Vec<Arc<Dialer>>,
    /// The leases of the children, and which commands they have acknowledged.
    pub(crate) ack_aggregator: Mutex<AckAggregator>,
    /// This process's own lease from its parent.
    pub(crate) lease_holder: Mutex<LeaseHolder>,
    /// Summaries of all other sites.
    pub(crate) catalogue: RwLock<Catalogue>,
    /// The connection of each child, on which commands are pushed to it.
    pub(crate) children: Mutex<BTreeMap<ChildId, Arc<RpcConnection>>>,
    /// Incremented when commands have arrived; the tasks that push commands wait for it.
    pub(crate) commands_changed: watch::Sender<u64>,
    /// Incremented when the aggregated acknowledgement may have changed.
    pub(crate) acks_changed: watch::Sender<u64>,
    /// The process of the parent site that is in use.
    pub(crate) upstream: Mutex<UpstreamSelection>,
    /// The terms of leases, the same in the whole fleet.
    pub(crate) terms: LeaseTerms,
    /// The last term in which this process was confirmed as the root's leader, and in which it takes the
    /// leases of a former leader into account; 0: none.
    pub(crate) origin_term: AtomicU64,
    /// Where reads wait until this process has caught up with its site.
    pub(crate) read_barrier: ReadBarrier,
    /// Commands to be written to the site's log.
    pub(crate) write_queue: WriteQueue,
    /// Limits the number of concurrent queries.
    pub(crate) concurrency_limit: Mutex<ConcurrencyLimit>,
    /// The counters of the metrics page.
    pub(crate) counters: Counters,
}

impl Process {
    /// The replicated log; `None` until this process takes part in it.
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

    /// The timeout of requests to other processes that have no timeout of their own.
    pub(crate) fn request_timeout(&self) -> Duration {
        Duration::from_nanos(self.settings.terms.ask_ns * REQUEST_TIMEOUT_FACTOR)
    }
}
