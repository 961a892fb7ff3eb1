//! The core of the edge, without I/O: it takes an [`Input`] with the current time and returns [`Effect`]s.
//!
//! An input becomes an event of the controller, and the controller's actions become effects. [`EdgeCore`] is
//! the sole owner of callers, calls, attempts, upstream connections and timers. It decides nothing about
//! routing, admission or retries: the controller does. The core itself guarantees the rules of the protocol:
//! each call gets one final answer, and nothing is sent for it afterwards; the end of each attempt is
//! reported once; no circuit stays occupied at a server; and nothing is queued for a draining server.

mod attempts;
mod calls;
mod counters;
mod endpoint_list;
mod fleet;
mod server_reports;
mod site;
mod timers;
mod upstreams;

pub use counters::Counters;
pub use endpoint_list::ListedServer;
pub use fleet::RecordEvent;

use attempts::Attempt;
use calls::Call;
use lilacpitch::interface::{Action, Nanos, Outcome};
use lilacpitch::{Controller, Event, Policy, Settings};
use lilacpitch_config::{Edge, Pools};
use lilacpitch_net::{StallDetector, Timers};
use lilacpitch_protocol::message::call::{FromCaller, ToCaller};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use site::NameTable;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timer;
use upstreams::Servers;

/// The number of a caller's connection, assigned by the shell. Never reused.
pub type CallerId = u64;
/// The number of a connection to a server, assigned by the core. Never reused.
pub type UpstreamId = u64;
/// The number of an attempt, as sent to servers. Never reused within an incarnation of the edge.
pub type AttemptId = u64;

/// Mixed into the seed, so that the core's random numbers differ from those of the controller, which uses the
/// seed itself.
const RNG_STREAM: u64 = 0x6c69_6c61_6370;
/// Attempt numbers reserved for each millisecond of the clock: no edge begins that many attempts in one
/// millisecond.
const ATTEMPTS_PER_MS: AttemptId = 1_000;
/// Nanoseconds in a millisecond.
const NS_PER_MS: Nanos = 1_000_000;
/// Maximum length of an error text that is sent to a caller, in characters.
const MAX_REASON_CHARS: usize = 80;

/// An event that the shell reports to the core.
#[derive(Debug)]
pub enum Input {
    /// A caller has connected.
    CallerOpened(CallerId),
    /// A caller sent a text message.
    CallerText(CallerId, String),
    /// A caller's connection has ended.
    CallerClosed(CallerId),
    /// A connection that [`Effect::Connect`] requested is established.
    UpstreamConnected(UpstreamId),
    /// A server sent a text message.
    UpstreamText(UpstreamId, String),
    /// A connection to a server has ended or could not be established.
    UpstreamClosed {
        /// The number of the connection.
        upstream: UpstreamId,
        /// Number of messages on this connection that may have reached the server.
        written: u64,
    },
    /// A set-up for a connection was not written in time and has been discarded.
    NotWritten {
        /// The number of the connection.
        upstream: UpstreamId,
        /// The number of the message on this connection, from 0.
        message: u64,
    },
    /// A message to a server is completely written, as [`Effect::ToServer`] asked to be told.
    Written {
        /// The number of the connection.
        upstream: UpstreamId,
        /// The number of the message on this connection, from 0.
        message: u64,
    },
    /// A new version of the endpoint list was read.
    PoolList(Pools),
    /// Another edge, identified by its origin, reports the state of servers.
    PeerReported(u64, Vec<lilacpitch_gossip::ServerReport>),
    /// Recent reports about servers that other edges spread by gossip, each with the origin of its edge.
    RumorsReceived(Vec<(u64, lilacpitch_gossip::ServerReport)>),
    /// A caller named the number at which it is reached when it connected.
    CallerNumber(CallerId, String),
    /// The result of a locate for a call that waits for it: the pool through which its number is reached, if
    /// any.
    Located(u64, Option<String>),
    /// Whether the settings version of this edge is in force. If not, the edge ends its calls and accepts no
    /// new ones.
    SettingsInForce(bool),
    /// Requests that all location records of this edge be published again.
    RecordsRequested,
    /// The operator requests an orderly stop.
    Stop,
    /// A timer may be due.
    Timeout,
}

/// An operation that the core requests of the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a caller a text message.
    ToCaller(CallerId, String),
    /// Connect to a server. Answered by [`Input::UpstreamConnected`] or [`Input::UpstreamClosed`].
    Connect(UpstreamId, SocketAddr),
    /// Send a server a text message. The messages of a connection are numbered from 0 in the order of
    /// sending.
    ToServer {
        /// The number of the connection.
        upstream: UpstreamId,
        /// The number of the message on this connection.
        message: u64,
        /// The text of the message.
        text: String,
        /// Discard the message if it has not been written by this time; answered by [`Input::NotWritten`]
        /// then.
        not_after_ns: Option<Nanos>,
        /// Whether [`Input::Written`] is to follow once the message is completely written.
        reports_written: bool,
    },
    /// End a connection to a server once its queued messages are written. No [`Input::UpstreamClosed`]
    /// follows.
    Disconnect(UpstreamId),
    /// Look up a number in the fleet. Answered by [`Input::Located`]; a later answer is ignored.
    Locate {
        /// The number of the waiting call.
        call: u64,
        /// The dialled number.
        number: String,
        /// How long the call waits for the result.
        timeout_ns: Nanos,
    },
    /// A location record of this edge was added or removed.
    RecordChanged(RecordEvent),
    /// The edge has stopped and has no calls left.
    Stopped,
}

