//! Integration tests of the front node: a real process on loopback between scripted callers, signalling
//! servers and a coordinator, checked by the messages on their sockets.

mod active_calls;
mod attempt_ends;
mod bursts;
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
