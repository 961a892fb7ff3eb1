//! The command line of `lilacpitch-edge`.

use crate::core::Safeguards;
use crate::net;
use clap::{Parser, Subcommand};
use lilacpitch_config::{ConfigError, Edge, LogFormat, Pools, EDGE_SCHEMA};
use std::ffi::OsString;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::EnvFilter;

/// Carries calls between callers and signalling servers.
#[derive(Debug, Parser)]
#[command(name = "lilacpitch-edge", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a front until SIGTERM or SIGINT. Once it listens, it prints one line with its addresses:
    /// {"callers":"ADDRESS","metrics":"ADDRESS"}.
    Run {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Run a front node for callers with SIP over TCP and signalling servers with JSON lines, until SIGTERM
    /// or SIGINT. SIGHUP reloads the configuration. Without --config, the environment variable
    /// BALANCER_CONFIG names the file.
    Node {
        /// The configuration file, in JSON.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check the settings and the pool list without starting a front, and report errors.
    Check {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Show the other fronts that a running front knows, and what it rejected from them.
    Peers {
        /// The front's metrics address.
        #[arg(long, value_name = "ADDRESS")]
        metrics: std::net::SocketAddr,
    },
    /// Print the schema of the settings and the pool list, with comments and defaults.
    Schema,
}

/// Runs the program. Exit codes: 0 for success, 1 if it could not run, 2 for invalid arguments or settings.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    main_with(args, lilacpitch_fleet::Safeguards::default())
}

/// Runs the program with the given safeguards of the fleet, some of which the testbed switches off.
#[doc(hidden)]
pub fn main_with(
    args: impl IntoIterator<Item = OsString>,
    safeguards: lilacpitch_fleet::Safeguards,
) -> ExitCode {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(error) => {
            let code = if error.use_stderr() { 2 } else { 0 };
            // If printing fails, there is no way to report it.
            let _ = error.print();
            return ExitCode::from(code);
        }
    };
    let result = match args.command {
        Command::Run { config } => return run(&config, safeguards),
        Command::Node { config } => return node(config),
        Command::Peers { metrics } => return peers(metrics),
        Command::Check { config } => check(&config).map(|summary| print_line(&summary)),
        Command::Schema => {
            print_line(EDGE_SCHEMA.trim_end());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_config_error(&error);
            ExitCode::from(2)
        }
    }
}

/// Prints a line to standard output and flushes it.
fn print_line(line: &str) {
    // Not an error: the reader may have closed its end of the pipe.
    let mut stdout = std::io::stdout().lock();
    let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
}

/// Runs `peers`: prints the page of a running front.
fn peers(metrics: std::net::SocketAddr) -> ExitCode {
    match net::fetch(metrics, "GET", "/peers") {
        Ok((200, page)) => {
            print_line(page.trim_end());
            ExitCode::SUCCESS
        }
        Ok((status, _)) => {
            eprintln!("lilacpitch-edge: {metrics}: status {status}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("lilacpitch-edge: {metrics}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a configuration error: with the source lines on a terminal, else one line for each problem.
fn print_config_error(error: &ConfigError) {
    use std::io::IsTerminal;
    if std::io::stderr().is_terminal() {
        eprintln!("{}", error.drawn());
    } else {
        eprintln!("{error}");
    }
}

/// Runs `check`: returns a summary line.
fn check(config: &Path) -> Result<String, ConfigError> {
    let edge = Edge::load(config)?.value;
    let pools = Pools::load(Path::new(&edge.pool_list))?;
    for (index, class) in edge.classes.iter().enumerate() {
        for (position, pool) in class.pools.iter().enumerate() {
            if !pools.value.servers.iter().any(|server| server.pool == *pool) {
                // Only a warning, since servers of the pool may be listed later.
                eprintln!(
                    "{}: classes[{index}].pools[{position}]: no server of pool {pool:?} is listed",
                    config.display()
                );
            }
        }
    }
    let (classes, servers) = (edge.classes.len(), pools.value.servers.len());
    Ok(format!("{}: {classes} classes, {servers} servers, no errors", config.display()))
}

/// Runs `run`: a front with the given settings.
fn run(config: &Path, safeguards: lilacpitch_fleet::Safeguards) -> ExitCode {
    let settings = match Edge::load(config) {
        Ok(loaded) => loaded.value,
        Err(error) => {
            print_config_error(&error);
            return ExitCode::from(2);
        }
    };
    let filter = EnvFilter::try_new(&settings.log.level).unwrap_or_default();
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    let installed = match settings.log.format {
        LogFormat::Text => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
    if let Err(error) = installed {
        eprintln!("lilacpitch-edge: logging: {error}");
    }
    let ready = |ready: net::Ready| {
        let metrics = ready.metrics.map(|address| format!(",\"metrics\":\"{address}\"")).unwrap_or_default();
        print_line(&format!("{{\"callers\":\"{}\"{metrics}}}", ready.callers));
    };
    let result = block_on_current_thread(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(net::RunError::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(net::RunError::Signals)?;
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        net::run_with(settings, Safeguards::default(), safeguards, ready, stop).await
    });
    let Some(result) = result else { return ExitCode::FAILURE };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(net::RunError::PoolList(error)) => {
            print_config_error(&error);
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("lilacpitch-edge: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a future on the current thread. Prints an error and returns `None` if no runtime can be started.
fn block_on_current_thread<T>(future: impl std::future::Future<Output = T>) -> Option<T> {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => Some(tokio::task::LocalSet::new().block_on(&runtime, future)),
        Err(error) => {
            eprintln!("lilacpitch-edge: starting the runtime: {error}");
            None
        }
    }
}

/// Runs `node`: a front node with the given configuration file, else that of `BALANCER_CONFIG`.
fn node(config: Option<PathBuf>) -> ExitCode {
    let Some(path) = config.or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from)) else {
        eprintln!("lilacpitch-edge: no configuration file: neither --config nor BALANCER_CONFIG is set");
        return ExitCode::from(2);
    };
    let filter = EnvFilter::try_from_env("LILACPITCH_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    if let Err(error) = log.try_init() {
        eprintln!("lilacpitch-edge: logging: {error}");
    }
    match block_on_current_thread(lilacpitch_node::net::run(&path.to_string_lossy())) {
        Some(Ok(())) => ExitCode::SUCCESS,
        Some(Err(error)) => {
            eprintln!("lilacpitch-edge: {error}");
            let is_config_error = matches!(error, lilacpitch_node::net::RunError::Config(_));
            ExitCode::from(if is_config_error { 2 } else { 1 })
        }
        None => ExitCode::FAILURE,
    }
}
