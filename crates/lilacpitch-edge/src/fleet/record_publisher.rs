//! The front's rows on their way to its home site: written until they are acknowledged, and all again when the site's
//! register is another one.

use super::{Agent, Counters, FromAgent};
use crate::core::RecordEvent;
use lilacpitch_fleet::message::{RecordChange, RejectReason, Request, Response};
use lilacpitch_location::{Key, LocationRecord, Number, Owner};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Row changes in one message.
const BATCH: usize = 512;
/// Changes that wait; past them all rows are asked for anew.
const MOST: usize = 65_536;
/// The gap between tries.
const AGAIN: Duration = Duration::from_millis(50);

#[derive(Default)]
pub(super) struct Rows {
    waiting: VecDeque<RecordChange>,
    /// Changes that no longer wait: those that do are numbered from here on.
    done: u64,
    register: Option<u64>,
}

impl Rows {
    /// So many from a number on no longer wait, but for those forgotten meanwhile.
    fn written(&mut self, first: u64, count: usize) {
        let done = (first + count as u64 - 1).saturating_sub(self.done) as usize;
        let done = done.min(self.waiting.len());
        self.waiting.drain(..done);
        self.done += done as u64;
    }

    /// What waits is not written; what was sent of it may arrive yet, and its numbers are not given again.
    fn forget(&mut self) {
        self.done += self.waiting.len() as u64;
        self.waiting.clear();
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

impl Agent {
    /// What came and went at the front, to be written in that order.
    pub(super) fn changed(&self, news: Vec<RecordEvent>) {
        let changes = news.into_iter().filter_map(|news| self.change(news));
        let mut rows = self.record_publisher.lock();
        rows.waiting.extend(changes);
        if rows.waiting.len() > MOST {
            // The site can't be reached for long: what there is then is said once it can.
            rows.forget();
            rows.register = None;
        }
        drop(rows);
        self.rows_changed.send_modify(|count| *count += 1);
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

    /// Rows were lost on the way from the front: all that it has follow, and what went meanwhile the site sweeps out
    /// with the rest of this life's at its end.
    pub(super) fn rows_anew(&self) {
        self.record_publisher.lock().forget();
        let _ = self.say.try_send(FromAgent::RowsWanted);
    }

    /// The home site's register, as it says with each lease.
    pub(super) fn register_is(&self, register: u64) {
        let mut rows = self.record_publisher.lock();
        if rows.register != Some(register) {
            let first = rows.register.is_none() && rows.waiting.len() < MOST;
            rows.register = Some(register);
            drop(rows);
            if !first {
                tracing::info!("the home site's register is another one: all rows are written again");
            }
            let _ = self.say.try_send(FromAgent::RowsWanted);
        }
    }
}

/// Writes what waits, in its order.
pub(super) async fn write(agent: Arc<Agent>) {
    let mut changed = agent.rows_changed.subscribe();
    loop {
        changed.borrow_and_update();
        let (first, batch): (u64, Vec<RecordChange>) = {
            let rows = agent.record_publisher.lock();
            (rows.done + 1, rows.waiting.iter().take(BATCH).cloned().collect())
        };
        if batch.is_empty() {
            if changed.changed().await.is_err() {
                return;
            }
            continue;
        }
        let count = batch.len();
        let write = Request::Write { first, changes: batch };
        match agent.above().request(write, agent.patience() * 2).await {
            Ok(Response::Written) => {
                Counters::one(&agent.counters.written);
                agent.record_publisher.lock().written(first, count);
            }
            Ok(Response::Rejected(RejectReason::Malformed(why))) => {
                // It would be refused for ever: one by one, so that only what is wrong is lost.
                tracing::error!(why, "location record rejected");
                agent.record_publisher.lock().written(first, 1);
            }
            Ok(other) => {
                tracing::debug!(?other, "rows not written yet");
                tokio::time::sleep(AGAIN).await;
            }
            Err(error) => {
                tracing::debug!(%error, "rows not written yet");
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}
