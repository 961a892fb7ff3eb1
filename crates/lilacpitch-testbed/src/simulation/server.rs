//! A simulated signalling server: a processor with one queue, and its faults.
//!
//! Set-ups, answers, rejections, repeated set-ups and releases are work in one first-in first-out queue. When
//! a set-up would wait too long, the server rejects it as 'full', which is work too. A server that has just
//! started has only a share of its capacity, and fails when it is sent more than a multiple of that.

use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::signal::{FromServer, Load, ReleaseCause, ToServer};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// An attempt of a front: index of the front, id of the attempt.
pub type AttemptKey = (usize, u64);

/// The parameters of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerParameters {
    /// Calls per second that it can process when warm, all work of a call included.
    pub per_s: f64,
    /// Most calls at once.
    pub circuits: usize,
    /// Wait of a set-up above which it is rejected as 'full'.
    pub full_after_ns: Nanos,
    /// Share of the full capacity just after a start.
    pub cold_from: f64,
    /// Time after a start until full capacity is reached.
    pub cold_span_ns: Nanos,
    /// A server that is warming up fails when it is sent more than this multiple of its capacity.
    pub tip_multiple: f64,
    /// Window over which that load is counted.
    pub tip_span_ns: Nanos,
    /// Whether it tolerates 2√N + 2 set-ups more than the N that this multiple allows in the window, so that
    /// random variation of the load does not make it fail.
    pub tip_chance: bool,
}

/// Work of a set-up, as a share of all work of a call.
const SETUP: f64 = 0.6;
/// Work of an answer.
const ANSWER: f64 = 0.2;
/// Work of a release.
const RELEASE: f64 = 0.2;
/// Work of a repeated set-up.
const REPEAT: f64 = 0.3;
/// Work of a rejection.
const REJECTION: f64 = 0.15;
/// Without [`ServerParameters::tip_chance`], most set-ups within a window that never make a server fail,
/// whatever the multiple: so few may be random variation.
const MAX_TOLERATED_SETUPS: usize = 5;

/// State of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The set-up is queued.
    Waiting,
    /// Set up; the answer is queued.
    SetUp,
    Answered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Work {
    SetUp(AttemptKey),
    Answer(AttemptKey),
    /// Takes time but has no effect when it is done.
    Idle,
}

/// The response to a set-up that a [`ResponseFault`] affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAnswer {
    /// 'Processor full', with a retry-after.
    Full,
    /// 'No circuit'.
    NoCircuit,
    /// None: the set-up and its repeats are lost.
    Nothing,
    /// A signalling fault.
    Fault,
    /// 'All lines of the number are busy'.
    Busy,
}

/// What the set-ups that a [`ResponseFault`] affects are selected by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultSelector {
    /// Each set-up by itself.
    Setup,
    /// The call: all its attempts, at every server.
    Call,
    /// The number dialled: all its calls.
    Number,
}

/// A fault response to a share of a server's set-ups, independent of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseFault {
    /// The response.
    pub answers: FaultAnswer,
    /// Share of the set-ups that get it.
    pub share: f64,
    /// What they are selected by.
    pub by: FaultSelector,
    /// Most set-ups affected; 0: no limit.
    pub first: u64,
    /// Retry-after of a 'full' response; 0: none.
    pub wait_ns: Nanos,
}

/// An effect of a server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerEffect {
    /// Sends a message to a front.
    Send(usize, FromServer),
    /// An answer was lost.
    AnswerLost(AttemptKey),
    /// The server failed under too much load while warming up.
    Failed {
        /// The load, as a multiple of its capacity.
        multiple: f64,
        /// The front of each set-up in the window.
        from: Vec<usize>,
    },
}

