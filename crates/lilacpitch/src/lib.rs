//! Decisions of a call controller at the edge of a network with central servers: which server gets a call's
//! set-up, when, and when the call is rejected.
//!
//! The mechanism is call counting (Sabourin, ITC-13), in [`controller`]; [`interface`] holds the types of its
//! inputs and outputs, [`settings`] reads its settings, and [`wire`] is the text framing of the bench adapter.
//! The other modules are containers that decide nothing.
//!
//! The example below is part of the tests.
#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

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
