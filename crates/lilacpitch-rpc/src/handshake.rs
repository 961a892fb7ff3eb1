//! The handshake of a connection: each end sends a Hello. After that both ends have the same role in the
//! protocol.

use crate::connection::{LocalIdentity, RequestHandler, RpcConnection};
use crate::error::RpcError;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use lilacpitch_fleet::frame::{FrameReader, FrameWriter, MAX_FRAME_BYTES};
use lilacpitch_fleet::message::{Body, Hello, Role, VERSION};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Longest frame in bytes before the other end has shown by its Hello that it has the key. A longer one could make
/// anyone who connects occupy as much memory as the longest message.
const MAX_HELLO_FRAME_BYTES: usize = 4 * 1024;

/// The receiving half of a connection.
pub(crate) struct FrameSource {
    pub(crate) stream: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    pub(crate) reader: FrameReader,
}

/// The sending half of a connection.
pub(crate) struct FrameSink {
    pub(crate) stream: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    pub(crate) writer: FrameWriter,
    /// Generates the nonces of frames.
    pub(crate) rng: StdRng,
}

/// Connects to the process with this role and performs the handshake; each of the two may take up to `timeout`.
///
/// # Errors
/// [`RpcError::Unreachable`] if no connection could be made, [`RpcError::WrongPeer`] if another process listens at
/// the address by now; otherwise the errors of [`accept`].
pub async fn connect(
    address: SocketAddr,
    role: &Role,
    identity: &LocalIdentity,
    handler: Arc<dyn RequestHandler>,
    timeout: Duration,
) -> Result<Arc<RpcConnection>, RpcError> {
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(RpcError::Unreachable(address, error)),
        Err(_) => return Err(RpcError::Unreachable(address, timed_out())),
    };
    let established = handshake(stream, identity, timeout).await?;
    if established.peer.role != *role {
        return Err(RpcError::WrongPeer { address, expected: role.clone(), found: established.peer.role });
    }
    Ok(established.spawn(handler))
}

/// A connection whose handshake is complete.
struct Established {
    peer: Hello,
    source: FrameSource,
    sink: FrameSink,
}

impl Established {
    fn spawn(self, handler: Arc<dyn RequestHandler>) -> Arc<RpcConnection> {
        RpcConnection::spawn(self.peer, self.source, self.sink, handler)
    }
}

/// Performs the handshake on a connected stream, within `timeout`. Both ends do the same.
///
/// # Errors
/// [`RpcError::Handshake`] or [`RpcError::Frame`] if the other end sent no valid Hello in time.
pub async fn accept(
    stream: TcpStream,
    identity: &LocalIdentity,
    handler: Arc<dyn RequestHandler>,
    timeout: Duration,
) -> Result<Arc<RpcConnection>, RpcError> {
    Ok(handshake(stream, identity, timeout).await?.spawn(handler))
}

async fn handshake(
    stream: TcpStream,
    identity: &LocalIdentity,
    timeout: Duration,
) -> Result<Established, RpcError> {
    let _ = stream.set_nodelay(true);
    let codec = |max_bytes| LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec();
    let (read_half, write_half) = stream.into_split();
    let mut rng =
        StdRng::try_from_os_rng().map_err(|error| handshake_error(format!("no random numbers: {error}")))?;
    let nonce: u64 = rng.random_range(1..=u64::MAX);
    let mut source = FrameSource {
        stream: FramedRead::new(read_half, codec(MAX_HELLO_FRAME_BYTES)),
        reader: FrameReader::new(identity.keys.clone(), nonce),
    };
    let mut sink = FrameSink {
        stream: FramedWrite::new(write_half, codec(MAX_FRAME_BYTES)),
        writer: FrameWriter::new(identity.keys.clone()),
        rng,
    };
    let hello = own_hello(identity, nonce);
    let first_frame = sink.writer.seal(&Body::Hello(hello), sink.rng.random())?;
    let exchange = exchange_hellos(&mut source, &mut sink, first_frame);
    let peer = match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(Body::Hello(peer))) => peer,
        Ok(Ok(_)) => return Err(handshake_error("the first message is not a Hello")),
        Ok(Err(error)) => return Err(error),
        Err(_) => return Err(handshake_error("no Hello in time")),
    };
    sink.writer.set_peer(&peer);
    source.stream.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok(Established { peer, source, sink })
}

fn own_hello(identity: &LocalIdentity, nonce: u64) -> Hello {
    Hello {
        version: VERSION,
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        role: identity.role.clone(),
        nonce,
    }
}

async fn exchange_hellos(
    source: &mut FrameSource,
    sink: &mut FrameSink,
    first_frame: Vec<u8>,
) -> Result<Body, RpcError> {
    sink.stream.send(Bytes::from(first_frame)).await.map_err(|error| handshake_error(error.to_string()))?;
    match source.stream.next().await {
        Some(Ok(bytes)) => source.reader.open(&bytes).map_err(RpcError::from),
        Some(Err(error)) => Err(handshake_error(error.to_string())),
        None => Err(handshake_error("closed by the other end")),
    }
}

fn handshake_error(reason: impl Into<String>) -> RpcError {
    RpcError::Handshake(reason.into())
}
