//! Renews this process's own lease, which limits the leases that it grants to its children. The lease comes
//! from the parent site or, at the root, from the leader. The leader of the root confirms its leadership
//! instead.

use crate::clock::{now, wall_clock_ms};
use crate::log::Command;
use crate::process::Process;
use lilacpitch_fleet::lease_holder::{LeaseHolder, LeaseUpdate};
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{Request, Response};
use lilacpitch_rpc::Dialer;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// Where this process gets its lease.
pub(crate) enum LeaseSource {
    /// This process leads the root and needs no lease.
    Origin,
    /// From the root's leader.
    Leader(Arc<Dialer>),
    /// From a process of the parent site.
    Parent(Arc<Dialer>),
    /// At the root: the leader is unknown.
    Unknown,
}

/// Where this process gets its lease at present.
pub(crate) fn lease_source(process: &Process) -> LeaseSource {
    if !process.is_root() {
        return LeaseSource::Parent(process.parent());
    }
    match process.leader() {
        Some(index) if index == process.settings.place => LeaseSource::Origin,
        Some(index) => process.siblings.get(index).cloned().map_or(LeaseSource::Unknown, LeaseSource::Leader),
        None => LeaseSource::Unknown,
    }
}

/// Renews the lease while the process runs.
pub(crate) async fn run(process: Arc<Process>) {
    loop {
        let requested_ns = now();
        let renew_at_once = match lease_source(&process) {
            LeaseSource::Origin => {
                confirm_leadership(&process, requested_ns).await;
                false
            }
            LeaseSource::Leader(leader) => {
                renew_from_leader(&process, &leader, requested_ns).await;
                false
            }
            LeaseSource::Parent(parent) => renew_from_parent(&process, &parent, requested_ns).await,
            LeaseSource::Unknown => false,
        };
        if !renew_at_once {
            process.acks_changed.send_modify(|count| *count += 1);
            let delay_ns = process.upstream.lock().next_renewal_delay_ns(&process.terms);
            tokio::time::sleep(Duration::from_nanos(delay_ns)).await;
        }
    }
}

/// Confirms with a quorum of the root that this process leads it, which allows it to grant leases for the
/// length of one lease.
async fn confirm_leadership(process: &Process, requested_ns: u64) {
    let Some(raft) = process.raft() else { return };
    let term = raft.metrics().borrow().current_term;
    if raft.ensure_linearizable().await.is_err() {
        return;
    }
    if process.origin_term.load(Relaxed) != term {
        process.ack_aggregator.lock().become_origin(now());
        process.origin_term.store(term, Relaxed);
        tracing::info!(term, "became leader of the root");
    }
    // The position of the log, not that of the commands taken from it so far: a former leader may have
    // reported all commands of the log as complete, so that no lease may be granted before this process has
    // all of them.
    let position = process.state.with_metadata(|metadata| metadata.command_log.position());
    if position.log == 0 {
        if let Err(error) = raft.client_write(Command::BeginLog(wall_clock_ms())).await {
            tracing::warn!(%error, "creating the command log failed");
        }
        return;
    }
    let lease_ns = process.settings.terms.lease_ns;
    process.ack_aggregator.lock().allow_grants_until(requested_ns + lease_ns, position);
}

/// Renews the lease from the root's leader. Commands arrive in the site's log, so those in the response are
/// ignored.
async fn renew_from_leader(process: &Process, leader: &Dialer, requested_ns: u64) {
    let applied = process.ack_aggregator.lock().position();
    let response = leader.request(Request::RenewLease(Some(applied)), process.request_timeout()).await;
    if let Ok(Response::LeaseGranted { for_ns, position, .. }) = response {
        process.ack_aggregator.lock().allow_grants_until(requested_ns + for_ns, position);
    }
}

/// Renews the lease from the parent. Returns whether to renew again at once.
async fn renew_from_parent(process: &Process, parent: &Dialer, requested_ns: u64) -> bool {
    let applied = process.lease_holder.lock().position();
    match parent.request(Request::RenewLease(applied), process.request_timeout()).await {
        Ok(Response::Rejected(reason)) => {
            process.upstream.lock().record_failure();
            tracing::debug!(%reason, parent = %parent.address, "lease not renewed");
            false
        }
        Ok(response) => {
            process.upstream.lock().record_success();
            handle_renewal(process, requested_ns, response)
        }
        Err(error) => {
            process.upstream.lock().record_failure();
            tracing::debug!(%error, parent = %parent.address, "lease not renewed");
            false
        }
    }
}

/// Handles the parent's response. Returns whether to renew again at once.
fn handle_renewal(process: &Process, requested_ns: u64, response: Response) -> bool {
    let grant = match &response {
        Response::LeaseGranted { for_ns, position, .. } => Some((requested_ns + for_ns, *position)),
        _ => None,
    };
    {
        // Locked until the commands are applied, since the parent may send the same ones in a request of its
        // own at the same time.
        let mut lease_holder = process.lease_holder.lock();
        match lease_holder.handle_response(requested_ns, response) {
            LeaseUpdate::Commands(commands) => process.apply_commands(&mut lease_holder, commands),
            LeaseUpdate::Reset => {
                reset_command_log(process, &lease_holder);
                return true;
            }
            LeaseUpdate::Unchanged => {}
        }
    }
    let Some((until_ns, required)) = grant else { return false };
    let mut ack_aggregator = process.ack_aggregator.lock();
    ack_aggregator.allow_grants_until(until_ns, required);
    !ack_aggregator.position().includes(required)
}

/// Continues from the parent's position. The commands before it are no longer available.
fn reset_command_log(process: &Process, lease_holder: &LeaseHolder) {
    let position = lease_holder.position().unwrap_or_default();
    let withdrawn = lease_holder.withdrawn().clone();
    tracing::info!(%position, "command log reset by parent");
    process.ack_aggregator.lock().reset(LogTail::starting_at(position, withdrawn));
    process.commands_changed.send_modify(|count| *count += 1);
}

impl Process {
    /// Whether this process is confirmed as the root's leader in the current term. Its aggregated
    /// acknowledgement then takes into account the leases that a former leader may have granted.
    pub(crate) fn is_origin(&self) -> bool {
        let term = self.raft().map_or(0, |raft| raft.metrics().borrow().current_term);
        self.is_leader() && term > 0 && self.origin_term.load(Relaxed) == term
    }
}
