//! A simulated signalling server: a processor with one line, and what can go wrong with it.
//!
//! Set-ups, answers, refusals, repeats and releases are work that waits in one line; answers and releases wait
//! behind new set-ups. Past a wait it turns set-ups away, which is work too. A server that has just started can do
//! a share of its work, and falls over when sent more than a multiple of that.

use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::signal::{FromServer, Load, ReleaseCause, ToServer};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A front's attempt: the front's number and the attempt's.
pub type Key = (usize, u64);

/// What a server is like.
#[derive(Debug, Clone, PartialEq)]
pub struct Make {
    /// Calls a second that it can do when warm, all their work counted.
    pub per_s: f64,
    /// Calls that it can hold.
    pub circuits: usize,
    /// Past this wait it turns set-ups away.
    pub full_after_ns: Nanos,
    /// A just started one can do this share,
    pub cold_from: f64,
    /// and all after this span.
    pub cold_span_ns: Nanos,
    /// Sent more than this multiple of what it can do,
    pub tip_multiple: f64,
    /// for this span, a cold one falls over.
    pub tip_span_ns: Nanos,
    /// Whether it bears 2√N + 2 more than the N that this makes, for chance; else none.
    pub tip_chance: bool,
}

/// Shares of a call's work. The set-up is most of it; a repeat and a refusal cost as well.
const SETUP: f64 = 0.6;
const ANSWER: f64 = 0.2;
const RELEASE: f64 = 0.2;
const REPEAT: f64 = 0.3;
const REFUSAL: f64 = 0.15;
/// So few set-ups within a window push nothing over, whatever the multiple: chance.
const FALL_LEAST: usize = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    /// Worked on or waiting for its answer's turn.
    SetUp,
    Answered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Work {
    SetUp(Key),
    Answer(Key),
    Idle,
}

/// What a server that ails does with some of its set-ups instead of setting them up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answers {
    /// 'Processor full', with a wait.
    Full,
    /// 'No circuit'.
    NoCircuit,
    /// Nothing: the set-up and its repeats are lost.
    Nothing,
    /// A fault of signalling.
    Fault,
    /// 'All lines of the number are busy'.
    Busy,
}

/// What decides which set-ups an ailment meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
    /// Each set-up by itself.
    Setup,
    /// The call: the same at every server and in each attempt.
    Call,
    /// The number dialled: the same in each of its calls.
    Number,
}

/// A share of a server's set-ups that fare ill though its processor is well.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ailment {
    /// What they meet.
    pub answers: Answers,
    /// Their share.
    pub share: f64,
    /// What decides which.
    pub by: By,
    /// At most so many set-ups, then all is well; 0: no bound.
    pub first: u64,
    /// The wait told with 'full'; 0: none.
    pub wait_ns: Nanos,
}

/// What a server does.
#[derive(Debug, Clone, PartialEq)]
pub enum Does {
    /// Sends a front a message.
    Send(usize, FromServer),
    /// Would have sent an answer, but it is lost.
    Loses(Key),
    /// Fell over.
    Falls {
        /// What it was sent, as a multiple of what it could do.
        multiple: f64,
        /// The fronts that it came from, a set-up each.
        from: Vec<usize>,
    },
}

/// The server, in whatever time it is handed.
#[derive(Debug)]
pub struct Server {
    make: Make,
    calls: BTreeMap<Key, State>,
    line: VecDeque<(Work, f64)>,
    /// What is worked on, and when it will be done.
    busy: Option<(Work, Nanos)>,
    /// Work in line, in calls.
    waiting: f64,
    up_since_ns: Option<Nanos>,
    dead: bool,
    slow: f64,
    still_until_ns: Nanos,
    lose_answers: f64,
    /// Set-ups of the span that counts, with their fronts.
    recent: VecDeque<(Nanos, usize)>,
    /// The most that it was sent while cold, of its ramp: see [`Server::ramp`].
    ramp: f64,
    /// Answers given so far, for the share that is lost.
    answers: u64,
    /// What ails it, and how many set-ups each has met.
    ailments: Vec<(Ailment, u64)>,
}

impl Server {
    /// A warm server.
    pub fn new(make: Make) -> Self {
        Server {
            make,
            calls: BTreeMap::new(),
            line: VecDeque::new(),
            busy: None,
            waiting: 0.0,
            up_since_ns: None,
            dead: false,
            slow: 1.0,
            still_until_ns: 0,
            lose_answers: 0.0,
            recent: VecDeque::new(),
            ramp: 0.0,
            answers: 0,
            ailments: Vec::new(),
        }
    }

    /// It starts anew, cold, with nothing of before.
    pub fn start(&mut self, now: Nanos) {
        *self = Server { up_since_ns: Some(now), ramp: self.ramp, ..Server::new(self.make.clone()) };
    }

