//! The events that the tasks of the shell send to the driver.

use super::watched_file::ReadError;
use crate::core::{CallerId, Input};
use lilacpitch_config::Pools;
use lilacpitch_gossip::Keys;
use tokio::sync::oneshot;

/// An event for the driver.
pub(super) enum DriverEvent {
    /// An input for the core.
    Input(Input),
    /// A caller that does not read is disconnected; the end of its connection follows.
    CallerNotReading(CallerId),
    /// The endpoint list has changed, and was read.
    ListRead(Pools),
    /// The endpoint list has changed and cannot be read.
    ListRejected(ReadError),
    /// The peers' key file has changed, and was read.
    KeysRead(Keys),
    /// The peers' key file has changed and cannot be read.
    KeysRejected(ReadError),
    /// An HTTP client requests the metrics page.
    MetricsPage(oneshot::Sender<String>),
    /// An HTTP client requests the peers page.
    PeersPage(oneshot::Sender<String>),
}
