//! Polls files and reads them again when they have changed: the endpoint list, and the key file of peers.

use super::driver_event::DriverEvent;
use lilacpitch_config::ConfigError;
use std::os::unix::fs::MetadataExt;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::sync::mpsc;

/// Why a file cannot be read. The error text names the file.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The file is missing or not readable.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// The content of a key file is invalid.
    #[error("{0}: {1}")]
    Keys(String, lilacpitch_gossip::KeyError),
    /// The content of a configuration file is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
}

/// The properties that identify a version of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FileVersion {
    modified: Option<SystemTime>,
    length: u64,
    inode: u64,
}

impl FileVersion {
    /// Determines the current version of a file.
    pub(super) fn read(path: &str) -> std::io::Result<Self> {
        Ok(Self::from_metadata(&std::fs::metadata(path)?))
    }

    fn from_metadata(metadata: &std::fs::Metadata) -> Self {
        FileVersion { modified: metadata.modified().ok(), length: metadata.len(), inode: metadata.ino() }
    }
}

/// Polls a file until the driver has ended. `current` is the version that was read at the start. `read`
/// returns the event for a file that has changed, `rejected` the event for a file that cannot be read.
pub(super) async fn watch(
    path: String,
    poll_interval: Duration,
    mut current: FileVersion,
    events: mpsc::Sender<DriverEvent>,
    read: fn(&str) -> Result<DriverEvent, ReadError>,
    rejected: fn(ReadError) -> DriverEvent,
) {
    let mut is_missing = false;
    loop {
        tokio::time::sleep(poll_interval).await;
        let version = match tokio::fs::metadata(&path).await {
            Ok(metadata) => FileVersion::from_metadata(&metadata),
            // A file that is unlinked before it is replaced may be missing for a moment. Reported once.
            Err(error) => {
                let was_missing = std::mem::replace(&mut is_missing, true);
                if !was_missing && events.send(rejected(ReadError::File(path.clone(), error))).await.is_err()
                {
                    return;
                }
                continue;
            }
        };
        is_missing = false;
        if version == current {
            continue;
        }
        current = version;
        if events.send(read(&path).unwrap_or_else(rejected)).await.is_err() {
            return;
        }
    }
}
