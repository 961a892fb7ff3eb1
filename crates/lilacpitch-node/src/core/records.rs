//! The records in the core's tables: callers, calls, attempts, servers and upstream connections.

use super::attempt_ends::UnwrittenEnd;
use super::{CallerId, UpstreamId};
use lilacpitch::interface::{CallId, Endpoint, Nanos, Outcome, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    /// Its calls without a final response.
    pub open_calls: BTreeSet<CallId>,
    /// When it connected.
    pub connected_ns: Nanos,
    /// When it last sent a message, or else connected.
    pub last_active_ns: Nanos,
    /// When it last sent a set-up that was admitted; 0 before.
    pub last_setup_ns: Nanos,
    /// Whether it has sent a set-up that was admitted, or reported an established call.
    pub is_verified: bool,
    /// Whether its eviction was requested and not declined.
    pub is_evicting: bool,
    /// Whether it has closed its connection, or is being closed. Set-ups that still arrive from it are
    /// discarded.
    pub is_disconnected: bool,
    /// Number of its last requests in a row that were invalid.
    pub invalid_requests: u32,
    /// Memory charged for its open calls, in bytes.
    pub charged_bytes: usize,
    /// Number of releases given to its connection that are not known to be written.
    pub unwritten_releases: usize,
}

impl Caller {
    /// Creates the record of a caller that has just connected.
    pub(super) fn new(now: Nanos) -> Self {
        Caller {
            open_calls: BTreeSet::new(),
            connected_ns: now,
            last_active_ns: now,
            last_setup_ns: 0,
            is_verified: false,
            is_evicting: false,
            is_disconnected: false,
            invalid_requests: 0,
            charged_bytes: 0,
            unwritten_releases: 0,
        }
    }
}

/// A call that was admitted or adopted and has not ended.
#[derive(Debug)]
pub(super) struct Call {
    /// The caller that has set it up.
    pub caller: CallerId,
    /// Its id on the wire.
    pub wire_id: u64,
    /// Index of its class in the settings.
    pub class: usize,
    /// Its set-up; `None` once it is established.
    pub setup: Option<Setup>,
    /// Its attempt that is in progress, or that has established it.
    pub attempt: Option<Attempt>,
    /// Number of attempts that the controller has requested.
    pub attempt_count: u32,
    /// Connections that its attempts have used. The next attempt prefers another one, so that a late answer
    /// to an earlier attempt is not taken for its own.
    pub used_upstreams: Vec<UpstreamId>,
    /// By when its caller must have the final response.
    pub answer_by_ns: Nanos,
    /// When it was established; 0 before.
    pub established_ns: Nanos,
    /// Memory charged for it, in bytes.
    pub charged_bytes: usize,
}

impl Call {
    pub(super) fn is_established(&self) -> bool {
        self.setup.is_none()
    }
}

/// The part of a set-up that is needed until its final response.
#[derive(Debug)]
pub(super) struct Setup {
    /// The dialled number.
    pub number: String,
    /// Session description.
    pub body: String,
    /// Header lines that a response copies from the request.
    pub copied_fields: String,
}

/// An attempt of a call that is not completed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    /// The server to which the set-up is sent.
    pub server: ServerId,
    /// Its number among the call's attempts, from 0.
    pub number: u32,
    /// Its progress.
    pub state: AttemptState,
    /// When it times out.
    pub deadline_ns: Nanos,
    /// When the set-up was given to its connection; 0 before.
    pub sent_ns: Nanos,
}

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The set-up waits for this connection to be established.
    Queued(UpstreamId),
    /// The set-up was given to this connection as the message of this number, and is not answered.
    InFlight(UpstreamId, u64),
    /// The set-up is cancelled, and the message that ends it at the server is not known to be written.
    Ending {
        /// The connection.
        upstream: UpstreamId,
        /// The message's number on it.
        stop_message: u64,
        /// How the attempt ends.
        outcome: Outcome,
    },
    /// The call was established on this connection, which it may outlive.
    Established(UpstreamId),
}

