//! The core of a front, without I/O: inputs in, effects out, time handed in.
//!
//! One way through it: an [`Input`] becomes an event of the module, the module's actions become [`Effect`]s.
//! [`Front`] is the sole owner of callers, calls, attempts, links to servers and timers. It decides nothing
//! about routes, admission or further attempts: that is the module's. What it owes by itself is bookkeeping that
//! keeps the rules on the wire: one final answer for each call, nothing sent for it after, an attempt's end told
//! once, circuits at servers not leaked, nothing queued for a server that drains.

mod attempt;
mod calls;
mod counters;
mod facts;
mod fleet;
mod links;
mod pools;
mod site;
mod timers;

pub use counters::Counters;
pub use fleet::RecordEvent;
pub use pools::ListedServer;

use attempt::{Attempt, AttemptState};
use calls::Call;
use lilacpitch::interface::{Action, LoadReport, Nanos, Outcome};
use lilacpitch::{Controller, Event, Policy, Settings};
use lilacpitch_config::{Edge, Pools};
use lilacpitch_net::{StallDetector, Timers};
use lilacpitch_protocol::message::call::{FromCaller, ToCaller};
use links::Servers;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use site::Site;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timer;

/// A caller's connection, by the number the shell gives it. Never given twice.
pub type CallerId = u64;
/// A connection to a server, by the number the front gives it. Never given twice.
pub type UpstreamId = u64;
/// An attempt, by the number that crosses the wire. Never given twice in a front's life.
pub type AttemptId = u64;

/// What happens to a front.
#[derive(Debug)]
pub enum Input {
    /// A caller's connection is there.
    CallerOpened(CallerId),
    /// A caller sent a text message.
    CallerText(CallerId, String),
    /// A caller's connection has ended.
    CallerClosed(CallerId),
    /// A connection that was asked for is ready.
    UpstreamConnected(UpstreamId),
    /// A server sent a text message.
    UpstreamText(UpstreamId, String),
    /// A connection has ended or could not be made. Of the messages given to it, so many may have left.
    UpstreamClosed {
        /// The connection.
        upstream: UpstreamId,
        /// Messages that may have reached the server.
        written: u64,
    },
    /// A set-up given to a connection was not written in time, and never will be.
    NotWritten {
        /// The connection.
        upstream: UpstreamId,
        /// Which of its messages, from 0.
        message: u64,
    },
    /// The pool list was read, and has changed.
    PoolList(Pools),
    /// Another front, by its origin, says what it knows of servers.
    PeerReported(u64, Vec<lilacpitch_gossip::ServerReport>),
    /// What other fronts, by their origins, have lately met at servers.
    RumorsReceived(Vec<(u64, lilacpitch_gossip::ServerReport)>),
    /// A caller said, as it connected, at which number it is reached.
    CallerNumber(CallerId, String),
    /// The fleet's answer for a call that waits for it: the pool through which its number is reached, if any.
    Located(u64, Option<String>),
    /// Whether this front may act on its settings version: without, it takes no new calls and ends those it has.
    SettingsInForce(bool),
    /// All rows that this front has are wanted again.
    RecordsRequested,
    /// The operator asks the front to stop.
    Stop,
    /// Time has passed.
    Timeout,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a caller a text message.
    ToCaller(CallerId, String),
    /// Make a connection to a server, and answer with `LinkUp` or `LinkDown`.
    Connect(UpstreamId, SocketAddr),
    /// Send a server a text message: the connection's messages are numbered from 0 in their order.
    ToServer {
        /// The connection.
        upstream: UpstreamId,
        /// Its number among the connection's messages.
        message: u64,
        /// The message.
        text: String,
        /// Not to be written after this moment; answered by `NotWritten` then.
        not_after_ns: Option<Nanos>,
    },
    /// End a connection to a server, once what was given to it is written. No `LinkDown` follows.
    Disconnect(UpstreamId),
    /// Where is this number? Answered by `Located`, or too late.
    Locate {
        /// The call that waits.
        call: u64,
        /// Its number.
        number: String,
        /// For so long.
        patience_ns: Nanos,
    },
    /// A row of the fleet's register has changed.
    RecordChanged(RecordEvent),
    /// The front has stopped: nothing is owed any more.
    Stopped,
}

/// Guards that a test may switch off to see that the judge of the rules notices. Never off in a program.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
pub struct Safeguards {
    /// One attempt of a call at a time.
    pub one_attempt: bool,
    /// Drains are told to the module.
    pub drain_deadline: bool,
    /// A call's end ends what is sent for it, and it is answered once.
    pub one_answer: bool,
    /// A call's rest after a time-out, reset or cancel.
    pub release: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards { one_attempt: true, drain_deadline: true, one_answer: true, release: true }
    }
}

