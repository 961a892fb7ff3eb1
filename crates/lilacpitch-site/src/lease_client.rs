//! Leases from above, orders downwards, sums upwards.

use crate::log::Command;
use crate::process::{now, wall_ms, Process};
use lilacpitch_fleet::ack_aggregator::{ChildId, MissingCommands};
use lilacpitch_fleet::lease_holder::LeaseUpdate;
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{FleetCommand, LogPosition, Request, Response};
use lilacpitch_rpc::{Dialer, RpcConnection};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// How long a process of the root waits for its log to bring an order that it was told of.
const LOG_PATIENCE: Duration = Duration::from_millis(500);
/// The gap between looks at sums that wait for leases to run out, and between tries to say them.
const LOOK: Duration = Duration::from_millis(20);

/// Who is above.
enum Above {
    /// Nobody: this process leads the root.
    Origin,
    /// The root's leader.
    Leader(Arc<Dialer>),
    /// A process of the site above.
    Parent(Arc<Dialer>),
    /// Nobody knows yet.
    Unknown,
}

fn above(process: &Process) -> Above {
    if !process.is_root() {
        return Above::Parent(process.parent());
    }
    match process.leader() {
        Some(place) if place == process.settings.place => Above::Origin,
        Some(place) => process.siblings.get(place).cloned().map_or(Above::Unknown, Above::Leader),
        None => Above::Unknown,
    }
}

/// Keeps this process's own lease, or its leadership, in force.
pub(crate) async fn follow(process: Arc<Process>) {
    loop {
        let (asked_ns, position) = (now(), process.relay.lock().position());
        let again = match above(&process) {
            Above::Origin => confirm(&process, asked_ns).await,
            Above::Leader(leader) => {
                let said = leader.request(Request::RenewLease(Some(position)), process.patience()).await;
                if let Ok(Response::LeaseGranted { for_ns, position, .. }) = said {
                    process.relay.lock().allow_grants_until(asked_ns + for_ns, position);
                }
                false
            }
            Above::Parent(parent) => {
                let applied = process.holder.lock().position();
                match parent.request(Request::RenewLease(applied), process.patience()).await {
                    Ok(Response::Rejected(why)) => {
                        process.above.lock().record_failure();
                        tracing::debug!(%why, to = %parent.address, "no lease from above");
                        false
                    }
                    Ok(response) => {
                        process.above.lock().record_success();
                        renewed(&process, asked_ns, response)
                    }
                    Err(error) => {
                        process.above.lock().record_failure();
                        tracing::debug!(%error, to = %parent.address, "no lease from above");
                        false
                    }
                }
            }
            Above::Unknown => false,
        };
        if !again {
            process.acked.send_modify(|count| *count += 1);
            let gap_ns = process.above.lock().next_renewal_delay_ns(&process.terms);
            tokio::time::sleep(Duration::from_nanos(gap_ns)).await;
        }
    }
}

/// This process leads the root: as long as most of it confirm that, it may grant.
async fn confirm(process: &Process, asked_ns: u64) -> bool {
    let Some(raft) = process.raft() else { return false };
    let term = raft.metrics().borrow().current_term;
    if raft.ensure_linearizable().await.is_err() {
        return false;
    }
    if process.origin_term.load(Relaxed) != term {
        process.relay.lock().become_origin(now());
        process.origin_term.store(term, Relaxed);
        tracing::info!(term, "leads the root");
    }
    // What the log has, and not what the relay has taken from it so far: a former leader may have reported all of that
    // complete, so that nobody may be granted a lease from before it.
    let position = process.state.beside(|beside| beside.window.position());
    if position.log == 0 {
        if let Err(error) = raft.client_write(Command::NewLog(wall_ms())).await {
            tracing::warn!(%error, "no log of orders begun");
        }
        return false;
    }
    let lease_ns = process.settings.terms.lease_ns;
    process.relay.lock().allow_grants_until(asked_ns + lease_ns, position);
    false
}

