//! Rumors: observations of servers in the last seconds, passed on from front to front.
//!
//! Requests for reports serve a front that has just started. Fronts with few calls each also need the
//! observations of all others while they are fresh. So each front sends rumors to a few random others several
//! times a second and passes on those it has received: an epidemic protocol (Demers et al., "Epidemic
//! algorithms for replicated database maintenance", PODC 1987). A rumor keeps its origin, and its age grows
//! on its path. The newest rumor of an origin replaces the one before. Only the newest few rumors about a
//! server are retained and passed on, so that datagrams do not grow with the number of fronts.

use crate::sealed_datagram::DatagramError;
use crate::server_report::ServerReport;
use lilacpitch::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// Most rumors about one server that are retained and passed on. The oldest are dropped.
pub const MAX_RUMORS_PER_SERVER: usize = 24;
/// Most servers about which rumors are retained.
pub const MAX_SERVERS: usize = 256;
/// Age at which a rumor is dropped, in nanoseconds.
pub const RUMOR_LIFETIME_NS: Nanos = 3_000 * MS;
/// A rumor replaces one of the same origin only if it is newer by more than this. It is longer than the time
/// a rumor takes through the installation, which is not part of its age.
const MIN_NEWER_NS: Nanos = 20 * MS;
/// Number of batches in which a front passes on a rumor. Each batch goes to a few other fronts, which is
/// enough for the rumor to reach nearly all.
pub const MAX_ROUNDS: u8 = 2;
/// Most bytes that the number of servers takes in an encoded batch.
const COUNT_BYTES: usize = 2;

/// One front's observation of a server. The order of the fields determines the encoding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The front that made the observation: [`crate::MemberId::origin`].
    pub origin: u64,
    /// Age of the observation, in milliseconds.
    pub age_ms: u32,
    /// Wait that the front expects at the server, in milliseconds.
    pub wait_ms: u32,
    /// The front's set-ups in flight at the server.
    pub in_flight: u32,
    /// The front's set-ups that succeeded at the server within the window.
    pub succeeded: u32,
    /// Whether the front considers the server unresponsive.
    pub is_unresponsive: bool,
    /// How long the server has been warming up, in milliseconds, if it is.
    pub warming_up_for_ms: Option<u32>,
}

/// Rumors in the form in which they are sent: grouped by server name.
pub type RumorBatch = Vec<(String, Vec<Rumor>)>;

/// A rumor that a front retains.
#[derive(Debug)]
struct StoredRumor {
    /// Time of the observation.
    as_of: Nanos,
    rumor: Rumor,
    /// Number of batches in which it was passed on.
    rounds: u8,
}

/// The rumors that one front retains.
#[derive(Debug, Default)]
pub struct RumorBoard {
    /// By server name and origin.
    rumors: BTreeMap<String, BTreeMap<u64, StoredRumor>>,
    /// Name of the server at which the next batch begins; all servers take turns.
    next_server: String,
}

impl RumorBoard {
    /// Records a batch from another front. Returns the reports that were new, each with its origin. Rumors
    /// whose origin is `own_origin`, that of this front, are ignored.
    ///
    /// # Errors
    /// [`DatagramError::Malformed`] if the batch is too large or contains an invalid report; nothing is
    /// recorded then.
    pub fn receive(
        &mut self,
        now: Nanos,
        own_origin: u64,
        batch: RumorBatch,
    ) -> Result<Vec<(u64, ServerReport)>, DatagramError> {
        if batch.len() > MAX_SERVERS || batch.iter().any(|(_, rumors)| rumors.len() > MAX_RUMORS_PER_SERVER) {
            return Err(DatagramError::Malformed("too many rumors"));
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

    /// Records a report of a front. Returns whether it was new.
    pub fn record_report(&mut self, now: Nanos, origin: u64, report: &ServerReport) -> bool {
        let as_of = now.saturating_sub(Nanos::from(report.age_ms) * MS);
        if now - as_of > RUMOR_LIFETIME_NS {
            return false;
        }
        if !self.rumors.contains_key(&report.server) && self.rumors.len() >= MAX_SERVERS {
            return false;
        }
        let server_rumors = self.rumors.entry(report.server.clone()).or_default();
        // The age of a rumor excludes the time in transit, so a rumor received again seems a little newer.
        // The margin keeps it from replacing itself.
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

    /// The next batch to send, of at most `capacity_bytes`, beginning with the server whose turn it is.
    pub fn next_batch(&mut self, now: Nanos, capacity_bytes: usize) -> RumorBatch {
        self.rumors.retain(|_, rumors| {
            rumors.retain(|_, stored| now.saturating_sub(stored.as_of) <= RUMOR_LIFETIME_NS);
            !rumors.is_empty()
        });
        let names: Vec<String> = self.rumors.keys().cloned().collect();
        let first = names.iter().position(|name| *name >= self.next_server).unwrap_or(0);
        let (mut batch, mut remaining_bytes) =
            (RumorBatch::new(), capacity_bytes.saturating_sub(COUNT_BYTES));
        for name in names.iter().cycle().skip(first).take(names.len()) {
            let server_rumors = self.rumors.get_mut(name).into_iter().flat_map(BTreeMap::values_mut);
            let rumors: Vec<&mut StoredRumor> =
                server_rumors.filter(|stored| stored.rounds < MAX_ROUNDS).collect();
            if rumors.is_empty() {
                continue;
            }
            let entry = (name.clone(), rumors.iter().map(|stored| stored.aged(now)).collect());
            // The actual size, not an upper bound, which would leave datagrams half empty while rumors about
            // some ten servers wait for the next batch.
            let size = postcard::experimental::serialized_size(&entry).ok();
            let Some(bytes_left) = size.and_then(|size| remaining_bytes.checked_sub(size)) else {
                self.next_server.clone_from(name);
                return batch;
            };
            remaining_bytes = bytes_left;
            rumors.into_iter().for_each(|stored| stored.rounds += 1);
            batch.push(entry);
        }
        batch
    }
}

impl StoredRumor {
    /// The rumor with its age as of `now`.
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
