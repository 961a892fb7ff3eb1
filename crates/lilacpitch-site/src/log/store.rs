//! The disk of a process: log entries, the vote and other small values in a `redb` database, and the snapshot
//! in a file. Table names, keys and file names must not change, since they are those of existing data
//! folders.
// The error type of the Raft library is large, but errors are rare.
#![allow(clippy::result_large_err)]

use super::Types;
use lilacpitch_fleet::error::LogError;
use lilacpitch_location::LocationError;
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
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The table of log entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The table of single values by name.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The name of the snapshot file.
const SNAPSHOT: &str = "snapshot";

/// Why something on the disk could not be read or written. The process reports it as a [`LogError`], which
/// has a help text for operators.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The database reported an error.
    #[error("{0}")]
    Database(Box<dyn std::error::Error + Send + Sync>),
    /// A value in the database can't be decoded.
    #[error("{name}: {source}")]
    Value {
        /// The name of the value.
        name: String,
        /// Why it can't be decoded.
        source: postcard::Error,
    },
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// Why it can't be read or written.
        source: std::io::Error,
    },
    /// The snapshot file was written only in part, or was changed: its hash does not match.
    #[error("{}: torn or changed: its hash is another", path.display())]
    SnapshotHash {
        /// The path of the file.
        path: PathBuf,
    },
    /// The snapshot can't be decoded.
    #[error("snapshot: {0}")]
    Snapshot(postcard::Error),
    /// The records of the snapshot can't be restored.
    #[error(transparent)]
    Records(#[from] LocationError),
}

impl StoreError {
    fn database(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        StoreError::Database(Box::new(error))
    }
}

/// The data folder of one process.
#[derive(Clone)]
pub struct LogStore {
    log: Arc<Database>,
    folder: PathBuf,
}

/// Converts a disk error to the error type of the Raft library, which stops on it. The process then fails
/// with the error.
pub fn storage_error(error: impl Display) -> StorageError<u64> {
    let error = std::io::Error::other(error.to_string());
    StorageError::IO { source: StorageIOError::write(&error) }
}

impl LogStore {
    /// Opens or creates the data folder of a process; `owner` names the process and its site.
    ///
    /// # Errors
    /// [`LogError::Foreign`] if the folder has another owner, [`LogError::Damaged`] if it can't be read, and
    /// [`LogError::Disk`] if it can't be written.
    pub fn open(folder: &Path, owner: &str) -> Result<Self, LogError> {
        let disk_error = |error: std::io::Error| LogError::Disk(format!("{}: {error}", folder.display()));
        std::fs::create_dir_all(folder).map_err(disk_error)?;
        let path = folder.join("log.redb");
        let damaged = |error: StoreError| LogError::Damaged {
            path: path.display().to_string(),
            reason: error.to_string(),
        };
        let log = Database::create(&path).map_err(|error| damaged(StoreError::database(error)))?;
        let store = LogStore { log: Arc::new(log), folder: folder.to_path_buf() };
        store.create_tables().map_err(&damaged)?;
        match store.read::<String>("owner").map_err(&damaged)? {
            None => store.write("owner", &owner).map_err(|error| LogError::Disk(error.to_string()))?,
            Some(found) if found == owner => {}
            Some(found) => {
                let (path, ours) = (folder.display().to_string(), owner.to_string());
                return Err(LogError::Foreign { path, found, ours });
            }
        }
        Ok(store)
    }

    fn create_tables(&self) -> Result<(), StoreError> {
        let transaction = self.log.begin_write().map_err(StoreError::database)?;
        transaction.open_table(LOG).map_err(StoreError::database)?;
        transaction.open_table(META).map_err(StoreError::database)?;
        transaction.commit().map_err(StoreError::database)
    }

    fn read<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, StoreError> {
        let transaction = self.log.begin_read().map_err(StoreError::database)?;
        let meta = transaction.open_table(META).map_err(StoreError::database)?;
        let Some(bytes) = meta.get(name).map_err(StoreError::database)? else { return Ok(None) };
        match postcard::from_bytes(bytes.value()) {
            Ok(value) => Ok(Some(value)),
            Err(source) => Err(StoreError::Value { name: name.into(), source }),
        }
    }

    fn write<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StorageError<u64>> {
        let bytes = postcard::to_allocvec(value).map_err(storage_error)?;
        run_blocking(|| {
            let transaction = self.log.begin_write().map_err(storage_error)?;
            transaction
                .open_table(META)
                .map_err(storage_error)?
                .insert(name, &*bytes)
                .map_err(storage_error)?;
            transaction.commit().map_err(storage_error)
        })
    }

    /// Whether the disk holds everything that this process ever acknowledged or voted for.
    ///
    /// # Errors
    /// [`StoreError`] if the value can't be read.
    pub fn has_joined(&self) -> Result<bool, StoreError> {
        Ok(self.read::<bool>("joined")?.unwrap_or(false))
    }

    /// Records that the disk holds everything that this process acknowledges or votes for from now on.
    ///
    /// # Errors
    /// The error of the Raft library, if the value can't be written.
    pub fn save_joined(&self) -> Result<(), StorageError<u64>> {
        self.write("joined", &true)
    }

