//! The store against a plain map as its model, summaries against the records that are in the store, and
//! concurrent writers.

use lilacpitch_location::golomb_coded_set;
use lilacpitch_location::summary::{fingerprint, shard_of};
use lilacpitch_location::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn binding(number: u32, serial: u64, since_ms: u64) -> LocationRecord {
    let owner = Owner { name: "edge-1".into(), front: "edge-1".into(), incarnation: 7, serial };
    let key = Key { number: Number::new(&number.to_string()).unwrap(), kind: Kind::Binding, owner };
    LocationRecord { key, class: "voice".into(), trunk_group: format!("t{}", number % 3), since_ms }
}

fn query_prefix(digits: &str) -> Query {
    Query {
        target: QueryTarget::Prefix(digits.into()),
        kind: None,
        class: None,
        trunk_group: None,
        since_ms: None,
    }
}

proptest! {
    #[test]
    fn finds_the_same_pages_as_a_plain_map(
        steps in prop::collection::vec((0u32..300, 0u64..3, any::<bool>()), 0..400),
        digits in "[0-9]{0,2}", limit in 1usize..9,
    ) {
        let (store, mut model) = (LocationStore::new(8).unwrap(), BTreeMap::new());
        for (step, (number, serial, inserts)) in steps.into_iter().enumerate() {
            let record = binding(number, serial, step as u64);
            if inserts {
                prop_assert_eq!(store.upsert(record.clone()), model.insert(record.key.clone(), record));
            } else {
                prop_assert_eq!(store.withdraw(&record.key), model.remove(&record.key));
            }
        }
        let query = query_prefix(&digits);
        let expected: Vec<LocationRecord> =
            model.values().filter(|record| query.matches(record)).cloned().collect();
        let (mut found, mut after) = (Vec::new(), None);
        loop {
            let page = store.find(&query, after.as_ref(), limit);
            prop_assert!(page.records.len() <= limit);
            found.extend(page.records);
            after = page.cursor;
            if after.is_none() { break }
        }
        prop_assert_eq!(found, expected);
        prop_assert_eq!(store.len(), model.len());
    }

    #[test]
    fn summary_contains_every_number_with_records(
        steps in prop::collection::vec((0u32..2_000, any::<bool>()), 1..600), update_every in 1usize..40,
    ) {
        let (store, mut model) = (LocationStore::new(4).unwrap(), BTreeSet::new());
        let mut summaries = vec![ShardSummary::default(); 4];
        let mut known = [None; 4];
        for (step, (number, inserts)) in steps.into_iter().enumerate() {
            let record = binding(number, 0, 0);
            if inserts {
                store.upsert(record);
                model.insert(number);
            } else {
                store.withdraw(&record.key);
                model.remove(&number);
            }
            if step % update_every == 0 {
                for (shard, summary) in summaries.iter_mut().enumerate() {
                    if let Some(update) = store.summary(shard, known[shard]) {
                        summary.apply_update(&update).unwrap();
                        known[shard] = Some(summary.version());
                    }
                }
                for number in &model {
                    let hash = Number::new(&number.to_string()).unwrap().hash64();
                    prop_assert!(summaries[shard_of(hash, 4)].may_contain(fingerprint(hash)));
                }
            }
        }
    }

    /// The router keeps a copy of a summary, which it updates from the store and from a relay that may lag
    /// behind. Guards against a relay's older update that reverts the content of the router's newer summary
    /// while the router keeps the newer version.
    #[test]
    fn summary_version_never_decreases_with_updates_from_two_sources(
        steps in prop::collection::vec((0u32..3_000, 0usize..4), 1..500),
    ) {
        let store = LocationStore::new(1).unwrap();
        let (mut relay, mut router) = (ShardSummary::default(), ShardSummary::default());
        let mut in_router = BTreeSet::new();
        let mut inserted = BTreeSet::new();
        for (number, action) in steps {
            let version_before = router.version();
            match action {
                0 | 1 => {
                    store.upsert(binding(number, 0, 0));
                    inserted.insert(number);
                }
                2 => if let Some(update) = store.summary(0, Some(relay.version())) {
                    relay.apply_update(&update).unwrap()
                },
                _ => {
                    // Both requests carry the same version; the responses are applied one after the other.
                    let from_store = store.summary(0, Some(version_before));
                    let from_relay = relay.since(0, Some(version_before));
                    for update in from_store.iter().chain(&from_relay) { router.apply_update(update).unwrap() }
                    in_router.clone_from(&inserted);
                }
            }
            prop_assert!(router.version() >= version_before);
            for number in &in_router {
                let hash = Number::new(&number.to_string()).unwrap().hash64();
                prop_assert!(router.may_contain(fingerprint(hash)));
            }
        }
    }

    #[test]
    fn damaged_sets_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), n in 0usize..500) {
        if let Some(values) = golomb_coded_set::decode(&bytes, n) {
            prop_assert_eq!(values.len(), n);
            prop_assert!(values.windows(2).all(|pair| pair[0] <= pair[1]));
        }
    }
}

#[test]
fn encoded_set_takes_under_twelve_bits_a_number_at_one_false_positive_in_a_thousand() {
    let fingerprints = |first: u32| {
        (first..first + 200_000).map(|n| fingerprint(Number::new(&n.to_string()).unwrap().hash64()))
    };
    let members: Vec<u32> = fingerprints(5_000_000).collect();
    let bytes = golomb_coded_set::encode(&members);
    let bits = bytes.len() as f64 * 8.0 / members.len() as f64;
    assert!(bits < 12.0, "{bits} bits a number");
    let values = golomb_coded_set::decode(&bytes, members.len()).unwrap();
    let contains = |f: u32| values.binary_search(&golomb_coded_set::scale(f, members.len())).is_ok();
    assert!(members.iter().all(|f| contains(*f)));
    let false_positives = fingerprints(9_000_000).filter(|f| contains(*f)).count();
    assert!((100..300).contains(&false_positives), "{false_positives} false positives in 200,000");
}

#[test]
fn snapshot_does_not_change_while_threads_write() {
    let store = Arc::new(LocationStore::new(16).unwrap());
    let writers: Vec<_> = (0..4u32)
        .map(|thread| {
            let store = store.clone();
            std::thread::spawn(move || {
                (0..5_000).for_each(|n| drop(store.upsert(binding(thread * 10_000 + n, 0, 0))));
            })
        })
        .collect();
    let snapshot = store.snapshot();
    let count: usize = snapshot.iter().map(|records| records.len()).sum();
    writers.into_iter().for_each(|writer| writer.join().unwrap());
    let count_after_writes: usize = snapshot.iter().map(|records| records.len()).sum();
    assert_eq!(count_after_writes, count, "the snapshot changed");
    assert_eq!(store.len(), 20_000);
    let copy = LocationStore::new(32).unwrap();
    let records: Vec<_> = store.snapshot().iter().flat_map(|records| records.values().cloned()).collect();
    copy.restore(records).unwrap();
    assert_eq!(copy.find(&query_prefix(""), None, 30_000), store.find(&query_prefix(""), None, 30_000));
}

#[test]
fn removes_only_records_of_older_incarnations() {
    let store = LocationStore::new(4).unwrap();
    (0..100).for_each(|n| drop(store.upsert(binding(n, 0, 0))));
    let mut later = binding(1_000, 0, 0);
    later.key.owner.incarnation = 8;
    store.upsert(later.clone());
    assert_eq!(store.remove_older_incarnations("edge-1", 8).len(), 100);
    assert_eq!(store.find(&query_prefix(""), None, 10).records, vec![later]);
}