/// A simulated server.
#[derive(Debug)]
pub struct Server {
    parameters: ServerParameters,
    calls: BTreeMap<AttemptKey, State>,
    /// Queued work and its cost.
    queue: VecDeque<(Work, f64)>,
    /// The work in progress and the time at which it will be done.
    busy: Option<(Work, Nanos)>,
    /// Cost of the queued work; 1 is all work of one call.
    queued_cost: f64,
    up_since_ns: Option<Nanos>,
    /// Whether it is silent.
    dead: bool,
    /// Factor by which it is slowed down.
    slow: f64,
    still_until_ns: Nanos,
    /// Share of its answers that are lost.
    lose_answers: f64,
    /// Set-ups in the current window, with their fronts.
    recent: VecDeque<(Nanos, usize)>,
    /// See [`Server::ramp`].
    ramp: f64,
    /// Number of answers so far, of which a share is lost.
    answers: u64,
    /// Faults in effect, each with the number of set-ups it has affected.
    response_faults: Vec<(ResponseFault, u64)>,
}

impl Server {
    /// A warm server.
    pub fn new(parameters: ServerParameters) -> Self {
        Server {
            parameters,
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: None,
            queued_cost: 0.0,
            up_since_ns: None,
            dead: false,
            slow: 1.0,
            still_until_ns: 0,
            lose_answers: 0.0,
            recent: VecDeque::new(),
            ramp: 0.0,
            answers: 0,
            response_faults: Vec::new(),
        }
    }

    /// Restarts the server cold, without any calls or faults.
    pub fn start(&mut self, now: Nanos) {
        *self = Server { up_since_ns: Some(now), ramp: self.ramp, ..Server::new(self.parameters.clone()) };
    }

    /// The highest load of a window while it was warming up, as a share of what it tolerates: N set-ups by
    /// [`ServerParameters::tip_multiple`], and 2√N + 2 more for random variation.
    pub fn ramp(&self) -> f64 {
        self.ramp
    }

    /// Makes the server silent: it accepts everything and answers nothing until it restarts.
    pub fn silence(&mut self) {
        *self = Server { dead: true, ramp: self.ramp, ..Server::new(self.parameters.clone()) };
    }

    /// Makes the processor run this many times slower.
    pub fn slow(&mut self, times: f64) {
        self.slow = times.max(1.0);
    }

    /// Pauses the processor until the given time.
    pub fn pause(&mut self, until_ns: Nanos) {
        self.still_until_ns = until_ns;
        if let Some((_, done)) = &mut self.busy {
            *done = (*done).max(until_ns);
        }
    }

    /// Makes the server lose this share of its answers.
    pub fn lose_answers(&mut self, share: f64) {
        self.lose_answers = share;
    }

    /// Begins a fault.
    pub fn add_fault(&mut self, fault: ResponseFault) {
        self.response_faults.push((fault, 0));
    }

    /// Ends a fault.
    pub fn remove_fault(&mut self, fault: &ResponseFault) {
        self.response_faults.retain(|(other, _)| other != fault);
    }

    /// Drops all calls of a front whose connection has ended.
    pub fn drop_front(&mut self, front: usize) {
        self.calls.retain(|(f, _), _| *f != front);
    }

    /// Cuts all calls. Returns the messages to the fronts of those that were established.
    pub fn cut_all(&mut self) -> Vec<(usize, FromServer)> {
        let established = self.calls.iter().filter(|(_, state)| **state == State::Answered);
        let released = |((front, attempt), _): (&AttemptKey, &State)| {
            (*front, FromServer::Released { attempt: *attempt, cause: ReleaseCause::Cut })
        };
        let messages = established.map(released).collect();
        self.calls.clear();
        messages
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        self.calls.values().filter(|s| **s == State::Answered).count()
    }

    /// Whether the server has this attempt.
    pub fn has_attempt(&self, key: AttemptKey) -> bool {
        self.calls.contains_key(&key)
    }

    /// Calls per second that it can process now.
    pub fn capacity_per_s(&self, now: Nanos) -> f64 {
        let warmth = self.up_since_ns.map_or(1.0, |up| {
            let age = now.saturating_sub(up) as f64 / self.parameters.cold_span_ns.max(1) as f64;
            (self.parameters.cold_from + (1.0 - self.parameters.cold_from) * age).min(1.0)
        });
        self.parameters.per_s * warmth / self.slow
    }

    /// Processing time of work with this cost.
    fn processing_ns(&self, cost: f64, now: Nanos) -> Nanos {
        (cost * 1e9 / self.capacity_per_s(now)) as Nanos
    }

