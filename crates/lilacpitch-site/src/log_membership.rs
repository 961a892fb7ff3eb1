//! Joins the site's replicated log. A process with its former disk joins at once. A process with a new disk
//! joins as [`lilacpitch_fleet::disk_loss_recovery`] allows, since the lost disk may have held votes and
//! committed entries.

use crate::log::machine::StateMachine;
use crate::log::network::Network;
use crate::log::store::LogStore;
use crate::log::{self, Raft, Types};
use crate::process::Process;
use lilacpitch_fleet::disk_loss_recovery::{LogVote, RecoveryDecision};
use lilacpitch_fleet::error::LogError;
use lilacpitch_fleet::message::{RejectReason, Request, Response};
use openraft::storage::RaftLogStorage;
use openraft::{BasicNode, LeaderId, Vote};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// The interval between requests for the votes of the other processes, and between checks whether this
/// process has caught up.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a process with a new disk waits for votes before it logs a warning.
const WARN_AFTER: Duration = Duration::from_secs(3);
/// The vote that is reported by a process that takes part in the log but has not voted yet.
const NO_VOTE: LogVote = LogVote { term: 0, node: 0, committed: false };

fn disk_error(error: impl std::fmt::Display) -> LogError {
    LogError::Disk(error.to_string())
}

/// Joins the log; with a new disk, once enough of the other processes have reported their votes.
pub(crate) async fn join(process: &Arc<Process>, machine: StateMachine) -> Result<Raft, LogError> {
    let mut store = process.store.clone();
    let mut must_catch_up = false;
    if !process.has_joined.load(Relaxed) {
        match await_recovery_decision(process).await {
            RecoveryDecision::Follow(vote) => {
                must_catch_up = true;
                tracing::info!(term = vote.term, "new disk, voting suspended until caught up");
                save_later_vote(&mut store, vote).await?;
            }
            RecoveryDecision::Bootstrap | RecoveryDecision::Wait => {
                store.save_joined().map_err(disk_error)?;
                process.has_joined.store(true, Relaxed);
            }
        }
    }
    let config = openraft::Config { enable_elect: !must_catch_up, ..log::config() };
    let config = Arc::new(config.validate().map_err(disk_error)?);
    let (index, processes) = (process.settings.place as u64, process.siblings.len() as u64);
    let network = Network(process.siblings.clone());
    let raft =
        openraft::Raft::<Types>::new(index, config, network, store, machine).await.map_err(disk_error)?;
    if !must_catch_up && !raft.is_initialized().await.map_err(disk_error)? {
        initialize(&raft, processes).await;
    }
    if must_catch_up {
        tokio::spawn(catch_up(process.clone(), raft.clone()));
    }
    Ok(raft)
}

/// Saves the latest vote that the other processes have reported, unless the disk holds a later one.
async fn save_later_vote(store: &mut LogStore, vote: LogVote) -> Result<(), LogError> {
    let held = store.read_vote().await.map_err(disk_error)?.map(to_log_vote);
    if held.is_none_or(|held| held < vote) {
        let leader_id = LeaderId::new(vote.term, vote.node);
        store.save_vote(&Vote { leader_id, committed: vote.committed }).await.map_err(disk_error)?;
    }
    Ok(())
}

/// Begins the log with the site's processes as members. All processes begin with the same members, so it is
/// no error if another one was first.
async fn initialize(raft: &Raft, processes: u64) {
    let members: BTreeMap<u64, BasicNode> =
        (0..processes).map(|index| (index, BasicNode::default())).collect();
    if let Err(error) = raft.initialize(members).await {
        tracing::info!(%error, "log already initialized");
    }
}

/// Requests the votes of the other processes until they allow a decision. With the safeguard switched off,
/// the decision may be to wait.
async fn await_recovery_decision(process: &Arc<Process>) -> RecoveryDecision {
    let (started, mut has_warned) = (Instant::now(), false);
    loop {
        let decision = process.disk_loss_recovery.lock().decision();
        if decision != RecoveryDecision::Wait || !process.safeguards.disk_loss {
            return decision;
        }
        request_votes(process).await;
        if !has_warned && started.elapsed() > WARN_AFTER {
            has_warned = true;
            tracing::warn!("new disk, waiting for the other processes of the site to report their votes");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn request_votes(process: &Arc<Process>) {
    let mut requests = JoinSet::new();
    for index in (0..process.siblings.len()).filter(|index| *index != process.settings.place) {
        let process = process.clone();
        requests.spawn(async move { (index, process.request_sibling(index, Request::HeldVote).await) });
    }
    while let Some(response) = requests.join_next().await {
        if let Ok((index, Response::HeldVote(vote))) = response {
            process.disk_loss_recovery.lock().record_vote(index, vote);
        }
    }
}

/// Enables voting once this process has all entries that a leader had acknowledged.
async fn catch_up(process: Arc<Process>, raft: Raft) {
    while !process.read_barrier.wait().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if let Err(error) = process.store.save_joined() {
        tracing::error!(%error, "saving the membership in the log failed, voting stays disabled");
        return;
    }
    process.has_joined.store(true, Relaxed);
    raft.runtime_config().elect(true);
    tracing::info!("caught up, voting enabled");
}

fn to_log_vote(vote: Vote<u64>) -> LogVote {
    let Vote { leader_id: LeaderId { term, node_id }, committed } = vote;
    LogVote { term, node: node_id, committed }
}

impl Process {
    /// Responds to a process of this site with a new disk, which requests the vote that this process holds.
    pub(crate) async fn report_held_vote(&self, requester: usize) -> Response {
        self.disk_loss_recovery.lock().record_vote(requester, None);
        if !self.has_joined.load(Relaxed) {
            return Response::HeldVote(None);
        }
        let mut store = self.store.clone();
        match store.read_vote().await {
            Ok(vote) => Response::HeldVote(Some(vote.map_or(NO_VOTE, to_log_vote))),
            Err(error) => Response::Rejected(RejectReason::Failed(error.to_string())),
        }
    }
}
