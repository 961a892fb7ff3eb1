//! A connection between two processes, over which both ends send requests and responses.
//!
//! One task writes the queued messages and one reads; each incoming request is handled by a task of its own.
//!
//! **Locks.** One lock guards the requests in flight. It is never held across an await.

use crate::error::RpcError;
use crate::handshake::{FrameSink, FrameSource};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use lilacpitch_fleet::error::FrameError;
use lilacpitch_fleet::message::{Body, Hello, RejectReason, Request, Response, Role};
use lilacpitch_gossip::Keys;
use parking_lot::Mutex;
use rand::Rng;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};

/// Most messages that may be queued for writing.
const OUTBOX_CAPACITY: usize = 1_024;
/// Most requests of one connection that are handled concurrently; more are rejected as overload.
const MAX_CONCURRENT_REQUESTS: usize = 256;
/// The retry delay that a rejected request is given, in milliseconds.
const RETRY_AFTER_MS: u32 = 50;

/// How this process identifies itself on its connections.
#[derive(Debug, Clone)]
pub struct LocalIdentity {
    /// The name of the process, unique in the fleet.
    pub name: String,
    /// The incarnation: when the process started, in nanoseconds since 1970.
    pub incarnation: u64,
    /// The role of the process in the fleet.
    pub role: Role,
    /// The keys in force, which seal and open frames.
    pub keys: Keys,
}

/// A future that resolves to the response to a request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Handles the requests of the other end.
pub trait RequestHandler: Send + Sync {
    /// Handles one request. The future is dropped if the connection ends before it completes.
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, request: Request) -> ResponseFuture;
}

/// Why the writer task of a connection failed.
#[derive(Debug, Error)]
enum WriteError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Stream(#[from] std::io::Error),
}

/// An established connection. Its tasks end when it is closed.
#[derive(Debug)]
pub struct RpcConnection {
    /// The Hello of the other end.
    pub peer: Hello,
    outbox: mpsc::Sender<Body>,
    /// Requests that await a response, by id; `None` once the connection is closed.
    in_flight: Mutex<Option<HashMap<u64, oneshot::Sender<Response>>>>,
    next_request_id: AtomicU64,
    closed: watch::Sender<bool>,
}

impl RpcConnection {
    /// Starts the tasks of a connection whose handshake is complete.
    pub(crate) fn spawn(
        peer: Hello,
        source: FrameSource,
        sink: FrameSink,
        handler: Arc<dyn RequestHandler>,
    ) -> Arc<Self> {
        let (outbox, queue) = mpsc::channel(OUTBOX_CAPACITY);
        let connection = Arc::new(RpcConnection {
            peer,
            outbox,
            in_flight: Mutex::new(Some(HashMap::new())),
            next_request_id: AtomicU64::new(1),
            closed: watch::Sender::new(false),
        });
        tokio::spawn(run_writer(connection.clone(), queue, sink));
        tokio::spawn(run_reader(connection.clone(), source, handler));
        connection
    }

    /// Sends a request and awaits the response for up to `timeout`. A response that arrives later is dropped.
    ///
    /// # Errors
    /// [`RpcError::Closed`], [`RpcError::Backlog`] or [`RpcError::TimedOut`].
    pub async fn request(&self, request: Request, timeout: Duration) -> Result<Response, RpcError> {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (responder, response) = oneshot::channel();
        match self.in_flight.lock().as_mut() {
            Some(in_flight) => drop(in_flight.insert(id, responder)),
            None => return Err(RpcError::Closed),
        }
        let abandon = |error| {
            self.in_flight.lock().as_mut().and_then(|in_flight| in_flight.remove(&id));
            error
        };
        match self.outbox.try_send(Body::Request(id, request)) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => return Err(abandon(RpcError::Backlog)),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(abandon(RpcError::Closed)),
        }
        match tokio::time::timeout(timeout, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(RpcError::Closed),
            Err(_) => Err(abandon(RpcError::TimedOut)),
        }
    }

    /// Closes the connection; requests in flight fail at once. A half-open connection is detected only by
    /// requests that time out.
    pub fn close(&self) {
        self.closed.send_replace(true);
        // Dropping the responders fails the requests in flight.
        self.in_flight.lock().take();
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the connection is closed.
    pub async fn ended(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|closed| *closed).await;
    }

    fn complete(&self, id: u64, response: Response) {
        let responder = self.in_flight.lock().as_mut().and_then(|in_flight| in_flight.remove(&id));
        // A late or duplicate response has no responder and is dropped.
        if let Some(responder) = responder {
            let _ = responder.send(response);
        }
    }
}

async fn run_writer(connection: Arc<RpcConnection>, mut queue: mpsc::Receiver<Body>, mut sink: FrameSink) {
    tokio::select! {
        result = write_queue(&mut queue, &mut sink) => if let Err(error) = result {
            tracing::debug!(peer = connection.peer.name, %error, "writing to peer failed");
        },
        () = connection.ended() => {}
    }
    connection.close();
}

/// Writes queued messages until the queue is closed. A message that is too long ends the connection.
async fn write_queue(queue: &mut mpsc::Receiver<Body>, sink: &mut FrameSink) -> Result<(), WriteError> {
    while let Some(body) = queue.recv().await {
        let frame = sink.writer.seal(&body, sink.rng.random())?;
        sink.stream.feed(Bytes::from(frame)).await?;
        if queue.is_empty() {
            SinkExt::<Bytes>::flush(&mut sink.stream).await?;
        }
    }
    Ok(())
}

async fn run_reader(
    connection: Arc<RpcConnection>,
    mut source: FrameSource,
    handler: Arc<dyn RequestHandler>,
) {
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let reason = loop {
        let frame = tokio::select! {
            frame = source.stream.next() => frame,
            () = connection.ended() => break "closed by this end".to_string(),
        };
        let body = match frame {
            Some(Ok(bytes)) => source.reader.open(&bytes),
            Some(Err(error)) => break error.to_string(),
            None => break "closed by the other end".into(),
        };
        match body {
            Ok(body) => handle_body(&connection, body, &handler, &slots),
            Err(error) => {
                tracing::warn!(peer = connection.peer.name, %error, "frame rejected");
                break error.to_string();
            }
        }
    };
    tracing::debug!(peer = connection.peer.name, reason, "peer connection closed");
    connection.close();
}

fn handle_body(
    connection: &Arc<RpcConnection>,
    body: Body,
    handler: &Arc<dyn RequestHandler>,
    slots: &Arc<Semaphore>,
) {
    match body {
        Body::Hello(_) => {}
        Body::Answer(id, response) => connection.complete(id, response),
        Body::Request(id, request) => {
            let Ok(slot) = slots.clone().try_acquire_owned() else {
                let overloaded = Response::Rejected(RejectReason::Overloaded { wait_ms: RETRY_AFTER_MS });
                let _ = connection.outbox.try_send(Body::Answer(id, overloaded));
                return;
            };
            let (connection, handler) = (connection.clone(), handler.clone());
            tokio::spawn(async move {
                let handled = handler.handle(connection.clone(), request);
                tokio::select! {
                    response = handled => drop(connection.outbox.send(Body::Answer(id, response)).await),
                    () = connection.ended() => {}
                }
                drop(slot);
            });
        }
    }
}
