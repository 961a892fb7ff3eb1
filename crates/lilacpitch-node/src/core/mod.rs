//! The core of a node: a state machine without I/O that takes the time as an argument, handles [`Input`]s and
//! returns [`Effect`]s.
//!
//! [`NodeCore`] owns all callers, calls, attempts, upstream connections and timers. It turns inputs into
//! events of the controller, which makes the decisions, and the controller's actions into effects. By itself
//! it enforces the rules of the protocols: one final response to each call and nothing sent for the call
//! afterwards, one outcome of each attempt, no set-up queued for a draining server, and a release to the
//! caller of each established call that its server ends or that is lost with its server.

mod active_calls;
mod attempt_ends;
mod attempt_trace;
mod attempts;
mod call_memory;
mod callers;
mod calls;
mod counters;
mod ended_calls;
mod endpoint_list;
mod evictions;
mod health_checks;
mod path;
mod records;
mod releases;
mod server_messages;
mod timers;
mod upstreams;

pub use counters::{CallCounts, ConnectionCounts, Counters};
pub use releases::Release;

use crate::coordinator::Endpoints;
use crate::signalling::ServerMessage;
use call_memory::CallMemory;
use ended_calls::EndedCalls;
use lilacpitch::interface::{Action, CallId, Nanos, ServerId};
use lilacpitch::settings::Site;
use lilacpitch::{Controller, Event};
use lilacpitch_net::{StallDetector, Timers};
use lilacpitch_sip::Message;
use records::{Call, Caller, Server, UpstreamConnection};
use releases::WaitingReleases;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use timers::Timer;

/// Number of a caller's connection, assigned by the I/O layer. Never reused.
pub type CallerId = u64;
/// Number of a connection to a server, assigned by the core. Never reused.
pub type UpstreamId = u64;

/// An event that the I/O layer reports to the core.
#[derive(Debug)]
pub enum Input {
    /// A caller has connected.
    CallerOpened(CallerId),
    /// A caller sent a message.
    CallerMessage(CallerId, Message),
    /// A caller has closed its connection. Messages that it sent before may still follow.
    CallerDisconnected(CallerId),
    /// A caller's connection has ended, and no message follows.
    CallerClosed(CallerId),
    /// All messages given to a caller's connection are written, at least one release among them.
    CallerDrained(CallerId),
    /// A release was not completely written when its caller's connection ended.
    ReleaseUndelivered(Release),
    /// A connection to a server is up.
    UpstreamConnected(UpstreamId),
    /// A server sent a message.
    UpstreamMessage(UpstreamId, ServerMessage),
    /// A connection to a server has ended, or could not be established.
    UpstreamClosed {
        /// The connection.
        upstream: UpstreamId,
        /// How many of the messages given to it may have reached the server.
        written: u64,
        /// Whether the connection was refused: no process listens at the address.
        is_refused: bool,
    },
    /// A message given to a connection was dropped unwritten.
    MessageDropped {
        /// The connection.
        upstream: UpstreamId,
        /// The message's number on it, from 0.
        message: u64,
    },
    /// The message that ends a cancelled set-up is completely written, or is not needed because the set-up was
    /// not written.
    EndWritten {
        /// The connection.
        upstream: UpstreamId,
        /// The message's number on it.
        message: u64,
    },
    /// The coordinator has reported servers of the endpoint list.
    EndpointsUpdated(Endpoints),
    /// File descriptors are short: the caller that has been idle for the longest time is to be evicted.
    EvictIdleCaller,
    /// A caller was not evicted, because a message has arrived from it, or one is queued for it.
    EvictionDeclined(CallerId),
    /// The node is to stop.
    Stop,
    /// A timer is due.
    Timeout,
}

