//! Summaries: of this site for others, and of others from above and below.

use crate::process::{now, Process};
use lilacpitch_fleet::catalogue::{shard_updates_since, MAX_UPDATE_BYTES};
use lilacpitch_fleet::message::{KnownSummary, RejectReason, Request, Response, Role, SiteSummaryUpdate};
use lilacpitch_rpc::{Dialer, RpcConnection};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

impl Process {
    /// What another process lacks.
    pub(crate) async fn summaries(self: &Arc<Self>, known: Vec<KnownSummary>) -> Response {
        if known.len() > self.settings.sites.len() {
            return Response::Rejected(RejectReason::Malformed(format!("{} sites", known.len())));
        }
        let own = known.iter().find(|known| known.site == self.settings.site).cloned();
        let mut all = Vec::new();
        if let Some(known) = own {
            all.extend(self.own_news(&known).await);
        }
        let own = &self.settings.site;
        all.extend(self.catalogue.read().updates_since(now(), &known, |site| site == own));
        Response::Summaries(all)
    }

    /// News of this site; none while this process can't tell whether it lags behind.
    async fn own_news(&self, known: &KnownSummary) -> Option<SiteSummaryUpdate> {
        let asked_ns = now();
        if self.guards.summary_age && !self.can_tell().await {
            return None;
        }
        // What is not ordered is looked at first: a change that comes between is in the summary then, and if its
        // order comes between as well, the position is the older one.
        let (pending, ordered) = self.state.pending();
        let register = &self.state.register;
        let total = register.versions().iter().sum();
        let mut room = MAX_UPDATE_BYTES;
        let shard = |at: usize, version| register.summary(at, Some(version));
        let shards =
            shard_updates_since(known, self.me.incarnation, total, register.shards(), &mut room, shard);
        Some(SiteSummaryUpdate {
            site: self.settings.site.clone(),
            incarnation: self.me.incarnation,
            shards: register.shards() as u32,
            total: shards.total,
            age_ns: now().saturating_sub(asked_ns),
            pending,
            purge_position: ordered,
            shard_updates: shards.updates,
            has_more: shards.has_more,
        })
    }
}

/// Asks above and below for summaries, again and again.
pub(crate) async fn poll(process: Arc<Process>) {
    let gap = Duration::from_nanos(process.settings.terms.poll_ns);
    loop {
        let below: Vec<Arc<RpcConnection>> = process.children.lock().values().cloned().collect();
        let processes = below.into_iter().filter(|link| matches!(link.peer.role, Role::Process(..)));
        let mut ways: Vec<Way> = processes.map(Way::Below).collect();
        if !process.is_root() {
            ways.push(Way::Above(process.parent()));
        } else if let Some(place) = process.leader().filter(|place| *place != process.settings.place) {
            ways.extend(process.siblings.get(place).cloned().map(Way::Above));
        }
        let mut asking = tokio::task::JoinSet::new();
        for way in ways {
            asking.spawn(ask(process.clone(), way));
        }
        // One that stands still must not keep the others' news back.
        let _ = tokio::time::timeout(gap, async { while asking.join_next().await.is_some() {} }).await;
        asking.detach_all();
        tokio::time::sleep(gap).await;
    }
}

/// The way to a process that is asked.
enum Way {
    Above(Arc<Dialer>),
    Below(Arc<RpcConnection>),
}

/// Asks one process until it has nothing more to say.
async fn ask(process: Arc<Process>, way: Way) {
    const ROUNDS: usize = 64;
    for _ in 0..ROUNDS {
        let (asked_ns, known) = (now(), process.catalogue.read().known_summaries());
        let (ask, patience) = (Request::Summaries(known), process.patience());
        let said = match &way {
            Way::Above(dialer) => dialer.request(ask, patience).await,
            Way::Below(link) => link.request(ask, patience).await,
        };
        let Ok(Response::Summaries(news)) = said else { return };
        let applied = process.catalogue.write().apply_updates(asked_ns, news);
        for error in applied.errors {
            process.counters.summaries_refused.fetch_add(1, Relaxed);
            tracing::warn!(%error, "summary refused");
        }
        if !applied.has_more {
            return;
        }
    }
}
