//! The records of the core's tables: callers, calls, attempts, servers and the connections to them.

use super::{CallerId, UpstreamId};
use lilacpitch::interface::{CallId, Endpoint, Nanos, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    /// Its calls that have no final response.
    pub open_calls: BTreeSet<CallId>,
    /// When it last sent a message, or connected.
    pub last_active_ns: Nanos,
    /// Whether it has sent a set-up that was accepted.
    pub is_verified: bool,
    /// Whether its connection is to be closed unless something arrives on it.
    pub is_evicting: bool,
    /// Whether it has closed its end: set-ups that still arrive are nobody's.
    pub is_disconnected: bool,
}

impl Caller {
    /// A caller that has just connected.
    pub(super) fn new(now: Nanos) -> Self {
        Caller {
            open_calls: BTreeSet::new(),
            last_active_ns: now,
            is_verified: false,
            is_evicting: false,
            is_disconnected: false,
        }
    }
}

/// A call that was accepted and has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub caller: CallerId,
    /// Its id on the wire.
    pub wire_id: u64,
    pub class: usize,
    /// Until it is established.
    pub setup: Option<Setup>,
    pub attempt: Option<Attempt>,
    /// Attempts that the controller has asked for.
    pub attempt_count: u32,
    /// Connections that earlier attempts used: a late answer there is not the current attempt's.
    pub used_upstreams: Vec<UpstreamId>,
    pub established_ns: Nanos,
}

impl Call {
    pub(super) fn is_established(&self) -> bool {
        self.setup.is_none()
    }
}

/// What is kept of a set-up until its final response.
#[derive(Debug)]
pub(super) struct Setup {
    /// The dialled number.
    pub number: String,
    /// Session description.
    pub body: String,
    /// Header lines that a response copies from the request.
    pub echo: String,
}

/// The attempt of a call that has not been completed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub server: ServerId,
    /// Its number among the call's attempts, from 0.
    pub number: u32,
    pub state: AttemptState,
    pub deadline_ns: Nanos,
    /// When it was given to its connection.
    pub sent_ns: Nanos,
}

/// Where an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Waits for this connection to be made.
    Queued(UpstreamId),
    /// Given to this connection as its message of this number; no answer yet.
    InFlight(UpstreamId, u64),
    /// The call is established, by this connection, which it may outlive.
    Established(UpstreamId),
}

/// A server of the endpoint list.
#[derive(Debug)]
pub(super) struct Server {
    pub uid: String,
    pub address: SocketAddr,
    /// As the controller knows it.
    pub endpoint: Endpoint,
    /// When it started, in Unix milliseconds, as listed.
    pub boot_ms: u64,
    pub upstreams: Vec<UpstreamId>,
    /// Calls established there.
    pub active_calls: BTreeSet<CallId>,
    /// When a message or a new connection last showed that it is there.
    pub last_seen_ns: Nanos,
    /// Since when no connection could be made.
    pub unreachable_since_ns: Option<Nanos>,
}

/// A connection to a server.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    pub server: ServerId,
    /// Whether it is up; else it is being made.
    pub is_up: bool,
    /// Whether a set-up had no answer and nothing was answered here since: it may be cut off without a sign.
    pub is_unresponsive: bool,
    /// When it last brought an answer or an end.
    pub last_answer_ns: Nanos,
    /// Number of the next message given to it.
    pub next_message: u64,
    /// Calls whose set-up is queued or in flight here.
    pub setups: BTreeSet<CallId>,
    /// Wire ids of set-ups that were cancelled here, and until when that is remembered.
    pub cancelled: BTreeMap<u64, Nanos>,
    /// Releases that wait for this connection to be made.
    pub releases: Vec<PendingRelease>,
}

impl UpstreamConnection {
    /// A connection that is being made.
    pub(super) fn new(server: ServerId) -> Self {
        UpstreamConnection {
            server,
            is_up: false,
            is_unresponsive: false,
            last_answer_ns: 0,
            next_message: 0,
            setups: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            releases: Vec::new(),
        }
    }
}

/// A release to a server that waits for a connection.
#[derive(Debug)]
pub(super) struct PendingRelease {
    /// Until when another connection is tried.
    pub until_ns: Nanos,
    pub bytes: Vec<u8>,
}
