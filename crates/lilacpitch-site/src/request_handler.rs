//! Handles the requests of other processes: children (fronts and processes of the sites below), siblings
//! (processes of the same site) and the parent, which sends commands. Requests for the root or for the site's
//! leader are forwarded.

use crate::clock::now;
use crate::log::Types;
use crate::process::Process;
use lilacpitch_fleet::ack_aggregator::{AggregatedAck, ChildId};
use lilacpitch_fleet::message::{
    LogMessage, LogPosition, RecordChange, RejectReason, Request, Response, Role, MAX_RECORDS,
};
use lilacpitch_location::{Key, Query, QueryTarget};
use lilacpitch_rpc::{RequestHandler, ResponseFuture, RpcConnection};
use openraft::raft::{AppendEntriesRequest, InstallSnapshotRequest, VoteRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

/// The retry delay for a query that is rejected as overload, in milliseconds.
const RETRY_AFTER_MS: u32 = 20;

impl RequestHandler for Process {
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        Box::pin(async move { self.respond(from, request).await })
    }
}

/// A slot of the concurrency limit, released when this is dropped.
struct QuerySlot {
    process: Arc<Process>,
    is_urgent: bool,
}

impl QuerySlot {
    fn try_acquire(process: &Arc<Process>, is_urgent: bool) -> Option<Self> {
        let is_acquired = process.concurrency_limit.lock().try_acquire(is_urgent);
        is_acquired.then(|| QuerySlot { process: process.clone(), is_urgent })
    }
}

impl Drop for QuerySlot {
    fn drop(&mut self) {
        self.process.concurrency_limit.lock().release(self.is_urgent);
    }
}

fn rejected(reason: RejectReason) -> Response {
    Response::Rejected(reason)
}

