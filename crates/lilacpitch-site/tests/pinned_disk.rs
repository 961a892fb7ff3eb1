//! Pins the data folder of a process: the log entries, the single values beside them, and the snapshot. A
//! disk outlives the build that wrote it, so renaming or reordering in the code must not change how it is
//! read.
//!
//! `tests/data/disk/` was written by the build of version 0.2.0. `log.redb` contains the entries 6 to 17
//! (those up to 5 are purged), and `snapshot` is the state after entry 9. After an intended change of the
//! format, write it again with `cargo test -p lilacpitch-site --test pinned_disk -- --ignored`.

use lilacpitch_fleet::audit::{AuditLog, AuditRecord, Change, Version};
use lilacpitch_fleet::error::LogError;
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, LogPosition, PurgeScope, RecordChange};
use lilacpitch_location::{Key, Kind, LocationRecord, Number, Owner};
use lilacpitch_site::log::machine::StateMachine;
use lilacpitch_site::log::state::{SiteMetadata, SiteState, WritePosition};
use lilacpitch_site::log::store::LogStore;
use lilacpitch_site::log::{ApplyResult, Command, RecordWrite, Types};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt, RaftStateMachine};
use openraft::{
    BasicNode, CommittedLeaderId, Entry, EntryPayload, LogId, Membership, RaftLogReader, RaftSnapshotBuilder,
    StoredMembership, Vote,
};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tempfile::TempDir;

/// The files of the data folder.
const FILES: [&str; 2] = ["log.redb", "snapshot"];
const OWNER: &str = "root/0/root-0";
const NODE: u64 = 1;
const TERM: u64 = 2;
const SHARDS: usize = 4;
const INCARNATION: u64 = 1_700_000_000_000;
const LAST_PURGED: u64 = 5;
const LAST_IN_SNAPSHOT: u64 = 9;
const LAST_IN_LOG: u64 = 17;

const STORE_CREATED_MS: u64 = 1_700_000_000_001;
const LOG: u64 = 1_700_000_002;
const NEXT_LOG: u64 = 1_700_000_003;
const EDGE_1_INCARNATION: u64 = 1_700_000_011;
const EDGE_2_INCARNATION: u64 = 1_700_000_012;
const EDGE_2_NEXT_INCARNATION: u64 = 1_700_000_013;

fn number(digits: &str) -> Number {
    Number::new(digits).unwrap()
}

fn location_record(digits: &str, kind: Kind, front: &str, incarnation: u64, serial: u64) -> LocationRecord {
    let owner = Owner { name: "server-3".into(), front: front.into(), incarnation, serial };
    let key = Key { number: number(digits), kind, owner };
    LocationRecord {
        key,
        class: "emergency".into(),
        trunk_group: "north".into(),
        since_ms: 1_700_000_002_345,
    }
}

fn record_101() -> LocationRecord {
    location_record("+4930101", Kind::Binding, "edge-1", EDGE_1_INCARNATION, 1)
}

fn active_call_102() -> LocationRecord {
    location_record("+4930102", Kind::ActiveCall, "edge-1", EDGE_1_INCARNATION, 2)
}

fn record_103() -> LocationRecord {
    location_record("+4930103", Kind::Binding, "edge-1", EDGE_1_INCARNATION, 3)
}

fn active_call_104() -> LocationRecord {
    location_record("+4930104", Kind::ActiveCall, "edge-1", EDGE_1_INCARNATION, 4)
}

fn record_105() -> LocationRecord {
    location_record("+4930105", Kind::Binding, "edge-1", EDGE_1_INCARNATION, 5)
}

fn record_201(incarnation: u64) -> LocationRecord {
    location_record("+4930201", Kind::Binding, "edge-2", incarnation, 1)
}

fn record_202() -> LocationRecord {
    location_record("+4930202", Kind::Binding, "edge-2", EDGE_2_INCARNATION, 2)
}

fn record_write(front: &str, incarnation: u64, first_change: u64, changes: Vec<RecordChange>) -> RecordWrite {
    RecordWrite { front: front.into(), incarnation, first_change, changes }
}

fn position(log: u64, index: u64) -> LogPosition {
    LogPosition { log, index }
}

