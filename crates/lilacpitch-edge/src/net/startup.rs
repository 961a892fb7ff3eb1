//! Start-up: reads files, opens sockets, starts the tasks of the shell, and runs the driver.

use super::driver::Driver;
use super::driver_event::DriverEvent;
use super::gossip_socket::GossipSocket;
use super::watched_file::{self, FileVersion, ReadError};
use super::{metrics, Clock};
use crate::core::{EdgeCore, Safeguards};
use crate::fleet::{self, FromAgent};
use lilacpitch_config::{ConfigError, Edge, Pools};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Capacity of the driver's event queue. While it is full, connections are not read.
pub(super) const EVENT_QUEUE: usize = 1024;

/// The addresses of an edge that has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ready {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the metrics page, if one is configured.
    pub metrics: Option<SocketAddr>,
}

/// Why an edge could not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// The edge cannot listen on an address.
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The endpoint list cannot be read.
    #[error("{0}")]
    PoolList(#[from] ConfigError),
    /// The file of the endpoint list cannot be watched.
    #[error("{0}: {1}")]
    PoolFile(String, std::io::Error),
    /// The key file of peers cannot be read.
    #[error("{0}")]
    Keys(#[from] ReadError),
    /// The fleet's agent cannot start.
    #[error("fleet: {0}")]
    Fleet(#[from] fleet::StartError),
    /// A signal handler cannot be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// The operating system provides no random numbers.
    #[error("no randomness: {0}")]
    Randomness(std::io::Error),
}

/// Runs an edge until it has stopped after `stop`. Must run within a `LocalSet`.
///
/// # Errors
/// A file cannot be read, an address cannot be listened on, or the operating system provides no thread or no
/// random numbers.
pub async fn run(
    settings: Edge,
    safeguards: Safeguards,
    ready: impl FnOnce(Ready),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), RunError> {
    run_with(settings, safeguards, lilacpitch_fleet::Safeguards::default(), ready, stop).await
}

/// Like [`run`], with safeguards of the fleet that may be switched off, for the testbed.
#[doc(hidden)]
pub async fn run_with(
    settings: Edge,
    safeguards: Safeguards,
    fleet_safeguards: lilacpitch_fleet::Safeguards,
    ready: impl FnOnce(Ready),
    stop: impl std::future::Future<Output = ()>,
) -> Result<(), RunError> {
    let (listener, callers) = listen(settings.listen)?;
    let (events, inbox) = mpsc::channel(EVENT_QUEUE);
    let list = watch_endpoint_list(&settings, &events)?;
    let clock = Clock::start();
    let mut rng = StdRng::try_from_os_rng()
        .map_err(|error| RunError::Randomness(std::io::Error::other(error.to_string())))?;
    let gossip = open_gossip(&settings, clock, &mut rng, &events).await?;
    let (agent, from_agent) = start_agent(&settings, fleet_safeguards, &mut rng)?;
    let metrics = serve_metrics(&settings, &events, agent.as_ref()).await?;
    let mut core = EdgeCore::with_safeguards(settings.clone(), clock.now(), rng.next_u64(), safeguards);
    if !fleet_safeguards.calls_first {
        core.disable_locate_limit();
    }
    let mut driver = Driver::new(core, clock, rng, settings, events, gossip, agent);
    driver.begin(list);
    ready(Ready { callers, metrics });
    tracing::info!(%callers, ?metrics, "listening");
    driver.run(listener, inbox, from_agent, stop).await;
    tracing::info!("stopped");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let failed = |error| RunError::Listen(address, error);
    let listener = lilacpitch_net::listen(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn poll_interval(settings: &Edge) -> Duration {
    Duration::from_nanos(settings.look_ns)
}

/// Reads the endpoint list, and starts to watch its file.
fn watch_endpoint_list(settings: &Edge, events: &mpsc::Sender<DriverEvent>) -> Result<Pools, RunError> {
    let path = settings.pool_list.clone();
    // Determined before the file is read, so that a change in between is detected.
    let version = FileVersion::read(&path).map_err(|error| RunError::PoolFile(path.clone(), error))?;
    let list = Pools::load(Path::new(&path))?.value;
    let read = |path: &str| Ok(DriverEvent::ListRead(Pools::load(Path::new(path))?.value));
    tokio::task::spawn_local(watched_file::watch(
        path,
        poll_interval(settings),
        version,
        events.clone(),
        read,
        DriverEvent::ListRejected,
    ));
    Ok(list)
}

async fn open_gossip(
    settings: &Edge,
    clock: Clock,
    rng: &mut StdRng,
    events: &mpsc::Sender<DriverEvent>,
) -> Result<Option<GossipSocket>, RunError> {
    let Some(peers) = &settings.peers else { return Ok(None) };
    let (now, seed, interval) = (clock.now(), rng.next_u64(), poll_interval(settings));
    GossipSocket::open(&settings.name, peers, now, seed, interval, events).await.map(Some)
}

/// The handle of the agent and the receiver of its messages; both `None` without a fleet in the settings.
type AgentChannels = (Option<fleet::Handle>, Option<mpsc::Receiver<FromAgent>>);

fn start_agent(
    settings: &Edge,
    safeguards: lilacpitch_fleet::Safeguards,
    rng: &mut StdRng,
) -> Result<AgentChannels, RunError> {
    let Some(fleet_settings) = &settings.fleet else { return Ok((None, None)) };
    let (handle, from_agent) = fleet::start(settings, fleet_settings, safeguards, rng.next_u64())?;
    Ok((Some(handle), Some(from_agent)))
}

async fn serve_metrics(
    settings: &Edge,
    events: &mpsc::Sender<DriverEvent>,
    agent: Option<&fleet::Handle>,
) -> Result<Option<SocketAddr>, RunError> {
    let Some(address) = settings.metrics else { return Ok(None) };
    let (listener, bound) = listen(address)?;
    let agent = agent.map(fleet::Handle::pages);
    tokio::task::spawn_local(metrics::serve(listener, events.clone(), agent));
    Ok(Some(bound))
}
