//! Entries, votes and snapshots on disk.
// The log library's own error is large, and rare.
#![allow(clippy::result_large_err)]

use super::Types;
use lilacpitch_fleet::error::LogError;
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{Entry, LogId, LogState, OptionalSend, RaftLogReader, StorageError, StorageIOError, Vote};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::{Debug, Display};
use std::fs::File;
use std::io::Write;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const SNAPSHOT: &str = "snapshot";

/// The disk of one process.
#[derive(Clone)]
pub struct Store {
    log: Arc<Database>,
    folder: PathBuf,
}

/// An error of the disk, as the log library wants it: the process stops on it, and says why.
pub fn io(error: impl Display) -> StorageError<u64> {
    let error = std::io::Error::other(error.to_string());
    StorageError::IO { source: StorageIOError::write(&error) }
}

impl Store {
    /// Opens or makes a process's folder. One of another process or site is refused, and so is a damaged one.
    pub fn open(folder: &Path, owner: &str) -> Result<Self, LogError> {
        let disk = |e: std::io::Error| LogError::Disk(format!("{}: {e}", folder.display()));
        std::fs::create_dir_all(folder).map_err(disk)?;
        let path = folder.join("log.redb");
        let damaged = |what: String| LogError::Damaged { path: path.display().to_string(), what };
        let log = Database::create(&path).map_err(|e| damaged(e.to_string()))?;
        let store = Store { log: Arc::new(log), folder: folder.to_path_buf() };
        store.make().map_err(&damaged)?;
        match store.read::<String>("owner").map_err(&damaged)? {
            None => store.write("owner", &owner).map_err(|e| LogError::Disk(e.to_string()))?,
            Some(found) if found == owner => {}
            Some(found) => {
                let (path, ours) = (folder.display().to_string(), owner.to_string());
                return Err(LogError::Foreign { path, found, ours });
            }
        }
        Ok(store)
    }

    fn make(&self) -> Result<(), String> {
        let all = self.log.begin_write().map_err(|e| e.to_string())?;
        all.open_table(LOG).map_err(|e| e.to_string())?;
        all.open_table(META).map_err(|e| e.to_string())?;
        all.commit().map_err(|e| e.to_string())
    }

    fn read<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, String> {
        let at = self.log.begin_read().map_err(|e| e.to_string())?;
        let meta = at.open_table(META).map_err(|e| e.to_string())?;
        let found = meta.get(name).map_err(|e| e.to_string())?;
        found.map(|bytes| postcard::from_bytes(bytes.value()).map_err(|e| format!("{name}: {e}"))).transpose()
    }

    fn write<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StorageError<u64>> {
        let bytes = postcard::to_allocvec(value).map_err(io)?;
        tokio_block(|| {
            let all = self.log.begin_write().map_err(io)?;
            all.open_table(META).map_err(io)?.insert(name, &*bytes).map_err(io)?;
            all.commit().map_err(io)
        })
    }

    /// Whether this disk holds all that its process ever promised to the site.
    pub fn joined(&self) -> Result<bool, String> {
        Ok(self.read::<bool>("joined")?.unwrap_or(false))
    }

    /// It does from now on.
    pub fn keep_joined(&self) -> Result<(), StorageError<u64>> {
        self.write("joined", &true)
    }

    /// The life that begins now: later than all before it, also where the wall clock was set back meanwhile.
    pub fn begin_life(&self, wall_ns: u64) -> Result<u64, LogError> {
        let disk = |e: String| LogError::Disk(format!("{}: {e}", self.folder.display()));
        let before: u64 = self.read("life").map_err(disk)?.unwrap_or(0);
        let life = wall_ns.max(before + 1);
        self.write("life", &life).map_err(|e| disk(e.to_string()))?;
        Ok(life)
    }

    fn snapshot_path(&self) -> PathBuf {
        self.folder.join(SNAPSHOT)
    }

