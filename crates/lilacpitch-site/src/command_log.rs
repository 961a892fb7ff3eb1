//! Forwards commands (purges, withdrawals of settings) to the children. Commands arrive from the site's log
//! at the root, and from the parent elsewhere. They are appended to the aggregator's log tail, and pushed to
//! each child from there.

use crate::clock::{now, wall_clock_ms};
use crate::log::Command;
use crate::process::Process;
use lilacpitch_fleet::ack_aggregator::{ChildId, MissingCommands};
use lilacpitch_fleet::lease_holder::LeaseHolder;
use lilacpitch_fleet::message::{FleetCommand, LogPosition, Request, Response};
use lilacpitch_rpc::RpcConnection;
use std::sync::Arc;
use std::time::Duration;

/// How long a process of the root waits until its log contains a command that the leader has sent, or until
/// it has applied an entry that is committed already.
const LOG_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before commands are sent again to a child that has applied none of them.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// At the root: takes commands from the site's log as entries are applied.
pub(crate) async fn apply_from_log(process: Arc<Process>) {
    if !process.is_root() {
        return;
    }
    let mut applied = process.applied.clone();
    loop {
        applied.borrow_and_update();
        append_new_commands(&process);
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Appends the commands of the site's log that are not in the aggregator's log tail yet.
fn append_new_commands(process: &Process) {
    let known = process.ack_aggregator.lock().position();
    let (position, commands) = process.state.with_metadata(|metadata| {
        let log = &metadata.command_log;
        (log.position(), log.commands_after(known.index, usize::MAX))
    });
    if position == known {
        return;
    }
    let now = now();
    match commands.filter(|_| position.log == known.log) {
        Some(commands) => {
            let mut ack_aggregator = process.ack_aggregator.lock();
            for command in commands {
                ack_aggregator.append_command(now, command.action);
            }
        }
        None => {
            let log_tail = process.state.with_metadata(|metadata| metadata.command_log.clone());
            process.ack_aggregator.lock().reset(log_tail);
        }
    }
    process.announce_commands();
}

/// Begins a new command log if the root has lost commands, which shows when a child has applied commands that
/// the log does not contain. All holders are then reset to the position of the new log. Called at the root's
/// leader; does nothing if the log contains the commands by now.
pub(crate) async fn replace_lost_log(process: Arc<Process>, child_position: Option<LogPosition>) {
    let Some(index) = process.read_index().await else { return };
    if !process.wait_applied(index, LOG_TIMEOUT).await {
        return;
    }
    let position = process.state.with_metadata(|metadata| metadata.command_log.position());
    let is_ahead = |child: &LogPosition| child.log == position.log && child.index > position.index;
    let Some(child_position) = child_position.filter(is_ahead) else { return };
    tracing::error!(%child_position, %position, "commands lost at the root, creating a new command log");
    if let Some(raft) = process.raft() {
        let new_log = wall_clock_ms().max(position.log + 1);
        if let Err(error) = raft.client_write(Command::BeginLog(new_log)).await {
            tracing::warn!(%error, "creating the command log failed");
        }
    }
}

impl Process {
    /// At the root: whether the site's log contains commands that are not in the aggregator's log tail yet.
    pub(crate) fn lags_command_log(&self) -> bool {
        let position = self.state.with_metadata(|metadata| metadata.command_log.position());
        !self.ack_aggregator.lock().position().includes(position)
    }

    /// Handles commands that the parent, or the root's leader, has sent.
    pub(crate) async fn receive_commands(&self, log: u64, commands: Vec<FleetCommand>) -> Response {
        if self.is_root() {
            // The site's log brings the commands: wait for them and report the position.
            let last_number = commands.last().map_or(0, |command| command.number);
            let mut changed = self.commands_changed.subscribe();
            let has_arrived = |_: &u64| self.ack_aggregator.lock().position().index >= last_number;
            let _ = tokio::time::timeout(LOG_TIMEOUT, changed.wait_for(has_arrived)).await;
            return Response::Applied(self.ack_aggregator.lock().position());
        }
        let mut lease_holder = self.lease_holder.lock();
        match lease_holder.select_next_commands(log, commands) {
            Ok(next) => self.apply_commands(&mut lease_holder, next),
            Err(error) => tracing::debug!(%error, "commands rejected"),
        }
        Response::Applied(lease_holder.position().unwrap_or_default())
    }

    /// Applies the next commands. A process of a site caches no answers, so it only advances its position and
    /// retains the commands for its children.
    ///
    /// The caller has locked the lease holder since these commands were selected: two messages that bring the
    /// same commands must not apply them twice.
    pub(crate) fn apply_commands(&self, lease_holder: &mut LeaseHolder, commands: Vec<FleetCommand>) {
        if commands.is_empty() {
            return;
        }
        let now = now();
        let mut ack_aggregator = self.ack_aggregator.lock();
        for command in commands {
            lease_holder.record_applied(&command);
            ack_aggregator.append_command(now, command.action);
        }
        drop(ack_aggregator);
        self.announce_commands();
    }

    fn announce_commands(&self) {
        self.commands_changed.send_modify(|count| *count += 1);
        self.acks_changed.send_modify(|count| *count += 1);
    }

    /// Begins to push commands to a child on this connection. Called when the child was granted a lease.
    pub(crate) fn register_child(self: &Arc<Self>, child: ChildId, connection: &Arc<RpcConnection>) {
        let mut children = self.children.lock();
        if children.get(&child).is_some_and(|known| Arc::ptr_eq(known, connection)) {
            return;
        }
        children.retain(|_, connection| !connection.is_closed());
        children.insert(child.clone(), connection.clone());
        drop(children);
        tracing::info!(child = child.name, incarnation = child.incarnation, "child connected");
        tokio::spawn(push_commands(self.clone(), child, connection.clone()));
    }
}

/// Pushes commands to a child as they arrive, until its connection ends.
async fn push_commands(process: Arc<Process>, child: ChildId, connection: Arc<RpcConnection>) {
    let mut changed = process.commands_changed.subscribe();
    loop {
        changed.borrow_and_update();
        let missing = {
            let ack_aggregator = process.ack_aggregator.lock();
            ack_aggregator.missing_commands(&child).map(|missing| (ack_aggregator.position().log, missing))
        };
        let Some((log, MissingCommands { applied, commands })) = missing else { return };
        if commands.is_empty() {
            tokio::select! {
                changed = changed.changed() => if changed.is_err() { return },
                () = connection.ended() => return,
            }
            continue;
        }
        match connection.request(Request::Commands { log, commands }, process.request_timeout()).await {
            Ok(Response::Applied(position)) => {
                process.ack_aggregator.lock().record_applied(&child, position);
                process.acks_changed.send_modify(|count| *count += 1);
                if position == applied {
                    // The child applied none of them. It gets those that it lacks with its next lease.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Ok(_) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                tracing::debug!(child = child.name, %error, "sending commands failed");
                connection.close();
                return;
            }
        }
    }
}