/// The core of a front. Same settings, seed and inputs give the same effects.
pub struct EdgeCore {
    name: String,
    settings: Edge,
    site: Site,
    guards: Safeguards,
    brain: Box<dyn Policy>,
    rng: Pcg32,
    now: Nanos,
    callers: BTreeMap<CallerId, BTreeMap<String, u64>>,
    calls: BTreeMap<u64, Call>,
    attempts: BTreeMap<AttemptId, Attempt>,
    servers: Servers,
    timers: Timers<Timer>,
    next_call: u64,
    next_attempt: AttemptId,
    /// Events that the front's own doings cause, for after the actions in hand.
    follow: VecDeque<Event>,
    actions: Vec<Action>,
    stopping: bool,
    stopped: bool,
    stall: StallDetector,
    counters: Counters,
    fleet: Option<fleet::Fleet>,
}

impl EdgeCore {
    /// A front that knows its settings and nothing else. `now`: nanoseconds since 1970, as all times here.
    pub fn new(settings: Edge, now: Nanos, seed: u64) -> Self {
        Self::with_safeguards(settings, now, seed, Safeguards::default())
    }

    #[doc(hidden)]
    pub fn with_safeguards(settings: Edge, now: Nanos, seed: u64, guards: Safeguards) -> Self {
        Self::with_policy(settings, now, seed, guards, &|told, seed| Box::new(Controller::new(told, seed)))
    }

    /// With another policy in the module's place: for the laboratory's baselines.
    #[doc(hidden)]
    pub fn with_policy(
        settings: Edge,
        now: Nanos,
        seed: u64,
        guards: Safeguards,
        policy: &dyn Fn(Settings, u64) -> Box<dyn Policy>,
    ) -> Self {
        let site = Site::new(&settings);
        let mut told = site.module_settings(&settings);
        if !guards.release {
            told.release_ns = 0;
        }
        EdgeCore {
            name: settings.name.clone(),
            brain: policy(told, seed),
            rng: Pcg32::seed_from_u64(seed ^ 0x6c69_6c61_6370),
            site,
            guards,
            now,
            callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            servers: Servers::default(),
            timers: Timers::default(),
            next_call: 1,
            // Above those of a former life, which servers may still have: no front sends a thousand a millisecond.
            next_attempt: now / 1_000_000 * 1_000,
            follow: VecDeque::new(),
            actions: Vec::new(),
            stopping: false,
            stopped: false,
            stall: StallDetector::default(),
            counters: Counters::default(),
            fleet: settings.fleet.as_ref().map(fleet::Fleet::new),
            settings,
        }
    }

    /// Takes one input and appends what is to be done. A clock that runs back stands still.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.stall.note(self.now, self.timers.first(), 2 * self.settings.timing.tick_ns);
        // What is due goes first: an answer that comes with its time-out comes too late.
        self.fire_due(effects);
        match input {
            Input::CallerOpened(caller) => {
                self.callers.entry(caller).or_default();
            }
            Input::CallerText(caller, text) => self.on_caller_text(caller, &text, effects),
            Input::CallerClosed(caller) => self.on_caller_closed(caller, effects),
            Input::UpstreamConnected(link) => self.on_link_up(link, effects),
            Input::UpstreamText(link, text) => self.on_link_text(link, &text, effects),
            Input::UpstreamClosed { upstream: link, written } => self.on_link_down(link, written, effects),
            Input::NotWritten { upstream: link, message } => self.on_not_written(link, message, effects),
            Input::PoolList(pools) => self.on_pool_list(&pools, effects),
            Input::PeerReported(origin, facts) => self.on_told(origin, facts),
            Input::RumorsReceived(heard) => self.on_heard(heard),
            Input::CallerNumber(caller, number) => self.on_caller_number(caller, number),
            Input::Located(call, pool) => self.on_located(call, pool.as_deref()),
            Input::SettingsInForce(in_force) => self.on_in_force(in_force, effects),
            Input::RecordsRequested => self.on_rows_wanted(),
            Input::Stop => self.on_stop(),
            Input::Timeout => {}
        }
        self.run_follow(effects);
        if let Some(fleet) = &mut self.fleet {
            effects.extend(fleet.rows.drain(..).map(Effect::RecordChanged));
        }
        if self.stopping && !self.stopped && self.calls.is_empty() {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Lets calls wait for the fleet as long as they like: for tests of the judge.
    #[doc(hidden)]
    pub fn calls_wait(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.calls_first = false;
        }
    }

