//! Sends the messages of the Raft library over the connections between the processes of a site. The library's
//! types are encoded as the bytes in a [`LogMessage`].

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

/// Connections to the processes of a site by index, which is their node id in the log.
#[derive(Clone)]
pub struct Network(pub Arc<[Arc<Dialer>]>);

/// The connection to one process of the site.
pub struct RaftPeer {
    node: u64,
    dialer: Arc<Dialer>,
}

impl RaftNetworkFactory<Types> for Network {
    type Network = RaftPeer;

    async fn new_client(&mut self, target: u64, _node: &BasicNode) -> RaftPeer {
        // The members of the log are the site's processes, so a larger index does not occur; it would be
        // given the last process.
        let index = (target as usize).min(self.0.len() - 1);
        RaftPeer { node: target, dialer: self.0[index].clone() }
    }
}

type PeerError<E> = RPCError<u64, BasicNode, RaftError<u64, E>>;

/// The delay before the Raft library retries an unreachable process.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl RaftPeer {
    /// Sends a message of the Raft library and decodes the response.
    async fn send<Req: Serialize, Resp: DeserializeOwned, E: DeserializeOwned + std::error::Error>(
        &self,
        wrap: impl Fn(Vec<u8>) -> LogMessage,
        rpc: Req,
        timeout: Duration,
    ) -> Result<Resp, PeerError<E>> {
        let malformed = |error: postcard::Error| PeerError::<E>::Network(NetworkError::new(&error));
        let bytes = postcard::to_allocvec(&rpc).map_err(malformed)?;
        match self.dialer.request(Request::Log(wrap(bytes)), timeout).await {
            Ok(Response::Log(Ok(bytes))) => postcard::from_bytes(&bytes).map_err(malformed),
            Ok(Response::Log(Err(bytes))) => {
                let error: RaftError<u64, E> = postcard::from_bytes(&bytes).map_err(malformed)?;
                Err(RPCError::RemoteError(RemoteError::new(self.node, error)))
            }
            Ok(other) => {
                let error = std::io::Error::other(format!("unexpected response: {other:?}"));
                Err(RPCError::Network(NetworkError::new(&error)))
            }
            Err(error) => Err(RPCError::Unreachable(Unreachable::new(&error))),
        }
    }
}

impl RaftNetwork<Types> for RaftPeer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, PeerError<openraft::error::Infallible>> {
        self.send(LogMessage::Append, rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, PeerError<InstallSnapshotError>> {
        self.send(LogMessage::Snapshot, rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, PeerError<openraft::error::Infallible>> {
        self.send(LogMessage::Vote, rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> openraft::network::Backoff {
        openraft::network::Backoff::new(std::iter::repeat(RETRY_DELAY))
    }
}