fn first_actions() -> Vec<CommandAction> {
    let scopes = vec![
        PurgeScope::Number(number("+4930101")),
        PurgeScope::Prefix("+49".into()),
        PurgeScope::Owner("server-3".into()),
        PurgeScope::All,
    ];
    vec![CommandAction::Purge(scopes), CommandAction::Withdraw(401), CommandAction::Withdraw(402)]
}

fn later_actions() -> Vec<CommandAction> {
    vec![
        CommandAction::Purge(vec![PurgeScope::All]),
        CommandAction::Reinstate(402),
        CommandAction::Withdraw(403),
    ]
}

fn audit_record(serial: u64, at_ms: u64, accepts_calls: bool) -> AuditRecord {
    let version =
        Version { settings: 301, endpoint_list: 302, build: "b1".into(), uses_cache: true, accepts_calls };
    let change = Change { serial, at_ms, version, position: position(LOG, 1), moved_to: 3 };
    AuditRecord {
        front: "edge-1".into(),
        incarnation: EDGE_1_INCARNATION,
        seen_ms: at_ms + 50,
        changes: vec![change],
    }
}

fn first_audit_record() -> AuditRecord {
    audit_record(5, 1_700_000_005_000, false)
}

fn later_audit_record() -> AuditRecord {
    audit_record(6, 1_700_000_006_000, true)
}

/// Entries 1 to 9.
fn commands_before_snapshot() -> Vec<Command> {
    use RecordChange::{Upsert, Withdraw};
    let edge_1 = vec![Upsert(record_101()), Upsert(active_call_102())];
    let edge_2 = vec![Upsert(record_201(EDGE_2_INCARNATION)), Upsert(record_202())];
    let edge_1_later = vec![Upsert(record_103()), Withdraw(active_call_102().key), Upsert(active_call_104())];
    vec![
        Command::CreateStore(STORE_CREATED_MS),
        Command::BeginLog(LOG),
        Command::WriteRecords(vec![
            record_write("edge-1", EDGE_1_INCARNATION, 1, edge_1),
            record_write("edge-2", EDGE_2_INCARNATION, 1, edge_2),
        ]),
        Command::AppendCommands(first_actions()),
        Command::AppendAudit(vec![first_audit_record()]),
        Command::WriteRecords(vec![record_write("edge-1", EDGE_1_INCARNATION, 3, edge_1_later)]),
        Command::MarkPurged(2, position(LOG, 1)),
        Command::RemoveOlderIncarnations("edge-2".into(), EDGE_2_NEXT_INCARNATION),
        Command::MarkReady,
    ]
}

/// Entries 10 to 17: every command once.
fn commands_after_snapshot() -> Vec<Command> {
    use RecordChange::{Upsert, Withdraw};
    let edge_1 = vec![Upsert(record_105()), Withdraw(record_101().key)];
    let edge_2 = vec![Upsert(record_201(EDGE_2_NEXT_INCARNATION))];
    vec![
        Command::WriteRecords(vec![
            record_write("edge-1", EDGE_1_INCARNATION, 6, edge_1),
            record_write("edge-2", EDGE_2_NEXT_INCARNATION, 1, edge_2),
        ]),
        Command::RemoveOlderIncarnations("edge-2".into(), EDGE_2_NEXT_INCARNATION),
        Command::MarkPurged(6, position(LOG, 2)),
        Command::CreateStore(STORE_CREATED_MS + 1),
        Command::MarkReady,
        Command::BeginLog(NEXT_LOG),
        Command::AppendCommands(later_actions()),
        Command::AppendAudit(vec![later_audit_record()]),
    ]
}

fn log_id(index: u64) -> LogId<u64> {
    LogId::new(CommittedLeaderId::new(TERM, NODE), index)
}

fn membership() -> Membership<u64, BasicNode> {
    let nodes =
        BTreeMap::from([(NODE, BasicNode::new("127.0.0.1:7001")), (2, BasicNode::new("127.0.0.1:7002"))]);
    Membership::new(vec![BTreeSet::from([NODE])], nodes)
}

/// All entries from 0 on.
fn entries() -> Vec<Entry<Types>> {
    let commands = commands_before_snapshot().into_iter().chain(commands_after_snapshot());
    let payloads = commands.map(EntryPayload::Normal);
    let first = EntryPayload::Membership(membership());
    let numbered = (0..).zip(std::iter::once(first).chain(payloads));
    numbered.map(|(index, payload)| Entry { log_id: log_id(index), payload }).collect()
}

