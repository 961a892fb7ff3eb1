//! Records of the events at the sockets of simulated servers and callers. They are the only input of the
//! checker of the call rules.

use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use serde::{Deserialize, Serialize};

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event, in nanoseconds of the testbed's clock.
    pub at_ns: Nanos,
    /// The event.
    pub seen: Seen,
}

/// An event at a socket. `call` is the caller's id of a call, unique in a day; `attempt` is the front's id of
/// an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// A caller sent a set-up.
    Offered {
        /// The call.
        call: String,
        /// The call of the first try.
        origin: String,
        /// Index of the front.
        edge: usize,
        /// Index of the class.
        class: usize,
        /// How long the caller waits.
        budget_ns: Nanos,
    },
    /// A caller read the final answer to a set-up.
    Final {
        /// The call.
        call: String,
        /// The answer.
        answer: Answer,
    },
    /// A caller read that its established call was released.
    Released {
        /// The call.
        call: String,
        /// Whether it was cut.
        cut: bool,
    },
    /// A caller read that its set-up was not accepted.
    NotTaken {
        /// The call.
        call: String,
    },
    /// A caller released its call or gave up.
    CallerEnded {
        /// The call.
        call: String,
    },
    /// A caller's connection ended. Neither side owes the other any message about its calls after that.
    CallerGone {
        /// The caller's calls that had not ended.
        calls: Vec<String>,
    },
    /// A server read a set-up.
    Setup {
        /// The server.
        server: String,
        /// Index of the front.
        edge: usize,
        /// The attempt.
        attempt: u64,
        /// The call, as the caller named it.
        call: String,
        /// Whether the server had this attempt already.
        repeat: bool,
    },
    /// A server answered an attempt.
    Answered {
        /// The server.
        server: String,
        /// Index of the front.
        edge: usize,
        /// The attempt.
        attempt: u64,
        /// Whether the call is established by it; otherwise the attempt has ended.
        stands: bool,
    },
    /// A server read a cancel or a release.
    Ended {
        /// The server.
        server: String,
        /// Index of the front.
        edge: usize,
        /// The attempt.
        attempt: u64,
        /// Whether it was a cancel, after which the front awaits the release.
        cancel: bool,
    },
    /// A front's connection to a server ended, and with it all calls on it.
    LinkEnded {
        /// The server.
        server: String,
        /// Index of the front.
        edge: usize,
    },
    /// The state of a server changed in the pool list that fronts read.
    Told {
        /// The server.
        server: String,
        /// Whether it accepts set-ups.
        running: bool,
    },
    /// A server failed under too much load while it was warming up.
    Fell {
        /// The server.
        server: String,
        /// The load within the window, as a multiple of the server's capacity then.
        multiple: f64,
    },
    /// The testbed suspended a front's process.
    Frozen {
        /// Index of the front.
        edge: usize,
    },
    /// The testbed resumed a front's process.
    Thawed {
        /// Index of the front.
        edge: usize,
    },
}

/// The caller's id of a call in the label `FRONT/SERIAL/ID` that a front gives it.
pub fn call_id(label: &str) -> &str {
    label.splitn(3, '/').nth(2).unwrap_or(label)
}

impl Seen {
    /// The event of a server that reads a front's message. `known`: whether the server has the attempt
    /// already.
    pub fn received_by_server(server: &str, edge: usize, message: &ToServer, known: bool) -> Seen {
        let server = server.to_string();
        match message {
            ToServer::Setup { attempt, call, repeat, .. } => Seen::Setup {
                server,
                edge,
                attempt: *attempt,
                call: call_id(call).to_string(),
                repeat: *repeat > 0 && known,
            },
            ToServer::Cancel { attempt } => Seen::Ended { server, edge, attempt: *attempt, cancel: true },
            ToServer::Release { attempt } => Seen::Ended { server, edge, attempt: *attempt, cancel: false },
        }
    }

    /// The event of a server that sends a message.
    pub fn sent_by_server(server: &str, edge: usize, message: &FromServer) -> Seen {
        let (server, attempt) = (server.to_string(), message.attempt());
        match message {
            FromServer::Answer { .. } => Seen::Answered { server, edge, attempt, stands: true },
            FromServer::Released { .. } => Seen::Ended { server, edge, attempt, cancel: false },
            _ => Seen::Answered { server, edge, attempt, stands: false },
        }
    }
}
