//! The tasks of connections: accepted ones of callers, and opened ones to servers. Each task reports the end
//! of its connection to the driver.

use super::connection::{open, serve_handshake, ConnectionEvent, Outgoing, WebSocketConnection};
use super::driver::Driver;
use super::driver_event::DriverEvent;
use super::Clock;
use crate::core::{CallerId, Input, UpstreamId};
use lilacpitch_protocol::frame::Role;
use lilacpitch_protocol::handshake;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Time limit for the handshake of a caller.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The driver's handle of a connection: its outgoing queue and its task.
pub(super) struct ConnectionHandle {
    pub out: mpsc::Sender<Outgoing>,
    pub task: AbortHandle,
}

/// The driver's resources that a connection's task uses.
struct ConnectionContext {
    events: mpsc::Sender<DriverEvent>,
    clock: Clock,
    rng: StdRng,
    queue: mpsc::Receiver<Outgoing>,
}

impl ConnectionContext {
    /// Sends an input to the driver. Returns whether the driver is still running.
    async fn send(&self, input: Input) -> bool {
        self.events.send(DriverEvent::Input(input)).await.is_ok()
    }
}

impl Driver {
    /// Accepts a caller's connection, unless the limit of callers is reached.
    pub(super) fn accept(&mut self, mut stream: TcpStream, remote_address: SocketAddr) {
        if self.callers.len() >= self.settings.limits.callers {
            tokio::task::spawn_local(async move {
                let refusal = handshake::plain_response("503 Service Unavailable", "", "too many callers\n");
                let _ = tokio::time::timeout(HANDSHAKE_TIMEOUT, stream.write_all(&refusal)).await;
            });
            return;
        }
        let caller = self.next_caller;
        self.next_caller += 1;
        let (out, context) = self.connection_context();
        let quiet = Duration::from_nanos(self.settings.timing.quiet_ns);
        let task = tokio::task::spawn_local(serve_caller(caller, stream, remote_address, quiet, context));
        self.callers.insert(caller, ConnectionHandle { out, task: task.abort_handle() });
        self.feed(Input::CallerOpened(caller));
    }

    /// Opens a connection to a server.
    pub(super) fn connect(&mut self, upstream: UpstreamId, address: SocketAddr) {
        let (out, context) = self.connection_context();
        let timeout = Duration::from_nanos(self.settings.timing.connect_ns);
        let target = format!("/signal/{}", self.settings.name);
        let task = tokio::task::spawn_local(run_upstream(upstream, address, target, timeout, context));
        self.upstreams.insert(upstream, ConnectionHandle { out, task: task.abort_handle() });
    }

    fn connection_context(&mut self) -> (mpsc::Sender<Outgoing>, ConnectionContext) {
        let (out, queue) = mpsc::channel(self.settings.limits.queue);
        let (events, clock, rng) = (self.events.clone(), self.clock, self.fork_rng());
        (out, ConnectionContext { events, clock, rng, queue })
    }
}

async fn serve_caller(
    caller: CallerId,
    mut stream: TcpStream,
    remote_address: SocketAddr,
    quiet: Duration,
    context: ConnectionContext,
) {
    let handshake = serve_handshake(&mut stream, "/call", handshake::CALL_PROTOCOL);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok((target, received))) => {
            return run_caller_connection(caller, stream, &target, &received, quiet, context).await;
        }
        Ok(Err(error)) => tracing::debug!(from = %remote_address, %error, "caller handshake failed"),
        Err(_) => tracing::debug!(from = %remote_address, "caller handshake timed out"),
    }
    context.send(Input::CallerClosed(caller)).await;
}

/// Exchanges messages with a caller after its handshake, until the connection ends.
async fn run_caller_connection(
    caller: CallerId,
    stream: TcpStream,
    target: &str,
    received: &[u8],
    quiet: Duration,
    mut context: ConnectionContext,
) {
    if let Some(number) = caller_number(target) {
        context.send(Input::CallerNumber(caller, number)).await;
    }
    let (clock, rng) = (context.clock, context.rng.clone());
    let connection = WebSocketConnection { stream, role: Role::Server, clock, rng, quiet: Some(quiet) };
    let events = context.events.clone();
    let on_event = async |event| match event {
        ConnectionEvent::Text(text) => {
            events.send(DriverEvent::Input(Input::CallerText(caller, text))).await.is_ok()
        }
        ConnectionEvent::NotWritten(_) => true,
    };
    let end = connection.run(received, &mut context.queue, on_event).await;
    tracing::debug!(caller, cause = %end.cause, "caller connection ended");
    context.send(Input::CallerClosed(caller)).await;
}

async fn run_upstream(
    upstream: UpstreamId,
    address: SocketAddr,
    target: String,
    timeout: Duration,
    mut context: ConnectionContext,
) {
    let mut written = 0;
    let opening = open(address, &target, handshake::SIGNAL_PROTOCOL, &mut context.rng);
    match tokio::time::timeout(timeout, opening).await {
        Ok(Ok((stream, received))) => {
            if !context.send(Input::UpstreamConnected(upstream)).await {
                return;
            }
            written = run_upstream_connection(upstream, stream, &received, &mut context).await;
        }
        Ok(Err(error)) => tracing::debug!(upstream, %address, %error, "upstream connection not established"),
        Err(_) => tracing::debug!(upstream, %address, "upstream connection timed out"),
    }
    context.send(Input::UpstreamClosed { upstream, written }).await;
}

/// Exchanges messages with a server after the handshake, until the connection ends. Returns how many messages
/// may have been sent.
async fn run_upstream_connection(
    upstream: UpstreamId,
    stream: TcpStream,
    received: &[u8],
    context: &mut ConnectionContext,
) -> u64 {
    let (clock, rng) = (context.clock, context.rng.clone());
    let connection = WebSocketConnection { stream, role: Role::Client, clock, rng, quiet: None };
    let events = context.events.clone();
    let on_event = async |event| {
        let input = match event {
            ConnectionEvent::Text(text) => Input::UpstreamText(upstream, text),
            ConnectionEvent::NotWritten(message) => Input::NotWritten { upstream, message },
        };
        events.send(DriverEvent::Input(input)).await.is_ok()
    };
    let end = connection.run(received, &mut context.queue, on_event).await;
    tracing::debug!(upstream, cause = %end.cause, "upstream connection ended");
    end.written
}

/// The number at which a caller is reached, from its request target `/call/NUMBER`, in which `#` is written
/// as `%23`.
fn caller_number(target: &str) -> Option<String> {
    let number = target.strip_prefix("/call/")?.replace("%23", "#");
    lilacpitch_location::Number::new(&number).ok().map(String::from)
}