    /// When [`Input::Timeout`] is wanted next.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// Counts a pool list that could not be read; the one in hand stays in force.
    pub fn pool_list_refused(&mut self) {
        self.counters.pool_list_refused += 1;
    }

    /// Counts a caller that the shell cut off; [`Input::CallerClosed`] follows.
    pub fn caller_cut_off(&mut self) {
        self.counters.callers_cut_off += 1;
    }

    /// What has been counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Calls that have no answer yet, and calls that stand.
    pub fn calls_now(&self) -> (usize, usize) {
        let standing = self.calls.values().filter(|c| c.stands).count();
        (self.calls.len() - standing, standing)
    }

    /// Callers connected at present.
    pub fn callers_now(&self) -> usize {
        self.callers.len()
    }

    fn fire_due(&mut self, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Module => self.follow.push_back(Event::TimerFired),
                Timer::TimeOut(attempt) => {
                    self.end_attempt(attempt, Outcome::TimedOut, LoadReport::default(), effects)
                }
                Timer::Resend(attempt) => self.resend(attempt, effects),
                Timer::Reconnect(server) => self.connect(server, effects),
                Timer::Locate(call) => self.on_located(call, None),
                Timer::Stop => self.stop_now("the front is stopping", effects),
            }
            self.run_follow(effects);
        }
    }

    /// Feeds the module what is due to it, and does what it says, until nothing is left.
    fn run_follow(&mut self, effects: &mut Vec<Effect>) {
        while let Some(event) = self.follow.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.brain.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::ForwardSetup { call, server, timeout_ns } => {
                        self.send(call, server, timeout_ns, effects)
                    }
                    Action::CancelAttempt { call, attempt } => self.cancel(call, attempt, effects),
                    Action::Reject { call, retry_after_ns } => self.refuse(call, retry_after_ns, effects),
                    Action::Fail { call } => self.fail(call, "no further attempt is allowed", effects),
                    Action::SetTimer(at) => self.timers.set_no_later(Timer::Module, at),
                    // The pool list comes unasked.
                    Action::Subscribe => {}
                }
            }
            self.actions = actions;
        }
    }

    fn on_caller_text(&mut self, caller: CallerId, text: &str, effects: &mut Vec<Effect>) {
        match FromCaller::decode(text) {
            Ok(FromCaller::Setup { call, class, pool, number, budget_ms }) => {
                let asked = calls::Asked { call, class, pool, number, budget_ms };
                if self.is_out_of_force() {
                    return self.turn_away(caller, asked, effects);
                }
                if let Err((reason, call)) = self.take_call(caller, asked, effects) {
                    self.error(caller, reason.into(), Some(call), effects);
                }
            }
            Ok(FromCaller::Release { call }) => self.on_release(caller, call, effects),
            Err(error) => {
                let reason = error.to_string().chars().take(80).collect();
                self.error(caller, reason, FromCaller::call_named(text), effects);
            }
        }
    }

    fn error(&mut self, caller: CallerId, reason: String, call: Option<String>, effects: &mut Vec<Effect>) {
        self.counters.caller_errors += 1;
        tracing::debug!(caller, reason, call, "message refused");
        effects.push(Effect::ToCaller(caller, ToCaller::Error { reason, call }.encode()));
    }

    fn on_stop(&mut self) {
        if self.stopping {
            return;
        }
        tracing::info!(calls = self.calls.len(), "stopping: no new calls");
        self.stopping = true;
        self.timers.set(Timer::Stop, self.now + self.settings.timing.stop_ns);
    }

    /// Nothing goes on: what is owed is answered, what stands is released.
    fn stop_now(&mut self, cause: &str, effects: &mut Vec<Effect>) {
        let ids: Vec<u64> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get(&id) else { continue };
            let (caller, name, stands) = (call.caller, call.name.clone(), call.stands);
            if stands {
                self.close_call(id, effects);
                let text = ToCaller::Released { call: name, cause: cause.into() }.encode();
                effects.push(Effect::ToCaller(caller, text));
            } else {
                self.abandon(id, effects);
                self.fail(id, cause, effects);
            }
        }
    }
}

/// Whether an attempt's set-up has left, so that its server must be told of its end.
fn left(state: AttemptState) -> bool {
    !matches!(state, AttemptState::Queued)
}
