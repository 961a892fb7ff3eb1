//! The plain types between a front and its [`Controller`](crate::Controller): settings, events, actions.
//!
//! Times are nanoseconds on the front's own clock, which has an arbitrary origin and never runs back.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// A call, by the number its front gave it. Never given twice to one controller.
pub type CallId = u64;
/// A core server, by its id in the endpoint list.
pub type ServerId = u64;

/// How often a call of a class may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May be sent and rejected freely.
    Idempotent,
    /// Repetitions are recognised among the servers of one scope, for `key_retention_ns`.
    IdempotencyKey(Scope),
    /// Must not be sent again once an attempt may have run.
    NonIdempotent,
}

/// The servers among which repetitions of a call with an idempotency key are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those with one number.
    Number,
}

/// A class of calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Wanted time until the call is established.
    pub latency_objective_ns: Nanos,
    /// How long a client goes on trying, from its first try.
    pub deadline_ns: Nanos,
    /// Weight of a call that is established in time; higher goes first.
    pub priority_weight: f64,
    /// Share of that weight for a call that is established later.
    pub late_weight: f64,
    /// Whether set-ups may be repeated.
    pub idempotency: Idempotency,
    /// How long repetitions with an idempotency key are recognised.
    pub key_retention_ns: Nanos,
    /// Numbers of the servers that can take it; empty: any.
    pub pools: Vec<u32>,
}

/// The settings of a controller, fixed at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Classes of calls; never empty.
    pub classes: Vec<Class>,
    /// The number of this front's own exchange, if it has one; no set-up is sent there.
    pub home: Option<u32>,
    /// Interval after which the network resends unanswered set-ups; 0: never.
    pub resend_interval_ns: Nanos,
    /// Release time of a call after an attempt that timed out, was cut or was cancelled.
    pub release_ns: Nanos,
    /// Attempts allowed for one call.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest `retry_after_ns` that clients respect; 0: none is given.
    pub max_retry_after_ns: Nanos,
    /// Whether the endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// Share of its capacity that a server has at its start, at least.
    pub slow_start_floor: f64,
    /// Duration of slow start: afterwards a server has its full capacity.
    pub slow_start_ns: Nanos,
    /// A server in slow start fails when sent this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Shortest interval between two rounds of events.
    pub tick_ns: Nanos,
}

/// Whether a server may be sent set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Availability {
    /// Accepts set-ups.
    Ready,
    /// Finishes its calls and accepts no further ones.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// A server's entry in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Endpoint {
    /// Its id.
    pub server: ServerId,
    /// Its number among exchanges or pools, which calls name as first choice.
    pub number: u32,
    /// The zone it is in.
    pub zone: u32,
    /// Whether it may be used.
    pub availability: Availability,
    /// When it last started; 0: long ago.
    pub up_since_ns: Nanos,
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the servers that changed.
    Changes(Vec<Endpoint>),
    /// The complete list; servers not in it are removed.
    Full(Vec<Endpoint>),
    /// The subscription failed; the current list stays in force.
    Failed,
}

/// The part of a server's load report that is used. Figures of its processor are late and noisy, and ignored.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Free circuits or agents towards it.
    pub free_capacity: Option<f64>,
}

/// A call handed to this front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// Its class, an index into the settings.
    pub class: usize,
    /// The number of its first choice.
    pub first_choice: u32,
    /// How long its client waits.
    pub budget_ns: Nanos,
    /// The number dialled, if known: a client that tries again dials the same.
    pub dialled: Option<u64>,
    /// Circuits it takes.
    pub circuits: f64,
    /// Whether the call was cut and is tried again.
    pub retry_after_cut: bool,
    /// Whether it is in transit from another front: goes to its first choice or back.
    pub in_transit: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was established and has ended.
    Completed,
    /// A signalling fault.
    Fault,
    /// All lines of the number dialled are busy.
    LinesBusy,
    /// No circuit or agent was free; it never ran.
    NoCircuit,
    /// The processor was full; it never ran. With the server's retry-after, if any.
    Overloaded(Option<Nanos>),
    /// No answer in time; it may have run.
    TimedOut,
    /// The server was not reached; it never ran.
    Unreachable,
    /// The set-up or the call was cut.
    Cut,
    /// Cancelled.
    Cancelled,
    /// Not sent at all; it never ran.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::NoCircuit | Outcome::Overloaded(_) | Outcome::Unreachable | Outcome::NotSent)
    }

    /// Whether the call must wait for its release before it is sent again.
    pub fn needs_release(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Cut | Outcome::Cancelled)
    }
}

/// What one front knows of a server, for its peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// How old the newest evidence is.
    pub age_ns: Nanos,
    /// The wait seen there.
    pub wait_ns: Nanos,
    /// Set-ups of the reporting front that are in flight there.
    pub in_flight: u32,
    /// Set-ups of the reporting front that succeeded there within the window.
    pub succeeded: u32,
    /// Whether it is ejected as unresponsive.
    pub is_unresponsive: bool,
    /// How long ago its slow start began, if it is in slow start.
    pub warming_up_for_ns: Option<Nanos>,
    /// Whether it is listed as draining or removed.
    pub is_draining: bool,
}

/// An input of the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsUpdated(EndpointUpdate),
    /// A call arrived at this front.
    CallArrived(Call),
    /// The client disconnected; it needs no answer.
    ClientDisconnected(CallId),
    /// The timer set by [`Action::SetTimer`] fired.
    TimerFired,
    /// The call was established.
    CallEstablished {
        /// The call.
        call: CallId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// An attempt completed.
    AttemptCompleted {
        /// The call.
        call: CallId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the call is over for this front.
        is_final: bool,
        /// The server's load report.
        report: LoadReport,
    },
    /// A peer reported what it knows.
    PeerReported {
        /// The reporting front.
        peer: u64,
        /// Its reports.
        server_reports: Vec<ServerReport>,
    },
    /// A server reported its load by itself.
    ServerLoadReported {
        /// The server.
        server: ServerId,
        /// Its report.
        report: LoadReport,
    },
}

/// An output of the controller, for the front to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Forward a set-up to a server.
    ForwardSetup {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out.
        timeout_ns: Nanos,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: rejected.
    Reject {
        /// The call.
        call: CallId,
        /// When the client should try again, if that is given.
        retry_after_ns: Option<Nanos>,
    },
    /// Final answer: failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Give [`Event::TimerFired`] at this time.
    SetTimer(Nanos),
    /// Subscribe to the endpoint list and its changes.
    Subscribe,
}

/// Decides for a front. [`Controller`](crate::Controller) is the one in use; a testbed may compare others with it.
pub trait Policy {
    /// Handles one event and appends the actions to take.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);
    /// What it knows of servers from its own set-ups, for its peers.
    fn server_reports(&self) -> Vec<ServerReport>;
}