    /// Begins an incarnation and returns it: the time by the wall clock, in nanoseconds since 1970, but
    /// always later than the former incarnation, since the wall clock may have been set back.
    ///
    /// # Errors
    /// [`LogError::Disk`] if the former incarnation can't be read or the new one can't be written.
    pub fn begin_incarnation(&self, wall_clock_ns: u64) -> Result<u64, LogError> {
        let disk_error = |error: &dyn Display| LogError::Disk(format!("{}: {error}", self.folder.display()));
        let former: u64 = self.read("life").map_err(|error| disk_error(&error))?.unwrap_or(0);
        let incarnation = wall_clock_ns.max(former + 1);
        self.write("life", &incarnation).map_err(|error| disk_error(&error))?;
        Ok(incarnation)
    }

    fn snapshot_path(&self) -> PathBuf {
        self.folder.join(SNAPSHOT)
    }

    /// Reads the snapshot on disk; `None` if there is none.
    ///
    /// # Errors
    /// [`StoreError::SnapshotHash`] if the file was written only in part or was changed, and
    /// [`StoreError::File`] if it can't be read.
    pub fn snapshot(&self) -> Result<Option<Vec<u8>>, StoreError> {
        let path = self.snapshot_path();
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StoreError::File { path, source }),
        };
        match bytes.split_last_chunk::<8>() {
            Some((data, hash)) if xxh3_64(data).to_le_bytes() == *hash => Ok(Some(data.to_vec())),
            _ => Err(StoreError::SnapshotHash { path }),
        }
    }

    /// Replaces the snapshot on disk atomically, and syncs it.
    ///
    /// # Errors
    /// [`StoreError::File`] if it can't be written.
    pub fn save_snapshot(&self, bytes: &[u8]) -> Result<(), StoreError> {
        let (path, new_path) = (self.snapshot_path(), self.folder.join("snapshot.new"));
        let write = || {
            let mut file = File::create(&new_path)?;
            file.write_all(bytes)?;
            file.write_all(&xxh3_64(bytes).to_le_bytes())?;
            file.sync_all()?;
            std::fs::rename(&new_path, &path)?;
            File::open(&self.folder)?.sync_all()
        };
        write().map_err(|source| StoreError::File { path: path.clone(), source })
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        let transaction = self.log.begin_read().map_err(storage_error)?;
        let log = transaction.open_table(LOG).map_err(storage_error)?;
        let mut entries = Vec::new();
        for entry in log.range(range).map_err(storage_error)? {
            let (_, bytes) = entry.map_err(storage_error)?;
            entries.push(postcard::from_bytes(bytes.value()).map_err(storage_error)?);
        }
        Ok(entries)
    }

    /// Removes the entries in a range of indexes.
    fn remove_entries(&self, range: (Bound<u64>, Bound<u64>)) -> Result<(), StorageError<u64>> {
        run_blocking(|| {
            let transaction = self.log.begin_write().map_err(storage_error)?;
            {
                let mut log = transaction.open_table(LOG).map_err(storage_error)?;
                log.retain_in(range, |_, _| false).map_err(storage_error)?;
            }
            transaction.commit().map_err(storage_error)
        })
    }
}

/// Runs a blocking write on this thread, after the runtime has moved its other tasks to other threads.
fn run_blocking<T>(write: impl FnOnce() -> T) -> T {
    match tokio::runtime::Handle::try_current() {
        Ok(handle) if handle.runtime_flavor() == tokio::runtime::RuntimeFlavor::MultiThread => {
            tokio::task::block_in_place(write)
        }
        _ => write(),
    }
}

impl RaftLogReader<Types> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        self.entries(range)
    }
}

impl RaftLogStorage<Types> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<u64>> {
        let purged: Option<LogId<u64>> = self.read("purged").map_err(storage_error)?;
        let transaction = self.log.begin_read().map_err(storage_error)?;
        let log = transaction.open_table(LOG).map_err(storage_error)?;
        let last = log.last().map_err(storage_error)?;
        let last: Option<Entry<Types>> =
            last.map(|(_, bytes)| postcard::from_bytes(bytes.value()).map_err(storage_error)).transpose()?;
        let last_log_id = last.map(|entry| entry.log_id).or(purged);
        Ok(LogState { last_purged_log_id: purged, last_log_id })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.write("vote", vote)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        self.read("vote").map_err(storage_error)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let written = run_blocking(|| {
            let transaction = self.log.begin_write().map_err(storage_error)?;
            {
                let mut log = transaction.open_table(LOG).map_err(storage_error)?;
                for entry in entries {
                    let bytes = postcard::to_allocvec(&entry).map_err(storage_error)?;
                    log.insert(entry.log_id.index, &*bytes).map_err(storage_error)?;
                }
            }
            // The entries are synced when this returns.
            transaction.commit().map_err(storage_error)
        });
        let result = written.as_ref().copied().map_err(|error| std::io::Error::other(error.to_string()));
        callback.log_io_completed(result);
        written
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.remove_entries((Bound::Included(from.index), Bound::Unbounded))
    }

    async fn purge(&mut self, last: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.write("purged", &last)?;
        self.remove_entries((Bound::Unbounded, Bound::Included(last.index)))
    }
}
