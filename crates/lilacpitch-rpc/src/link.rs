//! One connection between two processes.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use lilacpitch_fleet::error::FrameError;
use lilacpitch_fleet::frame::{FrameReader, FrameWriter, MAX_FRAME_BYTES};
use lilacpitch_fleet::message::{Body, Hello, RejectReason, Request, Response, Role, VERSION};
use lilacpitch_gossip::Keys;
use miette::Diagnostic;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Messages that may wait to be written.
const QUEUE: usize = 1_024;
/// Questions of one connection that are worked on at once; more are told 'full'.
const SERVED_AT_ONCE: usize = 256;
/// What one that is told so is told to wait.
const FULL_WAIT_MS: u32 = 50;

/// Who speaks from here.
#[derive(Debug, Clone)]
pub struct LocalIdentity {
    /// The process's name.
    pub name: String,
    /// This life.
    pub incarnation: u64,
    /// What it is.
    pub role: Role,
    /// The keys in force.
    pub keys: Keys,
}

/// The answer to a question, in the making.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// What answers the other end's questions.
pub trait RequestHandler: Send + Sync {
    /// Answers one. Dropped where the connection ends meanwhile.
    fn handle(self: Arc<Self>, from: Arc<RpcConnection>, ask: Request) -> ResponseFuture;
}

/// Why a connection or a question over it failed.
#[derive(Debug, Error, Diagnostic)]
pub enum RpcError {
    /// No connection.
    #[error("connecting to {0}: {1}")]
    #[diagnostic(code(link::unreached), help("start that process, or correct its address in the settings"))]
    Unreachable(SocketAddr, std::io::Error),
    /// The other end says no Hello, or not in time.
    #[error("no greeting: {0}")]
    #[diagnostic(
        code(link::greeting),
        help("see what listens at that address, and whether both hold one key")
    )]
    Handshake(String),
    /// A frame was refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Frame(#[from] FrameError),
    /// The connection is gone.
    #[error("the connection is gone")]
    #[diagnostic(code(link::closed), help("none needed: it is made again"))]
    Closed,
    /// No answer in time.
    #[error("no answer in time")]
    #[diagnostic(
        code(link::late),
        help("look at the other process: it stands still, or the way to it is cut")
    )]
    TimedOut,
    /// More waits to be written than may.
    #[error("the other end does not read")]
    #[diagnostic(code(link::backlog), help("look at the other process: it has no processor time"))]
    Backlog,
}

/// One connection.
#[derive(Debug)]
pub struct RpcConnection {
    /// The other end, as it says itself.
    pub peer: Hello,
    out: mpsc::Sender<Body>,
    /// Questions that wait for their answers, by number; none once it is closed.
    asked: Mutex<Option<HashMap<u64, oneshot::Sender<Response>>>>,
    next: AtomicU64,
    closed: watch::Sender<bool>,
}

impl RpcConnection {
    /// Asks the other end. An answer that comes later is dropped.
    pub async fn request(&self, request: Request, patience: Duration) -> Result<Response, RpcError> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (give, take) = oneshot::channel();
        match self.asked.lock().as_mut() {
            Some(asked) => drop(asked.insert(id, give)),
            None => return Err(RpcError::Closed),
        }
        let forget = |error| {
            self.asked.lock().as_mut().and_then(|asked| asked.remove(&id));
            error
        };
        match self.out.try_send(Body::Request(id, request)) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => return Err(forget(RpcError::Backlog)),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(forget(RpcError::Closed)),
        }
        match tokio::time::timeout(patience, take).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(RpcError::Closed),
            Err(_) => Err(forget(RpcError::TimedOut)),
        }
    }

    /// Ends it: half-open ones are found by answers that do not come.
    pub fn close(&self) {
        self.closed.send_replace(true);
        // Who waits hears at once that it is closed.
        self.asked.lock().take();
    }

    /// Whether it has ended.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Comes back when it has ended.
    pub async fn ended(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

/// Connects and greets.
pub async fn connect(
    address: SocketAddr,
    me: &LocalIdentity,
    serve: Arc<dyn RequestHandler>,
    patience: Duration,
) -> Result<Arc<RpcConnection>, RpcError> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = match tokio::time::timeout(patience, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(RpcError::Unreachable(address, error)),
        Err(_) => return Err(RpcError::Unreachable(address, late())),
    };
    accept(stream, me, serve, patience).await
}

