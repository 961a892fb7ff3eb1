//! The types that a front and its [`Controller`](crate::Controller) exchange: settings, events and actions.
//!
//! Times are nanoseconds on the front's own monotonic clock, which has an arbitrary origin.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// Identifies a call; the front assigns it and never uses an id twice for one controller.
pub type CallId = u64;
/// Identifies a server in the endpoint list.
pub type ServerId = u64;

/// Whether the set-up of a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May be sent any number of times, and rejected after any attempt.
    Idempotent,
    /// The servers of one scope recognise repetitions by an idempotency key for [`Class::key_retention_ns`].
    IdempotencyKey(Scope),
    /// Must not be sent again once an attempt may have taken effect.
    NonIdempotent,
}

/// The servers that share the idempotency keys of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    All,
    /// The servers in one zone.
    Zone,
    /// The servers with the same [`Endpoint::number`].
    Number,
}

/// A class of calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Target for the time from the client's first try until the call is established.
    pub latency_objective_ns: Nanos,
    /// How long a client keeps trying, from its first try.
    pub deadline_ns: Nanos,
    /// Weight of a call that is established within its objective; calls with a higher weight are sent first.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` that remains once the objective has passed.
    pub late_weight: f64,
    /// Whether the set-ups of its calls may be repeated.
    pub idempotency: Idempotency,
    /// How long servers recognise repetitions by an idempotency key.
    pub key_retention_ns: Nanos,
    /// Numbers of the pools whose servers can take its calls; empty: all servers can.
    pub pools: Vec<u32>,
}

/// The settings of a controller, fixed at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The classes of calls; never empty.
    pub classes: Vec<Class>,
    /// The number of the exchange that this front belongs to, if any; no set-up is sent there.
    pub home: Option<u32>,
    /// Interval after which the network resends an unanswered set-up; 0: it resends none.
    pub resend_interval_ns: Nanos,
    /// Time that the release of a call takes after an attempt that timed out, was cut or was cancelled.
    pub release_ns: Nanos,
    /// Maximum number of attempts for one call.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest `retry_after_ns` that clients respect; 0: rejections carry none.
    pub max_retry_after_ns: Nanos,
    /// Whether the endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// Least fraction of its capacity that a server has when it starts.
    pub slow_start_floor: f64,
    /// Duration of slow start, after which a server has its full capacity.
    pub slow_start_ns: Nanos,
    /// A server in slow start fails when it is sent this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Shortest interval at which the front delivers events.
    pub tick_ns: Nanos,
}

/// Whether a server may be sent set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Availability {
    /// Accepts set-ups.
    Ready,
    /// Completes its current calls and accepts no new ones.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// A server's entry in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Endpoint {
    /// The server's id.
    pub server: ServerId,
    /// The number of its exchange or pool; [`Call::first_choice`] refers to it.
    pub number: u32,
    /// Index of the zone it is in.
    pub zone: u32,
    /// Whether it may be sent set-ups.
    pub availability: Availability,
    /// When it last started; 0: so long ago that slow start is over.
    pub up_since_ns: Nanos,
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the servers that changed.
    Changes(Vec<Endpoint>),
    /// The complete list; servers that are missing from it are removed.
    Full(Vec<Endpoint>),
    /// The subscription failed; the current list stays valid.
    Failed,
}

/// The part of a server's load report that is used. The processor load in a report is ignored, since it is
/// late and noisy.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Free circuits towards the server, or free agents at it; `None` if unknown.
    pub free_capacity: Option<f64>,
}

