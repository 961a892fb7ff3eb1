//! The log's own messages, over the links between the processes of a site.

use super::Types;
use lilacpitch_fleet::message::{LogMessage, Request, Response};
use lilacpitch_rpc::Dialer;
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::BasicNode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// The ways to the processes of a site, by their places.
#[derive(Clone)]
pub struct Network(pub Arc<[Arc<Dialer>]>);

/// The way to one.
pub struct Way(u64, Arc<Dialer>);

impl RaftNetworkFactory<Types> for Network {
    type Network = Way;

    async fn new_client(&mut self, target: u64, _node: &BasicNode) -> Way {
        // Members are the site's processes: a place beyond them is never asked for, and the last stands in.
        let at = (target as usize).min(self.0.len() - 1);
        Way(target, self.0[at].clone())
    }
}

type Failed<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

impl Way {
    async fn say<Q: Serialize, A: DeserializeOwned, E: DeserializeOwned + std::error::Error>(
        &self,
        wrap: impl Fn(Vec<u8>) -> LogMessage,
        rpc: Q,
        patience: Duration,
    ) -> Result<A, Failed<E>> {
        let malformed = |e: postcard::Error| Failed::<E>::Network(NetworkError::new(&e));
        let bytes = postcard::to_allocvec(&rpc).map_err(malformed)?;
        match self.1.request(Request::Log(wrap(bytes)), patience).await {
            Ok(Response::Log(Ok(bytes))) => postcard::from_bytes(&bytes).map_err(malformed),
            Ok(Response::Log(Err(bytes))) => {
                let error: RaftError<u64, E> = postcard::from_bytes(&bytes).map_err(malformed)?;
                Err(RPCError::RemoteError(RemoteError::new(self.0, error)))
            }
            Ok(other) => {
                let error = std::io::Error::other(format!("answered {other:?}"));
                Err(RPCError::Network(NetworkError::new(&error)))
            }
            Err(error) => Err(RPCError::Unreachable(Unreachable::new(&error))),
        }
    }
}

impl RaftNetwork<Types> for Way {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failed<openraft::error::Infallible>> {
        self.say(LogMessage::Append, rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<InstallSnapshotError>> {
        self.say(LogMessage::Snapshot, rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Failed<openraft::error::Infallible>> {
        self.say(LogMessage::Vote, rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> openraft::network::Backoff {
        openraft::network::Backoff::new(std::iter::repeat(Duration::from_millis(100)))
    }
}
