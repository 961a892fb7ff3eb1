//! What a process answers to others.

use crate::log::Types;
use crate::process::{now, Process};
use lilacpitch_fleet::ack_aggregator::{AggregatedAck, ChildId};
use lilacpitch_fleet::message::{
    LogMessage, RecordChange, RejectReason, Request, Response, Role, MAX_RECORDS,
};
use lilacpitch_location::{Key, Query, QueryTarget};
use lilacpitch_rpc::{RequestHandler, ResponseFuture, RpcConnection};
use openraft::raft::{AppendEntriesRequest, InstallSnapshotRequest, VoteRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// What one that is told 'full' is told to wait.
const FULL_WAIT_MS: u32 = 20;

impl RequestHandler for Process {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        Box::pin(async move { self.answer(from, request).await })
    }
}

/// A place in the room for questions, left when this is dropped.
struct Place(Arc<Process>, bool);

impl Place {
    fn take(process: &Arc<Process>, urgent: bool) -> Option<Self> {
        process.room.lock().try_acquire(urgent).then(|| Place(process.clone(), urgent))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.room.lock().release(self.1);
    }
}

fn refused(why: RejectReason) -> Response {
    Response::Rejected(why)
}

impl Process {
    async fn answer(self: Arc<Self>, from: Arc<RpcConnection>, ask: Request) -> Response {
        let who = ChildId { name: from.peer.name.clone(), incarnation: from.peer.incarnation };
        let is_sibling = matches!(&from.peer.role, Role::Process(site, _) if *site == self.settings.site);
        match ask {
            Request::RenewLease(applied) => self.renew(&from, who, applied),
            Request::ReportAcknowledged { acknowledged, missing, missing_count } => {
                self.relay
                    .lock()
                    .record_aggregated_ack(&who, AggregatedAck { acknowledged, missing, missing_count });
                self.acked.send_modify(|count| *count += 1);
                Response::Done
            }
            Request::ReleaseLease => {
                self.relay.lock().remove_child(&who);
                self.acked.send_modify(|count| *count += 1);
                Response::Done
            }
            Request::Commands { log, commands } => self.take_orders(log, commands).await,
            Request::Submit(_) | Request::Progress | Request::Audit(_) => self.up(ask).await,
            Request::Write { first, changes } => self.write(who, first, changes).await,
            Request::Forwarded(name, life, request) if is_sibling => {
                self.forwarded(ChildId { name, incarnation: life }, *request).await
            }
            Request::FindRecords { query, after, limit, urgent } => {
                let Some(_place) = Place::take(&self, urgent) else {
                    self.counters.full.fetch_add(1, Relaxed);
                    return refused(RejectReason::Overloaded { wait_ms: FULL_WAIT_MS });
                };
                self.find(query, after, limit).await
            }
            Request::Summaries(known) => self.summaries(known).await,
            Request::ReadIndex if is_sibling => match self.read_index().await {
                Some(index) => Response::ReadIndex(index),
                None => refused(RejectReason::Behind),
            },
            Request::HeldVote if is_sibling => match &from.peer.role {
                Role::Process(_, place) => self.standing(*place as usize).await,
                Role::Front => refused(RejectReason::Unsupported),
            },
            Request::Log(message) if is_sibling => self.log_message(message).await,
            Request::Forwarded(..)
            | Request::RemoveOlderIncarnations(..)
            | Request::ReadIndex
            | Request::HeldVote
            | Request::Log(_) => refused(RejectReason::Unsupported),
        }
    }

