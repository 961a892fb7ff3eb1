//! Removes the location records of fronts that no longer run. Records of former incarnations are removed at
//! once; those of a front that has stopped requesting leases are removed after the retention time in the
//! settings.

use crate::clock::now;
use crate::process::Process;
use lilacpitch_fleet::ack_aggregator::{ChildId, FrontContact};
use lilacpitch_fleet::message::{RejectReason, Request, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The number of sweeps during the length of a lease.
const SWEEPS_PER_LEASE: u64 = 5;
/// The minimum interval between sweeps, in nanoseconds.
const MIN_SWEEP_INTERVAL_NS: u64 = 10_000_000;

/// The removal of all records of a front's incarnations before `before`.
struct Removal {
    /// The incarnation that caused the removal. If the removal fails, its entries in [`RequestedRemovals`]
    /// are deleted.
    cause: ChildId,
    front: String,
    before: u64,
}

/// The removals that were requested already, so that no sweep requests them again.
#[derive(Default)]
struct RequestedRemovals {
    /// The latest known incarnation of each front; records of earlier ones are removed.
    latest: BTreeMap<String, u64>,
    /// Incarnations whose own records are removed, because they have not renewed for the retention time.
    expired: BTreeSet<ChildId>,
}

impl RequestedRemovals {
    /// The removals that are due and were not requested yet.
    fn due_removals(&mut self, contacts: Vec<FrontContact>, retention_ns: u64) -> Vec<Removal> {
        let mut due = Vec::new();
        for FrontContact { id, since_renewal_ns } in contacts {
            let latest = self.latest.get(&id.name);
            if latest.is_none_or(|incarnation| *incarnation < id.incarnation) {
                self.latest.insert(id.name.clone(), id.incarnation);
                due.push(Removal { cause: id.clone(), front: id.name.clone(), before: id.incarnation });
            }
            if since_renewal_ns < retention_ns {
                self.expired.remove(&id);
                continue;
            }
            let is_latest = self.latest.get(&id.name) == Some(&id.incarnation);
            if is_latest && self.expired.insert(id.clone()) {
                due.push(Removal { front: id.name.clone(), before: id.incarnation + 1, cause: id });
            }
        }
        due
    }

    /// Makes a failed removal due again in the next sweep.
    fn forget(&mut self, cause: &ChildId) {
        self.expired.remove(cause);
        self.latest.remove(&cause.name);
    }
}

/// Removes records at intervals while the process runs.
pub(crate) async fn run(process: Arc<Process>) {
    let terms = &process.settings.terms;
    let interval_ns = (terms.lease_ns / SWEEPS_PER_LEASE).max(MIN_SWEEP_INTERVAL_NS);
    let mut requested = RequestedRemovals::default();
    loop {
        tokio::time::sleep(Duration::from_nanos(interval_ns)).await;
        let now = now();
        let contacts = process.ack_aggregator.lock().front_contacts(now);
        for removal in requested.due_removals(contacts, terms.rows_kept_ns) {
            let response = remove(&process, removal.front, removal.before).await;
            if response != Response::Written {
                requested.forget(&removal.cause);
            }
        }
    }
}

/// Requests a removal from the site's leader.
async fn remove(process: &Process, front: String, before: u64) -> Response {
    match process.leader() {
        Some(index) if index == process.settings.place => {
            process.write_queue.remove_older_incarnations(front, before).await
        }
        Some(index) => {
            let request = Request::RemoveOlderIncarnations(front, before);
            process.forward_to_sibling(index, process.as_child(), request).await
        }
        None => Response::Rejected(RejectReason::NoLeader),
    }
}
