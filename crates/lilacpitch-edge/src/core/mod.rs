//! The core of the edge, without I/O: an [`Input`] goes in with the time, [`Effect`]s come out.
//!
//! An input becomes an event of the controller, and the controller's actions become effects. [`EdgeCore`] is the sole
//! owner of callers, calls, attempts, upstream connections and timers. It decides nothing about routing, admission or
//! retries: the controller does. What it owes by itself are the rules on the wire: one final answer to each call and
//! nothing sent for it afterwards, each attempt's end reported once, no circuit left behind at a server, and nothing
//! queued for a server that drains.

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
use lilacpitch::interface::{Action, LoadReport, Nanos, Outcome};
use lilacpitch::{Controller, Event, Policy, Settings};
use lilacpitch_config::{Edge, Pools};
use lilacpitch_net::{StallDetector, Timers};
use lilacpitch_protocol::message::call::{FromCaller, ToCaller};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use site::Site;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timer;
use upstreams::Servers;

/// A caller's connection, by the number the shell gives it. Never reused.
pub type CallerId = u64;
/// A connection to a server, by the number the core gives it. Never reused.
pub type UpstreamId = u64;
/// An attempt, by the number that crosses the wire. Never reused within an incarnation of the edge.
pub type AttemptId = u64;

/// Mixed into the seed, so that the core's random numbers differ from those of the controller, which gets the seed.
const RNG_STREAM: u64 = 0x6c69_6c61_6370;
/// Attempt numbers that the clock sets aside for each millisecond: no edge sends that many in one.
const ATTEMPTS_PER_MS: AttemptId = 1_000;
/// Nanoseconds in a millisecond.
const NS_PER_MS: Nanos = 1_000_000;
/// Longest text of an error that is sent to a caller, in characters.
const MAX_REASON_CHARS: usize = 80;

/// What happens to an edge.
#[derive(Debug)]
pub enum Input {
    /// A caller has connected.
    CallerOpened(CallerId),
    /// A caller sent a text message.
    CallerText(CallerId, String),
    /// A caller's connection has ended.
    CallerClosed(CallerId),
    /// A connection that [`Effect::Connect`] requested is ready.
    UpstreamConnected(UpstreamId),
    /// A server sent a text message.
    UpstreamText(UpstreamId, String),
    /// A connection has ended or could not be made.
    UpstreamClosed {
        /// The connection.
        upstream: UpstreamId,
        /// How many of the messages given to it may have reached the server.
        written: u64,
    },
    /// A set-up given to a connection was not written in time, and never will be.
    NotWritten {
        /// The connection.
        upstream: UpstreamId,
        /// Which of its messages, from 0.
        message: u64,
    },
    /// The endpoint list was read, and has changed.
    PoolList(Pools),
    /// Another edge, by its origin, reports what it knows of servers.
    PeerReported(u64, Vec<lilacpitch_gossip::ServerReport>),
    /// What other edges, by their origins, have lately met at servers.
    RumorsReceived(Vec<(u64, lilacpitch_gossip::ServerReport)>),
    /// A caller stated, as it connected, the number at which it is reached.
    CallerNumber(CallerId, String),
    /// The fleet's answer for a call that waits for it: the pool through which its number is reached, if any.
    Located(u64, Option<String>),
    /// Whether this edge may act on its settings version: if not, it accepts no new calls and ends those it has.
    SettingsInForce(bool),
    /// All location records of this edge are to be published again.
    RecordsRequested,
    /// The operator asks the edge to stop.
    Stop,
    /// Time has passed.
    Timeout,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a caller a text message.
    ToCaller(CallerId, String),
    /// Connect to a server, and answer with [`Input::UpstreamConnected`] or [`Input::UpstreamClosed`].
    Connect(UpstreamId, SocketAddr),
    /// Send a server a text message: the connection's messages are numbered from 0 in their order.
    ToServer {
        /// The connection.
        upstream: UpstreamId,
        /// Its number among the connection's messages.
        message: u64,
        /// The message.
        text: String,
        /// Not to be written after this moment; answered by [`Input::NotWritten`] then.
        not_after_ns: Option<Nanos>,
    },
    /// End a connection to a server, once what was given to it is written. No [`Input::UpstreamClosed`] follows.
    Disconnect(UpstreamId),
    /// Look a number up in the fleet. Answered by [`Input::Located`]; an answer after the time limit is ignored.
    Locate {
        /// The call that waits.
        call: u64,
        /// Its number.
        number: String,
        /// How long it waits.
        patience_ns: Nanos,
    },
    /// A location record of this edge has appeared or ended.
    RecordChanged(RecordEvent),
    /// The edge has stopped: no call is left.
    Stopped,
}

