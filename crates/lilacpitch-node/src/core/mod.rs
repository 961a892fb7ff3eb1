//! The core of a node, without I/O: inputs in, effects out, time handed in.
//!
//! One way through it: an [`Input`] becomes an event of the module, the module's actions become [`Effect`]s.
//! [`Node`] is the sole owner of callers, calls, attempts, links and timers. What it owes by itself keeps the rules
//! on the wire: one final answer to each call, nothing sent for it after, each attempt's end told once, nothing
//! queued for a server that drains, and what has stood released towards its caller.

mod active_calls;
mod callers;
mod calls;
mod counters;
mod endpoint_list;
mod upstreams;

pub use counters::Counters;

use crate::coordinator::Endpoints;
use crate::signal::FromServer;
use callers::Caller;
use calls::Call;
use lilacpitch::interface::{Action, CallId, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::settings::Site;
use lilacpitch::{Controller, Event};
use lilacpitch_net::{StallDetector, Timers};
use lilacpitch_sip::Message;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use upstreams::{Link, Server};

/// A caller's connection, by the number the shell gives it. Never given twice.
pub type CallerId = u64;
/// A connection to a server, by the number the node gives it. Never given twice.
pub type UpstreamId = u64;

/// After SIGTERM, callers' connections and set-ups are taken for so long: new connections come for 0.4 s, requests
/// on open ones for 0.2 s more, by the platform's page on its figures.
const LATE_ARRIVALS_NS: Nanos = 750_000_000;
/// The kill comes no sooner than the longest deadline, counted as this where it is longer, and this more.
const KILL_AFTER_NS: (Nanos, Nanos) = (3_000_000_000, 700_000_000);
/// What is open so long before the kill is answered then.
const LAST_CALL_NS: Nanos = 250_000_000;

/// What happens to a node.
#[derive(Debug)]
pub enum Input {
    /// A caller's connection is there.
    CallerOpened(CallerId),
    /// A caller sent a message.
    CallerMessage(CallerId, Message),
    /// A caller has closed its connection; what it sent before may still come.
    CallerLeft(CallerId),
    /// A caller's connection has ended.
    CallerClosed(CallerId),
    /// A message that a caller's connection did not take before its end.
    NotTaken(Vec<u8>),
    /// A connection that was asked for is ready.
    UpstreamConnected(UpstreamId),
    /// A server sent a message.
    UpstreamMessage(UpstreamId, FromServer),
    /// A connection has ended or could not be made.
    UpstreamClosed {
        /// The connection.
        link: UpstreamId,
        /// Of the messages given to it, so many may have reached the server.
        written: u64,
        /// Whether the machine there said at once that nobody listens.
        refused: bool,
    },
    /// A message given to a connection was too old to be written, and never will be.
    NotWritten {
        /// The connection.
        link: UpstreamId,
        /// Which of its messages, from 0.
        message: u64,
    },
    /// The coordinator's news.
    List(Endpoints),
    /// Room for connections is short: the caller whose connection is idle for longest is to go.
    Evict,
    /// A caller that was to go stays: something has come from it, or waits for it.
    NotEvicted(CallerId),
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
    /// End a caller's connection, unless something has come on it: `CallerClosed` follows, or `NotEvicted`.
    EvictCaller(CallerId),
    /// Make a connection to a server, and answer with `LinkUp` or `LinkDown`.
    Connect(UpstreamId, SocketAddr),
    /// Send a server a message: the connection's messages are numbered from 0 in their order.
    ToServer {
        /// The connection.
        link: UpstreamId,
        /// Its number among the connection's messages.
        message: u64,
        /// The message.
        bytes: Vec<u8>,
        /// Not to be written after this moment; answered by `NotWritten` then.
        not_after_ns: Option<Nanos>,
    },
    /// Take a message back. Where it has left, `bytes` follow it as message `stop`; where it has begun to, the
    /// connection ends.
    Withdraw {
        /// The connection.
        link: UpstreamId,
        /// The number of the message that is taken back.
        message: u64,
        /// The number of what follows it.
        stop: u64,
        /// What tells the server.
        bytes: Vec<u8>,
    },
    /// End a connection to a server: what waits there is written, but for set-ups. No `LinkDown` follows.
    Disconnect(UpstreamId),
    /// Nothing is owed any more.
    Stopped,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The module asked to be woken.
    Module,
    /// An attempt's time is up.
    TimeOut(CallId),
    /// Servers are looked at: what is gone, and whether what stands there is still reached.
    Look,
    /// Late arrivals have come by now.
    Leave,
    /// The kill is near: what is still open gets its answer.
    LastCall,
}

/// The core of a node. Same settings, seed and inputs give the same effects.
pub struct NodeCore {
    site: Site,
    max_links: usize,
    brain: Controller,
    now: Nanos,
    callers: BTreeMap<CallerId, Caller>,
    calls: BTreeMap<CallId, Call>,
    /// How many of them have no answer yet.
    open: usize,
    /// Calls that are open or stand, by the id that crosses the wire.
    by_wire: BTreeMap<u64, CallId>,
    servers: BTreeMap<ServerId, Server>,
    by_uid: BTreeMap<String, ServerId>,
    upstreams: BTreeMap<UpstreamId, Link>,
    timers: Timers<Timer>,
    stall: StallDetector,
    next_call: CallId,
    next_server: ServerId,
    next_link: UpstreamId,
    /// Releases that no connection could take yet, oldest first.
    unsent: VecDeque<Vec<u8>>,
    /// Ids of calls that went to a server and are over, and until when their ends may still be on their way.
    resting: BTreeMap<u64, Nanos>,
    /// Events that the node's own doings cause, for after the actions in hand.
    follow: VecDeque<Event>,
    actions: Vec<Action>,
    listed: bool,
    stopping: bool,
    leaving: bool,
    stopped: bool,
    counters: Counters,
}

impl NodeCore {
    /// A node that knows its settings and nothing else. `max_links`: connections to servers, beyond one each.
    /// `now`: nanoseconds since 1970, as all times here.
    pub fn new(site: Site, max_links: usize, now: Nanos, seed: u64) -> Self {
        let mut node = NodeCore {
            brain: Controller::new(site.settings.clone(), seed),
            site,
            max_links,
            now,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            open: 0,
            by_wire: BTreeMap::new(),
            servers: BTreeMap::new(),
            by_uid: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            timers: Timers::default(),
            stall: StallDetector::default(),
            next_call: 1,
            next_server: 1,
            next_link: 1,
            unsent: VecDeque::new(),
            resting: BTreeMap::new(),
            follow: VecDeque::new(),
            actions: Vec::new(),
            listed: false,
            stopping: false,
            leaving: false,
            stopped: false,
            counters: Counters::default(),
        };
        node.timers.set(Timer::Look, now + upstreams::LOOK_NS);
        node
    }

    /// Takes one input and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.stall.note(self.now, self.timers.first(), 2 * self.site.settings.tick_ns);
        // What was due before is judged before what has been read since.
        self.fire_due(effects);
        match input {
            Input::CallerOpened(caller) => drop(self.callers.insert(caller, Caller::new(self.now))),
            Input::CallerMessage(caller, message) => self.on_caller_message(caller, message, effects),
            Input::CallerLeft(caller) => self.on_caller_left(caller, effects),
            Input::CallerClosed(caller) => self.on_caller_closed(caller, effects),
            Input::NotTaken(bytes) => self.on_not_taken(bytes, effects),
            Input::UpstreamConnected(link) => self.on_link_up(link, effects),
            Input::UpstreamMessage(link, message) => self.on_link_message(link, message, effects),
            Input::UpstreamClosed { link, written, refused } => {
                self.on_link_down(link, written, refused, effects)
            }
            Input::NotWritten { link, message } => self.on_not_written(link, message, effects),
            Input::List(endpoints) => self.on_list(&endpoints, effects),
            Input::Evict => self.evict(effects),
            Input::NotEvicted(caller) => self.on_not_evicted(caller),
            Input::Stop => self.on_stop(),
            Input::Timeout => {}
        }
        self.run_follow(effects);
        if self.leaving && !self.stopped && self.open == 0 {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// When the next [`Input::Timeout`] is due.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// Whether set-ups are taken: the list is in hand, and nobody asked the node to stop.
    pub fn ready(&self) -> bool {
        self.listed && !self.stopping
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Set-ups that are open, and calls that stand.
    pub fn calls_now(&self) -> (usize, usize) {
        (self.open, self.calls.len() - self.open)
    }

    /// Connections of callers, and to servers.
    pub fn connections_now(&self) -> (usize, usize) {
        (self.callers.len(), self.upstreams.len())
    }

    /// How much is kept, by name: for tests that nothing keeps growing.
    #[doc(hidden)]
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let own = [
            ("callers", self.callers.len()),
            ("calls", self.calls.len()),
            ("open calls", self.open),
            ("ids of calls", self.by_wire.len()),
            ("servers", self.servers.len()),
            ("ids of servers", self.by_uid.len()),
            ("links", self.upstreams.len()),
            ("set-ups given up", self.upstreams.values().map(|link| link.given_up.len()).sum()),
            ("timers", self.timers.len()),
            ("releases unsent", self.unsent.len()),
            ("ids at rest", self.resting.len()),
            ("releases on their way", self.upstreams.values().map(|link| link.releases.len()).sum()),
        ];
        own.into_iter().chain(self.brain.sizes()).collect()
    }

    fn fire_due(&mut self, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Module => self.follow.push_back(Event::TimerFired),
                Timer::TimeOut(call) => self.give_up_attempt(call, Outcome::TimedOut, effects),
                Timer::Look => self.look(effects),
                Timer::Leave => self.leaving = true,
                Timer::LastCall => self.answer_rest(effects),
            }
            self.run_follow(effects);
        }
    }

    /// Feeds the module what is due to it, and does what it says, until nothing is left.
    fn run_follow(&mut self, effects: &mut Vec<Effect>) {
        while let Some(event) = self.follow.pop_front() {
            let traced = tracing::enabled!(tracing::Level::TRACE).then(|| event.clone());
            let mut actions = std::mem::take(&mut self.actions);
            self.brain.handle(self.now, event, &mut actions);
            traced.iter().for_each(|event| self.trace(event, &actions));
            for action in actions.drain(..) {
                match action {
                    Action::ForwardSetup { call, server, timeout_ns } => {
                        self.send(call, server, timeout_ns, effects)
                    }
                    Action::CancelAttempt { call, attempt } => self.cancel(call, attempt, effects),
                    Action::Reject { call, retry_after_ns } => self.refuse(call, retry_after_ns, effects),
                    Action::Fail { call } => self.fail(call, effects),
                    Action::SetTimer(at) => self.timers.set_no_later(Timer::Module, at),
                    // The coordinator is followed in any case.
                    Action::Subscribe => {}
                }
            }
            self.actions = actions;
        }
    }

    /// One record of each attempt that is sent, stands or ends, with what the module then believes of its server.
    fn trace(&self, event: &Event, actions: &[Action]) {
        let of = |call: &CallId| self.calls.get(call).map(|call| call.wire);
        let believed = |what: &str, call: u64, wire: Option<u64>, server: ServerId| {
            let Some(row) = self.servers.get(&server) else { return };
            let Some(fact) = self.brain.server_reports().into_iter().find(|fact| fact.server == server)
            else {
                return;
            };
            let (open, standing) = self.calls_now();
            tracing::trace!(
                "believed: {what} call={call} wire={:016x} server={} unanswered={} stood={} wait_ms={} suspect={} \
                 open={open} standing={standing}",
                wire.unwrap_or(0), row.uid, fact.in_flight, fact.succeeded, fact.wait_ns / 1_000_000, fact.is_unresponsive
            );
        };
        match event {
            Event::CallEstablished { call, .. } => {
                let server = self.calls.get(call).and_then(|call| call.attempt).map(|a| a.server);
                server.iter().for_each(|server| believed("stands", *call, of(call), *server));
            }
            Event::AttemptCompleted { call, server, outcome, .. } => {
                believed(&format!("{outcome:?}"), *call, of(call), *server);
            }
            _ => {}
        }
        for action in actions {
            if let Action::ForwardSetup { call, server, .. } = action {
                believed("sent", *call, of(call), *server);
            }
        }
    }

    /// How long after it was asked to stop the process may run.
    pub fn kill_after_ns(&self) -> Nanos {
        let longest = self.site.settings.classes.iter().map(|class| class.deadline_ns).max().unwrap_or(0);
        longest.min(KILL_AFTER_NS.0) + KILL_AFTER_NS.1
    }

    fn on_stop(&mut self) {
        if !self.stopping {
            tracing::info!(calls = self.calls.len(), "stopping once late arrivals have their answers");
            self.stopping = true;
            self.timers.set(Timer::Leave, self.now + LATE_ARRIVALS_NS);
            self.timers.set(Timer::LastCall, self.now + self.kill_after_ns() - LAST_CALL_NS);
        }
    }

    fn settled(
        &mut self,
        call: CallId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        closed: bool,
        report: LoadReport,
    ) {
        *self.counters.outcomes.entry(outcome_name(outcome)).or_default() += 1;
        self.follow.push_back(Event::AttemptCompleted {
            call,
            attempt,
            server,
            outcome,
            is_final: closed,
            report,
        });
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "passed",
        Outcome::Fault => "fault",
        Outcome::LinesBusy => "busy",
        Outcome::NoCircuit => "no_circuit",
        Outcome::Overloaded(_) => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "no_route",
        Outcome::Cut => "cut",
        Outcome::Cancelled => "called_off",
        Outcome::NotSent => "not_sent",
    }
}
