//! Publishes the edge's location records at its home site. Each change is sent until it is acknowledged, and
//! all records are sent again when the site has a new store.

use super::{Agent, Counters, FromAgent};
use crate::core::RecordEvent;
use lilacpitch_fleet::message::{RecordChange, RejectReason, Request, Response};
use lilacpitch_location::{Key, LocationRecord, Number, Owner};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of changes in one message.
const MAX_BATCH: usize = 512;
/// Maximum number of pending changes. Beyond it they are dropped, and all records are requested again.
const MAX_PENDING: usize = 65_536;
/// Delay before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Changes of records that the home site has not acknowledged. Changes are numbered from 1 in their order.
#[derive(Default)]
pub(super) struct PublishQueue {
    pending: VecDeque<RecordChange>,
    /// Number of changes that were acknowledged or dropped: the first pending change has the next number.
    completed: u64,
    /// The id of the home site's store that has the acknowledged changes.
    store_id: Option<u64>,
}

impl PublishQueue {
    /// Removes acknowledged changes that were not dropped meanwhile. `first`: the number of the first of
    /// them.
    fn acknowledge(&mut self, first: u64, count: usize) {
        let acknowledged = (first + count as u64 - 1).saturating_sub(self.completed) as usize;
        let acknowledged = acknowledged.min(self.pending.len());
        self.pending.drain(..acknowledged);
        self.completed += acknowledged as u64;
    }

    /// Drops all pending changes. Their numbers are not reused, as changes that were already sent may still
    /// arrive.
    fn drop_pending(&mut self) {
        self.completed += self.pending.len() as u64;
        self.pending.clear();
    }

    /// The number of pending changes.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

impl Agent {
    /// Queues changes of the edge's records, in their order.
    pub(super) fn queue_changes(&self, events: Vec<RecordEvent>) {
        let changes = events.into_iter().filter_map(|event| self.change_for(event));
        let mut queue = self.publish_queue.lock();
        queue.pending.extend(changes);
        if queue.pending.len() > MAX_PENDING {
            // The site has been unreachable for long: all records are published once it is reachable.
            queue.drop_pending();
            queue.store_id = None;
        }
        drop(queue);
        self.records_changed.send_modify(|count| *count += 1);
    }

    fn change_for(&self, event: RecordEvent) -> Option<RecordChange> {
        // Numbers of calls and callers are validated when they are received.
        let number = Number::new(&event.number).ok()?;
        let (front, incarnation) = (self.identity.name.clone(), self.identity.incarnation);
        let owner = Owner { name: event.owner, front, incarnation, serial: event.serial };
        let key = Key { number, kind: event.kind, owner };
        if !event.is_present {
            return Some(RecordChange::Withdraw(key));
        }
        let (class, trunk_group, since_ms) = (event.class, event.trunk_group, event.since_ms);
        Some(RecordChange::Upsert(LocationRecord { key, class, trunk_group, since_ms }))
    }

    /// Requests all records again, after changes from the driver were lost. A record whose removal was lost
    /// stays at the site until the site removes the records of this incarnation.
    pub(super) fn republish_records(&self) {
        self.publish_queue.lock().drop_pending();
        let _ = self.to_driver.try_send(FromAgent::RecordsRequested);
    }

    /// Handles the id of the home site's store, which each granted lease contains: requests all records for a
    /// new store.
    pub(super) fn handle_store_id(&self, store_id: u64) {
        let mut queue = self.publish_queue.lock();
        if queue.store_id != Some(store_id) {
            let is_first = queue.store_id.is_none() && queue.pending.len() < MAX_PENDING;
            queue.store_id = Some(store_id);
            drop(queue);
            if !is_first {
                tracing::info!("home site has a new store, all records published again");
            }
            let _ = self.to_driver.try_send(FromAgent::RecordsRequested);
        }
    }
}

/// Publishes pending changes in their order, for as long as the agent runs.
pub(super) async fn publish(agent: Arc<Agent>) {
    let mut changed = agent.records_changed.subscribe();
    loop {
        changed.borrow_and_update();
        let (first, batch): (u64, Vec<RecordChange>) = {
            let queue = agent.publish_queue.lock();
            (queue.completed + 1, queue.pending.iter().take(MAX_BATCH).cloned().collect())
        };
        if batch.is_empty() {
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        }
        let count = batch.len();
        let write = Request::Write { first, changes: batch };
        match agent.home_dialer().request(write, agent.request_timeout() * 2).await {
            Ok(Response::Written) => {
                Counters::increment(&agent.counters.acknowledged_writes);
                agent.publish_queue.lock().acknowledge(first, count);
            }
            Ok(Response::Rejected(RejectReason::Malformed(reason))) => {
                // A malformed change would be rejected each time. Drop one change at a time, so that only the
                // malformed one is lost.
                tracing::error!(why = reason, "location record rejected");
                agent.publish_queue.lock().acknowledge(first, 1);
            }
            Ok(response) => {
                tracing::debug!(other = ?response, "records not published yet");
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                tracing::debug!(%error, "records not published yet");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
