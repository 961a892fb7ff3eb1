//! Reports upstream up to which command everybody below this process has acknowledged: whenever that has changed, and
//! with each renewal of the lease, since the process upstream may be another one by then.

use crate::clock::now;
use crate::lease_client::{lease_source, LeaseSource};
use crate::process::Process;
use lilacpitch_fleet::ack_aggregator::AggregatedAck;
use lilacpitch_fleet::message::{LogPosition, Request};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which the aggregate is taken again while leases have to run out, and the delay before a retry.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What was reported last.
struct LastReport {
    acknowledged: LogPosition,
    missing_count: u32,
    /// The value of `acks_changed` that the report was made for.
    round: u64,
}

impl LastReport {
    fn is_same(&self, ack: &AggregatedAck, round: u64) -> bool {
        self.acknowledged == ack.acknowledged
            && self.missing_count == ack.missing_count
            && self.round == round
    }
}

/// Reports as long as the process runs.
pub(crate) async fn run(process: Arc<Process>) {
    let mut changed = process.acks_changed.subscribe();
    let mut last: Option<LastReport> = None;
    loop {
        let round = *changed.borrow_and_update();
        let ack = process.ack_aggregator.lock().aggregate(now());
        let upstream = match lease_source(&process) {
            LeaseSource::Leader(upstream) | LeaseSource::Parent(upstream) => Some(upstream),
            LeaseSource::Origin | LeaseSource::Unknown => None,
        };
        let waits_for_leases = ack.missing_count > 0;
        let is_reported = last.as_ref().is_some_and(|last| last.is_same(&ack, round));
        if let Some(upstream) = upstream.filter(|_| !is_reported) {
            let AggregatedAck { acknowledged, missing, missing_count } = ack;
            let report = Request::ReportAcknowledged { acknowledged, missing, missing_count };
            match upstream.request(report, process.request_timeout()).await {
                Ok(_) => last = Some(LastReport { acknowledged, missing_count, round }),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        tokio::select! {
            changed = changed.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(POLL_INTERVAL), if waits_for_leases => {}
        }
    }
}
