//! Rumors: what fronts met at servers in the last seconds, passed on from front to front.
//!
//! Requests for reports suit a front that starts. Fronts with few calls each need what all of them see while it is fresh,
//! so each sends rumors to a few others, drawn at random, several times a second, and passes on what it received: an
//! epidemic protocol (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987). A rumor keeps
//! its origin and ages on its path; the newest of an origin replaces the one before, and no more than the newest few
//! rumors about a server are retained or passed on: a datagram does not grow with the number of fronts.

use crate::sealed_datagram::DatagramError;
use crate::server_report::ServerReport;
use lilacpitch::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// Most rumors about one server that are retained and passed on: the newest.
pub const MAX_RUMORS_PER_SERVER: usize = 24;
/// Most servers about which rumors are retained.
pub const MAX_SERVERS: usize = 256;
/// A rumor older than this is dropped, in nanoseconds.
pub const RUMOR_LIFETIME_NS: Nanos = 3_000 * MS;
/// A rumor replaces one of its origin that is older by more than this: longer than a path through the installation.
const MIN_NEWER_NS: Nanos = 20 * MS;
/// Batches in which a front passes a rumor on, each to a few others: it reaches nearly all of them.
pub const MAX_ROUNDS: u8 = 2;
/// What the number of servers in a batch takes at most, in bytes.
const COUNT_BYTES: usize = 2;

/// What one front knows of a server. The order of fields is that on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The front it comes from: [`crate::MemberId::origin`].
    pub origin: u64,
    /// How old its evidence is, in milliseconds.
    pub age_ms: u32,
    /// The wait that the front expects there, in milliseconds.
    pub wait_ms: u32,
    /// The front's set-ups in flight there.
    pub in_flight: u32,
    /// The front's set-ups that succeeded there within the window.
    pub succeeded: u32,
    /// The front takes the server to be unresponsive.
    pub is_unresponsive: bool,
    /// For how long the server has been warming up, in milliseconds.
    pub warming_up_for_ms: Option<u32>,
}

/// Rumors as they cross the wire: by server.
pub type RumorBatch = Vec<(String, Vec<Rumor>)>;

/// A rumor on the board.
#[derive(Debug)]
struct StoredRumor {
    as_of: Nanos,
    rumor: Rumor,
    /// In how many batches it was passed on.
    rounds: u8,
}

/// The rumors that one front has.
#[derive(Debug, Default)]
pub struct RumorBoard {
    /// By server and origin.
    rumors: BTreeMap<String, BTreeMap<u64, StoredRumor>>,
    /// The server at which the next batch begins, so that all get their turn.
    next_server: String,
}

impl RumorBoard {
    /// Records a batch that another front sent; returns what is new in it, by origin. `own_origin`: this front's origin,
    /// whose rumors it does not accept from others.
    ///
    /// # Errors
    /// [`DatagramError::Malformed`], where the batch is too large or a report is impossible; nothing is recorded then.
    pub fn receive(
        &mut self,
        now: Nanos,
        own_origin: u64,
        batch: RumorBatch,
    ) -> Result<Vec<(u64, ServerReport)>, DatagramError> {
        if batch.len() > MAX_SERVERS || batch.iter().any(|(_, rumors)| rumors.len() > MAX_RUMORS_PER_SERVER) {
            return Err(DatagramError::Malformed("too much news"));
        }
        let reports: Vec<(u64, ServerReport)> = batch
            .into_iter()
            .flat_map(|(server, rumors)| {
                rumors.into_iter().map(move |rumor| (rumor.origin, rumor.to_report(&server)))
            })
            .collect();
        reports.iter().try_for_each(|(_, report)| report.check())?;
        let is_new = |(origin, report): &(u64, ServerReport)| {
            *origin != own_origin && self.record_report(now, *origin, report)
        };
        Ok(reports.into_iter().filter(is_new).collect())
    }

    /// Records what a front knows; whether it was new.
    pub fn record_report(&mut self, now: Nanos, origin: u64, report: &ServerReport) -> bool {
        let as_of = now.saturating_sub(Nanos::from(report.age_ms) * MS);
        if now - as_of > RUMOR_LIFETIME_NS {
            return false;
        }
        if !self.rumors.contains_key(&report.server) && self.rumors.len() >= MAX_SERVERS {
            return false;
        }
        let server_rumors = self.rumors.entry(report.server.clone()).or_default();
        // The time on its path is not part of its age: a rumor must not seem newer each time it comes round.
        if server_rumors.get(&origin).is_some_and(|known| as_of <= known.as_of + MIN_NEWER_NS) {
            return false;
        }
        let ServerReport {
            age_ms, wait_ms, in_flight, succeeded, is_unresponsive, warming_up_for_ms, ..
        } = *report;
        let rumor =
            Rumor { origin, age_ms, wait_ms, in_flight, succeeded, is_unresponsive, warming_up_for_ms };
        server_rumors.insert(origin, StoredRumor { as_of, rumor, rounds: 0 });
        if server_rumors.len() > MAX_RUMORS_PER_SERVER {
            let oldest =
                server_rumors.iter().min_by_key(|(_, stored)| stored.as_of).map(|(origin, _)| *origin);
            oldest.map(|oldest| server_rumors.remove(&oldest));
            return oldest != Some(origin);
        }
        true
    }

    /// The next batch to send, of at most so many bytes, beginning with the server whose turn it is.
    pub fn next_batch(&mut self, now: Nanos, capacity_bytes: usize) -> RumorBatch {
        self.rumors.retain(|_, rumors| {
            rumors.retain(|_, stored| now.saturating_sub(stored.as_of) <= RUMOR_LIFETIME_NS);
            !rumors.is_empty()
        });
        let names: Vec<String> = self.rumors.keys().cloned().collect();
        let from = names.iter().position(|name| *name >= self.next_server).unwrap_or(0);
        let (mut batch, mut remaining_bytes) =
            (RumorBatch::new(), capacity_bytes.saturating_sub(COUNT_BYTES));
        for name in names.iter().cycle().skip(from).take(names.len()) {
            let server_rumors = self.rumors.get_mut(name).into_iter().flat_map(BTreeMap::values_mut);
            let rumors: Vec<&mut StoredRumor> =
                server_rumors.filter(|stored| stored.rounds < MAX_ROUNDS).collect();
            if rumors.is_empty() {
                continue;
            }
            let entry = (name.clone(), rumors.iter().map(|stored| stored.aged(now)).collect());
            // By its actual size, not by its longest form: rumors about ten servers waited for datagrams half empty.
            let size = postcard::experimental::serialized_size(&entry).ok();
            let Some(rest_bytes) = size.and_then(|size| remaining_bytes.checked_sub(size)) else {
                self.next_server.clone_from(name);
                return batch;
            };
            remaining_bytes = rest_bytes;
            rumors.into_iter().for_each(|stored| stored.rounds += 1);
            batch.push(entry);
        }
        batch
    }
}

impl StoredRumor {
    fn aged(&self, now: Nanos) -> Rumor {
        let age = now.saturating_sub(self.as_of).div_ceil(MS);
        Rumor { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..self.rumor }
    }
}

impl Rumor {
    fn to_report(self, server: &str) -> ServerReport {
        let Rumor { age_ms, wait_ms, in_flight, succeeded, is_unresponsive, warming_up_for_ms, .. } = self;
        let server = server.to_string();
        ServerReport {
            server,
            age_ms,
            wait_ms,
            in_flight,
            succeeded,
            is_unresponsive,
            warming_up_for_ms,
            is_draining: false,
        }
    }
}
