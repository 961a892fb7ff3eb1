//! The end of a node: all that has arrived by then is answered, and every connection is closed in order.

use super::connections::ConnectionHandle;
use super::driver::{accept, Driver, ACCEPT_RETRY_PAUSE};
use super::driver_event::DriverEvent;
use lilacpitch_net::CloseMode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// All connections are closed this long before the platform's kill.
const CLOSED_BEFORE_KILL: Duration = Duration::from_millis(120);
/// With no event for this long, nothing is on its way within this machine.
const QUIET_PERIOD: Duration = Duration::from_millis(10);
/// How often the tasks of closed connections are checked for their end.
const TASK_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Driver {
    /// Closes all connections: what has arrived by now is answered, and what was queued is written if it is read
    /// before the kill.
    pub(super) async fn close(mut self, listener: TcpListener, mut inbox: mpsc::Receiver<DriverEvent>) {
        let stop_requested_at = self.stop_requested_at.unwrap_or_else(Instant::now);
        let deadline =
            stop_requested_at + Duration::from_nanos(self.core.kill_delay_ns()) - CLOSED_BEFORE_KILL;
        // A caller that does not read until then is cut off, but given a moment in any case.
        let deadline = deadline.max(Instant::now() + CLOSED_BEFORE_KILL);
        let mut tasks = self.answer_arrived(listener, &mut inbox, deadline).await;
        for connection in self.upstreams.values() {
            connection.outbox.close(CloseMode::AfterFlush);
            tasks.push(connection.task.clone());
        }
        // The events that end them are not read any more.
        inbox.close();
        let deadline = deadline.max(stop_requested_at + QUIET_PERIOD);
        while tasks.iter().any(|task| !task.is_finished()) && Instant::now() < deadline {
            tokio::time::sleep(TASK_CHECK_INTERVAL).await;
        }
    }

    /// Accepts and answers until nothing more arrives and every caller is closed, or the deadline has passed; the
    /// tasks of the callers' connections.
    async fn answer_arrived(
        &mut self,
        listener: TcpListener,
        inbox: &mut mpsc::Receiver<DriverEvent>,
        deadline: Instant,
    ) -> Vec<AbortHandle> {
        let mut tasks = Vec::new();
        let mut listener = Some(listener);
        loop {
            finish_callers(self.callers.values(), &mut tasks);
            let accepting = listener.as_ref().filter(|_| self.has_caller_capacity());
            let quiet = tokio::time::sleep(QUIET_PERIOD);
            tokio::select! {
                biased;
                Some(event) = inbox.recv() => self.handle_event(event),
                accepted = accept(accepting), if accepting.is_some() => match accepted {
                    Ok(stream) => self.open_caller(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
                },
                () = tokio::time::sleep_until(deadline) => return tasks,
                () = quiet => {
                    // Nobody has connected, and nothing more was read.
                    if self.has_caller_capacity() {
                        listener = None;
                    }
                    if self.callers.is_empty() && listener.is_none() {
                        return tasks;
                    }
                }
            }
        }
    }
}

/// Asks callers' connections to finish, and keeps the tasks of those that were not asked before.
fn finish_callers<'a>(callers: impl Iterator<Item = &'a ConnectionHandle>, tasks: &mut Vec<AbortHandle>) {
    for caller in callers.filter(|caller| caller.outbox.close_mode() != Some(CloseMode::AfterAnswers)) {
        caller.outbox.close(CloseMode::AfterAnswers);
        tasks.push(caller.task.clone());
    }
}
