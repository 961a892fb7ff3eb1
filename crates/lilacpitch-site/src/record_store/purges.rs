//! Runs at the leader of a site: submits purges of the numbers that have changed to the root. Each change is
//! purged at least once, since it stays pending until the position of its purge is in the site's log.

use super::RETRY_DELAY;
use crate::log::Command;
use crate::process::Process;
use lilacpitch_fleet::message::{CommandAction, PurgeScope, Request, Response};
use std::sync::Arc;

/// Most changes that one purge covers.
const MAX_PURGE_CHANGES: usize = 512;

/// Submits purges while the process runs.
pub(crate) async fn run(process: Arc<Process>) {
    let mut applied = process.applied.clone();
    loop {
        applied.borrow_and_update();
        let unpurged =
            if process.is_leader() { process.state.unpurged_changes(MAX_PURGE_CHANGES) } else { None };
        let Some(unpurged) = unpurged else {
            // The timeout covers a change of leadership without a new entry.
            let _ = tokio::time::timeout(RETRY_DELAY * 4, applied.changed()).await;
            continue;
        };
        let scopes = unpurged.numbers.into_iter().map(PurgeScope::Number).collect();
        match process.submit_to_root(Request::Submit(CommandAction::Purge(scopes))).await {
            Response::Committed(position) => {
                let Some(raft) = process.raft() else { continue };
                let mark = Command::MarkPurged(unpurged.last_change, position);
                if let Err(error) = raft.client_write(mark).await {
                    // The leader submits the purge again.
                    tracing::debug!(%error, "recording the purge position failed");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            response => {
                tracing::debug!(?response, "purge not committed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
