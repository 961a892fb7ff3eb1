//! The front node's hard cases: a real process on loopback between scripted callers, signalling servers and a
//! coordinator, judged by what crosses the sockets.

mod active_calls;
mod callers;
mod coordinator;
mod coordinator_faults;
mod disconnects;
mod evictions;
mod ids;
mod limits;
mod overload;
mod process;
mod reused_ids;
mod servers;
mod settings;
mod shutdown;
mod signals;
mod standin;
