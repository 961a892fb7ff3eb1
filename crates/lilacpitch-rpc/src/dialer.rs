//! A connection to one process that is made when it is first needed, and made again when it was lost.

use crate::connection::{LocalIdentity, RequestHandler, RpcConnection};
use crate::error::RpcError;
use crate::handshake::connect;
use lilacpitch_fleet::message::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// The connection to one process.
pub struct Dialer {
    /// The address that it listens on.
    pub address: SocketAddr,
    identity: LocalIdentity,
    handler: Arc<dyn RequestHandler>,
    connect_timeout: Duration,
    /// Locked while connecting, so that one connection is made however many requests need it.
    slot: Mutex<Option<Arc<RpcConnection>>>,
}

impl Dialer {
    /// A dialer that connects with the first request. `handler` handles the requests of the other end; connecting and the
    /// handshake may each take `connect_timeout`.
    pub fn new(
        address: SocketAddr,
        identity: LocalIdentity,
        handler: Arc<dyn RequestHandler>,
        connect_timeout: Duration,
    ) -> Self {
        Dialer { address, identity, handler, connect_timeout, slot: Mutex::new(None) }
    }

    /// The connection, made now where there is none.
    ///
    /// # Errors
    /// [`RpcError`], where it can't be made.
    pub async fn connection(&self) -> Result<Arc<RpcConnection>, RpcError> {
        let mut slot = self.slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection =
            connect(self.address, &self.identity, self.handler.clone(), self.connect_timeout).await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Sends a request over the connection; connecting and the response take no longer than `timeout`. A connection over
    /// which no response comes is closed.
    ///
    /// # Errors
    /// [`RpcError`], where there is no connection or no response.
    pub async fn request(&self, request: Request, timeout: Duration) -> Result<Response, RpcError> {
        let exchange = async {
            let connection = self.connection().await?;
            let result = connection.request(request, timeout).await;
            if matches!(result, Err(RpcError::TimedOut)) && timeout >= self.connect_timeout {
                connection.close();
            }
            result
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(RpcError::TimedOut))
    }
}
