//! What stand-ins saw at their sockets. The judge reads nothing else.

use lilacpitch::interface::Nanos;
use lilacpitch_protocol::message::call::Answer;
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use serde::{Deserialize, Serialize};

/// One thing seen, and when, in nanoseconds of the laboratory's own clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at_ns: Nanos,
    /// What.
    pub seen: Seen,
}

/// What was seen. `call` is the caller's id, unique in a day; `attempt` is the front's number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// A caller sent a set-up.
    Offered {
        /// The call.
        call: String,
        /// The call of its first try.
        origin: String,
        /// The front's number.
        edge: usize,
        /// The class, by number.
        class: usize,
        /// How long the caller waits.
        budget_ns: Nanos,
    },
    /// A caller read its final answer.
    Final {
        /// The call.
        call: String,
        /// The answer.
        answer: Answer,
    },
    /// A caller read that its standing call was released.
    Released {
        /// The call.
        call: String,
        /// Whether it was cut.
        cut: bool,
    },
    /// A caller read that its set-up was not taken.
    NotTaken {
        /// The call.
        call: String,
    },
    /// A caller ended its call, or gave it up.
    CallerEnded {
        /// The call.
        call: String,
    },
    /// A caller's connection ended; it owes and is owed nothing after.
    CallerGone {
        /// Its calls that had not ended.
        calls: Vec<String>,
    },
    /// A server read a set-up.
    Setup {
        /// The server.
        server: String,
        /// The front's number.
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
        /// The front's number.
        edge: usize,
        /// The attempt.
        attempt: u64,
        /// Whether the call stands by it; else the attempt ended.
        stands: bool,
    },
    /// A server read a cancel or a release.
    Ended {
        /// The server.
        server: String,
        /// The front's number.
        edge: usize,
        /// The attempt.
        attempt: u64,
        /// Whether it was a cancel: the front awaits the release then.
        cancel: bool,
    },
    /// A front's connection to a server ended: all that was on it has.
    LinkEnded {
        /// The server.
        server: String,
        /// The front's number.
        edge: usize,
    },
    /// The pool list as the fronts can read it from now on.
    Told {
        /// The server.
        server: String,
        /// Whether set-ups may go there.
        running: bool,
    },
    /// A server was pushed over while cold.
    Fell {
        /// The server.
        server: String,
        /// What it was sent within the window, as a multiple of what it could do then.
        multiple: f64,
    },
    /// The laboratory stopped a front's process from now,
    Frozen {
        /// The front's number.
        edge: usize,
    },
    /// or let it run again.
    Thawed {
        /// The front's number.
        edge: usize,
    },
}

/// The caller's id of a call, from the front's label `FRONT/SERIAL/ID`.
pub fn call_of(label: &str) -> &str {
    label.splitn(3, '/').nth(2).unwrap_or(label)
}

impl Seen {
    /// What a server saw in a front's message. `known`: it has the attempt already.
    pub fn read(server: &str, edge: usize, message: &ToServer, known: bool) -> Seen {
        let server = server.to_string();
        match message {
            ToServer::Setup { attempt, call, repeat, .. } => Seen::Setup {
                server,
                edge,
                attempt: *attempt,
                call: call_of(call).to_string(),
                repeat: *repeat > 0 && known,
            },
            ToServer::Cancel { attempt } => Seen::Ended { server, edge, attempt: *attempt, cancel: true },
            ToServer::Release { attempt } => Seen::Ended { server, edge, attempt: *attempt, cancel: false },
        }
    }

    /// What a server's own message did.
    pub fn said(server: &str, edge: usize, message: &FromServer) -> Seen {
        let (server, attempt) = (server.to_string(), message.attempt());
        match message {
            FromServer::Answer { .. } => Seen::Answered { server, edge, attempt, stands: true },
            FromServer::Released { .. } => Seen::Ended { server, edge, attempt, cancel: false },
            _ => Seen::Answered { server, edge, attempt, stands: false },
        }
    }
}
