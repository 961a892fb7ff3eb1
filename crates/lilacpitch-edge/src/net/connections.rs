//! The tasks of connections: accepted ones of callers, and opened ones to servers. Each task reports the end
//! of its connection to the driver.

use super::connection::{
    open, serve_handshake, ConnectionEvent, EndCause, Outgoing, WebSocketConnection, WriteLimits,
};
use super::driver::Driver;
use super::driver_event::DriverEvent;
use super::startup::EVENT_QUEUE;
use super::Clock;
use crate::core::{CallerId, Input, UpstreamId};
use lilacpitch_protocol::frame::Role;
use lilacpitch_protocol::handshake;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::AbortHandle;

/// Time limit for the handshake of a caller.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller for which too much waits may accept nothing.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Most messages of a caller that wait for the driver, so that one that sends much doesn't delay others.
const UNHANDLED_MESSAGES_PER_CALLER: usize = 16;
/// Most messages that one call sends to its caller, or to a server without a deadline.
const MESSAGES_PER_CALL: usize = 4;

/// The driver's handle of a connection: its outgoing queue and its task.
pub(super) struct ConnectionHandle {
    pub out: mpsc::Sender<Outgoing>,
    /// Places of the queue that are kept for messages which must not be dropped.
    reserved: usize,
    pub task: AbortHandle,
    /// Number of messages that its task may still pass to the driver before the driver has handled one.
    pub event_slots: Arc<Semaphore>,
    /// Whether its client has closed; its messages that are yet to be handled are discarded.
    pub has_client_left: Arc<AtomicBool>,
}

impl ConnectionHandle {
    /// Queues a message. Returns `false` if it is dropped: one with a deadline if the limit of the queue is
    /// reached, one without only if the queue and its reserve are full.
    pub(super) fn queue(&self, message: Outgoing) -> bool {
        let has_place = message.not_after_ns.is_none() || self.out.capacity() > self.reserved;
        has_place && self.out.try_send(message).is_ok()
    }
}

/// The driver's resources that a connection's task uses.
struct ConnectionContext {
    events: mpsc::Sender<DriverEvent>,
    clock: Clock,
    rng: StdRng,
    queue: mpsc::Receiver<Outgoing>,
    event_slots: Arc<Semaphore>,
    has_client_left: Arc<AtomicBool>,
}

/// What the driver's handle of a connection shares with its task.
struct SharedState {
    event_slots: Arc<Semaphore>,
    has_client_left: Arc<AtomicBool>,
}

/// Creates the driver's handle of a connection.
fn handle(
    out: mpsc::Sender<Outgoing>,
    reserved: usize,
    task: AbortHandle,
    shared: &SharedState,
) -> ConnectionHandle {
    let (event_slots, has_client_left) = (shared.event_slots.clone(), shared.has_client_left.clone());
    ConnectionHandle { out, reserved, task, event_slots, has_client_left }
}

impl ConnectionContext {
    fn shared(&self) -> SharedState {
        SharedState { event_slots: self.event_slots.clone(), has_client_left: self.has_client_left.clone() }
    }

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
        let limits = &self.settings.limits;
        // Every call may end in the same turn, and every event that is queued may be a request to answer.
        let reserved = limits.calls_per_caller.saturating_mul(MESSAGES_PER_CALL) + EVENT_QUEUE;
        let write_limits = WriteLimits { unread_messages: limits.queue, stall_timeout: STALL_TIMEOUT };
        let (out, context) = self.connection_context(reserved);
        let shared = context.shared();
        let quiet = Duration::from_nanos(self.settings.timing.quiet_ns);
        let task = tokio::task::spawn_local(serve_caller(
            caller,
            stream,
            remote_address,
            CallerTiming { quiet, write_limits },
            context,
        ));
        self.callers.insert(caller, handle(out, reserved, task.abort_handle(), &shared));
        self.feed(Input::CallerOpened(caller));
    }

    /// Opens a connection to a server.
    pub(super) fn connect(&mut self, upstream: UpstreamId, address: SocketAddr) {
        let reserved = self.settings.limits.calls.saturating_mul(MESSAGES_PER_CALL);
        let (out, context) = self.connection_context(reserved);
        let shared = context.shared();
        let timing = &self.settings.timing;
        let timing = UpstreamTiming {
            connect: Duration::from_nanos(timing.connect_ns),
            quiet: Duration::from_nanos(timing.quiet_ns),
        };
        let target = format!("/signal/{}", self.settings.name);
        let task = tokio::task::spawn_local(run_upstream(upstream, address, target, timing, context));
        self.upstreams.insert(upstream, handle(out, reserved, task.abort_handle(), &shared));
    }

    /// Creates a queue of the limited size and a reserve, and what the task of its connection needs.
    fn connection_context(&mut self, reserved: usize) -> (mpsc::Sender<Outgoing>, ConnectionContext) {
        let capacity = self.settings.limits.queue.saturating_add(reserved).min(Semaphore::MAX_PERMITS);
        let (out, queue) = mpsc::channel(capacity);
        let (events, clock, rng) = (self.events.clone(), self.clock, self.fork_rng());
        let event_slots = Arc::new(Semaphore::new(UNHANDLED_MESSAGES_PER_CALLER));
        let has_client_left = Arc::default();
        (out, ConnectionContext { events, clock, rng, queue, event_slots, has_client_left })
    }
}