    /// The snapshot on disk; `None`: there is none. One that is torn or changed is an error.
    pub fn snapshot(&self) -> Result<Option<Vec<u8>>, String> {
        let path = self.snapshot_path();
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(format!("{}: {error}", path.display())),
        };
        match bytes.split_last_chunk::<8>() {
            Some((held, hash)) if xxh3_64(held).to_le_bytes() == *hash => Ok(Some(held.to_vec())),
            _ => Err(format!("{}: torn or changed: its hash is another", path.display())),
        }
    }

    /// Puts a snapshot in place of the one there is: whole and synced, or not at all.
    pub fn keep_snapshot(&self, bytes: &[u8]) -> Result<(), String> {
        let (path, new) = (self.snapshot_path(), self.folder.join("snapshot.new"));
        let write = || {
            let mut file = File::create(&new)?;
            file.write_all(bytes)?;
            file.write_all(&xxh3_64(bytes).to_le_bytes())?;
            file.sync_all()?;
            std::fs::rename(&new, &path)?;
            File::open(&self.folder)?.sync_all()
        };
        write().map_err(|e: std::io::Error| format!("{}: {e}", path.display()))
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        let at = self.log.begin_read().map_err(io)?;
        let log = at.open_table(LOG).map_err(io)?;
        let mut all = Vec::new();
        for entry in log.range(range).map_err(io)? {
            let (_, bytes) = entry.map_err(io)?;
            all.push(postcard::from_bytes(bytes.value()).map_err(io)?);
        }
        Ok(all)
    }

    /// Takes entries out of the log.
    fn drop_entries(&self, range: (Bound<u64>, Bound<u64>)) -> Result<(), StorageError<u64>> {
        tokio_block(|| {
            let all = self.log.begin_write().map_err(io)?;
            {
                let mut log = all.open_table(LOG).map_err(io)?;
                log.retain_in(range, |_, _| false).map_err(io)?;
            }
            all.commit().map_err(io)
        })
    }
}

/// Waits for the disk on this thread, once the runtime has put its other tasks elsewhere.
fn tokio_block<T>(write: impl FnOnce() -> T) -> T {
    match tokio::runtime::Handle::try_current() {
        Ok(handle) if handle.runtime_flavor() == tokio::runtime::RuntimeFlavor::MultiThread => {
            tokio::task::block_in_place(write)
        }
        _ => write(),
    }
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        self.entries(range)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<u64>> {
        let purged: Option<LogId<u64>> = self.read("purged").map_err(io)?;
        let at = self.log.begin_read().map_err(io)?;
        let log = at.open_table(LOG).map_err(io)?;
        let last = log.last().map_err(io)?;
        let last: Option<Entry<Types>> =
            last.map(|(_, bytes)| postcard::from_bytes(bytes.value()).map_err(io)).transpose()?;
        let last_log_id = last.map(|entry| entry.log_id).or(purged);
        Ok(LogState { last_purged_log_id: purged, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.write("vote", vote)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        self.read("vote").map_err(io)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let written = tokio_block(|| {
            let all = self.log.begin_write().map_err(io)?;
            {
                let mut log = all.open_table(LOG).map_err(io)?;
                for entry in entries {
                    let bytes = postcard::to_allocvec(&entry).map_err(io)?;
                    log.insert(entry.log_id.index, &*bytes).map_err(io)?;
                }
            }
            // Synced when this comes back.
            all.commit().map_err(io)
        });
        let told = written.as_ref().copied().map_err(|e| std::io::Error::other(e.to_string()));
        callback.log_io_completed(told);
        written
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.drop_entries((Bound::Included(from.index), Bound::Unbounded))
    }

    async fn purge(&mut self, upto: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.write("purged", &upto)?;
        self.drop_entries((Bound::Unbounded, Bound::Included(upto.index)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_life_is_later_than_the_one_before_whatever_the_clock_says() {
        let folder = tempfile::tempdir().unwrap();
        let lives = [1_000, 500, 2_000].map(|wall_ns| {
            // Each opens the folder anew, as a start does.
            Store::open(folder.path(), "root/0/root-0").unwrap().begin_life(wall_ns).unwrap()
        });
        assert_eq!(lives, [1_000, 1_001, 2_000]);
    }
}
