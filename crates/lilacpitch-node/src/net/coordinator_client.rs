//! Follows the coordinator: polls it, one request after the other, and feeds new events to the driver.
//!
//! Each poll ends in bounded time. After a failure, or a response at once without news, the next poll backs off.

use super::coordinator_poll::{poll, PollError};
use super::driver_event::{DriverEvent, MalformedMessage};
use crate::coordinator::{EventFollower, PollResponse};
use crate::core::Input;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// First pause while no connection can be made.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause while no connection can be made.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);
/// First pause while connections are made and bring nothing. Short: events count as told 2 s after a poll that broke
/// off, by the platform's page on bad peers.
const EMPTY_BACKOFF: Duration = Duration::from_millis(10);
/// Longest pause while connections are made and bring nothing. A response that took longer was held back.
const MAX_EMPTY_BACKOFF: Duration = Duration::from_millis(200);

/// Follows the coordinator until the driver takes no more events. `address` is where it is, which may change.
pub(super) async fn follow(
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
                    // It responds at once, without news.
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

/// A pause that doubles each time, up to a limit.
struct Backoff {
    next: Duration,
    first: Duration,
    max: Duration,
}

impl Backoff {
    fn new(first: Duration, max: Duration) -> Backoff {
        Backoff { next: first, first, max }
    }

    fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits, or until the coordinator's address has changed.
    async fn wait(&mut self, address: &mut watch::Receiver<SocketAddr>) {
        tokio::select! {
            () = tokio::time::sleep(self.next) => self.next = (self.next * 2).min(self.max),
            // The next poll looks the address up again.
            () = address_changed(address) => address.mark_changed(),
        }
    }
}

/// Waits until the address has changed; forever where its sender is gone, which the next poll notices.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    match address.has_changed() {
        Ok(_) => drop(address.changed().await),
        Err(_) => std::future::pending().await,
    }
}

/// Forwards the new events of a response; their count, or `None` once the driver takes no more.
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

async fn report_malformed(error: PollError, events: &mpsc::Sender<DriverEvent>) {
    let _ = events.send(DriverEvent::Malformed(MalformedMessage::Coordinator(error))).await;
}