    /// The wait of a set-up that arrives now.
    pub fn wait_ns(&self, now: Nanos) -> Nanos {
        let busy_ns = self.busy.map_or(0, |(_, done)| done.saturating_sub(now));
        self.processing_ns(self.queued_cost, now) + busy_ns.max(self.still_until_ns.saturating_sub(now))
    }

    fn load(&self, now: Nanos) -> Option<Load> {
        Some(Load {
            free: Some(self.parameters.circuits.saturating_sub(self.calls.len()) as u64),
            latency_ms: Some((self.wait_ns(now) / 1_000_000) as f64),
            can_take_per_s: Some(self.capacity_per_s(now).round()),
        })
    }

    /// Handles a message of a front.
    pub fn handle(&mut self, now: Nanos, front: usize, message: &ToServer, effects: &mut Vec<ServerEffect>) {
        if self.dead {
            return;
        }
        self.work(now, effects);
        match message {
            ToServer::Setup { attempt, call, number, .. } => {
                let key = (front, *attempt);
                match self.fault_for(key, call, number.as_deref()) {
                    Some(fault) => self.respond_with_fault(now, key, fault, effects),
                    None => self.set_up(now, key, effects),
                }
            }
            ToServer::Cancel { attempt } | ToServer::Release { attempt } => {
                // A queued set-up stays in the queue and still takes processing time.
                if self.calls.remove(&(front, *attempt)).is_some() {
                    self.enqueue(Work::Idle, RELEASE);
                }
            }
        }
        self.work(now, effects);
    }

    /// The fault that affects a set-up. A repeat of a set-up that was accepted gets none.
    fn fault_for(&mut self, key: AttemptKey, call: &str, number: Option<&str>) -> Option<ResponseFault> {
        if self.calls.contains_key(&key) {
            return None;
        }
        let selected = self.response_faults.iter_mut().find(|(fault, affected)| {
            let fraction = match fault.by {
                FaultSelector::Setup => hashed_fraction(&key),
                FaultSelector::Call => hashed_fraction(&call),
                FaultSelector::Number => hashed_fraction(&number),
            };
            fraction < fault.share && (fault.first == 0 || *affected < fault.first)
        })?;
        selected.1 += 1;
        Some(selected.0)
    }

    /// Sends the response of a fault, at the cost of a rejection and independent of the queue.
    fn respond_with_fault(
        &mut self,
        now: Nanos,
        key: AttemptKey,
        fault: ResponseFault,
        effects: &mut Vec<ServerEffect>,
    ) {
        self.count_setup(now, key.0, effects);
        if self.dead {
            return;
        }
        let (front, attempt) = key;
        let load = self.load(now);
        let answer = match fault.answers {
            FaultAnswer::Nothing => return,
            FaultAnswer::Full => {
                let wait_ms = Some(fault.wait_ns / 1_000_000).filter(|ms| *ms > 0);
                FromServer::Full { attempt, wait_ms, load }
            }
            FaultAnswer::NoCircuit => FromServer::NoCircuit { attempt, load },
            FaultAnswer::Fault => FromServer::Fault { attempt, cause: "far end".into(), load },
            FaultAnswer::Busy => FromServer::LinesBusy { attempt, load },
        };
        self.enqueue(Work::Idle, REJECTION);
        effects.push(ServerEffect::Send(front, answer));
    }

    /// Handles a set-up that no fault affects.
    fn set_up(&mut self, now: Nanos, key: AttemptKey, effects: &mut Vec<ServerEffect>) {
        let (front, attempt) = key;
        if let Some(state) = self.calls.get(&key).copied() {
            // A repeat: if the answer was sent, it may have been lost and is sent again.
            self.enqueue(if state == State::Answered { Work::Answer(key) } else { Work::Idle }, REPEAT);
            return;
        }
        self.count_setup(now, front, effects);
        if self.dead {
            return;
        }
        let wait_ns = self.wait_ns(now);
        if wait_ns > self.parameters.full_after_ns {
            self.enqueue(Work::Idle, REJECTION);
            let wait_ms = Some((wait_ns / 2_000_000).max(1));
            effects
                .push(ServerEffect::Send(front, FromServer::Full { attempt, wait_ms, load: self.load(now) }));
        } else if self.calls.len() >= self.parameters.circuits {
            self.enqueue(Work::Idle, REJECTION);
            effects.push(ServerEffect::Send(front, FromServer::NoCircuit { attempt, load: self.load(now) }));
        } else {
            self.calls.insert(key, State::Waiting);
            self.enqueue(Work::SetUp(key), SETUP);
        }
    }

