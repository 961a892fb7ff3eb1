//! Pages for operators: what a process counts, who acted on which version, how far purges are.

use crate::process::{now, Process};
use lilacpitch_fleet::error::AuditError;
use lilacpitch_fleet::message::{CommandAction, PurgeScope, Request, Response};
use lilacpitch_location::Number;
use lilacpitch_protocol::handshake::plain_response;
use lilacpitch_protocol::http;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long one reader may take.
const PATIENCE: Duration = Duration::from_secs(5);
const PAGES: &str = "GET /metrics, /audit?at=MS, /purges; POST /purge?number=N|prefix=P|holder=NAME|all, \
                     /withdraw?settings=HEX, /reinstate?settings=HEX\n";

/// Serves readers, each on a task of its own.
pub(crate) async fn serve(process: Arc<Process>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let process = process.clone();
                tokio::spawn(async move {
                    let _ = tokio::time::timeout(PATIENCE, answer(stream, process)).await;
                });
            }
            Err(error) => {
                tracing::warn!(%error, "pages: not accepted");
                tokio::time::sleep(PATIENCE).await;
            }
        }
    }
}

async fn answer(mut stream: TcpStream, process: Arc<Process>) -> Option<()> {
    let mut bytes = Vec::new();
    let response = loop {
        match http::request(&bytes) {
            Ok(Some((request, _))) => break page(&process, &request).await,
            Ok(None) => match stream.read_buf(&mut bytes).await {
                Ok(read) if read > 0 => {}
                _ => return None,
            },
            Err(error) => break plain_response("400 Bad Request", "", &format!("{error}\n")),
        }
    };
    stream.write_all(&response).await.ok()?;
    stream.shutdown().await.ok()
}

async fn page(process: &Arc<Process>, request: &http::Request) -> Vec<u8> {
    let (path, asked) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let ok = |body: String| plain_response("200 OK", "", &body);
    match (request.method.as_str(), path) {
        ("GET", "/metrics") => ok(metrics(process)),
        ("GET", "/audit") => match moment(asked) {
            Ok(at_ms) => ok(audit(process, at_ms)),
            Err(error) => plain_response("400 Bad Request", "", &format!("{error}\n")),
        },
        ("GET", "/purges") => match process.up(Request::Progress).await {
            Response::Progress { ordered, complete, missing, missing_count } => {
                let mut body = format!("ordered {ordered}\ncomplete {complete}\nmissing {missing_count}\n");
                for name in missing {
                    let _ = writeln!(body, "missing: {name}");
                }
                ok(body)
            }
            other => unavailable(&other),
        },
        ("POST", "/purge" | "/withdraw" | "/reinstate") => match order(path, asked) {
            Ok(what) => match process.up(Request::Submit(what)).await {
                Response::Committed(position) => ok(format!("ordered {position}\n")),
                other => unavailable(&other),
            },
            Err(what) => plain_response("400 Bad Request", "", &format!("{what}\n")),
        },
        _ => plain_response("404 Not Found", "", PAGES),
    }
}

fn unavailable(other: &Response) -> Vec<u8> {
    let why = match other {
        Response::Rejected(why) => why.to_string(),
        other => format!("{other:?}"),
    };
    plain_response("503 Service Unavailable", "", &format!("{why}\n"))
}

fn order(path: &str, asked: &str) -> Result<CommandAction, String> {
    let (field, value) = asked.split_once('=').unwrap_or((asked, ""));
    let digest = || u64::from_str_radix(value, 16).map_err(|_| format!("settings {value:?}: not hex digits"));
    match (path, field) {
        ("/purge", "number") => {
            let number = Number::new(&value.replace("%23", "#")).map_err(|e| e.to_string())?;
            Ok(CommandAction::Purge(vec![PurgeScope::Number(number)]))
        }
        ("/purge", "prefix") if !value.is_empty() && Number::new(value).is_ok() => {
            Ok(CommandAction::Purge(vec![PurgeScope::Prefix(value.into())]))
        }
        ("/purge", "holder") if !value.is_empty() && value.len() <= 64 => {
            Ok(CommandAction::Purge(vec![PurgeScope::Owner(value.into())]))
        }
        ("/purge", "all") => Ok(CommandAction::Purge(vec![PurgeScope::All])),
        ("/withdraw", "settings") => digest().map(CommandAction::Withdraw),
        ("/reinstate", "settings") => digest().map(CommandAction::Reinstate),
        _ => Err(format!("{path}?{asked}: not an order\n{PAGES}")),
    }
}

/// The moment that is asked for; `None`: what was said last.
fn moment(asked: &str) -> Result<Option<u64>, AuditError> {
    match asked.strip_prefix("at=") {
        None if asked.is_empty() => Ok(None),
        None => Err(AuditError::Moment(asked.into())),
        Some(text) => text.parse().map(Some).map_err(|_| AuditError::Moment(text.into())),
    }
}

/// Which front acted on which version at a moment; without one, what each life has said last, and by how many orders
/// it lags.
fn audit(process: &Process, at_ms: Option<u64>) -> String {
    let mut out = at_ms.map_or("# last said\n".into(), |at_ms| format!("# at {at_ms}\n"));
    let position = process.relay.lock().position();
    process.state.beside(|beside| {
        let all: Vec<_> = match at_ms {
            None => beside.ledger.latest().collect(),
            Some(at_ms) => beside.ledger.active_at(at_ms).collect(),
        };
        for acted in all {
            let lags = match acted.interval.position.log == position.log {
                true => position.index.saturating_sub(acted.interval.moved_to).to_string(),
                false => "other-log".into(),
            };
            let (v, span) = (acted.version, acted.interval);
            let _ = writeln!(
                out,
                "{}\tlife {}\tsettings {:016x}\tlist {:016x}\tbuild {}\tcaches {}\ttakes-calls {}\torders {}..{}\t\
                 since {}\tseen {}\tlags {}",
                acted.front, acted.incarnation, v.settings, v.endpoint_list, v.build, v.uses_cache, v.accepts_calls, span.position,
                span.moved_to, span.from_ms, acted.seen_ms, lags
            );
        }
    });
    out
}

fn metrics(process: &Process) -> String {
    let (relay_position, children) = {
        let relay = process.relay.lock();
        (relay.position(), relay.children(now()).count())
    };
    let (pending, ordered) = process.state.beside(|beside| (beside.outbox.len(), beside.ordered));
    let count = &process.counters;
    let all = [
        ("rows", process.state.register.len() as u64),
        ("changes_not_ordered", pending as u64),
        ("changes_ordered", ordered.index),
        ("orders", relay_position.index),
        ("children", children as u64),
        ("leads", u64::from(process.leads())),
        ("sites_unknown", process.catalogue.read().stale_sites(now()).len() as u64),
        ("found_total", count.found.load(Relaxed)),
        ("full_total", count.full.load(Relaxed)),
        ("behind_total", count.behind.load(Relaxed)),
        ("written_total", count.written.load(Relaxed)),
        ("fenced_total", count.fenced.load(Relaxed)),
        ("granted_total", count.granted.load(Relaxed)),
        ("not_granted_total", count.not_granted.load(Relaxed)),
        ("summaries_refused_total", count.summaries_refused.load(Relaxed)),
    ];
    let mut out = String::new();
    for (name, value) in all {
        let kind = if name.ends_with("_total") { "counter" } else { "gauge" };
        let _ = write!(out, "# TYPE lilacpitch_site_{name} {kind}\nlilacpitch_site_{name} {value}\n");
    }
    out
}
