//! The command line of `lilacpitch-site`.

use crate::startup::{self, ListenAddresses, RunError};
use clap::{Parser, Subcommand};
use lilacpitch_config::{ConfigError, Log, LogFormat, Site, EDGE_SCHEMA};
use lilacpitch_fleet::Safeguards;
use miette::Diagnostic;
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::EnvFilter;

/// A process of a site, which stores where numbers can be reached.
#[derive(Debug, Parser)]
#[command(name = "lilacpitch-site", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a process until SIGTERM or SIGINT. Once it listens, it prints one line:
    /// {"links":"ADDRESS","pages":"ADDRESS"}.
    Run {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check the settings and report errors, without starting.
    Check {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Print the schema of the settings, with comments and defaults.
    Schema,
}

/// Runs the program. Exit codes: 0 for success, 1 if the process could not start or failed, 2 for invalid
/// arguments or settings.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    main_with(args, Safeguards::default())
}

/// Runs the program with these safeguards; the testbed switches some of them off.
#[doc(hidden)]
pub fn main_with(args: impl IntoIterator<Item = OsString>, safeguards: Safeguards) -> ExitCode {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(error) => {
            let code = if error.use_stderr() { 2 } else { 0 };
            // If printing fails, there is nowhere to report that.
            let _ = error.print();
            return ExitCode::from(code);
        }
    };
    match args.command {
        Command::Schema => {
            print_line(EDGE_SCHEMA.trim_end());
            ExitCode::SUCCESS
        }
        Command::Check { config } => match Site::load(&config) {
            Ok(loaded) => {
                let sites = loaded.value.sites.len();
                print_line(&format!("{}: {sites} sites, no mistakes", config.display()));
                ExitCode::SUCCESS
            }
            Err(error) => report_settings_error(&error),
        },
        Command::Run { config } => run(&config, safeguards),
    }
}

fn print_line(line: &str) {
    // The reader of standard output may have exited, which is no reason to fail.
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn report_settings_error(error: &ConfigError) -> ExitCode {
    if std::io::stderr().is_terminal() {
        eprintln!("{}", error.drawn());
    } else {
        eprintln!("{error}");
    }
    ExitCode::from(2)
}

fn run(config: &Path, safeguards: Safeguards) -> ExitCode {
    let settings = match Site::load(config) {
        Ok(loaded) => loaded.value,
        Err(error) => return report_settings_error(&error),
    };
    start_logging(&settings.log);
    // One more than in the settings, since a write to the disk blocks one of them.
    let threads = settings.threads + 1;
    let runtime =
        match tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                eprintln!("lilacpitch-site: starting the runtime failed: {error}");
                return ExitCode::FAILURE;
            }
        };
    match runtime.block_on(run_until_signal(settings, safeguards)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let help = error.help().map(|help| format!("\nhelp: {help}")).unwrap_or_default();
            eprintln!("lilacpitch-site: {error}{help}");
            ExitCode::FAILURE
        }
    }
}

fn start_logging(settings: &Log) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_default();
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    let result = match settings.format {
        LogFormat::Text => subscriber.try_init(),
        LogFormat::Json => subscriber.json().try_init(),
    };
    if let Err(error) = result {
        eprintln!("lilacpitch-site: starting the log output failed: {error}");
    }
}

async fn run_until_signal(settings: Site, safeguards: Safeguards) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    startup::run(settings, safeguards, print_addresses, stop).await
}

/// Prints the addresses on which the process listens, as one line of JSON.
fn print_addresses(addresses: ListenAddresses) {
    let pages = addresses.pages.map(|address| format!(",\"pages\":\"{address}\"")).unwrap_or_default();
    print_line(&format!("{{\"links\":\"{}\"{pages}}}", addresses.rpc));
}
