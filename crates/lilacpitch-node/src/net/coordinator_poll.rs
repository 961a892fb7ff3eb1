//! One poll of the coordinator over HTTP/1.1. Sizes and times are bounded.
//!
//! The events in the body of a response are parsed by [`crate::coordinator`].

use crate::coordinator::{parse_response, PollResponse, PollResponseError};
use lilacpitch_protocol::http::{self, HeadError};
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::string::FromUtf8Error;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the coordinator may hold its response back while it has no new events. It is short because events
/// that a coordinator withholds count as delivered from the end of this time.
const HOLD: Duration = Duration::from_millis(1500);
/// After this time a response is late, and the coordinator is polled again beside it.
pub(super) const LATE_AFTER: Duration = HOLD.saturating_add(Duration::from_millis(400));
/// How long a response is awaited.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// Why a poll failed.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The connection could not be established: check that the coordinator runs, and its address in the
    /// configuration.
    #[error("connecting: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not established in time.
    #[error("connection timed out")]
    ConnectTimeout,
    /// The response was not complete in time.
    #[error("response timed out")]
    ResponseTimeout,
    /// The request could not be written.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// The response could not be read.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// The connection was closed before the response was complete.
    #[error("connection closed before the response was complete")]
    ClosedEarly,
    /// The head of the response is malformed.
    #[error("{0}")]
    Head(#[from] HeadError),
    /// The status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// `Content-Length` is not a number, or over the limit.
    #[error("invalid Content-Length")]
    ContentLength,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("response body longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// A chunk does not begin with a line with its size.
    #[error("chunk without size")]
    ChunkSizeMissing,
    /// The size of a chunk is not a hexadecimal number.
    #[error("chunk size: {0}")]
    ChunkSize(#[source] ParseIntError),
    /// The body is not UTF-8.
    #[error("{0}")]
    NotText(#[from] FromUtf8Error),
    /// The body is not JSON, or lacks a field.
    #[error("{0}")]
    Events(#[from] PollResponseError),
}

impl PollError {
    /// Whether the connection was established, so that the coordinator or the connection to it has failed.
    pub(super) fn is_connected(&self) -> bool {
        !matches!(self, PollError::Connect(_) | PollError::ConnectTimeout)
    }
}

/// The result of a successful poll.
pub(super) struct Polled {
    /// The number of the event after which events were requested.
    pub after_index: u64,
    /// The response.
    pub response: PollResponse,
    /// The connection, if it can be reused.
    pub connection: Option<TcpStream>,
}

/// Polls once for the events after `after_index`, on the given connection or a new one.
pub(super) async fn poll(
    connection: Option<TcpStream>,
    address: SocketAddr,
    after_index: u64,
) -> Result<Polled, PollError> {
    let mut stream = match connection {
        Some(stream) => stream,
        None => connect(address).await?,
    };
    let exchange = timeout(RESPONSE_TIMEOUT, exchange(&mut stream, address, after_index));
    let body = exchange.await.map_err(|_| PollError::ResponseTimeout)??;
    let response = parse_response(&String::from_utf8(body.bytes)?)?;
    Ok(Polled { after_index, response, connection: body.is_reusable.then_some(stream) })
}

async fn connect(address: SocketAddr) -> Result<TcpStream, PollError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    connected.map_err(|_| PollError::ConnectTimeout)?.map_err(PollError::Connect)
}

/// The body of a response, and whether its connection can be reused.
struct Body {
    bytes: Vec<u8>,
    is_reusable: bool,
}

/// Sends the request and reads its response.
async fn exchange(stream: &mut TcpStream, address: SocketAddr, index: u64) -> Result<Body, PollError> {
    let target = format!("/v2/stream?follow={index}&wait_ms={}", HOLD.as_millis());
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(request.as_bytes()).await.map_err(PollError::Write)?;
    read_response(stream).await
}

/// Reads one response (RFC 9112 section 6.3 and 9.3).
async fn read_response(stream: &mut TcpStream) -> Result<Body, PollError> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some((head, head_length)) = http::response(&bytes)? {
            bytes.drain(..head_length);
            break head;
        }
        read_more(stream, &mut bytes).await?;
    };
    if head.status != 200 {
        return Err(PollError::Status(head.status));
    }
    let is_reusable = !head.fields.lists("Connection", "close");
    if head.fields.lists("Transfer-Encoding", "chunked") {
        return Ok(Body { bytes: read_chunked(stream, bytes).await?, is_reusable });
    }
    match head.fields.get("Content-Length").map(str::parse::<usize>) {
        Some(Ok(length)) if length <= MAX_BODY_BYTES => {
            while bytes.len() < length {
                read_more(stream, &mut bytes).await?;
            }
            bytes.truncate(length);
            Ok(Body { bytes, is_reusable })
        }
        Some(_) => Err(PollError::ContentLength),
        None => Ok(Body { bytes: read_to_close(stream, bytes).await?, is_reusable: false }),
    }
}

/// Reads a body that ends with the close of the connection.
async fn read_to_close(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Result<Vec<u8>, PollError> {
    loop {
        match stream.read_buf(&mut bytes).await {
            Ok(0) => return Ok(bytes),
            Ok(_) if bytes.len() <= MAX_BODY_BYTES => {}
            Ok(_) => return Err(PollError::BodyTooLong),
            Err(error) => return Err(PollError::Read(error)),
        }
    }
}

/// Reads a chunked body (RFC 9112 section 7.1) without trailers.
async fn read_chunked(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Result<Vec<u8>, PollError> {
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            match bytes.windows(2).position(|pair| pair == b"\r\n") {
                Some(end) => break end,
                None if bytes.len() > MAX_CHUNK_LINE_BYTES => return Err(PollError::ChunkSizeMissing),
                None => read_more(stream, &mut bytes).await?,
            }
        };
        let size = chunk_size(&bytes[..line_end])?;
        if body.len().saturating_add(size) > MAX_BODY_BYTES {
            return Err(PollError::BodyTooLong);
        }
        bytes.drain(..line_end + 2);
        while bytes.len() < size + 2 {
            read_more(stream, &mut bytes).await?;
        }
        body.extend_from_slice(&bytes[..size]);
        bytes.drain(..size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Parses the size on the first line of a chunk, without extensions.
fn chunk_size(line: &[u8]) -> Result<usize, PollError> {
    let text = std::str::from_utf8(line).unwrap_or("");
    let digits = text.split(';').next().unwrap_or("").trim();
    usize::from_str_radix(digits, 16).map_err(PollError::ChunkSize)
}

/// Reads more bytes of an incomplete response.
async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Result<(), PollError> {
    match stream.read_buf(bytes).await {
        Ok(0) => Err(PollError::ClosedEarly),
        Ok(_) => Ok(()),
        Err(error) => Err(PollError::Read(error)),
    }
}
