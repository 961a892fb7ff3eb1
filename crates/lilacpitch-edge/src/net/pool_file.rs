//! The pool list as a file: looked at every so often, read when it has changed.

use super::driver::News;
use lilacpitch_config::Pools;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;

/// What tells one state of the file from another: when, how long, and which file under the name.
type Mark = (Option<SystemTime>, u64, u64);

/// Watches until nobody listens. `seen`: the state that was read at the start.
pub(super) async fn watch(path: String, every: Duration, mut seen: Mark, news: mpsc::Sender<News>) {
    let mut missing = false;
    loop {
        tokio::time::sleep(every).await;
        let now = match tokio::fs::metadata(&path).await {
            Ok(meta) => mark(&meta),
            // A file that is replaced by unlinking first may be away for a moment; told once.
            Err(e) => {
                if !std::mem::replace(&mut missing, true)
                    && news.send(News::PoolListRefused(format!("{path}: {e}"))).await.is_err()
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
        let read = match Pools::load(Path::new(&path)) {
            Ok(pools) => News::PoolList(pools.value),
            Err(error) => News::PoolListRefused(error.to_string()),
        };
        if news.send(read).await.is_err() {
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
