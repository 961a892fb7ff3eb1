//! Every decision of the call controller. Its types are in `interface.rs`; it does no input or output.
//!
//! The mechanism is Sabourin's call counting (ITC-13). For each core server this front counts the set-ups
//! meant for it and those sent, over a sliding window, and reads the estimate against a ceiling that
//! 'processor full' or a time-out set there. Past S1 the cheapest tier is refused, past S2 all non-urgent
//! calls. What is left goes to the first choice, else to the one of two drawn with fewer set-ups unanswered.
//! Below the mechanism stand its guards; `docs/design/module.md` says when each of them acts.

mod counts;
mod guards;
mod state;
mod told;

use crate::interface::*;
use crate::latency_deviation::Spread;
use crate::peer_reports::Voices;
use crate::pending_queue::Waiting;
use crate::sliding_window;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use state::{Likeness, Row, Server, State, Suspect, Unanswered};
use std::collections::{BTreeMap, BTreeSet};

/// Period of the counts: the paper's.
const PERIOD_NS: Nanos = 100_000_000;
/// Periods in the window: the paper's 3 s. Shorter windows count too few calls at a single front.
const N: u64 = 30;
const WINDOW_NS: Nanos = PERIOD_NS * N;
/// The window reaches back to so many set-ups: one more or less must not be a whole step of the estimate.
const FEW: usize = 4;
/// A ceiling that saw no symptom for so many windows is lifted; no rest between trials is longer.
const FAR_BACK: u64 = 20;
/// Where nothing stood yet, the normal rate is so many set-ups in the time seen, at least so many seconds.
const NONE_YET: (f64, f64) = (0.2, 10.0);
/// First threshold, of the ceiling: the paper's.
const S1: f64 = 0.8;
/// Second threshold, of the ceiling: the paper's.
const S2: f64 = 0.9;
/// Cost of a rejected call, in set-ups: a refusal here costs the server nothing.
const CR: f64 = 0.0;
/// Cost of an accepted call, in set-ups.
const CA: f64 = 1.0;
/// A set-up unanswered for so many resend gaps is a time-out in the making: from then on the network sends
/// it again, and repeats are work that feeds the jam. Less left processors idle.
const LATE_GAPS: f64 = 1.0;
/// One that was overtaken is lost after the usual wait there and so many deviations, at least this of a gap.
const LOST_PAST: (f64, f64) = (5.0, 0.125);
/// A server whose last set-up stood within this share of the resend gap was not about to jam.
const QUICK_OF: f64 = 0.5;
/// A call past its wanted time is held back from this share of that wait on, to leave room for fresh ones.
const LATE_CALL_OF: f64 = 0.5;
/// A set-up expected to wait for so many resend gaps is past state 1.
const WAIT_GAPS_2: f64 = 2.0;
/// One symptom cuts a ceiling to no less than this share of it: a count over few calls may be low by chance.
const LEAST_CUT: f64 = 0.8;
/// The same where the processor is full, or nothing answered for SILENT_GAPS: where few were sent, and else.
const HARD_CUT: (f64, f64) = (0.35, 0.5);
/// A cold server gets so many times its share of the normal rate: at first, and more as it warms.
const COLD_TAKES: (f64, f64) = (0.75, 0.75);
/// A cold server may get what stood there of late times this share of the multiple that pushes it over.
const GROWTH_OF_TIP: f64 = 0.7;
/// What the average behind this front's normal rate at a server keeps each period: it is halved in 14 s.
const NORMAL_KEPT: f64 = 0.995;
/// The last delay fades by this share of the time passed, where few were sent of late and else.
const FADE_OF: (f64, f64) = (0.15, 0.5);
/// Where nothing is ever resent, this share of the shortest aim stands in for the resend gap.
const GAP_OF_AIM: f64 = 0.3;
/// A symptom tells by its share among the last so many set-ups there; below the bound it is chance.
const SHARE_OVER: f64 = 16.0;
const STRAY: f64 = 0.25;
/// A call at fault itself: of those that are not, a smaller share would have met faults wherever it was sent.
const NOT_ITS_OWN: f64 = 0.02;
/// Below this share of normal each that stands at once lifts a ceiling: by a share, at most so many a second.
const GROWS: (f64, f64, f64) = (0.9, 0.2, 1.0);
/// Periods without a symptom before a ceiling starts to lapse.
const CLEAN_PERIODS: u64 = 10;
/// A lapsing ceiling rises by this factor a period, slower than a jam is seen,
const LAPSE_STEP: f64 = 1.015;
/// and by so much at most in the normal time between two set-ups; then once one stood at once again.
const LAPSE_APART: (f64, f64) = (0.07, 0.2);
/// Where others tell that a line has become short, each joins it within this share of its normal distance.
const TURN_OF_APART: f64 = 0.1;
/// A ceiling rises to so much of the offered or normal rate: all fronts' second choices fall on what is open.
const LIFTED: f64 = 2.5;
/// The lowest ceiling, as a share of the normal rate there: a little must pass, or nothing would be learned.
const LEAST_OF_NORMAL: f64 = 0.1;
/// A call held back everywhere may wait here for this share of its aim; then it is refused.
const HOLD_OF_AIM: f64 = 0.4;
/// Kept back of a caller's time: a multiple of the longest standstill of late; so much stays a period.
const STALL_MARGIN: f64 = 1.25;
const STALL_KEPT: f64 = 0.998;
/// A server without any answer for so many resend gaps while set-ups are out is suspected silent.
const SILENT_GAPS: f64 = 2.0;
/// A suspect that let this many live calls pass unanswered may have started anew meanwhile.
const COLD_TRIALS: u32 = 3;
/// Rest of a number whose lines were all busy: as long as a caller rests who dials again.
const BUSY_REST_NS: Nanos = WINDOW_NS / 2;
/// The rest between live calls to a suspect begins at the normal distance there, and doubles so often.
const TRIAL_DOUBLINGS: u32 = 4;

