//! A connection to one process that is opened when it is first needed and reopened after it was lost.

use crate::connection::{LocalIdentity, RequestHandler, RpcConnection};
use crate::error::RpcError;
use crate::handshake::connect;
use lilacpitch_fleet::message::{Request, Response, Role};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Opens and holds the connection to one process.
pub struct Dialer {
    /// The address on which the process listens.
    pub address: SocketAddr,
    /// The role of the process.
    role: Role,
    identity: LocalIdentity,
    handler: Arc<dyn RequestHandler>,
    connect_timeout: Duration,
    /// Locked while connecting, so that concurrent requests share one connection.
    slot: Mutex<Option<Arc<RpcConnection>>>,
}

impl Dialer {
    /// Creates a dialer for the process with this role, which connects on its first request. It doesn't use a
    /// connection to another process that has taken the address. `handler` handles the requests of the other
    /// end. Connecting and the handshake may each take up to `connect_timeout`.
    pub fn new(
        address: SocketAddr,
        role: Role,
        identity: LocalIdentity,
        handler: Arc<dyn RequestHandler>,
        connect_timeout: Duration,
    ) -> Self {
        Dialer { address, role, identity, handler, connect_timeout, slot: Mutex::new(None) }
    }

    /// Returns the open connection, or opens one.
    ///
    /// # Errors
    /// [`RpcError`] if the connection can't be opened.
    pub async fn connection(&self) -> Result<Arc<RpcConnection>, RpcError> {
        let mut slot = self.slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection =
            connect(self.address, &self.role, &self.identity, self.handler.clone(), self.connect_timeout)
                .await?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Sends a request and awaits the response; `timeout` also covers connecting. A connection on which the
    /// response times out is closed, if `timeout` is no shorter than the time allowed for connecting.
    ///
    /// # Errors
    /// [`RpcError`] if there is no connection or no response.
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
