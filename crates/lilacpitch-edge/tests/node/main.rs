//! The front node's hard cases: a real process on loopback between scripted callers, signalling servers and a
//! coordinator, judged by what crosses the sockets.

mod callers;
mod coordinator;
mod departures;
mod evictions;
mod exits;
mod ids;
mod limits;
mod process;
mod repeats;
mod servers;
mod signals;
mod standin;
mod standing;
mod terms;
mod unlike;
mod watch;
