//! While this process leads its site: creates the record store where there is none, and marks it ready once every
//! front that may have had records in a former one has surely learned of it, and has written them again.

use super::RETRY_DELAY;
use crate::clock::wall_clock_ms;
use crate::log::Command;
use crate::process::Process;
use std::sync::Arc;
use std::time::Duration;

/// Runs until the store is ready.
pub(crate) async fn run(process: Arc<Process>) {
    let lease = Duration::from_nanos(process.settings.terms.lease_ns);
    loop {
        let (is_created, is_ready) =
            process.state.with_metadata(|metadata| (metadata.created_ms != 0, metadata.is_ready));
        if is_ready {
            return;
        }
        // Behind a barrier: what is on the disks may not be applied here yet.
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
            tracing::debug!(%error, "creating the location store failed");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
