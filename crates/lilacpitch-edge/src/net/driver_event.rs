//! What the tasks of the shell say to its driver, and why a front could not start.

use crate::core::Input;
use lilacpitch_config::{ConfigError, Pools};
use lilacpitch_gossip::Keys;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::oneshot;

/// What comes to the driver.
pub(super) enum News {
    Input(Input),
    PoolList(Pools),
    PoolListRefused(String),
    Keys(Keys),
    KeysRefused(String),
    Metrics(oneshot::Sender<String>),
    Peers(oneshot::Sender<String>),
}

/// Why a front could not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address could not be listened on.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The pool list can't be read.
    #[error("{0}")]
    PoolList(#[from] ConfigError),
    /// The file of the pool list can't be looked at.
    #[error("{0}: {1}")]
    PoolFile(String, std::io::Error),
    /// The key file of peers can't be read.
    #[error("{0}")]
    Keys(String),
    /// The agent of the fleet can't start.
    #[error("fleet: {0}")]
    Fleet(String),
    /// The machine gave no signal handler or no randomness.
    #[error("{0}")]
    Machine(String),
}
