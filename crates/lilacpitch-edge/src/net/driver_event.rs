//! What the tasks of the shell report to its driver.

use super::watched_file::ReadError;
use crate::core::Input;
use lilacpitch_config::Pools;
use lilacpitch_gossip::Keys;
use tokio::sync::oneshot;

/// An event for the driver.
pub(super) enum DriverEvent {
    /// An input for the core.
    Input(Input),
    /// The endpoint list has changed.
    ListRead(Pools),
    /// The endpoint list has changed, and cannot be read.
    ListRejected(ReadError),
    /// The peers' key file has changed.
    KeysRead(Keys),
    /// The peers' key file has changed, and cannot be read.
    KeysRejected(ReadError),
    /// A reader wants the page of metrics.
    MetricsPage(oneshot::Sender<String>),
    /// A reader wants the page of peers.
    PeersPage(oneshot::Sender<String>),
}
