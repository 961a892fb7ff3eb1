//! Publishes the edge's location records at its home site: each change is sent until it is acknowledged, and all
//! records again when the site has a new store.

use super::{Agent, Counters, FromAgent};
use crate::core::RecordEvent;
use lilacpitch_fleet::message::{RecordChange, RejectReason, Request, Response};
use lilacpitch_location::{Key, LocationRecord, Number, Owner};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Changes in one message.
const BATCH: usize = 512;
/// Changes that may wait; beyond, they are dropped and all records requested again.
const MAX_PENDING: usize = 65_536;
/// The delay between retries.
const RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Default)]
pub(super) struct PublishQueue {
    waiting: VecDeque<RecordChange>,
    /// Changes that no longer wait: those that do are numbered from here on.
    done: u64,
    store: Option<u64>,
}

impl PublishQueue {
    /// Removes acknowledged changes, but for those dropped meanwhile. `first`: the number of the first one.
    fn acknowledge(&mut self, first: u64, count: usize) {
        let done = (first + count as u64 - 1).saturating_sub(self.done) as usize;
        let done = done.min(self.waiting.len());
        self.waiting.drain(..done);
        self.done += done as u64;
    }

    /// Drops what waits; what was sent of it may arrive yet, so its numbers are not used again.
    fn drop_pending(&mut self) {
        self.done += self.waiting.len() as u64;
        self.waiting.clear();
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

impl Agent {
    /// Queues changes of the edge's records, in their order.
    pub(super) fn changed(&self, news: Vec<RecordEvent>) {
        let changes = news.into_iter().filter_map(|news| self.change(news));
        let mut queue = self.record_publisher.lock();
        queue.waiting.extend(changes);
        if queue.waiting.len() > MAX_PENDING {
            // The site has been unreachable for long: all records are published once it is reachable.
            queue.drop_pending();
            queue.store = None;
        }
        drop(queue);
        self.records_changed.send_modify(|count| *count += 1);
    }

    fn change(&self, news: RecordEvent) -> Option<RecordChange> {
        // The front checked it: what is not a number never was one of a call.
        let number = Number::new(&news.number).ok()?;
        let (front, life) = (self.me.name.clone(), self.me.incarnation);
        let holder = Owner { name: news.owner, front, incarnation: life, serial: news.serial };
        let key = Key { number, kind: news.kind, owner: holder };
        if !news.is_present {
            return Some(RecordChange::Withdraw(key));
        }
        let (class, trunk_group, since_ms) = (news.class, news.trunk_group, news.since_ms);
        Some(RecordChange::Upsert(LocationRecord { key, class, trunk_group, since_ms }))
    }

    /// Changes were lost on the way from the core: all records are requested again. What ended meanwhile stays at the
    /// site until it removes the records of this incarnation.
    pub(super) fn republish_records(&self) {
        self.record_publisher.lock().drop_pending();
        let _ = self.front.try_send(FromAgent::RecordsRequested);
    }

    /// Notes the home site's store, which it names with each lease.
    pub(super) fn note_store(&self, register: u64) {
        let mut queue = self.record_publisher.lock();
        if queue.store != Some(register) {
            let first = queue.store.is_none() && queue.waiting.len() < MAX_PENDING;
            queue.store = Some(register);
            drop(queue);
            if !first {
                tracing::info!("home site has a new store, all records published again");
            }
            let _ = self.front.try_send(FromAgent::RecordsRequested);
        }
    }
}

/// Publishes the changes that wait, in their order.
pub(super) async fn write(agent: Arc<Agent>) {
    let mut changed = agent.records_changed.subscribe();
    loop {
        changed.borrow_and_update();
        let (first, batch): (u64, Vec<RecordChange>) = {
            let queue = agent.record_publisher.lock();
            (queue.done + 1, queue.waiting.iter().take(BATCH).cloned().collect())
        };
        if batch.is_empty() {
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        }
        let count = batch.len();
        let write = Request::Write { first, changes: batch };
        match agent.home_dialer().request(write, agent.patience() * 2).await {
            Ok(Response::Written) => {
                Counters::one(&agent.counters.written);
                agent.record_publisher.lock().acknowledge(first, count);
            }
            Ok(Response::Rejected(RejectReason::Malformed(why))) => {
                // It would always be rejected: drop one at a time, so that only the malformed one is lost.
                tracing::error!(why, "location record rejected");
                agent.record_publisher.lock().acknowledge(first, 1);
            }
            Ok(other) => {
                tracing::debug!(?other, "records not published yet");
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                tracing::debug!(%error, "records not published yet");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
