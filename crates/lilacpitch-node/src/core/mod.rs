//! The core of a node, without I/O: inputs in, effects out, time as an argument.
//!
//! An [`Input`] becomes an event of the decision module, and the module's actions become [`Effect`]s. [`NodeCore`] is
//! the sole owner of callers, calls, attempts, upstream connections and timers. What it does by itself keeps the rules
//! on the wire: one final response to each call, nothing sent for it afterwards, one outcome for each attempt, nothing
//! queued for a draining server, and a release to the caller of each established call that its server ends or loses.

mod active_calls;
mod attempt_trace;
mod attempts;
mod callers;
mod calls;
mod counters;
mod endpoint_list;
mod health_checks;
mod path;
mod records;
mod server_messages;
mod timers;
mod upstreams;

pub use counters::{CallCounts, ConnectionCounts, Counters};

use crate::coordinator::Endpoints;
use crate::signalling::ServerMessage;
use lilacpitch::interface::{Action, CallId, Nanos, ServerId};
use lilacpitch::settings::Site;
use lilacpitch::{Controller, Event};
use lilacpitch_net::{StallDetector, Timers};
use lilacpitch_sip::Message;
use records::{Call, Caller, Server, UpstreamConnection};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timer;

/// A caller's connection, by the number that the shell gives it. Never reused.
pub type CallerId = u64;
/// A connection to a server, by the number that the core gives it. Never reused.
pub type UpstreamId = u64;

/// What happens to a node.
#[derive(Debug)]
pub enum Input {
    /// A caller has connected.
    CallerOpened(CallerId),
    /// A caller sent a message.
    CallerMessage(CallerId, Message),
    /// A caller has closed its end; what it sent before may still come.
    CallerDisconnected(CallerId),
    /// A caller's connection has ended.
    CallerClosed(CallerId),
    /// A message that was not completely written when its caller's connection ended.
    CallerMessageUndelivered(Vec<u8>),
    /// A connection to a server is up.
    UpstreamConnected(UpstreamId),
    /// A server sent a message.
    UpstreamMessage(UpstreamId, ServerMessage),
    /// A connection to a server has ended, or could not be made.
    UpstreamClosed {
        /// The connection.
        upstream: UpstreamId,
        /// Of the messages given to it, so many may have reached the server.
        written: u64,
        /// Whether the connection was refused: nobody listens there.
        is_refused: bool,
    },
    /// A message given to a connection was dropped, and will never be written.
    MessageDropped {
        /// The connection.
        upstream: UpstreamId,
        /// The message's number on it, from 0.
        message: u64,
    },
    /// The coordinator's event.
    EndpointsUpdated(Endpoints),
    /// Descriptors are short: the caller whose connection is idle for longest is to be evicted.
    EvictIdleCaller,
    /// A caller that was to be evicted stays: something has arrived from it, or waits for it.
    EvictionDeclined(CallerId),
    /// The operator asks the node to stop.
    Stop,
    /// Time has passed.
    Timeout,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a caller a message.
    ToCaller(CallerId, Vec<u8>),
    /// Close a caller's connection, unless something has arrived on it. Answered by [`Input::CallerClosed`] or
    /// [`Input::EvictionDeclined`].
    EvictCaller(CallerId),
    /// Connect to a server. Answered by [`Input::UpstreamConnected`] or [`Input::UpstreamClosed`].
    Connect(UpstreamId, SocketAddr),
    /// Send a server a message; a connection's messages are numbered from 0 in their order.
    ToServer {
        /// The connection.
        upstream: UpstreamId,
        /// The message's number on it.
        message: u64,
        /// The message.
        bytes: Vec<u8>,
        /// Not to be written after this moment; answered by [`Input::MessageDropped`] then.
        not_after_ns: Option<Nanos>,
    },
    /// Cancel a set-up. If all of it has left, `bytes` follow it as message `stop_message`; if part of it has left, the
    /// connection ends.
    CancelSetup {
        /// The connection.
        upstream: UpstreamId,
        /// Number of the set-up's message.
        message: u64,
        /// Number of the message that cancels it at the server.
        stop_message: u64,
        /// The message that cancels it at the server.
        bytes: Vec<u8>,
    },
    /// Close a connection to a server: what waits there is written, but for set-ups. No [`Input::UpstreamClosed`]
    /// follows.
    Disconnect(UpstreamId),
    /// Nothing is owed any more.
    Stopped,
}

/// The core of a node. Same settings, seed and inputs give the same effects.
pub struct NodeCore {
    site: Site,
    max_upstreams: usize,
    controller: Controller,
    now: Nanos,
    callers: BTreeMap<CallerId, Caller>,
    calls: BTreeMap<CallId, Call>,
    /// How many calls have no final response yet.
    open_calls: usize,
    /// Calls by the id that crosses the wire.
    calls_by_wire_id: BTreeMap<u64, CallId>,
    servers: BTreeMap<ServerId, Server>,
    servers_by_uid: BTreeMap<String, ServerId>,
    upstreams: BTreeMap<UpstreamId, UpstreamConnection>,
    timers: Timers<Timer>,
    stall: StallDetector,
    next_call: CallId,
    next_server: ServerId,
    next_upstream: UpstreamId,
    /// Releases to callers that no connection could carry yet, oldest first.
    unsent_releases: VecDeque<Vec<u8>>,
    /// Wire ids of calls that went to a server and are over, and until when their ends may still arrive.
    retired_wire_ids: BTreeMap<u64, Nanos>,
    /// Events for the controller that its own actions cause, for after the actions in hand.
    pending_events: VecDeque<Event>,
    /// Reused by each event.
    actions: Vec<Action>,
    /// Whether a complete list of servers has arrived.
    has_endpoint_list: bool,
    /// Whether the operator has asked the node to stop; late set-ups are still admitted.
    is_stopping: bool,
    /// Whether late set-ups have had their time: none is admitted any more.
    is_admission_closed: bool,
    is_stopped: bool,
    counters: Counters,
}