/// What the process above answered; whether to ask again at once.
fn renewed(process: &Process, asked_ns: u64, response: Response) -> bool {
    let granted = match &response {
        Response::LeaseGranted { for_ns, position, .. } => Some((asked_ns + for_ns, *position)),
        _ => None,
    };
    let taken = process.holder.lock().handle_response(asked_ns, response);
    match taken {
        LeaseUpdate::Commands(orders) => apply(process, orders),
        LeaseUpdate::Reset => {
            let (position, withdrawn) = {
                let holder = process.holder.lock();
                (holder.position().unwrap_or_default(), holder.withdrawn().clone())
            };
            tracing::info!(%position, "a fresh start from above");
            process.relay.lock().reset(LogTail::starting_at(position, withdrawn));
            process.ordered.send_modify(|count| *count += 1);
            return true;
        }
        LeaseUpdate::Unchanged => {}
    }
    let Some((until_ns, needs)) = granted else { return false };
    let mut relay = process.relay.lock();
    relay.allow_grants_until(until_ns, needs);
    !relay.position().includes(needs)
}

/// Applies orders that are next: what this process holds itself is nothing but its place in them.
fn apply(process: &Process, orders: Vec<FleetCommand>) {
    if orders.is_empty() {
        return;
    }
    let now = now();
    for order in orders {
        process.holder.lock().record_applied(&order);
        process.relay.lock().append_command(now, order.action);
    }
    process.ordered.send_modify(|count| *count += 1);
    process.acked.send_modify(|count| *count += 1);
}

impl Process {
    /// Whether this process was confirmed to lead the root in the term that it is in: what it says of all then counts
    /// those whom a former leader may have granted leases.
    pub(crate) fn is_origin(&self) -> bool {
        let term = self.raft().map_or(0, |raft| raft.metrics().borrow().current_term);
        self.leads() && term > 0 && self.origin_term.load(Relaxed) == term
    }

    /// Whether the log has orders that this process of the root has not taken from it yet.
    pub(crate) fn lacks_orders(&self) -> bool {
        let there = self.state.beside(|beside| beside.window.position());
        !self.relay.lock().position().includes(there)
    }

    /// Orders from above.
    pub(crate) async fn take_orders(&self, log: u64, orders: Vec<FleetCommand>) -> Response {
        if self.is_root() {
            // They come by the log: it is waited for, and the position told.
            let last = orders.last().map_or(0, |order| order.number);
            let mut ordered = self.ordered.subscribe();
            let there = ordered.wait_for(|_| self.relay.lock().position().index >= last);
            let _ = tokio::time::timeout(LOG_PATIENCE, there).await;
            return Response::Applied(self.relay.lock().position());
        }
        let next = self.holder.lock().select_next_commands(log, orders);
        match next {
            Ok(next) => apply(self, next),
            Err(error) => tracing::debug!(%error, "orders not taken"),
        }
        Response::Applied(self.holder.lock().position().unwrap_or_default())
    }

    /// A child has a lease: orders go to it over this link from now on.
    pub(crate) fn child_is_here(self: &Arc<Self>, who: ChildId, link: &Arc<RpcConnection>) {
        let mut children = self.children.lock();
        if children.get(&who).is_some_and(|known| Arc::ptr_eq(known, link)) {
            return;
        }
        children.retain(|_, link| !link.is_closed());
        children.insert(who.clone(), link.clone());
        drop(children);
        tracing::info!(child = who.name, life = who.incarnation, "child is here");
        tokio::spawn(pump(self.clone(), who, link.clone()));
    }
}

