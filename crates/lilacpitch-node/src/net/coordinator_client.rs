//! Follows the coordinator: one ask after the other, each with an end.

use super::driver::News;
use crate::coordinator::{parse_response, EventFollower, PollResponse};
use crate::core::Input;
use lilacpitch_protocol::http;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

/// How long an answer may be held back at the coordinator. Short: what a silent one would have told counts from its
/// end on.
const WAIT: Duration = Duration::from_millis(1500);
/// How much later than that an answer is no longer waited for.
const SLACK: Duration = Duration::from_millis(400);
/// Longest answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Pauses while no connection can be made: the first, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Pauses while connections are made and bring nothing: what a broken watch would have told counts as told soon.
const BROKEN_PAUSE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));

/// Follows until nobody listens. `at`: where the coordinator is, which may change.
pub(super) async fn follow(
    known: PollResponse,
    mut at: watch::Receiver<SocketAddr>,
    news: mpsc::Sender<News>,
) {
    let mut follower = EventFollower::default();
    let (mut pause, mut broken_pause) = (PAUSE.0, BROKEN_PAUSE.0);
    if tell(&mut follower, known, &news).await.is_none() {
        return;
    }
    let mut connection = None;
    loop {
        let address = *at.borrow_and_update();
        let from = Instant::now();
        let asked = tokio::select! {
            asked = ask(&mut connection, address, follower.index()) => asked,
            changed = at.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("coordinator moved");
                connection = None;
                continue;
            }
        };
        match asked {
            Ok(told) => {
                pause = PAUSE.0;
                let Some(events) = tell(&mut follower, told, &news).await else { return };
                if events > 0 || from.elapsed() > BROKEN_PAUSE.1 {
                    broken_pause = BROKEN_PAUSE.0;
                } else {
                    // It answers at once, and has nothing to tell.
                    rest(&mut broken_pause, BROKEN_PAUSE.1, &mut at).await;
                }
            }
            Err((connected, why)) => {
                connection = None;
                tracing::debug!(%address, why, "coordinator");
                if connected {
                    let _ = news.send(News::Malformed("coordinator's answer", why)).await;
                    pause = PAUSE.0;
                    rest(&mut broken_pause, BROKEN_PAUSE.1, &mut at).await;
                    continue;
                }
                tracing::warn!(%address, why, "coordinator not reached");
                rest(&mut pause, PAUSE.1, &mut at).await;
            }
        }
    }
}

/// Rests for a pause, which grows, or until the coordinator has moved.
async fn rest(pause: &mut Duration, most: Duration, at: &mut watch::Receiver<SocketAddr>) {
    let moved = async |at: &mut watch::Receiver<SocketAddr>| match at.has_changed() {
        Ok(_) => drop(at.changed().await),
        // Nobody will move it: its owner has gone, and the next ask notices.
        Err(_) => std::future::pending().await,
    };
    tokio::select! {
        () = tokio::time::sleep(*pause) => *pause = (*pause * 2).min(most),
        // Looked at again where the coordinator is.
        () = moved(at) => at.mark_changed(),
    }
}

/// Tells the events of an answer: how many; `None`, nobody listens.
async fn tell(follower: &mut EventFollower, told: PollResponse, news: &mpsc::Sender<News>) -> Option<usize> {
    let events = follower.accept(told);
    let count = events.len();
    for endpoints in events {
        news.send(News::Input(Input::EndpointsUpdated(endpoints))).await.ok()?;
    }
    Some(count)
}

/// Asks once, on the connection that is there or on a new one. An error says whether there was one.
async fn ask(
    connection: &mut Option<TcpStream>,
    address: SocketAddr,
    index: u64,
) -> Result<PollResponse, (bool, String)> {
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => match timeout(PAUSE.1, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err((false, error.to_string())),
            Err(_) => return Err((false, "no connection in time".into())),
        },
    };
    let target = format!("/v2/stream?follow={index}&wait_ms={}", WAIT.as_millis());
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    let answer = timeout(WAIT + SLACK, async {
        stream.write_all(request.as_bytes()).await.map_err(|e| e.to_string())?;
        answer(&mut stream).await
    });
    let (body, again) = match answer.await {
        Ok(Ok(answer)) => answer,
        Ok(Err(why)) => return Err((true, why)),
        Err(_) => return Err((true, "silent".into())),
    };
    let text = String::from_utf8(body).map_err(|e| (true, e.to_string()))?;
    let told = parse_response(&text).map_err(|e| (true, e.to_string()))?;
    *connection = again.then_some(stream);
    Ok(told)
}

/// Reads one answer's body, and whether the connection may be used again (RFC 9112 section 6.3 and 9.3).
async fn answer(stream: &mut TcpStream) -> Result<(Vec<u8>, bool), String> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some((head, taken)) = http::response(&bytes).map_err(|e| e.to_string())? {
            bytes.drain(..taken);
            break head;
        }
        more(stream, &mut bytes).await?;
    };
    if head.status != 200 {
        return Err(format!("status {}", head.status));
    }
    let again = !head.fields.lists("Connection", "close");
    if head.fields.lists("Transfer-Encoding", "chunked") {
        return Ok((chunked(stream, bytes).await?, again));
    }
    let length = head.fields.get("Content-Length").map(str::parse::<usize>);
    match length {
        Some(Ok(length)) if length <= MAX_ANSWER_BYTES => {
            while bytes.len() < length {
                more(stream, &mut bytes).await?;
            }
            bytes.truncate(length);
            Ok((bytes, again))
        }
        Some(_) => Err("Content-Length can't be used".into()),
        None => {
            // To the connection's end.
            loop {
                match stream.read_buf(&mut bytes).await {
                    Ok(0) => return Ok((bytes, false)),
                    Ok(_) if bytes.len() <= MAX_ANSWER_BYTES => {}
                    Ok(_) => return Err("answer too long".into()),
                    Err(e) => return Err(format!("reading: {e}")),
                }
            }
        }
    }
}

/// A chunked body (RFC 9112 section 7.1), without trailers.
async fn chunked(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            match bytes.windows(2).position(|w| w == b"\r\n") {
                Some(end) => break end,
                None if bytes.len() > 64 => return Err("chunk without a size".into()),
                None => more(stream, &mut bytes).await?,
            }
        };
        let size = std::str::from_utf8(&bytes[..end]).unwrap_or("").split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|e| format!("chunk size: {e}"))?;
        if body.len().saturating_add(size) > MAX_ANSWER_BYTES {
            return Err("answer too long".into());
        }
        bytes.drain(..end + 2);
        while bytes.len() < size + 2 {
            more(stream, &mut bytes).await?;
        }
        body.extend_from_slice(&bytes[..size]);
        bytes.drain(..size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

async fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Result<(), String> {
    match stream.read_buf(bytes).await {
        Ok(0) => Err("broke off".into()),
        Ok(_) => Ok(()),
        Err(e) => Err(format!("reading: {e}")),
    }
}
