//! A connection to one process that is made when it is wanted, and again when it was lost.

use crate::link::{connect, LocalIdentity, RequestHandler, RpcConnection, RpcError};
use lilacpitch_fleet::message::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// The way to one process.
pub struct Dialer {
    /// Where it listens.
    pub address: SocketAddr,
    me: LocalIdentity,
    serve: Arc<dyn RequestHandler>,
    patience: Duration,
    /// Held while connecting, so that one connection is made however many want it.
    slot: Mutex<Option<Arc<RpcConnection>>>,
}

impl Dialer {
    /// Connects when it is first asked for; what is connected may ask `serve`.
    pub fn new(
        address: SocketAddr,
        me: LocalIdentity,
        serve: Arc<dyn RequestHandler>,
        patience: Duration,
    ) -> Self {
        Dialer { address, me, serve, patience, slot: Mutex::new(None) }
    }

    /// The connection.
    pub async fn connection(&self) -> Result<Arc<RpcConnection>, RpcError> {
        let mut slot = self.slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let link = connect(self.address, &self.me, self.serve.clone(), self.patience).await?;
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Asks over it; the whole takes no longer than `patience`. A connection that brings no answer is left.
    pub async fn request(&self, request: Request, patience: Duration) -> Result<Response, RpcError> {
        let asking = async {
            let link = self.connection().await?;
            let said = link.request(request, patience).await;
            if matches!(said, Err(RpcError::TimedOut)) && patience >= self.patience {
                link.close();
            }
            said
        };
        tokio::time::timeout(patience, asking).await.unwrap_or(Err(RpcError::TimedOut))
    }
}
