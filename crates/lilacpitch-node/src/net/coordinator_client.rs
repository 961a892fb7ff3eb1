//! The coordinator's client: polls the coordinator continuously, and sends new events to the driver.
//!
//! Each poll ends in bounded time. After a failure, or an immediate response without new events, the client
//! backs off. If a response is late, the coordinator is polled again at once, since the connection may be lost;
//! the late response is still awaited for a while, since the coordinator may be slow.

use super::coordinator_poll::{poll, PollError, Polled, LATE_AFTER};
use super::driver_event::{DriverEvent, MalformedMessage};
use crate::coordinator::{Endpoints, EventFollower, PollResponse};
use crate::core::Input;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
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

/// Most polls whose responses are late and still awaited.
const MAX_LATE_POLLS: usize = 4;

/// A poll in progress.
type PendingPoll = Pin<Box<dyn Future<Output = Result<Polled, PollError>>>>;

/// What happened while a poll was in progress.
enum Progress {
    /// It has ended.
    Ended(Result<Polled, PollError>),
    /// An earlier one has ended, whose response was late.
    LateEnded(Result<Polled, PollError>),
    /// Its response is late.
    Late,
    /// The coordinator's address has changed, or its sender is gone.
    AddressChanged(bool),
}

/// Polls the coordinator until the driver accepts no more events. `known` holds the events that are known
/// from the start; `address` is the coordinator's address, which may change.
pub(super) async fn poll_continuously(
    known: PollResponse,
    address: watch::Receiver<SocketAddr>,
    events: mpsc::Sender<DriverEvent>,
) {
    let polled_address = *address.borrow();
    let mut client = CoordinatorClient {
        follower: EventFollower::default(),
        polled_address,
        address,
        events,
        connection: None,
        late_polls: FuturesUnordered::new(),
        unreachable_backoff: Backoff::new(UNREACHABLE_BACKOFF, MAX_UNREACHABLE_BACKOFF),
        empty_backoff: Backoff::new(EMPTY_BACKOFF, MAX_EMPTY_BACKOFF),
    };
    let known_events = client.follower.accept(known);
    let mut result = client.forward(known_events).await.map(|_| ());
    while result.is_ok() {
        result = client.poll_once().await;
    }
}

/// The driver accepts no more events.
struct DriverStopped;

/// The state of the client between polls.
struct CoordinatorClient {
    follower: EventFollower,
    address: watch::Receiver<SocketAddr>,
    /// The address of the last poll.
    polled_address: SocketAddr,
    events: mpsc::Sender<DriverEvent>,
    /// The connection of the last poll, if it can be reused.
    connection: Option<TcpStream>,
    /// Polls whose responses are late. A coordinator that is slow in all its responses is heard through them.
    late_polls: FuturesUnordered<PendingPoll>,
    unreachable_backoff: Backoff,
    empty_backoff: Backoff,
}

impl CoordinatorClient {
    /// Polls the coordinator once. Ends when the response has arrived or is late, or the poll has failed.
    async fn poll_once(&mut self) -> Result<(), DriverStopped> {
        let address = *self.address.borrow_and_update();
        if self.polled_address != address {
            tracing::info!(%address, "coordinator address changed");
            self.polled_address = address;
            self.connection = None;
            self.late_polls.clear();
        }
        let started_at = Instant::now();
        let mut current: PendingPoll = Box::pin(poll(self.connection.take(), address, self.follower.index()));
        loop {
            match self.next_progress(&mut current, started_at).await {
                Progress::LateEnded(polled) => self.handle_late(polled).await?,
                Progress::Ended(Ok(polled)) => return self.handle_polled(polled, started_at).await,
                Progress::Ended(Err(error)) => {
                    self.handle_failed(error, address).await;
                    return Ok(());
                }
                Progress::Late => {
                    if self.late_polls.len() < MAX_LATE_POLLS {
                        self.late_polls.push(current);
                    }
                    self.handle_failed(PollError::ResponseTimeout, address).await;
                    return Ok(());
                }
                Progress::AddressChanged(has_sender) => {
                    return if has_sender { Ok(()) } else { Err(DriverStopped) };
                }
            }
        }
    }

    /// Waits until something happens while a poll is in progress.
    async fn next_progress(&mut self, current: &mut PendingPoll, started_at: Instant) -> Progress {
        tokio::select! {
            polled = current => Progress::Ended(polled),
            Some(polled) = self.late_polls.next() => Progress::LateEnded(polled),
            changed = self.address.changed() => Progress::AddressChanged(changed.is_ok()),
            () = tokio::time::sleep_until(started_at + LATE_AFTER) => Progress::Late,
        }
    }

    async fn handle_polled(&mut self, polled: Polled, started_at: Instant) -> Result<(), DriverStopped> {
        self.connection = polled.connection;
        self.unreachable_backoff.reset();
        let events = self.follower.accept(polled.response);
        let count = self.forward(events).await?;
        if count > 0 || started_at.elapsed() > MAX_EMPTY_BACKOFF {
            self.empty_backoff.reset();
        } else {
            // The coordinator responded at once, without new events.
            self.empty_backoff.wait(&mut self.address).await;
        }
        Ok(())
    }

    /// Handles the end of a poll beside which others have been sent. A failure needs no action.
    async fn handle_late(&mut self, polled: Result<Polled, PollError>) -> Result<(), DriverStopped> {
        let Ok(polled) = polled else { return Ok(()) };
        let events = self.follower.accept_late(polled.after_index, polled.response);
        self.forward(events).await.map(|_| ())
    }

    /// Handles a failed poll, and backs off.
    async fn handle_failed(&mut self, error: PollError, address: SocketAddr) {
        tracing::debug!(%address, %error, "coordinator poll failed");
        if error.is_connected() {
            self.report_malformed(error).await;
            self.unreachable_backoff.reset();
            self.empty_backoff.wait(&mut self.address).await;
        } else {
            tracing::warn!(%address, %error, "coordinator unreachable");
            self.unreachable_backoff.wait(&mut self.address).await;
        }
    }

    /// Sends new events to the driver. Returns their count.
    async fn forward(&self, updates: Vec<Endpoints>) -> Result<usize, DriverStopped> {
        let count = updates.len();
        for endpoints in updates {
            let event = DriverEvent::Input(Input::EndpointsUpdated(endpoints));
            self.events.send(event).await.map_err(|_| DriverStopped)?;
        }
        Ok(count)
    }

    /// Reports a failed exchange with the coordinator to the driver.
    async fn report_malformed(&self, error: PollError) {
        let _ = self.events.send(DriverEvent::Malformed(MalformedMessage::Coordinator(error))).await;
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