/// Safeguards that a test may switch off to verify that the checker of the call rules detects the violation.
/// All are on outside tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
pub struct Safeguards {
    /// A call has at most one attempt at a time.
    pub one_attempt: bool,
    /// Draining servers get no new set-ups: the controller is informed of them, and queued set-ups are
    /// withdrawn.
    pub drain_deadline: bool,
    /// A call gets only one final answer.
    pub one_answer: bool,
    /// A call waits after a time-out, a reset or a cancel, so that the server can release it before the next
    /// attempt.
    pub release: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards { one_attempt: true, drain_deadline: true, one_answer: true, release: true }
    }
}

/// The core of an edge. It is deterministic: equal settings, seeds and inputs give equal effects.
pub struct EdgeCore {
    name: String,
    settings: Edge,
    names: NameTable,
    safeguards: Safeguards,
    controller: Box<dyn Policy>,
    rng: Pcg32,
    now: Nanos,
    /// The calls of each caller: from the id that the caller gave a call to the call's number.
    callers: BTreeMap<CallerId, BTreeMap<String, u64>>,
    calls: BTreeMap<u64, Call>,
    attempts: BTreeMap<AttemptId, Attempt>,
    servers: Servers,
    timers: Timers<Timer>,
    next_call: u64,
    next_attempt: AttemptId,
    /// Events for the controller that wait until its current actions are carried out.
    pending_events: VecDeque<Event>,
    /// Buffer for the controller's actions, empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
    is_stopping: bool,
    has_stopped: bool,
    stall: StallDetector,
    counters: Counters,
    fleet: Option<fleet::Fleet>,
}

impl EdgeCore {
    /// Creates an edge without callers, calls and servers. All times are in nanoseconds since 1970.
    pub fn new(settings: Edge, now: Nanos, seed: u64) -> Self {
        Self::with_safeguards(settings, now, seed, Safeguards::default())
    }

    /// Creates an edge with safeguards that may be switched off, for tests of the checker.
    #[doc(hidden)]
    pub fn with_safeguards(settings: Edge, now: Nanos, seed: u64, safeguards: Safeguards) -> Self {
        Self::with_policy(settings, now, seed, safeguards, &|settings, seed| {
            Box::new(Controller::new(settings, seed))
        })
    }

    /// Creates an edge with another policy in place of the controller, for the testbed's baselines.
    #[doc(hidden)]
    pub fn with_policy(
        settings: Edge,
        now: Nanos,
        seed: u64,
        safeguards: Safeguards,
        policy: &dyn Fn(Settings, u64) -> Box<dyn Policy>,
    ) -> Self {
        let names = NameTable::new(&settings);
        let mut controller_settings = names.controller_settings(&settings);
        if !safeguards.release {
            controller_settings.release_ns = 0;
        }
        EdgeCore {
            name: settings.name.clone(),
            controller: policy(controller_settings, seed),
            rng: Pcg32::seed_from_u64(seed ^ RNG_STREAM),
            names,
            safeguards,
            now,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            servers: Servers::default(),
            timers: Timers::default(),
            next_call: 1,
            // Higher than the numbers of the previous incarnation, which servers may still use.
            next_attempt: now / NS_PER_MS * ATTEMPTS_PER_MS,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            is_stopping: false,
            has_stopped: false,
            stall: StallDetector::default(),
            counters: Counters::default(),
            fleet: settings.fleet.as_ref().map(fleet::Fleet::new),
            settings,
        }
    }