    /// Counts a set-up of a server that is warming up; the server fails if there are too many in the window.
    fn count_setup(&mut self, now: Nanos, front: usize, effects: &mut Vec<ServerEffect>) {
        let Some(up) = self.up_since_ns.filter(|up| now < up + self.parameters.cold_span_ns) else { return };
        let window_ns = self.parameters.tip_span_ns;
        self.recent.push_back((now, front));
        while self.recent.front().is_some_and(|(at, _)| *at + window_ns < now) {
            self.recent.pop_front();
        }
        // The capacity by age alone: a server that is slow for another reason tolerates as much as one that
        // isn't.
        let age = (now - up) as f64 / self.parameters.cold_span_ns.max(1) as f64;
        let capacity_per_s =
            self.parameters.per_s * (self.parameters.cold_from + (1.0 - self.parameters.cold_from) * age);
        let capacity = capacity_per_s * window_ns as f64 / 1e9;
        let multiple = self.recent.len() as f64 / capacity;
        let allowed = self.parameters.tip_multiple * capacity;
        let ramp = self.recent.len() as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0);
        self.ramp = self.ramp.max(ramp);
        let is_overloaded = if self.parameters.tip_chance {
            ramp > 1.0
        } else {
            multiple > self.parameters.tip_multiple && self.recent.len() > MAX_TOLERATED_SETUPS
        };
        if is_overloaded {
            let from = self.recent.iter().map(|(_, front)| *front).collect();
            self.silence();
            effects.push(ServerEffect::Failed { multiple, from });
        }
    }

    fn enqueue(&mut self, work: Work, cost: f64) {
        self.queued_cost += cost;
        self.queue.push_back((work, cost));
    }

    /// Time at which the work in progress will be done.
    pub fn next_ns(&self) -> Option<Nanos> {
        self.busy.map(|(_, done)| done)
    }

    /// Processes the queue up to now.
    pub fn work(&mut self, now: Nanos, effects: &mut Vec<ServerEffect>) {
        loop {
            if self.busy.is_none() {
                let Some((work, cost)) = self.queue.pop_front() else { return };
                // Rounding errors don't accumulate: the cost of an empty queue is 0 exactly.
                self.queued_cost = if self.queue.is_empty() { 0.0 } else { self.queued_cost - cost };
                let start = now.max(self.still_until_ns);
                self.busy = Some((work, start + self.processing_ns(cost, now)));
            }
            let Some((work, _)) = self.busy.filter(|(_, done)| *done <= now) else { return };
            self.busy = None;
            match work {
                Work::SetUp(key) => {
                    if let Some(state) = self.calls.get_mut(&key) {
                        *state = State::SetUp;
                        self.enqueue(Work::Answer(key), ANSWER);
                    }
                }
                Work::Answer(key) => {
                    let Some(state) = self.calls.get_mut(&key) else { continue };
                    *state = State::Answered;
                    self.answers += 1;
                    // Selected by count rather than at random, so that a run can be reproduced.
                    let is_lost = (self.answers as f64 * self.lose_answers).fract() < self.lose_answers;
                    if is_lost {
                        effects.push(ServerEffect::AnswerLost(key));
                    } else {
                        let answer = FromServer::Answer { attempt: key.1, load: self.load(now) };
                        effects.push(ServerEffect::Send(key.0, answer));
                    }
                }
                Work::Idle => {}
            }
        }
    }
}

/// A pseudo-random number from 0 to 1 that is the same for the same value in every run.
fn hashed_fraction(value: &impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
