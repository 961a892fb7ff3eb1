//! Starts a node: configuration, listener, the coordinator's client and the driver.

use super::coordinator_client::follow;
use super::driver::{Driver, Reloader};
use super::signals::Signals;
use crate::config::{Config, ConfigError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Events that may wait for the driver; what brings them is read no further meanwhile. Few, so that the last one does
/// not wait long.
const EVENT_QUEUE: usize = 64;

/// Why a node could not run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration can't be used: mend the file.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address can't be listened on: it is taken, or not this machine's.
    #[error("listening at {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        #[source]
        error: io::Error,
    },
    /// The machine refuses a signal handler.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
}

/// Runs a node by the configuration in `path` until SIGTERM or SIGINT has stopped it. SIGHUP reads the file again.
/// Must run within a `LocalSet`.
///
/// # Errors
/// Where the node can't start.
pub async fn run(path: &str) -> Result<(), RunError> {
    let signals = Signals::install().map_err(RunError::Signals)?;
    let config = Config::load(path)?;
    let address = config.listen;
    let listener = TcpListener::bind(address).await.map_err(|error| RunError::Listen { address, error })?;
    let budget = config.limits.budget();
    let (events, inbox) = mpsc::channel(EVENT_QUEUE);
    let (coordinator, coordinator_changes) = watch::channel(config.coordinator);
    let driver = Driver::new(config.site, config.seed, budget, events.clone());
    tokio::task::spawn_local(follow(config.known, coordinator_changes, events));
    tracing::info!(
        name = config.name, listen = %address, max_callers = budget.callers, max_upstreams = budget.upstreams,
        "listening"
    );
    driver.run(listener, inbox, signals, Reloader { path, coordinator }).await;
    tracing::info!("stopped");
    Ok(())
}
