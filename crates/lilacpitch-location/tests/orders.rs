//! The store's own source compiled with `shuttle`'s locks, whose interleavings are explored: a writer runs
//! concurrently with a snapshot and with a router, which keeps copies of the summaries and updates them. A
//! summary must contain every record that was inserted before the summary was requested.

use lilacpitch_location::{error, query, record, summary};

/// Replaces the crate's own locks.
mod sync {
    #[derive(Debug, Default)]
    pub(crate) struct RwLock<T>(shuttle::sync::RwLock<T>);

    impl<T> RwLock<T> {
        pub(crate) fn read(&self) -> shuttle::sync::RwLockReadGuard<'_, T> {
            self.0.read().unwrap()
        }

        pub(crate) fn write(&self) -> shuttle::sync::RwLockWriteGuard<'_, T> {
            self.0.write().unwrap()
        }
    }
}

#[path = "../src/store.rs"]
#[allow(dead_code, missing_docs, unreachable_pub, reason = "the sources of the library, with other locks")]
mod store;

use record::{Key, Kind, LocationRecord, Number, Owner};
use shuttle::sync::atomic::{AtomicU64, Ordering};
use shuttle::sync::Arc;
use shuttle::thread;
use store::LocationStore;
use summary::{fingerprint, shard_of, ShardSummary};

/// Enough records that new bases of the summary are built while the threads run.
const RECORDS: u64 = 36;
const SHARDS: usize = 2;

fn number(n: u64) -> Number {
    Number::new(&format!("1555{n:04}")).unwrap()
}

fn binding(n: u64) -> LocationRecord {
    let owner = Owner { name: "edge-1".into(), front: "edge-1".into(), incarnation: 1, serial: n };
    let key = Key { number: number(n), kind: Kind::Binding, owner };
    LocationRecord { key, class: String::new(), trunk_group: "p".into(), since_ms: n }
}

/// Runs the threads once. The router counts the records inserted before it requests summaries or, as a
/// deliberate fault, after it has requested them.
fn run_threads(counts_before_request: bool) {
    let store = Arc::new(LocationStore::new(SHARDS).unwrap());
    let inserted = Arc::new(AtomicU64::new(0));
    let writer = {
        let (store, inserted) = (store.clone(), inserted.clone());
        thread::spawn(move || {
            for n in 0..RECORDS {
                store.upsert(binding(n));
                inserted.store(n + 1, Ordering::SeqCst);
            }
        })
    };
    let snapshot = {
        let (store, inserted) = (store.clone(), inserted.clone());
        thread::spawn(move || {
            let inserted_before = inserted.load(Ordering::SeqCst);
            let found: usize = store.snapshot().iter().map(|records| records.len()).sum();
            assert!(
                found as u64 >= inserted_before,
                "{found} records in a snapshot, {inserted_before} before"
            );
        })
    };
    let router = thread::spawn(move || {
        let mut summaries: Vec<ShardSummary> = vec![ShardSummary::default(); SHARDS];
        for _ in 0..3 {
            let inserted_before = inserted.load(Ordering::SeqCst);
            for (shard, summary) in summaries.iter_mut().enumerate() {
                if let Some(update) = store.summary(shard, Some(summary.version())) {
                    summary.apply_update(&update).unwrap();
                }
            }
            let expected =
                if counts_before_request { inserted_before } else { inserted.load(Ordering::SeqCst) };
            for n in 0..expected {
                let hash = number(n).hash64();
                let summary = &summaries[shard_of(hash, SHARDS)];
                assert!(
                    summary.may_contain(fingerprint(hash)),
                    "record {n} of {expected} is not in the summary"
                );
            }
        }
    });
    [writer, snapshot, router].into_iter().for_each(|thread| thread.join().unwrap());
}

#[test]
fn summary_contains_every_record_inserted_before_its_request() {
    shuttle::check_random(|| run_threads(true), 1_000);
}

#[test]
fn detects_records_counted_after_the_summary_request() {
    let explored = std::panic::catch_unwind(|| shuttle::check_random(|| run_threads(false), 1_000));
    assert!(explored.is_err(), "the fault went undetected");
}
