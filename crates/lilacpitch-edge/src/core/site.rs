//! Names to numbers: classes, pools, zones and dialled numbers as the module knows them.

use lilacpitch::interface::{Class, Idempotency, Settings};
use lilacpitch_config::Edge;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The first choice of a call that names no pool: no server has this number.
pub(super) const NO_POOL: u32 = u32::MAX;

#[derive(Debug, Default)]
pub(super) struct Site {
    classes: BTreeMap<String, usize>,
    pools: BTreeMap<String, u32>,
    zones: BTreeMap<String, u32>,
}

impl Site {
    pub fn new(settings: &Edge) -> Self {
        let mut site = Site::default();
        // Found in the laboratory: a front that started while a pool's servers were gone refused its calls.
        settings.pools.iter().for_each(|pool| {
            site.pool_listed(pool);
        });
        for (index, class) in settings.classes.iter().enumerate() {
            site.classes.insert(class.name.clone(), index);
            class.pools.iter().for_each(|pool| {
                site.pool_listed(pool);
            });
        }
        site
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    pub fn pool(&self, name: &str) -> Option<u32> {
        self.pools.get(name).copied()
    }

    /// The number of a pool; one not heard of before gets the next.
    pub fn pool_listed(&mut self, name: &str) -> u32 {
        number(&mut self.pools, name)
    }

    /// The name of a pool's number.
    pub fn pool_name(&self, number: u32) -> Option<&str> {
        self.pools.iter().find(|(_, known)| **known == number).map(|(name, _)| name.as_str())
    }

    pub fn zone_listed(&mut self, name: &str) -> u32 {
        number(&mut self.zones, name)
    }

    /// What the module is told at its start.
    pub fn module_settings(&self, edge: &Edge) -> Settings {
        let class = |class: &lilacpitch_config::Class| Class {
            latency_objective_ns: class.aim_ns,
            deadline_ns: class.give_up_ns,
            priority_weight: class.worth,
            late_weight: class.late_worth,
            // A set-up that ran twice holds a circuit until it is released: safe to send again.
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

fn number(known: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    let next = known.len() as u32;
    *known.entry(name.to_string()).or_insert(next)
}

/// A dialled number as the module compares it: equal for equal digits.
pub(super) fn dialled(number: &str) -> u64 {
    let mut hash = DefaultHasher::new();
    number.hash(&mut hash);
    hash.finish()
}
