//! Runs at the leader of a site: creates the record store if there is none, and marks it as ready once every
//! front that may have had records in a former store has had the time to learn of the new one and to write
//! them again.

use super::RETRY_DELAY;
use crate::clock::wall_clock_ms;
use crate::log::Command;
use crate::process::Process;
use std::sync::Arc;
use std::time::Duration;

/// Creates the store and returns once it is ready.
pub(crate) async fn run(process: Arc<Process>) {
    let lease = Duration::from_nanos(process.settings.terms.lease_ns);
    loop {
        let (is_created, is_ready) =
            process.state.with_metadata(|metadata| (metadata.created_ms != 0, metadata.is_ready));
        if is_ready {
            return;
        }
        // Waits for the read barrier, since the log may contain entries that are not applied here yet.
        let is_leader = process.is_leader() && process.read_barrier.wait().await;
        let (Some(raft), true) = (process.raft(), is_leader) else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let command = if is_created { Command::MarkReady } else { Command::CreateStore(wall_clock_ms()) };
        if is_created {
            tokio::time::sleep(lease).await;
        }
        if let Err(error) = raft.client_write(command).await {
            tracing::debug!(%error, "creating the record store or marking it as ready failed");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
