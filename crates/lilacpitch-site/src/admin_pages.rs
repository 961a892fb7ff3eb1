//! The HTTP pages for operators: metrics, the audit, the progress of purges, and commands by POST. Each
//! connection serves one HTTP/1.1 request.

use crate::clock::now;
use crate::process::Process;
use crate::task_limit::TaskLimit;
use lilacpitch_fleet::audit::ActiveVersion;
use lilacpitch_fleet::error::AuditError;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PurgeScope, Request, Response};
use lilacpitch_location::{LocationError, Number};
use lilacpitch_protocol::handshake::plain_response;
use lilacpitch_protocol::http;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The timeout of a request, and the delay before the next accept after one failed.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Most connections for the pages.
const MAX_CONNECTIONS: usize = 256;
/// Longest name of an owner in a purge, in bytes.
const MAX_OWNER_BYTES: usize = 64;
/// The list of all pages, which is the text of the 404 page.
const PAGES: &str = "GET /metrics, /audit?at=MS, /purges; POST /purge?number=N|prefix=P|holder=NAME|all, \
                     /withdraw?settings=HEX, /reinstate?settings=HEX\n";

/// Why a POST request is not a valid command.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Number(LocationError),
    #[error("settings {0:?}: not hex digits")]
    SettingsDigest(String),
    #[error("{path}?{query}: not an order\n{PAGES}")]
    Unknown { path: String, query: String },
}

/// Serves the pages; each connection is handled by a task of its own.
pub(crate) async fn serve(process: Arc<Process>, listener: TcpListener) {
    let mut connections = TaskLimit::new(MAX_CONNECTIONS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let process = process.clone();
                let connection = tokio::spawn(async move {
                    let _ = tokio::time::timeout(TIMEOUT, serve_connection(stream, process)).await;
                });
                connections.add(connection.abort_handle());
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection for the pages failed");
                tokio::time::sleep(TIMEOUT).await;
            }
        }
    }
}

/// Serves one request; `None` if the connection failed.
async fn serve_connection(mut stream: TcpStream, process: Arc<Process>) -> Option<()> {
    let mut bytes = Vec::new();
    let response = loop {
        match http::request(&bytes) {
            Ok(Some((request, _))) => break respond(&process, &request).await,
            Ok(None) => match stream.read_buf(&mut bytes).await {
                Ok(count) if count > 0 => {}
                _ => return None,
            },
            Err(error) => break plain_response("400 Bad Request", "", &format!("{error}\n")),
        }
    };
    stream.write_all(&response).await.ok()?;
    stream.shutdown().await.ok()
}

async fn respond(process: &Arc<Process>, request: &http::Request) -> Vec<u8> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let ok = |body: String| plain_response("200 OK", "", &body);
    match (request.method.as_str(), path) {
        ("GET", "/metrics") => ok(metrics_page(process)),
        ("GET", "/audit") => match parse_time(query) {
            Ok(at_ms) => ok(audit_page(process, at_ms)),
            Err(error) => plain_response("400 Bad Request", "", &format!("{error}\n")),
        },
        ("GET", "/purges") => match process.submit_to_root(Request::Progress).await {
            Response::Progress { ordered, complete, missing, missing_count } => {
                let mut body = format!("ordered {ordered}\ncomplete {complete}\nmissing {missing_count}\n");
                for name in missing {
                    let _ = writeln!(body, "missing: {name}");
                }
                ok(body)
            }
            other => unavailable(&other),
        },
        ("POST", "/purge" | "/withdraw" | "/reinstate") => match parse_command(path, query) {
            Ok(action) => match process.submit_to_root(Request::Submit(action)).await {
                Response::Committed(position) => ok(format!("ordered {position}\n")),
                other => unavailable(&other),
            },
            Err(error) => plain_response("400 Bad Request", "", &format!("{error}\n")),
        },
        _ => plain_response("404 Not Found", "", PAGES),
    }
}

/// The 503 page for a request that was not carried out.
fn unavailable(response: &Response) -> Vec<u8> {
    let reason = match response {
        Response::Rejected(reason) => reason.to_string(),
        other => format!("{other:?}"),
    };
    plain_response("503 Service Unavailable", "", &format!("{reason}\n"))
}