/// How a caller that is idle, or does not read, is treated.
struct CallerTiming {
    /// Idle time after which it is pinged.
    quiet: Duration,
    write_limits: WriteLimits,
}

async fn serve_caller(
    caller: CallerId,
    mut stream: TcpStream,
    remote_address: SocketAddr,
    timing: CallerTiming,
    context: ConnectionContext,
) {
    let handshake = serve_handshake(&mut stream, "/call", handshake::CALL_PROTOCOL);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok((target, received))) => {
            return run_caller_connection(caller, stream, &target, &received, timing, context).await;
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
    timing: CallerTiming,
    mut context: ConnectionContext,
) {
    if let Some(number) = caller_number(target) {
        context.send(Input::CallerNumber(caller, number)).await;
    }
    let (clock, rng) = (context.clock, context.rng.clone());
    let (quiet, write_limits) = (Some(timing.quiet), Some(timing.write_limits));
    let has_client_left = context.has_client_left.clone();
    let role = Role::Server;
    let connection = WebSocketConnection { stream, role, clock, rng, quiet, write_limits, has_client_left };
    let (events, event_slots) = (context.events.clone(), context.event_slots.clone());
    let on_event = async |event| match event {
        ConnectionEvent::Text(text) => {
            // The driver returns the slot once it has handled the message.
            if let Ok(slot) = event_slots.acquire().await {
                slot.forget();
            }
            events.send(DriverEvent::Input(Input::CallerText(caller, text))).await.is_ok()
        }
        ConnectionEvent::NotWritten(_) | ConnectionEvent::Written(_) => true,
    };
    let end = connection.run(received, &mut context.queue, on_event).await;
    tracing::debug!(caller, cause = %end.cause, "caller connection ended");
    if matches!(end.cause, EndCause::NotReading) {
        let _ = context.events.send(DriverEvent::CallerNotReading(caller)).await;
    }
    context.send(Input::CallerClosed(caller)).await;
}

/// How a connection to a server is opened and watched.
struct UpstreamTiming {
    connect: Duration,
    /// Idle time after which the server is pinged.
    quiet: Duration,
}

async fn run_upstream(
    upstream: UpstreamId,
    address: SocketAddr,
    target: String,
    timing: UpstreamTiming,
    mut context: ConnectionContext,
) {
    let mut written = 0;
    let opening = open(address, &target, handshake::SIGNAL_PROTOCOL, &mut context.rng);
    match tokio::time::timeout(timing.connect, opening).await {
        Ok(Ok((stream, received))) => {
            if !context.send(Input::UpstreamConnected(upstream)).await {
                return;
            }
            written = run_upstream_connection(upstream, stream, &received, timing.quiet, &mut context).await;
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
    quiet: Duration,
    context: &mut ConnectionContext,
) -> u64 {
    let (clock, rng) = (context.clock, context.rng.clone());
    let connection = WebSocketConnection {
        stream,
        role: Role::Client,
        clock,
        rng,
        // A connection may be lost without a sign, and the releases of its calls with it.
        quiet: Some(quiet),
        write_limits: None,
        has_client_left: context.has_client_left.clone(),
    };
    let events = context.events.clone();
    let on_event = async |event| {
        let input = match event {
            ConnectionEvent::Text(text) => Input::UpstreamText(upstream, text),
            ConnectionEvent::NotWritten(message) => Input::NotWritten { upstream, message },
            ConnectionEvent::Written(message) => Input::Written { upstream, message },
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