/// The metadata in the snapshot.
fn metadata_in_snapshot() -> SiteMetadata {
    let pending_purges = [(3, "+4930202"), (4, "+4930103"), (5, "+4930201"), (6, "+4930202")];
    let mut command_log = LogTail::starting_at(position(LOG, 0), BTreeSet::new());
    for action in first_actions() {
        command_log.append(action);
    }
    let mut audit_log = AuditLog::default();
    audit_log.append(first_audit_record()).unwrap();
    SiteMetadata {
        pending_purges: pending_purges.map(|(change, digits)| (change, number(digits))).into(),
        last_change: 6,
        purge_position: position(LOG, 1),
        command_log,
        audit_log,
        applied_writes: applied_writes([
            ("edge-1", EDGE_1_INCARNATION, 5),
            ("edge-2", EDGE_2_INCARNATION, 2),
        ]),
        removal_counts: [("edge-2".into(), 1)].into(),
        created_ms: STORE_CREATED_MS,
        is_ready: true,
    }
}

fn applied_writes(writes: [(&str, u64, u64); 2]) -> BTreeMap<String, WritePosition> {
    writes.map(|(front, incarnation, change)| (front.into(), WritePosition { incarnation, change })).into()
}

/// The metadata after the whole log is applied.
fn metadata_at_end() -> SiteMetadata {
    let pending_purges = [(7, "+4930105"), (8, "+4930101"), (9, "+4930201")];
    let mut command_log = LogTail::starting_at(position(NEXT_LOG, 0), BTreeSet::from([401, 402]));
    for action in later_actions() {
        command_log.append(action);
    }
    let mut audit_log = AuditLog::default();
    audit_log.append(first_audit_record()).unwrap();
    audit_log.append(later_audit_record()).unwrap();
    SiteMetadata {
        pending_purges: pending_purges.map(|(change, digits)| (change, number(digits))).into(),
        last_change: 9,
        purge_position: position(LOG, 2),
        command_log,
        audit_log,
        applied_writes: applied_writes([
            ("edge-1", EDGE_1_INCARNATION, 7),
            ("edge-2", EDGE_2_NEXT_INCARNATION, 1),
        ]),
        removal_counts: [("edge-2".into(), 1)].into(),
        created_ms: STORE_CREATED_MS,
        is_ready: true,
    }
}

/// The pinned data folder.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/disk")
}

/// A copy of the pinned data folder, since opening one writes to it.
fn copied_disk() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    for file in FILES {
        std::fs::copy(fixture().join(file), folder.path().join(file)).unwrap();
    }
    folder
}

fn open(folder: &TempDir) -> LogStore {
    LogStore::open(folder.path(), OWNER).unwrap()
}

fn start(store: &LogStore) -> (StateMachine, Arc<SiteState>) {
    let state = Arc::new(SiteState::new(SHARDS).unwrap());
    let (machine, _) = StateMachine::open(state.clone(), store.clone()).unwrap();
    (machine, state)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).build().unwrap().block_on(future)
}

/// All records in key order.
fn sorted_records(state: &SiteState) -> Vec<LocationRecord> {
    let shards = state.records.snapshot();
    let mut records: Vec<LocationRecord> = shards.iter().flat_map(|shard| shard.values()).cloned().collect();
    records.sort_by(|a, b| a.key.cmp(&b.key));
    records
}

#[test]
fn reads_the_pinned_log_entries() {
    let folder = copied_disk();
    let mut store = open(&folder);
    let read = block_on(store.try_get_log_entries(0..)).unwrap();
    let expected: Vec<_> = entries().into_iter().skip(LAST_PURGED as usize + 1).collect();
    assert_eq!(read, expected);
    let state = block_on(store.get_log_state()).unwrap();
    assert_eq!(state.last_purged_log_id, Some(log_id(LAST_PURGED)));
    assert_eq!(state.last_log_id, Some(log_id(LAST_IN_LOG)));
}

#[test]
fn reads_the_pinned_vote_incarnation_and_joined_flag() {
    let folder = copied_disk();
    let mut store = open(&folder);
    assert_eq!(block_on(store.read_vote()).unwrap(), Some(Vote::new_committed(TERM + 1, NODE)));
    assert!(store.has_joined().unwrap());
    assert_eq!(store.begin_incarnation(0).unwrap(), INCARNATION + 1);
}