/// Parses the command in the path and the query of a POST request.
fn parse_command(path: &str, query: &str) -> Result<CommandAction, CommandError> {
    let (field, value) = query.split_once('=').unwrap_or((query, ""));
    let digest = || u64::from_str_radix(value, 16).map_err(|_| CommandError::SettingsDigest(value.into()));
    match (path, field) {
        ("/purge", "number") => {
            let number = Number::new(&value.replace("%23", "#")).map_err(CommandError::Number)?;
            Ok(CommandAction::Purge(vec![PurgeScope::Number(number)]))
        }
        ("/purge", "prefix") if !value.is_empty() && Number::new(value).is_ok() => {
            Ok(CommandAction::Purge(vec![PurgeScope::Prefix(value.into())]))
        }
        ("/purge", "holder") if !value.is_empty() && value.len() <= MAX_OWNER_BYTES => {
            Ok(CommandAction::Purge(vec![PurgeScope::Owner(value.into())]))
        }
        ("/purge", "all") => Ok(CommandAction::Purge(vec![PurgeScope::All])),
        ("/withdraw", "settings") => digest().map(CommandAction::Withdraw),
        ("/reinstate", "settings") => digest().map(CommandAction::Reinstate),
        _ => Err(CommandError::Unknown { path: path.into(), query: query.into() }),
    }
}

/// Parses the time in the query of the audit page, in milliseconds since 1970; `None` for the latest
/// versions.
fn parse_time(query: &str) -> Result<Option<u64>, AuditError> {
    match query.strip_prefix("at=") {
        None if query.is_empty() => Ok(None),
        None => Err(AuditError::InvalidTime(query.into())),
        Some(text) => text.parse().map(Some).map_err(|_| AuditError::InvalidTime(text.into())),
    }
}

/// The versions that the fronts acted on at a time or, without a time, the latest version of each
/// incarnation. Each line also shows by how many commands the front lagged.
fn audit_page(process: &Process, at_ms: Option<u64>) -> String {
    let mut out = at_ms.map_or("# last said\n".into(), |at_ms| format!("# at {at_ms}\n"));
    let position = process.ack_aggregator.lock().position();
    process.state.with_metadata(|metadata| {
        let active: Vec<ActiveVersion> = match at_ms {
            None => metadata.audit_log.latest().collect(),
            Some(at_ms) => metadata.audit_log.active_at(at_ms).collect(),
        };
        for active in active {
            write_audit_line(&mut out, &active, position);
        }
    });
    out
}

fn write_audit_line(out: &mut String, active: &ActiveVersion<'_>, position: LogPosition) {
    let ActiveVersion { front, incarnation, version, interval, seen_ms } = active;
    let lag = match interval.position.log == position.log {
        true => position.index.saturating_sub(interval.moved_to).to_string(),
        false => "other-log".into(),
    };
    // Writing to a String can't fail.
    let _ = writeln!(
        out,
        "{front}\tlife {incarnation}\tsettings {:016x}\tlist {:016x}\tbuild {}\tcaches {}\ttakes-calls {}\t\
         orders {}..{}\tsince {}\tseen {seen_ms}\tlags {lag}",
        version.settings,
        version.endpoint_list,
        version.build,
        version.uses_cache,
        version.accepts_calls,
        interval.position,
        interval.moved_to,
        interval.from_ms,
    );
}

fn metrics_page(process: &Process) -> String {
    let (position, children) = {
        let ack_aggregator = process.ack_aggregator.lock();
        (ack_aggregator.position(), ack_aggregator.children(now()).count())
    };
    let (pending, purge_position) =
        process.state.with_metadata(|metadata| (metadata.pending_purges.len(), metadata.purge_position));
    let counters = &process.counters;
    let metrics = [
        ("rows", process.state.records.len() as u64),
        ("changes_not_ordered", pending as u64),
        ("changes_ordered", purge_position.index),
        ("orders", position.index),
        ("children", children as u64),
        ("leads", u64::from(process.is_leader())),
        ("sites_unknown", process.catalogue.read().stale_sites(now()).len() as u64),
        ("found_total", counters.queries_answered.load(Relaxed)),
        ("full_total", counters.queries_overloaded.load(Relaxed)),
        ("behind_total", counters.queries_behind.load(Relaxed)),
        ("written_total", counters.changes_written.load(Relaxed)),
        ("fenced_total", counters.writes_fenced.load(Relaxed)),
        ("granted_total", counters.leases_granted.load(Relaxed)),
        ("not_granted_total", counters.leases_not_granted.load(Relaxed)),
        ("summaries_refused_total", counters.summaries_rejected.load(Relaxed)),
    ];
    let mut out = String::new();
    for (name, value) in metrics {
        let kind = if name.ends_with("_total") { "counter" } else { "gauge" };
        let _ = write!(out, "# TYPE lilacpitch_site_{name} {kind}\nlilacpitch_site_{name} {value}\n");
    }
    out
}
