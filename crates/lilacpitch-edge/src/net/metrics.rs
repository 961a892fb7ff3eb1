//! Serves the operators' pages over HTTP on a separate address: `/metrics`, `/peers`, and those of the
//! fleet's agent.

use super::connection::read_head;
use super::driver_event::DriverEvent;
use crate::core::EdgeCore;
use crate::fleet::ToAgent;
use lilacpitch_protocol::handshake::plain_response;
use lilacpitch_protocol::http;
use std::fmt::Write;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Time limit for one request, and the wait after a connection could not be accepted.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves requests until the driver has ended.
pub(super) async fn serve(
    listener: TcpListener,
    events: mpsc::Sender<DriverEvent>,
    agent: Option<mpsc::Sender<ToAgent>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (events, agent) = (events.clone(), agent.clone());
                // Each request has a task of its own: a search in the fleet may take long, and must not delay
                // others.
                tokio::task::spawn_local(async move {
                    let _ =
                        tokio::time::timeout(REQUEST_TIMEOUT, answer(stream, &events, agent.as_ref())).await;
                });
            }
            Err(error) => {
                tracing::warn!(%error, "metrics connection not accepted");
                tokio::time::sleep(REQUEST_TIMEOUT).await;
            }
        }
        if events.is_closed() {
            return;
        }
    }
}

async fn answer(
    mut stream: TcpStream,
    events: &mpsc::Sender<DriverEvent>,
    agent: Option<&mpsc::Sender<ToAgent>>,
) -> Option<()> {
    let response = match read_head(&mut stream, http::request).await {
        Ok((request, _)) if request.method == "GET" && ["/metrics", "/peers"].contains(&&*request.target) => {
            let (reply, page) = oneshot::channel();
            let event = if request.target == "/peers" {
                DriverEvent::PeersPage(reply)
            } else {
                DriverEvent::MetricsPage(reply)
            };
            events.send(event).await.ok()?;
            plain_response("200 OK", "", &page.await.ok()?)
        }
        Ok((request, _)) if request.method == "GET" && agent.is_some() => {
            let (reply, page) = oneshot::channel();
            agent?.send(ToAgent::Page(request.target, reply)).await.ok()?;
            match page.await.ok()? {
                Some(page) => plain_response("200 OK", "", &page),
                None => plain_response("404 Not Found", "", "GET /metrics, /peers, /fleet or /locate\n"),
            }
        }
        Ok(_) => plain_response("404 Not Found", "", "GET /metrics or /peers\n"),
        Err(error) => plain_response("400 Bad Request", "", &format!("{error}\n")),
    };
    stream.write_all(&response).await.ok()?;
    stream.shutdown().await.ok()
}

/// The metrics page.
pub(super) fn page(core: &EdgeCore) -> String {
    let mut out = String::new();
    core.counters().append_page(&mut out);
    let (unanswered, established) = core.call_counts();
    // Writing to a String cannot fail.
    let _ = write!(
        out,
        "# TYPE lilacpitch_calls_owed gauge\nlilacpitch_calls_owed {unanswered}\n\
         # TYPE lilacpitch_calls_standing gauge\nlilacpitch_calls_standing {established}\n\
         # TYPE lilacpitch_callers gauge\nlilacpitch_callers {}\n\
         # TYPE lilacpitch_server_connected gauge\n# TYPE lilacpitch_server_attempts gauge\n",
        core.caller_count()
    );
    for server in core.servers() {
        let (name, is_connected) = (&server.name, u8::from(server.is_connected));
        let _ = writeln!(out, "lilacpitch_server_connected{{server=\"{name}\"}} {is_connected}");
        let _ = writeln!(out, "lilacpitch_server_attempts{{server=\"{name}\"}} {}", server.attempts);
    }
    out
}
