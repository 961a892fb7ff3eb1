//! The tasks of connections: one for each caller and for each connection to a server.
//!
//! A task reports what happens on its socket as [`DriverEvent`]s. The driver holds a [`ConnectionHandle`] to
//! queue messages and to close the connection.

use super::codecs::{LineCodec, SipCodec};
use super::driver_event::{DriverEvent, MalformedMessage};
use crate::core::Release;
use crate::core::{CallerId, Input, UpstreamId};
use lilacpitch_net::{
    Clock, ClosingConnection, Connection, ConnectionEvent, DrainQuota, EndReason, Outbox, OutgoingMessage,
    QueuedBytes, WriteLimits,
};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// How long a caller may take to complete its first message, and each later one that it has begun. The
/// platform's page on bad clients requires that a silent caller is closed within 3 s.
const READ_TIMEOUT: Duration = Duration::from_millis(2000);
/// What happens to a caller that does not read. A release has to be sent within 1 s, on another connection if
/// the caller's own accepts none.
const WRITE_LIMITS: WriteLimits =
    WriteLimits { pause_reading_bytes: 32 * 1024, stall_timeout: Duration::from_millis(800) };
/// Send buffer of a connection to a server. It is small because messages in the kernel's buffer can't be
/// cancelled.
const UPSTREAM_SEND_BUFFER_BYTES: u32 = 32 * 1024;

/// The driver's end of a connection.
pub(super) struct ConnectionHandle {
    /// The messages to write, and how to close the connection.
    pub outbox: Outbox,
    /// The connection's task.
    pub task: AbortHandle,
}

/// The driver's end of a caller's connection.
pub(super) struct CallerHandle {
    /// The connection.
    pub connection: ConnectionHandle,
    /// Number of the next message for the caller.
    next_message: u64,
    /// Releases that may not be completely written, with the numbers of their messages, oldest first.
    releases: VecDeque<(u64, Release)>,
}

impl CallerHandle {
    /// Queues a response.
    pub(super) fn push_response(&mut self, bytes: Vec<u8>) {
        let number = self.next_message;
        self.next_message += 1;
        self.connection.outbox.push(OutgoingMessage { number, bytes, not_after_ns: None, write_by_ns: None });
    }

    /// Queues a release, and has the connection report when it is written.
    pub(super) fn push_release(&mut self, release: Release) {
        let outbox = &self.connection.outbox;
        // The last message counted as written may be written in part only.
        let written = outbox.written().saturating_sub(1);
        while self.releases.front().is_some_and(|(number, _)| *number < written) {
            self.releases.pop_front();
        }
        self.releases.push_back((self.next_message, release));
        self.push_response(release.encode());
        self.connection.outbox.report_when_empty();
    }

    /// Discards the queue, and returns the releases that were not completely written.
    pub(super) fn take_undelivered(&mut self) -> Vec<Release> {
        let unwritten = self.connection.outbox.take_unwritten();
        let first = unwritten.first().map_or(u64::MAX, |message| message.number);
        let undelivered = self.releases.drain(..).filter(|(number, _)| *number >= first);
        undelivered.map(|(_, release)| release).collect()
    }
}

/// What the task of every connection needs.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    /// Sends events to the driver.
    pub events: mpsc::Sender<DriverEvent>,
    /// Reports callers that have closed their connection, ahead of the messages that they sent before.
    pub disconnects: mpsc::UnboundedSender<CallerId>,
    /// Counts the bytes that are queued for callers.
    pub caller_output: QueuedBytes,
    /// Counts the bytes that are queued for servers.
    pub server_output: QueuedBytes,
    /// Limits the number of closed connections that are draining.
    pub drain_quota: Rc<DrainQuota>,
    /// The node's clock.
    pub clock: Clock,
    /// How long connecting to a server may take.
    pub connect_timeout: Duration,
}

impl ConnectionContext {
    /// Starts the task of a caller's connection.
    pub(super) fn spawn_caller(&self, caller: CallerId, stream: TcpStream) -> CallerHandle {
        let outbox = Outbox::counted_in(&self.caller_output);
        let connection = Connection {
            stream,
            codec: SipCodec::default(),
            clock: self.clock,
            read_timeout: Some(READ_TIMEOUT),
            write_limits: Some(WRITE_LIMITS),
            outbox: outbox.clone(),
        };
        let task = tokio::task::spawn_local(self.clone().run_caller(caller, connection));
        let connection = ConnectionHandle { outbox, task: task.abort_handle() };
        CallerHandle { connection, next_message: 0, releases: VecDeque::new() }
    }

