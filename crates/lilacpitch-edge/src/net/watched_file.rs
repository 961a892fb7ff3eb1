//! Files that are looked at every so often, and read when they have changed: the pool list, the keys of peers.

use super::driver_event::News;
use std::os::unix::fs::MetadataExt;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

/// What tells one state of a file from another: when, how long, and which file under the name.
pub(super) type Mark = (Option<SystemTime>, u64, u64);

/// Watches until nobody listens. `seen`: the state that was read at the start. `read` makes news of a file that
/// has changed, or says why it can't; `refused` makes news of that.
pub(super) async fn watch(
    path: String,
    every: Duration,
    mut seen: Mark,
    news: mpsc::Sender<News>,
    read: fn(&str) -> Result<News, String>,
    refused: fn(String) -> News,
) {
    let mut missing = false;
    loop {
        tokio::time::sleep(every).await;
        let now = match tokio::fs::metadata(&path).await {
            Ok(meta) => mark(&meta),
            // A file that is replaced by unlinking first may be away for a moment; told once.
            Err(e) => {
                if !std::mem::replace(&mut missing, true)
                    && news.send(refused(format!("{path}: {e}"))).await.is_err()
                {
                    return;
                }
                continue;
            }
        };
        missing = false;
        if now == seen {
            continue;
        }
        seen = now;
        if news.send(read(&path).unwrap_or_else(refused)).await.is_err() {
            return;
        }
    }
}

/// The state of the file now.
pub(super) fn state(path: &str) -> std::io::Result<Mark> {
    Ok(mark(&std::fs::metadata(path)?))
}

fn mark(meta: &std::fs::Metadata) -> Mark {
    (meta.modified().ok(), meta.len(), meta.ino())
}