/// Safeguards that a test may switch off to see that the checker of the call rules notices. Always on in a program.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
pub struct Safeguards {
    /// One attempt of a call at a time.
    pub one_attempt: bool,
    /// Drains are reported to the controller.
    pub drain_deadline: bool,
    /// A call gets one final answer.
    pub one_answer: bool,
    /// A call pauses after a time-out, reset or cancel, so that a server can release it.
    pub release: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards { one_attempt: true, drain_deadline: true, one_answer: true, release: true }
    }
}

/// The core of an edge. The same settings, seed and inputs give the same effects.
pub struct EdgeCore {
    name: String,
    settings: Edge,
    site: Site,
    safeguards: Safeguards,
    controller: Box<dyn Policy>,
    rng: Pcg32,
    now: Nanos,
    /// Each caller's calls, by the id that the caller gave them.
    callers: BTreeMap<CallerId, BTreeMap<String, u64>>,
    calls: BTreeMap<u64, Call>,
    attempts: BTreeMap<AttemptId, Attempt>,
    servers: Servers,
    timers: Timers<Timer>,
    next_call: u64,
    next_attempt: AttemptId,
    /// Events that wait for the controller until the actions in hand are done.
    pending_events: VecDeque<Event>,
    /// Empty between two events; kept for its capacity.
    actions: Vec<Action>,
    is_stopping: bool,
    has_stopped: bool,
    stall: StallDetector,
    counters: Counters,
    fleet: Option<fleet::Fleet>,
}

impl EdgeCore {
    /// An edge without callers, calls and servers. `now`: nanoseconds since 1970, as all times here.
    pub fn new(settings: Edge, now: Nanos, seed: u64) -> Self {
        Self::with_safeguards(settings, now, seed, Safeguards::default())
    }

    #[doc(hidden)]
    pub fn with_safeguards(settings: Edge, now: Nanos, seed: u64, safeguards: Safeguards) -> Self {
        Self::with_policy(settings, now, seed, safeguards, &|settings, seed| {
            Box::new(Controller::new(settings, seed))
        })
    }

    /// With another policy in the controller's place: for the testbed's baselines.
    #[doc(hidden)]
    pub fn with_policy(
        settings: Edge,
        now: Nanos,
        seed: u64,
        safeguards: Safeguards,
        policy: &dyn Fn(Settings, u64) -> Box<dyn Policy>,
    ) -> Self {
        let site = Site::new(&settings);
        let mut controller_settings = site.controller_settings(&settings);
        if !safeguards.release {
            controller_settings.release_ns = 0;
        }
        EdgeCore {
            name: settings.name.clone(),
            controller: policy(controller_settings, seed),
            rng: Pcg32::seed_from_u64(seed ^ RNG_STREAM),
            site,
            safeguards,
            now,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            servers: Servers::default(),
            timers: Timers::default(),
            next_call: 1,
            // Above those of a former incarnation, which servers may still have.
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

    /// Handles one input and appends what is to be done. A clock that runs backwards is taken to have stopped.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.stall.note(self.now, self.timers.first(), 2 * self.settings.timing.tick_ns);
        // Due timers go first: an answer that arrives together with its time-out is late.
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

    /// Lets calls wait for the fleet for their whole budget: for tests of the fleet's checker.
    #[doc(hidden)]
    pub fn disable_locate_limit(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.limits_locate_time = false;
        }
    }

    /// When [`Input::Timeout`] is due next.
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

    /// What has been counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How many calls have no answer yet, and how many are established.
    pub fn call_counts(&self) -> (usize, usize) {
        let established = self.calls.values().filter(|call| call.is_established).count();
        (self.calls.len() - established, established)
    }

    /// How many callers are connected.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    fn fire_due_timers(&mut self, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Controller => self.pending_events.push_back(Event::TimerFired),
                Timer::AttemptTimeout(attempt) => {
                    self.end_attempt(attempt, Outcome::TimedOut, LoadReport::default(), effects);
                }
                Timer::Resend(attempt) => self.resend(attempt, effects),
                Timer::Reconnect(server) => self.connect(server, effects),
                Timer::Locate(call) => self.handle_located(call, None),
                Timer::Stop => self.end_all_calls("the front is stopping", effects),
            }
            self.run_controller(effects);
        }
    }

    /// Feeds the controller the events that wait for it, and carries its actions out, until there are none.
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

    /// Answers a message that cannot be acted on.
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
