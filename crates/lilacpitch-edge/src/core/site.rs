//! Numbers for names: the controller identifies classes, pools, zones and dialled numbers by number.
//!
//! Numbers are assigned in the order in which names become known, and are never reused for another name.

use lilacpitch::interface::{Class, Idempotency, Settings};
use lilacpitch_config::Edge;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The preferred pool of a call that names none: no pool has this number.
pub(super) const NO_POOL: u32 = u32::MAX;

/// The numbers of classes, pools and zones by name.
#[derive(Debug, Default)]
pub(super) struct NameTable {
    classes: BTreeMap<String, usize>,
    pools: BTreeMap<String, u32>,
    zones: BTreeMap<String, u32>,
}

impl NameTable {
    pub(super) fn new(settings: &Edge) -> Self {
        let mut names = NameTable::default();
        // The pools of the settings are known from the start: an edge that starts while a pool has no servers
        // must not reject calls for it as calls for an unknown pool.
        for pool in &settings.pools {
            names.pool_or_insert(pool);
        }
        for (index, class) in settings.classes.iter().enumerate() {
            names.classes.insert(class.name.clone(), index);
            for pool in &class.pools {
                names.pool_or_insert(pool);
            }
        }
        names
    }

    pub(super) fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    pub(super) fn pool(&self, name: &str) -> Option<u32> {
        self.pools.get(name).copied()
    }

    /// The number of a pool. A new pool gets the next free number.
    pub(super) fn pool_or_insert(&mut self, name: &str) -> u32 {
        number_or_insert(&mut self.pools, name)
    }

    /// The name of the pool with this number.
    pub(super) fn pool_name(&self, number: u32) -> Option<&str> {
        self.pools.iter().find(|(_, known)| **known == number).map(|(name, _)| name.as_str())
    }

    /// The number of a zone. A new zone gets the next free number.
    pub(super) fn zone_or_insert(&mut self, name: &str) -> u32 {
        number_or_insert(&mut self.zones, name)
    }

    /// The settings of the controller, derived from those of the edge.
    pub(super) fn controller_settings(&self, edge: &Edge) -> Settings {
        let class = |class: &lilacpitch_config::Class| Class {
            latency_objective_ns: class.aim_ns,
            deadline_ns: class.give_up_ns,
            priority_weight: class.worth,
            late_weight: class.late_worth,
            // A set-up may be sent again: if it is executed twice, the extra circuit is occupied only until
            // it is released.
            idempotency: Idempotency::Idempotent,
            key_retention_ns: 0,
            pools: class.pools.iter().filter_map(|name| self.pool(name)).collect(),
        };
        Settings {
            classes: edge.classes.iter().map(class).collect(),
            home: None,
            resend_interval_ns: edge.timing.resend_ns,
            release_ns: edge.rules.release_ns,
            max_attempts: edge.rules.max_attempts,
            may_cancel: true,
            max_retry_after_ns: edge.timing.come_back_longest_ns,
            must_subscribe: false,
            slow_start_floor: edge.rules.cold_from,
            slow_start_ns: edge.rules.cold_span_ns,
            overload_multiple: edge.rules.tip_multiple,
            tick_ns: edge.timing.tick_ns,
        }
    }
}

fn number_or_insert(known: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    let next = known.len() as u32;
    *known.entry(name.to_string()).or_insert(next)
}

/// Hashes a dialled number for the controller, which only compares numbers: equal numbers have equal hashes.
pub(super) fn hash_dialled_number(number: &str) -> u64 {
    let mut hash = DefaultHasher::new();
    number.hash(&mut hash);
    hash.finish()
}
