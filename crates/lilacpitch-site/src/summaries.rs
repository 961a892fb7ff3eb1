//! Exchanges summaries of location records: responds to polls with updates, and polls the parent and the
//! sites below for the summaries of other sites.

use crate::clock::now;
use crate::process::Process;
use lilacpitch_fleet::catalogue::{shard_updates_since, MAX_UPDATE_BYTES};
use lilacpitch_fleet::message::{KnownSummary, RejectReason, Request, Response, Role, SiteSummaryUpdate};
use lilacpitch_rpc::{Dialer, RpcConnection, RpcError};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Most requests to one process in one poll, if the updates do not fit into one response.
const MAX_ROUNDS: usize = 64;

impl Process {
    /// The summary updates that another process lacks.
    pub(crate) async fn summaries_since(self: &Arc<Self>, known: Vec<KnownSummary>) -> Response {
        if known.len() > self.settings.sites.len() {
            return Response::Rejected(RejectReason::Malformed(format!("{} sites", known.len())));
        }
        let own_site = &self.settings.site;
        let mut updates = Vec::new();
        if let Some(known) = known.iter().find(|known| known.site == *own_site) {
            updates.extend(self.own_summary_since(known).await);
        }
        updates.extend(self.catalogue.read().updates_since(now(), &known, |site| site == own_site));
        Response::Summaries(updates)
    }

    /// The update of this site's own summary; `None` while this process can't rule out that it lags behind
    /// its site.
    async fn own_summary_since(&self, known: &KnownSummary) -> Option<SiteSummaryUpdate> {
        let requested_ns = now();
        if self.safeguards.summary_age && !self.is_current().await {
            return None;
        }
        // The pending purges are read before the summary. A change that is made in between is then contained
        // in the summary; if its purge is committed in between as well, the purge position is the older one.
        let (pending, purge_position) = self.state.summary_purges();
        let records = &self.state.records;
        let total = records.versions().iter().sum();
        let mut capacity_bytes = MAX_UPDATE_BYTES;
        let shard_since = |index: usize, version| records.summary(index, Some(version));
        let incarnation = self.identity.incarnation;
        let shards = shard_updates_since(
            known,
            incarnation,
            total,
            records.shards(),
            &mut capacity_bytes,
            shard_since,
        );
        Some(SiteSummaryUpdate {
            site: self.settings.site.clone(),
            incarnation,
            shards: records.shards() as u32,
            total: shards.total,
            age_ns: now().saturating_sub(requested_ns),
            pending,
            purge_position,
            shard_updates: shards.updates,
            has_more: shards.has_more,
        })
    }
}

/// Polls the parent and the processes below at intervals while this process runs.
pub(crate) async fn poll(process: Arc<Process>) {
    let interval = Duration::from_nanos(process.settings.terms.poll_ns);
    loop {
        let mut polls = JoinSet::new();
        for source in summary_sources(&process) {
            polls.spawn(poll_source(process.clone(), source));
        }
        // A source that does not respond must not delay the next poll of the others.
        let _ = tokio::time::timeout(interval, async { while polls.join_next().await.is_some() {} }).await;
        polls.detach_all();
        tokio::time::sleep(interval).await;
    }
}

/// A process that is polled for summaries.
enum SummarySource {
    /// The parent; at the root, the leader.
    Upstream(Arc<Dialer>),
    /// A process of a site below.
    Child(Arc<RpcConnection>),
}

impl SummarySource {
    async fn request(&self, request: Request, timeout: Duration) -> Result<Response, RpcError> {
        match self {
            SummarySource::Upstream(dialer) => dialer.request(request, timeout).await,
            SummarySource::Child(connection) => connection.request(request, timeout).await,
        }
    }
}

fn summary_sources(process: &Process) -> Vec<SummarySource> {
    let children: Vec<Arc<RpcConnection>> = process.children.lock().values().cloned().collect();
    let is_process = |child: &Arc<RpcConnection>| matches!(child.peer.role, Role::Process(..));
    let mut sources: Vec<SummarySource> =
        children.into_iter().filter(is_process).map(SummarySource::Child).collect();
    if !process.is_root() {
        sources.push(SummarySource::Upstream(process.parent()));
    } else if let Some(index) = process.leader().filter(|index| *index != process.settings.place) {
        sources.extend(process.siblings.get(index).cloned().map(SummarySource::Upstream));
    }
    sources
}

/// Polls one process until it has no more updates, or for [`MAX_ROUNDS`].
async fn poll_source(process: Arc<Process>, source: SummarySource) {
    for _ in 0..MAX_ROUNDS {
        let (requested_ns, known) = (now(), process.catalogue.read().known_summaries());
        let response = source.request(Request::Summaries(known), process.request_timeout()).await;
        let Ok(Response::Summaries(updates)) = response else { return };
        let applied = process.catalogue.write().apply_updates(requested_ns, updates);
        for error in applied.errors {
            process.counters.summaries_rejected.fetch_add(1, Relaxed);
            tracing::warn!(%error, "summary update rejected");
        }
        if !applied.has_more {
            return;
        }
    }
}
