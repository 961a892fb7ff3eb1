//! Questions over rows.

use crate::record::{Key, Kind, LocationRecord, Number};
use serde::{Deserialize, Serialize};

/// Which numbers are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QueryTarget {
    /// One.
    Number(Number),
    /// All that begin so.
    Prefix(String),
}

/// A question. What is left out does not matter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Query {
    /// Which numbers.
    pub target: QueryTarget,
    /// What their rows say.
    pub kind: Option<Kind>,
    /// Of this class.
    pub class: Option<String>,
    /// Through this trunk group.
    pub trunk_group: Option<String>,
    /// Since a moment from the first to the second, both in it, in milliseconds since 1970.
    pub since_ms: Option<(u64, u64)>,
}

impl Query {
    /// Where one number is reached.
    pub fn binding_of(number: Number) -> Self {
        Query {
            target: QueryTarget::Number(number),
            kind: Some(Kind::Binding),
            class: None,
            trunk_group: None,
            since_ms: None,
        }
    }

    /// Whether a row is asked for.
    pub fn matches(&self, row: &LocationRecord) -> bool {
        let number = match &self.target {
            QueryTarget::Number(number) => *number == row.key.number,
            QueryTarget::Prefix(prefix) => row.key.number.as_str().starts_with(prefix.as_str()),
        };
        number
            && self.kind.is_none_or(|kind| kind == row.key.kind)
            && self.class.as_ref().is_none_or(|class| *class == row.class)
            && self.trunk_group.as_ref().is_none_or(|group| *group == row.trunk_group)
            && self.since_ms.is_none_or(|(from, to)| (from..=to).contains(&row.since_ms))
    }
}

/// A part of what was found, in the order of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub records: Vec<LocationRecord>,
    /// Where to go on: there may be more after this key.
    pub cursor: Option<Key>,
}