/// An operation that the I/O layer is to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a caller a message.
    ToCaller(CallerId, Vec<u8>),
    /// Send a caller a release. Followed by [`Input::CallerDrained`], or, if the connection ends first, by
    /// [`Input::CallerClosed`] and [`Input::ReleaseUndelivered`].
    Release(CallerId, Release),
    /// Close a caller's connection, unless a message has arrived on it. Followed by [`Input::CallerClosed`]
    /// or [`Input::EvictionDeclined`].
    EvictCaller(CallerId),
    /// Close a caller's connection after writing what is queued for it. Followed by [`Input::CallerClosed`].
    CloseCaller(CallerId),
    /// Connect to a server. Followed by [`Input::UpstreamConnected`] or [`Input::UpstreamClosed`].
    Connect(UpstreamId, SocketAddr),
    /// Send a server a message. The messages of a connection are numbered consecutively from 0.
    ToServer {
        /// The connection.
        upstream: UpstreamId,
        /// The message's number on it.
        message: u64,
        /// The encoded message.
        bytes: Vec<u8>,
        /// Deadline after which the message is not written, but dropped, and [`Input::MessageDropped`]
        /// follows.
        not_after_ns: Option<Nanos>,
    },
    /// Cancel a set-up. If it is unwritten, it is removed from the queue; if it is partly written, the
    /// connection is closed; if it is completely written, `bytes` are sent as message `stop_message`. Followed
    /// by [`Input::EndWritten`], or by [`Input::UpstreamClosed`].
    CancelSetup {
        /// The connection.
        upstream: UpstreamId,
        /// Number of the set-up's message.
        message: u64,
        /// Number of the message that cancels it at the server.
        stop_message: u64,
        /// The message that cancels it at the server.
        bytes: Vec<u8>,
        /// The connection is closed if this message is not completely written by then.
        write_by_ns: Nanos,
    },
    /// Close a connection to a server after writing its queued messages, except set-ups. No
    /// [`Input::UpstreamClosed`] follows.
    Disconnect(UpstreamId),
    /// The node can exit: no call is open, and no more are admitted.
    Stopped,
}

/// The core of a node. It is deterministic: the same settings, seed and inputs result in the same effects.
pub struct NodeCore {
    site: Site,
    max_upstreams: usize,
    controller: Controller,
    now: Nanos,
    callers: BTreeMap<CallerId, Caller>,
    calls: BTreeMap<CallId, Call>,
    /// Number of calls without a final response.
    open_calls: usize,
    call_memory: CallMemory,
    /// Calls by their id on the wire.
    calls_by_wire_id: BTreeMap<u64, CallId>,
    servers: BTreeMap<ServerId, Server>,
    servers_by_uid: BTreeMap<String, ServerId>,
    upstreams: BTreeMap<UpstreamId, UpstreamConnection>,
    timers: Timers<Timer>,
    stall: StallDetector,
    next_call: CallId,
    next_server: ServerId,
    next_upstream: UpstreamId,
    waiting_releases: WaitingReleases,
    ended_calls: EndedCalls,
    /// Wire ids of attempts whose ends are not written.
    ending_wire_ids: BTreeSet<u64>,
    /// Wire ids of ended calls that a server has had, and until when their ends may still arrive from it.
    retired_wire_ids: BTreeMap<u64, Nanos>,
    /// Events that the controller has yet to handle, among them those caused by its own actions.
    pending_events: VecDeque<Event>,
    /// Buffer for the controller's actions on one event.
    actions: Vec<Action>,
    /// Whether a complete endpoint list has arrived.
    has_endpoint_list: bool,
    /// Whether the node was asked to stop. Set-ups are still admitted until `is_admission_closed`.
    is_stopping: bool,
    /// Whether the node is stopping and no longer admits set-ups.
    is_admission_closed: bool,
    /// Whether [`Effect::Stopped`] was returned.
    is_stopped: bool,
    counters: Counters,
}

impl NodeCore {
    /// Creates a core without servers, callers and calls.
    ///
    /// `max_upstreams` limits the connections to servers; the first one to each server is always allowed.
    /// `now` is, as all times of the core, in nanoseconds since the Unix epoch.
    pub fn new(site: Site, max_upstreams: usize, now: Nanos, seed: u64) -> Self {
        let mut core = NodeCore {
            controller: Controller::new(site.settings.clone(), seed),
            site,
            max_upstreams,
            now,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            open_calls: 0,
            call_memory: CallMemory::unlimited(),
            calls_by_wire_id: BTreeMap::new(),
            servers: BTreeMap::new(),
            servers_by_uid: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            timers: Timers::default(),
            stall: StallDetector::default(),
            next_call: 1,
            next_server: 1,
            next_upstream: 1,
            waiting_releases: WaitingReleases::default(),
            ended_calls: EndedCalls::default(),
            ending_wire_ids: BTreeSet::new(),
            retired_wire_ids: BTreeMap::new(),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            has_endpoint_list: false,
            is_stopping: false,
            is_admission_closed: false,
            is_stopped: false,
            counters: Counters::default(),
        };
        core.schedule_health_check();
        core
    }