    /// What it was sent within the span that counts while it was cold, at most, of what a ramp allows: N, what it may
    /// be sent at its age, and 2√N + 2 for chance.
    pub fn ramp(&self) -> f64 {
        self.ramp
    }

    /// It goes silent: takes everything and answers nothing, until it starts anew.
    pub fn die(&mut self) {
        *self = Server { dead: true, ramp: self.ramp, ..Server::new(self.make.clone()) };
    }

    /// Its processor runs so many times slower.
    pub fn slow(&mut self, times: f64) {
        self.slow = times.max(1.0);
    }

    /// Its processor stands still until then.
    pub fn stand_still(&mut self, until_ns: Nanos) {
        self.still_until_ns = until_ns;
        if let Some((_, done)) = &mut self.busy {
            *done = (*done).max(until_ns);
        }
    }

    /// It loses this share of its answers.
    pub fn lose_answers(&mut self, share: f64) {
        self.lose_answers = share;
    }

    /// Something ails it from now on.
    pub fn ail(&mut self, ailment: Ailment) {
        self.ailments.push((ailment, 0));
    }

    /// That ails it no longer.
    pub fn heal(&mut self, ailment: &Ailment) {
        self.ailments.retain(|(a, _)| a != ailment);
    }

    /// A front's connection has ended, and all its calls here with it.
    pub fn drop_front(&mut self, front: usize) {
        self.calls.retain(|(f, _), _| *f != front);
    }

    /// All calls that stand here, which are cut.
    pub fn cut_all(&mut self) -> Vec<(usize, FromServer)> {
        let standing = self.calls.iter().filter(|(_, state)| **state == State::Answered);
        let told = |((front, attempt), _): (&Key, &State)| {
            (*front, FromServer::Released { attempt: *attempt, cause: ReleaseCause::Cut })
        };
        let out = standing.map(told).collect();
        self.calls.clear();
        out
    }

    /// Calls that stand here.
    pub fn standing(&self) -> usize {
        self.calls.values().filter(|s| **s == State::Answered).count()
    }

    /// Whether this attempt is known here.
    pub fn knows(&self, key: Key) -> bool {
        self.calls.contains_key(&key)
    }

    /// Calls a second that it can do now.
    pub fn can_do_per_s(&self, now: Nanos) -> f64 {
        let warmth = self.up_since_ns.map_or(1.0, |up| {
            let age = now.saturating_sub(up) as f64 / self.make.cold_span_ns.max(1) as f64;
            (self.make.cold_from + (1.0 - self.make.cold_from) * age).min(1.0)
        });
        self.make.per_s * warmth / self.slow
    }

    fn span_ns(&self, work: f64, now: Nanos) -> Nanos {
        (work * 1e9 / self.can_do_per_s(now)) as Nanos
    }

    /// The wait of a set-up that came now.
    pub fn wait_ns(&self, now: Nanos) -> Nanos {
        let busy = self.busy.map_or(0, |(_, done)| done.saturating_sub(now));
        self.span_ns(self.waiting, now) + busy.max(self.still_until_ns.saturating_sub(now))
    }

    fn load(&self, now: Nanos) -> Option<Load> {
        Some(Load {
            free: Some(self.make.circuits.saturating_sub(self.calls.len()) as u64),
            latency_ms: Some((self.wait_ns(now) / 1_000_000) as f64),
            can_take_per_s: Some(self.can_do_per_s(now).round()),
        })
    }

    /// Takes a message of a front.
    pub fn hear(&mut self, now: Nanos, front: usize, message: &ToServer, does: &mut Vec<Does>) {
        if self.dead {
            return;
        }
        self.work(now, does);
        match message {
            ToServer::Setup { attempt, call, number, .. } => {
                let key = (front, *attempt);
                match self.met(key, call, number.as_deref()) {
                    Some(ailment) => self.answer_ill(now, key, ailment, does),
                    None => self.set_up(now, key, does),
                }
            }
            ToServer::Cancel { attempt } | ToServer::Release { attempt } => {
                // A set-up that waits is still worked on, for nothing.
                if self.calls.remove(&(front, *attempt)).is_some() {
                    self.enqueue(Work::Idle, RELEASE);
                }
            }
        }
        self.work(now, does);
    }

    /// The ailment that a set-up meets. A repeat meets what its set-up met.
    fn met(&mut self, key: Key, call: &str, number: Option<&str>) -> Option<Ailment> {
        if self.calls.contains_key(&key) {
            return None;
        }
        let met = self.ailments.iter_mut().find(|(ailment, met)| {
            let drawn = match ailment.by {
                By::Setup => drawn(&key),
                By::Call => drawn(&call),
                By::Number => drawn(&number),
            };
            drawn < ailment.share && (ailment.first == 0 || *met < ailment.first)
        })?;
        met.1 += 1;
        Some(met.0)
    }

