//! `GET /metrics` on its own address: a page of what the front counts.

use super::connection::read_head;
use super::driver_event::News;
use crate::core::EdgeCore;
use crate::fleet::ToAgent;
use lilacpitch_protocol::handshake::plain_response;
use lilacpitch_protocol::http;
use std::fmt::Write;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// How long one reader may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// Serves readers, until nobody listens.
pub(super) async fn serve(
    listener: TcpListener,
    news: mpsc::Sender<News>,
    agent: Option<mpsc::Sender<ToAgent>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (news, agent) = (news.clone(), agent.clone());
                // A search in the fleet may take a while: others are served meanwhile.
                tokio::task::spawn_local(async move {
                    let _ = tokio::time::timeout(PATIENCE, answer(stream, &news, agent.as_ref())).await;
                });
            }
            Err(error) => {
                tracing::warn!(%error, "metrics: not accepted");
                tokio::time::sleep(PATIENCE).await;
            }
        }
        if news.is_closed() {
            return;
        }
    }
}

async fn answer(
    mut stream: TcpStream,
    news: &mpsc::Sender<News>,
    agent: Option<&mpsc::Sender<ToAgent>>,
) -> Option<()> {
    let response = match read_head(&mut stream, http::request).await {
        Ok((request, _)) if request.method == "GET" && ["/metrics", "/peers"].contains(&&*request.target) => {
            let (give, take) = oneshot::channel();
            let ask = if request.target == "/peers" { News::Peers(give) } else { News::Metrics(give) };
            news.send(ask).await.ok()?;
            plain_response("200 OK", "", &take.await.ok()?)
        }
        Ok((request, _)) if request.method == "GET" && agent.is_some() => {
            let (give, take) = oneshot::channel();
            agent?.send(ToAgent::Page(request.target, give)).await.ok()?;
            match take.await.ok()? {
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

/// The page.
pub(super) fn page(front: &EdgeCore) -> String {
    let mut out = String::new();
    front.counters().append_page(&mut out);
    let (owed, standing) = front.call_counts();
    // Writing to a String cannot fail.
    let _ = write!(
        out,
        "# TYPE lilacpitch_calls_owed gauge\nlilacpitch_calls_owed {owed}\n\
         # TYPE lilacpitch_calls_standing gauge\nlilacpitch_calls_standing {standing}\n\
         # TYPE lilacpitch_callers gauge\nlilacpitch_callers {}\n\
         # TYPE lilacpitch_server_connected gauge\n# TYPE lilacpitch_server_attempts gauge\n",
        front.caller_count()
    );
    for server in front.servers() {
        let (name, up) = (&server.name, u8::from(server.is_connected));
        let _ = writeln!(out, "lilacpitch_server_connected{{server=\"{name}\"}} {up}");
        let _ = writeln!(out, "lilacpitch_server_attempts{{server=\"{name}\"}} {}", server.attempts);
    }
    out
}