/// A server of the endpoint list.
#[derive(Debug)]
pub(super) struct Server {
    /// Its id in the endpoint list.
    pub uid: String,
    /// Its address in the endpoint list.
    pub address: SocketAddr,
    /// Its description for the controller.
    pub endpoint: Endpoint,
    /// When it started, in Unix milliseconds; 0 if unknown.
    pub boot_ms: u64,
    /// The connections to it, oldest first.
    pub upstreams: Vec<UpstreamId>,
    /// Calls established there.
    pub active_calls: BTreeSet<CallId>,
    /// Whether an unresponsive connection to it was closed. If the server does not notice the close, it may send
    /// there the ends of calls whose own connection is closed.
    pub had_silent_upstream: bool,
    /// When a connection was last opened on account of `had_silent_upstream`; 0 before.
    pub reconnected_ns: Nanos,
    /// When a message or a new connection last showed that it was running.
    pub last_seen_ns: Nanos,
    /// Since when connections to it have failed; `None` if it was seen afterwards.
    pub unreachable_since_ns: Option<Nanos>,
}

/// A connection to a server.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    /// The server.
    pub server: ServerId,
    /// When it was opened.
    pub opened_ns: Nanos,
    /// Whether it is established; else it is being established.
    pub is_up: bool,
    /// Whether a set-up got no answer here, and nothing was answered since. The connection may have been lost
    /// without a reset.
    pub is_unresponsive: bool,
    /// When an answer, a rejection or the end of a call last arrived on it.
    pub last_answer_ns: Nanos,
    /// For how long set-ups that their callers gave up have waited here since the last answer; what passed for
    /// several at once counts once.
    pub abandoned_wait_ns: Nanos,
    /// When the last of them was given up; 0 before.
    pub abandoned_until_ns: Nanos,
    /// Number of the next message given to it.
    pub next_message: u64,
    /// Calls whose set-up is queued, in flight or ending on it.
    pub setups: BTreeSet<CallId>,
    /// Wire ids of set-ups that were cancelled on it, each with the time until which it is kept.
    pub cancelled: BTreeMap<u64, Nanos>,
    /// Ends of cancelled set-ups that are not known to be written, by the numbers of their messages.
    pub unwritten_ends: BTreeMap<u64, UnwrittenEnd>,
    /// Releases that wait for it to be established.
    pub releases: Vec<PendingRelease>,
}

impl UpstreamConnection {
    /// Creates the record of a connection that is being established.
    pub(super) fn new(server: ServerId, now: Nanos) -> Self {
        UpstreamConnection {
            server,
            opened_ns: now,
            is_up: false,
            is_unresponsive: false,
            last_answer_ns: 0,
            abandoned_wait_ns: 0,
            abandoned_until_ns: 0,
            next_message: 0,
            setups: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            unwritten_ends: BTreeMap::new(),
            releases: Vec::new(),
        }
    }
}

/// Most cancelled set-ups that are kept for one connection; with more, the oldest is forgotten.
const MAX_CANCELLED_SETUPS: usize = 256;

impl UpstreamConnection {
    /// Whether no set-up is queued, in flight or ending on it.
    pub(super) fn is_idle(&self) -> bool {
        self.setups.is_empty() && self.unwritten_ends.is_empty()
    }

    /// Keeps a cancelled set-up, so that its late answer is recognized until `until_ns`.
    pub(super) fn record_cancelled(&mut self, wire_id: u64, until_ns: Nanos) {
        if self.cancelled.len() >= MAX_CANCELLED_SETUPS {
            let oldest = self.cancelled.iter().min_by_key(|(_, until_ns)| **until_ns).map(|(id, _)| *id);
            oldest.map(|id| self.cancelled.remove(&id));
        }
        self.cancelled.insert(wire_id, until_ns);
    }
}

/// A release to a server that waits for a connection to be established.
#[derive(Debug)]
pub(super) struct PendingRelease {
    /// Until when it is moved to another connection if this one fails.
    pub until_ns: Nanos,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
