//! The decision module of a call router at the edge of a network with central servers: it selects the server
//! that gets a call's set-up, when the set-up is sent, and when the call is rejected.
//!
//! - [`controller`] makes every decision; its mechanism is call counting (Sabourin, ITC-13).
//! - [`interface`] defines the events, actions and settings that a front exchanges with the controller.
//! - [`settings`] reads the settings from JSON.
//! - [`wire`] connects controllers to a simulator over a line protocol.
//! - [`sliding_window`], [`latency_deviation`], [`pending_queue`] and [`peer_reports`] are data structures
//!   without decision logic.
//!
//! The README follows; its example is compiled and run as a documentation test.
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