    async fn find(self: &Arc<Self>, query: Query, after: Option<Key>, limit: u32) -> Response {
        if self.guards.summary_age && !self.can_tell().await {
            self.counters.behind.fetch_add(1, Relaxed);
            return refused(RejectReason::Behind);
        }
        let limit = (limit as usize).clamp(1, MAX_RECORDS);
        let page = match &query.target {
            QueryTarget::Number(_) => self.state.register.find(&query, after.as_ref(), limit),
            // All shards are walked through: on a thread that nothing else waits for.
            QueryTarget::Prefix(_) => {
                let process = self.clone();
                let walk = move || process.state.register.find(&query, after.as_ref(), limit);
                match tokio::task::spawn_blocking(walk).await {
                    Ok(page) => page,
                    Err(error) => return refused(RejectReason::Failed(error.to_string())),
                }
            }
        };
        self.counters.found.fetch_add(1, Relaxed);
        Response::Found { page, process: self.me.name.clone() }
    }

    fn renew(
        self: &Arc<Self>,
        from: &Arc<RpcConnection>,
        who: ChildId,
        applied: Option<lilacpitch_fleet::message::LogPosition>,
    ) -> Response {
        let is_front = from.peer.role == Role::Front;
        let register = self.state.register_of(&who.name);
        let said = self.relay.lock().renew_lease(now(), &who, is_front, applied, register);
        match &said {
            Response::LeaseGranted { for_ns, .. } => {
                let counter = if *for_ns > 0 { &self.counters.granted } else { &self.counters.not_granted };
                counter.fetch_add(1, Relaxed);
                self.child_is_here(who, from);
                self.acked.send_modify(|count| *count += 1);
            }
            Response::Rejected(RejectReason::Ahead) => {
                self.counters.not_granted.fetch_add(1, Relaxed);
                if self.is_root() && self.leads() {
                    tokio::spawn(crate::lease_client::begin_log_anew(self.clone(), applied));
                }
            }
            _ => drop(self.counters.not_granted.fetch_add(1, Relaxed)),
        }
        said
    }

    /// To be asked at the root: this process if it leads there, else the way up.
    pub(crate) async fn up(self: &Arc<Self>, ask: Request) -> Response {
        if self.is_root() {
            match self.leader() {
                Some(place) if place == self.settings.place => return self.at_root(ask).await,
                Some(place) => {
                    let forward =
                        Request::Forwarded(self.me.name.clone(), self.me.incarnation, Box::new(ask));
                    return self.ask(place, forward).await;
                }
                None => return refused(RejectReason::NoLeader),
            }
        }
        let parent = self.parent();
        parent
            .request(ask, self.patience() * 2)
            .await
            .unwrap_or_else(|e| refused(RejectReason::Failed(e.to_string())))
    }

    /// Asks a sibling.
    pub(crate) async fn ask(&self, place: usize, request: Request) -> Response {
        let Some(way) = self.siblings.get(place) else { return refused(RejectReason::NoLeader) };
        way.request(request, self.patience())
            .await
            .unwrap_or_else(|e| refused(RejectReason::Failed(e.to_string())))
    }

    async fn at_root(self: &Arc<Self>, ask: Request) -> Response {
        match ask {
            Request::Submit(what) => self.writes.order(what).await,
            Request::Audit(records) => self.writes.audit(records).await,
            // Fresh in the lead, it knows of nobody below yet, or has not taken all orders from its log.
            Request::Progress if !self.is_origin() || self.lacks_orders() => refused(RejectReason::NoLeader),
            Request::Progress => {
                let mut relay = self.relay.lock();
                let sum = relay.aggregate(now());
                Response::Progress {
                    ordered: relay.position(),
                    complete: sum.acknowledged.index,
                    missing: sum.missing,
                    missing_count: sum.missing_count,
                }
            }
            _ => refused(RejectReason::Unsupported),
        }
    }

    async fn forwarded(self: &Arc<Self>, who: ChildId, request: Request) -> Response {
        if !self.leads() {
            return refused(RejectReason::NoLeader);
        }
        match request {
            // The sibling that took it has looked at the front's lease.
            Request::Write { first, changes } => self.writes.rows(who, first, changes).await,
            Request::RemoveOlderIncarnations(front, before) => {
                self.writes.withdraw_front(front, before).await
            }
            other if self.is_root() => self.at_root(other).await,
            other => {
                tracing::debug!(who = who.name, ?other, "forwarded, and not wanted");
                refused(RejectReason::Unsupported)
            }
        }
    }