impl Process {
    async fn respond(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> Response {
        let child = ChildId { name: from.peer.name.clone(), incarnation: from.peer.incarnation };
        let is_sibling = matches!(&from.peer.role, Role::Process(site, _) if *site == self.settings.site);
        match request {
            Request::RenewLease(applied) => self.renew_child_lease(&from, child, applied),
            Request::ReportAcknowledged { acknowledged, missing, missing_count } => {
                let ack = AggregatedAck { acknowledged, missing, missing_count };
                self.ack_aggregator.lock().record_aggregated_ack(&child, ack);
                self.acks_changed.send_modify(|count| *count += 1);
                Response::Done
            }
            Request::ReleaseLease => {
                self.ack_aggregator.lock().remove_child(&child);
                self.acks_changed.send_modify(|count| *count += 1);
                Response::Done
            }
            Request::Commands { log, commands } => self.receive_commands(log, commands).await,
            Request::Submit(_) | Request::Progress | Request::Audit(_) => self.submit_to_root(request).await,
            Request::Write { first, changes } => self.write_records(child, first, changes).await,
            Request::FindRecords { query, after, limit, urgent } => {
                let Some(_slot) = QuerySlot::try_acquire(&self, urgent) else {
                    self.counters.queries_overloaded.fetch_add(1, Relaxed);
                    return rejected(RejectReason::Overloaded { wait_ms: RETRY_AFTER_MS });
                };
                self.find_records(query, after, limit).await
            }
            Request::Summaries(known) => self.summaries_since(known).await,
            sibling_request if is_sibling => self.respond_to_sibling(&from, sibling_request).await,
            Request::Forwarded(..)
            | Request::RemoveOlderIncarnations(..)
            | Request::ReadIndex
            | Request::HeldVote
            | Request::Log(_) => rejected(RejectReason::Unsupported),
        }
    }

    /// Responds to a request that only a process of the same site may send.
    async fn respond_to_sibling(self: &Arc<Self>, from: &Arc<RpcConnection>, request: Request) -> Response {
        match request {
            Request::Forwarded(name, incarnation, request) => {
                self.respond_to_forwarded(ChildId { name, incarnation }, *request).await
            }
            Request::ReadIndex => match self.read_index().await {
                Some(index) => Response::ReadIndex(index),
                None => rejected(RejectReason::Behind),
            },
            Request::HeldVote => match &from.peer.role {
                Role::Process(_, index) => self.report_held_vote(*index as usize).await,
                Role::Front => rejected(RejectReason::Unsupported),
            },
            Request::Log(message) => self.handle_log_message(message).await,
            _ => rejected(RejectReason::Unsupported),
        }
    }

    async fn find_records(self: &Arc<Self>, query: Query, after: Option<Key>, limit: u32) -> Response {
        if self.safeguards.summary_age && !self.is_current().await {
            self.counters.queries_behind.fetch_add(1, Relaxed);
            return rejected(RejectReason::Behind);
        }
        let limit = (limit as usize).clamp(1, MAX_RECORDS);
        let page = match &query.target {
            QueryTarget::Number(_) => self.state.records.find(&query, after.as_ref(), limit),
            // A search visits all shards, so it runs on a thread for blocking work.
            QueryTarget::Prefix(_) => {
                let process = self.clone();
                let search = move || process.state.records.find(&query, after.as_ref(), limit);
                match tokio::task::spawn_blocking(search).await {
                    Ok(page) => page,
                    Err(error) => return rejected(RejectReason::Failed(error.to_string())),
                }
            }
        };
        self.counters.queries_answered.fetch_add(1, Relaxed);
        Response::Found { page, process: self.identity.name.clone() }
    }

    fn renew_child_lease(
        self: &Arc<Self>,
        from: &Arc<RpcConnection>,
        child: ChildId,
        applied: Option<LogPosition>,
    ) -> Response {
        let is_front = from.peer.role == Role::Front;
        let store_id = self.state.store_id_for(&child.name);
        let response = self.ack_aggregator.lock().renew_lease(now(), &child, is_front, applied, store_id);
        match &response {
            Response::LeaseGranted { for_ns, .. } => {
                let counter = if *for_ns > 0 {
                    &self.counters.leases_granted
                } else {
                    &self.counters.leases_not_granted
                };
                counter.fetch_add(1, Relaxed);
                self.register_child(child, from);
                self.acks_changed.send_modify(|count| *count += 1);
            }
            Response::Rejected(RejectReason::Ahead) => {
                self.counters.leases_not_granted.fetch_add(1, Relaxed);
                if self.is_root() && self.is_leader() {
                    tokio::spawn(crate::command_log::replace_lost_log(self.clone(), applied));
                }
            }
            _ => {
                self.counters.leases_not_granted.fetch_add(1, Relaxed);
            }
        }
        response
    }

    /// Responds to a request for the root's leader: this process responds if it is the leader, and otherwise
    /// forwards the request towards it.
    pub(crate) async fn submit_to_root(self: &Arc<Self>, request: Request) -> Response {
        if self.is_root() {
            return match self.leader() {
                Some(index) if index == self.settings.place => self.respond_as_root(request).await,
                Some(index) => self.forward_to_sibling(index, self.as_child(), request).await,
                None => rejected(RejectReason::NoLeader),
            };
        }
        let parent = self.parent();
        // Twice the timeout of one request, since the parent may forward it to its leader.
        parent
            .request(request, self.request_timeout() * 2)
            .await
            .unwrap_or_else(|error| rejected(RejectReason::Failed(error.to_string())))
    }

    /// The id of this process as a child of its parent.
    pub(crate) fn as_child(&self) -> ChildId {
        ChildId { name: self.identity.name.clone(), incarnation: self.identity.incarnation }
    }

    /// Sends a request to the sibling at this index.
    pub(crate) async fn request_sibling(&self, index: usize, request: Request) -> Response {
        let Some(sibling) = self.siblings.get(index) else { return rejected(RejectReason::NoLeader) };
        sibling
            .request(request, self.request_timeout())
            .await
            .unwrap_or_else(|error| rejected(RejectReason::Failed(error.to_string())))
    }

    /// Forwards a request of a front or process to a sibling, which is the leader.
    pub(crate) async fn forward_to_sibling(
        &self,
        index: usize,
        on_behalf_of: ChildId,
        request: Request,
    ) -> Response {
        let ChildId { name, incarnation } = on_behalf_of;
        self.request_sibling(index, Request::Forwarded(name, incarnation, Box::new(request))).await
    }

    async fn respond_as_root(self: &Arc<Self>, request: Request) -> Response {
        match request {
            Request::Submit(action) => self.write_queue.append_command(action).await,
            Request::Audit(records) => self.write_queue.append_audit(records).await,
            // A new leader may not know all children yet, or may not have taken all commands from the log.
            Request::Progress if !self.is_origin() || self.lags_command_log() => {
                rejected(RejectReason::NoLeader)
            }
            Request::Progress => {
                let mut ack_aggregator = self.ack_aggregator.lock();
                let ack = ack_aggregator.aggregate(now());
                Response::Progress {
                    ordered: ack_aggregator.position(),
                    complete: ack.acknowledged.index,
                    missing: ack.missing,
                    missing_count: ack.missing_count,
                }
            }
            _ => rejected(RejectReason::Unsupported),
        }
    }

    async fn respond_to_forwarded(self: &Arc<Self>, on_behalf_of: ChildId, request: Request) -> Response {
        if !self.is_leader() {
            return rejected(RejectReason::NoLeader);
        }
        match request {
            // The sibling that received the request has checked the records and the front's lease.
            Request::Write { first, changes } => {
                self.write_queue.write_records(on_behalf_of, first, changes).await
            }
            Request::RemoveOlderIncarnations(front, incarnation) => {
                self.write_queue.remove_older_incarnations(front, incarnation).await
            }
            request if self.is_root() => self.respond_as_root(request).await,
            request => {
                tracing::debug!(on_behalf_of = on_behalf_of.name, ?request, "forwarded request rejected");
                rejected(RejectReason::Unsupported)
            }
        }
    }

    /// Writes a front's record changes through the site's leader.
    async fn write_records(
        self: &Arc<Self>,
        front: ChildId,
        first: u64,
        changes: Vec<RecordChange>,
    ) -> Response {
        if let Err(reason) = check_changes(&front, &changes) {
            return rejected(reason);
        }
        if !self.ack_aggregator.lock().accepts_writes_from(now(), &front) {
            self.counters.writes_fenced.fetch_add(1, Relaxed);
            return rejected(RejectReason::Fenced);
        }
        match self.leader() {
            Some(index) if index == self.settings.place => {
                self.write_queue.write_records(front, first, changes).await
            }
            Some(index) => self.forward_to_sibling(index, front, Request::Write { first, changes }).await,
            None => rejected(RejectReason::NoLeader),
        }
    }

    async fn handle_log_message(&self, message: LogMessage) -> Response {
        let Some(raft) = self.raft() else { return rejected(RejectReason::NoLeader) };
        match message {
            LogMessage::Append(bytes) => match decode::<AppendEntriesRequest<Types>>(&bytes) {
                Ok(rpc) => encode_result(raft.append_entries(rpc).await),
                Err(reason) => rejected(reason),
            },
            // This process may have cast votes on a lost disk, which another vote could contradict.
            LogMessage::Vote(_) if !self.has_joined.load(Relaxed) => rejected(RejectReason::Behind),
            LogMessage::Vote(bytes) => match decode::<VoteRequest<u64>>(&bytes) {
                Ok(rpc) => encode_result(raft.vote(rpc).await),
                Err(reason) => rejected(reason),
            },
            LogMessage::Snapshot(bytes) => match decode::<InstallSnapshotRequest<Types>>(&bytes) {
                Ok(rpc) => encode_result(raft.install_snapshot(rpc).await),
                Err(reason) => rejected(reason),
            },
        }
    }
}

/// Checks that a front may make these changes: they must be well-formed, not too many, and concern records of
/// this incarnation of the front.
fn check_changes(front: &ChildId, changes: &[RecordChange]) -> Result<(), RejectReason> {
    if changes.len() > MAX_RECORDS {
        return Err(RejectReason::Malformed(format!("{} rows, {MAX_RECORDS} at most", changes.len())));
    }
    for change in changes {
        let (key, malformed) = match change {
            RecordChange::Upsert(record) => (&record.key, record.check().err()),
            RecordChange::Withdraw(key) => (key, None),
        };
        if let Some(error) = malformed {
            return Err(RejectReason::Malformed(error.to_string()));
        }
        if key.owner.front != front.name || key.owner.incarnation != front.incarnation {
            return Err(RejectReason::Malformed(format!("a row of {}", key.owner.front)));
        }
    }
    Ok(())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RejectReason> {
    postcard::from_bytes(bytes).map_err(|error| RejectReason::Malformed(error.to_string()))
}

/// Encodes the result of the Raft library as a response.
fn encode_result<T: Serialize, E: Serialize>(result: Result<T, E>) -> Response {
    let bytes = match &result {
        Ok(response) => postcard::to_allocvec(response).map(Ok),
        Err(error) => postcard::to_allocvec(error).map(Err),
    };
    bytes.map_or_else(|error| rejected(RejectReason::Malformed(error.to_string())), Response::Log)
}
