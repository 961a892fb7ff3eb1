//! Pins the encodings of what sites store and exchange: location records, audit records, the audit log, and
//! the Golomb-coded set of a summary with the hash behind it. Disks and summaries outlive the build that
//! wrote them, so renaming or reordering in the code must not change the encodings.
//!
//! `tests/data/stored.txt` was written by the build of version 0.2.0. After an intended change of the format,
//! write it again with `cargo test -p lilacpitch-fleet --test pinned_stored -- --ignored`.
//! The labels below are those in the file.

mod pinned;

use lilacpitch_fleet::audit::{AuditLog, AuditRecord, Change, Version};
use lilacpitch_fleet::message::LogPosition;
use lilacpitch_location::summary::fingerprint;
use lilacpitch_location::{golomb_coded_set, Key, Kind, LocationRecord, Number, Owner};
use pinned::{assert_pinned, read, Sample};
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const FILE: &str = "stored.txt";
/// The number of fingerprints in the pinned set.
const FINGERPRINTS: usize = 40;

fn location_record(kind: Kind) -> LocationRecord {
    let owner =
        Owner { name: "server-3".into(), front: "edge-1".into(), incarnation: 1_700_000_001, serial: 77 };
    let key = Key { number: Number::new("+4930123").unwrap(), kind, owner };
    LocationRecord {
        key,
        class: "emergency".into(),
        trunk_group: "north".into(),
        since_ms: 1_700_000_002_345,
    }
}

fn audit_record() -> AuditRecord {
    let position = LogPosition { log: 1_700_000_003, index: 6 };
    let version = Version {
        settings: 301,
        endpoint_list: 302,
        build: "b1".into(),
        uses_cache: true,
        accepts_calls: false,
    };
    let first = Change { serial: 5, at_ms: 1_700_000_005, version, position, moved_to: 8 };
    let mut second = Change { serial: 6, at_ms: 1_700_000_105, moved_to: 9, ..first.clone() };
    second.version.accepts_calls = true;
    AuditRecord {
        front: "edge-1".into(),
        incarnation: 9,
        seen_ms: 1_700_000_206,
        changes: vec![first, second],
    }
}

fn audit_log() -> AuditLog {
    let mut log = AuditLog::default();
    log.append(audit_record()).unwrap();
    log
}

fn fingerprints() -> Vec<u32> {
    let number = |n: usize| Number::new(&format!("+4930{n}")).unwrap();
    (0..FINGERPRINTS).map(|n| fingerprint(number(n).hash64())).collect()
}

fn samples() -> Vec<Sample> {
    let samples = [
        ("row-reached", postcard::to_allocvec(&location_record(Kind::Binding)).unwrap()),
        ("row-standing", postcard::to_allocvec(&location_record(Kind::ActiveCall)).unwrap()),
        ("audit-record", postcard::to_allocvec(&audit_record()).unwrap()),
        ("audit-ledger", postcard::to_allocvec(&audit_log()).unwrap()),
        ("number-hash", Number::new("+4930123").unwrap().hash64().to_be_bytes().to_vec()),
        ("summary-empty", golomb_coded_set::encode(&[])),
        ("summary-set", golomb_coded_set::encode(&fingerprints())),
    ];
    samples.into_iter().map(|(label, bytes)| (label.to_string(), bytes)).collect()
}

fn pinned_bytes(label: &str) -> Vec<u8> {
    read(FILE).into_iter().find(|(pinned_label, _)| pinned_label == label).expect("a pinned sample").1
}

fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(label: &str, value: &T) {
    assert_eq!(&postcard::from_bytes::<T>(&pinned_bytes(label)).unwrap(), value, "{label}");
}

#[test]
fn encodes_every_stored_value_as_pinned() {
    assert_pinned(FILE, &samples());
}

#[test]
fn decodes_every_pinned_value_to_the_same_value() {
    assert_decodes("row-reached", &location_record(Kind::Binding));
    assert_decodes("row-standing", &location_record(Kind::ActiveCall));
    assert_decodes("audit-record", &audit_record());
    assert_decodes("audit-ledger", &audit_log());
    let mut values: Vec<u32> = fingerprints()
        .iter()
        .map(|fingerprint| golomb_coded_set::scale(*fingerprint, FINGERPRINTS))
        .collect();
    values.sort_unstable();
    assert_eq!(golomb_coded_set::decode(&pinned_bytes("summary-set"), FINGERPRINTS), Some(values));
}

#[test]
#[ignore = "overwrites the pinned file"]
fn write_pinned_stored() {
    pinned::write(FILE, &samples());
}