/// What others tell counts half after this, a wait after that, set-ups out until then; nothing past the last.
const FACT_KEPT_NS: Nanos = WINDOW_NS * 5;
const WAIT_KEPT_NS: Nanos = PERIOD_NS * 10;
const FACT_NS: Nanos = WINDOW_NS * 10;
/// What others tell must weigh more than two fresh voices: three at least.
const NOTHING_WRONG: f64 = 2.0;
/// A told wait from this share of the resend gap on is one that fronts would bring about together.
const TOLD_LONG_OF: f64 = 0.125;
/// So many voices of a server are kept, the newest: what is told costs no more with more fronts.
const MOST_VOICES: usize = 32;

/// Set-ups of one kind at one server: those of the window, or the last FEW of them.
type Count = sliding_window::Count<N, FEW, PERIOD_NS>;

/// The decisions of one front. Same settings, seed and events give the same actions.
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Nanos,
    started_ns: Option<Nanos>,
    period: u64,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Row>,
    /// Calls held or releasing, by when their patience or release ends; what stands costs no event anything.
    /// Of held calls that the pick can't tell apart the oldest is asked for all.
    waiting: Waiting<Likeness>,
    told: Voices<MOST_VOICES>,
    /// Numbers dialled that were given no server, and when they were first tried.
    unserved: BTreeMap<u64, Nanos>,
    /// Numbers whose lines were all busy, and until when they rest.
    busy: BTreeMap<u64, Nanos>,
    top_worth: f64,
    gap_ns: Nanos,
    wake_ns: Option<Nanos>,
    stall_ns: Nanos,
    subscribe_ns: Option<Nanos>,
}

