//! What a node counts.

use std::collections::BTreeMap;

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups taken.
    pub taken: u64,
    /// Calls that stood.
    pub stood: u64,
    /// Calls refused by the module.
    pub refused: u64,
    /// Calls that failed by the module.
    pub failed: u64,
    /// Callers that left, or gave their set-up up.
    pub gone: u64,
    /// Calls adopted that stood elsewhere.
    pub adopted: u64,
    /// Callers' messages refused, by status.
    pub bad_messages: BTreeMap<u16, u64>,
    /// Attempts that the module asked for; each ends once, by one of the outcomes.
    pub sends: u64,
    /// Attempts and adopted calls, by how they ended.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Servers' messages that belong to nothing here.
    pub strays: u64,
    /// Connections to servers that ended.
    pub links_lost: u64,
    /// Connections to servers that brought no answer to a set-up, and none since.
    pub links_mute: u64,
    /// Calls released because their server was not there any more.
    pub orphans: u64,
}