    /// Handles one input and appends the resulting effects. If the clock runs backwards, the previous time is
    /// used.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.stall.note(self.now, self.timers.first(), 2 * self.settings.timing.tick_ns);
        // Due timers fire first: an answer that arrives together with its time-out is late.
        self.fire_due_timers(effects);
        self.dispatch(input, effects);
        self.run_controller(effects);
        self.emit_record_events(effects);
        if self.is_stopping && !self.has_stopped && self.calls.is_empty() {
            self.has_stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    fn dispatch(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::CallerOpened(caller) => {
                self.callers.entry(caller).or_default();
            }
            Input::CallerText(caller, text) => self.handle_caller_text(caller, &text, effects),
            Input::CallerClosed(caller) => self.handle_caller_closed(caller, effects),
            Input::UpstreamConnected(upstream) => self.handle_upstream_connected(upstream, effects),
            Input::UpstreamText(upstream, text) => self.handle_upstream_text(upstream, &text, effects),
            Input::UpstreamClosed { upstream, written } => {
                self.handle_upstream_closed(upstream, written, effects);
            }
            Input::NotWritten { upstream, message } => self.handle_not_written(upstream, message, effects),
            Input::Written { upstream, message } => self.handle_written(upstream, message, effects),
            Input::PoolList(pools) => self.handle_endpoint_list(&pools, effects),
            Input::PeerReported(origin, reports) => self.handle_peer_report(origin, reports),
            Input::RumorsReceived(rumors) => self.handle_rumors(rumors),
            Input::CallerNumber(caller, number) => self.add_binding(caller, number),
            Input::Located(call, pool) => self.handle_located(call, pool.as_deref()),
            Input::SettingsInForce(is_in_force) => self.set_settings_in_force(is_in_force, effects),
            Input::RecordsRequested => self.publish_all_records(),
            Input::Stop => self.begin_stop(),
            Input::Timeout => {}
        }
    }

    /// Lets a locate take the whole budget of its call, for tests of the fleet's checker.
    #[doc(hidden)]
    pub fn disable_locate_limit(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.limits_locate_time = false;
        }
    }

    /// When the next [`Input::Timeout`] is due.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// Counts an endpoint list that could not be read; the current one stays in force.
    pub fn count_rejected_list(&mut self) {
        self.counters.lists_rejected += 1;
    }

    /// Counts a caller that the shell disconnected; [`Input::CallerClosed`] follows.
    pub fn count_disconnected_caller(&mut self) {
        self.counters.callers_disconnected += 1;
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The number of calls without an answer, and the number of established calls.
    pub fn call_counts(&self) -> (usize, usize) {
        let established = self.calls.values().filter(|call| call.is_established).count();
        (self.calls.len() - established, established)
    }

    /// The number of connected callers.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    fn fire_due_timers(&mut self, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Controller => self.pending_events.push_back(Event::TimerFired),
                Timer::AttemptTimeout(attempt) => {
                    self.give_up_attempt(attempt, Outcome::TimedOut, effects);
                }
                Timer::Resend(attempt) => self.resend(attempt, effects),
                Timer::Reconnect(server) => self.connect(server, effects),
                Timer::Locate(call) => self.handle_located(call, None),
                Timer::Stop => self.end_all_calls("the front is stopping", effects),
            }
            self.run_controller(effects);
        }
    }

    /// Passes pending events to the controller and carries out its actions, until no event is left.
    fn run_controller(&mut self, effects: &mut Vec<Effect>) {
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(self.now, event, &mut actions);
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
            Action::Fail { call } => self.fail_call(call, "no further attempt is allowed", effects),
            Action::SetTimer(at) => self.timers.set_no_later(Timer::Controller, at),
            // The endpoint list arrives without a subscription.
            Action::Subscribe => {}
        }
    }

    fn handle_caller_text(&mut self, caller: CallerId, text: &str, effects: &mut Vec<Effect>) {
        match FromCaller::decode(text) {
            Ok(FromCaller::Setup { call, class, pool, number, budget_ms }) => {
                let setup = calls::SetupRequest { call, class, pool, number, budget_ms };
                self.handle_setup(caller, setup, effects);
            }
            Ok(FromCaller::Release { call }) => self.release_call(caller, call, effects),
            Err(error) => {
                let reason = error.to_string().chars().take(MAX_REASON_CHARS).collect();
                self.send_error(caller, reason, FromCaller::read_call_id(text), effects);
            }
        }
    }

    /// Answers a message that is rejected with an `error`.
    fn send_error(
        &mut self,
        caller: CallerId,
        reason: String,
        call: Option<String>,
        effects: &mut Vec<Effect>,
    ) {
        self.counters.caller_errors += 1;
        tracing::debug!(caller, reason, call, "caller message rejected");
        effects.push(Effect::ToCaller(caller, ToCaller::Error { reason, call }.encode()));
    }

    fn begin_stop(&mut self) {
        if self.is_stopping {
            return;
        }
        tracing::info!(calls = self.calls.len(), "stopping, no new calls accepted");
        self.is_stopping = true;
        self.timers.set(Timer::Stop, self.now + self.settings.timing.stop_ns);
    }

    /// Fails calls that have no answer yet, and releases established ones.
    fn end_all_calls(&mut self, cause: &str, effects: &mut Vec<Effect>) {
        let ids: Vec<u64> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get(&id) else { continue };
            if !call.is_established {
                self.abandon_call(id, effects);
                self.fail_call(id, cause, effects);
                continue;
            }
            let (caller, name) = (call.caller, call.name.clone());
            self.close_call(id, effects);
            let text = ToCaller::Released { call: name, cause: cause.into() }.encode();
            effects.push(Effect::ToCaller(caller, text));
        }
    }
}