    async fn write(self: &Arc<Self>, who: ChildId, first: u64, changes: Vec<RecordChange>) -> Response {
        if changes.len() > MAX_RECORDS {
            return refused(RejectReason::Malformed(format!(
                "{} rows, {MAX_RECORDS} at most",
                changes.len()
            )));
        }
        for change in &changes {
            let (key, wrong) = match change {
                RecordChange::Upsert(row) => (&row.key, row.check().err()),
                RecordChange::Withdraw(key) => (key, None),
            };
            let foreign = key.owner.front != who.name || key.owner.incarnation != who.incarnation;
            let what = wrong.map(|e| e.to_string());
            if let Some(what) = what.or(foreign.then(|| format!("a row of {}", key.owner.front))) {
                return refused(RejectReason::Malformed(what));
            }
        }
        if !self.relay.lock().accepts_writes_from(now(), &who) {
            self.counters.fenced.fetch_add(1, Relaxed);
            return refused(RejectReason::Fenced);
        }
        match self.leader() {
            Some(place) if place == self.settings.place => self.writes.rows(who, first, changes).await,
            Some(place) => {
                let forward = Request::Forwarded(
                    who.name,
                    who.incarnation,
                    Box::new(Request::Write { first, changes }),
                );
                self.ask(place, forward).await
            }
            None => refused(RejectReason::NoLeader),
        }
    }

    async fn log_message(&self, message: LogMessage) -> Response {
        let Some(raft) = self.raft() else { return refused(RejectReason::NoLeader) };
        fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RejectReason> {
            postcard::from_bytes(bytes).map_err(|e| RejectReason::Malformed(e.to_string()))
        }
        fn said<A: Serialize, E: Serialize>(result: Result<A, E>) -> Response {
            let bytes = match &result {
                Ok(answer) => postcard::to_allocvec(answer).map(Ok),
                Err(error) => postcard::to_allocvec(error).map(Err),
            };
            bytes.map_or_else(|e| refused(RejectReason::Malformed(e.to_string())), Response::Log)
        }
        match message {
            LogMessage::Append(bytes) => match read::<AppendEntriesRequest<Types>>(&bytes) {
                Ok(rpc) => said(raft.append_entries(rpc).await),
                Err(refusal) => refused(refusal),
            },
            // On a former disk this process may have promised what such a vote would break.
            LogMessage::Vote(_) if !self.joined.load(Relaxed) => refused(RejectReason::Behind),
            LogMessage::Vote(bytes) => match read::<VoteRequest<u64>>(&bytes) {
                Ok(rpc) => said(raft.vote(rpc).await),
                Err(refusal) => refused(refusal),
            },
            LogMessage::Snapshot(bytes) => match read::<InstallSnapshotRequest<Types>>(&bytes) {
                Ok(rpc) => said(raft.install_snapshot(rpc).await),
                Err(refusal) => refused(refusal),
            },
        }
    }

    /// Waits until this process can tell what its site holds: all that was acknowledged before now, and nothing lost
    /// with a disk that those who wrote it have not had the time to write again.
    pub(crate) async fn can_tell(&self) -> bool {
        self.reads.barrier().await && self.state.beside(|beside| beside.ready)
    }

    /// Up to which entry a read must wait; `None`: this process does not lead, or can't tell.
    pub(crate) async fn read_index(&self) -> Option<u64> {
        let (read, _) = self.raft()?.get_read_log_id().await.ok()?;
        Some(read.map_or(0, |id| id.index))
    }

    /// Waits until everything up to an entry is applied here.
    pub(crate) async fn wait_applied(&self, index: u64, patience: Duration) -> bool {
        let mut applied = self.applied.clone();
        let waited = tokio::time::timeout(patience, applied.wait_for(|applied| *applied >= index)).await;
        matches!(waited, Ok(Ok(_)))
    }
}