    /// Starts the task that connects to a server and runs the connection.
    pub(super) fn spawn_upstream(&self, upstream: UpstreamId, address: SocketAddr) -> ConnectionHandle {
        let outbox = Outbox::counted_in(&self.server_output);
        let task = tokio::task::spawn_local(self.clone().run_upstream(upstream, address, outbox.clone()));
        ConnectionHandle { outbox, task: task.abort_handle() }
    }

    /// Runs a caller's connection to its end.
    async fn run_caller(self, caller: CallerId, connection: Connection<SipCodec>) {
        let on_event = async |event| match event {
            ConnectionEvent::Message(message) => self.send(Input::CallerMessage(caller, message)).await,
            ConnectionEvent::Drained => self.send(Input::CallerDrained(caller)).await,
            ConnectionEvent::MessageDropped(_) | ConnectionEvent::MessageWritten(_) => true,
        };
        let (end, closing) = connection.run(|| _ = self.disconnects.send(caller), on_event).await;
        tracing::debug!(caller, reason = %end.reason, "caller connection closed");
        match end.reason {
            EndReason::Malformed(error) => {
                let _ = self.events.send(DriverEvent::Malformed(MalformedMessage::Caller(error))).await;
            }
            EndReason::NotReading => tracing::info!(caller, "caller disconnected, not reading"),
            _ => {}
        }
        self.send(Input::CallerClosed(caller)).await;
        closing.drain(&self.drain_quota).await;
    }

    /// Connects to a server, and runs the connection to its end.
    async fn run_upstream(self, upstream: UpstreamId, address: SocketAddr, outbox: Outbox) {
        let connected = tokio::select! {
            connected = tokio::time::timeout(self.connect_timeout, connect(address)) => connected,
            // Nothing is queued before the connection is up, so this is a request to close it.
            () = outbox.changed() => return,
        };
        let (mut written, mut is_refused, mut closing) = (0, false, None);
        match connected {
            Ok(Ok(stream)) => {
                if !self.send(Input::UpstreamConnected(upstream)).await {
                    return;
                }
                let (count, remainder) = self.run_connected(upstream, address, stream, outbox).await;
                (written, closing) = (count, Some(remainder));
            }
            Ok(Err(error)) => {
                is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                tracing::debug!(upstream, %address, %error, "upstream connection failed");
            }
            Err(_) => tracing::debug!(upstream, %address, "upstream connection timed out"),
        }
        self.send(Input::UpstreamClosed { upstream, written, is_refused }).await;
        if let Some(closing) = closing {
            closing.drain(&self.drain_quota).await;
        }
    }

    /// Runs an established connection to a server to its end. Returns how many of its messages may have
    /// reached the server.
    async fn run_connected(
        &self,
        upstream: UpstreamId,
        address: SocketAddr,
        stream: TcpStream,
        outbox: Outbox,
    ) -> (u64, ClosingConnection) {
        let on_event = async |event| {
            self.send(match event {
                ConnectionEvent::Message(message) => Input::UpstreamMessage(upstream, message),
                ConnectionEvent::MessageDropped(message) => Input::MessageDropped { upstream, message },
                ConnectionEvent::MessageWritten(message) => Input::EndWritten { upstream, message },
                ConnectionEvent::Drained => return true,
            })
            .await
        };
        let (codec, clock) = (LineCodec::default(), self.clock);
        let connection = Connection { stream, codec, clock, read_timeout: None, write_limits: None, outbox };
        let (end, closing) = connection.run(|| (), on_event).await;
        tracing::debug!(upstream, %address, reason = %end.reason, "upstream connection closed");
        if let EndReason::Malformed(error) = end.reason {
            let malformed = MalformedMessage::Server { address, error };
            let _ = self.events.send(DriverEvent::Malformed(malformed)).await;
        }
        (end.written, closing)
    }

    /// Sends an input to the driver. Returns `false` once the driver accepts no more.
    async fn send(&self, input: Input) -> bool {
        self.events.send(DriverEvent::Input(input)).await.is_ok()
    }
}

/// Connects to a server, with a small send buffer.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // If this fails, more messages can wait in the kernel; nothing else changes.
    let _ = socket.set_send_buffer_size(UPSTREAM_SEND_BUFFER_BYTES);
    socket.connect(address).await
}
