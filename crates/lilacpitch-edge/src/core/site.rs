//! Names and their numbers: classes, pools, zones and dialled numbers as the controller knows them.
//!
//! Numbers are given in the order in which names become known, and never given to another name.

use lilacpitch::interface::{Class, Idempotency, Settings};
use lilacpitch_config::Edge;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The first choice of a call that names no pool: no pool has this number.
pub(super) const NO_POOL: u32 = u32::MAX;

/// The numbers of names.
#[derive(Debug, Default)]
pub(super) struct Site {
    classes: BTreeMap<String, usize>,
    pools: BTreeMap<String, u32>,
    zones: BTreeMap<String, u32>,
}

impl Site {
    pub(super) fn new(settings: &Edge) -> Self {
        let mut site = Site::default();
        // Pools are known from the start: an edge that starts while a pool's servers are removed must not reject its
        // calls as being for an unknown pool.
        for pool in &settings.pools {
            site.pool_or_insert(pool);
        }
        for (index, class) in settings.classes.iter().enumerate() {
            site.classes.insert(class.name.clone(), index);
            for pool in &class.pools {
                site.pool_or_insert(pool);
            }
        }
        site
    }

    pub(super) fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    pub(super) fn pool(&self, name: &str) -> Option<u32> {
        self.pools.get(name).copied()
    }

    /// The number of a pool; a new one gets the next.
    pub(super) fn pool_or_insert(&mut self, name: &str) -> u32 {
        number_or_insert(&mut self.pools, name)
    }

    /// The name of a pool's number.
    pub(super) fn pool_name(&self, number: u32) -> Option<&str> {
        self.pools.iter().find(|(_, known)| **known == number).map(|(name, _)| name.as_str())
    }

    /// The number of a zone; a new one gets the next.
    pub(super) fn zone_or_insert(&mut self, name: &str) -> u32 {
        number_or_insert(&mut self.zones, name)
    }

    /// The controller's settings.
    pub(super) fn controller_settings(&self, edge: &Edge) -> Settings {
        let class = |class: &lilacpitch_config::Class| Class {
            latency_objective_ns: class.aim_ns,
            deadline_ns: class.give_up_ns,
            priority_weight: class.worth,
            late_weight: class.late_worth,
            // A set-up that ran twice occupies a circuit until it is released: it may be sent again.
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

/// A dialled number as the controller compares it: equal digits have equal hashes.
pub(super) fn hash_dialled_number(number: &str) -> u64 {
    let mut hash = DefaultHasher::new();
    number.hash(&mut hash);
    hash.finish()
}
