//! How a process takes part in its site's log: at once with the disk it had, with a new one as
//! [`lilacpitch_fleet::disk_loss_recovery`] says.

use super::machine::Machine;
use super::network::Network;
use super::{Raft, Types};
use crate::process::Process;
use lilacpitch_fleet::disk_loss_recovery::{LogVote, Verdict};
use lilacpitch_fleet::error::LogError;
use lilacpitch_fleet::message::{Request, Response};
use openraft::storage::RaftLogStorage;
use openraft::{BasicNode, LeaderId, Vote};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The gap between questions to the others.
const AGAIN: Duration = Duration::from_millis(100);
/// After so long an operator is told what is waited for.
const PATIENCE: Duration = Duration::from_secs(3);

fn disk(error: impl std::fmt::Display) -> LogError {
    LogError::Disk(error.to_string())
}

/// Takes part: with a new disk once enough was heard. Comes back with the log.
pub(crate) async fn join(process: &Arc<Process>, machine: Machine) -> Result<Raft, LogError> {
    let mut store = process.store.clone();
    let mut follows = false;
    if !process.joined.load(Relaxed) {
        match heard(process).await {
            Verdict::Follow(vote) => {
                follows = true;
                tracing::info!(term = vote.term, "a new disk beside others: votes once all is here");
                let held = store.read_vote().await.map_err(disk)?.map(vote_of);
                if held.is_none_or(|held| held < vote) {
                    let leader_id = LeaderId::new(vote.term, vote.node);
                    store.save_vote(&Vote { leader_id, committed: vote.committed }).await.map_err(disk)?;
                }
            }
            Verdict::Bootstrap | Verdict::Wait => {
                store.keep_joined().map_err(disk)?;
                process.joined.store(true, Relaxed);
            }
        }
    }
    let config = openraft::Config { enable_elect: !follows, ..super::config() };
    let config = Arc::new(config.validate().map_err(disk)?);
    let (place, processes) = (process.settings.place as u64, process.siblings.len() as u64);
    let network = Network(process.siblings.clone());
    let raft = openraft::Raft::<Types>::new(place, config, network, store, machine).await.map_err(disk)?;
    if !follows && !raft.is_initialized().await.map_err(disk)? {
        let members: std::collections::BTreeMap<u64, BasicNode> =
            (0..processes).map(|place| (place, BasicNode::default())).collect();
        // All begin with the same members; who is told of others meanwhile has no need to.
        if let Err(error) = raft.initialize(members).await {
            tracing::info!(%error, "the log is there already");
        }
    }
    if follows {
        tokio::spawn(catch_up(process.clone(), raft.clone()));
    }
    Ok(raft)
}

/// Asks the others until it is known what to do.
async fn heard(process: &Arc<Process>) -> Verdict {
    let (began, mut told) = (Instant::now(), false);
    loop {
        let verdict = process.rejoin.lock().verdict();
        if verdict != Verdict::Wait || !process.guards.disk_loss {
            return verdict;
        }
        let mut asking = tokio::task::JoinSet::new();
        for place in (0..process.siblings.len()).filter(|place| *place != process.settings.place) {
            let process = process.clone();
            asking.spawn(async move { (place, process.ask(place, Request::HeldVote).await) });
        }
        while let Some(answered) = asking.join_next().await {
            if let Ok((place, Response::HeldVote(vote))) = answered {
                process.rejoin.lock().record_vote(place, vote);
            }
        }
        if !told && began.elapsed() > PATIENCE {
            told = true;
            tracing::warn!("a new disk: waits to hear the other processes of its site before it takes part");
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Once this process has all that a leader had acknowledged it votes as the others do.
async fn catch_up(process: Arc<Process>, raft: Raft) {
    while !process.reads.barrier().await {
        tokio::time::sleep(AGAIN).await;
    }
    if let Err(error) = process.store.keep_joined() {
        tracing::error!(%error, "does not vote");
        return;
    }
    process.joined.store(true, Relaxed);
    raft.runtime_config().elect(true);
    tracing::info!("all is here: takes part in full");
}

fn vote_of(vote: Vote<u64>) -> LogVote {
    let Vote { leader_id: LeaderId { term, node_id }, committed } = vote;
    LogVote { term, node: node_id, committed }
}

impl Process {
    /// A process of this site with a new disk asks which vote this one holds.
    pub(crate) async fn standing(&self, asks: usize) -> Response {
        self.rejoin.lock().record_vote(asks, None);
        if !self.joined.load(Relaxed) {
            return Response::HeldVote(None);
        }
        let mut store = self.store.clone();
        match store.read_vote().await {
            // One that has just joined may not have voted yet.
            Ok(vote) => Response::HeldVote(Some(vote.map(vote_of).unwrap_or(LogVote {
                term: 0,
                node: 0,
                committed: false,
            }))),
            Err(error) => {
                Response::Rejected(lilacpitch_fleet::message::RejectReason::Failed(error.to_string()))
            }
        }
    }
}