/// A call that arrived at this front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    /// The call's id.
    pub id: CallId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// The [`Endpoint::number`] that it prefers; `u32::MAX`, which no server has, for none.
    pub first_choice: u32,
    /// How long its client waits for an answer, from now.
    pub budget_ns: Nanos,
    /// The number dialled, if known. A client that tries again is recognised by it.
    pub dialled: Option<u64>,
    /// Number of circuits it needs.
    pub circuits: f64,
    /// Whether it repeats a call that was cut.
    pub retry_after_cut: bool,
    /// Whether it is in transit from another front; such a call is sent to its first choice or rejected.
    pub in_transit: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was established and has ended.
    Completed,
    /// The server answered with a signalling fault.
    Fault,
    /// All lines of the number dialled were busy.
    LinesBusy,
    /// No circuit or agent was free; the set-up had no effect.
    NoCircuit,
    /// The server's processor was full; the set-up had no effect. Holds the server's retry-after, if any.
    Overloaded(Option<Nanos>),
    /// No answer arrived in time; the set-up may have taken effect.
    TimedOut,
    /// The server could not be reached; the set-up had no effect.
    Unreachable,
    /// The connection broke during the set-up or the call.
    Cut,
    /// The attempt was cancelled by [`Action::CancelAttempt`].
    Cancelled,
    /// The front did not send the set-up.
    NotSent,
}

impl Outcome {
    /// Whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::NoCircuit | Outcome::Overloaded(_) | Outcome::Unreachable | Outcome::NotSent)
    }

    /// Whether the call must be released before it is sent again.
    pub fn needs_release(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Cut | Outcome::Cancelled)
    }
}

/// What one front has observed of a server, for its peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerReport {
    /// The server that the report is about.
    pub server: ServerId,
    /// Age of the newest observation.
    pub age_ns: Nanos,
    /// Time that set-ups wait at the server, beyond the network delay.
    pub wait_ns: Nanos,
    /// Number of the reporting front's set-ups that are in flight to the server.
    pub in_flight: u32,
    /// Number of the reporting front's set-ups that succeeded there within the counting window.
    pub succeeded: u32,
    /// Whether the reporting front has ejected the server as unresponsive.
    pub is_unresponsive: bool,
    /// How long ago its slow start began; `None` if it is not in slow start.
    pub warming_up_for_ns: Option<Nanos>,
    /// Whether the endpoint list shows it as draining or removed.
    pub is_draining: bool,
}

/// An input of the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsUpdated(EndpointUpdate),
    /// A call arrived at this front.
    CallArrived(Call),
    /// The client disconnected; the call needs no answer.
    ClientDisconnected(CallId),
    /// The timer set by [`Action::SetTimer`] fired.
    TimerFired,
    /// The server established the call.
    CallEstablished {
        /// The call.
        call: CallId,
        /// The attempt that succeeded; a call's attempts are numbered from 0.
        attempt: u32,
    },
    /// An attempt completed.
    AttemptCompleted {
        /// The call.
        call: CallId,
        /// The attempt; a call's attempts are numbered from 0.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the front has finished with the call.
        is_final: bool,
        /// The load report that came with the server's answer.
        report: LoadReport,
    },
    /// Another front sent its server reports.
    PeerReported {
        /// Id of the reporting front.
        peer: u64,
        /// Its reports, one for each server.
        server_reports: Vec<ServerReport>,
    },
    /// A server sent a load report that belongs to no attempt.
    ServerLoadReported {
        /// The reporting server.
        server: ServerId,
        /// Its load report.
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
        /// The server to send it to.
        server: ServerId,
        /// The attempt times out after this duration.
        timeout_ns: Nanos,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt; a call's attempts are numbered from 0.
        attempt: u32,
    },
    /// Answer the call as rejected; this is its final answer.
    Reject {
        /// The call.
        call: CallId,
        /// Time after which the client should try again, if one is given.
        retry_after_ns: Option<Nanos>,
    },
    /// Answer the call as failed; this is its final answer.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Deliver [`Event::TimerFired`] at this time. A timer that is already set for later may be dropped.
    SetTimer(Nanos),
    /// Subscribe to the endpoint list.
    Subscribe,
}

/// A decision policy of a front. [`Controller`](crate::Controller) is used in production; the testbed
/// compares it with other implementations.
pub trait Policy {
    /// Handles one event and appends the actions that the front is to carry out.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);
    /// What this front has observed of servers by its own set-ups, for its peers.
    fn server_reports(&self) -> Vec<ServerReport>;
}