impl Controller {
    /// A controller that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let top_worth = settings.classes.iter().map(|c| c.priority_weight).fold(f64::MIN, f64::max);
        let least_aim = settings.classes.iter().map(|c| c.latency_objective_ns).min().unwrap_or(0);
        let gap_ns = if settings.resend_interval_ns > 0 {
            settings.resend_interval_ns
        } else {
            share(least_aim, GAP_OF_AIM)
        };
        Controller {
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            started_ns: None,
            period: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: Waiting::default(),
            told: Voices::default(),
            unserved: BTreeMap::new(),
            busy: BTreeMap::new(),
            top_worth,
            gap_ns,
            wake_ns: None,
            stall_ns: 0,
            subscribe_ns: None,
            settings,
        }
    }

    /// Takes one event and appends what is to be done about it. A clock that runs back stands still.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.begin(now, actions);
        self.roll_periods();
        match event {
            Event::EndpointsUpdated(news) => self.on_list(news),
            Event::CallArrived(call) => self.on_call(call, actions),
            Event::ClientDisconnected(id) => self.on_caller_gone(id),
            Event::CallEstablished { call, attempt } => self.on_standing(call, attempt),
            Event::AttemptCompleted { call, attempt, server, outcome, is_final, report } => {
                self.on_report(server, report);
                self.on_outcome(server, call, outcome);
                if is_final {
                    self.forget(call);
                } else {
                    self.on_settled(call, attempt, outcome, actions);
                }
            }
            Event::PeerReported { peer, server_reports } => self.on_told(peer, server_reports),
            Event::ServerLoadReported { server, report } => self.on_report(server, report),
            Event::TimerFired => {}
        }
        self.look_at_servers(actions);
        self.look_at_calls(actions);
        self.set_wake(actions);
    }

    fn begin(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started_ns.is_none() {
            self.started_ns = Some(self.now);
            self.period = self.now / PERIOD_NS;
            if self.settings.must_subscribe {
                actions.push(Action::Subscribe);
            }
        }
        if let Some(at) = self.wake_ns.filter(|at| *at <= self.now) {
            self.wake_ns = None;
            self.stall_ns = self.stall_ns.max(self.now - at);
            // Nothing could be heard meanwhile: that time is no evidence against any server.
            for server in self.servers.values_mut() {
                server.heard_ns = self.now.min(server.heard_ns + (self.now - at));
                server.out.iter_mut().for_each(|out| out.shift(self.now - at));
            }
        }
        if self.subscribe_ns.is_some_and(|at| at <= self.now) {
            self.subscribe_ns = None;
            actions.push(Action::Subscribe);
        }
    }

    // ---- Events ----

    fn on_list(&mut self, news: EndpointUpdate) {
        let entries = match news {
            EndpointUpdate::Failed => {
                // Asking again at once, all fronts together, is what makes discovery fail.
                let wait = PERIOD_NS * 5 + share(PERIOD_NS * 10, self.drawn());
                self.subscribe_ns = Some(self.now + wait).filter(|_| self.settings.must_subscribe);
                return;
            }
            EndpointUpdate::Changes(entries) => entries,
            EndpointUpdate::Full(entries) => {
                let listed = |s: &Server| entries.iter().any(|e| e.server == s.entry.server);
                let gone = self.servers.values_mut().filter(|s| !listed(s));
                gone.for_each(|s| s.entry.availability = Availability::Removed);
                entries
            }
        };
        for entry in entries {
            let (id, heard_ns) = (entry.server, self.now);
            // The same process as before: only its listing changed.
            let same = |s: &&mut Server| s.entry.up_since_ns == entry.up_since_ns;
            if let Some(known) = self.servers.get_mut(&id).filter(same) {
                known.entry = entry;
                continue;
            }
            // Unknown, or started again: nothing learned holds but what went to its number before.
            let before = self.servers.values().filter(|s| s.entry.number == entry.number).map(|s| s.normal);
            let normal = before.fold((0.0, 0.0), |a, b| if a.1 > b.1 { a } else { b });
            let out = self.servers.remove(&id).map_or(Vec::new(), |known| known.out);
            let cold_since_ns = (entry.up_since_ns > 0).then_some(entry.up_since_ns);
            let waits = Spread::unknown(share(self.gap_ns, LATE_GAPS / LOST_PAST.0));
            // A drawn phase: many fronts hear of one start at once.
            let (credit, more) = (self.drawn(), Server::default());
            let server = Server { entry, normal, out, waits, credit, cold_since_ns, heard_ns, ..more };
            self.servers.insert(id, server);
        }
        // What is gone leaves once another has its number, and its rate with it.
        let used = self.servers.values().filter(|s| s.in_service()).map(|s| s.entry.number);
        let used: BTreeSet<u32> = used.collect();
        let gone = |s: &Server| s.entry.availability == Availability::Removed && s.out.is_empty();
        self.servers.retain(|_, s| !(gone(s) && used.contains(&s.entry.number)));
    }

    fn on_call(&mut self, call: Call, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&call.id) || call.class >= self.settings.classes.len() {
            return;
        }
        // A number that was given up on lately comes again.
        let first_ns = call.dialled.and_then(|number| self.unserved.remove(&number));
        let patience_ns = self.settings.classes[call.class].deadline_ns;
        let mut row = Row::new(call, self.now, self.now + self.safe_budget_ns(call.budget_ns));
        row.first_ns = first_ns.filter(|first| self.now - first < patience_ns).unwrap_or(self.now);
        self.calls.insert(call.id, row);
        let meant = |s: &&mut Server| s.entry.number == call.first_choice && s.in_service();
        if let Some(server) = self.servers.values_mut().filter(meant).min_by_key(|s| s.offered.len()) {
            server.offered.add(self.period);
        }
        self.place(call.id, actions);
    }

    fn on_caller_gone(&mut self, id: CallId) {
        if let Some(row) = self.calls.get(&id).filter(|row| row.state != State::Standing) {
            self.unserved.extend(row.call.dialled.map(|number| (number, row.first_ns)));
        }
        self.forget(id);
    }

    fn on_standing(&mut self, id: CallId, attempt: u32) {
        let Some(row) = self.calls.get_mut(&id) else { return };
        if row.state != State::Out || attempt + 1 != row.attempts {
            return;
        }
        row.state = State::Standing;
        let server = row.server;
        row.call.dialled.and_then(|number| self.busy.remove(&number));
        self.answered(server, id, true, true);
    }

    /// What an attempt's end tells of its server.
    fn on_outcome(&mut self, server: ServerId, id: CallId, outcome: Outcome) {
        // A set-up turned away did not wait in line: it tells nothing of those that do, but the wait itself.
        let alive = matches!(outcome, Outcome::Completed | Outcome::Fault | Outcome::LinesBusy);
        self.answered(server, id, alive, outcome == Outcome::Completed);
        use Outcome::{Cancelled, NoCircuit, Overloaded, TimedOut};
        if matches!(outcome, Overloaded(_) | NoCircuit | TimedOut | Cancelled) {
            self.servers.entry(server).and_modify(|s| s.ill += (1.0 - s.ill) / SHARE_OVER);
        }
        match outcome {
            Outcome::Overloaded(wait) => {
                let (now, wait_ns) = (self.now, wait.unwrap_or(self.gap_ns).min(WINDOW_NS));
                self.hold_off(server, wait_ns);
                if self.stray(server) {
                    return;
                }
                self.press(server, true);
                // Where much is sent, waits fade by half of the time passed: this one is gone at its end.
                self.servers.entry(server).and_modify(|s| (s.heard_ns, s.delay_ns) = (now, wait_ns / 2));
            }
            // No line free is a ceiling just as well: what stands there is the rate at which lines come free.
            Outcome::NoCircuit => {
                let wait = share(self.gap_ns, 0.5 + self.drawn());
                self.hold_off(server, wait);
                if !self.stray(server) {
                    self.press(server, false);
                    let none_free = |s: &mut Server| s.no_lines = s.free.is_some_and(|free| free < 1.0);
                    self.servers.entry(server).and_modify(none_free);
                }
            }
            Outcome::TimedOut if !self.stray(server) => self.press(server, true),
            Outcome::Unreachable => self.suspect(server, false),
            _ => {}
        }
    }

    fn on_settled(&mut self, id: CallId, attempt: u32, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(row) = self.calls.get_mut(&id) else { return };
        if row.state != State::Out || attempt + 1 != row.attempts {
            return;
        }
        if !outcome.never_ran() && row.may_have_run.is_none() {
            let entry = self.servers.get(&row.server).map(|s| s.entry);
            row.may_have_run = entry.map(|e| (e.zone, e.number, row.taken_ns));
        }
        row.calling_off = false;
        if let Some(server) = self.servers.get_mut(&row.server).filter(|_| outcome == Outcome::Fault) {
            row.chance *= server.faulted(attempt == 0, SHARE_OVER);
        }
        if outcome.needs_release() {
            row.state = State::Releasing;
            row.not_before_ns = self.now + self.settings.release_ns;
        } else {
            row.state = State::Held;
        }
        if outcome == Outcome::LinesBusy {
            self.number_busy(id);
        }
        self.place(id, actions);
    }

    fn on_report(&mut self, id: ServerId, report: LoadReport) {
        let now = self.now;
        self.servers.entry(id).and_modify(|s| (s.free, s.free_ns) = (report.free_capacity, now));
    }

    /// Whether a symptom is one of few among set-ups that stood, and no wait bears it out.
    fn stray(&self, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return true };
        let borne_out = self.now - server.late_ns < WINDOW_NS || server.free.is_some_and(|free| free < 1.0);
        !server.offered.few(self.period) && server.ill < STRAY && !borne_out
    }

    fn hold_off(&mut self, id: ServerId, wait_ns: Nanos) {
        let Some(server) = self.servers.get(&id) else { return };
        let until_ns = self.now + if self.stray(id) { share(wait_ns, server.ill / STRAY) } else { wait_ns };
        self.servers.entry(id).and_modify(|s| s.told_wait_until_ns = s.told_wait_until_ns.max(until_ns));
    }

    /// A set-up is no longer unanswered; `alive` says that the server itself answered it.
    fn answered(&mut self, id: ServerId, call: CallId, alive: bool, stands: bool) {
        let (now, late_ns) = (self.now, share(self.gap_ns, LATE_GAPS));
        let known =
            |s: &&Server| s.ceiling_per_s.is_some() && s.normal.0 == 0.0 && !s.offered.few(self.period);
        let due = self.servers.get(&id).filter(known).map_or(0.0, |s| self.due_per_s(s));
        let offered = self.servers.get(&id).map_or(0.0, |s| self.per_s(&s.offered, 0.0));
        let Some(server) = self.servers.get_mut(&id) else { return };
        let (warm, few) = (server.cold_share(now, &self.settings).is_none(), server.sent.few(self.period));
        let out = server.take_out(call).filter(|_| alive);
        let Some(Unanswered { sent_ns, waits_ns, .. }) = out else { return };
        let delay_ns = now.saturating_sub(waits_ns).max(1);
        (server.heard_ns, server.delay_ns) = (now, delay_ns);
        for out in server.out.iter_mut().filter(|o| o.sent_ns < sent_ns && !o.overtaken) {
            out.overtaken = true;
            // Late for being lost, not for waiting: the ceiling that its lateness set is taken back.
            if now.saturating_sub(out.waits_ns) > late_ns && delay_ns < share(late_ns, QUICK_OF) {
                server.ceiling_per_s = server.ceiling_before;
            }
        }
        if stands {
            server.stood.add(self.period);
            server.waits.note(delay_ns, 1.0 / SHARE_OVER);
            server.sound += (1.0 - server.sound) / SHARE_OVER;
            // What takes no longer than the shortest that ever stood there is on its way, and does not wait.
            server.least_ns = server.least_ns.filter(|least| now - sent_ns >= *least).or(Some(now - sent_ns));
            if due > 0.0 {
                server.normal = (due * NONE_YET.1, NONE_YET.1);
            }
            server.normal.0 += f64::from(u8::from(warm));
            server.ill -= server.ill / SHARE_OVER;
            // Far below the normal rate it comes back as fast as what stands at once shows that it may.
            let normal = server.stood_per_s().max(offered);
            let clean = now.saturating_sub(server.symptom_ns) >= CLEAN_PERIODS * PERIOD_NS;
            let far = server.ceiling_per_s.as_mut().filter(|ceiling| **ceiling < normal * GROWS.0);
            if let Some(ceiling) = far.filter(|_| clean && !few && !server.no_lines && delay_ns < late_ns / 2)
            {
                *ceiling = ceiling.max(normal * LEAST_OF_NORMAL);
                *ceiling += (*ceiling * GROWS.1).min(GROWS.2);
            }
        }
        if let Some(suspect) = server.suspect.take() {
            if suspect.trials >= COLD_TRIALS {
                // It may have started anew while it was silent: climb again from the cold share.
                server.cold_since_ns = Some(now);
            } else if delay_ns < share(late_ns, QUICK_OF) {
                server.ceiling_per_s = server.ceiling_before;
            }
        }
        if delay_ns > late_ns {
            server.late_ns = now;
            self.press(id, false);
        }
    }

    // ---- Placing a call, and giving it up ----

    fn place(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(row) = self.calls.get_mut(&id) else { return };
        if row.state == State::Releasing && self.now >= row.not_before_ns {
            row.state = State::Held;
        }
        let own_fault = |row: &Row| row.attempts > 1 && row.chance < NOT_ITS_OWN;
        if self.number_rests(id) || self.calls.get(&id).is_some_and(own_fault) {
            self.give_up(id, actions);
        } else if let Some(server) = self.pick(id) {
            self.send(id, server, actions);
        } else if self.calls.get(&id).is_some_and(|row| self.hopeless(row)) {
            self.give_up(id, actions);
        } else {
            self.queue(id);
        }
    }

    /// Keeps a call's place among the waiting in step with its state.
    fn queue(&mut self, id: CallId) {
        let Some(row) = self.calls.get(&id) else { return };
        let place = match row.state {
            State::Releasing => Some((row.not_before_ns, None)),
            State::Held => Some((self.patience_ns(row), Some((self.likeness(row), row.taken_ns)))),
            State::Out | State::Standing => None,
        };
        self.waiting.set(id, place);
    }

    /// Takes a call out of the table, and out of the waiting.
    fn take(&mut self, id: CallId) -> Option<Row> {
        self.waiting.set(id, None);
        self.calls.remove(&id)
    }

    /// Whether nothing more can come of a call: then it gets its answer at once.
    fn hopeless(&self, row: &Row) -> bool {
        let unsafe_again = self.settings.classes[row.call.class].idempotency == Idempotency::NonIdempotent;
        matches!(row.state, State::Held | State::Releasing)
            && (self.now.max(row.not_before_ns) >= self.patience_ns(row)
                || row.attempts >= self.settings.max_attempts
                || (unsafe_again && row.may_have_run.is_some()))
    }

    /// Whether the wanted time has passed since its caller's first try: served late it displaces fresh calls.
    fn is_late(&self, row: &Row) -> bool {
        self.now.saturating_sub(row.first_ns) > self.settings.classes[row.call.class].latency_objective_ns
    }

    /// What a call would still be worth.
    fn worth(&self, row: &Row) -> f64 {
        let class = &self.settings.classes[row.call.class];
        class.priority_weight * if self.is_late(row) { class.late_weight } else { 1.0 }
    }

    /// Until when a call that finds no server may be held here.
    fn patience_ns(&self, row: &Row) -> Nanos {
        let aim_ns = self.settings.classes[row.call.class].latency_objective_ns;
        let until = row.taken_ns + if row.attempts == 0 { share(aim_ns, HOLD_OF_AIM) } else { aim_ns };
        until.min(row.deadline_ns)
    }

    fn send(&mut self, id: CallId, server: ServerId, actions: &mut Vec<Action>) {
        let (now, may_cancel, gap_ns) = (self.now, self.settings.may_cancel, self.gap_ns);
        let Some(row) = self.calls.get_mut(&id) else { return };
        let left = row.deadline_ns.saturating_sub(now);
        row.state = State::Out;
        row.server = server;
        row.attempts += 1;
        if let Some(until_ns) = row.call.dialled.and_then(|n| self.busy.get_mut(&n)) {
            *until_ns = now + BUSY_REST_NS;
        }
        // Where attempts cannot be called off, only their time-out frees a call from a silent server.
        let timeout_ns = if may_cancel { left } else { left.min(share(gap_ns, SILENT_GAPS)) };
        if let Some(server) = self.servers.get_mut(&server) {
            server.sent.add(self.period);
            (server.sent_ns, server.credit) = (now, 0.0);
            if server.out.is_empty() {
                server.heard_ns = now;
            }
            server.put_out(id, now, server.way_ns(self.period));
            if let Some(suspect) = &mut server.suspect {
                suspect.next_trial_ns = now + (suspect.rest_ns << suspect.trials.min(TRIAL_DOUBLINGS));
                suspect.trials += 1;
            }
        }
        self.queue(id);
        actions.push(Action::ForwardSetup { call: id, server, timeout_ns });
    }

    /// The final answer, at once. Refused where the rules allow it, else failed.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(row) = self.take(id) else { return };
        // Many callers dial a number that is busy: the next one is hardly this one again.
        let number = row.call.dialled.filter(|number| !self.busy.contains_key(number));
        self.unserved.extend(number.map(|number| (number, row.first_ns)));
        let refusable = match self.settings.classes[row.call.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey(Scope::All) => true,
            Idempotency::IdempotencyKey(_) | Idempotency::NonIdempotent => row.may_have_run.is_none(),
        };
        if !refusable {
            actions.push(Action::Fail { call: id });
            return;
        }
        // Drawn, so that refused callers don't come back in step.
        let wait = share(self.gap_ns, 1.0 + self.drawn());
        let retry_after_ns = Some(wait.min(self.settings.max_retry_after_ns)).filter(|w| *w > 0);
        actions.push(Action::Reject { call: id, retry_after_ns });
    }

    fn forget(&mut self, id: CallId) {
        let Some(row) = self.take(id) else { return };
        self.servers.entry(row.server).and_modify(|s| s.out.retain(|o| o.call != id));
    }

    // ---- Whose turn it is ----

    /// Held and released calls are tried again whenever anything happens: dearest first, then oldest.
    fn look_at_calls(&mut self, actions: &mut Vec<Action>) {
        debug_assert!(self.calls.iter().all(|(id, row)| {
            matches!(row.state, State::Held | State::Releasing) == self.waiting.place(*id).is_some()
        }));
        // Those due, and the first of each line: where it finds none nor do others, a send only takes room.
        let mut asked: BTreeSet<_> = self.waiting.due(self.now).filter_map(|id| self.turn(id)).collect();
        self.waiting.kinds().into_iter().for_each(|alike| self.ask(alike, &mut asked));
        while let Some((_, _, id)) = asked.pop_first() {
            let place = self.waiting.place(id);
            self.place(id, actions);
            let moved = self.waiting.place(id) != place;
            if let Some((alike, _)) = place.and_then(|(_, line)| line).filter(|_| moved) {
                self.ask(alike, &mut asked);
            }
        }
    }

    /// Gives the first of a line its turn, and before it those that have become late and go to another line.
    fn ask(&mut self, alike: Likeness, asked: &mut BTreeSet<(i64, Nanos, CallId)>) {
        while let Some(id) = self.waiting.first(alike) {
            asked.extend(self.turn(id));
            if self.calls.get(&id).is_none_or(|row| self.likeness(row) == alike) {
                return;
            }
            self.queue(id);
        }
    }

    /// When a waiting call has its turn: dearest first, then oldest.
    fn turn(&self, id: CallId) -> Option<(i64, Nanos, CallId)> {
        self.calls.get(&id).map(|row| (-(self.worth(row) * 1000.0) as i64, row.taken_ns, id))
    }

    /// All that the pick goes by in a held call.
    fn likeness(&self, row: &Row) -> Likeness {
        let (call, ran, failed) = (row.call, row.may_have_run, (row.attempts > 0).then_some(row.server));
        let flags = [call.retry_after_cut, call.in_transit, self.is_late(row)];
        (call.class, call.first_choice, call.circuits.to_bits(), flags, ran, failed)
    }

    /// One timer at a time: the next period's end, or sooner when a call's release or patience runs out.
    fn set_wake(&mut self, actions: &mut Vec<Action>) {
        let due_ns = self.waiting.next_ns().unwrap_or(Nanos::MAX);
        let at = due_ns.min((self.period + 1) * PERIOD_NS).max(self.now + 1);
        if self.wake_ns.is_none_or(|set| at < set) {
            self.wake_ns = Some(at);
            actions.push(Action::SetTimer(at));
        }
    }

    /// Drawn from 0 to 1, below 1.
    fn drawn(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}

impl Server {
    /// The share of its capacity that it surely has at its age; `None` once it is warm.
    fn cold_share(&self, now: Nanos, settings: &Settings) -> Option<f64> {
        let warmth = now.saturating_sub(self.cold_since_ns?) as f64 / settings.slow_start_ns.max(1) as f64;
        (warmth < 1.0).then_some(settings.slow_start_floor + (1.0 - settings.slow_start_floor) * warmth)
    }

    /// How long a set-up is surely on its way there; where few stood of late, the shortest has waited too.
    fn way_ns(&self, period: u64) -> Nanos {
        self.least_ns.filter(|_| !self.stood.few(period)).unwrap_or(0)
    }
}

fn share(span: Nanos, of: f64) -> Nanos {
    (span as f64 * of) as Nanos
}
