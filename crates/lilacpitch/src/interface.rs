//! The plain types between a front and its [`Controller`](crate::Controller): settings, events, actions.
//!
//! Times are nanoseconds on the front's own clock, which begins anywhere and only advances.

/// A moment or a span, in nanoseconds.
pub type Nanos = u64;
/// A call, by the number its front gave it. Never given twice to one controller.
pub type CallId = u64;
/// A core server, by the number the list gives it.
pub type ServerId = u64;

/// How often a call of a class may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May be sent and refused freely.
    Idempotent,
    /// Repeats are recognised among the servers of one scope, for a while.
    IdempotencyKey(Scope),
    /// Must not be sent again once an attempt may have run.
    NonIdempotent,
}

/// The servers among which a keyed call's repeats are recognised.
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
    /// Wanted set-up time.
    pub latency_objective_ns: Nanos,
    /// How long a caller goes on trying, from the first try.
    pub deadline_ns: Nanos,
    /// What a call that stands in time is worth.
    pub priority_weight: f64,
    /// The share of it that is left when it stands later.
    pub late_weight: f64,
    /// Effect of repeated set-ups.
    pub idempotency: Idempotency,
    /// How long a keyed call's repeats are recognised.
    pub key_retention_ns: Nanos,
    /// Numbers of the servers that can take it; empty: any.
    pub pools: Vec<u32>,
}

/// What a controller is told once, at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Classes of calls; never empty.
    pub classes: Vec<Class>,
    /// The number of the exchange this front stands in, where there is one; nothing is sent there.
    pub home: Option<u32>,
    /// Set-ups that wait are sent again by the network after this span; 0: never.
    pub resend_interval_ns: Nanos,
    /// Rest of a call after an attempt that timed out, was cut or was called off.
    pub release_ns: Nanos,
    /// Attempts allowed for one call.
    pub max_attempts: u32,
    /// Whether attempts may be called off.
    pub may_cancel: bool,
    /// Whether callers are told when to come back, and the longest wait they heed; 0: not told.
    pub max_retry_after_ns: Nanos,
    /// Whether the list of servers must be asked for.
    pub must_subscribe: bool,
    /// A server starts with at least this share of its capacity,
    pub slow_start_floor: f64,
    /// and is warm after this span.
    pub slow_start_ns: Nanos,
    /// A cold server falls over when sent so many times what it can do at its age.
    pub overload_multiple: f64,
    /// Shortest span between two rounds of events.
    pub tick_ns: Nanos,
}

/// Whether a listed server may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Availability {
    /// Takes set-ups.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    #[default]
    Removed,
}

/// A server as the list shows it.
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

/// What a piece of list news holds.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the servers that changed.
    Changes(Vec<Endpoint>),
    /// The complete list; servers not in it are gone.
    Full(Vec<Endpoint>),
    /// Asking failed; the list in hand stays in force.
    Failed,
}

/// What a server's figures tell that is used: its processor's own are late and noisy, and left aside.
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
    /// How long its caller waits.
    pub budget_ns: Nanos,
    /// The number dialled, where it is known: a caller's further try dials the same.
    pub dialled: Option<u64>,
    /// Circuits it takes.
    pub circuits: f64,
    /// Cut before, and coming again.
    pub retry_after_cut: bool,
    /// In transit from another front: goes to its first choice or back.
    pub in_transit: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and has ended.
    Completed,
    /// A fault of signalling.
    Fault,
    /// All lines of the number dialled are busy.
    LinesBusy,
    /// No circuit or agent was free; it never ran.
    NoCircuit,
    /// The processor was full; it never ran. With the wait that the server told, if any.
    Overloaded(Option<Nanos>),
    /// No answer in time; it may have run.
    TimedOut,
    /// The server was not reached; it never ran.
    Unreachable,
    /// The set-up or the call was cut.
    Cut,
    /// Called off.
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

/// What one front knows of a server, for another that has just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// How old the newest evidence is.
    pub age_ns: Nanos,
    /// The wait expected there.
    pub wait_ns: Nanos,
    /// Set-ups of the teller that are unanswered there.
    pub in_flight: u32,
    /// Set-ups of the teller that stood there within the window.
    pub succeeded: u32,
    /// Taken to be silent.
    pub is_unresponsive: bool,
    /// Since when it is cold, as a span until now.
    pub warming_up_for_ns: Option<Nanos>,
    /// Listed as draining or gone.
    pub is_draining: bool,
}

/// What happens to a front.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointsUpdated(EndpointUpdate),
    /// A call was handed to this front.
    CallArrived(Call),
    /// The caller is gone; nothing more is owed.
    ClientDisconnected(CallId),
    /// A wake-up that was asked for.
    TimerFired,
    /// The call stands.
    CallEstablished {
        /// The call.
        call: CallId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// An attempt ended.
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
        /// The server's figures.
        report: LoadReport,
    },
    /// Another front, by a number of its own, says what it knows.
    PeerReported {
        /// The front.
        peer: u64,
        /// Its facts.
        server_reports: Vec<ServerReport>,
    },
    /// A server's figures by themselves.
    ServerLoadReported {
        /// The server.
        server: ServerId,
        /// Its figures.
        report: LoadReport,
    },
}

/// What a front is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send a set-up.
    ForwardSetup {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out.
        timeout_ns: Nanos,
    },
    /// Call an attempt off.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: turned away.
    Reject {
        /// The call.
        call: CallId,
        /// When the caller had better come back, if anything is said.
        retry_after_ns: Option<Nanos>,
    },
    /// Final answer: failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Send [`Event::Wake`] at this moment.
    SetTimer(Nanos),
    /// Ask for the list and its changes from now on.
    Subscribe,
}

/// What decides for a front. The module is [`Controller`](crate::Controller); a laboratory may set others beside it.
pub trait Policy {
    /// Takes one event and appends what is to be done about it.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);
    /// What it knows of servers from its own set-ups.
    fn server_reports(&self) -> Vec<ServerReport>;
}
