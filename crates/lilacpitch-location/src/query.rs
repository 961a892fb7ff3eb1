//! Queries for location records, and pages of their results.

use crate::record::{Key, Kind, LocationRecord, Number};
use serde::{Deserialize, Serialize};

/// Which numbers a query is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QueryTarget {
    /// One number.
    Number(Number),
    /// All numbers with this prefix.
    Prefix(String),
}

/// A query for records. A condition that is `None` matches every record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Query {
    /// The numbers.
    pub target: QueryTarget,
    /// The kind of records.
    pub kind: Option<Kind>,
    /// The class of calls.
    pub class: Option<String>,
    /// The trunk group.
    pub trunk_group: Option<String>,
    /// The first and the last start time of records, both included, in milliseconds of Unix time.
    pub since_ms: Option<(u64, u64)>,
}

impl Query {
    /// The query for the bindings of a number: where it is reached.
    pub fn binding_of(number: Number) -> Self {
        Query {
            target: QueryTarget::Number(number),
            kind: Some(Kind::Binding),
            class: None,
            trunk_group: None,
            since_ms: None,
        }
    }

    /// Whether a record matches.
    pub fn matches(&self, record: &LocationRecord) -> bool {
        let number = match &self.target {
            QueryTarget::Number(number) => *number == record.key.number,
            QueryTarget::Prefix(prefix) => record.key.number.as_str().starts_with(prefix.as_str()),
        };
        number
            && self.kind.is_none_or(|kind| kind == record.key.kind)
            && self.class.as_ref().is_none_or(|class| *class == record.class)
            && self.trunk_group.as_ref().is_none_or(|group| *group == record.trunk_group)
            && self.since_ms.is_none_or(|(from, to)| (from..=to).contains(&record.since_ms))
    }
}

/// A page of the records found, in the order of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The records.
    pub records: Vec<LocationRecord>,
    /// The key after which the next page begins; `None` if this is the last page.
    pub cursor: Option<Key>,
}
