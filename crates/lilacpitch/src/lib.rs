//! lilacpitch decides, at the edge of a network with central servers, what becomes of each call:
//! which server gets its set-up, when, and when it is refused.
//!
//! The mechanism is call counting after Sabourin (ITC-13): see [`controller`], and [`interface`] for the
//! plain types it is fed with and answers in. [`wire`] is the text framing of the adapter.
//!
//! The worked example below is part of the tests.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod controller;
pub mod interface;
pub mod latency_deviation;
pub mod peer_reports;
pub mod pending_queue;
pub mod settings;
pub mod sliding_window;
pub mod wire;

pub use controller::Controller;
pub use interface::{Action, Event, Policy, Settings};

impl Policy for Controller {
    fn handle(&mut self, now: interface::Nanos, event: Event, actions: &mut Vec<Action>) {
        Controller::handle(self, now, event, actions);
    }

    fn server_reports(&self) -> Vec<interface::ServerReport> {
        Controller::server_reports(self)
    }
}
