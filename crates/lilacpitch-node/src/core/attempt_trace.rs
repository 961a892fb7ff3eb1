//! Trace records of attempts: the controller's state of a server when an attempt is sent, succeeds or
//! completes.

use super::NodeCore;
use lilacpitch::interface::{Action, CallId, ServerId};
use lilacpitch::Event;

impl NodeCore {
    /// Writes a record for each attempt that an event, or the controller's actions on it, concern.
    pub(super) fn trace_attempts(&self, event: &Event, actions: &[Action]) {
        match event {
            Event::CallEstablished { call, .. } => {
                let attempt = self.calls.get(call).and_then(|call| call.attempt);
                attempt.iter().for_each(|attempt| self.trace_server("established", *call, attempt.server));
            }
            Event::AttemptCompleted { call, server, outcome, .. } => {
                self.trace_server(&format!("{outcome:?}"), *call, *server);
            }
            _ => {}
        }
        for action in actions {
            if let Action::ForwardSetup { call, server, .. } = action {
                self.trace_server("forwarded", *call, *server);
            }
        }
    }

    /// Writes the controller's state of a server at this step of a call's attempt.
    fn trace_server(&self, step: &str, call: CallId, server: ServerId) {
        let Some(record) = self.servers.get(&server) else { return };
        let reports = self.controller.server_reports();
        let Some(report) = reports.into_iter().find(|report| report.server == server) else { return };
        let wire_id = self.calls.get(&call).map_or(0, |call| call.wire_id);
        let calls = self.call_counts();
        tracing::trace!(
            step = %step,
            call,
            wire_id = %format_args!("{wire_id:016x}"),
            server = %record.uid,
            in_flight = report.in_flight,
            succeeded = report.succeeded,
            wait_ms = report.wait_ns / 1_000_000,
            is_unresponsive = report.is_unresponsive,
            open = calls.open,
            established = calls.established,
            "controller state"
        );
    }
}
