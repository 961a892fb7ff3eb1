//! Start of a node: loads the configuration, and starts the listener, the coordinator's client and the
//! driver.

use super::coordinator_client::poll_continuously;
use super::driver::{Driver, Reloader};
use super::signals::Signals;
use crate::config::{Config, ConfigError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::{mpsc, watch};

/// Why a node could not run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration can't be loaded: correct the file.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening address can't be bound: it is in use, or not an address of this machine.
    #[error("listening at {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the bind.
        #[source]
        error: io::Error,
    },
    /// A signal handler can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
}

/// Runs a node with the configuration file at `path` until SIGTERM or SIGINT has stopped it. SIGHUP reloads
/// the file. Must be called within a `LocalSet`.
///
/// # Errors
/// Returns an error if the node can't start.
pub async fn run(path: &str) -> Result<(), RunError> {
    let signals = Signals::install().map_err(RunError::Signals)?;
    let config = Config::load(path)?;
    let address = config.listen;
    let listener = lilacpitch_net::listen(address).map_err(|error| RunError::Listen { address, error })?;
    let budget = config.limits.budget();
    let (events, inbox) = mpsc::channel(budget.queued_events);
    let (coordinator, coordinator_changes) = watch::channel(config.coordinator);
    let driver = Driver::new(config.site, config.seed, budget, events.clone());
    tokio::task::spawn_local(poll_continuously(config.known, coordinator_changes, events));
    tracing::info!(
        name = config.name, listen = %address, max_callers = budget.callers, max_upstreams = budget.upstreams,
        "listening"
    );
    driver.run(listener, inbox, signals, Reloader { path, coordinator }).await;
    tracing::info!("stopped");
    Ok(())
}