    /// Handles one input and appends the resulting effects.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.stall.note(self.now, self.timers.first(), 2 * self.site.settings.tick_ns);
        // Timers that were due before the input was read take precedence.
        self.fire_due_timers(effects);
        self.dispatch(input, effects);
        self.run_pending_events(effects);
        if self.is_admission_closed && !self.is_stopped && self.open_calls == 0 {
            self.is_stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Passes an input to its handler.
    fn dispatch(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::CallerOpened(caller) => drop(self.callers.insert(caller, Caller::new(self.now))),
            Input::CallerMessage(caller, message) => self.handle_caller_message(caller, message, effects),
            Input::CallerDisconnected(caller) => self.handle_caller_disconnected(caller, effects),
            Input::CallerClosed(caller) => self.handle_caller_closed(caller, effects),
            Input::CallerDrained(caller) => self.handle_caller_drained(caller, effects),
            Input::ReleaseUndelivered(release) => self.release_to_any_caller(release, effects),
            Input::UpstreamConnected(upstream) => self.handle_upstream_connected(upstream, effects),
            Input::UpstreamMessage(upstream, message) => {
                self.handle_server_message(upstream, message, effects);
            }
            Input::UpstreamClosed { upstream, written, is_refused } => {
                self.handle_upstream_closed(upstream, written, is_refused, effects);
            }
            Input::MessageDropped { upstream, message } => {
                self.handle_message_dropped(upstream, message, effects);
            }
            Input::EndWritten { upstream, message } => self.handle_end_written(upstream, message),
            Input::EndpointsUpdated(endpoints) => self.update_endpoints(&endpoints, effects),
            Input::EvictIdleCaller => self.evict_idle_caller(effects),
            Input::EvictionDeclined(caller) => self.handle_eviction_declined(caller),
            Input::Stop => self.begin_stopping(),
            Input::Timeout => {}
        }
    }

    /// Returns when the next [`Input::Timeout`] is due, if any timer is set.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// Whether the node passes readiness checks: it has a complete endpoint list and was not asked to stop.
    pub fn is_ready(&self) -> bool {
        self.has_endpoint_list && !self.is_stopping
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the current number of calls.
    pub fn call_counts(&self) -> CallCounts {
        CallCounts { open: self.open_calls, established: self.calls.len() - self.open_calls }
    }

    /// Returns the current number of connections.
    pub fn connection_counts(&self) -> ConnectionCounts {
        ConnectionCounts { callers: self.callers.len(), upstreams: self.upstreams.len() }
    }

    /// Returns the sizes of all containers by name, for tests that none grows without bound.
    #[doc(hidden)]
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let core_sizes = [
            ("callers", self.callers.len()),
            ("calls", self.calls.len()),
            ("open calls", self.open_calls),
            ("memory of calls", self.call_memory.used()),
            ("wire ids of calls", self.calls_by_wire_id.len()),
            ("servers", self.servers.len()),
            ("uids of servers", self.servers_by_uid.len()),
            ("upstream connections", self.upstreams.len()),
            ("cancelled set-ups", self.upstreams.values().map(|upstream| upstream.cancelled.len()).sum()),
            ("timers", self.timers.len()),
            ("waiting releases", self.waiting_releases.len()),
            ("ended calls", self.ended_calls.len()),
            ("unwritten ends", self.upstreams.values().map(|upstream| upstream.unwritten_ends.len()).sum()),
            ("ids of unwritten ends", self.ending_wire_ids.len()),
            ("retired wire ids", self.retired_wire_ids.len()),
            ("releases to servers", self.upstreams.values().map(|upstream| upstream.releases.len()).sum()),
        ];
        core_sizes.into_iter().chain(self.controller.sizes()).collect()
    }

    /// Passes pending events to the controller and carries out its actions, until no event is pending.
    fn run_pending_events(&mut self, effects: &mut Vec<Effect>) {
        while let Some(event) = self.pending_events.pop_front() {
            let traced_event = tracing::enabled!(tracing::Level::TRACE).then(|| event.clone());
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(self.now, event, &mut actions);
            traced_event.iter().for_each(|event| self.trace_attempts(event, &actions));
            for action in actions.drain(..) {
                self.carry_out(action, effects);
            }
            self.actions = actions;
        }
    }

    /// Carries out an action of the controller.
    fn carry_out(&mut self, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::ForwardSetup { call, server, timeout_ns } => {
                self.forward_setup(call, server, timeout_ns, effects);
            }
            Action::CancelAttempt { call, attempt } => self.cancel_attempt(call, attempt, effects),
            Action::Reject { call, retry_after_ns } => self.reject_call(call, retry_after_ns, effects),
            Action::Fail { call } => self.fail_call(call, effects),
            Action::SetTimer(due) => self.timers.set_no_later(Timer::Controller, due),
            // The coordinator is polled in any case.
            Action::Subscribe => {}
        }
    }
}
