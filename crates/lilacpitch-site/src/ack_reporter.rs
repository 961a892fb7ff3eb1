//! Reports the aggregated acknowledgement of the lease holders below this process to the process above. It is
//! reported whenever it has changed, and after each renewal of the lease, since another process may be
//! upstream by then.

use crate::clock::now;
use crate::lease_client::{lease_source, LeaseSource};
use crate::process::Process;
use lilacpitch_fleet::ack_aggregator::AggregatedAck;
use lilacpitch_fleet::message::{LogPosition, Request};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which the acknowledgements are aggregated while some are missing, since leases may expire,
/// and the delay before a retry.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The last report.
struct LastReport {
    acknowledged: LogPosition,
    missing_count: u32,
    /// The value of `acks_changed` at the time of the report.
    acks_version: u64,
}

impl LastReport {
    fn is_current(&self, ack: &AggregatedAck, acks_version: u64) -> bool {
        self.acknowledged == ack.acknowledged
            && self.missing_count == ack.missing_count
            && self.acks_version == acks_version
    }
}

/// Reports acknowledgements while the process runs.
pub(crate) async fn run(process: Arc<Process>) {
    let mut changed = process.acks_changed.subscribe();
    let mut last: Option<LastReport> = None;
    loop {
        let acks_version = *changed.borrow_and_update();
        let ack = process.ack_aggregator.lock().aggregate(now());
        let upstream = match lease_source(&process) {
            LeaseSource::Leader(upstream) | LeaseSource::Parent(upstream) => Some(upstream),
            LeaseSource::Origin | LeaseSource::Unknown => None,
        };
        let has_missing = ack.missing_count > 0;
        let is_reported = last.as_ref().is_some_and(|last| last.is_current(&ack, acks_version));
        if let Some(upstream) = upstream.filter(|_| !is_reported) {
            let AggregatedAck { acknowledged, missing, missing_count } = ack;
            let report = Request::ReportAcknowledged { acknowledged, missing, missing_count };
            match upstream.request(report, process.request_timeout()).await {
                Ok(_) => last = Some(LastReport { acknowledged, missing_count, acks_version }),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        tokio::select! {
            changed = changed.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(POLL_INTERVAL), if has_missing => {}
        }
    }
}