impl NodeCore {
    /// A core that knows its settings and nothing else. `max_upstreams`: connections to servers, beyond one to each.
    /// `now`: nanoseconds since 1970, as all times here.
    pub fn new(site: Site, max_upstreams: usize, now: Nanos, seed: u64) -> Self {
        let mut core = NodeCore {
            controller: Controller::new(site.settings.clone(), seed),
            site,
            max_upstreams,
            now,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            open_calls: 0,
            calls_by_wire_id: BTreeMap::new(),
            servers: BTreeMap::new(),
            servers_by_uid: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            timers: Timers::default(),
            stall: StallDetector::default(),
            next_call: 1,
            next_server: 1,
            next_upstream: 1,
            unsent_releases: VecDeque::new(),
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

    /// Handles one input and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.stall.note(self.now, self.timers.first(), 2 * self.site.settings.tick_ns);
        // What was due before is handled before what has been read since.
        self.fire_due_timers(effects);
        self.dispatch(input, effects);
        self.run_pending_events(effects);
        if self.is_admission_closed && !self.is_stopped && self.open_calls == 0 {
            self.is_stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    fn dispatch(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::CallerOpened(caller) => drop(self.callers.insert(caller, Caller::new(self.now))),
            Input::CallerMessage(caller, message) => self.handle_caller_message(caller, message, effects),
            Input::CallerDisconnected(caller) => self.handle_caller_disconnected(caller, effects),
            Input::CallerClosed(caller) => self.handle_caller_closed(caller, effects),
            Input::CallerMessageUndelivered(bytes) => self.redeliver_release(bytes, effects),
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
            Input::EndpointsUpdated(endpoints) => self.update_endpoints(&endpoints, effects),
            Input::EvictIdleCaller => self.evict_idle_caller(effects),
            Input::EvictionDeclined(caller) => self.handle_eviction_declined(caller),
            Input::Stop => self.begin_stopping(),
            Input::Timeout => {}
        }
    }

    /// When the next [`Input::Timeout`] is due.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// Whether the node passes its test: it has a complete list of servers, and nobody asked it to stop.
    pub fn is_ready(&self) -> bool {
        self.has_endpoint_list && !self.is_stopping
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How many calls there are now.
    pub fn call_counts(&self) -> CallCounts {
        CallCounts { open: self.open_calls, established: self.calls.len() - self.open_calls }
    }

    /// How many connections there are now.
    pub fn connection_counts(&self) -> ConnectionCounts {
        ConnectionCounts { callers: self.callers.len(), upstreams: self.upstreams.len() }
    }

    /// Sizes of all containers by name: for tests that nothing grows without bound.
    #[doc(hidden)]
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let own = [
            ("callers", self.callers.len()),
            ("calls", self.calls.len()),
            ("open calls", self.open_calls),
            ("wire ids of calls", self.calls_by_wire_id.len()),
            ("servers", self.servers.len()),
            ("uids of servers", self.servers_by_uid.len()),
            ("upstream connections", self.upstreams.len()),
            ("cancelled set-ups", self.upstreams.values().map(|upstream| upstream.cancelled.len()).sum()),
            ("timers", self.timers.len()),
            ("unsent releases", self.unsent_releases.len()),
            ("retired wire ids", self.retired_wire_ids.len()),
            ("releases to servers", self.upstreams.values().map(|upstream| upstream.releases.len()).sum()),
        ];
        own.into_iter().chain(self.controller.sizes()).collect()
    }

    /// Feeds the controller what is due to it, and carries out its actions, until nothing is left.
    fn run_pending_events(&mut self, effects: &mut Vec<Effect>) {
        while let Some(event) = self.pending_events.pop_front() {
            let traced = tracing::enabled!(tracing::Level::TRACE).then(|| event.clone());
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(self.now, event, &mut actions);
            traced.iter().for_each(|event| self.trace_attempts(event, &actions));
            for action in actions.drain(..) {
                self.carry_out(action, effects);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::ForwardSetup { call, server, timeout_ns } => {
                self.forward_setup(call, server, timeout_ns, effects);
            }
            Action::CancelAttempt { call, attempt } => self.cancel_attempt(call, attempt, effects),
            Action::Reject { call, retry_after_ns } => self.reject_call(call, retry_after_ns, effects),
            Action::Fail { call } => self.fail_call(call, effects),
            Action::SetTimer(at) => self.timers.set_no_later(Timer::Controller, at),
            // The coordinator is followed in any case.
            Action::Subscribe => {}
        }
    }
}