/// Sends a child what it lacks, as it comes.
async fn pump(process: Arc<Process>, who: ChildId, link: Arc<RpcConnection>) {
    let mut ordered = process.ordered.subscribe();
    loop {
        ordered.borrow_and_update();
        let lacks = {
            let relay = process.relay.lock();
            relay.missing_commands(&who).map(|missing| (relay.position().log, missing))
        };
        let Some((log, MissingCommands { applied, commands: orders })) = lacks else { return };
        if orders.is_empty() {
            tokio::select! {
                changed = ordered.changed() => if changed.is_err() { return },
                () = link.ended() => return,
            }
            continue;
        }
        match link.request(Request::Commands { log, commands: orders }, process.patience()).await {
            Ok(Response::Applied(upto)) => {
                process.relay.lock().record_applied(&who, upto);
                process.acked.send_modify(|count| *count += 1);
                if upto == applied {
                    // It takes nothing: it asks for its lease again, and what it lacks comes with that.
                    tokio::time::sleep(LOOK).await;
                }
            }
            Ok(_) => tokio::time::sleep(LOOK).await,
            Err(error) => {
                tracing::debug!(child = who.name, %error, "orders not sent");
                link.close();
                return;
            }
        }
    }
}

/// At the root: takes orders from the log as they are applied.
pub(crate) async fn take_orders_from_log(process: Arc<Process>) {
    if !process.is_root() {
        return;
    }
    let mut applied = process.applied.clone();
    loop {
        applied.borrow_and_update();
        let here = process.relay.lock().position();
        let (there, orders) = process.state.beside(|beside| {
            (beside.window.position(), beside.window.commands_after(here.index, usize::MAX))
        });
        if there != here {
            let now = now();
            match orders.filter(|_| there.log == here.log) {
                Some(orders) => {
                    let mut relay = process.relay.lock();
                    for order in orders {
                        relay.append_command(now, order.action);
                    }
                }
                None => {
                    let window = process.state.beside(|beside| beside.window.clone());
                    process.relay.lock().reset(window);
                }
            }
            process.ordered.send_modify(|count| *count += 1);
            process.acked.send_modify(|count| *count += 1);
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Says upwards how far all below are, whenever that has changed and with each lease.
pub(crate) async fn say_sums(process: Arc<Process>) {
    let mut acked = process.acked.subscribe();
    let mut said: Option<(LogPosition, u32, u64)> = None;
    loop {
        let round = *acked.borrow_and_update();
        let sum = process.relay.lock().aggregate(now());
        let to = match above(&process) {
            Above::Leader(way) | Above::Parent(way) => Some(way),
            Above::Origin | Above::Unknown => None,
        };
        let waits = sum.missing_count > 0;
        // Each renewal counts as news: the process above may be another one by now.
        let news =
            said.is_none_or(|(upto, missing, _)| (upto, missing) != (sum.acknowledged, sum.missing_count));
        if let Some(way) = to.filter(|_| news || said.is_none_or(|(.., at)| at != round)) {
            let (upto, missing_count) = (sum.acknowledged, sum.missing_count);
            let say = Request::ReportAcknowledged { acknowledged: upto, missing: sum.missing, missing_count };
            match way.request(say, process.patience()).await {
                Ok(_) => said = Some((upto, missing_count, round)),
                Err(_) => tokio::time::sleep(LOOK).await,
            }
        }
        tokio::select! {
            changed = acked.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(LOOK), if waits => {}
        }
    }
}

/// A holder knows later orders of this log than the root: the root has lost some. A new log begins, and everybody
/// starts afresh.
pub(crate) async fn begin_log_anew(process: Arc<Process>, ahead: Option<LogPosition>) {
    let Some(index) = process.read_index().await else { return };
    if !process.wait_applied(index, LOG_PATIENCE).await {
        return;
    }
    let here = process.state.beside(|beside| beside.window.position());
    let Some(ahead) = ahead.filter(|ahead| ahead.log == here.log && ahead.index > here.index) else { return };
    tracing::error!(%ahead, %here, "orders are lost at the root: a new log begins");
    if let Some(raft) = process.raft() {
        if let Err(error) = raft.client_write(Command::NewLog(wall_ms().max(here.log + 1))).await {
            tracing::warn!(%error, "no new log of orders begun");
        }
    }
}