#[test]
fn rejects_the_pinned_disk_for_another_owner() {
    let folder = copied_disk();
    let error = LogStore::open(folder.path(), "root/0/root-1").err();
    assert!(matches!(error, Some(LogError::Foreign { found, .. }) if found == OWNER));
}

#[test]
fn restores_the_pinned_snapshot_to_the_same_state() {
    let folder = copied_disk();
    let (mut machine, state) = start(&open(&folder));
    let (last, members) = block_on(machine.applied_state()).unwrap();
    assert_eq!(last, Some(log_id(LAST_IN_SNAPSHOT)));
    assert_eq!(members, StoredMembership::new(Some(log_id(0)), membership()));
    assert_eq!(sorted_records(&state), [record_101(), record_103(), active_call_104()]);
    assert_eq!(state.with_metadata(SiteMetadata::clone), metadata_in_snapshot());
}

#[test]
fn writes_the_pinned_snapshot_with_the_same_bytes() {
    let folder = copied_disk();
    let (mut machine, _) = start(&open(&folder));
    block_on(async {
        let mut builder = machine.get_snapshot_builder().await;
        builder.build_snapshot().await.unwrap();
    });
    let written = std::fs::read(folder.path().join("snapshot")).unwrap();
    assert_eq!(written, std::fs::read(fixture().join("snapshot")).unwrap());
}

#[test]
fn applies_the_pinned_log_after_its_snapshot_with_the_same_results() {
    let folder = copied_disk();
    let mut store = open(&folder);
    let (mut machine, state) = start(&store);
    let later_entries = block_on(store.try_get_log_entries(LAST_IN_SNAPSHOT + 1..)).unwrap();
    let results = block_on(machine.apply(later_entries)).unwrap();
    let mut expected = vec![ApplyResult::Done; commands_after_snapshot().len()];
    expected[6] = ApplyResult::Position(position(NEXT_LOG, 3));
    assert_eq!(results, expected);
    assert_eq!(
        sorted_records(&state),
        [record_103(), active_call_104(), record_105(), record_201(EDGE_2_NEXT_INCARNATION)]
    );
    assert_eq!(state.with_metadata(SiteMetadata::clone), metadata_at_end());
    state.with_metadata(|metadata| {
        assert_eq!(metadata.command_log.position(), position(NEXT_LOG, 3));
        assert_eq!(*metadata.command_log.withdrawn(), BTreeSet::from([401, 403]));
        let active: Vec<_> = metadata.audit_log.active_at(1_700_000_005_500).collect();
        assert_eq!(active.len(), 1);
        assert_eq!((active[0].front, active[0].incarnation), ("edge-1", EDGE_1_INCARNATION));
        assert_eq!(*active[0].version, first_audit_record().changes[0].version);
        assert_eq!((active[0].interval.position, active[0].interval.moved_to), (position(LOG, 1), 3));
    });
}

/// Overwrites the pinned data folder; see the top of this file for when and how.
#[test]
#[ignore = "overwrites the pinned disk"]
fn write_pinned_disk() {
    let folder = tempfile::tempdir().unwrap();
    block_on(write_disk(folder.path()));
    let mut log = redb::Database::open(folder.path().join("log.redb")).unwrap();
    log.compact().unwrap();
    drop(log);
    std::fs::create_dir_all(fixture()).unwrap();
    for file in FILES {
        std::fs::copy(folder.path().join(file), fixture().join(file)).unwrap();
    }
}

async fn write_disk(folder: &Path) {
    let mut store = LogStore::open(folder, OWNER).unwrap();
    store.begin_incarnation(INCARNATION).unwrap();
    store.save_joined().unwrap();
    store.save_vote(&Vote::new_committed(TERM + 1, NODE)).await.unwrap();
    store.blocking_append(entries()).await.unwrap();
    let (mut machine, _) = start(&store);
    let first_entries = store.try_get_log_entries(..=LAST_IN_SNAPSHOT).await.unwrap();
    machine.apply(first_entries).await.unwrap();
    machine.get_snapshot_builder().await.build_snapshot().await.unwrap();
    store.purge(log_id(LAST_PURGED)).await.unwrap();
}
