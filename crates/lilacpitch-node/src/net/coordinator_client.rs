//! The coordinator's client: polls the coordinator continuously, and sends new events to the driver.
//!
//! Each poll ends in bounded time. After a failure, or an immediate response without new events, the client
//! backs off.

use super::coordinator_poll::{poll, PollError};
use super::driver_event::{DriverEvent, MalformedMessage};
use crate::coordinator::{EventFollower, PollResponse};
use crate::core::Input;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// First backoff while no connection can be established.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff while no connection can be established.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);
/// First backoff while connections are established, but polls fail or return no events. It is short because,
/// by the platform's page on bad peers, events count as delivered 2 s after a poll whose connection was lost.
const EMPTY_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff while connections are established, but polls fail or return no events. A response that
/// took longer than this was held back by the coordinator, so that no backoff is needed.
const MAX_EMPTY_BACKOFF: Duration = Duration::from_millis(200);

/// Polls the coordinator until the driver accepts no more events. `known` holds the events that are known
/// from the start; `address` is the coordinator's address, which may change.
pub(super) async fn poll_continuously(
    known: PollResponse,
    mut address: watch::Receiver<SocketAddr>,
    events: mpsc::Sender<DriverEvent>,
) {
    let mut follower = EventFollower::default();
    let mut unreachable_backoff = Backoff::new(UNREACHABLE_BACKOFF, MAX_UNREACHABLE_BACKOFF);
    let mut empty_backoff = Backoff::new(EMPTY_BACKOFF, MAX_EMPTY_BACKOFF);
    if forward_events(&mut follower, known, &events).await.is_none() {
        return;
    }
    let mut connection = None;
    loop {
        let current = *address.borrow_and_update();
        let started_at = Instant::now();
        let polled = tokio::select! {
            polled = poll(&mut connection, current, follower.index()) => polled,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("coordinator address changed");
                connection = None;
                continue;
            }
        };
        match polled {
            Ok(response) => {
                unreachable_backoff.reset();
                let Some(count) = forward_events(&mut follower, response, &events).await else { return };
                if count > 0 || started_at.elapsed() > MAX_EMPTY_BACKOFF {
                    empty_backoff.reset();
                } else {
                    // The coordinator responded at once, without new events.
                    empty_backoff.wait(&mut address).await;
                }
            }
            Err(error) => {
                connection = None;
                tracing::debug!(address = %current, %error, "coordinator poll failed");
                if error.is_connected() {
                    report_malformed(error, &events).await;
                    unreachable_backoff.reset();
                    empty_backoff.wait(&mut address).await;
                } else {
                    tracing::warn!(address = %current, %error, "coordinator unreachable");
                    unreachable_backoff.wait(&mut address).await;
                }
            }
        }
    }
}

/// An exponential backoff with a limit.
struct Backoff {
    next: Duration,
    first: Duration,
    max: Duration,
}

impl Backoff {
    fn new(first: Duration, max: Duration) -> Backoff {
        Backoff { next: first, first, max }
    }

    /// Starts again from the first pause.
    fn reset(&mut self) {
        self.next = self.first;
    }

    /// Pauses, or until the coordinator's address has changed.
    async fn wait(&mut self, address: &mut watch::Receiver<SocketAddr>) {
        tokio::select! {
            () = tokio::time::sleep(self.next) => self.next = (self.next * 2).min(self.max),
            // Marked as unseen, so that the next poll notices the change.
            () = address_changed(address) => address.mark_changed(),
        }
    }
}

/// Waits until the address has changed; forever if its sender is gone, which the next poll notices.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    match address.has_changed() {
        Ok(_) => drop(address.changed().await),
        Err(_) => std::future::pending().await,
    }
}

/// Sends the new events of a response to the driver. Returns their count, or `None` once the driver accepts
/// no more.
async fn forward_events(
    follower: &mut EventFollower,
    response: PollResponse,
    events: &mpsc::Sender<DriverEvent>,
) -> Option<usize> {
    let updates = follower.accept(response);
    let count = updates.len();
    for endpoints in updates {
        events.send(DriverEvent::Input(Input::EndpointsUpdated(endpoints))).await.ok()?;
    }
    Some(count)
}

/// Reports a failed exchange with the coordinator to the driver.
async fn report_malformed(error: PollError, events: &mpsc::Sender<DriverEvent>) {
    let _ = events.send(DriverEvent::Malformed(MalformedMessage::Coordinator(error))).await;
}
