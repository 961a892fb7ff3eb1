//! Files that are polled, and read again when they have changed: the endpoint list, and the key file of peers.

use super::driver_event::DriverEvent;
use lilacpitch_config::ConfigError;
use std::os::unix::fs::MetadataExt;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::sync::mpsc;

/// Why a file cannot be read. The text names the file.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The file is missing, or may not be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// A key file's text is wrong.
    #[error("{0}: {1}")]
    Keys(String, lilacpitch_gossip::KeyError),
    /// A configuration's text is wrong.
    #[error("{0}")]
    Config(#[from] ConfigError),
}

/// What tells one version of a file from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FileVersion {
    modified: Option<SystemTime>,
    length: u64,
    inode: u64,
}

impl FileVersion {
    /// The version of the file now.
    pub(super) fn read(path: &str) -> std::io::Result<Self> {
        Ok(Self::of(&std::fs::metadata(path)?))
    }

    fn of(metadata: &std::fs::Metadata) -> Self {
        FileVersion { modified: metadata.modified().ok(), length: metadata.len(), inode: metadata.ino() }
    }
}

/// Polls a file until the driver has ended. `current`: the version that was read at the start. `read` gives the event
/// of a file that has changed; `rejected` that of one that cannot be read.
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
            Ok(metadata) => FileVersion::of(&metadata),
            // A file that is replaced by unlinking it first may be missing for a moment; reported once.
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
