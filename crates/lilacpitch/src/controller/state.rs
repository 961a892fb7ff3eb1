//! What the module keeps of servers and calls: types, which decide nothing.

use super::Count;
use crate::interface::*;
use crate::latency_deviation::Spread;

/// A set-up that has had no answer yet.
#[derive(Clone, Copy)]
pub(super) struct Unanswered {
    pub(super) call: CallId,
    pub(super) sent_ns: Nanos,
    /// From when on it waits: before, it was on its way.
    pub(super) waits_ns: Nanos,
    /// A later set-up was answered first: this one does not wait in line, it is lost.
    pub(super) overtaken: bool,
}

/// A server that is taken to be silent, until a single live call stands there.
#[derive(Clone, Copy)]
pub(super) struct Suspect {
    pub(super) next_trial_ns: Nanos,
    pub(super) rest_ns: Nanos,
    pub(super) trials: u32,
    /// By what others tell alone.
    pub(super) told: bool,
    /// The rest's share of the normal gap, as drawn when the suspicion began.
    pub(super) drawn: f64,
}

impl Unanswered {
    /// Leaves a span out of its time.
    pub(super) fn shift(&mut self, span_ns: Nanos) {
        self.sent_ns += span_ns;
        self.waits_ns += span_ns;
    }
}

#[derive(Default)]
pub(super) struct Server {
    pub(super) entry: Endpoint,
    pub(super) offered: Count,
    pub(super) sent: Count,
    pub(super) stood: Count,
    /// What stood and the seconds it took, both fading: this front's normal rate there.
    pub(super) normal: (f64, f64),
    pub(super) ceiling_per_s: Option<f64>,
    /// The ceiling before the last symptom.
    pub(super) ceiling_before: Option<f64>,
    pub(super) symptom_ns: Nanos,
    /// The share of symptoms among the last SHARE_OVER set-ups that ended.
    pub(super) ill: f64,
    /// When a set-up was last seen to wait there.
    pub(super) late_ns: Nanos,
    /// The last symptom was that its lines ran out, by its own word.
    pub(super) no_lines: bool,
    pub(super) deaf_until_ns: Nanos,
    pub(super) cut: f64,
    pub(super) told_wait_until_ns: Nanos,
    /// Its line became short by the word of others: from when on this front joins it.
    pub(super) turn_ns: Nanos,
    pub(super) out: Vec<Unanswered>,
    pub(super) delay_ns: Nanos,
    /// The share of what stood, beside first attempts that ended by a fault; 0 at first.
    pub(super) sound: f64,
    /// What set-ups that stood had waited.
    pub(super) waits: Spread,
    /// The shortest that a set-up took to stand there: what is on its way for no longer does not wait.
    pub(super) least_ns: Option<Nanos>,
    /// The wait there as other fronts tell it.
    pub(super) told_wait_ns: Option<Nanos>,
    /// Set-ups of other fronts that are unanswered there, as they tell it.
    pub(super) told_out: usize,
    /// What stood there a second at all fronts, as others tell it, where own set-ups are few.
    pub(super) told_stood_per_s: Option<f64>,
    pub(super) heard_ns: Nanos,
    pub(super) sent_ns: Nanos,
    /// Of one set-up, so much may go there while it is cold.
    pub(super) credit: f64,
    pub(super) suspect: Option<Suspect>,
    pub(super) cold_since_ns: Option<Nanos>,
    pub(super) free: Option<f64>,
    pub(super) free_ns: Nanos,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Held,
    Out,
    Releasing,
    Standing,
}

/// One call's row in the one table that the rules are checked against.
pub(super) struct Row {
    pub(super) call: Call,
    pub(super) state: State,
    pub(super) taken_ns: Nanos,
    pub(super) first_ns: Nanos,
    pub(super) deadline_ns: Nanos,
    pub(super) not_before_ns: Nanos,
    pub(super) attempts: u32,
    pub(super) server: ServerId,
    pub(super) calling_off: bool,
    /// How likely a call that is fine would have met the faults that it met.
    pub(super) chance: f64,
    /// The first attempt that may have run: its server's zone and number, and when it was sent.
    pub(super) may_have_run: Option<(u32, u32, Nanos)>,
}

impl Row {
    /// A call that was just taken.
    pub(super) fn new(call: Call, taken_ns: Nanos, deadline_ns: Nanos) -> Self {
        Row {
            call,
            state: State::Held,
            taken_ns,
            first_ns: taken_ns,
            deadline_ns,
            not_before_ns: taken_ns,
            attempts: 0,
            server: 0,
            calling_off: false,
            chance: 1.0,
            may_have_run: None,
        }
    }
}

/// What the pick goes by in a call: class, first choice, width, flags, the attempt that may have run, and where
/// the last one failed.
pub(super) type Likeness = (usize, u32, u64, [bool; 3], Option<(u32, u32, Nanos)>, Option<ServerId>);

impl Server {
    /// One more set-up is unanswered, and on its way for so long.
    pub(super) fn put_out(&mut self, call: CallId, sent_ns: Nanos, way_ns: Nanos) {
        let waits_ns = sent_ns + way_ns;
        self.out.push(Unanswered { call, sent_ns, waits_ns, overtaken: false });
    }

    /// A set-up is unanswered no longer.
    pub(super) fn take_out(&mut self, call: CallId) -> Option<Unanswered> {
        self.out.iter().position(|out| out.call == call).map(|at| self.out.remove(at))
    }

    /// A set-up ended by a fault: how many of them did so lately. A call counts once, one in `over`.
    pub(super) fn faulted(&mut self, first: bool, over: f64) -> f64 {
        let share = 1.0 - self.sound;
        self.sound -= if first { self.sound / over } else { 0.0 };
        share
    }

    /// What stood here, over the time it took, both fading.
    pub(super) fn stood_per_s(&self) -> f64 {
        self.normal.0 / self.normal.1.max(1.0)
    }

    pub(super) fn in_service(&self) -> bool {
        self.entry.availability == Availability::Ready
    }

    /// Since when the oldest set-up waits in line there; still on its way, it is yet to come.
    pub(super) fn oldest_ns(&self) -> Option<Nanos> {
        self.out.iter().find(|o| !o.overtaken).map(|o| o.waits_ns)
    }
}

impl super::Controller {
    /// How much is kept, by name: for tests that nothing keeps growing.
    #[doc(hidden)]
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("module's servers", self.servers.len()),
            ("module's calls", self.calls.len()),
            ("module's unserved numbers", self.unserved.len()),
            ("module's busy numbers", self.busy.len()),
            ("module's unanswered", self.servers.values().map(|s| s.out.len()).sum()),
        ]
    }
}