/// Greets whoever connected: both ends do the same.
pub async fn accept(
    stream: TcpStream,
    me: &LocalIdentity,
    serve: Arc<dyn RequestHandler>,
    patience: Duration,
) -> Result<Arc<RpcConnection>, RpcError> {
    let wrong = |what: &str| RpcError::Handshake(what.into());
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let (read, write) = stream.into_split();
    let mut read = FramedRead::new(read, codec.clone());
    let mut write = FramedWrite::new(write, codec);
    let mut rng = StdRng::try_from_os_rng().map_err(|e| wrong(&format!("no randomness: {e}")))?;
    let nonce: u64 = rng.random_range(1..=u64::MAX);
    let hello = Hello {
        version: VERSION,
        name: me.name.clone(),
        incarnation: me.incarnation,
        role: me.role.clone(),
        nonce,
    };
    let (mut reader, mut writer) =
        (FrameReader::new(me.keys.clone(), nonce), FrameWriter::new(me.keys.clone()));
    let first = writer.seal(&Body::Hello(hello), rng.random())?;
    let greeting = async {
        write.send(Bytes::from(first)).await.map_err(|e| wrong(&e.to_string()))?;
        match read.next().await {
            Some(Ok(bytes)) => reader.open(&bytes).map_err(RpcError::from),
            Some(Err(error)) => Err(wrong(&error.to_string())),
            None => Err(wrong("closed")),
        }
    };
    let peer = match tokio::time::timeout(patience, greeting).await {
        Ok(Ok(Body::Hello(peer))) => peer,
        Ok(Ok(_)) => return Err(wrong("not a Hello")),
        Ok(Err(error)) => return Err(error),
        Err(_) => return Err(wrong("not in time")),
    };
    writer.set_peer(&peer);
    let (out, mut queue) = mpsc::channel(QUEUE);
    let asked = Mutex::new(Some(HashMap::new()));
    let link = Arc::new(RpcConnection {
        peer,
        out,
        asked,
        next: AtomicU64::new(1),
        closed: watch::Sender::new(false),
    });
    let of = link.clone();
    tokio::spawn(async move {
        let written = async {
            while let Some(body) = queue.recv().await {
                // A message that is too long is not said; who asked hears nothing in time.
                match writer.seal(&body, rng.random()) {
                    Ok(frame) => write.feed(Bytes::from(frame)).await.map_err(|e| e.to_string())?,
                    Err(error) => return Err(error.to_string()),
                }
                if queue.is_empty() {
                    SinkExt::<Bytes>::flush(&mut write).await.map_err(|e| e.to_string())?;
                }
            }
            Ok::<(), String>(())
        };
        tokio::select! {
            done = written => if let Err(error) = done {
                tracing::debug!(peer = of.peer.name, error, "writing to a process ended");
            },
            () = of.ended() => {}
        }
        of.close();
    });
    let of = link.clone();
    tokio::spawn(async move {
        let at_once = Arc::new(Semaphore::new(SERVED_AT_ONCE));
        let why = loop {
            let bytes = tokio::select! {
                bytes = read.next() => bytes,
                () = of.ended() => break "ended here".to_string(),
            };
            let body = match bytes {
                Some(Ok(bytes)) => reader.open(&bytes),
                Some(Err(error)) => break error.to_string(),
                None => break "closed by the other end".into(),
            };
            match body {
                Ok(body) => heard(&of, body, &serve, &at_once),
                Err(error) => {
                    tracing::warn!(peer = of.peer.name, %error, "frame refused");
                    break error.to_string();
                }
            }
        };
        tracing::debug!(peer = of.peer.name, why, "link ended");
        of.close();
    });
    Ok(link)
}

fn heard(link: &Arc<RpcConnection>, body: Body, serve: &Arc<dyn RequestHandler>, at_once: &Arc<Semaphore>) {
    match body {
        Body::Hello(_) => {}
        Body::Answer(id, response) => {
            let waiting = link.asked.lock().as_mut().and_then(|asked| asked.remove(&id));
            // Late or doubled: nobody waits for it.
            if let Some(give) = waiting {
                let _ = give.send(response);
            }
        }
        Body::Request(id, request) => {
            let Ok(permit) = at_once.clone().try_acquire_owned() else {
                let full = Response::Rejected(RejectReason::Overloaded { wait_ms: FULL_WAIT_MS });
                let _ = link.out.try_send(Body::Answer(id, full));
                return;
            };
            let (link, serve) = (link.clone(), serve.clone());
            tokio::spawn(async move {
                let served = serve.handle(link.clone(), request);
                tokio::select! {
                    response = served => drop(link.out.send(Body::Answer(id, response)).await),
                    () = link.ended() => {}
                }
                drop(permit);
            });
        }
    }
}
