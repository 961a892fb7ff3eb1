//! The shutdown of a node: everything that has arrived is answered, and every connection is closed
//! gracefully.

use super::connections::CallerHandle;
use super::driver::{accept, Driver, ACCEPT_RETRY_PAUSE};
use super::driver_event::DriverEvent;
use lilacpitch_net::CloseMode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long before the platform kills the process all connections are closed.
const CLOSED_BEFORE_KILL: Duration = Duration::from_millis(120);
/// If there is no event for this long, it is assumed that no input is pending within this machine.
const QUIET_PERIOD: Duration = Duration::from_millis(10);
/// How often it is checked whether the tasks of closed connections have ended.
const TASK_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Driver {
    /// Closes all connections. Everything that has arrived is answered, and queued messages are written if
    /// their peers read them before the kill.
    pub(super) async fn close(mut self, listener: TcpListener, mut inbox: mpsc::Receiver<DriverEvent>) {
        let stop_requested_at = self.stop_requested_at.unwrap_or_else(Instant::now);
        let deadline =
            stop_requested_at + Duration::from_nanos(self.core.kill_delay_ns()) - CLOSED_BEFORE_KILL;
        // A caller that does not read until the deadline is disconnected. It has CLOSED_BEFORE_KILL at least,
        // even if the stop has taken longer than planned.
        let deadline = deadline.max(Instant::now() + CLOSED_BEFORE_KILL);
        let mut tasks = self.answer_arrived(listener, &mut inbox, deadline).await;
        for connection in self.upstreams.values() {
            connection.outbox.close(CloseMode::AfterFlush);
            tasks.push(connection.task.clone());
        }
        // Events are no longer handled, and tasks must not wait for the queue.
        inbox.close();
        let deadline = deadline.max(stop_requested_at + QUIET_PERIOD);
        while tasks.iter().any(|task| !task.is_finished()) && Instant::now() < deadline {
            tokio::time::sleep(TASK_CHECK_INTERVAL).await;
        }
    }

    /// Accepts callers and answers them until nothing more arrives and every caller's connection is closed,
    /// or the deadline has passed. Returns the tasks of the callers' connections.
    async fn answer_arrived(
        &mut self,
        listener: TcpListener,
        inbox: &mut mpsc::Receiver<DriverEvent>,
        deadline: Instant,
    ) -> Vec<AbortHandle> {
        let mut tasks = Vec::new();
        let mut listener = Some(listener);
        loop {
            close_after_answers(self.callers.values(), &mut tasks);
            let accepting = listener.as_ref().filter(|_| self.has_caller_capacity());
            let quiet = tokio::time::sleep(QUIET_PERIOD);
            tokio::select! {
                biased;
                Some(event) = inbox.recv() => {
                    self.handle_event(event);
                    self.limit_caller_output().await;
                }
                accepted = accept(accepting), if accepting.is_some() => match accepted {
                    Ok(stream) => self.open_caller(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
                },
                () = tokio::time::sleep_until(deadline) => return tasks,
                () = quiet => {
                    // No caller has connected, and no input has arrived.
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

/// Closes callers' connections after their answers, and collects the tasks of those that were still open.
fn close_after_answers<'a>(callers: impl Iterator<Item = &'a CallerHandle>, tasks: &mut Vec<AbortHandle>) {
    let connections = callers.map(|caller| &caller.connection);
    for connection in
        connections.filter(|connection| connection.outbox.close_mode() != Some(CloseMode::AfterAnswers))
    {
        connection.outbox.close(CloseMode::AfterAnswers);
        tasks.push(connection.task.clone());
    }
}