    /// An answer that costs its refusal, whatever the line is like.
    fn answer_ill(&mut self, now: Nanos, key: Key, ailment: Ailment, does: &mut Vec<Does>) {
        self.count(now, key.0, does);
        if self.dead {
            return;
        }
        let (front, attempt) = key;
        let load = self.load(now);
        let answer = match ailment.answers {
            Answers::Nothing => return,
            Answers::Full => {
                let wait_ms = Some(ailment.wait_ns / 1_000_000).filter(|ms| *ms > 0);
                FromServer::Full { attempt, wait_ms, load }
            }
            Answers::NoCircuit => FromServer::NoCircuit { attempt, load },
            Answers::Fault => FromServer::Fault { attempt, cause: "far end".into(), load },
            Answers::Busy => FromServer::LinesBusy { attempt, load },
        };
        self.enqueue(Work::Idle, REFUSAL);
        does.push(Does::Send(front, answer));
    }

    fn set_up(&mut self, now: Nanos, key: Key, does: &mut Vec<Does>) {
        let (front, attempt) = key;
        if let Some(state) = self.calls.get(&key).copied() {
            // Known: a repeat is work, and the answer goes out again if it was lost.
            self.enqueue(if state == State::Answered { Work::Answer(key) } else { Work::Idle }, REPEAT);
            return;
        }
        self.count(now, front, does);
        if self.dead {
            return;
        }
        let wait_ns = self.wait_ns(now);
        if wait_ns > self.make.full_after_ns {
            self.enqueue(Work::Idle, REFUSAL);
            let wait_ms = Some((wait_ns / 2_000_000).max(1));
            does.push(Does::Send(front, FromServer::Full { attempt, wait_ms, load: self.load(now) }));
        } else if self.calls.len() >= self.make.circuits {
            self.enqueue(Work::Idle, REFUSAL);
            does.push(Does::Send(front, FromServer::NoCircuit { attempt, load: self.load(now) }));
        } else {
            self.calls.insert(key, State::Waiting);
            self.enqueue(Work::SetUp(key), SETUP);
        }
    }

    /// Counts a set-up against what pushes a cold server over.
    fn count(&mut self, now: Nanos, front: usize, does: &mut Vec<Does>) {
        let Some(up) = self.up_since_ns.filter(|up| now < up + self.make.cold_span_ns) else { return };
        let span = self.make.tip_span_ns;
        self.recent.push_back((now, front));
        while self.recent.front().is_some_and(|(at, _)| *at + span < now) {
            self.recent.pop_front();
        }
        // What it can do by its age alone: a slow one is not pushed over by what a warm one could take.
        let age = (now - up) as f64 / self.make.cold_span_ns.max(1) as f64;
        let can_do = self.make.per_s * (self.make.cold_from + (1.0 - self.make.cold_from) * age);
        let done = can_do * span as f64 / 1e9;
        let multiple = self.recent.len() as f64 / done;
        let allowed = self.make.tip_multiple * done;
        let ramp = self.recent.len() as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0);
        self.ramp = self.ramp.max(ramp);
        let over = if self.make.tip_chance {
            ramp > 1.0
        } else {
            multiple > self.make.tip_multiple && self.recent.len() > FALL_LEAST
        };
        if over {
            let from = self.recent.iter().map(|(_, front)| *front).collect();
            self.die();
            does.push(Does::Falls { multiple, from });
        }
    }

    fn enqueue(&mut self, work: Work, cost: f64) {
        self.waiting += cost;
        self.line.push_back((work, cost));
    }

    /// When it will have something done next.
    pub fn next_ns(&self) -> Option<Nanos> {
        self.busy.map(|(_, done)| done)
    }

    /// Works up to now.
    pub fn work(&mut self, now: Nanos, does: &mut Vec<Does>) {
        loop {
            if self.busy.is_none() {
                let Some((work, cost)) = self.line.pop_front() else { return };
                self.waiting = if self.line.is_empty() { 0.0 } else { self.waiting - cost };
                let from = now.max(self.still_until_ns);
                self.busy = Some((work, from + self.span_ns(cost, now)));
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
                    // One in so many, by count: the same for the same events.
                    let lost = (self.answers as f64 * self.lose_answers).fract() < self.lose_answers;
                    if lost {
                        does.push(Does::Loses(key));
                    } else {
                        let answer = FromServer::Answer { attempt: key.1, load: self.load(now) };
                        does.push(Does::Send(key.0, answer));
                    }
                }
                Work::Idle => {}
            }
        }
    }
}

/// Drawn from 0 to 1 by what is hashed: the same for the same, in every run.
fn drawn(what: &impl Hash) -> f64 {
    let mut hash = DefaultHasher::new();
    what.hash(&mut hash);
    (hash.finish() >> 11) as f64 / (1u64 << 53) as f64
}
